"""The records of the platform's store: routes, services, back ends, peers.

Nodes send these records to each other with the field names as keys (see
``nodes/frame.py``), so a renamed field makes a record unreadable for nodes of
another version.
"""

import collections
import dataclasses
import enum
import functools

import xxhash

#: The timeout for the first event of a stream is the longest of these: a
#: number of seconds, a multiple of the route's latency target and a multiple
#: of its target for the gap between events.
FIRST_EVENT_SECONDS = 2.0
FIRST_EVENT_TARGET_FACTOR = 4
FIRST_EVENT_GAP_FACTOR = 8

#: The number of values of the 32-bit hash that picks a service.
HASH_RANGE = 0x100000000


class RouteKind(enum.Enum):
    """Whether requests of a route may be repeated.

    A ``stream`` may be repeated only if the route is resumable.
    """

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@dataclasses.dataclass(frozen=True)
class Share:
    """A service's share of a route's traffic.

    Attributes:
        service: The name of the service.
        weight: The weight relative to the route's other shares.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """The handling of requests for a host and path prefix.

    Attributes:
        name: The name.
        host: The host, in lowercase.
        prefix: The path prefix, which begins and ends with a slash.
        kind: Whether requests may be repeated.
        shares: The services that get the traffic, with weights.
        attempts: The most back ends to which one request is sent.
        timeout: The time limit of a request, in seconds.
        goal: The latency target of an answer, in seconds.
        gap: The target for the gap between two events of a stream, in
            seconds; 0 for none.
        rank: The priority tier; 0 is the highest.
        public: Whether requests need no key.
        resumable: Whether another back end may resume a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    attempts: int
    timeout: float
    goal: float
    gap: float
    rank: int
    public: bool
    resumable: bool

    @functools.cached_property
    def idempotent(self) -> bool:
        """Tell whether a request may run more than once.

        Returns:
            True for safe routes and resumable streams.
        """
        if self.kind is RouteKind.stream:
            return self.resumable
        return self.kind is RouteKind.safe

    @functools.cached_property
    def first_event_timeout(self) -> float:
        """Compute the time limit for the first event of a stream.

        Returns:
            The seconds from the request's arrival; the route's timeout if it
            does not serve streams.
        """
        if self.kind is not RouteKind.stream:
            return self.timeout
        return max(
            FIRST_EVENT_SECONDS,
            FIRST_EVENT_TARGET_FACTOR * self.goal,
            FIRST_EVENT_GAP_FACTOR * self.gap,
        )

    def choose_service(self, request_id: str) -> str:
        """Pick the service of a request by a hash of its identifier.

        Args:
            request_id: The identifier.

        Returns:
            The name of the service, chosen in proportion to the weights and
            the same for repeats of the request.
        """
        if len(self.shares) == 1:
            return self.shares[0].service
        total = sum(share.weight for share in self.shares)
        point = xxhash.xxh32_intdigest(request_id.encode()) / HASH_RANGE * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[-1].service


@dataclasses.dataclass(frozen=True)
class Scaling:
    """The limits within which engines of a service may be ordered.

    Attributes:
        minimum: The fewest engines in each failure domain.
        maximum: The most engines in each failure domain.
        boot_seconds: How long a new engine takes until it serves.
    """

    minimum: int
    maximum: int
    boot_seconds: float


