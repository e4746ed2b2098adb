"""A stand-in for an engine on the platform, over real sockets.

A test gives a script for each answer. The requests that reach the engine are
recorded, so that tests can check what may have run.
"""

import collections
import dataclasses
import socket
import struct

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.core import message

#: The most bytes that are read at once.
BLOCK_BYTES = 65_536

#: The most bytes of a request's head, and of its body.
MAX_PART_BYTES = 1_000_000

#: Seconds between the body of an answer and the reset of its connection.
RESET_DELAY_SECONDS = 0.05

#: The path of the load report, and an answer without a load.
REPORT_PATH = b'/pimentoway/report'
REPORT_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'

ATTEMPT_ID = b'pimentoway-attempt-id'


@dataclasses.dataclass(frozen=True)
class Script:
    """How one request is answered.

    Attributes:
        status: The HTTP status.
        body: The pieces of the body.
        headers: Header lines besides those that follow from the script.
        sealed: Whether the answer carries the seal of the engine.
        chunked: Whether the body is sent in chunks, one for each piece.
        unframed: Whether the body has neither a length nor chunks and ends
            with the connection.
        reset: Whether the connection is reset after the body, not closed.
        pause: Seconds before the head and after each piece.
        close_after: The number of pieces after which the connection is closed;
            ``None`` to send the whole answer.
        foreign: Whether an answer to another attempt is sent first.
        stray: Bytes that are sent first, such as an earlier answer.
        silent: Whether no answer is sent at all.
        silence: Seconds for which the engine once sends nothing, besides its
            pauses.
        silent_after: The number of pieces after which that happens; negative
            if before the head.
        silent_until: What ends the silence if it has no time.
        endless: Bytes that are sent again and again after the body, until the
            peer closes the connection.
        endless_head: Whether ``endless`` comes before the end of the head.
        cut_before: The text of the head before which the connection is closed;
            empty to send the whole head.
    """

    status: int = 200
    body: tuple[bytes, ...] = (b'done',)
    headers: tuple[str, ...] = ()
    sealed: bool = True
    chunked: bool = False
    unframed: bool = False
    reset: bool = False
    pause: float = 0
    close_after: int | None = None
    foreign: bool = False
    stray: bytes = b''
    silent: bool = False
    silence: float = 0
    silent_after: int = -1
    silent_until: event.Event | None = None
    endless: bytes = b''
    endless_head: bool = False
    cut_before: bytes = b''


