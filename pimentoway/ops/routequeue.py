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

#: The same of late requests, relative to a timely one.
LATE_RATIOS = tuple(ratio * LATE_ORDER_RATIO for ratio in VALUE_RATIOS)

#: The value of requests that return after a refusal when they were told,
#: relative to a typical one: the next band above those of new requests.
RETURNED_RATIO = VALUE_RATIOS[-1] ** 2 / VALUE_RATIOS[-2]

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
        is_returned: Whether it returned after a refusal, at its time.
        predicted_wait: The seconds that it was expected to wait on arrival.
    """

    key: enginestate.RunKey
    request: slot.SlotRequest
    arrived: float
    target_time: float
    expiry: float
    run_seconds: float = 0
    sequence: int = 0
    is_returned: bool = False
    predicted_wait: float = 0


class ValueBand:
    """Waiting requests of similar value, ordered by latency target.

    Attributes:
        work: The sum of their estimated run times, in seconds.
        count: The number of requests.
    """

    def __init__(self) -> None:
        """Start empty."""
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


class BandSet:
    """The bands of a route's requests, or of one customer's among them.

    Attributes:
        timely: The requests that can meet their target, by the index of their
            band. A band is there once it had a request.
        late: The others, likewise.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.timely: dict[int, ValueBand] = {}
        self.late: dict[int, ValueBand] = {}

    def find(self, index: int, is_late: bool) -> ValueBand:
        """Find or add a band.

        Args:
            index: Its index among those of the same requests.
            is_late: Whether its requests can't meet their target.

        Returns:
            The band.
        """
        bands = self.late if is_late else self.timely
        band = bands.get(index)
        if band is None:
            band = ValueBand()
            bands[index] = band
        return band


