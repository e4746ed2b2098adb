"""The registry on the platform's store."""

import types
from urllib import parse

import msgspec

from pimentoway.core import (
    connection,
    deployment,
    error,
    log,
    metric,
    registry,
)
from pimentoway.platform import record

#: Seconds to connect to the store.
CONNECT_SECONDS = 0.5

#: Seconds to wait for an answer of the store; its usual time is 4 ms, and
#: a slow store takes up to a hundred times as long.
ANSWER_SECONDS = 1.5

#: The pages of one listing at the most; a page holds about 500 entries.
PAGES = 40

#: Milliseconds in a second.
MILLISECONDS = 1000

_PREFIX = '/pimentoway/objects'

#: The names of the store for the kinds; the last is the system's own.
PATHS_BY_KIND = types.MappingProxyType(
    {
        registry.Kind.configuration: 'config',
        registry.Kind.engines: 'servers',
        registry.Kind.rollouts: 'rollouts',
        registry.Kind.evacuations: 'evacuations',
        registry.Kind.peers: 'pimentoway-nodes',
    },
)

_OK = 200
_CREATED = 201
_MISSING = 404
_CONFLICT = 409
_GONE = 410
_TOO_MANY = 429
_UNAVAILABLE = 503

_LOG = log.Log('store')


class _Page(msgspec.Struct, rename='pascal'):
    entries: list[msgspec.Raw] = msgspec.field(
        default_factory=list,
        name='Items',
    )
    has_more: bool = False
    store_revision: int = 0


class _Event(msgspec.Struct, rename='pascal'):
    removed: bool = False
    object: msgspec.Raw = msgspec.Raw(b'null')


class _Watched(msgspec.Struct, rename='pascal'):
    store_revision: int = 0
    # The only key of the store that is not in Pascal case.
    events: list[_Event] = msgspec.field(default_factory=list, name='events')


class PlatformRegistry(registry.Registry):
    """The registry on the platform's store, over HTTP."""

    def __init__(self, address: str) -> None:
        """Name the store.

        Args:
            address: Its IP number and port.
        """
        self._address = address
        self._pool = connection.Pool()

    def list_records(self, kind: registry.Kind) -> registry.Listing:
        """List all records of a kind, see ``Registry.list_records``.

        Args:
            kind: The kind.

        Returns:
            The records.

        Raises:
            PlatformError: If the listing has too many pages.
        """
        changes: list[registry.Change] = []
        revision = 0
        for _ in range(PAGES):
            after = changes[-1].name if changes else ''
            page = self._read_page(kind, after)
            # Changes after the first page are seen again by the watch.
            revision = revision or page.store_revision
            changes.extend(_decode_object(kind, raw) for raw in page.entries)
            if not page.has_more:
                return registry.Listing(revision, _collect_records(changes))
        raise error.PlatformError('too many pages', 'list', self._address)

    def watch_records(
        self, kind: registry.Kind, revision: int, seconds: float
    ) -> registry.Changes:
        """Wait for changes, see ``Registry.watch_records``.

        Args:
            kind: The kind.
            revision: The revision.
            seconds: The longest wait.

        Returns:
            The changes, none if nothing changed.
        """
        wait = int(seconds * MILLISECONDS)
        path = f'{_make_path(kind)}?Watch={revision}&WaitMs={wait}'
        answer = self._call('GET', path, patience=seconds)
        watched = _decode(answer.body, _Watched)
        changes = []
        for event in watched.events:
            change = _decode_object(kind, event.object)
            if event.removed:
                change = registry.Change(change.name, None)
            if change.name:
                changes.append(change)
        return registry.Changes(
            max(revision, watched.store_revision), tuple(changes)
        )

    def put_peer(self, peer: deployment.Peer) -> None:
        """Register a node, see ``Registry.put_peer``.

        Args:
            peer: The entry.
        """
        kind = registry.Kind.peers
        body = {
            'Metadata': {'Name': peer.name},
            'Spec': record.encode_peer(peer),
        }
        try:
            self._call('POST', _make_path(kind), body)
        except error.PlatformConflictError:
            # An entry of the node's earlier run is replaced.
            self._call('PUT', _make_path(kind, peer.name), body)

    def remove_peer(self, name: str) -> None:
        """Remove the entry of a node, see ``Registry.remove_peer``.

        Args:
            name: The name of the node.
        """
        self._call('DELETE', _make_path(registry.Kind.peers, name))

    def report_rollout(self, rollout: deployment.Rollout, state: str) -> None:
        """Report on a rollout, see ``Registry.report_rollout``.

        Args:
            rollout: The order.
            state: What became of it.
        """
        path = _make_path(registry.Kind.rollouts, rollout.service)
        body = {
            'Metadata': {
                'Name': rollout.service,
                'Revision': rollout.revision,
            },
            'Status': record.encode_rollout(rollout, state),
        }
        self._call('PUT', f'{path}/status', body)

    def _read_page(self, kind: registry.Kind, after: str) -> _Page:
        # The key says revision, but it takes the name of the last object.
        query = f'?{parse.urlencode({"AfterRev": after})}' if after else ''
        answer = self._call('GET', f'{_make_path(kind)}{query}')
        return _decode(answer.body, _Page)

    def _call(
        self,
        method: str,
        path: str,
        body: dict | None = None,
        patience: float = 0,
    ) -> connection.Answer:
        metric.PLATFORM_CALLS.labels(method).inc()
        call = connection.Call(
            address=self._address,
            method=method,
            path=path,
            body=b'' if body is None else msgspec.json.encode(body),
            headers=(('Content-Type', 'application/json'),),
            connect_seconds=CONNECT_SECONDS,
            first_byte_seconds=ANSWER_SECONDS + patience,
            gap_seconds=ANSWER_SECONDS,
        )
        try:
            answer = self._pool.fetch(call)
        except error.ConnectError as fault:
            raise error.PlatformUnavailableError(
                fault.reason, method, path
            ) from fault
        except error.PeerError as fault:
            raise error.PlatformAmbiguousError(
                fault.reason, method, path
            ) from fault
        _check_status(answer, method, path)
        return answer


def _make_path(kind: registry.Kind, name: str = '') -> str:
    path = f'{_PREFIX}/{PATHS_BY_KIND[kind]}'
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
    if status in {_TOO_MANY, _UNAVAILABLE}:
        raise error.PlatformUnavailableError(text, step, peer)
    if status == _MISSING:
        raise error.PlatformRefusedError(text, step, peer)
    raise error.PlatformAmbiguousError(text, step, peer)


def _decode(body: bytes, kind: type) -> object:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        raise error.PlatformAmbiguousError(
            f'the answer can not be read: {fault}', 'decode'
        ) from fault


def _collect_records(
    changes: list[registry.Change],
) -> dict[str, registry.Record]:
    return {
        change.name: change.record
        for change in changes
        if change.record is not None
    }


def _decode_object(kind: registry.Kind, raw: bytes) -> registry.Change:
    # One object that can't be decoded must not hide the others.
    name = ''
    try:
        name = msgspec.json.decode(raw, type=_Named).metadata.name
        stored = msgspec.json.decode(raw, type=record.StoredObject)
        return registry.Change(name, record.decode(kind, stored))
    except (msgspec.MsgspecError, UnicodeDecodeError) as fault:
        _LOG.write(
            'skipped an object.',
            kind=kind.value,
            name=name,
            reason=str(fault),
        )
        return registry.Change(name, None)


class _NamedMetadata(msgspec.Struct, rename='pascal'):
    name: str


class _Named(msgspec.Struct, rename='pascal'):
    metadata: _NamedMetadata
