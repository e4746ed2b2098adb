"""Messages between a node and a broker about slots, as frozen structs."""

import enum

import msgspec

#: The number of distinct tiers of routes within one tier of customers; higher
#: ranks of routes count as the last of them.
ROUTE_RANKS = 4

#: Seconds after which a caller may retry whose slot request raised an
#: unexpected error at the broker.
UNEXPECTED_RETRY_SECONDS = 1.0

#: The number of reports that concern no slot request, which brokers of earlier
#: releases ignore.
NOTICE_NUMBER = 0

#: The tolerated rejections of a back end whose answer states no limit.
NO_LIMIT = -1

#: The start of the counts in an update of usage that holds only changes.
SAME_SINCE = -1


class Reason(enum.IntEnum):
    """The reason of a refusal. A refused request has not run."""

    overloaded = 1
    over_quota = 2
    no_backend = 3
    suspect = 4
    expired = 5
    no_budget = 6


class Outcome(enum.IntEnum):
    """The outcome of a grant."""

    answered = 1
    # The back end answered with an error of its own.
    failed = 2
    # The back end was full and said that it did not run the request.
    shed = 3
    # Another back end answered at the address.
    misdirected = 4
    # No connection could be opened.
    unreachable = 5
    # The connection closed before the answer was complete.
    cut = 6
    # The back end sent nothing until a timeout.
    silent = 7
    # The answer was malformed.
    malformed = 8
    # The caller disconnected, or the deadline of the request passed.
    abandoned = 9
    # The node did not use the grant.
    unused = 10
    # The connection closed before the answer was complete, and the back end
    # refuses new ones.
    crashed = 11
    # The relay that the grant names could not be reached or took no request.
    relay_lost = 12
    # The request was sent, and the peer's kernel acknowledged none of it.
    unacknowledged = 13


#: The outcomes of runs whose connection closed before their end.
BROKEN_OUTCOMES = frozenset((Outcome.cut, Outcome.crashed))


#: The outcomes after which the request has certainly not run.
NOT_RUN_OUTCOMES = frozenset(
    (
        Outcome.shed,
        Outcome.misdirected,
        Outcome.unreachable,
        Outcome.unused,
        Outcome.relay_lost,
    ),
)

#: The outcomes where nothing was sent to the back end. The request then asks
#: for its next slot like a new one, so its quota cost is refunded first.
UNSENT_OUTCOMES = frozenset(
    (Outcome.unreachable, Outcome.unused, Outcome.relay_lost)
)

#: The outcomes of runs that may have ended early because they were slow.
UNFINISHED_OUTCOMES = frozenset((Outcome.abandoned, Outcome.silent))

#: The outcomes that count as a fault of the back end.
FAULT_OUTCOMES = frozenset(
    (
        Outcome.unreachable,
        Outcome.cut,
        Outcome.crashed,
        Outcome.silent,
        Outcome.malformed,
        Outcome.misdirected,
        Outcome.unacknowledged,
    ),
)

#: The faults that concern the connection between a node and a back end: they
#: tell of the path until other nodes report the same.
PATH_OUTCOMES = frozenset((Outcome.unreachable, Outcome.unacknowledged))


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A request for a slot of a back end, on behalf of a caller's request.

    Attributes:
        number: The number of the slot request, unique within its node.
        service: The name of the service.
        route: The name of the route.
        zone: The failure domain of the node.
        rank: The tier of the request; 0 is the highest.
        customer: The name of the customer; '' for none.
        cost: What the request uses of the customer's quota, in its units.
        target_left: Seconds left until the latency target of the request.
        time_left: Seconds left until its deadline.
        patience_left: Seconds until its caller leaves if no event has come.
        prompt_tokens: The tokens of its prompt.
        output_tokens: The estimated tokens of its answer; 0 if unknown.
        work_tokens: The estimated work, in prompt tokens; 0 if unknown.
        fingerprint: A digest that identifies the request when it returns.
        repeats: How many times it has reached a back end before.
        avoided: The names of the back ends that must not get it.
        parts: The digests of the parts of its prompt that other requests may
            have, too.
    """

    number: int
    service: str
    route: str
    zone: str
    rank: int
    customer: str
    cost: float
    target_left: float
    time_left: float
    patience_left: float
    prompt_tokens: int
    output_tokens: int
    work_tokens: float
    fingerprint: int
    repeats: int = 0
    avoided: tuple[str, ...] = ()
    parts: tuple[int, ...] = ()

    @property
    def route_tier(self) -> tuple[str, int]:
        """Name the queue of the request.

        Returns:
            Its route and its tier.
        """
        return self.route, self.rank


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Grants a slot.

    Attributes:
        number: The number of the slot request.
        engine: The name of the back end.
        via: The name of the node that relays the request; '' if the node
            connects to the back end itself.
    """

    number: int
    engine: str
    via: str = ''


