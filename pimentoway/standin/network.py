"""A stand-in for the network of one process's tests: calls, gossip, cuts.

It carries the same calls that real sockets would, in memory and on the clock
of the event loop, and can cut failure domains off, kill and freeze nodes.
"""

import collections
import dataclasses

import gevent
from gevent import event as gevent_event

from pimentoway.backends import event, exchange
from pimentoway.core import codec, connection, error
from pimentoway.nodes import message, relay
from pimentoway.ops import claim, permit
from pimentoway.platform import store
from pimentoway.standin import engine, model

#: The name under which the platform takes part in cuts.
PLATFORM = 'platform'

#: Seconds that a message takes one way.
LATENCY_SECONDS = 0.001

_OK = 200
_MISSING = 404
_FAILED = 500
_CHAT_PATH = '/v1/chat/completions'


class Network:
    """The network between nodes, back ends and the platform.

    Attributes:
        served_by_address: The engines and applications.
        zone_by_address: The failure domain of each address.
        gossip_by_address: Takes the packets of each node.
        relay_by_address: Answers the calls of each node.
        lost_packets: The part of packets that is lost, as every n-th; 0 for
            none.
    """

    def __init__(self) -> None:
        """Start with nothing and no cuts."""
        self.served_by_address: dict[str, object] = {}
        self.zone_by_address: dict[str, str] = {}
        self.gossip_by_address: dict[str, collections.abc.Callable] = {}
        self.relay_by_address: dict[str, relay.Relay] = {}
        self.lost_packets = 0
        self._sent = 0
        self._cuts: set[frozenset[str]] = set()

    def cut(self, one: str, other: str) -> None:
        """Cut two failure domains, or one and the platform, off.

        Args:
            one: The first.
            other: The second.
        """
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Heal all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether two failure domains are cut off.

        Args:
            one: The first.
            other: The second.

        Returns:
            Whether nothing passes between them.
        """
        return frozenset((one, other)) in self._cuts

    def deliver(self, zone: str, address: str, packet: bytes) -> None:
        """Deliver a packet of gossip, unless it is lost.

        Args:
            zone: The failure domain of the sender.
            address: Where to.
            packet: The packet.
        """
        self._sent += 1
        if self.lost_packets and self._sent % self.lost_packets == 0:
            return
        if self.is_cut(zone, self.zone_by_address.get(address, '')):
            return
        receive = self.gossip_by_address.get(address)
        if receive:
            gevent.spawn_later(LATENCY_SECONDS, receive, packet, address)


class Host:
    """The machine of one node: what it sends stops when it is killed.

    Attributes:
        network: The network.
        zone: The failure domain.
        alive: Whether it was not killed.
    """

    def __init__(self, network: Network, zone: str) -> None:
        """Start a machine.

        Args:
            network: The network.
            zone: The failure domain.
        """
        self.network = network
        self.zone = zone
        self.alive = True
        self._running = gevent_event.Event()
        self._running.set()

    def kill(self) -> None:
        """Kill the node: nothing leaves it any more."""
        self.alive = False
        self._running.set()

    def freeze(self) -> None:
        """Freeze the node: what it sends waits until it thaws."""
        self._running.clear()

    def thaw(self) -> None:
        """Let a frozen node go on."""
        self._running.set()

    def pass_out(self) -> None:
        """Wait while frozen, and end the task if the node was killed.

        Raises:
            GreenletExit: If the node was killed.
        """
        self._running.wait()
        if not self.alive:
            raise gevent.GreenletExit

    def pass_to(self, address: str) -> None:
        """Pass a call out to an address.

        Args:
            address: Where to.

        Raises:
            ConnectError: If the way is cut.
        """
        self.pass_out()
        gevent.sleep(LATENCY_SECONDS)
        self.pass_out()
        zone = self.network.zone_by_address.get(address, '')
        if self.network.is_cut(self.zone, zone):
            raise error.ConnectError('cut off', 'connect', address)


class FakePool(connection.Pool):
    """Makes calls to back ends in memory, in place of connections."""

    def __init__(self, host: Host) -> None:
        """Call from a machine.

        Args:
            host: The machine.
        """
        super().__init__()
        self._host = host

    def open(self, call: connection.Call) -> 'FakeExchange':
        """Make a call, see ``Pool.open``.

        Args:
            call: The call.

        Returns:
            The exchange.

        Raises:
            ConnectError: If the back end refuses connections.
        """
        self._host.pass_to(call.address)
        served = self._host.network.served_by_address[call.address]
        if served.is_down():
            raise error.ConnectError('refused', 'connect', call.address)
        return _answer(served, call, self._host)


class FakeExchange:
    """A call in progress, with the interface of ``Exchange``.

    Attributes:
        status: The HTTP status.
        content_type: The media type.
    """

    def __init__(
        self,
        status: int,
        body: collections.abc.Iterator[bytes],
        call: connection.Call,
        host: Host,
        load: str = '',
    ) -> None:
        """Answer a call.

        Args:
            status: The HTTP status.
            body: The lines of the body.
            call: The call.
            host: The machine that called.
            load: The report that goes with the answer.
        """
        self.status = status
        self.content_type = 'application/json'
        self._body = body
        self._call = call
        self._host = host
        self._load = load

    def read_header(self, name: str) -> str:
        """Read a header.

        Args:
            name: Its name.

        Returns:
            The report for its own header, otherwise nothing.
        """
        return self._load if name == exchange.LOAD_HEADER else ''

    def read_line(self) -> bytes:
        """Read a line.

        Returns:
            The line, or nothing at the end.
        """
        patience = self._call.measure_patience()
        with gevent.Timeout(patience, error.CutError('stalled', 'read')):
            line = next(self._body, b'')
        self._host.pass_out()
        return line

    def read_body(self) -> bytes:
        """Read the rest.

        Returns:
            The bytes.
        """
        body = b''.join(self._body)
        self._host.pass_out()
        return body

    def close(self) -> None:
        """Close the call."""


class FakeTransport:
    """Carries a node's gossip."""

    def __init__(self, host: Host) -> None:
        """Send from a machine.

        Args:
            host: The machine.
        """
        self._host = host

    def send(self, address: str, packet: bytes) -> None:
        """Send a packet.

        Args:
            address: Where to.
            packet: The packet.
        """
        self._host.pass_out()
        self._host.network.deliver(self._host.zone, address, packet)


