"""A load on the broker, on the paused clock and without a network.

Callers arrive as a pattern says, wait as long as their patience lasts, and
come back once after a refusal. Back ends run what they are sent as fast as
they are. What callers got is counted by kind of request.
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
from pimentoway.standin import asking, paused_loop

#: The name of the only node.
OWNER = 'node/1'

#: Seconds that an answer's first event takes besides its prompt.
FIRST_SECONDS = 0.085

#: Seconds that a token of the prompt and of the answer takes.
PROMPT_SECONDS = 0.00002
TOKEN_SECONDS = 0.0055

#: The part of the time left that a caller waits before it comes back.
RETURN_PART = 1 / 3

#: Seconds between two ticks of the broker.
TICK_SECONDS = 0.05

_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: Its name.
        rank: Its tier.
        rate: Its requests a second.
        prompt: The tokens of its prompts, on the average.
        output: The tokens of its answers, on the average.
        goal: Its goal in seconds.
        limit: The seconds after which a caller gives up.
    """

    name: str
    rank: int
    rate: float
    prompt: int
    output: int
    goal: float = 0.5
    limit: float = 5


@dataclasses.dataclass
class Count:
    """What became of the requests of a kind.

    Attributes:
        asked: All of them.
        timely: Those answered within their goal.
        late: Those answered later.
        refused: Those refused for good.
        refusal_waits: How long each refusal took to come, in seconds.
    """

    asked: int = 0
    timely: int = 0
    late: int = 0
    refused: int = 0
    refusal_waits: list[float] = dataclasses.field(default_factory=list)

    def measure_timely(self) -> float:
        """Measure the part that was answered within its goal.

        Returns:
            The part.
        """
        return self.timely / max(1, self.asked)

    def measure_served(self) -> float:
        """Measure the part that was answered at all.

        Returns:
            The part.
        """
        return (self.timely + self.late) / max(1, self.asked)


#: The kinds of the users' sheets, with a tenth of their rates.
KINDS = (
    Kind('draft', 0, 15, 2890, 50),
    Kind('note', 1, 19, 1800, 22, 0.4, 3),
    Kind('digest', 2, 6, 543, 280, 0.4, 15),
)


