"""Tests of the registry view and of the task that watches the registry."""

import collections

import gevent
from gevent import event as gevent_event

from pimentoway.core import deployment, error, registry
from pimentoway.ops import (
    registrywatcher,
    restoration,
    storecontact,
    view,
)
from pimentoway.standin import paused_loop

Kind = registry.Kind


def make_engine(name: str, **changes: object) -> deployment.Engine:
    """Make a registry entry of a back end.

    Args:
        name: The name of the back end.
        **changes: The fields that differ from the default.

    Returns:
        The entry.
    """
    fields = {
        'service': 's',
        'address': '1.1.1.1:1',
        'zone': 'z',
        'version': 'v1',
        'slots': 6,
        'draining': False,
        'cold_seconds': 0,
        'born': 1,
    }
    return deployment.Engine(name=name, **{**fields, **changes})


def make_deployment(version: int) -> deployment.Deployment:
    """Make a configuration.

    Args:
        version: The version of the configuration.

    Returns:
        A configuration without routes.
    """
    return deployment.Deployment(version, (), {}, {}, deployment.CallerLimits())


def change(
    registry_view: view.View,
    revision: int,
    kind: Kind,
    name: str,
    record: registry.Record | None,
) -> None:
    """Apply one change.

    Args:
        registry_view: The view.
        revision: The revision of the store after the change.
        kind: The kind of the record.
        name: The name of the record.
        record: The new record; nothing removes it.
    """
    changes = registry.Changes(revision, (registry.Change(name, record),))
    registry_view.apply_changes(kind, changes, 'test')


def test_older_configuration_is_ignored() -> None:
    """An older version that arrives late must not replace a newer one."""
    registry_view = view.View()
    change(registry_view, 5, Kind.configuration, 'main', make_deployment(7))
    change(registry_view, 6, Kind.configuration, 'main', make_deployment(4))
    change(registry_view, 7, Kind.configuration, 'main', None)
    assert registry_view.deployment.version == 7


def test_older_snapshot_is_ignored() -> None:
    """A peer that is behind must not undo newer changes."""
    registry_view = view.View()
    change(registry_view, 5, Kind.engines, 'a', make_engine('a'))
    old = view.Snapshot(Kind.engines, 4, {})
    assert not registry_view.apply_snapshot(old, 'peer')
    assert 'a' in registry_view.engines_by_name


def test_newer_snapshot_replaces_all_records() -> None:
    """A node that missed changes gets them from a peer, removals too."""
    registry_view = view.View()
    change(registry_view, 5, Kind.engines, 'a', make_engine('a'))
    other = view.View()
    change(other, 9, Kind.engines, 'b', make_engine('b'))
    assert registry_view.apply_snapshot(
        other.make_snapshot(Kind.engines), 'peer'
    )
    assert set(registry_view.engines_by_name) == {'b'}
    assert registry_view.revision_by_kind[Kind.engines] == 9


# Guards against nodes that start without a configuration: the others, which
# had listed it again, sent them none.
def test_configuration_listed_again_is_passed_on() -> None:
    """A listing with the known version leaves the configuration in place."""
    registry_view = view.View()
    records = {'main': make_deployment(7)}
    for revision in (5, 6):
        snapshot = view.Snapshot(Kind.configuration, revision, records)
        registry_view.apply_snapshot(snapshot, 'store list')
    passed_on = registry_view.make_snapshot(Kind.configuration)
    assert list(passed_on.records_by_name.values()) == [make_deployment(7)]


def test_removed_back_end_is_gone_at_once() -> None:
    """While the store works, a removal is not delayed."""
    registry_view = view.View()
    change(registry_view, 5, Kind.engines, 'a', make_engine('a'))
    change(registry_view, 6, Kind.engines, 'a', None)
    assert not registry_view.engines_by_name


def test_entry_expired_in_an_outage_is_kept() -> None:
    """A running back end can't renew its entry while the store fails."""
    registry_view = view.View()
    change(registry_view, 5, Kind.engines, 'a', make_engine('a'))
    change(registry_view, 6, Kind.engines, 'b', make_engine('b'))
    registry_view.note_store_failure()
    change(registry_view, 7, Kind.engines, 'a', None)
    change(registry_view, 8, Kind.engines, 'b', None)
    assert set(registry_view.engines_by_name) == {'a', 'b'}
    change(registry_view, 9, Kind.engines, 'a', make_engine('a'))
    paused_loop.advance(restoration.GRACE_SECONDS + 0.1)
    registry_view.expire()
    assert set(registry_view.engines_by_name) == {'a'}


