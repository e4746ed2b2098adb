"""The settings of a node on the users' platform, decoded."""

import dataclasses

from pimentoway.core import duty


@dataclasses.dataclass(frozen=True)
class Bounds:
    """The service levels that the deployment must keep.

    Attributes:
        recovery_seconds: Time after a fault until all bounds must hold
            again.
        drain: Seconds after which a draining back end gets no new requests.
        grace: Seconds from SIGTERM until the process is killed.
        retry_ratio: The retry budget, as a fraction of the requests.
        retry_slack: Further retries allowed in each window.
        retry_window: The window of the retry budget, in seconds.
        quota_window: The window of the quotas, in seconds.
        quota_overshoot: The fraction by which a quota may be exceeded.
        quota_slack: Further units by which a quota may be exceeded.
        exposure_share: The fraction of requests that a bad version may get.
        exposure_slack: Further requests that a bad version may get.
        rollback: Seconds within which a bad version must be rolled back.
        cold_slack: The requests that a cold back end may get above its rate.
    """

    recovery_seconds: float = 3
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
class NodeSettings:
    """The settings of a node; addresses are given as ``ip:port``.

    Attributes:
        name: The name of the node.
        zone: The name of its failure domain.
        ip: The IP address.
        front: The address for callers.
        ready: The address for the load balancer's readiness checks.
        peers: The address for connections from other nodes.
        metrics: The address of the metrics.
        seeds: The addresses of nodes to contact until the store has listed
            the registered ones.
        store: The address of the platform's store.
        cores: The CPU time available to the node, in cores.
        memory_bytes: The memory limit of the process.
        descriptors: The limit of open file descriptors of the process.
        zones: The names of all failure domains.
        bounds: The service levels of the deployment.
        relay: The address for requests that other nodes have relayed; '' to
            relay none.
        duties: The duties of the deployment; ``None`` if it has none.
        has_fair_admission: Whether customers of a tier get fair shares, and
            refused requests places at which they return.
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
    relay: str = ''
    duties: duty.DutySettings | None = None
    has_fair_admission: bool = False
