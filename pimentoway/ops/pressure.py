"""Pressure: which tiers wait for a pool anywhere in the failure domain.

A node that has requests of a tier waiting tells the other nodes of its domain,
which then start no request of a lower tier for the same pool. So a lower tier
is never served at one node while a higher one is shed at another. A node whose
announcement would say no more than a fresh one of another node stays silent, so
that their number does not grow with the nodes.
"""

import dataclasses

from pimentoway.core import clock, evidence

#: Seconds after which an announcement that is not repeated is forgotten.
LIFETIME_SECONDS = 1.5

#: Seconds between repeated announcements.
REPEAT_SECONDS = 0.5

#: The rank that stands for nothing waiting.
NOTHING_WAITS = -1


@dataclasses.dataclass(frozen=True)
class Announcement:
    """What a node announced of one pool.

    Attributes:
        sign: The announcement.
        heard: When it was heard.
    """

    sign: evidence.Pressure
    heard: float


class PressureTable:
    """The pressure that other nodes of the domain announced."""

    def __init__(self, node: str, zone: str) -> None:
        """Start without pressure.

        Args:
            node: The name of this node.
            zone: Its failure domain.
        """
        self._node = node
        self._zone = zone
        self._sequence = 0
        self._by_node_and_pool: dict[tuple[str, str], Announcement] = {}
        self._own_by_pool: dict[str, Announcement] = {}

    def record(self, sign: evidence.Pressure) -> bool:
        """Take in an announcement of another node.

        Args:
            sign: The announcement.

        Returns:
            Whether it was new and of this failure domain.
        """
        if sign.node == self._node or sign.zone != self._zone:
            return False
        key = (sign.node, sign.pool)
        known = self._by_node_and_pool.get(key)
        if known and known.sign.sequence >= sign.sequence:
            return False
        now = clock.read_monotonic()
        self._by_node_and_pool[key] = Announcement(sign, now)
        return True

    def admits(self, pool: str, rank: int) -> bool:
        """Tell whether no higher tier waits elsewhere.

        Args:
            pool: The name of the pool.
            rank: The rank of the tier that would be served.

        Returns:
            Whether a request of the tier may be dispatched.
        """
        now = clock.read_monotonic()
        for (_, waiting_pool), known in self._by_node_and_pool.items():
            if waiting_pool != pool or known.sign.rank == NOTHING_WAITS:
                continue
            if known.sign.rank < rank and now - known.heard < LIFETIME_SECONDS:
                return False
        return True

    def announce(self, pool: str, rank: int) -> evidence.Pressure | None:
        """Work out what to tell the others of a pool.

        Args:
            pool: The name of the pool.
            rank: The highest rank that waits here, or ``NOTHING_WAITS``.

        Returns:
            The announcement, or nothing if the others know.
        """
        now = clock.read_monotonic()
        known = self._own_by_pool.get(pool)
        if known is None and rank == NOTHING_WAITS:
            return None
        if rank != NOTHING_WAITS and self._is_told(pool, rank):
            return None
        if known and known.sign.rank == rank:
            repeated = now - known.heard >= REPEAT_SECONDS
            if rank == NOTHING_WAITS or not repeated:
                return None
        # The wall clock keeps the numbers rising over a restart of the node.
        wall = int(clock.read_wall() * 1000)
        self._sequence = max(self._sequence + 1, wall)
        sign = evidence.Pressure(
            self._node,
            self._zone,
            pool,
            rank,
            self._sequence,
        )
        self._own_by_pool[pool] = Announcement(sign, now)
        return sign

    def _is_told(self, pool: str, rank: int) -> bool:
        now = clock.read_monotonic()
        return any(
            now - known.heard < REPEAT_SECONDS
            for (_, told_pool), known in self._by_node_and_pool.items()
            if told_pool == pool and NOTHING_WAITS < known.sign.rank <= rank
        )
