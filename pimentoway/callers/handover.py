"""Hands a request over from a silent back end to another one.

The silent one may still answer. It is left only once another back end has
accepted the request; until then its connection stays open.
"""

import collections
import typing

import gevent
from gevent import event as gevent_event

from pimentoway.backends import channel
from pimentoway.callers import attempt_error
from pimentoway.core import clock, error, log

#: Seconds for which the other back end may refuse the request before the
#: silent one is left. A request must not go on at two back ends for 0.4 s.
HANDOVER_SECONDS = 0.3

#: Seconds for sending the request to the other back end. Events of the silent
#: one wait meanwhile.
SEND_SECONDS = 0.15

#: Seconds until another slot is requested: the longest and the shortest pause
#: after a refusal.
MAX_RETRY_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.15

_LOG = log.Log('handover')


class Attempt(typing.Protocol):
    """An attempt at a back end, connected but not sent.

    Attributes:
        conn: The connection.
    """

    conn: channel.Channel

    def offer(self, deadline: float) -> None:
        """Send the request; raises ``RetryError`` if that fails.

        Args:
            deadline: The monotonic time at which sending is given up.
        """

    def is_accepted(self) -> bool:
        """Tell whether the answer has begun; raises ``RetryError`` if not."""

    def check_alive(self) -> None:
        """Raise ``RetryError`` if the back end shows no sign of life."""

    def run(self) -> str:
        """Send the request, unless that was done, and forward the answer."""

    def close(self) -> None:
        """Close the connection and report the outcome to the broker."""


Prepare = collections.abc.Callable[[], Attempt]


class Handover:
    """Looks for another back end for a request, and decides which one goes on.

    It does nothing before ``await_input`` is called.
    """

    def __init__(
        self,
        prepare: Prepare,
        may_retry: collections.abc.Callable[[], bool],
    ) -> None:
        """Set how another attempt is prepared.

        Args:
            prepare: Requests a slot and connects; raises ``NotRunError`` or
                ``RetryError`` if either fails.
            may_retry: Tells whether the request may be sent once more.
        """
        self._prepare = prepare
        self._may_retry = may_retry
        self._task: gevent.Greenlet | None = None
        self._wake = gevent_event.Event()
        self._attempt: Attempt | None = None
        self._offered_at: float = 0

    def is_possible(self) -> bool:
        """Tell whether another back end may go on with the request.

        Returns:
            Whether one was offered the request, or may be.
        """
        return bool(self._offered_at) or self._may_retry()

    def is_looking(self) -> bool:
        """Tell whether another back end is looked for.

        Returns:
            Whether it is, or one was found.
        """
        return self._task is not None

    def has_attempt(self) -> bool:
        """Tell whether an attempt at another back end is prepared.

        Returns:
            Whether one is, offered or not.
        """
        return self._attempt is not None

    def await_input(self, conn: channel.Channel, deadline: float) -> None:
        """Wait until the silent back end has sent something.

        Args:
            conn: The connection to it.
            deadline: The monotonic time at which waiting ends.

        ``HandedOverError`` is raised as soon as another back end has accepted
        the request.
        """
        if self._task is None:
            self._task = gevent.spawn(self._look)
        self._wake.clear()
        if self._attempt is None and not conn.has_input():
            channel.wait_for_input((conn,), self._wake, deadline)
        if self._attempt and not conn.has_input():
            try:
                self._offer(self._attempt, conn)
            except attempt_error.RetryError:
                self._close_attempt()
                self._task = gevent.spawn_later(MIN_RETRY_SECONDS, self._look)

    def take(self) -> Attempt:
        """Take over the attempt, which ``stop`` then no longer closes.

        Returns:
            The attempt that goes on.
        """
        taken = self._attempt
        self._attempt = None
        return taken

    def stop(self) -> None:
        """Stop looking for another back end, as the first one goes on."""
        if self._task:
            # Waiting for its end could be interrupted.
            self._task.kill(block=False)
            self._task = None
        self._close_attempt()

    def _look(self) -> None:
        while self._attempt is None and self._may_retry():
            try:
                self._keep(self._prepare())
            except attempt_error.RetryError:
                gevent.sleep(MIN_RETRY_SECONDS)
            except error.NotRunError as refusal:
                pause = min(refusal.retry_after, MAX_RETRY_SECONDS)
                gevent.sleep(max(pause, MIN_RETRY_SECONDS))
        self._wake.set()

    def _keep(self, attempt: Attempt) -> None:
        if self._task is gevent.getcurrent():
            self._attempt = attempt
        else:
            attempt.close()
            raise gevent.GreenletExit

    def _offer(self, attempt: Attempt, conn: channel.Channel) -> None:
        if not self._offered_at:
            self._offered_at = clock.read_monotonic()
            attempt.offer(self._offered_at + SEND_SECONDS)
        end = self._offered_at + HANDOVER_SECONDS
        while not conn.has_input():
            if attempt.is_accepted():
                raise attempt_error.HandedOverError
            if clock.read_monotonic() >= end:
                attempt.check_alive()
                raise attempt_error.HandedOverError
            self._wake.clear()
            channel.wait_for_input((conn, attempt.conn), self._wake, end)

    def _close_attempt(self) -> None:
        self._offered_at = 0
        if self._attempt:
            self._attempt.close()
            self._attempt = None
