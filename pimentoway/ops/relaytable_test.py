"""Tests of a broker whose nodes have lost paths to back ends."""

import collections

import pytest

from pimentoway.core import registry
from pimentoway.ops import relaytable, slot
from pimentoway.standin import fleet, paused_loop

Cut = fleet.Cut
Outcome = slot.Outcome


def measure_shares(nodes: fleet.Fleet, seconds: float) -> dict[str, float]:
    """Measure which share of each node's requests is served.

    Args:
        nodes: The nodes.
        seconds: For how long requests are sent.

    Returns:
        The shares, by node.
    """
    sent = collections.Counter(nodes.sent)
    served = collections.Counter(nodes.served)
    paused_loop.advance(seconds)
    return {
        node: (nodes.served[node] - served[node])
        / (nodes.sent[node] - sent[node])
        for node in nodes.nodes
    }


# A node that had lost its paths was served nothing, and while its connections
# hung the others got a half to nine tenths.
@pytest.mark.parametrize('how', list(Cut))
@pytest.mark.parametrize(
    ('zones', 'cut'),
    [
        ('aabb', ('n1',)),
        ('aabb', ('n0', 'n1')),
        ('aaabbbccc', ('n0', 'n1', 'n2', 'n3', 'n4', 'n5')),
    ],
)
def test_nodes_without_paths_are_served(
    how: Cut, zones: str, cut: tuple[str, ...]
) -> None:
    """Their requests go through others, which lose nothing by it."""
    nodes = fleet.Fleet(zones, engines=5)
    nodes.call(*nodes.nodes)
    paused_loop.advance(2)
    nodes.cut(how, *cut)
    at_once = measure_shares(nodes, 3)
    later = measure_shares(nodes, 4)
    for node in nodes.nodes:
        assert later[node] > 0.9
        if node not in cut:
            assert at_once[node] > 0.95


@pytest.mark.parametrize('how', list(Cut))
def test_paths_are_used_again(how: Cut) -> None:
    """Paths that are no longer cut soon get all requests."""
    nodes = fleet.Fleet('aab')
    nodes.call(*nodes.nodes)
    paused_loop.advance(2)
    nodes.cut(how, 'n1')
    paused_loop.advance(8)
    assert nodes.broker.engines.paths.is_lost('n1')
    nodes.cut_by_path.clear()
    paused_loop.advance(4)
    nodes.grants.clear()
    paused_loop.advance(4)
    assert not any(grant.via for _, grant in nodes.grants)
    assert not nodes.broker.engines.paths.is_lost('n1')


# Runs that a lost node heard nothing of made their back ends count as slow,
# and a new version as bad.
@pytest.mark.parametrize('outcome', [Outcome.silent, Outcome.abandoned])
def test_lost_node_tells_nothing_of_speed(outcome: Outcome) -> None:
    """The speed of the back end stays as others measured it."""
    nodes = fleet.Fleet('aab')
    nodes.call(*nodes.nodes)
    paused_loop.advance(2)
    request = nodes.submit('n1')
    paused_loop.advance(0.1)
    key = ('n1/1', request.number)
    state = nodes.broker.engines.find_engine(key)
    nodes.cut(Cut.hanging, 'n1')
    paused_loop.advance(8)
    assert nodes.broker.engines.paths.is_lost('n1')
    before = state.relative_duration
    late = slot.Report(request.number, outcome, total_seconds=9)
    nodes.broker.finish('n1/1', late)
    assert key not in state.run_by_key
    assert state.relative_duration == before


# A lost node's requests went one by one to all back ends.
def test_lost_node_tries_few_paths() -> None:
    """About one request a second tries a path that is cut."""
    nodes = fleet.Fleet('aab', engines=9)
    nodes.call(*nodes.nodes)
    paused_loop.advance(2)
    nodes.cut(Cut.hanging, 'n1')
    paused_loop.advance(8)
    nodes.grants.clear()
    paused_loop.advance(10)
    tried = [
        grant
        for requester, grant in nodes.grants
        if requester == 'n1/1' and not grant.via
    ]
    assert len(tried) < 15


