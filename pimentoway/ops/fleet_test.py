"""Tests of a node's state of a back end."""

import hypothesis
import pytest
from hypothesis import strategies

from pimentoway.core import configuration
from pimentoway.ops import fleet, limit, ramp
from pimentoway.standin import paused_loop


@pytest.fixture(name='warm')
def build_warm() -> fleet.BackendState:
    """Build a warm back end: 20 answers at the same speed.

    Returns:
        The state of the back end.
    """
    backend = configuration.Engine('one', '127.0.0.1:1', 'norte', 'text', 'v1')
    state = fleet.BackendState(backend)
    state.note_report(fleet.LoadReport('boot', 1000))
    for _ in range(20):
        state.note_answer(0.02, 1)
    return state


def test_two_slow_answers_start_a_ramp(warm: fleet.BackendState) -> None:
    """Two answers far slower than the best are taken as a cold start."""
    assert warm.ramp.phase is ramp.Phase.warm
    assert not warm.note_answer(0.2, 1)
    assert warm.note_answer(0.2, 1)
    assert warm.ramp.phase is ramp.Phase.cold


def test_single_slow_answers_start_no_ramp(warm: fleet.BackendState) -> None:
    """A normal answer between two slow ones resets the count."""
    warm.note_answer(0.2, 1)
    warm.note_answer(0.02, 1)
    warm.note_answer(0.2, 1)
    assert warm.ramp.phase is ramp.Phase.warm


def test_restart_starts_a_ramp(warm: fleet.BackendState) -> None:
    """A report with another boot identifier means a restart."""
    assert warm.note_report(fleet.LoadReport('again', 0))
    assert warm.ramp.phase is ramp.Phase.cold


def test_refused_connections_back_off(warm: fleet.BackendState) -> None:
    """Each consecutive refused connection doubles the time, to a bound."""
    pauses = []
    for _ in range(8):
        paused_loop.advance(0)
        warm.note_refused_connection()
        pauses.append(warm.health.backoff_until)
    assert pauses == sorted(pauses)
    assert pauses[-1] == pauses[-2]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.floats(0.001, 10), min_size=1, max_size=200),
)
def test_limit_stays_in_bounds(paces: list[float]) -> None:
    """No sequence of speeds moves the limit out of its bounds."""
    adaptive = limit.Limit()
    for pace in paces:
        adaptive.record_answer_pace(pace, int(adaptive.slots))
        assert limit.FLOOR_SLOTS <= adaptive.slots <= limit.CEILING_SLOTS


def test_token_burst_does_not_lower_the_limit(warm: fleet.BackendState) -> None:
    """Tokens that arrive together must not make other answers look slow."""
    before = warm.limit.slots
    for _ in range(10):
        warm.note_answer(0.0001, 1)
        for _ in range(10):
            warm.note_answer(0.02, 1)
    assert warm.limit.slots >= before
    assert warm.ramp.phase is ramp.Phase.warm


def test_one_waiting_request_keeps_the_limit(warm: fleet.BackendState) -> None:
    """A single waiting request is only about to join the batch."""
    before = warm.limit.slots
    for _ in range(20):
        paused_loop.advance(limit.WAITING_DECREASE_SECONDS)
        warm.note_report(fleet.LoadReport('boot', 1000, running=1, waiting=1))
    assert warm.limit.slots >= before


def test_waiting_requests_lower_the_limit(warm: fleet.BackendState) -> None:
    """The limit falls by the ratio of running to all requests."""
    warm.limit.slots = 20
    paused_loop.advance(limit.WAITING_DECREASE_SECONDS)
    warm.note_report(fleet.LoadReport('boot', 1000, running=8, waiting=4))
    assert abs(warm.limit.slots - 20 * 8 / 12) < 1
