"""The requests of a service that wait for a slot, and their order.

Runs can't be preempted, and each holds its slot until it ends. So requests are
ordered by the value of their answer for each second of a slot. Requests of
higher value go first. Requests of lower value get only slots that the others
are unlikely to need, but each route is guaranteed a fraction of the slots that
it asks for, and each size of request a fraction of what its route gets.
"""

import collections

from pimentoway.core import clock
from pimentoway.ops import enginestate, routequeue, routestats, slot

#: The fraction of all slots that a request must leave free for each tier by
#: which it is below the highest one, and the most tiers that count. The
#: fraction is one slot of 24, about what becomes free while an urgent request
#: is on its way.
RESERVED_FRACTION = 0.04
MAX_RESERVING_TIERS = 3

#: The least number of slots by which work is divided when a wait is estimated.
MIN_SERVING_SLOTS = 0.1

#: The decayed request count below which a route is forgotten: one request
#: half a minute ago. Routes come and go with the configuration.
MIN_DECAYED_COUNT = 0.0002


class WaitQueue:
    """The waiting requests of one service.

    Attributes:
        waiting_by_key: The requests, by node and number.
        stats_by_route: The statistics of each route.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting_by_key: dict[
            enginestate.RunKey, routequeue.QueuedRequest
        ] = {}
        self.stats_by_route: dict[str, routestats.RouteStats] = (
            collections.defaultdict(routestats.RouteStats)
        )
        self._queue_by_route: dict[str, routequeue.RouteQueue] = {}
        self._decayed_at = clock.read_monotonic()

    def count_request(self, request: slot.SlotRequest) -> None:
        """Count a request in its route's statistics, even if it is refused.

        Args:
            request: The slot request.
        """
        stats = self.stats_by_route[request.route]
        stats.rank = request.rank
        stats.record_work(request)
        stats.record_length(request)
        # A request that can't meet its target any more, as it returns after a
        # refusal, doesn't count: it would raise the guaranteed slots of its
        # route, and timely requests need these.
        if request.target_left > stats.first_seconds:
            stats.recent_requests += 1
        self._find_queue(request.route).count_arrival(request)

    def count_grant(self, request: slot.SlotRequest) -> None:
        """Count a granted request.

        Args:
            request: The slot request.
        """
        self.stats_by_route[request.route].running += 1
        self._find_queue(request.route).count_grant(request)

    def add(self, queued: routequeue.QueuedRequest) -> None:
        """Add a request.

        Args:
            queued: The request.
        """
        self.waiting_by_key[queued.key] = queued
        self._find_queue(queued.request.route).add(queued)

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
            self._queue_by_route[queued.request.route].remove(queued)
        return queued

    def decay(self) -> None:
        """Decay the request counts and forget routes without requests."""
        now = clock.read_monotonic()
        factor = routestats.DECAY_PER_SECOND ** (now - self._decayed_at)
        self._decayed_at = now
        for route, stats in list(self.stats_by_route.items()):
            stats.recent_requests *= factor
            self._find_queue(route).decay(factor)
            if stats.recent_requests < MIN_DECAYED_COUNT and not stats.running:
                self._forget(route)

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
            for queue in self._queue_by_route.values()
            if queue.count
            for candidate in self._list_candidates(queue, slots, free)
        ]
        if not candidates:
            return None
        return min(candidates, key=lambda candidate: candidate[:3])[3]

    def list_unservable(
        self, slots: int
    ) -> list[tuple[routequeue.QueuedRequest, float]]:
        """List the waiting requests that can't get an answer before expiry.

        Args:
            slots: The slots of the service.

        Returns:
            The requests, each with its estimated wait in seconds.
        """
        unservable = []
        work: float = 0
        for stats, slot_value, band in self._list_bands(slots):
            serving = self._estimate_serving_slots(stats, slot_value, slots)
            first_event = clock.read_monotonic() + stats.first_seconds
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
        if not self.waiting_by_key:
            return 0
        own = self._find_queue(request.route)
        slot_value = own.compute_value(request)
        work = sum(
            band.work
            for queue in self._queue_by_route.values()
            for other, band in queue.list_bands()
            if other >= slot_value
        )
        return work / self._estimate_serving_slots(own.stats, slot_value, slots)

    def describe_order(self, request: slot.SlotRequest) -> dict[str, object]:
        """Describe what decides the place of a request, for the log.

        Args:
            request: The slot request.

        Returns:
            The fields of a log line, by their names.
        """
        stats = self.stats_by_route[request.route]
        return {
            'route': request.route,
            'rank': request.rank,
            'tokens': request.output_tokens,
            'run': round(stats.estimate_run(request), 3),
            'typical_run': round(stats.mean_run_seconds, 3),
            'served_run': round(stats.run_seconds, 3),
            'value_ratio': round(stats.compute_value_ratio(request), 3),
            'route_running': stats.running,
            'route_demand': round(stats.estimate_slot_demand(), 2),
        }

    def _list_candidates(
        self, queue: routequeue.RouteQueue, slots: int, free: int
    ) -> list[tuple[bool, float, float, routequeue.QueuedRequest]]:
        below_guarantee = self._is_below_guarantee(queue.stats, slots)
        if not below_guarantee and not self._has_unreserved_slot(
            queue.stats, slots, free
        ):
            return []
        slot_value, queued = queue.find_most_valuable()
        return [(not below_guarantee, -slot_value, queued.target_time, queued)]

    def _list_bands(
        self, slots: int
    ) -> list[tuple[routestats.RouteStats, float, routequeue.ValueBand]]:
        # The bands in the order in which they get slots.
        found = [
            (
                self._is_below_guarantee(queue.stats, slots),
                queue.stats,
                slot_value,
                band,
            )
            for queue in self._queue_by_route.values()
            for slot_value, band in queue.list_bands()
        ]
        found.sort(key=lambda ranked: (not ranked[0], -ranked[2]))
        return [ranked[1:] for ranked in found]

    def _estimate_serving_slots(
        self, stats: routestats.RouteStats, slot_value: float, slots: int
    ) -> float:
        # The slots left for requests of this value, as more valuable requests
        # keep arriving and go first.
        taken = sum(
            other.estimate_slot_demand()
            for other in self.stats_by_route.values()
            if other.compute_typical_value() > slot_value
        )
        guaranteed = stats.compute_guaranteed_slots(slots)
        return max(slots - taken, guaranteed, MIN_SERVING_SLOTS)

    def _is_below_guarantee(
        self, stats: routestats.RouteStats, slots: int
    ) -> bool:
        return stats.running < stats.compute_guaranteed_slots(slots)

    def _has_unreserved_slot(
        self, stats: routestats.RouteStats, slots: int, free: int
    ) -> bool:
        highest = min(other.rank for other in self.stats_by_route.values())
        tiers = min(stats.rank - highest, MAX_RESERVING_TIERS)
        return free > round(tiers * RESERVED_FRACTION * slots)

    def _find_queue(self, route: str) -> routequeue.RouteQueue:
        found = self._queue_by_route.get(route)
        if found is None:
            found = routequeue.RouteQueue(self.stats_by_route[route])
            self._queue_by_route[route] = found
        return found

    def _forget(self, route: str) -> None:
        queue = self._queue_by_route.get(route)
        if queue is None or not queue.count:
            self._queue_by_route.pop(route, None)
            self.stats_by_route.pop(route)
