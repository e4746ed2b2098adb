"""Benchmark of scheduling decisions against two simple baselines.

Complete nodes run on a simulated clock, so the figures are the same on every
VM. A baseline replaces the choice of the back end, the order of the queue and
the limit on lower tiers; everything else is the same.
"""

import collections
import contextlib
import dataclasses
import itertools
import random
import statistics
import sys
import types
from unittest import mock

from pimentoway.core import clock, evidence
from pimentoway.ops import fleet, pressure, queue, route, verdict
from pimentoway.standin import cluster, model, replay, shape

#: Seconds for which requests are sent.
LOAD_SECONDS = 30

#: Seed of the random arrivals, lengths and prompts.
SEED = 7

#: Fraction of the requests that each tier sends, by rank.
FRACTION_BY_RANK = types.MappingProxyType({0: 0.2, 1: 0.3, 2: 0.5})

#: Length of the prefix that several prompts of a customer share.
SHARED_PREFIX_BYTES = 3000

#: Number of different shared prefixes of each customer.
PREFIXES_PER_CUSTOMER = 4

#: Capacity of the prefix cache of an engine, in blocks.
CACHED_BLOCKS = 80

#: Seconds between two tokens of an engine that runs a single request.
GAP_SECONDS = 0.05

#: Seconds of prefill for each prompt token that is not cached.
PREFILL_SECONDS = 0.001

#: Fraction of the requests that customer 0 sends, to test fairness: the other
#: four customers share the rest.
GREEDY_FRACTION = 0.6

#: Answers after which a version that was not found bad counts as good.
MAX_JUDGED_ANSWERS = 2000

#: Rank of the tier in which fairness between customers is measured.
COMPARED_RANK = 1

#: Tokens of the shortest and of the longest answer.
ANSWER_TOKENS_RANGE = (1, 100)

#: Tokens per second of five engines with 8 slots each at full load, where the
#: gap between tokens is twice that of a single request.
CAPACITY_TOKENS_PER_SECOND = 5 * 8 / (GAP_SECONDS * 2)

_ENGINE = model.Traits(
    gap=GAP_SECONDS,
    prefill=PREFILL_SECONDS,
    cached_blocks=CACHED_BLOCKS,
)
_TRAITS = (_ENGINE, _ENGINE)
_DEADLINE_SECONDS = 15


@dataclasses.dataclass(frozen=True)
class Policy:
    """A scheduling policy.

    Attributes:
        name: The name in the printed table.
        choose_backend: Replaces ``route.choose_backend``; None keeps it.
        fair: Whether the queue respects tiers and customers. If not, requests
            are served first come, first served, and no tier is held back.
    """

    name: str
    choose_backend: object = None
    fair: bool = True


@dataclasses.dataclass
class Outcome:
    """The results of one load under one policy.

    Attributes:
        policy: The name of the policy.
        load: The offered load as a ratio to the capacity.
        goodput_by_rank: The fraction of each tier's requested tokens that was
            answered before the deadline.
        tokens_per_second: The tokens answered before the deadline, per second.
        prefill_ratio: The prompt tokens computed, as a ratio to the tokens of
            the shared prefixes sent. Hits in the prefix cache lower it.
        jain_index: Jain's fairness index over the answered tokens of the
            customers in the tier ``COMPARED_RANK``; 1 is fair.
    """

    policy: str
    load: float
    goodput_by_rank: dict[int, float]
    tokens_per_second: float
    prefill_ratio: float
    jain_index: float


class RoundRobin:
    """Chooses the back ends with a free slot in turn."""

    def __init__(self) -> None:
        """Start with the first back end."""
        self._counter = itertools.count()

    def __call__(
        self,
        candidates: list,
        context: route.RoutingContext,
        caller_request: object,
    ) -> fleet.BackendState | None:
        """Choose a back end.

        Args:
            candidates: The back ends that may take the request.
            context: The node's failure domain and its view of the ramps.
            caller_request: Ignored.

        Returns:
            The next one with a free slot, None if there is none.
        """
        free = list_free_backends(candidates, context)
        if not free:
            return None
        return free[next(self._counter) % len(free)]


