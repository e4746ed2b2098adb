"""A TCP proxy on the loopback that delays, holds or resets connections."""

import socket
import struct

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

#: The maximum number of bytes per read.
READ_BYTES = 65_536

#: Seconds between checks whether a held direction forwards again.
POLL_SECONDS = 0.02

#: The timeout for connecting to the target.
CONNECT_SECONDS = 2.0

#: SO_LINGER on with a timeout of 0 s: closing the socket sends RST.
LINGER_RESET = struct.pack('ii', 1, 0)


class Proxy:
    """Forwards connections to one target, with faults if these are switched on.

    Attributes:
        address: The IP address and port on which it listens.
        delay_seconds: How long each block is delayed.
        refuses_connections: Whether new connections are reset.
        holds_requests: Whether bytes from clients are held back.
        holds_answers: Whether bytes from the target are held back.
        was_disturbed: Whether a fault of its connections was ever injected.
        error_count: The number of failures to connect or to forward.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port.

        Args:
            target: The IP address and port to which it forwards.
        """
        host, _, port = target.rpartition(':')
        self.error_count = 0
        self.was_disturbed = False
        self._target = (host, int(port))
        self._open_sockets: set[gevent_socket.socket] = set()
        self.restore()
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', 0), self._handle
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'

    def restore(self) -> None:
        """Switch all faults off; held bytes are forwarded."""
        self.delay_seconds: float = 0
        self.refuses_connections = False
        self.holds_requests = False
        self.holds_answers = False

    def reset(self) -> None:
        """Reset all open connections; new ones are accepted."""
        for sock in tuple(self._open_sockets):
            _reset(sock)

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        if self.refuses_connections:
            _reset(sock)
            return
        try:
            target = gevent_socket.create_connection(
                self._target, CONNECT_SECONDS
            )
        except OSError:
            self.error_count += 1
            _reset(sock)
            return
        target.settimeout(None)
        self._open_sockets.update((sock, target))
        answers = gevent.spawn(self._forward, target, sock, requests=False)
        self._forward(sock, target, requests=True)
        answers.join()
        self._open_sockets.difference_update((sock, target))
        sock.close()
        target.close()

    def _forward(
        self,
        source: gevent_socket.socket,
        sink: gevent_socket.socket,
        requests: bool,
    ) -> None:
        for sock in (source, sink):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._forward_blocks(source, sink, requests)
        except OSError:
            self.error_count += 1
            _reset(source)
            _reset(sink)

    def _forward_blocks(
        self,
        source: gevent_socket.socket,
        sink: gevent_socket.socket,
        requests: bool,
    ) -> None:
        block = source.recv(READ_BYTES)
        while block:
            self._delay_block(requests)
            sink.sendall(block)
            block = source.recv(READ_BYTES)
        self._delay_block(requests)
        sink.shutdown(socket.SHUT_WR)

    def _delay_block(self, requests: bool) -> None:
        gevent.sleep(self.delay_seconds)
        # Held bytes arrive late and in order, as after lost packets.
        while self._is_held(requests):
            gevent.sleep(POLL_SECONDS)

    def _is_held(self, requests: bool) -> bool:
        return self.holds_requests if requests else self.holds_answers


def _reset(sock: gevent_socket.socket) -> None:
    if sock.fileno() < 0:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    sock.close()
