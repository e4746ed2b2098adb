"""The exchange of a request with one back end, up to its report."""

from pimentoway.backends import channel
from pimentoway.callers import (
    attempt_error,
    backendpath,
    handover,
    patience,
    request_context,
)
from pimentoway.core import (
    budget,
    call,
    clock,
    deployment,
    error,
    message,
    usage,
)
from pimentoway.nodes import relaychannel
from pimentoway.ops import slot

#: The largest response body, in bytes, that is buffered.
MAX_BUFFERED_BYTES = 0x400000

#: The bytes of a body for which nothing is taken from the common budget, so
#: that usual answers do not depend on it.
FREE_BYTES = 0x10000

#: The outcomes after which a run counts as usage if it did not before: its
#: answer has come.
_STATED_OUTCOMES = frozenset(
    (slot.Outcome.answered, slot.Outcome.failed, slot.Outcome.malformed)
)


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
        path: The way to the back end.
    """

    def __init__(
        self,
        dependencies: backendpath.Dependencies,
        context: request_context.RequestContext,
        slot_request: slot.SlotRequest,
        engine: deployment.Engine,
        prepare_next: handover.Prepare,
        via: str = '',
    ) -> None:
        """Start the clock; nothing is sent yet.

        Args:
            dependencies: The components of the node.
            context: The request; the exchange updates its counters.
            slot_request: The slot request that was granted.
            engine: The back end that the grant names.
            prepare_next: Prepares an attempt at another back end.
            via: The name of the node that relays the request; '' for none.
        """
        self.engine = engine
        self.conn: channel.Channel | None = None
        self.response: message.Answer | None = None
        self.metadata: call.AnswerMetadata | None = None
        self.outcome = slot.Outcome.unused
        self.first_event_seconds: float = 0
        self.handover = handover.Handover(prepare_next, context.may_retry)
        self.path = backendpath.BackendPath(dependencies, engine, via)
        self._dependencies = dependencies
        self._context = context
        self._slot_request = slot_request
        self._reservation = budget.Reservation(
            dependencies.channels.answer_budget
        )
        self._idle_seconds: float = 0
        self._started = clock.read_monotonic()
        self._events_before = context.event_splitter.count
        self._usage = usage.RunUsage()
        self._reader = patience.PatientReader(
            context, engine.name, self.handover
        )

    def connect(self) -> None:
        """Connect to the back end, or report to the broker if that fails.

        Raises:
            RetryError: If connecting failed.
        """
        try:
            self.conn = self.path.acquire(self._context)
        except relaychannel.RelayError as lost:
            # The next grant names another relay.
            self.outcome = slot.Outcome.relay_lost
            raise attempt_error.RetryError from lost
        except error.ConnectError as fault:
            self.outcome = slot.Outcome.unreachable
            if self.path.is_given_up(self._context):
                raise self.make_retry() from fault
            raise attempt_error.RetryError from fault
        finally:
            if self.conn is None:
                self._report()

    def send(self, deadline: float) -> None:
        """Send the request.

        Args:
            deadline: The monotonic time at which sending is given up.
        """
        context = self._context
        dispatch = call.Dispatch(
            request=context.request,
            engine=self.engine,
            customer=context.customer.name if context.customer else '',
            timeout_seconds=context.deadline - clock.read_monotonic(),
            after_event=context.event_splitter.last_id,
        )
        context.sends += 1
        context.possible_runs += 1
        self.outcome = slot.Outcome.abandoned
        self._events_before = context.event_splitter.count
        self._usage = self._dependencies.observer.open_run(
            dispatch.customer,
            context.route.kind is deployment.RouteKind.stream,
            self.conn.delay,
        )
        try:
            self.conn.send_request(dispatch, deadline)
        except error.ConnectionLostError as fault:
            raise self.handle_cut(fault) from fault
        self._reader.start(self.conn)

    def poll_head(self) -> bool:
        """Read the head of the response if it has arrived.

        Returns:
            Whether it has, completely.
        """
        if not self.conn.has_input():
            return False
        try:
            self._read_head(clock.read_monotonic() + patience.MIN_READ_SECONDS)
        except channel.SilentEndError as ended:
            raise self.handle_cut(ended) from ended
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

    def read_body(
        self, deadline: float, max_bytes: int = MAX_BUFFERED_BYTES
    ) -> bytes:
        """Read the whole body of the response.

        Args:
            deadline: The monotonic time at which waiting ends.
            max_bytes: The largest body.

        Returns:
            The body.

        Raises:
            ConnectionLostError: If it does not come whole, is too large, or
                the node has no room for it.
        """
        body = bytearray()
        part = self._read_body_part(deadline)
        while part:
            body += part
            if len(body) > max_bytes:
                raise error.ConnectionLostError(
                    'the answer is too large', 'read'
                )
            if not self._reservation.extend(len(body) - FREE_BYTES):
                raise error.ConnectionLostError(
                    'the node holds as many answers as it can', 'read'
                )
            part = self._read_body_part(deadline)
        return bytes(body)

    def note_part(self, has_event: bool) -> None:
        """Record that the back end has sent bytes.

        Args:
            has_event: Whether they complete an event.
        """
        if has_event:
            self._reader.note_event()
        elif not self.response.complete:
            self._reader.note_no_event()

    def record_first_event(self) -> None:
        """Record when the first event, or a complete response, came."""
        now = clock.read_monotonic()
        if not self.first_event_seconds:
            self._usage.note_output()
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
        if not self._is_lost_on_way():
            self._usage.note_unknown()
        if isinstance(fault, relaychannel.RelayBrokenError):
            # That is no fault of the back end.
            self.outcome = slot.Outcome.abandoned
        elif not silent:
            self._check_crash(fault)
        if self.has_successor():
            return self.make_retry()
        if context.may_retry() and clock.read_monotonic() < context.deadline:
            return self.make_retry()
        if silent:
            return error.OutcomeUnknownError(
                'no answer in time',
                fault.step,
                fault.peer,
            )
        return error.FailedError(fault.reason, fault.step, fault.peer)

    def has_successor(self) -> bool:
        """Tell whether an attempt at another back end can go on.

        Returns:
            Whether one is prepared.
        """
        now = clock.read_monotonic()
        return now < self._context.deadline and self.handover.has_attempt()

    def make_retry(
        self,
    ) -> attempt_error.RetryError | attempt_error.HandedOverError:
        """Let the request go to another back end.

        Returns:
            The exception to raise.
        """
        if self.has_successor():
            return attempt_error.HandedOverError()
        # One that wants no requests now may get this one later.
        if not self.path.is_paused(self.metadata):
            self._context.avoid(self.engine.name)
        return attempt_error.RetryError()

    def close(self) -> None:
        """Keep or close the connection, and report to the broker."""
        self.handover.stop()
        self._reservation.release()
        is_lost_on_way = self._is_lost_on_way()
        self._end_usage(is_lost_on_way)
        if is_lost_on_way:
            # The back end would run what is still on its way.
            self.conn.reset_on_close()
        if self.outcome is slot.Outcome.answered:
            self.conn.forget_request()
        # Closing the connection makes the back end cancel the request.
        if self.response is not None and self.response.complete:
            self.path.release(self.conn, self.response, self.metadata)
            self._idle_seconds = self.path.measure_idle(self.conn)
        else:
            self.path.discard(self.conn)
        if not self._reader.is_lost:
            self._report()

    def _read_head(self, deadline: float) -> None:
        request_id = self._context.request.request_id
        response, metadata = self.conn.read_head(request_id, deadline)
        self.response = response
        self.metadata = metadata
        self.path.read_notices(metadata.notices)
        self._context.framing = response.framing
        self._reader.note_answer()
        if self._reader.is_lost:
            self.path.note_answer()

    def _read_body_part(self, deadline: float) -> bytes:
        return self.conn.read_body_part(self.response, deadline)

    def _read(self, read: patience.Read) -> bytes | None:
        try:
            return self._reader.read(read, self._give_back_slot)
        except error.ConnectionLostError as fault:
            raise self.handle_cut(fault) from fault

    def _is_lost_on_way(self) -> bool:
        return self._reader.is_lost and not self.conn.is_acknowledged()

    def _end_usage(self, is_lost_on_way: bool) -> None:
        not_run = self.metadata is not None and self.metadata.not_run
        if not_run or is_lost_on_way or self.outcome in slot.NOT_RUN_OUTCOMES:
            self._usage.cancel()
        elif self.outcome in _STATED_OUTCOMES:
            self._usage.note_output()
        elif self.outcome is slot.Outcome.abandoned:
            self._usage.note_left()
        else:
            self._usage.note_unknown()

    def _give_back_slot(self) -> None:
        # The answer may still come, and only then would a second run be wrong
        # for a request that must not run twice.
        self.outcome = slot.Outcome.unacknowledged
        self._usage.cancel()
        self.path.note_lost()
        self._report()

    def _check_crash(self, fault: error.ConnectionLostError) -> None:
        # Only crashes count as evidence against parts of a prompt.
        if not self._context.request.shared_parts:
            return
        if self.path.has_crashed(fault):
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
                pace=load.pace if load else 0,
                idle_seconds=self._idle_seconds,
            ),
        )


def _read_tolerated(metadata: call.AnswerMetadata | None) -> int | None:
    if metadata is None:
        return None
    tolerated = metadata.notices.tolerated_rejections
    if tolerated is None and not metadata.notices.unreadable:
        return slot.NO_LIMIT
    return tolerated
