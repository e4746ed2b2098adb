"""The registry: typed records that the platform keeps, listed and watched."""

import abc
import dataclasses
import enum

from pimentoway.core import deployment

#: A record; evacuations are the names of failure domains.
Record = (
    deployment.Deployment
    | deployment.Engine
    | deployment.Rollout
    | deployment.Peer
    | str
)


class Kind(enum.Enum):
    """The kinds of records."""

    configuration = 'configuration'
    engines = 'engines'
    rollouts = 'rollouts'
    evacuations = 'evacuations'
    peers = 'peers'


@dataclasses.dataclass(frozen=True)
class Listing:
    """All records of a kind at one revision.

    Attributes:
        revision: The revision.
        records_by_name: The records; what can't be decoded is left out.
    """

    revision: int
    records_by_name: dict[str, Record]


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one record.

    Attributes:
        name: The name of the record.
        record: The new record; nothing if it was removed or can't be decoded.
    """

    name: str
    record: Record | None


@dataclasses.dataclass(frozen=True)
class Changes:
    """The changes of a kind after a revision.

    Attributes:
        revision: The revision to continue from.
        changes: The changes, in order.
    """

    revision: int
    changes: tuple[Change, ...]


class Registry(abc.ABC):
    """The registry.

    All methods raise a ``PlatformError`` if a call does not succeed.
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
            revision: The revision.
            seconds: The longest wait.

        Returns:
            The changes, none if nothing changed.

        Raises:
            WatchExpiredError: If the changes are no longer kept.
        """

    @abc.abstractmethod
    def put_peer(self, peer: deployment.Peer) -> None:
        """Register a node, or replace its entry.

        Args:
            peer: The entry.
        """

    @abc.abstractmethod
    def remove_peer(self, name: str) -> None:
        """Remove the entry of a node.

        Args:
            name: The name of the node.
        """

    @abc.abstractmethod
    def report_rollout(self, rollout: deployment.Rollout, state: str) -> None:
        """Report what became of a rollout, unless the order has changed.

        Args:
            rollout: The order.
            state: ``active``, ``complete`` or ``reverted``.

        Raises:
            PlatformConflictError: If the order or its report has changed.
        """
