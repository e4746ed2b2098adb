"""Messages of gossip and RPC between nodes.

They are array-like structs: the encoding holds the values of the fields in
order, without their names.
"""

import enum

import msgspec

from pimentoway.core import configuration, evidence
from pimentoway.ops import claim


class MemberState(enum.IntEnum):
    """The state of a member, as in SWIM.

    At equal incarnations the higher state takes precedence.
    """

    alive = 0
    suspect = 1
    dead = 2
    left = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A node and its state in the membership.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        gossip_address: Its address for gossip packets.
        rpc_address: Its address for RPC.
        incarnation: A number that only the node itself raises, to refute an
            outdated state.
        state: Whether it counts as alive.
    """

    name: str
    zone: str
    gossip_address: str
    rpc_address: str
    incarnation: int
    state: MemberState = MemberState.alive


class PacketKind(enum.IntEnum):
    """The purpose of a packet, as in SWIM.

    A ``ping_request`` asks the receiver to ping another member. A ``push``
    carries updates only and expects no reply.
    """

    ping = 0
    ack = 1
    ping_request = 2
    push = 3


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A gossip packet, sent over UDP.

    Attributes:
        kind: The purpose of the packet.
        sequence: The number of the probe, which its ack repeats; 0 if no ack
            is expected.
        sender: The node that sent it.
        target: For a ping request, the address to ping; for a ping, the
            address to send the ack to, or empty for the sender's own.
        members: Piggybacked membership updates.
        evidence_items: Piggybacked evidence.
    """

    kind: PacketKind
    sequence: int
    sender: Member
    target: str = ''
    members: list[Member] = []
    evidence_items: list[evidence.Evidence] = []


class ChangeQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the changes of the configuration after a version.

    Attributes:
        after: The version that the sender has.
    """

    after: int


class ChangeReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a ``ChangeQuery``.

    Attributes:
        snapshot: The whole configuration if the changes are no longer kept,
            otherwise None.
        changes: The changes in order; empty with a snapshot or if there are
            none.
    """

    snapshot: configuration.Configuration | None
    changes: tuple[configuration.Change, ...]


class SyncQuery(msgspec.Struct, frozen=True, array_like=True):
    """Sends the members and orders of a node, and asks for the receiver's.

    Attributes:
        members: All members that the sender knows, dead ones included.
        orders: The operators' orders to failure domains.
    """

    members: tuple[Member, ...]
    orders: tuple[evidence.ZoneOrder, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a ``SyncQuery``.

    Attributes:
        members: All members that the replying node knows, dead ones included.
        orders: The operators' orders to failure domains.
        version: The version of its configuration.
    """

    members: tuple[Member, ...]
    orders: tuple[evidence.ZoneOrder, ...]
    version: int


class AppendReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a request to append an entry to the claim log.

    Attributes:
        entry: The entry that the log holds for the key; None if the write
            failed.
        ambiguous: Whether the failed write may still have taken effect.
    """

    entry: claim.Entry | None
    ambiguous: bool = False


class SlotReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to a request to borrow or return a slot.

    Attributes:
        granted: Whether the slot is lent; always true for a returned slot.
    """

    granted: bool
