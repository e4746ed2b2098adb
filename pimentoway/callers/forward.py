"""The path of a caller's request: route, key, slot, back end, answer."""

import dataclasses
import math

import xxhash

from pimentoway.backends import channel
from pimentoway.callers import answer_writer, connection
from pimentoway.core import (
    call,
    clock,
    deployment,
    error,
    eventstream,
    log,
    message,
    metric,
)
from pimentoway.ops import admission, ask, view

#: Seconds for which a request is kept if neither its route nor its caller
#: says how long.
DEFAULT_SECONDS = 30.0

#: Seconds before the end of a route's time at which the answer is given, so
#: that it arrives in time.
MARGIN_SECONDS = 0.02

#: Seconds without an event after which a stream that may be resumed goes on
#: at another back end: several times the longest pause of a sound one.
RESUME_SECONDS = 1.2

#: The idle time up to which a connection carries what may not be repeated;
#: a back end is unlikely to close a connection that was used just now.
FRESH_SECONDS = 1.0

#: The bytes of an answer that is held back until it is whole.
WHOLE_BYTES = 4 * 1024 * 1024

#: The tokens of a stream's answer if the caller gives no estimate.
DEFAULT_OUTPUT_TOKENS = 50

#: The tiers of routes within one tier of customers.
ROUTE_RANKS = 4

#: The attempts at a request that did not run anywhere.
PLACEMENTS = 6

_SUCCESS = range(200, 300)
_FAILURE = 500
_BAD_REQUEST = 400
_UNSHARED = b''

_LOG = log.Log('request')


class _AgainError(Exception):
    """The request should go to another back end."""


@dataclasses.dataclass(eq=False)
class Job:
    """A request that is being served.

    Attributes:
        request: The caller's request.
        route: Its route.
        service: The service that serves it.
        customer: The customer of its caller, if keys are in use.
        arrived: When it came.
        deadline: When it is given up.
        writer: Writes its answer.
        avoided: The back ends that should not get it again.
        repeats: The back ends at which it arrived.
        runs: The back ends that may have run it.
        failure: The answer of a back end that failed, to be passed on if no
            other back end does better.
        cutter: The events of its stream.
        waited: Seconds for which it waited for slots.
        first: Seconds until the first event or the answer.
        engine: The last back end.
    """

    request: call.CallerRequest
    route: deployment.Route
    service: str
    customer: deployment.Customer | None
    arrived: float
    deadline: float
    writer: answer_writer.AnswerWriter
    avoided: tuple[str, ...] = ()
    repeats: int = 0
    runs: int = 0
    failure: answer_writer.WholeAnswer | None = None
    cutter: eventstream.EventCutter = dataclasses.field(
        default_factory=eventstream.EventCutter,
    )
    waited: float = 0
    first: float = 0
    engine: str = ''

    def may_run_again(self) -> bool:
        """Tell whether the request may run at one more back end.

        Returns:
            Whether it may.
        """
        return self.route.idempotent and self.runs < self.route.attempts


