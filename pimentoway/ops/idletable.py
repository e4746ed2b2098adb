"""The idle connections that nodes have to one back end, as they reported."""

import collections
import dataclasses
import math

#: The longest idle time, in seconds, of a connection that is reused for a
#: request that must not run twice. The back end may close an older one just
#: as the request is sent, which would leave the outcome unknown.
UNSAFE_MAX_IDLE_SECONDS = 1

#: The most connections that are remembered for one node, as many as it keeps.
MAX_CONNECTIONS = 12

#: The nodes from which on those without a connection are looked for.
SWEEP_NODES = 32


@dataclasses.dataclass(frozen=True)
class IdleConnection:
    """A connection that a node keeps.

    Attributes:
        since: The monotonic time at which it became idle.
        end: The monotonic time from which the node does not use it again.
    """

    since: float
    end: float


class IdleConnections:
    """The idle connections of nodes to one back end.

    A node takes the one that became idle last, so the broker does the same.
    """

    def __init__(self) -> None:
        """Start without connections."""
        self._idle_by_requester: dict[
            str, collections.deque[IdleConnection]
        ] = {}
        self._sweep_size = SWEEP_NODES

    def note(self, requester: str, now: float, seconds: float) -> None:
        """Record a connection that became idle.

        Args:
            requester: The node.
            now: The monotonic time.
            seconds: The seconds for which the node uses it again.
        """
        if requester not in self._idle_by_requester:
            self._sweep(now)
            self._idle_by_requester[requester] = collections.deque(
                maxlen=MAX_CONNECTIONS
            )
        self._idle_by_requester[requester].append(
            IdleConnection(now, now + seconds)
        )

    def take(
        self, requester: str, now: float, max_idle_seconds: float = math.inf
    ) -> None:
        """Record that a node was granted a slot, so that it uses a connection.

        A node that has none for the request opens one, and keeps the others.

        Args:
            requester: The node.
            now: The monotonic time.
            max_idle_seconds: Seconds for which the connection may have been
                idle.
        """
        taken = self._find(requester, now, max_idle_seconds)
        if taken:
            self._idle_by_requester[requester].remove(taken)

    def has(
        self, requester: str, now: float, max_idle_seconds: float = math.inf
    ) -> bool:
        """Tell whether a node has an idle connection for a request.

        Args:
            requester: The node.
            now: The monotonic time.
            max_idle_seconds: Seconds for which the connection may have been
                idle.

        Returns:
            Whether it has one that it uses again.
        """
        return self._find(requester, now, max_idle_seconds) is not None

    def clear(self) -> None:
        """Forget all, as the back end has restarted or moved."""
        self._idle_by_requester.clear()

    def _find(
        self, requester: str, now: float, max_idle_seconds: float
    ) -> IdleConnection | None:
        # The one that became idle last, as a node takes that.
        for kept in reversed(self._idle_by_requester.get(requester, ())):
            if now - kept.since >= max_idle_seconds:
                break
            if kept.end > now:
                return kept
        return None

    def _sweep(self, now: float) -> None:
        if len(self._idle_by_requester) < self._sweep_size:
            return
        self._idle_by_requester = {
            requester: kept
            for requester, kept in self._idle_by_requester.items()
            if self.has(requester, now)
        }
        # A sweep costs no more than the notes since the one before.
        self._sweep_size = max(SWEEP_NODES, 2 * len(self._idle_by_requester))
