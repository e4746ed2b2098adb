"""The feed of configurations from the platform to a node.

A few nodes of each failure domain hold a watch; the others are told by them.
Every node looks by itself now and then, in case that it was not told.
"""

import collections
import random

import gevent

from pimentoway.core import error, log
from pimentoway.objects import head, store
from pimentoway.ops import configholder

#: Seconds for which a watch waits.
WATCH_SECONDS = 30

#: Seconds between looks of a node that holds no watch.
LOOK_SECONDS = 60

#: The part by which the time between looks varies.
LOOK_JITTER = 0.5

#: Seconds between checks of whether the node has become a watcher.
ROLE_SECONDS = 2

#: The longest pause after a failed call, in seconds.
PAUSE_SECONDS = 3

_LOG = log.Log('feed')


class Feed:
    """Brings configurations from the platform."""

    def __init__(
        self,
        object_store: store.Store,
        held: configholder.ConfigurationHolder,
        is_watcher: collections.abc.Callable[[], bool],
    ) -> None:
        """Connect the parts.

        Args:
            object_store: The object service.
            held: The configuration that the node holds.
            is_watcher: Tells whether the node shall hold a watch.
        """
        self._store = object_store
        self._held = held
        self._is_watcher = is_watcher

    def run(self) -> None:
        """Follow the platform for ever."""
        while True:
            try:
                self._follow()
            except error.WatchExpiredError:
                continue
            except error.PimentowayError as fault:
                _LOG.write(f'no news of the configuration: {fault}.')
                gevent.sleep(random.uniform(0, PAUSE_SECONDS))

    def look(self) -> int:
        """Read the head and adopt what is new.

        Returns:
            The revision from which to watch.
        """
        listed = self._store.list_objects(store.CONFIGURATION_KIND)
        for found in listed.changed:
            self._adopt(found)
        return listed.revision

    def _follow(self) -> None:
        revision = self.look()
        if not self._is_watcher():
            self._wait_for_role()
            return
        while self._is_watcher():
            events = self._store.watch(
                store.CONFIGURATION_KIND,
                revision,
                WATCH_SECONDS,
            )
            for found in events.changed:
                self._adopt(found)
            revision = events.revision

    def _wait_for_role(self) -> None:
        left = LOOK_SECONDS * random.uniform(1 - LOOK_JITTER, 1 + LOOK_JITTER)
        while left > 0 and not self._is_watcher():
            gevent.sleep(ROLE_SECONDS)
            left -= ROLE_SECONDS

    def _adopt(self, found: store.Object) -> None:
        if found.name != head.HEAD_NAME or found.deleted:
            return
        stored = head.decode_head(found).head
        have = self._held.current.version
        if stored.version <= have:
            return
        snapshot = None
        if stored.snapshot > have:
            snapshot = head.read_snapshot(self._store, stored.snapshot)
        self._held.adopt(snapshot, stored.changes)
