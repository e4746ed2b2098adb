"""Pressure: the tiers that wait for a pool at other nodes of the domain.

A node with waiting requests of a tier announces it to the other nodes of its
failure domain, which then start no request of a lower tier for the same pool.
So a lower tier is never served at one node while a higher one is refused at
another. A node sends no announcement that adds nothing to a recent one of
another node, so that the number of announcements doesn't grow with the nodes.
"""

import dataclasses

from pimentoway.core import clock, evidence

#: Seconds after which an announcement that isn't repeated expires.
TTL_SECONDS = 1.5

#: Seconds between repeated announcements.
REPEAT_SECONDS = 0.5

#: The rank that is announced when no request waits any more.
NOTHING_WAITS = -1


@dataclasses.dataclass(frozen=True)
class Announcement:
    """An announcement on one pool and its time.

    Attributes:
        pressure: The announcement.
        time: When it was received or sent, on the monotonic clock.
    """

    pressure: evidence.QueuePressure
    time: float


class PressureTable:
    """The latest announcements of all nodes of the failure domain."""

    def __init__(self, node: str, zone: str) -> None:
        """Start without announcements.

        Args:
            node: The name of this node.
            zone: Its failure domain.
        """
        self._node = node
        self._zone = zone
        self._sequence = 0
        self._by_node_and_pool: dict[tuple[str, str], Announcement] = {}
        self._own_by_pool: dict[str, Announcement] = {}

    def record(self, announced: evidence.QueuePressure) -> bool:
        """Record an announcement of another node.

        Args:
            announced: The announcement.

        Returns:
            Whether it was new, from another node and of this failure domain.
        """
        if announced.node == self._node or announced.zone != self._zone:
            return False
        key = (announced.node, announced.pool)
        known = self._by_node_and_pool.get(key)
        if known and known.pressure.sequence >= announced.sequence:
            return False
        now = clock.read_monotonic()
        self._by_node_and_pool[key] = Announcement(announced, now)
        return True

    def admits(self, pool: str, rank: int) -> bool:
        """Tell whether no higher tier waits for a pool at other nodes.

        Args:
            pool: The name of the pool.
            rank: The rank of the tier to serve; 0 is the highest.

        Returns:
            Whether a request of the tier may be dispatched.
        """
        now = clock.read_monotonic()
        for (_, waiting_pool), known in self._by_node_and_pool.items():
            if waiting_pool != pool or known.pressure.rank == NOTHING_WAITS:
                continue
            if known.pressure.rank < rank and now - known.time < TTL_SECONDS:
                return False
        return True

    def announce(self, pool: str, rank: int) -> evidence.QueuePressure | None:
        """Make the announcement on a pool that is due now.

        Args:
            pool: The name of the pool.
            rank: The highest rank that waits at this node, or
                ``NOTHING_WAITS``.

        Returns:
            The announcement to send; None if none is due, or if another node
            announced the same or a higher tier within ``REPEAT_SECONDS``.
        """
        now = clock.read_monotonic()
        known = self._own_by_pool.get(pool)
        if known is None and rank == NOTHING_WAITS:
            return None
        if rank != NOTHING_WAITS and self._is_announced(pool, rank):
            return None
        if known and known.pressure.rank == rank:
            is_repeat_due = now - known.time >= REPEAT_SECONDS
            if rank == NOTHING_WAITS or not is_repeat_due:
                return None
        # Wall-clock milliseconds, so that the numbers keep rising when the
        # node restarts.
        wall = int(clock.read_wall() * 1000)
        self._sequence = max(self._sequence + 1, wall)
        announced = evidence.QueuePressure(
            self._node,
            self._zone,
            pool,
            rank,
            self._sequence,
        )
        self._own_by_pool[pool] = Announcement(announced, now)
        return announced

    def _is_announced(self, pool: str, rank: int) -> bool:
        # Whether another node just announced this tier or a higher one.
        now = clock.read_monotonic()
        return any(
            now - known.time < REPEAT_SECONDS
            for (_, known_pool), known in self._by_node_and_pool.items()
            if known_pool == pool
            and NOTHING_WAITS < known.pressure.rank <= rank
        )
