"""The head object of the configuration, and updates through it.

The head holds the latest changes and the version of the snapshot on which they
are based. A change is accepted by one conditional update of the head, so of
several concurrent changes one is accepted and the others are refused.
"""

import dataclasses
import random

import gevent

from pimentoway.core import codec, configuration, error
from pimentoway.objects import store

#: Name of the head object.
HEAD_NAME = 'head'

#: Size of the encoded head in bytes above which a new snapshot is written.
SNAPSHOT_THRESHOLD_BYTES = 16_000

#: Attempts to accept a change or to find out whether it was accepted.
MAX_ATTEMPTS = 5

#: Maximum pause before the second attempt, in seconds; the maximum grows by
#: as much with each further attempt.
BACKOFF_STEP_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Head:
    """The content of the head object.

    Attributes:
        version: The version of the configuration in force; 0 if there is none.
        snapshot: The version of the snapshot; 0 for an empty configuration.
        changes: The changes after the snapshot, in the order of their versions.
        fence: The fencing number of the latest controller; changes with a
            lower one, except 0, are refused.
    """

    version: int = 0
    snapshot: int = 0
    changes: tuple[configuration.Change, ...] = ()
    fence: int = 0


@dataclasses.dataclass(frozen=True)
class StoredHead:
    """A head with the version of its object, for conditional updates.

    Attributes:
        head: The head.
        version: The version of the object; 0 if it does not exist.
    """

    head: Head
    version: int


def read_head(object_store: store.Store) -> StoredHead:
    """Read the head from the object service.

    Args:
        object_store: The object service.

    Returns:
        The head; an empty one of version 0 if no change was accepted yet.
    """
    stored_object = object_store.read(store.CONFIGURATION_KIND, HEAD_NAME)
    return decode_head(stored_object)


def decode_head(stored_object: store.Object) -> StoredHead:
    """Decode the head from its object.

    Args:
        stored_object: The object as read.

    Returns:
        The head; an empty one of version 0 if the object does not exist.
    """
    if not stored_object.version:
        return StoredHead(Head(), 0)
    return StoredHead(
        codec.decode_json(stored_object.body, Head, 'platform'),
        stored_object.version,
    )


def read_snapshot(
    object_store: store.Store, version: int
) -> configuration.Configuration:
    """Read the snapshot of a version of the configuration.

    Args:
        object_store: The object service.
        version: The version of the configuration; 0 for the empty one, which
            is not stored.

    Returns:
        The whole configuration.

    Raises:
        PlatformRefusedError: If the snapshot does not exist.
    """
    if not version:
        return configuration.Configuration()
    stored_object = object_store.read(store.SNAPSHOT_KIND, str(version))
    if not stored_object.version:
        raise error.PlatformRefusedError(
            f'snapshot {version} is missing',
            'read',
            'platform',
        )
    return codec.decode_json(
        stored_object.body,
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
        The configuration; an empty one of version 0 if there is none.
    """
    return restore_configuration(object_store, read_head(object_store).head)


def restore_configuration(
    object_store: store.Store, head: Head
) -> configuration.Configuration:
    """Apply the changes of a head to its snapshot.

    Args:
        object_store: The object service, which holds the snapshot.
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
    """Accept a change by one conditional update of the head.

    After a lost response the head is read back and searched for the change's
    identifier, so a change is accepted once and reported correctly. Also
    raises `PlatformConflictError` if another change was accepted first or a
    later controller has fenced this one off.

    Args:
        object_store: The object service.
        change: The change; its version is the one that its author read,
            plus 1.
        fence: The fencing number of a controller; 0 for operators, whose
            changes are never fenced off.

    Returns:
        The change as accepted, now or by an earlier call.

    Raises:
        PlatformAmbiguousError: If it remains unknown whether the change was
            accepted.
        PlatformUnavailableError: If the platform can't be reached and the
            change was certainly not accepted.
    """
    maybe_accepted = False
    for attempt in range(MAX_ATTEMPTS):
        gevent.sleep(random.uniform(0, BACKOFF_STEP_SECONDS) * attempt)
        try:
            return _try_accept(object_store, change, fence)
        except error.PlatformAmbiguousError:
            maybe_accepted = True
        except error.PlatformUnavailableError:
            if not maybe_accepted:
                raise
    raise error.PlatformAmbiguousError(
        f'it is not known whether change {change.change_id} was accepted; '
        'retry with the same identifier',
        'accept',
        'platform',
    )


def find_change(head: Head, change_id: str) -> configuration.Change | None:
    """Find a change among those that a head holds.

    Args:
        head: The head.
        change_id: The identifier of the change.

    Returns:
        The change, or None if it is not accepted or is in the snapshot.
    """
    for change in head.changes:
        if change.change_id == change_id:
            return change
    return None


def raise_fence(object_store: store.Store, fence: int) -> None:
    """Store a fencing number, so that changes with a lower one are refused.

    Args:
        object_store: The object service.
        fence: The fencing number of the new controller.

    Raises:
        PlatformConflictError: If the head has the same or a higher fencing
            number, or was changed at the same time.
    """
    stored = read_head(object_store)
    if stored.head.fence >= fence:
        raise error.PlatformConflictError(
            'fenced off by a later controller', 'fence', 'platform'
        )
    fenced_head = dataclasses.replace(stored.head, fence=fence)
    body = codec.encode_json(fenced_head).decode()
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
    accepted = find_change(stored.head, change.change_id)
    if accepted:
        return accepted
    if fence and fence < stored.head.fence:
        raise error.PlatformConflictError(
            'fenced off by a later controller', 'accept', 'platform'
        )
    if change.version != stored.head.version + 1:
        raise _make_conflict(stored.head, change)
    try:
        object_store.write(
            store.CONFIGURATION_KIND,
            HEAD_NAME,
            codec.encode_json(
                _append_change(object_store, stored.head, change)
            ).decode(),
            stored.version,
        )
    except error.PlatformConflictError as fault:
        # The other writer may be an earlier attempt whose response was lost.
        latest_head = read_head(object_store).head
        accepted = find_change(latest_head, change.change_id)
        if accepted:
            return accepted
        raise _make_conflict(latest_head, change) from fault
    return change


def _append_change(
    object_store: store.Store, head: Head, change: configuration.Change
) -> Head:
    extended_head = Head(
        change.version,
        head.snapshot,
        head.changes + (change,),
        head.fence,
    )
    if len(codec.encode_json(extended_head)) <= SNAPSHOT_THRESHOLD_BYTES:
        return extended_head
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
        # Another writer stored it; all snapshots of a version are equal.
        return


def _make_conflict(
    head: Head, change: configuration.Change
) -> error.PlatformConflictError:
    later_changes = [
        f'{other.author} made version {other.version}'
        for other in head.changes
        if other.version >= change.version
    ]
    reason = '; '.join(later_changes) or f'version {head.version} is in force'
    return error.PlatformConflictError(
        f'another change came first: {reason}',
        'accept',
        'platform',
    )
