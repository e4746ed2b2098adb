"""The clocks of the system, used for all measurements of time.

Tests pause and advance them by replacing gevent's event loop, so no other
module may read the operating system's clocks.
"""

import time

import gevent


def read_monotonic() -> float:
    """Read the operating system's monotonic clock.

    The time of libev's loops is not used: it follows steps of the wall clock,
    which made deadlines pass early, and windows of quotas and retries wrong.

    Returns:
        Seconds since an arbitrary start; in tests the time of the paused loop.
    """
    loop = gevent.get_hub().loop
    if getattr(loop, 'epoch', None) is None:
        return time.monotonic()
    return loop.now()


def read_cpu() -> float:
    """Read the CPU time that this process has used.

    Returns:
        Seconds since the start of the process, of all its threads.
    """
    return time.process_time()


def read_wall() -> float:
    """Read the wall-clock time.

    Returns:
        Seconds since the epoch; in tests the time of the paused loop.
    """
    loop = gevent.get_hub().loop
    epoch = getattr(loop, 'epoch', None)
    if epoch is None:
        return time.time()
    return epoch + loop.now()


def read_boot() -> float:
    """Read the time since the machine started.

    Unlike the monotonic time, it goes on while a VM is suspended.

    Returns:
        Seconds since an arbitrary start; in tests the time of the paused loop.
    """
    loop = gevent.get_hub().loop
    if getattr(loop, 'epoch', None) is None:
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return loop.now()
