"""Calls to back ends: send, resume and cancel requests, fetch load reports.

The functions dispatch on the type of the back end's record, such as a model
engine or an application. Tests register further types.
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
    log,
    metric,
    request,
)
from pimentoway.ops import fleet

#: Header with the identifier of the request.
REQUEST_ID_HEADER = 'X-Request-Id'

#: Header with the idempotency key.
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'

#: Header in which a back end reports its load with a response.
LOAD_HEADER = 'X-Load'

_CHAT_PATH = '/v1/chat/completions'
_MIN_ERROR_STATUS = 400
_NOT_FOUND = 404
_MAX_ERROR_CHARACTERS = 200

_LOG = log.Log('exchange')


@dataclasses.dataclass(frozen=True)
class BackendLink:
    """The connections of a node to its back ends, with their timeouts.

    Attributes:
        pool: Opens connections and keeps idle ones.
        on_report: Called with the name of a back end and each load report
            that it sends.
        connect_seconds: Timeout for connecting.
        first_byte_seconds: Timeout for the first byte of a response.
        gap_seconds: Timeout between two reads of a response.
        report_seconds: Timeout for each read of a load report.
    """

    pool: connection.Pool
    on_report: collections.abc.Callable[[str, fleet.LoadReport], object]
    connect_seconds: float = 1
    first_byte_seconds: float = 30
    gap_seconds: float = 10
    report_seconds: float = 2


Pieces = collections.abc.Iterator[request.Piece]


@functools.singledispatch
def open_answer(
    backend: configuration.Backend, req: request.Request, link: BackendLink
) -> Pieces:
    """Send a request to a back end and read the response.

    Args:
        backend: The back end.
        req: The request.
        link: The connections to back ends.

    Raises:
        NotImplementedError: If no function is registered for the type of the
            back end.
    """
    raise NotImplementedError(type(backend))


@functools.singledispatch
def resume_answer(
    backend: configuration.Backend,
    req: request.Request,
    link: BackendLink,
    last_sequence: int,
) -> Pieces:
    """Continue a response whose connection broke.

    Args:
        backend: The back end that runs the request.
        req: The request.
        link: The connections to back ends.
        last_sequence: The number of the last piece received; 0 if none was.

    Raises:
        RunLostError: If back ends of this type can't resume a response.
    """
    raise error.RunLostError('the back end does not resume', 'resume')


@functools.singledispatch
def cancel_run(
    backend: configuration.Backend, req: request.Request, link: BackendLink
) -> None:
    """Cancel a request whose response is no longer needed.

    Does nothing for types of back ends that can't cancel a run.

    Args:
        backend: The back end that runs the request.
        req: The request.
        link: The connections to back ends.
    """


@functools.singledispatch
def fetch_report(
    backend: configuration.Backend, link: BackendLink
) -> fleet.LoadReport:
    """Fetch the load report of a back end.

    Args:
        backend: The back end.
        link: The connections to back ends.

    Returns:
        The load report.
    """
    response = link.pool.fetch(
        connection.Call(
            address=backend.address,
            method='GET',
            path='/report',
            connect_seconds=link.connect_seconds,
            first_byte_seconds=link.report_seconds,
            gap_seconds=link.report_seconds,
            deadline=clock.read_monotonic() + link.report_seconds,
        ),
    )
    metric.CONTROL_BYTES.labels('report', 'in').inc(len(response.body))
    return codec.decode_json(response.body, fleet.LoadReport, backend.name)


@open_answer.register
def stream_engine_answer(
    backend: configuration.Engine, req: request.Request, link: BackendLink
) -> Pieces:
    """Send a request to a model engine and stream the response.

    Args:
        backend: The engine.
        req: The request.
        link: The connections to back ends.

    Yields:
        One piece for each event.
    """
    call = _make_call(backend, req, link, _CHAT_PATH)
    yield from _read_stream(backend, req, link, call)


@open_answer.register
def read_application_answer(
    backend: configuration.Application, req: request.Request, link: BackendLink
) -> Pieces:
    """Send a request to an application and read the whole response.

    Args:
        backend: The application.
        req: The request.
        link: The connections to back ends.

    Yields:
        The response as one final piece.
    """
    call = _make_call(backend, req, link, f'/{req.path}')
    exchange = link.pool.open(call)
    try:
        _record_load(backend, exchange, link)
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
def resume_engine_answer(
    backend: configuration.Engine,
    req: request.Request,
    link: BackendLink,
    last_sequence: int,
) -> Pieces:
    """Continue the stream of a run on a model engine.

    Args:
        backend: The engine.
        req: The request.
        link: The connections to back ends.
        last_sequence: The number of the last piece received; 0 if none was.

    Yields:
        The pieces after `last_sequence`.
    """
    path = f'/v1/runs/{req.request_id}/events?after={last_sequence}'
    call = dataclasses.replace(
        _make_call(backend, req, link, path),
        method='GET',
        body=b'',
    )
    yield from _read_stream(backend, req, link, call)


@cancel_run.register
def cancel_engine_run(
    backend: configuration.Engine, req: request.Request, link: BackendLink
) -> None:
    """Cancel a run on a model engine.

    Args:
        backend: The engine.
        req: The request.
        link: The connections to back ends.
    """
    call = _make_call(backend, req, link, f'/v1/runs/{req.request_id}')
    link.pool.fetch(dataclasses.replace(call, method='DELETE', body=b''))


def _make_call(
    backend: configuration.Backend,
    req: request.Request,
    link: BackendLink,
    path: str,
) -> connection.Call:
    remaining_seconds = max(
        req.deadline - clock.read_monotonic(), connection.MIN_TIMEOUT_SECONDS
    )
    headers = [
        ('Content-Type', 'application/json'),
        (REQUEST_ID_HEADER, req.request_id),
        ('traceparent', req.traceparent),
    ]
    if req.key:
        headers.append((IDEMPOTENCY_KEY_HEADER, req.key))
    return connection.Call(
        address=backend.address,
        method='POST',
        path=path,
        body=req.body,
        headers=tuple(headers),
        connect_seconds=min(link.connect_seconds, remaining_seconds),
        first_byte_seconds=min(link.first_byte_seconds, remaining_seconds),
        gap_seconds=link.gap_seconds,
        deadline=req.deadline,
        exclusive=True,
        silence_seconds=connection.BACKEND_SILENCE_SECONDS,
    )


def _read_stream(
    backend: configuration.Engine,
    req: request.Request,
    link: BackendLink,
    call: connection.Call,
) -> Pieces:
    exchange = link.pool.open(call)
    try:
        _record_load(backend, exchange, link)
        if exchange.status == _NOT_FOUND and call.method == 'GET':
            raise error.RunLostError('run unknown', 'resume', backend.name)
        if exchange.status >= _MIN_ERROR_STATUS:
            _check_status(exchange.status, exchange.read_body(), backend)
        yield from event.read_pieces(exchange, req.request_id, backend.name)
    finally:
        exchange.close()


def _record_load(
    backend: configuration.Backend,
    exchange: connection.Exchange,
    link: BackendLink,
) -> None:
    text = exchange.read_header(LOAD_HEADER)
    if not text:
        return
    try:
        report = codec.decode_json(text, fleet.LoadReport, backend.name)
    except error.PimentowayError as fault:
        # The load is only a hint and must not fail the answer.
        _LOG.write(
            'ignores an unreadable load report.',
            backend=backend.name,
            reason=str(fault)[:_MAX_ERROR_CHARACTERS],
        )
        return
    link.on_report(backend.name, report)


def _check_status(
    status: int, body: bytes, backend: configuration.Backend
) -> None:
    if status < _MIN_ERROR_STATUS:
        return
    text = body.decode(errors='replace')[:_MAX_ERROR_CHARACTERS]
    raise error.FailedError(f'status {status}: {text}', 'run', backend.name)
