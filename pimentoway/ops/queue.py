"""The queue of a pool: strict priority of tiers, fair shares within a tier.

Within a tier the customer with the fewest weighted tokens served goes first,
and within a customer the caller with the fewest tokens served. The counter of
a customer that returns after a time without waiting requests is raised to the
lowest counter of the waiting ones, so that idleness earns no credit (Virtual
Token Counter).
"""

import collections
import dataclasses
import enum

from gevent import event as gevent_event

from pimentoway.core import request

#: The tokens that may wait in one queue.
MAX_QUEUED_TOKENS = 400_000


class TicketState(enum.Enum):
    """The state of a queued request."""

    waiting = 'waiting'
    granted = 'granted'
    closed = 'closed'


class Ticket:
    """A queued request and its result.

    A ticket leaves ``waiting`` only once, so that a request is either
    dispatched or given up, never both.

    Attributes:
        request: The request.
        state: Whether it waits, was granted a back end or was refused.
        future: Set to the state of the back end, or to the error of a
            refusal.
        trial: Whether the request must be the only one on its back end.
    """

    def __init__(
        self, caller_request: request.Request, trial: bool = False
    ) -> None:
        """Start as a waiting request.

        Args:
            caller_request: The request.
            trial: Whether it must be the only one on its back end.
        """
        self.request = caller_request
        self.state = TicketState.waiting
        self.future = gevent_event.AsyncResult()
        self.trial = trial

    def grant(self, chosen: object) -> None:
        """Grant the request its back end.

        Args:
            chosen: The state of the back end.
        """
        self.state = TicketState.granted
        self.future.set(chosen)

    def refuse(self, reason: Exception) -> bool:
        """Refuse the request if it still waits.

        Args:
            reason: The error for the caller.

        Returns:
            Whether the request was still waiting.
        """
        if self.state is not TicketState.waiting:
            return False
        self.state = TicketState.closed
        self.future.set_exception(reason)
        return True


@dataclasses.dataclass
class CallerQueue:
    """The waiting requests of one caller, first in, first out.

    Attributes:
        served: Unused; ``FairQueue`` keeps the tokens that were served.
        waiting: The tickets, the next one first.
    """

    served: float = 0
    waiting: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque,
    )


QueueByCaller = dict[str, CallerQueue]


