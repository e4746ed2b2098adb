"""How far a node's records have come, and the changes that led there."""

import collections

from pimentoway.core import clock, registry

#: Seconds after a failed call to the store in which entries may expire
#: although their back ends are running.
STORE_FAILURE_SECONDS = 3.0

#: Seconds after the latest answer of the store, or change from another node, in
#: which this node knows what was in the store; a watch waits less long.
CURRENT_SECONDS = 30.0

#: Seconds after a restoration of the store in which listings, and records of
#: other nodes, are reconciled with what is known: until everything is written
#: again, and entries of back ends that are gone have lapsed.
SETTLE_SECONDS = 10.0

#: The changes of each kind that are kept, so that nodes that are a little
#: behind need no snapshot.
KEPT_CHANGES = 64


class RevisionLog:
    """The revisions of a node's records.

    Attributes:
        revision_by_kind: The revision of the store at which the records of
            each kind are current; 0 if none were received yet.
        store_failed_at: The monotonic time of the latest call to the store
            that failed.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.revision_by_kind = dict.fromkeys(registry.Kind, 0)
        self.store_failed_at = float('-inf')
        self._store_failing_since = float('-inf')
        self._noted_at_by_kind = dict.fromkeys(registry.Kind, float('-inf'))
        self._settled_at_by_kind = dict.fromkeys(registry.Kind, float('-inf'))
        self._history_by_kind: dict[registry.Kind, collections.deque] = {
            kind: collections.deque(maxlen=KEPT_CHANGES)
            for kind in registry.Kind
        }

    def is_restored(self, kind: registry.Kind, revision: int) -> bool:
        """Tell whether the store was restored before a revision.

        Args:
            kind: The kind of the records.
            revision: The revision.

        Returns:
            Whether its era is later than that of the known records.
        """
        known = self.revision_by_kind[kind]
        era, _ = registry.split_revision(revision)
        known_era, _ = registry.split_revision(known)
        return 0 < known and known_era < era

    def note_store_failure(self) -> None:
        """Record that a call to the store failed."""
        now = clock.read_monotonic()
        if not self.is_store_failing():
            self._store_failing_since = now
        self.store_failed_at = now

    def is_store_failing(self) -> bool:
        """Tell whether calls to the store failed lately.

        Returns:
            Whether one did in the last ``STORE_FAILURE_SECONDS``.
        """
        age = clock.read_monotonic() - self.store_failed_at
        return age < STORE_FAILURE_SECONDS

    def was_current(self, kind: registry.Kind) -> bool:
        """Tell whether the records were those of the store before it failed.

        Args:
            kind: The kind of the records.

        Returns:
            Whether something was noted in the ``CURRENT_SECONDS`` before calls
            to the store began to fail, or before now if none fails.
        """
        time = clock.read_monotonic()
        if self.is_store_failing():
            time = self._store_failing_since
        return time - self._noted_at_by_kind[kind] < CURRENT_SECONDS

    def is_settling(self, kind: registry.Kind) -> bool:
        """Tell whether the store was restored lately.

        Args:
            kind: The kind of the records.

        Returns:
            Whether it was in the last ``SETTLE_SECONDS``.
        """
        return clock.read_monotonic() < self._settled_at_by_kind[kind]

    def note(self, kind: registry.Kind, changes: registry.Changes) -> None:
        """Note changes that are applied.

        Args:
            kind: The kind of the records.
            changes: The changes.
        """
        now = clock.read_monotonic()
        known = self.revision_by_kind[kind]
        history = self._history_by_kind[kind]
        if self.is_restored(kind, changes.revision):
            self._settled_at_by_kind[kind] = now + SETTLE_SECONDS
            # Other nodes need what is known here, not what the store lacks.
            history.clear()
        elif known and kind is not registry.Kind.configuration:
            # The first records don't tell what was removed before them, and
            # steps between configurations are not kept but computed.
            history.append((known, changes))
        self.revision_by_kind[kind] = max(known, changes.revision)
        self._noted_at_by_kind[kind] = now

    def list_changes(
        self, kind: registry.Kind, after: int
    ) -> registry.Changes | None:
        """List the changes of a kind after a revision.

        Args:
            kind: The kind; not that of the configuration.
            after: The revision.

        Returns:
            The changes; nothing if some of them are no longer kept, so that a
            snapshot is needed.
        """
        history = self._history_by_kind[kind]
        if not history or history[0][0] > after:
            return None
        later = [
            change
            for _, changes in history
            if changes.revision > after
            for change in changes.changes
        ]
        return registry.Changes(self.revision_by_kind[kind], tuple(later))
