"""Replays traces in a simulation and checks their expected outcomes."""

import dataclasses
import functools
import pathlib
import types
import typing

from pimentoway.core import clock, codec, evidence
from pimentoway.standin import cluster, model, shape

#: Time after the last step within which every request must end, in seconds.
TAIL_SECONDS = 40

#: Time limit of a request, in seconds.
DEADLINE_SECONDS = 20

_MILLISECONDS = 1000
_SHAPES = types.MappingProxyType(
    {'albumar': shape.make_albumar, 'quetzal': shape.make_quetzal},
)


@dataclasses.dataclass(frozen=True)
class Burst:
    """Requests sent at a constant rate.

    Attributes:
        at: Time of the first request, in seconds from the start.
        seconds: Length of the burst, in seconds.
        rate: Requests per second.
        rank: The rank of the tier.
        tokens: Length of each answer, in tokens.
        customer: The number of the customer; -1 for all in turn.
        prompt: The prompt of each request.
        releases: Whether the requests are unrepeatable application calls in
            place of chats, two for each idempotency key.
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
    """The injection or the end of a fault.

    Attributes:
        at: Time of the event, in seconds from the start.
        kind: What to inject or end; ``kill_node`` also starts a new node.
        target: The engine or failure domain; '' for the platform.
        factor: Slowdown factor of an engine, for ``slow``.
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
class ExpectedOutcomes:
    """Limits that the outcomes of a trace must keep.

    Attributes:
        answered_by_rank: Minimum ratio of answered requests, by tier.
        crashes: Maximum number of crashes of all engines together.
        effects: Maximum number of executions of one unrepeatable call.
        final: Minimum ratio of requests that get an answer or a refusal.
        quiet_zone: The failure domain that must get no new runs while it is
            out; '' for none.
        quiet_from: Start of that time, in seconds from the start.
        quiet_until: End of that time, in seconds from the start.
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
    """Requests and faults to replay, and their expected outcomes.

    Attributes:
        shape: The size of the deployment, ``albumar`` or ``quetzal``.
        bursts: The requests.
        events: The faults.
        stated: The expected outcomes.
        cold_seconds: Length of a cold start, in seconds.
    """

    shape: typing.Literal['albumar', 'quetzal']
    bursts: tuple[Burst, ...]
    events: tuple[Event, ...]
    stated: ExpectedOutcomes
    cold_seconds: float = 5


def read_trace(path: pathlib.Path) -> Trace:
    """Read a trace.

    Args:
        path: The JSON file.

    Returns:
        The trace.
    """
    return codec.decode_json(path.read_bytes(), Trace, path.name)


def replay(trace: Trace) -> list[str]:
    """Replay a trace and check the outcomes.

    Args:
        trace: The trace.

    Returns:
        A message for each limit that was broken; empty if none was.
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
    simulation = cluster.Cluster(
        _SHAPES[trace.shape](
            traits,
            cold_seconds=trace.cold_seconds,
            deadline=DEADLINE_SECONDS,
        ),
    )
    simulation.advance(3 * trace.cold_seconds)
    started = clock.read_monotonic()
    for at, step in sorted(
        _schedule_steps(trace, simulation), key=_get_step_time
    ):
        simulation.advance(max(0, started + at - clock.read_monotonic()))
        step()
    simulation.advance(TAIL_SECONDS)
    return _find_violations(trace.stated, simulation, started)


def _schedule_steps(trace: Trace, simulation: cluster.Cluster) -> list[tuple]:
    steps = [
        (event.at, functools.partial(_apply_event, event, simulation))
        for event in trace.events
    ]
    for burst in trace.bursts:
        for number in range(int(burst.seconds * burst.rate)):
            at = burst.at + number / burst.rate
            step = functools.partial(_send_request, burst, number, simulation)
            steps.append((at, step))
    return steps


def _send_request(
    burst: Burst, number: int, simulation: cluster.Cluster
) -> None:
    nodes = simulation.list_nodes()
    customer = burst.customer
    if customer < 0:
        customer = number % simulation.shape.customers
    if burst.releases:
        key = f'key-{burst.at}-{number // 2}'
        simulation.call_application(nodes[number % len(nodes)], key)
        return
    simulation.chat(
        nodes[number % len(nodes)],
        customer,
        burst.rank,
        burst.tokens,
        burst.prompt,
    )


def _apply_event(event: Event, simulation: cluster.Cluster) -> None:
    engine = simulation.engines_by_name.get(event.target)
    match event.kind:
        case 'crash':
            engine.crash()
        case 'slow':
            engine.traits.slowness = event.factor
        case 'fall_back':
            engine.begin_cold_start()
        case 'zone_out' | 'zone_in':
            _announce_zone_order(event, simulation)
        case 'platform_down' | 'platform_up':
            simulation.platform.set_down(event.kind == 'platform_down')
        case 'kill_node':
            killed = simulation.list_nodes(event.target)[0]
            simulation.kill_node(killed.settings.name)
            simulation.start_node(event.target)


def _announce_zone_order(event: Event, simulation: cluster.Cluster) -> None:
    node = simulation.list_nodes()[-1]
    order = evidence.ZoneOrder(
        event.target,
        event.kind.removeprefix('zone_'),
        int(clock.read_wall() * _MILLISECONDS),
        'operator',
    )
    node.apply_evidence(order)
    node.announce(order)


def _find_violations(
    expected: ExpectedOutcomes, simulation: cluster.Cluster, started: float
) -> list[str]:
    violations = []
    for rank, minimum in expected.answered_by_rank.items():
        answered = compute_answered_ratio(simulation, rank)
        if answered < minimum:
            violations.append(
                f'tier {rank}: answered {answered:.4f}, expected {minimum}'
            )
    crashes = sum(
        engine.crashes for engine in simulation.engines_by_name.values()
    )
    if crashes > expected.crashes:
        violations.append(
            f'{crashes} crashes, at most {expected.crashes} expected'
        )
    effects = max(
        map(simulation.count_executions, _list_idempotency_keys(simulation)),
        default=0,
    )
    if effects > expected.effects:
        violations.append(f'a call was executed {effects} times')
    ended = sum(1 for request in simulation.requests if request.outcome)
    if ended < expected.final * len(simulation.requests):
        violations.append(
            f'{ended} of {len(simulation.requests)} requests ended'
        )
    unexpected = _count_runs_in_closed_zone(expected, simulation, started)
    if unexpected:
        violations.append(
            f'{unexpected} runs started in a closed failure domain'
        )
    return violations


def compute_answered_ratio(simulation: cluster.Cluster, rank: int) -> float:
    """Compute the ratio of answered requests of a tier.

    Args:
        simulation: The simulation, after its requests ended.
        rank: The rank of the tier.

    Returns:
        The ratio, 1 if nothing was sent.
    """
    sent = [request for request in simulation.requests if request.rank == rank]
    if not sent:
        return 1
    return sum(1 for request in sent if request.outcome == 'answered') / len(
        sent
    )


def _count_runs_in_closed_zone(
    expected: ExpectedOutcomes, simulation: cluster.Cluster, started: float
) -> int:
    return sum(
        1
        for name, engine in simulation.engines_by_name.items()
        for run in engine.ledger
        if expected.quiet_zone
        and expected.quiet_zone in name
        and started + expected.quiet_from < run.arrived
        and run.arrived < started + expected.quiet_until
    )


def _list_idempotency_keys(simulation: cluster.Cluster) -> set[str]:
    return {request.key for request in simulation.requests if request.key}


def _get_step_time(step: tuple) -> float:
    return step[0]
