"""Tests of what a node keeps when the store was restored from a copy."""

import dataclasses

import gevent
import pytest

from pimentoway.core import deployment, nodesetting, registry
from pimentoway.nodes import frame
from pimentoway.ops import (
    notice,
    partledger,
    restoration,
    rewriter,
    rolloutprogress,
    view,
    view_test,
)
from pimentoway.standin import paused_loop

Kind = registry.Kind

OUT = 'out'
BLOCK = deployment.PartBlock('s', 0xAB, 600)
ORDER = deployment.Rollout('s', 'v2', 30, '5/v2', 'active', 7, 5)


def write(
    node_view: view.View, era: int, number: int, kind: Kind, *records: object
) -> None:
    """Apply a listing of the store.

    Args:
        node_view: The view.
        era: The era of the store.
        number: The store's own revision.
        kind: The kind of the records.
        *records: The records; an evacuation is its name.
    """
    revision = registry.join_revision(era, number)
    records_by_name = {
        getattr(record, 'service', record)
        if kind is Kind.rollouts
        else getattr(record, 'name', record): record
        for record in records
    }
    node_view.apply_snapshot(
        view.Snapshot(kind, revision, records_by_name),
        'store list',
        from_store=True,
    )


def change(
    node_view: view.View, era: int, number: int, kind: Kind, *change: object
) -> None:
    """Apply a change that a watch reports.

    Args:
        node_view: The view.
        era: The era of the store.
        number: The store's own revision.
        kind: The kind of the record.
        *change: The name and the record; None if it was removed.
    """
    revision = registry.join_revision(era, number)
    node_view.apply_changes(
        kind,
        registry.Changes(revision, (registry.Change(*change),)),
        'store watch',
    )


def wait_and_expire(node_view: view.View, seconds: float) -> None:
    """Let time pass, and remove what nobody has written again.

    Args:
        node_view: The view.
        seconds: The time.
    """
    paused_loop.advance(seconds)
    node_view.expire()


# Guards against requests to a failure domain that is evacuated, and against
# back ends and nodes that are forgotten, as their records came after the copy.
@pytest.mark.parametrize(
    ('kind', 'record'),
    [
        (Kind.engines, view_test.make_engine('a')),
        (Kind.evacuations, OUT),
        (Kind.peers, deployment.Peer('n', 'z', '1.1.1.1:1', 1)),
        (Kind.rollouts, ORDER),
    ],
)
def test_lost_record_is_kept_for_a_while(kind: Kind, record: object) -> None:
    """It is gone if nobody writes it again, and stays otherwise."""
    node_view = view.View()
    write(node_view, 1, 50, kind, record)
    kept = node_view.make_snapshot(kind).records_by_name
    write(node_view, 2, 40, kind)
    assert node_view._records_by_kind[kind] == kept
    wait_and_expire(node_view, restoration.GRACE_SECONDS + 0.1)
    assert not node_view.make_snapshot(kind).records_by_name
    write(node_view, 2, 41, kind, record)
    write(node_view, 3, 30, kind)
    change(node_view, 3, 31, kind, next(iter(kept)), record)
    wait_and_expire(node_view, restoration.GRACE_SECONDS + 0.1)
    assert set(node_view.make_snapshot(kind).records_by_name) == set(kept)


# Guards against a node that forgets the configuration in force, or passes none
# on, because the restored store has an older one.
def test_newest_configuration_is_passed_on() -> None:
    """The version decides, however often the store is restored."""
    node_view = view.View()
    newest = view_test.make_deployment(9)
    node_view.apply_snapshot(
        view.Snapshot(Kind.configuration, 60, {'main': newest}), 'store list'
    )
    older = view.Snapshot(
        Kind.configuration,
        registry.join_revision(2, 40),
        {'main': view_test.make_deployment(7)},
    )
    node_view.apply_snapshot(older, 'store list')
    wait_and_expire(node_view, restoration.GRACE_SECONDS + 0.1)
    passed_on = node_view.make_snapshot(Kind.configuration).records_by_name
    assert list(passed_on.values()) == [newest]
    assert node_view.version == 9


