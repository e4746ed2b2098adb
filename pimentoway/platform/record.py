"""Decodes and encodes objects of the platform's store as product records."""

import re
import types
import typing

import msgspec

from pimentoway.core import deployment, registry
from pimentoway.platform import validation

#: Milliseconds in a second.
MILLISECONDS = 1000

_HEXADECIMAL = 16

#: The name of the stored object that holds the configuration in force.
CONFIGURATION_NAME = 'main'

#: The route kinds by their value of `RouteKind` in the store.
ROUTE_KINDS_BY_VALUE = types.MappingProxyType(
    {
        'safe': deployment.RouteKind.safe,
        'unsafe': deployment.RouteKind.unsafe,
        'streaming': deployment.RouteKind.stream,
    },
)

#: The `Unit` of a customer whose quota counts tokens instead of requests.
TOKEN_UNIT = 'token_stream'

#: Whether a back end is draining, by its value of `State` in the store.
DRAINING_BY_STATE = types.MappingProxyType(
    {'ready': False, 'draining': True},
)

#: The largest integer that nodes can send to each other.
MAX_INTEGER = 0x7FFFFFFFFFFFFFFF

#: The largest size of other numbers. Timeouts of sockets and the sums of
#: weights are exact up to it.
MAX_NUMBER = 1e12

#: The most slots of a back end, the most cores of a node, and the longest cold
#: start and block. An entry beyond them is not from a back end or a node.
MAX_SLOTS = 100_000
MAX_CORES = 100_000
MAX_COLD_MILLISECONDS = 86_400_000
MAX_BLOCK_SECONDS = 86_400

#: The most engines of a service in a failure domain that limits may allow.
MAX_ENGINES = 100_000

_DIGEST = re.compile('[0-9a-f]{1,16}')

#: The most characters of a name or address in the record of a back end, a node,
#: a block or a rollout: nodes keep, log and send them.
MAX_TEXT = 1024

Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Number = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Revision = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Slots = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Cores = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_CORES)]
ColdMilliseconds = typing.Annotated[
    float, msgspec.Meta(ge=-MAX_COLD_MILLISECONDS, le=MAX_COLD_MILLISECONDS)
]
BlockSeconds = typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_BLOCK_SECONDS)]
NonEmptyText = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_TEXT)
]


class _Pascal(msgspec.Struct, frozen=True, rename='pascal'):
    """Base of stored objects, whose JSON keys are in Pascal case."""


class Metadata(_Pascal):
    """The metadata that the store keeps for each object.

    Attributes:
        name: The name, unique among the objects of a kind.
        revision: The store revision of its last change.
        created: The store revision at which it was created; 0 if not given.
        finalizers: The tags that keep the store from removing it.
        deleting: Whether its removal was requested.
    """

    name: str
    revision: Revision = 0
    created: Integer = 0
    finalizers: list[str] = []
    deleting: bool = False


class StoredObject(_Pascal):
    """One object as the store sends it.

    Attributes:
        metadata: Its name and revisions.
        spec: Its contents as JSON, not yet decoded.
        status: What the system reported about it, as JSON; ``null`` if nothing.
    """

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _WeightedService(_Pascal):
    service: str
    weight: Number


class _Route(_Pascal):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    # A route names either one service or several in `split`, by weight.
    service: str = ''
    split: list[_WeightedService] = []
    timeout_ms: Number = 0
    goal_ms: Number = 0
    gap_target_ms: Number = 0
    priority: Integer = 0
    # The most back ends to which one request may be sent, retries included.
    max_attempts: Integer = 1
    public: bool = False
    resumable: bool = False


class _EngineLimits(_Pascal):
    slots: Integer = 0


