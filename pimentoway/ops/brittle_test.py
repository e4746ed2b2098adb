"""Tests of the limit on brittle back ends, on the paused clock."""

import msgspec
import pytest

from pimentoway.ops import brittle, slot
from pimentoway.standin import brittle as standin
from pimentoway.standin import paused_loop

#: The seconds after which requests follow a room that became less.
ADAPTATION_SECONDS = 2.0


def make_fleet(
    room: int, factor: float = 2, **shape: float
) -> standin.BrittleFleet:
    """Start back ends whose room became less some time ago.

    Args:
        room: The requests that each runs at once now.
        factor: The load, relative to what the room bears.
        **shape: The size of the fleet.

    Returns:
        The fleet.
    """
    fleet = standin.BrittleFleet(standin.Shape(**shape))
    fleet.load(factor, 2 * ADAPTATION_SECONDS + 9)
    paused_loop.advance(ADAPTATION_SECONDS)
    fleet.set_room(room)
    paused_loop.advance(ADAPTATION_SECONDS)
    return fleet


def count_falls(fleet: standin.BrittleFleet) -> int:
    """Count the falls of all back ends.

    Args:
        fleet: The fleet.

    Returns:
        The number of falls.
    """
    return sum(engine.falls for engine in fleet.engines.values())


# Back ends that bear few rejections were full, rejected what came in their
# first moment, and fell.
@pytest.mark.parametrize('factor', [2, 10])
@pytest.mark.parametrize('room', [1, 2, 4])
@pytest.mark.parametrize('tolerated', [1, 2, 5])
def test_rejections_stay_tolerated(
    tolerated: int, room: int, factor: int
) -> None:
    """Nine tenths of the room are used all the same."""
    fleet = make_fleet(room, factor, tolerated=tolerated)
    assert fleet.measure_use(5) >= 0.9
    for engine in fleet.engines.values():
        assert engine.measure_rejections() <= tolerated
    assert not count_falls(fleet)


# A back end that was back after a fall got a full set of requests, and fell
# again.
def test_restarted_engine_starts_with_few() -> None:
    """Its room is learnt anew, from one request on."""
    fleet = make_fleet(2, tolerated=1)
    for _ in range(3):
        fleet.restart('e0')
        paused_loop.advance(2)
    fleet.restart('e0')
    fleet.set_room(standin.SLOTS)
    paused_loop.advance(0.05)
    assert fleet.engines['e0'].running <= 2
    paused_loop.advance(1)
    assert fleet.engines['e0'].running > 4
    assert not count_falls(fleet)


@pytest.mark.parametrize('room', [1, 2, 4])
@pytest.mark.parametrize('tolerated', [1, 2, 5])
def test_brokers_share_what_is_tolerated(tolerated: int, room: int) -> None:
    """A back end falls once at most, as two brokers learn its room."""
    fleet = make_fleet(room, tolerated=tolerated, brokers=2)
    paused_loop.advance(9)
    assert all(engine.falls <= 1 for engine in fleet.engines.values())


# A back end that still counted a request when its answer was there rejected
# the next one.
@pytest.mark.parametrize('room', [1, 2, 4])
@pytest.mark.parametrize('tolerated', [1, 2, 5])
def test_late_counts_cost_no_falls(tolerated: int, room: int) -> None:
    """Such a back end gets the next request a little later."""
    fleet = make_fleet(room, tolerated=tolerated, lag_seconds=0.02)
    paused_loop.advance(9)
    assert not count_falls(fleet)


def test_limit_ends_with_the_notice() -> None:
    """Back ends that are sound again get as much as their entries tell."""
    fleet = make_fleet(1)
    fleet.is_brittle = False
    fleet.set_room(standin.SLOTS)
    assert fleet.measure_use(5) > 0.9


def test_new_engine_of_a_brittle_service() -> None:
    """It starts like one that is back after a fall."""
    fleet = make_fleet(standin.SLOTS)
    fleet.engines['e9'] = standin.EngineModel()
    fleet.announce('e9')
    paused_loop.advance(0.05)
    assert fleet.engines['e9'].running <= 2


# A first rejection by a back end that was nearly idle was taken for its room,
# and the next request was rejected, too.
def test_first_rejection_shows_lost_room() -> None:
    """What ran before the room became less proves nothing."""
    limit = brittle.Limit('e')
    answered = slot.Report(1, slot.Outcome.answered, tolerated_rejections=1)
    limit.note_end(1, answered, 2)
    limit.note_start(2, 3)
    for _ in range(3):
        paused_loop.advance(brittle.MAX_STEP_SECONDS)
        limit.may_start(3, 1)
    limit.note_start(3, 4)
    limit.note_end(3, slot.Report(3, slot.Outcome.shed), 3)
    assert not limit.may_start(2, 1)
    assert limit.may_start(0, 1)


# A request that had come before the room became less was taken for a proof of
# the old one.
def test_earlier_starts_prove_no_room() -> None:
    """What they show was true before."""
    limit = brittle.Limit('e')
    answered = slot.Report(1, slot.Outcome.answered, tolerated_rejections=1)
    limit.note_end(1, answered, 3)
    limit.note_start(2, 4)
    limit.note_start(3, 5)
    limit.note_end(3, slot.Report(3, slot.Outcome.shed), 4)
    limit.note_end(2, msgspec.structs.replace(answered, number=2), 3)
    assert not limit.may_start(2, 1)


# The process was stopped while rejections came, and the next request was
# rejected, too.
def test_pause_of_the_process_proves_nothing() -> None:
    """A request without a rejection may still be rejected afterwards."""
    limit = brittle.Limit('e')
    answered = slot.Report(1, slot.Outcome.answered, tolerated_rejections=1)
    limit.note_end(1, answered, 2)
    limit.note_start(2, 3)
    paused_loop.advance(1)
    assert not limit.may_start(2, 1)
    paused_loop.advance(brittle.VERIFICATION_SECONDS)
    assert limit.may_start(2, 1)


@pytest.mark.parametrize(
    ('outcome', 'stated', 'tolerated'),
    [
        (slot.Outcome.answered, slot.NO_LIMIT, None),
        (slot.Outcome.answered, None, 2),
        (slot.Outcome.misdirected, slot.NO_LIMIT, 2),
        (slot.Outcome.shed, 0, 0),
    ],
)
def test_limit_follows_answers(
    outcome: slot.Outcome, stated: int | None, tolerated: int | None
) -> None:
    """An answer of another back end, or one that can't be read, ends none."""
    limit = brittle.Limit('e')
    first = slot.Report(1, slot.Outcome.answered, tolerated_rejections=2)
    limit.note_end(1, first, 0)
    report = slot.Report(2, outcome, tolerated_rejections=stated)
    limit.note_end(2, report, 0)
    assert limit.tolerated == tolerated


# Three brokers that share what a back end tolerates each try for themselves.
@pytest.mark.xfail(strict=True)
def test_three_brokers_share_one_rejection() -> None:
    """No back end falls more often than once, as with two brokers."""
    fleet = make_fleet(1, tolerated=1, brokers=3)
    paused_loop.advance(5)
    assert all(engine.falls <= 1 for engine in fleet.engines.values())
