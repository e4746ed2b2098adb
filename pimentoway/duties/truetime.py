"""True time, in spite of machines whose clocks jump.

Each process reads its wall clock once, at its start, and counts on with the
boot clock. The broker compares the nodes' times and takes their median as true,
so that it is right as long as most clocks were right when their processes
started.
"""

import collections
import math

from pimentoway.core import clock

#: The intervals in which a window is counted. The counts of a node whose clock
#: is wrong are shifted by whole intervals.
INTERVALS = 50

#: The latest messages of a node whose times are compared. The one that was
#: delayed least shows the difference best.
SAMPLES = 16

#: How often the clocks are read at the start; the quickest reading counts.
OFFSET_READINGS = 5

#: The difference, in seconds, from which a clock counts as wrong. A smaller
#: one may be delay in the network or on a busy machine.
WRONG_SECONDS = 0.5


def find_interval(seconds: float, window_seconds: float) -> int:
    """Find the interval of a point in time.

    Args:
        seconds: The true time, in seconds since the start of 1970.
        window_seconds: The length of a window.

    Returns:
        The number of the interval.
    """
    return math.floor(seconds * INTERVALS / window_seconds)


def find_window(seconds: float, window_seconds: float) -> int:
    """Find the window of a point in time.

    Args:
        seconds: The true time, in seconds since the start of 1970.
        window_seconds: The length of a window.

    Returns:
        The number of the window.
    """
    return find_interval(seconds, window_seconds) // INTERVALS


class TrueClock:
    """A process's own estimate of true time, which never jumps."""

    def __init__(self, offset: float | None = None) -> None:
        """Read the wall clock, which is not read again.

        Args:
            offset: The true time at the boot clock's 0, if it is known.
        """
        self._offset = _read_offset() if offset is None else offset

    def read(self) -> float:
        """Read the estimate.

        Returns:
            Seconds since the start of 1970.
        """
        return clock.read_boot() + self._offset


def _read_offset() -> float:
    # The process may be stopped for a while between two of the readings.
    readings = [
        (clock.read_boot(), clock.read_wall(), clock.read_boot())
        for _ in range(OFFSET_READINGS)
    ]
    before, wall, after = min(readings, key=lambda one: one[2] - one[0])
    return wall - (before + after) / 2


class TimeComparison:
    """The differences between other nodes' estimates and the own one."""

    def __init__(self) -> None:
        """Start without other nodes."""
        self._samples_by_requester: dict[str, collections.deque[float]] = {}

    def note(self, requester: str, difference: float) -> None:
        """Record by how much a node's time was ahead when its message came.

        Args:
            requester: The node.
            difference: The difference, in seconds.
        """
        samples = self._samples_by_requester.get(requester)
        if samples is None:
            samples = collections.deque(maxlen=SAMPLES)
            self._samples_by_requester[requester] = samples
        samples.append(difference)

    def drop(self, requester: str) -> None:
        """Forget a node.

        Args:
            requester: The node.
        """
        self._samples_by_requester.pop(requester, None)

    def measure(self, requester: str) -> float:
        """Estimate by how much a node's time is ahead of the own one.

        Args:
            requester: The node.

        Returns:
            The difference in seconds; 0 for an unknown node.
        """
        # A delay makes the sender's time look earlier than it is.
        return max(self._samples_by_requester.get(requester, (0,)))

    def measure_median(
        self, requesters: list[str], previous: float = 0
    ) -> float:
        """Compute by how much true time is ahead of the own estimate.

        Args:
            requesters: The other nodes whose times count.
            previous: The median so far.

        Returns:
            The median of the differences and the own 0, in seconds. Of two
            middle values the one nearer to the previous median is taken, so
            that a node that restarts decides nothing.
        """
        ordered = sorted([0, *map(self.measure, requesters)])
        middle = len(ordered) // 2
        if len(ordered) % 2:
            return ordered[middle]
        lower = ordered[middle - 1]
        upper = ordered[middle]
        return upper if upper - previous < previous - lower else lower
