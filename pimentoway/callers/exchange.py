"""The exchange of a request with one back end, up to its report."""

import collections
import dataclasses
import math

from pimentoway.backends import channel, liveness
from pimentoway.callers import (
    attempt_error,
    handover,
    notice_reader,
    request_context,
)
from pimentoway.core import call, clock, deployment, error, log, message
from pimentoway.ops import slot, slotclient

#: Seconds without an event after which another back end is looked for that
#: can go on with a resumable stream: several times the longest pause of a
#: healthy stream. A stalled back end may still send comments or single bytes.
RESUME_SECONDS = 1.2

#: Seconds after which a request is taken as lost on its way if the kernel of
#: the back end has acknowledged none of it since: its slot is given back.
UNACKNOWLEDGED_SECONDS = 0.4

#: The shortest read, in seconds, from a silent back end that has sent
#: something: the rest of it may be on its way.
MIN_READ_SECONDS = 0.02

#: The longest idle time, in seconds, of a connection that is reused for a
#: request that must not run twice. The back end may close an older one just
#: as the request is sent, which would leave the outcome unknown.
UNSAFE_MAX_IDLE_SECONDS = 1

#: The largest response body, in bytes, that is buffered.
MAX_BUFFERED_BYTES = 0x400000

_LOG = log.Log('attempt')

_Read = collections.abc.Callable[[float], bytes | None]


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


