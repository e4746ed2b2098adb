"""Guards of requests whose back end is silent for a while."""

from pimentoway.tools import guard_text

_SILENCE = 'pimentoway/platform/silent_process_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'a request that was lost on its way returns its slot',
        'callers/exchange.py',
        '            self._give_back_slot()\n',
        '            self.is_lost = True\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'what is on its way is dropped with the connection',
        'callers/exchange.py',
        '            self.conn.reset_on_close()\n',
        '            self.conn.is_acknowledged()\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'connections outlast the silence of a sound back end',
        'backends/channel.py',
        'address, CONNECT_SECONDS, connection.BACKEND_SILENCE_SECONDS\n',
        'address, CONNECT_SECONDS\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'a silent back end is left only for another one',
        'callers/exchange.py',
        '        self.handover.await_input('
        'self.conn, self._context.deadline)\n',
        "        raise error.ConnectionLostError('silent', 'read')\n",
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'a refusal elsewhere leaves the silent back end its run',
        'callers/handover.py',
        '            except attempt_error.RetryError:\n'
        '                self._close_attempt()\n',
        '            except ZeroDivisionError:\n'
        '                self._close_attempt()\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'a run goes on at one back end only',
        'callers/handover.py',
        '            if clock.read_monotonic() >= end:\n',
        '            if False:\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'the other run ends when the silent back end goes on',
        'callers/exchange.py',
        '        self._progressed_at = clock.read_monotonic()\n'
        '        self.handover.stop()\n',
        '        self._progressed_at = clock.read_monotonic()\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'an unreachable back end takes over no run',
        'callers/handover.py',
        '                attempt.check_reached()\n',
        '',
        _SILENCE,
        _REAL,
    ),
)