def test_node_without_a_relay_costs_no_other() -> None:
    """Its requests wait for a path, or are refused at once."""
    nodes = fleet.Fleet('aab')
    for node in nodes.nodes:
        nodes.simulation.change_record(registry.Kind.peers, node, None)
    nodes.call(*nodes.nodes)
    paused_loop.advance(2)
    nodes.cut(Cut.hanging, 'n1')
    paused_loop.advance(2)
    shares = measure_shares(nodes, 4)
    assert shares['n0'] > 0.95
    assert shares['n2'] > 0.95
    assert not shares['n1']


@pytest.mark.parametrize('how', list(Cut))
def test_restarted_back_ends_take_no_path(how: Cut) -> None:
    """All restart at once: no node is lost, and all are soon used again."""
    nodes = fleet.Fleet('aab')
    nodes.call(*nodes.nodes)
    paused_loop.advance(2)
    nodes.cut(how, *nodes.nodes)
    paused_loop.advance(2.5)
    nodes.cut_by_path.clear()
    for number in range(3):
        nodes.simulation.add_engine(f'e{number}', 1, born=2)
    paths = nodes.broker.engines.paths
    assert not paths.has_faults()
    paused_loop.advance(1)
    assert not any(paths.is_lost(node) for node in nodes.nodes)
    nodes.grants.clear()
    shares = measure_shares(nodes, 3)
    assert min(shares.values()) > 0.95
    assert not any(grant.via for _, grant in nodes.grants)


def lose(nodes: fleet.Fleet, node: str) -> None:
    """Let a node be lost.

    Args:
        nodes: The nodes.
        node: The node.
    """
    for engine in ('e0', 'e1'):
        others = tuple({'e0', 'e1', 'e2'} - {engine})
        request = nodes.submit(node, avoided=others)
        nodes.report(node, request.number, Outcome.unreachable)
        paused_loop.advance(0.1)
        for well in nodes.nodes[-2:]:
            request = nodes.submit(well, avoided=others)
            nodes.report(well, request.number, Outcome.answered)
    # It has tried a path a moment ago.
    nodes.broker.engines.paths.find(node).note_probe()
    nodes.grants.clear()


def test_back_end_beyond_a_lost_path_is_relayed() -> None:
    """A request that failed on the path goes there through another node."""
    nodes = fleet.Fleet('aab', engines=1)
    request = nodes.submit('n0')
    nodes.report('n0', request.number, Outcome.failed)
    request = nodes.submit('n0', avoided=('e0',))
    assert len(nodes.grants) == 1
    nodes.report('n0', request.number, Outcome.abandoned)
    request = nodes.submit('n0')
    nodes.report('n0', request.number, Outcome.unreachable)
    nodes.submit('n0', avoided=('e0',))
    assert nodes.grants[-1][1].via == 'n1'


def test_relay_is_chosen_by_domain_and_load() -> None:
    """Bytes between failure domains cost, and no relay gets all requests."""
    nodes = fleet.Fleet('abbcz')
    lose(nodes, 'n1')
    for _ in range(4):
        nodes.submit('n1', time_left=9)
    relays = collections.Counter(grant.via for _, grant in nodes.grants)
    # The back ends are in the domain 'z', and n1 in 'b'.
    assert relays == {'n2': 2, 'n4': 2}


def test_relay_that_takes_no_request_is_spared() -> None:
    """It is not used for a second, twice as long each further time."""
    nodes = fleet.Fleet('aaa')
    lose(nodes, 'n0')
    engines = nodes.broker.engines
    for pause in (1, 2, 4, 8, 8):
        engines.paths.find('n0').note_probe()
        for outcome in (Outcome.relay_lost, Outcome.unused):
            request = nodes.submit('n0')
            nodes.report('n0', request.number, outcome)
        paused_loop.advance(pause - 0.1)
        assert [peer.name for peer in engines.relays.find_usable('n0')] == [
            'n2'
        ]
        paused_loop.advance(0.2)
        assert len(list(engines.relays.find_usable('n0'))) == 2
    assert [grant.via for _, grant in nodes.grants[:2]] == ['n1', 'n2']


