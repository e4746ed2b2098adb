"""Tests of the links between nodes, on the paused clock."""

import gevent
import pytest
from gevent import queue as gevent_queue

from pimentoway.core import connection, deployment, error, registry
from pimentoway.nodes import frame, link
from pimentoway.ops import slot, view
from pimentoway.standin import paused_loop


class FakeSocket:
    """A socket that records what is sent.

    Attributes:
        received: Blocks to be read; an empty block ends the connection.
    """

    def __init__(self) -> None:
        """Open the socket."""
        self.received: gevent_queue.Queue[bytes] = gevent_queue.Queue()
        self._reader = frame.FrameReader()
        self._messages: list[frame.Message] = []
        self._seconds: float | None = None

    def settimeout(self, seconds: float) -> None:
        """Set the timeout of reads.

        Args:
            seconds: The timeout.
        """
        self._seconds = seconds

    def recv(self, size: int) -> bytes:
        """Wait for the next block.

        Args:
            size: Ignored.

        Returns:
            The block; empty at the end of the connection.

        Raises:
            TimeoutError: If no block arrives before the timeout.
        """
        try:
            return self.received.get(timeout=self._seconds)
        except gevent_queue.Empty as fault:
            raise TimeoutError('timed out') from fault

    def sendall(self, block: bytes) -> None:
        """Decode and record the messages of a block.

        Args:
            block: The encoded frames.
        """
        self._messages.extend(self._reader.feed(block))

    def close(self) -> None:
        """Close the socket."""

    def take_sent(self, kind: type) -> list[frame.Message]:
        """Remove and return what was sent since the last call.

        Args:
            kind: The type of the messages to return.

        Returns:
            The messages of this type; others are dropped.
        """
        selected = [
            message for message in self._messages if isinstance(message, kind)
        ]
        self._messages.clear()
        return selected


class OpenLink:
    """A running link with its socket and view.

    Attributes:
        sock: The socket.
        view: The registry records of the node.
        link: The link under test.
    """

    def __init__(self) -> None:
        """Start the link."""
        self.sock = FakeSocket()
        self.view = view.View()
        self.link = link.Link(self.sock, 'peer', self.view)
        gevent.spawn(self.link.run, lambda source, message: None)

    def play(self, seconds: float, every: float = 0) -> list[frame.Heartbeat]:
        """Advance the clock while the peer sends heartbeats.

        Args:
            seconds: The time to advance.
            every: Seconds between two grants that the link sends; 0 for none.

        Returns:
            The heartbeats that the link sent.
        """
        self.sock.take_sent(frame.Heartbeat)
        steps = round(seconds / 0.01)
        for step in range(steps):
            if every and step % round(every / 0.01) == 0:
                self.link.send(slot.Grant(step, 'e'))
            if step % 10 == 0:
                self.sock.received.put(
                    frame.encode(frame.Heartbeat([0, 0, 0, 0, 0]))
                )
            paused_loop.advance(0.01)
        return self.sock.take_sent(frame.Heartbeat)


def test_idle_link_sends_regular_heartbeats() -> None:
    """An idle link sends a heartbeat every ``HEARTBEAT_SECONDS``."""
    heartbeats = OpenLink().play(2)
    assert 18 <= len(heartbeats) <= 22


def test_idle_heartbeats_are_mostly_empty() -> None:
    """What a node has is told twice a second, if nothing changes."""
    heartbeats = OpenLink().play(2)
    told = [heartbeat for heartbeat in heartbeats if heartbeat.revisions]
    assert 3 <= len(told) <= 6


def test_empty_heartbeat_repeats_a_query() -> None:
    """A change that came right after a query is asked for soon."""
    opened = OpenLink()
    opened.play(0.2)
    for revisions in ([7], [8], [], [], [], []):
        opened.sock.received.put(frame.encode(frame.Heartbeat(revisions)))
        paused_loop.advance(link.QUERY_SECONDS / 3)
    queries = opened.sock.take_sent(frame.RecordQuery)
    assert len(queries) == 2


def test_messages_replace_heartbeats() -> None:
    """Busy link: other messages show that the node lives."""
    heartbeats = OpenLink().play(2, every=0.05)
    assert 3 <= len(heartbeats) <= 6


def test_new_revision_is_sent_at_once() -> None:
    """A change of the registry is sent with the next message."""
    opened = OpenLink()
    opened.play(0.5, every=0.05)
    record = deployment.Peer('n', 'z', 'n:1', 1)
    opened.view.apply_changes(
        registry.Kind.peers,
        registry.Changes(9, (registry.Change('n', record),)),
        'test',
    )
    heartbeats = opened.play(0.06, every=0.05)
    assert [max(heartbeat.revisions) for heartbeat in heartbeats] == [9]


