"""The waiting requests of one route and tier, in order as they come and go.

Requests of similar value form a band, ordered by latency target. Finding the
head of the queue, or the work ahead of a request, thus takes the same time
however many requests wait.

Bands of higher value go first, but each band is guaranteed a fraction of the
service that its queue gets. Without that, only the highest bands would be
served whenever a queue can't be served in full, and long answers never.
"""

import collections
import dataclasses
import heapq
import itertools
import math

from pimentoway.core import clock
from pimentoway.ops import enginestate, routestats, slot, tierdemand

#: The value of an answer after its latency target, relative to one within it;
#: known deployments have 0.1 and 0.5.
LATE_VALUE_RATIO = 0.3

#: The factor by which the order of late requests differs from that of timely
#: ones of the same route and tier. They yield to timely requests of the next
#: lower tier of customers, too, or one burst of a higher tier would make all
#: requests of the lower ones late.
LATE_ORDER_RATIO = LATE_VALUE_RATIO * routestats.TIER_VALUE_RATIO ** (
    1 - slot.ROUTE_RANKS
)

#: The bands of a queue; the values of neighbours differ by a seventh.
BANDS = 7

#: The value of a request of each band, relative to a typical one of its route.
VALUE_RATIOS = tuple(
    routestats.MAX_VALUE_RATIO ** (2 * index / (BANDS - 1) - 1)
    for index in range(BANDS)
)

#: The fraction of a route's requests that are served which each of its bands is
#: guaranteed. Requests of one size that are served less than half as often as
#: all of their route count as starved; estimates of lengths are inaccurate, so
#: a band doesn't hold exactly the requests of one size.
GUARANTEED_BAND_FRACTION = 2 / 3

_SEQUENCE = itertools.count(1)


@dataclasses.dataclass(eq=False)
class QueuedRequest:
    """A slot request that waits at the broker.

    Attributes:
        key: The node and the number of the slot request.
        request: The slot request.
        arrived: The time of its arrival, on the monotonic clock as all times.
        target_time: The time by which it should be answered.
        expiry: The time at which its caller leaves if no event has come, or
            at which its deadline passes, whichever is first.
        run_seconds: Its run time, as estimated on arrival.
        sequence: Its number in the heap of its band, which also breaks ties;
            0 once it has left the band.
    """

    key: enginestate.RunKey
    request: slot.SlotRequest
    arrived: float
    target_time: float
    expiry: float
    run_seconds: float = 0
    sequence: int = 0