class _Scaling(_Pascal):
    min: Integer = 0
    max: Integer = 0
    boot_s: Number = 0

    def make_limits(self) -> deployment.Scaling | None:
        """Make the limits for the engines of a service.

        Returns:
            The limits; None if no number of engines meets them. Only the orders
            are disabled then, as the rest of the configuration is needed.
        """
        is_ordered = 0 <= self.min <= self.max
        if not is_ordered or self.max > MAX_ENGINES or self.boot_s < 0:
            return None
        return deployment.Scaling(self.min, self.max, self.boot_s)


class _Service(_Pascal):
    name: str
    max_connections: Integer = 0
    cold_per_s: Number = 0
    engine: _EngineLimits | None = None
    scaling: _Scaling | None = None


class _CallerLimits(_Pascal):
    max_header_bytes: Integer = 16384
    max_body_bytes: Integer = 4194304
    header_timeout_ms: Number = 10000
    idle_timeout_ms: Number = 15000


class _Tenant(_Pascal):
    name: str
    api_keys: list[str] = []
    priority: Integer | None = None
    # What RatePerS and Burst count: requests, or tokens (TOKEN_UNIT).
    unit: str = ''
    plain_tokens: Integer = 0
    rate_per_s: Number = 0
    burst: Number = 0


class _Configuration(_Pascal):
    version: Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _CallerLimits = _CallerLimits()
    tenants: list[_Tenant] = []


class _Server(_Pascal):
    service: NonEmptyText
    address: NonEmptyText
    zone: NonEmptyText
    version: NonEmptyText
    slots: Slots
    state: str
    # The remaining cold start when the entry was written, not when read.
    cold_remaining_ms: ColdMilliseconds
    # The number of writes of this back end to its entry.
    sequence: Integer
    born: Integer | None = msgspec.field(default=None, name='born')
    # Only model engines have these. They are unused, but decoded so that a
    # value of another type marks the entry as written by a foreign writer.
    stage: str = ''
    models: list[dict[str, object]] = []


class _Rollout(_Pascal):
    service: NonEmptyText
    # The version that should get the traffic; not the name of a service.
    target: NonEmptyText
    duration_s: Number


class _RolloutStatus(_Pascal):
    state: str = ''
    target: str = ''


class _Peer(_Pascal):
    zone: NonEmptyText
    address: NonEmptyText
    cores: Cores
    # Nodes of earlier releases do not relay.
    relay_address: str = ''


class _PartBlock(_Pascal):
    service: NonEmptyText
    # JSON has no integers of 64 bits, so the digest is in hexadecimal.
    part: NonEmptyText
    seconds: BlockSeconds


def decode(
    kind: registry.Kind, stored: StoredObject, era: int = 0
) -> registry.Record:
    """Decode an object of the store as a record of the product.

    Raises a ``MsgspecError`` if a field is missing, has another type or holds
    an unknown value.

    Args:
        kind: The kind of the object, which selects its schema.
        stored: The object with its undecoded contents.
        era: The era of the store in which it was read.

    Returns:
        The record; for an evacuation, the name of the failure domain.

    """
    metadata = msgspec.structs.replace(
        stored.metadata,
        revision=registry.join_revision(era, stored.metadata.revision),
        created=registry.join_revision(era, stored.metadata.created),
    )
    return _DECODERS_BY_KIND[kind](
        msgspec.structs.replace(stored, metadata=metadata)
    )


