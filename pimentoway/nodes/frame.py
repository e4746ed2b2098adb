"""Messages between a node and its broker, and their framing.

Each request takes three of these small messages, so they are sent as frames
(a length, then MessagePack by msgspec), which costs less than a gRPC call each.
"""

import collections
import dataclasses
import enum
import types
import zlib

import msgspec

from pimentoway.core import codec, deployment, error, registry
from pimentoway.ops import slot, view

#: Bytes of the length field at the start of a frame.
LENGTH_BYTES = 4

#: Largest size of a message in bytes, without the length field. A configuration
#: with thousands of routes takes about a megabyte.
MAX_FRAME_BYTES = 0x1000000

#: The size in bytes from which records are compressed, and the level of zlib:
#: 1400 routes have 260 kB, which all nodes ask for at once when they start.
PACKED_BYTES = 4096
PACKING_LEVEL = 1

#: The encoded answers that are kept: nodes that are up to a few changes behind
#: ask for different ones.
MAX_ENCODED = 8

#: The type of the records of each kind.
RECORD_TYPES_BY_KIND = types.MappingProxyType(
    {
        registry.Kind.configuration: deployment.Deployment,
        registry.Kind.engines: deployment.Engine,
        registry.Kind.rollouts: deployment.Rollout,
        registry.Kind.evacuations: str,
        registry.Kind.peers: deployment.Peer,
        registry.Kind.part_blocks: deployment.PartBlock,
    },
)


