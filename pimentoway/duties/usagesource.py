"""What one run of a node has told a broker of its usage."""

import collections

from pimentoway.duties import truetime
from pimentoway.ops import slot

#: By how many windows counts may be ahead of the message's own time: an engine
#: can't have begun them, but a node may round differently.
MAX_WINDOWS_AHEAD = 1


class CustomerIndex:
    """Numbers the customers, so that their names are kept once.

    Attributes:
        names: The names, by number.
    """

    def __init__(self) -> None:
        """Start without customers."""
        self.names: list[str] = []
        self._number_by_name: dict[str, int] = {}

    def find_number(self, name: str) -> int:
        """Find the number of a customer.

        Args:
            name: The name of the customer.

        Returns:
            The number, which is given if the customer has none.
        """
        number = self._number_by_name.get(name)
        if number is None:
            number = len(self.names)
            self._number_by_name[name] = number
            self.names.append(name)
        return number


class UsageSource:
    """The counts of one requester, by its own time.

    Windows and intervals are the requester's own; ``shift`` is by how many
    intervals its time is ahead of true time.

    Attributes:
        attached: Whether the requester uses this broker.
        heard_at: When its last message came, in true time.
        complete: The counts of the intervals before this one are complete.
        since: The first interval that the counts cover; ``None`` before a
            message that held everything.
        shift: By how many intervals its time is ahead.
        time: Its own time in its last message.
        version: Grows with each count that grows.
        size: How many counts are kept, of an interval and a customer each.
    """

    def __init__(self, customers: CustomerIndex) -> None:
        """Start without counts.

        Args:
            customers: The numbers of the customers.
        """
        self.attached = False
        self.heard_at: float = 0
        self.complete = 0
        self.since: int | None = None
        self.shift = 0
        self.time: float = 0
        self.version = 0
        self.size = 0
        self._customers = customers
        self._current_window = 0
        # By window; the key holds the customer's number and the interval
        # within the window, as pairs would take three times the memory.
        self._counts_by_window: dict[int, dict[int, int]] = {}

    def attach(self) -> None:
        """Note that the requester uses this broker, from now on."""
        self.attached = True
        self.since = None

    def apply(
        self, update: slot.UsageUpdate, current: int, kept_windows: int
    ) -> None:
        """Take over a message.

        Messages may come late, repeated and out of order, as counts only grow.

        Args:
            update: The message.
            current: The interval of its own time.
            kept_windows: How many windows before the latest message's are kept.
        """
        self.time = max(self.time, update.time)
        self.complete = max(self.complete, update.complete)
        if update.since >= 0:
            known = update.since if self.since is None else self.since
            self.since = min(known, update.since)
        self.expire(current // truetime.INTERVALS, kept_windows)
        first = self._current_window - kept_windows
        last = self._current_window + MAX_WINDOWS_AHEAD
        for entry in update.entries:
            window, offset = divmod(entry.interval, truetime.INTERVALS)
            if first <= window <= last and entry.customer and entry.count > 0:
                self._merge(window, offset, entry)

    def expire(self, current_window: int, kept_windows: int) -> None:
        """Drop the counts of old windows.

        Args:
            current_window: The window of a message's own time.
            kept_windows: How many windows before the latest message's are kept.
        """
        if current_window > self._current_window:
            self._current_window = current_window
        self._drop_through(self._current_window - kept_windows - 1)

    def make_update(self) -> slot.UsageUpdate:
        """Make a message with all counts, for another broker.

        Returns:
            The message. It does not say what the counts cover, as only the
            requester itself makes a window known.
        """
        entries = tuple(
            slot.UsageEntry(
                window * truetime.INTERVALS + key % truetime.INTERVALS,
                self._customers.names[key // truetime.INTERVALS],
                count,
            )
            for window, counts in self._counts_by_window.items()
            for key, count in counts.items()
        )
        return slot.UsageUpdate(self.time, self.complete, entries)

    def find_first(self) -> int | None:
        """Find the first window with counts.

        Returns:
            The window of true time; ``None`` without counts.
        """
        if not self._counts_by_window:
            return None
        window = min(self._counts_by_window)
        offset = min(
            key % truetime.INTERVALS for key in self._counts_by_window[window]
        )
        interval = window * truetime.INTERVALS + offset
        return (interval - self.shift) // truetime.INTERVALS

    def find_known(self) -> int | None:
        """Find the first window that the requester counted as a whole.

        Returns:
            The window of true time; ``None`` if that is not known.
        """
        if self.since is None or not self.attached:
            return None
        return -((self.shift - self.since) // truetime.INTERVALS)

    def is_complete(self, window: int) -> bool:
        """Tell whether the requester's counts of a window are complete.

        Args:
            window: The window of true time.

        Returns:
            Whether they are.
        """
        end = (window + 1) * truetime.INTERVALS
        return self.complete - self.shift >= end

    def add_to(self, counts: collections.Counter[str], window: int) -> None:
        """Add the counts of a window to those of other requesters.

        Args:
            counts: The counts by customer, which grow.
            window: The window of true time.
        """
        start = window * truetime.INTERVALS + self.shift
        own_window, offset = divmod(start, truetime.INTERVALS)
        for key, count in self._counts_by_window.get(own_window, {}).items():
            number, within = divmod(key, truetime.INTERVALS)
            if within >= offset:
                counts[self._customers.names[number]] += count
        if not offset:
            return
        following = self._counts_by_window.get(own_window + 1, {})
        for key, count in following.items():
            number, within = divmod(key, truetime.INTERVALS)
            if within < offset:
                counts[self._customers.names[number]] += count

    def forget(self, through: int) -> None:
        """Drop the counts of windows that are not needed any more.

        Args:
            through: The last of these windows, of true time.
        """
        end = (through + 1) * truetime.INTERVALS + self.shift
        # A window of the requester's that reaches beyond the end is kept.
        self._drop_through(end // truetime.INTERVALS - 1)

    def _drop_through(self, last: int) -> None:
        stored = self._counts_by_window
        dropped = [window for window in stored if window <= last]
        for window in dropped:
            self.size -= len(stored.pop(window))

    def _merge(self, window: int, offset: int, entry: slot.UsageEntry) -> None:
        counts = self._counts_by_window.setdefault(window, {})
        number = self._customers.find_number(entry.customer)
        key = number * truetime.INTERVALS + offset
        before = counts.get(key, 0)
        self.size += not before
        if entry.count > before:
            self.version += 1
            counts[key] = entry.count
