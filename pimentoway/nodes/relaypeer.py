"""The connection of a node that has a request relayed, at the relay."""

import collections
import socket
import typing

import gevent
import msgspec
from gevent import socket as gevent_socket

from pimentoway.backends import channel
from pimentoway.core import budget, clock, connection, error
from pimentoway.nodes import frame, relayframe

#: The shortest timeout of a read from the node or a write to it, in seconds.
MIN_IO_SECONDS = 0.05

#: Unlike links, these connections may stay full while a caller reads slowly,
#: which ``TCP_USER_TIMEOUT`` would end. The deadline of the request does.
_SLOW_READER_OPTION = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)

_READ_EVENT = 1

_Frame = typing.TypeVar('_Frame')


class NodeLeftError(error.NodeError):
    """The node closed the connection, as it wants no answer any more."""


class RelayPeer:
    """The connection of another node.

    Attributes:
        host: The IP address of the node.
        left: Whether it closed the connection while its request was running.
    """

    def __init__(
        self,
        sock: gevent_socket.socket,
        host: str,
        memory: budget.MemoryBudget,
    ) -> None:
        """Wrap an accepted socket.

        Args:
            sock: The socket.
            host: The IP address of the node.
            memory: The bytes that all connections may hold together.
        """
        self.host = host
        self.left = False
        connection.set_socket_options(sock)
        sock.setsockopt(*_SLOW_READER_OPTION)
        self._sock = sock
        self._reader = relayframe.make_reader('relay')
        self._holding = memory.open(self._end)
        self._frames: collections.deque = collections.deque()

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()
        self._holding.close()

    def keep(self) -> None:
        """Keep the connection when memory is short, as its request runs."""
        self._holding.end = None

    def read(self, kind: type[_Frame], deadline: float) -> _Frame:
        """Read the next frame.

        Args:
            kind: The type that it must have.
            deadline: The monotonic time at which waiting ends.

        Returns:
            The frame.

        Raises:
            NodeLeftError: If the connection ended.
            NodeError: If another frame comes, or one that can't be read.
        """
        while not self._frames:
            self._set_timeout(deadline)
            block = self._sock.recv(channel.RECEIVE_BYTES)
            if not block:
                raise NodeLeftError('the node left', 'relay', self.host)
            self._frames.extend(self._reader.feed(block))
            self._count_held()
        content = self._frames.popleft()
        if not isinstance(content, kind):
            raise error.NodeError(
                f'a {type(content).__name__} frame came before {kind.__name__}',
                'relay',
                self.host,
            )
        return content

    def read_body(self, size: int, deadline: float) -> bytes:
        """Read the body of a request.

        Args:
            size: Its length in bytes.
            deadline: The monotonic time at which waiting ends.

        Returns:
            The body.

        Raises:
            NodeError: If the parts are longer than that.
        """
        body = bytearray()
        while len(body) < size:
            body += self.read(relayframe.Body, deadline).part
        if len(body) > size or self._frames:
            raise error.NodeError(
                f'more came than a body of {size} bytes', 'relay', self.host
            )
        return bytes(body)

    def send(self, content: msgspec.Struct, deadline: float) -> None:
        """Send a frame, at the pace at which the node reads.

        Args:
            content: The frame.
            deadline: The monotonic time at which sending is given up.
        """
        self._set_timeout(deadline)
        self._sock.sendall(frame.encode(content))

    def watch(self, on_left: collections.abc.Callable[[], None]) -> object:
        """Watch for the end of the connection.

        Args:
            on_left: Called once when it ends, or when anything comes.

        Returns:
            The watcher, which must be closed.
        """
        watcher = gevent.get_hub().loop.io(self._sock.fileno(), _READ_EVENT)
        watcher.start(self._note_left, watcher, on_left)
        return watcher

    def check_present(self) -> None:
        """Check that the node still waits for the answer.

        Raises:
            NodeLeftError: If it does not.
        """
        if self.left:
            raise NodeLeftError('the node left', 'relay', self.host)

    def _end(self) -> None:
        # Called by another task, so it must not block.
        self._reader.drop()
        self._frames.clear()
        self._sock.close()

    def _count_held(self) -> None:
        held = self._reader.measure()
        self._holding.progressed = clock.read_monotonic()
        if held != self._holding.size and not self._holding.resize(held):
            raise error.NodeError(
                'the relay has no memory for the frame', 'relay', self.host
            )

    def _note_left(
        self, watcher: object, on_left: collections.abc.Callable[[], None]
    ) -> None:
        # Runs in the event loop, so it must not block.
        watcher.stop()
        self.left = True
        on_left()

    def _set_timeout(self, deadline: float) -> None:
        remaining = deadline - clock.read_monotonic()
        self._sock.settimeout(max(remaining, MIN_IO_SECONDS))
