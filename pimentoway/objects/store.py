"""The interface of the platform's object service.

Objects have a kind, a name and a version; writes are conditional on the
version.
"""

import abc
import dataclasses

#: Kind of the head object, which determines the configuration in force.
CONFIGURATION_KIND = 'configuration'

#: Kind of snapshots, each a whole configuration.
SNAPSHOT_KIND = 'snapshot'

#: Kind of the segments of the claim log.
CLAIM_KIND = 'claim'


@dataclasses.dataclass(frozen=True)
class Object:
    """A stored object.

    Attributes:
        kind: The kind of the object.
        name: Its name, unique within the kind.
        version: The version, which rises with each write; 0 if the object
            does not exist.
        body: The stored text.
        deleted: Whether the object is part of an event that reports its
            removal.
    """

    kind: str
    name: str
    version: int
    body: str
    deleted: bool = False


@dataclasses.dataclass(frozen=True)
class Events:
    """The result of a watch or a list.

    Attributes:
        revision: The revision after which to watch next.
        changed: The objects that changed, in order; for a list all objects.
    """

    revision: int
    changed: tuple[Object, ...]


@dataclasses.dataclass(frozen=True)
class Machine:
    """A VM of the system as the platform lists it, some seconds late.

    Attributes:
        name: The name of the VM.
        zone: Its failure domain.
        address: The address at which its node receives gossip.
        leaving: Whether the platform is going to remove it.
    """

    name: str
    zone: str
    address: str
    leaving: bool = False


class Store(abc.ABC):
    """The object service.

    All methods raise `PlatformUnavailableError` if the call did not reach the
    service, and `PlatformAmbiguousError` if its response was lost, so that a
    write may or may not have taken effect.
    """

    @abc.abstractmethod
    def read(self, kind: str, name: str) -> Object:
        """Read an object.

        Args:
            kind: The kind of the object.
            name: Its name, unique within the kind.

        Returns:
            The object; one of version 0 if it does not exist.
        """

    @abc.abstractmethod
    def write(self, kind: str, name: str, body: str, version: int) -> Object:
        """Write an object if it still has the given version.

        Args:
            kind: The kind of the object.
            name: Its name, unique within the kind.
            body: The new text.
            version: The current version of the object; 0 to create it.

        Returns:
            The object as written.

        Raises:
            PlatformConflictError: If the object has another version.
            PlatformRefusedError: If the service refuses the call as invalid.
        """

    @abc.abstractmethod
    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object if it still has the given version.

        Args:
            kind: The kind of the object.
            name: Its name, unique within the kind.
            version: The current version of the object.

        Raises:
            PlatformConflictError: If the object has another version.
        """

    @abc.abstractmethod
    def list_objects(self, kind: str, prefix: str = '') -> Events:
        """List the objects of a kind.

        Args:
            kind: The kind of the objects.
            prefix: Only names that start with it; '' for all.

        Returns:
            The objects and the revision after which to watch them.
        """

    @abc.abstractmethod
    def watch(self, kind: str, revision: int, seconds: float) -> Events:
        """Wait for changes to the objects of a kind.

        Args:
            kind: The kind of the objects.
            revision: The last revision already seen.
            seconds: Seconds after which a watch without events ends.

        Returns:
            The events; without objects if nothing changed.

        Raises:
            WatchExpiredError: If the service no longer keeps all events after
                the revision.
        """

    @abc.abstractmethod
    def list_machines(self) -> tuple[Machine, ...]:
        """List the VMs of the system.

        Returns:
            The VMs as of some seconds ago.
        """
