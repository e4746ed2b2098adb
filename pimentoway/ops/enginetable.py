"""The broker's state of all back ends."""

import collections
import dataclasses
import math

from pimentoway.core import clock
from pimentoway.ops import (
    enginespeed,
    enginestate,
    heldcrash,
    notice,
    pathtable,
    placement,
    relaytable,
    routestats,
    slot,
    view,
)

#: Seconds for which the runs of a disconnected node still count: a back end
#: stops a run soon after the connection of its request is gone.
DISCONNECTED_SECONDS = 1.5

#: Seconds of silence that a run has at least when it is reported as silent.
SILENCE_SECONDS = 1.0

#: The outcomes that show that a back end works and that it can be reached.
SUCCESS_OUTCOMES = frozenset(
    (slot.Outcome.answered, slot.Outcome.failed, slot.Outcome.shed)
)

#: The faults that may have another cause than the back end.
JUDGED_OUTCOMES = pathtable.CONNECTION_FAULTS | {slot.Outcome.silent}


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
        paths: Which nodes reach which back ends.
        relays: The nodes that relay requests.
        crashes: The crashes that one node reported and others may refute.
        pace_by_service: What is learnt of the pace of machines, for services
            whose back ends report it.
    """

    def __init__(self, registry_view: view.View) -> None:
        """Start with the back ends of a registry view.

        Args:
            registry_view: The registry as this node knows it.
        """
        self.share: float = 1
        self.state_by_name: dict[str, enginestate.EngineState] = {}
        self.notices = notice.NoticeTable(registry_view)
        self.paths = pathtable.PathTable(self._clear_faults)
        self.relays = relaytable.RelayTable(
            registry_view, self.paths, self.notices
        )
        self.crashes = heldcrash.HeldCrashes(registry_view, self.paths)
        self.pace_by_service: dict[str, enginespeed.PaceModel] = {}
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
            self.paths.forget_engine(name)
        for name, engine in engines.items():
            state = self.state_by_name.get(name)
            if state is None:
                state = enginestate.EngineState(engine)
                state.limit.expect(tolerated_by_service.get(engine.service))
                self.state_by_name[name] = state
            elif state.update(engine):
                self.paths.forget_engine(name)
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
        """Drop the back ends that no waiting node may use.

        Otherwise each decision would try all waiting requests with them.

        Args:
            capacity: The slots, whose free back ends are reduced.
            requesters: The nodes whose requests wait.
        """
        if not capacity.free_engines or not self._has_limits():
            return
        reaches = [self.make_reach(requester) for requester in set(requesters)]
        if not self.notices.has_pauses() and any(
            reach.reaches_all() for reach in reaches
        ):
            return
        capacity.free_engines = [
            state
            for state in capacity.free_engines
            if not all(reach.measure_wait(state) for reach in reaches)
        ]

    def measure_opening(self, service: str, requester: str) -> float:
        """Measure until when a node may use no back end.

        Args:
            service: The name of the service.
            requester: The node.

        Returns:
            Seconds until it may use the first one, as that wants no requests
            from the node or the node does not reach it; 0 if it may use one
            now, or if none is usable.
        """
        if not self._has_limits():
            return 0
        reach = self.make_reach(requester)
        opening = math.inf
        for state in self._usable_by_service.get(service, ()):
            wait = reach.measure_wait(state)
            if not wait:
                return 0
            opening = min(opening, wait)
        return 0 if math.isinf(opening) else opening

    def list_allowed(
        self,
        capacity: Capacity,
        reach: relaytable.Reach,
    ) -> list[enginestate.EngineState]:
        """List the free back ends that may get a request.

        Args:
            capacity: The slots of its service.
            reach: The back ends that it reaches.

        Returns:
            The others, without those that want no requests from the node or
            that it does not reach.
        """
        if reach.is_limited:
            allowed = list(filter(reach.allows, capacity.free_engines))
        else:
            allowed = [
                state
                for state in capacity.free_engines
                if state.engine.name not in reach.avoided
            ]
        if not self.notices.has_pauses():
            return allowed
        return [
            state
            for state in allowed
            if not self.notices.measure_pause(reach.requester, state.engine)
        ]

    def make_reach(
        self,
        requester: str,
        avoided: collections.abc.Container[str] = (),
    ) -> relaytable.Reach:
        """Find which back ends a request reaches.

        Args:
            requester: The node.
            avoided: The names of the back ends that must not get the request.

        Returns:
            The back ends that the node reaches, itself or through a relay.
        """
        return relaytable.Reach(self.relays, requester, avoided)

    def end_run(
        self,
        state: enginestate.EngineState,
        key: enginestate.RunKey,
        report: slot.Report,
    ) -> enginestate.Run:
        """Remove a run, and learn from its report.

        Args:
            state: The back end that runs it.
            key: The node and the number of the slot request.
            report: The outcome.

        Returns:
            The run.
        """
        run = state.run_by_key[key]
        if report.pace > 0:
            self._note_pace(state, report)
        model = self.pace_by_service.get(state.engine.service)
        if model is not None:
            placement.note_end(key, state.engine.name, run, report, model)
            if report.idle_seconds > 0 and not run.via:
                now = clock.read_monotonic()
                state.idle.note(key[0], now, report.idle_seconds)
        if run.via:
            self.relays.count_end(run.via)
        if report.outcome is slot.Outcome.relay_lost:
            self.relays.note_lost(key[0], run.via)
            return state.end(key, report)
        node = run.name_node(key)
        if report.outcome in SUCCESS_OUTCOMES:
            self.paths.note_success(node, state.engine.name, run.started)
            if run.via:
                self.relays.note_success(key[0], run.via)
        judgement = pathtable.Judgement.engine
        if report.outcome in JUDGED_OUTCOMES:
            judgement = self.paths.note_fault(
                pathtable.Fault(
                    node,
                    state.engine.name,
                    report.outcome,
                    _find_progress(run, report),
                )
            )
        return state.end(key, report, judgement)

    def make_outlook(
        self,
        requester: str,
        request: slot.SlotRequest,
        stats: routestats.RouteStats,
    ) -> placement.Outlook | None:
        """Prepare to compare back ends whose machines have different paces.

        Args:
            requester: The node that sent the request.
            request: The slot request.
            stats: The statistics of its route.

        Returns:
            The comparison; nothing if no back end of the service reports the
            pace of its machine.
        """
        model = self.pace_by_service.get(request.service)
        if model is None:
            return None
        now = clock.read_monotonic()
        outlook = placement.Outlook(request, stats, model, now)
        outlook.requester = requester
        outlook.max_idle_seconds = placement.find_max_idle(
            self._view.deployment, request
        )
        return outlook

    def take_connection(
        self,
        state: enginestate.EngineState,
        requester: str,
        request: slot.SlotRequest,
    ) -> None:
        """Record that a node uses an idle connection, if it has a fit one.

        Args:
            state: The back end that the request goes to.
            requester: The node.
            request: The slot request.
        """
        state.idle.take(
            requester,
            clock.read_monotonic(),
            placement.find_max_idle(self._view.deployment, request),
        )

    def note_tolerance(self, notice: slot.EngineNotice) -> None:
        """Limit a back end that another broker knew to be brittle.

        Args:
            notice: What the back end said to a node. One that states no limit
                says nothing, as its sender may not know of one.
        """
        state = self.state_by_name.get(notice.engine)
        stated = notice.tolerated_rejections
        if state is None or stated == slot.NO_LIMIT:
            return
        if state.limit.tolerated is None:
            state.limit.expect(stated)

    def note_path(self, requester: str, report: slot.PathReport) -> None:
        """Record what a node found when it checked a path.

        Args:
            requester: The node.
            report: What it found.
        """
        self.paths.note_check(
            pathtable.name_node(requester), report.engine, report.is_open
        )

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
                state.run_by_key[key] = enginestate.Run(
                    run.request, started, run.via
                )
        self.paths.attach(requester)
        return self._expiry_by_disconnected.pop(requester, None) is not None

    def note_disconnected(self, requester: str) -> None:
        """Record that the connection to a node was lost.

        Args:
            requester: The node.
        """
        expiry = clock.read_monotonic() + DISCONNECTED_SECONDS
        self._expiry_by_disconnected[requester] = expiry
        self.paths.detach(requester)

    def expire(self) -> None:
        """Drop the runs of nodes disconnected for ``DISCONNECTED_SECONDS``.

        What is outdated of paths and relays is dropped, too.
        """
        self.paths.expire()
        self.relays.recount(self.state_by_name.values())
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

    def _note_pace(
        self, state: enginestate.EngineState, report: slot.Report
    ) -> None:
        # The figure came with the head of the answer, about when it began.
        age: float = 0
        if report.first_seconds:
            age = max(0, report.total_seconds - report.first_seconds)
        service = state.engine.service
        model = self.pace_by_service.setdefault(
            service, enginespeed.PaceModel()
        )
        state.speed.note(report.pace, clock.read_monotonic() - age, model)

    def _has_limits(self) -> bool:
        return self.paths.has_faults() or self.notices.has_pauses()

    def _clear_faults(self, name: str) -> None:
        state = self.state_by_name.get(name)
        if state:
            state.clear_faults()


def _find_progress(run: enginestate.Run, report: slot.Report) -> float:
    # When a run that has ended was last seen to progress, at the latest.
    if report.first_seconds:
        return clock.read_monotonic() - SILENCE_SECONDS
    return run.started
