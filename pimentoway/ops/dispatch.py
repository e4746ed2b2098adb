"""The path of one request: admission, queue, back end and answer.

A request is sent to at most one back end. It goes to another one only if the
connection was never established; a stream that breaks off is resumed at the
back end that runs it.
"""

import collections
import dataclasses

import gevent
from opentelemetry import trace as opentelemetry_trace

from pimentoway.backends import exchange
from pimentoway.core import (
    clock,
    error,
    evidence,
    log,
    metric,
    request,
    trace,
)
from pimentoway.ops import fleet, judge, quarantine, queue, scheduler, verdict

#: How often one answer is resumed before its outcome counts as unknown.
MAX_RESUMPTIONS = 3

#: Seconds by which the pause before each further resumption grows.
RESUMPTION_PAUSE_SECONDS = 0.2

#: The tokens between two samples of a stream's pace.
SAMPLED_TOKENS = 4

#: Milliseconds in a second.
MILLISECONDS = 1000

_LOG = log.Log('dispatch')

Pieces = collections.abc.Iterator[request.Piece]


@dataclasses.dataclass
class AnswerProgress:
    """How much of an answer has arrived. Times are monotonic seconds.

    Attributes:
        sent_at: When the request was sent.
        maybe_sent: Whether bytes of the request may have reached the back
            end.
        first_at: When the first piece came; 0 before.
        last_sequence: The sequence number of the last piece; 0 before.
        tokens: The tokens so far.
        complete: Whether the final piece came.
        sampled_at: When the pace was last sampled.
    """

    sent_at: float
    maybe_sent: bool = True
    first_at: float = 0
    last_sequence: int = 0
    tokens: int = 0
    complete: bool = False
    sampled_at: float = 0

    def sample_pace(self) -> float:
        """Measure the mean gap between the last `SAMPLED_TOKENS` tokens.

        Returns:
            The gap in seconds; 0 if no sample is due.
        """
        if self.tokens <= 1 or (self.tokens - 1) % SAMPLED_TOKENS:
            return 0
        now = clock.read_monotonic()
        pace = (now - self.sampled_at) / SAMPLED_TOKENS
        self.sampled_at = now
        return pace

    def record_piece(self, piece: request.Piece) -> None:
        """Count a piece of the answer.

        Args:
            piece: The next piece in order.
        """
        if not self.first_at:
            self.first_at = clock.read_monotonic()
        self.last_sequence = piece.sequence
        self.tokens += piece.tokens
        if self.tokens == 1:
            self.sampled_at = self.first_at
        self.complete = piece.final

    def measure_pace(self) -> float:
        """Measure the seconds for a unit of work.

        Returns:
            The mean gap between tokens, or the time since the request was
            sent if the answer has no more than one token.
        """
        now = clock.read_monotonic()
        if self.tokens > 1:
            return (now - self.first_at) / (self.tokens - 1)
        return now - self.sent_at


