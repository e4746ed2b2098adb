"""The demand for slots by the requests of one route and one tier.

Requests of one route may belong to customers of different tiers. How long a
request runs depends on its route alone, but its value depends on its tier.
"""

import dataclasses
import math

from pimentoway.core import clock
from pimentoway.ops import routestats

#: The time in which the long-term count of requests decays to 1/e, in seconds:
#: several times as long as a burst.
LONG_SECONDS = 30.0


@dataclasses.dataclass
class TierDemand:
    """The requests of one route and one tier, by count.

    Attributes:
        stats: The statistics of the route, over all its tiers.
        rank: The tier; 0 is the highest.
        recent_requests: The decayed count of requests that could meet their
            latency target on arrival.
        running: The number of requests that run.
    """

    stats: routestats.RouteStats
    rank: int
    recent_requests: float = 0
    running: int = 0
    _long_requests: float = 0
    _began: float = dataclasses.field(default_factory=clock.read_monotonic)

    def count_request(self) -> None:
        """Count a request that can meet its latency target."""
        self.recent_requests += 1
        self._long_requests += 1
        self.stats.recent_requests += 1

    def decay(self, factor: float) -> None:
        """Decay the count of requests, here and in the route's statistics.

        Args:
            factor: What remains of the count.
        """
        self._long_requests *= factor ** (
            1 / (LONG_SECONDS * routestats.DECAY_RATE)
        )
        decayed = self.recent_requests * (1 - factor)
        self.recent_requests -= decayed
        self.stats.recent_requests -= decayed

    def estimate_slots(self) -> float:
        """Estimate how many slots the requests keep busy.

        Returns:
            The slots: arrival rate times run time (Little's law).
        """
        return self.stats.estimate_slot_demand() * self._measure_fraction()

    def estimate_lasting_slots(self) -> float:
        """Estimate how many slots the requests keep busy when no burst lasts.

        Returns:
            The slots, by the arrivals of the last ``LONG_SECONDS`` or since the
            first request, and at most by those of the last seconds.
        """
        age = clock.read_monotonic() - self._began
        seen = 1 - math.exp(-age / LONG_SECONDS)
        if not seen:
            return self.estimate_slots()
        rate = self._long_requests / LONG_SECONDS / seen
        return min(rate * self.stats.find_mean_run(), self.estimate_slots())

    def compute_guaranteed_slots(self, slots: int) -> float:
        """Compute the slots that the requests get regardless of other ones.

        The tiers of a route share its guarantee by their demand.

        Args:
            slots: The slots of the service.

        Returns:
            The slots, which may be a fraction.
        """
        guaranteed = self.stats.compute_guaranteed_slots(slots)
        return guaranteed * self._measure_fraction()

    def compute_typical_value(self) -> float:
        """Compute the value of a second of a slot for a typical request.

        Returns:
            The value, comparable between routes and tiers.
        """
        return self.stats.compute_typical_value(self.rank)

    def _measure_fraction(self) -> float:
        # The fraction of the route's demand; 0 without any demand.
        if not self.stats.recent_requests:
            return 0
        return self.recent_requests / self.stats.recent_requests
