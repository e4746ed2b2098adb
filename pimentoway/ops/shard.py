"""A shard of the claim log: a chain of segments, objects of the platform.

Only the last segment is appended to, by a conditional update that alone
decides which claim was first. Many entries share one update.
"""

import dataclasses
import enum

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, codec, error, log
from pimentoway.objects import store
from pimentoway.ops import claim

#: The size from which a segment is sealed, in bytes.
SEGMENT_BYTES = 64_000

#: Seconds for which a key is remembered at least.
RETENTION_SECONDS = 86_400

#: Seconds between two updates of a shard, in which entries gather.
SHARE_SECONDS = 0.1

#: The attempts at one batch before its requests are refused.
ATTEMPTS = 8

#: The longest pause between attempts, in seconds.
PAUSE_SECONDS = 1

_LOG = log.Log('claim')


@dataclasses.dataclass(frozen=True)
class Segment:
    """A segment of a shard.

    Attributes:
        number: The position of the segment in its shard.
        opened: The wall-clock time at which it was opened.
        sealed: Whether it takes no further entries.
        entries: The entries in order.
    """

    number: int
    opened: float
    sealed: bool = False
    entries: tuple[claim.Entry, ...] = ()


class Progress(enum.Enum):
    """What became of an attempt to update a segment."""

    written = 'written'
    overtaken = 'overtaken'
    unsure = 'unsure'


@dataclasses.dataclass(frozen=True)
class Pending:
    """An entry that waits to be written.

    Attributes:
        entry: The entry.
        written: Set to the entry that the log holds for the key.
    """

    entry: claim.Entry
    written: gevent_event.AsyncResult