def test_draining_back_end_is_not_kept_in_outage() -> None:
    """A draining back end removes its entry itself, so none is kept."""
    registry_view = view.View()
    change(registry_view, 5, Kind.engines, 'a', make_engine('a', draining=True))
    registry_view.note_store_failure()
    change(registry_view, 6, Kind.engines, 'a', None)
    assert not registry_view.engines_by_name


def test_evacuated_and_draining_are_not_usable() -> None:
    """A back end is usable again when the evacuation ends."""
    registry_view = view.View()
    change(registry_view, 5, Kind.evacuations, 'out', 'out')
    assert registry_view.is_usable(make_engine('a'))
    assert not registry_view.is_usable(make_engine('a', draining=True))
    assert not registry_view.is_usable(make_engine('a', zone='out'))
    change(registry_view, 6, Kind.evacuations, 'out', None)
    assert registry_view.is_usable(make_engine('a', zone='out'))


class ScriptedRegistry(registry.Registry):
    """A registry that returns the answers of a test, then blocks.

    Attributes:
        answers: The answers left: listings and changes to return, errors to
            raise.
        calls: The calls so far.
        waits: The seconds for which each watch would wait.
    """

    def __init__(self, *answers: object) -> None:
        """Set the answers.

        Args:
            *answers: The answers, in the order of the calls.
        """
        self.answers = collections.deque(answers)
        self.calls: list[str] = []
        self.waits: list[float] = []

    def list_records(self, kind: Kind) -> registry.Listing:
        """Return the next answer.

        Args:
            kind: Ignored.

        Returns:
            The next answer.
        """
        return self._answer('list')

    def watch_records(
        self, kind: Kind, revision: int, seconds: float
    ) -> registry.Changes:
        """Return the next answer.

        Args:
            kind: Ignored.
            revision: The revision, recorded in the call.
            seconds: How long to wait, which is recorded.

        Returns:
            The next answer.
        """
        self.waits.append(seconds)
        return self._answer(f'watch {revision}')

    def check(self) -> None:
        """Do nothing, as the store answers."""

    def put_peer(self, peer: deployment.Peer) -> None:
        """Do nothing.

        Args:
            peer: Ignored.
        """

    def remove_peer(self, name: str) -> None:
        """Do nothing.

        Args:
            name: Ignored.
        """

    def put_part_block(self, block: deployment.PartBlock) -> None:
        """Do nothing.

        Args:
            block: The block.
        """

    def remove_part_block(self, block: deployment.PartBlock) -> None:
        """Do nothing.

        Args:
            block: The block.
        """

    def report_rollout(self, rollout: deployment.Rollout, state: str) -> None:
        """Do nothing.

        Args:
            rollout: Ignored.
            state: Ignored.
        """

    def _answer(self, call: str) -> object:
        self.calls.append(call)
        if not self.answers:
            gevent.sleep(1000)
        answer = self.answers.popleft()
        if isinstance(answer, Exception):
            raise answer
        return answer


class ArrivingRegistry(ScriptedRegistry):
    """A registry in which nodes register one after another.

    Attributes:
        watches: The watches that returned changes.
    """

    def __init__(self) -> None:
        """Start without nodes."""
        super().__init__()
        self.watches = 0
        self._added: list[registry.Change] = []
        self._arrived = gevent_event.Event()

    def add(self, name: str) -> None:
        """Register a node.

        Args:
            name: The name of the node.
        """
        record = deployment.Peer(name, 'z', f'{name}:1', 1)
        self._added.append(registry.Change(name, record))
        self._arrived.set()

    def list_records(self, kind: Kind) -> registry.Listing:
        """Return an empty listing.

        Args:
            kind: Ignored.

        Returns:
            An empty listing.
        """
        return registry.Listing(0, {})

    def watch_records(
        self, kind: Kind, revision: int, seconds: float
    ) -> registry.Changes:
        """Wait for nodes that register after a revision.

        Args:
            kind: Ignored.
            revision: The number of nodes that the caller knows.
            seconds: Ignored.

        Returns:
            The nodes that registered since.
        """
        while len(self._added) <= revision:
            self._arrived.clear()
            self._arrived.wait()
        self.watches += 1
        return registry.Changes(len(self._added), tuple(self._added[revision:]))


def make_watcher(
    source: registry.Registry, registry_view: view.View
) -> registrywatcher.RegistryWatcher:
    """Make the watcher of a node that always watches the store.

    Args:
        source: The registry in the store.
        registry_view: The view to update.

    Returns:
        The watcher.
    """
    return registrywatcher.RegistryWatcher(
        source, registry_view, lambda: True, storecontact.StoreContact()
    )


