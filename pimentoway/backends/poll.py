"""Polls the load reports of back ends.

Once every back end was polled, the rate of polls does not grow with the fleet.
"""

import gevent

from pimentoway.backends import exchange
from pimentoway.core import clock, error, log
from pimentoway.ops import fleet

#: Rounds per second; each polls one back end, or all that never were polled.
ROUNDS_PER_SECOND = 4

#: Age in seconds from which a report is polled again.
MAX_REPORT_AGE_SECONDS = 2

_LOG = log.Log('poll')


class Poller:
    """Polls the back ends whose load reports are the oldest."""

    def __init__(
        self, backends: fleet.Fleet, link: exchange.BackendLink
    ) -> None:
        """Create a poller; `run` starts it.

        Args:
            backends: The states of the back ends, which polls update.
            link: The connections to the back ends.
        """
        self._backends = backends
        self._link = link

    def run(self) -> None:
        """Start the polls of each round, forever."""
        while True:
            for state in self.select_due_backends():
                gevent.spawn(self.poll_backend, state)
            gevent.sleep(1 / ROUNDS_PER_SECOND)

    def poll_backend(self, state: fleet.BackendState) -> None:
        """Fetch the load report of a back end and apply it.

        A refused connection is recorded in the state; other errors are only
        logged, and the back end is polled again later.

        Args:
            state: The state of the back end.
        """
        try:
            report = exchange.fetch_report(state.backend, self._link)
        except error.ConnectError:
            state.note_refused_connection()
        except error.PimentowayError as fault:
            _LOG.write(f'fetching a load report failed, trying later: {fault}.')
        else:
            state.health.refused_connections = 0
            self._link.on_report(state.backend.name, report)

    def select_due_backends(self) -> list[fleet.BackendState]:
        """Select the back ends to poll in this round and mark them as polled.

        Returns:
            All that were never polled and never reported; if there are none,
            the one with the oldest report or poll, unless all are recent.
        """
        now = clock.read_monotonic()
        stale = [
            state
            for state in self._backends.by_name.values()
            if now - _get_update_time(state) > MAX_REPORT_AGE_SECONDS
        ]
        due = [state for state in stale if _get_update_time(state) < 0]
        if stale and not due:
            due = [min(stale, key=_get_update_time)]
        for state in due:
            state.poll_time = now
        return due


def _get_update_time(state: fleet.BackendState) -> float:
    # Counts polls as well, so that a back end that does not answer does not
    # take every round.
    return max(state.report_time, state.poll_time)
