"""The scheduler of a node: which request goes to which back end, and when.

All steps that decide over a request run without yielding to other tasks, so
that expiry, cancellation and dispatch can't both win.
"""

import collections
import dataclasses
import statistics

from pimentoway.core import (
    clock,
    error,
    evidence,
    index,
    metric,
    request,
)
from pimentoway.ops import (
    fleet,
    pressure,
    queue,
    route,
    site,
    suspect,
    throughput,
)

#: Seconds between two looks at queues whose back ends may have reopened.
TICK_SECONDS = 0.1

#: The longest time after which a refused caller is told to come back.
RETRY_CEILING_SECONDS = 30

#: Seconds after which a caller may come back when no back end is open.
CLOSED_RETRY_SECONDS = 2

#: The factor by which a run may take longer than estimated.
RUN_MARGIN = 1.2


@dataclasses.dataclass(frozen=True)
class Identity:
    """Who a node is.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
    """

    name: str
    zone: str


@dataclasses.dataclass
class Pool:
    """The queue of a pool and what is known of its speed."""

    waiting: queue.FairQueue
    throughput: throughput.Throughput


class Scheduler:
    """The scheduler of one node.

    Attributes:
        identity: Who the node is.
        view: The configuration in force, or nothing yet.
        fleet: The back ends.
        suspects: The requests that may crash back ends.
        pressure: The tiers that wait at other nodes.
        draining: Whether the node takes no new requests.
        place: Where the node stands.
        return_permit: Gives a borrowed slot back.
    """

    def __init__(
        self,
        identity: Identity,
        announce: collections.abc.Callable[[evidence.Evidence], object],
        queue_tokens: int = queue.QUEUE_TOKENS,
    ) -> None:
        """Start without a configuration.

        Args:
            identity: Who the node is.
            announce: Tells the other nodes a sign.
            queue_tokens: The tokens that may wait in one queue.
        """
        self.identity = identity
        self.view: index.Index | None = None
        self.fleet = fleet.Fleet()
        self.suspects = suspect.SuspectTable()
        self.pressure = pressure.PressureTable(identity.name, identity.zone)
        self.draining = False
        self.place = site.SiteKeeper(identity.name, identity.zone)
        self.return_permit: collections.abc.Callable[
            [fleet.BackendState, str],
            None,
        ] = _keep_permit
        self._announce = announce
        self._queue_tokens = queue_tokens
        self._lengths = throughput.Lengths()
        self._pools_by_name: dict[str, Pool] = {}

    def update_view(self, view: index.Index) -> None:
        """Follow a new configuration.

        Args:
            view: The configuration in force.
        """
        self.view = view
        self.fleet.update(view)
        self.update_place()

    def update_nodes(self, nodes_by_zone: dict[str, tuple[str, ...]]) -> None:
        """Follow a change of the live nodes.

        Args:
            nodes_by_zone: The names of the live nodes by failure domain.
        """
        self.place.note_nodes(nodes_by_zone)
        self.update_place()

    def note_order(self, order: evidence.ZoneOrder) -> bool:
        """Take in an operator's order to a failure domain.

        Args:
            order: The order.

        Returns:
            Whether it was new.
        """
        new = self.place.note_order(order)
        if new:
            self.update_place()
        return new

    def update_place(self) -> None:
        """Work out anew where the node stands, and look at all queues."""
        self.place.update(self.view, self.fleet)
        self.tick()

    def check_open(self, entry: request.Request) -> None:
        """Check that a request may be queued at all.

        Args:
            entry: The request.

        Raises:
            ShutdownError: If the node takes no new requests.
            ConfigurationMissingError: If it has no configuration.
            NoBackendError: If no back end is open for the service.
        """
        if self.draining:
            raise error.ShutdownError('the node is shutting down', 'admit')
        if self.view is None:
            raise error.ConfigurationMissingError(
                'the node has no configuration yet',
                'admit',
            )
        members = self.view.backends_by_pool.get(entry.service.pool, ())
        usable = (
            backend
            for backend in members
            if not backend.leaving
            and backend.zone not in self.place.current.closed_zones
        )
        if not any(usable):
            raise error.NoBackendError(
                'no back end is open for the service',
                'admit',
                entry.service.pool,
                CLOSED_RETRY_SECONDS,
            )

    def measure_patience(self, entry: request.Request) -> float:
        """Work out how long a request may wait and still be answered in time.

        Args:
            entry: The request.

        Returns:
            The seconds; 0 if it is too late already.
        """
        paces = [
            state.limit.pace
            for state in self.fleet.by_name.values()
            if state.backend.pool == entry.service.pool and state.limit.pace
        ]
        length = entry.output_tokens * self._lengths.estimate(entry)
        run = statistics.fmean(paces or (0,)) * length * RUN_MARGIN
        return max(0, entry.deadline - clock.read_monotonic() - run)

    def submit(
        self, entry: request.Request, trial: bool = False
    ) -> queue.Ticket:
        """Queue a request and dispatch what can be dispatched.

        Args:
            entry: The request.
            trial: Whether it has to run alone on its back end.

        Returns:
            Its ticket. A refusal at once is raised as a ``NotRunError``.
        """
        self.check_open(entry)
        pool = self._find_pool(entry.service.pool)
        self._check_deadline(entry, pool)
        ticket = queue.Ticket(entry, trial)
        for surplus in pool.waiting.add(ticket):
            surplus.refuse(self._make_overload(surplus.request, pool))
        self.pump(entry.service.pool)
        return ticket

    def resubmit(
        self, ticket: queue.Ticket, state: fleet.BackendState
    ) -> queue.Ticket:
        """Queue a request again whose connection was never made.

        Args:
            ticket: The granted ticket.
            state: The back end that refused the connection.

        Returns:
            The new ticket, at the front of its caller's line.
        """
        entry = ticket.request
        self._free_slot(state, entry)
        renewed = queue.Ticket(entry, ticket.trial)
        self._find_pool(entry.service.pool).waiting.restore(renewed)
        self.pump(entry.service.pool)
        return renewed

    def withdraw(self, ticket: queue.Ticket, reason: Exception) -> bool:
        """Give a waiting request up.

        Args:
            ticket: Its ticket.
            reason: The error for the caller.

        Returns:
            Whether it was still waiting, and so was not run.
        """
        if not ticket.refuse(reason):
            return False
        pool = self._find_pool(ticket.request.service.pool)
        pool.waiting.remove(ticket)
        return True

    def release(
        self, state: fleet.BackendState, entry: request.Request, tokens: int
    ) -> None:
        """Free the slot of a request that no longer runs.

        Args:
            state: The back end that ran it.
            entry: The request.
            tokens: The tokens of its answer.
        """
        self._free_slot(state, entry)
        pool = self._find_pool(entry.service.pool)
        self._lengths.record(entry, tokens)
        used = entry.prompt_tokens + tokens
        pool.throughput.record(used)
        pool.waiting.charge(entry, used - entry.tokens)
        self.pump(entry.service.pool)

    def tick(self) -> None:
        """Look at all queues again and tell the others what waits."""
        for name, pool in self._pools_by_name.items():
            self.pump(name)
            ranks = pool.waiting.list_ranks()
            rank = ranks[0] if ranks else pressure.NOTHING_WAITS
            sign = self.pressure.announce(name, rank)
            if sign:
                self._announce(sign)

    def pump(self, name: str) -> None:
        """Dispatch what can be dispatched, the highest tier first.

        Args:
            name: The name of the pool.
        """
        waiting = self._find_pool(name).waiting
        for rank in waiting.list_ranks():
            if not self.pressure.admits(name, rank):
                return
            self._grant_rank(waiting, rank)
            # While a request waits that any slot would serve, no lower tier
            # is served.
            if any(not _is_trial(one) for one in waiting.list_heads(rank)):
                return

    def list_waiting_ranks(self, name: str) -> list[int]:
        """List the ranks that wait for a pool at this node.

        Args:
            name: The name of the pool.

        Returns:
            The ranks, the highest tier first.
        """
        return self._find_pool(name).waiting.list_ranks()

    def list_waiting_pools(self) -> dict[str, int]:
        """List the pools for which requests wait at this node.

        Returns:
            The highest rank that waits, by the name of the pool.
        """
        return {
            name: pool.waiting.list_ranks()[0]
            for name, pool in self._pools_by_name.items()
            if pool.waiting.tokens
        }

    def count_waiting(self) -> int:
        """Count the requests in all queues.

        Returns:
            The requests.
        """
        return sum(
            len(pool.waiting.list_waiting())
            for pool in self._pools_by_name.values()
        )

    def count_running(self) -> int:
        """Count the requests that back ends run for this node.

        Returns:
            The requests.
        """
        return sum(len(state.inflight) for state in self.fleet.by_name.values())

    def _grant_rank(self, waiting: queue.FairQueue, rank: int) -> None:
        granted = True
        while granted:
            granted = self._grant_next(waiting, rank)

    def _grant_next(self, waiting: queue.FairQueue, rank: int) -> bool:
        for ticket in waiting.list_heads(rank):
            state = self._choose(ticket)
            if state is None:
                continue
            entry = ticket.request
            waiting.remove(ticket)
            waiting.charge(entry, entry.tokens)
            self._note_prefill(state, entry)
            self._use_permit(state, entry)
            state.inflight[entry.request_id] = entry
            ticket.grant(state)
            return True
        return False

    def _use_permit(
        self, state: fleet.BackendState, entry: request.Request
    ) -> None:
        if route.needs_permit(state, self.place.current):
            permit_id = state.permits.pop()
            state.permit_by_request[entry.request_id] = permit_id

    def _choose(self, ticket: queue.Ticket) -> fleet.BackendState | None:
        entry = ticket.request
        groups = route.group_candidates(
            self.view,
            self.fleet,
            self.place.current,
            entry,
        )
        for group in groups:
            if ticket.trial:
                group = [state for state in group if not state.inflight]
            chosen = route.choose_backend(group, self.place.current, entry)
            if chosen:
                return chosen
        return None

    def _free_slot(
        self, state: fleet.BackendState, entry: request.Request
    ) -> None:
        state.inflight.pop(entry.request_id, None)
        permit_id = state.permit_by_request.pop(entry.request_id, None)
        if permit_id:
            self.return_permit(state, permit_id)

    def _note_prefill(
        self, state: fleet.BackendState, entry: request.Request
    ) -> None:
        cached = int(entry.prompt_tokens * state.prefixes.match(entry.prefixes))
        metric.PREFILL_TOKENS.labels('yes').inc(cached)
        metric.PREFILL_TOKENS.labels('no').inc(entry.prompt_tokens - cached)
        state.prefixes.learn(entry.prefixes)

    def _find_pool(self, name: str) -> Pool:
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = Pool(
                queue.FairQueue(self._queue_tokens), throughput.Throughput()
            )
            self._pools_by_name[name] = pool
        return pool

    def _check_deadline(self, entry: request.Request, pool: Pool) -> None:
        tokens = pool.waiting.count_tokens_before(entry.rank)
        if not tokens:
            return
        wait = pool.throughput.estimate_wait(tokens + entry.tokens)
        if clock.read_monotonic() + wait > entry.deadline:
            raise self._make_overload(entry, pool)

    def _make_overload(
        self, entry: request.Request, pool: Pool
    ) -> error.OverloadedError:
        tokens = pool.waiting.count_tokens_before(entry.rank)
        wait = pool.throughput.estimate_wait(tokens)
        return error.OverloadedError(
            'too much of this tier and of higher ones is waiting',
            'admit',
            entry.service.pool,
            min(max(wait, 1), RETRY_CEILING_SECONDS),
        )


def _keep_permit(state: fleet.BackendState, permit_id: str) -> None:
    """Keep a permit while no borrower is connected."""


def _is_trial(ticket: queue.Ticket) -> bool:
    return ticket.trial