def watch_for_ten_seconds(
    *answers: object,
) -> tuple[view.View, ScriptedRegistry]:
    """Watch the back ends of a scripted registry for ten seconds.

    Args:
        *answers: The answers of the registry.

    Returns:
        The resulting view, and the registry.
    """
    registry_view = view.View()
    source = ScriptedRegistry(*answers)
    watcher = make_watcher(source, registry_view)
    gevent.spawn(watcher.run, Kind.engines)
    paused_loop.advance(10)
    return registry_view, source


def test_watch_continues_from_the_last_revision() -> None:
    """A listing and each watch return the revision of the next watch."""
    removal = registry.Changes(8, (registry.Change('a', None),))
    registry_view, source = watch_for_ten_seconds(
        registry.Listing(5, {'a': make_engine('a')}),
        removal,
    )
    assert source.calls == ['list', 'watch 5', 'watch 8']
    assert not registry_view.engines_by_name


def test_expired_watch_is_followed_by_a_listing() -> None:
    """After a compaction the store can't list the missed changes."""
    registry_view, source = watch_for_ten_seconds(
        registry.Listing(5, {'a': make_engine('a')}),
        error.WatchExpiredError('gone', 'watch'),
        registry.Listing(9, {'b': make_engine('b')}),
    )
    assert source.calls == ['list', 'watch 5', 'list', 'watch 9']
    assert set(registry_view.engines_by_name) == {'b'}


# Guards against thousands of calls to a store whose listings don't help.
def test_watches_that_expire_again_are_delayed() -> None:
    """Only the first listing after an expired watch comes at once."""
    answers = (
        registry.Listing(5, {}),
        error.WatchExpiredError('gone', 'watch'),
    )
    _, source = watch_for_ten_seconds(*answers * 1000)
    assert source.calls[:4] == ['list', 'watch 5', 'list', 'watch 5']
    per_second = 2 / (registrywatcher.MAX_RETRY_SECONDS / 2)
    assert len(source.calls) < 10 * per_second + 10


def test_failed_watch_retries_from_its_revision() -> None:
    """An outage of the store removes no records."""
    registry_view, source = watch_for_ten_seconds(
        registry.Listing(5, {'a': make_engine('a')}),
        error.PlatformUnavailableError('busy', 'watch'),
        error.PlatformAmbiguousError('cut', 'watch'),
        registry.Changes(6, ()),
    )
    assert source.calls == ['list', 'watch 5', 'watch 5', 'watch 5', 'watch 6']
    # Guards against changes that are seen late: the store was restored while
    # calls failed, and only an answer shows that.
    waits = registrywatcher.WATCH_SECONDS
    assert source.waits == [waits, 0, 0, waits]
    assert set(registry_view.engines_by_name) == {'a'}


# Guards against a task that has to be restarted: the end of a watch, as the
# store was restored, came in the pause after the watch had failed.
def test_late_end_of_a_watch_is_survived() -> None:
    """The task lists the records again."""
    source = ScriptedRegistry(
        registry.Listing(5, {}),
        error.PlatformUnavailableError('busy', 'watch'),
        registry.Listing(9, {}),
    )
    watcher = make_watcher(source, view.View())
    task = gevent.spawn(watcher.run, Kind.engines)
    paused_loop.advance(0.01)
    gevent.kill(task, error.WatchExpiredError('restored', 'watch'))
    paused_loop.advance(1)
    assert source.calls == ['list', 'watch 5', 'list', 'watch 9']
    task.kill()


# Guards against entries of back ends that are kept beyond their removal, as if
# the store were failing.
def test_renewed_watch_is_no_failure() -> None:
    """It is made anew at once, and does not wait the first time."""
    registry_view = view.View()
    source = ScriptedRegistry(registry.Listing(5, {'a': make_engine('a')}))
    contact = storecontact.StoreContact()
    watcher = registrywatcher.RegistryWatcher(
        source, registry_view, lambda: True, contact
    )
    gevent.spawn(watcher.run, Kind.engines)
    paused_loop.advance(1)
    removal = registry.Changes(6, (registry.Change('a', None),))
    source.answers.append(removal)
    contact.renew_watches('test')
    paused_loop.advance(0.1)
    assert source.calls == ['list', 'watch 5', 'watch 5', 'watch 6']
    assert source.waits[1] == 0
    assert not registry_view.engines_by_name


def test_registrations_of_nodes_are_batched() -> None:
    """When all nodes start, their registrations end only few watches."""
    registry_view = view.View()
    source = ArrivingRegistry()
    watcher = make_watcher(source, registry_view)
    gevent.spawn(watcher.run, Kind.peers)
    for number in range(40):
        source.add(f'n{number}')
        paused_loop.advance(0.02)
    paused_loop.advance(1)
    assert len(registry_view.peers_by_name) == 40
    assert source.watches <= 4
