"""Tests of the shards of the claim log."""

import collections
import dataclasses

import gevent
import hypothesis
import pytest
from hypothesis import stateful, strategies

from pimentoway.core import error
from pimentoway.objects import store as platform_store
from pimentoway.ops import claim, shard
from pimentoway.standin import paused_loop, store


def append(one: shard.Shard, entry: claim.Entry) -> claim.Entry:
    """Append an entry and wait for it.

    Args:
        one: The shard.
        entry: The entry.

    Returns:
        The entry that the log holds for the key.
    """
    written = one.append(entry)
    paused_loop.advance(5)
    return written.get(block=False)


def test_claims_are_remembered_over_segments() -> None:
    """A key is known to a new node however many segments followed."""
    held = store.MemoryStore()
    one = shard.Shard(0, held)
    for number in range(800):
        one.append(claim.Entry(f'key-{number}', f'id-{number}', 'x' * 100))
        if number % 50 == 0:
            paused_loop.advance(0.2)
    paused_loop.advance(5)
    segments = held.list_objects(platform_store.CLAIM_KIND).changed
    assert len(segments) > 1
    largest = max(len(segment.body) for segment in segments)
    assert largest < store.VALUE_BYTES / 4
    late = shard.Shard(0, held)
    found = append(late, claim.Entry('key-0', 'another', ''))
    assert found.claim_id == 'id-0'


@pytest.mark.parametrize('milliseconds', range(0, 60, 4))
def test_racing_nodes_agree(milliseconds: int) -> None:
    """Of two nodes that claim a key one is granted, whatever the timing."""
    held = store.MemoryStore()
    held.faults.delay = 0.01
    entries = [claim.Entry('key', name, '') for name in ('one', 'other')]
    nodes = [shard.Shard(0, held) for _ in entries]
    first = nodes[0].append(entries[0])
    paused_loop.advance(milliseconds / 1000)
    second = nodes[1].append(entries[1])
    paused_loop.advance(5)
    assert first.get(block=False) == second.get(block=False)


def test_old_segments_are_removed() -> None:
    """What is older than the retention is removed and forgotten."""
    held = store.MemoryStore()
    one = shard.Shard(0, held)
    big = 'x' * shard.SEGMENT_BYTES
    append(one, claim.Entry('old', 'id-1', big))
    append(one, claim.Entry('next', 'id-2', ''))
    paused_loop.advance(shard.RETENTION_SECONDS + 1)
    append(one, claim.Entry('later', 'id-3', big))
    paused_loop.advance(5)
    names = held.list_objects(platform_store.CLAIM_KIND).changed
    assert all('id-1' not in segment.body for segment in names)
    assert append(one, claim.Entry('old', 'id-4', '')).claim_id == 'id-4'
    assert append(one, claim.Entry('next', 'id-5', '')).claim_id == 'id-2'


class ShardMachine(stateful.RuleBasedStateMachine):
    """Three nodes append to one shard while the platform fails."""

    def __init__(self) -> None:
        """Start the nodes."""
        super().__init__()
        paused_loop.restart_tasks(0)
        self.held = store.MemoryStore()
        self.shards = [shard.Shard(0, self.held) for _ in range(3)]
        self.jobs: list[tuple[claim.Entry, gevent.Greenlet]] = []

    @stateful.rule(
        node=strategies.integers(0, 2),
        key=strategies.sampled_from('abc'),
    )
    def claim_key(self, node: int, key: str) -> None:
        """Claim a key at a node."""
        entry = claim.Entry(key, f'{node}/{len(self.jobs)}', '')
        written = self.shards[node].append(entry)
        self.jobs.append((entry, written))

    @stateful.rule(node=strategies.integers(0, 2))
    def restart(self, node: int) -> None:
        """Replace a node by one that knows nothing."""
        self.shards[node] = shard.Shard(0, self.held)

    @stateful.rule(
        fault=strategies.sampled_from(
            ('lost_answers', 'lost_writes', 'late_writes'),
        ),
    )
    def lose(self, fault: str) -> None:
        """Lose an answer or a write."""
        setattr(self.held.faults, fault, 1)

    @stateful.rule(down=strategies.booleans())
    def take_down(self, down: bool) -> None:
        """Take the platform down or bring it back."""
        self.held.mark_down(down)

    @stateful.rule(delay=strategies.sampled_from((0, 0.02)))
    def slow_down(self, delay: float) -> None:
        """Make the platform slow or fast."""
        self.held.faults = dataclasses.replace(self.held.faults, delay=delay)

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.2, 3)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        paused_loop.advance(seconds)

    @stateful.invariant()
    def check_single_grant(self) -> None:
        """Of all claims of a key one at most is granted."""
        granted: collections.Counter = collections.Counter()
        for entry, written in self.jobs:
            if written.ready() and read_result(written) == entry:
                granted[entry.key] += 1
        assert all(times == 1 for times in granted.values()), granted


def read_result(written: gevent.Greenlet) -> claim.Entry | None:
    """Read what became of an entry.

    Args:
        written: The pending result.

    Returns:
        The entry that the log holds, or nothing after an error.
    """
    try:
        return written.get(block=False)
    except error.PlatformError:
        return None


TestShards = ShardMachine.TestCase
TestShards.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    suppress_health_check=list(hypothesis.HealthCheck),
)
