"""The number of requests that a back end bears at once, as it is learnt.

The limit rises additively while answers keep their pace and falls
multiplicatively when they slow down, when the back end refuses, or when it
reports that requests wait there: a back end knows no tiers, so requests should
wait at the nodes, which do.
"""

from pimentoway.core import clock

#: The limit before anything is known.
INITIAL_SLOTS = 2

#: The limit below which it never falls.
FLOOR_SLOTS = 1

#: The limit above which it never rises.
CEILING_SLOTS = 512

#: The rise of the limit for as many answers as it allows at once.
INCREASE = 0.2

#: The factor by which the limit falls.
DECREASE = 0.7

#: The factor by which the limit falls at the most when requests wait at the
#: back end.
WAITING_DECREASE = 0.5

#: The waiting requests of a report that are only on their way into the batch.
PASSING_REQUESTS = 1

#: Seconds between two such falls, as reports lag.
WAITING_SECONDS = 1

#: Seconds between two rises that reports of no waiting requests cause.
RISE_SECONDS = 2

#: The pace, against the best known, at which the limit falls.
SLOW_RATIO = 3

#: The factor by which the limit falls at the most when requests wait at the
#: back end.
WAITING_DECREASE = 0.5

#: The waiting requests of a report that are only on their way into the batch.
PASSING_REQUESTS = 1

#: Seconds between two such falls, as reports lag.
WAITING_SECONDS = 1

#: Seconds between two rises that reports of no waiting requests cause.
RISE_SECONDS = 2

#: The pace, against the best known, up to which the limit rises.
GOOD_RATIO = 2

#: The part of a new pace in the moving average.
SMOOTHING = 0.1

#: The growth of the best known pace a sample, so that it can be forgotten.
FORGETTING = 1.002


class Limit:
    """A learnt concurrency limit.

    Attributes:
        slots: The limit, a fraction while it rises.
        pace: The moving average of seconds for a unit of work.
        best_pace: The best pace seen lately; 0 while unknown.
        queued: Whether requests waited at the back end at the last report.
    """

    def __init__(self, slots: float = INITIAL_SLOTS) -> None:
        """Start from a cautious limit.

        Args:
            slots: The first limit.
        """
        self.slots = float(slots)
        self.pace: float = 0
        self.best_pace: float = 0
        self.queued = False
        self._lowered = float('-inf')
        self._raised = float('-inf')

    def record_pace(self, pace: float, inflight: int) -> float:
        """Learn from an answer that came whole.

        Args:
            pace: Seconds for a unit of work, the gap between tokens say.
            inflight: The requests that were running beside it.

        Returns:
            The pace against the best known.
        """
        self._learn_best(pace)
        self.pace += SMOOTHING * (pace - self.pace) if self.pace else pace
        ratio = pace / self.best_pace if self.best_pace else 1.0
        if ratio > SLOW_RATIO:
            self.record_overload()
        elif self._may_rise(ratio, inflight):
            rise = INCREASE / self.slots
            self.slots = min(CEILING_SLOTS, self.slots + rise)
        return ratio

    def observe_pace(self, pace: float) -> None:
        """Learn from a stream that goes on, so that a straggler shows soon.

        Args:
            pace: Seconds between its latest tokens; 0 is passed over.
        """
        if pace and self.pace:
            self.pace += SMOOTHING * (pace - self.pace)

    def record_load(self, running: int, waiting: int, inflight: int) -> None:
        """Learn from a report.

        What runs while others wait is what the back end bears, so the limit
        falls by the part that is too much. A limit that is used up while
        nothing waits rises by one.

        Args:
            running: The requests that the back end runs.
            waiting: The requests that wait there.
            inflight: The requests of this node among them.
        """
        self.queued = waiting > PASSING_REQUESTS
        now = clock.read_monotonic()
        if self.queued and now - self._lowered >= WAITING_SECONDS:
            self._lowered = now
            self._raised = now
            part = max(WAITING_DECREASE, running / (running + waiting))
            self.slots = max(FLOOR_SLOTS, self.slots * part)
        used_up = inflight >= int(self.slots)
        if used_up and not self.queued and now - self._raised >= RISE_SECONDS:
            self._raised = now
            self.slots = min(CEILING_SLOTS, self.slots + 1)

    def record_overload(self) -> None:
        """Lower the limit: the back end refused or was far too slow."""
        self.slots = max(FLOOR_SLOTS, self.slots * DECREASE)

    def _learn_best(self, pace: float) -> None:
        # Tokens that arrive together make a pace that is too good to be
        # true, so a better pace is approached and not taken at once.
        best = self.best_pace * FORGETTING or pace
        if pace < best:
            best += SMOOTHING * (pace - best)
        self.best_pace = min(best, max(pace, self.best_pace))

    def _may_rise(self, ratio: float, inflight: int) -> bool:
        # A limit that is not used up says nothing about a higher one.
        used_up = inflight + 1 >= int(self.slots)
        return ratio <= GOOD_RATIO and used_up and not self.queued
