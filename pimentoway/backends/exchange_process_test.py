"""Tests of answers that end with their connection, over real sockets."""

import socket
import struct
import types

import gevent
import pytest
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.backends import exchange
from pimentoway.core import clock, configuration, connection, error, request

HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'

EVENTS = (
    b'id: 1\ndata: {"id": "r1"}\n\n',
    b'id: 2\ndata: {"id": "r1"}\n\n',
    b'id: 3\ndata: [DONE]\n\n',
)


class ClosingBackend:
    """A back end that sends fixed bytes and ends the connection.

    Attributes:
        address: Its IP number and port.
    """

    def __init__(self, answer: bytes, reset: bool = False) -> None:
        """Start listening on a free port of localhost.

        Args:
            answer: The bytes of each answer.
            reset: Whether the connection is reset after them, not closed.
        """
        self._answer = answer
        self._reset = reset
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0), self._handle
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        sock.recv(connection.BLOCK_BYTES)
        sock.sendall(self._answer)
        if self._reset:
            gevent.sleep(0.05)
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


class RepeatingBackend:
    """A back end that sends an earlier answer once more.

    The copy comes on the same connection, after the next request and before
    its answer.

    Attributes:
        address: Its IP number and port.
    """

    def __init__(self, earlier: bytes, own: bytes) -> None:
        """Start listening on a free port of localhost.

        Args:
            earlier: The answer to the first request of a connection.
            own: The answer to each later one.
        """
        self._earlier = earlier
        self._own = own
        self._accepted = 0
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0), self._handle
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        self._accepted += 1
        sock.recv(connection.BLOCK_BYTES)
        sock.sendall(self._earlier if self._accepted == 1 else self._own)
        while sock.recv(connection.BLOCK_BYTES):
            sock.sendall(self._earlier)
            gevent.sleep(0.02)
            sock.sendall(self._own)


def read_answer(
    backend_type: type[configuration.Backend],
    peer: ClosingBackend | RepeatingBackend,
    pool: connection.Pool | None = None,
) -> list[request.Piece]:
    """Send a request to a back end and read its answer.

    Args:
        backend_type: The type of the back end.
        peer: The back end.
        pool: The connections to use; new ones if omitted.

    Returns:
        The pieces of the answer.
    """
    backend = backend_type('b1', peer.address, 'norte', 'text', 'v1')
    sent = request.Request(
        request_id='r1',
        caller=configuration.Caller('clerk', 'studio', 'urgent', ''),
        rank=0,
        weight=1,
        service=configuration.Service('text', 'text'),
        body=b'{}',
        deadline=clock.read_monotonic() + 3,
    )
    link = exchange.BackendLink(
        pool or connection.Pool(), on_report=lambda name, report: None
    )
    return list(exchange.open_answer(backend, sent, link))


def test_whole_answer_without_length_is_accepted() -> None:
    """The answer of an application ends with its connection."""
    peer = ClosingBackend(b'%s\r\nrecorded' % HEAD)
    pieces = read_answer(configuration.Application, peer)
    assert [piece.payload for piece in pieces] == [b'recorded']


@pytest.mark.parametrize(
    ('framing', 'reset'),
    [
        (b'\r\nrecor', True),
        (b'Content-Length: 8\r\n\r\nrecor', False),
        (b'Transfer-Encoding: chunked\r\n\r\n8\r\nrecor', False),
        (b'Transfer-Encoding: chunked\r\n\r\n5\r\nrecor\r\n', False),
    ],
)
def test_cut_answer_is_not_accepted(framing: bytes, reset: bool) -> None:
    """Part of the answer of an application must not count as its outcome."""
    peer = ClosingBackend(HEAD + framing, reset)
    with pytest.raises(error.ConnectionLostError):
        read_answer(configuration.Application, peer)


def test_whole_stream_without_length_is_accepted() -> None:
    """The stream of an engine ends with its connection, after its mark."""
    peer = ClosingBackend(b'%s\r\n%s' % (HEAD, b''.join(EVENTS)))
    pieces = read_answer(configuration.Engine, peer)
    assert [piece.sequence for piece in pieces] == [1, 2, 3]
    assert pieces[-1].final


@pytest.mark.parametrize('cut', [0, 3, 20, 27, 47, -2, -4, -9])
@pytest.mark.parametrize('reset', [False, True])
def test_cut_stream_is_not_accepted(cut: int, reset: bool) -> None:
    """The end of the connection is not the end of the stream."""
    sent = b''.join(EVENTS)[:cut]
    peer = ClosingBackend(b'%s\r\n%s' % (HEAD, sent), reset)
    with pytest.raises(error.ConnectionLostError):
        read_answer(configuration.Engine, peer)


BODIES_BY_TYPE = types.MappingProxyType(
    {
        configuration.Application: b'recorded',
        configuration.Engine: b''.join(EVENTS),
    }
)


