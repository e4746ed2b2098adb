"""An event loop of gevent whose clock stands still until it is advanced.

It is named in gevent's configuration before the first hub exists; then
sleeps, timeouts and waits of all tasks follow ``PausedLoop.advance``.
"""

import collections
import gc
import heapq
import itertools
import random

import gevent
from gevent.libev import corecext

#: The path by which gevent's configuration names the loop.
LOOP_PATH = 'pimentoway.standin.paused_loop.PausedLoop'

#: The wall-clock time at which the paused clock starts, in seconds.
EPOCH = 1_800_000_000

#: The monotonic time at which the paused clock starts, in seconds.
START = 1000


class PausedTimer:
    """A timer of the paused loop, with the interface of gevent's timers.

    Attributes:
        due: When it fires, or nothing while it is stopped.
        number: A number that changes when it is started or stopped.
        callback: What it calls.
        args: The arguments of the call.
        repeat: Seconds between repetitions, or 0.
    """

    def __init__(self, loop: 'PausedLoop', after: float, repeat: float) -> None:
        """Make a timer, stopped.

        Args:
            loop: The loop.
            after: Seconds until it fires.
            repeat: Seconds between repetitions, or 0.
        """
        self.due: float | None = None
        self.number = 0
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
            callback: What it calls.
            *args: The arguments of the call.
            update: Passed over.
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
        """Start the timer with its period.

        Args:
            callback: What it calls.
            *args: The arguments of the call.
            update: Passed over.
        """
        self.callback = callback
        self.args = args
        self.schedule(self.repeat)

    def schedule(self, after: float) -> None:
        """Let the timer fire.

        Args:
            after: Seconds until then.
        """
        self.number += 1
        self.due = self._loop.now() + max(after, 0)
        self._loop.push(self)

    def stop(self) -> None:
        """Stop the timer."""
        self.number += 1
        self.due = None
        self.callback = None
        self.args = ()

    def close(self) -> None:
        """Stop the timer for good."""
        self.stop()

    @property
    def active(self) -> bool:
        """Tell whether the timer will fire.

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
            *exc_info: Passed over.
        """
        self.close()


class PausedLoop(corecext.loop):
    """A loop whose clock only moves by ``advance``.

    Attributes:
        epoch: What the wall clock shows at the monotonic time 0.
    """

    def __init__(self, *args: object, **options: object) -> None:
        """Start the clock at a fixed time.

        Args:
            *args: Passed on.
            **options: Passed on.
        """
        self.epoch = EPOCH
        self._time = float(START)
        self._numbers = itertools.count()
        self._timers: list[tuple[float, int, int, PausedTimer]] = []
        super().__init__(*args, **options)

    def now(self) -> float:
        """Read the paused clock.

        Returns:
            The monotonic time in seconds.
        """
        return self._time

    def update_now(self) -> None:
        """Leave the paused clock as it is."""

    def update(self) -> None:
        """Leave the paused clock as it is."""

    def timer(
        self,
        after: float,
        repeat: float = 0,
        ref: bool = True,
        priority: int | None = None,
    ) -> PausedTimer:
        """Make a timer.

        Args:
            after: Seconds until it fires.
            repeat: Seconds between repetitions, or 0.
            ref: Passed over.
            priority: Passed over.

        Returns:
            The timer, stopped.
        """
        return PausedTimer(self, after, repeat)

    def push(self, timer: PausedTimer) -> None:
        """Take in a timer that was started.

        Args:
            timer: The timer.
        """
        entry = (timer.due, next(self._numbers), timer.number, timer)
        heapq.heappush(self._timers, entry)

    def advance(self, seconds: float) -> None:
        """Advance the clock, letting every task run in its time.

        Args:
            seconds: By how much.
        """
        end = self._time + seconds
        gevent.idle()
        while self._timers and self._timers[0][0] <= end:
            due, _, number, timer = heapq.heappop(self._timers)
            if number == timer.number:
                self._time = max(self._time, due)
                self._fire(timer)
                gevent.idle()
        self._time = end

    def _fire(self, timer: PausedTimer) -> None:
        callback = timer.callback
        args = timer.args
        timer.due = None
        if timer.repeat:
            timer.schedule(timer.repeat)
        self.run_callback(callback, *args)


def advance(seconds: float) -> None:
    """Advance the clock of the current loop.

    Args:
        seconds: By how much.
    """
    gevent.get_hub().loop.advance(seconds)


def restart_tasks(seed: int) -> None:
    """End all tasks that an earlier test left, and fix the random numbers.

    Args:
        seed: The seed.
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
    return [one for one in gc.get_objects() if isinstance(one, gevent.Greenlet)]
