"""Settings, configuration and requests for soaks on the platform."""

import dataclasses
import types
import zlib

from pimentoway.core import deployment, registry
from pimentoway.platform import memory_store

#: The kinds of requests; each has its own route, with a path prefix of that
#: name.
REQUEST_KINDS = ('safe', 'unsafe', 'stream', 'resumable')

#: The host of all routes and the API key of the only customer.
HOST = 'soak.example'
KEY = 'soak-key'

#: The service to which all routes lead.
SERVICE = 'pool'

#: The timeout of a route and the deadline of a request, in milliseconds.
DEADLINE_MILLISECONDS = 2500

#: The most attempts at a request that may run more than once.
MAX_ATTEMPTS = 3

#: The latency target of a route, in milliseconds.
LATENCY_TARGET_MILLISECONDS = 500

#: The parts that the prompts of requests share; each is in a few requests a
#: second.
SHARED_PARTS = 40

#: The requests that an engine runs at once.
SLOTS = 6

#: The limits on callers that differ from the defaults.
LIMITS = types.MappingProxyType({'IdleTimeoutMs': 4000})


@dataclasses.dataclass(frozen=True)
class SettingsFile:
    """The settings of a node, and the ports that follow from the first one.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        ip: Its IP number.
        port: The first port: callers; the next ones are for readiness, other
            nodes and, from the fourth on, internal use.
        store: The address of the store, ``IP:PORT``.
        seeds: The addresses of nodes to contact at the start.
        grace: Seconds from SIGTERM until the process is killed.
    """

    name: str
    zone: str
    ip: str
    port: int
    store: str
    seeds: tuple[str, ...]
    grace: int

    @property
    def callers_address(self) -> tuple[str, int]:
        """The address for callers.

        Returns:
            The IP number and the port.
        """
        return self.ip, self.port

    @property
    def readiness_address(self) -> tuple[str, int]:
        """The address of the readiness check.

        Returns:
            The IP number and the port.
        """
        return self.ip, self.port + 1

    @property
    def peers_address(self) -> str:
        """The address for connections of other nodes.

        Returns:
            The address, ``IP:PORT``.
        """
        return f'{self.ip}:{self.port + 2}'

    def render_toml(self, note: str) -> str:
        """Render the settings file.

        Args:
            note: A comment that makes this text differ from an earlier one.

        Returns:
            The text in TOML.
        """
        seeds = ', '.join(f'"{seed}"' for seed in self.seeds)
        lines = (
            f'# {note}',
            f'NodeName = "{self.name}"',
            f'Ip = "{self.ip}"',
            f'Zone = "{self.zone}"',
            f'InternalPorts = [{self.port + 3}, {self.port + 6}]',
            f'Seeds = [{seeds}]',
            '[Zones]',
            f'{self.zone} = "r"',
            '[Listen]',
            f'Front = "{self.ip}:{self.port}"',
            f'Ready = "{self.ip}:{self.port + 1}"',
            f'Control = "{self.peers_address}"',
            '[Limits]',
            'MaxFds = 1000',
            '[Bounds]',
            f'GraceS = {self.grace}',
            '[Platform]',
            f'Address = "{self.store}"',
        )
        return '\n'.join(lines)


def write_request(kind: str, request_id: str, path: str = '') -> bytes:
    """Encode a request.

    Args:
        kind: One of ``REQUEST_KINDS``; ``safe`` ones are GETs without a body.
        request_id: The attempt id, which is also the body.
        path: The path; empty for one on the route of the kind.

    Returns:
        The head and the body.
    """
    body = b'' if kind == 'safe' else request_id.encode()
    method = 'GET' if kind == 'safe' else 'POST'
    part = zlib.crc32(request_id.encode()) % SHARED_PARTS
    head = (
        f'{method} {path or f"/{kind}/x"} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Pimentoway-Attempt-Id: {request_id}\r\nX-Api-Key: {KEY}\r\n'
        f'Pimentoway-Prefix-Hash: {part:x}:20,{request_id}:5\r\n'
        f'Pimentoway-Deadline-Ms: {DEADLINE_MILLISECONDS}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def write_open_head(request_id: str) -> bytes:
    """Encode the first lines of the head of an unsafe request.

    Args:
        request_id: The attempt id.

    Returns:
        The head up to its last line break, without the empty line.
    """
    return (
        f'POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n'
        f'Pimentoway-Attempt-Id: {request_id}\r\n'
    ).encode()


def put_configuration(
    store: memory_store.MemoryStore,
    version: int,
    added: int,
    limits: types.MappingProxyType[str, int] = LIMITS,
) -> None:
    """Write a configuration to the store.

    Args:
        store: The stand-in of the store.
        version: The version of the configuration.
        added: The number of routes besides those of ``REQUEST_KINDS``.
        limits: The limits on callers.
    """
    names = [*REQUEST_KINDS, *(f'added{number}' for number in range(added))]
    spec = {
        'Version': version,
        'Routes': [_make_route(name) for name in names],
        'Services': [
            {
                'Name': SERVICE,
                'MaxConnections': 300,
                'ColdPerS': 0,
                'Engine': {'Slots': SLOTS},
            },
        ],
        'Limits': dict(limits),
        'Tenants': [{'Name': 'studio', 'ApiKeys': [KEY]}],
    }
    store.put(registry.Kind.configuration, 'main', spec)


def make_engine(name: str, address: str, zone: str) -> deployment.Engine:
    """Make the record of an engine that has just started.

    Args:
        name: The name of the engine.
        address: Its address, ``IP:PORT``.
        zone: Its failure domain.

    Returns:
        The record.
    """
    return deployment.Engine(
        name=name,
        service=SERVICE,
        address=address,
        zone=zone,
        version='v1',
        slots=SLOTS,
        draining=False,
        cold_seconds=0,
        born=1,
    )


def put_engine(
    store: memory_store.MemoryStore,
    engine: deployment.Engine,
) -> None:
    """Write the entry of an engine to the store.

    Args:
        store: The stand-in of the store.
        engine: The engine.
    """
    spec = {
        'Service': engine.service,
        'Address': engine.address,
        'Zone': engine.zone,
        'Version': engine.version,
        'Slots': engine.slots,
        'State': 'draining' if engine.draining else 'ready',
        'ColdRemainingMs': 0,
        'Sequence': engine.sequence,
        'born': engine.born,
    }
    store.put(registry.Kind.engines, engine.name, spec)


def _make_route(name: str) -> dict[str, object]:
    kind = name if name in REQUEST_KINDS else 'safe'
    runs_once = kind in {'unsafe', 'stream'}
    is_streamed = kind in {'stream', 'resumable'}
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'RouteKind': 'streaming' if is_streamed else kind,
        'Service': SERVICE,
        'TimeoutMs': DEADLINE_MILLISECONDS,
        'GoalMs': LATENCY_TARGET_MILLISECONDS,
        'GapTargetMs': 300,
        'MaxAttempts': 1 if runs_once else MAX_ATTEMPTS,
        'Resumable': kind == 'resumable',
    }
