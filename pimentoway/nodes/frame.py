"""Messages between a node and its broker, and their framing.

Each request takes three of these small messages, so they are sent as frames
(a length, then MessagePack by msgspec), which costs less than a gRPC call each.
"""

import types

import msgspec

from pimentoway.core import deployment, error, registry
from pimentoway.ops import slot, view

#: Bytes of the length field at the start of a frame.
LENGTH_BYTES = 4

#: Largest size of a message in bytes, without the length field. A configuration
#: with thousands of routes takes about a megabyte.
MAX_FRAME_BYTES = 0x1000000

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
    """

    node: str
    boot: str
    number: int
    running: list[slot.ActiveGrant]
    usage: list[slot.QuotaUsage]


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Shows that the sender lives, and which registry revisions it has.

    Attributes:
        revisions: The revision of each kind, in the order of
            ``registry.Kind``.
    """

    revisions: list[int]


class RecordQuery(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks for the records of a kind that the sender lacks.

    Attributes:
        kind: The value of the ``registry.Kind``.
        after: The revision that the sender has.
    """

    kind: str
    after: int


class Records(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The records of a kind: a snapshot, or the changes after a revision.

    Attributes:
        kind: The value of the ``registry.Kind``.
        revision: The revision of the store up to which they are current.
        encoded: The records by name, in MessagePack.
        removed: The names of the removed records.
        is_snapshot: Whether all records are included, not only changes.
    """

    kind: str
    revision: int
    encoded: bytes
    removed: list[str]
    is_snapshot: bool


Message = (
    Attach
    | Heartbeat
    | RecordQuery
    | Records
    | slot.SlotRequest
    | slot.Grant
    | slot.Refusal
    | slot.Report
)

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Encode a message as a frame.

    Args:
        message: The message.

    Returns:
        The length and the encoded message.
    """
    encoded = _ENCODER.encode(message)
    return len(encoded).to_bytes(LENGTH_BYTES, 'big') + encoded


def encode_records(
    node_view: view.View, kind: registry.Kind, after: int
) -> Records:
    """Encode the records of a kind that another node lacks.

    Args:
        node_view: The records of this node.
        kind: The kind.
        after: The revision that the other node has.

    Returns:
        The changes after this revision, or a snapshot if the view no longer
        holds them all.
    """
    changes = node_view.list_changes(kind, after)
    if changes is None:
        snapshot = node_view.make_snapshot(kind)
        encoded = _ENCODER.encode(snapshot.records_by_name)
        return Records(
            kind.value, snapshot.revision, encoded, [], is_snapshot=True
        )
    records_by_name = {change.name: change.record for change in changes.changes}
    removed = [
        name for name, record in records_by_name.items() if record is None
    ]
    for name in removed:
        records_by_name.pop(name)
    encoded = _ENCODER.encode(records_by_name)
    return Records(
        kind.value, changes.revision, encoded, removed, is_snapshot=False
    )


def apply_records(message: Records, node_view: view.View, source: str) -> None:
    """Merge the records that another node sent into the view.

    Args:
        message: The records.
        node_view: The records of this node, which are updated.
        source: The name or address of the other node, for the log.

    Raises:
        NodeError: If the kind is unknown or the records can't be decoded.
    """
    try:
        kind = registry.Kind(message.kind)
        records_by_name = msgspec.msgpack.decode(
            message.encoded,
            type=dict[str, RECORD_TYPES_BY_KIND[kind]],
        )
    except (msgspec.MsgspecError, ValueError) as fault:
        raise error.NodeError(
            f'cannot decode records: {fault}', 'decode'
        ) from fault
    if message.is_snapshot:
        snapshot = view.Snapshot(kind, message.revision, records_by_name)
        node_view.apply_snapshot(snapshot, source)
        return
    changes = [
        registry.Change(name, record)
        for name, record in records_by_name.items()
    ]
    changes.extend(registry.Change(name, None) for name in message.removed)
    node_view.apply_changes(
        kind,
        registry.Changes(message.revision, tuple(changes)),
        source,
    )


class FrameReader:
    """Splits a stream of bytes into messages."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, block: bytes) -> list[Message]:
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
            if size > MAX_FRAME_BYTES:
                raise error.NodeError('a frame is too large', 'decode')
            if len(self._buffer) < body_start + size:
                break
            start = body_start + size
            messages.append(_decode(bytes(self._buffer[body_start:start])))
        # The rest is copied once per block, not once per message.
        self._buffer = self._buffer[start:]
        return messages


def _decode(encoded: bytes) -> Message:
    try:
        return _DECODER.decode(encoded)
    except msgspec.MsgspecError as fault:
        raise error.NodeError(
            f'cannot decode a message: {fault}', 'decode'
        ) from fault
