"""Simulation of failure domains whose demand differs.

As in ``tools.placement``, time is simulated and the seeds are fixed. Engines
are distributed evenly over four failure domains, and the arrivals of one seed
are the same in each load; only the failure domain of a caller differs.
"""

import dataclasses
import math
import random
import statistics
import sys

import gevent
import msgspec

from pimentoway.core import clock
from pimentoway.ops import broker, slot
from pimentoway.standin import load, paused_loop
from pimentoway.tools import placement

SEEDS = (1, 2, 3)

ZONES = ('z0', 'z1', 'z2', 'z3')

#: Three back ends of each speed in each failure domain, and their capacity as
#: a multiple of the rates of the kinds.
SPEEDS = placement.MODEL_SPEEDS[:3] * 3 * len(ZONES)
CAPACITY_FACTOR = (
    placement.CAPACITY_FACTOR * len(SPEEDS) / len(placement.MODEL_SPEEDS)
)

LOAD_RATIOS = (0.6, 0.8, 0.95)

#: The period of the waves, and their height relative to the mean demand.
PERIOD_SECONDS = 11.0
WAVE = 0.5

#: The sine of the wave from which on a failure domain is at its peak: a
#: quarter of the time.
PEAK_SINE = math.sqrt(1 / 2)

#: Ends the key by which requests at a peak are counted.
PEAK = ' peak'

#: Seconds before requests count, and for which they do: two periods.
WARM_SECONDS = 5.0
LOAD_SECONDS = 22.0
DRAIN_SECONDS = 25.0

#: The correlation time of the pace of the machines.
CORRELATION_SECONDS = 0.6

#: How much later the first event of a crossing comes. The broker's whole cost
#: of a crossing is taken as delay, so crossings are not cheaper than it takes
#: them to be.
CROSSING_SECONDS = broker.REMOTE_ZONE_COST_SECONDS


