"""Connections of callers: HTTP/1.1 over plain sockets, bodies unchanged.

One task serves a connection. While it serves a request, the event loop watches
the socket, so that a disconnect of the caller cancels the work at once.
"""

import collections
import contextlib
import os
import traceback

import gevent
import greenlet
from gevent import socket as gevent_socket

from pimentoway.callers import requestinput
from pimentoway.core import (
    budget,
    clock,
    connection,
    deployment,
    log,
    loglimit,
    message,
    metric,
)

#: The most bytes read at once of what is not kept.
RECEIVE_BYTES = 65_536

#: The memory of a request that is being served, without its head and body, in
#: bytes: 75 kB with its connection, as 200 streams show in docs/BENCH.md.
SERVICE_BYTES = 49_152

#: The copies of a head and a body while the request is forwarded.
HEAD_COPIES = 3
BODY_COPIES = 2

#: The size from which a write counts as held until it is sent, and the size of
#: the parts in which it is sent, in bytes.
COUNTED_WRITE_BYTES = 8192
PART_BYTES = 65_536

#: Seconds for which a write may block because the caller doesn't read.
WRITE_TIMEOUT_SECONDS = 10.0

#: Seconds for which a connection is still read after a final error response,
#: as closing it with unread data could discard the response in transit.
LINGER_SECONDS = 0.5

#: Seconds after which an idle connection reads the limits anew, as the
#: configuration may have changed.
LIMITS_POLL_SECONDS = 1.0

_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Seconds after which a caller may come back for whom there was no memory:
#: stalled connections are ended as soon as others need what they hold.
RETRY_SECONDS = 1

_READ_EVENT = 1
_TIMEOUT = 408
_BUSY = 503

_BUSY_ANSWER = (
    b'HTTP/1.1 503 Refused\r\nContent-Type: text/plain\r\n'
    b'Content-Length: 35\r\nRetry-After: %d\r\nConnection: close\r\n\r\n'
    b'the node has no memory for requests'
) % RETRY_SECONDS

