"""Forwards callers' requests: route, API key, slot, back end, response."""

import collections
import contextlib
import dataclasses
import functools
import math
import traceback

import gevent
import greenlet

from pimentoway.backends import channel, liveness
from pimentoway.callers import (
    attempt_error,
    backend_attempt,
    backendpath,
    connection,
    drain,
    exchange,
    notice_reader,
    request_context,
    response_writer,
)
from pimentoway.core import (
    call,
    clock,
    deployment,
    error,
    log,
    message,
    metric,
    usage,
)
from pimentoway.nodes import relaychannel
from pimentoway.ops import slot, slotclient, view

#: The timeout, in seconds, of a request whose route and caller set none.
DEFAULT_TIMEOUT_SECONDS = 30

#: Seconds before the timeout at which the node gives up on a request, so that
#: the error response arrives within the timeout.
RESPONSE_MARGIN_SECONDS = 0.02

#: The most slot requests for one request of a caller. The caller's request is
#: sent again only if no back end ran it or if its route allows repeated
#: execution.
MAX_SLOT_REQUESTS = 6

#: Errors that have an answer of their own, or that end the connection.
_EXPECTED_ERRORS = (
    error.PimentowayError,
    message.MessageError,
    connection.CallerDisconnectedError,
)

_LOG = log.Log('request')


