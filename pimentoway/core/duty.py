"""Duties: calls to the platform's API that one node at a time makes.

The holder of the lease makes them (``pimentoway.duties``). Each call carries
the fencing token of the holder's tenure.
"""

import abc
import dataclasses
import enum

from pimentoway.core import error


class Duty(enum.Enum):
    """The kinds of duties."""

    # Reports the usage of each customer.
    usage = 'usage'
    # Orders the number of engines of a service in a failure domain.
    scaling = 'scaling'


@dataclasses.dataclass(frozen=True)
class DutySettings:
    """What a deployment asks of the holder of the duties.

    Attributes:
        address: The address of the platform's API, as ``ip:port``.
        duties: The duties that the deployment has.
        calls_per_second: The calls that the API accepts from all nodes.
        lease_seconds: The time within which holders must not alternate.
        thaw_seconds: For how long calls that were delayed may arrive after
            their sender was suspended or cut off.
        window_seconds: The length of the windows of usage.
        tolerance: The fraction by which a reported count may be wrong.
        late_seconds: When a report is due, in seconds after its window.
    """

    address: str
    duties: frozenset[Duty]
    calls_per_second: float = 50
    lease_seconds: float = 3
    thaw_seconds: float = 0.3
    window_seconds: float = 5
    tolerance: float = 0.05
    late_seconds: float = 10


@dataclasses.dataclass(frozen=True)
class UsageReport:
    """The requests that engines began in one window.

    Attributes:
        window: The number of the window since the start of 1970.
        counts: The number of requests of each customer, sorted by its name.
    """

    window: int
    counts: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True)
class EngineOrder:
    """Orders the number of engines of a service in a failure domain.

    Attributes:
        service: The name of the service.
        zone: The failure domain.
        count: The number of engines.
    """

    service: str
    zone: str
    count: int


@dataclasses.dataclass(frozen=True)
class DutyRecord:
    """The lease of the duties, as it is kept in the platform's store.

    Attributes:
        holder: The name of the node that holds it.
        boot: Identifies the holder's run.
        renewals: Counts the writes of this tenure.
        previous: The name of the node that held it before, if it may have
            acted within the last ``lease_seconds``; '' otherwise.
        released: Whether the holder gave it up.
        usage_through: The last window that needs no more reports; 0 for none.
        usage: The reports that are fixed, but not known to be accepted.
    """

    holder: str
    boot: str
    renewals: int = 0
    previous: str = ''
    released: bool = False
    usage_through: int = 0
    usage: tuple[UsageReport, ...] = ()


@dataclasses.dataclass(frozen=True)
class StoredDuty:
    """The lease and the revision at which it was written.

    Attributes:
        revision: The revision, comparable over restorations of the store. Its
            number (``registry.split_revision``) is 0 if there is no lease.
        record: The lease; ``None`` if there is none or it can't be decoded.
        is_outdated: Whether the store was restored from a copy since the
            holder wrote the lease, so that later writes are lost.
    """

    revision: int
    record: DutyRecord | None
    is_outdated: bool = False


class ApiBusyError(error.PlatformUnavailableError):
    """The platform's API accepts no more calls for now."""


class DutyStore(abc.ABC):
    """The platform's store, as the lease uses it.

    All methods raise ``PlatformError`` if a call to the store fails.
    """

    @abc.abstractmethod
    def read_lease(self) -> StoredDuty:
        """Read the lease.

        Returns:
            The lease at its revision.
        """

    @abc.abstractmethod
    def write_lease(self, record: DutyRecord, revision: int) -> int:
        """Write the lease if it has not changed since it was read.

        Args:
            record: The lease.
            revision: The revision that was read. The lease is created if its
                number is 0.

        Returns:
            The revision of the write.

        Raises:
            PlatformConflictError: If the lease has another revision, or the
                store was restored from a copy since.
        """


class DutyApi(abc.ABC):
    """The platform's API, as the holder of the duties uses it.

    The calls raise ``PlatformError`` if no answer of success came in time:
    ``ApiBusyError``, ``PlatformUnavailableError`` or ``PlatformRefusedError``
    if nothing of the call may arrive any more.
    """

    @abc.abstractmethod
    def report_usage(self, token: int, report: UsageReport) -> None:
        """Report the usage of a window.

        Args:
            token: The fencing token of the tenure.
            report: The report.
        """

    @abc.abstractmethod
    def order_engines(self, token: int, order: EngineOrder) -> None:
        """Order the number of engines of a service in a failure domain.

        Args:
            token: The fencing token of the tenure.
            order: The order.
        """
