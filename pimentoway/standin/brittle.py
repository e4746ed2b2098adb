"""Brittle back ends under a constant load, on the paused clock."""

import dataclasses
import itertools
import random

import gevent

from pimentoway.core import clock, deployment, nodesetting, registry
from pimentoway.ops import broker, slot, view
from pimentoway.standin import paused_loop, slotrequest

#: The slots that the entries of the back ends tell.
SLOTS = 6

#: The shortest and the longest delay of a message, in seconds.
DELAY_SECONDS = (0.001, 0.01)

#: The shortest and the longest run, relative to the mean.
RUN_RANGE = (0.5, 1.5)

#: Seconds for which a back end that fell takes no requests.
FALL_SECONDS = 2.0

#: Seconds between ticks of a broker.
TICK_SECONDS = 0.05

#: Seconds for which requests wait.
PATIENCE_SECONDS = 6.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """The size of a fleet.

    Attributes:
        tolerated: How many rejections a second a back end bears.
        brokers: The number of brokers, with equal shares of the nodes.
        nodes: The number of nodes of each broker.
        engines: The number of back ends.
        run_seconds: The mean duration of a run.
        lag_seconds: How long a back end counts a request after its answer.
    """

    tolerated: int = 2
    brokers: int = 1
    nodes: int = 3
    engines: int = 2
    run_seconds: float = 0.4
    lag_seconds: float = 0


@dataclasses.dataclass
class EngineModel:
    """A back end that falls when it rejects too much.

    Attributes:
        room: The most requests that it runs at once.
        running: The requests that it runs.
        busy_seconds: The time that its runs have taken together.
        counted_at: The time up to which that is counted.
        rejection_times: The monotonic time of each rejection, in seconds.
        born: Its start, counted from 1.
        falls: How often it fell.
        down_until: When it takes requests again.
    """

    room: int = SLOTS
    running: int = 0
    busy_seconds: float = 0
    counted_at: float = 0
    rejection_times: list[float] = dataclasses.field(default_factory=list)
    born: int = 1
    falls: int = 0
    down_until: float = 0

    def count_busy(self, running: int) -> None:
        """Count the time of the runs up to now, and set their number.

        Args:
            running: The requests that it runs from now on.
        """
        now = clock.read_monotonic()
        self.busy_seconds += self.running * (now - self.counted_at)
        self.counted_at = now
        self.running = running

    def measure_rejections(self) -> int:
        """Count the most rejections in any second.

        Returns:
            The number of rejections.
        """
        times = self.rejection_times
        return max(
            (
                sum(first <= time < first + 1 for time in times)
                for first in times
            ),
            default=0,
        )


