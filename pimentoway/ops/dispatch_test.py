"""Tests of the steps at which only one of two outcomes may win."""

import gevent
import pytest

from pimentoway.core import configuration, error, request, trace
from pimentoway.ops import dispatch, queue, scheduler


def make_request(tokens: int = 10, rank: int = 0) -> request.Request:
    """Make a request.

    Args:
        tokens: The longest answer.
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


class LateResult:
    """A result whose waiter is woken by its timeout after it was set."""

    def __init__(self, found: object) -> None:
        """Hold the result.

        Args:
            found: The result.
        """
        self._found = found

    def get(self, timeout: float | None = None) -> object:
        """Time out, if a timeout is given.

        Args:
            timeout: The timeout.

        Returns:
            The result.

        Raises:
            Timeout: If a timeout is given.
        """
        if timeout is not None:
            raise gevent.Timeout
        return self._found


class StubPlan:
    """The part of the scheduler that waiting needs."""

    def measure_patience(self, entry: request.Request) -> float:
        """Allow no waiting.

        Args:
            entry: The request.

        Returns:
            No time.
        """
        return 0

    def withdraw(self, ticket: queue.Ticket, reason: Exception) -> bool:
        """Give the ticket up as the scheduler does.

        Args:
            ticket: The ticket.
            reason: The error.

        Returns:
            Whether it was still waiting.
        """
        return ticket.refuse(reason)


def test_dispatch_wins_over_a_late_expiry() -> None:
    """A request that was granted is not told that it expired."""
    ticket = queue.Ticket(make_request())
    ticket.grant('engine')
    ticket.granted = LateResult('engine')
    dispatcher = dispatch.Dispatcher(
        StubPlan(),
        None,
        trace.Tracer('test'),
        None,
        None,
    )
    assert dispatcher.await_grant(ticket) == 'engine'


def test_refused_ticket_is_not_granted() -> None:
    """A ticket that was given up leaves the queue for good."""
    ticket = queue.Ticket(make_request())
    assert ticket.refuse(error.ExpiredError('late'))
    assert not ticket.refuse(error.ExpiredError('late'))
    with pytest.raises(error.ExpiredError):
        ticket.granted.get(block=False)


def test_granted_ticket_is_not_refused() -> None:
    """A granted ticket can't be given up."""
    ticket = queue.Ticket(make_request())
    ticket.grant('engine')
    assert not ticket.refuse(error.ExpiredError('late'))


def test_node_without_configuration_refuses() -> None:
    """A scheduler without a configuration takes nothing."""
    plan = scheduler.Scheduler(scheduler.Identity('node', 'zone'), print)
    with pytest.raises(error.ConfigurationMissingError):
        plan.submit(make_request())
