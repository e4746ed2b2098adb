"""HTTP connections to back ends and the platform, with a pool and timeouts.

A request is sent at most once, so an error always tells whether bytes of it
may have reached the peer. geventhttpclient's own pool is not used because it
may resend a request.
"""

import collections
import dataclasses
import fcntl
import math
import select
import socket
import struct
import sys
import termios

import gevent
from gevent import monkey
from gevent import socket as gevent_socket
from geventhttpclient import response

from pimentoway.core import clock, error

#: How long an idle connection is kept: shorter than any server keeps it, so
#: that the server does not close it while a request is being sent.
IDLE_SECONDS = 2

#: The most idle connections for each address.
MAX_IDLE_CONNECTIONS = 32

#: The shortest timeout of a socket: 0 would make the socket non-blocking.
MIN_TIMEOUT_SECONDS = 0.001

#: The buffer size for reading from a connection.
BLOCK_BYTES = 16_384

#: The bytes after which a task that reads lets others run.
TURN_BYTES = 65_536

#: The pause then, in seconds. Without any, gevent would look for input of other
#: connections only after 50 turns.
TURN_PAUSE_SECONDS = 0.000001

#: The bytes that count for a line besides its own, for the work of reading it.
LINE_BYTES = 1024

#: The most bytes of an answer in a row that belong to no body, and the most
#: bytes of a body that wait to be read; a listing of the platform has a
#: megabyte.
MAX_FRAMING_BYTES = 65_536
MAX_BODY_BYTES = 8_388_608

#: The time, in seconds, after which a silent node or store is given up.
SILENCE_SECONDS = 2

#: The same for a back end: the sound ones may be silent for a second or two,
#: and what they run can't always be sent elsewhere.
BACKEND_SILENCE_SECONDS = 5

_MILLISECONDS = 1000

#: ``SO_LINGER`` with a time of 0 s: closing a connection resets it.
LINGER_RESET = struct.pack('ii', 1, 0)

#: The size of a counter that the kernel returns, a C int.
COUNTER_BYTES = 4

#: Where the shortest round-trip time, in microseconds, ends in Linux's
#: ``tcp_info`` (``tcpi_min_rtt``), and its value if none was measured.
ROUND_TRIP_END = 152
NO_ROUND_TRIP = 0xFFFFFFFF
MICROSECONDS = 1_000_000


