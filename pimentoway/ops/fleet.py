"""A node's state of the back ends: load, limits, health and caches."""

import dataclasses

import msgspec

from pimentoway.core import clock, configuration, index
from pimentoway.ops import limit, prefix, ramp

#: Seconds for which a back end gets no requests after a refused connection;
#: each further one doubles them.
BACKOFF_SECONDS = 0.5

#: The upper bound of that time, in seconds.
BACKOFF_CEILING_SECONDS = 8

#: The time for a unit of work, relative to the best known, from which an answer
#: counts as slow.
SLOW_RATIO = 4

#: Consecutive slow answers after which a warm back end counts as cold again.
SLOW_ANSWERS_UNTIL_COLD = 2

#: The shortest time for which a back end that slowed down counts as cold, in
#: seconds.
SLOWDOWN_COLD_SECONDS = 10


class LoadReport(msgspec.Struct, frozen=True):
    """The load that a back end reports, some seconds old.

    Attributes:
        boot: An identifier that changes with each start of the back end.
        uptime: Seconds since the start.
        running: The requests that it runs, of all nodes.
        waiting: The requests that wait in its own queue.
        draining: Whether it is about to leave.
    """

    boot: str
    uptime: float
    running: int = 0
    waiting: int = 0
    draining: bool = False


@dataclasses.dataclass
class Health:
    """The connection health and the start state of a back end.

    Attributes:
        refused_connections: Consecutive refused connections.
        backoff_until: The monotonic time until which it gets no requests.
        slow_answers: Consecutive slow answers.
        boot: The boot identifier of the last report; ``''`` before the first.
        draining: Whether it reported that it is about to leave.
        cold_sequence: The sequence number of the last cold start that another
            node announced.
    """

    refused_connections: int = 0
    backoff_until: float = 0
    slow_answers: int = 0
    boot: str = ''
    draining: bool = False
    cold_sequence: int = 0


class BackendState:
    """A node's state of one back end.

    Attributes:
        backend: Its record in the configuration.
        limit: The adaptive concurrency limit.
        ramp: The ramp after a start.
        health: Its connection health and start state.
        prefixes: The prompt prefixes that its cache probably holds.
        inflight: The in-flight requests of this node, by identifier.
        report: The last report, if any.
        report_time: The monotonic time of the last report.
        poll_time: The monotonic time of the last poll for a report.
        lease_end_by_permit: The slots lent to other nodes: by permit, the
            monotonic time at which the lease ends.
        permits: The unused permits that this node borrowed.
        permit_by_request: The permits that in-flight requests use, by
            identifier of the request.
    """

    def __init__(self, backend: configuration.Backend) -> None:
        """Start as a cold back end without requests.

        Args:
            backend: The record of the back end.
        """
        self.backend = backend
        self.limit = limit.Limit()
        self.ramp = ramp.Ramp(backend.cold_slots, backend.cold_seconds)
        self.health = Health()
        self.prefixes = prefix.PrefixIndex()
        self.inflight: dict[str, object] = {}
        self.lease_end_by_permit: dict[str, float] = {}
        self.permits: list[str] = []
        self.permit_by_request: dict[str, str] = {}
        self.report: LoadReport | None = None
        self.report_time = float('-inf')
        self.poll_time = float('-inf')

    def note_report(self, report: LoadReport) -> bool:
        """Update load, limit and ramp from a report.

        Args:
            report: The report.

        Returns:
            Whether the back end restarted since the last report.
        """
        restarted = self.health.boot not in {'', report.boot}
        first = self.report is None
        self.report = report
        self.limit.record_load(
            report.running,
            report.waiting,
            len(self.inflight),
        )
        self.report_time = clock.read_monotonic()
        self.health.boot = report.boot
        self.health.draining = report.draining
        cold_seconds = self.backend.cold_seconds
        if restarted or (first and report.uptime < cold_seconds):
            self.mark_cold(cold_seconds - report.uptime)
        elif first and self.ramp.phase is ramp.Phase.cold:
            self.ramp.finish()
        return restarted

    def mark_cold(self, cold_seconds: float) -> None:
        """Treat the back end as cold, with an empty cache.

        Args:
            cold_seconds: The shortest time for which it counts as cold, in
                seconds.
        """
        self.ramp.restart(cold_seconds)
        self.limit.slots = limit.INITIAL_SLOTS
        self.prefixes.clear()

    def note_cold_start(self, sequence: int) -> bool:
        """Apply the announcement that the back end is cold again.

        Args:
            sequence: The sequence number of the announcement.

        Returns:
            Whether the announcement was new.
        """
        if sequence <= self.health.cold_sequence:
            return False
        self.health.cold_sequence = sequence
        self.mark_cold(SLOWDOWN_COLD_SECONDS)
        return True

    def note_refused_connection(self) -> None:
        """Stop sending requests for a time that doubles with each call."""
        self.health.refused_connections += 1
        backoff = BACKOFF_SECONDS * 2 ** (self.health.refused_connections - 1)
        self.health.backoff_until = clock.read_monotonic() + min(
            backoff,
            BACKOFF_CEILING_SECONDS,
        )

    def note_answer(self, pace: float, nodes: int) -> bool:
        """Update limit and ramp from an answer that came whole.

        Args:
            pace: The seconds for a unit of work.
            nodes: The number of nodes that share the back end.

        Returns:
            Whether the back end counts as cold again, as it slowed down.
        """
        self.health.refused_connections = 0
        ratio = self.limit.record_answer_pace(pace, len(self.inflight))
        slow = ratio > SLOW_RATIO
        self.ramp.record_answer(not slow, nodes)
        self.health.slow_answers = self.health.slow_answers + 1 if slow else 0
        if self.health.slow_answers < SLOW_ANSWERS_UNTIL_COLD:
            return False
        self.health.slow_answers = 0
        if self.ramp.phase is not ramp.Phase.warm:
            return False
        self.mark_cold(SLOWDOWN_COLD_SECONDS)
        return True

    def note_failure(self, nodes: int) -> None:
        """Lower limit and ramp after an answer that failed.

        Args:
            nodes: The number of nodes that share the back end.
        """
        self.limit.record_overload()
        self.ramp.record_answer(False, nodes)


class Fleet:
    """The back ends of the configuration.

    Attributes:
        by_name: Their states, by name.
    """

    def __init__(self) -> None:
        """Start without back ends."""
        self.by_name: dict[str, BackendState] = {}

    def update(self, config_index: index.Index) -> None:
        """Apply a new configuration.

        A back end whose address changed starts with a new state.

        Args:
            config_index: The configuration in force.
        """
        previous = self.by_name
        self.by_name = {}
        for name, backend in config_index.backends_by_name.items():
            state = previous.get(name)
            if state is None or state.backend.address != backend.address:
                state = BackendState(backend)
            state.backend = backend
            self.by_name[name] = state


def count_lent_slots(state: BackendState) -> int:
    """Count the slots lent to other nodes, and drop expired leases.

    Args:
        state: The back end.

    Returns:
        The slots whose lease has not expired.
    """
    now = clock.read_monotonic()
    for permit_id, expiry in list(state.lease_end_by_permit.items()):
        if expiry <= now:
            state.lease_end_by_permit.pop(permit_id)
    return len(state.lease_end_by_permit)
