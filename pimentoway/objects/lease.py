"""The lease of the controller, with fencing numbers.

The holder renews the lease by conditional updates of its object. A node that
sees no renewal for the term takes the lease with a higher fencing number and
writes that number into the head of the configuration. From then on changes of
earlier holders are refused, even if one resumes after a long pause.
"""

import dataclasses

from pimentoway.core import clock, codec, error
from pimentoway.objects import head, store

#: Kind of lease objects.
LEASE_KIND = 'lease'

#: Seconds without a renewal after which another node may take the lease.
TERM_SECONDS = 10

#: Seconds between renewals.
RENEWAL_SECONDS = 3


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease as it is stored.

    Attributes:
        holder: The name of the node that holds it.
        fence: The fencing number, which rises with each new holder.
        renewals: The number of renewals by this holder.
    """

    holder: str
    fence: int
    renewals: int = 0


class LeaseHolder:
    """A node that holds a lease or waits for its expiry."""

    def __init__(
        self, name: str, holder: str, object_store: store.Store
    ) -> None:
        """Start without the lease.

        Args:
            name: The name of the lease.
            holder: The name of this node.
            object_store: The object service.
        """
        self._name = name
        self._holder = holder
        self._store = object_store
        self._last_version = -1
        self._last_change_time = float('-inf')
        self._expiry = float('-inf')
        self._fence = 0

    def renew_or_acquire(self) -> int:
        """Renew the lease, or take it if it is free or has expired.

        Expiry is measured on this node's clock, from the read that first
        showed the current version of the lease.

        Returns:
            The fencing number; 0 if another node holds the lease, or took it
            at the same time.
        """
        started_at = clock.read_monotonic()
        stored_object = self._store.read(LEASE_KIND, self._name)
        if stored_object.version != self._last_version:
            self._last_version = stored_object.version
            self._last_change_time = started_at
        current = Lease('', 0)
        if stored_object.version:
            current = codec.decode_json(stored_object.body, Lease, 'platform')
        if current.holder == self._holder and current.fence == self._fence:
            renewed = dataclasses.replace(
                current,
                renewals=current.renewals + 1,
            )
            return self._write(renewed, stored_object.version, started_at)
        if (
            stored_object.version
            and started_at - self._last_change_time < TERM_SECONDS
        ):
            return 0
        return self._acquire(current, stored_object.version, started_at)

    def is_held(self) -> bool:
        """Check that the lease has not expired since its last renewal.

        Returns:
            Whether no other node can have taken it.
        """
        return clock.read_monotonic() < self._expiry

    def _acquire(self, current: Lease, version: int, started_at: float) -> int:
        acquired = Lease(self._holder, current.fence + 1)
        fence = self._write(acquired, version, started_at)
        if fence:
            head.raise_fence(self._store, fence)
        return fence

    def _write(self, lease: Lease, version: int, started_at: float) -> int:
        body = codec.encode_json(lease).decode()
        try:
            written = self._store.write(LEASE_KIND, self._name, body, version)
        except error.PlatformConflictError:
            return 0
        self._last_version = written.version
        self._last_change_time = started_at
        self._expiry = started_at + TERM_SECONDS
        self._fence = lease.fence
        return lease.fence
