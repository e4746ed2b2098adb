"""Guards against peers that send bytes without end."""

from pimentoway.tools import guard_text

_FLOOD = 'pimentoway/platform/flood_process_test.py'
_EDGE = 'pimentoway/platform/edge_process_test.py -k endless'
_MEMORY = 'pimentoway/platform/answermemory_process_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'a task that reads lets others run',
        'core/connection.py',
        '            gevent.sleep(TURN_PAUSE_SECONDS)\n',
        '            gevent.sleep(0)\n',
        _FLOOD,
        _REAL,
    ),
    guard_text.Guard(
        'answers are read in turns',
        'backends/channel.py',
        '            self._turn.note_read(len(received))\n',
        '',
        _FLOOD,
        _REAL,
    ),
    guard_text.Guard(
        'little is read behind a refusal',
        'callers/exchange.py',
        '            if len(body) > max_bytes:\n',
        '            if len(body) > MAX_BUFFERED_BYTES:\n',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'large answers share a budget',
        'callers/exchange.py',
        'if not self._reservation.extend(len(body) - FREE_BYTES):',
        'if False:',
        _MEMORY,
        _REAL,
    ),
    guard_text.Guard(
        'usual answers need no budget',
        'callers/exchange.py',
        'self._reservation.extend(len(body) - FREE_BYTES)',
        'self._reservation.extend(len(body))',
        _MEMORY,
        _REAL,
    ),
    guard_text.Guard(
        'lines are read in turns',
        'core/connection.py',
        '        self._turn.note_read(LINE_BYTES)\n',
        '',
        _FLOOD,
        _REAL,
    ),
)
