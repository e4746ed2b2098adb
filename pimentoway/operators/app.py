"""The HTTP interface for operators: status, metrics, traces and orders."""

import hmac
import typing

import falcon
import msgspec
import prometheus_client

from pimentoway.core import clock, codec, evidence, index
from pimentoway.ops import fleet, route
from pimentoway.tools import node as tools_node

_BEARER = 'Bearer '
_MILLISECONDS = 1000


class BackendStatus(msgspec.Struct):
    """What the node knows of a back end.

    Attributes:
        name: Its name.
        zone: Its failure domain.
        version: The version that it runs.
        phase: ``cold``, ``ramp`` or ``warm``.
        slots: The learnt limit of this node.
        inflight: The requests of this node that it runs.
        open: Whether it takes new work of this node.
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
        configuration: The version that it runs; 0 if it has none.
        members: The nodes that it counts as live.
        waiting: The requests that wait.
        running: The requests that back ends run.
        leaving: Whether it shuts down.
        closed_zones: The failure domains that take no new work.
        backends: The back ends.
        configuration_by_node: The versions that other nodes run, as told.
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


class OrderBody(msgspec.Struct):
    """The body of an order to a failure domain.

    Attributes:
        state: ``in`` or ``out``.
        author: Who gives it.
    """

    state: typing.Literal['in', 'out']
    author: str = ''


class ReadyResource:
    """Whether the node should get requests."""

    def __init__(self, node: tools_node.Node) -> None:
        """Serve a node.

        Args:
            node: The node.
        """
        self._node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Tell whether the node should get requests.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        reason = 'ready'
        if self._node.held.view is None:
            reason = 'no configuration'
        if self._node.leaving:
            reason = 'shutting down'
        resp.text = f'{reason}\n'
        if reason != 'ready':
            resp.status = falcon.HTTP_503


class MetricResource:
    """The metrics of the node."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Expose the metrics.

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
            node: The node.
        """
        self._node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Tell the status.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
        """
        resp.data = codec.encode_json(describe_node(self._node))


class TraceResource:
    """The hops of one request."""

    def __init__(self, node: tools_node.Node) -> None:
        """Serve a node.

        Args:
            node: The node.
        """
        self._node = node

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, request_id: str
    ) -> None:
        """List the hops.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
            request_id: The identifier of the request.
        """
        hops = self._node.tracer.memory.list_hops(request_id)
        resp.data = codec.encode_json(hops)


class ZoneResource:
    """Orders to a failure domain, taken without the platform."""

    def __init__(self, node: tools_node.Node) -> None:
        """Serve a node.

        Args:
            node: The node.
        """
        self._node = node

    def on_put(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Give an order.

        Args:
            req: The HTTP request.
            resp: The HTTP response.
            name: The failure domain.

        Raises:
            HTTPNotFound: If there is no such failure domain.
        """
        _check_token(req, self._node)
        body = codec.decode_json(req.bounded_stream.read(), OrderBody)
        view = self._node.held.view
        if view is None or name not in view.zones_by_name:
            raise falcon.HTTPNotFound(title='no such failure domain')
        order = evidence.ZoneOrder(
            name,
            body.state,
            int(clock.read_wall() * _MILLISECONDS),
            body.author,
        )
        self._node.plan.apply_zone_order(order)
        self._node.announce(order)
        resp.data = codec.encode_json(order)


def make_app(node: tools_node.Node) -> falcon.App:
    """Make the application that serves operators.

    Args:
        node: The node.

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
    """Describe the status of a node.

    Args:
        node: The node.

    Returns:
        The status.
    """
    return NodeStatus(
        node=node.settings.name,
        zone=node.settings.zone,
        configuration=node.held.current.version,
        members=sorted(other.name for other in node.members.list_live()),
        waiting=node.plan.count_waiting(),
        running=node.plan.count_running(),
        leaving=node.leaving,
        closed_zones=sorted(node.plan.routing.current.closed_zones),
        backends=[
            _describe_backend(state, node)
            for state in node.plan.fleet.by_name.values()
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
        open=route.is_open(state, node.plan.routing.current),
    )


def _check_token(req: falcon.Request, node: tools_node.Node) -> None:
    wanted = node.settings.operators_digest
    given = req.get_header('Authorization', default='').removeprefix(_BEARER)
    if not wanted or not hmac.compare_digest(index.digest_key(given), wanted):
        raise falcon.HTTPUnauthorized(title='the token is missing or wrong')
