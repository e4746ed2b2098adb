"""The configuration that a node holds: its version only rises."""

import collections

from pimentoway.core import configuration, index, log, metric

#: The changes that are kept for nodes that lag behind.
KEPT_CHANGES = 200

_LOG = log.Log('configuration')


class Keeper:
    """Holds the configuration in force.

    Attributes:
        current: The configuration.
        view: The configuration arranged for look-ups, or nothing yet.
    """

    def __init__(
        self, notify: collections.abc.Callable[[index.Index], object]
    ) -> None:
        """Hold no configuration yet.

        Args:
            notify: Takes each new configuration.
        """
        self.current = configuration.Configuration()
        self.view: index.Index | None = None
        self._notify = notify
        self._changes: collections.deque[configuration.Change] = (
            collections.deque(maxlen=KEPT_CHANGES)
        )

    def adopt(
        self,
        snapshot: configuration.Configuration | None,
        changes: tuple[configuration.Change, ...],
    ) -> bool:
        """Adopt what is newer than the configuration in force.

        Whatever comes from a late or stale source has a lower version and is
        passed over, so no node ever goes back.

        Args:
            snapshot: A whole configuration, or nothing.
            changes: Changes in order of their versions.

        Returns:
            Whether a newer configuration is in force now.
        """
        before = self.current.version
        if snapshot and snapshot.version > before:
            self.current = snapshot
            self._changes.clear()
        for change in changes:
            if change.version == self.current.version + 1:
                self.current = configuration.apply_change(self.current, change)
                self._changes.append(change)
        if self.current.version == before:
            return False
        self.view = index.build_index(self.current)
        metric.CONFIGURATION_VERSION.set(self.current.version)
        _LOG.write(f'version {self.current.version} is in force.')
        self._notify(self.view)
        return True

    def list_changes(
        self, after: int
    ) -> tuple[configuration.Change, ...] | None:
        """List the changes that a lagging node misses.

        Args:
            after: The version that the node has.

        Returns:
            The changes, or nothing if they are no longer kept.
        """
        missing = tuple(
            change for change in self._changes if change.version > after
        )
        if len(missing) == self.current.version - after:
            return missing
        return None
