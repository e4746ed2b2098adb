"""Pooled HTTP connections to back ends that forward requests unchanged.

A request is written to a connection once. Input that does not belong to it (a
second response, a late one, bytes that are not HTTP) is never taken for the
response to another request: the connection is not reused. As a response names
only its request, one that is sent again takes another connection each time.
"""

import collections
import contextlib
import enum

import gevent
from gevent import event as gevent_event
from gevent import socket as gevent_socket

from pimentoway.backends import pathprobe
from pimentoway.core import (
    budget,
    call,
    clock,
    connection,
    error,
    message,
    metric,
)

#: Seconds to connect to a back end. TCP retransmits a lost SYN only after a
#: second, which is too late for most requests.
CONNECT_SECONDS = 0.4

#: Seconds for which a connection may stay idle if the back end announces no
#: keep-alive timeout.
DEFAULT_IDLE_SECONDS = 2.0

#: Seconds before the announced keep-alive timeout at which an idle connection
#: is no longer used, as a request could cross the back end's close.
IDLE_MARGIN_SECONDS = 0.7

#: The size from which a body is not joined with its head, in bytes, as that
#: would copy it.
JOINED_BYTES = 65_536

#: Maximum bytes of one read from a connection.
RECEIVE_BYTES = 65_536

#: Responses to other requests after which reading a response fails.
MAX_FOREIGN_RESPONSES = 3

#: Largest body of a response to another request that is skipped, in bytes.
MAX_FOREIGN_BYTES = 1_048_576

#: Maximum idle connections for one back end.
MAX_IDLE_CHANNELS = 12

#: The most requests that may be sent again and that a connection remembers; one
#: that carried more of them is not reused.
MAX_REMEMBERED = 64

_READ_EVENT = 1

ReceiveHandler = collections.abc.Callable[[bytes], None]


class OpenReason(enum.Enum):
    """Why a request opened a connection, for the metrics."""

    # The node had none to the back end before.
    first = 'first'
    # Those that it has carry other requests.
    in_use = 'in use'
    # Those that are idle may not carry this request.
    unfit = 'unfit'
    # The last one was idle up to its limit.
    expired = 'expired'
    # The back end closed the last one while it was idle, or it has moved.
    closed = 'closed'
    # The last one could not be kept after its request.
    not_kept = 'not kept'
    # It checks whether the back end can be reached.
    probe = 'probe'


class SilentError(error.ConnectionLostError):
    """The back end neither sent nor read bytes before the deadline."""


class SilentEndError(SilentError):
    """The node that relays the request tells that it was silent to the end."""


