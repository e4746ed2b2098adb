"""Tasks that must not end: a fault is logged, and the task begins anew."""

import collections
import traceback

import gevent

from pimentoway.core import log

#: Seconds after which a task that failed begins anew.
RESTART_SECONDS = 0.2

_LOG = log.Log('task')


def keep_running(step: collections.abc.Callable, *args: object) -> None:
    """Run a task that never ends in the background.

    Args:
        step: The task.
        *args: Its arguments.
    """
    gevent.spawn(_run_for_ever, step, args)


def _run_for_ever(step: collections.abc.Callable, args: tuple) -> None:
    while True:
        try:
            step(*args)
        except Exception as fault:
            _LOG.write(
                'a task failed and begins anew.',
                task=step.__qualname__,
                reason=repr(fault),
                trace=traceback.format_exc(limit=-4),
            )
        gevent.sleep(RESTART_SECONDS)
