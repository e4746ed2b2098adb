"""The objects of the platform's store, decoded into the product's records."""

import types
import typing

import msgspec

from pimentoway.core import deployment, registry

#: Milliseconds in a second.
MILLISECONDS = 1000

#: The name of the object that holds the configuration in force.
CONFIGURATION_NAME = 'main'

#: The words of the store for the kinds of routes.
KINDS_BY_WORD = types.MappingProxyType(
    {
        'safe': deployment.Kind.safe,
        'unsafe': deployment.Kind.unsafe,
        'streaming': deployment.Kind.stream,
    },
)

#: The unit of a quota that counts tokens.
TOKEN_UNIT = 'token_stream'

#: The words of the store for the states of back ends, and whether they leave.
DRAINING_BY_STATE = types.MappingProxyType(
    {'ready': False, 'draining': True},
)

Revision = typing.Annotated[int, msgspec.Meta(ge=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]
Text = typing.Annotated[str, msgspec.Meta(min_length=1)]


class _Pascal(msgspec.Struct, frozen=True, rename='pascal'):
    """An object whose keys are written in Pascal case."""


class Metadata(_Pascal):
    """What the store keeps of each object.

    Attributes:
        name: The name.
        revision: The revision of its last change.
        created: The revision at which it was created.
        finalizers: What holds its removal up.
        deleting: Whether it is about to be removed.
    """

    name: str
    revision: Revision = 0
    created: int = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoredObject(_Pascal):
    """An object of the store.

    Attributes:
        metadata: What the store keeps of it.
        spec: What its writer wrote.
        status: What the system reported on it.
    """

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _Split(_Pascal):
    service: str
    weight: float


class _Route(_Pascal):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    # A route names either one service or a split of several.
    service: str = ''
    split: list[_Split] = []
    timeout_ms: float = 0
    goal_ms: float = 0
    gap_target_ms: float = 0
    priority: int = 0
    # The most back ends that one request may reach, the first included.
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False


class _EngineLimits(_Pascal):
    slots: int = 0


class _Service(_Pascal):
    name: str
    max_connections: int = 0
    cold_per_s: float = 0
    engine: _EngineLimits | None = None


class _CallerLimits(_Pascal):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 10000
    idle_timeout_ms: float = 15000


class _Tenant(_Pascal):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # The unit of RatePerS and Burst: requests, or tokens of streams.
    unit: str = ''
    plain_tokens: int = 0
    rate_per_s: float = 0
    burst: float = 0


class _Configuration(_Pascal):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _CallerLimits = _CallerLimits()
    tenants: list[_Tenant] = []


class _Server(_Pascal):
    service: Text
    address: Text
    zone: Text
    version: Text
    slots: Count
    state: str
    # What was left of the cold start when the entry was written.
    cold_remaining_ms: float
    # Counts the writes of the back end, and nothing else.
    sequence: int
    born: int | None = msgspec.field(default=None, name='born')
    # Only model engines have these; another type info a foreign writer.
    stage: str = ''
    models: list[dict[str, object]] = []


class _Rollout(_Pascal):
    service: Text
    # The version that should carry the traffic, not a service.
    target: Text
    duration_s: float


class _RolloutStatus(_Pascal):
    state: str = ''
    target: str = ''


class _Peer(_Pascal):
    zone: Text
    address: Text
    cores: float


def decode(kind: registry.Kind, stored: StoredObject) -> registry.Record:
    """Decode an object of the store.

    A field that is missing or of another type raises a ``MsgspecError``.

    Args:
        kind: The kind of the object.
        stored: The object.

    Returns:
        The record that it holds.

    """
    return _DECODERS_BY_KIND[kind](stored)


def _decode_configuration(stored: StoredObject) -> deployment.Deployment:
    raw = msgspec.json.decode(stored.spec, type=_Configuration)
    return deployment.Deployment(
        version=raw.version,
        routes=tuple(_make_route(one) for one in raw.routes),
        services_by_name={one.name: _make_service(one) for one in raw.services},
        customers_by_name={
            one.name: _make_customer(one) for one in raw.tenants
        },
        limits=deployment.CallerLimits(
            header_bytes=raw.limits.max_header_bytes,
            body_bytes=raw.limits.max_body_bytes,
            header_seconds=raw.limits.header_timeout_ms / MILLISECONDS,
            idle_seconds=raw.limits.idle_timeout_ms / MILLISECONDS,
        ),
    )


def _make_route(raw: _Route) -> deployment.Route:
    if raw.split:
        shares = tuple(
            deployment.Share(one.service, one.weight)
            for one in raw.split
            if one.weight > 0
        )
    else:
        shares = (deployment.Share(raw.service, 1),)
    return deployment.Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.path_prefix,
        kind=_find_word(KINDS_BY_WORD, raw.route_kind),
        shares=shares,
        attempts=max(1, raw.max_attempts),
        timeout=raw.timeout_ms / MILLISECONDS,
        goal=raw.goal_ms / MILLISECONDS,
        gap=raw.gap_target_ms / MILLISECONDS,
        rank=raw.priority,
        public=raw.public,
        resumable=raw.resumable,
    )


