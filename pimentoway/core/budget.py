"""The memory of a process that its peers can make it hold.

One ``MemoryBudget`` counts what all connections hold. When it is short, the
connection that gains least by waiting is ended; a request that is complete is
not.
"""

import collections

from pimentoway.core import clock, metric

#: The memory of the interpreter, the program and the records of a small
#: deployment, in bytes: 42 MB were measured at rest.
REST_BYTES = 46_137_344

#: The part of the other memory that may be held. The rest is for what is not
#: counted one by one (buffers of a single read, records of a large deployment)
#: and for memory that the allocators do not give back.
HELD_FRACTION = 0.5

#: The part of the whole limit, and the bytes, that may be held at least, as a
#: process with hardly more than ``REST_BYTES`` still has to serve.
LEAST_FRACTION = 0.5
LEAST_BYTES = 4_194_304

#: The part of the budget that only small holders may use, so that large ones
#: never keep out an ordinary request, and the most that these hold, in bytes.
SMALL_SHARE = 0.125
SMALL_BYTES = 131_072

#: The part of the budget that is freed at once when it is short, so that
#: victims are not searched for again at each block.
ROOM_SHARE = 0.03125

#: The memory of an open connection, in bytes: its task, socket and parser.
CONNECTION_BYTES = 24_576

#: Added to the time without progress, in seconds, so that among connections
#: that have just sent something the largest ends first.
PROGRESS_SECONDS = 0.1

End = collections.abc.Callable[[], None]


class ByteBudget:
    """Counts bytes against a limit.

    Attributes:
        used: The reserved bytes.
    """

    def __init__(
        self,
        limit: int,
        parent: 'MemoryBudget | None' = None,
        weight: int = 1,
    ) -> None:
        """Start with nothing reserved.

        Args:
            limit: The most bytes; 0 for no limit.
            parent: The budget of the process, of which this one is a part;
                ``None`` for none.
            weight: The bytes of memory that a reserved byte takes, as copies
                are made of it.
        """
        self.used = 0
        self._limit = limit
        self._parent = parent
        self._weight = weight

    def reserve(self, size: int) -> bool:
        """Reserve bytes.

        Args:
            size: The number of bytes.

        Returns:
            Whether they fit; if not, none was reserved.
        """
        if self._limit and self.used + size > self._limit:
            return False
        if self._parent and not self._parent.reserve(size * self._weight):
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes.

        Args:
            size: The number of bytes.
        """
        self.used -= size
        if self._parent:
            self._parent.release(size * self._weight)


class Reservation:
    """The bytes that one answer has reserved."""

    def __init__(self, source: ByteBudget) -> None:
        """Start with nothing reserved.

        Args:
            source: The budget.
        """
        self._source = source
        self._size = 0

    def extend(self, size: int) -> bool:
        """Reserve more bytes, unless as many are reserved already.

        Args:
            size: The number of bytes that are needed in all.

        Returns:
            Whether they fit; if not, none was reserved.
        """
        missing = size - self._size
        if missing <= 0:
            return True
        if not self._source.reserve(missing):
            return False
        self._size = size
        return True

    def release(self) -> None:
        """Release the reserved bytes."""
        self._source.release(self._size)
        self._size = 0


class Holding:
    """What one connection holds of the memory budget.

    Attributes:
        size: The bytes that it holds.
        progressed: The monotonic time at which it last got on.
        end: Ends the connection without blocking; ``None`` while it must not
            be ended, as a request of it runs.
    """

    def __init__(self, source: 'MemoryBudget', end: End | None) -> None:
        """Start with nothing.

        Args:
            source: The budget.
            end: Ends the connection without blocking.
        """
        self.size = 0
        self.progressed = clock.read_monotonic()
        self.end = end
        self._source = source

    def resize(self, size: int) -> bool:
        """Hold more or fewer bytes.

        Others may be ended for that.

        Args:
            size: The number of bytes that are held from now on.

        Returns:
            Whether they fit; if not, the holding is unchanged.
        """
        missing = size - self.size
        if missing > 0 and not self._source.take(missing, self, size):
            return False
        if missing < 0:
            self._source.release(-missing)
        self.size = size
        return True

    def compute_loss(self, size: int = 0) -> float:
        """Compute what the others lose while this connection is kept.

        Args:
            size: The bytes that it holds; 0 for those that it has reserved.

        Returns:
            The bytes times the seconds without progress. That an idle
            connection is open counts little.
        """
        waited = clock.read_monotonic() - self.progressed + PROGRESS_SECONDS
        return max((size or self.size) - CONNECTION_BYTES, 1) * waited

    def finish(self) -> None:
        """Release all and end the connection."""
        end = self.end
        self.close()
        metric.ENDED_CONNECTIONS.labels('memory').inc()
        end()

    def close(self) -> None:
        """Release all; may be called again."""
        self._source.forget(self)


class MemoryBudget:
    """The bytes that all connections of a process may hold together.

    Attributes:
        limit: The most bytes; 0 for no limit.
        used: The bytes that are held.
    """

    def __init__(self, memory_bytes: int) -> None:
        """Derive the limit from that of the process.

        Args:
            memory_bytes: The memory limit of the process; 0 for none.
        """
        self.limit = max(
            int((memory_bytes - REST_BYTES) * HELD_FRACTION),
            min(int(memory_bytes * LEAST_FRACTION), LEAST_BYTES),
        )
        self.used = 0
        self._holdings: set[Holding] = set()

    def open(self, end: End | None = None) -> Holding:
        """Add a connection, which holds nothing at first.

        Args:
            end: Ends the connection without blocking.

        Returns:
            Its holding, to be closed with the connection.
        """
        holding = Holding(self, end)
        self._holdings.add(holding)
        return holding

    def forget(self, holding: Holding) -> None:
        """Remove a connection and release what it holds.

        Args:
            holding: Its holding.
        """
        self._holdings.discard(holding)
        self.release(holding.size)
        holding.size = 0
        holding.end = None

    def reserve(self, size: int) -> bool:
        """Reserve bytes for no connection.

        Args:
            size: The number of bytes.

        Returns:
            Whether they fit; if not, none was reserved.
        """
        return self.take(size, None, size)

    def take(self, missing: int, asker: Holding | None, size: int) -> bool:
        """Reserve bytes, and end connections if there are not enough.

        Args:
            missing: The number of bytes.
            asker: The holding that grows; ``None`` for another use.
            size: The bytes that it holds then.

        Returns:
            Whether they fit; if not, none was reserved.
        """
        limit = self.limit
        if limit and size > SMALL_BYTES:
            limit -= int(limit * SMALL_SHARE)
        if limit and self.used + missing > limit:
            excess = self.used + missing - limit
            self._make_room(excess, asker, size)
            if self.used + missing > limit:
                return False
        self.used += missing
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes.

        Args:
            size: The number of bytes.
        """
        self.used -= size

    def _make_room(self, excess: int, asker: Holding | None, size: int) -> None:
        # The asker itself may be the one that gains least; then it is refused
        # and the others stay.
        own_loss: float = 0
        if asker and asker.end:
            own_loss = asker.compute_loss(size)
        victims = sorted(
            (holding for holding in self._holdings if holding.end),
            key=Holding.compute_loss,
            reverse=True,
        )
        wanted = excess + int(self.limit * ROOM_SHARE)
        for victim in victims:
            if wanted <= 0 or victim.compute_loss() < own_loss:
                return
            if victim is not asker:
                wanted -= victim.size
                victim.finish()
