"""Benchmark of load patterns: the broker against two simple baselines.

``standin.load`` simulates callers and back ends on a simulated clock and
without a network, so the figures are the same on every VM.
"""

import collections
import dataclasses
import statistics
import sys
import types

import msgspec

from pimentoway.core import clock, registry
from pimentoway.ops import broker, slot
from pimentoway.standin import load, paused_loop

#: Requests that may wait at a back end, beyond its slots, before the baseline
#: refuses more; the users' engines have queues of 36.
BACKEND_QUEUE_LENGTH = 36

#: Seconds after which a caller that the baseline refused may retry.
RETRY_AFTER_SECONDS = 0.3

#: Offered load without a disturbance, as a ratio to the capacity.
BASE_LOAD_RATIO = 0.6

#: Seconds for which requests arrive, the start and the length of a disturbance,
#: and the time left for the last requests to end.
LOAD_SECONDS = 20.0
DISTURBANCE_START_SECONDS = 6.0
DISTURBANCE_SECONDS = 5.0
DRAIN_SECONDS = 25.0

#: Additional load as a ratio to the capacity. With ``BASE_LOAD_RATIO`` it makes
#: twice the capacity, and a peak just below the capacity.
OVERLOAD_EXTRA_RATIO = 1.4
PEAK_EXTRA_RATIO = 0.3

#: Relative speeds of nine back ends, three in each failure domain.
SPEEDS = (0.6, 1.0, 1.7) * 3

#: Capacity of the nine back ends, as a multiple of the rates in
#: ``load.REQUEST_KINDS``.
CAPACITY_FACTOR = 3.0

#: Worth of an answer of each kind, and the fraction of it that an answer after
#: the latency target still has: means of the users' data sheets.
WORTH_BY_KIND = types.MappingProxyType(
    {'draft': 5.8, 'note': 1.8, 'digest': 0.88},
)
LATE_WORTH_FRACTION = 0.3

DRAFT, NOTE, DIGEST = load.REQUEST_KINDS


class LeastInFlight(broker.Broker):
    """Grants at once the back end with the fewest in-flight requests."""

    def submit(self, requester: str, request: slot.SlotRequest) -> None:
        """Accept a slot request, see ``Broker.submit``.

        Args:
            requester: The node that sent the request.
            request: The slot request.
        """
        states = self.engines.state_by_name.values()
        state = min(states, key=lambda one: len(one.run_by_key))
        if len(state.run_by_key) >= state.engine.slots + BACKEND_QUEUE_LENGTH:
            refusal = slot.Refusal(
                request.number, slot.Reason.overloaded, RETRY_AFTER_SECONDS
            )
            self._reply(requester, refusal)
            return
        state.start((requester, request.number), request)
        self._reply(requester, slot.Grant(request.number, state.engine.name))

    def finish(self, requester: str, report: slot.Report) -> None:
        """End a run, see ``Broker.finish``.

        Args:
            requester: The node that ran the request.
            report: The outcome of the run.
        """
        state = self.engines.find_engine((requester, report.number))
        if state:
            state.end((requester, report.number), report)

    def tick(self) -> None:
        """Do nothing, as no request ever waits in this broker."""


class EarliestTarget(broker.Broker):
    """Has one queue ordered by latency target, without tiers or cost.

    Each slot request gets the same route and rank and no estimate of its work.
    """

    def submit(self, requester: str, request: slot.SlotRequest) -> None:
        """Accept a slot request, see ``Broker.submit``.

        Args:
            requester: The node that sent the request.
            request: The slot request.
        """
        uniform_request = msgspec.structs.replace(
            request, route='all', rank=0, work_tokens=0, output_tokens=0
        )
        super().submit(requester, uniform_request)


@dataclasses.dataclass(frozen=True)
class Policy:
    """A broker under test.

    Attributes:
        name: The name in the printed table.
        broker_class: The class that makes the decisions.
    """

    name: str
    broker_class: type[broker.Broker]


POLICIES = (
    Policy('pimentoway', broker.Broker),
    Policy('one queue, earliest goal', EarliestTarget),
    Policy('least in flight', LeastInFlight),
)

Disturbance = collections.abc.Callable[[load.Simulation], None]


def _leave_undisturbed(simulation: load.Simulation) -> None:
    """Leave the base load as it is."""


def _add_draft_burst(simulation: load.Simulation) -> None:
    simulation.generate_requests(
        DISTURBANCE_SECONDS, (DRAFT,), CAPACITY_FACTOR * 2
    )


def _add_digest_burst(simulation: load.Simulation) -> None:
    simulation.generate_requests(
        DISTURBANCE_SECONDS, (DIGEST,), CAPACITY_FACTOR * 2
    )


def _double_load(simulation: load.Simulation) -> None:
    simulation.generate_requests(
        DISTURBANCE_SECONDS, factor=CAPACITY_FACTOR * OVERLOAD_EXTRA_RATIO
    )


def _lose_zone(simulation: load.Simulation) -> None:
    simulation.generate_requests(
        DISTURBANCE_SECONDS, factor=CAPACITY_FACTOR * PEAK_EXTRA_RATIO
    )
    for engine in list(simulation.speed_by_engine)[:3]:
        simulation.change_record(registry.Kind.engines, engine, None)


