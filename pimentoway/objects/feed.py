"""Brings new configurations from the platform to a node.

A few nodes of each failure domain watch the head of the configuration and
notify the others. Those also poll it at long intervals, in case that a
notification was lost.
"""

import collections
import random

import gevent

from pimentoway.core import error, log
from pimentoway.objects import head, store
from pimentoway.ops import configholder

#: Seconds after which a watch without events ends.
WATCH_SECONDS = 30

#: Mean seconds between polls by a node that does not watch.
POLL_SECONDS = 60

#: Largest deviation from the mean poll interval, as a fraction of it.
POLL_JITTER = 0.5

#: Seconds between checks whether the node has become a watcher.
ROLE_CHECK_SECONDS = 2

#: Maximum pause after a failed call, in seconds.
MAX_RETRY_PAUSE_SECONDS = 3

_LOG = log.Log('feed')


class Feed:
    """Watches or polls the platform for new configurations."""

    def __init__(
        self,
        object_store: store.Store,
        configuration_holder: configholder.ConfigurationHolder,
        is_watcher: collections.abc.Callable[[], bool],
    ) -> None:
        """Create a feed; `run` starts it.

        Args:
            object_store: The object service.
            configuration_holder: Adopts the configurations that are newer
                than its own.
            is_watcher: Returns whether the node should watch instead of
                polling; it may change at any time.
        """
        self._store = object_store
        self._holder = configuration_holder
        self._is_watcher = is_watcher

    def run(self) -> None:
        """Watch or poll forever, and retry after errors."""
        while True:
            try:
                self._watch_or_poll()
            except error.WatchExpiredError:
                continue
            except error.PimentowayError as fault:
                _LOG.write(
                    'reading the configuration from the platform failed, '
                    f'retrying: {fault}.'
                )
                gevent.sleep(random.uniform(0, MAX_RETRY_PAUSE_SECONDS))

    def refresh(self) -> int:
        """Read the head and adopt its configuration if it is newer.

        Returns:
            The revision after which to watch.
        """
        listed = self._store.list_objects(store.CONFIGURATION_KIND)
        for stored_object in listed.changed:
            self._adopt_head(stored_object)
        return listed.revision

    def _watch_or_poll(self) -> None:
        revision = self.refresh()
        if not self._is_watcher():
            self._wait_for_poll()
            return
        while self._is_watcher():
            events = self._store.watch(
                store.CONFIGURATION_KIND,
                revision,
                WATCH_SECONDS,
            )
            for stored_object in events.changed:
                self._adopt_head(stored_object)
            revision = events.revision

    def _wait_for_poll(self) -> None:
        # Ends early when the node becomes a watcher.
        remaining = POLL_SECONDS * random.uniform(
            1 - POLL_JITTER, 1 + POLL_JITTER
        )
        while remaining > 0 and not self._is_watcher():
            gevent.sleep(ROLE_CHECK_SECONDS)
            remaining -= ROLE_CHECK_SECONDS

    def _adopt_head(self, stored_object: store.Object) -> None:
        if stored_object.name != head.HEAD_NAME or stored_object.deleted:
            return
        latest_head = head.decode_head(stored_object).head
        current_version = self._holder.current.version
        if latest_head.version <= current_version:
            return
        snapshot = None
        if latest_head.snapshot > current_version:
            snapshot = head.read_snapshot(self._store, latest_head.snapshot)
        self._holder.adopt(snapshot, latest_head.changes)