@dataclasses.dataclass(frozen=True)
class Call:
    """An HTTP request to a back end or the platform, with its timeouts.

    Attributes:
        address: The peer, as ``ip:port``.
        method: The HTTP method.
        path: The path and query.
        body: The body.
        headers: Headers in addition to ``Host`` and ``Content-Length``.
        connect_seconds: The timeout for connecting.
        first_byte_seconds: The timeout until the answer begins.
        gap_seconds: The timeout between two reads of the answer's body.
        deadline: The monotonic time after which the answer is of no use.
        exclusive: Whether no other call uses the connection, before or after
            this one. The answer's head names no request, so it can't be told
            from a late copy of another answer.
        silence_seconds: The time after which a new connection ends if the
            peer's kernel is silent.
    """

    address: str
    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()
    connect_seconds: float = 1
    first_byte_seconds: float = 30
    gap_seconds: float = 10
    deadline: float = math.inf
    exclusive: bool = False
    silence_seconds: int = SILENCE_SECONDS

    def compute_read_timeout(self) -> float:
        """Compute the timeout of the next read of the answer's body.

        Returns:
            The seconds until the deadline, at most ``gap_seconds`` and at
            least ``MIN_TIMEOUT_SECONDS``.
        """
        remaining = self.deadline - clock.read_monotonic()
        return max(min(self.gap_seconds, remaining), MIN_TIMEOUT_SECONDS)


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete answer.

    Attributes:
        status: The HTTP status.
        content_type: The media type.
        body: The body.
        headers: The headers, by name in lowercase.
    """

    status: int
    content_type: str
    body: bytes
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Turn:
    """Lets other tasks run while one reads what a peer sends without a pause.

    A read switches to other tasks only if it has to wait.
    """

    def __init__(self) -> None:
        """Start without bytes."""
        self._size = 0

    def note_read(self, size: int) -> None:
        """Count bytes, and let others run after ``TURN_BYTES``.

        Args:
            size: The number of bytes that were read.
        """
        self._size += size
        if self._size >= TURN_BYTES:
            self._size = 0
            gevent.sleep(TURN_PAUSE_SECONDS)


class BoundedResponse(response.HTTPSocketResponse):
    """An answer that may neither exceed its limits nor its deadline."""

    def __init__(self, sock: gevent_socket.socket, call: Call) -> None:
        """Read the head of the answer.

        Args:
            sock: The connection.
            call: The call.
        """
        self._deadline = call.deadline
        self._framing_size = 0
        self._turn = Turn()
        super().__init__(sock, block_size=BLOCK_BYTES, method=call.method)

    def feed(self, block: bytes) -> None:
        """Parse bytes received from the peer.

        Args:
            block: The bytes.

        Raises:
            HTTPParseError: If the answer is invalid or exceeds a limit.
            TimeoutError: If its deadline has passed.
        """
        self._turn.note_read(len(block))
        buffered = len(self._body_buffer)
        super().feed(block)
        grown = len(self._body_buffer) > buffered
        self._framing_size = 0 if grown else self._framing_size + len(block)
        if self._framing_size > MAX_FRAMING_BYTES:
            raise response.HTTPParseError('too many bytes outside the body')
        if len(self._body_buffer) > MAX_BODY_BYTES:
            raise response.HTTPParseError('the body is too large')
        if clock.read_monotonic() > self._deadline:
            raise TimeoutError('the deadline has passed')


class Exchange:
    """A call in progress: the answer's head was read, its body was not.

    Attributes:
        status: The HTTP status.
        content_type: The media type.
    """

    def __init__(
        self,
        pool: 'Pool',
        call: Call,
        sock: gevent_socket.socket,
        reply: BoundedResponse,
    ) -> None:
        """Take over a connection whose answer has begun.

        Args:
            pool: The pool that gets the connection back.
            call: The call.
            sock: The connection.
            reply: The answer with its head parsed.
        """
        self.status = reply.status_code
        self.content_type = reply.get('content-type', 'application/json')
        self._pool = pool
        self._call = call
        self._sock = sock
        self._reply = reply
        self._turn = Turn()

    def read_header(self, name: str) -> str:
        """Read a header of the answer.

        Args:
            name: The name of the header.

        Returns:
            The value; '' if the header is missing.
        """
        return self._reply.get(name, '')

    def read_headers(self) -> dict[str, str]:
        """Read all headers of the answer.

        Returns:
            The values by the name in lowercase; of a repeated header the last.
        """
        return {name.lower(): text for name, text in self._reply.items()}

    def read_line(self) -> bytes:
        """Read a line of the body.

        Returns:
            The line with its line break; empty at the end of the body.
        """
        self._turn.note_read(LINE_BYTES)
        self._sock.settimeout(self._call.compute_read_timeout())
        try:
            return self._reply.readline(b'\n')
        except (OSError, ValueError, response.HTTPParseError) as fault:
            raise self._describe(fault) from fault

    def read_body(self) -> bytes:
        """Read the rest of the body.

        Returns:
            The bytes.

        Raises:
            ConnectionLostError: If the connection broke or a timeout expired.
        """
        self._sock.settimeout(self._call.compute_read_timeout())
        try:
            body = self._reply.read()
        except (OSError, ValueError, response.HTTPParseError) as fault:
            raise self._describe(fault) from fault
        if not self._reply.message_complete:
            raise error.ConnectionLostError(
                'the answer ended early', 'read', self.peer
            )
        return bytes(body)

    @property
    def peer(self) -> str:
        """Address of the peer.

        Returns:
            The address, as ``ip:port``.
        """
        return self._call.address

    def close(self) -> None:
        """Return the connection to the pool if it is reusable, or close it.

        It is reusable if the answer was read completely and the peer keeps
        the connection open, unless the call is ``exclusive``.
        """
        reply = self._reply
        reusable = reply.message_complete and reply.should_keep_alive()
        if reusable and not self._call.exclusive:
            self._pool.release(self._call.address, self._sock)
        else:
            self._sock.close()

    def _describe(self, fault: Exception) -> error.ConnectionLostError:
        reason = f'the answer broke off: {fault}'
        return error.ConnectionLostError(reason, 'read', self.peer)


class Pool:
    """A pool of idle connections, by address."""

    def __init__(self) -> None:
        """Start without connections."""
        self._idle_by_address: dict[str, collections.deque] = {}

    def open(self, call: Call) -> Exchange:
        """Send a request and read the head of the answer.

        Args:
            call: The call.

        Returns:
            The exchange; the caller must close it.

        Raises:
            ConnectionLostError: If the connection broke or timed out,
                possibly after bytes of the request were sent.
        """
        sock = self._acquire(call)
        try:
            reply = _send(sock, call)
        except (OSError, response.HTTPParseError) as fault:
            sock.close()
            raise error.ConnectionLostError(
                f'no answer: {fault}',
                'send',
                call.address,
            ) from fault
        except BaseException:
            sock.close()
            raise
        return Exchange(self, call, sock, reply)

    def fetch(self, call: Call) -> Answer:
        """Send a request and read the complete answer.

        Args:
            call: The call.

        Returns:
            The answer, whatever its status.
        """
        exchange = self.open(call)
        try:
            body = exchange.read_body()
        finally:
            exchange.close()
        return Answer(
            exchange.status,
            exchange.content_type,
            body,
            exchange.read_headers(),
        )

    def release(self, address: str, sock: gevent_socket.socket) -> None:
        """Add an idle connection, or close it if the pool is full.

        Args:
            address: The address of the peer.
            sock: The connection, whose last answer was read completely.
        """
        idle = self._idle_by_address.setdefault(address, collections.deque())
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            sock.close()
            return
        idle.append((clock.read_monotonic(), sock))

    def _acquire(self, call: Call) -> gevent_socket.socket:
        idle = self._idle_by_address.get(call.address, ())
        while idle and not call.exclusive:
            idle_since, sock = idle.pop()
            recent = clock.read_monotonic() - idle_since < IDLE_SECONDS
            if recent and not is_readable(sock):
                return sock
            sock.close()
        return connect(call.address, call.connect_seconds, call.silence_seconds)


def is_readable(sock: gevent_socket.socket) -> bool:
    """Tell whether data or the end of the connection has arrived.

    Args:
        sock: The connection.

    Returns:
        Whether a read would return at once.
    """
    # gevent's poll would let other greenlets run, and the result could be
    # outdated when it returns.
    poller = monkey.get_original('select', 'poll')()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def is_expired(fault: OSError) -> bool:
    """Tell whether the timeout of a call has passed.

    Args:
        fault: What the call raised.

    Returns:
        Whether it has. If not, the kernel has given the connection up, which
        Python reports by the same class.
    """
    return isinstance(fault, TimeoutError) and fault.errno is None


def count_unacknowledged(sock: gevent_socket.socket) -> int:
    """Count the sent bytes that the peer's kernel has not acknowledged.

    Args:
        sock: The connection.

    Returns:
        The number of bytes.
    """
    return int.from_bytes(
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(COUNTER_BYTES)),
        sys.byteorder,
    )


def read_round_trip(sock: gevent_socket.socket) -> float:
    """Read the shortest round-trip time that the kernel has seen.

    Args:
        sock: A TCP connection.

    Returns:
        Seconds; 0 if the kernel doesn't tell.
    """
    try:
        state = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, ROUND_TRIP_END
        )
    except OSError:
        return 0
    if len(state) < ROUND_TRIP_END:
        return 0
    microseconds = int.from_bytes(
        state[ROUND_TRIP_END - COUNTER_BYTES :], sys.byteorder
    )
    return 0 if microseconds == NO_ROUND_TRIP else microseconds / MICROSECONDS


def reset_on_close(sock: gevent_socket.socket) -> None:
    """Let the connection be reset when it is closed.

    What the peer has not received is then dropped, not sent later.

    Args:
        sock: The connection.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def wait_until_writable(sock: gevent_socket.socket, seconds: float) -> bool:
    """Wait until a connection accepts more bytes.

    Args:
        sock: The connection.
        seconds: The timeout, raised to ``MIN_TIMEOUT_SECONDS`` if shorter.

    Returns:
        Whether the connection is writable; false after the timeout.
    """
    try:
        gevent_socket.wait_write(
            sock.fileno(), max(seconds, MIN_TIMEOUT_SECONDS)
        )
    except TimeoutError:
        return False
    return True


