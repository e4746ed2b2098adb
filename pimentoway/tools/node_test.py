"""Proofs over whole nodes: a state machine whose rules are faults.

Invariants are checked on what the stand-ins ran and on what callers were
told, never on the nodes' own word.
"""

import collections
import hashlib

import hypothesis
from hypothesis import stateful, strategies

from pimentoway.core import clock
from pimentoway.standin import model, network, shape, world

_ZONES = ('norte', 'sur')
_GRACE_SECONDS = 3
_NODES = strategies.integers(0, 7)
_KEYS = strategies.sampled_from(('key-1', 'key-2', 'key-3'))


def expect_text(prompt: str, tokens: int) -> str:
    """Work out the answer that every engine gives to a prompt.

    Args:
        prompt: The prompt.
        tokens: The tokens of the answer.

    Returns:
        The text.
    """
    fingerprint = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return ''.join(f'{fingerprint}-{one} ' for one in range(1, tokens + 1))


class FaultMachine(stateful.RuleBasedStateMachine):
    """Requests and faults in any order."""

    def __init__(self) -> None:
        """Build the world."""
        super().__init__()
        wanted = shape.Shape(
            engines=(model.Traits(), model.Traits(gap=0.05)),
            deadline=12,
        )
        self.world = world.World(wanted)
        self.expected_by_id: dict[str, str] = {}
        self.version_by_node: dict[str, int] = {}

    @stateful.rule(node=_NODES, rank=strategies.integers(0, 1))
    def chat(self, node: int, rank: int) -> None:
        """Send a chat of its own."""
        prompt = f'Caption {len(self.world.attempts)}.'
        sent = self.world.chat(self._pick(node), rank=rank, prompt=prompt)
        self.expected_by_id[sent.request_id] = expect_text(prompt, 10)

    @stateful.rule(node=_NODES, key=_KEYS)
    def release(self, node: int, key: str) -> None:
        """Send an unrepeatable call, perhaps again."""
        self.world.release(self._pick(node), key)

    @stateful.rule(seconds=strategies.sampled_from((0.001, 0.02, 0.3, 5)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.world.advance(seconds)

    @stateful.rule(node=_NODES)
    def kill(self, node: int) -> None:
        """Kill a node and start another in its place."""
        killed = self._pick(node)
        self.world.kill_node(killed.settings.name)
        self.world.start_node(killed.settings.zone)

    @stateful.rule(node=_NODES, seconds=strategies.sampled_from((0.1, 6)))
    def freeze(self, node: int, seconds: float) -> None:
        """Freeze a node for a while."""
        host = self.world.hosts_by_name[self._pick(node).settings.name]
        host.freeze()
        self.world.advance(seconds)
        host.thaw()

    @stateful.rule(
        pair=strategies.sampled_from(
            (_ZONES, ('norte', network.PLATFORM), ('sur', network.PLATFORM)),
        )
    )
    def cut(self, pair: tuple[str, str]) -> None:
        """Cut failure domains, or one and the platform, off."""
        self.world.network.cut(*pair)

    @stateful.rule()
    def heal(self) -> None:
        """Heal all cuts."""
        self.world.network.heal()

    @stateful.rule(down=strategies.booleans())
    def take_platform(self, down: bool) -> None:
        """Take the platform down or bring it back."""
        self.world.platform.mark_down(down)

    @stateful.rule(delay=strategies.sampled_from((0, 0.05, 4)))
    def slow_platform(self, delay: float) -> None:
        """Make the platform slow or fast."""
        self.world.platform.faults.delay = delay

    @stateful.rule(answers=strategies.integers(1, 3))
    def lose_answers(self, answers: int) -> None:
        """Lose answers of the platform after the writes took effect."""
        self.world.platform.faults.lost_answers = answers

    @stateful.rule(writes=strategies.integers(1, 2))
    def lose_writes(self, writes: int) -> None:
        """Lose writes to the platform."""
        self.world.platform.faults.lost_writes = writes

    @stateful.rule(number=_NODES)
    def crash(self, number: int) -> None:
        """Crash an engine."""
        engines = list(self.world.engines_by_name.values())
        engines[number % len(engines)].crash()

    @stateful.rule(number=_NODES, after=strategies.integers(1, 9))
    def drop_stream(self, number: int, after: int) -> None:
        """Let an engine drop a stream once."""
        engines = list(self.world.engines_by_name.values())
        engines[number % len(engines)].traits.cut_after = after

    @stateful.rule(number=_NODES)
    def lose_application_answer(self, number: int) -> None:
        """Let an application lose an answer after the call took effect."""
        plain = list(self.world.applications_by_name.values())
        plain[number % len(plain)].lost_answers += 1

    @stateful.invariant()
    def check_single_effect(self) -> None:
        """An unrepeatable call takes effect at most once."""
        for key in ('key-1', 'key-2', 'key-3'):
            assert self.world.count_runs(key) <= 1, key

    @stateful.invariant()
    def check_single_dispatch(self) -> None:
        """A request is run by one engine at most."""
        runs = collections.Counter(run.run_id for run in self.world.list_runs())
        assert all(times == 1 for times in runs.values()), runs

    @stateful.invariant()
    def check_refusals(self) -> None:
        """A request that was refused as not run was not run."""
        ran = {run.run_id for run in self.world.list_runs()}
        for application in self.world.applications_by_name.values():
            ran.update(effect.request_id for effect in application.ledger)
        for attempt in self.world.attempts:
            if attempt.outcome == 'not_run':
                assert attempt.request_id not in ran, attempt

    @stateful.invariant()
    def check_answers(self) -> None:
        """Each answered chat has the whole answer to its own prompt."""
        for attempt in self.world.attempts:
            expected = self.expected_by_id.get(attempt.request_id)
            if expected and attempt.outcome == 'answered':
                assert attempt.text == expected, attempt

    @stateful.invariant()
    def check_versions(self) -> None:
        """No node goes back to an older configuration."""
        for name, node in self.world.nodes_by_name.items():
            version = node.held.current.version
            assert version >= self.version_by_node.get(name, 0), name
            self.version_by_node[name] = version

    def teardown(self) -> None:
        """Every request of a living node gets its final answer in time."""
        self.world.network.heal()
        self.world.platform.mark_down(down=False)
        self.world.platform.faults.delay = 0
        self.world.advance(self.world.shape.deadline + _GRACE_SECONDS)
        self.check_refusals()
        self.check_single_effect()
        self.check_single_dispatch()
        self.check_answers()
        self.check_finality()

    def check_finality(self) -> None:
        """No answer comes after its deadline, but for frozen nodes."""
        for attempt in self.world.attempts:
            late = clock.read_monotonic() - attempt.sent
            assert (
                attempt.outcome
                or late < self.world.shape.deadline
                or (self._is_killed(attempt))
            ), attempt

    def _pick(self, number: int) -> object:
        nodes = self.world.list_nodes()
        return nodes[number % len(nodes)]

    def _is_killed(self, attempt: world.Attempt) -> bool:
        return not self.world.hosts_by_name[attempt.node].alive


TestFaults = FaultMachine.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
