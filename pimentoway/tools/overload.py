"""The overload curve: the value of each tier at up to five times the capacity.

``standin.smallfleet`` simulates the callers on the paused clock, so the figures
are the same on every VM.
"""

import sys

import msgspec

from pimentoway.ops import broker, slot
from pimentoway.standin import contention, smallfleet
from pimentoway.tools import pattern

#: Loads relative to the capacity; the others are compared with the first.
RATIOS = (1, 1.5, 2, 3, 5)

SEEDS = (1, 2)

#: Seconds for which requests arrive.
LOAD_SECONDS = 20.0

#: The target that all requests have in a queue in order of arrival, in seconds.
EQUAL_TARGET_SECONDS = 0.45


class ArrivalOrder(pattern.EarliestTarget):
    """Has one queue in order of arrival."""

    def submit(self, requester: str, request: slot.SlotRequest) -> None:
        """Accept a slot request, see ``Broker.submit``.

        Args:
            requester: The node that sent the request.
            request: The slot request.
        """
        equal = msgspec.structs.replace(
            request, target_left=EQUAL_TARGET_SECONDS
        )
        super().submit(requester, equal)


POLICIES = (
    pattern.Policy('pimentoway', broker.Broker),
    pattern.Policy('pimentoway, fair admission', contention.FAIR_BROKER),
    pattern.Policy('one queue, in order of arrival', ArrivalOrder),
    pattern.Policy('one queue, by deadline', pattern.EarliestTarget),
)


def measure_curve(policy: pattern.Policy) -> list[tuple[float, ...]]:
    """Measure the value at each load under a policy.

    Args:
        policy: The policy.

    Returns:
        For each load, the value of the answers relative to that at the first
        load, in absolute terms (the goodput), and the part of its possible
        value that each tier got relative to that at the first load.
    """
    rows = []
    for ratio in RATIOS:
        tallies = smallfleet.measure_worth(
            policy.broker_class, ratio, SEEDS, LOAD_SECONDS
        )
        total = smallfleet.add_up(tallies.values())
        rows.append(
            (
                total.earned - total.lost,
                *(tally.compute_ratio() for tally in tallies.values()),
            )
        )
    first = rows[0]
    return [
        tuple(part / whole for part, whole in zip(row, first, strict=True))
        for row in rows
    ]


def run() -> int:
    """Print a table with a row for each policy and load.

    Returns:
        The exit status.
    """
    kinds = ' | '.join(smallfleet.WORTH_BY_KIND)
    sys.stdout.write(
        f'\n| policy | load | goodput | {kinds} |\n|---|---|---|---|---|---|\n'
    )
    for policy in POLICIES:
        curve = measure_curve(policy)
        for ratio, row in zip(RATIOS, curve, strict=True):
            cells = ' | '.join(f'{part:.3f}' for part in row)
            sys.stdout.write(f'| {policy.name} | {ratio} | {cells} |\n')
    return 0
