"""A simulated network for nodes that run in one process.

It carries back-end calls and gossip in memory, with latency on the clock of
the event loop. Tests can partition failure domains and kill or freeze nodes.
"""

import collections
import dataclasses

import gevent
from gevent import event as gevent_event

from pimentoway.backends import event, exchange
from pimentoway.core import codec, connection, error
from pimentoway.nodes import relay
from pimentoway.standin import engine, model

#: The name of the platform in partitions.
PLATFORM = 'platform'

#: One-way latency of a message, in seconds.
LATENCY_SECONDS = 0.001

_OK = 200
_NOT_FOUND = 404
_FAILED = 500
_CHAT_PATH = '/v1/chat/completions'


class Network:
    """The network between nodes, back ends and the platform.

    Attributes:
        backend_by_address: The simulated engines and applications.
        zone_by_address: The failure domain of each address.
        gossip_by_address: The packet handler of each live node, by its gossip
            address.
        relay_by_address: The call handler of each live node, by its call
            address.
        packet_loss_interval: With n, every n-th gossip packet is dropped; 0
            drops none.
    """

    def __init__(self) -> None:
        """Start without back ends, nodes and partitions."""
        self.backend_by_address: dict[str, object] = {}
        self.zone_by_address: dict[str, str] = {}
        self.gossip_by_address: dict[str, collections.abc.Callable] = {}
        self.relay_by_address: dict[str, relay.Relay] = {}
        self.packet_loss_interval = 0
        self._sent_packets = 0
        self._partitions: set[frozenset[str]] = set()

    def cut(self, one: str, other: str) -> None:
        """Partition a pair, so that nothing passes in either direction.

        Args:
            one: A failure domain.
            other: Another failure domain, the same, or ``PLATFORM``.
        """
        self._partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """Remove all partitions."""
        self._partitions.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Check for a partition between two failure domains.

        Args:
            one: A failure domain.
            other: Another failure domain or ``PLATFORM``.

        Returns:
            Whether nothing passes between them.
        """
        return frozenset((one, other)) in self._partitions

    def deliver(self, zone: str, address: str, packet: bytes) -> None:
        """Deliver a gossip packet after the latency, unless it is lost.

        Loss, a partition and an address without a node drop it silently.

        Args:
            zone: The failure domain of the sender.
            address: The gossip address of the recipient.
            packet: The encoded packet.
        """
        self._sent_packets += 1
        if (
            self.packet_loss_interval
            and self._sent_packets % self.packet_loss_interval == 0
        ):
            return
        if self.is_cut(zone, self.zone_by_address.get(address, '')):
            return
        receive = self.gossip_by_address.get(address)
        if receive:
            gevent.spawn_later(LATENCY_SECONDS, receive, packet, address)


class Host:
    """The VM of one node: all that the node sends passes through it.

    Attributes:
        network: The network that it sends to.
        zone: The failure domain that it is in.
        alive: Whether the node has not been killed.
    """

    def __init__(self, network: Network, zone: str) -> None:
        """Start a VM.

        Args:
            network: The network that it sends to.
            zone: The failure domain that it is in.
        """
        self.network = network
        self.zone = zone
        self.alive = True
        self._running = gevent_event.Event()
        self._running.set()

    def kill(self) -> None:
        """Kill the node: its tasks end at their next send or receive."""
        self.alive = False
        self._running.set()

    def freeze(self) -> None:
        """Suspend sends and receives of the node until it thaws."""
        self._running.clear()

    def thaw(self) -> None:
        """Resume a frozen node."""
        self._running.set()

    def wait_until_running(self) -> None:
        """Block the current task while frozen; end it if the node is killed.

        Raises:
            GreenletExit: If the node has been killed.
        """
        self._running.wait()
        if not self.alive:
            raise gevent.GreenletExit

    def simulate_transit(self, address: str) -> None:
        """Simulate the way of a call to an address: latency and partitions.

        Args:
            address: The address of the recipient.

        Raises:
            ConnectError: If a partition lies between.
        """
        self.wait_until_running()
        gevent.sleep(LATENCY_SECONDS)
        self.wait_until_running()
        zone = self.network.zone_by_address.get(address, '')
        if self.network.is_cut(self.zone, zone):
            raise error.ConnectError('cut off', 'connect', address)


class FakePool(connection.Pool):
    """A connection pool whose calls reach simulated back ends in memory."""

    def __init__(self, host: Host) -> None:
        """Make calls from a VM.

        Args:
            host: The VM of the calling node.
        """
        super().__init__()
        self._host = host

    def open(self, call: connection.Call) -> 'FakeExchange':
        """Start a call, see ``Pool.open``.

        Args:
            call: The call.

        Returns:
            The exchange, from which the answer is read.

        Raises:
            ConnectError: If the back end is down or a partition lies between.
        """
        self._host.simulate_transit(call.address)
        backend = self._host.network.backend_by_address[call.address]
        if backend.is_down():
            refusal = ConnectionRefusedError(call.address)
            raise error.ConnectError(
                'refused', 'connect', call.address
            ) from refusal
        return _dispatch_call(backend, call, self._host)


class FakeExchange:
    """A call in progress, with the interface of ``Exchange``.

    Attributes:
        status: The HTTP status of the answer.
        content_type: The media type of the answer.
    """

    def __init__(
        self,
        status: int,
        body: collections.abc.Iterator[bytes],
        call: connection.Call,
        host: Host,
        load: str = '',
    ) -> None:
        """Start the answer to a call.

        Args:
            status: The HTTP status.
            body: The lines of the body, produced as they are read.
            call: The call.
            host: The VM of the calling node.
            load: The load report for the load header; '' for none.
        """
        self.status = status
        self.content_type = 'application/json'
        self._body = body
        self._call = call
        self._host = host
        self._load = load

    def read_header(self, name: str) -> str:
        """Read a header of the answer.

        Args:
            name: The name of the header.

        Returns:
            The load report for the load header, '' for any other.
        """
        return self._load if name == exchange.LOAD_HEADER else ''

    def read_headers(self) -> dict[str, str]:
        """Read all headers of the answer.

        Returns:
            The load header.
        """
        return {exchange.LOAD_HEADER.lower(): self._load}

    def read_line(self) -> bytes:
        """Read a line of the body.

        Returns:
            The line with its line end; b'' after the last line.
        """
        timeout = self._call.compute_read_timeout()
        with gevent.Timeout(
            timeout, error.ConnectionLostError('stalled', 'read')
        ):
            line = next(self._body, b'')
        self._host.wait_until_running()
        return line

    def read_body(self) -> bytes:
        """Read the rest of the body, without a timeout.

        Returns:
            The rest; b'' at the end.
        """
        body = b''.join(self._body)
        self._host.wait_until_running()
        return body

    def close(self) -> None:
        """Do nothing, for there is no connection to close."""


def _dispatch_call(
    backend: object, call: connection.Call, host: Host
) -> FakeExchange:
    load = codec.encode_json(backend.report()).decode()
    if call.path == '/report':
        return FakeExchange(_OK, iter([load.encode()]), call, host)
    headers = dict(call.headers)
    if isinstance(backend, model.ApplicationModel):
        key = headers.get(exchange.IDEMPOTENCY_KEY_HEADER, '')
        run_id = headers[exchange.REQUEST_ID_HEADER]
        body = backend.call(model.ExecutedCall(key, call.body, run_id))
        return FakeExchange(_OK, iter([body]), call, host, load)
    if call.path == _CHAT_PATH:
        return _start_run(backend, call, host, load)
    return _handle_run_call(backend, call, host, load)


def _handle_run_call(
    backend: model.EngineModel,
    call: connection.Call,
    host: Host,
    load: str,
) -> FakeExchange:
    run_id = dict(call.headers)[exchange.REQUEST_ID_HEADER]
    if call.method == 'DELETE':
        backend.cancel(run_id)
        return FakeExchange(_OK, iter(()), call, host)
    run = backend.runs_by_id.get(run_id)
    if run is None:
        return FakeExchange(_NOT_FOUND, iter(()), call, host)
    after = int(call.path.rpartition('=')[2])
    return FakeExchange(
        _OK, _stream_lines(backend, run, after), call, host, load
    )


def _start_run(
    backend: model.EngineModel,
    call: connection.Call,
    host: Host,
    load: str,
) -> FakeExchange:
    run_id = dict(call.headers)[exchange.REQUEST_ID_HEADER]
    completion = codec.decode_json(call.body, engine.CompletionRequest)
    prompt = '\n'.join(
        chat_message.content for chat_message in completion.messages
    ).encode()
    try:
        run = backend.submit(run_id, prompt, completion.max_tokens)
    except error.FailedError:
        return FakeExchange(_FAILED, iter([b'failing']), call, host)
    return FakeExchange(_OK, _stream_lines(backend, run, 0), call, host, load)


def _stream_lines(
    backend: model.EngineModel, run: model.Run, after: int
) -> collections.abc.Iterator[bytes]:
    for number, text in backend.read(run, after):
        sender = run
        if backend.traits.foreign_after == number:
            backend.traits.foreign_after = 0
            sender = dataclasses.replace(run, run_id='another')
            text = 'foreign'
        payload = event.DONE_DATA
        if text is not None:
            payload = engine.encode_chunk(sender, text)
        yield b'id: %d\n' % number
        yield b'data: %b\n' % payload
