"""Benchmark of placement on machines whose pace changes.

As in ``tools.pattern``, time is simulated and the seed is fixed, so the figures
are the same on every VM. It compares what the broker knows of the machines:
nothing, the figures that answers carry, or all, and tells by how much the gain
depends on the time for which a machine stays slow.
"""

import collections
import dataclasses
import itertools
import random
import statistics
import sys
import types

import gevent
import msgspec
from gevent import event as gevent_event

from pimentoway.core import clock
from pimentoway.ops import enginespeed, slot
from pimentoway.standin import load, machine, paused_loop, slotrequest
from pimentoway.tools import pattern

#: The correlation times of the pace, in seconds.
CORRELATION_SECONDS = (0.05, 0.2, 0.6, 2, 10)

SEEDS = (1, 2, 3)

MILLISECONDS = 1000

#: Seconds for which requests arrive, and after which the last ones have ended.
LOAD_SECONDS = 20.0
DRAIN_SECONDS = 25.0

#: The kinds of requests of the model service. Most back ends meet the targets
#: at the usual pace, and the fastest ones at the slow pace.
KINDS = tuple(
    dataclasses.replace(kind, latency_target=target)
    for kind, target in zip(load.REQUEST_KINDS, (0.25, 0.25, 0.25), strict=True)
)

#: The back ends of the model service, and their offered load as a part of the
#: capacity, which is ``CAPACITY_FACTOR`` times the rates of the kinds.
MODEL_SPEEDS = (0.6, 1.0, 1.7) * 10
MODEL_SLOTS = 5
LOAD_RATIO = 0.6
CAPACITY_FACTOR = 6.5

#: The back ends of the plain service. Each request runs once, in a time that
#: fits the target at the usual pace only.
PLAIN_SPEEDS = (0.6, 1.0, 1.4, 1.7)
PLAIN_SLOTS = 6
#: The nodes among which requests are spread, and the seconds for which they
#: keep connections to back ends that announce 5 s.
NODES = 95
KEPT_SECONDS = 4.3

APPROVAL_RATE = 80
APPROVAL_TARGET_SECONDS = 0.15
APPROVAL = load.RequestKind(
    name='approval',
    rank=0,
    rate=APPROVAL_RATE,
    prompt_tokens=0,
    output_tokens=1,
    latency_target=APPROVAL_TARGET_SECONDS,
    time_limit=1,
)


class OracleSpeed(enginespeed.EngineSpeed):
    """Knows how a machine goes on."""

    def __init__(self, known: machine.Machine) -> None:
        """Look at a machine.

        Args:
            known: The machine.
        """
        super().__init__()
        self.pace = machine.USUAL_PACE
        self._known = known

    def predict_ratio(self, seconds: float, now: float) -> float:
        """Tell how much longer than usual work takes that starts now.

        Args:
            seconds: How long the work usually takes.
            now: The monotonic time.

        Returns:
            The ratio to the usual time.
        """
        work = max(seconds, enginespeed.MIN_CORRELATION_SECONDS)
        work /= machine.MEAN_PACE
        end = self._known.compute_end(now, work)
        return (end - now) / work / machine.MEAN_PACE


