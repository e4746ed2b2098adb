"""The back ends as one node sees them: load, limits, health and caches."""

import dataclasses

import msgspec

from pimentoway.core import clock, configuration, index
from pimentoway.ops import limit, prefix, ramp

#: Seconds for which a back end is left alone after a refused connection.
BACKOFF_SECONDS = 0.5

#: The longest time for which a back end is left alone, in seconds.
BACKOFF_CEILING_SECONDS = 8

#: The pace against the best known from which an answer counts as slow.
SLOW_RATIO = 4

#: Slow answers in a row after which a back end counts as cold again.
SLOW_ANSWERS = 2

#: Seconds for which a back end that fell back counts as cold at least.
FALLBACK_SECONDS = 10


class Report(msgspec.Struct, frozen=True):
    """A back end's report of its own load, late by some seconds.

    Attributes:
        boot: An identifier that changes with each start.
        uptime: Seconds since the start.
        running: The requests that it runs.
        waiting: The requests that it holds back.
        draining: Whether it will leave.
    """

    boot: str
    uptime: float
    running: int = 0
    waiting: int = 0
    draining: bool = False


@dataclasses.dataclass
class Health:
    """Whether a back end can be reached.

    Attributes:
        failures: Refused connections in a row.
        closed_until: The time until which it is left alone.
        slow_answers: Slow answers in a row.
        boot: The boot identifier last seen.
        draining: Whether it said that it will leave.
        cold_sequence: The number of the last sign of a cold start.
    """

    failures: int = 0
    closed_until: float = 0
    slow_answers: int = 0
    boot: str = ''
    draining: bool = False
    cold_sequence: int = 0


class BackendState:
    """What one node knows of one back end.

    Attributes:
        backend: Its record in the configuration.
        limit: The learnt limit.
        ramp: The ramp.
        health: Whether it can be reached.
        prefixes: The prompt prefixes that it probably holds.
        inflight: The requests of this node that it runs, by identifier.
        report: The last report, if any.
        report_time: When the last report came.
        poll_time: When a report was last asked for.
        lent: The slots lent to other nodes: by permit, the end of the lease.
        permits: The unused permits that this node borrowed.
        permit_by_request: The permits that running requests use.
    """

    def __init__(self, backend: configuration.Backend) -> None:
        """Know nothing but the record.

        Args:
            backend: The record of the back end.
        """
        self.backend = backend
        self.limit = limit.Limit()
        self.ramp = ramp.Ramp(backend.cold_slots, backend.cold_seconds)
        self.health = Health()
        self.prefixes = prefix.PrefixIndex()
        self.inflight: dict[str, object] = {}
        self.lent: dict[str, float] = {}
        self.permits: list[str] = []
        self.permit_by_request: dict[str, str] = {}
        self.report: Report | None = None
        self.report_time = float('-inf')
        self.poll_time = float('-inf')

    def note_report(self, report: Report) -> bool:
        """Take in a report.

        Args:
            report: The report.

        Returns:
            Whether the back end started anew since the last report.
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
            self.restart(cold_seconds - report.uptime)
        elif first and self.ramp.phase is ramp.Phase.cold:
            self.ramp.finish()
        return restarted

    def restart(self, cold_seconds: float) -> None:
        """Count the back end as cold, with an empty cache.

        Args:
            cold_seconds: Seconds for which it counts as cold at least.
        """
        self.ramp.restart(cold_seconds)
        self.limit.slots = limit.INITIAL_SLOTS
        self.prefixes.clear()

    def note_cold_start(self, sequence: int) -> bool:
        """Take in that another node saw the back end fall back.

        Args:
            sequence: The number of the sign.

        Returns:
            Whether it was new.
        """
        if sequence <= self.health.cold_sequence:
            return False
        self.health.cold_sequence = sequence
        self.restart(FALLBACK_SECONDS)
        return True

    def note_refused_connection(self) -> None:
        """Leave the back end alone for a while, longer each time."""
        self.health.failures += 1
        pause = BACKOFF_SECONDS * 2 ** (self.health.failures - 1)
        self.health.closed_until = clock.read_monotonic() + min(
            pause,
            BACKOFF_CEILING_SECONDS,
        )

    def note_answer(self, pace: float, nodes: int) -> bool:
        """Learn from an answer that came whole.

        Args:
            pace: Seconds for a unit of work.
            nodes: The nodes that share the back end.

        Returns:
            Whether the back end seems to have fallen back into a cold start.
        """
        self.health.failures = 0
        ratio = self.limit.record_pace(pace, len(self.inflight))
        slow = ratio > SLOW_RATIO
        self.ramp.record_answer(not slow, nodes)
        self.health.slow_answers = self.health.slow_answers + 1 if slow else 0
        if self.health.slow_answers < SLOW_ANSWERS:
            return False
        self.health.slow_answers = 0
        if self.ramp.phase is not ramp.Phase.warm:
            return False
        self.restart(FALLBACK_SECONDS)
        return True

    def note_failure(self, nodes: int) -> None:
        """Learn from an answer that failed.

        Args:
            nodes: The nodes that share the back end.
        """
        self.limit.record_overload()
        self.ramp.record_answer(False, nodes)


class Fleet:
    """The back ends that one node knows.

    Attributes:
        by_name: Their states.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.by_name: dict[str, BackendState] = {}

    def update(self, view: index.Index) -> None:
        """Follow a new configuration.

        Args:
            view: The configuration in force.
        """
        known = self.by_name
        self.by_name = {}
        for name, backend in view.backends_by_name.items():
            state = known.get(name)
            if state is None or state.backend.address != backend.address:
                state = BackendState(backend)
            state.backend = backend
            self.by_name[name] = state


def count_lent(state: BackendState) -> int:
    """Count the slots that are lent, taking back those whose lease ended.

    Args:
        state: The back end.

    Returns:
        The slots.
    """
    now = clock.read_monotonic()
    for permit_id, until in list(state.lent.items()):
        if until <= now:
            state.lent.pop(permit_id)
    return len(state.lent)
