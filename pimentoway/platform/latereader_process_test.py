"""Tests of engines that answer before they read a long body, over sockets.

The kernel counts the closed window of such an engine as silence and ends the
connection, which it reports as a timeout.
"""

import socket

import gevent
import pytest
from gevent import socket as gevent_socket

from pimentoway.core import clock, connection
from pimentoway.platform import (
    edge_process_test,
    relayed_process_test,
    scripted_engine,
)

#: Seconds after which the kernel gives a connection up in these tests.
SILENCE_SECONDS = 1

#: A body that the kernel of the node takes, but not that of the engine.
BODY = b'x' * 1_500_000

#: The events of the stream, and the seconds between two of them.
EVENTS = 20
GAP_SECONDS = 0.1

#: The longest time for which a node may do nothing, in seconds.
MAX_PAUSE_SECONDS = 0.25

LAST_CHUNK = b'0\r\n\r\n'


class LateReader(scripted_engine.ScriptedEngine):
    """Streams its answer, which ends with its connection, and reads no body."""

    def __init__(self, name: str) -> None:
        """Start listening on a free port of localhost.

        Args:
            name: The name of the engine.
        """
        super().__init__(name)
        self._server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        lines = sock.recv(scripted_engine.BLOCK_BYTES).split(b'\r\n')
        named = [
            line
            for line in lines
            if line.lower().startswith(scripted_engine.ATTEMPT_ID)
        ]
        head = [b'HTTP/1.1 200 OK', *named, b'Pimentoway-Response-Seal: e']
        sock.sendall(b'%s\r\n\r\n' % b'\r\n'.join(head))
        for number in range(EVENTS):
            try:
                sock.sendall(b'id: %d\ndata: piece\n\n' % number)
            except OSError:
                return
            gevent.sleep(GAP_SECONDS)
        sock.shutdown(socket.SHUT_WR)


def has_false_end(body: bytes) -> bool:
    """Tell whether a stream ends as complete without all its events.

    Args:
        body: The body, with its framing.

    Returns:
        Whether it does.
    """
    return body.endswith(LAST_CHUNK) and body.count(b'piece') < EVENTS


# Guards against a stream that is shortened and complete, as the kernel's
# timeout counted as a timeout of the read, and a second read as the end.
@pytest.mark.parametrize('path', ['/stream/x', '/resumable/x'])
def test_broken_connection_is_no_end(
    monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    """The caller does not get the last chunk."""
    monkeypatch.setattr(connection, 'BACKEND_SILENCE_SECONDS', SILENCE_SECONDS)
    harness = edge_process_test.NodeHarness(LateReader('e1'))
    status, _, body = harness.call(path, body=BODY)
    assert status == 200
    assert body.count(b'piece')
    assert not has_false_end(body)


def measure_pause(task: gevent.Greenlet) -> float:
    """Measure the longest time for which the process does nothing else.

    Args:
        task: The task until whose end it is measured.

    Returns:
        The seconds.
    """
    longest: float = 0
    while not task.ready():
        started = clock.read_monotonic()
        gevent.sleep(0.01)
        longest = max(longest, clock.read_monotonic() - started)
    return longest


def test_relayed_connection_that_breaks(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The relay tells that the connection broke, not that it was silent."""
    monkeypatch.setattr(connection, 'BACKEND_SILENCE_SECONDS', SILENCE_SECONDS)
    relayed = relayed_process_test.RelayedNode(LateReader('e1'))
    task = gevent.spawn(relayed.node.call, '/stream/x', body=BODY)
    assert measure_pause(task) < MAX_PAUSE_SECONDS
    assert not has_false_end(task.get()[2])
