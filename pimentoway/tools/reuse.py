"""Benchmark of new connections to back ends that many nodes share.

As in ``tools.placement``, time is simulated and the seed is fixed. Each node
keeps idle connections as ``backends.channel`` does, and back ends close them at
the end of the time that they announce.
"""

import collections
import dataclasses
import statistics
import sys

from pimentoway.backends import channel
from pimentoway.core import clock, deployment, registry
from pimentoway.ops import idletable
from pimentoway.standin import load, paused_loop
from pimentoway.tools import placement

SEEDS = (1, 2, 3)

ZONES = ('z0', 'z1', 'z2')

#: Requests a second. The slots of all back ends are used by 0.6 then.
RATE = 180

#: Seconds of load, and those before connections count.
LOAD_SECONDS = 40.0
WARM_SECONDS = 10.0
DRAIN_SECONDS = 25.0

#: Seconds for which back ends keep an idle connection.
KEPT_SECONDS = 5.0

#: The correlation time of the pace of the machines.
CORRELATION_SECONDS = 0.6

_UNSAFE_SUFFIX = '-unsafe'


@dataclasses.dataclass(frozen=True)
class Case:
    """A load, and what the back ends tell.

    Attributes:
        name: Its name in the table.
        unsafe: The part of the requests that must not run twice.
        is_announced: Whether back ends announce how long they keep idle
            connections.
        has_pace: Whether they report the pace of their machines.
    """

    name: str
    unsafe: float
    is_announced: bool = True
    has_pace: bool = True


#: The parts of the requests that are unsafe: some, and most.
FEW_UNSAFE = 0.3
MANY_UNSAFE = 0.7

CASES = (
    Case('3 in 10 unsafe', FEW_UNSAFE),
    Case('7 in 10 unsafe', MANY_UNSAFE),
    Case('3 in 10, nothing announced', FEW_UNSAFE, is_announced=False),
    Case('3 in 10, no pace', FEW_UNSAFE, has_pace=False),
    Case('7 in 10, no pace', MANY_UNSAFE, has_pace=False),
    Case(
        '3 in 10, no pace, nothing announced',
        FEW_UNSAFE,
        is_announced=False,
        has_pace=False,
    ),
)


