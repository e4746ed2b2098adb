"""What a node knows of the registry, from the store or from other nodes."""

import collections
import dataclasses
import types

from pimentoway.core import clock, deployment, log, registry

#: Seconds for which a back end whose entry vanished while the store was in
#: trouble is kept: a living one writes its entry again within two seconds of
#: the store's return.
LAPSE_SECONDS = 2.0

#: Seconds after a failed call to the store in which entries may vanish
#: although their back ends live.
TROUBLE_SECONDS = 3.0

#: The changes of each kind that are kept for nodes that are a little behind.
KEPT_CHANGES = 64

#: The kinds whose changes are logged.
LOGGED_KINDS = frozenset(registry.Kind) - {registry.Kind.peers}

_LOG = log.Log('view')


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """All records of a kind as a node knows them.

    Attributes:
        kind: The kind.
        revision: The revision of the store that it follows.
        records_by_name: The records.
    """

    kind: registry.Kind
    revision: int
    records_by_name: dict[str, registry.Record]


Follower = collections.abc.Callable[[registry.Kind], None]


class View:
    """The records that a node knows.

    Attributes:
        deployment: The configuration in force, or nothing yet.
        revision_by_kind: The revision of the store that each kind follows.
    """

    def __init__(self) -> None:
        """Start knowing nothing."""
        self.deployment: deployment.Deployment | None = None
        self.revision_by_kind = dict.fromkeys(registry.Kind, 0)
        self._records_by_kind: dict[registry.Kind, dict] = {
            kind: {} for kind in registry.Kind
        }
        self._lapsed_by_name: dict[str, float] = {}
        self._history_by_kind: dict[registry.Kind, collections.deque] = {
            kind: collections.deque(maxlen=KEPT_CHANGES)
            for kind in registry.Kind
        }
        self._followers: list[Follower] = []
        self._trouble = float('-inf')

    @property
    def engines_by_name(self) -> types.MappingProxyType:
        """List the back ends.

        Returns:
            The entries of the back ends.
        """
        return types.MappingProxyType(
            self._records_by_kind[registry.Kind.engines],
        )

    @property
    def rollouts_by_service(self) -> types.MappingProxyType:
        """List the rollouts.

        Returns:
            The orders.
        """
        return types.MappingProxyType(
            self._records_by_kind[registry.Kind.rollouts],
        )

    @property
    def peers_by_name(self) -> types.MappingProxyType:
        """List the nodes that registered themselves.

        Returns:
            The entries of the nodes.
        """
        return types.MappingProxyType(
            self._records_by_kind[registry.Kind.peers],
        )

    @property
    def evacuated_zones(self) -> collections.abc.Container[str]:
        """List the failure domains that get nothing.

        Returns:
            Their names.
        """
        return self._records_by_kind[registry.Kind.evacuations].keys()

    def is_usable(self, engine: deployment.Engine) -> bool:
        """Tell whether a back end may get requests, as far as is known here.

        Args:
            engine: The back end.

        Returns:
            Whether it neither leaves nor is in an evacuated failure domain.
        """
        return not engine.draining and engine.zone not in self.evacuated_zones

    def follow(self, follower: Follower) -> None:
        """Call a function after each change.

        Args:
            follower: The function.
        """
        self._followers.append(follower)

    def note_trouble(self) -> None:
        """Note that the store could not be reached."""
        self._trouble = clock.read_monotonic()

    def take_snapshot(self, snapshot: Snapshot, source: str) -> bool:
        """Take in all records of a kind.

        Args:
            snapshot: The records.
            source: Who sent them.

        Returns:
            Whether they were newer than what was known.
        """
        kind = snapshot.kind
        if snapshot.revision <= self.revision_by_kind[kind]:
            return False
        known = self._records_by_kind[kind]
        gone = [name for name in known if name not in snapshot.records_by_name]
        changes = [registry.Change(name, None) for name in gone]
        changes.extend(
            registry.Change(name, record)
            for name, record in snapshot.records_by_name.items()
            if known.get(name) != record
        )
        self.take_changes(
            kind,
            registry.Changes(snapshot.revision, tuple(changes)),
            source,
        )
        return True

    def make_snapshot(self, kind: registry.Kind) -> Snapshot:
        """Make a copy of all records of a kind.

        Args:
            kind: The kind.

        Returns:
            The records.
        """
        records = dict(self._records_by_kind[kind])
        return Snapshot(kind, self.revision_by_kind[kind], records)

    def list_changes(
        self, kind: registry.Kind, after: int
    ) -> registry.Changes | None:
        """List the changes of a kind after a revision.

        Args:
            kind: The kind.
            after: The revision.

        Returns:
            The changes; nothing if they are no longer known.
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

    def take_changes(
        self, kind: registry.Kind, changes: registry.Changes, source: str
    ) -> None:
        """Take in changes of a kind.

        Args:
            kind: The kind.
            changes: The changes.
            source: Who told them.
        """
        before = self.revision_by_kind[kind]
        if changes.revision < before:
            return
        self._history_by_kind[kind].append((before, changes))
        self.revision_by_kind[kind] = changes.revision
        for change in changes.changes:
            self._apply(kind, change, source)
        if changes.changes:
            self._tell(kind)

    def expire(self) -> None:
        """Forget back ends whose entries did not come back in time."""
        now = clock.read_monotonic()
        over = [
            name for name, end in self._lapsed_by_name.items() if end <= now
        ]
        for name in over:
            self._lapsed_by_name.pop(name)
            self._records_by_kind[registry.Kind.engines].pop(name, None)
            _LOG.write('back end is gone.', engine=name, after='lapse')
        if over:
            self._tell(registry.Kind.engines)

    def _apply(
        self, kind: registry.Kind, change: registry.Change, source: str
    ) -> None:
        if isinstance(change.record, deployment.Deployment):
            self._adopt(change.record, source)
            return
        if change.record is None:
            self._remove(kind, change.name)
        else:
            self._records_by_kind[kind][change.name] = change.record
            self._lapsed_by_name.pop(change.name, None)
        if kind in LOGGED_KINDS:
            _LOG.write(
                'record changed.',
                kind=kind.value,
                name=change.name,
                record=str(change.record),
                revision=self.revision_by_kind[kind],
                source=source,
            )

    def _remove(self, kind: registry.Kind, name: str) -> None:
        if kind is registry.Kind.engines and self._is_doubtful(name):
            end = clock.read_monotonic() + LAPSE_SECONDS
            self._lapsed_by_name.setdefault(name, end)
        else:
            self._records_by_kind[kind].pop(name, None)

    def _is_doubtful(self, name: str) -> bool:
        known = self._records_by_kind[registry.Kind.engines].get(name)
        if known is None or known.draining:
            return False
        return clock.read_monotonic() - self._trouble < TROUBLE_SECONDS

    def _adopt(self, newer: deployment.Deployment, source: str) -> None:
        held = self.deployment
        # A late reader may bring an old version; the node never goes back.
        if held is not None and newer.version <= held.version:
            return
        self.deployment = newer
        records = self._records_by_kind[registry.Kind.configuration]
        records[''] = newer
        _LOG.write(
            'configuration is in force.',
            version=newer.version,
            routes=len(newer.routes),
            customers={
                one.name: (one.rank, one.rate, one.burst)
                for one in newer.customers_by_name.values()
            },
            source=source,
        )

    def _tell(self, kind: registry.Kind) -> None:
        for follower in self._followers:
            follower(kind)