def set_socket_options(
    sock: gevent_socket.socket, silence_seconds: int = SILENCE_SECONDS
) -> None:
    """Set the TCP options that detect a silent peer.

    It is found by bytes that it does not acknowledge or, on an idle connection,
    by keep-alive probes, one a second.

    Args:
        sock: The connection.
        silence_seconds: The time after which the connection ends.
    """
    for level, option, setting in (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        # This also ends unanswered probing, whatever the number of probes.
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            silence_seconds * _MILLISECONDS,
        ),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, silence_seconds),
    ):
        sock.setsockopt(level, option, setting)


def connect(
    address: str,
    seconds: float,
    silence_seconds: int = SILENCE_SECONDS,
    source: str = '',
) -> gevent_socket.socket:
    """Connect to a peer.

    Args:
        address: The peer, as ``ip:port``.
        seconds: The timeout.
        silence_seconds: The time after which the connection ends if the peer
            is silent.
        source: The own IP address that the peer sees; '' for any.

    Returns:
        The connection.

    Raises:
        ConnectError: If connecting failed or the address is malformed.
    """
    host, _, port = address.rpartition(':')
    try:
        sock = gevent_socket.create_connection(
            (host, int(port)), seconds, (source, 0) if source else None
        )
    except (OSError, ValueError) as fault:
        raise error.ConnectError(
            f'no connection: {fault}',
            'connect',
            address,
        ) from fault
    set_socket_options(sock, silence_seconds)
    return sock


def _send(sock: gevent_socket.socket, call: Call) -> BoundedResponse:
    sock.settimeout(call.first_byte_seconds)
    sock.sendall(_encode_head(call) + call.body)
    return BoundedResponse(sock, call)


def _encode_head(call: Call) -> bytes:
    lines = [
        f'{call.method} {call.path} HTTP/1.1',
        f'Host: {call.address}',
        f'Content-Length: {len(call.body)}',
    ]
    lines.extend(f'{name}: {text}' for name, text in call.headers)
    head = '\r\n'.join(lines)
    return f'{head}\r\n\r\n'.encode('latin-1')
