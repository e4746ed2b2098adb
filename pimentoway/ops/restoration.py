"""Reconciles known records with a store that was restored from a copy.

The store no longer has what was written after the copy. The operator and the
back ends write their records again; until then the copy is older than what a
node knows. What the nodes themselves wrote, they have to write again.
"""

import collections
import dataclasses
import math
import types

from pimentoway.core import clock, deployment, registry

#: Seconds for which a back end is kept whose entry expired while the store was
#: failing: a running back end writes its entry again within two seconds of
#: the store's return. A restored store may lack other records, too, until the
#: operator and the nodes have written them again.
GRACE_SECONDS = 2.0

#: Seconds after which an entry of a removed back end that the copy still holds
#: shows that the back end is running: otherwise its entry would have lapsed.
LAPSE_SECONDS = 6.0

#: Seconds for which removed records are remembered, and how many of a kind; a
#: copy is some seconds old.
REMOVED_SECONDS = 120.0
MAX_REMOVED = 1000

#: The kinds whose removed records are remembered.
REMEMBERED_KINDS = (
    registry.Kind.engines,
    registry.Kind.rollouts,
    registry.Kind.part_blocks,
)

#: Seconds for which held records are kept longer while the store is away again.
MAX_AWAY_SECONDS = 10.0

#: The kinds whose lost records are not kept for a while: some configuration is
#: always in force, and blocks of parts of prompts are held without a limit.
UNHELD_KINDS = frozenset(
    (registry.Kind.configuration, registry.Kind.part_blocks)
)

#: The order of the states of a rollout.
_STATE_ORDER = types.MappingProxyType(
    {'': 0, 'active': 1, 'complete': 2, 'reverted': 2}
)


@dataclasses.dataclass(frozen=True)
class _Held:
    since: float
    until: float
    restored: bool


@dataclasses.dataclass(frozen=True)
class _Removed:
    record: registry.Record
    removed_at: float


@dataclasses.dataclass(frozen=True)
class _Doubted:
    """A back end that was removed, but is in the restored store again."""

    engine: deployment.Engine
    until: float


