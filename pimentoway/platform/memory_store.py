"""A stand-in for the platform's store: an HTTP server, objects in memory."""

import collections
import dataclasses
import types
import typing
from urllib import parse

import msgspec
from gevent import event as gevent_event

from pimentoway.core import clock, registry, serving
from pimentoway.platform import store

#: The most objects in one page of a listing.
OBJECTS_PER_PAGE = 20

#: The most connections at once, and the seconds for which one may stall.
MAX_CONNECTIONS = 500
STALL_SECONDS = 60.0

#: Milliseconds in a second.
MILLISECONDS = 1000

_PATH_PREFIX = '/pimentoway/objects/'
_SPEC = 'Spec'
_STATUS = 'Status'

_STATUS_LINES_BY_CODE = types.MappingProxyType(
    {
        200: '200 OK',
        201: '201 Created',
        404: '404 Not Found',
        409: '409 Conflict',
        410: '410 Gone',
        503: '503 Service Unavailable',
    },
)

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class _LoggedEvent:
    revision: int
    kind: str
    event: Json


@dataclasses.dataclass(frozen=True)
class _Undo:
    time: float
    revision: int
    kind: str
    name: str
    replaced: Json | None


class MemoryStore:
    """An in-memory store that keeps its history until it is compacted.

    Attributes:
        address: Its IP number and port.
        revision: The revision of the last change; 1 when empty.
        era: Counts how often it was restored from a copy; starts at 1.
        calls: The calls answered so far.
    """

    def __init__(self) -> None:
        """Start listening on a free port of localhost."""
        self.revision = 1
        self.era = 1
        self.calls = 0
        self._undo_log: list[_Undo] = []
        self._compacted_revision = 0
        self._objects_by_kind: dict[str, dict[str, Json]] = (
            collections.defaultdict(dict)
        )
        self._history: list[_LoggedEvent] = []
        self._change_signal = gevent_event.Event()
        self._server = serving.make_server(
            '127.0.0.1', 0, self._handle_request, MAX_CONNECTIONS, STALL_SECONDS
        )
        self._server.start()
        self.address = f'127.0.0.1:{self._server.server_port}'
        self._proxies_by_address: dict[str, str] = {}

    def substitute_address(self, address: str, proxy: str) -> None:
        """Store another address in place of the one that a node registers.

        Args:
            address: The address that the node registers.
            proxy: The address of the proxy, which other nodes then read.
        """
        self._proxies_by_address[address] = proxy

    def put(self, kind: registry.Kind, name: str, spec: Json) -> None:
        """Create or replace an object, as a foreign writer does.

        Args:
            kind: The kind of the object.
            name: The name of the object.
            spec: The ``Spec`` of the object.
        """
        self._write(store.PATHS_BY_KIND[kind], name, {_SPEC: spec})

    def remove(self, kind: registry.Kind, name: str) -> None:
        """Remove an object; does nothing if there is none.

        Args:
            kind: The kind of the object.
            name: The name of the object.
        """
        self._remove(store.PATHS_BY_KIND[kind], name)

    def compact(self) -> None:
        """Drop the history, so that watches of older revisions get 410."""
        self._compacted_revision = self.revision
        self._history.clear()

    def find_revision(self, seconds: float) -> int:
        """Find the revision that the store had some time ago.

        Args:
            seconds: The time.

        Returns:
            The revision.
        """
        copied_at = clock.read_monotonic() - seconds
        for undo in self._undo_log:
            if undo.time > copied_at:
                return undo.revision - 1
        return self.revision

    def restore(self, revision: int) -> None:
        """Go back to an earlier state, as after a restart from a copy.

        Waiting watches end with an error. Later revisions are given out again.

        Args:
            revision: The revision of the copy.
        """
        while self._undo_log and self._undo_log[-1].revision > revision:
            undo = self._undo_log.pop()
            if undo.replaced is None:
                self._objects_by_kind[undo.kind].pop(undo.name, None)
            else:
                self._objects_by_kind[undo.kind][undo.name] = undo.replaced
        self._history = [
            logged for logged in self._history if logged.revision <= revision
        ]
        self.revision = revision
        self.era += 1
        self._change_signal.set()

    def _handle_request(
        self, environ: Json, start_response: collections.abc.Callable
    ) -> list[bytes]:
        path = environ['PATH_INFO'].removeprefix(_PATH_PREFIX)
        query = dict(parse.parse_qsl(environ['QUERY_STRING']))
        method = environ['REQUEST_METHOD']
        self.calls += 1
        if method == 'GET':
            status, response = self._handle_get(path, query)
        else:
            raw = environ['wsgi.input'].read() or b'{}'
            status, response = self._apply_write(
                method, path, msgspec.json.decode(raw)
            )
        body = msgspec.json.encode(response)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            ('Store-Era', str(self.era)),
        ]
        start_response(_STATUS_LINES_BY_CODE[status], headers)
        return [body]

    def _handle_get(self, kind: str, query: dict[str, str]) -> tuple[int, Json]:
        if 'Watch' not in query:
            return self._list_page(kind, query.get('AfterRev', ''))
        after = int(query['Watch'])
        if not self._compacted_revision <= after <= self.revision:
            return 410, {}
        era = self.era
        deadline = clock.read_monotonic() + int(query['WaitMs']) / MILLISECONDS
        events = self._list_events_after(kind, after)
        # Changes of other kinds end the wait for a change, but not the watch.
        while not events and clock.read_monotonic() < deadline:
            self._change_signal.clear()
            self._change_signal.wait(deadline - clock.read_monotonic())
            if era != self.era:
                return 503, {}
            events = self._list_events_after(kind, after)
        return 200, {'events': events, 'StoreRevision': self.revision}

    def _list_page(self, kind: str, after: str) -> tuple[int, Json]:
        objects_by_name = self._objects_by_kind[kind]
        names = [name for name in sorted(objects_by_name) if name > after]
        return 200, {
            'Items': [
                objects_by_name[name] for name in names[:OBJECTS_PER_PAGE]
            ],
            'HasMore': len(names) > OBJECTS_PER_PAGE,
            'StoreRevision': self.revision,
        }

    def _list_events_after(self, kind: str, after: int) -> list[Json]:
        return [
            change.event
            for change in self._history
            if change.revision > after and change.kind == kind
        ]

    def _apply_write(
        self, method: str, path: str, body: Json
    ) -> tuple[int, Json]:
        kind, _, rest = path.partition('/')
        name, _, subresource = parse.unquote(rest).partition('/')
        name = name or body['Metadata']['Name']
        existing = self._objects_by_kind[kind].get(name)
        if method == 'POST' and existing is None:
            return 201, self._write(kind, name, self._replace_address(body))
        if existing is None:
            return 404, {}
        if method == 'POST' or _is_outdated(body, existing):
            return 409, existing
        if method == 'DELETE':
            self._remove(kind, name)
            return 200, {}
        key = _STATUS if subresource else _SPEC
        changes = {key: self._replace_address(body).get(key)}
        return 200, self._write(kind, name, changes)

    def _replace_address(self, body: Json) -> Json:
        spec = body.get(_SPEC) or {}
        address = spec.get('Address')
        if address not in self._proxies_by_address:
            return body
        return {
            **body,
            _SPEC: {**spec, 'Address': self._proxies_by_address[address]},
        }

    def _write(self, kind: str, name: str, changes: Json) -> Json:
        existing = self._objects_by_kind[kind].get(name)
        fields = {key: changes.get(key) for key in (_SPEC, _STATUS)}
        if existing:
            fields = {key: changes.get(key, existing[key]) for key in fields}
            if all(existing[key] == field for key, field in fields.items()):
                return existing
        self.revision += 1
        self._undo_log.append(
            _Undo(clock.read_monotonic(), self.revision, kind, name, existing)
        )
        created = existing['Metadata']['Created'] if existing else self.revision
        metadata = {
            'Name': name,
            'Revision': self.revision,
            'Created': created,
        }
        written = {'Metadata': metadata, **fields}
        self._objects_by_kind[kind][name] = written
        self._publish(kind, {'Object': written, 'Removed': False})
        return written

    def _remove(self, kind: str, name: str) -> None:
        existing = self._objects_by_kind[kind].pop(name, None)
        if existing:
            self.revision += 1
            self._undo_log.append(
                _Undo(
                    clock.read_monotonic(), self.revision, kind, name, existing
                )
            )
            self._publish(kind, {'Object': existing, 'Removed': True})

    def _publish(self, kind: str, event: Json) -> None:
        self._history.append(_LoggedEvent(self.revision, kind, event))
        self._change_signal.set()


def _is_outdated(body: Json, existing: Json) -> bool:
    expected = body.get('Metadata', {}).get('Revision')
    return bool(expected) and expected != existing['Metadata']['Revision']
