"""The broker's state of one back end: running requests, health and speed."""

import collections
import dataclasses

from pimentoway.core import clock, deployment, log
from pimentoway.ops import (
    brittle,
    enginespeed,
    idletable,
    pathrecord,
    pathtable,
    slot,
    window,
)

#: Consecutive faults after which a back end is paused.
FAULTS_UNTIL_PAUSE = 2

#: Seconds of the first pause after faults; each further fault doubles it.
PAUSE_SECONDS = 0.5

#: The upper bound of a pause, in seconds: a back end that restarts is back
#: after some seconds.
MAX_PAUSE_SECONDS = 2

#: Seconds for which a back end that refused a request as full is paused.
FULL_PAUSE_SECONDS = 0.1

#: Seconds for which the load that a back end reported is used.
LOAD_EXPIRY_SECONDS = 1.5

#: The weight of a new sample in moving averages.
SMOOTHING = 0.15

#: The slots of a back end that does not state their number.
DEFAULT_SLOTS = 4

#: The window in which requests to a cold back end are counted, in seconds.
#: The rate is bounded for each second; the window is longer, as the network
#: delay differs between requests.
COLD_WINDOW_SECONDS = 1.1

#: Seconds after which a run of a back end in doubt, or on a path that opens
#: again, shows by not having failed that more requests may follow: longer than
#: the node waits for a connection or for an answer to go on.
TRUST_SECONDS = 2.0

#: The judgements of faults that count against the back end.
COUNTED_JUDGEMENTS = frozenset(
    (pathtable.Judgement.engine, pathtable.Judgement.confirmed)
)

#: The outcomes that show that a back end is up.
ANSWERED_OUTCOMES = frozenset((slot.Outcome.answered, slot.Outcome.failed))

_LOG = log.Log('broker')


