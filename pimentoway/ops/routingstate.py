"""What a node's routing depends on besides the back ends themselves.

These are the live nodes, the ramps that this node owns, the failure domains
that are closed, and the versions found bad.
"""

import itertools

from pimentoway.core import configuration, evidence, index
from pimentoway.ops import fleet, ramp, route


class RoutingState:
    """Keeps the ``route.RoutingContext`` of a node up to date.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        order_by_zone: The latest order of an operator to each failure domain,
            as given directly to nodes.
        condemnations: The announcements that versions are bad.
        current: The result of the last ``update``.
    """

    def __init__(self, name: str, zone: str) -> None:
        """Start with this node as the only live one.

        Args:
            name: The name of the node.
            zone: Its failure domain.
        """
        self.name = name
        self.zone = zone
        self.order_by_zone: dict[str, evidence.ZoneOrder] = {}
        self.condemnations: list[evidence.Condemnation] = []
        self.current = route.RoutingContext(
            name, zone, 1, frozenset(), frozenset()
        )
        self._nodes_by_zone: dict[str, tuple[str, ...]] = {zone: (name,)}

    def set_nodes(self, nodes_by_zone: dict[str, tuple[str, ...]]) -> None:
        """Set the live nodes; ``update`` makes the change effective.

        Args:
            nodes_by_zone: The names of the live nodes by failure domain.
        """
        self._nodes_by_zone = nodes_by_zone

    def note_order(self, order: evidence.ZoneOrder) -> bool:
        """Record an operator's order to open or close a failure domain.

        Args:
            order: The order.

        Returns:
            Whether it was newer than the known one.
        """
        known = self.order_by_zone.get(order.zone)
        if known and known.sequence >= order.sequence:
            return False
        self.order_by_zone[order.zone] = order
        return True

    def list_orders(self) -> tuple[evidence.ZoneOrder, ...]:
        """List the operators' orders.

        Returns:
            The latest order to each failure domain.
        """
        return tuple(self.order_by_zone.values())

    def update(
        self, config_index: index.Index | None, states: fleet.Fleet
    ) -> None:
        """Compute ``current`` anew, and tell each ramp whether it is owned.

        Args:
            config_index: The configuration in force; None if there is none.
            states: The back ends.
        """
        owned = set()
        for name, state in states.by_name.items():
            mine = self.choose_owner(state) == self.name
            state.ramp.set_owned(mine)
            if mine:
                owned.add(name)
        self.current = route.RoutingContext(
            self.name,
            self.zone,
            max(1, sum(1 for _ in self._iterate_nodes())),
            frozenset(owned),
            self._list_closed(config_index),
            self._list_bad_versions(config_index),
        )

    def choose_owner(self, state: fleet.BackendState) -> str:
        """Choose the node that owns a back end's ramp.

        The live nodes of the back end's failure domain are the candidates;
        if there are none, all live nodes are.

        Args:
            state: The back end.

        Returns:
            The name of the node.
        """
        nodes = self._nodes_by_zone.get(state.backend.zone)
        if not nodes:
            nodes = tuple(self._iterate_nodes()) or (self.name,)
        return ramp.choose_owner(state.backend.name, nodes)

    def note_condemnation(self, condemnation: evidence.Condemnation) -> bool:
        """Record that a version was found bad.

        Args:
            condemnation: The announcement.

        Returns:
            Whether it was new.
        """
        if condemnation in self.condemnations:
            return False
        self.condemnations.append(condemnation)
        return True

    def _list_bad_versions(
        self, config_index: index.Index | None
    ) -> frozenset[tuple[str, str]]:
        # A condemnation applies only to the rollout in which it was made.
        rollouts = config_index.rollouts_by_pool if config_index else {}
        return frozenset(
            (condemnation.pool, condemnation.version)
            for condemnation in self.condemnations
            if condemnation.pool in rollouts
            and rollouts[condemnation.pool].identity == condemnation.rollout_id
        )

    def _iterate_nodes(self) -> itertools.chain[str]:
        return itertools.chain.from_iterable(self._nodes_by_zone.values())

    def _list_closed(self, config_index: index.Index | None) -> frozenset[str]:
        state_by_zone = {}
        if config_index:
            state_by_zone = {
                zone.name: zone.state
                for zone in config_index.zones_by_name.values()
            }
        # An order given directly to nodes overrides the configuration, so
        # that it takes effect while the platform's store is down.
        for order in self.order_by_zone.values():
            state_by_zone[order.zone] = configuration.ZoneState(order.state)
        return frozenset(
            name
            for name, state in state_by_zone.items()
            if state is configuration.ZoneState.out
        )