class FakeCalls:
    """Makes a node's calls to other nodes."""

    def __init__(self, host: Host) -> None:
        """Call from a machine.

        Args:
            host: The machine.
        """
        self._host = host

    def list_changes(
        self, address: str, query: message.ChangeQuery
    ) -> message.ChangeReply:
        """Ask for changes, see ``Calls.list_changes``.

        Args:
            address: Where to.
            query: The query.

        Returns:
            The reply.
        """
        return self._find(address).list_changes(query)

    def sync(self, address: str, query: message.SyncQuery) -> message.SyncReply:
        """Exchange knowledge, see ``Calls.sync``.

        Args:
            address: Where to.
            query: The query.

        Returns:
            The reply.
        """
        return self._find(address).sync(query)

    def lend(self, address: str, ask: permit.Ask) -> message.Verdict:
        """Ask for a slot, see ``Calls.lend``.

        Args:
            address: Where to.
            ask: The ask.

        Returns:
            The verdict.
        """
        return self._find(address).lend(ask)

    def take_back(self, address: str, ask: permit.Ask) -> message.Verdict:
        """Give a slot back, see ``Calls.take_back``.

        Args:
            address: Where to.
            ask: The permit.

        Returns:
            The verdict.
        """
        return self._find(address).take_back(ask)

    def append_entry(
        self, address: str, entry: claim.Entry
    ) -> message.AppendReply:
        """Let a node append an entry, see ``Calls.append_entry``.

        Args:
            address: Where to.
            entry: The entry.

        Returns:
            The reply.
        """
        reply = self._find(address).append_entry(entry)
        self._find(address)
        return reply

    def _find(self, address: str) -> relay.Relay:
        try:
            self._host.pass_to(address)
        except error.ConnectError as fault:
            raise error.NodeError('cut off', 'call', address) from fault
        found = self._host.network.relay_by_address.get(address)
        if found is None:
            raise error.NodeError('no answer', 'call', address)
        return found