# Guards against requests to a back end that leaves: the copy is from before
# its notice.
def test_copy_does_not_undo_a_notice() -> None:
    """The back end stays as it is known until it writes its entry again."""
    node_view = view.View()
    leaving = view_test.make_engine('a', draining=True, sequence=4)
    ready = view_test.make_engine('a', sequence=3)
    write(node_view, 1, 50, Kind.engines, leaving)
    write(node_view, 2, 40, Kind.engines, ready)
    assert node_view.engines_by_name['a'].draining
    started = dataclasses.replace(ready, born=2, sequence=1)
    change(node_view, 2, 41, Kind.engines, 'a', started)
    assert not node_view.engines_by_name['a'].draining


# Guards against requests to a back end that has gone: the copy still holds its
# entry, until that lapses.
@pytest.mark.parametrize('runs', [True, False])
def test_copy_does_not_bring_back_a_gone_engine(runs: bool) -> None:
    """It is used again only if its entry outlasts that of a stopped one."""
    node_view = view.View()
    write(node_view, 1, 50, Kind.engines, view_test.make_engine('a'))
    change(node_view, 1, 51, Kind.engines, 'a', None)
    write(node_view, 2, 40, Kind.engines, view_test.make_engine('a'))
    assert not node_view.engines_by_name
    if not runs:
        change(node_view, 2, 41, Kind.engines, 'a', None)
    wait_and_expire(node_view, restoration.LAPSE_SECONDS + 0.1)
    assert bool(node_view.engines_by_name) == runs


def test_gone_engine_that_writes_is_used_at_once() -> None:
    """A later start, and a further write, show that it is running."""
    node_view = view.View()
    write(node_view, 1, 50, Kind.engines, view_test.make_engine('a'))
    change(node_view, 1, 51, Kind.engines, 'a', None)
    started = view_test.make_engine('a', born=2)
    write(node_view, 2, 40, Kind.engines, started)
    assert node_view.engines_by_name == {'a': started}


# Guards against a node that keeps a back end for ever which the restored store
# lacks, because it learns of the restoration from another node.
@pytest.mark.parametrize('starts', [True, False])
def test_other_nodes_forget_lost_records_too(starts: bool) -> None:
    """What is kept for a while is removed later at each node by itself."""
    sender = view.View()
    receiver = view.View()
    write(sender, 1, 50, Kind.engines, view_test.make_engine('a'))
    if not starts:
        write(receiver, 1, 50, Kind.engines, view_test.make_engine('a'))
    write(sender, 2, 40, Kind.engines, view_test.make_engine('b'))
    receiver.apply_snapshot(sender.make_snapshot(Kind.engines), 'peer')
    if not starts:
        assert set(receiver.engines_by_name) == {'a', 'b'}
    wait_and_expire(receiver, restoration.GRACE_SECONDS + 0.1)
    assert set(receiver.engines_by_name) == {'b'}


def synchronize(
    sender: view.View, receiver: view.View, kind: registry.Kind
) -> None:
    """Send the records that another node lacks.

    Args:
        sender: The records of the one node.
        receiver: The records of the other one, which is behind.
        kind: The kind.
    """
    after = receiver.revision_by_kind[kind]
    assert after < sender.revision_by_kind[kind]
    query = frame.RecordQuery(kind.value, after, 0)
    encoded = frame.RecordEncoder(sender).encode(query)
    frame.apply_records(frame.FrameReader().feed(encoded)[0], receiver, 'peer')


# Guards against nodes that undo each other's reconciliation: they list the
# restored store one after the other, or start after the restoration.
@pytest.mark.parametrize('receives', ['at start', 'late', 'after a listing'])
def test_known_notices_are_passed_on(receives: str) -> None:
    """Others get what a node knows, not the copy that the store has."""
    ready = view_test.make_engine('a', sequence=3)
    gone = view_test.make_engine('g', sequence=3)
    leaving = dataclasses.replace(ready, draining=True, sequence=4)
    sender = view.View()
    receiver = view.View()
    if receives != 'at start':
        write(receiver, 1, 49, Kind.engines, ready)
    write(sender, 1, 48, Kind.engines, ready)
    for node_view in [sender, receiver][: 1 + (receives == 'after a listing')]:
        change(node_view, 1, 50, Kind.engines, 'a', leaving)
        change(node_view, 1, 51, Kind.engines, 'g', gone)
        change(node_view, 1, 52, Kind.engines, 'g', None)
    if receives == 'after a listing':
        write(receiver, 2, 40, Kind.engines, ready, gone)
    write(sender, 2, 45, Kind.engines, ready, gone)
    synchronize(sender, receiver, Kind.engines)
    assert receiver.engines_by_name == {'a': leaving}


