"""Tests of a node that has lost its paths to all engines.

Three whole nodes over real sockets, three engines, one proxy between each node
and each engine.
"""

import functools

import gevent
import pytest

from pimentoway.core import clock
from pimentoway.platform import node_group, soak_fixture
from pimentoway.soak import caller, check, path_proxy

Cut = path_proxy.Cut

#: The nodes that are cut in turn; node 0 has the broker.
CUT_NODES = (0, 1)

#: Seconds of calls before the cut that count, after a start that doesn't.
START_SECONDS = 1
CALM_SECONDS = 4

#: Seconds after the cut in which calls don't count, and then do.
SETTLE_SECONDS = 3
COUNTED_SECONDS = 4

#: The least share served at the cut node, of the share at the others; for each
#: kind alone one failure more is allowed, as it has a quarter of the calls.
MIN_CUT_RATIO = 0.9
MIN_KIND_RATIO = 0.8

#: The least share served at the others, of their share before the cut.
MIN_OTHERS_RATIO = 0.97


def play(cut_node: int, how: Cut, unframed: bool) -> list[str]:
    """Cut a node from all engines while each node is called.

    Args:
        cut_node: The index of the node.
        how: How its paths are cut.
        unframed: Whether half of the streams end with their connection.

    Returns:
        What callers or engines saw that must not be, a sentence each.
    """
    group = node_group.NodeGroup(unframed)
    assert group.wait_until_attached()
    group.call_all(START_SECONDS)
    calm = clock.read_monotonic()
    group.call_all(CALM_SECONDS)
    cut_at = clock.read_monotonic()
    group.cut(cut_node, how)
    group.call_all(SETTLE_SECONDS + COUNTED_SECONDS)
    group.finish()
    return [
        *list_shares(group, cut_node, calm, cut_at),
        *list_wrong_runs(group),
    ]


def list_shares(
    group: node_group.NodeGroup, cut_node: int, calm: float, cut_at: float
) -> list[str]:
    """List the shares that are too small.

    Args:
        group: The nodes, after the calls.
        cut_node: The index of the cut node.
        calm: When the calls before the cut began to count.
        cut_at: When the paths were cut.

    Returns:
        A sentence for each.
    """
    others = [node for node in range(node_group.SIZE) if node != cut_node]
    period = (
        cut_at + SETTLE_SECONDS,
        cut_at + SETTLE_SECONDS + COUNTED_SECONDS,
    )
    before = group.measure_share(others, calm, cut_at)
    after = group.measure_share(others, *period)
    small = []
    if after < MIN_OTHERS_RATIO * before:
        small.append(f'others {after:.3f}, before the cut {before:.3f}')
    for kind in ('', *soak_fixture.REQUEST_KINDS):
        own = group.measure_share([cut_node], *period, kind)
        other = group.measure_share(others, *period, kind)
        ratio = MIN_KIND_RATIO if kind else MIN_CUT_RATIO
        if own < ratio * other:
            small.append(f'cut node {kind}: {own:.3f}, others {other:.3f}')
    return small


def list_wrong_runs(group: node_group.NodeGroup) -> list[str]:
    """List the calls whose runs break a promise.

    Args:
        group: The nodes, after the calls.

    Returns:
        A sentence for each that ran twice, or ran although it was refused, or
        got another answer than its own.
    """
    run_count_by_id = group.count_runs()
    return [
        f'{outcome} ran {runs} times'
        for outcome in group.outcomes
        for runs in (run_count_by_id[outcome.request_id],)
        if (runs > 1 and outcome.kind in check.AT_MOST_ONCE_KINDS)
        or (runs and outcome.status in check.NOT_RUN_STATUSES)
        or outcome.ending is caller.Ending.wrong
    ]


@functools.cache
def play_both(how: Cut, unframed: bool) -> dict[int, list[str]]:
    """Cut the node with the broker, and in another group one without.

    Args:
        how: How the paths are cut.
        unframed: Whether half of the streams end with their connection.

    Returns:
        What must not be, by the index of the cut node.
    """
    tasks = {
        node: gevent.spawn(play, node, how, unframed) for node in CUT_NODES
    }
    return {node: tasks[node].get() for node in CUT_NODES}


RED = pytest.mark.xfail(strict=True, raises=AssertionError)


# Guards against callers of a node that are refused because it has lost its
# paths to the engines, and against others that are served less because of it.
@pytest.mark.parametrize('cut_node', CUT_NODES)
@pytest.mark.parametrize(
    ('how', 'unframed'),
    [
        pytest.param(Cut.refused, False, marks=RED),
        pytest.param(Cut.reset, False, marks=RED),
        pytest.param(Cut.hanging, False, marks=RED),
        (Cut.kept, False),
        # The connections that are kept become fewer with each stream.
        pytest.param(Cut.kept, True, marks=RED),
    ],
)
def test_node_without_paths_serves_as_the_others(
    how: Cut, unframed: bool, cut_node: int
) -> None:
    """From 3 s after the cut, whatever the kind of the route."""
    assert not play_both(how, unframed)[cut_node]
