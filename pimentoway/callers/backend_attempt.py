"""One attempt to serve a request at a back end."""

import dataclasses
import math

from pimentoway.backends import channel, liveness
from pimentoway.callers import (
    notice_reader,
    request_context,
    response_writer,
)
from pimentoway.core import (
    call,
    clock,
    deployment,
    error,
    eventstream,
    message,
)
from pimentoway.ops import slot, slotclient

#: Seconds without an event after which a resumable stream is continued at
#: another back end: several times the longest pause of a healthy stream. A
#: stalled back end may still send comments or single bytes.
RESUME_SECONDS = 1.2

#: The longest idle time, in seconds, of a connection that is reused for a
#: request that must not run twice. The back end may close an older one just
#: as the request is sent, which would leave the outcome unknown.
UNSAFE_MAX_IDLE_SECONDS = 1

#: Seconds for which the body of a "not run" response is awaited; it is
#: read only to reuse the connection.
NOT_RUN_BODY_SECONDS = 0.05

#: The largest response body, in bytes, that is buffered.
MAX_BUFFERED_BYTES = 0x400000

_CONTENT_TYPE = b'content-type'
_STREAM_TYPE = b'text/event-stream'
_SUCCESS = 200
_REDIRECTION = 300
_BAD_REQUEST = 400
_MISDIRECTED = 421
_FAILURE = 500


