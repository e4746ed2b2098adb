"""Connections to back ends and to the platform: pooled, bounded and timed.

A request is written to a connection once and never written again, so the
caller always knows whether bytes may have reached the peer. The library's own
pool is not used, because it may send a request a second time.
"""

import collections
import dataclasses
import math
import select
import socket

from gevent import monkey
from gevent import socket as gevent_socket
from geventhttpclient import response

from pimentoway.core import clock, error

#: Seconds for which an idle connection is kept; less than any server keeps it.
IDLE_SECONDS = 2

#: The idle connections kept for each address.
IDLE_CONNECTIONS = 32

#: The shortest timeout, in seconds, as 0 would mean not to wait at all.
LEAST_SECONDS = 0.001

#: The bytes read from a connection at once.
BLOCK_BYTES = 16_384

#: Milliseconds for which sent bytes may stay unacknowledged, and the probes
#: of an idle connection: a silent peer is noticed after two to three seconds.
SILENCE_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
)


@dataclasses.dataclass(frozen=True)
class Call:
    """A call over HTTP.

    Attributes:
        address: The IP number and port of the peer.
        method: The HTTP method.
        path: The path with its query.
        body: The body.
        headers: Further headers.
        connect_seconds: The longest time to connect.
        first_byte_seconds: The longest time until the answer begins.
        gap_seconds: The longest time between two pieces of the answer.
        fresh: Whether to make a new connection for the call.
        deadline: The time after which nobody waits for the answer.
    """

    address: str
    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    connect_seconds: float = 1
    first_byte_seconds: float = 30
    gap_seconds: float = 10
    fresh: bool = False
    deadline: float = math.inf

    def measure_patience(self) -> float:
        """Work out how long to wait for the next piece of the answer.

        Returns:
            The seconds until the deadline, at most the longest gap.
        """
        left = self.deadline - clock.read_monotonic()
        return max(min(self.gap_seconds, left), LEAST_SECONDS)


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer.

    Attributes:
        status: The HTTP status.
        content_type: The media type.
        body: The body.
    """

    status: int
    content_type: str
    body: bytes


class Exchange:
    """A call in progress: the answer's head is here, its body follows.

    Attributes:
        status: The HTTP status.
        content_type: The media type.
    """

    def __init__(
        self,
        pool: 'Pool',
        call: Call,
        sock: gevent_socket.socket,
        reply: response.HTTPSocketResponse,
    ) -> None:
        """Hold the connection until the answer is read.

        Args:
            pool: Where the connection goes back.
            call: The call.
            sock: The connection.
            reply: The answer, its head read.
        """
        self.status = reply.status_code
        self.content_type = reply.get('content-type', 'application/json')
        self._pool = pool
        self._call = call
        self._sock = sock
        self._reply = reply

    def read_header(self, name: str) -> str:
        """Read a header of the answer.

        Args:
            name: The name of the header.

        Returns:
            Its text, empty if there is none.
        """
        return self._reply.get(name, '')

    def read_line(self) -> bytes:
        """Read a line of the body.

        Returns:
            The line with its end, or nothing at the end of the body.
        """
        self._sock.settimeout(self._call.measure_patience())
        try:
            return self._reply.readline(b'\n')
        except (OSError, ValueError, response.HTTPParseError) as fault:
            raise self._describe(fault) from fault

    def read_body(self) -> bytes:
        """Read the rest of the body.

        Returns:
            The bytes.

        Raises:
            CutError: If the connection broke or stood still.
        """
        self._sock.settimeout(self._call.measure_patience())
        try:
            body = self._reply.read()
        except (OSError, ValueError, response.HTTPParseError) as fault:
            raise self._describe(fault) from fault
        if not self._reply.message_complete:
            raise error.CutError('the answer ended early', 'read', self.peer)
        return bytes(body)

    @property
    def peer(self) -> str:
        """Name the peer.

        Returns:
            Its address.
        """
        return self._call.address

    def close(self) -> None:
        """Give the connection back, or close it if bytes are left on it."""
        reply = self._reply
        if reply.message_complete and reply.should_keep_alive():
            self._pool.keep(self._call.address, self._sock)
        else:
            self._sock.close()

    def _describe(self, fault: Exception) -> error.CutError:
        reason = f'the answer broke off: {fault}'
        return error.CutError(reason, 'read', self.peer)


class Pool:
    """Idle connections by address."""

    def __init__(self) -> None:
        """Start with none."""
        self._idle_by_address: dict[str, collections.deque] = {}

    def open(self, call: Call) -> Exchange:
        """Make a call and read the head of its answer.

        Args:
            call: The call.

        Returns:
            The exchange, which the caller has to close.

        Raises:
            CutError: If the connection broke after bytes may have been sent.
        """
        sock = self._take(call)
        try:
            reply = _send(sock, call)
        except (OSError, response.HTTPParseError) as fault:
            sock.close()
            raise error.CutError(
                f'no answer: {fault}',
                'send',
                call.address,
            ) from fault
        except BaseException:
            sock.close()
            raise
        return Exchange(self, call, sock, reply)

    def fetch(self, call: Call) -> Answer:
        """Make a call and read its whole answer.

        Args:
            call: The call.

        Returns:
            The answer.
        """
        exchange = self.open(call)
        try:
            body = exchange.read_body()
        finally:
            exchange.close()
        return Answer(exchange.status, exchange.content_type, body)

    def keep(self, address: str, sock: gevent_socket.socket) -> None:
        """Keep a connection on which nothing is left to read.

        Args:
            address: The address of the peer.
            sock: The connection.
        """
        idle = self._idle_by_address.setdefault(address, collections.deque())
        if len(idle) >= IDLE_CONNECTIONS:
            sock.close()
            return
        idle.append((clock.read_monotonic(), sock))

    def _take(self, call: Call) -> gevent_socket.socket:
        idle = self._idle_by_address.get(call.address, ())
        while idle:
            kept, sock = idle.pop()
            young = clock.read_monotonic() - kept < IDLE_SECONDS
            if young and not call.fresh and not is_readable(sock):
                return sock
            sock.close()
        return connect(call.address, call.connect_seconds)


def is_readable(sock: gevent_socket.socket) -> bool:
    """Tell whether something came on a connection, or its end.

    Args:
        sock: The connection.

    Returns:
        Whether reading would not wait.
    """
    # The cooperative poll would let other tasks run, and what was seen would
    # be old when it returns.
    poller = monkey.get_original('select', 'poll')()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def wait_for_room(sock: gevent_socket.socket, seconds: float) -> bool:
    """Wait until a connection takes more bytes.

    Args:
        sock: The connection.
        seconds: The longest wait.

    Returns:
        Whether it takes more.
    """
    try:
        gevent_socket.wait_write(sock.fileno(), max(seconds, LEAST_SECONDS))
    except TimeoutError:
        return False
    return True


def watch_over(sock: gevent_socket.socket) -> None:
    """Make a connection break soon after its peer went silent.

    Args:
        sock: The connection.
    """
    for level, option, setting in SILENCE_OPTIONS:
        sock.setsockopt(level, option, setting)


def connect(address: str, seconds: float) -> gevent_socket.socket:
    """Connect to a peer.

    Args:
        address: Its IP number and port.
        seconds: The longest time that it may take.

    Returns:
        The connection.

    Raises:
        ConnectError: If no connection was made.
    """
    host, _, port = address.rpartition(':')
    try:
        sock = gevent_socket.create_connection((host, int(port)), seconds)
    except (OSError, ValueError) as fault:
        raise error.ConnectError(
            f'no connection: {fault}',
            'connect',
            address,
        ) from fault
    watch_over(sock)
    return sock


def _send(
    sock: gevent_socket.socket, call: Call
) -> response.HTTPSocketResponse:
    sock.settimeout(call.first_byte_seconds)
    sock.sendall(_encode_head(call) + call.body)
    reply = response.HTTPSocketResponse(
        sock,
        block_size=BLOCK_BYTES,
        method=call.method,
    )
    return reply


def _encode_head(call: Call) -> bytes:
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'Host: {call.address}',
        f'Content-Length: {len(call.body)}',
    ]
    lines.extend(f'{name}: {text}' for name, text in call.headers)
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1')
