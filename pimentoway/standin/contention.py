"""Callers of several customers who contend for slots, on the paused clock.

Callers differ in what they do after a refusal: most return when they are told,
some at once, some early and several times.
"""

import dataclasses
import enum
import functools

import gevent

from pimentoway.core import clock
from pimentoway.ops import broker, slot
from pimentoway.standin import load

#: The most attempts of a caller.
MAX_ATTEMPTS = 4

#: The pause of a caller who repeats at once, in seconds.
REPEAT_SECONDS = 0.05

#: The part of the time that it was told after which an early caller returns.
EARLY_FRACTION = 0.3

#: A kind of request that runs for a quarter of a second on average.
NOTE_RATE = 20
NOTE = dataclasses.replace(load.REQUEST_KINDS[1], rate=NOTE_RATE, time_limit=6)


#: A broker with fair admission, which is off by default.
FAIR_BROKER = functools.partial(broker.Broker, has_fair_admission=True)


class Behaviour(enum.Enum):
    """What a caller does after a refusal."""

    returns = 'returns when told, once'
    repeats = 'repeats at once, several times'
    early = 'returns early, then when told'


@dataclasses.dataclass
class Returns:
    """What happened to callers who returned when they were told.

    Attributes:
        granted: Those that got a slot.
        refused: Those that were refused again.
    """

    granted: int = 0
    refused: int = 0


class Contention(load.Simulation):
    """Callers with behaviours around a broker.

    Attributes:
        behaviour_by_customer: What the callers of a customer do; they return
            when told by default.
        returns: What happened to those who returned when told.
        return_times: When they returned, on the monotonic clock.
    """

    def __init__(
        self, engines: int = 10, slots: int = 4, seed: int = 1
    ) -> None:
        """Start engines of equal speed.

        Args:
            engines: The number of engines.
            slots: The slots of each.
            seed: The seed of arrivals and lengths.
        """
        super().__init__(
            tuple(1 for _ in range(engines)),
            slots,
            broker_class=FAIR_BROKER,
            seed=seed,
        )
        self.behaviour_by_customer: dict[str, Behaviour] = {}
        self.returns = Returns()
        self.return_times: list[float] = []

    def measure_work(self, customer: str, kind: str = NOTE.name) -> float:
        """Measure the slot-seconds of the answers that a customer got.

        Args:
            customer: The customer.
            kind: The name of the kind of request.

        Returns:
            The seconds.
        """
        return measure_seconds(self.get_counts(kind, customer).answered_lengths)

    def _run_caller(
        self, kind: load.RequestKind, customer: str, cost: float
    ) -> None:
        call = self._make_call(kind, customer, cost)
        behaviour = self.behaviour_by_customer.get(customer, Behaviour.returns)
        reply = self._attempt(call)
        for attempt in range(MAX_ATTEMPTS - 1):
            if not isinstance(reply, slot.Refusal):
                return
            left = call.arrived + kind.time_limit - clock.read_monotonic()
            pause, told = _choose_pause(behaviour, reply.retry_after, attempt)
            if not 0 < pause <= left * load.MAX_RETRY_WAIT_FRACTION:
                break
            gevent.sleep(pause)
            if told:
                self.return_times.append(clock.read_monotonic())
            reply = self._attempt(call)
            if told:
                self._count_return(reply)
        call.counts.refused += isinstance(reply, slot.Refusal)

    def _attempt(self, call: load.Call) -> slot.Grant | slot.Refusal:
        # A request that gets a slot runs in a task of its own.
        submitted = clock.read_monotonic()
        reply, number = self._submit(call)
        if isinstance(reply, slot.Grant):
            gevent.spawn(self._run_request, call, reply, number)
        else:
            waited = clock.read_monotonic() - submitted
            call.counts.refusal_waits.append(waited)
        return reply

    def _count_return(self, reply: slot.Grant | slot.Refusal) -> None:
        if isinstance(reply, slot.Grant):
            self.returns.granted += 1
        else:
            self.returns.refused += 1


def _choose_pause(
    behaviour: Behaviour, told_seconds: float, attempt: int
) -> tuple[float, bool]:
    # The pause before the next attempt, 0 for none, and whether it is the one
    # that the caller was told.
    if behaviour is Behaviour.repeats:
        return REPEAT_SECONDS, False
    if behaviour is Behaviour.early and not attempt:
        return told_seconds * EARLY_FRACTION, False
    if attempt > 1 or (behaviour is Behaviour.returns and attempt):
        return 0, False
    return told_seconds, True


def measure_seconds(lengths: list[int]) -> float:
    """Measure the slot-seconds of answers.

    Args:
        lengths: Their lengths, in tokens.

    Returns:
        The seconds, at an engine of usual speed.
    """
    prompt = NOTE.prompt_tokens * load.PROMPT_SECONDS
    first = load.FIRST_TOKEN_SECONDS + prompt
    return sum(first + length * load.TOKEN_SECONDS for length in lengths)


def compute_jain_index(amounts: list[float]) -> float:
    """Compute Jain's fairness index.

    Args:
        amounts: What each customer got.

    Returns:
        The index: 1 if all got the same, 1/n if one of n got everything.
    """
    squares = sum(amount * amount for amount in amounts)
    return sum(amounts) ** 2 / (len(amounts) * squares)


def compute_max_min(demands: list[float], capacity: float) -> list[float]:
    """Compute max-min fair parts of a capacity.

    Args:
        demands: What each customer asks for.
        capacity: What there is.

    Returns:
        What each customer gets.
    """
    parts: list[float] = [0 for _ in demands]
    left = capacity
    order = sorted(range(len(demands)), key=lambda index: demands[index])
    for place, index in enumerate(order):
        parts[index] = min(demands[index], left / (len(order) - place))
        left -= parts[index]
    return parts