class FairQueue:
    """The queue of one pool.

    Attributes:
        tokens: The sum of the tokens of all waiting requests.
    """

    def __init__(self, bound: int = MAX_QUEUED_TOKENS) -> None:
        """Start empty.

        Args:
            bound: The most tokens that may wait.
        """
        self.tokens = 0
        self._bound = bound
        self._by_rank: dict[int, dict[str, QueueByCaller]] = {}
        self._tokens_by_rank: collections.Counter[int] = collections.Counter()
        self._served_by_customer: dict[tuple[int, str], float] = {}
        self._served_by_caller: dict[tuple[int, str], float] = {}

    def add(self, ticket: Ticket) -> list[Ticket]:
        """Add a ticket, and remove tickets while the queue is too long.

        Args:
            ticket: The ticket.

        Returns:
            The removed tickets, of the lowest tier first. The added ticket
            may be among them. The caller of this method must refuse them.
        """
        caller_request = ticket.request
        customers = self._by_rank.setdefault(caller_request.rank, {})
        self._raise_counter(caller_request, customers)
        callers = customers.setdefault(caller_request.caller.customer, {})
        queue = callers.setdefault(caller_request.caller.name, CallerQueue())
        queue.waiting.append(ticket)
        self._count(caller_request, caller_request.tokens)
        return self._collect_surplus()

    def restore(self, ticket: Ticket) -> None:
        """Put a request whose connection was never made back at the front.

        The tokens that were charged when it was granted are returned.

        Args:
            ticket: A new ticket of the request, in state ``waiting``.
        """
        caller_request = ticket.request
        customers = self._by_rank.setdefault(caller_request.rank, {})
        callers = customers.setdefault(caller_request.caller.customer, {})
        queue = callers.setdefault(caller_request.caller.name, CallerQueue())
        queue.waiting.appendleft(ticket)
        self._count(caller_request, caller_request.tokens)
        self.charge(caller_request, -caller_request.tokens)

    def remove(self, ticket: Ticket) -> None:
        """Remove a ticket from any position; ignored if it isn't queued.

        Args:
            ticket: The ticket.
        """
        caller_request = ticket.request
        customers = self._by_rank.get(caller_request.rank, {})
        callers = customers.get(caller_request.caller.customer, {})
        queue = callers.get(caller_request.caller.name)
        if queue is None or ticket not in queue.waiting:
            return
        queue.waiting.remove(ticket)
        self._count(caller_request, -caller_request.tokens)
        self._prune(caller_request)

    def list_heads(self, rank: int) -> list[Ticket]:
        """List the next ticket of each caller of a tier, fairest first.

        Args:
            rank: The rank of the tier; 0 is the highest.

        Returns:
            The tickets in the order in which they should be served.
        """
        heads = [queue.waiting[0] for queue in self._list_queues(rank)]
        return sorted(heads, key=self._make_fair_key)

    def list_ranks(self) -> list[int]:
        """List the ranks with waiting requests.

        Returns:
            The ranks, the highest tier first.
        """
        return sorted(self._by_rank)

    def list_waiting(self) -> list[Ticket]:
        """List every waiting ticket.

        Returns:
            The tickets, the highest tier first.
        """
        waiting: list[Ticket] = []
        for rank in self.list_ranks():
            for queue in self._list_queues(rank):
                waiting.extend(queue.waiting)
        return waiting

    def count_tokens_ahead(self, rank: int) -> int:
        """Count the waiting tokens that precede a new request.

        Args:
            rank: The rank of the new request's tier.

        Returns:
            The tokens of its own tier and of higher ones.
        """
        return sum(
            tokens
            for waiting_rank, tokens in self._tokens_by_rank.items()
            if waiting_rank <= rank
        )

    def charge(self, caller_request: request.Request, tokens: float) -> None:
        """Add tokens to the service counters of a customer and a caller.

        Args:
            caller_request: The request that used the tokens.
            tokens: The tokens; negative to return some.
        """
        customer = (caller_request.rank, caller_request.caller.customer)
        caller = (caller_request.rank, caller_request.caller.name)
        weighted = tokens / caller_request.weight
        self._served_by_customer[customer] = (
            self._served_by_customer.get(customer, 0) + weighted
        )
        self._served_by_caller[caller] = (
            self._served_by_caller.get(caller, 0) + tokens
        )

    def _list_queues(self, rank: int) -> list[CallerQueue]:
        return [
            queue
            for callers in self._by_rank.get(rank, {}).values()
            for queue in callers.values()
        ]

    def _count(self, caller_request: request.Request, tokens: int) -> None:
        self.tokens += tokens
        self._tokens_by_rank[caller_request.rank] += tokens

    def _make_fair_key(self, ticket: Ticket) -> tuple[float, float, float]:
        caller_request = ticket.request
        return (
            self._served_by_customer.get(
                (caller_request.rank, caller_request.caller.customer), 0
            ),
            self._served_by_caller.get(
                (caller_request.rank, caller_request.caller.name), 0
            ),
            caller_request.deadline,
        )

    def _raise_counter(
        self, caller_request: request.Request, customers: dict
    ) -> None:
        # A customer without waiting requests gets no credit for idleness.
        if caller_request.caller.customer in customers or not customers:
            return
        least = min(
            self._served_by_customer.get((caller_request.rank, name), 0)
            for name in customers
        )
        key = (caller_request.rank, caller_request.caller.customer)
        self._served_by_customer[key] = max(
            least,
            self._served_by_customer.get(key, 0),
        )

    def _prune(self, caller_request: request.Request) -> None:
        customers = self._by_rank[caller_request.rank]
        callers = customers[caller_request.caller.customer]
        if not callers[caller_request.caller.name].waiting:
            callers.pop(caller_request.caller.name)
        if not callers:
            customers.pop(caller_request.caller.customer)
        if not customers:
            self._by_rank.pop(caller_request.rank)

    def _collect_surplus(self) -> list[Ticket]:
        surplus = []
        while self.tokens > self._bound:
            last = self._find_last()
            self.remove(last)
            surplus.append(last)
        return surplus

    def _find_last(self) -> Ticket:
        # In the lowest tier, the customer with the most waiting tokens loses
        # the newest request of its caller with the most waiting tokens.
        customers = self._by_rank[max(self._by_rank)]
        callers = max(customers.values(), key=_count_tokens)
        queue = max(callers.values(), key=_count_queue_tokens)
        return queue.waiting[-1]


def _count_tokens(callers: dict[str, CallerQueue]) -> int:
    return sum(_count_queue_tokens(queue) for queue in callers.values())


def _count_queue_tokens(queue: CallerQueue) -> int:
    return sum(ticket.request.tokens for ticket in queue.waiting)
