"""The queue of a pool: tiers strictly in order, fair within a tier.

Within a tier the customer that was served the fewest weighted tokens goes
first, and within a customer the caller that was served the fewest. Counters
of those who return from idleness are lifted to the least counter of those
who wait, so that idleness earns no credit (Virtual Token Counter).
"""

import collections
import dataclasses
import enum

from gevent import event as gevent_event

from pimentoway.core import request

#: The tokens that may wait in one queue.
QUEUE_TOKENS = 400_000


class TicketState(enum.Enum):
    """What became of a request in the queue."""

    waiting = 'waiting'
    granted = 'granted'
    closed = 'closed'


class Ticket:
    """The place of a request in a queue.

    A ticket leaves ``waiting`` once and by one step, so that a request is
    either dispatched or given up, never both.

    Attributes:
        request: The request.
        state: What became of it.
        granted: Set to the back end's state, or to the error of the refusal.
        trial: Whether the request has to run alone on its back end.
    """

    def __init__(self, entry: request.Request, trial: bool = False) -> None:
        """Wait with a request.

        Args:
            entry: The request.
            trial: Whether it has to run alone on its back end.
        """
        self.request = entry
        self.state = TicketState.waiting
        self.granted = gevent_event.AsyncResult()
        self.trial = trial

    def grant(self, chosen: object) -> None:
        """Give the request its back end.

        Args:
            chosen: The state of the back end.
        """
        self.state = TicketState.granted
        self.granted.set(chosen)

    def refuse(self, reason: Exception) -> bool:
        """Give the request up, unless it has been granted.

        Args:
            reason: The error for the caller.

        Returns:
            Whether the request was still waiting.
        """
        if self.state is not TicketState.waiting:
            return False
        self.state = TicketState.closed
        self.granted.set_exception(reason)
        return True


@dataclasses.dataclass
class Line:
    """The waiting requests of one caller or one customer.

    Attributes:
        served: The weighted tokens that were served.
    """

    served: float = 0
    waiting: collections.deque[Ticket] = dataclasses.field(
        default_factory=collections.deque,
    )


Callers = dict[str, Line]