class Channel:
    """A connection to a back end that carries one request at a time.

    Attributes:
        engine: The name of the back end.
        address: Its IP address and port.
        reused: Whether it carried a request before.
        idle_since: The monotonic time at which it became idle; 0 before its
            first response is complete.
        idle_seconds: Seconds for which it may stay idle.
        delay: The network delay to the peer, in seconds one way: half of the
            round trip with which it was opened.
        on_received: Called with all bytes before they are parsed; ``None`` for
            nothing.
    """

    def __init__(
        self,
        engine: str,
        address: str,
        dialect: call.Dialect,
        sock: gevent_socket.socket | None = None,
    ) -> None:
        """Connect, within `CONNECT_SECONDS`.

        Args:
            engine: The name of the back end.
            address: Its IP address and port.
            dialect: Decodes the metadata in the headers of responses.
            sock: A connection that was opened before; ``None`` to open one.
        """
        self.engine = engine
        self.address = address
        self._dialect = dialect
        self.reused = False
        self.idle_since: float = 0
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self._reader = message.AnswerReader()
        self._turn = connection.Turn()
        self._closed_by_peer = False
        self._current_id = ''
        self._end_by_id: dict[str, float] = {}
        self.on_received: ReceiveHandler | None = None
        self._sock = sock or connection.connect(
            address, CONNECT_SECONDS, connection.BACKEND_SILENCE_SECONDS
        )
        self.delay = connection.read_round_trip(self._sock) / 2

    def send_request(self, dispatch: call.Dispatch, deadline: float) -> None:
        """Send a request, as ``send`` does.

        Args:
            dispatch: The request.
            deadline: The monotonic time at which sending is given up.
        """
        self._remember(dispatch)
        head = self._dialect.write_request(dispatch)
        body = dispatch.request.body
        if len(body) < JOINED_BYTES:
            self.send(b'%s%s' % (head, body), deadline)
            return
        self.send(head, deadline)
        if not self._reader.broken:
            self.send(body, deadline)

    def send(self, payload: bytes, deadline: float) -> None:
        """Send a request; stop early if the back end already responds.

        Args:
            payload: The head and the body of the request.
            deadline: The monotonic time at which sending is given up.

        Raises:
            SilentError: If the back end does not read until the deadline.
        """
        unsent = memoryview(payload)
        unsent = unsent[self._send_available(unsent) :]
        while unsent and not connection.is_readable(self._sock):
            remaining = deadline - clock.read_monotonic()
            if not connection.wait_until_writable(self._sock, remaining):
                raise SilentError(
                    'the back end does not read',
                    'send',
                    self.address,
                )
            unsent = unsent[self._send_available(unsent) :]
        if unsent:
            # The back end would take the bytes of the next request for the
            # rest of this body, so the connection must not be reused.
            self._reader.broken = True

    def read_head(
        self, request_id: str, deadline: float
    ) -> tuple[message.Answer, call.AnswerMetadata]:
        """Read the head of the response to a request.

        Responses that name another request are skipped, and the connection
        is then not reused. So are those that name none, on a connection that
        was used before: they may be late copies of an earlier response.

        Args:
            request_id: The identifier of the request.
            deadline: The monotonic time at which waiting ends.

        Returns:
            The response, its body still to be read, and its metadata.

        Raises:
            ConnectionLostError: If the connection broke or only responses to
                other requests came.
        """
        for _ in range(MAX_FOREIGN_RESPONSES):
            response = self._wait_for_head(deadline)
            metadata = self._dialect.read_metadata(response)
            if self._is_own(metadata.request_id, request_id):
                return response, metadata
            self._skip_body(response, deadline)
            self._reader.answers.popleft()
            self._reader.broken = True
        raise error.ConnectionLostError(
            'only foreign answers', 'read', self.address
        )

    def read_body_part(
        self, response: message.Answer, deadline: float
    ) -> bytes:
        """Read the next bytes of a response's body.

        Args:
            response: The response.
            deadline: The monotonic time at which waiting ends.

        Returns:
            The bytes received since the last call; empty at the end of a
            complete body.
        """
        while not response.parts and not response.complete:
            self._receive(deadline)
        if response.parts:
            joined = b''.join(response.parts)
            response.parts.clear()
            return joined
        return b''

    def may_carry(self, request_id: str) -> bool:
        """Tell whether the response to a request could not be mistaken.

        Args:
            request_id: The identifier of the request; '' if it is not known.

        Returns:
            Whether the connection has not carried the request before, as a
            late copy of its earlier response would name it, too.
        """
        if request_id:
            return request_id not in self._end_by_id
        return not self._end_by_id

    def forget_request(self) -> None:
        """Record that the request that was sent last is not sent again."""
        self._end_by_id.pop(self._current_id, None)

    def has_input(self) -> bool:
        """Tell whether anything, or a close, has arrived and was not read.

        Returns:
            Whether it has; an idle connection may then carry no request.
        """
        return connection.is_readable(self._sock)

    def is_acknowledged(self) -> bool:
        """Tell whether the peer's kernel has received all that was sent.

        Returns:
            Whether it has acknowledged every byte.
        """
        return not self.count_unacknowledged()

    def count_unacknowledged(self) -> int:
        """Count the sent bytes that the peer's kernel has not acknowledged.

        Returns:
            The number of bytes.
        """
        return connection.count_unacknowledged(self._sock)

    def reset_on_close(self) -> None:
        """Drop the bytes on their way when the connection is closed."""
        connection.reset_on_close(self._sock)

    def fileno(self) -> int:
        """Return the file descriptor of the socket.

        Returns:
            The descriptor.
        """
        return self._sock.fileno()

    def reset_for_reuse(self, response: message.Answer) -> bool:
        """Prepare the connection for the next request if it may be reused.

        Args:
            response: The response that was read last.

        Returns:
            Whether the connection may be reused: the response is complete,
            keeps the connection alive, and nothing else was received.
        """
        clean = (
            response.complete
            and response.keep_alive
            and not self._reader.broken
        )
        if not clean or len(self._reader.answers) != 1:
            return False
        now = clock.read_monotonic()
        self._forget_expired(now)
        if len(self._end_by_id) > MAX_REMEMBERED:
            return False
        self._reader.drop()
        self._reader = message.AnswerReader()
        self.reused = True
        self.idle_since = now
        return True

    def close(self) -> None:
        """Close the connection, which makes the back end stop its work."""
        self._reader.drop()
        self._sock.close()

    def abort(self) -> None:
        """End reads and writes that wait; the connection must still be closed.

        The back end stops its work. This does not block.
        """
        with contextlib.suppress(OSError):
            self._sock.shutdown(gevent_socket.SHUT_RDWR)

    def _remember(self, dispatch: call.Dispatch) -> None:
        self._current_id = dispatch.request.request_id
        self._end_by_id[self._current_id] = (
            clock.read_monotonic() + dispatch.timeout_seconds
        )

    def _forget_expired(self, now: float) -> None:
        self._end_by_id = {
            request_id: end
            for request_id, end in self._end_by_id.items()
            if end > now
        }

    def _is_own(self, named: str, request_id: str) -> bool:
        if named:
            return named == request_id
        return not self.reused

    def _send_available(self, unsent: memoryview) -> int:
        try:
            return self._sock.send(unsent)
        except OSError as fault:
            raise self._make_cut_error(fault) from fault

    def _wait_for_head(self, deadline: float) -> message.Answer:
        responses = self._reader.answers
        while not responses or not responses[0].head_complete:
            self._receive(deadline)
        return responses[0]

    def _skip_body(self, response: message.Answer, deadline: float) -> None:
        skipped = 0
        while not response.complete:
            self._receive(deadline)
            skipped += sum(len(part) for part in response.parts)
            response.parts.clear()
            if skipped > MAX_FOREIGN_BYTES:
                raise error.ConnectionLostError(
                    'a foreign answer is too large', 'read', self.address
                )

    def _receive(self, deadline: float) -> None:
        if self._closed_by_peer:
            raise error.ConnectionLostError(
                'the connection was closed', 'read', self.address
            )
        remaining = deadline - clock.read_monotonic()
        if remaining <= 0:
            raise SilentError('no answer in time', 'read', self.address)
        self._sock.settimeout(remaining)
        try:
            received = self._sock.recv(RECEIVE_BYTES)
        except OSError as fault:
            raise self._make_read_error(fault) from fault
        if received:
            self._turn.note_read(len(received))
            if self.on_received:
                self.on_received(received)
            self._reader.feed(received)
            return
        self._note_end()

    def _note_end(self) -> None:
        self._closed_by_peer = True
        self._reader.end()
        if not self._is_last_response_complete():
            raise error.ConnectionLostError(
                'the connection was closed', 'read', self.address
            )

    def _is_last_response_complete(self) -> bool:
        responses = self._reader.answers
        return bool(responses) and responses[-1].complete

    def _make_read_error(self, fault: OSError) -> error.ConnectionLostError:
        if connection.is_expired(fault):
            return SilentError('no answer in time', 'read', self.address)
        return self._make_cut_error(fault)

    def _make_cut_error(self, fault: OSError) -> error.ConnectionLostError:
        # A broken connection that is read again shows an orderly end.
        self._closed_by_peer = True
        return error.ConnectionLostError(
            f'it broke: {fault}', 'exchange', self.address
        )


