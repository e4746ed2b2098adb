"""Reads from a back end that may be silent for a while.

A silent back end may still answer, so it is left only for another one that
goes on with the request (``callers.handover``).
"""

import collections

from pimentoway.backends import channel
from pimentoway.callers import handover, request_context
from pimentoway.core import clock, log

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

_LOG = log.Log('attempt')

Read = collections.abc.Callable[[float], bytes | None]
OnLost = collections.abc.Callable[[], None]


class PatientReader:
    """Reads the answer of one back end.

    Attributes:
        is_lost: Whether the request was lost on its way to the back end.
    """

    def __init__(
        self,
        context: request_context.RequestContext,
        engine: str,
        successor: handover.Handover,
    ) -> None:
        """Prepare for an answer; ``start`` is called when it is awaited.

        Args:
            context: The request.
            engine: The name of the back end.
            successor: Looks for another back end.
        """
        self.is_lost = False
        self._context = context
        self._engine = engine
        self._handover = successor
        self._conn: channel.Channel | None = None
        self._progressed_at = clock.read_monotonic()
        # The bytes that the back end's kernel has not acknowledged, and when
        # they were counted last.
        self._unacknowledged = 0
        self._counted_at: float = 0

    def start(self, conn: channel.Channel) -> None:
        """Await the answer to a request that was sent.

        Args:
            conn: The connection.
        """
        self._conn = conn
        self._progressed_at = clock.read_monotonic()
        self._count_unacknowledged()

    def read(self, read: Read, on_lost: OnLost) -> bytes | None:
        """Read, and let another back end go on if this one stays silent.

        ``HandedOverError`` is raised if another one does. The callbacks are
        not kept: they refer to the owner of the reader, and such a cycle keeps
        the request in memory until the garbage collector finds it.

        Args:
            read: Reads from the connection until the time that it is given,
                on the monotonic clock.
            on_lost: Called when the request is found to be lost on its way.

        Returns:
            What was read.

        Raises:
            SilentError: If nothing came until the request's deadline.
        """
        while True:
            try:
                return read(self._compute_deadline())
            except channel.SilentError as silence:
                if self._is_over(silence):
                    raise
            self._check_acknowledged(on_lost)
            self._check_silence()

    def note_answer(self) -> None:
        """Record that the answer has begun."""
        self._unacknowledged = 0

    def note_event(self) -> None:
        """Record that the back end has sent an event."""
        self._progressed_at = clock.read_monotonic()
        self._handover.stop()

    def note_no_event(self) -> None:
        """Record that the back end has sent bytes that are no event.

        If its last event was long ago, another back end is looked for until
        more bytes come.
        """
        self._check_silence()

    def _is_over(self, silence: channel.SilentError) -> bool:
        # After the end of a relayed exchange another read would fail at once.
        is_end = isinstance(silence, channel.SilentEndError)
        return is_end or clock.read_monotonic() >= self._context.deadline

    def _may_go_on_elsewhere(self) -> bool:
        route = self._context.route
        may_repeat = route.resumable or (route.idempotent and self.is_lost)
        return may_repeat and self._handover.is_possible()

    def _compute_silence_end(self) -> float:
        if self.is_lost:
            return self._counted_at
        return self._progressed_at + RESUME_SECONDS

    def _compute_deadline(self) -> float:
        ends = [self._context.deadline]
        soon = clock.read_monotonic() + MIN_READ_SECONDS
        if self._unacknowledged and not self.is_lost:
            ends.append(max(soon, self._counted_at + UNACKNOWLEDGED_SECONDS))
        if self._may_go_on_elsewhere():
            ends.append(max(soon, self._compute_silence_end()))
        return min(ends)

    def _check_silence(self) -> None:
        now = clock.read_monotonic()
        if now < self._compute_silence_end() or not self._may_go_on_elsewhere():
            return
        if not self._handover.is_looking():
            _LOG.write(
                'back end is silent, looks for another one.',
                self._context.request.request_id,
                engine=self._engine,
                silent=round(now - self._progressed_at, 3),
                unacknowledged=self._conn.count_unacknowledged(),
                events=self._context.event_splitter.count,
                left=round(self._context.deadline - now, 3),
            )
        self._context.avoid(self._engine)
        self._handover.await_input(self._conn, self._context.deadline)

    def _count_unacknowledged(self) -> None:
        self._unacknowledged = self._conn.count_unacknowledged()
        self._counted_at = clock.read_monotonic()

    def _check_acknowledged(self, on_lost: OnLost) -> None:
        due = self._counted_at + UNACKNOWLEDGED_SECONDS
        before = self._unacknowledged
        if self.is_lost or not before or clock.read_monotonic() < due:
            return
        self._count_unacknowledged()
        if self._unacknowledged < before:
            return
        self.is_lost = True
        _LOG.write(
            'nothing was acknowledged, gives the slot back.',
            self._context.request.request_id,
            engine=self._engine,
            unacknowledged=self._unacknowledged,
        )
        on_lost()