def choose_least_requests(
    candidates: list, context: route.RoutingContext, caller_request: object
) -> fleet.BackendState | None:
    """Choose the back end with the fewest in-flight requests of this node.

    Args:
        candidates: The back ends that may take the request.
        context: The node's failure domain and its view of the ramps.
        caller_request: Ignored.

    Returns:
        The back end, None if none has a free slot.
    """
    free = list_free_backends(candidates, context)
    return min(free, key=_count_inflight) if free else None


def list_free_backends(candidates: list, context: route.RoutingContext) -> list:
    """List the back ends with a free slot.

    Args:
        candidates: The back ends that may take the request.
        context: The node's failure domain and its view of the ramps.

    Returns:
        Those with a free slot, in the same order.
    """
    return [
        state
        for state in candidates
        if route.count_free_slots(state, context) > 0
    ]


POLICIES = (
    Policy('pimentoway'),
    Policy('round robin', RoundRobin(), fair=False),
    Policy('least requests', choose_least_requests, fair=False),
)


@contextlib.contextmanager
def use_policy(policy: Policy) -> collections.abc.Generator[None]:
    """Patch the scheduler to follow a policy while the context lasts.

    Args:
        policy: The policy.

    Yields:
        Nothing.
    """
    with contextlib.ExitStack() as stack:
        if policy.choose_backend:
            stack.enter_context(
                mock.patch.object(
                    route, 'choose_backend', policy.choose_backend
                ),
            )
        if not policy.fair:
            stack.enter_context(
                mock.patch.object(queue.FairQueue, 'add', _add_first_come),
            )
            stack.enter_context(
                mock.patch.object(
                    pressure.PressureTable, 'admits', _admit_always
                ),
            )
        yield


def run_load(policy: Policy, load: float) -> Outcome:
    """Run a load under a policy.

    Args:
        policy: The policy.
        load: The offered load as a ratio to the capacity.

    Returns:
        The measured results.
    """
    with use_policy(policy):
        simulation = build_cluster()
        prefill_before = count_prefill(simulation)
        total_tokens = sum(
            draw_length(random.Random(seed)) for seed in range(2000)
        )
        rate = load * CAPACITY_TOKENS_PER_SECOND / (total_tokens / 2000)
        tokens_by_request = send_load(simulation, rate, LOAD_SECONDS)
        simulation.advance(_DEADLINE_SECONDS + 5)
        return _summarize(
            simulation, policy.name, load, tokens_by_request, prefill_before
        )


def build_cluster() -> cluster.Cluster:
    """Build the simulated deployment ``make_quetzal`` and warm up its engines.

    Returns:
        The simulation, without the requests of the warm-up.
    """
    layout = shape.make_quetzal(_TRAITS, deadline=_DEADLINE_SECONDS, tiers=3)
    simulation = cluster.Cluster(layout)
    nodes = simulation.list_nodes()
    for number in range(300):
        simulation.chat(nodes[number % len(nodes)], rank=2, tokens=4)
        simulation.advance(0.1)
    simulation.advance(5)
    simulation.requests.clear()
    return simulation


def send_load(
    simulation: cluster.Cluster, rate: float, seconds: float
) -> dict[str, int]:
    """Send requests as a Poisson process.

    Args:
        simulation: The simulated deployment.
        rate: The mean number of requests per second.
        seconds: How long requests are sent.

    Returns:
        The requested tokens, by the identifier of the request.
    """
    rng = random.Random(SEED)
    nodes = simulation.list_nodes()
    tokens_by_request = {}
    end = clock.read_monotonic() + seconds
    while clock.read_monotonic() < end:
        simulation.advance(rng.expovariate(rate))
        customer = 0 if rng.random() < GREEDY_FRACTION else rng.randrange(1, 5)
        tokens = draw_length(rng)
        request = simulation.chat(
            rng.choice(nodes),
            customer,
            rng.choices(
                list(FRACTION_BY_RANK),
                list(FRACTION_BY_RANK.values()),
            )[0],
            tokens,
            make_prompt(customer, rng),
        )
        tokens_by_request[request.request_id] = tokens
    return tokens_by_request


