"""The system under a soak test: store, engines, nodes and their proxies."""

import dataclasses
import pathlib

import gevent

from pimentoway.core import clock, deployment, registry
from pimentoway.platform import memory_store, recording_engine, soak_fixture
from pimentoway.soak import fleet, proxy
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
    """An engine that nodes reach through a proxy.

    Attributes:
        engine: The engine.
        proxy: The proxy between nodes and the engine.
        record: Its record in the store, with the address of the proxy.
        registered: Whether it keeps its record in the store.
    """

    engine: recording_engine.RecordingEngine
    proxy: proxy.Proxy
    record: deployment.Engine
    registered: bool = True


@dataclasses.dataclass(eq=False)
class ProxiedNode:
    """A node whose connections to the store and from nodes pass proxies.

    Attributes:
        node: The node.
        store_proxy: The proxy between the node and the store.
        node_proxy: The proxy between other nodes and the node.
    """

    node: fleet.Node
    store_proxy: proxy.Proxy
    node_proxy: proxy.Proxy


class Testbed:
    """The system that a soak runs.

    Attributes:
        store: The store.
        engines: The engines and their proxies.
        nodes: The nodes and their proxies.
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
        proxied.proxy.refuses_connections = True
        proxied.proxy.reset()
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
        proxied.proxy.restore()
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
        engine_proxy = proxy.Proxy(engine.address)
        record = deployment.Engine(
            name=name,
            service=soak_fixture.SERVICE,
            address=engine_proxy.address,
            zone=zone,
            version='v1',
            slots=soak_fixture.SLOTS,
            draining=False,
            cold_seconds=0,
            born=1,
        )
        soak_fixture.put_engine(self.store, record)
        return ProxiedEngine(engine, engine_proxy, record)

    def _add_node(self, number: int, folder: pathlib.Path) -> ProxiedNode:
        store_proxy = proxy.Proxy(self.store.address)
        settings = soak_fixture.SettingsFile(
            name=f'n{number}',
            zone=ZONES[number % len(ZONES)],
            ip='127.0.0.1',
            port=port.find_ports(PORTS_PER_NODE),
            store=store_proxy.address,
            seeds=tuple(
                proxied.node_proxy.address
                for proxied in self.nodes[: len(ZONES)]
            ),
            grace=fleet.GRACE_SECONDS,
        )
        node_proxy = proxy.Proxy(settings.peers_address)
        self.store.substitute_address(
            settings.peers_address, node_proxy.address
        )
        return ProxiedNode(
            fleet.Node(settings, folder), store_proxy, node_proxy
        )
