"""Reads and writes the registry in the platform's store, over HTTP."""

import types
from urllib import parse

import gevent
import msgspec

from pimentoway.core import (
    connection,
    deployment,
    duty,
    error,
    log,
    metric,
    registry,
)
from pimentoway.platform import duty_record, record, store_answer

#: The longest time to connect to the store.
CONNECT_SECONDS = 0.5

#: The longest wait for an answer of the store, in seconds. It usually takes
#: 4 ms, and up to a hundred times as long when the store is slow.
ANSWER_SECONDS = 1.5

#: The most pages of one listing; a page holds about 500 objects.
MAX_PAGES = 40

#: Milliseconds in a second.
MILLISECONDS = 1000

#: Counts how often the store was restored from a copy; in all its answers.
ERA_HEADER = 'store-era'

#: The most digits of an era that are read.
MAX_ERA_DIGITS = 9

_PATH_PREFIX = '/pimentoway/objects'

#: The path segment of each kind in the store. `pimentoway-nodes` is this
#: system's own; foreign writers create the other objects.
PATHS_BY_KIND = types.MappingProxyType(
    {
        registry.Kind.configuration: 'config',
        registry.Kind.engines: 'servers',
        registry.Kind.rollouts: 'rollouts',
        registry.Kind.evacuations: 'evacuations',
        registry.Kind.peers: 'pimentoway-nodes',
        registry.Kind.part_blocks: 'pimentoway-part-blocks',
    },
)

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503

_LOG = log.Log('store')


