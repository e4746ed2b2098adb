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
            state = self.choose_stalest()
            if state:
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
            state.health.failures = 0
            self._link.note_report(state.backend.name, report)

    def choose_stalest(self) -> fleet.BackendState | None:
        """Choose the back end whose report is the oldest.

        Returns:
            The back end, or nothing if all reports are fresh.
        """
        now = clock.read_monotonic()
        stale = [
            state
            for state in self._states.by_name.values()
            if now - max(state.report_time, state.poll_time) > STALE_SECONDS
        ]
        if not stale:
            return None
        chosen = min(stale, key=_read_time)
        chosen.poll_time = now
        return chosen


def _read_time(state: fleet.BackendState) -> float:
    return max(state.report_time, state.poll_time)
