"""Polls of back ends' load reports, bounded in number whatever the fleet."""

import gevent

from pimentoway.backends import exchange
from pimentoway.core import clock, error, log
from pimentoway.ops import fleet

#: Polls a second.
POLLS_A_SECOND = 4

#: Seconds after which a report is worth renewing.
STALE_SECONDS = 2

_LOG = log.Log('poll')


class Poller:
    """Polls the back ends whose reports are the oldest."""

    def __init__(self, states: fleet.Fleet, link: exchange.Link) -> None:
        """Poll a fleet.

        Args:
            states: The back ends.
            link: How to reach them.
        """
        self._states = states
        self._link = link

    def run(self) -> None:
        """Poll for ever."""
        while True:
            for state in self.choose_due():
                gevent.spawn(self.poll, state)
            gevent.sleep(1 / POLLS_A_SECOND)

    def poll(self, state: fleet.BackendState) -> None:
        """Poll a back end.

        Args:
            state: The back end.
        """
        try:
            report = exchange.fetch_report(state.backend, self._link)
        except error.ConnectError:
            state.note_refused_connection()
        except error.PimentowayError as fault:
            _LOG.write(f'no report: {fault}.')
        else:
            state.health.refused_connections = 0
            self._link.note_report(state.backend.name, report)

    def choose_due(self) -> list[fleet.BackendState]:
        """Choose the back ends that are polled now.

        Returns:
            All that were never polled; otherwise the one whose report is the
            oldest, unless all reports are fresh.
        """
        now = clock.read_monotonic()
        stale = [
            state
            for state in self._states.by_name.values()
            if now - _read_time(state) > STALE_SECONDS
        ]
        due = [state for state in stale if _read_time(state) < 0]
        if stale and not due:
            due = [min(stale, key=_read_time)]
        for state in due:
            state.poll_time = now
        return due


def _read_time(state: fleet.BackendState) -> float:
    return max(state.report_time, state.poll_time)
