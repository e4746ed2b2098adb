"""Guards of requests that one node relays for another."""

from pimentoway.tools import guard_text

_RELAY = 'pimentoway/platform/relay_process_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'only registered nodes have requests relayed',
        'nodes/requestrelay.py',
        "node is None or node.address.rpartition(':')[0] != peer.host",
        'node is None',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'the bodies of relayed requests share a budget',
        'nodes/requestrelay.py',
        '        if not body_budget.reserve(size):\n',
        '        if False:\n',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a draining relay takes no requests',
        'nodes/requestrelay.py',
        '        if self.leaving:\n',
        '        if False:\n',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a relay uses no back end that it must not use',
        'nodes/requestrelay.py',
        '        if not known.is_usable(engine) or not',
        '        if False and not',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a node that leaves reaches the back end',
        'nodes/requestrelay.py',
        'watcher = self._peer.watch(self.conn.abort)',
        'watcher = self._peer.watch(lambda: None)',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a relay counts the time anew',
        'nodes/requestrelay.py',
        '                self._deadline - clock.read_monotonic(),\n',
        '                head.time_left,\n',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a relay reads at the pace of its node',
        'nodes/requestrelay.py',
        '        self._send(relayframe.Received(received))\n',
        '        gevent.spawn(self._send, relayframe.Received(received))\n',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a relay tells whether the connection was used before',
        'nodes/relaychannel.py',
        '        self.reused = reused\n',
        '        self.reused = False\n',
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a relay that dies is no answer',
        'nodes/relaychannel.py',
        "raise self._make_broken_error('it closed the connection')",
        "raise error.ConnectionLostError('it closed')",
        _RELAY,
        _REAL,
    ),
    guard_text.Guard(
        'a relayed request has no odd header',
        'nodes/relayframe.py',
        '        if not (_TOKEN.fullmatch(name) and _LINE.fullmatch(text)):\n',
        '        if False:\n',
        'pimentoway/nodes/relayframe_test.py',
    ),
    guard_text.Guard(
        'a relayed request has no odd target',
        'nodes/relayframe.py',
        '    if not _TARGET.fullmatch(head.target):\n',
        '    if False:\n',
        'pimentoway/nodes/relayframe_test.py',
    ),
    guard_text.Guard(
        'frames of a relay are bounded',
        'nodes/frame.py',
        '            if size > self._max_bytes:\n',
        '            if size > MAX_FRAME_BYTES:\n',
        'pimentoway/nodes/relayframe_test.py',
    ),
)
