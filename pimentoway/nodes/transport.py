"""UDP for gossip."""

import collections

from gevent import server as gevent_server


class UdpTransport:
    """Sends and receives gossip over UDP."""

    def __init__(self, host: str, port: int) -> None:
        """Listen at an address.

        Args:
            host: The IP number.
            port: The port.
        """
        self._server = gevent_server.DatagramServer(
            (host, port),
            self._pass_on,
        )
        self._receive: collections.abc.Callable[[bytes, str], None] | None
        self._receive = None

    def start(
        self, receive: collections.abc.Callable[[bytes, str], None]
    ) -> None:
        """Begin to receive.

        Args:
            receive: Takes each packet and the address it came from.
        """
        self._receive = receive
        self._server.start()

    def send(self, address: str, packet: bytes) -> None:
        """Send a packet, which may be lost.

        Args:
            address: Where to.
            packet: The packet.
        """
        host, _, port = address.rpartition(':')
        try:
            self._server.sendto(packet, (host, int(port)))
        except OSError:
            # A packet that can't be sent is a packet lost.
            return

    def close(self) -> None:
        """Stop receiving."""
        self._server.stop()

    def _pass_on(self, packet: bytes, address: tuple[str, int]) -> None:
        if self._receive:
            self._receive(packet, f'{address[0]}:{address[1]}')