class ReuseSimulation(placement.UnevenSimulation):
    """Nodes in three failure domains, which keep idle connections.

    Attributes:
        sent_by_kind: The requests that got a connection since the warm-up, by
            whether they are unsafe.
        opened_by_kind: Those among them that opened it.
        remote: Those that ran in another failure domain than their node.
    """

    def __init__(self, case: Case, seed: int) -> None:
        """Start the back ends.

        Args:
            case: What they tell.
            seed: The seed.
        """
        self._case = case
        super().__init__(
            placement.MODEL_SPEEDS,
            placement.MODEL_SLOTS,
            seed,
            CORRELATION_SECONDS,
        )
        self.sent_by_kind: collections.Counter[bool] = collections.Counter()
        self.opened_by_kind: collections.Counter[bool] = collections.Counter()
        self.remote = 0
        self._counted_from = clock.read_monotonic() + WARM_SECONDS
        self.change_record(
            registry.Kind.configuration, 'main', _make_deployment()
        )

    def add_engine(
        self, name: str, speed: float, slots: int = 6, **changes: object
    ) -> None:
        """Add a back end; every third one is in the same failure domain.

        Args:
            name: The name of the back end.
            speed: Its speed.
            slots: The number of its slots.
            **changes: Other fields of its record.
        """
        # The speeds repeat after three, so the failure domains must not.
        zone = ZONES[int(name[1:]) // len(ZONES) % len(ZONES)]
        super().add_engine(name, speed, slots, zone=zone, **changes)

    def read_pace(self, engine: str) -> float:
        """Read the pace that an answer tells.

        Args:
            engine: The name of the back end.

        Returns:
            The pace of its machine; 0 for none.
        """
        return super().read_pace(engine) if self._case.has_pace else 0

    def _find_zone(self, node: int) -> str:
        return ZONES[node % len(ZONES)]

    def _connect(self, requester: str, engine: str, route: str) -> None:
        now = clock.read_monotonic()
        path = (requester, engine)
        max_idle = self._find_max_idle(route)
        idle = [
            since
            for since in self._idle_by_path[path]
            if now - since < self._kept
        ]
        self._idle_by_path[path] = idle
        fit = [since for since in idle if now - since < max_idle]
        if fit:
            idle.remove(max(fit))
        if now < self._counted_from:
            return
        is_unsafe = route.endswith(_UNSAFE_SUFFIX)
        self.sent_by_kind[is_unsafe] += 1
        self.opened_by_kind[is_unsafe] += not fit
        zone = self.view.engines_by_name[engine].zone
        node = int(requester.removeprefix('n').partition('/')[0])
        self.remote += zone != self._find_zone(node)

    def _keep(self, requester: str, engine: str, route: str) -> float:
        idle = self._idle_by_path[requester, engine]
        if len(idle) >= channel.MAX_IDLE_CHANNELS:
            return 0
        idle.append(clock.read_monotonic())
        return self._kept

    @property
    def _kept(self) -> float:
        if self._case.is_announced:
            return KEPT_SECONDS - channel.IDLE_MARGIN_SECONDS
        return channel.DEFAULT_IDLE_SECONDS

    def _find_max_idle(self, route: str) -> float:
        if route.endswith(_UNSAFE_SUFFIX):
            return idletable.UNSAFE_MAX_IDLE_SECONDS
        return KEPT_SECONDS


def _make_kinds(unsafe: float) -> tuple[load.RequestKind, ...]:
    usual = sum(kind.rate for kind in placement.KINDS)
    return tuple(
        dataclasses.replace(
            kind, name=kind.name + suffix, rate=kind.rate * part * RATE / usual
        )
        for suffix, part in (('', 1 - unsafe), (_UNSAFE_SUFFIX, unsafe))
        for kind in placement.KINDS
    )


def make_route(name: str, kind: deployment.RouteKind) -> deployment.Route:
    """Create a route of which only the kind matters.

    Args:
        name: The name.
        kind: Whether requests may be repeated.

    Returns:
        The route.
    """
    return deployment.Route(
        name=name,
        host='',
        prefix='/',
        kind=kind,
        shares=(),
        attempts=2,
        timeout=1,
        goal=1,
        gap=0,
        rank=0,
        public=True,
        resumable=False,
    )


def _make_deployment() -> deployment.Deployment:
    routes = []
    for kind in placement.KINDS:
        routes.append(make_route(kind.name, deployment.RouteKind.safe))
        routes.append(
            make_route(kind.name + _UNSAFE_SUFFIX, deployment.RouteKind.unsafe)
        )
    return deployment.Deployment(
        1, tuple(routes), {}, {}, deployment.CallerLimits()
    )


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The results of one load.

    Attributes:
        connections: New connections for each request.
        safe: Those for each request that may run twice.
        unsafe: Those for each other one.
        remote: The part of the requests that ran in another failure domain.
        on_time: The part that met its latency target.
    """

    connections: float
    safe: float
    unsafe: float
    remote: float
    on_time: float


def measure(case: Case, seed: int) -> Outcome:
    """Run one load.

    Args:
        case: The load.
        seed: The seed.

    Returns:
        The results.
    """
    simulation = ReuseSimulation(case, seed)
    kinds = _make_kinds(case.unsafe)
    simulation.generate_requests(LOAD_SECONDS, kinds)
    paused_loop.advance(LOAD_SECONDS + DRAIN_SECONDS)
    counts = [simulation.get_counts(kind.name) for kind in kinds]
    # The tasks of one run must not go on in the next.
    paused_loop.reset_tasks(seed)
    sent = simulation.sent_by_kind
    opened = simulation.opened_by_kind
    return Outcome(
        opened.total() / sent.total(),
        opened[False] / sent[False],
        opened[True] / sent[True],
        simulation.remote / sent.total(),
        sum(one.on_time for one in counts) / sum(one.sent for one in counts),
    )


def run() -> int:
    """Print a table with a row for each load.

    Returns:
        The exit status.
    """
    sys.stdout.write(
        '\n| load | connections | safe | unsafe | in another domain '
        '| on time |\n|---|---|---|---|---|---|\n'
    )
    for case in CASES:
        measured = [dataclasses.astuple(measure(case, seed)) for seed in SEEDS]
        means = ' | '.join(
            f'{statistics.fmean(column):.3f}'
            for column in zip(*measured, strict=True)
        )
        sys.stdout.write(f'| {case.name} | {means} |\n')
    return 0
