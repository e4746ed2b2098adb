"""Links: long-lived TCP connections between a node and the broker it asks.

Every node accepts links. Besides slot requests and replies, both ends exchange
the records of the registry that the other one lacks, so a node that the store
refuses to serve gets them from other nodes.
"""

import collections
import dataclasses
import functools
import traceback

import gevent
from gevent import event as gevent_event
from gevent import socket as gevent_socket

from pimentoway.core import (
    budget,
    clock,
    connection,
    error,
    log,
    loglimit,
    metric,
    registry,
)
from pimentoway.nodes import frame
from pimentoway.ops import slot, view

#: Seconds between two heartbeats of a link that sends nothing else.
HEARTBEAT_SECONDS = 0.1

#: Longest time in seconds between two heartbeats on a link that sends other
#: messages. The heartbeat repeats the sender's revisions, so that the peer asks
#: again for records that it did not get.
REVISIONS_SECONDS = 0.5

#: Seconds without a message after which the peer counts as gone. More than
#: four heartbeats, so that one lost packet doesn't end the link.
SILENCE_SECONDS = 0.45

#: The part of them, in seconds, in which a message is awaited anew: after a
#: pause of this process it may have come, or come at once.
LAST_WAIT_SECONDS = 0.05

#: Seconds to connect to another node and to receive its first message.
CONNECT_SECONDS = 0.3

#: The least wait for the first message after a slow connect, in seconds: a
#: timeout of 0 would not wait at all.
MIN_WAIT_SECONDS = 0.05

#: Seconds between two queries for records of the same kind.
QUERY_SECONDS = 0.3

#: Largest number of bytes read from a socket at once.
READ_BYTES = 65_536

#: Bytes in the send buffer above which the link is closed.
MAX_UNSENT_BYTES = 4 * 1024 * 1024

#: The largest frame of a node that has not attached yet, in bytes. An
#: ``Attach`` holds at most the usage of all customers.
MAX_UNATTACHED_BYTES = 0x100000

#: The most links unless the node has a limit of its own.
MAX_LINKS = 1000

#: The bytes of an incomplete frame, and of the send buffer, that are not
#: counted: what heartbeats and slot messages need.
FREE_BYTES = 32_768

#: The bytes in the send buffer above which a peer gets no further records. It
#: asks for those of one kind every ``QUERY_SECONDS``.
MAX_UNREAD_BYTES = 1024 * 1024

_LOG = log.Log('link')
_LIMITED_LOG = loglimit.LimitedLog(_LOG)

MessageHandler = collections.abc.Callable[['Link', frame.Message], None]
ContactSource = collections.abc.Callable[[], frame.Contact]
NodeContactSource = collections.abc.Callable[[str], frame.Contact]


@dataclasses.dataclass(frozen=True)
class Limits:
    """What all links to a node may take.

    Attributes:
        memory: The bytes that all connections may hold together.
        links: The most links.
    """

    memory: budget.MemoryBudget = dataclasses.field(
        default_factory=functools.partial(budget.MemoryBudget, 0)
    )
    links: int = MAX_LINKS


