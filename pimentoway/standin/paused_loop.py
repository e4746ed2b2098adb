"""A gevent event loop whose clock moves only when a test advances it.

Set it in gevent's configuration before the first hub is created. From then
on, all sleeps, timeouts and timed waits follow ``PausedLoop.advance``.
"""

import collections
import gc
import heapq
import itertools
import random

import gevent
from gevent.libev import corecext

#: The import path of the loop, for gevent's configuration.
LOOP_PATH = 'pimentoway.standin.paused_loop.PausedLoop'

#: Wall-clock time at monotonic time 0, in seconds since the Unix epoch.
EPOCH = 1_800_000_000

#: Monotonic time at which the clock starts, in seconds.
START = 1000


class PausedTimer:
    """A timer of the paused loop, with the interface of gevent's timers.

    Attributes:
        due: Monotonic time at which it fires; None while it is stopped.
        generation: Incremented by every start and stop, so that the loop can
            discard queued firings of earlier starts.
        callback: The function to call.
        args: The arguments of the callback.
        repeat: Seconds between repetitions; 0 for a timer that fires once.
    """

    def __init__(self, loop: 'PausedLoop', after: float, repeat: float) -> None:
        """Create a stopped timer.

        Args:
            loop: The loop that fires it.
            after: Seconds from its start until it fires.
            repeat: Seconds between repetitions; 0 for none.
        """
        self.due: float | None = None
        self.generation = 0
        self.callback: collections.abc.Callable | None = None
        self.args: tuple = ()
        self.repeat = repeat
        self.pending = False
        self._loop = loop
        self._after = after

    def start(
        self,
        callback: collections.abc.Callable,
        *args: object,
        update: bool = True,
    ) -> None:
        """Start the timer.

        Args:
            callback: The function to call.
            *args: The arguments of the callback.
            update: Ignored.
        """
        self.callback = callback
        self.args = args
        self.schedule(self._after)

    def again(
        self,
        callback: collections.abc.Callable,
        *args: object,
        update: bool = True,
    ) -> None:
        """Restart the timer so that it next fires after its period.

        Args:
            callback: The function to call.
            *args: The arguments of the callback.
            update: Ignored.
        """
        self.callback = callback
        self.args = args
        self.schedule(self.repeat)

    def schedule(self, after: float) -> None:
        """Queue the next firing.

        Args:
            after: Seconds until it fires; negative values count as 0.
        """
        self.generation += 1
        self.due = self._loop.now() + max(after, 0)
        self._loop.push(self)

    def stop(self) -> None:
        """Stop the timer and drop its callback."""
        self.generation += 1
        self.due = None
        self.callback = None
        self.args = ()

    def close(self) -> None:
        """Stop the timer."""
        self.stop()

    @property
    def active(self) -> bool:
        """Check whether the timer is going to fire.

        Returns:
            Whether it is started.
        """
        return self.due is not None

    def __enter__(self) -> 'PausedTimer':
        """Enter a context that closes the timer.

        Returns:
            The timer.
        """
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Close the timer.

        Args:
            *exc_info: Ignored.
        """
        self.close()


class PausedLoop(corecext.loop):
    """An event loop whose clock moves only by ``advance``.

    Attributes:
        epoch: Wall-clock time at monotonic time 0, in seconds.
    """

    def __init__(self, *args: object, **options: object) -> None:
        """Start the clock at ``START``.

        Args:
            *args: Passed to gevent's loop.
            **options: Passed to gevent's loop.
        """
        self.epoch = EPOCH
        self._monotonic = float(START)
        self._firing_numbers = itertools.count()
        self._firings: list[tuple[float, int, int, PausedTimer]] = []
        super().__init__(*args, **options)

    def now(self) -> float:
        """Read the paused clock.

        Returns:
            The monotonic time in seconds.
        """
        return self._monotonic

    def update_now(self) -> None:
        """Do nothing: only ``advance`` moves the clock."""

    def update(self) -> None:
        """Do nothing: only ``advance`` moves the clock."""

    def timer(
        self,
        after: float,
        repeat: float = 0,
        ref: bool = True,
        priority: int | None = None,
    ) -> PausedTimer:
        """Create a timer.

        Args:
            after: Seconds from its start until it fires.
            repeat: Seconds between repetitions; 0 for none.
            ref: Ignored.
            priority: Ignored.

        Returns:
            The timer, stopped.
        """
        return PausedTimer(self, after, repeat)

    def push(self, timer: PausedTimer) -> None:
        """Queue the next firing of a timer.

        Args:
            timer: A timer whose ``due`` time is set.
        """
        firing = (
            timer.due,
            next(self._firing_numbers),
            timer.generation,
            timer,
        )
        heapq.heappush(self._firings, firing)

    def advance(self, seconds: float) -> None:
        """Advance the clock, firing due timers in the order of their times.

        After each firing, tasks run until all of them wait again.

        Args:
            seconds: How far to advance.
        """
        end = self._monotonic + seconds
        gevent.idle()
        while self._firings and self._firings[0][0] <= end:
            due, _, generation, timer = heapq.heappop(self._firings)
            if generation == timer.generation:
                self._monotonic = max(self._monotonic, due)
                self._fire(timer)
                gevent.idle()
        self._monotonic = end

    def _fire(self, timer: PausedTimer) -> None:
        callback = timer.callback
        args = timer.args
        timer.due = None
        if timer.repeat:
            timer.schedule(timer.repeat)
        self.run_callback(callback, *args)


def advance(seconds: float) -> None:
    """Advance the clock of the current hub's loop.

    Args:
        seconds: How far to advance.
    """
    gevent.get_hub().loop.advance(seconds)


def reset_tasks(seed: int) -> None:
    """Kill the tasks left by an earlier test and seed the random numbers.

    Args:
        seed: The seed of Python's global random generator.
    """
    random.seed(seed)
    hub = gevent.get_hub()
    leftovers = [
        task
        for task in _list_greenlets()
        if not task.dead and task is not gevent.getcurrent()
    ]
    gevent.killall(leftovers, block=False)
    hub.loop.advance(0)


def _list_greenlets() -> list[gevent.Greenlet]:
    return [
        candidate
        for candidate in gc.get_objects()
        if isinstance(candidate, gevent.Greenlet)
    ]
