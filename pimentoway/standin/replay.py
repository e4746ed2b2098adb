"""Replays recorded traces and checks the outcomes stated with them."""

import dataclasses
import functools
import pathlib
import types
import typing

from pimentoway.core import clock, codec, evidence
from pimentoway.standin import model, shape, world

#: Seconds after the last event until every request has ended.
TAIL_SECONDS = 40

#: Seconds that a request may take.
DEADLINE_SECONDS = 20

_MILLISECONDS = 1000
_SHAPES = types.MappingProxyType(
    {'albumar': shape.make_albumar, 'quetzal': shape.make_quetzal},
)


@dataclasses.dataclass(frozen=True)
class Burst:
    """Requests at a steady rate.

    Attributes:
        at: When the first is sent, in seconds from the start.
        seconds: For how long.
        rate: Requests a second.
        rank: The rank of the tier.
        tokens: The longest answer.
        customer: The number of the customer, or -1 for all in turn.
        prompt: The prompt.
        releases: Whether they are unrepeatable calls, each sent twice.
    """

    at: float
    seconds: float
    rate: float
    rank: int = 0
    tokens: int = 10
    customer: int = -1
    prompt: str = 'A caption.'
    releases: bool = False


@dataclasses.dataclass(frozen=True)
class Event:
    """A fault, or its end.

    Attributes:
        at: When it comes, in seconds from the start.
        kind: What comes.
        target: The engine or failure domain that it concerns.
        factor: How many times slower an engine becomes.
    """

    at: float
    kind: typing.Literal[
        'crash',
        'slow',
        'fall_back',
        'zone_out',
        'zone_in',
        'platform_down',
        'platform_up',
        'kill_node',
    ]
    target: str = ''
    factor: float = 1


@dataclasses.dataclass(frozen=True)
class Stated:
    """The outcomes stated beforehand.

    Attributes:
        answered_by_rank: The least part of each tier that is answered.
        crashes: The most crashes of engines in all.
        effects: The most times that an unrepeatable call takes effect.
        final: The part of requests that get a final answer.
        quiet_zone: A failure domain that gets nothing new while it is out.
        quiet_from: From when on.
        quiet_until: Until when.
    """

    answered_by_rank: dict[int, float]
    crashes: int = 0
    effects: int = 1
    final: float = 1
    quiet_zone: str = ''
    quiet_from: float = 0
    quiet_until: float = 0


@dataclasses.dataclass(frozen=True)
class Trace:
    """A recorded trace.

    Attributes:
        shape: ``albumar`` or ``quetzal``.
        bursts: The requests.
        events: The faults.
        stated: The outcomes stated beforehand.
        cold_seconds: Seconds of a cold start.
    """

    shape: typing.Literal['albumar', 'quetzal']
    bursts: tuple[Burst, ...]
    events: tuple[Event, ...]
    stated: Stated
    cold_seconds: float = 5


def read_trace(path: pathlib.Path) -> Trace:
    """Read a trace.

    Args:
        path: The file.

    Returns:
        The trace.
    """
    return codec.decode_json(path.read_bytes(), Trace, path.name)


def replay(trace: Trace) -> list[str]:
    """Replay a trace and compare what came with what was stated.

    Args:
        trace: The trace.

    Returns:
        The differences, none if all was as stated.
    """
    traits = tuple(
        model.Traits(
            gap=gap,
            cold_seconds=trace.cold_seconds,
            cold_slots=2,
            restart_seconds=2,
        )
        for gap in (0.04, 0.08, 0.04)
    )
    built = world.World(
        _SHAPES[trace.shape](
            traits,
            cold_seconds=trace.cold_seconds,
            deadline=DEADLINE_SECONDS,
        ),
    )
    built.advance(3 * trace.cold_seconds)
    started = clock.read_monotonic()
    for at, step in sorted(_plan_steps(trace, built), key=_read_time):
        built.advance(max(0, started + at - clock.read_monotonic()))
        step()
    built.advance(TAIL_SECONDS)
    return _compare(trace.stated, built, started)


def _plan_steps(trace: Trace, built: world.World) -> list[tuple]:
    steps = [
        (event.at, functools.partial(_apply_event, event, built))
        for event in trace.events
    ]
    for burst in trace.bursts:
        for number in range(int(burst.seconds * burst.rate)):
            at = burst.at + number / burst.rate
            step = functools.partial(_send, burst, number, built)
            steps.append((at, step))
    return steps


def _send(burst: Burst, number: int, built: world.World) -> None:
    nodes = built.list_nodes()
    customer = burst.customer
    if customer < 0:
        customer = number % built.shape.customers
    if burst.releases:
        key = f'key-{burst.at}-{number // 2}'
        built.release(nodes[number % len(nodes)], key)
        return
    built.chat(
        nodes[number % len(nodes)],
        customer,
        burst.rank,
        burst.tokens,
        burst.prompt,
    )


def _apply_event(event: Event, built: world.World) -> None:
    engine = built.engines_by_name.get(event.target)
    match event.kind:
        case 'crash':
            engine.crash()
        case 'slow':
            engine.traits.slowness = event.factor
        case 'fall_back':
            engine.fall_back()
        case 'zone_out' | 'zone_in':
            _order_zone(event, built)
        case 'platform_down' | 'platform_up':
            built.platform.mark_down(event.kind == 'platform_down')
        case 'kill_node':
            killed = built.list_nodes(event.target)[0]
            built.kill_node(killed.settings.name)
            built.start_node(event.target)


def _order_zone(event: Event, built: world.World) -> None:
    node = built.list_nodes()[-1]
    order = evidence.ZoneOrder(
        event.target,
        event.kind.removeprefix('zone_'),
        int(clock.read_wall() * _MILLISECONDS),
        'operator',
    )
    node.note_sign(order)
    node.announce(order)


def _compare(stated: Stated, built: world.World, started: float) -> list[str]:
    differences = []
    for rank, part in stated.answered_by_rank.items():
        answered = measure_answered(built, rank)
        if answered < part:
            differences.append(f'tier {rank}: {answered:.4f} under {part}')
    crashes = sum(one.crashes for one in built.engines_by_name.values())
    if crashes > stated.crashes:
        differences.append(f'{crashes} crashes over {stated.crashes}')
    effects = max(map(built.count_runs, _list_keys(built)), default=0)
    if effects > stated.effects:
        differences.append(f'{effects} effects of one call')
    ended = sum(1 for one in built.attempts if one.outcome)
    if ended < stated.final * len(built.attempts):
        differences.append(f'{ended} of {len(built.attempts)} ended')
    late = _count_quiet_runs(stated, built, started)
    if late:
        differences.append(f'{late} runs in a closed failure domain')
    return differences


def measure_answered(built: world.World, rank: int) -> float:
    """Measure the part of a tier that was answered.

    Args:
        built: The world.
        rank: The rank of the tier.

    Returns:
        The part, 1 if nothing was sent.
    """
    sent = [one for one in built.attempts if one.rank == rank]
    if not sent:
        return 1
    return sum(1 for one in sent if one.outcome == 'answered') / len(sent)


def _count_quiet_runs(
    stated: Stated, built: world.World, started: float
) -> int:
    return sum(
        1
        for name, engine in built.engines_by_name.items()
        for run in engine.ledger
        if stated.quiet_zone
        and stated.quiet_zone in name
        and started + stated.quiet_from < run.arrived
        and run.arrived < started + stated.quiet_until
    )


def _list_keys(built: world.World) -> set[str]:
    return {one.key for one in built.attempts if one.key}


def _read_time(step: tuple) -> float:
    return step[0]
