"""Callers of a small fleet with few slots, and the value of their answers.

Five customers, two of them large, send all kinds of requests. A refused caller
comes back once: when it was told, but at most after a third of the time that it
has left. It measures its response time from its first attempt.
"""

import collections
import dataclasses
import types

import gevent

from pimentoway.core import clock
from pimentoway.ops import broker, slot
from pimentoway.standin import contention, load, paused_loop

ENGINES = 5
SLOTS = 6

#: The relative demands of the customers.
CUSTOMER_WEIGHTS = (6, 5, 1, 1, 1)

#: The value of an answer of average length, by kind: means of the users' data
#: sheets.
WORTH_BY_KIND = types.MappingProxyType(
    {'draft': 5.8, 'note': 1.8, 'digest': 0.88},
)

#: The fraction of the value that does not grow with the length of the answer.
FIXED_WORTH_FRACTION = 0.3

#: The part of its value that a late answer has, and the part that is lost by
#: refusing a caller that came back. Known deployments have 0.1 to 0.5 and 0.3.
LATE_FRACTION = 0.3
REFUSED_AGAIN_FRACTION = 0.3

#: Of how many callers one repeats at once while repeats are switched on, and
#: how often it does so.
REPEATING_ONE_IN = 3
REPEATS = 3

#: Seconds after the last arrival until all answers have ended.
DRAIN_SECONDS = 25.0


@dataclasses.dataclass
class WorthTally:
    """The value of the answers to some requests.

    Attributes:
        sent: The value if all requests were answered in time.
        earned: The value of the answers, without ``lost``.
        lost: The value lost by refusing callers that came back.
        attempts: The requests that the broker got.
    """

    sent: float = 0
    earned: float = 0
    lost: float = 0
    attempts: int = 0

    def compute_ratio(self) -> float:
        """Compute the value as a part of what was possible.

        Returns:
            The part, which may be negative; 0 if nothing was sent.
        """
        return (self.earned - self.lost) / self.sent if self.sent else 0

    def add(self, other: 'WorthTally') -> None:
        """Add other requests.

        Args:
            other: Their value.
        """
        self.sent += other.sent
        self.earned += other.earned
        self.lost += other.lost
        self.attempts += other.attempts


class SmallFleet(load.Simulation):
    """Callers who come back once, around a broker.

    Attributes:
        worth_by_group: The value by kind and whether the caller is one of
            those who repeat at once while repeats are switched on.
        is_storm: Whether they do so now.
    """

    def __init__(self, broker_class: type[broker.Broker], seed: int) -> None:
        """Start the engines.

        Args:
            broker_class: The class of the broker.
            seed: The seed of arrivals and lengths.
        """
        super().__init__(
            tuple(1 for _ in range(ENGINES)),
            SLOTS,
            broker_class=broker_class,
            seed=seed,
        )
        self.worth_by_group: dict[tuple[str, bool], WorthTally] = (
            collections.defaultdict(WorthTally)
        )
        self.is_storm = False
        self._callers = 0

    def generate_load(self, ratio: float, seconds: float) -> None:
        """Generate requests of all kinds and customers.

        Args:
            ratio: The load relative to the capacity.
            seconds: For how long requests arrive.
        """
        factor = ratio * compute_capacity_factor() / sum(CUSTOMER_WEIGHTS)
        for number, weight in enumerate(CUSTOMER_WEIGHTS):
            self.generate_requests(
                seconds, load.REQUEST_KINDS, factor * weight, f'c{number}'
            )

    def _run_caller(
        self, kind: load.RequestKind, customer: str, cost: float
    ) -> None:
        call = self._make_call(kind, customer, cost)
        self._callers += 1
        repeats = self._callers % REPEATING_ONE_IN == 0
        tally = self.worth_by_group[kind.name, repeats]
        worth = _compute_worth(kind, call)
        tally.sent += worth
        reply = self._attempt(call, tally, worth)
        pauses = 1
        if repeats and self.is_storm:
            pauses = REPEATS
        for _ in range(pauses):
            if not isinstance(reply, slot.Refusal):
                return
            left = call.arrived + kind.time_limit - clock.read_monotonic()
            honoured = left * load.MAX_RETRY_WAIT_FRACTION
            if pauses > 1:
                honoured = contention.REPEAT_SECONDS
            gevent.sleep(min(reply.retry_after, honoured))
            reply = self._attempt(call, tally, worth)
        if isinstance(reply, slot.Refusal):
            tally.lost += REFUSED_AGAIN_FRACTION * worth

    def _attempt(
        self, call: load.Call, tally: WorthTally, worth: float
    ) -> slot.Grant | slot.Refusal:
        tally.attempts += 1
        reply, number = self._submit(call)
        if isinstance(reply, slot.Grant):
            gevent.spawn(self._run_and_count, call, reply, number, tally, worth)
        return reply

    def _run_and_count(
        self,
        call: load.Call,
        grant: slot.Grant,
        number: int,
        tally: WorthTally,
        worth: float,
    ) -> None:
        # Counts of its own tell whether this answer was in time.
        counts = load.OutcomeCounts()
        self._run_request(
            dataclasses.replace(call, counts=counts), grant, number
        )
        tally.earned += worth if counts.on_time else LATE_FRACTION * worth


def _compute_worth(kind: load.RequestKind, call: load.Call) -> float:
    proportional = (1 - FIXED_WORTH_FRACTION) * call.output_tokens
    ratio = FIXED_WORTH_FRACTION + proportional / kind.output_tokens
    return WORTH_BY_KIND[kind.name] * ratio


def compute_capacity_factor() -> float:
    """Compute the multiple of the rates of all kinds that fills the slots.

    Returns:
        The multiple.
    """
    busy = sum(
        kind.rate
        * (
            load.FIRST_TOKEN_SECONDS
            + kind.prompt_tokens * load.PROMPT_SECONDS
            + kind.output_tokens * load.TOKEN_SECONDS
        )
        for kind in load.REQUEST_KINDS
    )
    return ENGINES * SLOTS / busy


def measure_worth(
    broker_class: type[broker.Broker],
    ratio: float,
    seeds: collections.abc.Iterable[int],
    seconds: float = 30,
) -> dict[str, WorthTally]:
    """Measure the value of each kind of request in a steady load.

    Args:
        broker_class: The class of the broker.
        ratio: The load relative to the capacity.
        seeds: The seeds; their values are added up.
        seconds: For how long requests arrive.

    Returns:
        The values, by kind, the highest tier first.
    """
    worth_by_kind = {kind.name: WorthTally() for kind in load.REQUEST_KINDS}
    for seed in seeds:
        fleet = SmallFleet(broker_class, seed)
        fleet.generate_load(ratio, seconds)
        paused_loop.advance(seconds + DRAIN_SECONDS)
        for (kind, _), tally in fleet.worth_by_group.items():
            worth_by_kind[kind].add(tally)
    return worth_by_kind


def add_up(tallies: collections.abc.Iterable[WorthTally]) -> WorthTally:
    """Add up values.

    Args:
        tallies: The values.

    Returns:
        Their sum.
    """
    total = WorthTally()
    for one in tallies:
        total.add(one)
    return total