class Attach(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """First message of a link: the node uses the receiver's broker from now on.

    Attributes:
        node: The name of the node.
        boot: Identifies this run of the node.
        number: Counts the links that this run opened; the link with the
            highest number is the one in use.
        running: The grants that the node still uses.
        usage: The node's recent use of the quotas.
        notices: What back ends announced of themselves, as the node knows.
        rollouts: What the node sent during the rollouts in progress.
    """

    node: str
    boot: str
    number: int
    running: list[slot.ActiveGrant]
    usage: list[slot.QuotaUsage]
    notices: tuple[slot.EngineNotice, ...] = ()
    rollouts: tuple[slot.RolloutUsage, ...] = ()


class Contact(enum.IntEnum):
    """Whether a sender of heartbeats learns the changes of the store."""

    # It does not tell, as a node of an earlier release.
    unknown = 0
    # Neither the store nor another node tells it.
    lost = 1
    # The store answers it, or one on whom it relies.
    kept = 2


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Shows that the sender lives, and which registry revisions it has.

    Attributes:
        revisions: The revision of each kind, in the order of
            ``registry.Kind``; empty if they were told a moment ago.
        version: The version of the configuration in force at the sender; 0 if
            it has none. It may be newer than what the store holds at the
            sender's revision, if the store was restored from a copy.
        contact: The value of a ``Contact``. Of the node that asks the broker:
            whether the store itself answers it. Of the broker: whether the
            node may rely on it for the changes of the store.
    """

    revisions: list[int]
    version: int = 0
    contact: int = Contact.unknown


class RecordQuery(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks for the records of a kind that the sender lacks.

    Attributes:
        kind: The value of the ``registry.Kind``.
        after: The revision that the sender has.
        version: The version of the configuration that it has; 0 without one,
            and for other kinds. Negative if it sends no version, as earlier
            releases did, which can't read compressed records either.
    """

    kind: str
    after: int
    version: int = -1


class Records(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The records of a kind: a snapshot, or the changes after a revision.

    Attributes:
        kind: The value of the ``registry.Kind``.
        revision: The revision of the store up to which they are current.
        encoded: The records by name, in MessagePack.
        removed: The names of the removed records.
        is_snapshot: Whether all records are included, not only changes.
        packed: Whether ``encoded`` is compressed.
    """

    kind: str
    revision: int
    encoded: bytes
    removed: list[str]
    is_snapshot: bool
    packed: bool = False


class ConfigurationStep(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Leads from one configuration to a later one.

    Attributes:
        revision: The revision of the store at which the later one is current.
        base: The version of the earlier one.
        encoded: The later one in MessagePack, with those routes only that are
            new or differ.
        removed: The names of the routes that are gone.
        packed: Whether ``encoded`` is compressed.
    """

    revision: int
    base: int
    encoded: bytes
    removed: list[str]
    packed: bool = False


Message = (
    Attach
    | Heartbeat
    | RecordQuery
    | Records
    | ConfigurationStep
    | slot.SlotRequest
    | slot.Grant
    | slot.Refusal
    | slot.Report
)

_UNPACKING_ERRORS = (zlib.error, *codec.DECODING_ERRORS)

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message as a frame.

    Args:
        message: The message.

    Returns:
        The length and the encoded message.
    """
    encoded = _ENCODER.encode(message)
    return len(encoded).to_bytes(LENGTH_BYTES, 'big') + encoded


class RecordEncoder:
    """Encodes the records that other nodes ask for, once for all of them.

    After a change all nodes ask for the same step within a moment.
    """

    def __init__(self, node_view: view.View) -> None:
        """Start with nothing encoded.

        Args:
            node_view: The records of this node.
        """
        self._view = node_view
        self._frame_by_key: collections.OrderedDict[
            tuple[str, int, int, int], bytes
        ] = collections.OrderedDict()

    def encode(self, query: RecordQuery) -> bytes:
        """Encode the records of a kind that another node lacks.

        Args:
            query: What the other node has.

        Returns:
            The frame of a ``ConfigurationStep``, if the node has an earlier
            configuration that is kept here, or else of ``Records``: the
            changes after its revision, or a snapshot if the view no longer
            holds them all.
        """
        kind = _find_kind(query.kind)
        revision = self._view.revision_by_kind[kind]
        key = (query.kind, query.after, query.version, revision)
        encoded = self._frame_by_key.pop(key, None)
        if encoded is None:
            encoded = encode(self._make_answer(kind, query))
        self._frame_by_key[key] = encoded
        if len(self._frame_by_key) > MAX_ENCODED:
            self._frame_by_key.popitem(last=False)
        return encoded

    def _make_answer(
        self, kind: registry.Kind, query: RecordQuery
    ) -> Records | ConfigurationStep:
        changes = None
        if kind is registry.Kind.configuration:
            base = self._view.find_configuration(query.version)
            if base:
                return self._make_step(base)
        else:
            changes = self._view.list_changes(kind, query.after)
        if changes is None:
            snapshot = self._view.make_snapshot(kind)
            packed, encoded = _pack(snapshot.records_by_name, query.version)
            return Records(
                kind.value,
                snapshot.revision,
                encoded,
                [],
                is_snapshot=True,
                packed=packed,
            )
        return _encode_changes(kind, changes, query.version)

    def _make_step(self, base: deployment.Deployment) -> ConfigurationStep:
        current = self._view.deployment
        changes = current.find_changes(base)
        packed, encoded = _pack(
            dataclasses.replace(current, routes=changes.changed), base.version
        )
        return ConfigurationStep(
            self._view.revision_by_kind[registry.Kind.configuration],
            base.version,
            encoded,
            list(changes.removed),
            packed,
        )


def apply_records(message: Records, node_view: view.View, source: str) -> None:
    """Merge the records that another node sent into the view.

    Args:
        message: The records.
        node_view: The records of this node, which are updated.
        source: The name or address of the other node, for the log.
    """
    kind = _find_kind(message.kind)
    records_by_name = _unpack(
        message.encoded, message.packed, dict[str, RECORD_TYPES_BY_KIND[kind]]
    )
    if message.is_snapshot:
        snapshot = view.Snapshot(kind, message.revision, records_by_name)
        node_view.apply_snapshot(snapshot, source)
        return
    changes = [
        registry.Change(name, record)
        for name, record in records_by_name.items()
    ]
    changes.extend(registry.Change(name, None) for name in message.removed)
    node_view.merge_changes(
        kind,
        registry.Changes(message.revision, tuple(changes)),
        source,
    )


def apply_step(
    message: ConfigurationStep, node_view: view.View, source: str
) -> None:
    """Apply a step to the configuration of the view, if that is its base.

    A step from another configuration is ignored: a newer one came meanwhile,
    and the next heartbeat shows whether anything is lacking.

    Args:
        message: The step.
        node_view: The records of this node, which are updated.
        source: The name or address of the other node, for the log.
    """
    partial = _unpack(message.encoded, message.packed, deployment.Deployment)
    current = node_view.deployment
    if current is None or current.version != message.base:
        return
    changes = deployment.RouteChanges(partial.routes, tuple(message.removed))
    later = dataclasses.replace(partial, routes=changes.apply(current.routes))
    node_view.apply_changes(
        registry.Kind.configuration,
        registry.Changes(message.revision, (registry.Change('', later),)),
        source,
    )


class FrameReader:
    """Splits a stream of bytes into messages.

    Attributes:
        max_bytes: The largest message, in bytes.
    """

    def __init__(
        self,
        decoder: msgspec.msgpack.Decoder = _DECODER,
        max_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        """Start with an empty buffer.

        Args:
            decoder: Decodes a message.
            max_bytes: The largest message, in bytes.
        """
        self.max_bytes = max_bytes
        self._decoder = decoder
        self._buffer = bytearray()

    def measure(self) -> int:
        """Measure the bytes of the frame that is not complete.

        Returns:
            The bytes.
        """
        return len(self._buffer)

    def drop(self) -> None:
        """Free the memory of the frame that is not complete."""
        self._buffer.clear()

    def feed(self, block: bytes) -> list:
        """Add received bytes and decode the frames that are complete.

        Args:
            block: The bytes.

        Returns:
            The messages, in order. An incomplete frame stays in the buffer.

        Raises:
            NodeError: If a frame is too large or can't be decoded.
        """
        self._buffer += block
        messages = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            body_start = start + LENGTH_BYTES
            size = int.from_bytes(self._buffer[start:body_start], 'big')
            if size > self.max_bytes:
                raise error.NodeError('a frame is too large', 'decode')
            if len(self._buffer) < body_start + size:
                break
            start = body_start + size
            messages.append(self._decode(self._buffer[body_start:start]))
        # The rest is copied once per block that completes a message.
        if start:
            self._buffer = self._buffer[start:]
        return messages

    def _decode(self, encoded: bytearray) -> object:
        try:
            return self._decoder.decode(encoded)
        except codec.DECODING_ERRORS as fault:
            raise error.NodeError(
                f'cannot decode a message: {fault}', 'decode'
            ) from fault


def _encode_changes(
    kind: registry.Kind, changes: registry.Changes, version: int
) -> Records:
    records_by_name = {change.name: change.record for change in changes.changes}
    removed = [
        name for name, record in records_by_name.items() if record is None
    ]
    for name in removed:
        records_by_name.pop(name)
    packed, encoded = _pack(records_by_name, version)
    return Records(
        kind.value,
        changes.revision,
        encoded,
        removed,
        is_snapshot=False,
        packed=packed,
    )


def _find_kind(text: str) -> registry.Kind:
    try:
        return registry.Kind(text)
    except ValueError as fault:
        raise error.NodeError(
            f'unknown kind of records {text!r}', 'decode'
        ) from fault


def _pack(content: object, version: int) -> tuple[bool, bytes]:
    encoded = _ENCODER.encode(content)
    if version < 0 or len(encoded) < PACKED_BYTES:
        return False, encoded
    return True, zlib.compress(encoded, PACKING_LEVEL)


def _unpack(encoded: bytes, packed: bool, schema: type) -> object:
    try:
        if packed:
            unpacker = zlib.decompressobj()
            encoded = unpacker.decompress(encoded, MAX_FRAME_BYTES)
            if unpacker.unconsumed_tail or not unpacker.eof:
                raise error.NodeError(
                    'compressed records are cut or too large', 'decode'
                )
        return msgspec.msgpack.decode(encoded, type=schema)
    except _UNPACKING_ERRORS as fault:
        raise error.NodeError(
            f'cannot decode records: {fault}', 'decode'
        ) from fault