@pytest.mark.parametrize('again', ['listing', 'other node', 'restoration'])
@pytest.mark.parametrize(
    ('kind', 'record'),
    [
        (Kind.engines, view_test.make_engine('a')),
        (Kind.evacuations, OUT),
        (Kind.rollouts, ORDER),
        (Kind.part_blocks, BLOCK),
    ],
)
def test_held_record_survives_another_listing(
    kind: Kind, record: object, again: str
) -> None:
    """Only the store's own report of a removal, or time, ends a hold."""
    node_view = view.View()
    write(node_view, 1, 50, kind, record)
    write(node_view, 2, 40, kind)
    paused_loop.advance(restoration.GRACE_SECONDS - 0.2)
    if again == 'other node':
        other = view.View()
        write(other, 2, 45, kind)
        synchronize(other, node_view, kind)
    else:
        write(node_view, 2 + (again == 'restoration'), 45, kind)
    wait_and_expire(node_view, 0.1)
    assert node_view._records_by_kind[kind]
    wait_and_expire(node_view, 0.2)
    is_kept = again == 'restoration' or kind is Kind.part_blocks
    assert bool(node_view._records_by_kind[kind]) == is_kept


# Guards against records that are dropped although the store has them: they were
# written again as they were, which is no change.
@pytest.mark.parametrize(
    ('kind', 'record'),
    [
        (Kind.engines, view_test.make_engine('a')),
        (Kind.evacuations, OUT),
        (Kind.part_blocks, BLOCK),
    ],
)
def test_record_listed_again_is_held_no_longer(
    kind: Kind, record: object
) -> None:
    """A listing that has it shows that it was written again."""
    node_view = view.View()
    write(node_view, 1, 50, kind, record)
    write(node_view, 2, 40, kind)
    write(node_view, 2, 41, kind, record)
    assert not node_view.retained.list_held(kind)
    wait_and_expire(node_view, restoration.GRACE_SECONDS + 0.1)
    assert node_view.make_snapshot(kind).records_by_name


# Guards against records that are kept for ever: a node hears of the restoration
# from a node that started later and knows of no removal.
@pytest.mark.parametrize('era', [1, 2])
def test_node_that_started_later_sends_a_snapshot(era: int) -> None:
    """Its first records are no changes after an earlier revision."""
    started = view.View()
    receiver = view.View()
    write(receiver, 1, 30, Kind.engines, view_test.make_engine('a'))
    write(started, era, 40, Kind.engines, view_test.make_engine('b'))
    synchronize(started, receiver, Kind.engines)
    wait_and_expire(receiver, restoration.GRACE_SECONDS + 0.1)
    assert set(receiver.engines_by_name) == {'b'}


# Guards against running back ends that get no requests: nobody had removed
# them, their entries had only lapsed.
def test_lapsed_engine_is_not_doubted() -> None:
    """It is used as soon as its entry is there again."""
    node_view = view.View()
    engine = view_test.make_engine('a')
    write(node_view, 1, 50, Kind.engines, engine)
    write(node_view, 2, 40, Kind.engines)
    wait_and_expire(node_view, restoration.GRACE_SECONDS + 0.1)
    assert not node_view.engines_by_name
    changes = registry.Changes(
        registry.join_revision(2, 41), (registry.Change('a', engine),)
    )
    node_view.merge_changes(Kind.engines, changes, 'peer')
    assert node_view.engines_by_name


