"""The HTTP interface for operators.

It serves the readiness check, the status, metrics and traces, and accepts
orders that open or close a failure domain.
"""

import hmac
import typing

import falcon
import msgspec
import prometheus_client

from pimentoway.core import clock, codec, evidence, index
from pimentoway.ops import fleet, route
from pimentoway.tools import node as tools_node

_BEARER_PREFIX = 'Bearer '
_MILLISECONDS_PER_SECOND = 1000


class BackendStatus(msgspec.Struct):
    """A back end as this node sees it.

    Attributes:
        name: Its name.
        zone: Its failure domain.
        version: The version that it runs.
        phase: The phase of its warm-up: ``cold``, ``ramp`` or ``warm``.
        slots: The concurrency limit that this node has learnt for it.
        inflight: The number of requests of this node that it runs.
        open: Whether this node may send it new requests, free slots aside.
    """

    name: str
    zone: str
    version: str
    phase: str
    slots: float
    inflight: int
    open: bool


class NodeStatus(msgspec.Struct):
    """The status of a node.

    Attributes:
        node: Its name.
        zone: Its failure domain.
        configuration: The version of its configuration; 0 if it has none.
        members: The names of the nodes that it considers live, itself included.
        waiting: The number of requests in its queues.
        running: The number of requests that back ends run for it.
        leaving: Whether it is shutting down.
        closed_zones: The failure domains that get no new requests.
        backends: The back ends.
        configuration_by_node: The configuration version of each live node,
            itself included, as last reported; 0 if a node has reported none.
    """

    node: str
    zone: str
    configuration: int
    members: list[str]
    waiting: int
    running: int
    leaving: bool
    closed_zones: list[str]
    backends: list[BackendStatus]
    configuration_by_node: dict[str, int]


class ZoneOrderBody(msgspec.Struct):
    """The body of a request that changes the state of a failure domain.

    Attributes:
        state: ``in`` or ``out``.
        author: The operator who orders the change; may be empty.
    """

    state: typing.Literal['in', 'out']
    author: str = ''


class ReadyResource:
    """The readiness check."""

    def __init__(self, node: tools_node.Node) -> None:
        """Serve a node.

        Args:
            node: The node that this process runs.
        """
        self._node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer 200 if the node is ready for requests, else 503.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        readiness = 'ready'
        if self._node.configuration_holder.configuration_index is None:
            readiness = 'no configuration'
        if self._node.leaving:
            readiness = 'shutting down'
        resp.text = f'{readiness}\n'
        if readiness != 'ready':
            resp.status = falcon.HTTP_503


class MetricResource:
    """The metrics of the node."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Send the metrics in the text format of Prometheus.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        resp.data = prometheus_client.generate_latest()
        resp.content_type = prometheus_client.CONTENT_TYPE_LATEST


class StatusResource:
    """The status of the node."""

    def __init__(self, node: tools_node.Node) -> None:
        """Serve a node.

        Args:
            node: The node that this process runs.
        """
        self._node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Send the status as JSON.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        resp.data = codec.encode_json(describe_node(self._node))


class TraceResource:
    """The trace of a request."""

    def __init__(self, node: tools_node.Node) -> None:
        """Serve a node.

        Args:
            node: The node that this process runs.
        """
        self._node = node

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """Send the hops of the request that this node keeps in memory.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
            request_id: The identifier of the traced request.
        """
        hops = self._node.tracer.memory.list_hops(request_id)
        resp.data = codec.encode_json(hops)


class ZoneResource:
    """Orders that set the state of a failure domain, without the platform."""

    def __init__(self, node: tools_node.Node) -> None:
        """Serve a node.

        Args:
            node: The node that this process runs.
        """
        self._node = node

    def on_put(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Apply an order to this node and announce it to the others.

        The order is stamped with this node's wall clock, in milliseconds.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
            name: The failure domain.

        Raises:
            HTTPNotFound: If the configuration has no such failure domain, or
                there is no configuration.
        """
        _check_token(req, self._node)
        body = codec.decode_json(req.bounded_stream.read(), ZoneOrderBody)
        config_index = self._node.configuration_holder.configuration_index
        if config_index is None or name not in config_index.zones_by_name:
            raise falcon.HTTPNotFound(title='no such failure domain')
        order = evidence.ZoneOrder(
            name,
            body.state,
            int(clock.read_wall() * _MILLISECONDS_PER_SECOND),
            body.author,
        )
        self._node.scheduler.apply_zone_order(order)
        self._node.announce(order)
        resp.data = codec.encode_json(order)


def make_app(node: tools_node.Node) -> falcon.App:
    """Create the application that serves operators.

    Args:
        node: The node that this process runs.

    Returns:
        The WSGI application.
    """
    app = falcon.App()
    app.add_route('/readyz', ReadyResource(node))
    app.add_route('/metrics', MetricResource())
    app.add_route('/status', StatusResource(node))
    app.add_route('/traces/{request_id}', TraceResource(node))
    app.add_route('/zones/{name}', ZoneResource(node))
    return app


def describe_node(node: tools_node.Node) -> NodeStatus:
    """Collect the status of a node.

    Args:
        node: The node that this process runs.

    Returns:
        The status.
    """
    return NodeStatus(
        node=node.settings.name,
        zone=node.settings.zone,
        configuration=node.configuration_holder.current.version,
        members=sorted(member.name for member in node.members.list_live()),
        waiting=node.scheduler.count_waiting(),
        running=node.scheduler.count_running(),
        leaving=node.leaving,
        closed_zones=sorted(node.scheduler.routing.current.closed_zones),
        backends=[
            _describe_backend(state, node)
            for state in node.scheduler.fleet.by_name.values()
        ],
        configuration_by_node=node.relay.list_versions(),
    )


def _describe_backend(
    state: fleet.BackendState, node: tools_node.Node
) -> BackendStatus:
    return BackendStatus(
        name=state.backend.name,
        zone=state.backend.zone,
        version=state.backend.version,
        phase=state.ramp.phase.value,
        slots=round(state.limit.slots, 1),
        inflight=len(state.inflight),
        open=route.is_open(state, node.scheduler.routing.current),
    )


def _check_token(req: falcon.Request, node: tools_node.Node) -> None:
    expected_digest = node.settings.operators_digest
    token = req.get_header('Authorization', default='').removeprefix(
        _BEARER_PREFIX
    )
    if not expected_digest or not hmac.compare_digest(
        index.digest_key(token), expected_digest
    ):
        raise falcon.HTTPUnauthorized(title='the token is missing or wrong')
