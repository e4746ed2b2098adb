"""Several whole nodes in one process, with a path of its own to each engine."""

import collections
import dataclasses
import itertools

import gevent
from gevent import event as gevent_event

from pimentoway.core import (
    clock,
    connection,
    deployment,
    error,
    message,
    registry,
)
from pimentoway.platform import (
    recording_engine,
    setting,
    soak_fixture,
    wire,
)
from pimentoway.soak import caller, path_proxy
from pimentoway.standin import port
from pimentoway.tools import edge

#: The number of failure domains; nodes and engines are spread over them.
ZONES = 3

#: The ports that a node may use.
PORTS_PER_NODE = 10

#: The cores of the node whose broker all use; the others have one.
BROKER_CORES = 2

#: The most connections to an engine, and the most requests of the customer.
MAX_REQUESTS = 300

#: The target of all routes for the gap between two events of a stream.
GAP_TARGET_SECONDS = 0.3

#: Seconds within which the nodes must use one broker after their start, and
#: between two checks whether they do.
ATTACH_SECONDS = 8
CHECK_SECONDS = 0.1

_REVISION = 1

_CALL_NUMBERS = itertools.count(1)


class PeerBoard:
    """The registered nodes, which all nodes of a group share.

    Attributes:
        revision: Counts the changes.
        peers_by_name: The registered nodes.
        changed: Set, and replaced, at each change.
    """

    def __init__(self) -> None:
        """Start without nodes."""
        self.revision = _REVISION
        self.peers_by_name: dict[str, deployment.Peer] = {}
        self.changed = gevent_event.Event()

    def write(self, name: str, peer: deployment.Peer | None) -> None:
        """Register a node, or remove it.

        Args:
            name: The name of the node.
            peer: Its entry; nothing removes it.
        """
        self.revision += 1
        if peer:
            self.peers_by_name[name] = peer
        else:
            self.peers_by_name.pop(name, None)
        self.changed.set()
        self.changed = gevent_event.Event()


class GroupRegistry(registry.Registry):
    """The registry as one node reads it: each engine has its own address.

    Only the entries of nodes change.
    """

    def __init__(
        self,
        board: PeerBoard,
        configuration: deployment.Deployment,
        engines: list[deployment.Engine],
    ) -> None:
        """Set what the node reads.

        Args:
            board: The registered nodes.
            configuration: The configuration.
            engines: The entries of the engines, with this node's addresses.
        """
        self._board = board
        self._records_by_kind = {
            registry.Kind.configuration: {'main': configuration},
            registry.Kind.engines: {engine.name: engine for engine in engines},
        }

    def list_records(self, kind: registry.Kind) -> registry.Listing:
        """List all records of a kind.

        Args:
            kind: The kind.

        Returns:
            The records.
        """
        if kind is registry.Kind.peers:
            return registry.Listing(
                self._board.revision, dict(self._board.peers_by_name)
            )
        return registry.Listing(_REVISION, self._records_by_kind.get(kind, {}))

    def watch_records(
        self, kind: registry.Kind, revision: int, seconds: float
    ) -> registry.Changes:
        """Wait for changes of the nodes.

        Args:
            kind: The kind.
            revision: The last known revision.
            seconds: The longest wait.

        Returns:
            No changes.

        Raises:
            WatchExpiredError: If nodes have changed, so that they must be
                listed again.
        """
        if kind is not registry.Kind.peers:
            gevent.sleep(seconds)
            return registry.Changes(revision, ())
        if revision == self._board.revision:
            self._board.changed.wait(seconds)
        if revision != self._board.revision:
            raise error.WatchExpiredError('nodes have changed', 'watch')
        return registry.Changes(revision, ())

    def check(self) -> None:
        """Do nothing, as the store answers."""

    def put_peer(self, peer: deployment.Peer) -> None:
        """Register a node.

        Args:
            peer: The node.
        """
        self._board.write(peer.name, peer)

    def remove_peer(self, name: str) -> None:
        """Remove the entry of a node.

        Args:
            name: The name of the node.
        """
        self._board.write(name, None)

    def put_part_block(self, block: deployment.PartBlock) -> None:
        """Do nothing.

        Args:
            block: The block.
        """

    def remove_part_block(self, block: deployment.PartBlock) -> None:
        """Do nothing.

        Args:
            block: The block.
        """

    def report_rollout(self, rollout: deployment.Rollout, state: str) -> None:
        """Do nothing.

        Args:
            rollout: The rollout.
            state: Its state.
        """


