"""How many requests a brittle back end gets, by what it shows that it bears.

A brittle back end states how many requests a second it can reject for want of
room, and fails above that. Its room can be less than its entry tells.
"""

import collections
import dataclasses
import math
import random

from pimentoway.core import clock, log, metric
from pimentoway.ops import slot

#: The seconds after which a request that was not rejected counts as admitted:
#: a rejection comes at once.
VERIFICATION_SECONDS = 0.06

#: The window in which rejections are counted, in seconds. The back end counts
#: them in each second; the window is longer, as the network delay differs
#: between requests.
REJECTION_SECONDS = 1.1

#: The longest such window, in seconds, for a small share of the nodes.
MAX_REJECTION_SECONDS = 10

#: The most seconds that count between two looks at the time: after a longer
#: pause of the process, reports may wait to be read.
MAX_STEP_SECONDS = 0.04

#: The seconds that a request takes to its back end, and a report from there.
TRANSIT_SECONDS = 0.02

#: The seconds for which a back end may still count a request after its answer,
#: and those within which such rejections show that it does.
LAG_SECONDS = 0.03
LAG_EVIDENCE_SECONDS = 10

#: The shortest and the longest time, in seconds, from a rejection until more
#: room is tried; it doubles while there is none.
MIN_RAISE_SECONDS = 1.1
MAX_RAISE_SECONDS = 8.0

#: The least rejections a second that brokers share: one that states none must
#: be tried all the same, now and then.
MIN_BUDGET = 0.1

#: The range by which brokers spread their tries of the same back end.
SPREAD = (0.5, 1.5)

#: The outcomes of answers that the back end itself gave.
_ANSWER_OUTCOMES = frozenset(
    (slot.Outcome.answered, slot.Outcome.failed, slot.Outcome.shed)
)

_LOG = log.Log('brittle')

_Key = collections.abc.Hashable


@dataclasses.dataclass(frozen=True)
class _Start:
    """A request that may still be rejected.

    Attributes:
        time: The time of its start, on the limit's own clock.
        level: The requests that ran then, with it.
        doubtful: Those of them that may have ended before it arrived, as the
            reports of their ends came soon afterwards.
    """

    time: float
    level: int
    doubtful: int = 0


