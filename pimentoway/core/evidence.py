"""The observations and orders that nodes spread by gossip.

None of them needs to be stored. The records are also the wire messages, hence
``msgspec`` structs encoded as arrays: only the order of the fields is sent,
not their names.
"""

import msgspec


class QueuePressure(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The highest tier that has requests queued at a node for a pool.

    Attributes:
        node: The name of the node.
        zone: The failure domain of the node.
        pool: The name of the pool.
        rank: The rank of the highest queued tier; -1 if no request is queued
            any more.
        sequence: Rises with each message of the node, so that older messages
            can be ignored.
    """

    node: str
    zone: str
    pool: str
    rank: int
    sequence: int


class CrashSuspicion(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A request that was in flight at a back end when it crashed.

    Attributes:
        fingerprint: The fingerprint of the request.
        crash: The crashed back end's name and boot identifier, as
            ``name/boot``.
        trial: Whether the request, already a suspect, ran as a trial.
        service: The name of its service.
        prefixes: The digests of those prefixes of its prompt that the node had
            seen no answer to.
        run_seconds: Seconds for which it had been running.
    """

    fingerprint: str
    crash: str
    trial: bool
    service: str = ''
    prefixes: tuple[int, ...] = ()
    run_seconds: float = 0


class ColdStart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A back end that has become cold again.

    Attributes:
        backend: The name of the back end.
        sequence: When it was noticed, in milliseconds since the epoch.
    """

    backend: str
    sequence: int


class RampLimit(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The limit of a back end in its ramp, set by the node that owns it.

    Attributes:
        backend: The name of the back end.
        slots: The most concurrent requests, over all nodes.
        sequence: When the limit was set, in milliseconds since the epoch.
    """

    backend: str
    slots: int
    sequence: int


class ZoneOrder(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An operator's order to open or close a failure domain.

    It goes directly to nodes, so it also works without the platform.

    Attributes:
        zone: The name of the failure domain.
        state: ``in`` or ``out``, see ``configuration.ZoneState``.
        sequence: When it was given, in milliseconds since the epoch.
        author: The operator.
    """

    zone: str
    state: str
    sequence: int
    author: str


class VersionNotice(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The version of the configuration that a node has in force.

    Attributes:
        node: The name of the node.
        address: The address for calls from other nodes.
        version: The version of the configuration.
    """

    node: str
    address: str
    version: int


class Tally(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The good and bad answers of a version since a node started.

    Attributes:
        node: The name of the node.
        pool: The name of the pool.
        version: The name of the version.
        service: The name of the service.
        good: The number of good answers.
        bad: The number of failed, empty, incomplete or slow answers.
        sequence: Rises with each message of the node, so that older messages
            can be ignored.
    """

    node: str
    pool: str
    version: str
    service: str
    good: int
    bad: int
    sequence: int


class Condemnation(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A version that was found bad and gets no more traffic.

    Attributes:
        pool: The name of the pool.
        version: The name of the version.
        rollout_id: The identity of the rollout that introduced it.
        service: The name of the service whose answers were bad.
    """

    pool: str
    version: str
    rollout_id: str
    service: str


Evidence = (
    QueuePressure
    | CrashSuspicion
    | ColdStart
    | RampLimit
    | ZoneOrder
    | VersionNotice
    | Tally
    | Condemnation
)