def draw_length(rng: random.Random) -> int:
    """Draw the length of an answer from a bounded log-normal distribution.

    Args:
        rng: The random number generator.

    Returns:
        The tokens, within ``ANSWER_TOKENS_RANGE``.
    """
    shortest, longest = ANSWER_TOKENS_RANGE
    return min(longest, max(shortest, int(rng.lognormvariate(2.7, 1))))


def make_prompt(customer: int, rng: random.Random) -> str:
    """Make a prompt that starts with one of the customer's shared prefixes.

    Args:
        customer: The number of the customer.
        rng: The random number generator.

    Returns:
        The prompt; its end is unique.
    """
    prefix = rng.randrange(PREFIXES_PER_CUSTOMER)
    repeated = f'Customer {customer}, album {prefix}. ' * SHARED_PREFIX_BYTES
    return f'{repeated[:SHARED_PREFIX_BYTES]} Case {rng.random()}.'


def count_prefill(simulation: cluster.Cluster) -> int:
    """Count the prompt tokens that all engines computed so far.

    Args:
        simulation: The simulated deployment.

    Returns:
        The tokens, without those found in a prefix cache.
    """
    return sum(
        engine.prefill_tokens for engine in simulation.engines_by_name.values()
    )


def measure_zone_outage(policy: Policy) -> float:
    """Measure the highest tier while a failure domain is out for 30 seconds.

    The remaining engines have the capacity for all requests of this tier.

    Args:
        policy: The policy.

    Returns:
        The fraction of the tier's requests that was answered in time.
    """
    with use_policy(policy):
        simulation = build_cluster()
        rng = random.Random(SEED)
        nodes = simulation.list_nodes()
        for step in range(600):
            if step in {100, 400}:
                _send_zone_order(simulation, 'out' if step == 100 else 'in')
            simulation.advance(0.1)
            for rank, tokens in ((0, 15), (2, draw_length(rng))):
                simulation.chat(
                    rng.choice(nodes),
                    step % 5,
                    rank,
                    tokens,
                    make_prompt(step % 5, rng),
                )
        simulation.advance(_DEADLINE_SECONDS + 5)
        return replay.compute_answered_ratio(simulation, 0)


def measure_straggler(policy: Policy) -> tuple[float, float]:
    """Measure how long an engine that becomes slow keeps its load.

    Args:
        policy: The policy.

    Returns:
        Seconds until it gets less than a quarter of its former requests (see
        ``_measure_relief``), and the fraction of requests answered in time.
    """
    with use_policy(policy):
        simulation = build_cluster()
        nodes = simulation.list_nodes()
        straggler = simulation.engines_by_name['engine-mixco-0']
        slowed_at = clock.read_monotonic()
        for step in range(600):
            if step == 100:
                straggler.traits.slowness = 12
                slowed_at = clock.read_monotonic()
            simulation.advance(0.1)
            for _ in range(2):
                simulation.chat(nodes[step % len(nodes)], step % 5, 0, 15)
        simulation.advance(_DEADLINE_SECONDS + 5)
        arrivals = [run.arrived for run in straggler.ledger]
        return (
            _measure_relief(arrivals, slowed_at),
            replay.compute_answered_ratio(simulation, 0),
        )