class ValueBand:
    """Waiting requests of similar value, ordered by latency target.

    Attributes:
        value_ratio: Their value relative to a typical request of the route.
        work: The sum of their estimated run times, in seconds.
        count: The number of requests.
    """

    def __init__(self, value_ratio: float) -> None:
        """Start empty.

        Args:
            value_ratio: The value of its requests relative to a typical one.
        """
        self.value_ratio = value_ratio
        self.work: float = 0
        self.count = 0
        self._heap: list[tuple[float, int, QueuedRequest]] = []

    def add(self, queued: QueuedRequest) -> None:
        """Add a request.

        Args:
            queued: The request.
        """
        queued.sequence = next(_SEQUENCE)
        heapq.heappush(
            self._heap, (queued.target_time, queued.sequence, queued)
        )
        self.work += queued.run_seconds
        self.count += 1

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request of this band in constant time.

        Args:
            queued: The request.
        """
        # Its heap item is discarded when it reaches the head.
        queued.sequence = 0
        self.count -= 1
        self.work = self.work - queued.run_seconds if self.count else 0

    def find_head(self) -> QueuedRequest | None:
        """Find the request with the earliest latency target.

        Returns:
            The request; None if the band is empty.
        """
        heap = self._heap
        while heap and heap[0][1] != heap[0][2].sequence:
            heapq.heappop(heap)
        return heap[0][2] if heap else None

    def list_ordered(self) -> list[QueuedRequest]:
        """List the requests, the earliest latency target first.

        Returns:
            The requests.
        """
        live = [
            heap_item
            for heap_item in self._heap
            if heap_item[1] == heap_item[2].sequence
        ]
        # A sorted list is a valid heap.
        live.sort()
        self._heap = live
        return [heap_item[2] for heap_item in live]


@dataclasses.dataclass
class ServiceCount:
    """How many requests of a route or a band came and were served lately.

    Attributes:
        arrived: The decayed count of requests, including refused ones.
        granted: The decayed count of those that got a slot.
    """

    arrived: float = 0
    granted: float = 0

    def decay(self, factor: float) -> None:
        """Decay the counts.

        Args:
            factor: What remains of each count.
        """
        self.arrived *= factor
        self.granted *= factor


class RouteQueue:
    """The waiting requests of one route and tier.

    Attributes:
        stats: The statistics of the route.
        demand: The requests of the route and tier, by count.
        count: The number of waiting requests.
    """

    def __init__(self, stats: routestats.RouteStats, rank: int) -> None:
        """Start empty.

        Args:
            stats: The statistics of the route, which others keep up to date.
            rank: The tier; 0 is the highest.
        """
        self.stats = stats
        self.demand = tierdemand.TierDemand(stats, rank)
        self.count = 0
        self._timely = tuple(ValueBand(ratio) for ratio in VALUE_RATIOS)
        self._late = tuple(
            ValueBand(ratio * LATE_ORDER_RATIO) for ratio in VALUE_RATIOS
        )
        self._band_by_key: dict[enginestate.RunKey, ValueBand] = {}
        self._served = ServiceCount()
        self._served_by_band = tuple(ServiceCount() for _ in VALUE_RATIOS)

    def count_arrival(self, request: slot.SlotRequest) -> None:
        """Count a request, even if it is refused.

        Args:
            request: The slot request.
        """
        self._served.arrived += 1
        self._served_by_band[self._find_index(request)].arrived += 1

    def count_grant(self, request: slot.SlotRequest) -> None:
        """Count a request that got a slot.

        Args:
            request: The slot request.
        """
        self.demand.running += 1
        self._served.granted += 1
        self._served_by_band[self._find_index(request)].granted += 1

    def decay(self, factor: float) -> None:
        """Decay the counts of requests.

        Args:
            factor: What remains of each count.
        """
        self.demand.decay(factor)
        self._served.decay(factor)
        for served in self._served_by_band:
            served.decay(factor)

    def add(self, queued: QueuedRequest) -> None:
        """Add a request and estimate its run time.

        Args:
            queued: The request.
        """
        queued.run_seconds = self.stats.estimate_run(queued.request)
        band = self._find_band(queued.request, self._is_late(queued))
        band.add(queued)
        self._band_by_key[queued.key] = band
        self.count += 1

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request of this queue.

        Args:
            queued: The request.
        """
        self._band_by_key.pop(queued.key).remove(queued)
        self.count -= 1

    def list_bands(self) -> collections.abc.Iterator[tuple[float, ValueBand]]:
        """List the bands in which requests wait.

        Yields:
            The value of a second of a slot by which the band is ordered, and
            the band.
        """
        if not self.count:
            return
        self._move_late()
        typical = self.demand.compute_typical_value()
        for bands in (self._timely, self._late):
            for index, band in enumerate(bands):
                if band.count:
                    yield typical * self._find_ratio(bands, index), band

    def compute_value(self, request: slot.SlotRequest) -> float:
        """Compute the value by which one more request would be ordered.

        Args:
            request: The slot request, not yet queued.

        Returns:
            The value of a second of a slot, comparable between routes.
        """
        late = self.stats.first_seconds > request.target_left
        bands = self._late if late else self._timely
        ratio = self._find_ratio(bands, self._find_index(request))
        return self.demand.compute_typical_value() * ratio

    def find_most_valuable(self) -> tuple[float, QueuedRequest]:
        """Find the request that gets the next slot of the route.

        Some request must wait.

        Returns:
            The value of a second of a slot by which it is ordered, and the
            request.
        """
        heads = [
            (slot_value, band.find_head())
            for slot_value, band in self.list_bands()
        ]
        return max(heads, key=lambda head: (head[0], -head[1].target_time))

    def _find_ratio(self, bands: tuple[ValueBand, ...], index: int) -> float:
        # A band below its guarantee is ordered like the one of highest value.
        served = self._served_by_band[index]
        guaranteed = (
            GUARANTEED_BAND_FRACTION * self._served.granted * served.arrived
        )
        if served.granted * self._served.arrived < guaranteed:
            return bands[-1].value_ratio
        return bands[index].value_ratio

    def _move_late(self) -> None:
        # Moves requests that can't meet their target any more.
        first_event = clock.read_monotonic() + self.stats.first_seconds
        for timely, late in zip(self._timely, self._late, strict=True):
            while timely.count:
                queued = timely.find_head()
                if queued.target_time >= first_event:
                    break
                timely.remove(queued)
                late.add(queued)
                self._band_by_key[queued.key] = late

    def _find_band(self, request: slot.SlotRequest, late: bool) -> ValueBand:
        index = self._find_index(request)
        return self._late[index] if late else self._timely[index]

    def _find_index(self, request: slot.SlotRequest) -> int:
        ratio = self.stats.compute_value_ratio(request)
        exponent = math.log(ratio, routestats.MAX_VALUE_RATIO)
        return round((exponent + 1) / 2 * (BANDS - 1))

    def _is_late(self, queued: QueuedRequest) -> bool:
        first_event = clock.read_monotonic() + self.stats.first_seconds
        return first_event > queued.target_time
