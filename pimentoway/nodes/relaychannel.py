"""Connections to back ends through another node, which relays one request.

They look like direct connections: what the back end sends is parsed and judged
here, not at the relay.
"""

import dataclasses
import types

import msgspec
from gevent import socket as gevent_socket

from pimentoway.backends import channel
from pimentoway.core import call, clock, connection, deployment, error, message
from pimentoway.nodes import frame, relayframe
from pimentoway.ops import view

#: Seconds to connect to a relay.
CONNECT_SECONDS = 0.3

#: Seconds until the relay must have told whether it takes the request. It may
#: need ``channel.CONNECT_SECONDS`` for its own connection.
OPEN_SECONDS = channel.CONNECT_SECONDS + CONNECT_SECONDS


class RelayError(error.ConnectError):
    """The node that should relay the request did not take it."""


class RelayBrokenError(error.ConnectionLostError):
    """The relay broke off; nothing is known of the back end."""


class CrashedError(error.ConnectionLostError):
    """The connection ended, and the back end refuses the relay's new ones."""


class RelayChannel(channel.Channel):
    """A connection to a back end through a relay, for one request."""

    def __init__(
        self,
        engine: str,
        address: str,
        dialect: call.Dialect,
        sock: gevent_socket.socket,
        reused: bool,
    ) -> None:
        """Take over a connection to a relay that has connected.

        Args:
            engine: The name of the back end.
            address: Its address, followed by the name of the relay.
            dialect: Decodes the metadata in the headers of responses.
            sock: The connection.
            reused: Whether the relay's connection carried a request before.
        """
        super().__init__(engine, address, dialect, sock)
        self.reused = reused
        self._frames = relayframe.make_reader('node')
        self._acknowledged = False
        self._end: relayframe.End | None = None

    def send_request(self, dispatch: call.Dispatch, deadline: float) -> None:
        """Send a request; stop early if the relay already responds.

        Args:
            dispatch: The request.
            deadline: The monotonic time at which sending is given up.
        """
        self.send(relayframe.encode_request(dispatch), deadline)

    def count_unacknowledged(self) -> int:
        """Count what the back end's kernel has not acknowledged.

        Returns:
            The bytes that the relay's kernel has not acknowledged, and one
            until the relay says that the back end's has.
        """
        return super().count_unacknowledged() + (not self._acknowledged)

    def has_input(self) -> bool:
        """Tell whether anything, or the end, has arrived and was not read.

        Returns:
            Whether it has.
        """
        return self._end is not None or connection.is_readable(self._sock)

    def reset_for_reuse(self, response: message.Answer) -> bool:
        """Tell that the connection carries no further request.

        Args:
            response: The response that was read last.

        Returns:
            Always ``False``.
        """
        return False

    def _receive(self, deadline: float) -> None:
        if self._end is not None:
            self._finish(self._end)
            return
        for content in self._frames.feed(self._receive_block(deadline)):
            self._accept(content)

    def _accept(self, content: msgspec.Struct) -> None:
        self._acknowledged = True
        if isinstance(content, relayframe.Received):
            self._reader.feed(content.part)
        elif isinstance(content, relayframe.Ended):
            self._end = content.end
        elif not isinstance(content, relayframe.Acknowledged):
            raise self._make_broken_error(f'it sent {content}')

    def _receive_block(self, deadline: float) -> bytes:
        remaining = deadline - clock.read_monotonic()
        if remaining <= 0:
            raise channel.SilentError('no answer in time', 'read', self.address)
        self._sock.settimeout(remaining)
        try:
            block = self._sock.recv(channel.RECEIVE_BYTES)
        except OSError as fault:
            if connection.is_expired(fault):
                raise channel.SilentError(
                    'no answer in time', 'read', self.address
                ) from fault
            raise self._make_broken_error(str(fault)) from fault
        if not block:
            raise self._make_broken_error('it closed the connection')
        self._turn.note_read(len(block))
        return block

    def _finish(self, end: relayframe.End) -> None:
        kind = _ERRORS_BY_END.get(end)
        if kind:
            raise kind(
                f'the relay reports that it is {end.name}', 'read', self.address
            )
        if self._closed_by_peer:
            raise error.ConnectionLostError(
                'the connection was closed', 'read', self.address
            )
        self._note_end()

    def _make_broken_error(self, reason: str) -> RelayBrokenError:
        return RelayBrokenError(
            f'the relay broke off: {reason}', 'exchange', self.address
        )


_ERRORS_BY_END = types.MappingProxyType(
    {
        relayframe.End.reset: error.ConnectionLostError,
        relayframe.End.silent: channel.SilentEndError,
        relayframe.End.crashed: CrashedError,
    }
)


