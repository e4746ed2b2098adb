"""The requests of a service that wait for a slot, and their order.

Runs can't be preempted, and each holds its slot until it ends. So requests are
ordered by the value of their answer for each second of a slot. Requests of
higher value go first. Requests of lower value get only slots that the others
are unlikely to need, but the requests of each route and tier are guaranteed a
fraction of the slots that they ask for, and each size of request a fraction of
what these get. Among the customers of a tier, requests of those that are over
their fair shares wait until no others of the tier do.
"""

import bisect
import collections
import dataclasses
import itertools
import math
import operator
import types

from pimentoway.admission import returns, shares
from pimentoway.core import clock, metric
from pimentoway.ops import (
    enginestate,
    routequeue,
    routestats,
    slot,
    tierdemand,
)

#: The slots that a request must leave free for each tier by which it is below
#: the highest one, as a fraction of all slots and at most; and the most tiers
#: that count. The fraction is one slot of 24, about what becomes free while an
#: urgent request is on its way. Of more slots, one becomes free the sooner, so
#: no more of them need to be idle.
RESERVED_FRACTION = 0.04
MAX_RESERVED_SLOTS = 1
MAX_RESERVING_TIERS = 3

#: The least number of slots by which work is divided when a wait is estimated.
MIN_SERVING_SLOTS = 0.1

#: The part of the slots that a route and tier uses which its returning requests
#: may take when arriving requests leave none. They are late, so each costs a
#: timely request of the same tier. When they could use all guaranteed slots,
#: the lowest tier of a small fleet lost an eighth of its value.
RETURNING_FRACTION = 0.05

#: The decayed request count below which a route is forgotten: one request
#: half a minute ago. Routes come and go with the configuration.
MIN_DECAYED_COUNT = 0.0002


@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """What was asked of a service since the start of its broker.

    Attributes:
        arrived_seconds_by_rank: The estimated run times of the requests that
            arrived, in seconds, by tier. A request that returns after a refusal
            counts once.
        refused: The requests refused because they would wait too long.
        waiting_seconds: The estimated run times of the requests that wait now.
        waiting: The requests that wait now.
    """

    arrived_seconds_by_rank: types.MappingProxyType[int, float]
    refused: int
    waiting_seconds: float
    waiting: int