class World:
    """Back ends and callers around a broker.

    Attributes:
        broker: The broker.
        view: What it knows.
        count_by_key: What became of the requests, by kind and customer.
        peak_by_engine: The most requests that each back end ran at once.
        arrivals_by_engine: When each back end got requests.
    """

    def __init__(
        self,
        speeds: tuple[float, ...] = (0.6, 1, 1.7),
        slots: int = 6,
        bounds: nodesetting.Bounds | None = None,
        policy: type[broker.Broker] = broker.Broker,
    ) -> None:
        """Start back ends.

        Args:
            speeds: The speed of each back end.
            slots: The slots of each.
            bounds: The promises of the deployment.
            policy: What decides; another one than the product's broker is a
                baseline.
        """
        self.view = view.View()
        self.broker = policy(
            bounds or nodesetting.Bounds(),
            self.view,
            self._reply,
        )
        self.count_by_key: dict[tuple[str, str], Count] = (
            collections.defaultdict(Count)
        )
        self.peak_by_engine: collections.Counter[str] = collections.Counter()
        self.arrivals_by_engine: dict[str, list[float]] = (
            collections.defaultdict(list)
        )
        self._random = random.Random(1)
        self._running: collections.Counter[str] = collections.Counter()
        # What a back end can't run yet waits there in order of arrival.
        self._slots_by_engine = collections.defaultdict(
            lambda: gevent_lock.Semaphore(slots),
        )
        self._waiting: dict[int, gevent_event.AsyncResult] = {}
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
        """Add a back end or change its entry.

        Args:
            name: Its name.
            speed: Its speed.
            slots: Its slots.
            **changes: Other fields of its entry.
        """
        fields = {
            'name': name,
            'service': asking.SERVICE,
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
        self.change(registry.Kind.engines, name, record)

    def change(
        self, kind: registry.Kind, name: str, record: registry.Record | None
    ) -> None:
        """Change a record of the registry.

        Args:
            kind: Its kind.
            name: Its name.
            record: The record; nothing to remove it.
        """
        changes = registry.Changes(
            next(self._revision),
            (registry.Change(name, record),),
        )
        self.view.apply_changes(kind, changes, 'test')

    def run(
        self,
        seconds: float,
        kinds: tuple[Kind, ...] = KINDS,
        factor: float = 1,
        customer: str = '',
    ) -> None:
        """Let callers arrive for some time, in the background.

        Args:
            seconds: For how long.
            kinds: The kinds of their requests.
            factor: By how much there are more than usual.
            customer: Their customer.
        """
        for kind in kinds:
            gevent.spawn(
                self._arrive,
                kind,
                kind.rate * factor,
                seconds,
                customer,
            )

    def count(self, kind: str, customer: str = '') -> Count:
        """Find what became of the requests of a kind.

        Args:
            kind: The name of the kind.
            customer: The customer.

        Returns:
            The counts.
        """
        return self.count_by_key[(kind, customer)]

    def send(
        self, kind: Kind, customer: str = '', cost: float = 0
    ) -> gevent.Greenlet:
        """Send one request.

        Args:
            kind: Its kind.
            customer: Its customer.
            cost: What it uses of the customer's quota.

        Returns:
            The task of its caller.
        """
        return gevent.spawn(self._call, kind, customer, cost)

    def _arrive(
        self, kind: Kind, rate: float, seconds: float, customer: str
    ) -> None:
        end = clock.read_monotonic() + seconds
        while clock.read_monotonic() < end:
            gevent.sleep(self._random.expovariate(rate))
            gevent.spawn(self._call, kind, customer, 0)

    def _call(self, kind: Kind, customer: str, cost: float) -> None:
        count = self.count(kind.name, customer)
        count.asked += 1
        arrived = clock.read_monotonic()
        scale = self._random.expovariate(1)
        entry = slot.SlotRequest(
            number=0,
            service=asking.SERVICE,
            route=kind.name,
            zone='z',
            rank=kind.rank,
            customer=customer,
            cost=cost,
            target_left=kind.goal,
            time_left=kind.limit,
            patience_left=min(kind.limit, max(2.4, 4 * kind.goal)),
            prompt_tokens=kind.prompt,
            output_tokens=max(1, int(kind.output * scale)),
            work_tokens=kind.prompt + 10 * kind.output * scale,
            fingerprint=next(_NUMBERS),
        )
        for _ in range(2):
            asked = clock.read_monotonic()
            reply, number = self._ask(entry, arrived)
            if isinstance(reply, slot.Grant):
                self._serve(entry, reply, number, arrived, count)
                return
            count.refusal_waits.append(clock.read_monotonic() - asked)
            left = arrived + kind.limit - clock.read_monotonic()
            gevent.sleep(min(reply.retry_after, left * RETURN_PART))
        count.refused += 1

    def _ask(
        self, entry: slot.SlotRequest, arrived: float
    ) -> tuple[slot.Grant | slot.Refusal, int]:
        number = next(_NUMBERS)
        passed = clock.read_monotonic() - arrived
        replied = gevent_event.AsyncResult()
        self._waiting[number] = replied
        self.broker.submit(
            OWNER,
            msgspec.structs.replace(
                entry,
                number=number,
                time_left=entry.time_left - passed,
            ),
        )
        return replied.get(), number

    def _reply(self, owner: str, reply: slot.Grant | slot.Refusal) -> None:
        if owner == OWNER:
            self._waiting.pop(reply.number).set(reply)

    def _serve(
        self,
        entry: slot.SlotRequest,
        grant: slot.Grant,
        number: int,
        arrived: float,
        count: Count,
    ) -> None:
        engine = grant.engine
        speed = self.speed_by_engine[engine]
        self._slots_by_engine[engine].acquire()
        self._running[engine] += 1
        peak = max(self.peak_by_engine[engine], self._running[engine])
        self.peak_by_engine[engine] = peak
        self.arrivals_by_engine[engine].append(clock.read_monotonic())
        first = FIRST_SECONDS + entry.prompt_tokens * PROMPT_SECONDS
        gevent.sleep(first / speed)
        waited = clock.read_monotonic() - arrived
        gevent.sleep(entry.output_tokens * TOKEN_SECONDS / speed)
        self._running[engine] -= 1
        self._slots_by_engine[engine].release()
        if waited <= entry.target_left:
            count.timely += 1
        else:
            count.late += 1
        self.broker.finish(
            OWNER,
            slot.Report(
                number,
                slot.Outcome.answered,
                first / speed,
                (first + entry.output_tokens * TOKEN_SECONDS) / speed,
                entry.output_tokens,
            ),
        )

    def _tick(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self.broker.tick()


def play(seconds: float) -> None:
    """Let time pass.

    Args:
        seconds: How much.
    """
    paused_loop.advance(seconds)
