"""WSGI servers with a connection limit and a timeout for stalled peers."""

import collections
import io
import socket

import gevent
import greenlet
from gevent import pool as gevent_pool
from gevent import pywsgi

#: The most bytes of the lines of a head.
MAX_HEAD_BYTES = 65_536


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


class BoundedHandler(TimedHandler):
    """Also limits the head of a request."""

    def MessageClass(self, *args) -> object:  # noqa: N802
        """Read the lines of a head, at most ``MAX_HEAD_BYTES``.

        Args:
            *args: The file to read from, and what the parent class adds.

        Returns:
            The parsed lines.

        Raises:
            ValueError: If there are more, which pywsgi answers with 400.
        """
        source, *rest = args
        lines = io.BytesIO()
        line = b''
        while line not in {b'\r\n', b'\n'}:
            line = source.readline(MAX_HEAD_BYTES)
            if not line:
                break
            lines.write(line)
            if lines.tell() > MAX_HEAD_BYTES:
                raise ValueError('the head is too large')
        lines.seek(0)
        return super().MessageClass(lines, *rest)


class BoundedServer(pywsgi.WSGIServer):
    """Ends its oldest connection if there are too many.

    A server that accepts no more instead would answer nobody while peers that
    send nothing have all its connections.
    """

    #: The most connections; each server's subclass sets its own.
    max_connections = 1

    def __init__(self, *args, **options) -> None:
        """Start without connections.

        Args:
            *args: As for the parent class.
            **options: As for the parent class.
        """
        self._tasks: collections.OrderedDict[greenlet.greenlet, None] = (
            collections.OrderedDict()
        )
        super().__init__(*args, **options)

    def handle(self, sock, address) -> None:
        """Handle a connection until it ends.

        Args:
            sock: The connection.
            address: The address of the peer.
        """
        if len(self._tasks) >= self.max_connections:
            oldest, _ = self._tasks.popitem(last=False)
            gevent.kill(oldest)
        task = greenlet.getcurrent()
        self._tasks[task] = None
        try:
            super().handle(sock, address)
        finally:
            self._tasks.pop(task, None)


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
        connections: The most concurrent connections; further ones wait.
        stall_seconds: The timeout of a read or write.

    Returns:
        The server, not started yet. To stop it waits for what it handles.
    """
    return pywsgi.WSGIServer(
        (host, port),
        app,
        handler_class=_make_handler_class(TimedHandler, stall_seconds),
        spawn=gevent_pool.Pool(connections),
        log=None,
    )


def make_bounded_server(
    host: str,
    port: int,
    app: collections.abc.Callable,
    connections: int,
    stall_seconds: float,
) -> BoundedServer:
    """Make a server that ends its oldest connection for a further one.

    Args:
        host: The IP address to listen on.
        port: The port.
        app: The WSGI application.
        connections: The most concurrent connections.
        stall_seconds: The timeout of a read or write.

    Returns:
        The server, not started yet.
    """
    server_class = type(
        'LimitedServer',
        (BoundedServer,),
        {'max_connections': connections},
    )
    return server_class(
        (host, port),
        app,
        handler_class=_make_handler_class(BoundedHandler, stall_seconds),
        log=None,
    )


def _make_handler_class(
    base: type[TimedHandler], stall_seconds: float
) -> type[TimedHandler]:
    return type(
        'StallHandler',
        (base,),
        {'stall_seconds': stall_seconds},
    )