class RouteQueue:
    """The waiting requests of one route and tier.

    Those of customers over their shares have bands of their own for each
    customer (see ``pimentoway.admission.shares``).

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
        self._shared = BandSet()
        # Requests that returned at their time are in no other band: the time
        # was promised, whatever their customers got since.
        self._returned = ValueBand()
        self._set_by_over: dict[str, BandSet] = {}
        self._work: float = 0
        self._over_work: float = 0
        self._queued_by_customer: dict[
            str, dict[enginestate.RunKey, QueuedRequest]
        ] = {}
        for index in range(BANDS):
            self._shared.find(index, is_late=False)
            self._shared.find(index, is_late=True)
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
        self.count += 1
        self._work += queued.run_seconds
        if queued.is_returned:
            self._returned.add(queued)
            self._band_by_key[queued.key] = self._returned
            return
        self._add_to_band(queued)
        if queued.request.customer in self._set_by_over:
            self._over_work += queued.run_seconds
        of_customer = self._queued_by_customer.setdefault(
            queued.request.customer, {}
        )
        of_customer[queued.key] = queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request of this queue.

        Args:
            queued: The request.
        """
        self._band_by_key.pop(queued.key).remove(queued)
        self._work -= queued.run_seconds
        if not queued.is_returned:
            self._remove_from_customer(queued)
        self.count -= 1
        if not self.count:
            # Rounding leaves a rest in the sums.
            self._work = 0
            self._over_work = 0

    def set_over(self, customer: str, is_over: bool) -> None:
        """Order the requests of a customer by themselves, or with the others.

        Args:
            customer: The name of the customer.
            is_over: Whether it is over its share.
        """
        of_customer = self._queued_by_customer.get(customer)
        if not of_customer or is_over == (customer in self._set_by_over):
            return
        work = sum(queued.run_seconds for queued in of_customer.values())
        if is_over:
            self._set_by_over[customer] = BandSet()
            self._over_work += work
        else:
            self._set_by_over.pop(customer)
            self._over_work -= work
        for queued in of_customer.values():
            self._band_by_key[queued.key].remove(queued)
            self._add_to_band(queued)

    def measure_work(self) -> float:
        """Measure the work that waits.

        Returns:
            The sum of the estimated run times, in seconds.
        """
        return self._work

    def measure_shared_work(self, slot_value: float) -> float:
        """Measure the work that waits of customers within their shares.

        Args:
            slot_value: The least value of a second of a slot that counts.

        Returns:
            The sum of the estimated run times, in seconds.
        """
        return sum(
            band.work
            for other, band in self.list_shared_bands()
            if other >= slot_value
        )

    def measure_work_within(self, slot_value: float) -> float:
        """Measure the work within shares before a request over its share.

        Args:
            slot_value: The value by which that request is ordered.

        Returns:
            The sum of the estimated run times, in seconds; late requests only
            go before it if it is late.
        """
        is_late = self.is_late_value(slot_value)
        return sum(
            band.work
            for other, band in self.list_shared_bands()
            if is_late or not self.is_late_value(other)
        )

    def measure_over_work(self, slot_value: float) -> float:
        """Measure the work that waits of customers over their shares.

        All of it counts as of typical value: there may be many such customers.

        Args:
            slot_value: The least value of a second of a slot that counts.

        Returns:
            The sum of the estimated run times, in seconds.
        """
        typical = self.demand.compute_typical_value()
        return self._over_work if typical >= slot_value else 0

    def list_over(self) -> collections.abc.KeysView[str]:
        """List the customers over their shares whose requests wait.

        Returns:
            Their names.
        """
        return self._set_by_over.keys()

    def has_others(self) -> bool:
        """Tell whether requests wait that have no bands of their customers.

        Returns:
            Whether any do of customers within their shares, or any that
            returned at their time.
        """
        others = len(self._queued_by_customer) - len(self._set_by_over)
        return self._returned.count > 0 or others > 0

    def list_shared_bands(
        self,
    ) -> collections.abc.Iterator[tuple[float, ValueBand]]:
        """List the bands of customers within their shares.

        Yields:
            The value of a second of a slot by which the band is ordered, and
            the band; first that of the requests that returned at their time.
        """
        if self._returned.count:
            typical = self.demand.compute_typical_value()
            yield typical * RETURNED_RATIO, self._returned
        if self.has_others():
            yield from self._list_set(self._shared)

    def list_over_bands(
        self, customer: str
    ) -> collections.abc.Iterator[tuple[float, ValueBand]]:
        """List the bands of a customer over its share.

        Args:
            customer: The name of the customer.

        Yields:
            The value of a second of a slot by which the band is ordered, and
            the band; nothing if the customer is within its share.
        """
        band_set = self._set_by_over.get(customer)
        if band_set:
            yield from self._list_set(band_set)

    def compute_value(self, request: slot.SlotRequest) -> float:
        """Compute the value by which one more request would be ordered.

        Args:
            request: The slot request, not yet queued.

        Returns:
            The value of a second of a slot, comparable between routes.
        """
        late = self.stats.first_seconds > request.target_left
        ratio = self._find_ratio(late, self._find_index(request))
        return self.demand.compute_typical_value() * ratio

    def compute_late_value(self) -> float:
        """Compute the value by which typical late requests are ordered.

        Returns:
            The value of a second of a slot, comparable between routes.
        """
        return self.demand.compute_typical_value() * LATE_ORDER_RATIO

    def is_late_value(self, slot_value: float) -> bool:
        """Tell whether requests of some value can't meet their target.

        Args:
            slot_value: The value by which they are ordered here.

        Returns:
            Whether it is less than that of any timely request.
        """
        least = min(VALUE_RATIOS) * self.demand.compute_typical_value()
        # Half of it leaves room for rounding; late ones have a fortieth.
        return slot_value < least / 2

    def find_most_valuable(
        self, over: str | None = None
    ) -> tuple[float, QueuedRequest]:
        """Find the request that gets the next slot of the route.

        Some request must wait.

        Args:
            over: A customer over its share; None for all customers within
                theirs.

        Returns:
            The value of a second of a slot by which it is ordered, and the
            request.
        """
        bands = (
            self.list_shared_bands()
            if over is None
            else self.list_over_bands(over)
        )
        heads = [(slot_value, band.find_head()) for slot_value, band in bands]
        return max(heads, key=lambda head: (head[0], -head[1].target_time))

    def _list_set(
        self, band_set: BandSet
    ) -> collections.abc.Iterator[tuple[float, ValueBand]]:
        self._move_late(band_set)
        typical = self.demand.compute_typical_value()
        for is_late in (False, True):
            bands = band_set.late if is_late else band_set.timely
            for index, band in bands.items():
                if band.count:
                    yield typical * self._find_ratio(is_late, index), band

    def _find_ratio(self, is_late: bool, index: int) -> float:
        # A band below its guarantee is ordered like the one of highest value.
        bands = LATE_RATIOS if is_late else VALUE_RATIOS
        served = self._served_by_band[index]
        guaranteed = (
            GUARANTEED_BAND_FRACTION * self._served.granted * served.arrived
        )
        if served.granted * self._served.arrived < guaranteed:
            return bands[-1]
        return bands[index]

    def _add_to_band(self, queued: QueuedRequest) -> None:
        band_set = self._set_by_over.get(queued.request.customer, self._shared)
        index = self._find_index(queued.request)
        band = band_set.find(index, self._is_late(queued))
        band.add(queued)
        self._band_by_key[queued.key] = band

    def _remove_from_customer(self, queued: QueuedRequest) -> None:
        customer = queued.request.customer
        if customer in self._set_by_over:
            self._over_work -= queued.run_seconds
        of_customer = self._queued_by_customer[customer]
        of_customer.pop(queued.key)
        if not of_customer:
            self._queued_by_customer.pop(customer)
            self._set_by_over.pop(customer, None)

    def _move_late(self, band_set: BandSet) -> None:
        # Moves requests that can't meet their target any more.
        first_event = clock.read_monotonic() + self.stats.first_seconds
        for index, timely in band_set.timely.items():
            while timely.count:
                queued = timely.find_head()
                if queued.target_time >= first_event:
                    break
                timely.remove(queued)
                late = band_set.find(index, is_late=True)
                late.add(queued)
                self._band_by_key[queued.key] = late

    def _find_index(self, request: slot.SlotRequest) -> int:
        ratio = self.stats.compute_value_ratio(request)
        exponent = math.log(ratio, routestats.MAX_VALUE_RATIO)
        return round((exponent + 1) / 2 * (BANDS - 1))

    def _is_late(self, queued: QueuedRequest) -> bool:
        first_event = clock.read_monotonic() + self.stats.first_seconds
        return first_event > queued.target_time