# Guards against a block that is deleted although it is new: an earlier one of
# the part had ended before the restoration.
def test_new_block_is_not_outdated() -> None:
    """Only what the restored store has at first can be outdated."""
    node_view = view.View()
    write(node_view, 1, 50, Kind.part_blocks, BLOCK)
    change(node_view, 1, 51, Kind.part_blocks, BLOCK.name, None)
    write(node_view, 2, 40, Kind.part_blocks)
    changes = registry.Changes(
        registry.join_revision(2, 41), (registry.Change(BLOCK.name, BLOCK),)
    )
    node_view.merge_changes(Kind.part_blocks, changes, 'peer')
    assert node_view.part_blocks_by_name
    assert not node_view.retained.outdated_blocks


# Guards against blocks that are forgotten after an outage of the store that was
# longer than a watch.
def test_block_is_held_after_a_long_outage() -> None:
    """What counts is what was known when calls began to fail."""
    node_view = view.View()
    write(node_view, 1, 50, Kind.part_blocks, BLOCK)
    for _ in range(40):
        node_view.note_store_failure()
        wait_and_expire(node_view, 1)
    write(node_view, 2, 40, Kind.part_blocks)
    assert node_view.retained.list_held(Kind.part_blocks)


# Guards against back ends that are forgotten although they run: the store was
# away again before they could write.
def test_records_are_held_while_the_store_is_away() -> None:
    """The time to write begins when the store can be called again."""
    node_view = view.View()
    write(node_view, 1, 50, Kind.engines, view_test.make_engine('a'))
    write(node_view, 2, 40, Kind.engines)
    for _ in range(5):
        node_view.note_store_failure()
        wait_and_expire(node_view, 0.5)
    assert node_view.engines_by_name
    wait_and_expire(node_view, restoration.GRACE_SECONDS)
    assert not node_view.engines_by_name


def test_copies_that_a_listing_lacks_are_dropped() -> None:
    """A lapsed entry shows that its back end is gone, and blocks stay ended."""
    node_view = view.View()
    engine = view_test.make_engine('a')
    write(node_view, 1, 50, Kind.engines, engine)
    change(node_view, 1, 51, Kind.engines, 'a', None)
    write(node_view, 2, 40, Kind.engines, engine)
    write(node_view, 2, 45, Kind.engines)
    wait_and_expire(node_view, restoration.LAPSE_SECONDS + 0.1)
    assert not node_view.engines_by_name
    write(node_view, 1, 50, Kind.part_blocks, BLOCK)
    change(node_view, 1, 51, Kind.part_blocks, BLOCK.name, None)
    for number in (40, 41):
        write(node_view, 2, number, Kind.part_blocks, BLOCK)
    assert not node_view.part_blocks_by_name


# Guards against a bad version that gets requests again, and a rollout that
# starts anew, after its reported state was lost with the store.
@pytest.mark.parametrize('listed', [True, False])
def test_lost_rollout_state_is_reported_again(listed: bool) -> None:
    """The order keeps its identity, and its version stays reverted."""
    node_view = view.View()
    table = rolloutprogress.RolloutTable(
        nodesetting.Bounds(), node_view, notice.NoticeTable(node_view)
    )
    write(node_view, 1, 50, Kind.rollouts, _date(ORDER, 1))
    table.update()
    progress = table._progress_by_service['s']
    progress.found_bad = True
    reverted = dataclasses.replace(_date(ORDER, 1), state='reverted')
    change(node_view, 1, 51, Kind.rollouts, 's', reverted)
    table.update()
    assert table.decide('s', 0) is None
    lost = dataclasses.replace(_date(ORDER, 2), state='', identity='x')
    if listed:
        write(node_view, 2, 40, Kind.rollouts, lost)
    else:
        write(node_view, 2, 40, Kind.rollouts)
        wait_and_expire(node_view, restoration.GRACE_SECONDS + 0.1)
        table.update()
        change(node_view, 2, 41, Kind.rollouts, 's', lost)
    table.update()
    assert table.decide('s', 0) == (progress, rolloutprogress.State.reverted)
    assert progress.order.identity == ORDER.identity
    stored = dataclasses.replace(lost, state='reverted')
    change(node_view, 2, 42, Kind.rollouts, 's', stored)
    table.update()
    assert table.decide('s', 0) is None
    assert table._progress_by_service['s'] is progress