class RetryError(Exception):
    """The attempt failed and the request should go to another back end."""


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The components of a node that an attempt uses.

    Attributes:
        slots: The client that reports to the broker how a grant ended.
        channels: The connections to back ends.
        dialect: Decodes and encodes the platform's HTTP headers.
        liveness_checker: Tells crashes from broken connections.
        notices: Reports what back ends announce of themselves.
    """

    slots: slotclient.SlotClient
    channels: channel.ChannelPool
    dialect: call.Dialect
    liveness_checker: liveness.LivenessChecker
    notices: notice_reader.NoticeReader


class BackendAttempt:
    """Sends a request to one back end and forwards its response."""

    def __init__(
        self,
        dependencies: Dependencies,
        context: request_context.RequestContext,
        slot_request: slot.SlotRequest,
        engine: deployment.Engine,
    ) -> None:
        """Start the attempt's clock; nothing is sent yet.

        Args:
            dependencies: The components of the node.
            context: The request; the attempt updates its counters.
            slot_request: The slot request that was granted.
            engine: The back end that the grant names.
        """
        self._dependencies = dependencies
        self._context = context
        self._slot_request = slot_request
        self._engine = engine
        self._started = clock.read_monotonic()
        self._first_event_seconds: float = 0
        self._events_before = context.event_splitter.count
        self._metadata: call.AnswerMetadata | None = None
        self._outcome = slot.Outcome.abandoned
        self._progressed_at = self._started

    def run(self) -> str:
        """Send the request, forward the response and report to the broker.

        Returns:
            The outcome of the request, for the log and the metrics.

        Raises:
            RetryError: If the request should go to another back end.
        """
        try:
            return self._exchange()
        except error.ConnectError as fault:
            self._outcome = slot.Outcome.unreachable
            raise RetryError from fault
        finally:
            self._report()

    def _exchange(self) -> str:
        max_idle = (
            math.inf
            if self._context.route.idempotent
            else UNSAFE_MAX_IDLE_SECONDS
        )
        conn = self._dependencies.channels.acquire(
            self._engine.name,
            self._engine.address,
            max_idle,
        )
        response = None
        try:
            response = self._send(conn)
            return self._forward_response(conn, response)
        finally:
            self._release(conn, response)

    def _release(
        self, conn: channel.Channel, response: message.Answer | None
    ) -> None:
        # Closing the connection makes the back end cancel the request.
        if response is not None and response.complete and self._metadata:
            self._dependencies.channels.release(conn, response, self._metadata)
        else:
            self._dependencies.channels.discard(conn)

    def _send(self, conn: channel.Channel) -> message.Answer:
        context = self._context
        dispatch = call.Dispatch(
            request=context.request,
            engine=self._engine,
            customer=context.customer.name if context.customer else '',
            timeout_seconds=context.deadline - clock.read_monotonic(),
            after_event=context.event_splitter.last_id,
        )
        head = self._dependencies.dialect.write_request(dispatch)
        context.sends += 1
        context.possible_runs += 1
        request_id = context.request.request_id
        self._progressed_at = clock.read_monotonic()
        try:
            conn.send(b'%s%s' % (head, context.request.body), context.deadline)
            response, metadata = conn.read_head(
                request_id, self._compute_read_deadline()
            )
        except error.ConnectionLostError as fault:
            raise self._handle_cut(fault) from fault
        self._metadata = metadata
        self._dependencies.notices.read(self._engine, metadata.notices)
        context.framing = response.framing
        return response

    def _forward_response(
        self, conn: channel.Channel, response: message.Answer
    ) -> str:
        metadata = self._metadata
        if metadata.not_run and response.status != _BAD_REQUEST:
            self._handle_not_run(conn, response)
            raise RetryError
        if not _SUCCESS <= response.status < _REDIRECTION:
            return self._forward_failure(conn, response, metadata)
        if not metadata.sealed or metadata.encoded or not metadata.request_id:
            self._outcome = slot.Outcome.malformed
            raise self._make_failure('the answer is not a proper one')
        if self._context.route.kind is deployment.RouteKind.stream:
            return self._forward_stream(conn, response)
        return self._forward_buffered(conn, response)

    def _handle_not_run(
        self, conn: channel.Channel, response: message.Answer
    ) -> None:
        self._context.possible_runs -= 1
        self._outcome = slot.Outcome.shed
        if response.status == _MISDIRECTED:
            self._outcome = slot.Outcome.misdirected
        deadline = clock.read_monotonic() + NOT_RUN_BODY_SECONDS
        try:
            self._read_body(
                conn, response, min(deadline, self._context.deadline)
            )
        except error.ConnectionLostError:
            # The head already says that the request was not run, so only the
            # connection is lost.
            response.keep_alive = False

    def _forward_failure(
        self,
        conn: channel.Channel,
        response: message.Answer,
        metadata: call.AnswerMetadata,
    ) -> str:
        context = self._context
        self._outcome = slot.Outcome.failed
        buffered = _make_buffered(
            response, self._read_body_or_fail(conn, response)
        )
        if metadata.sealed and not context.writer.started:
            context.last_failure = buffered
            if response.status < _FAILURE:
                context.writer.write_response(buffered)
                return f'passed on {response.status}'
        raise self._make_failure(f'status {response.status}')

    def _forward_buffered(
        self, conn: channel.Channel, response: message.Answer
    ) -> str:
        body = self._read_body_or_fail(conn, response)
        self._record_first_event()
        self._outcome = slot.Outcome.answered
        self._context.writer.write_response(_make_buffered(response, body))
        return 'answered'

    def _forward_stream(
        self, conn: channel.Channel, response: message.Answer
    ) -> str:
        context = self._context
        # An incomplete event of the previous back end is dropped, as this one
        # sends it again.
        context.event_splitter.rest = b''
        resumed = context.writer.started
        if resumed and not _is_event_stream(response):
            self._outcome = slot.Outcome.malformed
            raise self._make_failure('the rest of a stream is no stream')
        self._progressed_at = clock.read_monotonic()
        part = self._read_part(conn, response)
        while part:
            events = self._split_events(part)
            if eventstream.has_event(events):
                self._progressed_at = clock.read_monotonic()
            if resumed:
                self._check_resumed(events)
            if events:
                self._write_events(response, events)
            part = self._read_part(conn, response)
        self._check_stream_end(response)
        self._outcome = slot.Outcome.answered
        if not context.writer.started:
            context.writer.begin_stream(response, b'')
        context.writer.end_stream(context.event_splitter.rest)
        return 'answered'

    def _check_resumed(self, events: bytes) -> None:
        if eventstream.has_unnumbered_event(events):
            self._outcome = slot.Outcome.malformed
            raise self._make_failure('a resumed event has no identifier')

    def _check_stream_end(self, response: message.Answer) -> None:
        # HTTP marks the end of a body, not that of a stream: an engine that
        # fails may still end its body properly.
        if not _is_event_stream(response):
            return
        splitter = self._context.event_splitter
        marked = response.framing is not message.Framing.connection
        if splitter.is_within_event() or not (splitter.count or marked):
            cut = error.ConnectionLostError(
                'the stream ended within an event', 'read', self._engine.address
            )
            raise self._handle_cut(cut) from cut

    def _read_part(
        self, conn: channel.Channel, response: message.Answer
    ) -> bytes:
        try:
            return conn.read_body_part(response, self._compute_read_deadline())
        except error.ConnectionLostError as fault:
            raise self._handle_cut(fault) from fault

    def _split_events(self, part: bytes) -> bytes:
        try:
            return self._context.event_splitter.feed(part)
        except error.ConnectionLostError as fault:
            raise self._handle_cut(fault) from fault

    def _write_events(self, response: message.Answer, events: bytes) -> None:
        self._record_first_event()
        writer = self._context.writer
        if writer.started:
            writer.write_events(events)
        else:
            writer.begin_stream(response, events)

    def _record_first_event(self) -> None:
        now = clock.read_monotonic()
        if not self._first_event_seconds:
            self._first_event_seconds = now - self._started
        if not self._context.first_event_seconds:
            self._context.first_event_seconds = now - self._context.arrived

    def _read_body(
        self, conn: channel.Channel, response: message.Answer, deadline: float
    ) -> bytes:
        body = bytearray()
        part = conn.read_body_part(response, deadline)
        while part:
            body += part
            if len(body) > MAX_BUFFERED_BYTES:
                raise error.ConnectionLostError(
                    'the answer is too large', 'read'
                )
            part = conn.read_body_part(response, deadline)
        return bytes(body)

    def _read_body_or_fail(
        self, conn: channel.Channel, response: message.Answer
    ) -> bytes:
        try:
            return self._read_body(conn, response, self._context.deadline)
        except error.ConnectionLostError as fault:
            raise self._handle_cut(fault) from fault

    def _compute_read_deadline(self) -> float:
        context = self._context
        if context.route.resumable and context.may_retry():
            return min(context.deadline, self._progressed_at + RESUME_SECONDS)
        return context.deadline

    def _handle_cut(self, fault: error.ConnectionLostError) -> Exception:
        silent = isinstance(fault, channel.SilentError)
        self._outcome = slot.Outcome.silent if silent else slot.Outcome.cut
        context = self._context
        if not silent:
            self._check_crash()
        if context.may_retry() and clock.read_monotonic() < context.deadline:
            return RetryError()
        if silent:
            return error.OutcomeUnknownError(
                'no answer in time',
                fault.step,
                fault.peer,
            )
        return error.FailedError(fault.reason, fault.step, fault.peer)

    def _check_crash(self) -> None:
        # Only crashes count as evidence against parts of a prompt.
        if not self._context.request.shared_parts:
            return
        if self._dependencies.liveness_checker.has_crashed(self._engine):
            self._outcome = slot.Outcome.crashed
            self._context.crashed_engines = (
                *self._context.crashed_engines,
                self._engine.name,
            )

    def _make_failure(self, reason: str) -> Exception:
        if self._context.may_retry():
            return RetryError()
        return error.FailedError(reason, 'answer', self._engine.name)

    def _report(self) -> None:
        load = self._metadata.load if self._metadata else None
        cold = self._metadata.cold_seconds if self._metadata else None
        self._dependencies.slots.report(
            slot.Report(
                number=self._slot_request.number,
                outcome=self._outcome,
                first_seconds=self._first_event_seconds,
                total_seconds=clock.read_monotonic() - self._started,
                events=self._context.event_splitter.count - self._events_before,
                running=load.running if load else -1,
                waiting=load.waiting if load else 0,
                cold_seconds=-1 if cold is None else cold,
            ),
        )


def _is_event_stream(response: message.Answer) -> bool:
    # Engines may leave out the media type of a stream.
    media_types = [
        text.lower()
        for name, text in response.headers
        if name.lower() == _CONTENT_TYPE
    ]
    return not media_types or media_types[0].startswith(_STREAM_TYPE)


def _make_buffered(
    response: message.Answer, body: bytes
) -> response_writer.BufferedResponse:
    return response_writer.BufferedResponse(
        response.status,
        response.reason,
        tuple(response.headers),
        body,
    )
