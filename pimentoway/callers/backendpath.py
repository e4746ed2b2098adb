"""The way of one attempt to its back end: direct, or by another node."""

import dataclasses
import math

import gevent

from pimentoway.backends import channel, liveness
from pimentoway.callers import notice_reader, request_context
from pimentoway.core import call, deployment, error, message, usage
from pimentoway.nodes import relaychannel
from pimentoway.ops import idletable, slotclient


@dataclasses.dataclass(frozen=True)
class Dependencies:
    """The components of a node that an attempt uses.

    Attributes:
        slots: The client that reports to the broker how a grant ended.
        channels: The connections to back ends.
        dialect: Decodes and encodes the platform's HTTP headers.
        liveness_checker: Tells crashes from broken connections.
        notices: Reports what back ends announce of themselves.
        relays: Finds the nodes that relay requests.
        observer: Is told of the runs at back ends. A node that relays a request
            tells nothing of it, as the node that asked does.
    """

    slots: slotclient.SlotClient
    channels: channel.ChannelPool
    dialect: call.Dialect
    liveness_checker: liveness.LivenessChecker
    notices: notice_reader.NoticeReader
    relays: relaychannel.RelayClient
    observer: usage.UsageObserver = usage.UsageObserver()


class BackendPath:
    """The way to one back end.

    Attributes:
        via: The name of the node that relays the request; '' for none.
    """

    def __init__(
        self, dependencies: Dependencies, engine: deployment.Engine, via: str
    ) -> None:
        """Choose the way; nothing is connected yet.

        Args:
            dependencies: The components of the node.
            engine: The back end.
            via: The name of the node that relays the request; '' for none.
        """
        self.via = via
        self._engine = engine
        self._dependencies = dependencies
        self._pool: channel.ChannelPool | relaychannel.RelayRoute = (
            dependencies.channels
        )

    def acquire(
        self, context: request_context.RequestContext
    ) -> channel.Channel:
        """Connect to the back end, or let the relay do it.

        Args:
            context: The request.

        Returns:
            The connection, to be passed to ``release`` or ``discard``. A
            failure to connect is raised as ``ConnectError``.
        """
        if self.via:
            self._pool = self._dependencies.relays.find_route(
                self.via, len(context.request.body)
            )
        return self._pool.acquire(
            self._engine.name,
            self._engine.address,
            _find_max_idle(context),
            context.request.request_id,
        )

    def release(
        self,
        conn: channel.Channel,
        response: message.Answer,
        metadata: call.AnswerMetadata,
    ) -> None:
        """Keep a connection for the next request, or close it.

        Args:
            conn: The connection.
            response: The response that was read from it.
            metadata: The metadata of the response.
        """
        self._pool.release(conn, response, metadata)

    def discard(self, conn: channel.Channel) -> None:
        """Close a connection.

        Args:
            conn: The connection.
        """
        self._pool.discard(conn)

    def measure_idle(self, conn: channel.Channel) -> float:
        """Measure how long a connection that was released is used again.

        Args:
            conn: The connection.

        Returns:
            Seconds from now on for a request that may run twice; 0 if it is
            closed, or belongs to a relay. The broker knows the limit of those
            that must not.
        """
        if self.via or not self._dependencies.channels.is_idle(conn):
            return 0
        return conn.idle_seconds

    def is_given_up(self, context: request_context.RequestContext) -> bool:
        """Tell whether a back end that can't be reached is given up.

        A node that can't connect may reach it through another one, which the
        broker knows.

        Args:
            context: The request, which remembers the back end.

        Returns:
            Whether it is; false after the first direct try if other nodes
            relay.
        """
        name = self._engine.name
        tried = name in context.unreachable
        context.unreachable = (*context.unreachable, name)
        if self.via or tried:
            return True
        return not self._dependencies.relays.has_relay()

    def note_lost(self) -> None:
        """Record that the back end acknowledged nothing, so that it is probed.

        A relay does that for its own ways.
        """
        if not self.via:
            self._dependencies.channels.lost_paths.note_failure(
                self._engine.name,
                self._engine.address,
                'nothing was acknowledged',
                hold=False,
            )

    def note_answer(self) -> None:
        """Report that a back end that seemed lost has answered."""
        if not self.via:
            self._dependencies.channels.lost_paths.note_success(
                self._engine.name
            )
            self._dependencies.slots.report_path(
                self._engine.name, is_open=True
            )

    def is_paused(self, metadata: call.AnswerMetadata | None) -> bool:
        """Tell whether the back end wants no requests for some time.

        Args:
            metadata: The metadata of its response; ``None`` without one.

        Returns:
            Whether it wants none on this way.
        """
        if self.via:
            return metadata is not None and metadata.notices.pause_seconds > 0
        return not self._dependencies.slots.may_use(self._engine)

    def read_notices(self, notices: call.Notices) -> None:
        """Report what the back end announces of itself.

        Args:
            notices: What it announces.
        """
        if self.via:
            # The relay has heard the pause, which holds for it.
            notices = dataclasses.replace(notices, pause_seconds=0)
        self._dependencies.notices.read(self._engine, notices)

    def start_check(self) -> gevent.Greenlet | None:
        """Start to check whether the back end shows a sign of life.

        Returns:
            The check, whose value is a ``liveness.Liveness``; nothing if the
            back end can't be checked on this way.
        """
        if self.via:
            return None
        return self._dependencies.liveness_checker.start(self._engine)

    def has_crashed(self, fault: error.ConnectionLostError) -> bool:
        """Tell whether the back end crashed when its connection broke.

        Args:
            fault: The error.

        Returns:
            Whether it refuses new connections, here or at the relay.
        """
        if self.via:
            return isinstance(fault, relaychannel.CrashedError)
        return self._dependencies.liveness_checker.has_crashed(self._engine)


def _find_max_idle(context: request_context.RequestContext) -> float:
    if context.route.idempotent:
        return math.inf
    return idletable.UNSAFE_MAX_IDLE_SECONDS
