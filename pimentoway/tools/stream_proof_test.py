"""Tests that a caller gets the whole response to its request or an error."""

import collections

import pytest

from pimentoway.standin import cluster, model, shape
from pimentoway.tools import node_test


@pytest.fixture(name='simulation')
def build_simulation() -> cluster.Cluster:
    """Build two failure domains with two nodes each.

    Returns:
        The simulated deployment.
    """
    return cluster.Cluster(shape.Shape())


def count_runs(simulation: cluster.Cluster, request_id: str) -> int:
    """Count the engines that ran a request.

    Args:
        simulation: The simulated deployment.
        request_id: The identifier of the request.

    Returns:
        The number of engines.
    """
    return sum(1 for run in simulation.list_runs() if run.run_id == request_id)


@pytest.mark.parametrize('after', [1, 5, 9])
def test_dropped_stream_is_resumed(
    simulation: cluster.Cluster, after: int
) -> None:
    """A stream that breaks off resumes with no token lost or repeated."""
    for engine in simulation.engines_by_name.values():
        engine.traits.cut_after = after
    sent = simulation.chat(simulation.list_nodes()[0])
    simulation.advance(5)
    assert sent.text == node_test.expect_text('A caption.', 10)
    assert count_runs(simulation, sent.request_id) == 1


def test_tokens_repeated_on_resume_are_dropped(
    simulation: cluster.Cluster,
) -> None:
    """A token that an engine sends again on resumption is forwarded once."""
    for engine in simulation.engines_by_name.values():
        engine.traits.cut_after = 5
        engine.traits.doubling = True
    sent = simulation.chat(simulation.list_nodes()[0])
    simulation.advance(5)
    assert sent.text == node_test.expect_text('A caption.', 10)


def test_event_of_other_request_is_not_forwarded(
    simulation: cluster.Cluster,
) -> None:
    """An event with the identifier of another request reaches no caller."""
    for engine in simulation.engines_by_name.values():
        engine.traits.foreign_after = 4
    sent = simulation.chat(simulation.list_nodes()[0])
    simulation.advance(5)
    assert sent.text == node_test.expect_text('A caption.', 10)


def test_engine_crash_ends_a_stream_as_unknown(
    simulation: cluster.Cluster,
) -> None:
    """A stream whose engine crashed ends in 2 seconds and is not run again."""
    sent = simulation.chat(simulation.list_nodes()[0], tokens=100)
    simulation.advance(0.5)
    for engine in simulation.engines_by_name.values():
        if engine.count_running():
            engine.crash()
    simulation.advance(5)
    assert sent.outcome == 'outcome_unknown'
    assert sent.ended - sent.sent < 2
    assert count_runs(simulation, sent.request_id) == 1


def test_refused_connection_tries_another_engine(
    simulation: cluster.Cluster,
) -> None:
    """A request is sent to another engine if no connection was made."""
    engines = list(simulation.engines_by_name.values())
    for engine in engines[:-1]:
        engine.crash()
    sent = simulation.chat(simulation.list_nodes()[0])
    simulation.advance(4)
    assert sent.outcome == 'answered'
    assert count_runs(simulation, sent.request_id) == 1


def test_response_without_text_is_a_failure(
    simulation: cluster.Cluster,
) -> None:
    """A stream that ends without any text is reported as failed."""
    for engine in simulation.engines_by_name.values():
        engine.traits.blank = True
    sent = simulation.chat(simulation.list_nodes()[0])
    simulation.advance(5)
    assert sent.outcome == 'failed'


def test_deadline_cancels_the_run(simulation: cluster.Cluster) -> None:
    """A run past its deadline is cancelled and ends as unknown at once."""
    sent = simulation.chat(simulation.list_nodes()[0], tokens=5000)
    simulation.advance(simulation.shape.deadline + 1)
    assert sent.outcome == 'outcome_unknown'
    assert sent.ended - sent.sent < simulation.shape.deadline + 0.5
    states = {run.state for run in simulation.list_runs()}
    assert states == {model.RunState.cancelled}


