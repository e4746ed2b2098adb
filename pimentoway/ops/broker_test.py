"""Tests of the broker under simulated load, on the paused clock.

Each doc comment begins with the load or the failure that the test simulates.
"""

import collections
import dataclasses
import sys
import types

import msgspec
import pytest

from pimentoway.core import deployment, nodesetting, registry
from pimentoway.ops import slot
from pimentoway.standin import backlog, load, slotrequest

DRAFT, NOTE, DIGEST = load.KINDS


def make_customer(name: str, rate: float, burst: float) -> deployment.Customer:
    """Make a customer.

    Args:
        name: Its name.
        rate: Its quota in tokens a second.
        burst: The size of its token bucket.

    Returns:
        The customer.
    """
    return deployment.Customer(name, (name,), None, rate, burst, True, 200)


def configure(world: load.World, *customers: deployment.Customer) -> None:
    """Put a configuration with customers and the service into force.

    Args:
        world: The simulated broker, back ends and callers.
        *customers: The customers.
    """
    configured = deployment.Deployment(
        1,
        (),
        {
            slotrequest.SERVICE: deployment.Service(
                slotrequest.SERVICE, 100, 17, 6
            )
        },
        {one.name: one for one in customers},
        deployment.CallerLimits(),
    )
    world.change(registry.Kind.configuration, 'main', configured)


def test_low_load_meets_its_latency_targets() -> None:
    """Low load: nearly all requests are answered within their target."""
    world = load.World()
    world.run(20, factor=0.4)
    load.play(40)
    for kind in load.KINDS:
        assert world.count(kind.name).measure_timely() > 0.97


def test_burst_does_not_delay_the_highest_tier() -> None:
    """Burst: nearly all requests of the highest tier meet their target."""
    world = load.World()
    world.run(20)
    load.play(40)
    draft = world.count(DRAFT.name).measure_timely()
    assert draft > 0.9
    assert draft >= world.count(DIGEST.name).measure_timely()


def test_long_answers_leave_slots_for_urgent_ones() -> None:
    """Burst of long answers of a low tier: urgent ones meet their target."""
    world = load.World()
    world.run(20, (dataclasses.replace(DIGEST, rate=60),))
    load.play(3)
    world.run(15, (dataclasses.replace(DRAFT, rate=8),))
    load.play(60)
    assert world.count(DRAFT.name).measure_timely() > 0.95


def test_lowest_tier_is_not_starved() -> None:
    """Long overload: the lowest tier is served a quarter as often as all."""
    world = load.World()
    world.run(30, factor=2.5)
    load.play(80)
    served = sum(
        world.count(kind.name).measure_served() * kind.rate
        for kind in load.KINDS
    ) / sum(kind.rate for kind in load.KINDS)
    assert world.count(DIGEST.name).measure_served() > served / 4


def test_retries_do_not_displace_new_requests() -> None:
    """Retries after refusals: most answers go to requests still in time."""
    world = load.World()
    world.run(25, factor=2.2)
    load.play(60)
    draft = world.count(DRAFT.name)
    assert draft.timely > 3 * draft.late


def test_new_request_precedes_a_late_retry() -> None:
    """Retry after a refusal: its target counts from the first attempt."""
    world = load.World(speeds=())
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply)
    late = slotrequest.make_slot_request(1, fingerprint=7, target_left=0.5)
    world.broker.submit('other/1', late)
    assert replies.pop().reason is slot.Reason.no_backend
    load.play(0.6)
    world.add_engine('e0', 1, 1)
    world.broker.submit(
        'other/1', slotrequest.make_slot_request(2, target_left=0.5)
    )
    world.broker.submit('other/1', msgspec.structs.replace(late, number=3))
    world.broker.submit(
        'other/1', slotrequest.make_slot_request(4, target_left=0.5)
    )
    world.broker.finish('other/1', slot.Report(2, slot.Outcome.answered))
    assert [reply.number for reply in replies] == [2, 4]


def test_granted_request_is_no_retry_later() -> None:
    """Same request of many callers: a grant clears an earlier refusal."""
    world = load.World(speeds=())
    page = slotrequest.make_slot_request(1, fingerprint=7, target_left=0.5)
    world.broker.submit('other/1', page)
    load.play(1)
    world.add_engine('e0', 1, 1)
    world.broker.submit('other/1', msgspec.structs.replace(page, number=2))
    world.broker.finish('other/1', slot.Report(2, slot.Outcome.answered))
    assert world.broker._admission.restore_target(page) == page


