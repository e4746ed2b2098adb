"""An in-memory object store in place of the platform's object service.

It counts calls and limits the size of values. Tests make it unavailable or
slow, make it lose writes or their answers, and delay its list of VMs.
"""

import collections
import dataclasses

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, error
from pimentoway.objects import store

#: Maximum size of a value, in bytes.
MAX_VALUE_BYTES = 1_000_000

#: Delay of a late write, in seconds.
LATE_WRITE_SECONDS = 1

#: Events kept for watches; a watch that starts before them expires.
MAX_KEPT_EVENTS = 1000

Machines = tuple[store.Machine, ...]

_PEER = 'platform'


@dataclasses.dataclass
class Faults:
    """The injected faults.

    Attributes:
        down: Whether every call is refused.
        delay: Latency of each call, in seconds.
        lost_answers: The number of next writes and removals that take effect
            but whose answer is lost.
        lost_writes: The number of next writes and removals that are lost
            before they take effect.
        late_writes: The number of next writes whose answer is lost and that
            take effect ``LATE_WRITE_SECONDS`` later, unless the object has
            changed.
        machine_lag: Age of the listed VMs, in seconds.
    """

    down: bool = False
    delay: float = 0
    lost_answers: int = 0
    lost_writes: int = 0
    late_writes: int = 0
    machine_lag: float = 0


