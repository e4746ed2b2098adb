"""One attempt to serve a request at a back end."""

import gevent

from pimentoway.backends import channel, liveness
from pimentoway.callers import (
    attempt_error,
    exchange,
    request_context,
    response_writer,
)
from pimentoway.core import (
    clock,
    deployment,
    error,
    eventstream,
    log,
    message,
)
from pimentoway.ops import slot

#: Seconds for which the body of a "not run" response is awaited; it is
#: read only to reuse the connection.
NOT_RUN_BODY_SECONDS = 0.05

#: The largest such body, in bytes, that is read.
NOT_RUN_BODY_BYTES = 65_536

#: What a broken connection means to a request that is not sent again. The
#: errors that end a request from outside are none of them.
_CUT_ERRORS = (error.FailedError, error.OutcomeUnknownError)

_LOG = log.Log('attempt')

_CONTENT_TYPE = b'content-type'
_STREAM_TYPE = b'text/event-stream'
_BAD_REQUEST = 400
_MISDIRECTED = 421
_FAILURE = 500


class BackendAttempt:
    """Sends a request to one back end and forwards its response."""

    def __init__(
        self,
        context: request_context.RequestContext,
        started: exchange.Exchange,
    ) -> None:
        """Use an exchange that was started; nothing is sent yet.

        Args:
            context: The request; the attempt updates its counters.
            started: The exchange with the back end.
        """
        self._context = context
        self._exchange = started
        self._check: gevent.Greenlet | None = None

    @property
    def conn(self) -> channel.Channel:
        """The connection to the back end.

        Returns:
            The connection, open until ``close``.
        """
        return self._exchange.conn

    def offer(self, deadline: float) -> None:
        """Send the request while another back end may still answer it.

        Args:
            deadline: The monotonic time at which sending is given up.
        """
        self._check = self._exchange.path.start_check()
        try:
            self._exchange.send(deadline)
        except _CUT_ERRORS as fault:
            raise self._exchange.make_retry() from fault

    def is_accepted(self) -> bool:
        """Tell whether the back end answers the request that it was offered.

        A refusal or a failure is raised as ``RetryError``.

        Returns:
            Whether its answer has begun; false if nothing came yet.
        """
        try:
            if not self._exchange.poll_head():
                return False
        except _CUT_ERRORS as fault:
            raise self._exchange.make_retry() from fault
        if self._exchange.metadata.not_run:
            self._handle_not_run()
            raise self._exchange.make_retry()
        if not (self._is_success() and self._is_proper()):
            self._exchange.outcome = slot.Outcome.failed
            raise self._exchange.make_retry()
        return True

    def check_alive(self) -> None:
        """Check that the back end has the whole request and is not silent.

        If its kernel lacks some of it, or the process has not answered the
        check that began with the offer, ``RetryError`` is raised: the back end
        is no reason to leave another one, which may go on.
        """
        # A check that has ended is false as a greenlet.
        is_silent = (
            self._check is not None
            and self._check.value is not liveness.Liveness.alive
        )
        if is_silent or not self._exchange.conn.is_acknowledged():
            raise self._exchange.make_retry()

    def run(self) -> str:
        """Send the request, unless that was done, and forward the response.

        At the end, or when another attempt goes on, the connection is closed
        and the outcome reported to the broker.

        Returns:
            The outcome of the request, for the log and the metrics.
        """
        self._context.engine_name = self._exchange.engine.name
        self._context.relay_name = self._exchange.path.via
        try:
            return self._send_and_forward()
        except attempt_error.HandedOverError:
            successor = self._hand_over()
        finally:
            self.close()
        return successor.run()

    def close(self) -> None:
        """Close the connection and report the outcome to the broker."""
        self._exchange.close()

    def _hand_over(self) -> 'BackendAttempt':
        if self._exchange.outcome is slot.Outcome.abandoned:
            self._exchange.outcome = slot.Outcome.silent
        _LOG.write(
            'leaves the back end, another one goes on.',
            self._context.request.request_id,
            engine=self._exchange.engine.name,
            outcome=self._exchange.outcome.name,
            events=self._context.event_splitter.count,
        )
        return self._exchange.handover.take()

    def _send_and_forward(self) -> str:
        if self._exchange.outcome is slot.Outcome.unused:
            self._exchange.send(self._context.deadline)
        self._exchange.read_head()
        return self._forward_response()

    def _forward_response(self) -> str:
        response = self._exchange.response
        if self._exchange.metadata.not_run and response.status != _BAD_REQUEST:
            self._handle_not_run()
            raise self._exchange.make_retry()
        if not self._is_success():
            return self._forward_failure()
        if not self._is_proper():
            self._exchange.outcome = slot.Outcome.malformed
            raise self._make_failure('the answer is not a proper one')
        if self._context.route.kind is deployment.RouteKind.stream:
            return self._forward_stream()
        return self._forward_buffered()

    def _is_success(self) -> bool:
        return self._exchange.response.is_success()

    def _is_proper(self) -> bool:
        metadata = self._exchange.metadata
        marked = metadata.sealed and bool(metadata.request_id)
        return marked and not metadata.encoded

    def _handle_not_run(self) -> None:
        response = self._exchange.response
        self._context.possible_runs -= 1
        self._exchange.outcome = slot.Outcome.shed
        if response.status == _MISDIRECTED:
            self._exchange.outcome = slot.Outcome.misdirected
        deadline = clock.read_monotonic() + NOT_RUN_BODY_SECONDS
        try:
            self._exchange.read_body(
                min(deadline, self._context.deadline), NOT_RUN_BODY_BYTES
            )
        except error.ConnectionLostError:
            # The head already says that the request was not run, so only the
            # connection is lost.
            response.keep_alive = False

    def _forward_failure(self) -> str:
        context = self._context
        response = self._exchange.response
        self._exchange.outcome = slot.Outcome.failed
        if self._exchange.has_successor() and response.status >= _FAILURE:
            raise self._exchange.make_retry()
        buffered = _make_buffered(response, self._read_body_or_fail())
        if self._exchange.metadata.sealed and not context.writer.started:
            context.last_failure = buffered
            if response.status < _FAILURE:
                context.writer.write_response(buffered)
                return f'passed on {response.status}'
        raise self._make_failure(f'status {response.status}')

    def _forward_buffered(self) -> str:
        body = self._read_body_or_fail()
        self._exchange.record_first_event()
        self._exchange.outcome = slot.Outcome.answered
        self._context.writer.write_response(
            _make_buffered(self._exchange.response, body)
        )
        return 'answered'

    def _forward_stream(self) -> str:
        context = self._context
        # An incomplete event of the previous back end is dropped, as this one
        # sends it again.
        context.event_splitter.rest = b''
        resumed = context.writer.started
        response = self._exchange.response
        if resumed and not _is_event_stream(response):
            self._exchange.outcome = slot.Outcome.malformed
            raise self._make_failure('the rest of a stream is no stream')
        self._forward_events(resumed)
        self._check_stream_end(response)
        self._exchange.outcome = slot.Outcome.answered
        if not context.writer.started:
            context.writer.begin_stream(response, b'')
        context.writer.end_stream(context.event_splitter.rest)
        return 'answered'

    def _forward_events(self, resumed: bool) -> None:
        part = self._exchange.read_part()
        while part:
            events = self._split_events(part)
            self._exchange.note_part(eventstream.has_event(events))
            if resumed:
                self._check_resumed(events)
            if events:
                self._write_events(events)
            part = self._exchange.read_part()

    def _check_resumed(self, events: bytes) -> None:
        if eventstream.has_unnumbered_event(events):
            self._exchange.outcome = slot.Outcome.malformed
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
                'the stream ended within an event',
                'read',
                self._exchange.engine.address,
            )
            raise self._exchange.handle_cut(cut) from cut

    def _split_events(self, part: bytes) -> bytes:
        try:
            return self._context.event_splitter.feed(part)
        except error.ConnectionLostError as fault:
            raise self._exchange.handle_cut(fault) from fault

    def _write_events(self, events: bytes) -> None:
        self._exchange.record_first_event()
        writer = self._context.writer
        if writer.started:
            writer.write_events(events)
        else:
            writer.begin_stream(self._exchange.response, events)

    def _read_body_or_fail(self) -> bytes:
        try:
            return self._exchange.read_body(self._context.deadline)
        except error.ConnectionLostError as fault:
            raise self._exchange.handle_cut(fault) from fault

    def _make_failure(self, reason: str) -> Exception:
        if self._exchange.has_successor() or self._context.may_retry():
            return self._exchange.make_retry()
        return error.FailedError(reason, 'answer', self._exchange.engine.name)


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
