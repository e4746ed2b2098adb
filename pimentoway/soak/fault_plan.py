"""Draws the faults of a soak test from a seed."""

import random

from pimentoway.soak import fault

#: The range of a fault's duration: some faults end before they are detected,
#: some outlast every timeout between processes.
MIN_FAULT_SECONDS = 0.2
MAX_FAULT_SECONDS = 4.0

#: The faults of a plan for each further one of an engine that gives notices.
FAULTS_PER_NOTICE = 6

#: The faults of a plan for each restoration of the store; there is one at
#: least. The longest absence of the store before it, in seconds.
FAULTS_PER_RESTORATION = 25
MAX_AWAY_SECONDS = 2.0


def draw_plan(seed: int, seconds: float, count: int) -> list[fault.Fault]:
    """Draw random faults.

    Args:
        seed: The seed, which determines the plan.
        seconds: All faults start within this time.
        count: The number of faults, without the further ones of engines that
            give notices and the restorations of the store.

    Returns:
        The faults, ordered by their start.
    """
    generator = random.Random(seed)
    planned = [_draw_fault(generator, seconds) for _ in range(count)]
    # Drawn last, so that the others of a seed stay what they were.
    planned.extend(
        generator.choice(fault.NOTICE_FAULTS)(*_draw_fields(generator, seconds))
        for _ in range(count // FAULTS_PER_NOTICE)
    )
    for _ in range(1 + count // FAULTS_PER_RESTORATION):
        start = generator.uniform(0, seconds)
        away = generator.uniform(MIN_FAULT_SECONDS, MAX_AWAY_SECONDS)
        planned.append(fault.StoreRestored(start, away, 0))
    return sorted(planned, key=lambda drawn: drawn.start)


def _draw_fault(generator: random.Random, seconds: float) -> fault.Fault:
    start, duration, target = _draw_fields(generator, seconds)
    kind = generator.choice(
        (*fault.PLAIN_FAULTS, fault.LinkFault, fault.LinkFault, fault.LinkFault)
    )
    if kind is fault.LinkFault:
        part = generator.choice(fault.LINK_PARTS)
        return fault.LinkFault(
            start, duration, target, part, generator.choice(fault.LINK_EFFECTS)
        )
    return kind(start, duration, target)


def _draw_fields(
    generator: random.Random, seconds: float
) -> tuple[float, float, int]:
    return (
        generator.uniform(0, seconds),
        generator.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
        generator.randrange(1000),
    )
