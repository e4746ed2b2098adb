"""Tests of calls to peers that send bytes without an end, over real sockets."""

import collections

import gevent
import pytest
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.core import clock, connection, error

CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'

#: Seconds within which each call must have failed.
TIMEOUT_SECONDS = 5


class EndlessPeer:
    """A server that sends a start and then the same bytes again and again.

    Attributes:
        address: Its IP number and port.
    """

    def __init__(self, start: bytes, repeated: bytes, pause: float) -> None:
        """Start listening on a free port of localhost.

        Args:
            start: The first bytes of each answer.
            repeated: What follows.
            pause: Seconds between two repetitions.
        """
        self._start = start
        self._repeated = repeated
        self._pause = pause
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0), self._answer
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def _answer(self, sock: gevent_socket.socket, address: tuple) -> None:
        sock.recv(connection.BLOCK_BYTES)
        sock.sendall(self._start)
        try:
            while True:
                sock.sendall(self._repeated)
                gevent.sleep(self._pause)
        except OSError:
            # The peer has closed the connection.
            sock.close()


def read_line_of(call: connection.Call) -> None:
    """Read one line of a streamed answer.

    Args:
        call: The call.
    """
    connection.Pool().open(call).read_line()


def fetch(call: connection.Call) -> None:
    """Read a whole answer.

    Args:
        call: The call.
    """
    connection.Pool().fetch(call)


@pytest.mark.parametrize('read', [fetch, read_line_of])
@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 OK\r\nX-Pad: ', b'y' * 9000),
        (CHUNKED, b'X-Pad: y\r\n' * 900),
        (b'%s\r\n' % CHUNKED, b'2000\r\n%s\r\n' % (b'z' * 0x2000)),
        (b'%s\r\n1;' % CHUNKED, b'a' * 9000),
    ],
)
def test_endless_answer_is_cut_off(
    read: collections.abc.Callable[[connection.Call], None],
    start: bytes,
    repeated: bytes,
) -> None:
    """Endless bytes in a head, a body or a chunk: the call fails."""
    peer = EndlessPeer(start, repeated, 0)
    with pytest.raises(error.ConnectionLostError):
        gevent.with_timeout(
            TIMEOUT_SECONDS, read, connection.Call(peer.address, 'GET', '/')
        )


def test_dripping_answer_ends_at_its_deadline() -> None:
    """A byte at a time, each within the timeout of a read: the call ends."""
    peer = EndlessPeer(b'%s\r\n' % CHUNKED, b'1\r\nz\r\n', 0.02)
    call = connection.Call(
        peer.address, 'GET', '/', deadline=clock.read_monotonic() + 0.3
    )
    with pytest.raises(error.ConnectionLostError):
        gevent.with_timeout(TIMEOUT_SECONDS, fetch, call)
