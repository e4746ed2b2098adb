"""The entry process: a node behind its sockets, until a signal ends it."""

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

#: The connections of operators at the most.
OPERATOR_CONNECTIONS = 100

#: Seconds in which the last bytes of answers leave the process.
FLUSH_SECONDS = 0.3

#: The exit status after a graceful shutdown that cut requests off.
CUT_STATUS = 1

_LOG = log.Log('entry')


def serve(settings: setting.Settings) -> int:
    """Serve until a signal asks for a graceful shutdown.

    Args:
        settings: The settings.

    Returns:
        The exit status: 0 if no request was cut off.
    """
    log.open_stream(sys.stderr)
    udp = transport.UdpTransport(settings.host, settings.gossip_port)
    calls = rpc.RpcEndpoint()
    peers = node.Peers(
        client.HttpStore(settings.platform, settings.platform_rate),
        udp,
        calls,
    )
    served = node.Node(settings, peers, node.make_link(settings))
    udp.start(served.gossiper.receive)
    calls.serve(settings.host, settings.call_port, served.relay)
    servers = _make_servers(settings, served)
    for listening in servers:
        listening.start()
    served.start()
    _LOG.write(f'node {settings.name} serves at {settings.host}.')
    _wait_for_signal()
    served.drain()
    status = CUT_STATUS if served.count_open() else 0
    gevent.sleep(FLUSH_SECONDS)
    for stopping in servers:
        stopping.stop(timeout=1)
    served.stop()
    calls.close()
    udp.close()
    return status


def _make_servers(
    settings: setting.Settings, served: node.Node
) -> list[pywsgi.WSGIServer]:
    return [
        serving.make_server(
            settings.host,
            settings.callers_port,
            callers_app.make_app(served.desk),
            settings.connections,
            settings.caller_seconds,
        ),
        serving.make_server(
            settings.host,
            settings.operators_port,
            operators_app.make_app(served),
            OPERATOR_CONNECTIONS,
            settings.caller_seconds,
        ),
    ]


def _wait_for_signal() -> None:
    asked = gevent_event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, asked.set)
    asked.wait()
