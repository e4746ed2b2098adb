"""A proxy on the path from one node to one engine, which can be cut."""

import array
import enum
import socket
import struct

from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.soak import proxy
from pimentoway.standin import port

#: Options of Linux, which the socket module doesn't name.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27

#: A packet filter of one instruction, "return 0": the kernel drops all that
#: arrives, without acknowledging it.
_DROP_ALL = array.array('B', struct.pack('HBBI', 6, 0, 0, 0))
_FILTER_PROGRAM = struct.pack('HP', 1, _DROP_ALL.buffer_info()[0])


class Cut(enum.Enum):
    """How a path is cut.

    With all but ``hanging`` ones, new connections are refused.
    """

    # Open connections are closed.
    refused = 'refused'
    # Open connections are reset.
    reset = 'reset'
    # Open connections live on.
    kept = 'kept'
    # Nothing that is sent arrives or is acknowledged, on open and on new
    # connections.
    hanging = 'hanging'


class PathProxy(proxy.Proxy):
    """Forwards the connections of one node to one engine."""

    def __init__(self, target: str) -> None:
        """Listen on a free port, which stays the same after a cut.

        Args:
            target: The IP address and port to which it forwards.
        """
        super().__init__(target)
        self._server.close()
        self._own = ('127.0.0.1', port.find_ports(1))
        self.address = f'{self._own[0]}:{self._own[1]}'
        self._cut: Cut | None = None
        self._listen()

    def cut(self, how: Cut) -> None:
        """Cut the path until ``mend``.

        Args:
            how: What becomes of open and of new connections.
        """
        self.mend()
        self.was_disturbed = True
        self._cut = how
        if how is Cut.hanging:
            self.holds_requests = True
            self.holds_answers = True
            for sock in (self._server.socket, *self._list_accepted()):
                _set_option(sock, SO_ATTACH_FILTER, _FILTER_PROGRAM)
            return
        self._server.close()
        if how is Cut.reset:
            self.reset()
        elif how is Cut.refused:
            for open_sock in self._list_accepted():
                open_sock.close()

    def mend(self) -> None:
        """End the cut; what was lost on the way is sent again by the kernel."""
        if self._cut is Cut.hanging:
            for sock in (self._server.socket, *self._list_accepted()):
                _set_option(sock, SO_DETACH_FILTER, struct.pack('i', 0))
        elif self._cut:
            self._listen()
        self._cut = None
        self.restore()

    def _listen(self) -> None:
        self._server = gevent_server.StreamServer(self._own, self._handle)
        self._server.start()

    def _list_accepted(self) -> list[gevent_socket.socket]:
        return [
            sock
            for sock in self._open_sockets
            if sock.fileno() >= 0 and sock.getsockname() == self._own
        ]


def _set_option(
    sock: gevent_socket.socket, option: int, option_value: bytes
) -> None:
    sock.setsockopt(socket.SOL_SOCKET, option, option_value)
