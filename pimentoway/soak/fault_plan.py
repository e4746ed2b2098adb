"""Draws the faults of a soak test from a seed."""

import random

from pimentoway.soak import fault, path_fault

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

#: The faults of a plan for each partition of nodes from all engines; there is
#: one at least. Its duration exceeds the time in which shares don't count.
FAULTS_PER_CUT = 25
MIN_CUT_SECONDS = 5.0
MAX_CUT_SECONDS = 7.0

#: The faults of a plan for each silence of a sound engine, and the range of
#: its duration.
FAULTS_PER_SILENCE = 6
MIN_SILENCE_SECONDS = 0.5
MAX_SILENCE_SECONDS = 1.9


def draw_plan(seed: int, seconds: float, count: int) -> list[fault.Fault]:
    """Draw random faults.

    Args:
        seed: The seed, which determines the plan.
        seconds: All faults start within this time.
        count: The number of faults, without the further ones of engines that
            give notices or fall silent, the restorations of the store and
            the partitions from engines.

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
    planned.extend(
        _draw_cut(generator, seconds)
        for _ in range(1 + count // FAULTS_PER_CUT)
    )
    planned.extend(
        _draw_silence(generator, seconds)
        for _ in range(count // FAULTS_PER_SILENCE)
    )
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


def _draw_cut(generator: random.Random, seconds: float) -> fault.Fault:
    return path_fault.PathCut(
        generator.uniform(0, seconds / 3),
        generator.uniform(MIN_CUT_SECONDS, MAX_CUT_SECONDS),
        generator.randrange(1000),
        generator.choice(path_fault.CUT_SCOPES),
        generator.choice(path_fault.CUT_EFFECTS),
    )


def _draw_silence(generator: random.Random, seconds: float) -> fault.Fault:
    return path_fault.EngineSilent(
        generator.uniform(0, seconds),
        generator.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS),
        generator.randrange(1000),
        generator.choice((True, False)),
    )


def _draw_fields(
    generator: random.Random, seconds: float
) -> tuple[float, float, int]:
    return (
        generator.uniform(0, seconds),
        generator.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS),
        generator.randrange(1000),
    )
