"""The ports of an entry node: what their connections may take together."""

import collections

from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.callers import connection
from pimentoway.core import budget, log, loglimit, metric, portlimit, serving

#: The fraction of the memory limit that the bodies of relayed requests may use.
BODY_MEMORY_FRACTION = 0.15

#: The fraction that the large answers of back ends may use: faulty ones, which
#: send without end, as answers are small.
ANSWER_MEMORY_FRACTION = 0.15

#: The copies of a large answer when it is complete.
ANSWER_COPIES = 2

#: The most connections that wait to be accepted, on each stream socket.
BACKLOG = 512

#: The most connections that a port accepts before their tasks run, so that few
#: exceed its limit for a moment.
MAX_ACCEPT = 8

#: The timeout of a read or write at the readiness and metrics ports, in
#: seconds.
SERVICE_STALL_SECONDS = 10.0

#: The time without progress, in seconds, after which a connection is ended for
#: another one if there are too many.
MIN_IDLE_SECONDS = 0.05

_LOG = loglimit.LimitedLog(log.Log('node'))


class Ports:
    """The limits of all ports, and the connections of callers.

    Attributes:
        limits: The most connections of each port.
        memory: The bytes that all connections may hold together.
        answers: The part for the answers of back ends.
        relayed: The part for the bodies of relayed requests.
        callers: The connections of callers.
    """

    def __init__(self, memory_bytes: int, descriptors: int) -> None:
        """Start without connections.

        Args:
            memory_bytes: The memory limit of the process; 0 for none.
            descriptors: The limit of open descriptors of the process.
        """
        self.limits = portlimit.compute_limits(descriptors)
        self.memory = budget.MemoryBudget(memory_bytes)
        self.answers = budget.ByteBudget(
            int(memory_bytes * ANSWER_MEMORY_FRACTION),
            self.memory,
            ANSWER_COPIES,
        )
        self.relayed = budget.ByteBudget(
            int(memory_bytes * BODY_MEMORY_FRACTION),
            self.memory,
            connection.BODY_COPIES,
        )
        self.callers: set[connection.CallerConnection] = set()

    def handle_caller(
        self,
        sock: gevent_socket.socket,
        address: tuple,
        serve: connection.Serve,
        read_limits: connection.ReadLimits,
    ) -> None:
        """Serve a caller's connection until it ends.

        Args:
            sock: The socket.
            address: The IP number and port of the caller.
            serve: Serves a request and returns whether the connection may
                carry another one.
            read_limits: Returns the limits in force.
        """
        if len(self.callers) >= self.limits.callers and not self._end_idle():
            metric.ENDED_CONNECTIONS.labels('descriptors').inc()
            _LOG.write(
                'closed a new connection, too many are open.', peer=address[0]
            )
            sock.close()
            return
        caller = connection.CallerConnection(
            sock, f'{address[0]}:{address[1]}', serve, read_limits, self.memory
        )
        self.callers.add(caller)
        try:
            caller.run()
        finally:
            self.callers.discard(caller)

    def report(self, links: int, relays: int) -> None:
        """Update the metrics.

        Args:
            links: The number of links that other nodes opened.
            relays: The number of connections to the relay.
        """
        metric.HELD_BYTES.set(self.memory.used)
        metric.HELD_BYTES_LIMIT.set(self.memory.limit)
        for port, count in (
            ('callers', len(self.callers)),
            ('links', links),
            ('relay', relays),
        ):
            metric.OPEN_CONNECTIONS.labels(port).set(count)

    def serve_http(self, address: str, app: collections.abc.Callable) -> None:
        """Serve the readiness check or the metrics.

        Args:
            address: The IP number and port.
            app: The WSGI application.
        """
        host, _, port = address.rpartition(':')
        server = serving.make_bounded_server(
            host, int(port), app, self.limits.service, SERVICE_STALL_SECONDS
        )
        server.max_accept = MAX_ACCEPT
        server.start()

    def _end_idle(self) -> bool:
        # Ends the connection that has not got on for the longest time.
        longest = max(
            self.callers,
            key=connection.CallerConnection.compute_idle_seconds,
        )
        if longest.compute_idle_seconds() < MIN_IDLE_SECONDS:
            return False
        self.callers.discard(longest)
        longest.end_idle()
        return True


def serve_stream(
    address: str, handle: collections.abc.Callable
) -> gevent_server.StreamServer:
    """Accept connections.

    Args:
        address: The IP number and port.
        handle: Handles a connection, in a task of its own.

    Returns:
        The server, which is started.
    """
    host, _, port = address.rpartition(':')
    server = gevent_server.StreamServer(
        (host, int(port)), handle, backlog=BACKLOG
    )
    server.max_accept = MAX_ACCEPT
    server.start()
    return server
