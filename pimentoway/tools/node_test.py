"""Property tests of whole nodes under random requests and faults.

The invariants are checked against what the stand-ins ran and the answers that
callers got, never against the state that nodes report.
"""

import collections
import hashlib

import hypothesis
from hypothesis import stateful, strategies

from pimentoway.core import clock
from pimentoway.standin import cluster, model, network, shape

_ZONES = ('norte', 'sur')
_GRACE_SECONDS = 3
_NODES = strategies.integers(0, 7)
_KEYS = strategies.sampled_from(('key-1', 'key-2', 'key-3'))


def expect_text(prompt: str, tokens: int) -> str:
    """Compute the answer that every stand-in engine gives to a prompt.

    Args:
        prompt: The prompt.
        tokens: The number of tokens of the answer.

    Returns:
        The text.
    """
    fingerprint = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return ''.join(
        f'{fingerprint}-{number} ' for number in range(1, tokens + 1)
    )


class FaultMachine(stateful.RuleBasedStateMachine):
    """Sends requests and causes faults in random order.

    Hypothesis orders the rules by their names, and the generated examples
    depend on that order.
    """

    def __init__(self) -> None:
        """Start the nodes and stand-ins."""
        super().__init__()
        cluster_shape = shape.Shape(
            engines=(model.Traits(), model.Traits(gap=0.05)),
            deadline=12,
        )
        self.simulation = cluster.Cluster(cluster_shape)
        self.expected_by_id: dict[str, str] = {}
        self.version_by_node: dict[str, int] = {}

    @stateful.rule(node=_NODES, rank=strategies.integers(0, 1))
    def chat(self, node: int, rank: int) -> None:
        """Send a chat request with a unique prompt."""
        prompt = f'Caption {len(self.simulation.requests)}.'
        sent = self.simulation.chat(
            self._get_node(node), rank=rank, prompt=prompt
        )
        self.expected_by_id[sent.request_id] = expect_text(prompt, 10)

    @stateful.rule(node=_NODES, key=_KEYS)
    def release(self, node: int, key: str) -> None:
        """Send an unrepeatable request, perhaps with a key that was used."""
        self.simulation.call_application(self._get_node(node), key)

    @stateful.rule(seconds=strategies.sampled_from((0.001, 0.02, 0.3, 5)))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.simulation.advance(seconds)

    @stateful.rule(node=_NODES)
    def kill(self, node: int) -> None:
        """Kill a node and start another one in its failure domain."""
        killed = self._get_node(node)
        self.simulation.kill_node(killed.settings.name)
        self.simulation.start_node(killed.settings.zone)

    @stateful.rule(node=_NODES, seconds=strategies.sampled_from((0.1, 6)))
    def freeze(self, node: int, seconds: float) -> None:
        """Freeze a node for some seconds, then resume it."""
        host = self.simulation.hosts_by_name[self._get_node(node).settings.name]
        host.freeze()
        self.simulation.advance(seconds)
        host.thaw()

    @stateful.rule(
        pair=strategies.sampled_from(
            (_ZONES, ('norte', network.PLATFORM), ('sur', network.PLATFORM)),
        )
    )
    def cut(self, pair: tuple[str, str]) -> None:
        """Partition two failure domains, or one from the platform."""
        self.simulation.network.cut(*pair)

    @stateful.rule()
    def heal(self) -> None:
        """Heal all partitions."""
        self.simulation.network.heal()

    @stateful.rule(down=strategies.booleans())
    def take_platform(self, down: bool) -> None:
        """Take the platform down or bring it back."""
        self.simulation.platform.set_down(down)

    @stateful.rule(delay=strategies.sampled_from((0, 0.05, 4)))
    def slow_platform(self, delay: float) -> None:
        """Set the delay of the platform's answers, in seconds."""
        self.simulation.platform.faults.delay = delay

    @stateful.rule(answers=strategies.integers(1, 3))
    def lose_answers(self, answers: int) -> None:
        """Lose the platform's answers to the next writes that take effect."""
        self.simulation.platform.faults.lost_answers = answers

    @stateful.rule(writes=strategies.integers(1, 2))
    def lose_writes(self, writes: int) -> None:
        """Lose the next writes to the platform before they take effect."""
        self.simulation.platform.faults.lost_writes = writes

    @stateful.rule(number=_NODES)
    def crash(self, number: int) -> None:
        """Crash an engine."""
        engines = list(self.simulation.engines_by_name.values())
        engines[number % len(engines)].crash()

    @stateful.rule(number=_NODES, after=strategies.integers(1, 9))
    def drop_stream(self, number: int, after: int) -> None:
        """Let an engine break a stream once after some tokens."""
        engines = list(self.simulation.engines_by_name.values())
        engines[number % len(engines)].traits.cut_after = after

    @stateful.rule(number=_NODES)
    def lose_application_answer(self, number: int) -> None:
        """Let an application lose its next answer; the call takes effect."""
        applications = list(self.simulation.applications_by_name.values())
        applications[number % len(applications)].lost_answers += 1

    @stateful.invariant()
    def check_single_effect(self) -> None:
        """Check that each unrepeatable call took effect at most once."""
        for key in ('key-1', 'key-2', 'key-3'):
            assert self.simulation.count_executions(key) <= 1, key

    @stateful.invariant()
    def check_single_dispatch(self) -> None:
        """Check that no request was run twice under the same identifier."""
        runs = collections.Counter(
            run.run_id for run in self.simulation.list_runs()
        )
        assert all(times == 1 for times in runs.values()), runs

    @stateful.invariant()
    def check_refusals(self) -> None:
        """Check that requests refused as ``not_run`` were not run."""
        run_ids = {run.run_id for run in self.simulation.list_runs()}
        for application in self.simulation.applications_by_name.values():
            run_ids.update(effect.request_id for effect in application.ledger)
        for request in self.simulation.requests:
            if request.outcome == 'not_run':
                assert request.request_id not in run_ids, request

    @stateful.invariant()
    def check_answers(self) -> None:
        """Check that each answered chat got the whole answer to its prompt."""
        for request in self.simulation.requests:
            expected = self.expected_by_id.get(request.request_id)
            if expected and request.outcome == 'answered':
                assert request.text == expected, request

    @stateful.invariant()
    def check_versions(self) -> None:
        """Check that no node went back to an older configuration."""
        for name, node in self.simulation.nodes_by_name.items():
            version = node.configuration_holder.current.version
            assert version >= self.version_by_node.get(name, 0), name
            self.version_by_node[name] = version

    def teardown(self) -> None:
        """End all faults of the network and platform, then check once more."""
        self.simulation.network.heal()
        self.simulation.platform.set_down(down=False)
        self.simulation.platform.faults.delay = 0
        self.simulation.advance(self.simulation.shape.deadline + _GRACE_SECONDS)
        self.check_refusals()
        self.check_single_effect()
        self.check_single_dispatch()
        self.check_answers()
        self.check_finality()

    def check_finality(self) -> None:
        """Check that every request ended by its deadline.

        Requests to a node that was killed may stay without an answer.
        """
        for request in self.simulation.requests:
            elapsed = clock.read_monotonic() - request.sent
            assert (
                request.outcome
                or elapsed < self.simulation.shape.deadline
                or (self._is_killed(request))
            ), request

    def _get_node(self, number: int) -> object:
        nodes = self.simulation.list_nodes()
        return nodes[number % len(nodes)]

    def _is_killed(self, request: cluster.SentRequest) -> bool:
        return not self.simulation.hosts_by_name[request.node].alive


TestFaults = FaultMachine.TestCase
TestFaults.settings = hypothesis.settings(
    max_examples=30,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
