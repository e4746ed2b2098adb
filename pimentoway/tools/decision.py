"""Measures the processor time of a broker's decisions at different sizes.

The broker runs without a network and without logging, so the figures are those
of the decision alone.
"""

import itertools
import sys
import time
from unittest import mock

from pimentoway.core import log
from pimentoway.standin import backlog

#: Numbers of back ends: of the first deployments, of the grown ones, and ten
#: times the first.
ENGINE_COUNTS = (9, 45, 90)

#: Numbers of waiting requests: none, a burst, and a lasting overload.
WAITING_COUNTS = (0, 100, 1000)

#: Number of timed decisions of each kind.
TIMED_DECISIONS = 500

MICROSECONDS_PER_SECOND = 1_000_000


def measure_decisions(engines: int, waiting: int) -> tuple[float, float]:
    """Measure the decisions of a broker whose back ends are all busy.

    Args:
        engines: The number of back ends.
        waiting: The number of waiting requests.

    Returns:
        Microseconds of processor time to submit a request, and to end a run
        and grant its slot again; means of ``TIMED_DECISIONS``.
    """
    busy_broker = backlog.Backlog(engines)
    busy_broker.fill_queue(waiting)
    submit_seconds: float = 0
    finish_seconds: float = 0
    # A run ends after each new request, so the number of waiting requests
    # stays the same.
    for _ in range(TIMED_DECISIONS):
        started = time.process_time()
        busy_broker.submit()
        submitted = time.process_time()
        busy_broker.finish_oldest_running()
        submit_seconds += submitted - started
        finish_seconds += time.process_time() - submitted
    scale = MICROSECONDS_PER_SECOND / TIMED_DECISIONS
    return submit_seconds * scale, finish_seconds * scale


def run() -> int:
    """Print the processor time of decisions for each size.

    Returns:
        The exit status.
    """
    sys.stdout.write(
        '\n| back ends | waiting | submit, us | end of a run, us |\n'
        '|---|---|---|---|\n',
    )
    with mock.patch.object(log.Log, 'write', _discard_line):
        for engines, waiting in itertools.product(
            ENGINE_COUNTS, WAITING_COUNTS
        ):
            submit_microseconds, finish_microseconds = measure_decisions(
                engines, waiting
            )
            sys.stdout.write(
                f'| {engines} | {waiting} '
                f'| {submit_microseconds:.0f} | {finish_microseconds:.0f} |\n',
            )
    return 0


def _discard_line(self: log.Log, text: str, **fields: object) -> None:
    """Replace ``Log.write``, so that logging is not measured."""