class Link:
    """A connection to another node.

    Attributes:
        peer: The name of the other node, or its address while no name is
            known.
        requester: ``name/boot`` of the node that attached to this one's broker;
            empty before its ``Attach`` and on links that this node opened.
        number: The number of the link from its ``Attach``; 0 before it.
        open: Whether the connection is open.
        tell_contact: Tells what the heartbeats say of the store.
    """

    def __init__(
        self,
        sock: gevent_socket.socket,
        peer: str,
        node_view: view.View,
        received: bytes = b'',
        encoder: frame.RecordEncoder | None = None,
        memory: budget.MemoryBudget | None = None,
    ) -> None:
        """Wrap a connected socket.

        Args:
            sock: The socket, which the link closes.
            peer: The name of the other node, or its address.
            node_view: The registry records of this node.
            received: What was read from the socket before.
            encoder: Encodes the records that the peer asks for; several links
                share one.
            memory: The bytes that all connections may hold together; ``None``
                for no limit.
        """
        self.peer = peer
        self.requester = ''
        self.number = 0
        self.open = True
        self.tell_contact: ContactSource = _tell_nothing
        self._sock = sock
        self._view = node_view
        self._received = received
        self._encoder = encoder or frame.RecordEncoder(node_view)
        self._unsent = bytearray()
        self._sending = 0
        self._reader = frame.FrameReader()
        self._holding = (memory or budget.MemoryBudget(0)).open(self._end)
        self._turn = connection.Turn()
        self._wake = gevent_event.Event()
        self._queried_by_kind: dict[str, float] = {}
        self._next_heartbeat: float = 0
        self._next_revisions: float = 0
        self._sent_heartbeat: frame.Heartbeat | None = None
        self._received_heartbeat = frame.Heartbeat([])

    def send(self, message: frame.Message) -> None:
        """Queue a message for sending, without blocking.

        Args:
            message: The message.
        """
        self._unsent += frame.encode(message)
        self._wake.set()

    def read_contact(self) -> int:
        """Read what the peer told last of its contact with the store.

        Returns:
            The value of a ``frame.Contact``.
        """
        return self._received_heartbeat.contact

    def run(self, on_message: MessageHandler) -> None:
        """Send and receive messages until the connection ends.

        Args:
            on_message: Called with each message other than those that
                synchronize the registry.
        """
        writer = gevent.spawn(self._write)
        try:
            self._run(on_message)
        finally:
            writer.kill()

    def limit_frames(self, size: int) -> None:
        """Limit the frames that are read.

        Args:
            size: The most bytes of a frame.
        """
        self._reader.max_bytes = size

    def close(self) -> None:
        """Close the connection."""
        self.open = False
        self._unsent.clear()
        self._sock.close()
        self._wake.set()

    def _run(self, on_message: MessageHandler) -> None:
        try:
            self._read(on_message)
        except (OSError, error.NodeError) as fault:
            _LOG.write('connection ended.', peer=self.peer, reason=str(fault))
        except Exception as unexpected:
            # Both ends recover from a closed link, but not from one that is
            # open and no longer read.
            _LOG.write(
                'unexpected error, closes the connection.',
                peer=self.peer,
                reason=repr(unexpected),
                trace=traceback.format_exc(limit=-4),
            )
        finally:
            self.close()
            self._holding.close()

    def _read(self, on_message: MessageHandler) -> None:
        block = self._received or self._read_block()
        while self.open:
            for message in self._reader.feed(block):
                if not self._handle_registry(message):
                    on_message(self, message)
            self._count_held()
            self._turn.note_read(len(block))
            block = self._read_block()

    def _count_held(self) -> None:
        # Twice, as sending and decoding copy the bytes.
        unsent = self._sending + len(self._unsent)
        held = 2 * max(0, self._reader.measure() + unsent - FREE_BYTES)
        if held == self._holding.size:
            return
        self._holding.progressed = clock.read_monotonic()
        if not self._holding.resize(held):
            raise error.NodeError(
                'the node has no memory for the link', 'read', self.peer
            )

    def _end(self) -> None:
        # Called by another task, so it must not block.
        _LIMITED_LOG.write(
            'a link is ended for want of memory.', peer=self.peer
        )
        self._reader.drop()
        self.close()

    def _read_block(self) -> bytes:
        self._sock.settimeout(SILENCE_SECONDS - LAST_WAIT_SECONDS)
        try:
            block = self._sock.recv(READ_BYTES)
        except TimeoutError:
            self._sock.settimeout(LAST_WAIT_SECONDS)
            block = self._sock.recv(READ_BYTES)
        if not block:
            raise error.NodeError(
                'the peer closed the connection', 'read', self.peer
            )
        return block

    def _write(self) -> None:
        while self.open:
            now = clock.read_monotonic()
            self._add_heartbeat(now)
            if len(self._unsent) > MAX_UNSENT_BYTES:
                self.close()
                return
            if self._unsent:
                self._next_heartbeat = now + HEARTBEAT_SECONDS
                block = bytes(self._unsent)
                self._sending = len(block)
                self._unsent.clear()
                self._wake.clear()
                try:
                    self._sock.sendall(block)
                except OSError as fault:
                    _LOG.write(
                        'sending failed, closes the connection.',
                        peer=self.peer,
                        reason=str(fault),
                    )
                    self.close()
                    return
                self._sending = 0
            self._wake.wait(
                max(0, self._next_heartbeat - clock.read_monotonic()),
            )

    def _add_heartbeat(self, now: float) -> None:
        # Any message shows that this node lives. What it has is told when it
        # has changed and every REVISIONS_SECONDS; on an idle link an empty
        # heartbeat is enough in between.
        heartbeat = frame.Heartbeat(
            list(self._view.revision_by_kind.values()),
            self._view.version,
            self.tell_contact(),
        )
        if now >= self._next_revisions or heartbeat != self._sent_heartbeat:
            self._sent_heartbeat = heartbeat
            self._next_revisions = now + REVISIONS_SECONDS
            self.send(heartbeat)
        elif now >= self._next_heartbeat:
            self.send(frame.Heartbeat([]))

    def _handle_registry(self, message: frame.Message) -> bool:
        if isinstance(message, frame.Heartbeat):
            if message.revisions:
                self._received_heartbeat = message
            self._query_newer(self._received_heartbeat)
        elif isinstance(message, frame.RecordQuery):
            self._add_records(message)
        elif isinstance(message, frame.Records):
            frame.apply_records(message, self._view, self.peer)
        elif isinstance(message, frame.ConfigurationStep):
            frame.apply_step(message, self._view, self.peer)
        else:
            return False
        return True

    def _add_records(self, query: frame.RecordQuery) -> None:
        if self._sending + len(self._unsent) > MAX_UNREAD_BYTES:
            raise error.NodeError(
                'the peer asks for records and does not read them',
                'send',
                self.peer,
            )
        self._unsent += self._encoder.encode(query)
        self._count_held()
        self._wake.set()

    def _query_newer(self, heartbeat: frame.Heartbeat) -> None:
        now = clock.read_monotonic()
        for kind, revision in zip(
            registry.Kind, heartbeat.revisions, strict=False
        ):
            behind = self._view.revision_by_kind[kind] < revision
            if kind is registry.Kind.configuration:
                behind = behind or self._view.version < heartbeat.version
            queried = self._queried_by_kind.get(kind.value, float('-inf'))
            if behind and now - queried >= QUERY_SECONDS:
                self._queried_by_kind[kind.value] = now
                self.send(self._make_query(kind))

    def _make_query(self, kind: registry.Kind) -> frame.RecordQuery:
        version = 0
        if kind is registry.Kind.configuration:
            version = self._view.version
        return frame.RecordQuery(
            kind.value, self._view.revision_by_kind[kind], version
        )


