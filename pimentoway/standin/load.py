"""A load generator for the broker, on the paused clock without a network.

Requests arrive at random at the rate of their kind, wait for a slot within
their time limit and are retried once after a refusal. Simulated back ends run
them at different speeds. Outcomes are counted by kind of request and customer.
"""

import collections
import dataclasses
import itertools
import random

import gevent
import msgspec
from gevent import event as gevent_event
from gevent import lock as gevent_lock

from pimentoway.core import clock, deployment, nodesetting, registry
from pimentoway.ops import broker, slot, view
from pimentoway.standin import slotrequest

#: The only node, which sends all requests.
REQUESTER = 'node/1'

#: Time to the first token besides the prompt, in seconds at speed 1.
FIRST_TOKEN_SECONDS = 0.085

#: Time per token of the prompt and of the answer, in seconds at speed 1.
PROMPT_SECONDS = 0.00002
TOKEN_SECONDS = 0.0055

#: The upper bound that callers state for each answer, relative to the mean
#: length of its kind; it says nothing about a single answer.
BOUND_RATIO = 10

#: The standard deviation of the logarithm of the callers' estimate of a length:
#: right at the median, and often off by a factor of two.
ESTIMATE_DEVIATION = 0.7

#: Largest fraction of the time left that a caller waits before its retry.
MAX_RETRY_WAIT_FRACTION = 1 / 3

#: Interval between ticks of the broker, in seconds.
TICK_SECONDS = 0.05

