"""The HTTP interface for callers."""

import collections
import dataclasses

import falcon

from pimentoway.backends import event
from pimentoway.callers import answer, intake
from pimentoway.core import (
    clock,
    codec,
    error,
    index,
    log,
    metric,
    request,
    trace,
)
from pimentoway.ops import dispatch, once, scheduler

_LOG = log.Log('callers')


@dataclasses.dataclass(frozen=True)
class Desk:
    """What the interface needs of the node.

    Attributes:
        plan: The scheduler.
        dispatcher: Runs repeatable requests.
        runner: Runs unrepeatable requests.
        tracer: The tracer.
    """

    plan: scheduler.Scheduler
    dispatcher: dispatch.Dispatcher
    runner: once.OnceRunner
    tracer: trace.Tracer

    def read_view(self) -> index.Index:
        """Read the configuration in force.

        Returns:
            The configuration.

        Raises:
            ConfigurationMissingError: If there is none yet.
        """
        if self.plan.view is None:
            raise error.ConfigurationMissingError(
                'the node has no configuration yet',
                'admit',
            )
        return self.plan.view


class Visit:
    """The stay of one request at this node, measured and logged.

    Attributes:
        entry: The request, with the trace context for the next hop.
    """

    def __init__(self, desk: Desk, entry: request.Request) -> None:
        """Begin the stay.

        Args:
            desk: What the interface needs of the node.
            entry: The request.
        """
        self._desk = desk
        self._span = desk.tracer.begin(
            'request',
            entry.request_id,
            entry.traceparent,
        )
        self.entry = dataclasses.replace(
            entry,
            traceparent=trace.format_parent(self._span),
        )
        self._arrived = clock.read_monotonic()
        self._tokens = 0

    def run(self) -> collections.abc.Iterator[request.Piece]:
        """Run the request.

        Yields:
            The pieces of the answer.

        Raises:
            PimentowayError: If the request was not answered.
        """
        runner = self._desk.dispatcher
        if not self.entry.service.repeatable:
            runner = self._desk.runner
        outcome = 'caller_left'
        try:
            for piece in runner.run(self.entry):
                self._note_piece(piece)
                yield piece
            outcome = 'answered'
        except error.PimentowayError as fault:
            outcome = answer.classify_outcome(fault)
            raise
        finally:
            self._finish(outcome)

    def _note_piece(self, piece: request.Piece) -> None:
        if not self._tokens:
            waited = clock.read_monotonic() - self._arrived
            tier = self.entry.caller.tier
            metric.FIRST_PIECE_SECONDS.labels(tier).observe(waited)
        self._tokens += piece.tokens

    def _finish(self, outcome: str) -> None:
        tier = self.entry.caller.tier
        metric.REQUESTS.labels(tier, outcome).inc()
        if outcome == 'answered':
            metric.GOODPUT_TOKENS.labels(tier).inc(self._tokens)
        self._span.set_attribute('outcome', outcome)
        self._span.end()
        _LOG.write(
            f'request ended as {outcome}.',
            self.entry.request_id,
            service=self.entry.service.name,
            tokens=self._tokens,
            seconds=round(clock.read_monotonic() - self._arrived, 4),
        )


class CompletionResource:
    """Chat completions."""

    def __init__(self, desk: Desk) -> None:
        """Serve a node.

        Args:
            desk: What the interface needs of the node.
        """
        self._desk = desk

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer a chat.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        entry = intake.read_completion(req, self._desk.read_view())
        req.context.request_id = entry.request_id
        resp.set_header('X-Request-Id', entry.request_id)
        pieces = Visit(self._desk, entry).run()
        if not entry.stream:
            _write_whole(resp, list(pieces))
            return
        # The status is known once the first piece is here.
        first = next(pieces)
        resp.content_type = event.STREAM_TYPE
        resp.set_header('Cache-Control', 'no-store')
        resp.stream = _stream_events(first, pieces, entry.request_id)


class ModelResource:
    """The models that a caller may use."""

    def __init__(self, desk: Desk) -> None:
        """Serve a node.

        Args:
            desk: What the interface needs of the node.
        """
        self._desk = desk

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """List the models.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        view = self._desk.read_view()
        intake.identify_sender(req, view)
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'account'}
            for name in sorted(view.services_by_name)
        ]
        resp.data = codec.encode_json({'object': 'list', 'data': models})


class ServiceResource:
    """Calls of applications."""

    def __init__(self, desk: Desk) -> None:
        """Serve a node.

        Args:
            desk: What the interface needs of the node.
        """
        self._desk = desk

    def on_post(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        name: str,
        path: str = '',
    ) -> None:
        """Make a call.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
            name: The name of the service.
            path: The path of the call.
        """
        entry = intake.read_call(req, self._desk.read_view(), name, path)
        req.context.request_id = entry.request_id
        resp.set_header('X-Request-Id', entry.request_id)
        _write_whole(resp, list(Visit(self._desk, entry).run()))


def make_app(desk: Desk) -> falcon.App:
    """Make the application that serves callers.

    Args:
        desk: What the interface needs of the node.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_error_handler(Exception, _answer_surprise)
    app.add_error_handler(falcon.HTTPError, _answer_http_error)
    app.add_error_handler(error.PimentowayError, _answer_problem)
    service = ServiceResource(desk)
    app.add_route('/v1/chat/completions', CompletionResource(desk))
    app.add_route('/v1/models', ModelResource(desk))
    app.add_route('/v1/services/{name}', service)
    app.add_route('/v1/services/{name}/{path:path}', service)
    return app


def _write_whole(resp: falcon.Response, pieces: list[request.Piece]) -> None:
    whole = pieces[-1]
    if len(pieces) > 1:
        whole = event.assemble_completion(pieces)
    resp.data = whole.payload
    resp.status = whole.status
    resp.content_type = whole.content_type


def _stream_events(
    first: request.Piece,
    pieces: collections.abc.Iterator[request.Piece],
    request_id: str,
) -> collections.abc.Iterator[bytes]:
    yield answer.encode_event(first.payload)
    try:
        for piece in pieces:
            yield answer.encode_event(piece.payload)
    except error.PimentowayError as fault:
        yield answer.encode_problem_event(fault, request_id)
    finally:
        pieces.close()


def _answer_surprise(
    req: falcon.Request,
    resp: falcon.Response,
    fault: Exception,
    params: dict,
) -> None:
    # A fault of our own: nothing is known of the request, so nothing is said.
    _LOG.write(f'an error was not expected: {fault!r}.')
    unknown = error.OutcomeUnknownError('an internal error', 'serve')
    _answer_problem(req, resp, unknown, params)


def _answer_http_error(
    req: falcon.Request,
    resp: falcon.Response,
    fault: falcon.HTTPError,
    params: dict,
) -> None:
    wrong = error.RequestError(fault.title or 'the request is wrong', 'route')
    _answer_problem(req, resp, wrong, params)
    resp.status = fault.status


def _answer_problem(
    req: falcon.Request,
    resp: falcon.Response,
    fault: error.PimentowayError,
    params: dict,
) -> None:
    request_id = getattr(req.context, 'request_id', '')
    answer.write_problem(resp, fault, request_id)
