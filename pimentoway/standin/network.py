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
from pimentoway.nodes import relay
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
        patience = self._call.compute_read_timeout()
        with gevent.Timeout(
            patience, error.ConnectionLostError('stalled', 'read')
        ):
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
