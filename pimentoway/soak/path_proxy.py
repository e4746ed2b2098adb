"""A proxy on the path from one node to one engine, which can be cut."""

import array
import enum
import socket
import struct

from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.soak import proxy

#: Options of Linux, which the socket module doesn't name.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27

#: A packet filter of one instruction, "return 0": the kernel drops all that
#: arrives, without acknowledging it.
_DROP_ALL = array.array('B', struct.pack('HBBI', 6, 0, 0, 0))
_FILTER_PROGRAM = struct.pack('HP', 1, _DROP_ALL.buffer_info()[0])


class Cut(enum.Enum):
    """How a path is cut."""

    # Open connections are closed, new ones are refused.
    refused = 'refused'
    # Open connections are reset, new ones are refused.
    reset = 'reset'
    # Open connections live on, new ones are refused.
    kept = 'kept'
    # Nothing that is sent arrives or is acknowledged, on open and on new
    # connections.
    hanging = 'hanging'
    # Connections and bytes are accepted, but not passed on.
    silent = 'silent'


#: The cuts that pass nothing on, and those that refuse new connections.
HOLDING_CUTS = frozenset((Cut.hanging, Cut.silent))
REFUSING_CUTS = frozenset((Cut.refused, Cut.reset, Cut.kept))


class PathProxy(proxy.Proxy):
    """Forwards the connections of one node to one engine.

    Cuts may overlap; the path is whole when all have ended.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port, which it keeps while it refuses connections.

        Args:
            target: The IP address and port to which it forwards.
        """
        self._cuts: list[Cut] = []
        self._reserved: gevent_socket.socket | None = None
        super().__init__(target)

    def cut(self, how: Cut) -> None:
        """Cut the path until ``mend``.

        Args:
            how: What becomes of open and of new connections.
        """
        self.was_disturbed = True
        self._cuts.append(how)
        self._apply()
        if how is Cut.reset:
            self.reset()
        elif how is Cut.refused:
            for sock in self._list_accepted():
                sock.close()

    def mend(self, how: Cut) -> None:
        """End a cut; what was lost meanwhile is sent again by the kernel.

        Args:
            how: How the path was cut.
        """
        self._cuts.remove(how)
        self._apply()

    def _apply(self) -> None:
        refuses = not REFUSING_CUTS.isdisjoint(self._cuts)
        if refuses and not self._reserved:
            own = self._find_own_address()
            self._server.close()
            # Another process must not get the port.
            self._reserved = gevent_socket.socket()
            _set_option(self._reserved, socket.SO_REUSEADDR, 1)
            self._reserved.bind(own)
        elif self._reserved and not refuses:
            self._reserved.listen()
            self._server = gevent_server.StreamServer(
                self._reserved, self._handle
            )
            self._reserved = None
            self._server.start()
        listening = () if self._reserved else (self._server.socket,)
        for sock in (*listening, *self._list_accepted()):
            if Cut.hanging in self._cuts:
                _set_option(sock, SO_ATTACH_FILTER, _FILTER_PROGRAM)
            else:
                _remove_filter(sock)

    def _is_held(self, requests: bool) -> bool:
        if HOLDING_CUTS.isdisjoint(self._cuts):
            return super()._is_held(requests)
        return True

    def _list_accepted(self) -> list[gevent_socket.socket]:
        own = self._find_own_address()
        return [
            sock
            for sock in self._open_sockets
            if sock.fileno() >= 0 and sock.getsockname() == own
        ]

    def _find_own_address(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(':')
        return host, int(port)


def _set_option(
    sock: gevent_socket.socket, option: int, option_value: int | bytes
) -> None:
    sock.setsockopt(socket.SOL_SOCKET, option, option_value)


def _remove_filter(sock: gevent_socket.socket) -> None:
    try:
        _set_option(sock, SO_DETACH_FILTER, 0)
    except FileNotFoundError:
        # It had none.
        return