class Dispatcher:
    """Carries requests from admission to their answer."""

    def __init__(
        self,
        node_scheduler: scheduler.Scheduler,
        link: exchange.BackendLink,
        tracer: trace.Tracer,
        version_judge: judge.Judge,
        announce: collections.abc.Callable[[evidence.Evidence], object],
    ) -> None:
        """Connect the parts of the request path.

        Args:
            node_scheduler: Queues requests and chooses back ends.
            link: Reaches the back ends.
            tracer: Records the spans of queue and back end.
            version_judge: Compares versions by their answers.
            announce: Sends evidence to the other nodes.
        """
        self._scheduler = node_scheduler
        self._link = link
        self._tracer = tracer
        self._judge = version_judge
        self._announce = announce
        self._sent_at_by_request: dict[str, float] = {}

    def run(self, req: request.Request) -> Pieces:
        """Run a request on one back end.

        A request that is suspected of crashing back ends runs as a trial,
        alone on its back end.

        Args:
            req: The request.

        Yields:
            The pieces of the answer; the last one is final.
        """
        self._scheduler.suspects.prefixes.check(req)
        fingerprint = request.fingerprint_body(req.service.name, req.body)
        run_mode = self._scheduler.suspects.check(fingerprint)
        trial = run_mode is quarantine.RunMode.trial
        if trial:
            self._scheduler.suspects.begin_trial(fingerprint)
        complete = False
        try:
            yield from self._run_admitted(req, trial)
            complete = True
            self._scheduler.suspects.record_answer(fingerprint)
            self._scheduler.suspects.prefixes.record_answer(req)
        finally:
            if trial:
                self._scheduler.suspects.end_trial(fingerprint, complete)

    def await_grant(self, ticket: queue.Ticket) -> fleet.BackendState:
        """Wait until a request is granted a back end.

        Args:
            ticket: The ticket of the request.

        Returns:
            The state of the back end. A grant that came before the timeout
            wins over it. The error of a refused or expired ticket is raised.

        Raises:
            GreenletExit: If the caller's greenlet was killed.
        """
        req = ticket.request
        span = self._tracer.begin(
            'queue',
            req.request_id,
            req.traceparent,
        )
        arrived = clock.read_monotonic()
        timeout = self._scheduler.compute_queue_timeout(req)
        try:
            return ticket.future.get(timeout=timeout)
        except gevent.Timeout:
            expired = error.ExpiredError(
                'the deadline can no longer be met',
                'queue',
            )
            self._scheduler.withdraw(ticket, expired)
            return ticket.future.get()
        except gevent.GreenletExit:
            self._abandon(ticket)
            raise
        finally:
            span.end()
            metric.QUEUE_SECONDS.labels(req.caller.tier).observe(
                clock.read_monotonic() - arrived,
            )

    def _run_admitted(self, req: request.Request, trial: bool) -> Pieces:
        ticket = self._scheduler.submit(req, trial)
        sent = False
        while not sent:
            state = self.await_grant(ticket)
            try:
                yield from self._run_granted(req, state)
            except error.ConnectError:
                state.note_refused_connection()
                ticket = self._scheduler.resubmit(ticket, state)
            else:
                sent = True

    def _abandon(self, ticket: queue.Ticket) -> None:
        # The caller disconnected: leave the queue, or free the granted slot.
        gone = error.ExpiredError('the caller went away', 'queue')
        if (
            not self._scheduler.withdraw(ticket, gone)
            and ticket.future.successful()
        ):
            self._scheduler.release(ticket.future.get(), ticket.request, 0)

    def _run_granted(
        self, req: request.Request, state: fleet.BackendState
    ) -> Pieces:
        span = self._tracer.begin(
            'backend',
            req.request_id,
            req.traceparent,
        )
        span.set_attribute('backend', state.backend.name)
        traced = dataclasses.replace(
            req,
            traceparent=trace.format_parent(span),
        )
        progress = AnswerProgress(clock.read_monotonic())
        self._sent_at_by_request[req.request_id] = progress.sent_at
        try:
            yield from self._read_answer(traced, state, progress)
            self._record_success(traced, state, progress)
        except error.ConnectError:
            progress.maybe_sent = False
            raise
        except error.PimentowayError as fault:
            span.set_status(opentelemetry_trace.StatusCode.ERROR, str(fault))
            self._record_failure(traced, state, fault)
            raise
        finally:
            span.end()
            self._finish(traced, state, progress)

    def _finish(
        self,
        req: request.Request,
        state: fleet.BackendState,
        progress: AnswerProgress,
    ) -> None:
        self._sent_at_by_request.pop(req.request_id, None)
        if progress.maybe_sent:
            self._scheduler.release(state, req, progress.tokens)
        if progress.first_at and not progress.complete:
            metric.WASTED_PREFILL_TOKENS.inc(req.prompt_tokens)
            gevent.spawn(self._cancel, req, state)

    def _cancel(self, req: request.Request, state: fleet.BackendState) -> None:
        try:
            exchange.cancel_run(state.backend, req, self._link)
        except error.PimentowayError as fault:
            _LOG.write(
                f'cancelling the run at its back end failed: {fault}.',
                req.request_id,
            )

    def _read_answer(
        self,
        req: request.Request,
        state: fleet.BackendState,
        progress: AnswerProgress,
    ) -> Pieces:
        boot = state.health.boot
        pieces = exchange.open_answer(state.backend, req, self._link)
        for attempt in range(MAX_RESUMPTIONS + 1):
            try:
                yield from self._read_pieces(pieces, req, state, progress)
            except error.ConnectionLostError as cut:
                self._check_resumable(req, state, boot, cut)
            if progress.complete:
                return
            gevent.sleep(RESUMPTION_PAUSE_SECONDS * attempt)
            _LOG.write(
                'resuming the broken answer at the same back end.',
                req.request_id,
            )
            pieces = self._resume(req, state, progress)
        raise error.OutcomeUnknownError(
            'the answer broke off and could not be resumed',
            'resume',
            state.backend.name,
        )

    def _resume(
        self,
        req: request.Request,
        state: fleet.BackendState,
        progress: AnswerProgress,
    ) -> Pieces:
        resumed = exchange.resume_answer(
            state.backend,
            req,
            self._link,
            progress.last_sequence,
        )
        try:
            yield from resumed
        except error.ConnectError as fault:
            # The request was sent before, so a `ConnectError` here must not
            # let it go to another back end.
            raise error.ConnectionLostError(
                fault.reason, 'resume', fault.peer
            ) from fault

    def _read_pieces(
        self,
        pieces: Pieces,
        req: request.Request,
        state: fleet.BackendState,
        progress: AnswerProgress,
    ) -> Pieces:
        try:
            for piece in pieces:
                if piece.sequence <= progress.last_sequence:
                    continue
                _check_piece(piece, req, progress)
                progress.record_piece(piece)
                state.limit.record_stream_pace(progress.sample_pace())
                yield piece
        except error.RunLostError as fault:
            raise error.OutcomeUnknownError(
                'the back end lost the run',
                'resume',
                fault.peer,
            ) from fault

    def _check_resumable(
        self,
        req: request.Request,
        state: fleet.BackendState,
        boot: str,
        cut: error.ConnectionLostError,
    ) -> None:
        """Check that a broken stream may be resumed.

        Also records a crash if the back end was restarted or refuses
        connections.

        Args:
            req: The request.
            state: The back end.
            boot: Its boot identifier when the request was sent; '' if no
                report had come.
            cut: How the stream broke.

        Raises:
            OutcomeUnknownError: If the back end crashed, the deadline has
                passed, or the service isn't repeatable.
        """
        late = clock.read_monotonic() >= req.deadline
        crashed = not late and self._is_crashed(state, boot)
        if crashed:
            self._record_crash(state, boot)
        if crashed or late or not req.service.repeatable:
            raise error.OutcomeUnknownError(
                f'no whole answer came: {cut.reason}',
                cut.step,
                state.backend.name,
            ) from cut

    def _is_crashed(self, state: fleet.BackendState, boot: str) -> bool:
        try:
            report = exchange.fetch_report(state.backend, self._link)
        except error.ConnectError as fault:
            state.note_refused_connection()
            # A back end that is silent may still run the request.
            return isinstance(fault.__cause__, ConnectionError)
        except error.PimentowayError:
            return False
        self._link.on_report(state.backend.name, report)
        return boot not in {'', report.boot}

    def _record_crash(self, state: fleet.BackendState, boot: str) -> None:
        crash = f'{state.backend.name}/{boot}'
        _LOG.write(
            'a back end crashed; the requests that it ran are suspects.',
            crash=crash,
        )
        for req in list(state.inflight.values()):
            fingerprint = request.fingerprint_body(
                req.service.name,
                req.body,
            )
            trial = self._scheduler.suspects.is_on_trial(fingerprint)
            now = clock.read_monotonic()
            sent_at = self._sent_at_by_request.get(req.request_id, now)
            suspicion = evidence.CrashSuspicion(
                fingerprint,
                crash,
                trial,
                req.service.name,
                self._scheduler.suspects.prefixes.list_suspects(req),
                now - sent_at,
            )
            if self._scheduler.suspects.record(suspicion):
                self._announce(suspicion)

    def _record_success(
        self,
        req: request.Request,
        state: fleet.BackendState,
        progress: AnswerProgress,
    ) -> None:
        nodes = self._scheduler.routing.current.nodes
        base_pace = self._judge.measure_base_pace(state)
        slow = (
            base_pace
            and progress.measure_pace() > verdict.SLOW_RATIO * base_pace
        )
        self._judge.note_answer(req, state, good=not slow)
        if state.note_answer(progress.measure_pace(), nodes):
            self._announce_cold_start(state)
        elif state.backend.name in self._scheduler.routing.current.owned:
            self._announce_allowance(state)
        metric.BACKEND_SLOTS.labels(state.backend.name).set(state.limit.slots)

    def _record_failure(
        self,
        req: request.Request,
        state: fleet.BackendState,
        fault: error.PimentowayError,
    ) -> None:
        state.note_failure(self._scheduler.routing.current.nodes)
        self._judge.note_answer(req, state, good=False)
        _LOG.write(
            f'the back end gave no whole answer: {fault}.',
            req.request_id,
        )

    def _announce_cold_start(self, state: fleet.BackendState) -> None:
        sequence = int(clock.read_wall() * MILLISECONDS)
        self._announce(evidence.ColdStart(state.backend.name, sequence))

    def _announce_allowance(self, state: fleet.BackendState) -> None:
        sequence = int(clock.read_wall() * MILLISECONDS)
        if not state.ramp.mark_announced():
            return
        self._announce(
            evidence.RampLimit(state.backend.name, state.ramp.slots, sequence),
        )


def _check_piece(
    piece: request.Piece, req: request.Request, progress: AnswerProgress
) -> None:
    if piece.sequence != progress.last_sequence + 1:
        raise error.ConnectionLostError(
            f'piece {piece.sequence} follows {progress.last_sequence}',
            'read',
        )
    if clock.read_monotonic() >= req.deadline and not piece.final:
        raise error.ConnectionLostError('the deadline came', 'read')
    if piece.final and not piece.payload:
        raise error.FailedError('the answer is blank', 'read')
    if piece.final and piece.payload == b'[DONE]' and not progress.tokens:
        raise error.FailedError('the answer is blank', 'read')
