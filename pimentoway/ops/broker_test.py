"""Tests of the broker under the loads that it is made for.

Each test names the pattern of load that it answers.
"""

import collections
import dataclasses
import sys
import types

import msgspec
import pytest

from pimentoway.core import deployment, place, registry
from pimentoway.ops import ask
from pimentoway.standin import asking, crowd, load

DRAFT, NOTE, DIGEST = load.KINDS


def make_customer(name: str, rate: float, burst: float) -> deployment.Customer:
    """Make a customer.

    Args:
        name: Its name.
        rate: Its quota in tokens a second.
        burst: The tokens that it may use at once.

    Returns:
        The customer.
    """
    return deployment.Customer(name, (name,), None, rate, burst, True, 200)


def configure(world: load.World, *customers: deployment.Customer) -> None:
    """Configure the customers and the service.

    Args:
        world: The world.
        *customers: The customers.
    """
    held = deployment.Deployment(
        1,
        (),
        {asking.SERVICE: deployment.Service(asking.SERVICE, 100, 17, 6)},
        {one.name: one for one in customers},
        deployment.CallerLimits(),
    )
    world.change(registry.Kind.configuration, 'main', held)


def test_calm_load_is_served_in_time() -> None:
    """Calm: nearly all requests are answered within their goal."""
    world = load.World()
    world.run(20, factor=0.4)
    load.play(40)
    for kind in load.KINDS:
        assert world.count(kind.name).measure_timely() > 0.97


def test_burst_spares_the_highest_tier() -> None:
    """Burst of twice the load: the highest tier hardly notices."""
    world = load.World()
    world.run(20)
    load.play(40)
    draft = world.count(DRAFT.name).measure_timely()
    assert draft > 0.9
    assert draft >= world.count(DIGEST.name).measure_timely()


def test_long_answers_leave_slots_to_urgent_ones() -> None:
    """Burst of long answers of a low tier: urgent ones find free slots."""
    world = load.World()
    world.run(20, (dataclasses.replace(DIGEST, rate=60),))
    load.play(3)
    world.run(15, (dataclasses.replace(DRAFT, rate=8),))
    load.play(60)
    assert world.count(DRAFT.name).measure_timely() > 0.95


def test_lowest_tier_is_not_starved() -> None:
    """Long overload by urgent requests: the lowest tier gets some slots."""
    world = load.World()
    world.run(30, factor=2.5)
    load.play(80)
    served = sum(
        world.count(kind.name).measure_served() * kind.rate
        for kind in load.KINDS
    ) / sum(kind.rate for kind in load.KINDS)
    assert world.count(DIGEST.name).measure_served() > served / 4


def test_returns_do_not_displace_newcomers() -> None:
    """Returns after refusals: a late request yields to one in time."""
    world = load.World()
    world.run(25, factor=2.2)
    load.play(60)
    draft = world.count(DRAFT.name)
    assert draft.timely > 3 * draft.late


def test_newcomer_goes_before_a_late_return() -> None:
    """Returns after refusals: the goal counts from the first attempt."""
    world = load.World(speeds=())
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply)
    late = asking.make_ask(1, fingerprint=7, goal_left=0.5)
    world.broker.submit('other/1', late)
    assert replies.pop().reason is ask.Reason.no_backend
    load.play(0.6)
    world.add_engine('e0', 1, 1)
    world.broker.submit('other/1', asking.make_ask(2, goal_left=0.5))
    world.broker.submit('other/1', msgspec.structs.replace(late, number=3))
    world.broker.submit('other/1', asking.make_ask(4, goal_left=0.5))
    world.broker.finish('other/1', ask.Report(2, ask.Outcome.answered))
    assert [reply.number for reply in replies] == [2, 4]


def test_page_that_was_served_is_no_return() -> None:
    """Hot page: a refusal of long ago does not hold the next caller back."""
    world = load.World(speeds=())
    page = asking.make_ask(1, fingerprint=7, goal_left=0.5)
    world.broker.submit('other/1', page)
    load.play(1)
    world.add_engine('e0', 1, 1)
    world.broker.submit('other/1', msgspec.structs.replace(page, number=2))
    world.broker.finish('other/1', ask.Report(2, ask.Outcome.answered))
    assert world.broker._admission.restore_target(page) == page


