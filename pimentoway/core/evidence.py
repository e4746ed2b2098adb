"""What nodes tell each other: short-lived signs, none of which must last.

The records double as wire messages, so they are frozen structs of msgspec,
the nearest kin of a data class whose encoding holds no field names.
"""

import msgspec


class Pressure(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A node has requests of a tier waiting for a pool.

    Attributes:
        node: The name of the node.
        zone: The failure domain of the node.
        pool: The name of the pool.
        rank: The highest rank that waits, or -1 if none waits any more.
        sequence: A number that rises with each announcement of the node.
    """

    node: str
    zone: str
    pool: str
    rank: int
    sequence: int


class Suspicion(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """A request was in flight when a back end crashed.

    Attributes:
        fingerprint: The fingerprint of the request.
        crash: The back end and its boot identifier.
        trial: Whether the request was the only one allowed there.
    """

    fingerprint: str
    crash: str
    trial: bool


class ColdStart(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A back end fell back into a cold start.

    Attributes:
        backend: The name of the back end.
        sequence: The wall-clock milliseconds at which it was noticed.
    """

    backend: str
    sequence: int


class Allowance(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """What a back end in its ramp may bear, from the node that owns the ramp.

    Attributes:
        backend: The name of the back end.
        slots: The requests it may run at once, over all nodes.
        sequence: The wall-clock milliseconds of the statement.
    """

    backend: str
    slots: int
    sequence: int


class ZoneOrder(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """An operator's order to a failure domain, given directly to nodes.

    Attributes:
        zone: The name of the failure domain.
        state: ``in`` or ``out``.
        sequence: The wall-clock milliseconds of the order.
        author: Who gave it.
    """

    zone: str
    state: str
    sequence: int
    author: str


class Notice(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A node runs a version of the configuration.

    Attributes:
        node: The name of the node.
        address: Where the node answers calls of other nodes.
        version: The version of the configuration.
    """

    node: str
    address: str
    version: int


class Tally(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """The answers that a version gave at a node since the node started.

    Attributes:
        node: The name of the node.
        pool: The name of the pool.
        version: The name of the version.
        service: The name of the service.
        good: The good answers.
        bad: The bad ones: failed, blank, cut off or slow.
        sequence: A number that rises with each telling of the node.
    """

    node: str
    pool: str
    version: str
    service: str
    good: int
    bad: int
    sequence: int


class Condemnation(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """A version is bad: it gets no more traffic.

    Attributes:
        pool: The name of the pool.
        version: The name of the version.
        rollout_id: The rollout by which it came.
        service: The service on which it is bad.
    """

    pool: str
    version: str
    rollout_id: str
    service: str


Evidence = (
    Pressure
    | Suspicion
    | ColdStart
    | Allowance
    | ZoneOrder
    | Notice
    | Tally
    | Condemnation
)
