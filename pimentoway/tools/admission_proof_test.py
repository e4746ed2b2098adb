"""Proofs of the order of tiers, of limits, and of who takes new work."""

import collections
import dataclasses

import gevent
import pytest

from pimentoway.core import clock, configuration, evidence
from pimentoway.ops import scheduler
from pimentoway.standin import model, network, shape, world

#: Seconds after which a closed back end must get no new work.
CLOSED_SECONDS = 3


def build_busy(**traits: object) -> world.World:
    """Build one failure domain with two nodes and two small engines.

    Args:
        **traits: Further attributes of the world's shape.

    Returns:
        The world.
    """
    engines = (model.Traits(slots=4), model.Traits(slots=4))
    wanted = shape.Shape(zones=('norte',), engines=engines, **traits)
    return world.World(wanted)


def count_outcomes(built: world.World, rank: int) -> collections.Counter:
    """Count the outcomes of a tier.

    Args:
        built: The world.
        rank: The rank of the tier.

    Returns:
        The number of attempts by outcome.
    """
    return collections.Counter(
        one.outcome for one in built.attempts if one.rank == rank
    )


def count_tokens(built: world.World) -> collections.Counter:
    """Count the tokens that each customer got.

    Args:
        built: The world.

    Returns:
        The tokens by customer.
    """
    tokens = collections.Counter()
    for attempt in built.attempts:
        tokens[attempt.customer] += attempt.tokens
    return tokens


def find_runs(built: world.World, since: float, zone: str) -> list[model.Run]:
    """Find the runs that engines of a failure domain began.

    Args:
        built: The world.
        since: The time from which on.
        zone: The failure domain.

    Returns:
        The runs.
    """
    return [
        run
        for name, engine in built.engines_by_name.items()
        for run in engine.ledger
        if run.started >= since and zone in name
    ]


