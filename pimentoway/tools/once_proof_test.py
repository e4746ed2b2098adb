"""Tests that unrepeatable calls run at most once and refusals are true."""

import pytest

from pimentoway.core import error
from pimentoway.standin import cluster, network, shape


@pytest.fixture(name='simulation')
def build_simulation() -> cluster.Cluster:
    """Build two failure domains with two nodes each.

    Returns:
        The simulated deployment.
    """
    return cluster.Cluster(shape.Shape())


def test_resend_gets_recorded_outcome(simulation: cluster.Cluster) -> None:
    """A finished call that is resent to another node gets the same response."""
    first_node, second_node = simulation.list_nodes()[:2]
    first = simulation.call_application(first_node, 'key')
    simulation.advance(2)
    other = simulation.call_application(second_node, 'key')
    simulation.advance(2)
    assert (first.outcome, other.outcome) == ('answered', 'answered')
    assert other.text == first.text
    assert simulation.count_executions('key') == 1


def test_concurrent_copies_run_once(simulation: cluster.Cluster) -> None:
    """A call that is sent to all nodes at once runs once."""
    requests = [
        simulation.call_application(node, 'key')
        for node in simulation.list_nodes()
    ]
    simulation.advance(15)
    assert simulation.count_executions('key') == 1
    outcomes = {request.outcome for request in requests}
    assert outcomes <= {'answered', 'outcome_unknown'}
    assert 'answered' in outcomes


def test_call_with_lost_response_is_not_run_again(
    simulation: cluster.Cluster,
) -> None:
    """Every resend of a call whose response was lost ends as unknown."""
    for application in simulation.applications_by_name.values():
        application.lost_answers = 1
    requests = []
    for node in simulation.list_nodes():
        requests.append(simulation.call_application(node, 'key'))
        simulation.advance(3)
    assert simulation.count_executions('key') == 1
    assert {request.outcome for request in requests} == {'outcome_unknown'}


@pytest.mark.parametrize(
    'fault', ['lost_answers', 'lost_writes', 'late_writes']
)
@pytest.mark.parametrize('times', [1, 2, 3])
def test_claim_is_settled_by_reading_back(
    simulation: cluster.Cluster, fault: str, times: int
) -> None:
    """A claim whose write was lost, late or unconfirmed runs the call once."""
    setattr(simulation.platform.faults, fault, times)
    node, other = simulation.list_nodes()[:2]
    first = simulation.call_application(node, 'key')
    resent = simulation.call_application(other, 'key')
    simulation.advance(20)
    third = simulation.call_application(other, 'key')
    simulation.advance(20)
    assert simulation.count_executions('key') == 1
    assert 'answered' in {first.outcome, resent.outcome, third.outcome}


def test_outage_refuses_unrepeatable_call_at_once(
    simulation: cluster.Cluster,
) -> None:
    """During a platform outage only unrepeatable calls are refused."""
    simulation.platform.set_down(down=True)
    node = simulation.list_nodes()[0]
    refused = simulation.call_application(node, 'key')
    chat = simulation.chat(node)
    simulation.advance(1)
    assert refused.outcome == 'not_run'
    assert 0 < refused.fault.retry_after
    assert refused.ended < refused.sent + 1
    assert chat.outcome == 'answered'
    simulation.platform.set_down(down=False)
    simulation.advance(refused.fault.retry_after)
    again = simulation.call_application(node, 'key')
    simulation.advance(5)
    assert again.outcome == 'answered'
    assert simulation.count_executions('key') == 1


def test_outcome_is_replayed_during_an_outage(
    simulation: cluster.Cluster,
) -> None:
    """A node that has the outcome in memory replays it without the platform."""
    node = simulation.list_nodes()[0]
    first = simulation.call_application(node, 'key')
    simulation.advance(2)
    simulation.platform.set_down(down=True)
    other = simulation.call_application(node, 'key')
    simulation.advance(2)
    assert other.outcome == 'answered'
    assert other.text == first.text