def _date(order: deployment.Rollout, era: int) -> deployment.Rollout:
    return dataclasses.replace(
        order, created=registry.join_revision(era, order.created)
    )


def test_new_order_starts_anew() -> None:
    """An order created later in the same era is another one."""
    known = _date(ORDER, 2)
    later = dataclasses.replace(known, created=known.created + 1, identity='x')
    assert restoration.continue_rollout(known, later) is later


class WritesRegistry(view_test.ScriptedRegistry):
    """A registry that records what is written."""

    def put_part_block(self, block: deployment.PartBlock) -> None:
        """Record a block.

        Args:
            block: The block.
        """
        self.calls.append(f'put {block.name}')

    def remove_part_block(self, block: deployment.PartBlock) -> None:
        """Record the removal of a block.

        Args:
            block: The block.
        """
        self.calls.append(f'remove {block.name}')

    def report_rollout(self, rollout: deployment.Rollout, state: str) -> None:
        """Record a state.

        Args:
            rollout: The order.
            state: Its state.
        """
        self.calls.append(f'report {state}')


# Guards against a prompt part that crashes back ends again, and one that is
# refused again, after their block or its end was lost with the store.
@pytest.mark.parametrize('leads', [True, False])
def test_blocks_are_written_as_they_were(leads: bool) -> None:
    """The leader writes at once, another node only if the leader doesn't."""
    node_view = view.View()
    ledger = partledger.PartLedger()
    ended = dataclasses.replace(BLOCK, part=0xCD)
    write(node_view, 1, 50, Kind.part_blocks, BLOCK, ended)
    change(node_view, 1, 51, Kind.part_blocks, ended.name, None)
    write(node_view, 2, 40, Kind.part_blocks, ended)
    ledger.adopt(node_view.part_blocks_by_name.values())
    assert ledger.is_blocked([(BLOCK.service, BLOCK.part)])
    assert not ledger.is_blocked([(ended.service, ended.part)])
    source = WritesRegistry()
    task = gevent.spawn(
        rewriter.Rewriter(source, node_view, ledger, lambda: leads).run
    )
    paused_loop.advance(rewriter.MIN_FOLLOWER_SECONDS - 0.1)
    written = [f'put {BLOCK.name}', f'remove {ended.name}']
    assert source.calls == written * leads
    paused_loop.advance(rewriter.MAX_FOLLOWER_SECONDS)
    task.kill()
    assert source.calls == written[: 1 + leads]


# Guards against prompt parts that are refused although they were answered: the
# block ended while the store had lost it, and was then written again.
def test_block_that_ends_while_held_stays_ended() -> None:
    """The store has nothing to remove then, and the record is forgotten."""
    node_view = view.View()
    ledger = partledger.PartLedger()
    part = (BLOCK.service, BLOCK.part)
    write(node_view, 1, 50, Kind.part_blocks, BLOCK)
    ledger.adopt(node_view.part_blocks_by_name.values())
    write(node_view, 2, 40, Kind.part_blocks)
    ledger.record_answer([part])
    source = WritesRegistry()
    task = gevent.spawn(
        rewriter.Rewriter(source, node_view, ledger, lambda: True).run
    )
    paused_loop.advance(1)
    task.kill()
    assert source.calls == [f'remove {BLOCK.name}']
    assert not node_view.part_blocks_by_name


# Guards against a bad version whose node in charge started after the store was
# restored and does not know that it was taken back.
def test_lost_state_is_reported_by_another_node() -> None:
    """A node that knows the state reports it if the leader does not."""
    node_view = view.View()
    reverted = dataclasses.replace(_date(ORDER, 1), state='reverted')
    write(node_view, 1, 50, Kind.rollouts, reverted)
    write(node_view, 2, 40, Kind.rollouts, _date(ORDER, 2))
    source = WritesRegistry()
    task = gevent.spawn(
        rewriter.Rewriter(source, node_view, partledger.PartLedger(), bool).run
    )
    paused_loop.advance(rewriter.MAX_FOLLOWER_SECONDS + 1)
    task.kill()
    assert set(source.calls) == {'report reverted'}
