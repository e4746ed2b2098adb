"""The scheduler of a node: which request goes to which back end, and when.

Every step that decides over a request runs without yielding to other
greenlets, so a request can't be both dispatched and expired or cancelled.
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
    quarantine,
    queue,
    route,
    routingstate,
    throughput,
)

#: Seconds between periodic dispatches; a back end may have reopened since.
TICK_SECONDS = 0.1

#: Upper bound of the `Retry-After` of an overload refusal, in seconds.
RETRY_CEILING_SECONDS = 30

#: `Retry-After` in seconds when no back end is open for the service.
CLOSED_RETRY_SECONDS = 2

#: The factor by which a run may take longer than estimated.
RUN_MARGIN = 1.2


@dataclasses.dataclass(frozen=True)
class Identity:
    """The name of a node and its failure domain."""

    name: str
    zone: str


@dataclasses.dataclass
class Pool:
    """The queue of a pool and its measured throughput."""

    waiting: queue.FairQueue
    throughput: throughput.Throughput


class Scheduler:
    """Queues requests and dispatches them to the back ends of each pool.

    Attributes:
        identity: The name and the failure domain of the node.
        configuration_index: The configuration in force, indexed; None before
            the first one.
        fleet: The back ends.
        suspects: The requests that may crash back ends.
        pressure: The tiers that wait for a pool at other nodes.
        draining: Whether the node refuses new requests to shut down.
        routing: Live nodes, owned ramps and closed failure domains.
        return_permit: Returns a borrowed slot to the owner of the ramp.
    """

    def __init__(
        self,
        identity: Identity,
        announce: collections.abc.Callable[[evidence.Evidence], object],
        queue_tokens: int = queue.MAX_QUEUED_TOKENS,
    ) -> None:
        """Create a scheduler that refuses requests until configured.

        Args:
            identity: The name and the failure domain of the node.
            announce: Sends evidence to the other nodes.
            queue_tokens: The tokens that may wait in each pool's queue.
        """
        self.identity = identity
        self.configuration_index: index.Index | None = None
        self.fleet = fleet.Fleet()
        self.suspects = quarantine.SuspectTable()
        self.pressure = pressure.PressureTable(identity.name, identity.zone)
        self.draining = False
        self.routing = routingstate.RoutingState(identity.name, identity.zone)
        self.return_permit: collections.abc.Callable[
            [fleet.BackendState, str],
            None,
        ] = _drop_permit
        self._announce = announce
        self._queue_tokens = queue_tokens
        self._lengths = throughput.AnswerLengths()
        self._pools_by_name: dict[str, Pool] = {}
        self._granted_at_by_request: dict[str, float] = {}

    def update_configuration_index(self, config_index: index.Index) -> None:
        """Apply a new configuration.

        Args:
            config_index: The configuration in force.
        """
        self.configuration_index = config_index
        self.fleet.update(config_index)
        self.refresh_routing()

    def update_nodes(self, nodes_by_zone: dict[str, tuple[str, ...]]) -> None:
        """Apply a change of the live nodes.

        Args:
            nodes_by_zone: The names of the live nodes by failure domain.
        """
        self.routing.set_nodes(nodes_by_zone)
        self.refresh_routing()

    def apply_zone_order(self, order: evidence.ZoneOrder) -> bool:
        """Apply an operator's order to open or close a failure domain.

        Args:
            order: The order.

        Returns:
            False if the order is older than the one in force.
        """
        new = self.routing.note_order(order)
        if new:
            self.refresh_routing()
        return new

    def refresh_routing(self) -> None:
        """Recompute the routing state, then dispatch all pools."""
        self.routing.update(self.configuration_index, self.fleet)
        self.tick()

    def check_admission(self, req: request.Request) -> None:
        """Check that a request may be queued at all.

        Args:
            req: The request.

        Raises:
            ShutdownError: If the node is draining.
            ConfigurationMissingError: If it has no configuration yet.
            NoBackendError: If each back end of the pool is leaving or in a
                closed failure domain.
        """
        if self.draining:
            raise error.ShutdownError('the node is shutting down', 'admit')
        if self.configuration_index is None:
            raise error.ConfigurationMissingError(
                'the node has no configuration yet',
                'admit',
            )
        members = self.configuration_index.backends_by_pool.get(
            req.service.pool, ()
        )
        usable = (
            backend
            for backend in members
            if not backend.leaving
            and backend.zone not in self.routing.current.closed_zones
        )
        if not any(usable):
            raise error.NoBackendError(
                'no back end is open for the service',
                'admit',
                req.service.pool,
                CLOSED_RETRY_SECONDS,
            )

    def compute_queue_timeout(self, req: request.Request) -> float:
        """Compute how long a request may wait and still meet its deadline.

        Args:
            req: The request.

        Returns:
            The time to the deadline less the estimated run time, in seconds;
            0 if the deadline can no longer be met.
        """
        paces = [
            state.limit.pace
            for state in self.fleet.by_name.values()
            if state.backend.pool == req.service.pool and state.limit.pace
        ]
        length = req.output_tokens * self._lengths.estimate(req)
        run = statistics.fmean(paces or (0,)) * length * RUN_MARGIN
        return max(0, req.deadline - clock.read_monotonic() - run)

    def submit(self, req: request.Request, trial: bool = False) -> queue.Ticket:
        """Queue a request and dispatch what can be dispatched.

        Args:
            req: The request.
            trial: Whether it has to run alone on its back end.

        Returns:
            Its ticket. The ticket may already be refused if the queue is
            over its bound; any other refusal is raised as a `NotRunError`.
        """
        self.check_admission(req)
        pool = self._get_pool(req.service.pool)
        self._check_deadline(req, pool)
        ticket = queue.Ticket(req, trial)
        for surplus in pool.waiting.add(ticket):
            surplus.refuse(self._make_overload_error(surplus.request, pool))
        self.dispatch_pool(req.service.pool)
        return ticket

    def resubmit(
        self, ticket: queue.Ticket, state: fleet.BackendState
    ) -> queue.Ticket:
        """Queue a request again whose connection was never established.

        Args:
            ticket: The granted ticket.
            state: The back end that refused the connection.

        Returns:
            A new ticket at the front of its caller's queue.
        """
        req = ticket.request
        self._free_slot(state, req)
        renewed = queue.Ticket(req, ticket.trial)
        self._get_pool(req.service.pool).waiting.restore(renewed)
        self.dispatch_pool(req.service.pool)
        return renewed

    def withdraw(self, ticket: queue.Ticket, reason: Exception) -> bool:
        """Remove a request from its queue unless it was granted before.

        Args:
            ticket: The ticket of the request.
            reason: The error that the ticket's waiter gets.

        Returns:
            Whether it was still waiting, and so will not run.
        """
        if not ticket.refuse(reason):
            return False
        pool = self._get_pool(ticket.request.service.pool)
        pool.waiting.remove(ticket)
        return True

    def release(
        self, state: fleet.BackendState, req: request.Request, tokens: int
    ) -> None:
        """Free the slot of a request that ended and dispatch the next one.

        The caller is charged the tokens that were used in place of those
        that were estimated at the dispatch.

        Args:
            state: The back end that ran it.
            req: The request.
            tokens: The tokens of its answer.
        """
        seconds = self._free_slot(state, req)
        pool = self._get_pool(req.service.pool)
        self._lengths.record(req, tokens)
        used = req.prompt_tokens + tokens
        pool.throughput.record(used, seconds)
        pool.waiting.charge(req, used - req.tokens)
        self.dispatch_pool(req.service.pool)

    def tick(self) -> None:
        """Dispatch every pool and announce the tiers that still wait."""
        for name, pool in self._pools_by_name.items():
            self.dispatch_pool(name)
            ranks = pool.waiting.list_ranks()
            rank = ranks[0] if ranks else pressure.NOTHING_WAITS
            announcement = self.pressure.announce(name, rank)
            if announcement:
                self._announce(announcement)

    def dispatch_pool(self, name: str) -> None:
        """Dispatch the waiting requests of a pool, the highest tier first.

        Args:
            name: The name of the pool.
        """
        waiting = self._get_pool(name).waiting
        for rank in waiting.list_ranks():
            if not self.pressure.admits(name, rank):
                return
            self._grant_rank(waiting, rank)
            # A waiting request that could use any slot blocks lower tiers.
            # A trial needs an idle back end, so it doesn't.
            if any(
                not _is_trial(ticket) for ticket in waiting.list_heads(rank)
            ):
                return

    def list_waiting_ranks(self, name: str) -> list[int]:
        """List the ranks that wait for a pool at this node.

        Args:
            name: The name of the pool.

        Returns:
            The ranks, the highest tier first.
        """
        return self._get_pool(name).waiting.list_ranks()

    def list_waiting_pools(self) -> dict[str, int]:
        """List the pools for which requests wait at this node.

        Returns:
            The rank of the highest waiting tier, by the name of the pool.
        """
        return {
            name: pool.waiting.list_ranks()[0]
            for name, pool in self._pools_by_name.items()
            if pool.waiting.tokens
        }

    def count_waiting(self) -> int:
        """Count the requests in all queues of this node.

        Returns:
            The number of requests.
        """
        return sum(
            len(pool.waiting.list_waiting())
            for pool in self._pools_by_name.values()
        )

    def count_running(self) -> int:
        """Count the requests that back ends run for this node.

        Returns:
            The number of requests.
        """
        return sum(len(state.inflight) for state in self.fleet.by_name.values())

    def _grant_rank(self, waiting: queue.FairQueue, rank: int) -> None:
        granted = True
        while granted:
            granted = self._grant_next(waiting, rank)

    def _grant_next(self, waiting: queue.FairQueue, rank: int) -> bool:
        for ticket in waiting.list_heads(rank):
            state = self._choose_backend(ticket)
            if state is None:
                continue
            req = ticket.request
            waiting.remove(ticket)
            waiting.charge(req, req.tokens)
            self._record_prefill(state, req)
            self._assign_permit(state, req)
            state.inflight[req.request_id] = req
            self._granted_at_by_request[req.request_id] = clock.read_monotonic()
            ticket.grant(state)
            return True
        return False

    def _assign_permit(
        self, state: fleet.BackendState, req: request.Request
    ) -> None:
        if route.needs_permit(state, self.routing.current):
            permit_id = state.permits.pop()
            state.permit_by_request[req.request_id] = permit_id

    def _choose_backend(
        self, ticket: queue.Ticket
    ) -> fleet.BackendState | None:
        req = ticket.request
        groups = route.group_candidates(
            self.configuration_index,
            self.fleet,
            self.routing.current,
            req,
        )
        for group in groups:
            if ticket.trial:
                group = [state for state in group if not state.inflight]
            chosen = route.choose_backend(group, self.routing.current, req)
            if chosen:
                return chosen
        return None

    def _free_slot(
        self, state: fleet.BackendState, req: request.Request
    ) -> float:
        # Returns for how many seconds the request had the slot.
        state.inflight.pop(req.request_id, None)
        permit_id = state.permit_by_request.pop(req.request_id, None)
        if permit_id:
            self.return_permit(state, permit_id)
        now = clock.read_monotonic()
        return now - self._granted_at_by_request.pop(req.request_id, now)

    def _record_prefill(
        self, state: fleet.BackendState, req: request.Request
    ) -> None:
        cached = int(req.prompt_tokens * state.prefixes.match(req.prefixes))
        metric.PREFILL_TOKENS.labels('yes').inc(cached)
        metric.PREFILL_TOKENS.labels('no').inc(req.prompt_tokens - cached)
        state.prefixes.add(req.prefixes)

    def _get_pool(self, name: str) -> Pool:
        # Creates the pool at its first use.
        pool = self._pools_by_name.get(name)
        if pool is None:
            pool = Pool(
                queue.FairQueue(self._queue_tokens), throughput.Throughput()
            )
            self._pools_by_name[name] = pool
        return pool

    def _check_deadline(self, req: request.Request, pool: Pool) -> None:
        tokens = pool.waiting.count_tokens_ahead(req.rank)
        if not tokens:
            return
        slots = route.count_slots(
            self.fleet, req.service.pool, self.routing.current
        )
        wait = pool.throughput.estimate_wait(tokens + req.tokens, slots)
        if clock.read_monotonic() + wait > req.deadline:
            raise self._make_overload_error(req, pool)

    def _make_overload_error(
        self, req: request.Request, pool: Pool
    ) -> error.OverloadedError:
        tokens = pool.waiting.count_tokens_ahead(req.rank)
        slots = route.count_slots(
            self.fleet, req.service.pool, self.routing.current
        )
        wait = pool.throughput.estimate_wait(tokens, slots)
        return error.OverloadedError(
            'too much of this tier and of higher ones is waiting',
            'admit',
            req.service.pool,
            min(max(wait, 1), RETRY_CEILING_SECONDS),
        )


def _drop_permit(state: fleet.BackendState, permit_id: str) -> None:
    """Ignore a permit: without a borrower there is no node to return it to."""


def _is_trial(ticket: queue.Ticket) -> bool:
    return ticket.trial
