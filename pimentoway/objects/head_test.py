"""Tests of the acceptance of configurations."""

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
        version: The version after the change.
        change_id: Its identifier.
        author: Who makes it.
        name: The name of the tier.

    Returns:
        The change.
    """
    tiers = (configuration.Tier(name, version),)
    puts = configuration.Tables(tiers=tiers)
    return configuration.Change(version, change_id, author, puts)


def accept(
    object_store: store.MemoryStore, *changes: configuration.Change
) -> list[gevent.Greenlet]:
    """Let operators make changes at once, and wait.

    Args:
        object_store: The platform's object service.
        *changes: The changes.

    Returns:
        The operators' tasks.
    """
    jobs = [
        gevent.spawn(head.accept_change, object_store, change)
        for change in changes
    ]
    paused_loop.advance(60)
    return jobs


@pytest.mark.parametrize('milliseconds', range(0, 40, 4))
def test_racing_operators_conflict(milliseconds: int) -> None:
    """Of two operators one wins and the other learns who did."""
    held = store.MemoryStore()
    held.faults.delay = 0.01
    jobs = [
        gevent.spawn(head.accept_change, held, make_change(1, 'a', 'ana')),
        gevent.spawn_later(
            milliseconds / 1000,
            head.accept_change,
            held,
            make_change(1, 'b', 'berta'),
        ),
    ]
    paused_loop.advance(60)
    failed = [job for job in jobs if not job.successful()]
    assert len(failed) == 1
    with pytest.raises(error.PlatformConflictError, match='made version 1'):
        failed[0].get()


@pytest.mark.parametrize(
    'fault', ['lost_answers', 'lost_writes', 'late_writes']
)
def test_lost_answer_is_read_back(fault: str) -> None:
    """A change whose answer was lost is accepted once, and told so."""
    held = store.MemoryStore()
    setattr(held.faults, fault, 1)
    job = accept(held, make_change(1, 'a'))[0]
    assert job.get(block=False).change_id == 'a'
    assert head.read_head(held).head.version == 1
    again = accept(held, make_change(1, 'a'))[0]
    assert again.get(block=False).version == 1


def test_unknown_is_told() -> None:
    """A change that can't be read back is told to be unknown."""
    held = store.MemoryStore()
    held.faults.lost_answers = 1
    job = gevent.spawn(head.accept_change, held, make_change(1, 'a'))
    paused_loop.advance(0.0001)
    held.mark_down(down=True)
    paused_loop.advance(60)
    with pytest.raises(error.PlatformAmbiguousError, match='ask again'):
        job.get(block=False)


def test_outage_is_told() -> None:
    """A change during an outage is told not to be accepted."""
    held = store.MemoryStore()
    held.mark_down(down=True)
    job = accept(held, make_change(1, 'a'))[0]
    with pytest.raises(error.PlatformUnavailableError):
        job.get(block=False)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=20)
@hypothesis.given(strategies.lists(strategies.text('abc', min_size=1)))
def test_changes_add_up(names: list[str]) -> None:
    """Any series of changes gives what its last puts say, over snapshots."""
    held = store.MemoryStore()
    expected = {}
    for version, name in enumerate(names, start=1):
        change = make_change(version, f'id-{version}', 'o' * 2000, name)
        accept(held, change)[0].get(block=False)
        expected[name] = version
    current = head.read_configuration(held)
    assert current.version == len(names)
    ranks = {tier.name: tier.rank for tier in current.tables.tiers}
    assert ranks == expected
    stored = held.read('configuration', head.HEAD_NAME)
    assert len(stored.body) <= head.HEAD_BYTES + 4000
