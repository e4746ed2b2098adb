"""Relays requests of other nodes that have no path to a back end.

One task serves one connection of another node, which carries one request. The
relay always connects to the back end itself, so nothing is relayed twice.
"""

import collections
import contextlib
import dataclasses
import functools
import traceback

import gevent
import msgspec
from gevent import socket as gevent_socket

from pimentoway.backends import channel
from pimentoway.core import (
    budget,
    call,
    clock,
    deployment,
    error,
    log,
    loglimit,
    message,
    metric,
)
from pimentoway.nodes import relayframe, relaypeer
from pimentoway.ops import view

#: The most connections of other nodes at a time; each holds one to a back end
#: and may hold a body.
MAX_CONNECTIONS = 96

#: The most connections that are accepted, with those that send no request.
MAX_ACCEPTED = 2 * MAX_CONNECTIONS

#: Seconds for the first frame of a connection, and for the request once the
#: connection to the back end is open: a node may prepare it some time before.
OPEN_SECONDS = 1
DISPATCH_SECONDS = 30

#: Seconds between two checks whether the back end's kernel has the request.
ACKNOWLEDGE_SECONDS = 0.05

#: Seconds between two checks whether a draining relay has finished.
WAIT_SECONDS = 0.05

_LOG = log.Log('relay')
_LIMITED_LOG = loglimit.LimitedLog(_LOG)


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The components of a node that relaying uses.

    Attributes:
        view: The registry records.
        channels: The connections to back ends.
        dialect: Encodes the platform's HTTP headers.
        body_budget: The bytes that the bodies of requests may hold together.
        may_use: Tells whether a back end may get a request from this node.
        read_notices: Reports what a back end announces of itself.
        has_crashed: Tells whether a back end that closed a connection crashed.
        memory: The bytes that all connections may hold together.
    """

    view: view.View
    channels: channel.ChannelPool
    dialect: call.Dialect
    body_budget: budget.ByteBudget
    may_use: collections.abc.Callable[[deployment.Engine], bool]
    read_notices: collections.abc.Callable[
        [deployment.Engine, call.Notices], None
    ]
    has_crashed: collections.abc.Callable[[deployment.Engine], bool]
    memory: budget.MemoryBudget = dataclasses.field(
        default_factory=functools.partial(budget.MemoryBudget, 0)
    )


class DeniedError(Exception):
    """The relay takes no request of the node."""

    def __init__(self, reason: relayframe.Denial, text: str) -> None:
        """Store the reason.

        Args:
            reason: The reason.
            text: The reason in words.
        """
        super().__init__(text)
        self.frame = relayframe.Denied(reason, text)


class RequestRelay:
    """Serves the connections of nodes that have requests relayed.

    Attributes:
        leaving: Whether it takes no further requests, as the node drains.
    """

    def __init__(
        self, dependencies: Dependencies, max_accepted: int = MAX_ACCEPTED
    ) -> None:
        """Start without connections.

        Args:
            dependencies: The components of the node.
            max_accepted: The most connections that are accepted.
        """
        self.leaving = False
        self._max_accepted = max_accepted
        self._dependencies = dependencies
        self._peers: set[relaypeer.RelayPeer] = set()

    def count_active(self) -> int:
        """Count the connections of other nodes.

        Returns:
            The number of connections.
        """
        return len(self._peers)

    def handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        """Serve a connection until it ends.

        Args:
            sock: The connected socket.
            address: The IP number and port of the other node.
        """
        if len(self._peers) >= self._max_accepted:
            metric.ENDED_CONNECTIONS.labels('descriptors').inc()
            _LIMITED_LOG.write(
                'too many connections of nodes.', peer=address[0]
            )
            sock.close()
            return
        peer = relaypeer.RelayPeer(sock, address[0], self._dependencies.memory)
        self._peers.add(peer)
        try:
            self._serve(peer)
        except relaypeer.NodeLeftError:
            metric.RELAY_REQUESTS.labels('left').inc()
        except (OSError, error.NodeError) as fault:
            metric.RELAY_REQUESTS.labels('broken').inc()
            _LIMITED_LOG.write(
                'a connection of a node ended.',
                peer=peer.host,
                reason=str(fault),
            )
        except Exception as unexpected:
            _LOG.write(
                'unexpected error, closes the connection of a node.',
                peer=peer.host,
                reason=repr(unexpected),
                trace=traceback.format_exc(limit=-4),
            )
        finally:
            self._peers.discard(peer)
            peer.close()

    def finish(self, end: float) -> None:
        """Take no further requests and wait for those in progress.

        Args:
            end: The monotonic time at which waiting ends.
        """
        self.leaving = True
        while self._peers and clock.read_monotonic() < end:
            gevent.sleep(WAIT_SECONDS)

    def _serve(self, peer: relaypeer.RelayPeer) -> None:
        opening = peer.read(
            relayframe.Open, clock.read_monotonic() + OPEN_SECONDS
        )
        relayframe.check_open(opening)
        try:
            with self._open(peer, opening) as run:
                peer.send(
                    relayframe.Opened(run.conn.reused),
                    clock.read_monotonic() + OPEN_SECONDS,
                )
                run.serve()
        except DeniedError as denial:
            metric.RELAY_REQUESTS.labels(denial.frame.reason.name).inc()
            _LOG.write(
                'denied a request of a node.',
                node=opening.node,
                engine=opening.engine,
                reason=denial.frame.text,
            )
            peer.send(denial.frame, clock.read_monotonic() + OPEN_SECONDS)

    @contextlib.contextmanager
    def _open(
        self, peer: relaypeer.RelayPeer, opening: relayframe.Open
    ) -> collections.abc.Generator['_Run', None, None]:
        self._check_node(peer, opening)
        engine = self._find_engine(opening)
        with self._reserve(opening.size):
            run = _Run(
                self._dependencies,
                peer,
                opening,
                engine,
                self._connect(opening, engine),
            )
            try:
                yield run
            finally:
                run.close()

    def _check_node(
        self, peer: relaypeer.RelayPeer, opening: relayframe.Open
    ) -> None:
        node = self._dependencies.view.peers_by_name.get(opening.node)
        if node is None or node.address.rpartition(':')[0] != peer.host:
            raise error.NodeError(
                f'{opening.node!r} at {peer.host} is no registered node',
                'relay',
            )
        if self.leaving:
            raise _make_unavailable('the relay is draining')
        if len(self._peers) > MAX_CONNECTIONS:
            raise _make_unavailable('the relay has too many connections')

    def _find_engine(self, opening: relayframe.Open) -> deployment.Engine:
        known = self._dependencies.view
        engine = known.engines_by_name.get(opening.engine)
        if engine is None:
            raise _make_unavailable('the relay does not know the back end')
        if not known.is_usable(engine) or not self._dependencies.may_use(
            engine
        ):
            raise _make_unavailable('the relay must not use the back end')
        return engine

    @contextlib.contextmanager
    def _reserve(
        self, size: int
    ) -> collections.abc.Generator[None, None, None]:
        config = self._dependencies.view.deployment
        limits = config.limits if config else deployment.CallerLimits()
        if size > limits.body_bytes:
            raise error.NodeError(
                f'a body of {size} bytes is too large', 'relay'
            )
        body_budget = self._dependencies.body_budget
        if not body_budget.reserve(size):
            raise _make_unavailable('the relay has no room for the body')
        try:
            yield
        finally:
            body_budget.release(size)

    def _connect(
        self, opening: relayframe.Open, engine: deployment.Engine
    ) -> channel.Channel:
        try:
            return self._dependencies.channels.acquire(
                engine.name,
                engine.address,
                opening.max_idle,
                opening.request_id,
            )
        except error.ConnectError as fault:
            raise DeniedError(
                relayframe.Denial.unreachable, str(fault)
            ) from fault


class _Run:
    """A request that is relayed to a back end.

    Attributes:
        conn: The connection to the back end.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        peer: relaypeer.RelayPeer,
        opening: relayframe.Open,
        engine: deployment.Engine,
        conn: channel.Channel,
    ) -> None:
        self.conn = conn
        self._dependencies = dependencies
        self._peer = peer
        self._opening = opening
        self._engine = engine
        self._deadline: float = 0
        self._received = 0
        self._acknowledged = False
        self._response: message.Answer | None = None
        self._metadata: call.AnswerMetadata | None = None

    def serve(self) -> None:
        """Read the request, send it, and pass the answer on."""
        head = self._peer.read(
            relayframe.Dispatch, clock.read_monotonic() + DISPATCH_SECONDS
        )
        started = clock.read_monotonic()
        relayframe.check_dispatch(head)
        self._deadline = started + head.time_left
        body = self._peer.read_body(self._opening.size, self._deadline)
        self._peer.keep()
        end = 'left'
        watcher = self._peer.watch(self.conn.abort)
        try:
            end = self._exchange(head, body).name
        finally:
            watcher.close()
            self._log_end(head, end, clock.read_monotonic() - started)
        metric.RELAY_REQUESTS.labels(end).inc()

    def close(self) -> None:
        """Keep or close the connection to the back end."""
        channels = self._dependencies.channels
        self.conn.on_received = None
        answered = self._response is not None and self._response.complete
        if answered and not self._peer.left:
            self._forget_request()
            channels.release(self.conn, self._response, self._metadata)
        else:
            if not (self._acknowledged or self.conn.is_acknowledged()):
                # The back end would run what is still on its way.
                self.conn.reset_on_close()
            # Closing the connection makes the back end cancel the request.
            channels.discard(self.conn)

    def _forget_request(self) -> None:
        # Only the node that reads a stream knows whether it is whole.
        response = self._response
        if response.is_success() and response.framing is message.Framing.length:
            self.conn.forget_request()

    def _exchange(
        self, head: relayframe.Dispatch, body: bytes
    ) -> relayframe.End:
        end = relayframe.End.complete
        try:
            self._send_and_receive(head, body)
        except channel.SilentError:
            end = relayframe.End.silent
        except error.ConnectionLostError as fault:
            end = self._judge(fault, head.may_crash)
        self._peer.check_present()
        self._send(relayframe.Ended(end))
        return end

    def _send_and_receive(self, head: relayframe.Dispatch, body: bytes) -> None:
        self.conn.on_received = self._pass_on
        self.conn.send_request(
            relayframe.make_dispatch(
                head,
                body,
                self._engine,
                self._deadline - clock.read_monotonic(),
            ),
            self._deadline,
        )
        metric.RELAY_BYTES.labels('request').inc(len(body))
        self._read_head(head.request_id)
        part = self.conn.read_body_part(self._response, self._deadline)
        while part:
            part = self.conn.read_body_part(self._response, self._deadline)

    def _read_head(self, request_id: str) -> None:
        answered = None
        while answered is None:
            answered = self._poll_head(request_id)
        self._response = answered[0]
        self._metadata = answered[1]
        self._dependencies.read_notices(self._engine, self._metadata.notices)

    def _poll_head(
        self, request_id: str
    ) -> tuple[message.Answer, call.AnswerMetadata] | None:
        try:
            return self.conn.read_head(
                request_id, self._compute_head_deadline()
            )
        except channel.SilentError:
            if clock.read_monotonic() >= self._deadline:
                raise
        if not self._acknowledged and self.conn.is_acknowledged():
            self._acknowledged = True
            self._send(relayframe.Acknowledged())
        return None

    def _compute_head_deadline(self) -> float:
        if self._acknowledged:
            return self._deadline
        soon = clock.read_monotonic() + ACKNOWLEDGE_SECONDS
        return min(self._deadline, soon)

    def _judge(
        self, fault: error.ConnectionLostError, may_crash: bool
    ) -> relayframe.End:
        if self._peer.left:
            return relayframe.End.closed
        if may_crash and self._dependencies.has_crashed(self._engine):
            return relayframe.End.crashed
        if isinstance(fault.__cause__, OSError):
            return relayframe.End.reset
        return relayframe.End.closed

    def _pass_on(self, received: bytes) -> None:
        self._acknowledged = True
        self._received += len(received)
        metric.RELAY_BYTES.labels('answer').inc(len(received))
        self._send(relayframe.Received(received))

    def _send(self, content: msgspec.Struct) -> None:
        self._peer.send(content, self._deadline)

    def _log_end(
        self, head: relayframe.Dispatch, end: str, seconds: float
    ) -> None:
        _LOG.write(
            'relayed a request.',
            head.request_id,
            node=self._opening.node,
            engine=self._engine.name,
            end=end,
            size=self._opening.size,
            received=self._received,
            total=round(seconds, 4),
        )


def _make_unavailable(text: str) -> DeniedError:
    return DeniedError(relayframe.Denial.unavailable, text)
