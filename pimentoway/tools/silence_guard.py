"""Guards of requests whose back end is silent for a while."""

from pimentoway.tools import guard_text

_SILENCE = 'pimentoway/platform/silent_process_test.py'
_HANDOVER = 'pimentoway/callers/handover_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'a silence that a relay tells of is an end',
        'callers/patience.py',
        'return is_end or clock',
        'return clock',
        'pimentoway/platform/relayed_process_test.py -k early',
        'real',
    ),
    guard_text.Guard(
        'a timeout of the kernel is no silence',
        'core/connection.py',
        'return isinstance(fault, TimeoutError) and fault.errno is None',
        'return isinstance(fault, TimeoutError)',
        'pimentoway/platform/latereader_process_test.py',
        'real',
    ),
    guard_text.Guard(
        'a request that was lost on its way returns its slot',
        'callers/patience.py',
        '        on_lost()\n',
        '',
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
        'callers/patience.py',
        '        self._handover.await_input('
        'self._conn, self._context.deadline)\n',
        "        raise channel.SilentError('silent', 'read')\n",
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
        'callers/patience.py',
        '        self._progressed_at = clock.read_monotonic()\n'
        '        self._handover.stop()\n',
        '        self._progressed_at = clock.read_monotonic()\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'an unreachable back end takes over no run',
        'callers/handover.py',
        '                attempt.check_alive()\n',
        '',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'a silent back end takes over no run',
        'callers/backend_attempt.py',
        'if is_silent or not self._exchange.conn.is_acknowledged():',
        'if not self._exchange.conn.is_acknowledged():',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'the end of a node ends a request that is offered',
        'callers/backend_attempt.py',
        '_CUT_ERRORS = (error.FailedError, error.OutcomeUnknownError)',
        '_CUT_ERRORS = error.PimentowayError',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'sending an offer is bounded',
        'callers/handover.py',
        'attempt.offer(self._offered_at + SEND_SECONDS)',
        'attempt.offer(self._offered_at + 60)',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'another run goes on after a late failure',
        'callers/exchange.py',
        '        return now < self._context.deadline and '
        'self.handover.has_attempt()\n',
        '        return False\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'comments hold no stream',
        'callers/exchange.py',
        '            self._reader.note_no_event()\n',
        '            pass\n',
        _SILENCE,
        _REAL,
    ),
    guard_text.Guard(
        'a hand-over is released without a wait',
        'callers/handover.py',
        'self._task.kill(block=False)',
        'self._task.kill()',
        _HANDOVER,
    ),
    guard_text.Guard(
        'an attempt that is prepared too late is closed',
        'callers/handover.py',
        '        if self._task is gevent.getcurrent():\n',
        '        if self._task is not self:\n',
        _HANDOVER,
    ),
    guard_text.Guard(
        'a pause of the process closes no link',
        'nodes/link.py',
        '            self._sock.settimeout(LAST_WAIT_SECONDS)\n',
        '            raise\n',
        'pimentoway/nodes/link_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'the rest of a request is read after a pause',
        'callers/connection.py',
        'if not self._has_input() or self._overdue > allowed:\n',
        'if True:\n',
        'pimentoway/platform/unanswered_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a silent back end has not crashed',
        'ops/dispatch.py',
        '            return isinstance(fault.__cause__, ConnectionError)\n',
        '            return True\n',
        'pimentoway/ops/dispatch_test.py',
    ),
    guard_text.Guard(
        'answers of the own interface outlast a silence',
        'backends/exchange.py',
        '        silence_seconds=connection.BACKEND_SILENCE_SECONDS,\n',
        '',
        'pimentoway/backends/exchange_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a withdrawn repeat returns no quota',
        'ops/admit.py',
        '        if request.repeats:\n            return\n',
        '',
        'pimentoway/ops/admit_test.py',
    ),
    guard_text.Guard(
        'requests that wait in the own broker are sent to another one',
        'ops/slotclient.py',
        '            self._local.drop_requester(self.requester)\n',
        '            self._local.drop_requester(self.requester)\n'
        '            return\n',
        'pimentoway/ops/slotclient_test.py',
    ),
)