class MemoryStore(store.Store):
    """The object service, in memory.

    Attributes:
        faults: The injected faults.
        call_count_by_method: The number of calls; a watch counts once however
            long it waits.
        revision: The number of writes and removals so far.
    """

    def __init__(self) -> None:
        """Start without objects, VMs and faults."""
        self.faults = Faults()
        self.call_count_by_method: collections.Counter[str] = (
            collections.Counter()
        )
        self.revision = 0
        self._by_key: dict[tuple[str, str], store.Object] = {}
        self._events: collections.deque[tuple[int, store.Object]] = (
            collections.deque(maxlen=MAX_KEPT_EVENTS)
        )
        self._change_event = gevent_event.Event()
        self._machine_lists: list[tuple[float, Machines]] = []

    def read(self, kind: str, name: str) -> store.Object:
        """Read an object, see ``Store.read``.

        Args:
            kind: The kind of the object.
            name: Its name within the kind.

        Returns:
            The object; an empty one of version 0 if there is none.
        """
        self._begin_call('read')
        return self._find(kind, name)

    def write(
        self, kind: str, name: str, body: str, version: int
    ) -> store.Object:
        """Write an object, see ``Store.write``.

        Args:
            kind: The kind of the object.
            name: Its name within the kind.
            body: The new text.
            version: The expected current version; 0 to create the object.

        Returns:
            The object as written.

        Raises:
            PlatformRefusedError: If the body exceeds ``MAX_VALUE_BYTES``.
        """
        self._begin_call('write')
        if len(body.encode()) > MAX_VALUE_BYTES:
            raise error.PlatformRefusedError('too large', 'write', _PEER)
        self._check_version(kind, name, version)
        self._lose_write_if_due()
        self._delay_write_if_due(kind, name, body, version)
        written = self._put(kind, name, body)
        self._lose_answer_if_due()
        return written

    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object, see ``Store.remove``.

        Args:
            kind: The kind of the object.
            name: Its name within the kind.
            version: The expected current version.
        """
        self._begin_call('remove')
        self._check_version(kind, name, version)
        self._lose_write_if_due()
        removed = self._by_key.pop((kind, name), None)
        if removed:
            self._add_event(dataclasses.replace(removed, body='', deleted=True))
        self._lose_answer_if_due()

    def list_objects(self, kind: str, prefix: str = '') -> store.Events:
        """List the objects of a kind, see ``Store.list_objects``.

        Args:
            kind: The kind of the objects.
            prefix: The prefix of their names; '' for all.

        Returns:
            The objects, ordered by name, and the revision to watch from.
        """
        self._begin_call('list')
        matches = tuple(
            stored
            for (stored_kind, name), stored in sorted(self._by_key.items())
            if stored_kind == kind and name.startswith(prefix)
        )
        return store.Events(self.revision, matches)

    def watch(self, kind: str, revision: int, seconds: float) -> store.Events:
        """Wait for events, see ``Store.watch``.

        Args:
            kind: The kind of the objects.
            revision: Only later changes are returned.
            seconds: Maximum wait, in seconds.

        Returns:
            The changed objects, none after the maximum wait, and the current
            revision.
        """
        self._begin_call('watch')
        end = clock.read_monotonic() + seconds
        matches = self._list_events(kind, revision)
        while not matches and clock.read_monotonic() < end:
            self._change_event.wait(end - clock.read_monotonic())
            self._refuse_if_down('watch')
            matches = self._list_events(kind, revision)
        return store.Events(self.revision, matches)

    def list_machines(self) -> tuple[store.Machine, ...]:
        """List the VMs, see ``Store.list_machines``.

        Returns:
            The VMs as they were ``machine_lag`` seconds ago.
        """
        self._begin_call('machines')
        visible_until = clock.read_monotonic() - self.faults.machine_lag
        visible: tuple[store.Machine, ...] = ()
        for replaced_at, machines in self._machine_lists:
            if replaced_at <= visible_until:
                visible = machines
        return visible

    def replace_machines(self, machines: tuple[store.Machine, ...]) -> None:
        """Replace the list of VMs; earlier lists stay for a delayed reply.

        Args:
            machines: All VMs from now on.
        """
        self._machine_lists.append((clock.read_monotonic(), machines))

    def set_down(self, down: bool) -> None:
        """Make the service unavailable or available; waiting watches notice.

        Args:
            down: Whether it refuses calls.
        """
        self.faults.down = down
        self._wake_watches()

    def _begin_call(self, step: str) -> None:
        self.call_count_by_method[step] += 1
        self._refuse_if_down(step)
        if self.faults.delay:
            gevent.sleep(self.faults.delay)
            self._refuse_if_down(step)

    def _refuse_if_down(self, step: str) -> None:
        if self.faults.down:
            raise error.PlatformUnavailableError('down', step, _PEER)

    def _find(self, kind: str, name: str) -> store.Object:
        missing = store.Object(kind, name, 0, '')
        return self._by_key.get((kind, name), missing)

    def _check_version(self, kind: str, name: str, version: int) -> None:
        current = self._find(kind, name).version
        if current != version:
            raise error.PlatformConflictError(
                f'version is {current}, not {version}',
                'write',
                _PEER,
            )

    def _lose_write_if_due(self) -> None:
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            raise error.PlatformAmbiguousError('lost', 'write', _PEER)

    def _delay_write_if_due(
        self, kind: str, name: str, body: str, version: int
    ) -> None:
        if self.faults.late_writes:
            self.faults.late_writes -= 1
            gevent.spawn_later(
                LATE_WRITE_SECONDS,
                self._put_delayed,
                kind,
                name,
                body,
                version,
            )
            raise error.PlatformAmbiguousError('lost', 'write', _PEER)

    def _put_delayed(
        self, kind: str, name: str, body: str, version: int
    ) -> None:
        if self._find(kind, name).version == version:
            self._put(kind, name, body)

    def _lose_answer_if_due(self) -> None:
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise error.PlatformAmbiguousError('lost', 'write', _PEER)

    def _put(self, kind: str, name: str, body: str) -> store.Object:
        # Using the revision as the version keeps versions rising when an
        # object is removed and created again.
        written = store.Object(kind, name, self.revision + 1, body)
        self._by_key[(kind, name)] = written
        self._add_event(written)
        return written

    def _add_event(self, changed: store.Object) -> None:
        self.revision += 1
        self._events.append((self.revision, changed))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._change_event.set()
        self._change_event.clear()

    def _list_events(
        self, kind: str, revision: int
    ) -> tuple[store.Object, ...]:
        oldest = self._events[0][0] if self._events else self.revision + 1
        if revision + 1 < oldest and revision < self.revision:
            raise error.WatchExpiredError('events are gone', 'watch', _PEER)
        return tuple(
            changed
            for number, changed in self._events
            if number > revision and changed.kind == kind
        )
