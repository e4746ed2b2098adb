"""The number of requests that a back end bears at once, as it is learnt.

The limit rises additively while answers keep their pace and falls
multiplicatively when they slow down or the back end refuses.
"""

#: The limit before anything is known.
INITIAL_SLOTS = 4

#: The limit below which it never falls.
FLOOR_SLOTS = 1

#: The limit above which it never rises.
CEILING_SLOTS = 512

#: The factor by which the limit falls.
DECREASE = 0.7

#: The pace, against the best known, at which the limit falls.
SLOW_RATIO = 3

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
    """

    def __init__(self, slots: float = INITIAL_SLOTS) -> None:
        """Start from a cautious limit.

        Args:
            slots: The first limit.
        """
        self.slots = float(slots)
        self.pace: float = 0
        self.best_pace: float = 0

    def record_pace(self, pace: float, inflight: int) -> float:
        """Learn from an answer that came whole.

        Args:
            pace: Seconds for a unit of work, the gap between tokens say.
            inflight: The requests that were running beside it.

        Returns:
            The pace against the best known.
        """
        forgotten = self.best_pace * FORGETTING or pace
        self.best_pace = min(pace, forgotten)
        self.pace += SMOOTHING * (pace - self.pace) if self.pace else pace
        ratio = pace / self.best_pace if self.best_pace else 1.0
        if ratio > SLOW_RATIO:
            self.record_overload()
        elif ratio <= GOOD_RATIO and inflight + 1 >= int(self.slots):
            self.slots = min(CEILING_SLOTS, self.slots + 1 / self.slots)
        return ratio

    def record_overload(self) -> None:
        """Lower the limit: the back end refused or was far too slow."""
        self.slots = max(FLOOR_SLOTS, self.slots * DECREASE)