class Forwarder:
    """Serves the requests of a node's callers."""

    def __init__(
        self,
        zone: str,
        known: view.View,
        slots: admission.Admission,
        channels: channel.ChannelPool,
        dialect: call.Dialect,
    ) -> None:
        """Serve with the parts of a node.

        Args:
            zone: The failure domain of the node.
            known: What the node knows of the registry.
            slots: Asks for slots.
            channels: The connections to back ends.
            dialect: How requests and answers are written.
        """
        self.active = 0
        self._zone = zone
        self._view = known
        self._slots = slots
        self._channels = channels
        self._dialect = dialect

    def read_limits(self) -> deployment.CallerLimits:
        """Read the limits on callers that are in force.

        Returns:
            The limits.
        """
        held = self._view.deployment
        return held.limits if held else deployment.CallerLimits()

    def serve(
        self, caller: connection.CallerConnection, raw: message.Request
    ) -> bool:
        """Serve a request.

        Args:
            caller: The caller's connection.
            raw: The request.

        Returns:
            Whether the connection may carry another request.
        """
        arrived = clock.read_monotonic()
        writer = answer_writer.AnswerWriter(caller, raw)
        request = self._dialect.read_request(raw)
        self.active += 1
        try:
            return self._serve_decoded(request, writer, arrived)
        finally:
            self.active -= 1

    def _serve_decoded(
        self,
        request: call.CallerRequest,
        writer: answer_writer.AnswerWriter,
        arrived: float,
    ) -> bool:
        try:
            job = self._make_job(request, writer, arrived)
        except error.PimentowayError as fault:
            self._log_refused(request, fault)
            writer.write_error(fault)
            return writer.stays
        outcome = 'caller left'
        try:
            outcome = self._serve_job(job)
        finally:
            self._log_job(job, outcome)
        return writer.stays

    def _make_job(
        self,
        request: call.CallerRequest,
        writer: answer_writer.AnswerWriter,
        arrived: float,
    ) -> Job:
        held = self._view.deployment
        if held is None:
            raise error.ConfigurationMissingError(
                'the node has no configuration yet', 'admit'
            )
        route = held.find_route(request.host, request.path)
        if route is None:
            raise error.UnknownServiceError('no route matches', 'route')
        customer = _find_customer(held, route, request)
        seconds = min(
            route.timeout or math.inf,
            math.inf if request.seconds is None else request.seconds,
        )
        if math.isinf(seconds):
            seconds = DEFAULT_SECONDS
        return Job(
            request=request,
            route=route,
            service=route.choose_service(request.request_id),
            customer=customer,
            arrived=arrived,
            deadline=arrived + seconds - MARGIN_SECONDS,
            writer=writer,
        )

    def _serve_job(self, job: Job) -> str:
        try:
            return self._place(job)
        except error.PimentowayError as fault:
            return self._give_up(job, fault)

    def _give_up(self, job: Job, fault: error.PimentowayError) -> str:
        if job.writer.begun:
            # An answer that ends early must not look complete.
            job.writer.stays = False
            return f'broken off: {fault}'
        if job.failure is not None:
            job.writer.write_whole(job.failure)
            return f'failed with {job.failure.status}'
        if job.runs and isinstance(fault, error.NotRunError):
            # It may have run before, so this refusal would not be true.
            fault = error.OutcomeUnknownError(fault.reason, fault.step)
        job.writer.write_error(fault)
        return f'{fault.code}: {fault}'

    def _place(self, job: Job) -> str:
        for _ in range(PLACEMENTS):
            entry, engine = self._ask(job)
            if engine is None:
                self._slots.report(
                    ask.Report(entry.number, ask.Outcome.unused),
                )
                continue
            job.engine = engine.name
            try:
                return _Exchange(self, job, entry, engine).run()
            except _AgainError:
                job.avoided = (*job.avoided, engine.name)
        raise error.NoPeerError('no back end takes the request', 'place')

    def _ask(self, job: Job) -> tuple[ask.Ask, deployment.Engine | None]:
        now = clock.read_monotonic()
        prompt = job.request.prompt or call.Prompt()
        output = prompt.hinted_tokens or DEFAULT_OUTPUT_TOKENS
        customer = job.customer
        entry = ask.Ask(
            number=0,
            service=job.service,
            route=job.route.name,
            zone=self._zone,
            rank=_find_rank(job.route, customer),
            customer=customer.name if customer else '',
            cost=_measure_cost(job),
            goal_left=job.arrived + job.route.goal - now,
            time_left=job.deadline - now,
            prompt_tokens=prompt.prompt_tokens,
            output_tokens=min(output, prompt.output_tokens or output),
            fingerprint=_make_fingerprint(job),
            repeats=job.repeats,
            avoided=job.avoided,
        )
        entry, name = self._slots.admit(entry)
        job.waited += clock.read_monotonic() - now
        engine = self._view.engines_by_name.get(name)
        if engine is None or not self._view.is_usable(engine):
            # This node knows better than the broker.
            job.avoided = (*job.avoided, name)
            return entry, None
        return entry, engine

    def _log_refused(
        self, request: call.CallerRequest, fault: error.PimentowayError
    ) -> None:
        held = self._view.deployment
        metric.REQUESTS.labels('', fault.code).inc()
        _LOG.write(
            'refused.',
            request.request_id,
            status=fault.status,
            reason=fault.reason,
            path=request.path,
            host=request.host,
            configuration=held.version if held else 0,
        )

    def _log_job(self, job: Job, outcome: str) -> None:
        held = self._view.deployment
        total = clock.read_monotonic() - job.arrived
        rank = str(_find_rank(job.route, job.customer))
        metric.REQUESTS.labels(rank, outcome.partition(':')[0]).inc()
        metric.QUEUE_SECONDS.labels(rank).observe(job.waited)
        if job.first:
            metric.FIRST_PIECE_SECONDS.labels(rank).observe(job.first)
        _LOG.write(
            'done.',
            job.request.request_id,
            outcome=outcome,
            route=job.route.name,
            service=job.service,
            customer=job.customer.name if job.customer else '',
            engine=job.engine,
            avoided=job.avoided,
            runs=job.runs,
            repeats=job.repeats,
            waited=round(job.waited, 4),
            first=round(job.first, 4),
            total=round(total, 4),
            events=job.cutter.count,
            limit=round(job.deadline - job.arrived, 3),
            goal=job.route.goal,
            remote=self._slots.is_remote,
            configuration=held.version if held else 0,
        )


