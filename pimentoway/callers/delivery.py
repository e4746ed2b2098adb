"""One dispatch of a request to a back end, and the way of its answer."""

import dataclasses
import math

from pimentoway.backends import channel
from pimentoway.callers import answer_writer, job
from pimentoway.core import call, clock, deployment, error, message
from pimentoway.ops import ask, slotclient

#: Seconds without an event after which a stream that may be resumed goes on
#: at another back end: several times the longest pause of a sound one.
RESUME_SECONDS = 1.2

#: The idle time up to which a connection carries what may not be repeated;
#: a back end is unlikely to close a connection that was used just now.
FRESH_SECONDS = 1

#: The bytes of an answer that is held back until it is whole.
WHOLE_BYTES = 0x400000

_SUCCESS = 200
_REDIRECTION = 300
_BAD_REQUEST = 400
_MISDIRECTED = 421
_FAILURE = 500


class AgainError(Exception):
    """The request should go to another back end."""


@dataclasses.dataclass(frozen=True)
class Parts:
    """The parts of a node that a delivery needs.

    Attributes:
        slots: Asks for slots.
        channels: The connections to back ends.
        dialect: How requests and answers are written.
    """

    slots: slotclient.SlotClient
    channels: channel.ChannelPool
    dialect: call.Dialect


