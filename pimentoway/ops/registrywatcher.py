"""Watches the registry in the store: one task per kind of records."""

import collections
import dataclasses
import random
import types

import gevent

from pimentoway.core import clock, error, log, registry
from pimentoway.ops import storecontact, view

#: Seconds for which a watch waits for a change.
WATCH_SECONDS = 20

#: Seconds of the first pause between attempts while the store can't be
#: reached; jittered, so that the nodes don't retry at the same time.
RETRY_SECONDS = 0.4

#: The upper bound of the pause, in seconds: far below the time in which a
#: change has to be in force.
MAX_RETRY_SECONDS = 0.8

#: Seconds between checks whether this node has to watch the store.
CHECK_SECONDS = 0.1

#: Seconds for which further changes of a kind are collected before the next
#: watch. Nodes that start together write an entry each, and each entry would
#: end every watch. The delay does no harm, as the links between nodes show
#: sooner which of them are alive.
BATCH_SECONDS_BY_KIND = types.MappingProxyType({registry.Kind.peers: 0.5})

_LOG = log.Log('follow')


@dataclasses.dataclass
class _WatchState:
    """How far the task for one kind of records has come.

    Attributes:
        listed: Whether the view has a listing, after which it can watch.
        expired: Whether the last watch expired.
        confirmed: Whether the store has answered since the last call that
            failed, or since other nodes sent the records.
        pause: Seconds of the next pause after a call that failed.
    """

    listed: bool = False
    expired: bool = False
    confirmed: bool = False
    pause: float = RETRY_SECONDS

    def wait(self) -> None:
        """Pause, and let the next pause be longer."""
        gevent.sleep(random.uniform(self.pause / 2, self.pause))
        self.pause = min(MAX_RETRY_SECONDS, self.pause * 2)


class RegistryWatcher:
    """Keeps a registry view in step with the store."""

    def __init__(
        self,
        source: registry.Registry,
        registry_view: view.View,
        should_watch_store: collections.abc.Callable[[], bool],
        contact: storecontact.StoreContact,
    ) -> None:
        """Set up the watch; ``run`` starts it for one kind.

        Args:
            source: The registry in the store.
            registry_view: The view to update.
            should_watch_store: Tells whether this node should watch the store
                now; if not, it gets the records from other nodes.
            contact: Learns how the calls to the store end.
        """
        self._should_watch_store = should_watch_store
        self._contact = contact
        self._source = source
        self._view = registry_view

    def run(self, kind: registry.Kind) -> None:
        """Keep one kind up to date, for ever.

        Args:
            kind: The kind.
        """
        state = _WatchState()
        while True:
            if self._should_watch_store():
                self._advance_safely(kind, state)
            else:
                # Records from other nodes are newer than the last listing.
                state.listed = self._view.revision_by_kind[kind] > 0
                state.confirmed = False
                self._contact.note_watched(kind, is_connected=False)
                gevent.sleep(CHECK_SECONDS)

    def _advance_safely(self, kind: registry.Kind, state: _WatchState) -> None:
        try:
            self._advance(kind, state)
        except error.WatchExpiredError:
            # The end of a watch came late, in the pause after it.
            state.listed = False
        except storecontact.WatchEndedError:
            # No call has failed.
            self._contact.note_watched(kind, is_connected=False)
            state.confirmed = False

    def _advance(self, kind: registry.Kind, state: _WatchState) -> None:
        watches = state.listed
        try:
            self._fetch(kind, state)
        except error.WatchExpiredError as lost:
            _LOG.write(
                'watch expired, lists all records again.',
                kind=kind.value,
                reason=str(lost),
            )
            state.listed = False
            if state.expired:
                # The last listing did not help, so the next one can wait.
                state.wait()
            state.expired = True
            return
        except storecontact.WatchEndedError:
            raise
        except error.PlatformError as fault:
            self._note_failure(kind, fault)
            state.confirmed = False
            state.wait()
            return
        state.listed = True
        state.confirmed = True
        if watches:
            state.pause = RETRY_SECONDS
            state.expired = False
        self._note_success(kind)

    def _fetch(self, kind: registry.Kind, state: _WatchState) -> None:
        if not state.listed:
            listing = self._source.list_records(kind)
            snapshot = view.Snapshot(
                kind, listing.revision, listing.records_by_name
            )
            is_newer = self._view.apply_snapshot(
                snapshot, 'store list', from_store=True
            )
            if not is_newer:
                _LOG.write(
                    'listing is not newer than the known records.',
                    kind=kind.value,
                    revision=listing.revision,
                    known=self._view.revision_by_kind[kind],
                )
            return
        revision = self._view.revision_by_kind[kind]
        # The store may have been restored meanwhile, and may have reached the
        # revision again. Only an answer shows this, so the first one must not
        # wait for a change.
        seconds = WATCH_SECONDS if state.confirmed else 0
        with self._contact.wait():
            changes = self._source.watch_records(kind, revision, seconds)
        self._view.apply_changes(kind, changes, 'store watch')
        if changes.changes:
            gevent.sleep(BATCH_SECONDS_BY_KIND.get(kind, 0))

    def _note_failure(self, kind: registry.Kind, fault: Exception) -> None:
        self._view.note_store_failure()
        was_connected = self._contact.connected_by_kind[kind]
        self._contact.note_watched(kind, is_connected=False)
        if was_connected:
            _LOG.write(
                'call to the store failed, retries.',
                kind=kind.value,
                reason=str(fault),
            )

    def _note_success(self, kind: registry.Kind) -> None:
        was_connected = self._contact.connected_by_kind[kind]
        self._contact.note_watched(kind, is_connected=True)
        if not was_connected:
            _LOG.write(
                'connected to the store.',
                kind=kind.value,
                revision=self._view.revision_by_kind[kind],
                time=round(clock.read_monotonic(), 3),
            )