class PlatformRegistry(registry.Registry, duty.DutyStore):
    """The registry and the lease of the duties in the store, over HTTP.

    An object that can't be decoded is logged and left out of listings; a
    watch reports it as removed.
    """

    def __init__(self, address: str) -> None:
        """Set the address of the store; connections are made on demand.

        Args:
            address: The IP number and port of the store.
        """
        self._address = address
        self._pool = connection.Pool()
        self._era = 0
        self._era_by_watch: dict[gevent.Greenlet, int] = {}

    def list_records(self, kind: registry.Kind) -> registry.Listing:
        """List all records of a kind page by page.

        Args:
            kind: The kind of the records.

        Returns:
            The records, and the store revision of the first page.

        Raises:
            PlatformError: If the listing has more than ``MAX_PAGES`` pages.
            PlatformUnavailableError: If the store was restored meanwhile.
        """
        changes: list[registry.Change] = []
        revision = 0
        for _ in range(MAX_PAGES):
            # An unreadable name can't be used to continue.
            names = [change.name for change in changes if change.name]
            era, page = self._read_page(kind, names[-1] if names else '')
            # A watch from the first page's revision also reports what changed
            # while the later pages were read.
            revision = revision or registry.join_revision(
                era, page.store_revision
            )
            if registry.split_revision(revision)[0] != era:
                raise error.PlatformUnavailableError(
                    'the store was restored between two pages', 'list'
                )
            decoder = store_answer.ObjectDecoder(kind, era)
            changes.extend(decoder.decode(raw) for raw in page.entries)
            if not page.has_more:
                return registry.Listing(revision, _collect_records(changes))
        raise error.PlatformError(
            'listing has too many pages', 'list', self._address
        )

    def watch_records(
        self, kind: registry.Kind, revision: int, seconds: float
    ) -> registry.Changes:
        """Wait for changes by a long poll of the store.

        Args:
            kind: The kind of the records.
            revision: Only changes after this store revision are returned.
            seconds: How long the store waits for a change.

        Returns:
            The changes and the revision to continue from; no changes if the
            wait ended without any.
        """
        era, number = registry.split_revision(revision)
        milliseconds = int(seconds * MILLISECONDS)
        path = f'{_make_path(kind)}?Watch={number}&WaitMs={milliseconds}'
        answer = self._call_in_era(path, era, seconds)
        watch_answer = store_answer.decode_watch(answer.body)
        reached = registry.join_revision(era, watch_answer.store_revision)
        return registry.Changes(
            max(revision, reached),
            _decode_events(kind, watch_answer.events, era),
        )

    def check(self) -> None:
        """Ask the store for an answer that may be seconds old.

        Such calls cost a tenth, and evacuations are few.
        """
        path = _make_path(registry.Kind.evacuations)
        answer = self._fetch('GET', f'{path}?StaleOk=1')
        _check_status(answer, 'check', path)

    def put_peer(self, peer: deployment.Peer) -> None:
        """Create the entry of a node, or replace that of an earlier run.

        Args:
            peer: The node.
        """
        # The entry of an earlier run of this node may be left over.
        self._put(registry.Kind.peers, peer.name, record.encode_peer(peer))

    def remove_peer(self, name: str) -> None:
        """Remove the entry of a node.

        Args:
            name: The name of the node.
        """
        self._call('DELETE', _make_path(registry.Kind.peers, name))

    def put_part_block(self, block: deployment.PartBlock) -> None:
        """Create or replace the block of a part of prompts.

        Args:
            block: The block.
        """
        self._put(
            registry.Kind.part_blocks,
            block.name,
            record.encode_part_block(block),
        )

    def remove_part_block(self, block: deployment.PartBlock) -> None:
        """Remove the block of a part of prompts.

        Args:
            block: The block.
        """
        self._call('DELETE', _make_path(registry.Kind.part_blocks, block.name))

    def report_rollout(self, rollout: deployment.Rollout, state: str) -> None:
        """Write the status of a rollout, unless its order has changed.

        Args:
            rollout: The rollout; its revision makes the write conditional.
            state: ``active``, ``complete`` or ``reverted``.

        Raises:
            PlatformConflictError: If the store was restored since the order
                was read, so that its revision may belong to another change.
        """
        era, number = registry.split_revision(rollout.revision)
        if self._era > era:
            raise error.PlatformConflictError(
                'the store was restored', 'report', rollout.service
            )
        path = _make_path(registry.Kind.rollouts, rollout.service)
        body = {
            'Metadata': {
                'Name': rollout.service,
                'Revision': number,
            },
            'Status': record.encode_rollout(rollout, state),
        }
        answer = self._call('PUT', f'{path}/status', body)
        if self._read_era(answer) != era:
            raise error.PlatformConflictError(
                'the store was restored', 'report', rollout.service
            )

    def read_lease(self) -> duty.StoredDuty:
        """Read the lease of the duties.

        Returns:
            The lease at its revision.
        """
        answer = self._call('GET', f'{_PATH_PREFIX}/{duty_record.KIND}')
        page = store_answer.decode_page(answer.body)
        return duty_record.decode_page(page, self._read_era(answer))

    def write_lease(self, lease: duty.DutyRecord, revision: int) -> int:
        """Write the lease of the duties if it has not changed.

        Args:
            lease: The lease.
            revision: The revision that was read; the lease is created if its
                number is 0.

        Returns:
            The revision of the write. A lease that has another revision, or a
            store that was restored since, raises ``PlatformConflictError``. In
            the latter case the write may have taken effect; the record tells
            its era.
        """
        era, number = registry.split_revision(revision)
        name = duty_record.LEASE_NAME
        self._check_lease_era(era, self._era)
        metadata: dict[str, object] = {'Name': name}
        path = f'{_PATH_PREFIX}/{duty_record.KIND}'
        if number:
            metadata['Revision'] = number
            path = f'{path}/{name}'
        body = {
            'Metadata': metadata,
            'Spec': duty_record.encode_lease(lease, era),
        }
        answer = self._call('PUT' if number else 'POST', path, body)
        self._check_lease_era(era, self._read_era(answer))
        return registry.join_revision(
            era, duty_record.decode_revision(answer.body)
        )

    def _check_lease_era(self, era: int, latest: int) -> None:
        if era != latest:
            raise error.PlatformConflictError(
                f'the store was restored, era {latest}', 'write', 'lease'
            )

    def _put(
        self, kind: registry.Kind, name: str, spec: dict[str, object]
    ) -> None:
        body = {'Metadata': {'Name': name}, 'Spec': spec}
        try:
            self._call('POST', _make_path(kind), body)
        except error.PlatformConflictError:
            self._call('PUT', _make_path(kind, name), body)

    def _read_page(
        self, kind: registry.Kind, after: str
    ) -> tuple[int, store_answer.Page]:
        # Despite its name, AfterRev takes the name of the last object seen.
        query = f'?{parse.urlencode({"AfterRev": after})}' if after else ''
        answer = self._call('GET', f'{_make_path(kind)}{query}')
        return self._read_era(answer), store_answer.decode_page(answer.body)

    def _call_in_era(
        self, path: str, era: int, seconds: float
    ) -> connection.Answer:
        # A revision means nothing in another era: the same number may have
        # been given out again.
        current = gevent.getcurrent()
        self._era_by_watch[current] = era
        try:
            self._check_era(era, self._era)
            answer = self._call('GET', path, wait_seconds=seconds)
        finally:
            self._era_by_watch.pop(current, None)
        self._check_era(era, self._read_era(answer))
        return answer

    def _check_era(self, era: int, latest: int) -> None:
        if latest > era:
            raise error.WatchExpiredError(
                f'the store was restored, era {latest}', 'watch', self._address
            )

    def _read_era(self, answer: connection.Answer) -> int:
        text = answer.headers.get(ERA_HEADER, '')
        if not (text.isascii() and text.isdigit()):
            # Without the header nothing shows that the store was restored.
            return self._era
        return min(int(text[:MAX_ERA_DIGITS]), registry.MAX_ERA)

    def _note_era(self, answer: connection.Answer) -> None:
        era = self._read_era(answer)
        if era < self._era:
            raise error.PlatformAmbiguousError(
                f'late answer of era {era}, now {self._era}', 'call'
            )
        if era == self._era:
            return
        _LOG.write(
            'the era of the store changed.',
            era=era,
            before=self._era,
            watches=len(self._era_by_watch),
        )
        self._era = era
        expired = error.WatchExpiredError('the store was restored', 'watch')
        for watch, watched in self._era_by_watch.items():
            # Nothing else may end a wait that began before the restoration.
            if watched < era and watch is not gevent.getcurrent():
                gevent.kill(watch, expired)

    def _call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        wait_seconds: float = 0,
    ) -> connection.Answer:
        answer = self._fetch(method, path, body, wait_seconds)
        self._note_era(answer)
        _check_status(answer, method, path)
        return answer

    def _fetch(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        wait_seconds: float = 0,
    ) -> connection.Answer:
        metric.PLATFORM_CALLS.labels(method).inc()
        call = connection.Call(
            address=self._address,
            method=method,
            path=path,
            body=b'' if body is None else msgspec.json.encode(body),
            headers=(('Content-Type', 'application/json'),),
            connect_seconds=CONNECT_SECONDS,
            first_byte_seconds=ANSWER_SECONDS + wait_seconds,
            gap_seconds=ANSWER_SECONDS,
        )
        try:
            return self._pool.fetch(call)
        except error.ConnectError as fault:
            raise error.PlatformUnavailableError(
                fault.reason, method, path
            ) from fault
        except error.PeerError as fault:
            raise error.PlatformAmbiguousError(
                fault.reason, method, path
            ) from fault


