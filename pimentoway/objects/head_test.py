"""Tests of the acceptance of configuration changes."""

import gevent
import hypothesis
import pytest
from hypothesis import strategies

from pimentoway.core import configuration, error
from pimentoway.objects import head
from pimentoway.standin import paused_loop, store


def make_change(
    version: int, change_id: str, author: str = 'one', name: str = 'urgent'
) -> configuration.Change:
    """Make a change that puts one tier.

    Args:
        version: The version after the change, also used as rank of the tier.
        change_id: The identifier of the change.
        author: The name of its author.
        name: The name of the tier.

    Returns:
        The change.
    """
    tiers = (configuration.Tier(name, version),)
    puts = configuration.Tables(tiers=tiers)
    return configuration.Change(version, change_id, author, puts)


def accept_all(
    object_store: store.MemoryStore, *changes: configuration.Change
) -> list[gevent.Greenlet]:
    """Accept changes concurrently and wait for 60 simulated seconds.

    Args:
        object_store: The object service.
        *changes: The changes.

    Returns:
        The finished tasks, one for each change.
    """
    tasks = [
        gevent.spawn(head.accept_change, object_store, change)
        for change in changes
    ]
    paused_loop.advance(60)
    return tasks


@pytest.mark.parametrize('milliseconds', range(0, 40, 4))
def test_only_one_of_concurrent_changes_succeeds(
    milliseconds: int,
) -> None:
    """The refused one of two racing changes names the accepted change."""
    object_store = store.MemoryStore()
    object_store.faults.delay = 0.01
    tasks = [
        gevent.spawn(
            head.accept_change, object_store, make_change(1, 'a', 'ana')
        ),
        gevent.spawn_later(
            milliseconds / 1000,
            head.accept_change,
            object_store,
            make_change(1, 'b', 'berta'),
        ),
    ]
    paused_loop.advance(60)
    failed = [task for task in tasks if not task.successful()]
    assert len(failed) == 1
    with pytest.raises(error.PlatformConflictError, match='made version 1'):
        failed[0].get()


@pytest.mark.parametrize(
    'fault', ['lost_answers', 'lost_writes', 'late_writes']
)
def test_change_with_lost_answer_is_accepted_once(fault: str) -> None:
    """A change whose write or answer got lost is accepted exactly once.

    A retry that did not read the head back would conflict with itself.
    """
    object_store = store.MemoryStore()
    setattr(object_store.faults, fault, 1)
    task = accept_all(object_store, make_change(1, 'a'))[0]
    assert task.get(block=False).change_id == 'a'
    assert head.read_head(object_store).head.version == 1
    again = accept_all(object_store, make_change(1, 'a'))[0]
    assert again.get(block=False).version == 1


def test_change_not_read_back_is_ambiguous() -> None:
    """An outage after a lost answer leaves the outcome unknown."""
    object_store = store.MemoryStore()
    object_store.faults.lost_answers = 1
    task = gevent.spawn(head.accept_change, object_store, make_change(1, 'a'))
    paused_loop.advance(0.0001)
    object_store.set_down(down=True)
    paused_loop.advance(60)
    with pytest.raises(error.PlatformAmbiguousError, match='retry with'):
        task.get(block=False)


def test_change_during_outage_is_not_accepted() -> None:
    """A change that never reached the platform raises unavailable."""
    object_store = store.MemoryStore()
    object_store.set_down(down=True)
    task = accept_all(object_store, make_change(1, 'a'))[0]
    with pytest.raises(error.PlatformUnavailableError):
        task.get(block=False)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=20)
@hypothesis.given(strategies.lists(strategies.text('abc', min_size=1)))
def test_changes_apply_in_order_across_snapshots(names: list[str]) -> None:
    """The last change of each tier is in force, also over snapshots."""
    object_store = store.MemoryStore()
    expected = {}
    for version, name in enumerate(names, start=1):
        change = make_change(version, f'id-{version}', 'o' * 2000, name)
        accept_all(object_store, change)[0].get(block=False)
        expected[name] = version
    current = head.read_configuration(object_store)
    assert current.version == len(names)
    ranks = {tier.name: tier.rank for tier in current.tables.tiers}
    assert ranks == expected
    stored = object_store.read('configuration', head.HEAD_NAME)
    assert len(stored.body) <= head.SNAPSHOT_THRESHOLD_BYTES + 4000
