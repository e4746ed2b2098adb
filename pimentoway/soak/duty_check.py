"""Checks the calls of the holders of the duties against four rules.

The rules are those of docs/design/overview.md. They are checked over all
duties and subjects, which is stricter than for each subject alone.
"""

import dataclasses

from pimentoway.core import duty


@dataclasses.dataclass(frozen=True)
class Call:
    """A call that reached the API.

    Attributes:
        at: When, in seconds.
        holder: The node that sent it.
        token: Its fencing token.
        content: What it reports or orders; ``None`` if that is not checked.
        is_accepted: Whether the API accepted it.
    """

    at: float
    holder: str
    token: int
    content: duty.UsageReport | duty.EngineOrder | None = None
    is_accepted: bool = True


def list_violations(calls: list[Call], lease_seconds: float) -> list[str]:
    """Check all rules.

    Args:
        calls: The calls, in the order of their arrival.
        lease_seconds: The time within which holders must not alternate.

    Returns:
        A sentence for each violation.
    """
    return [
        *_check_reports(calls),
        *_check_tokens(calls),
        *_check_order(calls, lease_seconds),
    ]


def _check_reports(calls: list[Call]) -> list[str]:
    violations = []
    counts_by_window: dict[int, tuple] = {}
    for call in calls:
        report = call.content
        if not (isinstance(report, duty.UsageReport) and call.is_accepted):
            continue
        counts = counts_by_window.setdefault(report.window, report.counts)
        if counts != report.counts:
            violations.append(
                f'{call.holder} reported window {report.window} with '
                f'{report.counts} after {counts}'
            )
    return violations


def _check_tokens(calls: list[Call]) -> list[str]:
    violations = []
    holder_by_token: dict[int, str] = {}
    highest = 0
    for call in calls:
        holder = holder_by_token.setdefault(call.token, call.holder)
        if holder != call.holder:
            violations.append(
                f'{call.holder} sent token {call.token} of {holder}'
            )
        if call.token < highest:
            violations.append(
                f'{call.holder} sent token {call.token} after {highest}'
            )
        highest = max(highest, call.token)
    return violations


def _check_order(calls: list[Call], lease_seconds: float) -> list[str]:
    violations = []
    last_time_by_holder: dict[str, float] = {}
    holder = ''
    for call in calls:
        if call.holder != holder:
            last = last_time_by_holder.get(call.holder, float('-inf'))
            if call.at - last <= lease_seconds:
                violations.append(
                    f'{call.holder} acted {call.at - last:.3f} s after its '
                    f'last call, but {holder} acted between'
                )
        holder = call.holder
        last_time_by_holder[holder] = call.at
    return violations
