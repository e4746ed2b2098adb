"""Checks guarantees of the system against what callers and engines saw."""

import collections
import math

from pimentoway.nodes import link
from pimentoway.platform import recording_engine, soak_fixture
from pimentoway.soak import caller, fleet, stage, stall

Outcomes = list[caller.Outcome]
Runs = list[recording_engine.Run]
Arrivals = list[recording_engine.Arrival]
Partitions = list[stage.Partition]

#: Seconds by which an answer may exceed the deadline of its request, because
#: all processes of a soak share one host.
SLACK_SECONDS = 0.5

#: The kinds of requests that engines run at most once.
AT_MOST_ONCE_KINDS = frozenset(('unsafe', 'stream'))

#: The HTTP statuses that guarantee that no engine ran the request.
NOT_RUN_STATUSES = frozenset((400, 401, 404, 408, 421, 429, 503))

#: Seconds within which a node heeds a notice of an engine, and the most
#: requests that it may send later nevertheless.
NOTICE_SECONDS = 0.5
MAX_LATE_REQUESTS = 2

#: Seconds after the beginning of a partition, and after a disturbance of a
#: node, in which its share doesn't count.
PARTITION_SECONDS = 3

#: The least share of its calls that nodes without paths serve, of the others'
#: share, and the failures that are allowed whatever the share: a number, and
#: so many of all calls.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILURES = 10
MAX_FAILED_SHARE = 0.02

#: The fewest calls to the other nodes with which shares are compared.
MIN_COMPARED_CALLS = 10

#: Seconds after the recovery in which requests may still fail: nodes avoid a
#: back end that failed for up to 2 s before they try it again.
SETTLE_SECONDS = 4.0

#: Seconds by which stalls of this process may delay that at most, so that a
#: soak ends on a machine that stalls again and again.
MAX_DELAY_SECONDS = 60.0

SECONDS_PER_MILLISECOND = 0.001


def list_violations(outcomes: Outcomes, runs: Runs) -> list[str]:
    """List the violated guarantees.

    Args:
        outcomes: The outcomes of the callers' requests.
        runs: The runs of all engines.

    Returns:
        A sentence for each violation, with the request and its outcome.
    """
    run_count_by_id = collections.Counter(run.request_id for run in runs)
    return [
        f'{outcome.request_id} ({outcome.kind} at '
        f'{outcome.node.settings.name}, sent {outcome.sent_at:.3f}, ended '
        f'{outcome.ended_at:.3f} {outcome.ending.value} '
        f'{outcome.status}): {text}'
        for outcome in outcomes
        for text in _check_outcome(outcome, run_count_by_id[outcome.request_id])
    ]


def _check_outcome(outcome: caller.Outcome, run_count: int) -> list[str]:
    violations = _check_run_count(outcome, run_count)
    if outcome.ending is caller.Ending.wrong:
        violations.append('got another answer than its own')
    if outcome.node.was_disturbed(outcome.sent_at, outcome.ended_at):
        return violations
    if _is_late(outcome):
        violations.append('took longer than its deadline')
    # A node may close an idle kept-alive connection just as the next request
    # arrives, so only new connections count.
    if outcome.ending is caller.Ending.closed and outcome.first_on_connection:
        violations.append('got no answer on a new connection')
    return violations


def _check_run_count(outcome: caller.Outcome, run_count: int) -> list[str]:
    violations = []
    if outcome.kind in AT_MOST_ONCE_KINDS and run_count > 1:
        violations.append(f'ran {run_count} times')
    if run_count > soak_fixture.MAX_ATTEMPTS:
        violations.append(f'ran {run_count} times, more than its attempts')
    if outcome.status in NOT_RUN_STATUSES and run_count:
        violations.append('was refused as not run, but ran')
    if outcome.ending is caller.Ending.exact and not run_count:
        violations.append('was answered without having run')
    return violations


def _is_late(outcome: caller.Outcome) -> bool:
    limit = (
        soak_fixture.DEADLINE_MILLISECONDS * SECONDS_PER_MILLISECOND
        + SLACK_SECONDS
    )
    return outcome.ended_at - outcome.sent_at > limit


def list_ignored_notices(outcomes: Outcomes, arrivals: Arrivals) -> list[str]:
    """List the requests that reached an engine against its notices.

    Args:
        outcomes: The outcomes of the callers' requests.
        arrivals: The requests that reached one engine, whose connections were
            not disturbed, in order.

    Returns:
        A sentence for each notice that a node ignored.
    """
    outcomes_by_id = {outcome.request_id: outcome for outcome in outcomes}
    sent = [
        (arrival, outcomes_by_id[arrival.request_id])
        for arrival in arrivals
        if arrival.request_id in outcomes_by_id
    ]
    return [
        f'{given.request_id}: {outcome.node.settings.name} ignored a notice, '
        f'leaving {given.leaving}, pause {given.pause_seconds}: {late}'
        for given, outcome in sent
        if given.leaving or given.pause_seconds
        for late in (_list_late(given, outcome, sent),)
        if len(late) > MAX_LATE_REQUESTS
    ]


