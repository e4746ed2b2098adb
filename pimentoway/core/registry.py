"""The interface to the platform's store of typed records.

Revisions grow with each change. A store that was restored from a copy gives
the same numbers out again, so a revision consists of the era, which counts the
restorations, and the store's own number: any revision of a later era is
greater.
"""

import abc
import dataclasses
import enum

from pimentoway.core import deployment

#: A record; an evacuation is the name of a failure domain.
Record = (
    deployment.Deployment
    | deployment.Engine
    | deployment.Rollout
    | deployment.Peer
    | deployment.PartBlock
    | str
)


#: The bits of a revision that hold the store's own number.
NUMBER_BITS = 44

#: The largest era and the largest number; a revision has 63 bits.
MAX_ERA = 0x7FFFF
MAX_NUMBER = 0xFFFFFFFFFFF


def join_revision(era: int, number: int) -> int:
    """Make a revision that can be compared over restorations of the store.

    Args:
        era: How often the store was restored; 0 if it doesn't tell.
        number: The store's own revision.

    Returns:
        The revision.
    """
    return (era << NUMBER_BITS) | number


def split_revision(revision: int) -> tuple[int, int]:
    """Undo ``join_revision``.

    Args:
        revision: The revision.

    Returns:
        The era and the store's own number.
    """
    return revision >> NUMBER_BITS, revision & MAX_NUMBER


class Kind(enum.Enum):
    """The kinds of stored records."""

    configuration = 'configuration'
    engines = 'engines'
    rollouts = 'rollouts'
    evacuations = 'evacuations'
    peers = 'peers'
    part_blocks = 'part_blocks'


@dataclasses.dataclass(frozen=True)
class Listing:
    """All records of a kind at one revision.

    Attributes:
        revision: The revision.
        records_by_name: The records, without those that can't be decoded.
    """

    revision: int
    records_by_name: dict[str, Record]


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one record.

    Attributes:
        name: The name of the record.
        record: The new record; ``None`` if it was removed or can't be
            decoded.
    """

    name: str
    record: Record | None


@dataclasses.dataclass(frozen=True)
class Changes:
    """The changes of a kind after a revision.

    Attributes:
        revision: The revision after the changes, from which to watch next.
        changes: The changes, in order.
    """

    revision: int
    changes: tuple[Change, ...]


class Registry(abc.ABC):
    """The platform's store of records.

    All methods raise ``PlatformError`` if a call to the platform fails.
    """

    @abc.abstractmethod
    def list_records(self, kind: Kind) -> Listing:
        """List all records of a kind.

        Args:
            kind: The kind.

        Returns:
            The records.
        """

    @abc.abstractmethod
    def watch_records(
        self, kind: Kind, revision: int, seconds: float
    ) -> Changes:
        """Wait for changes after a revision.

        Args:
            kind: The kind.
            revision: The last known revision.
            seconds: The longest wait.

        Returns:
            The changes, empty after a wait without changes.

        Raises:
            WatchExpiredError: If the platform no longer has the changes since
                the revision, or was restored from a copy meanwhile; the
                records must be listed again.
        """

    @abc.abstractmethod
    def check(self) -> None:
        """Ask the store for any answer, at the least cost."""

    @abc.abstractmethod
    def put_peer(self, peer: deployment.Peer) -> None:
        """Register a node or replace its record.

        Args:
            peer: The record of the node.
        """

    @abc.abstractmethod
    def remove_peer(self, name: str) -> None:
        """Remove the record of a node.

        Args:
            name: The name of the node.
        """

    @abc.abstractmethod
    def put_part_block(self, block: deployment.PartBlock) -> None:
        """Store a block of a part of prompts, or replace it.

        Args:
            block: The block.
        """

    @abc.abstractmethod
    def remove_part_block(self, block: deployment.PartBlock) -> None:
        """Remove a block of a part of prompts.

        Args:
            block: The block.
        """

    @abc.abstractmethod
    def report_rollout(self, rollout: deployment.Rollout, state: str) -> None:
        """Store the state of a rollout with its order.

        Args:
            rollout: The order, with the revision that was read.
            state: ``active``, ``complete`` or ``reverted``.

        Raises:
            PlatformConflictError: If the stored order or its state has
                changed since that revision, or the store was restored.
        """
