"""The configuration in force at a node; its version never decreases."""

import collections

from pimentoway.core import configuration, index, log, metric

#: The number of recent changes that are kept for nodes that lag behind.
KEPT_CHANGES = 200

_LOG = log.Log('configuration')


class ConfigurationHolder:
    """Holds the configuration in force.

    Attributes:
        current: The configuration; an empty one of version 0 at first.
        configuration_index: The configuration indexed for look-ups; None at
            first.
    """

    def __init__(
        self, notify: collections.abc.Callable[[index.Index], object]
    ) -> None:
        """Start without a configuration.

        Args:
            notify: Called with the index of each new configuration.
        """
        self.current = configuration.Configuration()
        self.configuration_index: index.Index | None = None
        self._notify = notify
        self._changes: collections.deque[configuration.Change] = (
            collections.deque(maxlen=KEPT_CHANGES)
        )

    def adopt(
        self,
        snapshot: configuration.Configuration | None,
        changes: tuple[configuration.Change, ...],
    ) -> bool:
        """Adopt a snapshot and changes that are newer than the current one.

        Lower versions, from late or stale sources, and changes that don't
        follow the current version directly are ignored.

        Args:
            snapshot: A whole configuration, or None.
            changes: Changes in the order of their versions.

        Returns:
            Whether a newer configuration is in force now.
        """
        old_version = self.current.version
        if snapshot and snapshot.version > old_version:
            self.current = snapshot
            self._changes.clear()
        for change in changes:
            if change.version == self.current.version + 1:
                self.current = configuration.apply_change(self.current, change)
                self._changes.append(change)
        if self.current.version == old_version:
            return False
        self.configuration_index = index.build_index(self.current)
        metric.CONFIGURATION_VERSION.set(self.current.version)
        _LOG.write(f'version {self.current.version} is in force.')
        self._notify(self.configuration_index)
        return True

    def list_changes(
        self, after: int
    ) -> tuple[configuration.Change, ...] | None:
        """List the changes that a lagging node misses.

        Args:
            after: The version that the node has.

        Returns:
            The changes, or None if some are no longer kept and the node
            needs a snapshot.
        """
        missing = tuple(
            change for change in self._changes if change.version > after
        )
        if len(missing) == self.current.version - after:
            return missing
        return None