class UnevenSimulation(load.Simulation):
    """Back ends whose answers tell the pace of their machines.

    Attributes:
        first_seconds: The times from arrival to the first token, by kind.
        opened: The connections that nodes opened.
    """

    def __init__(
        self,
        speeds: tuple[float, ...],
        slots: int,
        seed: int,
        correlation_seconds: float,
    ) -> None:
        """Start the back ends.

        Args:
            speeds: The speed of each back end.
            slots: The number of slots of each back end.
            seed: The seed of the load and of the machines.
            correlation_seconds: The correlation time of their pace.
        """
        super().__init__(speeds, slots, seed=seed)
        chance = random.Random(seed)
        now = clock.read_monotonic()
        self.opened = 0
        self._numbers = itertools.count(1)
        self._nodes = random.Random(seed)
        self._requester_by_number: dict[int, str] = {}
        # When the idle connections of a node to a back end became idle.
        self._idle_by_path = collections.defaultdict(list)
        self._reading_by_engine = collections.Counter()
        self.first_seconds = collections.defaultdict(list)
        self.machine_by_engine = {
            name: machine.Machine(chance, correlation_seconds, now)
            for name in self.speed_by_engine
        }

    def read_pace(self, engine: str) -> float:
        """Read the pace that an answer tells.

        Args:
            engine: The name of the back end.

        Returns:
            The pace of its machine.
        """
        known = self.machine_by_engine[engine]
        return known.find_pace(clock.read_monotonic())

    def note_head(self, engine: str, pace: float) -> None:
        """Do nothing when the first token of an answer comes.

        Args:
            engine: The name of the back end.
            pace: The pace that it reports.
        """

    def _run_request(
        self, call: object, grant: slot.Grant, number: int
    ) -> None:
        started = clock.read_monotonic()
        request = call.slot_request
        requester = self._requester_by_number.pop(number)
        self._connect(requester, grant.engine, request.route)
        # Prompts that are read at the same time delay each other.
        self._reading_by_engine[grant.engine] += request.prompt_tokens
        prompt = self._reading_by_engine[grant.engine] * load.PROMPT_SECONDS
        self._work(grant.engine, load.FIRST_TOKEN_SECONDS + prompt)
        self._reading_by_engine[grant.engine] -= request.prompt_tokens
        first_token = clock.read_monotonic()
        pace = self.read_pace(grant.engine)
        self.note_head(grant.engine, pace)
        self._work(grant.engine, call.output_tokens * load.TOKEN_SECONDS)
        first = first_token - call.arrived
        self.first_seconds[request.route].append(first)
        if first <= request.target_left:
            call.counts.on_time += 1
        else:
            call.counts.late += 1
        now = clock.read_monotonic()
        report = slot.Report(
            number,
            slot.Outcome.answered,
            first_token - started,
            now - started,
            call.output_tokens,
            pace=pace,
            idle_seconds=self._keep(requester, grant.engine, request.route),
        )
        self.broker.finish(requester, report)

    def _connect(self, requester: str, engine: str, route: str) -> None:
        idle = self._idle_by_path[requester, engine]
        if not idle or idle.pop() < clock.read_monotonic() - KEPT_SECONDS:
            self.opened += 1

    def _keep(self, requester: str, engine: str, route: str) -> float:
        # Returns for how long the node reports the connection as usable.
        self._idle_by_path[requester, engine].append(clock.read_monotonic())
        return KEPT_SECONDS

    def _pick_node(self, call: load.Call) -> int:
        return self._nodes.randrange(NODES)

    def _find_zone(self, node: int) -> str:
        return 'z'

    def _submit(self, call: object) -> tuple[slot.Grant | slot.Refusal, int]:
        number = next(self._numbers)
        node = self._pick_node(call)
        requester = f'n{node}/1'
        self._requester_by_number[number] = requester
        pending = gevent_event.AsyncResult()
        self._pending_reply_by_number[number] = pending
        elapsed = clock.read_monotonic() - call.arrived
        request = msgspec.structs.replace(
            call.slot_request,
            number=number,
            zone=self._find_zone(node),
            time_left=call.slot_request.time_left - elapsed,
        )
        self.broker.submit(requester, request)
        return pending.get(), number

    def _reply(self, requester: str, reply: slot.Grant | slot.Refusal) -> None:
        if isinstance(reply, slot.Refusal):
            self._requester_by_number.pop(reply.number)
        super()._reply(load.REQUESTER, reply)

    def _work(self, engine: str, seconds: float) -> None:
        now = clock.read_monotonic()
        work = seconds / self.speed_by_engine[engine]
        end = self.machine_by_engine[engine].compute_end(now, work)
        gevent.sleep(end - now)


class SilentSimulation(UnevenSimulation):
    """Back ends that report no pace."""

    def read_pace(self, engine: str) -> float:
        """Read the pace that an answer tells.

        Args:
            engine: The name of the back end.

        Returns:
            0 for none.
        """
        return 0


class ConstantSimulation(UnevenSimulation):
    """Back ends that always report the usual pace.

    What they gain is due to the other parts of what the broker expects.
    """

    def read_pace(self, engine: str) -> float:
        """Read the pace that an answer tells.

        Args:
            engine: The name of the back end.

        Returns:
            The usual pace.
        """
        return machine.USUAL_PACE


class EarlySimulation(UnevenSimulation):
    """Nodes tell the pace when an answer begins, in a report of its own."""

    def note_head(self, engine: str, pace: float) -> None:
        """Tell the broker the pace.

        Args:
            engine: The name of the back end.
            pace: The pace that it reports.
        """
        model = self.broker.engines.pace_by_service.setdefault(
            slotrequest.SERVICE, enginespeed.PaceModel()
        )
        state = self.broker.engines.state_by_name[engine]
        state.speed.note(pace, clock.read_monotonic(), model)


