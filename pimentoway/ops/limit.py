"""The learnt limit of the requests that a back end runs at once.

The limit rises additively while answers keep their pace. It falls
multiplicatively when answers slow down, when the back end refuses, or when it
reports that requests wait there: a back end knows no tiers, so requests should
wait at the nodes, which do.

The pace of a back end is the time that it needs for a unit of work: the gap
between two tokens, or a whole call that isn't streamed. A smaller pace is
better.
"""

from pimentoway.core import clock

#: The limit before anything is known.
INITIAL_SLOTS = 2

#: The limit below which it never falls.
FLOOR_SLOTS = 1

#: The limit above which it never rises.
CEILING_SLOTS = 512

#: The rise of the limit after as many good answers as it has slots.
ADDITIVE_INCREASE = 0.2

#: The factor by which the limit falls after an overload.
MULTIPLICATIVE_DECREASE = 0.7

#: The smallest factor by which the limit falls when requests wait at the
#: back end.
WAITING_DECREASE = 0.5

#: The reported waiting requests that may just be entering the batch.
ENTERING_REQUESTS = 1

#: Seconds between two falls for waiting requests, as reports lag.
WAITING_DECREASE_SECONDS = 1

#: Seconds between two rises for reports without waiting requests.
RISE_SECONDS = 2

#: The ratio of pace to best pace above which a back end is overloaded.
OVERLOAD_RATIO = 3

#: The ratio of pace to best pace up to which the limit rises.
GOOD_RATIO = 2

#: The weight of a new sample in the moving averages of the pace.
SMOOTHING = 0.1

#: The factor by which the best pace grows per sample, so that an outdated
#: one is replaced in time.
BEST_PACE_GROWTH = 1.002


class Limit:
    """A learnt limit of concurrent requests.

    Attributes:
        slots: The limit; it is fractional while it rises.
        pace: The moving average of the pace in seconds; 0 while unknown.
        best_pace: The best recent pace in seconds; 0 while unknown.
        backlogged: Whether requests waited at the back end at the last
            report.
    """

    def __init__(self, slots: float = INITIAL_SLOTS) -> None:
        """Start from a low limit with an unknown pace.

        Args:
            slots: The first limit.
        """
        self.slots = float(slots)
        self.pace: float = 0
        self.best_pace: float = 0
        self.backlogged = False
        self._lowered_at = float('-inf')
        self._raised_at = float('-inf')

    def record_answer_pace(self, pace: float, inflight: int) -> float:
        """Adjust the limit after an answer that came whole.

        Args:
            pace: The mean pace of the answer in seconds.
            inflight: The requests of this node that run at the back end.

        Returns:
            The ratio of the pace to the best pace.
        """
        self._update_best_pace(pace)
        self.pace += SMOOTHING * (pace - self.pace) if self.pace else pace
        ratio = pace / self.best_pace if self.best_pace else 1.0
        if ratio > OVERLOAD_RATIO:
            self.record_overload()
        elif self._may_rise(ratio, inflight):
            rise = ADDITIVE_INCREASE / self.slots
            self.slots = min(CEILING_SLOTS, self.slots + rise)
        return ratio

    def record_stream_pace(self, pace: float) -> None:
        """Update the average pace within a stream, not only at its end.

        Thus a back end that slows down is avoided before its answers end.

        Args:
            pace: Seconds between the latest tokens; 0 is ignored.
        """
        if pace and self.pace:
            self.pace += SMOOTHING * (pace - self.pace)

    def record_load(self, running: int, waiting: int, inflight: int) -> None:
        """Adjust the limit after a report of the back end.

        If requests wait there, the limit falls to the fraction that runs, as
        this is what the back end can take. If none waits and the limit is
        used up, it rises by one.

        Args:
            running: The requests that the back end runs.
            waiting: The requests that wait there.
            inflight: The requests of this node that run at the back end.
        """
        self.backlogged = waiting > ENTERING_REQUESTS
        now = clock.read_monotonic()
        if (
            self.backlogged
            and now - self._lowered_at >= WAITING_DECREASE_SECONDS
        ):
            self._lowered_at = now
            self._raised_at = now
            fraction = max(WAITING_DECREASE, running / (running + waiting))
            self.slots = max(FLOOR_SLOTS, self.slots * fraction)
        used_up = inflight >= int(self.slots)
        if (
            used_up
            and not self.backlogged
            and now - self._raised_at >= RISE_SECONDS
        ):
            self._raised_at = now
            self.slots = min(CEILING_SLOTS, self.slots + 1)

    def record_overload(self) -> None:
        """Lower the limit after a failed or a far too slow answer."""
        self.slots = max(FLOOR_SLOTS, self.slots * MULTIPLICATIVE_DECREASE)

    def _update_best_pace(self, pace: float) -> None:
        # Tokens that arrive in a burst give a pace that is too good, so the
        # best pace moves towards a better sample instead of jumping to it.
        best = self.best_pace * BEST_PACE_GROWTH or pace
        if pace < best:
            best += SMOOTHING * (pace - best)
        self.best_pace = min(best, max(pace, self.best_pace))

    def _may_rise(self, ratio: float, inflight: int) -> bool:
        # A limit that is not used up says nothing about a higher one.
        used_up = inflight + 1 >= int(self.slots)
        return ratio <= GOOD_RATIO and used_up and not self.backlogged
