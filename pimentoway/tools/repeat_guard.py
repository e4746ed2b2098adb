"""Guards of requests that are sent again after a refusal."""

from pimentoway.tools import guard_text

_REPEATED = 'pimentoway/platform/repeated_process_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'a request takes another connection each time',
        'backends/channel.py',
        '            if channel.may_carry(request_id):\n',
        '            if True:\n',
        _REPEATED,
        _REAL,
    ),
    guard_text.Guard(
        'a relay knows which request it connects for',
        'nodes/requestrelay.py',
        '                opening.request_id,\n',
        "                'other',\n",
        _REPEATED,
        _REAL,
    ),
    guard_text.Guard(
        'a request that is not named may be any',
        'backends/channel.py',
        '        return not self._end_by_id\n',
        '        return True\n',
        _REPEATED,
        _REAL,
    ),
    guard_text.Guard(
        'a connection remembers few requests',
        'backends/channel.py',
        '        if len(self._end_by_id) > MAX_REMEMBERED:\n',
        '        if False:\n',
        _REPEATED,
        _REAL,
    ),
)
