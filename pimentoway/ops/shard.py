"""A shard of the claim log: a chain of segments in the platform's store.

Only the last segment is appended to, by a conditional update, which alone
decides which claim of a key is first. Many entries share one update.
"""

import dataclasses
import enum

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, codec, error, log
from pimentoway.objects import store
from pimentoway.ops import claim

#: The size above which a segment is sealed, in bytes.
SEGMENT_BYTES = 64_000

#: The least time for which a key is remembered, in seconds.
RETENTION_SECONDS = 86_400

#: Seconds between two updates of a shard, in which entries are collected.
BATCH_SECONDS = 0.1

#: The attempts to write one batch before its entries get an error.
MAX_ATTEMPTS = 8

#: The bound of the pause between attempts, which grows linearly, in seconds.
MAX_PAUSE_SECONDS = 1

_LOG = log.Log('claim')


@dataclasses.dataclass(frozen=True)
class Segment:
    """A segment of a shard.

    Attributes:
        number: The position of the segment in its shard, from 0.
        opened: The wall-clock time at which it was opened.
        sealed: Whether it takes no further entries.
        entries: The entries in order.
    """

    number: int
    opened: float
    sealed: bool = False
    entries: tuple[claim.Entry, ...] = ()


class WriteStatus(enum.Enum):
    """The result of one attempt to write a batch.

    `overtaken` means that another node updated the segment first, `unsure`
    that the platform gave no answer and the update may still take effect.
    """

    written = 'written'
    overtaken = 'overtaken'
    unsure = 'unsure'


@dataclasses.dataclass(frozen=True)
class Pending:
    """An entry that waits to be written.

    Attributes:
        entry: The entry.
        future: Set to the latest entry of the log for the key, or to an
            error of the platform.
    """

    entry: claim.Entry
    future: gevent_event.AsyncResult