def _make_path(kind: registry.Kind, name: str = '') -> str:
    path = f'{_PATH_PREFIX}/{PATHS_BY_KIND[kind]}'
    return f'{path}/{parse.quote(name, safe="")}' if name else path


def _check_status(answer: connection.Answer, step: str, peer: str) -> None:
    status = answer.status
    if status in {_OK, _CREATED}:
        return
    text = f'status {status}'
    if status == _CONFLICT:
        raise error.PlatformConflictError(text, step, peer)
    if status == _GONE:
        raise error.WatchExpiredError(text, step, peer)
    if status in {_TOO_MANY_REQUESTS, _UNAVAILABLE}:
        raise error.PlatformUnavailableError(text, step, peer)
    if status == _NOT_FOUND:
        raise error.PlatformRefusedError(text, step, peer)
    raise error.PlatformAmbiguousError(text, step, peer)


def _collect_records(
    changes: list[registry.Change],
) -> dict[str, registry.Record]:
    return {
        change.name: change.record
        for change in changes
        if change.record is not None
    }


def _decode_events(
    kind: registry.Kind, events: list[store_answer.Event], era: int
) -> tuple[registry.Change, ...]:
    decoder = store_answer.ObjectDecoder(kind, era)
    changes = []
    for event in events:
        change = decoder.decode(event.object)
        if event.removed:
            change = registry.Change(change.name, None)
        if change.name:
            changes.append(change)
    return tuple(changes)
