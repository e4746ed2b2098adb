"""The platform's object service, as the rest of the system sees it."""

import abc
import dataclasses

#: The kind of the object that names the configuration in force.
CONFIGURATION_KIND = 'configuration'

#: The kind of whole configurations.
SNAPSHOT_KIND = 'snapshot'

#: The kind of segments of the claim log.
CLAIM_KIND = 'claim'


@dataclasses.dataclass(frozen=True)
class Object:
    """A stored object.

    Attributes:
        kind: The kind.
        name: The name, unique within the kind.
        version: The version, which rises with each write; 0 if absent.
        body: The stored text.
        deleted: Whether the event that carries it is a removal.
    """

    kind: str
    name: str
    version: int
    body: str
    deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Events:
    """The events that a watch brought.

    Attributes:
        revision: The revision to continue from.
        changed: The objects that changed, in order.
    """

    revision: int
    changed: tuple[Object, ...]


@dataclasses.dataclass(frozen=True)
class Machine:
    """A VM of the system, from the platform's list, which lags.

    Attributes:
        name: The name of the VM.
        zone: Its failure domain.
        address: The address at which its node takes gossip.
        leaving: Whether it will be removed.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False


class Store(abc.ABC):
    """The object service.

    All methods raise ``PlatformUnavailableError`` if the call did not reach
    the service, and ``PlatformAmbiguousError`` if its answer was lost.
    """

    @abc.abstractmethod
    def read(self, kind: str, name: str) -> Object:
        """Read an object.

        Args:
            kind: The kind.
            name: The name.

        Returns:
            The object, with version 0 if there is none.
        """

    @abc.abstractmethod
    def write(self, kind: str, name: str, body: str, version: int) -> Object:
        """Write an object if its version is still the given one.

        Args:
            kind: The kind.
            name: The name.
            body: The new text.
            version: The version that is replaced; 0 to create the object.

        Returns:
            The object as written.

        Raises:
            PlatformConflictError: If the object has another version.
            PlatformRefusedError: If the service refused the call as invalid.
        """

    @abc.abstractmethod
    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object if its version is still the given one.

        Args:
            kind: The kind.
            name: The name.
            version: The version that is removed.

        Raises:
            PlatformConflictError: If the object has another version.
        """

    @abc.abstractmethod
    def list_objects(self, kind: str, prefix: str = '') -> Events:
        """List the objects of a kind.

        Args:
            kind: The kind.
            prefix: What their names start with.

        Returns:
            The objects and the revision from which to watch.
        """

    @abc.abstractmethod
    def watch(self, kind: str, revision: int, seconds: float) -> Events:
        """Wait for events after a revision.

        Args:
            kind: The kind.
            revision: The revision after which events are wanted.
            seconds: The longest wait.

        Returns:
            The events, none if nothing changed.

        Raises:
            WatchExpiredError: If the events are no longer kept.
        """

    @abc.abstractmethod
    def list_machines(self) -> tuple[Machine, ...]:
        """List the VMs of the system.

        Returns:
            The VMs, late by some seconds.
        """