def _decode_configuration(stored: StoredObject) -> deployment.Deployment:
    raw = msgspec.json.decode(stored.spec, type=_Configuration)
    return deployment.Deployment(
        version=raw.version,
        routes=tuple(_make_route(route) for route in raw.routes),
        services_by_name={
            service.name: _make_service(service) for service in raw.services
        },
        customers_by_name={
            tenant.name: _make_customer(tenant) for tenant in raw.tenants
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
            deployment.Share(target.service, target.weight)
            for target in raw.split
            if target.weight > 0
        )
    else:
        shares = (deployment.Share(raw.service, 1),)
    return deployment.Route(
        name=raw.name,
        host=raw.host.lower(),
        prefix=raw.path_prefix,
        kind=_look_up(ROUTE_KINDS_BY_VALUE, raw.route_kind),
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
        scaling=raw.scaling.make_limits() if raw.scaling else None,
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
    validation.check_name(stored.metadata.name)
    validation.check_address(raw.address)
    return deployment.Engine(
        name=stored.metadata.name,
        service=raw.service,
        address=raw.address,
        zone=raw.zone,
        version=raw.version,
        slots=raw.slots,
        draining=_look_up(DRAINING_BY_STATE, raw.state),
        cold_seconds=raw.cold_remaining_ms / MILLISECONDS,
        born=raw.born or 0,
        sequence=raw.sequence,
    )


def _decode_rollout(stored: StoredObject) -> deployment.Rollout:
    raw = msgspec.json.decode(stored.spec, type=_Rollout)
    status = msgspec.json.decode(stored.status, type=_RolloutStatus | None)
    # The status may still belong to an earlier order for the same service.
    is_current = status is not None and status.target == raw.target
    return deployment.Rollout(
        service=raw.service,
        version=raw.target,
        seconds=raw.duration_s,
        identity=f'{stored.metadata.created}/{raw.target}',
        state=status.state if is_current else '',
        revision=stored.metadata.revision,
        created=stored.metadata.created,
    )


def _decode_evacuation(stored: StoredObject) -> str:
    return stored.metadata.name


def _decode_peer(stored: StoredObject) -> deployment.Peer:
    raw = msgspec.json.decode(stored.spec, type=_Peer)
    validation.check_address(raw.address)
    if raw.relay_address:
        validation.check_address(raw.relay_address)
    return deployment.Peer(
        name=stored.metadata.name,
        zone=raw.zone,
        address=raw.address,
        cores=raw.cores,
        relay_address=raw.relay_address,
    )


def _decode_part_block(stored: StoredObject) -> deployment.PartBlock:
    raw = msgspec.json.decode(stored.spec, type=_PartBlock)
    if not _DIGEST.fullmatch(raw.part):
        raise msgspec.ValidationError(f'Part is {raw.part!r}')
    part = int(raw.part, _HEXADECIMAL)
    return deployment.PartBlock(raw.service, part, raw.seconds)


def encode_part_block(block: deployment.PartBlock) -> dict[str, object]:
    """Encode the block of a part of prompts.

    Args:
        block: The block.

    Returns:
        The ``Spec`` of its object in the store.
    """
    raw = _PartBlock(block.service, f'{block.part:x}', block.seconds)
    return msgspec.to_builtins(raw)


def encode_peer(peer: deployment.Peer) -> dict[str, object]:
    """Encode the registry entry of a node.

    Args:
        peer: The node.

    Returns:
        The ``Spec`` of its object in the store.
    """
    raw = _Peer(peer.zone, peer.address, peer.cores, peer.relay_address)
    return msgspec.to_builtins(raw)


def encode_rollout(rollout: deployment.Rollout, state: str) -> dict[str, str]:
    """Encode the progress report of a rollout.

    Args:
        rollout: The rollout.
        state: Its state: ``active``, ``complete`` or ``reverted``.

    Returns:
        The ``Status`` of its object in the store.
    """
    return msgspec.to_builtins(_RolloutStatus(state, rollout.version))


def _look_up(meanings_by_value: dict[str, object], stored: str) -> object:
    if stored not in meanings_by_value:
        raise msgspec.ValidationError(f'unknown value {stored!r}')
    return meanings_by_value[stored]


_DECODERS_BY_KIND = types.MappingProxyType(
    {
        registry.Kind.configuration: _decode_configuration,
        registry.Kind.engines: _decode_engine,
        registry.Kind.rollouts: _decode_rollout,
        registry.Kind.evacuations: _decode_evacuation,
        registry.Kind.peers: _decode_peer,
        registry.Kind.part_blocks: _decode_part_block,
    },
)
