"""The messages between nodes, frozen structs whose encoding names no fields."""

import enum

import msgspec

from pimentoway.core import configuration, evidence
from pimentoway.ops import claim


class Standing(enum.IntEnum):
    """Whether a node is thought to live."""

    alive = 0
    suspect = 1
    dead = 2
    left = 3


class Member(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a node.

    Attributes:
        name: Its name.
        zone: Its failure domain.
        gossip: Where it takes gossip.
        calls: Where it takes calls.
        incarnation: A number that only the node itself raises.
        standing: Whether it is thought to live.
    """

    name: str
    zone: str
    gossip: str
    calls: str
    incarnation: int
    standing: Standing = Standing.alive


class PacketKind(enum.IntEnum):
    """What a packet asks for."""

    ping = 0
    ack = 1
    relay = 2
    spread = 3


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A UDP packet.

    Attributes:
        kind: What it asks for.
        sequence: The number that an acknowledgement repeats.
        sender: The node that sent it.
        target: The address to probe, for a relayed probe.
        members: Changes of membership that ride along.
        signs: Evidence that rides along.
    """

    kind: PacketKind
    sequence: int
    sender: Member
    target: str = ''
    members: list[Member] = []
    signs: list[evidence.Evidence] = []


class ChangeQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the changes of the configuration after a version.

    Attributes:
        after: The version.
    """

    after: int


class ChangeReply(msgspec.Struct, frozen=True, array_like=True):
    """The changes asked for.

    Attributes:
        snapshot: A whole configuration, if the changes are no longer kept.
        changes: The changes.
    """

    snapshot: configuration.Configuration | None
    changes: tuple[configuration.Change, ...]


class SyncQuery(msgspec.Struct, frozen=True, array_like=True):
    """Offers what the sender knows and asks for what the receiver knows.

    Attributes:
        members: The members.
        orders: The operators' orders.
    """

    members: tuple[Member, ...]
    orders: tuple[evidence.ZoneOrder, ...]


class SyncReply(msgspec.Struct, frozen=True, array_like=True):
    """What the receiver of a ``SyncQuery`` knows.

    Attributes:
        members: The members.
        orders: The operators' orders.
        version: The version of its configuration.
    """

    members: tuple[Member, ...]
    orders: tuple[evidence.ZoneOrder, ...]
    version: int


class AppendReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to an entry for the claim log.

    Attributes:
        entry: The entry that the log holds for the key, if it was written.
        unsure: Whether it may have been written although none is here.
    """

    entry: claim.Entry | None
    unsure: bool = False


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a call that asks for a yes or no.

    Attributes:
        granted: Whether it is a yes.
    """

    granted: bool
