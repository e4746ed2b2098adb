"""WSGI servers with a connection limit and a timeout for stalled peers."""

import collections
import socket

import greenlet
from gevent import pool as gevent_pool
from gevent import pywsgi


class TimedHandler(pywsgi.WSGIHandler):
    """Handles one connection and times out if its peer stalls."""

    #: The timeout of a read or write; each server's subclass sets its own.
    stall_seconds = 30.0

    def __init__(self, sock, address, server, rfile=None) -> None:
        """Set the timeout of the connection.

        Args:
            sock: The connection.
            address: The address of the peer.
            server: The server.
            rfile: The file to read from; ``None`` for the connection itself.
        """
        sock.settimeout(self.stall_seconds)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, address, server, rfile)

    def log_request(self) -> None:
        """Log no requests; the applications log what is needed."""

    def handle_error(self, kind, fault, trace) -> None:
        """Ignore errors of broken connections and killed greenlets.

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
    """Make a WSGI server that handles each connection in a greenlet.

    Args:
        host: The IP address to listen on.
        port: The port.
        app: The WSGI application.
        connections: The most concurrent connections.
        stall_seconds: The timeout of a read or write.

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