class Shard:
    """One shard of the log, as one node knows it."""

    def __init__(self, number: int, object_store: store.Store) -> None:
        """Know nothing yet.

        Args:
            number: The number of the shard.
            object_store: The platform's object service.
        """
        self._number = number
        self._store = object_store
        self._latest_by_key: dict[str, claim.Entry] = {}
        self._open: Segment | None = None
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
            Set to the entry that the log holds for the key afterwards, or to
            an error of the platform.
        """
        written = gevent_event.AsyncResult()
        self._pending.append(Pending(entry, written))
        if not self._writer:
            self._writer = gevent.spawn(self._write_all)
        return written

    def _write_all(self) -> None:
        # One update is under way at a time; what comes meanwhile shares the
        # next one.
        try:
            while self._pending:
                gevent.sleep(self._measure_pause())
                batch = self._pending
                self._pending = []
                self._write_batch(batch)
        finally:
            self._writer = None

    def _measure_pause(self) -> float:
        # The first entry after a quiet time is written at once.
        now = clock.read_monotonic()
        pause = max(0, self._last_write + SHARE_SECONDS - now)
        self._last_write = now + pause
        return pause

    def _write_batch(self, batch: list[Pending]) -> None:
        try:
            self._commit(batch)
        except error.PlatformError as fault:
            self._refuse_batch(batch, fault)
            return
        for pending in batch:
            pending.written.set(self._latest_by_key.get(pending.entry.key))

    def _refuse_batch(
        self, batch: list[Pending], fault: error.PlatformError
    ) -> None:
        # An earlier copy's entry is known whether or not the platform is out.
        for pending in batch:
            known = self._latest_by_key.get(pending.entry.key)
            if known and not claim.may_follow(known, pending.entry):
                pending.written.set(known)
            else:
                pending.written.set_exception(fault)

    def _commit(self, batch: list[Pending]) -> None:
        entries = [pending.entry for pending in batch]
        unsure = False
        for attempt in range(ATTEMPTS):
            progress = self._attempt(entries, unsure)
            if progress is Progress.written:
                return
            # An unsure update may take effect late; as every update names the
            # version that it replaces, another attempt does no harm.
            unsure = unsure or progress is Progress.unsure
            gevent.sleep(PAUSE_SECONDS / ATTEMPTS * attempt)
        raise error.PlatformAmbiguousError(
            'the claim could not be recorded',
            'claim',
            f'shard {self._number}',
        )

    def _attempt(self, entries: list[claim.Entry], unsure: bool) -> Progress:
        try:
            written = self._try_commit(entries)
        except error.PlatformUnavailableError:
            if not unsure:
                raise
            return Progress.unsure
        except error.PlatformAmbiguousError:
            return Progress.unsure
        return Progress.written if written else Progress.overtaken

    def _try_commit(self, entries: list[claim.Entry]) -> bool:
        if self._stale:
            self._refresh()
        added = self._select(entries)
        if len(added) < len(entries) and not self._fresh:
            # Somebody else's entry decides, so its latest state is wanted.
            self._refresh()
            added = self._select(entries)
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
        if self._open is None:
            self._load()
        else:
            self._read_open()
        self._stale = False
        self._fresh = True

    def _select(self, entries: list[claim.Entry]) -> list[claim.Entry]:
        latest_by_key = dict(self._latest_by_key)
        added = []
        for entry in entries:
            known = latest_by_key.get(entry.key)
            if claim.may_follow(known, entry):
                latest_by_key[entry.key] = entry
                added.append(entry)
        return added

    def _append(self, added: list[claim.Entry]) -> None:
        segment = dataclasses.replace(
            self._open,
            entries=self._open.entries + tuple(added),
        )
        body = codec.encode_json(segment).decode()
        if len(body) > SEGMENT_BYTES:
            segment = dataclasses.replace(segment, sealed=True)
            body = codec.encode_json(segment).decode()
        written = self._store.write(
            store.CLAIM_KIND,
            self._name_segment(segment.number),
            body,
            self._open_version,
        )
        self._learn(segment)
        self._open = segment
        self._open_version = written.version
        if segment.sealed:
            self._open_next(segment.number + 1)
            gevent.spawn(self._clean)

    def _clean(self) -> None:
        try:
            self._remove_old()
        except error.PlatformError as fault:
            _LOG.write(f'old segments stay for now: {fault}.')

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
            self._learn(segment)
        if segments:
            self._open = segments[-1]
            self._read_open()

    def _read_open(self) -> None:
        # Follows the chain to the segment that is open now.
        found = True
        while found:
            stored = self._store.read(
                store.CLAIM_KIND,
                self._name_segment(self._open.number),
            )
            found = stored.version > 0
            if not found:
                return
            segment = _decode_segment(stored)
            self._learn(segment)
            self._open = segment
            self._open_version = stored.version
            found = segment.sealed
            if found:
                self._open_next(segment.number + 1)

    def _remove_old(self) -> None:
        """Remove the segments whose keys need not be remembered any more.

        A segment was sealed when the next one was opened.
        """
        listed = self._store.list_objects(
            store.CLAIM_KIND,
            self._name_segment(None),
        )
        kept_from = clock.read_wall() - RETENTION_SECONDS
        later: Segment | None = None
        for stored in reversed(listed.changed):
            segment = _decode_segment(stored)
            if later and later.opened < kept_from:
                self._store.remove(stored.kind, stored.name, stored.version)
                self._forget(segment)
            later = segment

    def _forget(self, segment: Segment) -> None:
        for entry in segment.entries:
            known = self._latest_by_key.get(entry.key)
            if known and known.claim_id == entry.claim_id:
                self._latest_by_key.pop(entry.key)

    def _open_next(self, number: int) -> None:
        self._open = Segment(number, clock.read_wall())
        self._open_version = 0

    def _learn(self, segment: Segment) -> None:
        for entry in segment.entries:
            self._latest_by_key[entry.key] = entry

    def _name_segment(self, number: int | None) -> str:
        prefix = f'{self._number:03}-'
        return prefix if number is None else f'{prefix}{number:08}'


def _decode_segment(stored: store.Object) -> Segment:
    return codec.decode_json(stored.body, Segment, 'platform')


def _read_number(segment: Segment) -> int:
    return segment.number
