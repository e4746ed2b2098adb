"""A machine whose pace changes at random, for simulated back ends."""

import bisect
import random

#: The usual pace, the slow one, and the part of the time in which it is slow,
#: as one deployment has them.
USUAL_PACE = 1.0
SLOW_PACE = 2.5
SLOW_FRACTION = 0.15

#: The mean pace over a long time.
MEAN_PACE = USUAL_PACE + SLOW_FRACTION * (SLOW_PACE - USUAL_PACE)


class Machine:
    """A machine that is slow at times.

    Both kinds of periods are exponentially distributed, so that the pace has an
    exponential autocorrelation.
    """

    def __init__(
        self, chance: random.Random, correlation_seconds: float, start: float
    ) -> None:
        """Start at either pace.

        Args:
            chance: The source of random numbers.
            correlation_seconds: The time in which the autocorrelation of the
                pace decays to 1/e.
            start: The monotonic time at which it starts.
        """
        self._chance = chance
        self._correlation_seconds = correlation_seconds
        self._ends = [start]
        self._first_is_slow = chance.random() < SLOW_FRACTION

    def find_pace(self, now: float) -> float:
        """Find how long work takes, relative to the usual time.

        Args:
            now: The monotonic time.

        Returns:
            The pace.
        """
        self._extend(now)
        return self._find_period_pace(bisect.bisect_right(self._ends, now) - 1)

    def compute_end(self, start: float, work: float) -> float:
        """Compute when work ends.

        Args:
            start: The monotonic time at which it starts.
            work: The time that it takes at the usual pace, in seconds.

        Returns:
            The monotonic time.
        """
        self._extend(start)
        number = bisect.bisect_right(self._ends, start) - 1
        now = start
        left = work
        while True:
            self._extend(now)
            pace = self._find_period_pace(number)
            end = now + left * pace
            if end <= self._ends[number + 1]:
                return end
            left -= (self._ends[number + 1] - now) / pace
            now = self._ends[number + 1]
            number += 1

    def _find_period_pace(self, number: int) -> float:
        is_slow = self._first_is_slow ^ bool(number % 2)
        return SLOW_PACE if is_slow else USUAL_PACE

    def _extend(self, now: float) -> None:
        while self._ends[-1] <= now:
            is_slow = self._find_period_pace(len(self._ends) - 1) == SLOW_PACE
            fraction = SLOW_FRACTION if is_slow else 1 - SLOW_FRACTION
            mean = self._correlation_seconds / (1 - fraction)
            self._ends.append(
                self._ends[-1] + self._chance.expovariate(1 / mean)
            )