class BrittleFleet:
    """Brittle back ends, the brokers of their nodes, and a load.

    Attributes:
        engines: The models of the back ends, by name.
        brokers: The brokers.
        is_brittle: Whether the back ends say that they are brittle.
    """

    def __init__(self, shape: Shape, seed: int = 1) -> None:
        """Start without requests.

        Args:
            shape: The size of the fleet.
            seed: The seed of arrivals, delays and durations.
        """
        self.engines = {
            f'e{number}': EngineModel() for number in range(shape.engines)
        }
        self.is_brittle = True
        self._shape = shape
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._revisions = itertools.count(1)
        self._view = view.View()
        self.brokers = [
            broker.Broker(nodesetting.Bounds(), self._view, self._reply)
            for _ in range(shape.brokers)
        ]
        self._broker_by_node: dict[str, broker.Broker] = {}
        for index, one in enumerate(self.brokers):
            one.engines.share = 1 / shape.brokers
            for node in range(shape.nodes):
                self._broker_by_node[f'n{index}-{node}/1'] = one
            gevent.spawn(self._tick, one)
        for name in self.engines:
            self.announce(name)

    def announce(self, name: str) -> None:
        """Write the entry of a back end.

        Args:
            name: Its name.
        """
        record = deployment.Engine(
            name=name,
            service=slotrequest.SERVICE,
            address=f'{name}:1',
            zone='z',
            version='v1',
            slots=SLOTS,
            draining=False,
            cold_seconds=0,
            born=self.engines[name].born,
        )
        self._view.apply_changes(
            registry.Kind.engines,
            registry.Changes(
                next(self._revisions), (registry.Change(name, record),)
            ),
            'test',
        )

    def set_room(self, room: int) -> None:
        """Change how many requests the back ends run at once.

        Args:
            room: The number of requests.
        """
        for engine in self.engines.values():
            engine.room = room

    def load(self, factor: float, seconds: float) -> None:
        """Send requests in the background.

        Args:
            factor: Their rate, relative to what the back ends' room bears.
            seconds: For how long.
        """
        gevent.spawn(self._load, factor, seconds)

    def restart(self, name: str) -> None:
        """Restart a back end at once.

        Args:
            name: Its name.
        """
        engine = self.engines[name]
        engine.born += 1
        engine.count_busy(0)
        engine.down_until = clock.read_monotonic()
        self.announce(name)

    def measure_use(self, seconds: float) -> float:
        """Advance the clock, and measure the use of the back ends' room.

        Args:
            seconds: For how long.

        Returns:
            The mean fraction of the room that was used.
        """
        before = self._sum_busy_seconds()
        paused_loop.advance(seconds)
        busy = self._sum_busy_seconds() - before
        room = sum(one.room for one in self.engines.values())
        return busy / room / seconds

    def _sum_busy_seconds(self) -> float:
        for engine in self.engines.values():
            engine.count_busy(engine.running)
        return sum(one.busy_seconds for one in self.engines.values())

    def _load(self, factor: float, seconds: float) -> None:
        end = clock.read_monotonic() + seconds
        while clock.read_monotonic() < end:
            room = sum(engine.room for engine in self.engines.values())
            rate = factor * room / self._shape.run_seconds
            gevent.sleep(self._random.expovariate(rate))
            node = self._random.choice(list(self._broker_by_node))
            self._submit(node, ())

    def _submit(self, node: str, avoided: tuple[str, ...]) -> None:
        request = slotrequest.make_slot_request(
            next(self._numbers),
            time_left=PATIENCE_SECONDS,
            patience_left=PATIENCE_SECONDS,
            avoided=avoided,
        )
        self._broker_by_node[node].submit(node, request)

    def _reply(self, requester: str, reply: slot.Grant | slot.Refusal) -> None:
        if isinstance(reply, slot.Grant):
            gevent.spawn(self._run, requester, reply)

    def _run(self, node: str, grant: slot.Grant) -> None:
        self._delay()
        outcome = self._run_at(self.engines[grant.engine], grant.engine)
        self._delay()
        stated = self._shape.tolerated if self.is_brittle else slot.NO_LIMIT
        if outcome not in {slot.Outcome.answered, slot.Outcome.shed}:
            stated = None
        report = slot.Report(grant.number, outcome, tolerated_rejections=stated)
        self._broker_by_node[node].finish(node, report)
        if outcome is slot.Outcome.shed:
            self._submit(node, (grant.engine,))

    def _run_at(self, engine: EngineModel, name: str) -> slot.Outcome:
        now = clock.read_monotonic()
        if now < engine.down_until:
            return slot.Outcome.unreachable
        if engine.running >= engine.room:
            self._reject(engine, name, now)
            return slot.Outcome.shed
        born = engine.born
        engine.count_busy(engine.running + 1)
        gevent.sleep(self._random.uniform(*RUN_RANGE) * self._shape.run_seconds)
        if engine.born != born:
            return slot.Outcome.cut
        gevent.spawn_later(self._shape.lag_seconds, self._leave, engine, born)
        return slot.Outcome.answered

    def _leave(self, engine: EngineModel, born: int) -> None:
        if engine.born == born:
            engine.count_busy(engine.running - 1)

    def _reject(self, engine: EngineModel, name: str, now: float) -> None:
        times = engine.rejection_times
        times.append(now)
        start = max(now - 1, engine.down_until)
        recent = [time for time in times if time > start]
        if len(recent) > self._shape.tolerated:
            engine.falls += 1
            engine.born += 1
            engine.count_busy(0)
            engine.down_until = now + FALL_SECONDS
            gevent.spawn_later(FALL_SECONDS, self.announce, name)

    def _delay(self) -> None:
        gevent.sleep(self._random.uniform(*DELAY_SECONDS))

    def _tick(self, one: broker.Broker) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            one.tick()