def test_last_slots_are_reserved_for_urgent_ones() -> None:
    """Many requests of a low tier: an urgent one gets a slot at once."""
    world = load.World(speeds=(1,), slots=25)
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply)
    world.broker.submit(
        'other/1', slotrequest.make_slot_request(0, route='draft')
    )
    for number in range(1, 31):
        request = slotrequest.make_slot_request(number, route='digest', rank=2)
        world.broker.submit('other/1', request)
    assert len(replies) == 23
    world.broker.submit(
        'other/1', slotrequest.make_slot_request(99, route='draft')
    )
    assert replies[-1].number == 99


def test_median_refusal_comes_early() -> None:
    """Overload: half of the refusals come within 0.6 seconds."""
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


def test_no_back_end_gets_more_than_its_slots() -> None:
    """Overload: no back end runs more requests than it has slots."""
    world = load.World()
    world.run(15, factor=3)
    load.play(40)
    assert max(world.peak_by_engine.values()) == 6


def test_slow_back_end_delays_few_urgent_requests() -> None:
    """Slow back end: most urgent requests still meet their target.

    Long answers avoid a back end that is too slow for their deadline.
    """
    world = load.World(speeds=(0.1, 1, 1))
    world.run(20, factor=0.4)
    load.play(60)
    assert world.count(DRAFT.name).measure_timely() > 0.9


def test_greedy_customer_stays_within_its_quota() -> None:
    """Greedy customer: it gets its quota and at most twice the limit.

    It sends for 8 seconds, the window of the quotas, which may overlap two
    such windows.
    """
    bounds = nodesetting.Bounds(quota_slack=10_000)
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
    """Busy service: requests beyond a quota are refused at once."""
    world = load.World(speeds=(1,))
    configure(world, make_customer('greedy', 1000, 2000))
    world.run(10, factor=1)
    load.play(3)
    for _ in range(50):
        world.send(NOTE, 'greedy', 500)
    load.play(0.01)
    count = world.count(NOTE.name, 'greedy')
    assert len(count.refusal_waits) > 40


def test_cold_back_end_gets_at_most_its_cold_rate() -> None:
    """Cold start: in any second a back end gets at most its cold rate."""
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


def test_leaving_back_ends_get_no_more_requests() -> None:
    """Drain and evacuation: the back ends get no further request."""
    world = load.World()
    world.run(20, factor=0.5)
    load.play(5)
    world.add_engine('e0', 0.6, draining=True)
    world.add_engine('e1', 1, zone='gone')
    world.change(registry.Kind.evacuations, 'gone', 'gone')
    arrivals_before = {
        name: len(world.arrivals_by_engine[name]) for name in ('e0', 'e1')
    }
    load.play(10)
    for name, before in arrivals_before.items():
        assert len(world.arrivals_by_engine[name]) == before


def test_replacement_of_a_lost_back_end_is_used() -> None:
    """Crash: the open runs of a lost back end hold up no other requests."""
    world = load.World(speeds=(1,))
    world.run(5)
    load.play(2)
    world.change(registry.Kind.engines, 'e0', None)
    world.add_engine('e9', 1)
    load.play(30)
    assert world.peak_by_engine['e9'] > 0


@pytest.mark.parametrize('vanished', [True, False])
def test_vanished_node_holds_slots_for_a_while(vanished: bool) -> None:
    """Lost node: its runs hold slots until back ends have stopped them."""
    world = load.World(speeds=(1,), slots=1)
    world.broker.submit('other/1', slotrequest.make_slot_request(1))
    if vanished:
        world.broker.drop_owner('other/1')
    load.play(5)
    by_engine = world.broker.engines.by_engine
    free = by_engine['e0'].count_free(1)
    assert free == int(vanished)