def _list_late(
    given: recording_engine.Arrival,
    outcome: caller.Outcome,
    sent: list[tuple[recording_engine.Arrival, caller.Outcome]],
) -> list[str]:
    # The requests that the node sent to the engine against a notice.
    end = math.inf if given.leaving else given.time + given.pause_seconds
    return [
        arrival.request_id
        for arrival, later in sent
        if later.node is outcome.node
        and arrival.start == given.start
        and given.time + NOTICE_SECONDS < arrival.time < end
        and not outcome.node.was_disturbed(given.time, arrival.time)
    ]


def list_unserved(outcomes: Outcomes, partitions: Partitions) -> list[str]:
    """List the partitions in which callers of cut nodes were served far worse.

    Args:
        outcomes: The outcomes of the callers' requests.
        partitions: The times in which nodes were cut from all engines.

    Returns:
        A sentence for each.
    """
    return [
        f'{sorted(partition.nodes)}, cut from all engines '
        f'{partition.start:.3f} to {partition.end:.3f}, served {sum(cut)} of '
        f'{len(cut)} requests, the others {sum(others)} of {len(others)}'
        for partition in partitions
        for cut, others in (_split_served(outcomes, partition, partitions),)
        if _is_unserved(cut, others)
    ]


def _split_served(
    outcomes: Outcomes, partition: stage.Partition, partitions: Partitions
) -> tuple[list[bool], list[bool]]:
    # Whether each request was served: those to nodes of the partition, while
    # any other node could serve them, and those to nodes that were in none.
    reaching = _find_reaching(outcomes, partition, partitions)
    counted = [
        outcome
        for outcome in outcomes
        if _counts_for(outcome, outcome.node, partition)
    ]
    cut = [
        outcome.ending is caller.Ending.exact
        for outcome in counted
        if outcome.node.settings.name in partition.nodes
        and any(_counts_for(outcome, other, partition) for other in reaching)
    ]
    others = [
        outcome.ending is caller.Ending.exact
        for outcome in counted
        if outcome.node in reaching
    ]
    return cut, others


def _find_reaching(
    outcomes: Outcomes, partition: stage.Partition, partitions: Partitions
) -> list[fleet.Node]:
    # The nodes that were in no partition meanwhile.
    unreaching = {
        name
        for other in partitions
        if other.start < partition.end and partition.start < other.end
        for name in other.nodes
    }
    node_by_name = {
        outcome.node.settings.name: outcome.node for outcome in outcomes
    }
    return [
        node for name, node in node_by_name.items() if name not in unreaching
    ]


def _counts_for(
    outcome: caller.Outcome, node: fleet.Node, partition: stage.Partition
) -> bool:
    settled = outcome.sent_at - PARTITION_SECONDS
    if settled < partition.start or outcome.sent_at >= partition.end:
        return False
    return not node.was_disturbed(settled, outcome.ended_at)


def _is_unserved(cut: list[bool], others: list[bool]) -> bool:
    failures = len(cut) - sum(cut)
    allowed = MAX_FAILURES + MAX_FAILED_SHARE * (len(cut) + len(others))
    if failures <= allowed or len(others) < MIN_COMPARED_CALLS:
        return False
    return sum(cut) / len(cut) < MIN_SERVED_RATIO * sum(others) / len(others)


def find_recovery(mended_at: float, stalls: list[stall.Stall]) -> float:
    """Find when every request has to succeed again.

    All connections between nodes pass through this process. A stall of more
    than ``link.SILENCE_SECONDS`` ends all links, so the nodes need the same
    time as after any other fault.

    Args:
        mended_at: When all faults had ended, in seconds of the monotonic
            clock.
        stalls: The stalls of this process so far.

    Returns:
        The time on that clock.
    """
    ended_links = [
        found.end
        for found in stalls
        if found.end - found.start > link.SILENCE_SECONDS
    ]
    disturbed_until = max((mended_at, *ended_links))
    delayed_until = min(disturbed_until, mended_at + MAX_DELAY_SECONDS)
    return delayed_until + SETTLE_SECONDS


def list_failed_after_recovery(
    outcomes: Outcomes, recovered_at: float
) -> list[str]:
    """List the requests that failed although all faults had ended.

    Args:
        outcomes: The outcomes of the callers' requests.
        recovered_at: When the system must have recovered, in seconds of the
            monotonic clock; requests sent earlier are ignored.

    Returns:
        A sentence for each.
    """
    return [
        f'{outcome.request_id} ({outcome.kind} at '
        f'{outcome.node.settings.name}, sent {outcome.sent_at:.3f}) ended '
        f'{outcome.ending.value} {outcome.status} after all faults ended'
        for outcome in outcomes
        if outcome.sent_at > recovered_at
        and outcome.ending is not caller.Ending.exact
    ]