class Forwarder:
    """Serves the requests that callers send to one node.

    Attributes:
        active: The requests that are being served.
        drain_limit: The time that requests get while the node drains.
        dependencies: What the attempts use.
    """

    def __init__(
        self,
        zone: str,
        registry_view: view.View,
        slots: slotclient.SlotClient,
        channels: channel.ChannelPool,
        dialect: call.Dialect,
        relays: relaychannel.RelayClient,
    ) -> None:
        """Use the given components of the node.

        Args:
            zone: The failure domain of the node.
            registry_view: The configuration and the back ends as this node
                knows them.
            slots: The client that requests slots from the broker.
            channels: The connections to back ends.
            dialect: Decodes and encodes the platform's HTTP headers.
            relays: Finds the nodes that relay requests.
        """
        self.active = 0
        self.drain_limit = drain.DrainLimit()
        self._tasks: set[greenlet.greenlet] = set()
        self._zone = zone
        self._view = registry_view
        self._slots = slots
        self._dialect = dialect
        notices = notice_reader.NoticeReader(slots, dialect)
        self.dependencies = backendpath.Dependencies(
            slots,
            channels,
            dialect,
            liveness.LivenessChecker(
                dialect.liveness_probe, slots.may_use, notices.read_answer
            ),
            notices,
            relays,
        )

    def observe_usage(self, observer: usage.UsageObserver) -> None:
        """Tell an observer of the runs of further requests.

        Args:
            observer: The observer.
        """
        self.dependencies = dataclasses.replace(
            self.dependencies, observer=observer
        )

    def read_limits(self) -> deployment.CallerLimits:
        """Read the limits on callers that are in force.

        Returns:
            The limits; the defaults until a configuration is known.
        """
        config = self._view.deployment
        return config.limits if config else deployment.CallerLimits()

    def serve(
        self, caller: connection.CallerConnection, raw: message.Request
    ) -> bool:
        """Serve a request and write the response.

        Args:
            caller: The caller's connection.
            raw: The HTTP request, completely read.

        Returns:
            Whether the connection may carry another request.
        """
        arrived = clock.read_monotonic()
        writer = response_writer.ResponseWriter(caller, raw)
        try:
            with _convert_unexpected(''):
                request = self._dialect.read_request(raw)
        except error.InternalError as fault:
            writer.write_error(fault)
            return writer.keep_alive
        # The decoded request has a copy of the body.
        raw.body = bytearray()
        task = greenlet.getcurrent()
        self.active += 1
        self._tasks.add(task)
        try:
            return self._serve_decoded(request, writer, arrived)
        finally:
            self.active -= 1
            self._tasks.discard(task)

    def interrupt(self) -> None:
        """End the requests that are being served with error responses.

        A response that has begun is broken off. The callers of other requests
        learn whether a back end may have run them.
        """
        for task in self._tasks:
            gevent.kill(task, drain.make_interruption())

    def _serve_decoded(
        self,
        request: call.CallerRequest,
        writer: response_writer.ResponseWriter,
        arrived: float,
    ) -> bool:
        try:
            with _convert_unexpected(request.request_id):
                context = self._make_context(request, writer, arrived)
        except error.PimentowayError as fault:
            self._log_refused(request, fault)
            writer.write_error(fault)
            return writer.keep_alive
        outcome = 'caller left'
        try:
            outcome = self._serve_context(context)
        finally:
            self._log_done(context, outcome)
        return writer.keep_alive

    def _make_context(
        self,
        request: call.CallerRequest,
        writer: response_writer.ResponseWriter,
        arrived: float,
    ) -> request_context.RequestContext:
        config = self._view.deployment
        if config is None:
            raise error.ConfigurationMissingError(
                'the node has no configuration yet', 'admit'
            )
        route = config.find_route(request.host, request.path)
        if route is None:
            raise error.UnknownServiceError('no route matches', 'route')
        if not route.shares:
            raise error.NoBackendError(
                f'the route {route.name} names no service', 'route'
            )
        customer = _find_customer(config, route, request)
        timeout = min(
            route.timeout or math.inf,
            math.inf
            if request.timeout_seconds is None
            else request.timeout_seconds,
        )
        if math.isinf(timeout):
            timeout = DEFAULT_TIMEOUT_SECONDS
        end = arrived + timeout
        self.drain_limit.check_expected_end(route, request, end)
        return request_context.RequestContext(
            request=request,
            route=route,
            service=route.choose_service(request.request_id),
            customer=customer,
            arrived=arrived,
            deadline=min(end, self.drain_limit.end) - RESPONSE_MARGIN_SECONDS,
            writer=writer,
        )

    def _serve_context(self, context: request_context.RequestContext) -> str:
        try:
            with _convert_unexpected(context.request.request_id):
                return self._forward(context)
        except error.PimentowayError as fault:
            return self._end_with_error(context, fault)

    def _end_with_error(
        self,
        context: request_context.RequestContext,
        fault: error.PimentowayError,
    ) -> str:
        if context.writer.started:
            # Closing the connection without the last chunk tells the caller
            # that the response is incomplete.
            context.writer.keep_alive = False
            return f'broken off: {fault}'
        if context.last_failure is not None:
            context.writer.write_response(context.last_failure)
            return f'failed with {context.last_failure.status}'
        if context.possible_runs and isinstance(fault, error.NotRunError):
            # An earlier attempt may have run, so "not run" could be false.
            fault = error.OutcomeUnknownError(fault.reason, fault.step)
        context.writer.write_error(fault)
        return f'{fault.code}: {fault}'

    def _forward(self, context: request_context.RequestContext) -> str:
        for _ in range(MAX_SLOT_REQUESTS):
            with contextlib.suppress(attempt_error.RetryError):
                attempt = self._prepare_attempt(context)
                return attempt.run()
        raise error.NoBackendError('no back end takes the request', 'place')

    def _prepare_attempt(
        self, context: request_context.RequestContext
    ) -> backend_attempt.BackendAttempt:
        slot_request, grant = self._request_slot(context)
        self._check_deadline(context, slot_request)
        engine = self._find_engine(grant)
        if engine is None:
            # The broker can know less of the back end than this node does.
            context.avoid(grant.engine)
            self._report_unused(slot_request)
            raise attempt_error.RetryError
        started = exchange.Exchange(
            self.dependencies,
            context,
            slot_request,
            engine,
            functools.partial(self._prepare_attempt, context),
            grant.via,
        )
        started.connect()
        return backend_attempt.BackendAttempt(context, started)

    def _check_deadline(
        self,
        context: request_context.RequestContext,
        slot_request: slot.SlotRequest,
    ) -> None:
        # The process may have been stopped since the grant.
        if clock.read_monotonic() >= context.deadline:
            self._report_unused(slot_request)
            raise error.ExpiredError(
                'the deadline passed before the request was sent', 'place'
            )

    def _report_unused(self, slot_request: slot.SlotRequest) -> None:
        self._slots.report(
            slot.Report(slot_request.number, slot.Outcome.unused)
        )

    def _request_slot(
        self, context: request_context.RequestContext
    ) -> tuple[slot.SlotRequest, slot.Grant]:
        now = clock.read_monotonic()
        token_counts = context.request.token_counts or call.TokenCounts()
        customer = context.customer
        slot_request = slot.SlotRequest(
            number=self._slots.make_number(),
            service=context.service,
            route=context.route.name,
            zone=self._zone,
            rank=context.compute_rank(),
            customer=customer.name if customer else '',
            cost=context.compute_quota_cost(),
            target_left=context.arrived + context.route.goal - now,
            time_left=context.deadline - now,
            patience_left=_compute_first_event_deadline(context) - now,
            prompt_tokens=token_counts.prompt_tokens,
            output_tokens=token_counts.estimate_output(),
            work_tokens=token_counts.estimate_work(),
            fingerprint=context.compute_fingerprint(),
            repeats=context.sends,
            avoided=context.avoided,
            parts=context.request.shared_parts,
        )
        context.slot_request_numbers = (
            *context.slot_request_numbers,
            slot_request.number,
        )
        grant = self._slots.acquire_slot(slot_request)
        context.queue_seconds += clock.read_monotonic() - now
        return slot_request, grant

    def _find_engine(self, grant: slot.Grant) -> deployment.Engine | None:
        engine = self._view.engines_by_name.get(grant.engine)
        if engine is None:
            return None
        if grant.via:
            # Whether it wants requests of the relay is checked there.
            return engine if self._slots.is_usable(engine) else None
        return engine if self._slots.may_use(engine) else None

    def _log_refused(
        self, request: call.CallerRequest, fault: error.PimentowayError
    ) -> None:
        config = self._view.deployment
        metric.REQUESTS.labels('', fault.code).inc()
        _LOG.write(
            'refused.',
            request.request_id,
            status=fault.status,
            reason=fault.reason,
            path=request.path,
            host=request.host,
            configuration=config.version if config else 0,
        )

    def _log_done(
        self, context: request_context.RequestContext, outcome: str
    ) -> None:
        config = self._view.deployment
        total = clock.read_monotonic() - context.arrived
        token_counts = context.request.token_counts or call.TokenCounts()
        rank = str(context.compute_rank())
        metric.REQUESTS.labels(rank, outcome.partition(':')[0]).inc()
        metric.QUEUE_SECONDS.labels(rank).observe(context.queue_seconds)
        if context.first_event_seconds:
            metric.FIRST_PIECE_SECONDS.labels(rank).observe(
                context.first_event_seconds
            )
        _LOG.write(
            'done.',
            context.request.request_id,
            outcome=outcome,
            route=context.route.name,
            service=context.service,
            customer=context.customer.name if context.customer else '',
            rank=context.compute_rank(),
            prompt=token_counts.prompt_tokens,
            output=token_counts.output_tokens,
            hinted=token_counts.hinted_tokens,
            parts=[f'{part:x}' for part in context.request.shared_parts],
            engine=context.engine_name,
            via=context.relay_name,
            crashed=context.crashed_engines,
            avoided=context.avoided,
            runs=context.possible_runs,
            repeats=context.sends,
            waited=round(context.queue_seconds, 4),
            first=round(context.first_event_seconds, 4),
            total=round(total, 4),
            events=context.event_splitter.count,
            framing=context.framing.value if context.framing else '',
            unfinished=len(context.event_splitter.rest),
            limit=round(context.deadline - context.arrived, 3),
            goal=context.route.goal,
            remote=self._slots.is_remote,
            owner=self._slots.requester,
            numbers=context.slot_request_numbers,
            configuration=config.version if config else 0,
        )


@contextlib.contextmanager
def _convert_unexpected(
    request_id: str,
) -> collections.abc.Generator[None, None, None]:
    # Without an answer, the caller could not tell whether the request was run.
    try:
        yield
    except _EXPECTED_ERRORS:
        raise
    except Exception as fault:
        _LOG.write(
            'unexpected error while the request was served.',
            request_id,
            reason=repr(fault),
            trace=traceback.format_exc(limit=-4),
        )
        raise error.InternalError('unexpected error', 'serve') from fault


def _compute_first_event_deadline(
    context: request_context.RequestContext,
) -> float:
    if context.writer.started:
        return context.deadline
    return min(
        context.deadline, context.arrived + context.route.first_event_timeout
    )


def _find_customer(
    config: deployment.Deployment,
    route: deployment.Route,
    request: call.CallerRequest,
) -> deployment.Customer | None:
    if route.public or not config.customers_by_name:
        return None
    customer = config.customers_by_key.get(request.key)
    if customer is None:
        raise error.UnauthorizedError('the key is unknown', 'authorize')
    return customer