def open_link(address: str, peer: str, node_view: view.View) -> Link:
    """Connect to another node and wait for its first message.

    Connections to a node whose process is stopped still succeed, as its
    operating system accepts them. Only a message shows that the node lives; it
    sends a heartbeat as soon as it accepts the link.

    Args:
        address: Its IP number and port.
        peer: Its name, or its address if the name is not known.
        node_view: The registry records of this node.

    Returns:
        The link, which sends nothing before ``run``.

    Raises:
        ConnectError: If connecting fails, or no message comes within
            ``CONNECT_SECONDS``.
    """
    deadline = clock.read_monotonic() + CONNECT_SECONDS
    sock = connection.connect(address, CONNECT_SECONDS)
    sock.settimeout(max(MIN_WAIT_SECONDS, deadline - clock.read_monotonic()))
    try:
        received = sock.recv(READ_BYTES)
    except OSError as fault:
        sock.close()
        raise error.ConnectError(
            f'the node sent no message: {fault}', 'connect', address
        ) from fault
    if not received:
        sock.close()
        raise error.ConnectError(
            'the node closed the connection', 'connect', address
        )
    return Link(sock, peer, node_view, received)


class LinkServer:
    """Accepts the links of nodes that ask this node's broker.

    Attributes:
        link_by_requester: The current link of each attached node, by
            ``name/boot``.
        tell_contact: Tells what the heartbeats to a node of the given name
            say of the store.
    """

    def __init__(
        self,
        node_view: view.View,
        on_message: MessageHandler,
        on_detach: collections.abc.Callable[[str], None],
        limits: Limits | None = None,
    ) -> None:
        """Start without links.

        Args:
            node_view: The registry records of this node.
            on_message: Called with each message of an attached node other
                than those that synchronize the registry.
            on_detach: Called with the requester when its current link ends.
            limits: What all links may take; ``None`` for the defaults.
        """
        self.link_by_requester: dict[str, Link] = {}
        self.tell_contact: NodeContactSource = _tell_nothing
        self._view = node_view
        self._on_message = on_message
        self._on_detach = on_detach
        self._encoder = frame.RecordEncoder(node_view)
        self._limits = limits or Limits()
        self._links: collections.OrderedDict[Link, None] = (
            collections.OrderedDict()
        )

    def count_open(self) -> int:
        """Count the accepted links.

        Returns:
            Their number, with those of nodes that have not attached.
        """
        return len(self._links)

    def handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        """Serve a connection until it ends.

        Args:
            sock: The connected socket.
            address: The IP number and port of the other node.
        """
        if not self._make_place():
            metric.ENDED_CONNECTIONS.labels('descriptors').inc()
            _LIMITED_LOG.write('closed a new link, too many are open.')
            sock.close()
            return
        connection.set_socket_options(sock)
        peer = f'{address[0]}:{address[1]}'
        link = Link(
            sock,
            peer,
            self._view,
            encoder=self._encoder,
            memory=self._limits.memory,
        )
        link.limit_frames(MAX_UNATTACHED_BYTES)
        self._links[link] = None
        try:
            link.run(functools.partial(self._handle_message))
        finally:
            self._links.pop(link, None)
        if self.link_by_requester.get(link.requester) is link:
            self.link_by_requester.pop(link.requester)
            self._on_detach(link.requester)

    def reply(
        self, requester: str, reply: slot.Grant | slot.Refusal | slot.Report
    ) -> None:
        """Send the reply to a slot request, if the node is still attached.

        Args:
            requester: ``name/boot`` of the node.
            reply: The grant or the refusal, or a report with a copy of usage.
        """
        link = self.link_by_requester.get(requester)
        if link:
            link.send(reply)

    def _make_place(self) -> bool:
        # The oldest link without an attached node is ended for a new one.
        if len(self._links) < self._limits.links:
            return True
        attached = frozenset(self.link_by_requester.values())
        oldest = next(
            (link for link in self._links if link not in attached), None
        )
        if oldest is None:
            return False
        self._links.pop(oldest)
        metric.ENDED_CONNECTIONS.labels('descriptors').inc()
        oldest.close()
        return True

    def _handle_message(self, link: Link, message: frame.Message) -> None:
        if isinstance(message, frame.Attach):
            self._attach(link, message)
        if self.link_by_requester.get(link.requester) is link:
            self._on_message(link, message)

    def _attach(self, link: Link, message: frame.Attach) -> None:
        link.requester = f'{message.node}/{message.boot}'
        link.peer = message.node
        link.number = message.number
        link.limit_frames(frame.MAX_FRAME_BYTES)
        current = self.link_by_requester.get(link.requester)
        # After a pause this process also reads connections that the node has
        # already abandoned, in any order.
        if current and current.number > link.number:
            _LOG.write(
                'ignores a link older than the current one.', peer=link.peer
            )
            link.close()
            return
        self.link_by_requester[link.requester] = link
        link.tell_contact = functools.partial(self.tell_contact, link.peer)
        if current:
            current.close()


def _tell_nothing(peer: str = '') -> frame.Contact:
    return frame.Contact.unknown
