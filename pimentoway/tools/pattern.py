"""The benchmark of loads: the broker against plain baselines of our own.

Callers, back ends and time are those of ``standin.load``, on the paused clock
and without a network, so the figures are the same on every machine.
"""

import collections
import dataclasses
import statistics
import sys
import types

import msgspec

from pimentoway.core import registry
from pimentoway.ops import broker, slot
from pimentoway.standin import load

#: The requests that wait at a back end before it says that it is full; the
#: users' engines keep 36.
QUEUE = 36

#: Seconds after which the baseline asks callers to return.
RETURN_SECONDS = 0.3

#: The part of the capacity that is asked for when nothing special happens.
USUAL_FACTOR = 0.6

#: Seconds for which requests come, when the special part begins, and what the
#: last requests need to end.
LOAD_SECONDS = 20.0
SPECIAL_START = 6.0
SPECIAL_SECONDS = 5.0
REST_SECONDS = 25.0

#: What is asked for in addition, as parts of the capacity: to come to twice the
#: capacity, and to a peak below it.
DOUBLING_FACTOR = 1.4
PEAK_FACTOR = 0.3

#: The speeds of nine back ends in three failure domains.
SPEEDS = (0.6, 1.0, 1.7) * 3

#: How many of the usual rates nine back ends serve.
CAPACITY_FACTOR = 3.0

#: What an answer of each kind is worth, and the part that is left of it after
#: the goal: the means of the users' sheets.
WORTH_BY_KIND = types.MappingProxyType(
    {'draft': 5.8, 'note': 1.8, 'digest': 0.88},
)
LATE_PART = 0.3

DRAFT, NOTE, DIGEST = load.KINDS


class LeastInFlight(broker.Broker):
    """Sends each request at once to where the fewest are under way."""

    def submit(self, owner: str, entry: slot.SlotRequest) -> None:
        """Accept a slot request, see ``Broker.submit``.

        Args:
            owner: The node that asks.
            entry: The slot request.
        """
        usable = self.engines.by_engine.values()
        here = min(usable, key=lambda one: len(one.run_by_key))
        if len(here.run_by_key) >= here.engine.slots + QUEUE:
            refusal = slot.Refusal(
                entry.number, slot.Reason.overloaded, RETURN_SECONDS
            )
            self._reply(owner, refusal)
            return
        here.start((owner, entry.number), entry)
        self._reply(owner, slot.Grant(entry.number, here.engine.name))

    def finish(self, owner: str, report: slot.Report) -> None:
        """Take a report, see ``Broker.finish``.

        Args:
            owner: The node.
            report: What became of the run.
        """
        here = self.engines.find_engine((owner, report.number))
        if here:
            here.end((owner, report.number), report)

    def tick(self) -> None:
        """Do nothing: nothing waits here."""


class EarliestGoal(broker.Broker):
    """Has one queue like the product's, but knows no kinds of requests."""

    def submit(self, owner: str, entry: slot.SlotRequest) -> None:
        """Accept a slot request, see ``Broker.submit``.

        Args:
            owner: The node that asks.
            entry: The slot request.
        """
        blind = msgspec.structs.replace(
            entry, route='all', rank=0, work_tokens=0, output_tokens=0
        )
        super().submit(owner, blind)


@dataclasses.dataclass(frozen=True)
class Policy:
    """What decides.

    Attributes:
        name: Its name in the table.
        kind: Its class.
    """

    name: str
    kind: type[broker.Broker]


POLICIES = (
    Policy('pimentoway', broker.Broker),
    Policy('one queue, earliest goal', EarliestGoal),
    Policy('least in flight', LeastInFlight),
)

Special = collections.abc.Callable[[load.World], None]


def _pass_by(world: load.World) -> None:
    """Let nothing special happen."""


def _burst_drafts(world: load.World) -> None:
    world.run(SPECIAL_SECONDS, (DRAFT,), CAPACITY_FACTOR * 2)


