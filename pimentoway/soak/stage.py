"""The system under a soak test: store, engines, nodes and their proxies."""

import dataclasses
import pathlib

import gevent

from pimentoway.core import clock, deployment, registry
from pimentoway.nodes import election
from pimentoway.platform import memory_store, recording_engine, soak_fixture
from pimentoway.soak import fleet, path_proxy, proxy
from pimentoway.standin import port

#: The failure domains; nodes and engines are spread over them.
ZONES = ('a', 'b', 'c')

ENGINES_PER_ZONE = 2

#: The ports reserved for a node: for callers, readiness, other nodes and
#: internal use.
PORTS_PER_NODE = 10

#: Seconds after a restoration of the store in which the operator and the
#: engines write their records again, and until records of others lapse.
REWRITE_SECONDS = 0.5
LAPSE_SECONDS = 2.5

#: Seconds between two readiness checks of all nodes.
READY_POLL_SECONDS = 0.25

#: Seconds within which all nodes must be ready after the last fault.
RECOVERY_SECONDS = 6.0


@dataclasses.dataclass(eq=False)
class ProxiedEngine:
    """An engine that each node reaches through a proxy of its own.

    Attributes:
        engine: The engine.
        record: Its record in the store.
        paths: The proxies between the nodes, in their order, and the engine.
        registered: Whether it keeps its record in the store.
    """

    engine: recording_engine.RecordingEngine
    record: deployment.Engine
    paths: list[path_proxy.PathProxy] = dataclasses.field(default_factory=list)
    registered: bool = True

    @property
    def was_disturbed(self) -> bool:
        """Tell whether a fault of its connections was ever injected.

        Returns:
            Whether one was, for any node.
        """
        return any(path.was_disturbed for path in self.paths)


@dataclasses.dataclass(eq=False)
class ProxiedNode:
    """A node whose connections pass proxies, but for those of callers.

    Attributes:
        node: The node.
        store_proxy: The proxy between the node and the store.
        node_proxy: The proxy between other nodes and the node.
        paths: The proxies between the node and the engines.
    """

    node: fleet.Node
    store_proxy: proxy.Proxy
    node_proxy: proxy.Proxy
    paths: list[path_proxy.PathProxy]


@dataclasses.dataclass(frozen=True)
class Partition:
    """A time in which nodes were cut from all engines.

    Attributes:
        nodes: The names of the nodes.
        start: When it began, in seconds of the monotonic clock.
        end: When it ended.
    """

    nodes: frozenset[str]
    start: float
    end: float