def measure_claim_calls() -> tuple[float, float]:
    """Count the calls to the platform that unrepeatable requests cause.

    Returns:
        The calls for 1000 requests, sent at 20 and at 200 per second.
    """
    call_counts = []
    for interval in (0.05, 0.005):
        simulation = build_cluster()
        simulation.platform.faults.delay = 0.005
        simulation.advance(10)
        nodes = simulation.list_nodes()
        calls_before = sum(simulation.platform.call_count_by_method.values())
        for number in range(1000):
            simulation.call_application(
                nodes[number % len(nodes)], f'{interval}-{number}'
            )
            simulation.advance(interval)
        simulation.advance(10)
        call_counts.append(
            sum(simulation.platform.call_count_by_method.values())
            - calls_before
        )
    return call_counts[0], call_counts[1]


def count_answers_sequential(
    bad_rate: float, old_bad_rate: float, seed: int
) -> int:
    """Count the answers until the sequential test finds a version bad.

    Args:
        bad_rate: The new version's fraction of bad answers.
        old_bad_rate: The old version's fraction of bad answers.
        seed: The seed of the random answers.

    Returns:
        The answers of the new version, ``MAX_JUDGED_ANSWERS`` if it is not
        found bad.
    """
    rng = random.Random(seed)
    sequential_test = verdict.SequentialTest('bench')
    new = verdict.Subject('text', 'v2', 'captions')
    old = verdict.Subject('text', 'v1', 'captions')
    for number in range(MAX_JUDGED_ANSWERS):
        for _ in range(5):
            sequential_test.observe(
                old, 'v1', good=rng.random() >= old_bad_rate
            )
        sequential_test.observe(new, 'v1', good=rng.random() >= bad_rate)
        if sequential_test.find_bad_service('text', 'v2'):
            return number + 1
    return MAX_JUDGED_ANSWERS


def count_answers_fixed(bad_rate: float, old_bad_rate: float, seed: int) -> int:
    """Count the answers until a fixed threshold is exceeded, as a baseline.

    Args:
        bad_rate: The new version's fraction of bad answers.
        old_bad_rate: Ignored.
        seed: The seed of the random answers.

    Returns:
        The answers until more than a tenth of the last 50 are bad, but at
        least 21; ``MAX_JUDGED_ANSWERS`` if that doesn't happen.
    """
    rng = random.Random(seed)
    recent: collections.deque[bool] = collections.deque(maxlen=50)
    for number in range(MAX_JUDGED_ANSWERS):
        recent.append(rng.random() < bad_rate)
        if number >= 20 and sum(recent) > len(recent) / 10:
            return number + 1
    return MAX_JUDGED_ANSWERS


def print_verdicts() -> None:
    """Print the sequential test and a fixed threshold side by side."""
    _print_line(
        '| rate, old rate | sequential: blamed, median answers | fixed: '
        'blamed, median answers |'
    )
    _print_line('|---|---|---|')
    for bad_rate, old_bad_rate in (
        (0.02, 0.02),
        (0.1, 0.1),
        (0.3, 0.02),
        (0.5, 0.02),
        (1, 0.02),
    ):
        cells = []
        for count_answers in (count_answers_sequential, count_answers_fixed):
            counts = [
                count_answers(bad_rate, old_bad_rate, seed)
                for seed in range(300)
            ]
            blamed = sum(1 for count in counts if count < MAX_JUDGED_ANSWERS)
            cells.append(
                f'{blamed / len(counts):.3f}, {statistics.median(counts):g}',
            )
        _print_line(f'| {bad_rate}, {old_bad_rate} | {cells[0]} | {cells[1]} |')


