"""HTTP interface of the simulated engine and application."""

import collections
import dataclasses

import falcon
import gevent
import msgspec

from pimentoway.backends import event, exchange
from pimentoway.core import clock, codec, error
from pimentoway.standin import model

_DEFAULT_MAX_TOKENS = 64


class Message(msgspec.Struct):
    """A message of a chat.

    Attributes:
        content: The text.
        role: The role of its author, such as ``user``.
    """

    content: str
    role: str = 'user'


class CompletionRequest(msgspec.Struct):
    """The fields of a chat completion request that the engine reads.

    Attributes:
        messages: The chat so far.
        max_tokens: The number of tokens to generate.
        model: The requested model; any is accepted.
    """

    messages: list[Message]
    max_tokens: int = _DEFAULT_MAX_TOKENS
    model: str = ''


class CompletionResource:
    """Serves chat completions."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Serve an engine.

        Args:
            engine: The simulated engine.
        """
        self._engine = engine

    def on_post(self, req, resp) -> None:
        """Submit a request and stream its tokens.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        completion = codec.decode_json(body, CompletionRequest)
        prompt = '\n'.join(message.content for message in completion.messages)
        run_id = req.get_header(exchange.REQUEST_ID_HEADER, default='run')
        run = self._engine.submit(
            run_id, prompt.encode(), completion.max_tokens
        )
        _send_stream(resp, self._engine, run, 0)


class RunResource:
    """Resumes or cancels a run."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Serve an engine.

        Args:
            engine: The simulated engine.
        """
        self._engine = engine

    def on_get_events(self, req, resp, run_id: str) -> None:
        """Resume a stream after the token with the number ``after``.

        Args:
            req: The request.
            resp: The response.
            run_id: The identifier of the run.

        Raises:
            HTTPNotFound: If the run is unknown, for instance lost in a crash.
        """
        run = self._engine.runs_by_id.get(run_id)
        if run is None:
            raise falcon.HTTPNotFound
        after = req.get_param_as_int('after', required=True)
        _send_stream(resp, self._engine, run, after)

    def on_delete(self, req, resp, run_id: str) -> None:
        """Cancel the run if it is live.

        Args:
            req: The request.
            resp: The response.
            run_id: The identifier of the run.
        """
        self._engine.cancel(run_id)
        resp.text = '{}'


class ApplicationResource:
    """Accepts calls to an application, on any path."""

    def __init__(self, application: model.ApplicationModel) -> None:
        """Serve an application.

        Args:
            application: The application.
        """
        self._application = application

    def on_post(self, req, resp, path: str) -> None:
        """Execute a call.

        Args:
            req: The request.
            resp: The response.
            path: The path of the call; unused.
        """
        key = req.get_header(exchange.IDEMPOTENCY_KEY_HEADER, default='')
        body = req.bounded_stream.read()
        request_id = req.get_header(exchange.REQUEST_ID_HEADER, default='')
        executed_call = model.ExecutedCall(key, body, request_id)
        resp.data = self._application.call(executed_call)
        resp.content_type = falcon.MEDIA_JSON
        _add_load_header(resp, self._application)


class ReportResource:
    """Serves the load report."""

    def __init__(self, backend: object) -> None:
        """Serve a back end.

        Args:
            backend: The engine or application.
        """
        self._backend = backend

    def on_get(self, req, resp) -> None:
        """Send the load report.

        Args:
            req: The request.
            resp: The response.
        """
        resp.data = codec.encode_json(self._backend.report())


class TraitResource:
    """Changes the traits of an engine, for tests and the demo."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Serve an engine.

        Args:
            engine: The simulated engine.
        """
        self._engine = engine

    def on_put(self, req, resp) -> None:
        """Change the traits that the body names.

        Args:
            req: The request, with a JSON object of traits by name.
            resp: The response.
        """
        changes = req.get_media()
        self._engine.traits = dataclasses.replace(
            self._engine.traits,
            **changes,
        )
        resp.text = '{}'


class LedgerResource:
    """Serves the ledger of an engine or application."""

    def __init__(self, backend: object) -> None:
        """Serve a back end.

        Args:
            backend: The engine or application.
        """
        self._backend = backend

    def on_get(self, req, resp) -> None:
        """List the executed runs or calls, in order.

        Args:
            req: The request.
            resp: The response.
        """
        records = [_describe_record(record) for record in self._backend.ledger]
        resp.data = codec.encode_json(records)


class DownMiddleware:
    """Drops connections while an engine is down."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Guard the connections of an engine.

        Args:
            engine: The simulated engine.
        """
        self._engine = engine

    def process_request(self, req, resp) -> None:
        """Drop the connection while the engine is down.

        Args:
            req: The request.
            resp: The response.

        Raises:
            ConnectionLostError: If the engine is down.
        """
        if self._engine.is_down():
            raise error.ConnectionLostError('the engine is down', 'accept')


def make_engine_app(engine: model.EngineModel) -> falcon.App:
    """Create the web application of an engine.

    Args:
        engine: The simulated engine.

    Returns:
        The WSGI application.
    """
    app = falcon.App(middleware=[DownMiddleware(engine)])
    app.add_error_handler(error.ConnectionLostError, _drop_connection)
    app.add_error_handler(error.FailedError, _send_failure)
    runs = RunResource(engine)
    app.add_route('/v1/chat/completions', CompletionResource(engine))
    app.add_route('/v1/runs/{run_id}/events', runs, suffix='events')
    app.add_route('/v1/runs/{run_id}', runs)
    app.add_route('/report', ReportResource(engine))
    app.add_route('/ledger', LedgerResource(engine))
    app.add_route('/traits', TraitResource(engine))
    return app


def make_application_app(application: model.ApplicationModel) -> falcon.App:
    """Create the web application of a simulated application.

    Args:
        application: The simulated application.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_error_handler(error.ConnectionLostError, _drop_connection)
    app.add_route('/report', ReportResource(application))
    app.add_route('/ledger', LedgerResource(application))
    app.add_route('/{path:path}', ApplicationResource(application))
    return app