def test_relays_take_a_bounded_number() -> None:
    """Beyond it, requests wait for a relay."""
    nodes = fleet.Fleet('aab')
    nodes.simulation.change_record(registry.Kind.peers, 'n2', None)
    for number in range(3):
        nodes.simulation.add_engine(f'e{number}', 1, slots=99)
    lose(nodes, 'n0')
    for _ in range(relaytable.MAX_RELAYED_REQUESTS + 9):
        nodes.submit('n0')
    assert len(nodes.grants) == relaytable.MAX_RELAYED_REQUESTS


def test_adopted_runs_keep_their_relay() -> None:
    """What they show concerns the relay's path, also at the next broker."""
    nodes = fleet.Fleet('aab')
    request = nodes.submit('n0')
    nodes.report('n0', request.number, Outcome.unused)
    run = slot.ActiveGrant(request, 'e1', 'n1')
    nodes.broker.adopt('n0/1', [run], [])
    nodes.report('n0', request.number, Outcome.unreachable)
    paths = nodes.broker.engines.paths
    assert paths.find('n1').find_blamed('e1')
    assert not paths.find('n0').find_blamed('e1')


def crash(
    nodes: fleet.Fleet,
    node: str,
    number: int,
    avoided: tuple[str, ...] = (),
) -> None:
    """Let a request with the shared part 7 end as if it crashed a back end.

    Args:
        nodes: The nodes.
        node: The node that sends it.
        number: Its fingerprint. Through a relay it is abandoned.
        avoided: The back ends that don't get it.
    """
    request = nodes.submit(
        node, parts=(7,), fingerprint=number, avoided=avoided
    )
    paused_loop.advance(0.1)
    outcome = Outcome.crashed
    if any(
        grant.via and grant.number == request.number
        for _, grant in nodes.grants
    ):
        outcome = Outcome.abandoned
    nodes.report(node, request.number, outcome)


def test_crashes_that_others_refute_block_no_part() -> None:
    """Back ends answer other nodes after each of them."""
    engines = [f'e{number}' for number in range(5)]
    nodes = fleet.Fleet('aab', engines=5)
    for number, engine in enumerate(engines):
        avoided = tuple(set(engines) - {engine})
        crash(nodes, 'n0', number, avoided)
        paused_loop.advance(0.1)
        request = nodes.submit('n1', avoided=avoided)
        nodes.report('n1', request.number, Outcome.answered)
        request = nodes.submit('n0', avoided=(engine,))
        nodes.report('n0', request.number, Outcome.answered)
        paused_loop.advance(1)
    assert not nodes.broker.parts.is_blocked([('pool', 7)])


# A node whose paths are reset took the back ends for crashed, and sound
# prompts were blocked at all nodes.
def test_lost_node_blocks_no_part() -> None:
    """Neither those before it was known to be lost, nor later ones."""
    nodes = fleet.Fleet('aab')
    nodes.call('n1', 'n2')
    paused_loop.advance(2)
    for number in range(12):
        crash(nodes, 'n0', number)
        paused_loop.advance(0.1)
    paused_loop.advance(2)
    assert not nodes.broker.parts.is_blocked([('pool', 7)])


def test_crashes_that_no_node_refutes_count() -> None:
    """A part that crashes back ends is blocked soon."""
    nodes = fleet.Fleet('aab')
    for number in range(5):
        crash(nodes, nodes.nodes[number % 3], number)
        paused_loop.advance(3)
    assert nodes.broker.parts.is_blocked([('pool', 7)])