def test_last_slots_are_kept_for_urgent_requests() -> None:
    """Many long answers of a low tier: an urgent request starts at once."""
    world = load.World(speeds=(1,), slots=25)
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply)
    world.broker.submit('other/1', asking.make_ask(0, route='draft'))
    for number in range(1, 31):
        entry = asking.make_ask(number, route='digest', rank=2)
        world.broker.submit('other/1', entry)
    assert len(replies) == 23
    world.broker.submit('other/1', asking.make_ask(99, route='draft'))
    assert replies[-1].number == 99


def test_refusals_come_early() -> None:
    """Overload: most refusals come before half a second has passed."""
    world = load.World()
    world.run(20, factor=2.5)
    load.play(60)
    waits = sorted(
        wait
        for kind in load.KINDS
        for wait in world.count(kind.name).refusal_waits
    )
    assert waits
    assert waits[len(waits) // 2] < 0.6


def test_back_ends_never_hold_more_than_they_run() -> None:
    """All nodes at once: no back end gets more than its slots."""
    world = load.World()
    world.run(15, factor=3)
    load.play(40)
    assert max(world.peak_by_engine.values()) == 6


def test_straggler_gets_what_it_can_finish() -> None:
    """Straggler: long answers avoid a back end too slow for their time."""
    world = load.World(speeds=(0.1, 1, 1))
    world.run(20, factor=0.4)
    load.play(60)
    assert world.count(DRAFT.name).measure_timely() > 0.9


def test_greedy_customer_is_held_to_its_quota() -> None:
    """One greedy customer: what it uses in any window stays in bounds."""
    bounds = place.Bounds(quota_slack=10_000)
    world = load.World(bounds=bounds)
    configure(world, make_customer('greedy', 1000, 2000))
    for _ in range(400):
        world.send(NOTE, 'greedy', 500)
        load.play(0.02)
    load.play(20)
    count = world.count(NOTE.name, 'greedy')
    used = (count.timely + count.late) * 500
    window = 1000 * 8 + 2000
    assert used <= (window * 1.1 + bounds.quota_slack) * 2
    assert used >= window


def test_quota_is_exceeded_only_on_idle_slots() -> None:
    """Busy service: what lies beyond a quota is refused at once."""
    world = load.World(speeds=(1,))
    configure(world, make_customer('greedy', 1000, 2000))
    world.run(10, factor=1)
    load.play(3)
    for _ in range(50):
        world.send(NOTE, 'greedy', 500)
    load.play(0.01)
    count = world.count(NOTE.name, 'greedy')
    assert len(count.refusal_waits) > 40


def test_cold_back_end_gets_no_more_than_it_bears() -> None:
    """Cold start: in any second a cold back end gets its rate at most."""
    world = load.World(speeds=())
    configure(world)
    world.add_engine('cold', 20, 40, cold_seconds=5.0)
    world.run(5, factor=4)
    load.play(4.9)
    times = world.arrivals_by_engine['cold']
    assert times
    assert all(
        sum(start <= time < start + 1 for time in times) <= 17
        for start in times
    )


def test_leaving_back_ends_get_nothing_more() -> None:
    """Drain and evacuation: no request goes there from then on."""
    world = load.World()
    world.run(20, factor=0.5)
    load.play(5)
    world.add_engine('e0', 0.6, draining=True)
    world.add_engine('e1', 1, zone='gone')
    world.change(registry.Kind.evacuations, 'gone', 'gone')
    left = {name: len(world.arrivals_by_engine[name]) for name in ('e0', 'e1')}
    load.play(10)
    for name, before in left.items():
        assert len(world.arrivals_by_engine[name]) == before


def test_lost_back_end_frees_its_requests() -> None:
    """Crash: runs of a back end that vanished hold no slots."""
    world = load.World(speeds=(1,))
    world.run(5)
    load.play(2)
    world.change(registry.Kind.engines, 'e0', None)
    world.add_engine('e9', 1)
    load.play(30)
    assert world.peak_by_engine['e9'] > 0


@pytest.mark.parametrize('gone', [True, False])
def test_vanished_node_holds_slots_for_a_while(gone: bool) -> None:
    """Node lost: its runs are counted until back ends have stopped them."""
    world = load.World(speeds=(1,), slots=1)
    world.broker.submit('other/1', asking.make_ask(1))
    if gone:
        world.broker.drop_owner('other/1')
    load.play(5)
    by_engine = world.broker.engines.by_engine
    free = by_engine['e0'].count_free(1)
    assert free == int(gone)


def test_request_that_breaks_back_ends_is_refused() -> None:
    """Crashing request: it reaches three back ends and no more."""
    world = load.World(speeds=(1, 1, 1, 1, 1))
    engines = []
    for number in range(5):
        entry = asking.make_ask(number, fingerprint=99)
        replies = []
        world.broker._reply = lambda owner, reply, to=replies: to.append(reply)
        world.broker.submit('other/1', entry)
        reply = replies[0]
        if isinstance(reply, ask.Grant):
            engines.append(reply.engine)
            world.broker.finish('other/1', ask.Report(number, ask.Outcome.cut))
            by_engine = world.broker.engines.by_engine
            by_engine[reply.engine].paused_until = 1e9
    assert len(set(engines)) == 3
    assert reply.reason is ask.Reason.suspect


def test_repeats_stay_within_their_budget() -> None:
    """Grey back ends: repeats stop at the budget of the service."""
    world = load.World(
        bounds=place.Bounds(retry_ratio=0.2, retry_slack=10),
        speeds=(1,) * 4,
        slots=100,
    )
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply)
    for number in range(200):
        entry = asking.make_ask(number, repeats=number % 2)
        world.broker.submit('other/1', entry)
    granted = sum(isinstance(reply, ask.Grant) for reply in replies)
    refused = [one for one in replies if isinstance(one, ask.Refusal)]
    assert {one.reason for one in refused} == {ask.Reason.no_budget}
    assert granted - 100 <= 0.2 * 100 + 10


