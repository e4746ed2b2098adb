"""Detects times in which the event loop of a soak test did not run.

All connections between nodes pass through the process of the soak test. While
its event loop stands still, all of them are silent at once.
"""

import collections
import contextlib
import dataclasses
import gc

import gevent

from pimentoway.core import clock
from pimentoway.standin import stopwatch

#: Seconds between two wake-ups of the task that detects stalls.
TICK_SECONDS = 0.02

#: The shortest delay of a wake-up, in seconds, that is recorded.
MIN_STALL_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Usage:
    """What the process has used since its start.

    Attributes:
        cpu: Seconds of CPU time.
        queued: Seconds that the main thread waited for a CPU; 0 where the
            kernel doesn't tell.
        collecting: Seconds in garbage collection, with waits for a CPU.
    """

    cpu: float
    queued: float
    collecting: float


@dataclasses.dataclass(frozen=True)
class Stall:
    """A time in which the event loop did not run.

    Attributes:
        start: When it began, in seconds of the monotonic clock.
        end: When it ended.
        usage: What the process used meanwhile.
    """

    start: float
    end: float
    usage: Usage

    def __str__(self) -> str:
        """Format the stall for the report.

        Returns:
            Its beginning, its length and what the process used meanwhile.
        """
        return (
            f'stall at {self.start:.3f} for {self.end - self.start:.3f} s, '
            f'CPU time {self.usage.cpu:.3f} s, waited for a CPU '
            f'{self.usage.queued:.3f} s, in garbage collection '
            f'{self.usage.collecting:.3f} s'
        )


class StallDetector:
    """Records the stalls of the event loop of this process.

    Attributes:
        stalls: The stalls so far.
    """

    def __init__(self) -> None:
        """Start without stalls; ``run`` detects them."""
        self.stalls: list[Stall] = []
        self._collecting: float = 0
        self._collection_start: float = 0

    def run(self) -> None:
        """Detect stalls until the task is killed."""
        gc.callbacks.append(self._note_collection)
        try:
            self._watch()
        finally:
            gc.callbacks.remove(self._note_collection)

    def _watch(self) -> None:
        usage = self._read_usage()
        ticked = clock.read_monotonic()
        while True:
            gevent.sleep(TICK_SECONDS)
            now = clock.read_monotonic()
            earlier, usage = usage, self._read_usage()
            seconds = now - ticked - TICK_SECONDS
            ticked = now
            if seconds >= MIN_STALL_SECONDS:
                used = Usage(
                    usage.cpu - earlier.cpu,
                    usage.queued - earlier.queued,
                    usage.collecting - earlier.collecting,
                )
                self.stalls.append(Stall(now - seconds, now, used))

    def _read_usage(self) -> Usage:
        return Usage(
            clock.read_cpu(), stopwatch.read_queued(), self._collecting
        )

    def _note_collection(self, phase: str, details: dict) -> None:
        now = clock.read_monotonic()
        if phase == 'start':
            self._collection_start = now
        else:
            self._collecting += now - self._collection_start


@contextlib.contextmanager
def shorten_collections() -> collections.abc.Generator[None]:
    """Exclude the objects of now from garbage collection in the context.

    A full collection reads all objects at a stretch, and on a busy machine a
    process that computes at a stretch is suspended in between: one of 0.05 s
    of CPU time stalled the event loop for 0.48 s.

    Yields:
        Nothing.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()
