"""What operators configured: routes, services and customers of a deployment."""

import collections
import dataclasses
import enum
import functools

import xxhash

#: How long callers wait for the first event of a stream: at least so many
#: seconds, goals and pauses, whichever is longest.
PATIENCE_SECONDS = 2.0
PATIENCE_GOALS = 4
PATIENCE_GAPS = 8

#: The range of the hash that picks a service by weight.
HASH_RANGE = 0x100000000


class Kind(enum.Enum):
    """What may be repeated on a route."""

    safe = 'safe'
    unsafe = 'unsafe'
    stream = 'stream'


@dataclasses.dataclass(frozen=True)
class Share:
    """A part of a route's traffic.

    Attributes:
        service: The name of the service that gets it.
        weight: Its weight among the shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: The name.
        host: The host, in lowercase.
        prefix: The path prefix, which begins and ends with a slash.
        kind: What may be repeated.
        shares: The services with their weights.
        attempts: The back ends to which one request may be sent.
        timeout: The longest time, in seconds, that a request is kept.
        goal: The seconds within which an answer is worth most.
        gap: The longest pause, in seconds, between two events of a stream
            that is still in time; 0 if there is no bound.
        rank: The tier; 0 is the highest.
        public: Whether requests need no key.
        resumable: Whether a stream may be continued at another back end.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
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
            Whether it may.
        """
        if self.kind is Kind.stream:
            return self.resumable
        return self.kind is Kind.safe

    @functools.cached_property
    def patience(self) -> float:
        """Work out how long a caller waits for the first event.

        Returns:
            The seconds; for other answers than streams, the timeout.
        """
        if self.kind is not Kind.stream:
            return self.timeout
        return max(
            PATIENCE_SECONDS,
            PATIENCE_GOALS * self.goal,
            PATIENCE_GAPS * self.gap,
        )

    def choose_service(self, request_id: str) -> str:
        """Pick the service of a request by a hash of its identifier.

        Args:
            request_id: The identifier.

        Returns:
            The name of the service.
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
class Service:
    """A set of back ends that serve the same requests.

    Attributes:
        name: The name.
        channels: The connections that one back end takes from all nodes.
        cold_rate: The requests a second that a cold back end bears; 0 if
            there is no bound.
        slots: The requests that a model engine runs at once; 0 if unknown.
    """

    name: str
    channels: int
    cold_rate: float
    slots: int = 0


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer with its keys and its quota.

    Attributes:
        name: The name, which back ends are told.
        keys: The keys of its callers.
        rank: The tier that goes before the route's, if there is one.
        rate: The quota in units a second; 0 if there is none.
        burst: The units that may be used at once.
        by_tokens: Whether the unit is a token rather than a request.
        plain_tokens: The tokens of a request that states none.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None
    rate: float
    burst: float
    by_tokens: bool
    plain_tokens: int

    def measure_cost(self, tokens: int | None) -> float:
        """Work out what a request uses of the quota.

        Args:
            tokens: The tokens that the request states, if it does.

        Returns:
            The units.
        """
        if not self.by_tokens:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: The bytes of a request's head.
        body_bytes: The bytes of a request's body.
        header_seconds: Seconds for a request's head.
        idle_seconds: Seconds for which a connection may stay idle.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 10
    idle_seconds: float = 15


@dataclasses.dataclass(frozen=True)
class Deployment:
    """One version of the configuration, whole.

    Attributes:
        version: The version, which rises with each change.
        routes: The routes.
        services_by_name: The services.
        customers_by_name: The customers; empty if requests need no keys.
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
            The routes by prefix, by host.
        """
        by_host: dict[str, dict[str, Route]] = collections.defaultdict(dict)
        for route in self.routes:
            by_host[route.host][route.prefix] = route
        return dict(by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix that begins a path.

        Args:
            host: The host, without a port.
            path: The path, without a query.

        Returns:
            The route, if there is one.
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
class Engine:
    """A back end as it announced itself.

    Attributes:
        name: The identifier of this start of the back end.
        service: The service that it serves.
        address: Its IP number and port.
        zone: Its failure domain.
        version: The version of its software.
        slots: The requests that it runs at once.
        draining: Whether it is about to leave.
        cold_seconds: Seconds for which it stays cold after it wrote this.
        born: When it started, in milliseconds since the epoch; 0 if unknown.
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


@dataclasses.dataclass(frozen=True)
class Rollout:
    """An order to move a service's traffic to a version.

    Attributes:
        service: The service.
        version: The version that should carry the traffic.
        seconds: The time that the move may take.
        identity: Tells this order from later ones for the same service.
        state: ``''``, ``active``, ``complete`` or ``reverted``.
        revision: The revision of the stored order, for conditional updates.
    """

    service: str
    version: str
    seconds: float
    identity: str
    state: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another node as it registered itself.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        address: Where it takes connections of other nodes.
        cores: Its processor time, in cores.
    """

    name: str
    zone: str
    address: str
    cores: float