class FakeStore(store.Store):
    """The platform as one machine reaches it."""

    def __init__(self, host: Host, served: store.Store) -> None:
        """Call from a machine.

        Args:
            host: The machine.
            served: The platform's object service.
        """
        self._host = host
        self._served = served

    def read(self, kind: str, name: str) -> store.Object:
        """Read an object, see ``Store.read``.

        Args:
            kind: The kind.
            name: The name.

        Returns:
            The object.
        """
        return self._reach().read(kind, name)

    def write(
        self, kind: str, name: str, body: str, version: int
    ) -> store.Object:
        """Write an object, see ``Store.write``.

        Args:
            kind: The kind.
            name: The name.
            body: The new text.
            version: The version that is replaced.

        Returns:
            The object as written.
        """
        written = self._reach().write(kind, name, body, version)
        self._host.pass_out()
        return written

    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object, see ``Store.remove``.

        Args:
            kind: The kind.
            name: The name.
            version: The version that is removed.
        """
        self._reach().remove(kind, name, version)

    def list_objects(self, kind: str, prefix: str = '') -> store.Events:
        """List objects, see ``Store.list_objects``.

        Args:
            kind: The kind.
            prefix: What their names start with.

        Returns:
            The objects.
        """
        return self._reach().list_objects(kind, prefix)

    def watch(self, kind: str, revision: int, seconds: float) -> store.Events:
        """Wait for events, see ``Store.watch``.

        Args:
            kind: The kind.
            revision: The revision after which events are wanted.
            seconds: The longest wait.

        Returns:
            The events.
        """
        events = self._reach().watch(kind, revision, seconds)
        self._reach()
        return events

    def list_machines(self) -> tuple[store.Machine, ...]:
        """List the VMs, see ``Store.list_machines``.

        Returns:
            The VMs.
        """
        return self._reach().list_machines()

    def _reach(self) -> store.Store:
        self._host.pass_out()
        if self._host.network.is_cut(self._host.zone, PLATFORM):
            raise error.PlatformUnavailableError('cut off', 'call', PLATFORM)
        return self._served


def _answer(served: object, call: connection.Call, host: Host) -> FakeExchange:
    load = codec.encode_json(served.report()).decode()
    if call.path == '/report':
        return FakeExchange(_OK, iter([load.encode()]), call, host)
    headers = dict(call.headers)
    if isinstance(served, model.ApplicationModel):
        key = headers.get(exchange.KEY_HEADER, '')
        run_id = headers[exchange.REQUEST_HEADER]
        body = served.call(model.Effect(key, call.body, run_id))
        return FakeExchange(_OK, iter([body]), call, host, load)
    if call.path == _CHAT_PATH:
        return _start_run(served, call, host, load)
    return _continue_run(served, call, host, load)


def _continue_run(
    served: model.EngineModel,
    call: connection.Call,
    host: Host,
    load: str,
) -> FakeExchange:
    run_id = dict(call.headers)[exchange.REQUEST_HEADER]
    if call.method == 'DELETE':
        served.cancel(run_id)
        return FakeExchange(_OK, iter(()), call, host)
    run = served.runs_by_id.get(run_id)
    if run is None:
        return FakeExchange(_MISSING, iter(()), call, host)
    after = int(call.path.rpartition('=')[2])
    return FakeExchange(
        _OK, _stream_lines(served, run, after), call, host, load
    )


def _start_run(
    served: model.EngineModel,
    call: connection.Call,
    host: Host,
    load: str,
) -> FakeExchange:
    run_id = dict(call.headers)[exchange.REQUEST_HEADER]
    asked = codec.decode_json(call.body, engine.Completion)
    prompt = '\n'.join(part.content for part in asked.messages).encode()
    try:
        run = served.submit(run_id, prompt, asked.max_tokens)
    except error.FailedError:
        return FakeExchange(_FAILED, iter([b'failing']), call, host)
    return FakeExchange(_OK, _stream_lines(served, run, 0), call, host, load)


def _stream_lines(
    served: model.EngineModel, run: model.Run, after: int
) -> collections.abc.Iterator[bytes]:
    for number, text in served.read(run, after):
        answered = run
        if served.traits.foreign_after == number:
            served.traits.foreign_after = 0
            answered = dataclasses.replace(run, run_id='another')
            text = 'foreign'
        payload = event.DONE
        if text is not None:
            payload = engine.encode_chunk(answered, text)
        yield b'id: %d\n' % number
        yield b'data: %b\n' % payload
