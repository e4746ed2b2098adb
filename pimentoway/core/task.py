"""Background tasks that are restarted after an error."""

import collections
import traceback

import gevent

from pimentoway.core import log

#: The delay before a task that failed or returned is run again.
RESTART_SECONDS = 0.2

_LOG = log.Log('task')


def keep_running(function: collections.abc.Callable, *args: object) -> None:
    """Run a function in the background, again whenever it fails or returns.

    Args:
        function: The function.
        *args: Its arguments.
    """
    gevent.spawn(_run_forever, function, args)


def _run_forever(function: collections.abc.Callable, args: tuple) -> None:
    while True:
        try:
            function(*args)
        except Exception as fault:
            _LOG.write(
                'a background task failed and will be restarted.',
                task=function.__qualname__,
                reason=repr(fault),
                trace=traceback.format_exc(limit=-4),
            )
        gevent.sleep(RESTART_SECONDS)