def test_claimed_call_of_killed_node_is_not_rerun(
    simulation: cluster.Cluster,
) -> None:
    """After its node died, a claimed call ends as unknown at other nodes."""
    node, other = simulation.list_nodes()[:2]
    simulation.call_application(node, 'key')
    simulation.advance(0.004)
    simulation.kill_node(node.settings.name)
    before = simulation.count_executions('key')
    resent = simulation.call_application(other, 'key')
    simulation.advance(20)
    assert resent.outcome == 'outcome_unknown'
    assert simulation.count_executions('key') == before


@pytest.mark.parametrize('milliseconds', range(0, 12, 2))
def test_frozen_node_does_not_run_a_call_twice(
    simulation: cluster.Cluster, milliseconds: int
) -> None:
    """A node that freezes around its claim and thaws late adds no run."""
    node, other = simulation.list_nodes()[:2]
    simulation.call_application(node, 'key')
    simulation.advance(milliseconds / 1000)
    host = simulation.hosts_by_name[node.settings.name]
    host.freeze()
    simulation.advance(8)
    resent = simulation.call_application(other, 'key')
    simulation.advance(8)
    host.thaw()
    simulation.advance(20)
    assert simulation.count_executions('key') <= 1
    assert resent.outcome != 'not_run'


def test_partition_does_not_run_a_call_twice(
    simulation: cluster.Cluster,
) -> None:
    """A call that is sent to both sides of a partition runs once."""
    simulation.network.cut('norte', 'sur')
    simulation.advance(10)
    first = simulation.call_application(
        simulation.list_nodes('norte')[0], 'key'
    )
    other = simulation.call_application(simulation.list_nodes('sur')[0], 'key')
    simulation.advance(20)
    simulation.network.heal()
    simulation.advance(20)
    assert simulation.count_executions('key') == 1
    assert 'not_run' not in {first.outcome, other.outcome}


def test_domain_without_platform_serves_chats(
    simulation: cluster.Cluster,
) -> None:
    """A domain cut off from the platform still serves repeatable requests."""
    simulation.network.cut('norte', network.PLATFORM)
    node = simulation.list_nodes('norte')[0]
    refused = simulation.call_application(node, 'key')
    chat = simulation.chat(node)
    answered = simulation.call_application(
        simulation.list_nodes('sur')[0], 'key-2'
    )
    simulation.advance(5)
    assert refused.outcome == 'not_run'
    assert chat.outcome == 'answered'
    assert answered.outcome == 'answered'


def test_key_with_another_body_is_refused(simulation: cluster.Cluster) -> None:
    """A key that is reused with another body is an error and runs nothing."""
    node, other = simulation.list_nodes()[:2]
    simulation.call_application(node, 'key')
    simulation.advance(2)
    reused = simulation.call_application(other, 'key', body=b'{"tag":2}')
    simulation.advance(2)
    assert isinstance(reused.fault, error.KeyReusedError)
    assert simulation.count_executions('key') == 1


def test_customers_may_use_the_same_key(simulation: cluster.Cluster) -> None:
    """Equal idempotency keys of two customers are two calls."""
    node = simulation.list_nodes()[0]
    simulation.call_application(node, 'key', customer=0)
    simulation.call_application(node, 'key', customer=1)
    simulation.advance(3)
    assert simulation.count_executions('key') == 2


def test_many_claims_share_writes(simulation: cluster.Cluster) -> None:
    """A burst of claims is batched to stay within the platform's write rate."""
    simulation.platform.faults.delay = 0.005
    nodes = simulation.list_nodes()
    before = simulation.platform.call_count_by_method['write']
    for number in range(1200):
        simulation.call_application(nodes[number % len(nodes)], f'key-{number}')
        if number % 24 == 0:
            simulation.advance(0.02)
    writes = simulation.platform.call_count_by_method['write'] - before
    # The burst lasts a second, and the platform takes several hundred writes
    # a second.
    assert writes <= 300
    simulation.advance(30)
    simulation.platform.faults.delay = 0
    runs = [
        simulation.count_executions(f'key-{number}') for number in range(1200)
    ]
    assert max(runs) == 1
