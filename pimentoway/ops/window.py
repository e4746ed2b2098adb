"""Sums over a sliding window of time."""

import collections

from pimentoway.core import clock


class Window:
    """A sum over the last seconds.

    Attributes:
        total: The sum at the last look.
    """

    def __init__(self, seconds: float) -> None:
        """Start empty.

        Args:
            seconds: The length of the window.
        """
        self.total: float = 0
        self._seconds = seconds
        self._entries: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    def add(self, amount: float = 1) -> None:
        """Add an amount now.

        Args:
            amount: The amount.
        """
        self._entries.append((clock.read_monotonic(), amount))
        self.total += amount

    def measure(self) -> float:
        """Measure the sum.

        Returns:
            The sum of what was added within the window.
        """
        start = clock.read_monotonic() - self._seconds
        while self._entries and self._entries[0][0] <= start:
            self.total -= self._entries.popleft()[1]
        if not self._entries:
            self.total = 0
        return self.total

    def measure_until(self, amount: float) -> float:
        """Work out when an amount will have left the window.

        Args:
            amount: The amount.

        Returns:
            Seconds until then; 0 if nothing has to leave.
        """
        now = clock.read_monotonic()
        left = amount
        for time, part in self._entries:
            if left <= 0:
                return 0
            left -= part
            if left <= 0:
                return max(0, time + self._seconds - now)
        return 0 if left <= 0 else self._seconds
