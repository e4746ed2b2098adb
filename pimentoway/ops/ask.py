"""What a node and the broker of slots tell each other, as frozen structs."""

import enum

import msgspec


class Reason(enum.IntEnum):
    """Why a request was refused; none of these has run."""

    overloaded = 1
    over_quota = 2
    no_backend = 3
    suspect = 4
    expired = 5
    no_budget = 6


class Outcome(enum.IntEnum):
    """What became of a grant."""

    answered = 1
    # The back end answered with a failure of its own.
    failed = 2
    # It said that it did not run the request, as it is full.
    shed = 3
    # Another back end has the address.
    misdirected = 4
    # No connection was made.
    unreachable = 5
    # The connection broke before the whole answer.
    cut = 6
    # Nothing came for too long.
    silent = 7
    # The answer was not a proper one.
    spoiled = 8
    # The caller left or its time was over.
    abandoned = 9
    # The grant was not used.
    unused = 10


#: The outcomes after which the request has certainly not run.
NOT_RUN_OUTCOMES = frozenset(
    (
        Outcome.shed,
        Outcome.misdirected,
        Outcome.unreachable,
        Outcome.unused,
    ),
)

#: The outcomes after which a request asks for its next slot as a new one, so
#: that its cost is given back first.
UNSENT_OUTCOMES = frozenset((Outcome.unreachable, Outcome.unused))

#: The outcomes that speak against the back end.
FAULT_OUTCOMES = frozenset(
    (
        Outcome.unreachable,
        Outcome.cut,
        Outcome.silent,
        Outcome.spoiled,
        Outcome.misdirected,
    ),
)


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a slot of a back end.

    Attributes:
        number: The number of the ask, unique within its node.
        service: The service.
        route: The route.
        zone: The failure domain of the node.
        rank: The tier of the request.
        customer: The customer, or nothing.
        cost: What the request uses of the customer's quota.
        goal_left: Seconds until the goal of the request.
        time_left: Seconds until the request is given up.
        patience_left: Seconds until its caller leaves if nothing came.
        prompt_tokens: The tokens of its prompt.
        output_tokens: The tokens of its answer, as estimated; 0 if nothing
            is known of them.
        size: The work that it asks for, in tokens of a prompt; 0 if nothing
            is known of it.
        fingerprint: Tells the same request when it comes again.
        repeats: The earlier back ends of this request that it arrived at.
        avoided: The back ends that should not get it.
    """

    number: int
    service: str
    route: str
    zone: str
    rank: int
    customer: str
    cost: float
    goal_left: float
    time_left: float
    patience_left: float
    prompt_tokens: int
    output_tokens: int
    size: float
    fingerprint: int
    repeats: int = 0
    avoided: tuple[str, ...] = ()


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Gives a slot.

    Attributes:
        number: The number of the ask.
        engine: The name of the back end.
    """

    number: int
    engine: str


class Refusal(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Refuses an ask.

    Attributes:
        number: The number of the ask.
        reason: Why.
        retry_after: Seconds after which coming back helps.
    """

    number: int
    reason: Reason
    retry_after: float


class Report(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Tells what became of a grant, or withdraws an ask.

    Attributes:
        number: The number of the ask.
        outcome: What became of it.
        first: Seconds from the dispatch to the first event; 0 if none came.
        total: Seconds from the dispatch to the end.
        events: The events of the answer.
        running: The requests that ran at the back end, as it told; -1 if it
            did not.
        waiting: The requests that waited there.
        cold: Seconds for which the back end stays cold; -1 if not told.
    """

    number: int
    outcome: Outcome
    first: float = 0
    total: float = 0
    events: int = 0
    running: int = -1
    waiting: int = 0
    cold: float = -1


class Running(msgspec.Struct, frozen=True, array_like=True):
    """A grant that a node still uses when it changes its broker.

    Attributes:
        ask: The ask.
        engine: The back end that runs it.
    """

    ask: Ask
    engine: str


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """What a node used of a customer's quota lately.

    Attributes:
        customer: The customer.
        cost: The units that were used in the window of the quotas.
    """

    customer: str
    cost: float