class _Exchange:
    """One dispatch of a request to a back end."""

    def __init__(
        self,
        forwarder: Forwarder,
        job: Job,
        entry: ask.Ask,
        engine: deployment.Engine,
    ) -> None:
        self._slots = forwarder._slots
        self._channels = forwarder._channels
        self._dialect = forwarder._dialect
        self._job = job
        self._entry = entry
        self._engine = engine
        self._started = clock.read_monotonic()
        self._first = 0.0
        self._events = job.cutter.count
        self._marks: call.Marks | None = None
        self._outcome = ask.Outcome.abandoned

    def run(self) -> str:
        """Send the request and pass its answer on.

        Returns:
            What became of the request, for the log.
        """
        try:
            return self._run()
        except error.ConnectError as fault:
            self._outcome = ask.Outcome.unreachable
            raise _AgainError from fault
        finally:
            self._report()

    def _run(self) -> str:
        job = self._job
        youngest = math.inf if job.route.idempotent else FRESH_SECONDS
        link = self._channels.take(
            self._engine.name,
            self._engine.address,
            youngest,
        )
        kept = False
        try:
            answer, marks = self._send(link)
            text = self._pass_on(link, answer, marks)
            self._channels.give_back(link, answer, marks)
            kept = True
        finally:
            if not kept:
                self._channels.drop(link)
        if text is None:
            raise _AgainError
        return text

    def _send(
        self, link: channel.Channel
    ) -> tuple[message.Answer, call.Marks]:
        job = self._job
        errand = call.Errand(
            request=job.request,
            engine=self._engine,
            customer=job.customer.name if job.customer else '',
            seconds=job.deadline - clock.read_monotonic(),
            after_event=job.cutter.last_id,
        )
        payload = self._dialect.write_request(errand) + job.request.body
        job.repeats += 1
        job.runs += 1
        try:
            link.send(payload, job.deadline)
            return link.read_head(job.request.request_id, self._find_limit())
        except error.CutError as fault:
            raise self._note_cut(fault) from fault

    def _pass_on(
        self, link: channel.Channel, answer: message.Answer, marks: call.Marks
    ) -> str | None:
        job = self._job
        self._marks = marks
        if marks.not_run and answer.status != _BAD_REQUEST:
            return self._note_shed(link, answer)
        if answer.status not in _SUCCESS:
            return self._pass_failure(link, answer, marks)
        if not marks.sealed or marks.encoded or not marks.request_id:
            self._outcome = ask.Outcome.spoiled
            return self._decide_failed('the answer is not a proper one')
        if job.route.kind is deployment.Kind.stream:
            return self._pass_stream(link, answer)
        return self._pass_whole(link, answer)

    def _note_shed(
        self, link: channel.Channel, answer: message.Answer
    ) -> str | None:
        self._job.runs -= 1
        misdirected = answer.status == 421
        self._outcome = (
            ask.Outcome.misdirected if misdirected else ask.Outcome.shed
        )
        try:
            self._read_body(link, answer)
        except error.CutError:
            # Only the connection is lost: the request has not run.
            answer.keep_alive = False
        return None

    def _pass_failure(
        self, link: channel.Channel, answer: message.Answer, marks: call.Marks
    ) -> str | None:
        job = self._job
        self._outcome = ask.Outcome.failed
        body = self._read_body_or_cut(link, answer)
        whole = answer_writer.WholeAnswer(
            answer.status,
            answer.reason,
            tuple(answer.headers),
            body,
        )
        if job.writer.begun:
            return self._decide_failed(f'status {answer.status}')
        if marks.sealed:
            job.failure = whole
        if answer.status < _FAILURE and marks.sealed:
            job.writer.write_whole(whole)
            return f'passed on {answer.status}'
        return self._decide_failed(f'status {answer.status}')

    def _pass_whole(
        self, link: channel.Channel, answer: message.Answer
    ) -> str | None:
        body = self._read_body_or_cut(link, answer)
        self._note_first()
        self._outcome = ask.Outcome.answered
        self._job.writer.write_whole(
            answer_writer.WholeAnswer(
                answer.status,
                answer.reason,
                tuple(answer.headers),
                body,
            ),
        )
        return 'answered'

    def _pass_stream(
        self, link: channel.Channel, answer: message.Answer
    ) -> str:
        job = self._job
        cutter = job.cutter
        cutter.rest = b''
        while True:
            part = self._read_part(link, answer)
            if not part:
                break
            events = cutter.feed(part)
            if events:
                self._write_events(answer, events)
        self._outcome = ask.Outcome.answered
        if not job.writer.begun:
            job.writer.begin_stream(answer, b'')
        job.writer.end_stream(cutter.rest)
        return 'answered'

    def _read_part(
        self, link: channel.Channel, answer: message.Answer
    ) -> bytes:
        try:
            return link.read_part(answer, self._find_limit())
        except error.CutError as fault:
            raise self._note_cut(fault) from fault

    def _write_events(self, answer: message.Answer, events: bytes) -> None:
        self._note_first()
        writer = self._job.writer
        if writer.begun:
            writer.write_events(events)
        else:
            writer.begin_stream(answer, events)

    def _note_first(self) -> None:
        now = clock.read_monotonic()
        if not self._first:
            self._first = now - self._started
        if not self._job.first:
            self._job.first = now - self._job.arrived

    def _read_body(
        self, link: channel.Channel, answer: message.Answer
    ) -> bytes:
        parts = []
        size = 0
        while True:
            part = link.read_part(answer, self._job.deadline)
            if not part:
                return b''.join(parts)
            parts.append(part)
            size += len(part)
            if size > WHOLE_BYTES:
                raise error.CutError('the answer is too large', 'read')

    def _read_body_or_cut(
        self, link: channel.Channel, answer: message.Answer
    ) -> bytes:
        try:
            return self._read_body(link, answer)
        except error.CutError as fault:
            raise self._note_cut(fault) from fault

    def _find_limit(self) -> float:
        job = self._job
        if job.route.resumable and job.may_run_again():
            limit = clock.read_monotonic() + RESUME_SECONDS
            return min(job.deadline, limit)
        return job.deadline

    def _note_cut(self, fault: error.CutError) -> Exception:
        silent = isinstance(fault, channel.SilentError)
        self._outcome = ask.Outcome.silent if silent else ask.Outcome.cut
        job = self._job
        if job.may_run_again() and clock.read_monotonic() < job.deadline:
            return _AgainError()
        if silent:
            return error.OutcomeUnknownError(
                'no answer in time', fault.step, fault.peer
            )
        return error.FailedError(fault.reason, fault.step, fault.peer)

    def _decide_failed(self, reason: str) -> str | None:
        job = self._job
        if job.may_run_again():
            return None
        raise error.FailedError(reason, 'answer', self._engine.name)

    def _report(self) -> None:
        now = clock.read_monotonic()
        load = self._marks.load if self._marks else None
        cold = self._marks.cold_seconds if self._marks else None
        self._slots.report(
            ask.Report(
                number=self._entry.number,
                outcome=self._outcome,
                first=self._first,
                total=now - self._started,
                events=self._job.cutter.count - self._events,
                running=load.running if load else -1,
                waiting=load.waiting if load else 0,
                cold=-1 if cold is None else cold,
            ),
        )


def _find_customer(
    held: deployment.Deployment,
    route: deployment.Route,
    request: call.CallerRequest,
) -> deployment.Customer | None:
    if route.public or not held.customers_by_name:
        return None
    customer = held.customers_by_key.get(request.key)
    if customer is None:
        raise error.UnauthorizedError('the key is unknown', 'authorize')
    return customer


def _find_rank(
    route: deployment.Route, customer: deployment.Customer | None
) -> int:
    if customer is None or customer.rank is None:
        return route.rank
    # The customer's tier goes first, and the route's decides within it.
    return customer.rank * ROUTE_RANKS + min(route.rank, ROUTE_RANKS - 1)


def _measure_cost(job: Job) -> float:
    if job.customer is None:
        return 0
    prompt = job.request.prompt
    tokens = prompt.prompt_tokens + prompt.output_tokens if prompt else None
    return job.customer.measure_cost(tokens)


def _make_fingerprint(job: Job) -> int:
    digest = xxhash.xxh64(job.request.target)
    digest.update(job.request.key.encode())
    digest.update(job.request.body)
    return digest.intdigest()
