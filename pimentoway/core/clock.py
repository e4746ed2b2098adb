"""The clock of the runtime, read by every part that measures time.

Tests pause and advance it by replacing gevent's event loop, so no other
module reads the time of the operating system.
"""

import time

import gevent


def read_monotonic() -> float:
    """Read the monotonic time of the event loop.

    The loop caches its time, so the cache is refreshed first: a process that
    was stopped and continued would otherwise act on a time long past.

    Returns:
        Seconds since an arbitrary start.
    """
    loop = gevent.get_hub().loop
    loop.update_now()
    return loop.now()


def read_wall() -> float:
    """Read the wall-clock time.

    Returns:
        Seconds since the epoch, on the paused clock while tests hold it.
    """
    loop = gevent.get_hub().loop
    epoch = getattr(loop, 'epoch', None)
    if epoch is None:
        return time.time()
    return epoch + loop.now()