def _burst_digests(world: load.World) -> None:
    world.run(SPECIAL_SECONDS, (DIGEST,), CAPACITY_FACTOR * 2)


def _double(world: load.World) -> None:
    world.run(SPECIAL_SECONDS, factor=CAPACITY_FACTOR * DOUBLING_FACTOR)


def _lose_zone(world: load.World) -> None:
    world.run(SPECIAL_SECONDS, factor=CAPACITY_FACTOR * PEAK_FACTOR)
    for engine in list(world.speed_by_engine)[:3]:
        world.change(registry.Kind.engines, engine, None)


def _slow_down(world: load.World) -> None:
    for engine in list(world.speed_by_engine)[:2]:
        world.speed_by_engine[engine] = 0.1


SPECIAL_BY_NAME = types.MappingProxyType(
    {
        'calm': _pass_by,
        'burst of long prompts': _burst_drafts,
        'burst of long answers': _burst_digests,
        'twice the load': _double,
        'failure domain lost at peak': _lose_zone,
        'two stragglers': _slow_down,
    },
)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What came of a load.

    Attributes:
        timely_by_kind: The part of each kind that was answered in its goal.
        worth: The worth that was earned, as a part of all that was asked for.
        refused: The part that was refused for good.
        refusal: The median of the seconds that a refusal took to come.
    """

    timely_by_kind: dict[str, float]
    worth: float
    refused: float
    refusal: float


def measure(special: Special, policy: Policy) -> Outcome:
    """Play a load under a policy.

    Args:
        special: What happens beside the usual load.
        policy: The policy.

    Returns:
        What came of it.
    """
    world = load.World(speeds=SPEEDS, policy=policy.kind)
    world.run(LOAD_SECONDS, factor=CAPACITY_FACTOR * USUAL_FACTOR)
    load.play(SPECIAL_START)
    special(world)
    load.play(LOAD_SECONDS + REST_SECONDS)
    return summarize({kind.name: world.count(kind.name) for kind in load.KINDS})


def measure_worth(count_by_kind: dict[str, load.Count]) -> float:
    """Measure the worth that was earned.

    Args:
        count_by_kind: What became of the requests of each kind.

    Returns:
        The part of all that was asked for.
    """
    earned: float = 0
    owed: float = 0
    for kind, count in count_by_kind.items():
        worth = WORTH_BY_KIND[kind]
        earned += worth * (count.timely + LATE_PART * count.late)
        owed += worth * count.asked
    return earned / owed


def summarize(count_by_kind: dict[str, load.Count]) -> Outcome:
    """Sum up what callers got.

    Args:
        count_by_kind: What became of the requests of each kind.

    Returns:
        The figures.
    """
    counts = tuple(count_by_kind.values())
    waits = [wait for one in counts for wait in one.refusal_waits]
    refused = sum(one.refused for one in counts)
    return Outcome(
        {name: one.measure_timely() for name, one in count_by_kind.items()},
        measure_worth(count_by_kind),
        refused / sum(one.asked for one in counts),
        statistics.median(waits) if waits else 0,
    )


def run() -> int:
    """Print the table of all patterns and policies.

    Returns:
        The exit status.
    """
    kinds = ' | '.join(kind.name for kind in load.KINDS)
    sys.stdout.write(
        f'\n| pattern | policy | {kinds} | worth | refused | refusal, s |\n'
        '|---|---|---|---|---|---|---|---|\n',
    )
    for name, special in SPECIAL_BY_NAME.items():
        for policy in POLICIES:
            got = measure(special, policy)
            timely = ' | '.join(
                f'{got.timely_by_kind[kind.name]:.3f}' for kind in load.KINDS
            )
            sys.stdout.write(
                f'| {name} | {policy.name} | {timely} | {got.worth:.3f} | '
                f'{got.refused:.3f} | {got.refusal:.2f} |\n',
            )
    return 0