RunKey = tuple[str, int]


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a back end runs.

    Attributes:
        request: The slot request that was granted.
        started: The monotonic time of the grant.
        via: The name of the node that relays it; '' if none does.
        forecast: What was expected of it; nothing if the pace of machines is
            not known.
    """

    request: slot.SlotRequest
    started: float
    via: str = ''
    forecast: enginespeed.Forecast | None = None

    def name_node(self, key: RunKey) -> str:
        """Name the node that connects to the back end.

        Args:
            key: The node that asked for the slot and the number of the
                request.

        Returns:
            The node that relays the run, or else the one that asked.
        """
        return self.via or pathtable.name_node(key[0])


class EngineState:
    """What the broker knows of one back end.

    Attributes:
        engine: The registry entry of the back end.
        run_by_key: The running requests, by node and number of the slot
            request.
        relative_duration: The moving average of the durations of its runs, each
            relative to the usual duration in the service; 1 is usual.
        failure_rate: The moving average of the fraction of failed answers.
        paused_until: The monotonic time at which a pause ends.
        doubted_since: When a node reported a fault that others have to
            confirm, on the monotonic clock; 0 if none did.
        limit: What it gets if it can reject few requests.
        speed: How fast its machine is now, as it reported.
        idle: The idle connections that nodes have to it.
    """

    def __init__(self, engine: deployment.Engine) -> None:
        """Start without runs, as a healthy back end.

        Args:
            engine: The registry entry of the back end.
        """
        now = clock.read_monotonic()
        self._first_seen = now
        self.engine = engine
        self.limit = brittle.Limit(engine.name)
        self.speed = enginespeed.EngineSpeed()
        self.idle = idletable.IdleConnections()
        self.run_by_key: dict[RunKey, Run] = {}
        self.relative_duration = 1.0
        self.failure_rate: float = 0
        self.paused_until: float = 0
        self.doubted_since: float = 0
        self._fault_count = 0
        self._confirmed_at: float = 0
        self._foreign_requests = 0
        self._load_time = float('-inf')
        # On the steady clock, so that a step of the wall clock back makes no
        # warm back end cold again.
        self._cold_until = clock.read_monotonic() + engine.cold_seconds
        self._recent_starts = window.Window(COLD_WINDOW_SECONDS)

    def update(self, engine: deployment.Engine) -> bool:
        """Apply a new registry entry.

        Args:
            engine: The entry.

        Returns:
            Whether the back end restarted or has another address, so that
            the runs and faults counted so far are dropped.
        """
        if engine == self.engine:
            # `cold_seconds` counts from the time when the entry was written, so
            # an unchanged entry must not start the cold period again.
            return False
        restarted = engine.born != self.engine.born
        moved = engine.address != self.engine.address
        self.engine = engine
        if engine.cold_seconds:
            until = clock.read_monotonic() + engine.cold_seconds
            self._cold_until = max(self._cold_until, until)
        if restarted or moved:
            self.run_by_key.clear()
            self.clear_faults()
            self.failure_rate = 0
            self.limit.expect(self.limit.tolerated)
            self.speed.clear()
            self.idle.clear()
        return restarted or moved

    def clear_faults(self) -> None:
        """Drop the faults and the pause, as they don't count any more."""
        self.paused_until = 0
        self.doubted_since = 0
        self._fault_count = 0
        self._confirmed_at = 0

    def has_new_run(self, requester: str) -> bool:
        """Tell whether a node's requests must wait for the one that it sent.

        Args:
            requester: The node, which may send one request at a time.

        Returns:
            Whether a run that it started itself less than ``TRUST_SECONDS``
            ago has not ended.
        """
        trusted = clock.read_monotonic() - TRUST_SECONDS
        return any(
            key[0] == requester and not run.via and run.started > trusted
            for key, run in self.run_by_key.items()
        )

    def count_slots(self, share: float) -> int:
        """Count the slots that this broker may use.

        Args:
            share: The fraction of the nodes that use this broker.

        Returns:
            The slots; 0 only if the back end must be spared.
        """
        return self.measure_slots(share, clock.read_monotonic())[0]

    def count_free(self, share: float) -> int:
        """Count the free slots.

        Args:
            share: The fraction of the nodes that use this broker.

        Returns:
            The free slots; 0 while the back end is paused.
        """
        return self.measure_slots(share, clock.read_monotonic())[1]

    def measure_slots(self, share: float, now: float) -> tuple[int, int]:
        """Count the slots that this broker may use, and the free ones.

        Args:
            share: The fraction of the nodes that use this broker.
            now: The monotonic time.

        Returns:
            The usable slots, and the free ones among them; none is free
            while the back end is paused or must be spared.
        """
        slots = self._count_usable(share, now)
        slots = self.limit.bound_slots(slots, share)
        running = self.limit.count_occupied(len(self.run_by_key))
        if now < self.paused_until or not self.limit.may_start(running, share):
            return slots, 0
        # After a pause, one request at a time probes the back end.
        allowed = 1 if self._fault_count >= FAULTS_UNTIL_PAUSE else slots
        unused = max(0, allowed - running)
        if self.doubted_since:
            unused = min(unused, self._count_probes(now))
        return slots, unused

    def measure_utilization(self) -> float:
        """Measure the utilization of the back end by this broker's grants.

        Returns:
            The running requests relative to the slots of the back end.
        """
        return len(self.run_by_key) / (self.engine.slots or DEFAULT_SLOTS)

    def is_within_cold_rate(self, rate: float, share: float) -> bool:
        """Tell whether the rate limit of a cold back end allows a request.

        Args:
            rate: The requests a second that a cold back end may get from all
                nodes; 0 for no limit.
            share: The fraction of the nodes that use this broker.

        Returns:
            Whether one more request is within this broker's share of the
            rate; always so if the back end is not cold.
        """
        if not rate or clock.read_monotonic() >= self._cold_until:
            return True
        return self._recent_starts.measure() + 1 <= max(1, rate * share)

    def is_cold(self) -> bool:
        """Tell whether the back end is in its cold start.

        Returns:
            Whether it is.
        """
        return clock.read_monotonic() < self._cold_until

    def measure_age(self) -> float:
        """Measure the time since the broker first saw the back end.

        Returns:
            The seconds.
        """
        return clock.read_monotonic() - self._first_seen

    def start(
        self,
        key: RunKey,
        request: slot.SlotRequest,
        via: str = '',
        forecast: enginespeed.Forecast | None = None,
    ) -> None:
        """Record that a slot was granted.

        Args:
            key: The node and the number of the slot request.
            request: The slot request.
            via: The name of the node that relays it; '' if none does.
            forecast: What is expected of it.
        """
        now = clock.read_monotonic()
        self.run_by_key[key] = Run(request, now, via, forecast)
        self._recent_starts.add()
        self.limit.note_start(key, len(self.run_by_key))

    def keep_runs(
        self, requester: str, kept: collections.abc.Container[RunKey]
    ) -> None:
        """Drop all runs of a node except the given ones.

        Args:
            requester: The node that the slots were granted to.
            kept: The keys of the runs that are kept.
        """
        dropped = [
            key
            for key in self.run_by_key
            if key[0] == requester and key not in kept
        ]
        for key in dropped:
            self.run_by_key.pop(key)

    def end(
        self,
        key: RunKey,
        report: slot.Report,
        judgement: pathtable.Judgement = pathtable.Judgement.engine,
    ) -> Run | None:
        """Remove a run, and learn load and health from its report.

        Args:
            key: The node and the number of the slot request.
            report: The outcome, and the load that the back end reported.
            judgement: What the outcome says of the back end if it is a fault.

        Returns:
            The run; nothing if it was not known.
        """
        run = self.run_by_key.pop(key, None)
        self.limit.note_end(key, report, len(self.run_by_key))
        self._record_load(report)
        paused_until = self.paused_until
        self._record_outcome(report.outcome, judgement)
        if self.paused_until > paused_until:
            self._log_pause(key, report.outcome)
        return run

    def note_relative_duration(self, ratio: float) -> None:
        """Add the duration of a run to the moving average.

        Args:
            ratio: Its duration relative to the usual one in the service.
        """
        self.relative_duration += SMOOTHING * (ratio - self.relative_duration)
        self.speed.note_duration(ratio, clock.read_monotonic())

    def note_unfinished(self, ratio: float) -> None:
        """Add the duration of a run that did not end to the moving average.

        Args:
            ratio: The duration up to now, relative to the usual one of as many
                events; ignored if it shows no slowness, as the run might have
                gone on.
        """
        if ratio > self.relative_duration:
            self.note_relative_duration(ratio)

    def _count_usable(self, share: float, now: float) -> int:
        slots = self.engine.slots or DEFAULT_SLOTS
        reported = now - self._load_time < LOAD_EXPIRY_SECONDS
        if share >= 1:
            # With all nodes at this broker, a difference of one is a request
            # or an answer in transit.
            foreign = (
                self._foreign_requests
                if reported and self._foreign_requests > 1
                else 0
            )
            return max(1, slots - foreign)
        if reported:
            return max(1, slots - self._foreign_requests)
        return max(1, round(slots * share))

    def _record_load(self, report: slot.Report) -> None:
        now = clock.read_monotonic()
        if report.cold_seconds > 0:
            until = clock.read_monotonic() + report.cold_seconds
            self._cold_until = max(self._cold_until, until)
        if report.running < 0:
            return
        # The back end counted the run that ended now as still running.
        own = len(self.run_by_key) + 1
        self._foreign_requests = max(0, report.running + report.waiting - own)
        self.speed.note_waiting(report.waiting, now)
        self._load_time = now

    def _count_probes(self, now: float) -> int:
        # How many requests more may show whether the back end works.
        started = [
            run.started
            for run in self.run_by_key.values()
            if run.started >= self.doubted_since
        ]
        if not started:
            return 1
        if now - min(started) < TRUST_SECONDS:
            return 0
        self.doubted_since = 0
        return self.engine.slots or DEFAULT_SLOTS

    def _record_outcome(
        self, outcome: slot.Outcome, judgement: pathtable.Judgement
    ) -> None:
        now = clock.read_monotonic()
        if outcome in ANSWERED_OUTCOMES:
            self._clear_refuted(now)
        if outcome is slot.Outcome.shed:
            self._record_rejection(now)
        elif outcome is slot.Outcome.answered:
            self.failure_rate -= SMOOTHING * self.failure_rate
        elif outcome is slot.Outcome.failed:
            self.failure_rate += SMOOTHING * (1 - self.failure_rate)
        elif outcome in slot.FAULT_OUTCOMES:
            self._record_judged_fault(outcome, judgement, now)

    def _clear_refuted(self, now: float) -> None:
        # An error response, too, shows that the back end is up.
        if self._confirmed_at and (
            now - self._confirmed_at > pathrecord.PROOF_SECONDS
        ):
            self.paused_until = 0
            self._confirmed_at = 0
        self._fault_count = 0
        self.doubted_since = 0

    def _record_rejection(self, now: float) -> None:
        # The limit of a brittle back end says when it gets the next request.
        if self.limit.tolerated is None:
            pause = now + FULL_PAUSE_SECONDS
            self.paused_until = max(self.paused_until, pause)

    def _record_judged_fault(
        self,
        outcome: slot.Outcome,
        judgement: pathtable.Judgement,
        now: float,
    ) -> None:
        if judgement is pathtable.Judgement.doubted:
            self.doubted_since = self.doubted_since or now
        if judgement is pathtable.Judgement.confirmed:
            if now < self.paused_until:
                # The run started before the pause, so it says nothing new.
                return
            self.doubted_since = 0
            self._confirmed_at = now
            self._fault_count = max(self._fault_count, FAULTS_UNTIL_PAUSE - 1)
        if judgement in COUNTED_JUDGEMENTS:
            self._record_fault(outcome, now)

    def _record_fault(self, outcome: slot.Outcome, now: float) -> None:
        self._fault_count += 1
        self.failure_rate += SMOOTHING * (1 - self.failure_rate)
        if outcome is slot.Outcome.unreachable:
            self._fault_count = max(self._fault_count, FAULTS_UNTIL_PAUSE)
        if outcome is slot.Outcome.misdirected:
            self.paused_until = now + MAX_PAUSE_SECONDS
        elif self._fault_count >= FAULTS_UNTIL_PAUSE:
            doubled = PAUSE_SECONDS * 2 ** (
                self._fault_count - FAULTS_UNTIL_PAUSE
            )
            pause = min(MAX_PAUSE_SECONDS, doubled)
            self.paused_until = max(self.paused_until, now + pause)

    def _log_pause(self, key: RunKey, outcome: slot.Outcome) -> None:
        seconds = self.paused_until - clock.read_monotonic()
        _LOG.write(
            'pauses a back end.',
            engine=self.engine.name,
            owner=key[0],
            number=key[1],
            outcome=outcome.name,
            seconds=round(seconds, 3),
            faults=self._fault_count,
            running=len(self.run_by_key),
        )


@dataclasses.dataclass(frozen=True)
class Choice:
    """A back end that was chosen for a request.

    Attributes:
        state: The back end.
        forecast: What is expected there; nothing if the pace of machines is
            not known.
    """

    state: EngineState
    forecast: enginespeed.Forecast | None = None