class Limit:
    """The limit on the requests of one back end; none unless it is brittle.

    Attributes:
        tolerated: How many requests a second the back end can reject; ``None``
            if it states no limit.
    """

    def __init__(self, engine: str) -> None:
        """Start without a limit.

        Args:
            engine: The name of the back end.
        """
        self.tolerated: int | None = None
        self._engine = engine
        # The most requests that it may run, as far as rejections tell.
        self._room = math.inf
        # The most requests that it was seen to run since its room was found
        # to have become less.
        self._proven = 0
        # The seconds that the limit counted, and when it last did.
        self._elapsed: float = 0
        self._settled_at = -math.inf
        self._start_by_key: dict[_Key, _Start] = {}
        self._rejection_times: collections.deque[float] = collections.deque()
        self._failed_steps = 0
        # When requests ended that it may still count, and until when it is
        # taken to count them.
        self._end_times: collections.deque[float] = collections.deque()
        self._lagging_until = -math.inf
        self._shrunk_at = -math.inf
        self._raise_seconds = MIN_RAISE_SECONDS
        self._expected_at = -math.inf
        self._share: float = 1
        self._spread: float = 1

    def expect(self, tolerated: int | None) -> None:
        """Apply the limit to a back end that has just started.

        Args:
            tolerated: How many requests a second others of its service can
                reject; ``None`` for no limit.
        """
        self.tolerated = tolerated
        self._expected_at = clock.read_monotonic()
        self._start_by_key.clear()
        self._rejection_times.clear()
        # Of several brokers only one finds it idle.
        self._room = int(self._share >= 1)
        self._proven = self._room
        self._spread = random.uniform(*SPREAD)
        self._failed_steps = 0
        self._raise_seconds = 0

    def count_occupied(self, running: int) -> int:
        """Count the requests that the back end may still count as running.

        Args:
            running: The requests that run.

        Returns:
            These, and those that have just ended if it counts them longer.
        """
        now = clock.read_monotonic()
        if self.tolerated is None or now >= self._lagging_until:
            return running
        return running + sum(
            time > now - LAG_SECONDS for time in self._end_times
        )

    def bound_slots(self, slots: int, share: float) -> int:
        """Bound the slots by the room of the back end.

        Args:
            slots: Its slots.
            share: The fraction of the nodes that use this broker.

        Returns:
            The slots that may be in use: one more than its room if it has
            rejected nothing for a while.
        """
        if self.tolerated is None:
            return slots
        self._share = share
        self._settle()
        return min(slots, self._room + self._is_raise_due())

    def may_start(self, occupied: int, share: float) -> bool:
        """Tell whether one more request may start now.

        All that may still be rejected, and what was rejected in the last
        second, must stay within what the back end tolerates.

        Args:
            occupied: The requests that it may count as running.
            share: The fraction of the nodes that use this broker.

        Returns:
            Whether it may; ``bound_slots`` limits the number besides.
        """
        if self.tolerated is None:
            return True
        self._settle()
        budget = max(self.tolerated, MIN_BUDGET) * share
        seconds = REJECTION_SECONDS
        if budget < 1:
            # Less than one rejection in a second is one in a longer time.
            seconds = min(seconds / budget, MAX_REJECTION_SECONDS)
            budget = 1
        left = int(budget) - self._count_rejections(seconds)
        if occupied < self._proven:
            return len(self._start_by_key) < max(1, left)
        # More than it was seen to run is tried with one request at a time.
        return left > 0 and not self._start_by_key

    def note_start(self, key: _Key, running: int) -> None:
        """Record the start of a request.

        Args:
            key: The key of its run.
            running: The requests that run, with it.
        """
        if self.tolerated is not None:
            self._settle()
            self._start_by_key[key] = _Start(self._elapsed, running)

    def note_end(self, key: _Key, report: slot.Report, running: int) -> None:
        """Learn from the end of a request.

        Args:
            key: The key of its run.
            report: Its outcome, and what the back end said of itself.
            running: The requests that still run.
        """
        self._note_tolerance(report, running)
        if self.tolerated is None:
            return
        self._settle()
        start = self._start_by_key.pop(key, None)
        level = start.level if start else running + 1
        if report.outcome is slot.Outcome.shed:
            self._note_rejection(level)
        elif report.outcome in slot.NOT_RUN_OUTCOMES:
            self._lower_levels(level)
        else:
            self._note_ended()
            if start and report.outcome in _ANSWER_OUTCOMES:
                self._note_admitted(level - start.doubtful)

    def _note_tolerance(self, report: slot.Report, running: int) -> None:
        stated = report.tolerated_rejections
        if stated is None or report.outcome not in _ANSWER_OUTCOMES:
            return
        tolerated = None if stated < 0 else stated
        if tolerated == self.tolerated:
            return
        if self.tolerated is None:
            self.expect(tolerated)
            self._room = math.inf
            self._proven = running + 1
        self.tolerated = tolerated
        self._log('other tolerance stated.', running=running)

    def _settle(self) -> None:
        # Requests that were not rejected in time were admitted.
        now = clock.read_monotonic()
        self._elapsed += min(now - self._settled_at, MAX_STEP_SECONDS)
        self._settled_at = now
        settled = [
            key
            for key, start in self._start_by_key.items()
            if start.time <= self._elapsed - VERIFICATION_SECONDS
        ]
        for key in settled:
            start = self._start_by_key.pop(key)
            self._note_admitted(start.level - start.doubtful)
        while self._end_times and self._end_times[0] <= now - LAG_SECONDS:
            self._end_times.popleft()

    def _note_ended(self) -> None:
        now = clock.read_monotonic()
        self._end_times.append(now)
        for key, start in self._start_by_key.items():
            if self._elapsed - start.time < TRANSIT_SECONDS:
                self._start_by_key[key] = dataclasses.replace(
                    start, doubtful=start.doubtful + 1
                )

    def _note_admitted(self, level: int) -> None:
        self._failed_steps = 0
        self._proven = max(self._proven, level)
        if level > self._room:
            self._room = level
            self._raise_seconds = min(self._raise_seconds, MIN_RAISE_SECONDS)

    def _note_rejection(self, level: int) -> None:
        # Requests that start together may arrive in another order.
        levels = [start.level for start in self._start_by_key.values()]
        running = max(level, *levels, 1) - 1
        self._lower_levels(level)
        self._rejection_times.append(clock.read_monotonic())
        self._spread = random.uniform(*SPREAD)
        metric.BRITTLE_REJECTIONS.labels(self._engine).inc()
        if running < self._proven or math.isinf(self._room):
            self._note_shrunk(running)
        # After a second rejection in a row, steps of one would cost too many.
        self._room = max(min(1, running), running >> self._failed_steps)
        self._failed_steps += 1
        if self._room < running:
            self._raise_seconds = 0
        else:
            self._raise_seconds = min(
                max(2 * self._raise_seconds, MIN_RAISE_SECONDS),
                MAX_RAISE_SECONDS,
            )
        self._log('rejection.', running=running)

    def _note_shrunk(self, running: int) -> None:
        # The back end has less room than it was seen to have before. If that
        # happens again and again, it counts requests after their end.
        now = clock.read_monotonic()
        since = now - self._shrunk_at
        again = REJECTION_SECONDS <= since < LAG_EVIDENCE_SECONDS
        seconds = LAG_EVIDENCE_SECONDS if again else REJECTION_SECONDS
        self._lagging_until = max(self._lagging_until, now + seconds)
        self._shrunk_at = now
        self._proven = min(1, running)
        # What is not rejected of those may have come before that.
        for key, start in self._start_by_key.items():
            self._start_by_key[key] = dataclasses.replace(
                start, doubtful=start.level
            )

    def _is_raise_due(self) -> bool:
        seconds = self._raise_seconds
        budget = max(self.tolerated, MIN_BUDGET) * self._share
        if budget < 1:
            # Other brokers try, too, and these tries must not come together.
            least = MAX_RAISE_SECONDS if self._room else MIN_RAISE_SECONDS
            seconds = max(seconds, least) / budget * self._spread
        times = self._rejection_times
        last = times[-1] if times else self._expected_at
        return clock.read_monotonic() - last >= seconds

    def _lower_levels(self, level: int) -> None:
        for key, start in self._start_by_key.items():
            if start.level > level:
                self._start_by_key[key] = dataclasses.replace(
                    start, level=start.level - 1
                )

    def _count_rejections(self, seconds: float) -> int:
        now = clock.read_monotonic()
        times = self._rejection_times
        while len(times) > 1 and times[0] <= now - MAX_REJECTION_SECONDS:
            times.popleft()
        return sum(time > now - seconds for time in times)

    def _log(self, text: str, **fields: object) -> None:
        _LOG.write(
            text,
            engine=self._engine,
            tolerated=self.tolerated,
            room=self._room if math.isfinite(self._room) else 0,
            proven=self._proven,
            **fields,
        )
