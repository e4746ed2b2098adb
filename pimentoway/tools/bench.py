"""The benchmark of the decisions, against plain baselines of our own.

Whole nodes run on the paused clock, so the figures are the same on every
machine. The baselines replace the choice of a back end and the order of the
queue; all else is equal.
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
from pimentoway.standin import model, replay, shape, world

#: Seconds for which requests come.
LOAD_SECONDS = 30

#: The seed of the arrivals.
SEED = 7

#: The tiers and the part of the requests that each sends.
PARTS_BY_RANK = types.MappingProxyType({0: 0.2, 1: 0.3, 2: 0.5})

#: The bytes of the prompt that the requests of a customer share.
SHARED_BYTES = 3000

#: The albums of a customer, each with a prompt that its requests share.
ALBUMS = 4

#: The prefix blocks that an engine's cache holds.
CACHED_BLOCKS = 80

#: Seconds between tokens of an engine that runs one request.
GAP_SECONDS = 0.05

#: Seconds of prefill a token.
PREFILL_SECONDS = 0.001

#: The part of requests that the greedy customer sends.
GREEDY_PART = 0.6

#: The answers after which a version that was not found to be bad is good.
JUDGED_ANSWERS = 2000

#: The rank of the tier whose customers are compared.
COMPARED_RANK = 1

#: The tokens of the shortest and the longest answer.
LENGTHS = (1, 100)

#: The tokens a second that Quetzal's five engines generate at full load.
CAPACITY = 5 * 8 / (GAP_SECONDS * 2)

_ENGINE = model.Traits(
    gap=GAP_SECONDS,
    prefill=PREFILL_SECONDS,
    cached_blocks=CACHED_BLOCKS,
)
_TRAITS = (_ENGINE, _ENGINE)
_DEADLINE = 15


@dataclasses.dataclass(frozen=True)
class Policy:
    """A way to decide.

    Attributes:
        name: Its name.
        choose: Chooses a back end, or nothing for the system's own way.
        fair: Whether tiers and customers are respected.
    """

    name: str
    choose: object = None
    fair: bool = True


@dataclasses.dataclass
class Outcome:
    """What came of a load under a policy.

    Attributes:
        policy: The name of the policy.
        load: The load, against the capacity.
        goodput_by_rank: The part of each tier's tokens answered in time.
        tokens: The tokens a second answered in time.
        prefill: The prompt tokens computed, against those sent.
        jain: Jain's index over the customers' tokens in one tier.
    """

    policy: str
    load: float
    goodput_by_rank: dict[int, float]
    tokens: float
    prefill: float
    jain: float


class RoundRobin:
    """Takes the free back ends in turn."""

    def __init__(self) -> None:
        """Start with the first."""
        self._turns = itertools.count()

    def __call__(
        self, candidates: list, site: route.Site, entry: object
    ) -> fleet.BackendState | None:
        """Choose a back end.

        Args:
            candidates: The back ends.
            site: Where the node stands.
            entry: The request.

        Returns:
            The next one that is free, or nothing.
        """
        free = list_free(candidates, site)
        if not free:
            return None
        return free[next(self._turns) % len(free)]


def choose_least(
    candidates: list, site: route.Site, entry: object
) -> fleet.BackendState | None:
    """Choose the free back end with the fewest requests of this node.

    Args:
        candidates: The back ends.
        site: Where the node stands.
        entry: The request.

    Returns:
        The back end, or nothing.
    """
    free = list_free(candidates, site)
    return min(free, key=_count_inflight) if free else None


def list_free(candidates: list, site: route.Site) -> list:
    """List the back ends with a free slot.

    Args:
        candidates: The back ends.
        site: Where the node stands.

    Returns:
        Those that are free.
    """
    return [
        state for state in candidates if route.count_free_slots(state, site) > 0
    ]


POLICIES = (
    Policy('pimentoway'),
    Policy('round robin', RoundRobin(), fair=False),
    Policy('least requests', choose_least, fair=False),
)


@contextlib.contextmanager
def use_policy(policy: Policy) -> collections.abc.Generator[None]:
    """Decide in another way for a while.

    Args:
        policy: The way.

    Yields:
        Nothing.
    """
    with contextlib.ExitStack() as stack:
        if policy.choose:
            stack.enter_context(
                mock.patch.object(route, 'choose_backend', policy.choose),
            )
        if not policy.fair:
            stack.enter_context(
                mock.patch.object(queue.FairQueue, 'add', _add_in_order),
            )
            stack.enter_context(
                mock.patch.object(pressure.PressureTable, 'admits', _admit),
            )
        yield


def run_load(policy: Policy, load: float) -> Outcome:
    """Run a load under a policy.

    Args:
        policy: The policy.
        load: The load, against the capacity.

    Returns:
        What came of it.
    """
    with use_policy(policy):
        built = build_world()
        before = count_prefill(built)
        mean = sum(draw_length(random.Random(one)) for one in range(2000))
        rate = load * CAPACITY / (mean / 2000)
        wanted = send_load(built, rate, LOAD_SECONDS)
        built.advance(_DEADLINE + 5)
        return _summarize(built, policy.name, load, wanted, before)


def build_world() -> world.World:
    """Build Quetzal's deployment with warm engines.

    Returns:
        The world.
    """
    wanted = shape.make_quetzal(_TRAITS, deadline=_DEADLINE, tiers=3)
    built = world.World(wanted)
    nodes = built.list_nodes()
    for number in range(300):
        built.chat(nodes[number % len(nodes)], rank=2, tokens=4)
        built.advance(0.1)
    built.advance(5)
    built.attempts.clear()
    return built


def send_load(
    built: world.World, rate: float, seconds: float
) -> dict[str, int]:
    """Send requests at random times.

    Args:
        built: The world.
        rate: Requests a second.
        seconds: For how long.

    Returns:
        The tokens wanted by the identifier of the request.
    """
    draw = random.Random(SEED)
    nodes = built.list_nodes()
    wanted = {}
    end = clock.read_monotonic() + seconds
    while clock.read_monotonic() < end:
        built.advance(draw.expovariate(rate))
        customer = 0 if draw.random() < GREEDY_PART else draw.randrange(1, 5)
        tokens = draw_length(draw)
        sent = built.chat(
            draw.choice(nodes),
            customer,
            draw.choices(
                list(PARTS_BY_RANK),
                list(PARTS_BY_RANK.values()),
            )[0],
            tokens,
            make_prompt(customer, draw),
        )
        wanted[sent.request_id] = tokens
    return wanted


def draw_length(draw: random.Random) -> int:
    """Draw the length of an answer; lengths differ a hundredfold.

    Args:
        draw: The random numbers.

    Returns:
        The tokens.
    """
    shortest, longest = LENGTHS
    return min(longest, max(shortest, int(draw.lognormvariate(2.7, 1))))


def make_prompt(customer: int, draw: random.Random) -> str:
    """Make a prompt that begins as all prompts of the customer.

    Args:
        customer: The number of the customer.
        draw: The random numbers.

    Returns:
        The text.
    """
    album = draw.randrange(ALBUMS)
    shared = f'Customer {customer}, album {album}. ' * SHARED_BYTES
    return f'{shared[:SHARED_BYTES]} Case {draw.random()}.'


def count_prefill(built: world.World) -> int:
    """Count the prompt tokens that all engines computed.

    Args:
        built: The world.

    Returns:
        The tokens.
    """
    return sum(one.prefill_tokens for one in built.engines_by_name.values())


def run_zone(policy: Policy) -> float:
    """Measure the highest tier while a failure domain leaves and returns.

    The remaining engines could serve all of this tier.

    Args:
        policy: The policy.

    Returns:
        The part of its requests that were answered in time.
    """
    with use_policy(policy):
        built = build_world()
        draw = random.Random(SEED)
        nodes = built.list_nodes()
        for step in range(600):
            if step in {100, 400}:
                _order_zone(built, 'out' if step == 100 else 'in')
            built.advance(0.1)
            for rank, tokens in ((0, 15), (2, draw_length(draw))):
                built.chat(
                    draw.choice(nodes),
                    step % 5,
                    rank,
                    tokens,
                    make_prompt(step % 5, draw),
                )
        built.advance(_DEADLINE + 5)
        return replay.measure_answered(built, 0)


def run_straggler(policy: Policy) -> tuple[float, float]:
    """Measure how long an engine that slowed down keeps its load.

    Args:
        policy: The policy.

    Returns:
        Seconds until its share of new requests stays under a quarter of what
        it had, and the part of requests answered in time.
    """
    with use_policy(policy):
        built = build_world()
        nodes = built.list_nodes()
        slow = built.engines_by_name['engine-mixco-0']
        began = clock.read_monotonic()
        for step in range(600):
            if step == 100:
                slow.traits.slowness = 12
                began = clock.read_monotonic()
            built.advance(0.1)
            for _ in range(2):
                built.chat(nodes[step % len(nodes)], step % 5, 0, 15)
        built.advance(_DEADLINE + 5)
        arrivals = [run.arrived for run in slow.ledger]
        return (
            _measure_relief(arrivals, began),
            replay.measure_answered(built, 0),
        )


def run_claims() -> tuple[float, float]:
    """Measure the platform's calls for unrepeatable requests.

    Returns:
        The calls a thousand requests at 20 and at 200 requests a second.
    """
    rates = []
    for pause in (0.05, 0.005):
        built = build_world()
        built.platform.faults.delay = 0.005
        built.advance(10)
        nodes = built.list_nodes()
        before = sum(built.platform.calls.values())
        for number in range(1000):
            built.release(nodes[number % len(nodes)], f'{pause}-{number}')
            built.advance(pause)
        built.advance(10)
        rates.append(sum(built.platform.calls.values()) - before)
    return rates[0], rates[1]


def count_sequential(rate: float, usual: float, seed: int) -> int:
    """Count the answers until the judge finds a version to be bad.

    Args:
        rate: The version's rate of bad answers.
        usual: The old version's rate.
        seed: The seed of the random numbers.

    Returns:
        The answers, or ``JUDGED_ANSWERS`` if it is not found to be bad.
    """
    draw = random.Random(seed)
    test = verdict.SequentialTest('bench')
    new = verdict.Subject('text', 'v2', 'captions')
    old = verdict.Subject('text', 'v1', 'captions')
    for number in range(JUDGED_ANSWERS):
        for _ in range(5):
            test.observe(old, 'v1', good=draw.random() >= usual)
        test.observe(new, 'v1', good=draw.random() >= rate)
        if test.find_bad_service('text', 'v2'):
            return number + 1
    return JUDGED_ANSWERS


def count_fixed(rate: float, usual: float, seed: int) -> int:
    """Count the answers until a fixed threshold is passed: the baseline.

    Args:
        rate: The version's rate of bad answers.
        usual: Passed over.
        seed: The seed of the random numbers.

    Returns:
        The answers until over a tenth of the last 50 are bad.
    """
    draw = random.Random(seed)
    last: collections.deque[bool] = collections.deque(maxlen=50)
    for number in range(JUDGED_ANSWERS):
        last.append(draw.random() < rate)
        if number >= 20 and sum(last) > len(last) / 10:
            return number + 1
    return JUDGED_ANSWERS


def print_verdicts() -> None:
    """Compare the sequential judgement with a fixed threshold."""
    _print(
        '| rate, old rate | sequential: blamed, median answers | fixed: '
        'blamed, median answers |'
    )
    _print('|---|---|---|')
    for rate, usual in (
        (0.02, 0.02),
        (0.1, 0.1),
        (0.3, 0.02),
        (0.5, 0.02),
        (1, 0.02),
    ):
        cells = []
        for judge in (count_sequential, count_fixed):
            counts = [judge(rate, usual, seed) for seed in range(300)]
            blamed = sum(1 for one in counts if one < JUDGED_ANSWERS)
            cells.append(
                f'{blamed / len(counts):.3f}, {statistics.median(counts):g}',
            )
        _print(f'| {rate}, {usual} | {cells[0]} | {cells[1]} |')


def run() -> int:
    """Run the benchmark and print its tables.

    Returns:
        The exit status.
    """
    _print(
        '| policy | load | tier 0 | tier 1 | tier 2 | tokens/s | '
        'prefill | Jain |'
    )
    _print('|---|---|---|---|---|---|---|---|')
    for load, policy in itertools.product((1, 1.5, 3), POLICIES):
        outcome = run_load(policy, load)
        tiers = ' | '.join(
            f'{part:.3f}' for part in outcome.goodput_by_rank.values()
        )
        _print(
            f'| {policy.name} | {load} | {tiers} | {outcome.tokens:.0f} | '
            f'{outcome.prefill:.3f} | {outcome.jain:.3f} |',
        )
    _print('')
    _print(
        '| policy | tier 0 while a zone leaves | relief of a straggler, s '
        '| answered beside a straggler |'
    )
    _print('|---|---|---|---|')
    for policy in POLICIES:
        relief, answered = run_straggler(policy)
        _print(
            f'| {policy.name} | {run_zone(policy):.4f} | {relief:.1f} | '
            f'{answered:.4f} |',
        )
    _print('')
    print_verdicts()
    slow, fast = run_claims()
    _print('')
    _print(
        f'platform calls a thousand unrepeatable requests: {slow} at 20 '
        f'requests a second, {fast} at 200'
    )
    return 0


def _summarize(
    built: world.World,
    policy: str,
    load: float,
    wanted: dict[str, int],
    before: int,
) -> Outcome:
    sent: collections.Counter = collections.Counter()
    good: collections.Counter = collections.Counter()
    lowest: collections.Counter = collections.Counter()
    prompts = 0
    for attempt in built.attempts:
        tokens = wanted[attempt.request_id]
        prompts += SHARED_BYTES // 4
        sent[attempt.rank] += tokens
        if attempt.outcome == 'answered':
            good[attempt.rank] += tokens
            if attempt.rank == COMPARED_RANK:
                lowest[attempt.customer] += tokens
    shares = [lowest[f'customer-{one}'] for one in range(5)]
    squares = sum(share**2 for share in shares)
    return Outcome(
        policy,
        load,
        {rank: good[rank] / sent[rank] for rank in sorted(sent)},
        sum(good.values()) / LOAD_SECONDS,
        (count_prefill(built) - before) / prompts,
        sum(shares) ** 2 / (len(shares) * squares) if squares else 0,
    )


def _measure_relief(arrivals: list[float], began: float) -> float:
    window = 5
    usual = sum(1 for at in arrivals if began - window < at <= began)
    for start in range(60):
        since = began + start
        later = [at for at in arrivals if since <= at < since + window]
        if len(later) < max(usual / 4, 1):
            return start
    return float('inf')


def _order_zone(built: world.World, state: str) -> None:
    node = built.list_nodes()[-1]
    sequence = int(clock.read_wall() * 1000)
    order = evidence.ZoneOrder('mixco', state, sequence, 'operator')
    node.note_sign(order)
    node.announce(order)


def _add_in_order(
    line: queue.FairQueue, ticket: queue.Ticket
) -> list[queue.Ticket]:
    # First come, first served: one tier, one customer, one caller.
    entry = ticket.request
    ticket.request = dataclasses.replace(
        entry,
        rank=0,
        caller=dataclasses.replace(entry.caller, customer='', name=''),
    )
    return _ADD(line, ticket)


def _admit(table: pressure.PressureTable, pool: str, rank: int) -> bool:
    return True


def _count_inflight(state: fleet.BackendState) -> int:
    return len(state.inflight)


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


_ADD = queue.FairQueue.add