def test_higher_tier_is_served_under_overload() -> None:
    """Under threefold load the higher tier is whole, the lower one is shed."""
    built = build_busy(deadline=10)
    nodes = built.list_nodes()
    for turn in range(600):
        rank = 0 if turn % 6 == 0 else 1
        built.chat(nodes[turn // 2 % 2], rank=rank, tokens=20)
        built.advance(0.02)
    built.advance(15)
    assert set(count_outcomes(built, 0)) == {'answered'}
    assert count_outcomes(built, 1)['not_run'] > 0


def test_lower_tier_waits_for_other_nodes() -> None:
    """While one node holds a higher tier back, the other serves no lower."""
    built = build_busy(deadline=60)
    one, other = built.list_nodes()
    for _ in range(60):
        built.chat(one, rank=0, tokens=50)
    built.advance(1)
    low = [built.chat(other, rank=1, tokens=5) for _ in range(4)]
    high = [built.chat(one, rank=0, tokens=50) for _ in range(20)]
    built.advance(60)
    assert {attempt.outcome for attempt in high} == {'answered'}
    arrived_by_id = {run.run_id: run.arrived for run in built.list_runs()}
    last_high = max(arrived_by_id[attempt.request_id] for attempt in high)
    first_low = min(arrived_by_id[attempt.request_id] for attempt in low)
    assert first_low >= last_high - scheduler.TICK_SECONDS


def test_full_queue_sheds_the_lowest_tier() -> None:
    """A full queue gives up requests of the lowest tier for a higher one."""
    built = build_busy(queue_tokens=2000, nodes=1, deadline=30)
    node = built.list_nodes()[0]
    low = [built.chat(node, rank=1, tokens=100) for _ in range(40)]
    high = [built.chat(node, rank=0, tokens=100) for _ in range(10)]
    built.advance(0.1)
    refused = [one for one in low if one.outcome == 'not_run']
    assert refused
    assert all(one.fault.retry_after > 0 for one in refused)
    built.advance(40)
    assert {one.outcome for one in high} == {'answered'}


def test_greedy_customer_does_not_starve_others() -> None:
    """Customers of a tier get equal tokens whatever they ask for."""
    built = build_busy(customers=3, nodes=1, deadline=60)
    node = built.list_nodes()[0]
    for _ in range(100):
        built.chat(node, customer=0, tokens=100)
    for one in (1, 2):
        built.chat(node, customer=one, tokens=20)
    # What was served before all three compete earns nobody a debt.
    built.advance(3)
    before = count_tokens(built)
    for turn in range(200):
        built.chat(node, customer=1 + turn % 2, tokens=20)
        built.advance(0.05)
    built.advance(1)
    after = count_tokens(built)
    shares = [after[name] - before[name] for name in sorted(after)]
    jain = sum(shares) ** 2 / (3 * sum(share**2 for share in shares))
    assert jain > 0.9, shares


def test_hopeless_request_is_refused_at_once() -> None:
    """A request that can't make its deadline is told so at once."""
    built = build_busy(nodes=1, deadline=12)
    node = built.list_nodes()[0]
    for _ in range(15):
        built.chat(node, tokens=100)
        built.advance(1)
    for _ in range(200):
        built.chat(node, tokens=100)
    late = built.chat(node, tokens=100)
    built.advance(0.1)
    assert late.outcome == 'not_run'
    assert late.fault.retry_after > 0


@pytest.mark.parametrize('slots', [1, 2, 3])
def test_cold_engine_gets_no_more_than_it_bears(slots: int) -> None:
    """A cold start of fewer slots than nodes is never overrun."""
    cold = model.Traits(cold_seconds=20, cold_slots=slots)
    wanted = shape.Shape(
        zones=('norte', 'sur'),
        nodes=3,
        engines=(cold, cold),
        cold_slots=slots,
        cold_seconds=20,
        deadline=30,
    )
    built = world.World(wanted)
    nodes = built.list_nodes()
    for turn in range(200):
        built.chat(nodes[turn % len(nodes)], tokens=5)
        built.advance(0.1)
    built.advance(40)
    engines = built.engines_by_name.values()
    assert not any(engine.crashes for engine in engines)
    assert max(engine.peak_cold for engine in engines) <= slots
    assert all(engine.ledger for engine in engines)


def test_restarted_engine_is_not_overrun() -> None:
    """An engine that crashed under load comes back into a ramp."""
    warm = model.Traits(cold_seconds=15, cold_slots=2, restart_seconds=3)
    built = world.World(
        shape.Shape(
            nodes=4, engines=(warm, warm), cold_seconds=15, deadline=60
        ),
    )
    built.advance(30)
    nodes = built.list_nodes()
    engine = built.engines_by_name['engine-norte-0']
    for turn in range(400):
        built.chat(nodes[turn % len(nodes)], tokens=40)
        built.advance(0.05)
        if turn == 100:
            engine.crash()
    built.advance(40)
    assert engine.crashes == 1
    assert engine.peak_cold <= 2


def test_load_leaves_an_engine_that_fell_back() -> None:
    """An engine that falls back into a cold start loses its load in seconds."""
    traits = model.Traits(cold_factor=10, cold_seconds=60, cold_slots=100)
    built = world.World(shape.Shape(engines=(traits, traits), deadline=30))
    built.advance(60)
    nodes = built.list_nodes()
    engine = built.engines_by_name['engine-norte-0']
    for turn in range(400):
        built.chat(nodes[turn % len(nodes)], tokens=10)
        built.advance(0.05)
        if turn == 100:
            engine.fall_back()
            fallen = clock.read_monotonic()
    late = [run for run in engine.ledger if run.started > fallen + 6]
    running = 14 / 0.05
    assert len(late) < running / 8


def test_straggler_loses_its_load() -> None:
    """An engine that slows down far gets few requests."""
    built = world.World(shape.Shape(zones=('norte',), deadline=30))
    nodes = built.list_nodes()
    engine = built.engines_by_name['engine-norte-0']
    for turn in range(400):
        built.chat(nodes[turn % len(nodes)], tokens=10)
        built.advance(0.05)
        if turn == 100:
            engine.traits.slowness = 8
            slowed = clock.read_monotonic()
    late = [run for run in engine.ledger if run.started > slowed + 5]
    everything = find_runs(built, slowed + 5, 'norte')
    assert len(late) < len(everything) / 8


@pytest.mark.parametrize('down', [False, True])
def test_zone_out_gets_no_new_work(down: bool) -> None:
    """A failure domain taken out gets nothing new, platform or not."""
    built = world.World(shape.Shape())
    nodes = built.list_nodes()
    built.platform.mark_down(down=down)
    order = evidence.ZoneOrder(
        'norte',
        'out',
        int(clock.read_wall() * 1000),
        'operator',
    )
    running = built.chat(built.list_nodes('norte')[0], tokens=400)
    built.advance(0.5)
    nodes[0].note_sign(order)
    nodes[0].announce(order)
    ordered = clock.read_monotonic()
    for turn in range(200):
        built.chat(nodes[turn % len(nodes)], tokens=5)
        built.advance(0.05)
    assert not find_runs(built, ordered + CLOSED_SECONDS, 'norte')
    built.advance(20)
    assert running.outcome == 'answered'
    outcomes = {attempt.outcome for attempt in built.attempts}
    assert outcomes == {'answered'}


def test_zone_comes_back() -> None:
    """A failure domain that comes back gets work again."""
    built = world.World(shape.Shape())
    node = built.list_nodes('norte')[0]
    for state in ('out', 'in'):
        sign = evidence.ZoneOrder(
            'norte',
            state,
            int(clock.read_wall() * 1000),
            'operator',
        )
        node.note_sign(sign)
        node.announce(sign)
        built.advance(3)
    since = clock.read_monotonic()
    for _ in range(10):
        built.chat(node)
        built.advance(0.3)
    assert find_runs(built, since, 'norte')


def test_leaving_engine_gets_no_new_work() -> None:
    """An engine declared as leaving gets nothing new after seconds."""
    built = world.World(shape.Shape())
    leaving = [
        dataclasses.replace(one, leaving='norte-0' in one.name)
        for one in built.tables.engines
    ]
    built.apply(dataclasses.replace(built.tables, engines=tuple(leaving)))
    declared = clock.read_monotonic()
    nodes = built.list_nodes()
    for turn in range(200):
        built.chat(nodes[turn % len(nodes)], tokens=5)
        built.advance(0.05)
    built.advance(5)
    late = find_runs(built, declared + CLOSED_SECONDS, 'norte-0')
    assert not late
    assert set(count_outcomes(built, 0)) == {'answered'}


def test_draining_engine_gets_no_new_work() -> None:
    """An engine that reports that it drains gets nothing new after seconds."""
    built = world.World(shape.Shape())
    built.engines_by_name['engine-norte-0'].draining = True
    told = clock.read_monotonic()
    nodes = built.list_nodes()
    for turn in range(200):
        built.chat(nodes[turn % len(nodes)], tokens=5)
        built.advance(0.05)
    assert not find_runs(built, told + CLOSED_SECONDS, 'norte-0')


def test_graceful_shutdown_cuts_nothing() -> None:
    """A node that shuts down finishes what it took and refuses the rest."""
    built = world.World(shape.Shape(deadline=60))
    node = built.list_nodes()[0]
    taken = [built.chat(node, tokens=200) for _ in range(40)]
    built.advance(0.5)
    draining = gevent.spawn(node.drain)
    built.advance(node.settings.notice_seconds + 1)
    refused = built.chat(node)
    while not draining.ready():
        built.advance(0.1)
    assert {one.outcome for one in taken} == {'answered'}
    assert refused.outcome == 'not_run'


def test_cut_off_domain_goes_on() -> None:
    """A domain cut off from all others and the platform serves its callers."""
    built = world.World(shape.Shape())
    built.network.cut('norte', 'sur')
    built.network.cut('norte', network.PLATFORM)
    built.advance(10)
    sent = [built.chat(node) for node in built.list_nodes()]
    built.advance(10)
    assert {one.outcome for one in sent} == {'answered'}


def test_dead_members_are_noticed_and_replaced() -> None:
    """Killed nodes leave the membership in seconds, new ones join it."""
    built = world.World(shape.Shape(nodes=3))
    for killed in built.list_nodes()[:2]:
        built.kill_node(killed.settings.name)
    built.start_node('norte')
    built.advance(25)
    names = {node.settings.name for node in built.list_nodes()}
    known = [node.members.group_live() for node in built.list_nodes()]
    for groups in known:
        assert {one for group in groups.values() for one in group} == names


def test_cut_members_find_each_other_again() -> None:
    """Failure domains that were cut off for long find each other again."""
    built = world.World(shape.Shape())
    built.network.cut('norte', 'sur')
    built.advance(120)
    built.network.heal()
    built.advance(60)
    counts = {len(node.members.list_live()) for node in built.list_nodes()}
    assert counts == {4}


def test_declared_zone_out_is_closed() -> None:
    """A failure domain declared as out gets nothing new after seconds."""
    built = world.World(shape.Shape())
    zones = (
        configuration.Zone('norte', configuration.ZoneState.out),
        configuration.Zone('sur'),
    )
    built.apply(dataclasses.replace(built.tables, zones=zones))
    declared = clock.read_monotonic()
    nodes = built.list_nodes()
    for turn in range(100):
        built.chat(nodes[turn % len(nodes)], tokens=5)
        built.advance(0.05)
    assert not find_runs(built, declared + CLOSED_SECONDS, 'norte')
