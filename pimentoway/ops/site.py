"""Where a node stands: live nodes, ramps that it owns, closed domains."""

import itertools

from pimentoway.core import configuration, evidence, index
from pimentoway.ops import fleet, ramp, route


class SiteKeeper:
    """Keeps what the choice of back ends needs to know of the node's place.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        order_by_zone: The operators' orders given directly to nodes.
        condemnations: The signs that versions are bad.
        current: Where the node stands now.
    """

    def __init__(self, name: str, zone: str) -> None:
        """Know only the node itself.

        Args:
            name: The name of the node.
            zone: Its failure domain.
        """
        self.name = name
        self.zone = zone
        self.order_by_zone: dict[str, evidence.ZoneOrder] = {}
        self.condemnations: list[evidence.Condemnation] = []
        self.current = route.Site(name, zone, 1, frozenset(), frozenset())
        self._nodes_by_zone: dict[str, tuple[str, ...]] = {zone: (name,)}

    def note_nodes(self, nodes_by_zone: dict[str, tuple[str, ...]]) -> None:
        """Follow a change of the live nodes.

        Args:
            nodes_by_zone: The names of the live nodes by failure domain.
        """
        self._nodes_by_zone = nodes_by_zone

    def note_order(self, order: evidence.ZoneOrder) -> bool:
        """Take in an operator's order to a failure domain.

        Args:
            order: The order.

        Returns:
            Whether it was new.
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

    def update(self, view: index.Index | None, states: fleet.Fleet) -> None:
        """Work out anew where the node stands.

        Args:
            view: The configuration in force, if any.
            states: The back ends.
        """
        owned = set()
        for name, state in states.by_name.items():
            mine = self.choose_owner(state) == self.name
            state.ramp.note_owner(mine)
            if mine:
                owned.add(name)
        self.current = route.Site(
            self.name,
            self.zone,
            max(1, sum(1 for _ in self._iterate_nodes())),
            frozenset(owned),
            self._list_closed(view),
            self._list_condemned(view),
        )

    def choose_owner(self, state: fleet.BackendState) -> str:
        """Choose the node that owns a back end's ramp.

        The nodes of the back end's failure domain go first; if none lives,
        all live nodes are candidates.

        Args:
            state: The back end.

        Returns:
            The name of the node.
        """
        nodes = self._nodes_by_zone.get(state.backend.zone)
        if not nodes:
            nodes = tuple(self._iterate_nodes()) or (self.name,)
        return ramp.choose_owner(state.backend.name, nodes)

    def note_condemnation(self, sign: evidence.Condemnation) -> bool:
        """Take in that a version is bad.

        Args:
            sign: The sign.

        Returns:
            Whether it was new.
        """
        if sign in self.condemnations:
            return False
        self.condemnations.append(sign)
        return True

    def _list_condemned(
        self, view: index.Index | None
    ) -> frozenset[tuple[str, str]]:
        # A sign of an earlier rollout does not bind a later one.
        rollouts = view.rollouts_by_pool if view else {}
        return frozenset(
            (sign.pool, sign.version)
            for sign in self.condemnations
            if sign.pool in rollouts
            and rollouts[sign.pool].identity == sign.rollout_id
        )

    def _iterate_nodes(self) -> itertools.chain[str]:
        return itertools.chain.from_iterable(self._nodes_by_zone.values())

    def _list_closed(self, view: index.Index | None) -> frozenset[str]:
        state_by_zone = {}
        if view:
            state_by_zone = {
                zone.name: zone.state for zone in view.zones_by_name.values()
            }
        # An order given directly to nodes goes before the configuration, so
        # that it works while the platform is out.
        for order in self.order_by_zone.values():
            state_by_zone[order.zone] = configuration.ZoneState(order.state)
        return frozenset(
            name
            for name, state in state_by_zone.items()
            if state is configuration.ZoneState.out
        )
