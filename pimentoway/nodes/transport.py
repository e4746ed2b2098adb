"""The UDP socket that gossip uses."""

import collections

from gevent import server as gevent_server


class UdpTransport:
    """Sends and receives gossip packets over UDP."""

    def __init__(self, host: str, port: int) -> None:
        """Prepare a server, which receives nothing before ``start``.

        Args:
            host: The IP number to bind to.
            port: The UDP port.
        """
        self._server = gevent_server.DatagramServer(
            (host, port),
            self._handle_packet,
        )
        self._receive: collections.abc.Callable[[bytes, str], None] | None
        self._receive = None

    def start(
        self, receive: collections.abc.Callable[[bytes, str], None]
    ) -> None:
        """Begin to receive.

        Args:
            receive: Called with each packet and the address of its sender.
        """
        self._receive = receive
        self._server.start()

    def send(self, address: str, packet: bytes) -> None:
        """Send a packet, which may be lost.

        Args:
            address: The IP number and port of the receiver.
            packet: The packet.
        """
        host, _, port = address.rpartition(':')
        try:
            self._server.sendto(packet, (host, int(port)))
        except OSError:
            # Gossip tolerates lost packets, so a failed send counts as one.
            return

    def close(self) -> None:
        """Stop receiving."""
        self._server.stop()

    def _handle_packet(self, packet: bytes, address: tuple[str, int]) -> None:
        if self._receive:
            self._receive(packet, f'{address[0]}:{address[1]}')