def test_link_closes_when_peer_is_silent() -> None:
    """A link ends after ``SILENCE_SECONDS`` without a message."""
    opened = OpenLink()
    opened.play(0.5)
    assert opened.link.open
    paused_loop.advance(link.SILENCE_SECONDS + 0.05)
    assert not opened.link.open


@pytest.fixture(name='sock')
def connect_fake_socket(monkeypatch: pytest.MonkeyPatch) -> FakeSocket:
    """Let every connection succeed.

    Args:
        monkeypatch: Replaces the connecting of sockets.

    Returns:
        The socket of all connections.
    """
    sock = FakeSocket()
    monkeypatch.setattr(connection, 'connect', lambda address, seconds: sock)
    return sock


# A stopped process: its operating system still accepts connections, and nodes
# returned to it as their broker again and again.
def test_link_to_a_stopped_node_is_not_opened(sock: FakeSocket) -> None:
    """A node that accepts a connection but sends nothing is not linked to."""
    opening = gevent.spawn(link.open_link, 'stopped:1', 'stopped', view.View())
    paused_loop.advance(link.CONNECT_SECONDS + 0.05)
    assert isinstance(opening.exception, error.ConnectError)
    assert not sock.take_sent(frame.Heartbeat)


def test_message_read_while_opening_is_handled(sock: FakeSocket) -> None:
    """The first message of the other node is not lost."""
    sock.received.put(frame.encode(frame.Heartbeat([7])))
    opening = gevent.spawn(link.open_link, 'peer:1', 'peer', view.View())
    paused_loop.advance(0.01)
    gevent.spawn(opening.value.run, lambda source, message: None)
    paused_loop.advance(0.01)
    assert [query.kind for query in sock.take_sent(frame.RecordQuery)] == [
        next(iter(registry.Kind)).value
    ]


# Guards against a node that starts after the store was restored and stays with
# its older configuration, although the others have a newer one in force.
def test_newer_version_is_requested(
    sock: FakeSocket,
) -> None:
    """The version decides, not the revision, which is the restored store's."""
    node_view = view.View()
    older = deployment.Deployment(11, (), {}, {}, deployment.CallerLimits())
    listing = view.Snapshot(registry.Kind.configuration, 60, {'main': older})
    node_view.apply_snapshot(listing, 'store list')
    sock.received.put(frame.encode(frame.Heartbeat([60], 13)))
    opening = gevent.spawn(link.open_link, 'peer:1', 'peer', node_view)
    paused_loop.advance(0.01)
    gevent.spawn(opening.value.run, lambda source, message: None)
    paused_loop.advance(0.01)
    assert sock.take_sent(frame.RecordQuery) == [
        frame.RecordQuery(registry.Kind.configuration.value, 60, 11)
    ]


def attach(server: link.LinkServer, number: int) -> FakeSocket:
    """Attach a node by a new connection.

    Args:
        server: The server that accepts it.
        number: The number of the connection.

    Returns:
        The socket of the connection.
    """
    sock = FakeSocket()
    sock.received.put(frame.encode(frame.Attach('n', 'b', number, [], [])))
    gevent.spawn(server.handle, sock, ('10.0.0.1', 1))
    paused_loop.advance(0.01)
    return sock


def test_older_link_does_not_replace_newer_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replies go to the highest numbered link, in whatever order links arrive.

    A broker that was paused also accepts connections that the node has already
    abandoned.
    """
    monkeypatch.setattr(connection, 'set_socket_options', lambda sock: None)
    detached = []
    server = link.LinkServer(
        view.View(), lambda source, message: None, detached.append
    )
    live = attach(server, 2)
    stale = attach(server, 1)
    stale.received.put(b'')
    paused_loop.advance(0.01)
    server.reply('n/b', slot.Grant(7, 'e'))
    paused_loop.advance(0.01)
    assert live.take_sent(slot.Grant) == [slot.Grant(7, 'e')]
    assert not detached


def raise_key_error(source: link.Link, message: frame.Message) -> None:
    """Raise an error that no handler of messages raises on purpose.

    Args:
        source: The link.
        message: The message.

    Raises:
        KeyError: Unless a node attaches.
    """
    if not isinstance(message, frame.Attach):
        raise KeyError(message)


# Guards against a node whose slot requests wait until their callers have gone:
# its link was no longer read, but still counted as open.
def test_unexpected_error_ends_the_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both ends notice: `run` returns, and the server detaches the node."""
    monkeypatch.setattr(connection, 'set_socket_options', lambda sock: None)
    detached = []
    server = link.LinkServer(view.View(), raise_key_error, detached.append)
    sock = attach(server, 1)
    sock.received.put(frame.encode(slot.Report(1, slot.Outcome.answered)))
    paused_loop.advance(0.01)
    assert detached == ['n/b']
    assert not server.link_by_requester
