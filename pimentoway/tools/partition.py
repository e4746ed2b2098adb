"""Benchmark of nodes that lose their paths to all back ends.

Nine whole nodes in one process, over real sockets; three of them, with the one
that has the broker, are cut from all back ends.
"""

import dataclasses
import itertools
import sys

from pimentoway.core import clock, error
from pimentoway.platform import node_group, recording_engine, soak_fixture
from pimentoway.soak import path_proxy

SIZE = node_group.Size(nodes=9, engines=6, slots=2)

#: The nodes that are cut, one in each failure domain; node 0 has the broker.
CUT_NODES = (0, 4, 8)

#: The cuts of the table.
CUTS = (path_proxy.Cut.reset, path_proxy.Cut.hanging)

#: The offered load, as a ratio to what the slots bear.
LOADS = (0.6, 1.2)

#: Seconds of calls that don't count, before the cut, after it until calls
#: count, and of those that do.
START_SECONDS = 2
CALM_SECONDS = 5
SETTLE_SECONDS = 3
COUNTED_SECONDS = 8

#: The latency target, in seconds.
TARGET_SECONDS = soak_fixture.LATENCY_TARGET_MILLISECONDS / 1000


def compute_capacity() -> float:
    """Compute the calls a second that the slots of all back ends bear.

    Returns:
        The calls, of all kinds in equal parts.
    """
    run = recording_engine.RUN_SECONDS
    stream = run + recording_engine.EVENT_GAP_SECONDS * (
        recording_engine.EVENTS_PER_STREAM + 1
    )
    return SIZE.engines * SIZE.slots / ((run + stream) / 2)


def measure(how: path_proxy.Cut, load: float) -> list[float]:
    """Cut nodes from all back ends while all nodes are called.

    Args:
        how: How their paths are cut.
        load: The offered load, as a ratio to ``compute_capacity``.

    Returns:
        Shares of calls: served and in time at the nodes that are not cut,
        before the cut; the same after it; and at those that are.

    Raises:
        InternalError: If the nodes did not agree on a broker.
    """
    group = node_group.NodeGroup(SIZE)
    if not group.wait_until_attached():
        raise error.InternalError('the nodes use several brokers', 'measure')
    rate = load * compute_capacity() / SIZE.nodes
    group.call_all(START_SECONDS, rate)
    calm = clock.read_monotonic()
    group.call_all(CALM_SECONDS, rate)
    cut_at = clock.read_monotonic()
    for node in CUT_NODES:
        group.cut(node, how)
    group.call_all(SETTLE_SECONDS + COUNTED_SECONDS, rate)
    group.finish()
    others = [index for index in range(SIZE.nodes) if index not in CUT_NODES]
    after = node_group.Period(cut_at + SETTLE_SECONDS, clock.read_monotonic())
    return [
        *_measure_shares(group, others, node_group.Period(calm, cut_at)),
        *_measure_shares(group, others, after),
        *_measure_shares(group, list(CUT_NODES), after),
    ]


def _measure_shares(
    group: node_group.NodeGroup, nodes: list[int], period: node_group.Period
) -> list[float]:
    in_time = dataclasses.replace(period, seconds=TARGET_SECONDS)
    return [
        group.measure_share(nodes, period),
        group.measure_share(nodes, in_time),
    ]


def run() -> int:
    """Print a table with a row for each cut and load.

    Returns:
        The exit status.
    """
    sys.stdout.write(
        '\n| 3 of 9 nodes without paths | load | others before: served, '
        'in time | others after | cut nodes after |\n|---|---|---|---|---|\n'
    )
    for how, load in itertools.product(CUTS, LOADS):
        shares = [f'{share:.3f}' for share in measure(how, load)]
        pairs = zip(shares[::2], shares[1::2], strict=True)
        cells = ' | '.join(', '.join(pair) for pair in pairs)
        sys.stdout.write(f'| {how.value} | {load} | {cells} |\n')
        sys.stdout.flush()
    return 0
