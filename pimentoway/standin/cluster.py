"""A simulated deployment for tests, in one process on the paused clock.

The nodes run the real code; network, platform and back ends are simulated.
Tests compare the ledgers of the back ends with the answers to callers.
"""

import dataclasses
import itertools

import gevent

from pimentoway.backends import exchange
from pimentoway.callers import app as callers_app
from pimentoway.core import clock, codec, configuration, error, index, request
from pimentoway.objects import head
from pimentoway.parser import setting
from pimentoway.standin import model, network, paused_loop, peer, shape, store
from pimentoway.tools import node as tools_node

#: The pool of all engines.
TEXT_POOL = 'text'

#: The pool of all applications.
TAG_POOL = 'tags'

#: The chat service, served by the engines.
CHAT_SERVICE = 'captions'

#: The unrepeatable service, served by the applications.
UNREPEATABLE_SERVICE = 'releases'

#: Time in which nodes find each other and load the configuration, in seconds.
SETTLE_SECONDS = 8

_FIRST_PORT = 9000


@dataclasses.dataclass
class SentRequest:
    """A request of a caller and its outcome. Times are monotonic, in seconds.

    Attributes:
        request_id: The identifier of the request.
        sent: Time of sending.
        ended: Time of the end of the answer or of the error; 0 before.
        outcome: ``answered``, the outcome that an error is classified as, or
            '' while the request runs.
        fault: The error; None if there is none.
        text: The text of the answer, set at the end.
        rank: The rank of the caller's tier.
        customer: The name of the customer.
        node: The name of the node that received the request.
        first: Time of the first piece of the answer; 0 before.
        key: The idempotency key; '' for none.
        tokens: The number of tokens received so far.
    """

    request_id: str
    sent: float
    rank: int
    customer: str
    node: str
    key: str = ''
    ended: float = 0
    outcome: str = ''
    fault: error.PimentowayError | None = None
    text: str = ''
    first: float = 0
    tokens: int = 0


