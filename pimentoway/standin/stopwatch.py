"""Measures time in tests without what a busy machine adds to it."""

import pathlib

from pimentoway.core import clock

#: Linux counts here, in nanoseconds, for how long the main thread ran and for
#: how long it was ready to run but waited for a CPU.
SCHEDULER_PATH = pathlib.Path('/proc/self/schedstat')

NANOSECONDS = 1_000_000_000


def read_queued() -> float:
    """Read for how long the main thread has waited for a CPU.

    Sleeping, waiting for input and blocking calls don't count.

    Returns:
        Seconds since its start; 0 where the kernel doesn't tell.
    """
    try:
        return int(SCHEDULER_PATH.read_text().split()[1]) / NANOSECONDS
    except (OSError, IndexError, ValueError):
        return 0


class Stopwatch:
    """Measures the time since its creation, except the waits for a CPU.

    A bound on it holds at any load, and is as strict as one on the elapsed
    time on an idle machine. What a test measures must run in its main thread.
    """

    def __init__(self) -> None:
        """Start."""
        self._started = clock.read_monotonic()
        self._queued = read_queued()

    def read(self) -> float:
        """Read the stopwatch.

        Returns:
            Seconds since its creation in which the process was not held up.
        """
        queued = read_queued() - self._queued
        return clock.read_monotonic() - self._started - queued
