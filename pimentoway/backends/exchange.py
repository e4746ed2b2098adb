"""Calls to back ends: answers in pieces, resumption, cancelling and reports.

What differs between model engines and applications is chosen by the type of
the back end's record. Tests register types of their own.
"""

import collections
import dataclasses
import functools

from pimentoway.backends import event
from pimentoway.core import (
    clock,
    codec,
    configuration,
    connection,
    error,
    metric,
    request,
)
from pimentoway.ops import fleet

#: The header that carries the request's identifier.
REQUEST_HEADER = 'X-Request-Id'

#: The header that carries the idempotency key.
KEY_HEADER = 'Idempotency-Key'

#: The header in which a back end reports its load with an answer.
LOAD_HEADER = 'X-Load'

_CHAT_PATH = '/v1/chat/completions'
_FIRST_ERROR = 400
_MISSING = 404
_ERROR_LENGTH = 200


@dataclasses.dataclass(frozen=True)
class Link:
    """How a node reaches its back ends.

    Attributes:
        pool: The connections.
        note_report: Takes a back end's name and its report.
        connect_seconds: The longest time to connect.
        first_byte_seconds: The longest time until an answer begins.
        gap_seconds: The longest time between two pieces.
        report_seconds: The longest time for a report.
    """

    pool: connection.Pool
    note_report: collections.abc.Callable[[str, fleet.Report], object]
    connect_seconds: float = 1
    first_byte_seconds: float = 30
    gap_seconds: float = 10
    report_seconds: float = 2


Pieces = collections.abc.Iterator[request.Piece]


@functools.singledispatch
def open_answer(
    backend: configuration.Backend, entry: request.Request, link: Link
) -> Pieces:
    """Send a request to a back end and read its answer.

    Args:
        backend: The back end.
        entry: The request.
        link: How to reach it.

    Raises:
        NotImplementedError: If the type of the back end is unknown.
    """
    raise NotImplementedError(type(backend))


@functools.singledispatch
def resume_answer(
    backend: configuration.Backend,
    entry: request.Request,
    link: Link,
    after: int,
) -> Pieces:
    """Go on with an answer that broke off.

    Args:
        backend: The back end that runs the request.
        entry: The request.
        link: How to reach it.
        after: The number of the last piece that came.

    Raises:
        RunLostError: If the back end can't resume.
    """
    raise error.RunLostError('the back end does not resume', 'resume')


@functools.singledispatch
def cancel_run(
    backend: configuration.Backend, entry: request.Request, link: Link
) -> None:
    """Cancel a request that nobody waits for, where that is safe.

    Args:
        backend: The back end that runs the request.
        entry: The request.
        link: How to reach it.
    """


@functools.singledispatch
def fetch_report(backend: configuration.Backend, link: Link) -> fleet.Report:
    """Fetch a back end's report of its load.

    Args:
        backend: The back end.
        link: How to reach it.

    Returns:
        The report.
    """
    answer = link.pool.fetch(
        connection.Call(
            address=backend.address,
            method='GET',
            path='/report',
            connect_seconds=link.connect_seconds,
            first_byte_seconds=link.report_seconds,
            gap_seconds=link.report_seconds,
        ),
    )
    metric.CONTROL_BYTES.labels('report', 'in').inc(len(answer.body))
    return codec.decode_json(answer.body, fleet.Report, backend.name)


@open_answer.register
def open_engine(
    backend: configuration.Engine, entry: request.Request, link: Link
) -> Pieces:
    """Stream an answer from a model engine.

    Args:
        backend: The engine.
        entry: The request.
        link: How to reach it.

    Yields:
        The pieces.
    """
    call = _make_call(backend, entry, link, _CHAT_PATH)
    yield from _read_stream(backend, entry, link, call)


@open_answer.register
def open_application(
    backend: configuration.Application, entry: request.Request, link: Link
) -> Pieces:
    """Call an application and read its whole answer.

    Args:
        backend: The application.
        entry: The request.
        link: How to reach it.

    Yields:
        The answer as one piece.
    """
    call = _make_call(backend, entry, link, f'/{entry.path}')
    exchange = link.pool.open(call)
    try:
        _note_load(backend, exchange, link)
        body = exchange.read_body()
    finally:
        exchange.close()
    _check_status(exchange.status, body, backend)
    yield request.Piece(
        sequence=1,
        payload=body,
        status=exchange.status,
        content_type=exchange.content_type,
        final=True,
    )


@resume_answer.register
def resume_engine(
    backend: configuration.Engine,
    entry: request.Request,
    link: Link,
    after: int,
) -> Pieces:
    """Go on with a model engine's stream.

    Args:
        backend: The engine.
        entry: The request.
        link: How to reach it.
        after: The number of the last piece that came.

    Yields:
        The pieces after it.
    """
    path = f'/v1/runs/{entry.request_id}/events?after={after}'
    call = dataclasses.replace(
        _make_call(backend, entry, link, path),
        method='GET',
        body=b'',
    )
    yield from _read_stream(backend, entry, link, call)


@cancel_run.register
def cancel_engine(
    backend: configuration.Engine, entry: request.Request, link: Link
) -> None:
    """Cancel a run of a model engine.

    Args:
        backend: The engine.
        entry: The request.
        link: How to reach it.
    """
    call = _make_call(backend, entry, link, f'/v1/runs/{entry.request_id}')
    link.pool.fetch(dataclasses.replace(call, method='DELETE', body=b''))


def _make_call(
    backend: configuration.Backend,
    entry: request.Request,
    link: Link,
    path: str,
) -> connection.Call:
    left = max(
        entry.deadline - clock.read_monotonic(), connection.LEAST_SECONDS
    )
    headers = [
        ('Content-Type', 'application/json'),
        (REQUEST_HEADER, entry.request_id),
        ('traceparent', entry.traceparent),
    ]
    if entry.key:
        headers.append((KEY_HEADER, entry.key))
    return connection.Call(
        address=backend.address,
        method='POST',
        path=path,
        body=entry.body,
        headers=tuple(headers),
        connect_seconds=min(link.connect_seconds, left),
        first_byte_seconds=min(link.first_byte_seconds, left),
        gap_seconds=link.gap_seconds,
        deadline=entry.deadline,
        fresh=not entry.service.repeatable,
    )


def _read_stream(
    backend: configuration.Engine,
    entry: request.Request,
    link: Link,
    call: connection.Call,
) -> Pieces:
    exchange = link.pool.open(call)
    try:
        _note_load(backend, exchange, link)
        if exchange.status == _MISSING and call.method == 'GET':
            raise error.RunLostError('run unknown', 'resume', backend.name)
        if exchange.status >= _FIRST_ERROR:
            _check_status(exchange.status, exchange.read_body(), backend)
        yield from event.read_pieces(exchange, entry.request_id, backend.name)
    finally:
        exchange.close()


def _note_load(
    backend: configuration.Backend, exchange: connection.Exchange, link: Link
) -> None:
    text = exchange.read_header(LOAD_HEADER)
    if text:
        report = codec.decode_json(text, fleet.Report, backend.name)
        link.note_report(backend.name, report)


def _check_status(
    status: int, body: bytes, backend: configuration.Backend
) -> None:
    if status < _FIRST_ERROR:
        return
    text = body.decode(errors='replace')[:_ERROR_LENGTH]
    raise error.FailedError(f'status {status}: {text}', 'run', backend.name)
