"""The entry process: runs a node and its servers until a signal ends it."""

import signal
import sys

import gevent
from gevent import event as gevent_event
from gevent import pywsgi

from pimentoway.callers import app as callers_app
from pimentoway.core import log, serving
from pimentoway.nodes import rpc, transport
from pimentoway.objects import client
from pimentoway.operators import app as operators_app
from pimentoway.parser import setting
from pimentoway.tools import node

#: The most concurrent connections of operators.
OPERATOR_CONNECTIONS = 100

#: The pause before the servers stop, in seconds, in which the last bytes of
#: responses are sent.
FLUSH_SECONDS = 0.3

#: The exit status if the shutdown ended before all requests were finished.
UNFINISHED_STATUS = 1

_LOG = log.Log('entry')


def serve(settings: setting.Settings) -> int:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Args:
        settings: The settings of the node.

    Returns:
        The exit status: 0 if all requests were finished.
    """
    log.open_stream(sys.stderr)
    gossip_transport = transport.UdpTransport(
        settings.host, settings.gossip_port
    )
    rpc_endpoint = rpc.RpcEndpoint()
    peers = node.Peers(
        client.HttpStore(settings.platform, settings.platform_rate),
        gossip_transport,
        rpc_endpoint,
    )
    entry_node = node.Node(settings, peers, node.make_link(settings))
    gossip_transport.start(entry_node.gossiper.receive)
    rpc_endpoint.serve(settings.host, settings.call_port, entry_node.relay)
    servers = _make_servers(settings, entry_node)
    for server in servers:
        server.start()
    entry_node.start()
    _LOG.write(f'node {settings.name} serves at {settings.host}.')
    _wait_for_signal()
    entry_node.drain()
    status = UNFINISHED_STATUS if entry_node.count_open() else 0
    gevent.sleep(FLUSH_SECONDS)
    for server in servers:
        server.stop(timeout=1)
    entry_node.stop()
    rpc_endpoint.close()
    gossip_transport.close()
    return status


def _make_servers(
    settings: setting.Settings, entry_node: node.Node
) -> list[pywsgi.WSGIServer]:
    return [
        serving.make_server(
            settings.host,
            settings.callers_port,
            callers_app.make_app(entry_node.caller_dependencies),
            settings.connections,
            settings.caller_seconds,
        ),
        serving.make_server(
            settings.host,
            settings.operators_port,
            operators_app.make_app(entry_node),
            OPERATOR_CONNECTIONS,
            settings.caller_seconds,
        ),
    ]


def _wait_for_signal() -> None:
    shutdown_requested = gevent_event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, shutdown_requested.set)
    shutdown_requested.wait()