def test_frozen_engine_does_not_hold_the_response() -> None:
    """A request at a frozen engine ends as unknown by its deadline."""
    simulation = cluster.Cluster(shape.Shape(deadline=13))
    for engine in simulation.engines_by_name.values():
        engine.traits.frozen = True
    sent = simulation.chat(simulation.list_nodes()[0])
    simulation.advance(simulation.shape.deadline + 1)
    assert sent.outcome == 'outcome_unknown'
    assert sent.ended - sent.sent < simulation.shape.deadline + 0.5


def test_crashing_request_is_quarantined() -> None:
    """A request that crashes engines crashes two at most when it is resent."""
    simulation = cluster.Cluster(
        shape.Shape(engines=tuple(model.Traits() for _ in range(4))),
    )
    nodes = simulation.list_nodes()
    for turn in range(12):
        simulation.chat(nodes[turn % len(nodes)], prompt=model.CRASH_PROMPT)
        simulation.advance(2)
    crashes = [engine.crashes for engine in simulation.engines_by_name.values()]
    assert sum(crashes) == 1
    simulation.advance(700)
    for turn in range(12):
        simulation.chat(nodes[turn % len(nodes)], prompt=model.CRASH_PROMPT)
        simulation.advance(2)
    crashes = [engine.crashes for engine in simulation.engines_by_name.values()]
    assert sum(crashes) <= 2


# The beginning of prompts crashes engines, and no two bodies are alike.
def test_crashing_beginning_is_quarantined() -> None:
    """Requests that share it crash five engines at most."""
    simulation = cluster.Cluster(
        shape.Shape(engines=tuple(model.Traits() for _ in range(4))),
    )
    nodes = simulation.list_nodes()
    beginning = f'{model.CRASH_PROMPT} {"Describe the page. " * 400}'
    for turn in range(20):
        simulation.chat(
            nodes[turn % len(nodes)], prompt=f'{beginning} Page {turn}.'
        )
        simulation.advance(2)
    crashes = [engine.crashes for engine in simulation.engines_by_name.values()]
    assert sum(crashes) <= 5


def test_requests_beside_a_crashing_one_run_again() -> None:
    """Requests on a crashed engine are suspected only for a while."""
    simulation = cluster.Cluster(
        shape.Shape(zones=('norte',), engines=(model.Traits(),))
    )
    node = simulation.list_nodes()[0]
    for _ in range(30):
        simulation.chat(node, prompt='Ends the ramp.')
        simulation.advance(0.4)
    prompts = [f'Innocent {number}' for number in range(3)]
    for prompt in prompts:
        simulation.chat(node, prompt=prompt, tokens=50)
    simulation.chat(node, prompt=model.CRASH_PROMPT)
    simulation.advance(30)
    outcomes = collections.Counter(
        request.outcome for request in simulation.requests
    )
    assert outcomes['outcome_unknown'] == 4
    retried = [
        simulation.chat(node, prompt=prompt, tokens=50) for prompt in prompts
    ]
    simulation.advance(19)
    assert {request.outcome for request in retried} == {'answered'}
    engine = simulation.engines_by_name['engine-norte-0']
    assert engine.crashes == 1


def test_each_caller_gets_its_own_response(simulation: cluster.Cluster) -> None:
    """Concurrent streams, some of them broken and resumed, do not mix."""
    nodes = simulation.list_nodes()
    for number in range(60):
        simulation.chat(nodes[number % len(nodes)], prompt=f'Prompt {number}.')
        simulation.advance(0.03)
        if number % 10 == 0:
            for engine in simulation.engines_by_name.values():
                engine.traits.cut_after = 3
    simulation.advance(20)
    outcomes = collections.Counter(
        request.outcome for request in simulation.requests
    )
    assert outcomes == {'answered': 60}
    for position, request in enumerate(simulation.requests):
        expected = node_test.expect_text(f'Prompt {position}.', 10)
        assert request.text == expected