class ScriptedEngine:
    """An engine that answers by scripts.

    Attributes:
        name: The name of the engine.
        address: The IP number and port.
        scripts: The answers to the next requests; the last one is reused.
        requests: The requests that reached it, in order.
        abandoned: The requests whose connection the peer closed while it was
            silent.
        resets: Those among them whose connection was reset.
        answers_reports: Whether it answers requests for its load report.
    """

    def __init__(self, name: str, *scripts: Script) -> None:
        """Start listening on a free port of localhost.

        Args:
            name: The name of the engine.
            *scripts: The answers; plain ones by default.
        """
        self.name = name
        self.scripts = collections.deque(scripts or (Script(),))
        self.requests: list[message.Request] = []
        self.abandoned = 0
        self.answers_reports = True
        self.resets = 0
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0),
            self._handle,
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def stop(self) -> None:
        """Stop listening, so that new connections are refused."""
        self._server.stop()

    def list_header_values(self, name: bytes) -> list[bytes]:
        """List the values of a header in all requests.

        Args:
            name: The header in lowercase.

        Returns:
            The values in the order of the requests.
        """
        return [
            text
            for request in self.requests
            for text in request.list_header_values(name)
        ]

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        reader = message.RequestReader(MAX_PART_BYTES, MAX_PART_BYTES)
        while self._read_request(sock, reader):
            request = reader.requests.popleft()
            if request.target == REPORT_PATH:
                if self.answers_reports:
                    sock.sendall(REPORT_ANSWER)
                continue
            self.requests.append(request)
            script = self.scripts[0]
            if len(self.scripts) > 1:
                self.scripts.popleft()
            if not self._answer(sock, request, script):
                return

    def _read_request(
        self, sock: gevent_socket.socket, reader: message.RequestReader
    ) -> bool:
        while not reader.requests or not reader.requests[0].complete:
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
        sock.sendall(script.stray)
        if script.silent:
            self.abandoned += not sock.recv(BLOCK_BYTES)
            return False
        if script.foreign:
            sock.sendall(_make_foreign_answer())
        gevent.sleep(script.pause)
        if not self._send_head(sock, request, script):
            return False
        if not self._send_body(sock, script):
            return False
        if script.endless:
            return _send_without_end(sock, script.endless)
        if script.chunked:
            sock.sendall(b'0\r\n\r\n')
        if script.reset:
            _reset_on_close(sock)
        return not (script.unframed or script.reset)

    def _keep_silent(
        self, sock: gevent_socket.socket, script: Script, number: int
    ) -> bool:
        # Returns whether the peer still waits for the answer.
        if script.silent_until and script.silent_after == number:
            script.silent_until.wait()
        if not script.silence or script.silent_after != number:
            return True
        sock.settimeout(script.silence)
        try:
            left = not sock.recv(BLOCK_BYTES)
        except TimeoutError:
            left = False
        except ConnectionResetError:
            left = True
            self.resets += 1
        finally:
            sock.settimeout(None)
        self.abandoned += left
        return not left

    def _send_head(
        self,
        sock: gevent_socket.socket,
        request: message.Request,
        script: Script,
    ) -> bool:
        """Send the head, or the part of it that the script tells.

        Args:
            sock: The connection.
            request: The request.
            script: The answer.

        Returns:
            Whether the answer goes on.
        """
        if not self._keep_silent(sock, script, -1):
            return False
        head = self._make_head(request, script)
        if script.cut_before:
            sock.sendall(head[: head.index(script.cut_before)])
            return False
        if script.endless_head:
            sock.sendall(head.removesuffix(b'\r\n'))
            return _send_without_end(sock, script.endless)
        sock.sendall(head)
        return True

    def _send_body(self, sock: gevent_socket.socket, script: Script) -> bool:
        for number, piece in enumerate(script.body):
            if not self._keep_silent(sock, script, number):
                return False
            ended = script.close_after == number
            if ended or not self._send_piece(sock, script, piece):
                return False
            gevent.sleep(script.pause)
        return True

    def _send_piece(
        self, sock: gevent_socket.socket, script: Script, piece: bytes
    ) -> bool:
        """Send a piece of the body.

        Args:
            sock: The connection.
            script: The answer.
            piece: The piece.

        Returns:
            Whether the answer goes on.
        """
        sock.sendall(_encode_chunk(piece) if script.chunked else piece)
        return True

    def _make_head(self, request: message.Request, script: Script) -> bytes:
        attempt_id = request.list_header_values(ATTEMPT_ID)[0].decode()
        lines = [
            f'HTTP/1.1 {script.status} Status',
            f'Pimentoway-Attempt-Id: {attempt_id}',
            *script.headers,
        ]
        if script.sealed:
            lines.append(f'Pimentoway-Response-Seal: {self.name}.{attempt_id}')
        if script.chunked:
            lines.append('Transfer-Encoding: chunked')
        elif not script.unframed:
            lines.append(f'Content-Length: {sum(map(len, script.body))}')
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode()


def _make_foreign_answer() -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nPimentoway-Attempt-Id: other\r\n'
        b'Pimentoway-Response-Seal: x\r\nContent-Length: 5\r\n\r\nother'
    )


def _reset_on_close(sock: gevent_socket.socket) -> None:
    # The pieces must arrive before the reset, which discards unread bytes.
    gevent.sleep(RESET_DELAY_SECONDS)
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _send_without_end(sock: gevent_socket.socket, repeated: bytes) -> bool:
    block = repeated * (BLOCK_BYTES // len(repeated))
    while True:
        try:
            sock.sendall(block)
        except OSError:
            # The peer has closed the connection.
            return False
        gevent.sleep(0)


def _encode_chunk(piece: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(piece), piece)