class Delivery:
    """One dispatch of a request to a back end."""

    def __init__(
        self,
        parts: Parts,
        served: job.Job,
        entry: ask.Ask,
        engine: deployment.Engine,
    ) -> None:
        """Prepare a dispatch.

        Args:
            parts: The parts of the node.
            served: The request.
            entry: The ask that was granted.
            engine: The back end.
        """
        self._parts = parts
        self._job = served
        self._entry = entry
        self._engine = engine
        self._started = clock.read_monotonic()
        self._first: float = 0
        self._events = served.cutter.count
        self._notes: call.AnswerNotes | None = None
        self._outcome = ask.Outcome.abandoned

    def run(self) -> str:
        """Send the request and pass its answer on.

        Returns:
            What became of the request, for the log.

        Raises:
            AgainError: If the request should go to another back end.
        """
        try:
            return self._exchange()
        except error.ConnectError as fault:
            self._outcome = ask.Outcome.unreachable
            raise AgainError from fault
        finally:
            self._report()

    def _exchange(self) -> str:
        youngest = math.inf if self._job.route.idempotent else FRESH_SECONDS
        link = self._parts.channels.take(
            self._engine.name,
            self._engine.address,
            youngest,
        )
        answer = None
        try:
            answer = self._send(link)
            return self._pass_on(link, answer)
        finally:
            self._release(link, answer)

    def _release(
        self, link: channel.Channel, answer: message.Answer | None
    ) -> None:
        # Closing a connection makes the back end stop its work.
        if answer is not None and answer.whole and self._notes:
            self._parts.channels.give_back(link, answer, self._notes)
        else:
            self._parts.channels.drop(link)

    def _send(self, link: channel.Channel) -> message.Answer:
        served = self._job
        dispatch = call.Dispatch(
            request=served.request,
            engine=self._engine,
            customer=served.customer.name if served.customer else '',
            seconds=served.deadline - clock.read_monotonic(),
            after_event=served.cutter.last_id,
        )
        head = self._parts.dialect.write_request(dispatch)
        served.repeats += 1
        served.runs += 1
        request_id = served.request.request_id
        try:
            link.send(b'%s%s' % (head, served.request.body), served.deadline)
            answer, notes = link.read_head(request_id, self._find_limit())
        except error.CutError as fault:
            raise self._note_cut(fault) from fault
        self._notes = notes
        return answer

    def _pass_on(self, link: channel.Channel, answer: message.Answer) -> str:
        notes = self._notes
        if notes.not_run and answer.status != _BAD_REQUEST:
            self._note_shed(link, answer)
            raise AgainError
        if not _SUCCESS <= answer.status < _REDIRECTION:
            return self._pass_failure(link, answer, notes)
        if not notes.sealed or notes.encoded or not notes.request_id:
            self._outcome = ask.Outcome.spoiled
            raise self._decide_failed('the answer is not a proper one')
        if self._job.route.kind is deployment.Kind.stream:
            return self._pass_stream(link, answer)
        return self._pass_whole(link, answer)

    def _note_shed(self, link: channel.Channel, answer: message.Answer) -> None:
        self._job.runs -= 1
        self._outcome = ask.Outcome.shed
        if answer.status == _MISDIRECTED:
            self._outcome = ask.Outcome.misdirected
        try:
            self._read_body(link, answer)
        except error.CutError:
            # Only the connection is lost: the request has not run.
            answer.keep_alive = False

    def _pass_failure(
        self,
        link: channel.Channel,
        answer: message.Answer,
        notes: call.AnswerNotes,
    ) -> str:
        served = self._job
        self._outcome = ask.Outcome.failed
        whole = _make_whole(answer, self._read_body_or_cut(link, answer))
        if notes.sealed and not served.writer.begun:
            served.failure = whole
            if answer.status < _FAILURE:
                served.writer.write_whole(whole)
                return f'passed on {answer.status}'
        raise self._decide_failed(f'status {answer.status}')

    def _pass_whole(self, link: channel.Channel, answer: message.Answer) -> str:
        body = self._read_body_or_cut(link, answer)
        self._note_first()
        self._outcome = ask.Outcome.answered
        self._job.writer.write_whole(_make_whole(answer, body))
        return 'answered'

    def _pass_stream(
        self, link: channel.Channel, answer: message.Answer
    ) -> str:
        served = self._job
        served.cutter.rest = b''
        part = self._read_part(link, answer)
        while part:
            events = served.cutter.feed(part)
            if events:
                self._write_events(answer, events)
            part = self._read_part(link, answer)
        self._outcome = ask.Outcome.answered
        if not served.writer.begun:
            served.writer.begin_stream(answer, b'')
        served.writer.end_stream(served.cutter.rest)
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
        body = bytearray()
        part = link.read_part(answer, self._job.deadline)
        while part:
            body += part
            if len(body) > WHOLE_BYTES:
                raise error.CutError('the answer is too large', 'read')
            part = link.read_part(answer, self._job.deadline)
        return bytes(body)

    def _read_body_or_cut(
        self, link: channel.Channel, answer: message.Answer
    ) -> bytes:
        try:
            return self._read_body(link, answer)
        except error.CutError as fault:
            raise self._note_cut(fault) from fault

    def _find_limit(self) -> float:
        served = self._job
        if served.route.resumable and served.may_run_again():
            limit = clock.read_monotonic() + RESUME_SECONDS
            return min(served.deadline, limit)
        return served.deadline

    def _note_cut(self, fault: error.CutError) -> Exception:
        silent = isinstance(fault, channel.SilentError)
        self._outcome = ask.Outcome.silent if silent else ask.Outcome.cut
        served = self._job
        if served.may_run_again() and clock.read_monotonic() < served.deadline:
            return AgainError()
        if silent:
            return error.OutcomeUnknownError(
                'no answer in time',
                fault.step,
                fault.peer,
            )
        return error.FailedError(fault.reason, fault.step, fault.peer)

    def _decide_failed(self, reason: str) -> Exception:
        if self._job.may_run_again():
            return AgainError()
        return error.FailedError(reason, 'answer', self._engine.name)

    def _report(self) -> None:
        load = self._notes.load if self._notes else None
        cold = self._notes.cold_seconds if self._notes else None
        self._parts.slots.report(
            ask.Report(
                number=self._entry.number,
                outcome=self._outcome,
                first=self._first,
                total=clock.read_monotonic() - self._started,
                events=self._job.cutter.count - self._events,
                running=load.running if load else -1,
                waiting=load.waiting if load else 0,
                cold=-1 if cold is None else cold,
            ),
        )


def _make_whole(
    answer: message.Answer, body: bytes
) -> answer_writer.WholeAnswer:
    return answer_writer.WholeAnswer(
        answer.status,
        answer.reason,
        tuple(answer.headers),
        body,
    )