class Cluster:
    """A simulated deployment.

    Attributes:
        shape: Its size and declared limits.
        network: The simulated network.
        platform: The simulated object store of the platform.
        engines_by_name: The simulated engines.
        applications_by_name: The simulated applications.
        nodes_by_name: The live nodes.
        hosts_by_name: The VMs of all nodes, also of killed ones.
        requests: All requests sent, in order.
        tables: The declarations that were applied last.
    """

    def __init__(self, cluster_shape: shape.Shape) -> None:
        """Kill tasks of earlier tests, start all nodes and let them settle.

        Args:
            cluster_shape: The size and declared limits of the deployment.
        """
        paused_loop.reset_tasks(0)
        self.shape = cluster_shape
        self.network = network.Network()
        self.platform = store.MemoryStore()
        self.engines_by_name: dict[str, model.EngineModel] = {}
        self.applications_by_name: dict[str, model.ApplicationModel] = {}
        self.nodes_by_name: dict[str, tools_node.Node] = {}
        self.hosts_by_name: dict[str, network.Host] = {}
        self.requests: list[SentRequest] = []
        self._ports = itertools.count(_FIRST_PORT)
        self._numbers = itertools.count(1)
        self.tables = self._build_tables()
        self.apply(self.tables)
        for zone in cluster_shape.zones:
            for _ in range(cluster_shape.nodes):
                self.start_node(zone)
        self.advance(SETTLE_SECONDS)

    def advance(self, seconds: float) -> None:
        """Advance the paused clock.

        Args:
            seconds: How far to advance.
        """
        paused_loop.advance(seconds)

    def apply(self, tables: configuration.Tables) -> None:
        """Write declarations to the platform as the new configuration.

        Returns once the platform has accepted them; nodes load them later.

        Args:
            tables: All declarations.
        """
        self.tables = tables
        write_task = gevent.spawn(_write_configuration, self.platform, tables)
        while not write_task.ready():
            self.advance(network.LATENCY_SECONDS)
        write_task.get()

    def start_node(self, zone: str) -> tools_node.Node:
        """Start a node on a new VM.

        Args:
            zone: Its failure domain.

        Returns:
            The node, which first has to join the others.
        """
        name = f'entry-{zone}-{next(self._numbers)}'
        host = network.Host(self.network, zone)
        gossip_address = self._allocate_address(zone)
        call_address = self._allocate_address(zone)
        settings = self._make_settings(
            name, zone, (gossip_address, call_address)
        )
        peers = tools_node.Peers(
            peer.FakeStore(host, self.platform),
            peer.FakeTransport(host),
            peer.FakeCalls(host),
        )
        link = dataclasses.replace(
            tools_node.make_link(settings),
            pool=network.FakePool(host),
        )
        node = tools_node.Node(settings, peers, link)
        self.network.gossip_by_address[gossip_address] = node.gossiper.receive
        self.network.relay_by_address[call_address] = node.relay
        self.nodes_by_name[name] = node
        self.hosts_by_name[name] = host
        node.start()
        return node

    def kill_node(self, name: str) -> None:
        """Kill a node and its VM without a shutdown of its requests.

        Args:
            name: The name of the node.
        """
        killed = self.nodes_by_name.pop(name)
        self.hosts_by_name[name].kill()
        killed.stop()
        own = killed.members.own
        self.network.gossip_by_address.pop(own.gossip_address)
        self.network.relay_by_address.pop(own.rpc_address)

    def chat(
        self,
        node: tools_node.Node,
        customer: int = 0,
        rank: int = 0,
        tokens: int = 10,
        prompt: str = 'A caption.',
    ) -> SentRequest:
        """Send a streamed chat request to a node.

        Args:
            node: The node.
            customer: The number of the customer.
            rank: The rank of the caller's tier.
            tokens: Length of the answer, in tokens.
            prompt: The prompt.

        Returns:
            The request, updated in place while the clock advances.
        """
        body = codec.encode_json(
            {
                'model': CHAT_SERVICE,
                'messages': [{'role': 'user', 'content': prompt}],
                'max_tokens': tokens,
                'stream': True,
            },
        )
        return self._send(
            node,
            self._make_request(
                CHAT_SERVICE,
                (customer, rank),
                body=body,
                prompt_tokens=max(1, len(prompt) // request.BYTES_PER_TOKEN),
                output_tokens=tokens,
                stream=True,
                prefixes=request.digest_prefixes(prompt.encode()),
            ),
        )

    def call_application(
        self,
        node: tools_node.Node,
        key: str,
        customer: int = 0,
        body: bytes = b'{"tag":1}',
    ) -> SentRequest:
        """Send an unrepeatable application call to a node.

        Args:
            node: The node.
            key: The idempotency key.
            customer: The number of the customer.
            body: The body of the call.

        Returns:
            The request, updated in place while the clock advances.
        """
        return self._send(
            node,
            self._make_request(
                UNREPEATABLE_SERVICE,
                (customer, 0),
                body=body,
                key=key,
                path='tags',
            ),
        )

    def count_executions(self, key: str) -> int:
        """Count the executions of an unrepeatable call.

        Args:
            key: Its idempotency key.

        Returns:
            The number of executions by all applications together.
        """
        return sum(
            1
            for application in self.applications_by_name.values()
            for effect in application.ledger
            if effect.key == key
        )

    def list_runs(self) -> list[model.Run]:
        """List the runs of all engines.

        Returns:
            The runs, engine by engine in order of submission.
        """
        engines = self.engines_by_name.values()
        return [run for engine in engines for run in engine.ledger]

    def list_nodes(self, zone: str = '') -> list[tools_node.Node]:
        """List the live nodes.

        Args:
            zone: The failure domain; '' for all.

        Returns:
            The nodes in order of their start.
        """
        return [
            node
            for node in self.nodes_by_name.values()
            if zone in {'', node.settings.zone}
        ]

    def _send(
        self, node: tools_node.Node, caller_request: request.Request
    ) -> SentRequest:
        sent_request = SentRequest(
            caller_request.request_id,
            clock.read_monotonic(),
            caller_request.rank,
            caller_request.caller.customer,
            node.settings.name,
            caller_request.key,
        )
        self.requests.append(sent_request)
        gevent.spawn(_record_outcome, node, caller_request, sent_request)
        return sent_request

    def _make_request(
        self, service: str, customer_and_rank: tuple[int, int], **fields: object
    ) -> request.Request:
        customer, rank = customer_and_rank
        number = next(self._numbers)
        caller = configuration.Caller(
            f'caller-{customer}-{rank}',
            f'customer-{customer}',
            f'tier-{rank}',
            index.digest_key(f'key-{customer}-{rank}'),
        )
        services = {record.name: record for record in self.tables.services}
        return request.Request(
            request_id=f'req-{number}',
            caller=caller,
            rank=rank,
            weight=1,
            service=services[service],
            deadline=clock.read_monotonic() + self.shape.deadline,
            **fields,
        )

    def _allocate_address(self, zone: str) -> str:
        address = f'127.0.0.1:{next(self._ports)}'
        self.network.zone_by_address[address] = zone
        return address

    def _make_settings(
        self, name: str, zone: str, addresses: tuple[str, str]
    ) -> setting.Settings:
        gossip_address, call_address = addresses
        ports = [address.partition(':')[2] for address in addresses]
        seeds = ', '.join(list(self.network.gossip_by_address)[:4])
        return setting.read_settings(
            name,
            f'[node]\nname = {name}\nzone = {zone}\nhost = 127.0.0.1\n'
            '[callers]\nport = 1\n'
            f'queue_tokens = {self.shape.queue_tokens}\n'
            '[operators]\nport = 2\n'
            f'[nodes]\ngossip_port = {ports[0]}\ncall_port = {ports[1]}\n'
            f'peers = {seeds}\n[platform]\naddress = 127.0.0.1:3\n',
        )

    def _build_tables(self) -> configuration.Tables:
        engines = [
            configuration.Engine(**fields)
            for zone in self.shape.zones
            for fields in self._add_engines(zone)
        ]
        applications = [
            configuration.Application(**fields)
            for zone in self.shape.zones
            for fields in self._add_applications(zone)
        ]
        return configuration.Tables(
            tiers=tuple(
                configuration.Tier(f'tier-{rank}', rank)
                for rank in range(self.shape.tiers)
            ),
            customers=tuple(
                configuration.Customer(f'customer-{position}')
                for position in range(self.shape.customers)
            ),
            zones=tuple(configuration.Zone(zone) for zone in self.shape.zones),
            services=(
                configuration.Service(
                    CHAT_SERVICE,
                    TEXT_POOL,
                    deadline=self.shape.deadline,
                ),
                configuration.Service(
                    UNREPEATABLE_SERVICE,
                    TAG_POOL,
                    repeatable=False,
                    deadline=self.shape.deadline,
                ),
            ),
            versions=(
                configuration.Version('v1', TEXT_POOL),
                configuration.Version('v1', TAG_POOL),
            ),
            engines=tuple(engines),
            applications=tuple(applications),
        )

    def _add_engines(self, zone: str) -> list[dict[str, object]]:
        declarations = []
        zone_traits = self.shape.engines
        if self.shape.engine_counts:
            position = self.shape.zones.index(zone)
            zone_traits = zone_traits[: self.shape.engine_counts[position]]
        for number, traits in enumerate(zone_traits):
            name = f'engine-{zone}-{number}'
            backend = model.EngineModel(name, dataclasses.replace(traits))
            self.engines_by_name[name] = backend
            declarations.append(
                self._add_backend(name, zone, TEXT_POOL, backend)
            )
        return declarations

    def _add_applications(self, zone: str) -> list[dict[str, object]]:
        declarations = []
        for number in range(self.shape.applications):
            name = f'application-{zone}-{number}'
            backend = model.ApplicationModel(name)
            self.applications_by_name[name] = backend
            declarations.append(
                self._add_backend(name, zone, TAG_POOL, backend)
            )
        return declarations

    def _add_backend(
        self, name: str, zone: str, pool: str, backend: object
    ) -> dict[str, object]:
        address = self._allocate_address(zone)
        self.network.backend_by_address[address] = backend
        return {
            'name': name,
            'address': address,
            'zone': zone,
            'pool': pool,
            'version': 'v1',
            'cold_slots': self.shape.cold_slots,
            'cold_seconds': self.shape.cold_seconds,
        }


def _write_configuration(
    object_store: store.MemoryStore, tables: configuration.Tables
) -> None:
    current = head.read_configuration(object_store)
    puts, removals = configuration.compare_tables(current.tables, tables)
    head.accept_change(
        object_store,
        configuration.Change(
            current.version + 1,
            f'change-{current.version + 1}',
            'test',
            puts,
            removals,
        ),
    )


def _record_outcome(
    node: tools_node.Node,
    caller_request: request.Request,
    sent_request: SentRequest,
) -> None:
    texts = []
    try:
        for piece in callers_app.InstrumentedRequest(
            node.caller_dependencies, caller_request
        ).run():
            sent_request.first = sent_request.first or clock.read_monotonic()
            sent_request.tokens += piece.tokens
            texts.append(_read_text(piece))
    except error.PimentowayError as fault:
        sent_request.fault = fault
        sent_request.outcome = callers_app.error_response.classify_outcome(
            fault
        )
    else:
        sent_request.outcome = 'answered'
    sent_request.text = ''.join(texts)
    sent_request.ended = clock.read_monotonic()


def _read_text(piece: request.Piece) -> str:
    if piece.payload == exchange.event.DONE_DATA:
        return ''
    if piece.content_type != exchange.event.STREAM_TYPE:
        return piece.payload.decode()
    chunk = codec.decode_json(piece.payload, exchange.event.Chunk)
    return ''.join(choice.delta.content or '' for choice in chunk.choices)
