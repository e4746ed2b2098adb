"""Tests of the races between granting, expiry and refusal of a ticket."""

from unittest import mock

import gevent
import pytest

from pimentoway.backends import exchange
from pimentoway.core import configuration, error, request, trace
from pimentoway.ops import dispatch, queue, scheduler


def make_request(tokens: int = 10, rank: int = 0) -> request.Request:
    """Make a request.

    Args:
        tokens: The longest answer, in tokens.
        rank: The rank of the tier.

    Returns:
        The request.
    """
    return request.Request(
        request_id=f'req-{tokens}-{rank}',
        caller=configuration.Caller('caller', 'customer', 'tier', ''),
        rank=rank,
        weight=1,
        service=configuration.Service('captions', 'text'),
        body=b'{}',
        deadline=float('inf'),
        output_tokens=tokens,
    )


class LateWakeResult:
    """A result that is set, but whose waiter is woken by the timeout first."""

    def __init__(self, chosen: object) -> None:
        """Create a result that is already set.

        Args:
            chosen: What a call without a timeout returns.
        """
        self._chosen = chosen

    def get(self, timeout: float | None = None) -> object:
        """Time out at once if a timeout is given.

        Args:
            timeout: Any number, or None to get what was set.

        Returns:
            What was set.

        Raises:
            Timeout: If a timeout is given.
        """
        if timeout is not None:
            raise gevent.Timeout
        return self._chosen


class StubScheduler:
    """The part of the scheduler that `await_grant` needs."""

    def compute_queue_timeout(self, req: request.Request) -> float:
        """Let a request expire at once.

        Args:
            req: The request.

        Returns:
            0 seconds.
        """
        return 0

    def withdraw(self, ticket: queue.Ticket, reason: Exception) -> bool:
        """Refuse a ticket as the scheduler does.

        Args:
            ticket: The ticket.
            reason: The error that its waiter gets.

        Returns:
            Whether it was still waiting.
        """
        return ticket.refuse(reason)


def test_grant_wins_over_a_late_timeout() -> None:
    """A timeout that fires after the grant doesn't expire the request."""
    ticket = queue.Ticket(make_request())
    ticket.grant('engine')
    ticket.future = LateWakeResult('engine')
    dispatcher = dispatch.Dispatcher(
        StubScheduler(),
        None,
        trace.Tracer('test'),
        None,
        None,
    )
    assert dispatcher.await_grant(ticket) == 'engine'


def test_ticket_is_refused_once() -> None:
    """The second refusal fails; the waiter gets the error of the first."""
    ticket = queue.Ticket(make_request())
    assert ticket.refuse(error.ExpiredError('late'))
    assert not ticket.refuse(error.ExpiredError('late'))
    with pytest.raises(error.ExpiredError):
        ticket.future.get(block=False)


def test_granted_ticket_is_not_refused() -> None:
    """A ticket that was granted can't be refused any more."""
    ticket = queue.Ticket(make_request())
    ticket.grant('engine')
    assert not ticket.refuse(error.ExpiredError('late'))


def test_node_without_configuration_refuses() -> None:
    """A scheduler without a configuration refuses each request."""
    unconfigured = scheduler.Scheduler(
        scheduler.Identity('node', 'zone'), print
    )
    with pytest.raises(error.ConfigurationMissingError):
        unconfigured.submit(make_request())


# Guards against runs that are given up, and requests that are suspected of a
# crash, because their back end was silent for a second.
@pytest.mark.parametrize(
    ('cause', 'crashed'),
    [(ConnectionRefusedError(), True), (TimeoutError(), False)],
)
def test_silent_back_end_has_not_crashed(
    monkeypatch: pytest.MonkeyPatch, cause: OSError, crashed: bool
) -> None:
    """Only a refused connection shows that the run has ended."""
    fault = error.ConnectError('no connection', 'connect')
    fault.__cause__ = cause
    fetch = mock.Mock(side_effect=fault)
    monkeypatch.setattr(exchange, 'fetch_report', fetch)
    dispatcher = dispatch.Dispatcher(
        StubScheduler(), None, trace.Tracer('test'), None, None
    )
    assert dispatcher._is_crashed(mock.Mock(), 'boot') == crashed