class Exchange:
    """A request at one back end.

    Attributes:
        engine: The back end.
        conn: The connection; ``None`` before ``connect``.
        response: The response; ``None`` before its head was read.
        metadata: The metadata of the response, with its head.
        outcome: The outcome that is reported to the broker.
        first_event_seconds: The time from the start to the first event or to
            a complete response; 0 before that.
        handover: Looks for another back end while this one is silent.
        is_lost: Whether the request was reported as lost on its way.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        context: request_context.RequestContext,
        slot_request: slot.SlotRequest,
        engine: deployment.Engine,
        prepare_next: handover.Prepare,
    ) -> None:
        """Start the clock; nothing is sent yet.

        Args:
            dependencies: The components of the node.
            context: The request; the exchange updates its counters.
            slot_request: The slot request that was granted.
            engine: The back end that the grant names.
            prepare_next: Prepares an attempt at another back end.
        """
        self.engine = engine
        self.conn: channel.Channel | None = None
        self.response: message.Answer | None = None
        self.metadata: call.AnswerMetadata | None = None
        self.outcome = slot.Outcome.unused
        self.first_event_seconds: float = 0
        self.handover = handover.Handover(prepare_next, context.may_retry)
        self.is_lost = False
        self._dependencies = dependencies
        self._context = context
        self._slot_request = slot_request
        self._started = clock.read_monotonic()
        self._progressed_at = self._started
        self._events_before = context.event_splitter.count
        # The bytes that the back end's kernel has not acknowledged, and when
        # they were counted last.
        self._unacknowledged = 0
        self._counted_at: float = 0

    def connect(self) -> None:
        """Connect to the back end, or report to the broker if that fails.

        A failure to connect is raised as ``RetryError``.
        """
        idempotent = self._context.route.idempotent
        try:
            self.conn = self._dependencies.channels.acquire(
                self.engine.name,
                self.engine.address,
                math.inf if idempotent else UNSAFE_MAX_IDLE_SECONDS,
            )
        except error.ConnectError as fault:
            self.outcome = slot.Outcome.unreachable
            raise self.make_retry() from fault
        finally:
            if self.conn is None:
                self._report()

    def send(self) -> None:
        """Send the request."""
        context = self._context
        dispatch = call.Dispatch(
            request=context.request,
            engine=self.engine,
            customer=context.customer.name if context.customer else '',
            timeout_seconds=context.deadline - clock.read_monotonic(),
            after_event=context.event_splitter.last_id,
        )
        head = self._dependencies.dialect.write_request(dispatch)
        context.sends += 1
        context.possible_runs += 1
        self.outcome = slot.Outcome.abandoned
        self._events_before = context.event_splitter.count
        self._progressed_at = clock.read_monotonic()
        try:
            self.conn.send(
                b'%s%s' % (head, context.request.body), context.deadline
            )
        except error.ConnectionLostError as fault:
            raise self.handle_cut(fault) from fault
        self._count_unacknowledged()

    def poll_head(self) -> bool:
        """Read the head of the response if it has arrived.

        Returns:
            Whether it has, completely.
        """
        if not self.conn.has_input():
            return False
        try:
            self._read_head(clock.read_monotonic() + MIN_READ_SECONDS)
        except channel.SilentError:
            return False
        except error.ConnectionLostError as fault:
            raise self.handle_cut(fault) from fault
        return True

    def read_head(self) -> None:
        """Read the head of the response, unless that was done."""
        if self.response is None:
            self._read(self._read_head)

    def read_part(self) -> bytes:
        """Read the next bytes of the response's body.

        Returns:
            The bytes; empty at the end of a complete body.
        """
        return self._read(self._read_body_part)

    def read_body(self, deadline: float) -> bytes:
        """Read the whole body of the response.

        Args:
            deadline: The monotonic time at which waiting ends.

        Returns:
            The body.

        Raises:
            ConnectionLostError: If it does not come whole, or is too large.
        """
        body = bytearray()
        part = self._read_body_part(deadline)
        while part:
            body += part
            if len(body) > MAX_BUFFERED_BYTES:
                raise error.ConnectionLostError(
                    'the answer is too large', 'read'
                )
            part = self._read_body_part(deadline)
        return bytes(body)

    def note_event(self) -> None:
        """Record that the back end has sent an event."""
        self._progressed_at = clock.read_monotonic()
        self.handover.stop()

    def record_first_event(self) -> None:
        """Record when the first event, or a complete response, came."""
        now = clock.read_monotonic()
        if not self.first_event_seconds:
            self.first_event_seconds = now - self._started
        if not self._context.first_event_seconds:
            self._context.first_event_seconds = now - self._context.arrived

    def handle_cut(self, fault: error.ConnectionLostError) -> Exception:
        """Tell how the request goes on after the connection broke.

        Args:
            fault: The error.

        Returns:
            The exception to raise.
        """
        silent = isinstance(fault, channel.SilentError)
        self.outcome = slot.Outcome.silent if silent else slot.Outcome.cut
        context = self._context
        if not silent:
            self._check_crash()
        if clock.read_monotonic() < context.deadline:
            if self.handover.has_attempt():
                return attempt_error.HandedOverError()
            if context.may_retry():
                return self.make_retry()
        if silent:
            return error.OutcomeUnknownError(
                'no answer in time',
                fault.step,
                fault.peer,
            )
        return error.FailedError(fault.reason, fault.step, fault.peer)

    def make_retry(self) -> attempt_error.RetryError:
        """Let the request go to another back end.

        Returns:
            The exception to raise.
        """
        # One that wants no requests now may get this one later.
        if self._dependencies.slots.may_use(self.engine):
            self._context.avoid(self.engine.name)
        return attempt_error.RetryError()

    def close(self) -> None:
        """Keep or close the connection, and report to the broker."""
        self.handover.stop()
        if self.is_lost and not self.conn.is_acknowledged():
            # The back end would run what is still on its way.
            self.conn.reset_on_close()
        # Closing the connection makes the back end cancel the request.
        if self.response is not None and self.response.complete:
            self._dependencies.channels.release(
                self.conn, self.response, self.metadata
            )
        else:
            self._dependencies.channels.discard(self.conn)
        if not self.is_lost:
            self._report()

    def _read_head(self, deadline: float) -> None:
        request_id = self._context.request.request_id
        response, metadata = self.conn.read_head(request_id, deadline)
        self.response = response
        self.metadata = metadata
        self._dependencies.notices.read(self.engine, metadata.notices)
        self._context.framing = response.framing
        self._unacknowledged = 0
        if self.is_lost:
            self._dependencies.slots.report_path(self.engine.name, is_open=True)

    def _read_body_part(self, deadline: float) -> bytes:
        return self.conn.read_body_part(self.response, deadline)

    def _read(self, read: _Read) -> bytes | None:
        try:
            return self._read_patiently(read)
        except error.ConnectionLostError as fault:
            raise self.handle_cut(fault) from fault

    def _read_patiently(self, read: _Read) -> bytes | None:
        # A silent back end is left only for another one that goes on.
        while True:
            try:
                return read(self._compute_read_deadline())
            except channel.SilentError:
                if clock.read_monotonic() >= self._context.deadline:
                    raise
            self._check_acknowledged()
            if self._is_silent():
                self._await_input()

    def _await_input(self) -> None:
        now = clock.read_monotonic()
        if not self.handover.is_looking():
            _LOG.write(
                'back end is silent, looks for another one.',
                self._context.request.request_id,
                engine=self.engine.name,
                silent=round(now - self._progressed_at, 3),
                acknowledged=self.conn.is_acknowledged(),
                events=self._context.event_splitter.count,
                left=round(self._context.deadline - now, 3),
            )
        self._context.avoid(self.engine.name)
        self.handover.await_input(self.conn, self._context.deadline)

    def _is_silent(self) -> bool:
        # Whether another back end is to be looked for.
        if self._may_go_on_elsewhere():
            return clock.read_monotonic() >= self._compute_silence_end()
        return False

    def _may_go_on_elsewhere(self) -> bool:
        route = self._context.route
        return (
            route.resumable or (route.idempotent and self.is_lost)
        ) and self.handover.is_possible()

    def _compute_silence_end(self) -> float:
        if self.is_lost:
            return self._counted_at
        return self._progressed_at + RESUME_SECONDS

    def _compute_read_deadline(self) -> float:
        ends = [self._context.deadline]
        soon = clock.read_monotonic() + MIN_READ_SECONDS
        if self._unacknowledged and not self.is_lost:
            ends.append(max(soon, self._counted_at + UNACKNOWLEDGED_SECONDS))
        if self._may_go_on_elsewhere():
            ends.append(max(soon, self._compute_silence_end()))
        return min(ends)

    def _count_unacknowledged(self) -> None:
        self._unacknowledged = self.conn.count_unacknowledged()
        self._counted_at = clock.read_monotonic()

    def _check_acknowledged(self) -> None:
        now = clock.read_monotonic()
        before = self._unacknowledged
        if not before or now < self._counted_at + UNACKNOWLEDGED_SECONDS:
            return
        self._count_unacknowledged()
        if self._unacknowledged >= before and not self.is_lost:
            self._give_back_slot()

    def _give_back_slot(self) -> None:
        # The answer may still come, and only then would a second run be wrong
        # for a request that must not run twice.
        self.is_lost = True
        self.outcome = slot.Outcome.unacknowledged
        _LOG.write(
            'nothing was acknowledged, gives the slot back.',
            self._context.request.request_id,
            engine=self.engine.name,
            unacknowledged=self._unacknowledged,
        )
        self._report()

    def _check_crash(self) -> None:
        # Only crashes count as evidence against parts of a prompt.
        if not self._context.request.shared_parts:
            return
        if self._dependencies.liveness_checker.has_crashed(self.engine):
            self.outcome = slot.Outcome.crashed
            self._context.crashed_engines = (
                *self._context.crashed_engines,
                self.engine.name,
            )

    def _report(self) -> None:
        load = self.metadata.load if self.metadata else None
        cold = self.metadata.cold_seconds if self.metadata else None
        self._dependencies.slots.report(
            slot.Report(
                number=self._slot_request.number,
                outcome=self.outcome,
                first_seconds=self.first_event_seconds,
                total_seconds=clock.read_monotonic() - self._started,
                events=self._context.event_splitter.count - self._events_before,
                running=load.running if load else -1,
                waiting=load.waiting if load else 0,
                cold_seconds=-1 if cold is None else cold,
                tolerated_rejections=_read_tolerated(self.metadata),
            ),
        )


def _read_tolerated(metadata: call.AnswerMetadata | None) -> int | None:
    if metadata is None:
        return None
    tolerated = metadata.notices.tolerated_rejections
    if tolerated is None and not metadata.notices.unreadable:
        return slot.NO_LIMIT
    return tolerated
