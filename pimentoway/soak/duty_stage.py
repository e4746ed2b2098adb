"""The system under the soak of the duties with whole nodes."""

import dataclasses
import pathlib
import types

import gevent

from pimentoway.core import deployment, duty, registry
from pimentoway.platform import (
    duty_standin,
    memory_store,
    recording_engine,
    soak_fixture,
)
from pimentoway.soak import fleet, proxy
from pimentoway.standin import port

#: The nodes, the failure domains and the engines in each at the start.
NODES = 5
ZONES = ('a', 'b', 'c')
ENGINES_PER_ZONE = 3

#: The limits for the engines of each failure domain. Engines start so quickly
#: that the planner's window (``scaling.find_window``) is 16 s.
SCALING = deployment.Scaling(1, ENGINES_PER_ZONE, 1)

#: Ports reserved for a node, as in the other soak.
PORTS_PER_NODE = 10

#: Seconds from the announcement that an engine leaves to its removal.
DRAIN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class SettingsFile(soak_fixture.SettingsFile):
    """The settings of a node that has duties.

    Attributes:
        duties: The duties.
    """

    duties: duty.DutySettings | None = None

    def render_toml(self, note: str) -> str:
        """Render the settings file.

        Args:
            note: A comment that makes this text differ from an earlier one.

        Returns:
            The text in TOML.
        """
        duties = self.duties
        bounds = (
            '[Bounds]',
            f'LeaseMs = {round(1000 * duties.lease_seconds)}',
            f'ThawMs = {round(1000 * duties.thaw_seconds)}',
            f'ReportWindowS = {duties.window_seconds}',
            f'UsageTolerance = {duties.tolerance}',
            f'UsageLateS = {duties.late_seconds}',
        )
        cloud = (
            '',
            '[Cloud]',
            f'Address = "{duties.address}"',
            'Duties = ["metering", "autoscale"]',
            f'DutyPerS = {duties.calls_per_second}',
        )
        usual = super().render_toml(note)
        return usual.replace('[Bounds]', '\n'.join(bounds)) + '\n'.join(cloud)


class ScaledStore(memory_store.MemoryStore):
    """A store whose configuration has limits for the engines."""

    def put(
        self, kind: registry.Kind, name: str, spec: memory_store.Json
    ) -> None:
        """Write an object, with the limits in the configuration.

        Args:
            kind: Its kind.
            name: Its name.
            spec: Its content.
        """
        if kind is registry.Kind.configuration:
            limits = {
                'Min': SCALING.minimum,
                'Max': SCALING.maximum,
                'BootS': SCALING.boot_seconds,
            }
            services = [
                {**service, 'Scaling': limits} for service in spec['Services']
            ]
            spec = {**spec, 'Services': services}
        super().put(kind, name, spec)


@dataclasses.dataclass(frozen=True)
class Member:
    """A node and the proxies before it.

    Attributes:
        node: The node.
        store_path: The proxy between the node and the store.
        node_path: The proxy between other nodes and the node.
    """

    node: fleet.Node
    store_path: proxy.Proxy
    node_path: proxy.Proxy

    @property
    def name(self) -> str:
        """The name of the node.

        Returns:
            The name.
        """
        return self.node.settings.name

    def restore(self) -> None:
        """End the faults of the connections."""
        self.store_path.restore()
        self.node_path.restore()


class Testbed:
    """The store, the API, the engines and the nodes.

    Attributes:
        store: The store.
        api: The API.
        settings: The settings of the duties.
        engines: All engines, also those that were ordered away.
        members: The nodes.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        """Start the store, the API, the engines and the nodes.

        Args:
            folder: Where settings and logs of nodes are kept.
        """
        self.store = ScaledStore()
        soak_fixture.put_configuration(self.store, 1, 0)
        self.api = duty_standin.DutyStandin()
        self.settings = duty.DutySettings(
            self.api.address, frozenset(duty.Duty)
        )
        self.engines: list[recording_engine.RecordingEngine] = []
        self._records_by_zone = types.MappingProxyType(
            {
                zone: [
                    self._add_engine(f'e{zone}{number}', zone)
                    for number in range(ENGINES_PER_ZONE)
                ]
                for zone in ZONES
            }
        )
        self.members: list[Member] = []
        for number in range(NODES):
            self.members.append(self._add_member(number, folder))
        for member in self.members:
            member.node.start()

    def list_nodes(self) -> list[fleet.Node]:
        """List the nodes.

        Returns:
            The nodes.
        """
        return [member.node for member in self.members]

    def execute_orders(self) -> None:
        """Start and end engines as the accepted orders say, for ever."""
        seen = 0
        while True:
            calls = self.api.calls[seen:]
            seen += len(calls)
            for call in calls:
                order = call.content
                if call.is_accepted and isinstance(order, duty.EngineOrder):
                    gevent.spawn(self._execute, order)
            gevent.sleep(0.1)

    def count_orders(self) -> int:
        """Count the orders that reached the API.

        Returns:
            The number, with repeated ones.
        """
        return len(self._list_orders())

    def list_bad_orders(self) -> list[str]:
        """List the orders that the limits do not allow.

        Returns:
            A sentence for each.
        """
        return [
            f'{order} is beyond {SCALING}'
            for order in self._list_orders()
            if order.service != soak_fixture.SERVICE
            or order.zone not in ZONES
            or not SCALING.minimum <= order.count <= SCALING.maximum
        ]

    def _list_orders(self) -> list[duty.EngineOrder]:
        return [
            call.content
            for call in self.api.calls
            if isinstance(call.content, duty.EngineOrder)
        ]

    def _execute(self, order: duty.EngineOrder) -> None:
        records = self._records_by_zone.get(order.zone, [])
        for number, record in enumerate(records):
            if number >= order.count and not record.draining:
                self._put(order.zone, number, draining=True)
                gevent.spawn_later(
                    DRAIN_SECONDS, self._remove, order.zone, number
                )
            elif number < order.count and record.draining:
                gevent.sleep(SCALING.boot_seconds)
                self._put(order.zone, number, draining=False)

    def _put(self, zone: str, number: int, *, draining: bool) -> None:
        record = self._records_by_zone[zone][number]
        record = dataclasses.replace(
            record,
            draining=draining,
            born=record.born if draining else record.born + 1,
            sequence=record.sequence + 1 if draining else 0,
        )
        self._records_by_zone[zone][number] = record
        soak_fixture.put_engine(self.store, record)

    def _remove(self, zone: str, number: int) -> None:
        record = self._records_by_zone[zone][number]
        if record.draining:
            self.store.remove(registry.Kind.engines, record.name)

    def _add_engine(self, name: str, zone: str) -> deployment.Engine:
        engine = recording_engine.RecordingEngine(name)
        self.engines.append(engine)
        record = soak_fixture.make_engine(name, engine.address, zone)
        soak_fixture.put_engine(self.store, record)
        return record

    def _add_member(self, number: int, folder: pathlib.Path) -> Member:
        store_path = proxy.Proxy(self.store.address)
        settings = SettingsFile(
            name=f'n{number}',
            zone=ZONES[number % len(ZONES)],
            ip='127.0.0.1',
            port=port.find_ports(PORTS_PER_NODE),
            store=store_path.address,
            seeds=tuple(
                started.node_path.address
                for started in self.members[: len(ZONES)]
            ),
            grace=fleet.GRACE_SECONDS,
            duties=self.settings,
        )
        node_path = proxy.Proxy(settings.peers_address)
        self.store.substitute_address(settings.peers_address, node_path.address)
        return Member(fleet.Node(settings, folder), store_path, node_path)