_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    Attributes:
        name: Its name, which is also its route.
        rank: The rank of its tier.
        rate: Requests per second.
        prompt_tokens: Length of every prompt, in tokens.
        output_tokens: Mean length of an answer, in tokens; lengths are
            exponentially distributed.
        latency_target: Target time to the first token, in seconds.
        time_limit: Time limit of a request including its retry, in seconds.
    """

    name: str
    rank: int
    rate: float
    prompt_tokens: int
    output_tokens: int
    latency_target: float = 0.5
    time_limit: float = 5


@dataclasses.dataclass
class OutcomeCounts:
    """Counts of the outcomes of one kind of request.

    Attributes:
        sent: Requests sent, not counting retries.
        on_time: Requests answered within the latency target.
        late: Requests answered after it.
        refused: Requests refused twice.
        refusal_waits: Time from each submission to its refusal, in seconds.
        lengths: The true length of each answer asked for, in tokens.
        answered_lengths: The lengths of those that were answered.
    """

    sent: int = 0
    on_time: int = 0
    late: int = 0
    refused: int = 0
    refusal_waits: list[float] = dataclasses.field(default_factory=list)
    lengths: list[int] = dataclasses.field(default_factory=list)
    answered_lengths: list[int] = dataclasses.field(default_factory=list)

    def compute_on_time_ratio(self) -> float:
        """Compute the ratio of requests answered within the target.

        Returns:
            The ratio; 0 if nothing was sent.
        """
        return self.on_time / max(1, self.sent)

    def compute_answered_ratio(self) -> float:
        """Compute the ratio of requests answered, in time or late.

        Returns:
            The ratio; 0 if nothing was sent.
        """
        return (self.on_time + self.late) / max(1, self.sent)

    def compute_answered_ratio_between(
        self, first: float, last: float
    ) -> float:
        """Compute the ratio of requests answered among those of some lengths.

        Args:
            first: The first quantile of the lengths, from 0.
            last: The last quantile of the lengths, up to 1.

        Returns:
            The ratio; 0 if nothing was sent.
        """
        ordered = sorted(self.lengths)
        count = len(ordered)
        chosen = ordered[round(first * count) : round(last * count)]
        if not chosen:
            return 0
        answered = sum(
            chosen[0] <= length <= chosen[-1]
            for length in self.answered_lengths
        )
        sent = sum(chosen[0] <= length <= chosen[-1] for length in self.lengths)
        return answered / sent


@dataclasses.dataclass(frozen=True)
class Call:
    """A caller's request and what it does not tell.

    Attributes:
        slot_request: The slot request that it leads to.
        output_tokens: The true length of its answer, in tokens.
        arrived: The monotonic time of its first submission.
        counts: The counts that its outcome is added to.
    """

    slot_request: slot.SlotRequest
    output_tokens: int
    arrived: float
    counts: OutcomeCounts


#: The kinds of requests that the users state, at a tenth of their rates.
REQUEST_KINDS = (
    RequestKind('draft', 0, 15, 2890, 50),
    RequestKind('note', 1, 19, 1800, 22, 0.4, 3),
    RequestKind('digest', 2, 6, 543, 280, 0.4, 15),
)


class Simulation:
    """Simulated back ends and callers around a broker.

    Attributes:
        broker: The broker.
        view: The registry view that the broker reads.
        counts_by_key: Counts of outcomes by kind and customer.
        peak_by_engine: Maximum number of concurrent requests at each back end.
        arrivals_by_engine: Monotonic times at which requests began to run at
            each back end, in seconds.
        speed_by_engine: The speed of each back end; tests change it.
    """

    def __init__(
        self,
        speeds: tuple[float, ...] = (0.6, 1, 1.7),
        slots: int = 6,
        bounds: nodesetting.Bounds | None = None,
        broker_class: type[broker.Broker] = broker.Broker,
        seed: int = 1,
    ) -> None:
        """Start the back ends and the ticks of the broker.

        Args:
            speeds: The speed of each back end; 1 is normal, 2 twice as fast.
            slots: The number of slots of each back end.
            bounds: The bounds of the deployment; the defaults if omitted.
            broker_class: The class of the broker; benchmarks pass a baseline.
            seed: The seed of arrivals and lengths.
        """
        self.view = view.View()
        self.broker = broker_class(
            bounds or nodesetting.Bounds(),
            self.view,
            self._reply,
        )
        self.counts_by_key: dict[tuple[str, str], OutcomeCounts] = (
            collections.defaultdict(OutcomeCounts)
        )
        self.peak_by_engine: collections.Counter[str] = collections.Counter()
        self.arrivals_by_engine: dict[str, list[float]] = (
            collections.defaultdict(list)
        )
        self._random = random.Random(seed)
        self._running_by_engine: collections.Counter[str] = (
            collections.Counter()
        )
        # Requests beyond the slots of a back end queue there first come,
        # first served.
        self._slots_by_engine = collections.defaultdict(
            lambda: gevent_lock.Semaphore(slots),
        )
        self._pending_reply_by_number: dict[int, gevent_event.AsyncResult] = {}
        self._revision = itertools.count(1)
        self.speed_by_engine: dict[str, float] = {}
        for number, speed in enumerate(speeds):
            self.add_engine(f'e{number}', speed, slots)
        gevent.spawn(self._tick)

    def add_engine(
        self,
        name: str,
        speed: float,
        slots: int = 6,
        **changes: object,
    ) -> None:
        """Add a back end or replace its record.

        Args:
            name: The name of the back end.
            speed: Its speed; 1 is normal.
            slots: The number of slots in its record.
            **changes: Other fields of its record.
        """
        fields = {
            'name': name,
            'service': slotrequest.SERVICE,
            'address': f'{name}:1',
            'zone': 'z',
            'version': 'v1',
            'slots': slots,
            'draining': False,
            'cold_seconds': 0,
            'born': 1,
        }
        self.speed_by_engine[name] = speed
        record = deployment.Engine(**{**fields, **changes})
        self.change_record(registry.Kind.engines, name, record)

    def change_record(
        self, kind: registry.Kind, name: str, record: registry.Record | None
    ) -> None:
        """Write or remove a record of the registry.

        Args:
            kind: The kind of the record.
            name: The name of the record.
            record: The new record; None removes it.
        """
        changes = registry.Changes(
            next(self._revision),
            (registry.Change(name, record),),
        )
        self.view.apply_changes(kind, changes, 'test')

    def generate_requests(
        self,
        seconds: float,
        kinds: tuple[RequestKind, ...] = REQUEST_KINDS,
        factor: float = 1,
        customer: str = '',
    ) -> None:
        """Generate requests in background tasks.

        Args:
            seconds: How long to generate requests, in seconds.
            kinds: The kinds of requests.
            factor: Multiplier of their rates.
            customer: The customer of all requests; '' for none.
        """
        for kind in kinds:
            gevent.spawn(
                self._generate_requests_of_kind,
                kind,
                kind.rate * factor,
                seconds,
                customer,
            )

    def get_counts(self, kind: str, customer: str = '') -> OutcomeCounts:
        """Return the counts of a kind and customer.

        Args:
            kind: The name of the kind.
            customer: The customer; '' for requests without one.

        Returns:
            The counts, updated in place.
        """
        return self.counts_by_key[(kind, customer)]

    def send(
        self, kind: RequestKind, customer: str = '', cost: float = 0
    ) -> gevent.Greenlet:
        """Send one request in a background task.

        Args:
            kind: The kind of the request.
            customer: The customer; '' for none.
            cost: Its usage of the customer's quota, in units of the quota.

        Returns:
            The task, which ends with the answer or the last refusal.
        """
        return gevent.spawn(self._run_caller, kind, customer, cost)

    def _generate_requests_of_kind(
        self, kind: RequestKind, rate: float, seconds: float, customer: str
    ) -> None:
        end = clock.read_monotonic() + seconds
        while clock.read_monotonic() < end:
            gevent.sleep(self._random.expovariate(rate))
            gevent.spawn(self._run_caller, kind, customer, 0)

    def _run_caller(
        self, kind: RequestKind, customer: str, cost: float
    ) -> None:
        call = self._make_call(kind, customer, cost)
        counts = call.counts
        for _ in range(2):
            submitted = clock.read_monotonic()
            reply, number = self._submit(call)
            if isinstance(reply, slot.Grant):
                self._run_request(call, reply, number)
                return
            counts.refusal_waits.append(clock.read_monotonic() - submitted)
            remaining = call.arrived + kind.time_limit - clock.read_monotonic()
            gevent.sleep(
                min(reply.retry_after, remaining * MAX_RETRY_WAIT_FRACTION)
            )
        counts.refused += 1

    def _make_call(self, kind: RequestKind, customer: str, cost: float) -> Call:
        counts = self.get_counts(kind.name, customer)
        counts.sent += 1
        length = max(1, int(kind.output_tokens * self._random.expovariate(1)))
        counts.lengths.append(length)
        bound = kind.output_tokens * BOUND_RATIO
        error_factor = self._random.lognormvariate(0, ESTIMATE_DEVIATION)
        estimate = min(bound, max(1, int(length * error_factor)))
        slot_request = slot.SlotRequest(
            number=0,
            service=slotrequest.SERVICE,
            route=kind.name,
            zone='z',
            rank=kind.rank,
            customer=customer,
            cost=cost,
            target_left=kind.latency_target,
            time_left=kind.time_limit,
            patience_left=min(
                kind.time_limit, max(2.4, 4 * kind.latency_target)
            ),
            prompt_tokens=kind.prompt_tokens,
            output_tokens=estimate,
            work_tokens=kind.prompt_tokens + 10 * estimate,
            fingerprint=next(_NUMBERS),
        )
        return Call(slot_request, length, clock.read_monotonic(), counts)

    def _submit(self, call: Call) -> tuple[slot.Grant | slot.Refusal, int]:
        number = next(_NUMBERS)
        elapsed = clock.read_monotonic() - call.arrived
        pending_reply = gevent_event.AsyncResult()
        self._pending_reply_by_number[number] = pending_reply
        self.broker.submit(
            REQUESTER,
            msgspec.structs.replace(
                call.slot_request,
                number=number,
                time_left=call.slot_request.time_left - elapsed,
            ),
        )
        return pending_reply.get(), number

    def _reply(self, requester: str, reply: slot.Grant | slot.Refusal) -> None:
        if requester == REQUESTER:
            self._pending_reply_by_number.pop(reply.number).set(reply)

    def _run_request(self, call: Call, grant: slot.Grant, number: int) -> None:
        engine = grant.engine
        speed = self.speed_by_engine[engine]
        self._slots_by_engine[engine].acquire()
        self._running_by_engine[engine] += 1
        peak = max(self.peak_by_engine[engine], self._running_by_engine[engine])
        self.peak_by_engine[engine] = peak
        started = clock.read_monotonic()
        self.arrivals_by_engine[engine].append(started)
        prompt_seconds = call.slot_request.prompt_tokens * PROMPT_SECONDS
        gevent.sleep((FIRST_TOKEN_SECONDS + prompt_seconds) / speed)
        first_token = clock.read_monotonic()
        gevent.sleep(call.output_tokens * TOKEN_SECONDS / speed)
        self._running_by_engine[engine] -= 1
        self._slots_by_engine[engine].release()
        call.counts.answered_lengths.append(call.output_tokens)
        if first_token - call.arrived <= call.slot_request.target_left:
            call.counts.on_time += 1
        else:
            call.counts.late += 1
        self.broker.finish(
            REQUESTER,
            slot.Report(
                number,
                slot.Outcome.answered,
                first_token - started,
                clock.read_monotonic() - started,
                call.output_tokens,
            ),
        )

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self.broker.tick()
