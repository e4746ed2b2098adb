"""The waiting requests of one route, kept in order as they arrive and leave.

Requests of similar value form a band, ordered by latency target. Finding the
head of the queue, or the work ahead of a request, thus takes the same time
however many requests wait.
"""

import collections
import dataclasses
import heapq
import itertools
import math

from pimentoway.core import clock
from pimentoway.ops import enginestate, routestats, slot

#: The value of an answer after its latency target, relative to one within it;
#: known deployments have 0.1 and 0.5.
LATE_VALUE_RATIO = 0.3

#: The bands of a queue; the values of neighbours differ by a seventh.
BANDS = 7

#: The value of a request of each band, relative to a typical one of its route.
VALUE_RATIOS = tuple(
    routestats.MAX_VALUE_RATIO ** (2 * index / (BANDS - 1) - 1)
    for index in range(BANDS)
)

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


class RouteQueue:
    """The waiting requests of one route.

    Attributes:
        stats: The statistics of the route.
        count: The number of waiting requests.
    """

    def __init__(self, stats: routestats.RouteStats) -> None:
        """Start empty.

        Args:
            stats: The statistics of the route, which others keep up to date.
        """
        self.stats = stats
        self.count = 0
        self._timely = tuple(ValueBand(ratio) for ratio in VALUE_RATIOS)
        self._late = tuple(
            ValueBand(ratio * LATE_VALUE_RATIO) for ratio in VALUE_RATIOS
        )
        self._band_by_key: dict[enginestate.RunKey, ValueBand] = {}

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
            The value of a second of a slot for its requests, and the band.
        """
        if not self.count:
            return
        self._move_late()
        typical = self.stats.compute_typical_value()
        for band in itertools.chain(self._timely, self._late):
            if band.count:
                yield typical * band.value_ratio, band

    def compute_value(self, request: slot.SlotRequest) -> float:
        """Compute the value of a second of a slot for one more request.

        Args:
            request: The slot request, not yet queued.

        Returns:
            The value, comparable between routes.
        """
        late = self.stats.first_seconds > request.target_left
        band = self._find_band(request, late)
        return self.stats.compute_typical_value() * band.value_ratio

    def find_most_valuable(self) -> tuple[float, QueuedRequest]:
        """Find the request for which a second of a slot has most value.

        Some request must wait.

        Returns:
            The value and the request.
        """
        slot_value, band = max(self.list_bands(), key=lambda pair: pair[0])
        return slot_value, band.find_head()

    def find_earliest(self) -> tuple[float, QueuedRequest]:
        """Find the request with the earliest latency target still reachable.

        If all targets are out of reach, the earliest of those counts. Some
        request must wait.

        Returns:
            The value of a second of a slot for a typical request that is as
            timely or late, and the request.
        """
        self._move_late()
        typical = self.stats.compute_typical_value()
        heads = [band.find_head() for band in self._timely if band.count]
        if not heads:
            typical *= LATE_VALUE_RATIO
            heads = [band.find_head() for band in self._late if band.count]
        return typical, min(heads, key=lambda queued: queued.target_time)

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
        ratio = self.stats.compute_value_ratio(request)
        exponent = math.log(ratio, routestats.MAX_VALUE_RATIO)
        index = round((exponent + 1) / 2 * (BANDS - 1))
        return self._late[index] if late else self._timely[index]

    def _is_late(self, queued: QueuedRequest) -> bool:
        first_event = clock.read_monotonic() + self.stats.first_seconds
        return first_event > queued.target_time