class RetainedRecords:
    """What a node keeps of records that the store doesn't have.

    These are the records that it lost, until they are written again, and the
    knowledge of removed ones, copies of which may come back.

    Attributes:
        outdated_blocks: The blocks of parts of prompts, by the name of their
            record, which were removed but are in the restored store again.
    """

    def __init__(self) -> None:
        """Start with nothing retained."""
        self.outdated_blocks: dict[str, deployment.PartBlock] = {}
        self._held_by_key: dict[tuple[registry.Kind, str], _Held] = {}
        self._removed_by_kind: dict[
            registry.Kind, collections.OrderedDict[str, _Removed]
        ] = {kind: collections.OrderedDict() for kind in REMEMBERED_KINDS}
        self._doubted_by_name: dict[str, _Doubted] = {}

    def hold(
        self,
        kind: registry.Kind,
        names: collections.abc.Iterable[str],
        restored: bool = False,
    ) -> None:
        """Keep records that the store lost until they are written again.

        Args:
            kind: The kind of the records. Blocks of parts of prompts are kept
                without a limit, as only the nodes can write them; others for
                ``GRACE_SECONDS``.
            names: The names of the records.
            restored: Whether the store was restored, which begins the time
                anew.
        """
        now = clock.read_monotonic()
        until = now + GRACE_SECONDS
        if kind is registry.Kind.part_blocks:
            until = math.inf
        for name in names:
            held = self._held_by_key.get((kind, name))
            if held is None or restored:
                since = held.since if held else now
                self._held_by_key[(kind, name)] = _Held(since, until, restored)

    def list_held(self, kind: registry.Kind, seconds: float = 0) -> list[str]:
        """List the records of a kind that the store doesn't have.

        Args:
            kind: The kind.
            seconds: For how long at least it must have lacked them.

        Returns:
            The names of the records.
        """
        latest = clock.read_monotonic() - seconds
        return [
            name
            for (held_kind, name), held in self._held_by_key.items()
            if held_kind is kind and held.since <= latest
        ]

    def hold_removed(
        self, kind: registry.Kind, changes: tuple[registry.Change, ...]
    ) -> tuple[registry.Change, ...]:
        """Hold the records that changes remove.

        Args:
            kind: The kind of the records.
            changes: The changes.

        Returns:
            The other changes.
        """
        missing = [change.name for change in changes if change.record is None]
        self.hold(kind, missing, restored=True)
        return tuple(change for change in changes if change.record is not None)

    def list_expiring(self, kind: registry.Kind) -> set[str]:
        """List the held records of a kind that will be removed.

        Args:
            kind: The kind.

        Returns:
            The names of the records.
        """
        return {
            name
            for (held_kind, name), held in self._held_by_key.items()
            if held_kind is kind and held.until < math.inf
        }

    def take_overdue(
        self, store_failed_at: float
    ) -> list[tuple[registry.Kind, str]]:
        """Take the held records that nobody has written again in time.

        Args:
            store_failed_at: The monotonic time of the latest call to the store
                that failed. While it is away again, nobody can write.

        Returns:
            The kind and the name of each.
        """
        now = clock.read_monotonic()
        is_away = now - store_failed_at < GRACE_SECONDS
        overdue = [
            key
            for key, held in self._held_by_key.items()
            if held.until + MAX_AWAY_SECONDS * (is_away and held.restored)
            <= now
        ]
        for key in overdue:
            self._held_by_key.pop(key)
        return overdue

    def note_removed(
        self, kind: registry.Kind, name: str, record: registry.Record | None
    ) -> None:
        """Remember a record that is removed.

        Args:
            kind: The kind of the record.
            name: The name of the record.
            record: The record as it was known; None if it was not.
        """
        self.note_written(kind, name)
        removed = self._removed_by_kind.get(kind)
        if removed is None or record is None:
            return
        removed.pop(name, None)
        removed[name] = _Removed(record, clock.read_monotonic())
        if len(removed) > MAX_REMOVED:
            removed.popitem(last=False)

    def note_written(self, kind: registry.Kind, name: str) -> None:
        """Note that the store has reported a change of a record.

        Args:
            kind: The kind of the record.
            name: The name of the record.
        """
        self._held_by_key.pop((kind, name), None)
        if kind is registry.Kind.engines:
            self._doubted_by_name.pop(name, None)
        elif kind is registry.Kind.part_blocks:
            self.outdated_blocks.pop(name, None)

    def reconcile(
        self,
        kind: registry.Kind,
        change: registry.Change,
        known: registry.Record | None,
        restored: bool,
    ) -> registry.Change | None:
        """Reconcile a difference to the restored store with what is known.

        A record that the store lacks is held for a while. A copy of a record
        that was changed or removed since is ignored, as far as that can be
        told.

        Args:
            kind: The kind of the record.
            change: What the restored store, or another node, has.
            known: The record as it is known; None if there is none.
            restored: Whether it is the first difference since the restoration.

        Returns:
            The change to apply; None if there is none to apply now.
        """
        if change.record is None:
            if restored and kind not in UNHELD_KINDS:
                self.hold(kind, [change.name], restored=True)
            return None if (kind, change.name) in self._held_by_key else change
        chosen = self._choose(change.name, known, change.record, restored)
        if chosen is None or chosen is known:
            return None
        return registry.Change(change.name, chosen)

    def recognize(
        self,
        kind: registry.Kind,
        change: registry.Change,
        known: registry.Record | None,
    ) -> registry.Record | None:
        """Add to a changed record what is known of it from before.

        Args:
            kind: The kind of the record.
            change: The change.
            known: The record before the change; None if there was none.

        Returns:
            The record: an order for a rollout with its identity and state, any
            other as it is.
        """
        order = change.record
        if not isinstance(order, deployment.Rollout):
            return order
        return continue_rollout(
            known or self._find_removed(kind, change.name), order
        )

    def is_holding(self, kind: registry.Kind) -> bool:
        """Tell whether records are held that a restored store lacks.

        Args:
            kind: The kind of the records.

        Returns:
            Whether there are any.
        """
        return any(
            held.restored
            for (held_kind, _), held in self._held_by_key.items()
            if held_kind is kind
        )

    def note_listed(
        self,
        kind: registry.Kind,
        listed: collections.abc.Collection[str],
        from_store: bool,
    ) -> None:
        """Note which records a listing has.

        Args:
            kind: The kind of the records.
            listed: The names of the records.
            from_store: Whether it is a listing of the store, not of another
                node, which may hold blocks itself.
        """
        if from_store or kind is not registry.Kind.part_blocks:
            for name in listed:
                self._held_by_key.pop((kind, name), None)
        if kind is registry.Kind.engines:
            self._doubted_by_name = _select(self._doubted_by_name, listed)
        elif kind is registry.Kind.part_blocks and from_store:
            for gone in set(self.outdated_blocks).difference(listed):
                self.outdated_blocks.pop(gone)

    def take_running(self) -> list[deployment.Engine]:
        """Take the back ends whose entries outlasted ``LAPSE_SECONDS``.

        Returns:
            Their entries.
        """
        now = clock.read_monotonic()
        running = [
            doubted.engine
            for doubted in self._doubted_by_name.values()
            if doubted.until <= now
        ]
        for engine in running:
            self._doubted_by_name.pop(engine.name)
        return running

    def _find_removed(
        self, kind: registry.Kind, name: str
    ) -> registry.Record | None:
        removed = self._removed_by_kind.get(kind, {}).get(name)
        if removed is None:
            return None
        age = clock.read_monotonic() - removed.removed_at
        return None if age > REMOVED_SECONDS else removed.record

    def _choose(
        self,
        name: str,
        known: registry.Record | None,
        listed: registry.Record,
        restored: bool,
    ) -> registry.Record | None:
        if isinstance(listed, deployment.Engine):
            return self._choose_engine(known, listed)
        if isinstance(listed, deployment.PartBlock) and known is None:
            kind = registry.Kind.part_blocks
            was_removed = self._find_removed(kind, name) is not None
            if name in self.outdated_blocks or (restored and was_removed):
                self.outdated_blocks[name] = listed
                return None
        return listed

    def _choose_engine(
        self,
        known: deployment.Engine | None,
        listed: deployment.Engine,
    ) -> deployment.Engine | None:
        if known is not None:
            return known if _is_older(listed, known) else listed
        removed = self._find_removed(registry.Kind.engines, listed.name)
        if removed is None or not _is_older(listed, removed, or_equal=True):
            return listed
        until = clock.read_monotonic() + LAPSE_SECONDS
        self._doubted_by_name[listed.name] = _Doubted(listed, until)
        return None


