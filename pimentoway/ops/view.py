"""A node's copy of the registry, fed by the store or by other nodes."""

import collections
import dataclasses
import types

from pimentoway.core import deployment, log, registry
from pimentoway.ops import restoration, revisionlog

#: The earlier configurations that are kept, so that nodes that have one of them
#: need only the routes that changed. Equal routes are the same objects in all.
KEPT_CONFIGURATIONS = 8

#: The kinds whose changes are logged.
LOGGED_KINDS = frozenset(registry.Kind) - {registry.Kind.peers}

_LOG = log.Log('view')


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All records of a kind at one revision.

    Attributes:
        kind: The kind.
        revision: The revision of the store at which the records are current.
        records_by_name: The records.
    """

    kind: registry.Kind
    revision: int
    records_by_name: dict[str, registry.Record]


Callback = collections.abc.Callable[[registry.Kind], None]


class View:
    """The registry as a node knows it.

    Attributes:
        deployment: The configuration in force, or nothing yet.
        revision_by_kind: The revision of the store at which the records of
            each kind are current; 0 if none were received yet.
        retained: What is kept although the store doesn't have it.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.deployment: deployment.Deployment | None = None
        self._log = revisionlog.RevisionLog()
        self.revision_by_kind = self._log.revision_by_kind
        self._records_by_kind: dict[registry.Kind, dict] = {
            kind: {} for kind in registry.Kind
        }
        self.retained = restoration.RetainedRecords()
        self._configurations: collections.deque[deployment.Deployment] = (
            collections.deque(maxlen=KEPT_CONFIGURATIONS)
        )
        self._callbacks: list[Callback] = []

    @property
    def version(self) -> int:
        """The version of the configuration in force.

        Returns:
            The version; 0 if there is no configuration yet.
        """
        return self.deployment.version if self.deployment else 0

    @property
    def engines_by_name(self) -> types.MappingProxyType:
        """The registered back ends.

        Returns:
            A read-only view of their entries, by name.
        """
        return types.MappingProxyType(
            self._records_by_kind[registry.Kind.engines],
        )

    @property
    def rollouts_by_service(self) -> types.MappingProxyType:
        """The rollouts that operators ordered.

        Returns:
            A read-only view of the orders, by service.
        """
        return types.MappingProxyType(
            self._records_by_kind[registry.Kind.rollouts],
        )

    @property
    def peers_by_name(self) -> types.MappingProxyType:
        """The registered nodes.

        Returns:
            A read-only view of their entries, by name.
        """
        return types.MappingProxyType(
            self._records_by_kind[registry.Kind.peers],
        )

    @property
    def part_blocks_by_name(self) -> types.MappingProxyType:
        """The blocked parts of prompts.

        Returns:
            A read-only view of the blocks, by the name of their record.
        """
        return types.MappingProxyType(
            self._records_by_kind[registry.Kind.part_blocks],
        )

    @property
    def evacuated_zones(self) -> collections.abc.Container[str]:
        """The failure domains that get no requests.

        Returns:
            Their names.
        """
        return self._records_by_kind[registry.Kind.evacuations].keys()

    def is_usable(self, engine: deployment.Engine) -> bool:
        """Tell whether a back end may get requests, as far as is known here.

        Args:
            engine: The back end.

        Returns:
            Whether it is neither draining nor in an evacuated failure domain.
        """
        return not engine.draining and engine.zone not in self.evacuated_zones

    def subscribe(self, callback: Callback) -> None:
        """Call a function after each change.

        Args:
            callback: The function; it gets the kind whose records changed.
        """
        self._callbacks.append(callback)

    def note_store_failure(self) -> None:
        """Record that a call to the store failed."""
        self._log.note_store_failure()

    def apply_snapshot(
        self, snapshot: Snapshot, source: str, from_store: bool = False
    ) -> bool:
        """Replace all records of a kind, if the snapshot is newer.

        A configuration is newer by its version, whatever the revision: a
        restored store may hold an older one than the nodes.

        Args:
            snapshot: The records.
            source: Where they came from, for the log.
            from_store: Whether they are a listing of the store.

        Returns:
            Whether the snapshot was newer than the known records.
        """
        kind = snapshot.kind
        is_newer = snapshot.revision > self.revision_by_kind[kind]
        if not is_newer and not _has_later_version(snapshot, self.version):
            return False
        changes = _compare(
            self._records_by_kind[kind], snapshot.records_by_name
        )
        if self._log.is_restored(kind, snapshot.revision):
            if kind is registry.Kind.part_blocks and self._log.was_current(
                kind
            ):
                changes = self.retained.hold_removed(kind, changes)
        self.merge_changes(
            kind, registry.Changes(snapshot.revision, changes), source
        )
        self.retained.note_listed(kind, snapshot.records_by_name, from_store)
        return True

    def make_snapshot(self, kind: registry.Kind) -> Snapshot:
        """Copy all records of a kind.

        Args:
            kind: The kind.

        Returns:
            The records and their revision. Those that are kept for a while
            although the store doesn't have them are left out, as no change
            will tell that they were removed.
        """
        expiring = self.retained.list_expiring(kind)
        records = {
            name: record
            for name, record in self._records_by_kind[kind].items()
            if name not in expiring
        }
        return Snapshot(kind, self.revision_by_kind[kind], records)

    def find_configuration(self, version: int) -> deployment.Deployment | None:
        """Find a configuration that is or was in force here lately.

        Args:
            version: Its version.

        Returns:
            The configuration; None if it is not among the
            ``KEPT_CONFIGURATIONS`` last ones.
        """
        for kept in self._configurations:
            if kept.version == version:
                return kept
        return None

    def list_changes(
        self, kind: registry.Kind, after: int
    ) -> registry.Changes | None:
        """List the changes of a kind after a revision.

        Args:
            kind: The kind; not that of the configuration, whose steps follow
                from ``find_configuration``.
            after: The revision.

        Returns:
            The changes; nothing if some of them are no longer kept, so that a
            snapshot is needed.
        """
        return self._log.list_changes(kind, after)

    def apply_changes(
        self, kind: registry.Kind, changes: registry.Changes, source: str
    ) -> None:
        """Apply changes that the store reported, and call the callbacks.

        Changes up to a revision older than the known one are ignored, except
        for a newer version of the configuration.

        Args:
            kind: The kind.
            changes: The changes, and the revision up to which they reach.
            source: Where they came from, for the log.
        """
        self._apply_all(kind, changes, source, reconciles=False)

    def merge_changes(
        self, kind: registry.Kind, changes: registry.Changes, source: str
    ) -> None:
        """Apply differences to a listing or to the records of another node.

        They don't tell whether a record was removed or is only missing in a
        restored store. For a while after a restoration they are reconciled
        with what is known.

        Args:
            kind: The kind.
            changes: The changes, and the revision up to which they reach.
            source: Where they came from, for the log.
        """
        reconciles = self.retained.is_holding(kind)
        reconciles = reconciles or self._log.is_settling(kind)
        self._apply_all(kind, changes, source, reconciles)

    def expire(self) -> None:
        """Remove records that the store lost and nobody has written again.

        A back end whose entry outlasted its removal counts as running again.
        """
        changed = set()
        overdue = self.retained.take_overdue(self._log.store_failed_at)
        for kind, name in overdue:
            if kind is registry.Kind.engines:
                # Nobody removed it, so a copy of its entry is no old one.
                self._records_by_kind[kind].pop(name, None)
            else:
                self._drop(kind, name)
            changed.add(kind)
            _LOG.write(
                'record removed, it was not renewed.',
                kind=kind.value,
                name=name,
                after='lapse',
            )
        for engine in self.retained.take_running():
            changed.add(registry.Kind.engines)
            change = registry.Change(engine.name, engine)
            self._apply(registry.Kind.engines, change, 'running')
        for changed_kind in changed:
            self._notify(changed_kind)

    def forget(self, kind: registry.Kind, name: str) -> None:
        """Remove a record that this node has removed from the store.

        Args:
            kind: The kind.
            name: The name of the record.
        """
        self._drop(kind, name)
        self._notify(kind)

    def _apply_all(
        self,
        kind: registry.Kind,
        changes: registry.Changes,
        source: str,
        reconciles: bool,
    ) -> None:
        known = self.revision_by_kind[kind]
        is_older = changes.revision < known
        if is_older and kind is not registry.Kind.configuration:
            return
        restored = self._log.is_restored(kind, changes.revision)
        self._log.note(kind, changes)
        for change in changes.changes:
            if restored or reconciles:
                self._reconcile(kind, change, source, restored)
            else:
                self._apply(kind, change, source)
        if restored:
            _LOG.write(
                'the store was restored from a copy.',
                kind=kind.value,
                revision=changes.revision,
                known=known,
                changed=[listed.name for listed in changes.changes],
                missing=self.retained.list_held(kind),
            )
        if changes.changes:
            self._notify(kind)

    def _reconcile(
        self,
        kind: registry.Kind,
        change: registry.Change,
        source: str,
        restored: bool,
    ) -> None:
        known = self._records_by_kind[kind].get(change.name)
        holding = self.retained.reconcile(kind, change, known, restored)
        if holding:
            self._apply(kind, holding, source)

    def _apply(
        self, kind: registry.Kind, change: registry.Change, source: str
    ) -> None:
        if isinstance(change.record, deployment.Deployment):
            self._apply_configuration(change.record, source)
            return
        known = self._records_by_kind[kind].get(change.name)
        record = self.retained.recognize(kind, change, known)
        if record is None:
            self._remove(kind, change.name)
        else:
            self._records_by_kind[kind][change.name] = record
            self.retained.note_written(kind, change.name)
        if kind in LOGGED_KINDS:
            _LOG.write(
                'record changed.',
                kind=kind.value,
                name=change.name,
                record=str(record),
                revision=self.revision_by_kind[kind],
                source=source,
            )

    def _remove(self, kind: registry.Kind, name: str) -> None:
        if kind is registry.Kind.configuration:
            # Some configuration is always in force.
            return
        if kind is registry.Kind.engines and self._may_be_running(name):
            self.retained.hold(kind, [name])
        else:
            self._drop(kind, name)

    def _drop(self, kind: registry.Kind, name: str) -> None:
        record = self._records_by_kind[kind].pop(name, None)
        self.retained.note_removed(kind, name, record)

    def _may_be_running(self, name: str) -> bool:
        engine = self._records_by_kind[registry.Kind.engines].get(name)
        if engine is None or engine.draining:
            return False
        return self._log.is_store_failing()

    def _apply_configuration(
        self, newer: deployment.Deployment, source: str
    ) -> None:
        current = self.deployment
        # Peers and delayed reads of the store can deliver an older version.
        if current is not None and newer.version <= current.version:
            return
        if current is not None:
            newer = newer.share_routes(current)
        self.deployment = newer
        self._configurations.append(newer)
        records = self._records_by_kind[registry.Kind.configuration]
        records[''] = newer
        _LOG.write(
            'configuration is in force.',
            version=newer.version,
            routes=len(newer.routes),
            customers={
                customer.name: (customer.rank, customer.rate, customer.burst)
                for customer in newer.customers_by_name.values()
            },
            source=source,
        )

    def _notify(self, kind: registry.Kind) -> None:
        for callback in self._callbacks:
            callback(kind)


def _compare(
    known_by_name: dict[str, registry.Record],
    listed_by_name: dict[str, registry.Record],
) -> tuple[registry.Change, ...]:
    changes = [
        registry.Change(name, None)
        for name in known_by_name
        if name not in listed_by_name
    ]
    changes.extend(
        registry.Change(name, listed)
        for name, listed in listed_by_name.items()
        if known_by_name.get(name) != listed
    )
    return tuple(changes)


def _has_later_version(snapshot: Snapshot, version: int) -> bool:
    return any(
        isinstance(record, deployment.Deployment) and record.version > version
        for record in snapshot.records_by_name.values()
    )
