"""Proofs that each caller gets the whole answer to its own request, or none."""

import collections

import pytest

from pimentoway.standin import model, shape, world
from pimentoway.tools import node_test


@pytest.fixture(name='small')
def build_small() -> world.World:
    """Build two failure domains with two nodes each.

    Returns:
        The world.
    """
    return world.World(shape.Shape())


def count_runs(small: world.World, request_id: str) -> int:
    """Count the engines that ran a request.

    Args:
        small: The world.
        request_id: The identifier of the request.

    Returns:
        The runs.
    """
    return sum(1 for run in small.list_runs() if run.run_id == request_id)


@pytest.mark.parametrize('after', [1, 5, 9])
def test_dropped_stream_is_resumed(small: world.World, after: int) -> None:
    """A dropped stream goes on without a lost or doubled token."""
    for engine in small.engines_by_name.values():
        engine.traits.cut_after = after
    sent = small.chat(small.list_nodes()[0])
    small.advance(5)
    assert sent.text == node_test.expect_text('A caption.', 10)
    assert count_runs(small, sent.request_id) == 1


def test_doubled_tokens_are_dropped(small: world.World) -> None:
    """A token that an engine repeats on resumption is passed on once."""
    for engine in small.engines_by_name.values():
        engine.traits.cut_after = 5
        engine.traits.doubling = True
    sent = small.chat(small.list_nodes()[0])
    small.advance(5)
    assert sent.text == node_test.expect_text('A caption.', 10)


def test_foreign_event_is_not_passed_on(small: world.World) -> None:
    """An event that answers another request reaches nobody."""
    for engine in small.engines_by_name.values():
        engine.traits.foreign_after = 4
    sent = small.chat(small.list_nodes()[0])
    small.advance(5)
    assert sent.text == node_test.expect_text('A caption.', 10)


def test_crash_in_a_stream_is_told(small: world.World) -> None:
    """A stream whose engine crashed ends as unknown and runs nowhere else."""
    sent = small.chat(small.list_nodes()[0], tokens=100)
    small.advance(0.5)
    for engine in small.engines_by_name.values():
        if engine.count_running():
            engine.crash()
    small.advance(5)
    assert sent.outcome == 'outcome_unknown'
    assert sent.ended - sent.sent < 2
    assert count_runs(small, sent.request_id) == 1


def test_refused_connection_goes_elsewhere(small: world.World) -> None:
    """A connection that was never made is tried at another engine."""
    engines = list(small.engines_by_name.values())
    for engine in engines[:-1]:
        engine.crash()
    sent = small.chat(small.list_nodes()[0])
    small.advance(4)
    assert sent.outcome == 'answered'
    assert count_runs(small, sent.request_id) == 1


def test_blank_answer_is_failed(small: world.World) -> None:
    """An answer without any text is a failed one."""
    for engine in small.engines_by_name.values():
        engine.traits.blank = True
    sent = small.chat(small.list_nodes()[0])
    small.advance(5)
    assert sent.outcome == 'failed'


def test_deadline_ends_a_run(small: world.World) -> None:
    """A run that outlasts its deadline is cancelled and told at once."""
    sent = small.chat(small.list_nodes()[0], tokens=5000)
    small.advance(small.shape.deadline + 1)
    assert sent.outcome == 'outcome_unknown'
    assert sent.ended - sent.sent < small.shape.deadline + 0.5
    states = {run.state for run in small.list_runs()}
    assert states == {model.RunState.cancelled}


def test_frozen_engine_does_not_hold_the_answer() -> None:
    """A request on a frozen engine is answered by its deadline."""
    small = world.World(shape.Shape(deadline=13))
    for engine in small.engines_by_name.values():
        engine.traits.frozen = True
    sent = small.chat(small.list_nodes()[0])
    small.advance(small.shape.deadline + 1)
    assert sent.outcome == 'outcome_unknown'
    assert sent.ended - sent.sent < small.shape.deadline + 0.5


def test_crash_request_takes_few_engines_down() -> None:
    """A request that crashes engines, resent everywhere, stops at two."""
    small = world.World(
        shape.Shape(engines=tuple(model.Traits() for _ in range(4))),
    )
    nodes = small.list_nodes()
    for turn in range(12):
        small.chat(nodes[turn % len(nodes)], prompt=model.POISON)
        small.advance(2)
    crashes = [engine.crashes for engine in small.engines_by_name.values()]
    assert sum(crashes) == 1
    small.advance(700)
    for turn in range(12):
        small.chat(nodes[turn % len(nodes)], prompt=model.POISON)
        small.advance(2)
    crashes = [engine.crashes for engine in small.engines_by_name.values()]
    assert sum(crashes) <= 2


def test_innocents_of_a_crash_are_cleared() -> None:
    """Requests that died beside the guilty one run again after a while."""
    small = world.World(
        shape.Shape(zones=('norte',), engines=(model.Traits(),))
    )
    node = small.list_nodes()[0]
    for _ in range(30):
        small.chat(node, prompt='Ends the ramp.')
        small.advance(0.4)
    prompts = [f'Innocent {one}' for one in range(3)]
    for prompt in prompts:
        small.chat(node, prompt=prompt, tokens=50)
    small.chat(node, prompt=model.POISON)
    small.advance(30)
    outcomes = collections.Counter(one.outcome for one in small.attempts)
    assert outcomes['outcome_unknown'] == 4
    again = [small.chat(node, prompt=one, tokens=50) for one in prompts]
    small.advance(19)
    assert {one.outcome for one in again} == {'answered'}
    engine = small.engines_by_name['engine-norte-0']
    assert engine.crashes == 1


def test_each_caller_gets_its_own_answer(small: world.World) -> None:
    """Many streams at once, some dropped, stay apart."""
    nodes = small.list_nodes()
    for number in range(60):
        small.chat(nodes[number % len(nodes)], prompt=f'Prompt {number}.')
        small.advance(0.03)
        if number % 10 == 0:
            for engine in small.engines_by_name.values():
                engine.traits.cut_after = 3
    small.advance(20)
    outcomes = collections.Counter(one.outcome for one in small.attempts)
    assert outcomes == {'answered': 60}
    for position, attempt in enumerate(small.attempts):
        expected = node_test.expect_text(f'Prompt {position}.', 10)
        assert attempt.text == expected