class Refusal(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Refuses a slot.

    Attributes:
        number: The number of the slot request.
        reason: The reason.
        retry_after: Seconds after which a retry may succeed.
    """

    number: int
    reason: Reason
    retry_after: float


class EngineNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a back end announced of itself in an answer to a node.

    It belongs to that run of the back end, identified by its address and its
    start.

    Attributes:
        engine: The name of the back end.
        address: Its address, as ``ip:port``.
        born: When it started, in milliseconds since the epoch; 0 if unknown.
        leaving: Whether it is shutting down and wants no new requests.
        pause_seconds: How long it wants no request from that node, counted
            from when the notice is sent; 0 if it states no time.
        tolerated_rejections: How many requests a second it can turn away;
            ``NO_LIMIT`` if it states no limit.
    """

    engine: str
    address: str
    born: int
    leaving: bool = False
    pause_seconds: float = 0
    tolerated_rejections: int = NO_LIMIT


class PathReport(msgspec.Struct, frozen=True, array_like=True):
    """What a node found when it checked its path to a back end.

    Attributes:
        engine: The name of the back end.
        is_open: Whether it accepted a connection.
    """

    engine: str
    is_open: bool


class UsageEntry(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one customer that engines began in one interval.

    Attributes:
        interval: The number of the interval, by the sender's true time.
        customer: The name of the customer.
        count: The number of requests, which only grows.
    """

    interval: int
    customer: str
    count: int


class UsageUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What engines began for the requests of a node.

    Time is counted in intervals, ``duties.truetime.INTERVALS`` of which make a
    window, since the start of 1970.

    Attributes:
        time: The sender's true time, in seconds since the start of 1970.
        complete: The counts of the intervals before this one are complete.
        entries: The counts that changed.
        since: The first interval that the counts cover, in an update that
            holds everything; ``SAME_SINCE`` in others.
    """

    time: float
    complete: int
    entries: tuple[UsageEntry, ...] = ()
    since: int = SAME_SINCE


class UsageCopy(msgspec.Struct, frozen=True, array_like=True):
    """The counts of a run of a node, told by another one.

    Attributes:
        sender: The node that tells, and its run.
        owner: The node that counted, and its run.
        ahead: By how many seconds the owner's clock is ahead of the sender's.
        update: The counts, in the owner's time.
    """

    sender: str
    owner: str
    ahead: float
    update: UsageUpdate


class Report(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Reports the outcome of a grant, or withdraws a slot request.

    Attributes:
        number: The number of the slot request; ``NOTICE_NUMBER`` if the report
            only carries a notice or usage, or tells of a path.
        outcome: The outcome.
        first_seconds: Seconds from dispatch to the first event; 0 if none came.
        total_seconds: Seconds from dispatch to the end of the answer.
        events: The number of events in the answer.
        running: The requests that the back end ran, as it reported with the
            answer; -1 if it did not.
        waiting: The requests that waited at the back end.
        cold_seconds: Seconds that the back end stays cold; -1 if not reported.
        notice: What a back end announced of itself; nothing in other reports.
        tolerated_rejections: How many requests a second the back end can turn
            away, as it said with the answer; negative if it stated no limit,
            nothing if no answer began.
        path: What the node found of a path; nothing in other reports.
        usage: What engines began for the node; nothing in other reports.
        pace: How long work takes on the back end's machine, relative to the
            usual time, as it said at the start of the answer; 0 if it did not.
        idle_seconds: How long the node uses the connection of the run again
            for a request that may run twice; 0 if it was closed. Nodes of
            earlier releases tell less after one that must not.
        usage_copy: What engines began for another node. A broker sends it, too,
            to nodes that keep the counts; earlier releases ignore it.
    """

    number: int
    outcome: Outcome
    first_seconds: float = 0
    total_seconds: float = 0
    events: int = 0
    running: int = -1
    waiting: int = 0
    cold_seconds: float = -1
    notice: EngineNotice | None = None
    tolerated_rejections: int | None = None
    path: PathReport | None = None
    usage: UsageUpdate | None = None
    pace: float = 0
    idle_seconds: float = 0
    usage_copy: UsageCopy | None = None


class ActiveGrant(msgspec.Struct, frozen=True, array_like=True):
    """A grant that a node still uses when it changes its broker.

    Attributes:
        request: The slot request.
        engine: The name of the back end that runs it.
        via: The name of the node that relays it; '' if none does.
    """

    request: SlotRequest
    engine: str
    via: str = ''


class QuotaUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a node used of a customer's quota in the sliding window.

    Attributes:
        customer: The name of the customer.
        cost: The usage, in units of the quota.
    """

    customer: str
    cost: float


class RolloutUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a node sent to a service during a rollout, of any broker's grants.

    Attributes:
        service: The name of the service.
        order: The identity of the operator's order.
        starts: The requests to the service.
        new_starts: Those of them to the new version.
    """

    service: str
    order: str
    starts: int
    new_starts: int


def refuse_unexpected(request: SlotRequest) -> Refusal:
    """Refuse a slot request whose handling raised an unexpected error.

    Args:
        request: The slot request.

    Returns:
        The refusal, after which a retry may go to another node.
    """
    return Refusal(request.number, Reason.overloaded, UNEXPECTED_RETRY_SECONDS)


def withdraw(request: SlotRequest) -> Report:
    """Withdraw a slot request that nobody waits for.

    Args:
        request: The slot request.

    Returns:
        The report.
    """
    return Report(request.number, Outcome.abandoned)