def make_framed_answer(framing: str, body: bytes) -> bytes:
    """Make an answer with a head of several lines.

    Args:
        framing: How its end is marked: ``length``, ``chunks`` or ``none``.
        body: The body.

    Returns:
        The bytes.
    """
    if framing == 'length':
        return b'%sContent-Length: %d\r\nX-A: b\r\n\r\n%s' % (
            HEAD,
            len(body),
            body,
        )
    if framing == 'none':
        return b'%sX-A: b\r\n\r\n%s' % (HEAD, body)
    return (
        b'%sTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n'
        b'4;name=1\r\n%s\r\n%x\r\n%s\r\n0\r\nX-T: c\r\n\r\n'
        % (HEAD, body[:4], len(body) - 4, body[4:])
    )


# An engine stopped in the middle of its answer's head and closed; clients got
# a 200 with an empty or short body, framed as whole.
@pytest.mark.parametrize(
    ('framing', 'interim'),
    [
        ('length', b''),
        ('chunks', b''),
        ('none', b''),
        ('length', b'HTTP/1.1 100 Continue\r\n\r\n'),
        ('chunks', b'HTTP/1.1 100 Continue\r\n\r\n'),
    ],
)
@pytest.mark.parametrize('backend_type', BODIES_BY_TYPE)
def test_answer_cut_anywhere_is_not_accepted(
    framing: str, interim: bytes, backend_type: type[configuration.Backend]
) -> None:
    """Without a length only the head and the stream's mark show a cut."""
    body = BODIES_BY_TYPE[backend_type]
    whole = interim + make_framed_answer(framing, body)
    assert read_answer(backend_type, ClosingBackend(whole))[-1].final
    if framing == 'none':
        whole = whole.removesuffix(body)
    for cut, _ in enumerate(whole):
        with pytest.raises(error.ConnectionLostError):
            read_answer(backend_type, ClosingBackend(whole[:cut]))


@pytest.mark.parametrize('number', [b'x', b'', b'1.5', b'-1', b'9' * 5000])
def test_odd_number_of_an_event_ends_the_stream(number: bytes) -> None:
    """Another error would not be handled as that of a back end."""
    peer = ClosingBackend(
        b'%s\r\nid: %s\ndata: {"id": "r1"}\n\n' % (HEAD, number)
    )
    with pytest.raises(error.ConnectionLostError):
        read_answer(configuration.Engine, peer)


@pytest.mark.parametrize(
    'load', [b'odd', b'[' * 5000, b'{"boot": 5}', b'{"boot": "\xff"}']
)
def test_odd_load_does_not_fail_an_answer(load: bytes) -> None:
    """The load is only a hint."""
    peer = ClosingBackend(b'%sX-Load: %s\r\n\r\nrecorded' % (HEAD, load))
    pieces = read_answer(configuration.Application, peer)
    assert [piece.payload for piece in pieces] == [b'recorded']


def make_answer(status: int, body: bytes) -> bytes:
    """Make an answer that keeps its connection open.

    Args:
        status: The status.
        body: The body.

    Returns:
        The bytes.
    """
    return (
        b'HTTP/1.1 %d Status\r\nContent-Type: text/event-stream\r\n'
        b'Content-Length: %d\r\n\r\n%s' % (status, len(body), body)
    )


# A server sent a second copy of an answer on a connection in use again; the
# next caller got an answer that was not its own.
def test_copy_of_an_earlier_answer_is_not_read() -> None:
    """The answers of applications name no request, so none may be mixed up."""
    peer = RepeatingBackend(
        make_answer(200, b'earlier'), make_answer(200, b'own')
    )
    pool = connection.Pool()
    first = read_answer(configuration.Application, peer, pool)
    second = read_answer(configuration.Application, peer, pool)
    assert [piece.payload for piece in first + second] == [b'earlier', b'own']


def test_copy_of_an_earlier_refusal_is_not_read() -> None:
    """An engine's error names no request: it must not fail the next one."""
    own = make_answer(200, b''.join(EVENTS))
    peer = RepeatingBackend(make_answer(503, b'busy'), own)
    pool = connection.Pool()
    with pytest.raises(error.FailedError):
        read_answer(configuration.Engine, peer, pool)
    pieces = read_answer(configuration.Engine, peer, pool)
    assert [piece.sequence for piece in pieces] == [1, 2, 3]


# Guards against answers that break off because the machine of their back end
# stood still for two seconds.
def test_connection_outlasts_a_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """No socket option ends it within the silence of a sound back end."""
    silences = []
    monkeypatch.setattr(
        connection,
        'set_socket_options',
        lambda sock, seconds: silences.append(seconds),
    )
    answer = b'%sConnection: close\r\n\r\n%s' % (HEAD, b''.join(EVENTS))
    read_answer(configuration.Engine, ClosingBackend(answer))
    assert silences == [connection.BACKEND_SILENCE_SECONDS]
