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


def append(writer: shard.Shard, entry: claim.Entry) -> claim.Entry:
    """Append an entry and let 5 seconds pass.

    Args:
        writer: The shard.
        entry: The entry.

    Returns:
        The latest entry of the log for the key.
    """
    future = writer.append(entry)
    paused_loop.advance(5)
    return future.get(block=False)


def test_key_of_an_earlier_segment_stays_claimed() -> None:
    """A node that reads the shard anew finds claims of sealed segments."""
    object_store = store.MemoryStore()
    writer = shard.Shard(0, object_store)
    for number in range(800):
        writer.append(claim.Entry(f'key-{number}', f'id-{number}', 'x' * 100))
        if number % 50 == 0:
            paused_loop.advance(0.2)
    paused_loop.advance(5)
    segments = object_store.list_objects(platform_store.CLAIM_KIND).changed
    assert len(segments) > 1
    largest = max(len(segment.body) for segment in segments)
    assert largest < store.MAX_VALUE_BYTES / 4
    restarted = shard.Shard(0, object_store)
    found = append(restarted, claim.Entry('key-0', 'another', ''))
    assert found.claim_id == 'id-0'


@pytest.mark.parametrize('milliseconds', range(0, 60, 4))
def test_racing_nodes_get_the_same_entry(milliseconds: int) -> None:
    """Two nodes that claim a key both get the entry of the same claim."""
    object_store = store.MemoryStore()
    object_store.faults.delay = 0.01
    entries = [claim.Entry('key', name, '') for name in ('one', 'other')]
    nodes = [shard.Shard(0, object_store) for _ in entries]
    first = nodes[0].append(entries[0])
    paused_loop.advance(milliseconds / 1000)
    second = nodes[1].append(entries[1])
    paused_loop.advance(5)
    assert first.get(block=False) == second.get(block=False)


def test_old_segments_are_removed() -> None:
    """Segments past the retention are removed; their keys are free again."""
    object_store = store.MemoryStore()
    writer = shard.Shard(0, object_store)
    big = 'x' * shard.SEGMENT_BYTES
    append(writer, claim.Entry('old', 'id-1', big))
    append(writer, claim.Entry('next', 'id-2', ''))
    paused_loop.advance(shard.RETENTION_SECONDS + 1)
    append(writer, claim.Entry('later', 'id-3', big))
    paused_loop.advance(5)
    segments = object_store.list_objects(platform_store.CLAIM_KIND).changed
    assert all('id-1' not in segment.body for segment in segments)
    assert append(writer, claim.Entry('old', 'id-4', '')).claim_id == 'id-4'
    assert append(writer, claim.Entry('next', 'id-5', '')).claim_id == 'id-2'


class ShardMachine(stateful.RuleBasedStateMachine):
    """Three nodes claim keys of one shard while the platform fails."""

    def __init__(self) -> None:
        """Start three nodes that share a store."""
        super().__init__()
        paused_loop.reset_tasks(0)
        self.store = store.MemoryStore()
        self.shards = [shard.Shard(0, self.store) for _ in range(3)]
        self.claims: list[tuple[claim.Entry, gevent.Greenlet]] = []

    @stateful.rule(
        node=strategies.integers(0, 2),
        key=strategies.sampled_from('abc'),
    )
    def claim_key(self, node: int, key: str) -> None:
        """Claim a key at a node."""
        entry = claim.Entry(key, f'{node}/{len(self.claims)}', '')
        future = self.shards[node].append(entry)
        self.claims.append((entry, future))

    @stateful.rule(node=strategies.integers(0, 2))
    def restart(self, node: int) -> None:
        """Replace a node by one that has read nothing yet."""
        self.shards[node] = shard.Shard(0, self.store)

    @stateful.rule(
        fault=strategies.sampled_from(
            ('lost_answers', 'lost_writes', 'late_writes'),
        ),
    )
    def inject_fault(self, fault: str) -> None:
        """Lose the next answer or write, or delay the next write."""
        setattr(self.store.faults, fault, 1)

    @stateful.rule(down=strategies.booleans())
    def set_outage(self, down: bool) -> None:
        """Start or end an outage of the platform."""
        self.store.set_down(down)

    @stateful.rule(delay=strategies.sampled_from((0, 0.02)))
    def set_delay(self, delay: float) -> None:
        """Set the delay of the platform's answers, in seconds."""
        self.store.faults = dataclasses.replace(self.store.faults, delay=delay)

    @stateful.rule(seconds=strategies.sampled_from((0.01, 0.2, 3)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        paused_loop.advance(seconds)

    @stateful.invariant()
    def check_single_grant(self) -> None:
        """At most one of all claims of a key is granted."""
        granted: collections.Counter = collections.Counter()
        for entry, future in self.claims:
            if future.ready() and read_latest(future) == entry:
                granted[entry.key] += 1
        assert all(times == 1 for times in granted.values()), granted


def read_latest(future: gevent.Greenlet) -> claim.Entry | None:
    """Read the reply to an append that has ended.

    Args:
        future: The reply.

    Returns:
        The latest entry of the log for the key, or None after an error.
    """
    try:
        return future.get(block=False)
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
