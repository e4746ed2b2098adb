"""The stand-ins for a model engine and an application, served over HTTP."""

import collections
import dataclasses

import falcon
import gevent
import msgspec

from pimentoway.backends import event, exchange
from pimentoway.core import clock, codec, error
from pimentoway.standin import model

_DEFAULT_TOKENS = 64


class Message(msgspec.Struct):
    """A message of a chat.

    Attributes:
        content: Its text.
        role: Who wrote it.
    """

    content: str
    role: str = 'user'


class Completion(msgspec.Struct):
    """What the engine reads of a chat completion request.

    Attributes:
        messages: The chat.
        max_tokens: The longest answer, in tokens.
        model: The model that was asked for.
    """

    messages: list[Message]
    max_tokens: int = _DEFAULT_TOKENS
    model: str = ''


class CompletionResource:
    """Chat completions."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Serve an engine.

        Args:
            engine: The engine.
        """
        self._engine = engine

    def on_post(self, req, resp) -> None:
        """Run a request and stream its answer.

        Args:
            req: The request.
            resp: The response.
        """
        body = req.bounded_stream.read()
        asked = codec.decode_json(body, Completion)
        prompt = '\n'.join(message.content for message in asked.messages)
        run_id = req.get_header(exchange.REQUEST_HEADER, default='run')
        run = self._engine.submit(run_id, prompt.encode(), asked.max_tokens)
        _answer_stream(resp, self._engine, run, 0)


class RunResource:
    """A run, to resume or cancel it."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Serve an engine.

        Args:
            engine: The engine.
        """
        self._engine = engine

    def on_get_events(self, req, resp, run_id: str) -> None:
        """Go on with a stream.

        Args:
            req: The request.
            resp: The response.
            run_id: The identifier of the run.

        Raises:
            HTTPNotFound: If the engine does not know the run.
        """
        run = self._engine.runs_by_id.get(run_id)
        if run is None:
            raise falcon.HTTPNotFound
        after = req.get_param_as_int('after', required=True)
        _answer_stream(resp, self._engine, run, after)

    def on_delete(self, req, resp, run_id: str) -> None:
        """Cancel the run.

        Args:
            req: The request.
            resp: The response.
            run_id: The identifier of the run.
        """
        self._engine.cancel(run_id)
        resp.text = '{}'


class ApplicationResource:
    """The calls of an application."""

    def __init__(self, application: model.ApplicationModel) -> None:
        """Serve an application.

        Args:
            application: The application.
        """
        self._application = application

    def on_post(self, req, resp, path: str) -> None:
        """Run a call.

        Args:
            req: The request.
            resp: The response.
            path: The path of the call.
        """
        key = req.get_header(exchange.KEY_HEADER, default='')
        body = req.bounded_stream.read()
        request_id = req.get_header(exchange.REQUEST_HEADER, default='')
        effect = model.Effect(key, body, request_id)
        resp.data = self._application.call(effect)
        resp.content_type = falcon.MEDIA_JSON
        _add_load(resp, self._application)


class ReportResource:
    """The report of the load."""

    def __init__(self, served: object) -> None:
        """Serve an engine or an application.

        Args:
            served: The engine or application.
        """
        self._served = served

    def on_get(self, req, resp) -> None:
        """Report the load.

        Args:
            req: The request.
            resp: The response.
        """
        resp.data = codec.encode_json(self._served.report())


class TraitResource:
    """The traits and faults of an engine, for tests and the demo."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Serve an engine.

        Args:
            engine: The engine.
        """
        self._engine = engine

    def on_put(self, req, resp) -> None:
        """Change some traits.

        Args:
            req: The request.
            resp: The response.
        """
        changes = req.get_media()
        self._engine.traits = dataclasses.replace(
            self._engine.traits,
            **changes,
        )
        resp.text = '{}'


class LedgerResource:
    """What an engine or application ran."""

    def __init__(self, served: object) -> None:
        """Serve an engine or an application.

        Args:
            served: The engine or application.
        """
        self._served = served

    def on_get(self, req, resp) -> None:
        """List what was run, in order.

        Args:
            req: The request.
            resp: The response.
        """
        entries = [_describe_entry(entry) for entry in self._served.ledger]
        resp.data = codec.encode_json(entries)


class DownMiddleware:
    """Breaks connections off while an engine is down."""

    def __init__(self, engine: model.EngineModel) -> None:
        """Watch an engine.

        Args:
            engine: The engine.
        """
        self._engine = engine

    def process_request(self, req, resp) -> None:
        """Close the connection without an answer while the engine is down.

        Args:
            req: The request.
            resp: The response.

        Raises:
            ConnectionLostError: If the engine is down.
        """
        if self._engine.is_down():
            raise error.ConnectionLostError('the engine is down', 'accept')


def make_engine_app(engine: model.EngineModel) -> falcon.App:
    """Make the application that serves an engine.

    Args:
        engine: The engine.

    Returns:
        The WSGI application.
    """
    app = falcon.App(middleware=[DownMiddleware(engine)])
    app.add_error_handler(error.ConnectionLostError, _break_off)
    app.add_error_handler(error.FailedError, _answer_failure)
    runs = RunResource(engine)
    app.add_route('/v1/chat/completions', CompletionResource(engine))
    app.add_route('/v1/runs/{run_id}/events', runs, suffix='events')
    app.add_route('/v1/runs/{run_id}', runs)
    app.add_route('/report', ReportResource(engine))
    app.add_route('/ledger', LedgerResource(engine))
    app.add_route('/traits', TraitResource(engine))
    return app


def make_application_app(application: model.ApplicationModel) -> falcon.App:
    """Make the application that serves a plain service.

    Args:
        application: The plain service.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_error_handler(error.ConnectionLostError, _break_off)
    app.add_route('/report', ReportResource(application))
    app.add_route('/ledger', LedgerResource(application))
    app.add_route('/{path:path}', ApplicationResource(application))
    return app


def _answer_stream(
    resp, engine: model.EngineModel, run: model.Run, after: int
) -> None:
    resp.content_type = event.STREAM_TYPE
    _add_load(resp, engine)
    resp.stream = _encode_run(engine, run, after)


def _encode_run(
    engine: model.EngineModel, run: model.Run, after: int
) -> collections.abc.Iterator[bytes]:
    for number, text in engine.read(run, after):
        payload = event.DONE
        if text is not None:
            payload = encode_chunk(run, text)
        yield b'id: %d\ndata: %b\n\n' % (number, payload)


def encode_chunk(run: model.Run, text: str) -> bytes:
    """Encode a token as a chunk of a streamed chat completion.

    Args:
        run: The run.
        text: The text of the token.

    Returns:
        The JSON text.
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


def _add_load(resp, served: object) -> None:
    report = codec.encode_json(served.report()).decode()
    resp.set_header(exchange.LOAD_HEADER, report)


def _describe_entry(entry: object) -> dict[str, object]:
    if isinstance(entry, model.Run):
        return {
            'run_id': entry.run_id,
            'state': entry.state.value,
            'tokens': len(entry.tokens),
        }
    return {
        'key': entry.key,
        'run_id': entry.request_id,
        'body': entry.body.decode(errors='replace'),
    }


def _break_off(req, resp, fault: error.ConnectionLostError, params) -> None:
    # Ends the greenlet of the connection, which closes it.
    raise gevent.GreenletExit(str(fault))


def _answer_failure(req, resp, fault: error.FailedError, params) -> None:
    resp.status = falcon.HTTP_500
    resp.text = str(fault)