class Shard:
    """One shard of the log with this node's copy of its latest entries.

    `_stale` tells that the copy may miss entries of other nodes, `_fresh`
    that it was read from the platform since the last write.
    `_open_segment` is the segment to append to and `_open_version` its
    version at the platform, 0 if it does not exist there yet.
    """

    def __init__(self, number: int, object_store: store.Store) -> None:
        """Create the shard; it is read at the first write.

        Args:
            number: The number of the shard.
            object_store: The platform's object service.
        """
        self._number = number
        self._store = object_store
        self._latest_by_key: dict[str, claim.Entry] = {}
        self._open_segment: Segment | None = None
        self._open_version = 0
        self._stale = True
        self._fresh = False
        self._pending: list[Pending] = []
        self._last_write: float = 0
        self._writer: gevent.Greenlet | None = None

    def append(self, entry: claim.Entry) -> gevent_event.AsyncResult:
        """Append an entry with the next update.

        Args:
            entry: The entry.

        Returns:
            Set to the latest entry of the log for the key afterwards, or to
            an error of the platform.
        """
        future = gevent_event.AsyncResult()
        self._pending.append(Pending(entry, future))
        if not self._writer:
            self._writer = gevent.spawn(self._write_pending)
        return future

    def _write_pending(self) -> None:
        # Only one update is under way at a time. Entries that are appended
        # meanwhile share the next one.
        try:
            while self._pending:
                gevent.sleep(self._compute_pause())
                batch = self._pending
                self._pending = []
                self._write_batch(batch)
        finally:
            self._writer = None

    def _compute_pause(self) -> float:
        # The first entry after an idle time is written at once.
        now = clock.read_monotonic()
        pause = max(0, self._last_write + BATCH_SECONDS - now)
        self._last_write = now + pause
        return pause

    def _write_batch(self, batch: list[Pending]) -> None:
        try:
            self._commit(batch)
        except error.PlatformError as fault:
            self._fail_batch(batch, fault)
            return
        for pending in batch:
            pending.future.set(self._latest_by_key.get(pending.entry.key))

    def _fail_batch(
        self, batch: list[Pending], fault: error.PlatformError
    ) -> None:
        # An entry that the copy already rules out is answered from the copy,
        # so a repeat gets the known outcome also while the platform is out.
        for pending in batch:
            latest = self._latest_by_key.get(pending.entry.key)
            if latest and not claim.is_valid_successor(latest, pending.entry):
                pending.future.set(latest)
            else:
                pending.future.set_exception(fault)

    def _commit(self, batch: list[Pending]) -> None:
        entries = [pending.entry for pending in batch]
        unsure = False
        for attempt in range(MAX_ATTEMPTS):
            status = self._attempt(entries, unsure)
            if status is WriteStatus.written:
                return
            # An unsure update may take effect late. Another attempt does no
            # harm, as every update names the version that it replaces.
            unsure = unsure or status is WriteStatus.unsure
            gevent.sleep(MAX_PAUSE_SECONDS / MAX_ATTEMPTS * attempt)
        raise error.PlatformAmbiguousError(
            'the claim could not be recorded',
            'claim',
            f'shard {self._number}',
        )

    def _attempt(self, entries: list[claim.Entry], unsure: bool) -> WriteStatus:
        try:
            written = self._try_commit(entries)
        except error.PlatformUnavailableError:
            if not unsure:
                raise
            return WriteStatus.unsure
        except error.PlatformAmbiguousError:
            return WriteStatus.unsure
        return WriteStatus.written if written else WriteStatus.overtaken

    def _try_commit(self, entries: list[claim.Entry]) -> bool:
        if self._stale:
            self._refresh()
        added = self._select_valid(entries)
        if len(added) < len(entries) and not self._fresh:
            # An entry is ruled out by an earlier one of its key, which its
            # caller gets instead. The copy of that one may be out of date, so
            # it is read anew.
            self._refresh()
            added = self._select_valid(entries)
        self._stale = True
        self._fresh = False
        if added:
            try:
                self._append(added)
            except error.PlatformConflictError:
                return False
        self._stale = False
        return True

    def _refresh(self) -> None:
        if self._open_segment is None:
            self._load()
        else:
            self._read_open()
        self._stale = False
        self._fresh = True

    def _select_valid(self, entries: list[claim.Entry]) -> list[claim.Entry]:
        latest_by_key = dict(self._latest_by_key)
        added = []
        for entry in entries:
            latest = latest_by_key.get(entry.key)
            if claim.is_valid_successor(latest, entry):
                latest_by_key[entry.key] = entry
                added.append(entry)
        return added

    def _append(self, added: list[claim.Entry]) -> None:
        segment = dataclasses.replace(
            self._open_segment,
            entries=self._open_segment.entries + tuple(added),
        )
        body = codec.encode_json(segment).decode()
        if len(body) > SEGMENT_BYTES:
            segment = dataclasses.replace(segment, sealed=True)
            body = codec.encode_json(segment).decode()
        stored = self._store.write(
            store.CLAIM_KIND,
            self._name_segment(segment.number),
            body,
            self._open_version,
        )
        self._index_segment(segment)
        self._open_segment = segment
        self._open_version = stored.version
        if segment.sealed:
            self._open_next(segment.number + 1)
            gevent.spawn(self._clean)

    def _clean(self) -> None:
        try:
            self._remove_old_segments()
        except error.PlatformError as fault:
            _LOG.write(
                'removing old segments failed, '
                f'trying again when the next one is sealed: {fault}.'
            )

    def _load(self) -> None:
        listed = self._store.list_objects(
            store.CLAIM_KIND,
            self._name_segment(None),
        )
        segments = sorted(
            (_decode_segment(stored) for stored in listed.changed),
            key=_read_number,
        )
        self._latest_by_key.clear()
        self._open_next(0)
        for segment in segments:
            self._index_segment(segment)
        if segments:
            self._open_segment = segments[-1]
            self._read_open()

    def _read_open(self) -> None:
        # Follows the chain to its last segment, which may not exist yet.
        found = True
        while found:
            stored = self._store.read(
                store.CLAIM_KIND,
                self._name_segment(self._open_segment.number),
            )
            found = stored.version > 0
            if not found:
                return
            segment = _decode_segment(stored)
            self._index_segment(segment)
            self._open_segment = segment
            self._open_version = stored.version
            found = segment.sealed
            if found:
                self._open_next(segment.number + 1)

    def _remove_old_segments(self) -> None:
        """Remove the segments that were sealed before the retention time.

        A segment is sealed when its successor is opened.
        """
        listed = self._store.list_objects(
            store.CLAIM_KIND,
            self._name_segment(None),
        )
        kept_from = clock.read_wall() - RETENTION_SECONDS
        successor: Segment | None = None
        for stored in reversed(listed.changed):
            segment = _decode_segment(stored)
            if successor and successor.opened < kept_from:
                self._store.remove(stored.kind, stored.name, stored.version)
                self._unindex_segment(segment)
            successor = segment

    def _unindex_segment(self, segment: Segment) -> None:
        for entry in segment.entries:
            latest = self._latest_by_key.get(entry.key)
            if latest and latest.claim_id == entry.claim_id:
                self._latest_by_key.pop(entry.key)

    def _open_next(self, number: int) -> None:
        self._open_segment = Segment(number, clock.read_wall())
        self._open_version = 0

    def _index_segment(self, segment: Segment) -> None:
        for entry in segment.entries:
            self._latest_by_key[entry.key] = entry

    def _name_segment(self, number: int | None) -> str:
        # Without a number: the common prefix of the shard's segments.
        prefix = f'{self._number:03}-'
        return prefix if number is None else f'{prefix}{number:08}'


def _decode_segment(stored: store.Object) -> Segment:
    return codec.decode_json(stored.body, Segment, 'platform')


def _read_number(segment: Segment) -> int:
    return segment.number
