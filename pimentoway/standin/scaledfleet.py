"""A fleet whose engines are ordered, on the paused clock without a network.

Each second, the fleet's demand is sampled, the planner decides, and its orders
are executed at once. An oracle that knows the demand, and whose engines start
without delay, tells how much was ordered in excess and how much was not met.
"""

import collections
import dataclasses
import math
import random

from pimentoway.core import clock, deployment, duty
from pimentoway.duties import scaling
from pimentoway.standin import paused_loop

#: The service and its failure domains.
SERVICE = 'pool'
ZONES = ('a', 'b', 'c')

#: The slots of an engine, and the part of them that it serves while cold.
ENGINE_SLOTS = 4
COLD_FRACTION = 0.25

#: The most engines in each failure domain.
MAX_ENGINES = 23

#: The limits for the engines in each failure domain.
LIMITS = deployment.Scaling(10, MAX_ENGINES, boot_seconds=8)

#: The mean run time of a request, in seconds.
RUN_SECONDS = 0.5

SETTINGS = duty.DutySettings('', frozenset((duty.Duty.scaling,)))


@dataclasses.dataclass
class Outcome:
    """How a fleet compares with the oracle's.

    Attributes:
        needed: The engine-seconds of the oracle.
        excess: The engine-seconds beyond the oracle's.
        demand: The slot-seconds that were asked for.
        unmet: The slot-seconds that the engines could not serve, but the
            oracle's engines could.
        orders: The number of orders.
        reversals: How often a failure domain's number was raised within ten
            seconds after it was lowered.
    """

    needed: float = 0
    excess: float = 0
    demand: float = 0
    unmet: float = 0
    orders: int = 0
    reversals: int = 0

    @property
    def unmet_ratio(self) -> float:
        """The part of the demand that was not met.

        Returns:
            The ratio.
        """
        return self.unmet / self.demand

    @property
    def excess_ratio(self) -> float:
        """The engine-seconds beyond the oracle's, relative to its own.

        Returns:
            The ratio.
        """
        return self.excess / self.needed


class ScaledFleet:
    """Engines in three failure domains, and a planner.

    Attributes:
        planner: The planner.
        outcome: The sums since the start, or since a test replaced them.
        evacuated: The failure domains that are evacuated.
        is_refusing: Whether the platform refuses all orders.
        orders: The orders that were sent, with their times.
    """

    def __init__(
        self,
        demand: collections.abc.Callable[[float], float],
        engines: int = 10,
        limits: deployment.Scaling | None = None,
        seed: int = 1,
    ) -> None:
        """Start with warm engines.

        Args:
            demand: The slots that are needed at a number of seconds since the
                start.
            engines: The engines in each failure domain.
            limits: The limits for the engines.
            seed: The seed of the arrivals.
        """
        self.planner = scaling.ScalingPlanner(SETTINGS)
        self.outcome = Outcome()
        self.evacuated: set[str] = set()
        self.is_refusing = False
        self.orders: list[tuple[float, duty.EngineOrder]] = []
        self._limits = limits or LIMITS
        self._demand = demand
        self._random = random.Random(seed)
        self._started = clock.read_monotonic()
        # The times at which the engines serve.
        self._births_by_zone = {
            zone: [-math.inf for _ in range(engines)] for zone in ZONES
        }
        self._lowered_at: dict[str, float] = {}

    def run(self, seconds: int) -> None:
        """Let time pass.

        Args:
            seconds: For how long.
        """
        for _ in range(seconds):
            paused_loop.advance(1)
            self._step()

    def lose(self, fraction: float) -> None:
        """End some engines of each failure domain, which are replaced.

        Args:
            fraction: Which part of them.
        """
        born = clock.read_monotonic() + self._limits.boot_seconds
        for births in self._births_by_zone.values():
            lost = round(fraction * len(births))
            births.sort()
            for index in range(lost):
                births[index] = born

    def count_engines(self) -> dict[str, int]:
        """Count the engines, also those that boot.

        Returns:
            The number by failure domain.
        """
        return {zone: len(born) for zone, born in self._births_by_zone.items()}

    def _step(self) -> None:
        now = clock.read_monotonic()
        demand = self._demand(now - self._started)
        capacity = self._measure_capacity(now)
        most = self._limits.maximum * len(ZONES) * ENGINE_SLOTS
        unmet = max(0, min(demand, most) - capacity)
        engines = sum(self.count_engines().values())
        oracle = max(
            math.ceil(demand / ENGINE_SLOTS), self._limits.minimum * len(ZONES)
        )
        oracle = min(oracle, self._limits.maximum * len(ZONES))
        self.outcome.needed += oracle
        self.outcome.excess += max(0, engines - oracle)
        self.outcome.demand += demand
        self.outcome.unmet += unmet
        self.planner.sample((self._sample(now, demand, capacity),))
        for order in self.planner.plan():
            self._execute(order, now)

    def _sample(
        self, now: float, demand: float, capacity: float
    ) -> scaling.ServiceSample:
        deviation = math.sqrt(demand * RUN_SECONDS)
        seen = max(0, self._random.gauss(demand, deviation))
        zones = []
        for zone, births in self._births_by_zone.items():
            present = sum(born <= now for born in births)
            ready = sum(born + scaling.COLD_SECONDS <= now for born in births)
            zones.append(
                scaling.ZoneSample(zone, ready, present, zone in self.evacuated)
            )
        unmet = max(0, seen - capacity)
        return scaling.ServiceSample(
            SERVICE,
            self._limits,
            tuple(zones),
            ENGINE_SLOTS,
            ((0, seen / 5), (1, seen / 5), (2, 3 * seen / 5)),
            round(min(seen, capacity)),
            unmet,
            round(unmet / RUN_SECONDS),
        )

    def _measure_capacity(self, now: float) -> float:
        serving = [
            now - born
            for zone, births in self._births_by_zone.items()
            if zone not in self.evacuated
            for born in births
            if born <= now
        ]
        warm = sum(age >= scaling.COLD_SECONDS for age in serving)
        cold = len(serving) - warm
        return ENGINE_SLOTS * (warm + COLD_FRACTION * cold)

    def _execute(self, order: duty.EngineOrder, now: float) -> None:
        self.orders.append((now, order))
        self.outcome.orders += 1
        if self.is_refusing:
            self.planner.note_limited(order)
            return
        births = self._births_by_zone[order.zone]
        if order.count > len(births):
            lowered = self._lowered_at.get(order.zone, -math.inf)
            self.outcome.reversals += now - lowered < 10
            born = now + self._limits.boot_seconds
            births.extend(born for _ in range(order.count - len(births)))
        elif order.count < len(births):
            self._lowered_at[order.zone] = now
            births.sort()
            while len(births) > order.count:
                births.pop()
        self.planner.note_answered(order)