def wait_for_input(
    channels: collections.abc.Iterable[Channel],
    wake: gevent_event.Event,
    deadline: float,
) -> None:
    """Wait until a connection has input, an event is set, or time is over.

    Args:
        channels: The connections.
        wake: The event; it is also set by input.
        deadline: The monotonic time at which waiting ends.
    """
    loop = gevent.get_hub().loop
    watchers = [loop.io(channel.fileno(), _READ_EVENT) for channel in channels]
    try:
        for watcher in watchers:
            watcher.start(wake.set)
        wake.wait(max(0, deadline - clock.read_monotonic()))
    finally:
        for ended in watchers:
            ended.stop()
            ended.close()


class ChannelPool:
    """The connections to all back ends.

    Attributes:
        opened_count: The number of connections opened since the start.
        open_by_engine: The number of open connections, idle or in use, by the
            name of the back end.
        lost_paths: The back ends to which no connection could be opened.
        answer_budget: The bytes that the bodies of responses may hold together
            in the node.
    """

    def __init__(
        self,
        dialect: call.Dialect,
        answer_budget: budget.ByteBudget | None = None,
    ) -> None:
        """Start without connections.

        Args:
            dialect: Decodes the metadata in the headers of responses.
            answer_budget: The bytes that the bodies of responses may hold;
                ``None`` for no limit.
        """
        self._dialect = dialect
        self.opened_count = 0
        self.open_by_engine: collections.Counter[str] = collections.Counter()
        self.lost_paths = pathprobe.LostPaths()
        self.answer_budget = answer_budget or budget.ByteBudget(0)
        self._idle_by_engine: dict[str, list[Channel]] = {}
        # Why the connection that was closed last was.
        self._closed_by_engine: dict[str, OpenReason] = {}

    def acquire(
        self,
        engine: str,
        address: str,
        max_idle_seconds: float,
        request_id: str,
    ) -> Channel:
        """Take the connection that became idle last, or open one.

        Idle connections found unusable on the way are closed. Those that have
        carried the request before, or were idle for too long for it alone, are
        kept for others.

        Args:
            engine: The name of the back end.
            address: Its IP address and port.
            max_idle_seconds: Seconds for which the connection may have been
                idle; 0 for a new connection.
            request_id: The identifier of the request that it is to carry; ''
                if it is not known.

        Returns:
            The connection, to be passed to `release` or `discard`.
        """
        for channel in self._list_usable_idle(
            engine, address, max_idle_seconds
        ):
            if channel.may_carry(request_id):
                self._idle_by_engine[engine].remove(channel)
                return channel
        self.lost_paths.check(engine, address)
        return self._open(engine, address, self._find_open_reason(engine))

    def probe(self, engine: str, address: str) -> bool:
        """Try to open a connection, which then waits for a request.

        Args:
            engine: The name of the back end.
            address: Its IP address and port.

        Returns:
            Whether it was opened.
        """
        try:
            channel = self._open(engine, address, OpenReason.probe)
        except error.ConnectError:
            return False
        channel.idle_since = clock.read_monotonic()
        self._idle_by_engine.setdefault(engine, []).append(channel)
        return True

    def release(
        self,
        channel: Channel,
        response: message.Answer,
        metadata: call.AnswerMetadata,
    ) -> None:
        """Keep a connection for the next request, or close it.

        It is closed if it must not be reused or the back end has
        `MAX_IDLE_CHANNELS` idle connections already.

        Args:
            channel: The connection.
            response: The response that was read from it.
            metadata: The metadata of the response, with the keep-alive timeout.
        """
        idle = self._idle_by_engine.setdefault(channel.engine, [])
        if not channel.reset_for_reuse(response) or (
            len(idle) >= MAX_IDLE_CHANNELS
        ):
            self.discard(channel)
            return
        if metadata.idle_seconds is not None:
            channel.idle_seconds = metadata.idle_seconds - IDLE_MARGIN_SECONDS
        idle.append(channel)

    def is_idle(self, channel: Channel) -> bool:
        """Tell whether a connection is kept for the next request.

        Args:
            channel: The connection.

        Returns:
            Whether it is.
        """
        return channel in self._idle_by_engine.get(channel.engine, ())

    def discard(self, channel: Channel) -> None:
        """Close a connection that is not among the idle ones.

        Args:
            channel: The connection.
        """
        self._closed_by_engine[channel.engine] = OpenReason.not_kept
        self.open_by_engine[channel.engine] -= 1
        channel.close()

    def discard_idle(self, engine: str) -> None:
        """Close the idle connections of a back end that was removed.

        The back end stays counted while connections to it are in use.

        Args:
            engine: The name of the back end.
        """
        for channel in self._idle_by_engine.pop(engine, ()):
            self.discard(channel)
        self._closed_by_engine.pop(engine, None)
        if not self.open_by_engine[engine]:
            self.open_by_engine.pop(engine)

    def close_expired(self) -> None:
        """Close the connections that were idle for too long."""
        now = clock.read_monotonic()
        for idle in self._idle_by_engine.values():
            expired = [
                channel
                for channel in idle
                if now - channel.idle_since >= channel.idle_seconds
            ]
            for channel in expired:
                self._drop_idle(channel, OpenReason.expired)

    def _list_usable_idle(
        self, engine: str, address: str, max_idle_seconds: float
    ) -> collections.abc.Generator[Channel, None, None]:
        # Those that became idle last come first; unusable ones are closed.
        now = clock.read_monotonic()
        for channel in tuple(reversed(self._idle_by_engine.get(engine, ()))):
            reason = _find_fault(channel, address, now)
            if reason:
                self._drop_idle(channel, reason)
            elif now - channel.idle_since < max_idle_seconds:
                yield channel

    def _drop_idle(self, channel: Channel, reason: OpenReason) -> None:
        self._idle_by_engine[channel.engine].remove(channel)
        self.discard(channel)
        self._closed_by_engine[channel.engine] = reason

    def _find_open_reason(self, engine: str) -> OpenReason:
        if self._idle_by_engine.get(engine):
            return OpenReason.unfit
        if self.open_by_engine[engine]:
            return OpenReason.in_use
        return self._closed_by_engine.get(engine, OpenReason.first)

    def _open(self, engine: str, address: str, reason: OpenReason) -> Channel:
        try:
            channel = Channel(engine, address, self._dialect)
        except error.ConnectError as fault:
            self.lost_paths.note_failure(
                engine,
                address,
                str(fault),
                hold=isinstance(fault.__cause__, TimeoutError),
            )
            raise
        self.lost_paths.note_success(engine)
        self.opened_count += 1
        metric.NEW_CONNECTIONS.labels(reason.value).inc()
        self.open_by_engine[engine] += 1
        return channel


def _find_fault(
    channel: Channel, address: str, now: float
) -> OpenReason | None:
    # Why an idle connection can carry no request any more.
    if now - channel.idle_since >= channel.idle_seconds:
        return OpenReason.expired
    if channel.address != address or channel.has_input():
        return OpenReason.closed
    return None