@dataclasses.dataclass(frozen=True)
class Size:
    """The size of a group.

    Attributes:
        nodes: The number of nodes.
        engines: The number of engines.
        slots: The requests that an engine runs at once.
    """

    nodes: int = 3
    engines: int = 3
    slots: int = soak_fixture.SLOTS


@dataclasses.dataclass(frozen=True)
class Period:
    """Which calls count.

    Attributes:
        start: The monotonic time from which calls sent to a node count.
        end: The monotonic time at which they no longer do.
        kind: The kind of the calls; empty for all kinds.
        seconds: The longest time of an answer that counts as served.
    """

    start: float
    end: float
    kind: str = ''
    seconds: float = caller.ANSWER_TIMEOUT_SECONDS

    def includes(self, outcome: 'Outcome') -> bool:
        """Tell whether a call counts.

        Args:
            outcome: The call.

        Returns:
            Whether it was sent in this time and is of the kind.
        """
        sent = self.start <= outcome.sent_at < self.end
        return sent and self.kind in {'', outcome.kind}


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A call and how it ended.

    Attributes:
        request_id: The attempt id.
        kind: One of ``soak_fixture.REQUEST_KINDS``.
        node: The index of the node.
        sent_at: When it was sent, in seconds of the monotonic clock.
        seconds: How long it took.
        ending: How it ended.
        status: The HTTP status; 0 if no answer began.
    """

    request_id: str
    kind: str
    node: int
    sent_at: float
    seconds: float
    ending: caller.Ending
    status: int


class NodeGroup:
    """Nodes that share a broker, and engines that each reaches by proxies.

    Node 0 has the broker.

    Attributes:
        engines: The engines.
        nodes: The nodes.
        proxies: For each node, its proxies to the engines, in their order.
        outcomes: The calls that have ended.
    """

    def __init__(self, size: Size, unframed: bool = False) -> None:
        """Start the engines and the nodes.

        Args:
            size: The size of the group.
            unframed: Whether half of the streams end with their connection, so
                that the end of a path can look like the end of an answer.
        """
        self.engines = [
            _start_engine(f'e{number}', unframed)
            for number in range(size.engines)
        ]
        self.proxies = [
            [path_proxy.PathProxy(engine.address) for engine in self.engines]
            for _ in range(size.nodes)
        ]
        self._size = size
        self.outcomes: list[Outcome] = []
        self._board = PeerBoard()
        self._tasks: set[gevent.Greenlet] = set()
        self.nodes = [self._start_node(number) for number in range(size.nodes)]

    def wait_until_attached(self) -> bool:
        """Wait until all nodes use the broker of node 0.

        Returns:
            Whether they do within ``ATTACH_SECONDS``.
        """
        end = clock.read_monotonic() + ATTACH_SECONDS
        while clock.read_monotonic() < end:
            gevent.sleep(CHECK_SECONDS)
            attached = sum(node.slots.is_remote for node in self.nodes)
            ready = all(node.is_ready() for node in self.nodes)
            if ready and attached == self._size.nodes - 1:
                return not self.nodes[0].slots.is_remote
        return False

    def cut(self, node: int, how: path_proxy.Cut) -> None:
        """Cut a node from all engines.

        Args:
            node: The index of the node.
            how: What becomes of its connections.
        """
        for path in self.proxies[node]:
            path.cut(how)

    def call_all(self, seconds: float, rate: float) -> None:
        """Call each node at a steady rate, all kinds in turn.

        Args:
            seconds: For how long; the last calls may go on.
            rate: The calls a second to each node.
        """
        end = clock.read_monotonic() + seconds
        for kind in itertools.cycle(soak_fixture.REQUEST_KINDS):
            if clock.read_monotonic() >= end:
                return
            for node in range(self._size.nodes):
                task = gevent.spawn(self._call, node, kind)
                self._tasks.add(task)
                task.link(self._tasks.discard)
                gevent.sleep(1 / (rate * self._size.nodes))

    def finish(self) -> None:
        """Wait until all calls have ended."""
        gevent.joinall(tuple(self._tasks), raise_error=True)

    def measure_share(self, nodes: list[int], period: Period) -> float:
        """Measure the share of calls that were answered whole.

        Args:
            nodes: The indexes of the called nodes.
            period: Which calls count.

        Returns:
            The share.
        """
        counted = [
            outcome
            for outcome in self.outcomes
            if outcome.node in nodes and period.includes(outcome)
        ]
        served = [
            outcome
            for outcome in counted
            if outcome.ending is caller.Ending.exact
            and outcome.seconds <= period.seconds
        ]
        return len(served) / len(counted)

    def count_runs(self) -> collections.Counter[str]:
        """Count how often each request ran at any engine.

        Returns:
            The number of runs by attempt id.
        """
        return collections.Counter(
            run.request_id for engine in self.engines for run in engine.runs
        )

    def _start_node(self, number: int) -> edge.EdgeNode:
        name = f'n{number}'
        settings_file = soak_fixture.SettingsFile(
            name,
            _name_zone(number),
            '127.0.0.1',
            port.find_ports(PORTS_PER_NODE),
            '',
            (),
            4,
        )
        settings = dataclasses.replace(
            setting.decode_settings(settings_file.render_toml(name).encode()),
            zones=tuple(_name_zone(index) for index in range(ZONES)),
            cores=1 if number else BROKER_CORES,
        )
        platform = edge.Platform(
            GroupRegistry(
                self._board,
                _make_configuration(self._size.slots),
                self._list_engines(number),
            ),
            wire.DIALECT,
            lambda: settings,
        )
        node = edge.EdgeNode(settings, platform)
        node.start()
        return node

    def _list_engines(self, node: int) -> list[deployment.Engine]:
        return [
            deployment.Engine(
                engine.name,
                soak_fixture.SERVICE,
                path.address,
                _name_zone(number),
                'v1',
                self._size.slots,
                False,
                0,
                1,
            )
            for number, (engine, path) in enumerate(
                zip(self.engines, self.proxies[node], strict=True)
            )
        ]

    def _call(self, node: int, kind: str) -> None:
        request_id = f'g{next(_CALL_NUMBERS)}'
        sent_at = clock.read_monotonic()
        reader = message.AnswerReader()
        try:
            ending = self._exchange(node, kind, request_id, reader)
        except TimeoutError:
            ending = caller.Ending.hung
        except (OSError, error.ConnectError, error.ConnectionLostError):
            ending = caller.Ending.closed
        seconds = clock.read_monotonic() - sent_at
        status = reader.answers[0].status if reader.answers else 0
        self.outcomes.append(
            Outcome(request_id, kind, node, sent_at, seconds, ending, status)
        )

    def _exchange(
        self,
        node: int,
        kind: str,
        request_id: str,
        reader: message.AnswerReader,
    ) -> caller.Ending:
        front = self.nodes[node].settings.front
        with connection.connect(front, caller.RETRY_SECONDS) as sock:
            path = f'/{kind}/{request_id}'
            sock.sendall(soak_fixture.write_request(kind, request_id, path))
            deadline = clock.read_monotonic() + caller.ANSWER_TIMEOUT_SECONDS
            answer = caller.read_answer(sock, reader, deadline)
        return caller.classify_answer(kind, request_id, answer)


def _start_engine(
    name: str, unframed: bool
) -> recording_engine.RecordingEngine:
    engine = recording_engine.RecordingEngine(name)
    engine.unframed = unframed
    return engine


def _name_zone(number: int) -> str:
    return f'z{number % ZONES}'


def _make_configuration(slots: int) -> deployment.Deployment:
    customer = deployment.Customer(
        'studio', (soak_fixture.KEY,), None, 0, 0, True, MAX_REQUESTS
    )
    service = soak_fixture.SERVICE
    return deployment.Deployment(
        1,
        tuple(_make_route(kind) for kind in soak_fixture.REQUEST_KINDS),
        {service: deployment.Service(service, MAX_REQUESTS, 0, slots)},
        {'studio': customer},
        deployment.CallerLimits(idle_seconds=4, header_seconds=1),
    )


def _make_route(kind: str) -> deployment.Route:
    kinds = deployment.RouteKind
    return deployment.Route(
        name=kind,
        host=soak_fixture.HOST,
        prefix=f'/{kind}/',
        kind=kinds[kind] if kind in kinds.__members__ else kinds.stream,
        shares=(deployment.Share(soak_fixture.SERVICE, 1),),
        attempts=(
            1 if kind in {'unsafe', 'stream'} else soak_fixture.MAX_ATTEMPTS
        ),
        timeout=soak_fixture.DEADLINE_MILLISECONDS / 1000,
        goal=soak_fixture.LATENCY_TARGET_MILLISECONDS / 1000,
        gap=GAP_TARGET_SECONDS,
        rank=0,
        public=False,
        resumable=kind == 'resumable',
    )
