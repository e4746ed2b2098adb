"""Where a node runs and what it may use, decoded from its settings."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Times and limits that the deployment promises its users.

    Attributes:
        contact: Seconds after a trouble until all bounds hold again.
        drain: Seconds in which a leaving back end must get no more work.
        grace: Seconds from SIGTERM until the process is killed.
        retry_ratio: The repeats allowed for each request.
        retry_slack: The repeats allowed in addition, in a window.
        retry_window: The window of the retry budget, in seconds.
        quota_window: The window of the quotas, in seconds.
        quota_overshoot: The part by which a quota may be exceeded.
        quota_slack: The units by which it may be exceeded in addition.
        exposure_share: The part of requests that a bad version may get.
        exposure_slack: The requests that it may get in addition.
        rollback: Seconds in which a bad version must be taken back.
        cold_slack: The requests above its rate that a cold back end bears.
    """

    contact: float = 3
    drain: float = 2
    grace: float = 8
    retry_ratio: float = 0.2
    retry_slack: float = 50
    retry_window: float = 10
    quota_window: float = 8
    quota_overshoot: float = 0.1
    quota_slack: float = 0
    exposure_share: float = 0.1
    exposure_slack: float = 50
    rollback: float = 5
    cold_slack: float = 5


@dataclasses.dataclass(frozen=True)
class Place:
    """Where a node runs.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        ip: Its IP number.
        front: Where it takes callers' connections.
        ready: Where it answers the balancer's readiness checks.
        peers: Where it takes connections of other nodes.
        metrics: Where it serves metrics.
        seeds: Addresses of nodes that may be up, to be used until the store
            tells better.
        store: The address of the platform's store.
        cores: Its processor time, in cores.
        memory_bytes: The memory of a process.
        descriptors: The connections that a process may hold.
        zones: All failure domains.
        bounds: The promises of the deployment.
    """

    name: str
    zone: str
    ip: str
    front: str
    ready: str
    peers: str
    metrics: str
    seeds: tuple[str, ...]
    store: str
    cores: float
    memory_bytes: int
    descriptors: int
    zones: tuple[str, ...]
    bounds: Bounds
