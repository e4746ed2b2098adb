"""A sum over a sliding time window."""

import collections

from pimentoway.core import clock


class Window:
    """The sum of amounts that were added within the last seconds.

    Attributes:
        total: The sum as of the last call; `measure` drops what has expired.
    """

    def __init__(self, seconds: float) -> None:
        """Start empty.

        Args:
            seconds: The length of the window, in seconds.
        """
        self.total: float = 0
        self._seconds = seconds
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, amount: float = 1) -> None:
        """Add an amount at the current time.

        Args:
            amount: The amount.
        """
        self._samples.append((clock.read_monotonic(), amount))
        self.total += amount

    def measure(self) -> float:
        """Drop expired amounts and return the sum of the others.

        Returns:
            The sum.
        """
        start = clock.read_monotonic() - self._seconds
        while self._samples and self._samples[0][0] <= start:
            self.total -= self._samples.popleft()[1]
        if not self._samples:
            self.total = 0
        return self.total

    def measure_release_seconds(self, amount: float) -> float:
        """Compute the time until an amount has left the window.

        Args:
            amount: The amount by which the sum has to fall.

        Returns:
            The seconds: 0 for an amount of 0 or less, the length of the
            window for an amount above the sum.
        """
        now = clock.read_monotonic()
        left = amount
        for added_at, sample in self._samples:
            if left <= 0:
                return 0
            left -= sample
            if left <= 0:
                return max(0, added_at + self._seconds - now)
        return 0 if left <= 0 else self._seconds