def _make_service(raw: _Service) -> deployment.Service:
    return deployment.Service(
        name=raw.name,
        channels=raw.max_connections,
        cold_rate=raw.cold_per_s,
        slots=raw.engine.slots if raw.engine else 0,
    )


def _make_customer(raw: _Tenant) -> deployment.Customer:
    return deployment.Customer(
        name=raw.name,
        keys=tuple(raw.api_keys),
        rank=raw.priority,
        rate=raw.rate_per_s,
        burst=raw.burst,
        by_tokens=raw.unit == TOKEN_UNIT,
        plain_tokens=raw.plain_tokens,
    )


def _decode_engine(stored: StoredObject) -> deployment.Engine:
    raw = msgspec.json.decode(stored.spec, type=_Server)
    host, _, port = raw.address.rpartition(':')
    if not host or not port.isdigit():
        raise msgspec.ValidationError(f'no address: {raw.address!r}')
    return deployment.Engine(
        name=stored.metadata.name,
        service=raw.service,
        address=raw.address,
        zone=raw.zone,
        version=raw.version,
        slots=raw.slots,
        draining=_find_word(DRAINING_BY_STATE, raw.state),
        cold_seconds=raw.cold_remaining_ms / MILLISECONDS,
        born=raw.born or 0,
    )


def _decode_rollout(stored: StoredObject) -> deployment.Rollout:
    raw = msgspec.json.decode(stored.spec, type=_Rollout)
    status = msgspec.json.decode(stored.status, type=_RolloutStatus | None)
    # The status of an earlier order for the same service says nothing.
    current = status is not None and status.target == raw.target
    return deployment.Rollout(
        service=raw.service,
        version=raw.target,
        seconds=raw.duration_s,
        identity=f'{stored.metadata.created}/{raw.target}',
        state=status.state if current else '',
        revision=stored.metadata.revision,
    )


def _decode_evacuation(stored: StoredObject) -> str:
    return stored.metadata.name


def _decode_peer(stored: StoredObject) -> deployment.Peer:
    raw = msgspec.json.decode(stored.spec, type=_Peer)
    return deployment.Peer(
        name=stored.metadata.name,
        zone=raw.zone,
        address=raw.address,
        cores=raw.cores,
    )


def encode_peer(peer: deployment.Peer) -> dict[str, object]:
    """Encode the entry of a node.

    Args:
        peer: The entry.

    Returns:
        What is stored as its specification.
    """
    raw = _Peer(peer.zone, peer.address, peer.cores)
    return msgspec.to_builtins(raw)


def encode_rollout(rollout: deployment.Rollout, state: str) -> dict[str, str]:
    """Encode the report on a rollout.

    Args:
        rollout: The order.
        state: What became of it.

    Returns:
        What is stored as its status.
    """
    return msgspec.to_builtins(_RolloutStatus(state, rollout.version))


def _find_word(meanings_by_word: dict[str, object], word: str) -> object:
    if word not in meanings_by_word:
        raise msgspec.ValidationError(f'unknown word {word!r}')
    return meanings_by_word[word]


_DECODERS_BY_KIND = types.MappingProxyType(
    {
        registry.Kind.configuration: _decode_configuration,
        registry.Kind.engines: _decode_engine,
        registry.Kind.rollouts: _decode_rollout,
        registry.Kind.evacuations: _decode_evacuation,
        registry.Kind.peers: _decode_peer,
    },
)