def test_request_that_breaks_back_ends_is_refused() -> None:
    """Request that breaks connections: it reaches three back ends only."""
    world = load.World(speeds=(1, 1, 1, 1, 1))
    engines = []
    for number in range(5):
        request = slotrequest.make_slot_request(number, fingerprint=99)
        replies = []
        world.broker._reply = lambda owner, reply, to=replies: to.append(reply)
        world.broker.submit('other/1', request)
        reply = replies[0]
        if isinstance(reply, slot.Grant):
            engines.append(reply.engine)
            world.broker.finish(
                'other/1', slot.Report(number, slot.Outcome.cut)
            )
            by_engine = world.broker.engines.by_engine
            by_engine[reply.engine].paused_until = 1e9
    assert len(set(engines)) == 3
    assert reply.reason is slot.Reason.suspect


def test_repeats_stay_within_the_retry_budget() -> None:
    """Failing back ends: repeats beyond the retry budget are refused."""
    world = load.World(
        bounds=nodesetting.Bounds(retry_ratio=0.2, retry_slack=10),
        speeds=(1,) * 4,
        slots=100,
    )
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply)
    for number in range(200):
        request = slotrequest.make_slot_request(number, repeats=number % 2)
        world.broker.submit('other/1', request)
    granted = sum(isinstance(reply, slot.Grant) for reply in replies)
    refused = [one for one in replies if isinstance(one, slot.Refusal)]
    assert {one.reason for one in refused} == {slot.Reason.no_budget}
    assert granted - 100 <= 0.2 * 100 + 10


class LineCounter:
    """Counts executed lines of code, as a measure of work.

    Attributes:
        lines: The lines executed.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.lines = 0

    def trace(
        self, frame: types.FrameType, event: str, detail: object
    ) -> 'Tracer':
        """Count a line, as the trace function of ``sys.settrace``.

        Args:
            frame: Ignored.
            event: The kind of event; only ``line`` counts.
            detail: Ignored.

        Returns:
            This method, to trace nested calls as well.
        """
        self.lines += event == 'line'
        return self.trace


Tracer = collections.abc.Callable[[types.FrameType, str, object], object]


def count_lines(step: collections.abc.Callable[[], None]) -> int:
    """Count the lines that a call executes.

    Args:
        step: What to call.

    Returns:
        The lines executed.
    """
    counter = LineCounter()
    before = sys.gettrace()
    sys.settrace(counter.trace)
    try:
        step()
    finally:
        sys.settrace(before)
    return counter.lines


def count_work(busy_broker: backlog.Backlog, waiting: int) -> tuple[int, int]:
    """Count the work of the broker while many requests wait.

    Args:
        busy_broker: The broker and its waiting requests.
        waiting: How many requests should wait.

    Returns:
        The lines executed to submit a request, and to end a run.
    """
    busy_broker.fill_queue(waiting)
    return count_lines(busy_broker.submit), count_lines(
        busy_broker.finish_oldest_running
    )


def test_decision_work_does_not_grow_with_queue() -> None:
    """Overload: a decision costs the same with 100 and with 2000 waiting.

    When the work grew with the queue, the broker fell behind and replied late,
    and the callers' retries kept it overloaded long after the burst.
    """
    busy_broker = backlog.Backlog(40)
    few = count_work(busy_broker, 100)
    many = count_work(busy_broker, 2000)
    assert many[0] < few[0] * 1.3
    assert many[1] < few[1] * 1.3


def test_resubmitted_request_is_granted_once() -> None:
    """Half-open link: a request that is sent twice is queued and granted once.

    The node opens a new link and sends its waiting requests again before the
    broker has noticed that the earlier link is closed.
    """
    world = load.World(speeds=(1,), slots=1)
    replies = []
    world.broker._reply = lambda owner, reply: replies.append(reply.number)
    for number in (1, 2, 3):
        world.broker.submit('other/1', slotrequest.make_slot_request(number))
    running = slot.ActiveGrant(slotrequest.make_slot_request(1), 'e0')
    world.broker.adopt('other/1', [running], [])
    # Request 3 was withdrawn while the link was down.
    world.broker.submit('other/1', slotrequest.make_slot_request(2))
    for ended in (1, 2):
        report = slot.Report(ended, slot.Outcome.abandoned)
        world.broker.finish('other/1', report)
    assert replies == [1, 2]
    assert not world.broker.count_waiting()
    by_engine = world.broker.engines.by_engine
    assert by_engine['e0'].count_free(1) == 1