class OracleSimulation(SilentSimulation):
    """A broker that knows how all machines go on."""

    def __init__(self, *fields: object) -> None:
        """Start the back ends.

        Args:
            *fields: The arguments of ``UnevenSimulation``.
        """
        super().__init__(*fields)
        engines = self.broker.engines
        engines.pace_by_service[slotrequest.SERVICE] = enginespeed.PaceModel()
        for name, state in engines.state_by_name.items():
            state.speed = OracleSpeed(self.machine_by_engine[name])


SIMULATION_BY_NAME = types.MappingProxyType(
    {
        'none': SilentSimulation,
        'always 100': ConstantSimulation,
        'with the report': UnevenSimulation,
        'with the head': EarlySimulation,
        'oracle': OracleSimulation,
    },
)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The results of one load with one kind of knowledge.

    Attributes:
        on_time_by_kind: The fraction of the requests of each kind that was
            answered within the latency target.
        first_by_kind: The mean time to the first token, in seconds.
        worth: The worth of the answers to the model service, as a fraction of
            what was possible.
        connections: The new connections for each request of both services.
    """

    on_time_by_kind: dict[str, float]
    first_by_kind: dict[str, float]
    worth: float
    connections: float


def measure(
    simulation_class: type[UnevenSimulation], seconds: float, seed: int
) -> Outcome:
    """Run both services.

    Args:
        simulation_class: What the broker knows.
        seconds: The correlation time of the pace.
        seed: The seed.

    Returns:
        The results.
    """
    model = simulation_class(MODEL_SPEEDS, MODEL_SLOTS, seed, seconds)
    model.generate_requests(LOAD_SECONDS, KINDS, CAPACITY_FACTOR * LOAD_RATIO)
    plain = simulation_class(PLAIN_SPEEDS, PLAIN_SLOTS, seed, seconds)
    plain.generate_requests(LOAD_SECONDS, (APPROVAL,))
    paused_loop.advance(LOAD_SECONDS + DRAIN_SECONDS)
    counts_by_kind = {kind.name: model.get_counts(kind.name) for kind in KINDS}
    worth = pattern.compute_worth_ratio(counts_by_kind)
    counts_by_kind[APPROVAL.name] = plain.get_counts(APPROVAL.name)
    # The tasks of one run must not go on in the next.
    paused_loop.reset_tasks(seed)
    return Outcome(
        {
            name: counts.compute_on_time_ratio()
            for name, counts in counts_by_kind.items()
        },
        {
            name: statistics.fmean(firsts)
            for one in (model, plain)
            for name, firsts in one.first_seconds.items()
        },
        worth,
        (model.opened + plain.opened)
        / sum(counts.sent for counts in counts_by_kind.values()),
    )


def run() -> int:
    """Print a table with a row for each correlation time and knowledge.

    Returns:
        The exit status.
    """
    kinds = [kind.name for kind in (*KINDS, APPROVAL)]
    sys.stdout.write(
        f'\n| correlation, s | known | {" | ".join(kinds)} | worth '
        f'| connections | first event, ms: {" | ".join(kinds)} |\n'
        f'|{"---|" * (4 + 2 * len(kinds))}\n',
    )
    for seconds in CORRELATION_SECONDS:
        for name, simulation_class in SIMULATION_BY_NAME.items():
            outcomes = [
                measure(simulation_class, seconds, seed) for seed in SEEDS
            ]
            _print_row(f'{seconds:g} | {name}', kinds, outcomes)
    return 0


def _print_row(title: str, kinds: list[str], outcomes: list[Outcome]) -> None:
    on_time = ' | '.join(
        f'{statistics.fmean(one.on_time_by_kind[kind] for one in outcomes):.3f}'
        for kind in kinds
    )
    first = ' | '.join(
        f'{_average_milliseconds(outcomes, kind):.0f}' for kind in kinds
    )
    worth = statistics.fmean(one.worth for one in outcomes)
    connections = statistics.fmean(one.connections for one in outcomes)
    sys.stdout.write(
        f'| {title} | {on_time} | {worth:.3f} | {connections:.3f} '
        f'| {first} |\n',
    )


def _average_milliseconds(outcomes: list[Outcome], kind: str) -> float:
    return MILLISECONDS * statistics.fmean(
        one.first_by_kind[kind] for one in outcomes
    )
