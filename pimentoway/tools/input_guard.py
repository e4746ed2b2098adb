"""Guards of odd input, and of requests that come late in a planned stop."""

from pimentoway.tools import guard_text

_DRAIN = 'pimentoway/platform/drain_process_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'an address has a port that exists',
        'platform/validation.py',
        'if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:',
        'if not port.isdigit():',
        'pimentoway/platform/record_test.py',
    ),
    guard_text.Guard(
        'numbers of back ends are in range',
        'platform/record.py',
        'msgspec.Meta(ge=0, le=MAX_SLOTS)',
        'msgspec.Meta(ge=0)',
        'pimentoway/platform/record_test.py',
    ),
    guard_text.Guard(
        'an unreadable object hides no others',
        'platform/store_answer.py',
        '        return split(body)\n',
        '        return msgspec.json.decode(body, type=schema)\n',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a deeply nested object names no record',
        'core/codec.py',
        'DECODING_ERRORS = (ValueError, OverflowError, RecursionError)',
        'DECODING_ERRORS = (ValueError,)',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a listing continues after a name that can be read',
        'platform/store.py',
        'names = [change.name for change in changes if change.name]',
        'names = [change.name for change in changes]',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a time limit is bounded before it is divided',
        'platform/wire.py',
        'min(milliseconds, MAX_SECONDS * MILLISECONDS) / MILLISECONDS',
        'milliseconds / MILLISECONDS',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'an infinite cold start is ignored',
        'platform/wire.py',
        'return seconds if abs(seconds) <= MAX_SECONDS else None',
        'return seconds',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'a huge load is ignored',
        'platform/wire.py',
        'if max(running, waiting, slots) > MAX_LOAD:',
        'if min(running, waiting, slots) > MAX_LOAD:',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'an event has a number that can be read',
        'backends/event.py',
        'if not digits.isdigit() or len(digits) > MAX_SEQUENCE_DIGITS:',
        'if not digits:',
        'pimentoway/backends/exchange_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'an answer that ends early is not whole',
        'core/connection.py',
        'if not self._reply.message_complete:',
        'if self._reply is None:',
        'pimentoway/backends/exchange_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a draining node answers before it ends',
        'tools/edge.py',
        '        self._forwarder.interrupt()\n',
        '',
        _DRAIN,
        _REAL,
    ),
    guard_text.Guard(
        'a late request has the time of its node',
        'callers/forward.py',
        'deadline=min(end, self.drain_limit.end) - RESPONSE_MARGIN_SECONDS,',
        'deadline=end - RESPONSE_MARGIN_SECONDS,',
        _DRAIN,
        _REAL,
    ),
    guard_text.Guard(
        'a late request that would outlast its node is not run',
        'callers/drain.py',
        'if self.closed and min(expected, time_limit) > self.end:',
        'if self.closed and min(expected, time_limit) < 0:',
        _DRAIN,
        _REAL,
    ),
)
