"""A stand-in for an engine of the users' platform, over real sockets.

Each request is answered by a script: a list of steps that a test chose. What
reached the engine is kept, so that tests can tell what ran.
"""

import collections
import dataclasses

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.core import message

#: The bytes read at once.
BLOCK_BYTES = 65_536

#: The bytes of a head and of a body at the most.
LIMIT_BYTES = 1_000_000

ATTEMPT = b'pimentoway-attempt-id'


@dataclasses.dataclass(frozen=True)
class Script:
    """How a request is answered.

    Attributes:
        status: The status.
        body: The body, or the pieces of a stream.
        headers: Further headers.
        sealed: Whether the answer is signed.
        chunked: Whether the body comes in chunks, one for each piece.
        pause: Seconds before the head and between two pieces.
        cut_after: The pieces after which the connection is reset; nothing to
            end properly.
        foreign: Whether an answer to another request comes first.
        mute: Whether nothing comes at all.
    """

    status: int = 200
    body: tuple[bytes, ...] = (b'done',)
    headers: tuple[str, ...] = ()
    sealed: bool = True
    chunked: bool = False
    pause: float = 0
    cut_after: int | None = None
    foreign: bool = False
    mute: bool = False


class ScriptedEngine:
    """An engine.

    Attributes:
        name: Its identifier.
        address: Its IP number and port.
        scripts: How the next requests are answered; the last one stays.
        requests: What reached it.
        left: The requests whose connection was closed before their answer.
    """

    def __init__(self, name: str, *scripts: Script) -> None:
        """Start listening.

        Args:
            name: Its identifier.
            *scripts: How the requests are answered.
        """
        self.name = name
        self.scripts = collections.deque(scripts or (Script(),))
        self.requests: list[message.Request] = []
        self.left = 0
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0),
            self._handle,
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening; connections are refused from now on."""
        self._server.stop()

    def list_texts(self, name: bytes) -> list[bytes]:
        """List the texts of a header of all requests.

        Args:
            name: The name in lowercase.

        Returns:
            The texts.
        """
        return [
            text
            for request in self.requests
            for text in request.list_texts(name)
        ]

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        reader = message.RequestReader(LIMIT_BYTES, LIMIT_BYTES)
        while self._read(sock, reader):
            request = reader.requests.popleft()
            self.requests.append(request)
            script = self.scripts[0]
            if len(self.scripts) > 1:
                self.scripts.popleft()
            if not self._answer(sock, request, script):
                return

    def _read(
        self, sock: gevent_socket.socket, reader: message.RequestReader
    ) -> bool:
        while not reader.requests or not reader.requests[0].whole:
            block = sock.recv(BLOCK_BYTES)
            if not block:
                return False
            reader.feed(block)
        return True

    def _answer(
        self,
        sock: gevent_socket.socket,
        request: message.Request,
        script: Script,
    ) -> bool:
        if script.mute:
            self.left += not sock.recv(BLOCK_BYTES)
            return False
        if script.foreign:
            sock.sendall(_make_foreign())
        gevent.sleep(script.pause)
        sock.sendall(self._make_head(request, script))
        for number, piece in enumerate(script.body):
            if script.cut_after == number:
                sock.close()
                return False
            sock.sendall(_frame(piece) if script.chunked else piece)
            gevent.sleep(script.pause)
        if script.chunked:
            sock.sendall(b'0\r\n\r\n')
        return True

    def _make_head(self, request: message.Request, script: Script) -> bytes:
        named = request.list_texts(ATTEMPT)[0].decode()
        lines = [
            f'HTTP/1.1 {script.status} Status',
            f'Pimentoway-Attempt-Id: {named}',
            *script.headers,
        ]
        if script.sealed:
            lines.append(f'Pimentoway-Response-Seal: {self.name}.{named}')
        if script.chunked:
            lines.append('Transfer-Encoding: chunked')
        else:
            lines.append(f'Content-Length: {sum(map(len, script.body))}')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode()


def _make_foreign() -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nPimentoway-Attempt-Id: other\r\n'
        b'Pimentoway-Response-Seal: x\r\nContent-Length: 5\r\n\r\nother'
    )


def _frame(piece: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(piece), piece)