class WaitQueue:
    """The waiting requests of one service.

    Attributes:
        waiting_by_key: The requests, by node and number.
        stats_by_route: The statistics of each route.
        shares: What the customers of each tier got.
        returns: When refused requests return.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.shares = shares.ServiceShares()
        self.returns = returns.ReturnSchedule()
        # The slots of the service at the last decision.
        self._slots = 0
        self.waiting_by_key: dict[
            enginestate.RunKey, routequeue.QueuedRequest
        ] = {}
        self.stats_by_route: dict[str, routestats.RouteStats] = (
            collections.defaultdict(routestats.RouteStats)
        )
        # By route and tier.
        self._queue_by_tier: dict[tuple[str, int], routequeue.RouteQueue] = {}
        self._decayed_at = clock.read_monotonic()
        self._arrived_seconds_by_rank: dict[int, float] = (
            collections.defaultdict(float)
        )
        self._refused = 0

    def count_new_request(self, request: slot.SlotRequest) -> None:
        """Count a request in the demand, unless it returns after a refusal.

        Args:
            request: The slot request.
        """
        run = self.stats_by_route[request.route].estimate_run(request)
        self._arrived_seconds_by_rank[request.rank] += run

    def count_refusal(self) -> None:
        """Count a request that is refused because it would wait too long."""
        self._refused += 1

    def measure_demand(self) -> ServiceDemand:
        """Measure what was asked of the service.

        Returns:
            The sums since the start, and what waits now.
        """
        waiting_seconds = sum(
            queue.measure_work() for queue in self._queue_by_tier.values()
        )
        return ServiceDemand(
            types.MappingProxyType(dict(self._arrived_seconds_by_rank)),
            self._refused,
            waiting_seconds,
            len(self.waiting_by_key),
        )

    def count_request(self, request: slot.SlotRequest) -> None:
        """Count a request in its route's statistics, even if it is refused.

        Args:
            request: The slot request.
        """
        stats = self.stats_by_route[request.route]
        stats.record_work(request)
        stats.record_length(request)
        # A request that can't meet its target any more, as it returns after a
        # refusal, doesn't count: it would raise the guaranteed slots of its
        # route, and timely requests need these.
        queue = self._find_queue(request)
        if request.target_left > stats.first_seconds:
            queue.demand.count_request()
        queue.count_arrival(request)

    def count_grant(self, request: slot.SlotRequest) -> None:
        """Count a granted request.

        Args:
            request: The slot request.
        """
        self._find_queue(request).count_grant(request)
        run = self.stats_by_route[request.route].estimate_run(request)
        self.shares.tier_by_rank[request.rank].charge(request.customer, run)
        is_over = self.shares.find_over(request.rank, request.customer)
        metric.SHARE_GRANTS.labels('over' if is_over else 'within').inc()

    def count_end(self, request: slot.SlotRequest, seconds: float) -> None:
        """Count the end of a granted request.

        Args:
            request: The slot request.
            seconds: For how long it held its slot.
        """
        self._find_queue(request).demand.running -= 1
        run = self.stats_by_route[request.route].estimate_run(request)
        tier = self.shares.tier_by_rank[request.rank]
        tier.charge(request.customer, seconds - run)

    def update_shares(self, weights: shares.Weights) -> None:
        """Find which customers are over their shares.

        Args:
            weights: The weights of the customers.
        """
        changes_by_rank = self.shares.update(weights)
        for (_, rank), queue in self._queue_by_tier.items():
            changes = changes_by_rank.get(rank, shares.NO_CHANGES)
            for over in changes.over:
                queue.set_over(over, is_over=True)
            for within in changes.within:
                queue.set_over(within, is_over=False)

    def set_running(
        self, count_by_tier: collections.Counter[tuple[str, int]]
    ) -> None:
        """Replace the counts of running requests.

        Args:
            count_by_tier: The counts, by route and tier.
        """
        for key, queue in self._queue_by_tier.items():
            queue.demand.running = count_by_tier[key]

    def add(self, queued: routequeue.QueuedRequest) -> None:
        """Add a request.

        Args:
            queued: The request.
        """
        self.waiting_by_key[queued.key] = queued
        request = queued.request
        queue = self._find_queue(request)
        queue.add(queued)
        tier = self.shares.tier_by_rank[request.rank]
        tier.note_waiting(request.customer, 1, queued.run_seconds)
        if self.shares.find_over(request.rank, request.customer):
            queue.set_over(request.customer, is_over=True)

    def remove(
        self, key: enginestate.RunKey
    ) -> routequeue.QueuedRequest | None:
        """Remove a request.

        Args:
            key: The node and the number of the slot request.

        Returns:
            The request; None if it was not waiting.
        """
        queued = self.waiting_by_key.pop(key, None)
        if queued:
            request = queued.request
            self._queue_by_tier[request.route_tier].remove(queued)
            tier = self.shares.tier_by_rank[request.rank]
            tier.note_waiting(request.customer, -1, -queued.run_seconds)
        return queued

    def decay(self) -> None:
        """Decay the request counts and forget routes without requests.

        Reservations whose requests did not return are forgotten, too.
        """
        self.returns.expire()
        now = clock.read_monotonic()
        factor = routestats.DECAY_PER_SECOND ** (now - self._decayed_at)
        self._decayed_at = now
        for key, queue in list(self._queue_by_tier.items()):
            queue.decay(factor)
            demand = queue.demand
            if demand.recent_requests < MIN_DECAYED_COUNT and not (
                demand.running or queue.count
            ):
                self._queue_by_tier.pop(key)
        served = {route for route, _ in self._queue_by_tier}
        for route in set(self.stats_by_route).difference(served):
            self.stats_by_route.pop(route)

    def find_next(
        self, slots: int, free: int
    ) -> routequeue.QueuedRequest | None:
        """Find the request that should get the next slot.

        Args:
            slots: The slots of the service.
            free: The free ones among them.

        Returns:
            The request; None if none waits, or if the free slots are reserved
            for more urgent requests.
        """
        candidates = [
            candidate
            for queue in self._queue_by_tier.values()
            if queue.count
            for candidate in self._list_candidates(queue, slots, free)
        ]
        if not candidates:
            return None
        first = min(candidates, key=_Candidate.read_order)
        if first.used is not None:
            first = _find_fairest(first, candidates)
        return first.queued

    def list_unservable(
        self, slots: int
    ) -> list[tuple[routequeue.QueuedRequest, float]]:
        """List the waiting requests that can't get an answer before expiry.

        Args:
            slots: The slots of the service.

        Returns:
            The requests, each with its estimated wait in seconds.
        """
        self._slots = slots
        unservable = []
        work: float = 0
        taken = _TakenSlots(self._queue_by_tier.values())
        for demand, slot_value, band in self._list_bands(slots):
            serving = _find_serving_slots(
                demand, taken.measure(slot_value), slots
            )
            first_event = clock.read_monotonic() + demand.stats.first_seconds
            for queued in band.list_ordered():
                if first_event + work / serving > queued.expiry:
                    unservable.append((queued, work / serving))
                else:
                    work += queued.run_seconds
        return unservable

    def estimate_wait(self, request: slot.SlotRequest, slots: int) -> float:
        """Estimate how long a new request would wait for a slot.

        Args:
            request: The slot request, not yet queued.
            slots: The slots of the service.

        Returns:
            The wait in seconds; 0 if no request waits.
        """
        self._slots = slots
        if not self.waiting_by_key:
            return 0
        own = self._find_queue(request)
        slot_value = own.compute_value(request)
        taken = sum(
            demand.estimate_slots()
            for demand in self._list_demands_above(slot_value)
        )
        serving = _find_serving_slots(own.demand, taken, slots)
        if not self.shares.find_over(request.rank, request.customer):
            return self._measure_work_before(request, slot_value) / serving
        work, own_work = self._measure_work_before_over(request, slot_value)
        tier = self.shares.tier_by_rank[request.rank]
        share = serving * tier.measure_fraction(request.customer)
        return max(work / serving, own_work / max(share, MIN_SERVING_SLOTS))

    def reserve_return(self, request: slot.SlotRequest, wait: float) -> float:
        """Reserve a place for a request that is refused for lack of slots.

        Args:
            request: The slot request.
            wait: Its estimated wait, in seconds.

        Returns:
            The seconds after which it should return.
        """
        queue = self._find_queue(request)
        # Returning requests are late, and arriving ones take their slots first.
        before = self._list_demands_above(queue.compute_late_value())
        taken = sum(demand.estimate_slots() for demand in before)
        lasting = sum(demand.estimate_lasting_slots() for demand in before)
        slots = _find_serving_slots(queue.demand, lasting, self._slots)
        # The wait was estimated as if a burst went on.
        lasting_wait = (
            wait * _find_serving_slots(queue.demand, taken, self._slots) / slots
        )
        place = returns.Place(
            lane=(request.rank, ''),
            wait=lasting_wait,
            run_seconds=queue.stats.estimate_run(request),
            slots=max(
                self._slots - lasting,
                RETURNING_FRACTION * queue.demand.running,
                MIN_SERVING_SLOTS,
            ),
        )
        return self.returns.reserve(
            request, self._move_to_customer(request, place)
        )

    def describe_order(self, request: slot.SlotRequest) -> dict[str, object]:
        """Describe what decides the place of a request, for the log.

        Args:
            request: The slot request.

        Returns:
            The fields of a log line, by their names.
        """
        stats = self.stats_by_route[request.route]
        demand = self._find_queue(request).demand
        return {
            'route': request.route,
            'rank': request.rank,
            'tokens': request.output_tokens,
            'run': round(stats.estimate_run(request), 3),
            'typical_run': round(stats.mean_run_seconds, 3),
            'served_run': round(stats.run_seconds, 3),
            'value_ratio': round(stats.compute_value_ratio(request), 3),
            'route_running': demand.running,
            'route_demand': round(demand.estimate_slots(), 2),
            **self.shares.tier_by_rank[request.rank].describe(request.customer),
        }

    def _move_to_customer(
        self, request: slot.SlotRequest, place: returns.Place
    ) -> returns.Place:
        # The customers over their shares have lanes and slots of their own.
        if not self.shares.find_over(request.rank, request.customer):
            return place
        tier = self.shares.tier_by_rank[request.rank]
        slots = place.slots * tier.measure_fraction(request.customer)
        return dataclasses.replace(
            place,
            lane=(request.rank, request.customer),
            slots=max(slots, MIN_SERVING_SLOTS),
        )

    def _measure_work_before(
        self, request: slot.SlotRequest, slot_value: float
    ) -> float:
        # The work that goes before a new request of a customer within its
        # share: that of the same tier which is over its share does not.
        work: float = 0
        for (_, rank), queue in self._queue_by_tier.items():
            work += queue.measure_shared_work(slot_value)
            if rank != request.rank:
                work += queue.measure_over_work(slot_value)
        return work

    def _measure_work_before_over(
        self, request: slot.SlotRequest, slot_value: float
    ) -> tuple[float, float]:
        # The work that goes before a new request of a customer over its share:
        # that of its tier within shares, but late work only if it is late; what
        # it has itself, and as much of each other customer over its share. And
        # what it has itself.
        work: float = 0
        own: float = 0
        for (_, rank), queue in self._queue_by_tier.items():
            if rank == request.rank:
                work += queue.measure_work_within(slot_value)
                own += sum(
                    band.work
                    for other, band in queue.list_over_bands(request.customer)
                    if other >= slot_value
                )
            else:
                work += queue.measure_shared_work(slot_value)
                work += queue.measure_over_work(slot_value)
        tier = self.shares.tier_by_rank[request.rank]
        return work + tier.measure_turns(request.customer, own), own

    def _list_demands_above(
        self, slot_value: float
    ) -> list[tierdemand.TierDemand]:
        return [
            queue.demand
            for queue in self._queue_by_tier.values()
            if queue.demand.compute_typical_value() > slot_value
        ]

    def _list_candidates(
        self, queue: routequeue.RouteQueue, slots: int, free: int
    ) -> list['_Candidate']:
        below_guarantee = _is_below_guarantee(queue.demand, slots)
        if not below_guarantee and not self._has_unreserved_slot(
            queue.demand, slots, free
        ):
            return []
        candidates = []
        if queue.has_others():
            slot_value, queued = queue.find_most_valuable()
            is_late = queue.is_late_value(slot_value)
            candidates.append(
                _Candidate(below_guarantee, slot_value, queued, is_late)
            )
        over = queue.list_over()
        if over:
            measure = self.shares.tier_by_rank[queue.demand.rank].measure
            least = min(over, key=measure)
            slot_value, queued = queue.find_most_valuable(least)
            is_late = queue.is_late_value(slot_value)
            candidates.append(
                _Candidate(
                    below_guarantee, slot_value, queued, is_late, measure(least)
                )
            )
        return candidates

    def _list_bands(
        self, slots: int
    ) -> list[tuple[tierdemand.TierDemand, float, routequeue.ValueBand]]:
        # The bands in the order in which they get slots.
        found = []
        # By tier, and whether the band is of late requests.
        least_by_rank: dict[tuple[int, bool], float] = {}
        for queue in self._queue_by_tier.values():
            demand = queue.demand
            is_below = _is_below_guarantee(demand, slots)
            for slot_value, band in queue.list_shared_bands():
                found.append((is_below, demand, slot_value, band))
                side = demand.rank, queue.is_late_value(slot_value)
                known = least_by_rank.get(side, slot_value)
                least_by_rank[side] = min(known, slot_value)
        found.extend(self._list_over_bands(slots, least_by_rank))
        found.sort(key=lambda ranked: (not ranked[0], -ranked[2]))
        return [ranked[1:] for ranked in found]

    def _list_over_bands(
        self, slots: int, least_by_rank: dict[tuple[int, bool], float]
    ) -> collections.abc.Iterator[
        tuple[bool, tierdemand.TierDemand, float, routequeue.ValueBand]
    ]:
        # Customers over their shares follow the others of their tier: their
        # timely requests the timely ones, their late ones the late ones.
        for queue in self._queue_by_tier.values():
            demand = queue.demand
            is_below = _is_below_guarantee(demand, slots)
            for over in queue.list_over():
                for slot_value, band in queue.list_over_bands(over):
                    side = demand.rank, queue.is_late_value(slot_value)
                    most = least_by_rank.get(side, math.inf)
                    yield is_below, demand, min(slot_value, most), band

    def _has_unreserved_slot(
        self, demand: tierdemand.TierDemand, slots: int, free: int
    ) -> bool:
        highest = min(rank for _, rank in self._queue_by_tier)
        tiers = min(demand.rank - highest, MAX_RESERVING_TIERS)
        reserved = min(RESERVED_FRACTION * slots, MAX_RESERVED_SLOTS)
        return free > round(tiers * reserved)

    def _find_queue(self, request: slot.SlotRequest) -> routequeue.RouteQueue:
        found = self._queue_by_tier.get(request.route_tier)
        if found is None:
            stats = self.stats_by_route[request.route]
            found = routequeue.RouteQueue(stats, request.rank)
            self._queue_by_tier[request.route_tier] = found
        return found


class _TakenSlots:
    """The slots that arriving requests of more than a given value need."""

    def __init__(
        self, queues: collections.abc.Iterable[routequeue.RouteQueue]
    ) -> None:
        """Add up the demands of all routes and tiers, by their typical value.

        Args:
            queues: The queues of the service.
        """
        by_value = [
            (-queue.demand.compute_typical_value(), queue.demand)
            for queue in queues
        ]
        by_value.sort(key=operator.itemgetter(0))
        self._keys = [key for key, _ in by_value]
        slots = (demand.estimate_slots() for _, demand in by_value)
        self._sums = list(itertools.accumulate(slots, initial=0))

    def measure(self, slot_value: float) -> float:
        """Measure the slots that requests of more than a value need.

        Args:
            slot_value: The value of a second of a slot.

        Returns:
            The slots.
        """
        return self._sums[bisect.bisect_left(self._keys, -slot_value)]


@dataclasses.dataclass(frozen=True)
class _Candidate:
    """The first request of a route and tier, of customers on one side.

    Attributes:
        is_guaranteed: Whether the route gets fewer slots than it is guaranteed.
        slot_value: The value of a second of a slot.
        queued: The request.
        is_late: Whether it is ordered as one that can't meet its target.
        used: What its customer got for its weight, if it is over its share;
            None if it is within.
    """

    is_guaranteed: bool
    slot_value: float
    queued: routequeue.QueuedRequest
    is_late: bool
    used: float | None = None

    def read_order(self) -> tuple[bool, float, float]:
        """Read the key by which candidates are ordered.

        Returns:
            The key; the least one goes first.
        """
        return not self.is_guaranteed, -self.slot_value, self.queued.target_time


def _find_fairest(
    first: _Candidate, candidates: list[_Candidate]
) -> _Candidate:
    # The first candidate is over its share. The slot goes to its tier, as
    # otherwise a lower one could precede it, and if the slot is guaranteed to
    # its route, to its route. A late request does not precede a timely one: its
    # answer has a third of the value, and the other one would be late, too.
    request = first.queued.request
    peers = [
        candidate
        for candidate in candidates
        if candidate.queued.request.rank == request.rank
        and candidate.is_late <= first.is_late
        and (
            not first.is_guaranteed
            or candidate.queued.request.route == request.route
        )
    ]
    within = [candidate for candidate in peers if candidate.used is None]
    if within:
        return min(within, key=_Candidate.read_order)
    return min(peers, key=lambda candidate: candidate.used)


def _find_serving_slots(
    demand: tierdemand.TierDemand, taken: float, slots: int
) -> float:
    # The slots left for requests of some value, as more valuable requests keep
    # arriving and take theirs first.
    guaranteed = demand.compute_guaranteed_slots(slots)
    return max(slots - taken, guaranteed, MIN_SERVING_SLOTS)


def _is_below_guarantee(demand: tierdemand.TierDemand, slots: int) -> bool:
    return demand.running < demand.compute_guaranteed_slots(slots)
