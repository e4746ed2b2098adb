"""A stand-in for the platform's object service, in memory.

It counts every call, holds values to a megabyte, and can be down or slow,
lose answers after a write took effect, and serve a lagging list of machines.
"""

import collections
import dataclasses

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, error
from pimentoway.objects import store

#: The largest value, in bytes.
VALUE_BYTES = 1_000_000

#: Seconds after which a late write takes effect.
LATE_SECONDS = 1

#: The events that are kept for watches.
KEPT_EVENTS = 1000

Machines = tuple[store.Machine, ...]

_PEER = 'platform'


@dataclasses.dataclass
class Faults:
    """The faults that the stand-in shows.

    Attributes:
        down: Whether it refuses every call.
        delay: Seconds that each call takes.
        lost_answers: The writes, still to come, whose answer is lost.
        lost_writes: The writes, still to come, that vanish with their answer.
        late_writes: The writes, still to come, that take effect only after
            ``LATE_SECONDS``, their answer being lost.
        machine_lag: Seconds by which the list of machines lags.
    """

    down: bool = False
    delay: float = 0
    lost_answers: int = 0
    lost_writes: int = 0
    late_writes: int = 0
    machine_lag: float = 0


class MemoryStore(store.Store):
    """The object service in memory.

    Attributes:
        faults: The faults that it shows.
        calls: The calls by method, a waiting watch being one.
        revision: The number of writes so far.
    """

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self.revision = 0
        self._by_key: dict[tuple[str, str], store.Object] = {}
        self._events: collections.deque[tuple[int, store.Object]] = (
            collections.deque(maxlen=KEPT_EVENTS)
        )
        self._changed = gevent_event.Event()
        self._machines: list[tuple[float, Machines]] = []

    def read(self, kind: str, name: str) -> store.Object:
        """Read an object, see ``Store.read``.

        Args:
            kind: The kind.
            name: The name.

        Returns:
            The object, with version 0 if there is none.
        """
        self._enter('read')
        return self._find(kind, name)

    def write(
        self, kind: str, name: str, body: str, version: int
    ) -> store.Object:
        """Write an object, see ``Store.write``.

        Args:
            kind: The kind.
            name: The name.
            body: The new text.
            version: The version that is replaced.

        Returns:
            The object as written.

        Raises:
            PlatformRefusedError: If the value is too large.
        """
        self._enter('write')
        if len(body.encode()) > VALUE_BYTES:
            raise error.PlatformRefusedError('too large', 'write', _PEER)
        self._check_version(kind, name, version)
        self._lose_write()
        self._delay_write(kind, name, body, version)
        written = self._put(kind, name, body)
        self._lose_answer()
        return written

    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object, see ``Store.remove``.

        Args:
            kind: The kind.
            name: The name.
            version: The version that is removed.
        """
        self._enter('remove')
        self._check_version(kind, name, version)
        self._lose_write()
        gone = self._by_key.pop((kind, name), None)
        if gone:
            self._record(dataclasses.replace(gone, body='', deleted=True))
        self._lose_answer()

    def list_objects(self, kind: str, prefix: str = '') -> store.Events:
        """List the objects of a kind, see ``Store.list_objects``.

        Args:
            kind: The kind.
            prefix: What their names start with.

        Returns:
            The objects and the revision from which to watch.
        """
        self._enter('list')
        found = tuple(
            stored
            for (stored_kind, name), stored in sorted(self._by_key.items())
            if stored_kind == kind and name.startswith(prefix)
        )
        return store.Events(self.revision, found)

    def watch(self, kind: str, revision: int, seconds: float) -> store.Events:
        """Wait for events, see ``Store.watch``.

        Args:
            kind: The kind.
            revision: The revision after which events are wanted.
            seconds: The longest wait.

        Returns:
            The events, none if nothing changed.
        """
        self._enter('watch')
        end = clock.read_monotonic() + seconds
        found = self._list_events(kind, revision)
        while not found and clock.read_monotonic() < end:
            self._changed.wait(end - clock.read_monotonic())
            self._refuse_if_down('watch')
            found = self._list_events(kind, revision)
        return store.Events(self.revision, found)

    def list_machines(self) -> tuple[store.Machine, ...]:
        """List the VMs, see ``Store.list_machines``.

        Returns:
            The VMs, late by the lag.
        """
        self._enter('machines')
        seen = clock.read_monotonic() - self.faults.machine_lag
        known: tuple[store.Machine, ...] = ()
        for noted, machines in self._machines:
            if noted <= seen:
                known = machines
        return known

    def replace_machines(self, machines: tuple[store.Machine, ...]) -> None:
        """Set the list of VMs.

        Args:
            machines: The VMs from now on.
        """
        self._machines.append((clock.read_monotonic(), machines))

    def mark_down(self, down: bool) -> None:
        """Take the service down or bring it back.

        Args:
            down: Whether it is down.
        """
        self.faults.down = down
        self._wake()

    def _enter(self, step: str) -> None:
        self.calls[step] += 1
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
        found = self._find(kind, name).version
        if found != version:
            raise error.PlatformConflictError(
                f'version is {found}, not {version}',
                'write',
                _PEER,
            )

    def _lose_write(self) -> None:
        if self.faults.lost_writes:
            self.faults.lost_writes -= 1
            raise error.PlatformAmbiguousError('lost', 'write', _PEER)

    def _delay_write(
        self, kind: str, name: str, body: str, version: int
    ) -> None:
        if self.faults.late_writes:
            self.faults.late_writes -= 1
            gevent.spawn_later(
                LATE_SECONDS,
                self._put_late,
                kind,
                name,
                body,
                version,
            )
            raise error.PlatformAmbiguousError('lost', 'write', _PEER)

    def _put_late(self, kind: str, name: str, body: str, version: int) -> None:
        if self._find(kind, name).version == version:
            self._put(kind, name, body)

    def _lose_answer(self) -> None:
        if self.faults.lost_answers:
            self.faults.lost_answers -= 1
            raise error.PlatformAmbiguousError('lost', 'write', _PEER)

    def _put(self, kind: str, name: str, body: str) -> store.Object:
        # The revision serves as version, so that it rises over removals.
        written = store.Object(kind, name, self.revision + 1, body)
        self._by_key[(kind, name)] = written
        self._record(written)
        return written

    def _record(self, changed: store.Object) -> None:
        self.revision += 1
        self._events.append((self.revision, changed))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed.clear()

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