def continue_rollout(
    known: deployment.Rollout | None, order: deployment.Rollout
) -> deployment.Rollout:
    """Recognize an order that is known, although the store was restored.

    Args:
        known: The order that was last known for the service, if any.
        order: The order as the store has it now.

    Returns:
        The order; if it is the known one, with its identity and with the
        latest state that is known, even if the store no longer has it.
    """
    if known is None or known.version != order.version:
        return order
    known_era, _ = registry.split_revision(known.created)
    era, _ = registry.split_revision(order.created)
    if order.created != known.created and era <= known_era:
        return order
    ahead = _STATE_ORDER.get(known.state, 0) > _STATE_ORDER.get(order.state, 0)
    return dataclasses.replace(
        order,
        identity=known.identity,
        state=known.state if ahead else order.state,
        reported=not ahead,
    )


def _is_older(
    engine: deployment.Engine, known: deployment.Engine, or_equal: bool = False
) -> bool:
    # The count of changes starts anew with each start of a back end.
    if not engine.born:
        return False
    if engine.born != known.born:
        return engine.born < known.born
    return engine.sequence < known.sequence + or_equal


def _select(
    doubted_by_name: dict[str, _Doubted], names: collections.abc.Container[str]
) -> dict[str, _Doubted]:
    return {
        name: doubted
        for name, doubted in doubted_by_name.items()
        if name in names
    }
