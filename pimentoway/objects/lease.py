"""The lease of the controller, with a fencing number in the head.

A lease is renewed by conditional updates of its object. Whoever sees no
renewal for the term takes it with a higher number and writes that number into
the head of the configuration; from then on the platform refuses every change
of an earlier holder, however long that one was paused.
"""

import dataclasses

from pimentoway.core import clock, codec, error
from pimentoway.objects import head, store

#: The kind of leases.
LEASE_KIND = 'lease'

#: Seconds without renewal after which a lease may be taken.
TERM_SECONDS = 10

#: Seconds between renewals.
RENEWAL_SECONDS = 3


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease as it is stored.

    Attributes:
        holder: The name of the node that holds it.
        fence: The fencing number.
        renewals: How often it was renewed.
    """

    holder: str
    fence: int
    renewals: int = 0


class Claimant:
    """A node's view of a lease."""

    def __init__(
        self, name: str, holder: str, object_store: store.Store
    ) -> None:
        """Know nothing yet.

        Args:
            name: The name of the lease.
            holder: The name of the node.
            object_store: The object service.
        """
        self._name = name
        self._holder = holder
        self._store = object_store
        self._seen_version = -1
        self._seen_time = float('-inf')
        self._held_until = float('-inf')
        self._fence = 0

    def hold(self) -> int:
        """Renew the lease, or take it if it has run out.

        Returns:
            The fencing number, or 0 if another node holds the lease.
        """
        began = clock.read_monotonic()
        found = self._store.read(LEASE_KIND, self._name)
        if found.version != self._seen_version:
            self._seen_version = found.version
            self._seen_time = began
        current = Lease('', 0)
        if found.version:
            current = codec.decode_json(found.body, Lease, 'platform')
        if current.holder == self._holder and current.fence == self._fence:
            renewed = dataclasses.replace(
                current,
                renewals=current.renewals + 1,
            )
            return self._write(renewed, found.version, began)
        if found.version and began - self._seen_time < TERM_SECONDS:
            return 0
        return self._take(current, found.version, began)

    def is_held(self) -> bool:
        """Tell whether the lease can't have been taken by another node.

        Returns:
            Whether its term still runs.
        """
        return clock.read_monotonic() < self._held_until

    def _take(self, current: Lease, version: int, began: float) -> int:
        taken = Lease(self._holder, current.fence + 1)
        fence = self._write(taken, version, began)
        if fence:
            head.raise_fence(self._store, fence)
        return fence

    def _write(self, lease: Lease, version: int, began: float) -> int:
        body = codec.encode_json(lease).decode()
        try:
            written = self._store.write(LEASE_KIND, self._name, body, version)
        except error.PlatformConflictError:
            return 0
        self._seen_version = written.version
        self._seen_time = began
        self._held_until = began + TERM_SECONDS
        self._fence = lease.fence
        return lease.fence
