"""The WSGI application that serves callers."""

import collections
import dataclasses

import falcon

from pimentoway.backends import event
from pimentoway.callers import error_response, request_parser
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
from pimentoway.ops import dispatch, idempotency, scheduler

_LOG = log.Log('callers')


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The components of the node that the application uses.

    Attributes:
        scheduler: The scheduler, which holds the configuration in force.
        dispatcher: Runs repeatable requests.
        once_runner: Runs unrepeatable requests, each at most once.
        tracer: Creates the spans of requests.
    """

    scheduler: scheduler.Scheduler
    dispatcher: dispatch.Dispatcher
    once_runner: idempotency.AtMostOnceRunner
    tracer: trace.Tracer

    def read_config(self) -> index.Index:
        """Read the configuration in force.

        Returns:
            The configuration, indexed.

        Raises:
            ConfigurationMissingError: If the node has received none yet.
        """
        if self.scheduler.configuration_index is None:
            raise error.ConfigurationMissingError(
                'the node has no configuration yet',
                'admit',
            )
        return self.scheduler.configuration_index


class InstrumentedRequest:
    """Runs one request with a trace span, metrics and a log line.

    Attributes:
        request: The request, with this node's span as its trace context.
    """

    def __init__(
        self, dependencies: Dependencies, api_request: request.Request
    ) -> None:
        """Begin the span and start the clock.

        Args:
            dependencies: The components of the node.
            api_request: The request as it was decoded.
        """
        self._dependencies = dependencies
        self._span = dependencies.tracer.begin(
            'request',
            api_request.request_id,
            api_request.traceparent,
        )
        self.request = dataclasses.replace(
            api_request,
            traceparent=trace.format_parent(self._span),
        )
        self._arrived = clock.read_monotonic()
        self._tokens = 0

    def run(self) -> collections.abc.Iterator[request.Piece]:
        """Run the request and record its outcome at the end.

        Yields:
            The pieces of the response. Closing the iterator early records that
            the caller left.

        Raises:
            PimentowayError: If the request has no complete response.
        """
        runner = self._dependencies.dispatcher
        if not self.request.service.repeatable:
            runner = self._dependencies.once_runner
        outcome = 'caller_left'
        try:
            for piece in runner.run(self.request):
                self._record_piece(piece)
                yield piece
            outcome = 'answered'
        except error.PimentowayError as fault:
            outcome = error_response.classify_outcome(fault)
            raise
        finally:
            self._finish(outcome)

    def _record_piece(self, piece: request.Piece) -> None:
        if not self._tokens:
            elapsed = clock.read_monotonic() - self._arrived
            tier = self.request.caller.tier
            metric.FIRST_PIECE_SECONDS.labels(tier).observe(elapsed)
        self._tokens += piece.tokens

    def _finish(self, outcome: str) -> None:
        tier = self.request.caller.tier
        metric.REQUESTS.labels(tier, outcome).inc()
        if outcome == 'answered':
            metric.GOODPUT_TOKENS.labels(tier).inc(self._tokens)
        self._span.set_attribute('outcome', outcome)
        self._span.end()
        _LOG.write(
            f'request ended as {outcome}.',
            self.request.request_id,
            service=self.request.service.name,
            tokens=self._tokens,
            seconds=round(clock.read_monotonic() - self._arrived, 4),
        )


class CompletionResource:
    """Serves chat completions."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Use the components of a node.

        Args:
            dependencies: The components.
        """
        self._dependencies = dependencies

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Run a chat completion, streamed if the caller asks for it.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        api_request = request_parser.read_completion(
            req, self._dependencies.read_config()
        )
        req.context.request_id = api_request.request_id
        resp.set_header('X-Request-Id', api_request.request_id)
        pieces = InstrumentedRequest(self._dependencies, api_request).run()
        if not api_request.stream:
            _write_pieces(resp, list(pieces))
            return
        # An error before the first piece still gets its own HTTP status.
        first = next(pieces)
        resp.content_type = event.STREAM_TYPE
        resp.set_header('Cache-Control', 'no-store')
        resp.stream = _stream_events(first, pieces, api_request.request_id)


class ModelResource:
    """Lists the models for client libraries."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Use the components of a node.

        Args:
            dependencies: The components.
        """
        self._dependencies = dependencies

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """List all services as models, for any caller with a valid key.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        config = self._dependencies.read_config()
        request_parser.authenticate(req, config)
        models = [
            {'id': name, 'object': 'model', 'created': 0, 'owned_by': 'account'}
            for name in sorted(config.services_by_name)
        ]
        resp.data = codec.encode_json({'object': 'list', 'data': models})


class ServiceResource:
    """Serves calls to applications."""

    def __init__(self, dependencies: Dependencies) -> None:
        """Use the components of a node.

        Args:
            dependencies: The components.
        """
        self._dependencies = dependencies

    def on_post(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        name: str,
        path: str = '',
    ) -> None:
        """Run a call to an application.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
            name: The name of the service.
            path: The path below the service.
        """
        api_request = request_parser.read_application_call(
            req, self._dependencies.read_config(), name, path
        )
        req.context.request_id = api_request.request_id
        resp.set_header('X-Request-Id', api_request.request_id)
        _write_pieces(
            resp,
            list(InstrumentedRequest(self._dependencies, api_request).run()),
        )


def make_app(dependencies: Dependencies) -> falcon.App:
    """Make the application that serves callers.

    Args:
        dependencies: The components of the node.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_error_handler(Exception, _handle_exception)
    app.add_error_handler(falcon.HTTPError, _handle_http_error)
    app.add_error_handler(error.PimentowayError, _handle_error)
    service = ServiceResource(dependencies)
    app.add_route('/v1/chat/completions', CompletionResource(dependencies))
    app.add_route('/v1/models', ModelResource(dependencies))
    app.add_route('/v1/services/{name}', service)
    app.add_route('/v1/services/{name}/{path:path}', service)
    return app


def _write_pieces(resp: falcon.Response, pieces: list[request.Piece]) -> None:
    response = pieces[-1]
    if len(pieces) > 1:
        response = event.assemble_completion(pieces)
    resp.data = response.payload
    resp.status = response.status
    resp.content_type = response.content_type


def _stream_events(
    first: request.Piece,
    pieces: collections.abc.Iterator[request.Piece],
    request_id: str,
) -> collections.abc.Iterator[bytes]:
    yield error_response.encode_event(first.payload)
    try:
        for piece in pieces:
            yield error_response.encode_event(piece.payload)
    except error.PimentowayError as fault:
        yield error_response.encode_problem_event(fault, request_id)
    finally:
        pieces.close()


def _handle_exception(
    req: falcon.Request,
    resp: falcon.Response,
    fault: Exception,
    params: dict,
) -> None:
    # The exception can come from any step, so whether the request was run is
    # unknown, and the caller gets no details of the node's internals.
    _LOG.write(f'unhandled exception, the caller gets an error: {fault!r}.')
    unknown = error.OutcomeUnknownError('an internal error', 'serve')
    _handle_error(req, resp, unknown, params)


def _handle_http_error(
    req: falcon.Request,
    resp: falcon.Response,
    fault: falcon.HTTPError,
    params: dict,
) -> None:
    invalid = error.RequestError(fault.title or 'the request is wrong', 'route')
    _handle_error(req, resp, invalid, params)
    resp.status = fault.status


def _handle_error(
    req: falcon.Request,
    resp: falcon.Response,
    fault: error.PimentowayError,
    params: dict,
) -> None:
    request_id = getattr(req.context, 'request_id', '')
    error_response.write_problem(resp, fault, request_id)