@dataclasses.dataclass(frozen=True)
class RelayRoute:
    """Connects to back ends through one node, for one request.

    It has the interface of ``channel.ChannelPool``.

    Attributes:
        node: The name of the node that asks.
        source: Its IP address, by which the relay knows it.
        relay: The node that relays.
        size: The length of the request's body, in bytes.
        dialect: Decodes the metadata in the headers of responses.
    """

    node: str
    source: str
    relay: deployment.Peer
    size: int
    dialect: call.Dialect

    def acquire(
        self,
        engine: str,
        address: str,
        max_idle_seconds: float,
        request_id: str,
    ) -> RelayChannel:
        """Let the relay connect to a back end.

        Args:
            engine: The name of the back end.
            address: Its IP address and port.
            max_idle_seconds: Seconds for which the relay's connection may have
                been idle; 0 for a new one.
            request_id: The identifier of the request.

        Returns:
            The connection, to be passed to `release` or `discard`.

        Raises:
            PimentowayError: A ``RelayError`` if the relay takes no request, or
                a ``ConnectError`` if it can't connect to the back end.
        """
        opening = relayframe.Open(
            self.node,
            engine,
            self.size,
            min(max_idle_seconds, relayframe.MAX_SECONDS),
            request_id,
        )
        sock = self._connect()
        try:
            opened = self._request(sock, opening)
        except error.PimentowayError:
            sock.close()
            raise
        return RelayChannel(
            engine,
            f'{address} via {self.relay.name}',
            self.dialect,
            sock,
            opened.reused,
        )

    def release(
        self,
        conn: RelayChannel,
        response: message.Answer,
        metadata: call.AnswerMetadata,
    ) -> None:
        """Close a connection after a complete response.

        Args:
            conn: The connection.
            response: The response that was read from it.
            metadata: The metadata of the response.
        """
        conn.close()

    def discard(self, conn: RelayChannel) -> None:
        """Close a connection, so that the relay cancels the request.

        Args:
            conn: The connection.
        """
        conn.close()

    def _connect(self) -> gevent_socket.socket:
        address = self.relay.relay_address
        try:
            return connection.connect(
                address, CONNECT_SECONDS, source=self.source
            )
        except error.ConnectError as fault:
            raise RelayError(fault.reason, fault.step, fault.peer) from fault

    def _request(
        self, sock: gevent_socket.socket, opening: relayframe.Open
    ) -> relayframe.Opened:
        peer = self.relay.name
        try:
            reply = _exchange(sock, frame.encode(opening))
        except (OSError, error.NodeError) as fault:
            raise RelayError(
                f'the relay did not reply: {fault}', 'open', peer
            ) from fault
        if isinstance(reply, relayframe.Opened):
            return reply
        if isinstance(reply, relayframe.Denied):
            if reply.reason is relayframe.Denial.unreachable:
                raise error.ConnectError(reply.text, 'relay', peer)
            raise RelayError(reply.text, 'open', peer)
        raise RelayError(f'the relay sent {reply}', 'open', peer)


class RelayClient:
    """Finds the nodes that relay requests for this node."""

    def __init__(
        self,
        node: str,
        source: str,
        node_view: view.View,
        dialect: call.Dialect,
    ) -> None:
        """Use the given components of the node.

        Args:
            node: The name of this node.
            source: Its IP address.
            node_view: The registry records, with the other nodes.
            dialect: Decodes the metadata in the headers of responses.
        """
        self._node = node
        self._source = source
        self._view = node_view
        self._dialect = dialect

    def has_relay(self) -> bool:
        """Tell whether any other node may relay requests.

        Returns:
            Whether one is registered that does.
        """
        return any(
            peer.relay_address
            for peer in self._view.peers_by_name.values()
            if peer.name != self._node
        )

    def find_route(self, name: str, size: int) -> RelayRoute:
        """Find the way through another node.

        Args:
            name: The name of the node.
            size: The length of the request's body, in bytes.

        Returns:
            The way.

        Raises:
            RelayError: If no node of that name relays requests.
        """
        peer = self._view.peers_by_name.get(name)
        if peer is None or not peer.relay_address:
            raise RelayError('the node relays nothing', 'open', name)
        return RelayRoute(self._node, self._source, peer, size, self._dialect)


def _exchange(sock: gevent_socket.socket, opening: bytes) -> object:
    deadline = clock.read_monotonic() + OPEN_SECONDS
    reader = relayframe.make_reader('node')
    sock.settimeout(OPEN_SECONDS)
    sock.sendall(opening)
    replies: list = []
    while not replies:
        remaining = deadline - clock.read_monotonic()
        sock.settimeout(max(remaining, connection.MIN_TIMEOUT_SECONDS))
        block = sock.recv(channel.RECEIVE_BYTES)
        if not block:
            raise error.NodeError('the relay closed the connection', 'open')
        replies = reader.feed(block)
    if len(replies) > 1:
        raise error.NodeError('the relay sent more than one reply', 'open')
    return replies[0]
