"""Tests of the hand-over between two back ends, on the paused clock."""

import gevent
from gevent import event as gevent_event

from pimentoway.callers import handover
from pimentoway.standin import paused_loop


class StopError(Exception):
    """Ends the request from outside."""


class FakeAttempt:
    """An attempt at another back end.

    Attributes:
        closed: Whether it was closed.
    """

    def __init__(self) -> None:
        """Start open."""
        self.closed = False

    def close(self) -> None:
        """Close the attempt."""
        self.closed = True


class BusyChannel:
    """A connection on which bytes wait to be read."""

    def has_input(self) -> bool:
        """Tell whether bytes have arrived.

        Returns:
            Always true.
        """
        return True


class Request:
    """A request whose back end is silent.

    Attributes:
        attempt: The attempt at another back end.
        granted: Lets the attempt be prepared.
        released: Whether the request released what it held.
    """

    def __init__(self) -> None:
        """Start looking for another back end."""
        self.attempt = FakeAttempt()
        self.granted = gevent_event.Event()
        self.released = False
        self._handover = handover.Handover(self._prepare, lambda: True)
        self._task = gevent.spawn(self._serve)
        paused_loop.advance(0.01)

    def end(self) -> None:
        """End the request from outside."""
        gevent.kill(self._task, StopError())

    def _prepare(self) -> FakeAttempt:
        self.granted.wait()
        return self.attempt

    def _serve(self) -> None:
        self._handover.await_input(BusyChannel(), 0)
        try:
            gevent.sleep(60)
        except StopError:
            self._handover.stop()
            self.released = True


# The node stopped just when the caller left: the second error came while the
# first one was handled, and the connection and the slot were never released.
def test_second_error_prevents_no_release() -> None:
    """What the request holds is released without a wait."""
    request = Request()
    request.end()
    request.end()
    paused_loop.advance(0.01)
    assert request.released


def test_grant_after_the_end_is_released() -> None:
    """An attempt that is prepared too late is closed."""
    request = Request()
    request.end()
    request.granted.set()
    paused_loop.advance(0.01)
    assert request.released
    assert request.attempt.closed
