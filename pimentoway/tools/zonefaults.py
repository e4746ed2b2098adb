"""Simulation of a burst and of a loss in one of four failure domains.

The load, the back ends and the measures are those of ``tools.waves``, with even
demand and fixed seeds.
"""

import collections
import itertools
import statistics
import sys
import types

from pimentoway.core import registry
from pimentoway.standin import load, paused_loop
from pimentoway.tools import placement, waves

SEEDS = (1, 2, 3)

LOAD_RATIOS = (0.6, 0.8)

#: The failure domain with the burst or the loss.
ZONE = waves.ZONES[0]

#: Seconds from the start to the burst or the loss, and the length of the burst.
START_SECONDS = waves.WARM_SECONDS + 5
BURST_SECONDS = 2.0

#: How many times its usual demand the failure domain has in the burst.
BURST_FACTOR = 10


def _leave_undisturbed(simulation: load.Simulation, factor: float) -> None:
    """Leave the load as it is."""


def _add_burst(simulation: load.Simulation, factor: float) -> None:
    extra = factor * (BURST_FACTOR - 1) / len(waves.ZONES)
    simulation.generate_requests(BURST_SECONDS, placement.KINDS, extra, ZONE)


def _lose_half(simulation: load.Simulation, factor: float) -> None:
    # Their requests in progress end as usual, as in an evacuation.
    engines = simulation.view.engines_by_name.values()
    names = [engine.name for engine in engines if engine.zone == ZONE]
    for name in itertools.islice(names, 0, None, 2):
        simulation.change_record(registry.Kind.engines, name, None)


Disturbance = collections.abc.Callable[[load.Simulation, float], None]

DISTURBANCE_BY_NAME = types.MappingProxyType(
    {
        'none': _leave_undisturbed,
        'burst': _add_burst,
        'loss': _lose_half,
    },
)


def measure(disturbance: Disturbance, ratio: float, seed: int) -> list[float]:
    """Run one load.

    Args:
        disturbance: Adds load or removes back ends.
        ratio: The demand as a part of the capacity.
        seed: The seed.

    Returns:
        The requests in time in the disturbed failure domain and in the others,
        those without a slot, the crossings, those among them that did not wait
        before, and the slots that were not granted at once, as parts.
    """
    simulation = waves.ZoneSimulation(seed, 0)
    factor = waves.CAPACITY_FACTOR * ratio
    seconds = waves.WARM_SECONDS + waves.LOAD_SECONDS
    simulation.generate_requests(seconds, placement.KINDS, factor)
    paused_loop.advance(START_SECONDS)
    disturbance(simulation, factor)
    paused_loop.advance(seconds + waves.DRAIN_SECONDS - START_SECONDS)
    # The tasks of one run must not go on in the next.
    paused_loop.reset_tasks(seed)
    own = simulation.sum_counts(ZONE)
    others = simulation.sum_counts(*waves.ZONES[1:])
    crossings = simulation.waits[True]
    waits = simulation.waits[False] + crossings
    return [
        own[0] / own[1],
        others[0] / others[1],
        1 - len(waits) / (own[1] + others[1]),
        len(crossings) / len(waits),
        crossings.count(0) / len(crossings),
        1 - waits.count(0) / len(waits),
    ]


def run() -> int:
    """Print a table with a row for each load and disturbance.

    Returns:
        The exit status.
    """
    sys.stdout.write(
        '\n| load | disturbance | in time there | in the others | refused '
        f'| crossings | prompt | waited |\n|{"---|" * 8}\n'
    )
    for ratio in LOAD_RATIOS:
        for name, disturbance in DISTURBANCE_BY_NAME.items():
            measured = [measure(disturbance, ratio, seed) for seed in SEEDS]
            means = ' | '.join(
                f'{statistics.fmean(column):.3f}'
                for column in zip(*measured, strict=True)
            )
            sys.stdout.write(f'| {ratio:g} | {name} | {means} |\n')
    return 0
