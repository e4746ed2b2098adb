"""The broker's state of all back ends."""

import collections
import dataclasses
import math

from pimentoway.core import clock
from pimentoway.ops import enginestate, notice, slot, view

#: Seconds for which the runs of a disconnected node still count: a back end
#: stops a run soon after the connection of its request is gone.
DISCONNECTED_SECONDS = 1.5


@dataclasses.dataclass
class Capacity:
    """The slots of a service at one moment, kept up to date by grants.

    Attributes:
        slots: The slots that this broker may use, free or not.
        free_slots: The free ones among them.
        free_engines: The back ends with free slots.
    """

    slots: int
    free_slots: int
    free_engines: list[enginestate.EngineState]

    def note_grant(self, state: enginestate.EngineState, share: float) -> None:
        """Subtract a slot that was granted.

        Args:
            state: The back end of the slot, with its new run.
            share: The fraction of the nodes that use this broker.
        """
        self.free_slots -= 1
        if not state.count_free(share):
            self.free_engines.remove(state)


class EngineTable:
    """The states of the back ends in the registry.

    Attributes:
        share: The fraction of the nodes that use this broker.
        state_by_name: The states by the name of the back end.
        notices: What the back ends announced of themselves.
    """

    def __init__(self, registry_view: view.View) -> None:
        """Start with the back ends of a registry view.

        Args:
            registry_view: The registry as this node knows it.
        """
        self.share: float = 1
        self.state_by_name: dict[str, enginestate.EngineState] = {}
        self.notices = notice.NoticeTable(registry_view)
        self._view = registry_view
        self._expiry_by_disconnected: dict[str, float] = {}
        # The back ends that may get requests of any node.
        self._usable_by_service: dict[str, list[enginestate.EngineState]] = {}
        self.update()

    def update(self) -> None:
        """Apply a change of the registry view or of the notices."""
        self.notices.update()
        engines = self._view.engines_by_name
        tolerated_by_service = {
            state.engine.service: state.limit.tolerated
            for state in self.state_by_name.values()
            if state.limit.tolerated is not None
        }
        for name in set(self.state_by_name).difference(engines):
            self.state_by_name.pop(name)
        for name, engine in engines.items():
            state = self.state_by_name.get(name)
            if state is None:
                state = enginestate.EngineState(engine)
                state.limit.expect(tolerated_by_service.get(engine.service))
                self.state_by_name[name] = state
            else:
                state.update(engine)
        self._usable_by_service = {}
        for state in self.state_by_name.values():
            if self.notices.is_usable(state.engine):
                service = state.engine.service
                usable = self._usable_by_service.setdefault(service, [])
                usable.append(state)

    def measure_capacity(self, service: str) -> Capacity:
        """Count the slots of a service and find the free ones.

        Args:
            service: The name of the service.

        Returns:
            The slots of its usable back ends; the caller updates it with each
            grant.
        """
        now = clock.read_monotonic()
        free_engines = []
        slots = 0
        free_slots = 0
        for state in self._usable_by_service.get(service, ()):
            usable, unused = state.measure_slots(self.share, now)
            slots += usable
            if unused:
                free_slots += unused
                free_engines.append(state)
        return Capacity(slots, free_slots, free_engines)

    def drop_paused(
        self,
        capacity: Capacity,
        requesters: collections.abc.Iterable[str],
    ) -> None:
        """Drop the back ends that want no requests from any waiting node.

        Otherwise each decision would try all waiting requests with them.

        Args:
            capacity: The slots, whose free back ends are reduced.
            requesters: The nodes whose requests wait.
        """
        if not capacity.free_engines or not self.notices.has_pauses():
            return
        waiting = set(requesters)
        capacity.free_engines = [
            state
            for state in capacity.free_engines
            if not all(
                self.notices.measure_pause(requester, state.engine)
                for requester in waiting
            )
        ]

    def measure_opening(self, service: str, requester: str) -> float:
        """Measure until when no back end wants requests from a node.

        Args:
            service: The name of the service.
            requester: The node.

        Returns:
            Seconds until the first usable back end does; 0 if one does now,
            or if none is usable.
        """
        if not self.notices.has_pauses():
            return 0
        opening = math.inf
        for state in self._usable_by_service.get(service, ()):
            pause = self.notices.measure_pause(requester, state.engine)
            if not pause:
                return 0
            opening = min(opening, pause)
        return 0 if math.isinf(opening) else opening

    def list_allowed(
        self,
        capacity: Capacity,
        requester: str,
        avoided: collections.abc.Container[str],
    ) -> list[enginestate.EngineState]:
        """List the free back ends that may get a request.

        Args:
            capacity: The slots of its service.
            requester: The node of the request.
            avoided: The names of the back ends that must not get it.

        Returns:
            The others, without those that want no requests from the node.
        """
        allowed = [
            state
            for state in capacity.free_engines
            if state.engine.name not in avoided
        ]
        if not self.notices.has_pauses():
            return allowed
        return [
            state
            for state in allowed
            if not self.notices.measure_pause(requester, state.engine)
        ]

    def count_running(
        self, service: str
    ) -> collections.Counter[tuple[str, int]]:
        """Count the running requests of a service.

        Args:
            service: The name of the service.

        Returns:
            The running requests by route and tier.
        """
        return collections.Counter(
            run.request.route_tier
            for state in self.state_by_name.values()
            for run in state.run_by_key.values()
            if run.request.service == service
        )

    def count_other_versions(self, service: str, version: str) -> int:
        """Count the requests that run at other versions of a service.

        Args:
            service: The name of the service.
            version: The version that is not counted.

        Returns:
            The running requests.
        """
        return sum(
            len(state.run_by_key)
            for state in self.state_by_name.values()
            if state.engine.service == service
            and state.engine.version != version
        )

    def find_engine(
        self, key: enginestate.RunKey
    ) -> enginestate.EngineState | None:
        """Find the back end that runs a request.

        Args:
            key: The node and the number of the slot request.

        Returns:
            The back end; nothing if no such run is known.
        """
        for state in self.state_by_name.values():
            if key in state.run_by_key:
                return state
        return None

    def adopt(self, requester: str, runs: list[slot.ActiveGrant]) -> bool:
        """Replace the known runs of a node by the list that it sent.

        Runs that ended while the node had no connection to this broker were
        never reported; they are dropped, as they are not in the list.

        Args:
            requester: The node, which starts to use this broker.
            runs: All its running requests.

        Returns:
            Whether the node lost its connection to this broker only within
            the last ``DISCONNECTED_SECONDS``.
        """
        kept = {(requester, run.request.number) for run in runs}
        for other in self.state_by_name.values():
            other.keep_runs(requester, kept)
        for run in runs:
            state = self.state_by_name.get(run.engine)
            key = (requester, run.request.number)
            if state and key not in state.run_by_key:
                started = clock.read_monotonic()
                state.run_by_key[key] = enginestate.Run(run.request, started)
        return self._expiry_by_disconnected.pop(requester, None) is not None

    def note_disconnected(self, requester: str) -> None:
        """Record that the connection to a node was lost.

        Args:
            requester: The node.
        """
        expiry = clock.read_monotonic() + DISCONNECTED_SECONDS
        self._expiry_by_disconnected[requester] = expiry

    def drop_disconnected(self) -> None:
        """Drop the runs of nodes disconnected for ``DISCONNECTED_SECONDS``."""
        now = clock.read_monotonic()
        expired = [
            requester
            for requester, expiry in self._expiry_by_disconnected.items()
            if expiry <= now
        ]
        for requester in expired:
            self._expiry_by_disconnected.pop(requester)
            for state in self.state_by_name.values():
                state.keep_runs(requester, frozenset())