def run() -> int:
    """Run the benchmark and print its tables.

    Returns:
        The exit status.
    """
    _print_line(
        '| policy | load | tier 0 | tier 1 | tier 2 | tokens/s | '
        'prefill | Jain |'
    )
    _print_line('|---|---|---|---|---|---|---|---|')
    for load, policy in itertools.product((1, 1.5, 3), POLICIES):
        outcome = run_load(policy, load)
        tiers = ' | '.join(
            f'{fraction:.3f}' for fraction in outcome.goodput_by_rank.values()
        )
        _print_line(
            f'| {policy.name} | {load} | {tiers} '
            f'| {outcome.tokens_per_second:.0f} | '
            f'{outcome.prefill_ratio:.3f} | {outcome.jain_index:.3f} |',
        )
    _print_line('')
    _print_line(
        '| policy | tier 0 while a zone leaves | relief of a straggler, s '
        '| answered beside a straggler |'
    )
    _print_line('|---|---|---|---|')
    for policy in POLICIES:
        relief, answered = measure_straggler(policy)
        _print_line(
            f'| {policy.name} | {measure_zone_outage(policy):.4f} '
            f'| {relief:.1f} | '
            f'{answered:.4f} |',
        )
    _print_line('')
    print_verdicts()
    calls_slow, calls_fast = measure_claim_calls()
    _print_line('')
    _print_line(
        f'platform calls a thousand unrepeatable requests: {calls_slow} at 20 '
        f'requests a second, {calls_fast} at 200'
    )
    return 0


def _summarize(
    simulation: cluster.Cluster,
    policy: str,
    load: float,
    tokens_by_request: dict[str, int],
    prefill_before: int,
) -> Outcome:
    sent_by_rank: collections.Counter = collections.Counter()
    answered_by_rank: collections.Counter = collections.Counter()
    tokens_by_customer: collections.Counter = collections.Counter()
    prompt_tokens = 0
    for request in simulation.requests:
        tokens = tokens_by_request[request.request_id]
        prompt_tokens += SHARED_PREFIX_BYTES // 4
        sent_by_rank[request.rank] += tokens
        if request.outcome == 'answered':
            answered_by_rank[request.rank] += tokens
            if request.rank == COMPARED_RANK:
                tokens_by_customer[request.customer] += tokens
    customer_tokens = [
        tokens_by_customer[f'customer-{number}'] for number in range(5)
    ]
    squares = sum(count**2 for count in customer_tokens)
    return Outcome(
        policy,
        load,
        {
            rank: answered_by_rank[rank] / sent_by_rank[rank]
            for rank in sorted(sent_by_rank)
        },
        sum(answered_by_rank.values()) / LOAD_SECONDS,
        (count_prefill(simulation) - prefill_before) / prompt_tokens,
        sum(customer_tokens) ** 2 / (len(customer_tokens) * squares)
        if squares
        else 0,
    )


def _measure_relief(arrivals: list[float], slowed_at: float) -> float:
    # Seconds until a window holds less than a quarter of the arrivals of the
    # window before the slowdown.
    window_seconds = 5
    baseline = sum(
        1
        for arrival in arrivals
        if slowed_at - window_seconds < arrival <= slowed_at
    )
    for elapsed in range(60):
        window_start = slowed_at + elapsed
        window_arrivals = [
            arrival
            for arrival in arrivals
            if window_start <= arrival < window_start + window_seconds
        ]
        if len(window_arrivals) < max(baseline / 4, 1):
            return elapsed
    return float('inf')


def _send_zone_order(simulation: cluster.Cluster, state: str) -> None:
    node = simulation.list_nodes()[-1]
    sequence = int(clock.read_wall() * 1000)
    order = evidence.ZoneOrder('mixco', state, sequence, 'operator')
    node.apply_evidence(order)
    node.announce(order)


def _add_first_come(
    fair_queue: queue.FairQueue, ticket: queue.Ticket
) -> list[queue.Ticket]:
    # With a single tier, customer and caller the fair queue is first come,
    # first served.
    caller_request = ticket.request
    ticket.request = dataclasses.replace(
        caller_request,
        rank=0,
        caller=dataclasses.replace(caller_request.caller, customer='', name=''),
    )
    return _FAIR_QUEUE_ADD(fair_queue, ticket)


def _admit_always(
    pressure_table: pressure.PressureTable, pool: str, rank: int
) -> bool:
    return True


def _count_inflight(state: fleet.BackendState) -> int:
    return len(state.inflight)


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


_FAIR_QUEUE_ADD = queue.FairQueue.add