class Testbed:
    """The system that a soak runs.

    Attributes:
        store: The store.
        engines: The engines and their proxies.
        nodes: The nodes and their proxies.
        partitions: The times in which nodes were cut from all engines.
        added_routes: The number of routes added to the first configuration.
        version: The version of the current configuration.
    """

    def __init__(self, folder: pathlib.Path, nodes: int) -> None:
        """Start the store and the engines; `start` starts the nodes.

        Args:
            folder: Where settings and logs of nodes are kept.
            nodes: The number of nodes.
        """
        self.store = memory_store.MemoryStore()
        self.version = 1
        self.added_routes = 0
        soak_fixture.put_configuration(
            self.store, self.version, self.added_routes
        )
        self.engines = [
            self._add_engine(f'e{zone}{number}', zone)
            for zone in ZONES
            for number in range(ENGINES_PER_ZONE)
        ]
        self.partitions: list[Partition] = []
        self.nodes: list[ProxiedNode] = []
        for number in range(nodes):
            self.nodes.append(self._add_node(number, folder))

    def start(self) -> None:
        """Start all nodes."""
        for proxied in self.nodes:
            proxied.node.start()

    def list_nodes(self) -> list[fleet.Node]:
        """List the nodes without their proxies.

        Returns:
            The nodes.
        """
        return [proxied.node for proxied in self.nodes]

    def select_node(self, number: int) -> ProxiedNode:
        """Select a node by a number of any size.

        Args:
            number: Its index, modulo their number.

        Returns:
            The node.
        """
        return self.nodes[number % len(self.nodes)]

    def select_engine(self, number: int) -> ProxiedEngine:
        """Select an engine by a number of any size.

        Args:
            number: Its index, modulo their number.

        Returns:
            The engine.
        """
        return self.engines[number % len(self.engines)]

    def change_configuration(self) -> None:
        """Store a new version of the configuration with one more route."""
        self.version += 1
        self.added_routes += 1
        soak_fixture.put_configuration(
            self.store, self.version, self.added_routes
        )

    def restore_store(self, seconds: float) -> None:
        """Let the store go back to an earlier state.

        The operator and the engines then write their records again; those of
        engines that are gone lapse.

        Args:
            seconds: The age of the copy.
        """
        self.store.restore(self.store.find_revision(seconds))
        gevent.sleep(REWRITE_SECONDS)
        soak_fixture.put_configuration(
            self.store, self.version, self.added_routes
        )
        for proxied in self.engines:
            if proxied.registered:
                proxied.record = dataclasses.replace(
                    proxied.record, sequence=proxied.record.sequence + 1
                )
                soak_fixture.put_engine(self.store, proxied.record)
        gevent.sleep(LAPSE_SECONDS)
        for gone in self.engines:
            if not gone.registered:
                self.store.remove(registry.Kind.engines, gone.engine.name)

    def wait_until_ready(self, seconds: float) -> list[fleet.Node]:
        """Wait until all nodes are ready.

        Args:
            seconds: The maximum time to wait.

        Returns:
            The nodes that still aren't ready; empty if all are.
        """
        deadline = clock.read_monotonic() + seconds
        while True:
            ready = fleet.list_ready(self.list_nodes())
            missing = [node for node in self.list_nodes() if node not in ready]
            if not missing or clock.read_monotonic() > deadline:
                return missing
            gevent.sleep(READY_POLL_SECONDS)

    def find_broker(self) -> str:
        """Find the node whose broker the others use when all of them run.

        Returns:
            Its name.
        """
        peers = [
            deployment.Peer(node.settings.name, node.settings.zone, '', 1)
            for node in self.list_nodes()
        ]
        return election.order_peers(peers)[0].name

    def cut_nodes(
        self, names: frozenset[str], how: path_proxy.Cut, seconds: float
    ) -> None:
        """Cut nodes from all engines for some time.

        Args:
            names: The names of the nodes.
            how: What becomes of their connections.
            seconds: For how long.
        """
        paths = [
            path
            for proxied in self.nodes
            if proxied.node.settings.name in names
            for path in proxied.paths
        ]
        start = clock.read_monotonic()
        for path in paths:
            path.cut(how)
        gevent.sleep(seconds)
        for cut_path in paths:
            cut_path.mend(how)
        self.partitions.append(Partition(names, start, clock.read_monotonic()))

    def kill_nodes(self) -> None:
        """Kill all nodes."""
        for node in self.list_nodes():
            node.kill()

    def lose_engine(self, proxied: ProxiedEngine) -> None:
        """Crash an engine and remove its record from the store.

        Streams that end with their connection end within an event; then the
        engine is unreachable.

        Args:
            proxied: The engine.
        """
        proxied.engine.crashing = True
        proxied.registered = False
        gevent.sleep(recording_engine.EVENT_GAP_SECONDS * 2)
        for path in proxied.paths:
            path.refuses_connections = True
            path.reset()
        self.store.remove(registry.Kind.engines, proxied.engine.name)

    def drain_engine(self, proxied: ProxiedEngine) -> None:
        """Mark the record of an engine as draining.

        Args:
            proxied: The engine.
        """
        proxied.record = dataclasses.replace(
            proxied.record,
            draining=True,
            sequence=proxied.record.sequence + 1,
        )
        soak_fixture.put_engine(self.store, proxied.record)

    def restart_engine(self, proxied: ProxiedEngine) -> None:
        """Make an engine reachable again and announce it as newly started.

        Args:
            proxied: The engine.
        """
        proxied.engine.restart()
        for path in proxied.paths:
            path.restore()
        proxied.record = dataclasses.replace(
            proxied.record,
            born=proxied.record.born + 1,
            draining=False,
            sequence=0,
        )
        proxied.registered = True
        soak_fixture.put_engine(self.store, proxied.record)

    def _add_engine(self, name: str, zone: str) -> ProxiedEngine:
        engine = recording_engine.RecordingEngine(name)
        record = soak_fixture.make_engine(name, engine.address, zone)
        soak_fixture.put_engine(self.store, record)
        return ProxiedEngine(engine, record)

    def _add_node(self, number: int, folder: pathlib.Path) -> ProxiedNode:
        store_proxy = proxy.Proxy(self.store.address)
        settings = soak_fixture.SettingsFile(
            name=f'n{number}',
            zone=ZONES[number % len(ZONES)],
            ip='127.0.0.1',
            port=port.find_ports(PORTS_PER_NODE),
            store=store_proxy.address,
            seeds=tuple(
                started.node_proxy.address
                for started in self.nodes[: len(ZONES)]
            ),
            grace=fleet.GRACE_SECONDS,
        )
        node_proxy = proxy.Proxy(settings.peers_address)
        self.store.substitute_address(
            settings.peers_address, node_proxy.address
        )
        node = fleet.Node(settings, folder)
        paths = []
        for proxied in self.engines:
            path = path_proxy.PathProxy(proxied.engine.address)
            node.proxies_by_address[proxied.engine.address] = path.address
            proxied.paths.append(path)
            paths.append(path)
        return ProxiedNode(node, store_proxy, node_proxy, paths)
