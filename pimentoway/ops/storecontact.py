"""Whether the store answers this node, as its calls to the store show."""

import collections
import contextlib

import gevent

from pimentoway.core import clock, error, log, metric, registry

_LOG = log.Log('contact')


class WatchEndedError(error.PlatformError):
    """The node itself ended a watch, which it must begin anew."""


class StoreContact:
    """The answers and failures of this node's calls to the store.

    Attributes:
        connected_by_kind: Whether the node watches each kind and its last call
            succeeded.
        answered_at: The monotonic time of the last answer.
    """

    def __init__(self) -> None:
        """Start without an answer."""
        self.connected_by_kind = dict.fromkeys(registry.Kind, False)
        self.answered_at = float('-inf')
        self._watches: set[gevent.Greenlet] = set()

    def is_kept(self) -> bool:
        """Tell whether the node watches the store, as far as is known.

        Returns:
            Whether it watches all kinds and no last call failed.
        """
        return all(self.connected_by_kind.values())

    def has_answered_within(self, seconds: float) -> bool:
        """Tell whether the store has answered lately.

        Args:
            seconds: The time.

        Returns:
            Whether it has within that time.
        """
        return clock.read_monotonic() - self.answered_at < seconds

    def note_answer(self) -> None:
        """Record that the store has answered a call."""
        self.answered_at = clock.read_monotonic()

    def note_watched(self, kind: registry.Kind, is_connected: bool) -> None:
        """Record whether the node watches a kind and its last call succeeded.

        Args:
            kind: The kind.
            is_connected: Whether both hold.
        """
        if is_connected:
            self.note_answer()
        if self.connected_by_kind[kind] is not is_connected:
            self.connected_by_kind[kind] = is_connected
            metric.STORE_CONTACT.set(self.is_kept())

    @contextlib.contextmanager
    def wait(self) -> collections.abc.Generator[None, None, None]:
        """Let ``renew_watches`` end a call of the current task that waits.

        Yields:
            Nothing, while the call may be ended.
        """
        current = gevent.getcurrent()
        self._watches.add(current)
        try:
            yield
        finally:
            self._watches.discard(current)

    def renew_watches(self, reason: str) -> None:
        """End the calls that wait, and let them be made anew.

        A call that the store did not answer once may wait for nothing.

        Args:
            reason: The reason, for the log.
        """
        if not self._watches:
            return
        _LOG.write(
            'renews the watches.', watches=len(self._watches), reason=reason
        )
        for watch in tuple(self._watches):
            gevent.kill(watch, WatchEndedError(reason, 'watch'))
