"""Connections of callers: HTTP/1.1 over plain sockets, bodies unchanged.

One task serves a connection. While it serves a request, the event loop watches
the socket, so that a disconnect of the caller cancels the work at once.
"""

import collections
import traceback

import gevent
import greenlet
from gevent import socket as gevent_socket

from pimentoway.core import (
    budget,
    clock,
    connection,
    deployment,
    log,
    message,
)

#: The most bytes read from a connection at once.
RECEIVE_BYTES = 65_536

#: Seconds for which a write may block because the caller doesn't read.
WRITE_TIMEOUT_SECONDS = 10.0

#: Seconds for which a connection is still read after a final error response,
#: as closing it with unread data could discard the response in transit.
LINGER_SECONDS = 0.5

#: Seconds after which an idle connection reads the limits anew, as the
#: configuration may have changed.
LIMITS_POLL_SECONDS = 1.0

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_READ_EVENT = 1
_TIMEOUT = 408
_BUSY = 503

_LOG = log.Log('caller')


class CallerDisconnectedError(Exception):
    """The caller closed its connection, or the connection broke."""


Serve = collections.abc.Callable[['CallerConnection', message.Request], bool]
ReadLimits = collections.abc.Callable[[], deployment.CallerLimits]


class CallerConnection:
    """A caller's connection, which carries one request after another.

    Attributes:
        peer: The IP number and port of the caller.
        idle: Whether no request is being read or served.
        closing: Whether the connection ends with the current response.
    """

    def __init__(
        self,
        sock: gevent_socket.socket,
        peer: str,
        serve: Serve,
        read_limits: ReadLimits,
        body_budget: budget.ByteBudget,
    ) -> None:
        """Wrap an accepted socket.

        Args:
            sock: The socket, which is closed at the end of ``run``.
            peer: The IP number and port of the caller.
            serve: Serves a request and returns whether the connection may
                carry another one.
            read_limits: Returns the limits in force.
            body_budget: The bytes that the request bodies of all connections
                may hold together.
        """
        self.peer = peer
        self.idle = True
        self.closing = False
        self._sock = sock
        self._serve = serve
        self._read_limits = read_limits
        limits = read_limits()
        self._reader = message.RequestReader(
            limits.header_bytes,
            limits.body_bytes,
        )
        self._body_budget = body_budget
        self._reserved_bytes = 0

    def run(self) -> None:
        """Serve requests until the connection ends; log errors."""
        try:
            self._serve_requests()
        except (OSError, CallerDisconnectedError) as fault:
            self._log_disconnect(fault)
        except message.MessageError as fault:
            self._reject(fault)
        except Exception as fault:
            _LOG.write(
                'unhandled exception, the connection is closed.',
                peer=self.peer,
                reason=repr(fault),
                trace=traceback.format_exc(limit=-4),
            )
        finally:
            self._close()

    def close_idle(self) -> None:
        """Close the connection if it is idle and has no unread data."""
        if self.idle and not connection.is_readable(self._sock):
            # The task of the connection ends only when it runs again. Until
            # then `idle` is false, so that a second call doesn't close the
            # socket again.
            self.idle = False
            self.closing = True
            self._sock.close()

    def write(self, block: bytes) -> None:
        """Send bytes to the caller.

        Args:
            block: The bytes, sent completely.

        Raises:
            CallerDisconnectedError: If the connection broke or the caller
                doesn't read.
        """
        try:
            self._sock.sendall(block)
        except OSError as fault:
            raise CallerDisconnectedError(str(fault)) from fault

    def _serve_requests(self) -> None:
        while True:
            request = self._read_request()
            if request is None:
                return
            watcher = self._watch_disconnect()
            try:
                keep_alive = self._serve(self, request)
            finally:
                watcher.close()
                self._release_bodies()
            if not keep_alive or self.closing:
                return

    def _read_request(self) -> message.Request | None:
        requests = self._reader.requests
        idle_since = clock.read_monotonic()
        max_idle = self._read_limits().idle_seconds
        self.idle = True
        while not requests:
            # A caller may still count on the longer limit that was in force
            # when the connection became idle.
            max_idle = max(max_idle, self._read_limits().idle_seconds)
            remaining = idle_since + max_idle - clock.read_monotonic()
            if self.closing:
                return None
            # After a pause of the event loop the time may be over although the
            # next request has arrived.
            if remaining <= 0 and not connection.is_readable(self._sock):
                return None
            timeout = max(remaining, connection.MIN_TIMEOUT_SECONDS)
            if not self._receive(min(timeout, LIMITS_POLL_SECONDS)):
                return None
        self.idle = False
        return self._complete_request(requests[0])

    def _complete_request(
        self, request: message.Request
    ) -> message.Request | None:
        limits = self._read_limits()
        deadline = clock.read_monotonic() + limits.header_seconds
        while not request.head_complete:
            if not self._receive_before(deadline):
                return None
        if request.expects_continue and not request.complete:
            self.write(_CONTINUE)
        deadline = clock.read_monotonic() + limits.idle_seconds
        while not request.complete:
            if not self._receive_before(deadline):
                return None
        self._reader.requests.popleft()
        return request

    def _receive_before(self, deadline: float) -> bool:
        remaining = deadline - clock.read_monotonic()
        # After a pause of the event loop the rest of the request may wait.
        if remaining <= 0 and not connection.is_readable(self._sock):
            raise message.MessageError('the request took too long', _TIMEOUT)
        return self._receive(max(remaining, connection.MIN_TIMEOUT_SECONDS))

    def _receive(self, seconds: float) -> bool:
        self._sock.settimeout(seconds)
        try:
            block = self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            # The connection is still open; the calling method decides whether
            # its own time is over.
            return True
        finally:
            self._sock.settimeout(WRITE_TIMEOUT_SECONDS)
        if not block:
            return False
        self._reader.feed(block)
        self._reserve_bodies()
        return True

    def _reserve_bodies(self) -> None:
        size = sum(len(request.body) for request in self._reader.requests)
        missing = size - self._reserved_bytes
        if missing <= 0:
            return
        if not self._body_budget.reserve(missing):
            raise message.MessageError(
                'the node holds as many bodies as it can', _BUSY
            )
        self._reserved_bytes = size

    def _release_bodies(self) -> None:
        self._body_budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _watch_disconnect(self) -> object:
        loop = gevent.get_hub().loop
        watcher = loop.io(self._sock.fileno(), _READ_EVENT)
        watcher.start(self._check_disconnect, greenlet.getcurrent(), watcher)
        return watcher

    def _check_disconnect(self, task: gevent.Greenlet, watcher: object) -> None:
        # Runs in the event loop, so it must not block. The socket is readable,
        # so recv returns at once.
        try:
            block = self._sock.recv(1, gevent_socket.MSG_PEEK)
        except OSError:
            block = b''
        if block:
            # The caller pipelined its next request, which is read after this
            # one has been served.
            watcher.stop()
            return
        watcher.stop()
        gevent.kill(
            task, CallerDisconnectedError('the caller closed the connection')
        )

    def _log_disconnect(self, fault: Exception) -> None:
        if not (self.idle or self.closing):
            _LOG.write(
                'caller disconnected during a request.',
                peer=self.peer,
                reason=str(fault),
            )

    def _close(self) -> None:
        self._log_unread()
        self._sock.close()
        self._release_bodies()

    def _log_unread(self) -> None:
        # The caller may have sent a whole request that nobody reads any more.
        if self._sock.closed or not connection.is_readable(self._sock):
            return
        try:
            unread = self._sock.recv(RECEIVE_BYTES, gevent_socket.MSG_PEEK)
        except OSError:
            return
        if unread:
            _LOG.write(
                'connection is closed with unread bytes.',
                peer=self.peer,
                unread=len(unread),
                closing=self.closing,
            )

    def _reject(self, fault: message.MessageError) -> None:
        _LOG.write(
            'request rejected, the connection is closed.',
            peer=self.peer,
            status=fault.status,
            reason=fault.reason,
        )
        body = fault.reason.encode()
        head = (
            f'HTTP/1.1 {fault.status} Refused\r\n'
            f'Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n'
            'Connection: close\r\n\r\n'
        )
        try:
            self.write(head.encode() + body)
            self._linger()
        except (OSError, CallerDisconnectedError) as broken:
            self._log_disconnect(broken)

    def _linger(self) -> None:
        # Closing a socket with unread data resets the connection, and the
        # caller could lose the response.
        self._sock.shutdown(gevent_socket.SHUT_WR)
        deadline = clock.read_monotonic() + LINGER_SECONDS
        remaining = LINGER_SECONDS
        turn = connection.Turn()
        while remaining > 0:
            self._sock.settimeout(remaining)
            block = self._sock.recv(RECEIVE_BYTES)
            if not block:
                return
            turn.note_read(len(block))
            remaining = deadline - clock.read_monotonic()
