"""The path of one request: admission, queue, back end and answer.

A request is sent to at most one back end. Only a connection that was never
made lets it go to another; a stream that breaks off is resumed where it runs.
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
from pimentoway.ops import fleet, judge, queue, scheduler, suspect, verdict

#: The resumptions tried for one answer.
RESUMPTIONS = 3

#: Seconds before each further resumption.
RESUMPTION_PAUSE_SECONDS = 0.2

#: The tokens over which the pace of a stream is sampled.
SAMPLED_TOKENS = 4

#: Milliseconds in a second.
MILLISECONDS = 1000

_LOG = log.Log('dispatch')

Pieces = collections.abc.Iterator[request.Piece]


@dataclasses.dataclass
class Progress:
    """How far an answer has come.

    Attributes:
        started: When the request was sent.
        sent: Whether bytes of the request may have reached the back end.
        first: When the first piece came; 0 before.
        last: The number of the last piece.
        tokens: The tokens so far.
        whole: Whether the answer is whole.
        sampled: When the pace was last sampled.
    """

    started: float
    sent: bool = True
    first: float = 0
    last: int = 0
    tokens: int = 0
    whole: bool = False
    sampled: float = 0

    def sample_pace(self) -> float:
        """Measure the gap between the latest tokens, once in a while.

        Returns:
            The mean gap since the last sample, or 0 if it is too early.
        """
        if self.tokens <= 1 or (self.tokens - 1) % SAMPLED_TOKENS:
            return 0
        now = clock.read_monotonic()
        pace = (now - self.sampled) / SAMPLED_TOKENS
        self.sampled = now
        return pace

    def add(self, piece: request.Piece) -> None:
        """Take in the next piece.

        Args:
            piece: The piece.
        """
        if not self.first:
            self.first = clock.read_monotonic()
        self.last = piece.sequence
        self.tokens += piece.tokens
        if self.tokens == 1:
            self.sampled = self.first
        self.whole = piece.final

    def measure_pace(self) -> float:
        """Measure the seconds for a unit of work.

        Returns:
            The mean gap between tokens, or the whole time of a plain call.
        """
        now = clock.read_monotonic()
        if self.tokens > 1:
            return (now - self.first) / (self.tokens - 1)
        return now - self.started


class Dispatcher:
    """Carries requests from admission to their answer."""

    def __init__(
        self,
        plan: scheduler.Scheduler,
        link: exchange.Link,
        tracer: trace.Tracer,
        judging: judge.Judge,
        announce: collections.abc.Callable[[evidence.Evidence], object],
    ) -> None:
        """Connect the parts.

        Args:
            plan: The scheduler of the node.
            link: How to reach the back ends.
            tracer: The tracer.
            judging: Judges versions by their answers.
            announce: Tells the other nodes a sign.
        """
        self._plan = plan
        self._link = link
        self._tracer = tracer
        self._judge = judging
        self._announce = announce

    def run(self, entry: request.Request) -> Pieces:
        """Run a request on one back end.

        Args:
            entry: The request.

        Yields:
            The pieces of the answer; the last one is final.
        """
        fingerprint = request.fingerprint_body(entry.service.name, entry.body)
        verdict = self._plan.suspects.check(fingerprint)
        trial = verdict is suspect.Verdict.trial
        if trial:
            self._plan.suspects.begin_trial(fingerprint)
        whole = False
        try:
            yield from self._run_admitted(entry, trial)
            whole = True
            self._plan.suspects.note_answered(fingerprint)
        finally:
            if trial:
                self._plan.suspects.end_trial(fingerprint, whole)

    def await_grant(self, ticket: queue.Ticket) -> fleet.BackendState:
        """Wait until a request is granted a back end.

        Args:
            ticket: Its ticket.

        Returns:
            The state of the back end. If the request was refused or gave up
            waiting, the error is raised; a grant that came first wins.

        Raises:
            GreenletExit: If the caller's task was ended.
        """
        entry = ticket.request
        span = self._tracer.begin(
            'queue',
            entry.request_id,
            entry.traceparent,
        )
        arrived = clock.read_monotonic()
        patience = self._plan.measure_patience(entry)
        try:
            return ticket.granted.get(timeout=patience)
        except gevent.Timeout:
            expired = error.ExpiredError(
                'the deadline can no longer be met',
                'queue',
            )
            self._plan.withdraw(ticket, expired)
            return ticket.granted.get()
        except gevent.GreenletExit:
            self._abandon(ticket)
            raise
        finally:
            span.end()
            metric.QUEUE_SECONDS.labels(entry.caller.tier).observe(
                clock.read_monotonic() - arrived,
            )

    def _run_admitted(self, entry: request.Request, trial: bool) -> Pieces:
        ticket = self._plan.submit(entry, trial)
        sent = False
        while not sent:
            state = self.await_grant(ticket)
            try:
                yield from self._run_granted(entry, state)
            except error.ConnectError:
                state.note_refused_connection()
                ticket = self._plan.resubmit(ticket, state)
            else:
                sent = True

    def _abandon(self, ticket: queue.Ticket) -> None:
        # The caller went away: free the place, or the slot if it was granted.
        gone = error.ExpiredError('the caller went away', 'queue')
        if (
            not self._plan.withdraw(ticket, gone)
            and ticket.granted.successful()
        ):
            self._plan.release(ticket.granted.get(), ticket.request, 0)

    def _run_granted(
        self, entry: request.Request, state: fleet.BackendState
    ) -> Pieces:
        span = self._tracer.begin(
            'backend',
            entry.request_id,
            entry.traceparent,
        )
        span.set_attribute('backend', state.backend.name)
        sent = dataclasses.replace(
            entry,
            traceparent=trace.format_parent(span),
        )
        progress = Progress(clock.read_monotonic())
        try:
            yield from self._read_answer(sent, state, progress)
            self._note_whole(sent, state, progress)
        except error.ConnectError:
            progress.sent = False
            raise
        except error.PimentowayError as fault:
            span.set_status(opentelemetry_trace.StatusCode.ERROR, str(fault))
            self._note_broken(sent, state, fault)
            raise
        finally:
            span.end()
            self._finish(sent, state, progress)

    def _finish(
        self,
        entry: request.Request,
        state: fleet.BackendState,
        progress: Progress,
    ) -> None:
        if progress.sent:
            self._plan.release(state, entry, progress.tokens)
        if progress.first and not progress.whole:
            metric.WASTED_PREFILL_TOKENS.inc(entry.prompt_tokens)
            gevent.spawn(self._cancel, entry, state)

    def _cancel(
        self, entry: request.Request, state: fleet.BackendState
    ) -> None:
        try:
            exchange.cancel_run(state.backend, entry, self._link)
        except error.PimentowayError as fault:
            _LOG.write(f'cancelling failed: {fault}.', entry.request_id)

    def _read_answer(
        self,
        entry: request.Request,
        state: fleet.BackendState,
        progress: Progress,
    ) -> Pieces:
        boot = state.health.boot
        pieces = exchange.open_answer(state.backend, entry, self._link)
        for attempt in range(RESUMPTIONS + 1):
            try:
                yield from self._follow(pieces, entry, state, progress)
            except error.CutError as cut:
                self._check_resumable(entry, state, boot, cut)
            if progress.whole:
                return
            gevent.sleep(RESUMPTION_PAUSE_SECONDS * attempt)
            _LOG.write('resuming a broken stream.', entry.request_id)
            pieces = self._resume(entry, state, progress)
        raise error.OutcomeUnknownError(
            'the answer broke off and could not be resumed',
            'resume',
            state.backend.name,
        )

    def _resume(
        self,
        entry: request.Request,
        state: fleet.BackendState,
        progress: Progress,
    ) -> Pieces:
        resumed = exchange.resume_answer(
            state.backend,
            entry,
            self._link,
            progress.last,
        )
        try:
            yield from resumed
        except error.ConnectError as fault:
            # Bytes were sent before, so this is no connection never made.
            raise error.CutError(fault.reason, 'resume', fault.peer) from fault

    def _follow(
        self,
        pieces: Pieces,
        entry: request.Request,
        state: fleet.BackendState,
        progress: Progress,
    ) -> Pieces:
        try:
            for piece in pieces:
                if piece.sequence <= progress.last:
                    continue
                _check_piece(piece, entry, progress)
                progress.add(piece)
                state.limit.observe_pace(progress.sample_pace())
                yield piece
        except error.RunLostError as fault:
            raise error.OutcomeUnknownError(
                'the back end lost the run',
                'resume',
                fault.peer,
            ) from fault

    def _check_resumable(
        self,
        entry: request.Request,
        state: fleet.BackendState,
        boot: str,
        cut: error.CutError,
    ) -> None:
        """Find out whether a stream broke because its back end crashed.

        Args:
            entry: The request.
            state: The back end.
            boot: Its boot identifier when the request was sent.
            cut: How the stream broke.

        Raises:
            OutcomeUnknownError: If the back end crashed or can't resume.
        """
        late = clock.read_monotonic() >= entry.deadline
        crashed = not late and self._is_crashed(state, boot)
        if crashed:
            self._note_crash(state, boot)
        if crashed or late or not entry.service.repeatable:
            raise error.OutcomeUnknownError(
                f'no whole answer came: {cut.reason}',
                cut.step,
                state.backend.name,
            ) from cut

    def _is_crashed(self, state: fleet.BackendState, boot: str) -> bool:
        try:
            report = exchange.fetch_report(state.backend, self._link)
        except error.ConnectError:
            state.note_refused_connection()
            return True
        except error.PimentowayError:
            return False
        self._link.note_report(state.backend.name, report)
        return boot not in {'', report.boot}

    def _note_crash(self, state: fleet.BackendState, boot: str) -> None:
        crash = f'{state.backend.name}/{boot}'
        _LOG.write('a back end crashed.', crash=crash)
        for entry in list(state.inflight.values()):
            fingerprint = request.fingerprint_body(
                entry.service.name,
                entry.body,
            )
            trial = self._plan.suspects.is_on_trial(fingerprint)
            sign = evidence.Suspicion(fingerprint, crash, trial)
            if self._plan.suspects.record(sign):
                self._announce(sign)

    def _note_whole(
        self,
        entry: request.Request,
        state: fleet.BackendState,
        progress: Progress,
    ) -> None:
        nodes = self._plan.place.current.nodes
        usual = self._judge.measure_base_pace(state)
        slow = usual and progress.measure_pace() > verdict.SLOW_RATIO * usual
        self._judge.note_answer(entry, state, good=not slow)
        if state.note_answer(progress.measure_pace(), nodes):
            self._announce_cold(state)
        elif state.backend.name in self._plan.place.current.owned:
            self._announce_allowance(state)
        metric.BACKEND_SLOTS.labels(state.backend.name).set(state.limit.slots)

    def _note_broken(
        self,
        entry: request.Request,
        state: fleet.BackendState,
        fault: error.PimentowayError,
    ) -> None:
        state.note_failure(self._plan.place.current.nodes)
        self._judge.note_answer(entry, state, good=False)
        _LOG.write(f'an answer failed: {fault}.', entry.request_id)

    def _announce_cold(self, state: fleet.BackendState) -> None:
        sequence = int(clock.read_wall() * MILLISECONDS)
        self._announce(evidence.ColdStart(state.backend.name, sequence))

    def _announce_allowance(self, state: fleet.BackendState) -> None:
        sequence = int(clock.read_wall() * MILLISECONDS)
        if not state.ramp.note_announced():
            return
        self._announce(
            evidence.Allowance(state.backend.name, state.ramp.slots, sequence),
        )


def _check_piece(
    piece: request.Piece, entry: request.Request, progress: Progress
) -> None:
    if piece.sequence != progress.last + 1:
        raise error.CutError(
            f'piece {piece.sequence} follows {progress.last}',
            'read',
        )
    if clock.read_monotonic() >= entry.deadline and not piece.final:
        raise error.CutError('the deadline came', 'read')
    if piece.final and not piece.payload:
        raise error.FailedError('the answer is blank', 'read')
    if piece.final and piece.payload == b'[DONE]' and not progress.tokens:
        raise error.FailedError('the answer is blank', 'read')