class ZoneSimulation(placement.UnevenSimulation):
    """Callers and back ends in four failure domains.

    Attributes:
        waits: Seconds from each counted slot request to its grant, by whether
            the back end is in another failure domain.
    """

    def __init__(self, seed: int, wave: float) -> None:
        """Start the back ends.

        Args:
            seed: The seed.
            wave: The height of the waves of demand; 0 for even demand.
        """
        self.waits: dict[bool, list[float]] = {False: [], True: []}
        self._wave = wave
        self._zone_chance = random.Random(seed)
        self._began = clock.read_monotonic()
        super().__init__(
            SPEEDS, placement.MODEL_SLOTS, seed, CORRELATION_SECONDS
        )

    def add_engine(
        self, name: str, speed: float, slots: int = 6, **changes: object
    ) -> None:
        """Add a back end; each failure domain has all speeds.

        Args:
            name: The name of the back end.
            speed: Its speed.
            slots: The number of its slots.
            **changes: Other fields of its record.
        """
        # The speeds repeat after three, so the failure domains must not.
        zone = ZONES[int(name[1:]) // 3 % len(ZONES)]
        super().add_engine(name, speed, slots, zone=zone, **changes)

    def sum_counts(
        self, *zones: str, suffixes: tuple[str, ...] = ('', PEAK)
    ) -> tuple[int, int]:
        """Sum the counts of failure domains.

        Args:
            *zones: The failure domains.
            suffixes: Of the keys to sum: ``PEAK`` for arrivals at a peak, ''
                for the others.

        Returns:
            The requests that were in time, and all.
        """
        keys = {zone + suffix for zone in zones for suffix in suffixes}
        counts = [
            one for (_, key), one in self.counts_by_key.items() if key in keys
        ]
        on_time = sum(one.on_time for one in counts)
        return on_time, sum(one.sent for one in counts)

    def _make_call(
        self, kind: load.RequestKind, customer: str, cost: float
    ) -> load.Call:
        # A burst names the failure domain in place of the customer.
        seconds = clock.read_monotonic() - self._began
        sines = [
            math.sin(math.tau * (seconds / PERIOD_SECONDS + part / len(ZONES)))
            for part in range(len(ZONES))
        ]
        weights = [1 + self._wave * sine for sine in sines]
        drawn = customer or self._zone_chance.choices(ZONES, weights)[0]
        is_peak = sines[ZONES.index(drawn)] > PEAK_SINE
        key = drawn + PEAK if is_peak else drawn
        if seconds < WARM_SECONDS:
            key = ''
        call = super()._make_call(kind, key, cost)
        request = msgspec.structs.replace(
            call.slot_request, zone=drawn, customer=''
        )
        return dataclasses.replace(call, slot_request=request)

    def _pick_node(self, call: load.Call) -> int:
        number = self._nodes.randrange(placement.NODES // len(ZONES))
        return number * len(ZONES) + ZONES.index(call.slot_request.zone)

    def _find_zone(self, node: int) -> str:
        return ZONES[node % len(ZONES)]

    def _submit(self, call: load.Call) -> tuple[slot.Grant | slot.Refusal, int]:
        submitted = clock.read_monotonic()
        reply, number = super()._submit(call)
        now = clock.read_monotonic()
        is_counted = call.arrived >= self._began + WARM_SECONDS
        if isinstance(reply, slot.Grant) and is_counted:
            zone = self.view.engines_by_name[reply.engine].zone
            crossed = zone != call.slot_request.zone
            self.waits[crossed].append(now - submitted)
        return reply, number

    def _connect(self, requester: str, engine: str, route: str) -> None:
        super()._connect(requester, engine, route)
        node = int(requester.removeprefix('n').partition('/')[0])
        zone = self.view.engines_by_name[engine].zone
        if zone != self._find_zone(node):
            gevent.sleep(CROSSING_SECONDS)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The results of one load; all but the last are parts of the requests.

    Attributes:
        on_time: Those in time, in all failure domains.
        worst: Those in time in the worst failure domain.
        peak: Those in time of a failure domain at its peak.
        refused: Those without an answer.
        crossed: The crossings among the granted slots.
        prompt: The crossings that did not wait before, among all crossings.
        waited: The slots that were not granted at once.
        wait: The mean time of these, in milliseconds.
    """

    on_time: float
    worst: float
    peak: float
    refused: float
    crossed: float
    prompt: float
    waited: float
    wait: float


def measure(ratio: float, wave: float, seed: int) -> Outcome:
    """Run one load.

    Args:
        ratio: The demand as a part of the capacity.
        wave: The height of the waves of demand.
        seed: The seed.

    Returns:
        The results.
    """
    simulation = ZoneSimulation(seed, wave)
    seconds = WARM_SECONDS + LOAD_SECONDS
    simulation.generate_requests(
        seconds, placement.KINDS, CAPACITY_FACTOR * ratio
    )
    paused_loop.advance(seconds + DRAIN_SECONDS)
    # The tasks of one run must not go on in the next.
    paused_loop.reset_tasks(seed)
    return _summarize(simulation)


def _summarize(simulation: ZoneSimulation) -> Outcome:
    counts = [simulation.sum_counts(zone) for zone in ZONES]
    peaks = simulation.sum_counts(*ZONES, suffixes=(PEAK,))
    sent = sum(one for _, one in counts)
    crossings = simulation.waits[True]
    waits = simulation.waits[False] + crossings
    queued = [one for one in waits if one]
    return Outcome(
        on_time=sum(one for one, _ in counts) / sent,
        worst=min(on_time / count for on_time, count in counts),
        peak=peaks[0] / peaks[1],
        refused=1 - len(waits) / sent,
        crossed=len(crossings) / len(waits),
        prompt=crossings.count(0) / max(1, len(crossings)),
        waited=len(queued) / len(waits),
        wait=placement.MILLISECONDS * statistics.fmean(queued or (0,)),
    )


def run() -> int:
    """Print a table with a row for each load.

    Returns:
        The exit status.
    """
    names = [field.name for field in dataclasses.fields(Outcome)]
    sys.stdout.write(
        f'\n| load | demand | {" | ".join(names)} |\n'
        f'|{"---|" * (2 + len(names))}\n'
    )
    for ratio in LOAD_RATIOS:
        for demand, wave in (('even', 0), ('waves', WAVE)):
            measured = [measure(ratio, wave, seed) for seed in SEEDS]
            columns = zip(*map(dataclasses.astuple, measured), strict=True)
            means = ' | '.join(
                f'{statistics.fmean(one):.3f}' for one in columns
            )
            sys.stdout.write(f'| {ratio:g} | {demand} | {means} |\n')
    return 0