def _slow_two_engines(simulation: load.Simulation) -> None:
    for engine in list(simulation.speed_by_engine)[:2]:
        simulation.speed_by_engine[engine] = 0.1


def _pause_all_engines(simulation: load.Simulation) -> None:
    for engine in simulation.view.engines_by_name.values():
        notice = slot.EngineNotice(
            engine.name,
            engine.address,
            engine.born,
            pause_seconds=DISTURBANCE_SECONDS,
        )
        simulation.broker.notices.note(load.REQUESTER, notice)


DISTURBANCE_BY_NAME = types.MappingProxyType(
    {
        'calm': _leave_undisturbed,
        'burst of long prompts': _add_draft_burst,
        'burst of long answers': _add_digest_burst,
        'twice the load': _double_load,
        'failure domain lost at peak': _lose_zone,
        'two stragglers': _slow_two_engines,
        'all back ends shed load': _pause_all_engines,
    },
)


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The results of one load under one policy.

    Attributes:
        on_time_ratio_by_kind: The fraction of the requests of each kind that
            was answered within the latency target.
        worth_ratio: The worth of the answers, as a fraction of the worth of
            all requests answered within the target.
        refused_ratio: The fraction of the requests that was refused for good.
        refusal_seconds: The median time from a request to its refusal; 0 if
            none was refused.
        early_requests: The requests that reached back ends which wanted none.
    """

    on_time_ratio_by_kind: dict[str, float]
    worth_ratio: float
    refused_ratio: float
    refusal_seconds: float
    early_requests: int = 0


def measure_load(disturbance: Disturbance, policy: Policy) -> Outcome:
    """Run a load under a policy.

    Args:
        disturbance: Adds load or changes back ends at
            ``DISTURBANCE_START_SECONDS``.
        policy: The policy.

    Returns:
        The measured results.
    """
    simulation = load.Simulation(
        speeds=SPEEDS, broker_class=policy.broker_class
    )
    simulation.generate_requests(
        LOAD_SECONDS, factor=CAPACITY_FACTOR * BASE_LOAD_RATIO
    )
    paused_loop.advance(DISTURBANCE_START_SECONDS)
    disturbance(simulation)
    ends_by_engine = _list_pauses(simulation)
    started = clock.read_monotonic()
    paused_loop.advance(LOAD_SECONDS + DRAIN_SECONDS)
    outcome = summarize(
        {
            kind.name: simulation.get_counts(kind.name)
            for kind in load.REQUEST_KINDS
        }
    )
    return dataclasses.replace(
        outcome,
        early_requests=sum(
            started < time < end
            for engine, end in ends_by_engine.items()
            for time in simulation.arrivals_by_engine[engine]
        ),
    )


def _list_pauses(simulation: load.Simulation) -> dict[str, float]:
    # The ends of the pauses of all back ends, on the monotonic clock.
    now = clock.read_monotonic()
    notices = simulation.broker.notices
    return {
        name: now + notices.measure_pause(load.REQUESTER, engine)
        for name, engine in simulation.view.engines_by_name.items()
    }


def compute_worth_ratio(counts_by_kind: dict[str, load.OutcomeCounts]) -> float:
    """Compute the worth of the answers as a fraction of what was possible.

    Args:
        counts_by_kind: The counts of requests by outcome, for each kind.

    Returns:
        The fraction, 1 if all requests were answered within their targets.
    """
    earned: float = 0
    possible: float = 0
    for kind, counts in counts_by_kind.items():
        worth = WORTH_BY_KIND[kind]
        earned += worth * (counts.on_time + LATE_WORTH_FRACTION * counts.late)
        possible += worth * counts.sent
    return earned / possible


def summarize(counts_by_kind: dict[str, load.OutcomeCounts]) -> Outcome:
    """Compute the results of a load from its counts.

    Args:
        counts_by_kind: The counts of requests by outcome, for each kind.

    Returns:
        The results.
    """
    all_counts = tuple(counts_by_kind.values())
    refusal_waits = [
        seconds for counts in all_counts for seconds in counts.refusal_waits
    ]
    refused = sum(counts.refused for counts in all_counts)
    return Outcome(
        {
            name: counts.compute_on_time_ratio()
            for name, counts in counts_by_kind.items()
        },
        compute_worth_ratio(counts_by_kind),
        refused / sum(counts.sent for counts in all_counts),
        statistics.median(refusal_waits) if refusal_waits else 0,
    )


def run() -> int:
    """Print a table with a row for each load pattern and policy.

    Returns:
        The exit status.
    """
    kinds = ' | '.join(kind.name for kind in load.REQUEST_KINDS)
    sys.stdout.write(
        f'\n| pattern | policy | {kinds} '
        '| worth | refused | refusal, s | early |\n'
        '|---|---|---|---|---|---|---|---|---|\n',
    )
    for name, disturbance in DISTURBANCE_BY_NAME.items():
        for policy in POLICIES:
            outcome = measure_load(disturbance, policy)
            on_time = ' | '.join(
                f'{outcome.on_time_ratio_by_kind[kind.name]:.3f}'
                for kind in load.REQUEST_KINDS
            )
            sys.stdout.write(
                f'| {name} | {policy.name} | {on_time} '
                f'| {outcome.worth_ratio:.3f} | {outcome.refused_ratio:.3f} '
                f'| {outcome.refusal_seconds:.2f} '
                f'| {outcome.early_requests} |\n',
            )
    return 0
