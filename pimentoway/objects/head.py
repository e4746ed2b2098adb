"""The head of the configuration: the one object that decides what is accepted.

The head carries the latest changes and names a snapshot that precedes them. A
change is accepted by one conditional update of the head, so that of several
operators' changes one comes first and the others are refused.
"""

import dataclasses
import random

import gevent

from pimentoway.core import codec, configuration, error
from pimentoway.objects import store

#: The name of the head.
HEAD_NAME = 'head'

#: The size of the head from which a new snapshot is written, in bytes.
HEAD_BYTES = 16_000

#: The attempts to learn what became of a change.
ATTEMPTS = 5

#: The longest pause between attempts, in seconds.
PAUSE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of the configuration.

    Attributes:
        version: The version of the configuration in force.
        snapshot: The version of the snapshot; 0 stands for an empty one.
        changes: The changes after the snapshot, in order.
        fence: The fencing number of the controller; changes that carry a
            lower one are refused.
    """

    version: int = 0
    snapshot: int = 0
    changes: tuple[configuration.Change, ...] = ()
    fence: int = 0


@dataclasses.dataclass(frozen=True)
class Stored:
    """The head with the version of its object.

    Attributes:
        head: The head.
        version: The version of the object.
    """

    head: Head
    version: int


def read_head(object_store: store.Store) -> Stored:
    """Read the head.

    Args:
        object_store: The object service.

    Returns:
        The head; an empty one if nothing was accepted yet.
    """
    found = object_store.read(store.CONFIGURATION_KIND, HEAD_NAME)
    return decode_head(found)


def decode_head(found: store.Object) -> Stored:
    """Decode the head from its object.

    Args:
        found: The object.

    Returns:
        The head; an empty one if the object is absent.
    """
    if not found.version:
        return Stored(Head(), 0)
    return Stored(
        codec.decode_json(found.body, Head, 'platform'),
        found.version,
    )


def read_snapshot(
    object_store: store.Store, version: int
) -> configuration.Configuration:
    """Read a snapshot.

    Args:
        object_store: The object service.
        version: The version of the configuration.

    Returns:
        The configuration.

    Raises:
        PlatformRefusedError: If the snapshot is missing.
    """
    if not version:
        return configuration.Configuration()
    found = object_store.read(store.SNAPSHOT_KIND, str(version))
    if not found.version:
        raise error.PlatformRefusedError(
            f'snapshot {version} is missing',
            'read',
            'platform',
        )
    return codec.decode_json(
        found.body,
        configuration.Configuration,
        'platform',
    )


def read_configuration(
    object_store: store.Store,
) -> configuration.Configuration:
    """Read the configuration in force.

    Args:
        object_store: The object service.

    Returns:
        The configuration.
    """
    return restore_configuration(object_store, read_head(object_store).head)


def restore_configuration(
    object_store: store.Store, head: Head
) -> configuration.Configuration:
    """Restore the configuration that a head describes.

    Args:
        object_store: The object service.
        head: The head.

    Returns:
        The configuration.
    """
    current = read_snapshot(object_store, head.snapshot)
    for change in head.changes:
        current = configuration.apply_change(current, change)
    return current


def accept_change(
    object_store: store.Store, change: configuration.Change, fence: int = 0
) -> configuration.Change:
    """Accept a change by one conditional update.

    After a lost answer the head is read back and searched for the change's
    identifier, so that the answer is true in either case.

    Args:
        object_store: The object service.
        change: The change; its version is the one after that which its
            author saw.
        fence: The fencing number of a controller; 0 for operators.

    Returns:
        The change as accepted. A ``PlatformConflictError`` is raised if
        another change came first.

    Raises:
        PlatformAmbiguousError: If it could not be learnt what became of it.
        PlatformUnavailableError: If the platform can't be reached.
    """
    unsure = False
    for attempt in range(ATTEMPTS):
        gevent.sleep(random.uniform(0, PAUSE_SECONDS) * attempt)
        try:
            return _try_accept(object_store, change, fence)
        except error.PlatformAmbiguousError:
            unsure = True
        except error.PlatformUnavailableError:
            if not unsure:
                raise
    raise error.PlatformAmbiguousError(
        f'it is not known whether change {change.change_id} was accepted; '
        'ask again with its identifier',
        'accept',
        'platform',
    )


def find_change(head: Head, change_id: str) -> configuration.Change | None:
    """Find a change by its identifier.

    Args:
        head: The head.
        change_id: The identifier.

    Returns:
        The change, or nothing.
    """
    for change in head.changes:
        if change.change_id == change_id:
            return change
    return None


def raise_fence(object_store: store.Store, fence: int) -> None:
    """Refuse changes of earlier controllers from now on.

    Args:
        object_store: The object service.
        fence: The fencing number of the new controller.

    Raises:
        PlatformConflictError: If a later controller came first.
    """
    stored = read_head(object_store)
    if stored.head.fence >= fence:
        raise error.PlatformConflictError('fenced off', 'fence', 'platform')
    raised = dataclasses.replace(stored.head, fence=fence)
    body = codec.encode_json(raised).decode()
    object_store.write(
        store.CONFIGURATION_KIND,
        HEAD_NAME,
        body,
        stored.version,
    )


def _try_accept(
    object_store: store.Store, change: configuration.Change, fence: int
) -> configuration.Change:
    stored = read_head(object_store)
    known = find_change(stored.head, change.change_id)
    if known:
        return known
    if fence and fence < stored.head.fence:
        raise error.PlatformConflictError('fenced off', 'accept', 'platform')
    if change.version != stored.head.version + 1:
        raise _make_conflict(stored.head, change)
    try:
        object_store.write(
            store.CONFIGURATION_KIND,
            HEAD_NAME,
            codec.encode_json(
                _extend_head(object_store, stored.head, change)
            ).decode(),
            stored.version,
        )
    except error.PlatformConflictError as fault:
        # The other writer may be an earlier attempt whose answer was lost.
        renewed = read_head(object_store).head
        known = find_change(renewed, change.change_id)
        if known:
            return known
        raise _make_conflict(renewed, change) from fault
    return change


def _extend_head(
    object_store: store.Store, head: Head, change: configuration.Change
) -> Head:
    extended = Head(
        change.version,
        head.snapshot,
        head.changes + (change,),
        head.fence,
    )
    if len(codec.encode_json(extended)) <= HEAD_BYTES:
        return extended
    snapshot = restore_configuration(object_store, head)
    _write_snapshot(object_store, snapshot)
    return Head(change.version, snapshot.version, (change,), head.fence)


def _write_snapshot(
    object_store: store.Store, snapshot: configuration.Configuration
) -> None:
    body = codec.encode_json(snapshot).decode()
    name = str(snapshot.version)
    try:
        object_store.write(store.SNAPSHOT_KIND, name, body, 0)
    except error.PlatformConflictError:
        # A snapshot of a version is always the same.
        return


def _make_conflict(
    head: Head, change: configuration.Change
) -> error.PlatformConflictError:
    later = [
        f'{other.author} made version {other.version}'
        for other in head.changes
        if other.version >= change.version
    ]
    reason = '; '.join(later) or f'version {head.version} is in force'
    return error.PlatformConflictError(
        f'another change came first: {reason}',
        'accept',
        'platform',
    )