class LineCounter:
    """Counts the lines that run, as a measure of work.

    Attributes:
        lines: The lines that ran.
    """

    def __init__(self) -> None:
        """Start with none."""
        self.lines = 0

    def trace(
        self, frame: types.FrameType, event: str, detail: object
    ) -> 'Tracer':
        """Follow the interpreter, see ``sys.settrace``.

        Args:
            frame: Passed over.
            event: What happened.
            detail: Passed over.

        Returns:
            What follows the function that begins.
        """
        self.lines += event == 'line'
        return self.trace


Tracer = collections.abc.Callable[[types.FrameType, str, object], object]


def count_lines(step: collections.abc.Callable[[], None]) -> int:
    """Count the lines that a step runs.

    Args:
        step: The step.

    Returns:
        The lines.
    """
    counter = LineCounter()
    before = sys.gettrace()
    sys.settrace(counter.trace)
    try:
        step()
    finally:
        sys.settrace(before)
    return counter.lines


def measure_work(crowded: crowd.Crowd, waiting: int) -> tuple[int, int]:
    """Measure the work of the broker's steps.

    Args:
        crowded: The crowd.
        waiting: The requests that wait.

    Returns:
        The lines that run to submit a request and to end a run.
    """
    crowded.fill(waiting)
    return count_lines(crowded.submit), count_lines(crowded.end_run)


def test_decision_takes_no_longer_the_more_wait() -> None:
    """Overload: a queue of thousands makes a decision no dearer.

    With work that grew with the queue, the broker fell behind and answered
    late, and callers who came back kept it so long after the burst.
    """
    crowded = crowd.Crowd(40)
    few = measure_work(crowded, 100)
    many = measure_work(crowded, 2000)
    assert many[0] < few[0] * 1.3
    assert many[1] < few[1] * 1.3


def test_node_that_comes_back_asks_anew() -> None:
    """Half-open link: an ask that comes twice waits and is granted once.

    The broker may not have noticed yet that the earlier link is gone.
    """
    world = load.World(speeds=(1,), slots=1)
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply.number)
    for number in (1, 2, 3):
        world.broker.submit('other/1', asking.make_ask(number))
    running = ask.Running(asking.make_ask(1), 'e0')
    world.broker.adopt('other/1', [running], [])
    # The third was withdrawn while the link was down.
    world.broker.submit('other/1', asking.make_ask(2))
    for ended in (1, 2):
        report = ask.Report(ended, ask.Outcome.abandoned)
        world.broker.finish('other/1', report)
    assert replies == [1, 2]
    assert not world.broker.count_waiting()
    by_engine = world.broker.engines.by_engine
    assert by_engine['e0'].count_free(1) == 1