def _send_stream(
    resp, engine: model.EngineModel, run: model.Run, after: int
) -> None:
    resp.content_type = event.STREAM_TYPE
    _add_load_header(resp, engine)
    resp.stream = _encode_run(engine, run, after)


def _encode_run(
    engine: model.EngineModel, run: model.Run, after: int
) -> collections.abc.Iterator[bytes]:
    for number, text in engine.read(run, after):
        payload = event.DONE_DATA
        if text is not None:
            payload = encode_chunk(run, text)
        yield b'id: %d\ndata: %b\n\n' % (number, payload)


def encode_chunk(run: model.Run, text: str) -> bytes:
    """Encode a token as a chunk of a streamed chat completion.

    Args:
        run: The run, whose identifier becomes the ``id``.
        text: The text of the token.

    Returns:
        The chunk in JSON.
    """
    choice = event.Choice(event.Delta(text))
    return codec.encode_json(
        {
            'id': run.run_id,
            'object': 'chat.completion.chunk',
            'created': int(clock.read_wall()),
            'model': 'standin',
            'choices': [
                {
                    'index': 0,
                    'delta': choice.delta,
                    'finish_reason': None,
                },
            ],
        },
    )


def _add_load_header(resp, backend: object) -> None:
    report = codec.encode_json(backend.report()).decode()
    resp.set_header(exchange.LOAD_HEADER, report)


def _describe_record(record: object) -> dict[str, object]:
    if isinstance(record, model.Run):
        return {
            'run_id': record.run_id,
            'state': record.state.value,
            'tokens': len(record.tokens),
        }
    return {
        'key': record.key,
        'run_id': record.request_id,
        'body': record.body.decode(errors='replace'),
    }


def _drop_connection(
    req, resp, fault: error.ConnectionLostError, params
) -> None:
    # Ending the greenlet of the connection closes the connection.
    raise gevent.GreenletExit(str(fault))


def _send_failure(req, resp, fault: error.FailedError, params) -> None:
    resp.status = falcon.HTTP_500
    resp.text = str(fault)