class FairQueue:
    """The queue of one pool.

    Attributes:
        tokens: The tokens that wait.
    """

    def __init__(self, bound: int = QUEUE_TOKENS) -> None:
        """Start empty.

        Args:
            bound: The tokens that may wait.
        """
        self.tokens = 0
        self._bound = bound
        self._by_rank: dict[int, dict[str, Callers]] = {}
        self._tokens_by_rank: collections.Counter[int] = collections.Counter()
        self._served_by_customer: dict[tuple[int, str], float] = {}
        self._served_by_caller: dict[tuple[int, str], float] = {}

    def add(self, ticket: Ticket) -> list[Ticket]:
        """Add a ticket and work out which must leave for it.

        Args:
            ticket: The ticket.

        Returns:
            The tickets beyond the bound, of the lowest tier first. The
            added ticket may be among them.
        """
        entry = ticket.request
        lines = self._by_rank.setdefault(entry.rank, {})
        self._lift(entry, lines)
        customer = lines.setdefault(entry.caller.customer, {})
        line = customer.setdefault(entry.caller.name, Line())
        line.waiting.append(ticket)
        self._count(entry, entry.tokens)
        return self._collect_surplus()

    def restore(self, ticket: Ticket) -> None:
        """Put a ticket back to the front after a connection was never made.

        Args:
            ticket: The ticket, waiting again.
        """
        entry = ticket.request
        lines = self._by_rank.setdefault(entry.rank, {})
        customer = lines.setdefault(entry.caller.customer, {})
        line = customer.setdefault(entry.caller.name, Line())
        line.waiting.appendleft(ticket)
        self._count(entry, entry.tokens)
        self.charge(entry, -entry.tokens)

    def remove(self, ticket: Ticket) -> None:
        """Take a ticket out wherever it stands.

        Args:
            ticket: The ticket.
        """
        entry = ticket.request
        customers = self._by_rank.get(entry.rank, {})
        callers = customers.get(entry.caller.customer, {})
        line = callers.get(entry.caller.name)
        if line is None or ticket not in line.waiting:
            return
        line.waiting.remove(ticket)
        self._count(entry, -entry.tokens)
        self._prune(entry)

    def list_heads(self, rank: int) -> list[Ticket]:
        """List the next ticket of each caller of a tier, fairest first.

        Args:
            rank: The rank of the tier.

        Returns:
            The tickets in the order in which they should be served.
        """
        heads = [line.waiting[0] for line in self._list_lines(rank)]
        return sorted(heads, key=self._measure_service)

    def list_ranks(self) -> list[int]:
        """List the ranks that wait.

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
            for line in self._list_lines(rank):
                waiting.extend(line.waiting)
        return waiting

    def count_tokens_before(self, rank: int) -> int:
        """Count the waiting tokens that go before a newcomer.

        Args:
            rank: The rank of the newcomer's tier.

        Returns:
            The tokens of its own tier and of higher ones.
        """
        return sum(
            tokens
            for waiting_rank, tokens in self._tokens_by_rank.items()
            if waiting_rank <= rank
        )

    def charge(self, entry: request.Request, tokens: float) -> None:
        """Charge tokens to a customer and a caller.

        Args:
            entry: The request that used the tokens.
            tokens: The tokens; negative to give some back.
        """
        customer = (entry.rank, entry.caller.customer)
        caller = (entry.rank, entry.caller.name)
        weighted = tokens / entry.weight
        self._served_by_customer[customer] = (
            self._served_by_customer.get(customer, 0) + weighted
        )
        self._served_by_caller[caller] = (
            self._served_by_caller.get(caller, 0) + tokens
        )

    def _list_lines(self, rank: int) -> list[Line]:
        return [
            line
            for callers in self._by_rank.get(rank, {}).values()
            for line in callers.values()
        ]

    def _count(self, entry: request.Request, tokens: int) -> None:
        self.tokens += tokens
        self._tokens_by_rank[entry.rank] += tokens

    def _measure_service(self, ticket: Ticket) -> tuple[float, float, float]:
        entry = ticket.request
        return (
            self._served_by_customer.get(
                (entry.rank, entry.caller.customer), 0
            ),
            self._served_by_caller.get((entry.rank, entry.caller.name), 0),
            entry.deadline,
        )

    def _lift(self, entry: request.Request, lines: dict) -> None:
        # A customer without waiting requests gets no credit for idleness.
        if entry.caller.customer in lines or not lines:
            return
        least = min(
            self._served_by_customer.get((entry.rank, name), 0)
            for name in lines
        )
        key = (entry.rank, entry.caller.customer)
        self._served_by_customer[key] = max(
            least,
            self._served_by_customer.get(key, 0),
        )

    def _prune(self, entry: request.Request) -> None:
        customers = self._by_rank[entry.rank]
        callers = customers[entry.caller.customer]
        if not callers[entry.caller.name].waiting:
            callers.pop(entry.caller.name)
        if not callers:
            customers.pop(entry.caller.customer)
        if not customers:
            self._by_rank.pop(entry.rank)

    def _collect_surplus(self) -> list[Ticket]:
        surplus = []
        while self.tokens > self._bound:
            last = self._find_last()
            self.remove(last)
            surplus.append(last)
        return surplus

    def _find_last(self) -> Ticket:
        # The customer with the most waiting tokens of the lowest tier loses
        # its youngest request.
        customers = self._by_rank[max(self._by_rank)]
        callers = max(customers.values(), key=_count_tokens)
        line = max(callers.values(), key=_count_line_tokens)
        return line.waiting[-1]


def _count_tokens(callers: dict[str, Line]) -> int:
    return sum(_count_line_tokens(line) for line in callers.values())


def _count_line_tokens(line: Line) -> int:
    return sum(ticket.request.tokens for ticket in line.waiting)