@dataclasses.dataclass(frozen=True)
class Service:
    """A set of back ends that serve the same requests.

    Attributes:
        name: The name.
        channels: The most connections to one back end, over all nodes.
        cold_rate: The most requests per second that a cold back end gets;
            0 for no limit.
        slots: The number of requests that a model engine runs concurrently;
            0 if unknown.
        scaling: The limits for orders of engines; ``None`` if none are ordered.
    """

    name: str
    channels: int
    cold_rate: float
    slots: int = 0
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer with its keys and its quota.

    Attributes:
        name: The name, which is sent to back ends.
        keys: The API keys of its callers.
        rank: The priority tier, which takes precedence over the route's;
            ``None`` if it has none.
        rate: The quota in units per second; 0 for no quota.
        burst: The capacity of the quota's token bucket, in units.
        by_tokens: Whether a unit is a token rather than a request.
        plain_tokens: The tokens charged for a request that states no counts.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None
    rate: float
    burst: float
    by_tokens: bool
    plain_tokens: int

    def measure_cost(self, tokens: int | None) -> float:
        """Compute the cost of a request against the quota.

        Args:
            tokens: The stated tokens of prompt and answer; ``None`` if the
                request states none.

        Returns:
            The cost in units.
        """
        if not self.by_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """The limits on callers' requests and connections.

    Attributes:
        header_bytes: The largest head of a request.
        body_bytes: The largest body of a request.
        header_seconds: The timeout for reading a head.
        idle_seconds: The timeout for reading a body, and for the next request
            on an idle connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 10
    idle_seconds: float = 15


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One version of the platform's configuration.

    Attributes:
        version: The version, which rises with each change.
        routes: The routes.
        services_by_name: The services.
        customers_by_name: The customers; empty if no request needs a key.
        limits: The limits on callers.
    """

    version: int
    routes: tuple[Route, ...]
    services_by_name: dict[str, Service]
    customers_by_name: dict[str, Customer]
    limits: CallerLimits

    @functools.cached_property
    def customers_by_key(self) -> dict[str, Customer]:
        """Index the customers by their keys.

        Returns:
            The customers by key.
        """
        return {
            key: customer
            for customer in self.customers_by_name.values()
            for key in customer.keys
        }

    @functools.cached_property
    def routes_by_host(self) -> dict[str, dict[str, Route]]:
        """Index the routes by host and prefix.

        Returns:
            For each host the routes by prefix.
        """
        by_host: dict[str, dict[str, Route]] = collections.defaultdict(dict)
        for route in self.routes:
            by_host[route.host][route.prefix] = route
        return dict(by_host)

    @functools.cached_property
    def routes_by_name(self) -> dict[str, Route]:
        """Index the routes by their names.

        Returns:
            The routes by name.
        """
        return {route.name: route for route in self.routes}

    def share_routes(self, earlier: 'Deployment') -> 'Deployment':
        """Replace routes by equal ones of another configuration.

        Args:
            earlier: The other configuration.

        Returns:
            The same configuration, which holds the other one's objects for
            all routes that did not change.
        """
        known = earlier.routes_by_name
        routes = tuple(
            known[route.name] if known.get(route.name) == route else route
            for route in self.routes
        )
        return dataclasses.replace(self, routes=routes)

    def find_changes(self, earlier: 'Deployment') -> 'RouteChanges':
        """Compare the routes with those of an earlier configuration.

        Args:
            earlier: The earlier configuration.

        Returns:
            The changes that lead from its routes to these.
        """
        known = earlier.routes_by_name
        changed = tuple(
            route for route in self.routes if known.get(route.name) != route
        )
        kept = self.routes_by_name
        return RouteChanges(
            changed, tuple(name for name in known if name not in kept)
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest matching prefix.

        Args:
            host: The host, without a port.
            path: The path, without a query.

        Returns:
            The route; ``None`` if no prefix matches.
        """
        by_prefix = self.routes_by_host.get(host.lower(), {})
        end = path.rfind('/')
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route:
                return route
            end = path.rfind('/', 0, end)
        return None


@dataclasses.dataclass(frozen=True)
class RouteChanges:
    """The difference between the routes of two configurations.

    Attributes:
        changed: The routes that are new or differ.
        removed: The names of those that are gone.
    """

    changed: tuple[Route, ...]
    removed: tuple[str, ...]

    def apply(self, routes: tuple[Route, ...]) -> tuple[Route, ...]:
        """Apply the changes.

        Args:
            routes: The routes of the earlier configuration.

        Returns:
            Those of the later one, the changed ones last.
        """
        replaced = {route.name for route in self.changed}.union(self.removed)
        kept = [route for route in routes if route.name not in replaced]
        return (*kept, *self.changed)


@dataclasses.dataclass(frozen=True)
class Engine:
    """A back end as it registered itself in the store.

    Attributes:
        name: The identifier of the back end.
        service: The name of its service.
        address: The address, as ``ip:port``.
        zone: The name of its failure domain.
        version: The version of its software.
        slots: The number of requests that it runs concurrently.
        draining: Whether it is shutting down and takes no new requests.
        cold_seconds: How long it will be cold, counted from when it wrote the
            record.
        born: When it started, in milliseconds since the epoch; 0 if unknown.
        sequence: Counts the changes of its entry since its start.
    """

    name: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    draining: bool
    cold_seconds: float
    born: int
    sequence: int = 0


@dataclasses.dataclass(frozen=True)
class Rollout:
    """An operator's order to move a service's traffic to a version.

    Attributes:
        service: The name of the service.
        version: The target version.
        seconds: The time allowed for the rollout.
        identity: Distinguishes the order from others for the same service.
        state: The reported state: ``active``, ``complete`` or ``reverted``;
            '' if none was reported yet.
        revision: The revision of the stored order, for conditional updates.
        created: The revision at which the order was created.
        reported: Whether the store has the state; not so if the state was
            reported, but the store was restored from an earlier copy.
    """

    service: str
    version: str
    seconds: float
    identity: str
    state: str
    revision: int
    created: int = 0
    reported: bool = True


@dataclasses.dataclass(frozen=True)
class PartBlock:
    """A part of prompts that is blocked, as it crashes back ends.

    Attributes:
        service: The name of the service whose back ends it crashes.
        part: The digest of the part.
        seconds: For how long it is blocked from when a node learns of it.
    """

    service: str
    part: int
    seconds: float

    @property
    def name(self) -> str:
        """Name of its record in the store.

        Returns:
            The name, unique among all blocks.
        """
        return f'{self.service}.{self.part:x}'


@dataclasses.dataclass(frozen=True)
class Peer:
    """A node as it registered itself in the store.

    Attributes:
        name: The name of the node.
        zone: The name of its failure domain.
        address: The address for connections from other nodes.
        cores: The CPU time available to it, in cores.
        relay_address: The address at which it relays requests of other nodes;
            '' if it does not.
    """

    name: str
    zone: str
    address: str
    cores: float
    relay_address: str = ''
