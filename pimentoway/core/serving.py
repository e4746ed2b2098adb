"""HTTP servers of a process: bounded, timed, one task for each connection."""

import collections
import socket

import greenlet
from gevent import pool as gevent_pool
from gevent import pywsgi


class TimedHandler(pywsgi.WSGIHandler):
    """Handles one connection and gives up on a peer that stalls."""

    #: Seconds for which a peer may stall; set for each server.
    stall_seconds = 30.0

    def __init__(self, sock, address, server, rfile=None) -> None:
        """Set the timeout of the connection.

        Args:
            sock: The connection.
            address: The address of the peer.
            server: The server.
            rfile: Where to read from, if not the connection.
        """
        sock.settimeout(self.stall_seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def log_request(self) -> None:
        """Log nothing: the parts log what matters."""

    def handle_error(self, kind, fault, trace) -> None:
        """Pass over the errors of connections that broke.

        Args:
            kind: The type of the error.
            fault: The error.
            trace: The traceback.
        """
        if not issubclass(kind, (OSError, greenlet.GreenletExit)):
            super().handle_error(kind, fault, trace)


def make_server(
    host: str,
    port: int,
    app: collections.abc.Callable,
    connections: int,
    stall_seconds: float,
) -> pywsgi.WSGIServer:
    """Make a server.

    Args:
        host: The IP number to listen at.
        port: The port.
        app: The WSGI application.
        connections: The connections at the most.
        stall_seconds: Seconds for which a peer may stall.

    Returns:
        The server, not started yet.
    """
    handler_class = type(
        'StallHandler',
        (TimedHandler,),
        {'stall_seconds': stall_seconds},
    )
    return pywsgi.WSGIServer(
        (host, port),
        app,
        handler_class=handler_class,
        spawn=gevent_pool.Pool(connections),
        log=None,
    )