_LOG = log.Log('caller')
_LIMITED_LOG = loglimit.LimitedLog(_LOG)


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
        memory: budget.MemoryBudget,
    ) -> None:
        """Wrap an accepted socket.

        Args:
            sock: The socket, which is closed at the end of ``run``.
            peer: The IP number and port of the caller.
            serve: Serves a request and returns whether the connection may
                carry another one.
            read_limits: Returns the limits in force.
            memory: The bytes that all connections may hold together.
        """
        self.peer = peer
        self.idle = True
        self.closing = False
        self._sock = sock
        self._serve = serve
        self._read_limits = read_limits
        self._limits = read_limits()
        self._input = requestinput.RequestInput(
            self._limits.header_bytes, self._limits.body_bytes
        )
        self._overdue = 0
        self._ended = False
        self._watcher: object | None = None
        self._turn = connection.Turn()
        self._holding = memory.open(self._end)

    def run(self) -> None:
        """Serve requests until the connection ends; log errors."""
        try:
            rejection = self._run()
            if rejection:
                self._reject(rejection)
        finally:
            self._close()

    def close_idle(self) -> None:
        """Close the connection if it is idle and has no unread data."""
        if not self.idle or self._input.rest:
            return
        if not connection.is_readable(self._sock):
            # The task of the connection ends only when it runs again. Until
            # then `idle` is false, so that a second call doesn't close the
            # socket again.
            self.idle = False
            self.closing = True
            self._sock.close()

    def compute_idle_seconds(self) -> float:
        """Compute for how long the connection has not got on.

        Returns:
            The seconds; negative if a request of it is being served.
        """
        if self._holding.end is None:
            return -1
        return clock.read_monotonic() - self._holding.progressed

    def end_idle(self) -> None:
        """End the connection, of which no request is being served."""
        self._holding.close()
        metric.ENDED_CONNECTIONS.labels('descriptors').inc()
        self._end()

    def write(self, block: bytes) -> None:
        """Send bytes to the caller.

        Args:
            block: The bytes, sent completely.

        Raises:
            CallerDisconnectedError: If the connection broke or the caller
                doesn't read.
        """
        try:
            if len(block) < COUNTED_WRITE_BYTES:
                self._sock.sendall(block)
            else:
                self._write_counted(block)
        except OSError as fault:
            raise CallerDisconnectedError(str(fault)) from fault

    def _run(self) -> message.MessageError | None:
        try:
            self._hold(budget.CONNECTION_BYTES)
            self._serve_requests()
        except (OSError, CallerDisconnectedError) as fault:
            self._log_disconnect(fault)
        except message.MessageError as fault:
            # A copy, as the trace of the original refers to what was read.
            return message.MessageError(fault.reason, fault.status)
        except Exception as fault:
            _LOG.write(
                'unhandled exception, the connection is closed.',
                peer=self.peer,
                reason=repr(fault),
                trace=traceback.format_exc(limit=-4),
            )
        return None

    def _write_counted(self, block: bytes) -> None:
        # A caller that doesn't read may be ended, as its answer is held for
        # nothing.
        held = self._holding.size
        if not self._holding.resize(held + len(block)):
            raise CallerDisconnectedError('no memory for the answer')
        self._holding.end = self._break_off
        unsent = memoryview(block)
        try:
            while unsent:
                self._holding.progressed = clock.read_monotonic()
                self._sock.sendall(unsent[:PART_BYTES])
                unsent = unsent[PART_BYTES:]
        finally:
            self._holding.end = None
            if not self._ended:
                self._holding.resize(held)

    def _serve_requests(self) -> None:
        # Nothing here refers to a request that has been served: an idle
        # connection counts, and must take, no memory for its last request.
        while self._serve_next():
            if self.closing or self._ended:
                return

    def _serve_next(self) -> bool:
        request = self._read_request()
        if request is None or self._ended:
            return False
        # What is complete is not given up for others.
        self._holding.end = None
        self._hold(_measure_service(request) + self._input.measure())
        self._watcher = self._watch_disconnect()
        try:
            keep_alive = self._serve(self, request)
        finally:
            self._watcher.close()
        if not self._ended:
            self._holding.progressed = clock.read_monotonic()
            self._holding.end = self._end
        if self._input.requests or self._input.rest:
            # A request that is refused at once blocks nowhere, so a caller
            # that pipelines would keep others waiting for 110 requests.
            gevent.sleep(connection.TURN_PAUSE_SECONDS)
        return keep_alive

    def _read_request(self) -> message.Request | None:
        requests = self._input.requests
        self._hold(budget.CONNECTION_BYTES + self._input.measure())
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
            if remaining <= 0 and not self._has_input():
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
        self._input.requests.popleft()
        return request

    def _receive_before(self, deadline: float) -> bool:
        remaining = deadline - clock.read_monotonic()
        if remaining > 0:
            return self._receive(remaining)
        # After a pause of the event loop the rest of the request may wait, but
        # not more than that.
        limits = self._limits
        allowed = limits.header_bytes + limits.body_bytes
        if not self._has_input() or self._overdue > allowed:
            raise message.MessageError('the request took too long', _TIMEOUT)
        self._overdue += requestinput.SLICE_BYTES
        return self._receive(connection.MIN_TIMEOUT_SECONDS)

    def _has_input(self) -> bool:
        return bool(self._input.rest) or connection.is_readable(self._sock)

    def _receive(self, seconds: float) -> bool:
        block = self._input.rest
        if not block:
            self._sock.settimeout(seconds)
            try:
                block = self._sock.recv(self._input.choose_size())
            except TimeoutError:
                # The connection is still open; the calling method decides
                # whether its own time is over.
                return True
            finally:
                self._sock.settimeout(WRITE_TIMEOUT_SECONDS)
            if not block or self._ended:
                return False
        self._parse(block)
        return not self._ended

    def _parse(self, block: bytes | memoryview) -> None:
        weight = self._input.parse(block)
        self._holding.progressed = clock.read_monotonic()
        self._hold(budget.CONNECTION_BYTES + self._input.measure())
        self._turn.note_read(weight)

    def _hold(self, size: int) -> None:
        if self._ended or not self._holding.resize(size):
            raise message.MessageError(
                'the node has no memory for the request', _BUSY
            )

    def _end(self) -> None:
        # Called by another task, so it must not block. Nothing that the
        # connection reads has run, as what is complete is not given up.
        self._ended = True
        is_reading = bool(self._input.requests)
        self._input.drop()
        if is_reading:
            with contextlib.suppress(OSError):
                os.write(self._sock.fileno(), _BUSY_ANSWER)
        _LIMITED_LOG.write(
            'a connection is ended for want of memory or descriptors.',
            peer=self.peer,
            reading=is_reading,
        )
        self._sock.close()

    def _break_off(self) -> None:
        # Called by another task while the caller doesn't read its answer, which
        # must not be followed by another one.
        self._watcher.close()
        self._input.drop()
        self._end()

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
            _LIMITED_LOG.write(
                'caller disconnected during a request.',
                peer=self.peer,
                reason=str(fault),
            )

    def _close(self) -> None:
        self._log_unread()
        self._input.drop()
        self._sock.close()
        self._holding.close()

    def _log_unread(self) -> None:
        # The caller may have sent a whole request that nobody reads any more.
        if self._sock.closed or not connection.is_readable(self._sock):
            return
        try:
            unread = self._sock.recv(RECEIVE_BYTES, gevent_socket.MSG_PEEK)
        except OSError:
            return
        if unread:
            _LIMITED_LOG.write(
                'connection is closed with unread bytes.',
                peer=self.peer,
                unread=len(unread),
                closing=self.closing,
            )

    def _reject(self, fault: message.MessageError) -> None:
        if self._ended:
            return
        self._input.drop()
        self._holding.end = None
        self._holding.resize(budget.CONNECTION_BYTES)
        metric.ENDED_CONNECTIONS.labels(str(fault.status)).inc()
        _LIMITED_LOG.write(
            'request rejected, the connection is closed.',
            peer=self.peer,
            status=fault.status,
            reason=fault.reason,
        )
        body = fault.reason.encode()
        retry = ''
        if fault.status == _BUSY:
            retry = f'Retry-After: {RETRY_SECONDS}\r\n'
        head = (
            f'HTTP/1.1 {fault.status} Refused\r\n'
            f'Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n'
            f'{retry}Connection: close\r\n\r\n'
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


def _measure_service(request: message.Request) -> int:
    return (
        budget.CONNECTION_BYTES
        + SERVICE_BYTES
        + request.measure()
        + HEAD_COPIES * request.head_bytes
        + (BODY_COPIES - 1) * len(request.body)
    )
