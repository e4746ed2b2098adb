"""Requests that break the connection of each back end that runs them."""

import collections
import dataclasses

from pimentoway.core import clock

#: The number of back ends that one request may break before it is refused.
MAX_BROKEN_BACKENDS = 3

#: Seconds for which a request is refused after the last break.
BLOCK_SECONDS = 120

#: Seconds after the last break within which a further one adds to the count;
#: a later one starts it anew.
MEMORY_SECONDS = 60

#: The number of requests that are remembered; the oldest is dropped first.
MAX_REQUESTS = 2000


@dataclasses.dataclass
class _Breaks:
    """The back ends that broke under a request, and the last break's time."""

    engines: set[str]
    last_at: float


class CrashLedger:
    """Counts the back ends that broke under the same request.

    Unlike `quarantine.SuspectTable` it does not block after a single break. A
    connection may also break without a crash, and one broken connection must
    not block a request that many callers send.
    """

    def __init__(self) -> None:
        """Start without breaks."""
        self._breaks_by_request: collections.OrderedDict[int, _Breaks] = (
            collections.OrderedDict()
        )

    def record_break(self, fingerprint: int, engine: str) -> int:
        """Record that the connection to a back end broke under a request.

        Args:
            fingerprint: The fingerprint of the request.
            engine: The name of the back end.

        Returns:
            The number of different back ends that broke under it so far.
        """
        now = clock.read_monotonic()
        breaks = self._breaks_by_request.get(fingerprint)
        if breaks is None or now - breaks.last_at > MEMORY_SECONDS:
            breaks = _Breaks(set(), now)
        breaks.engines.add(engine)
        breaks.last_at = now
        self._breaks_by_request[fingerprint] = breaks
        self._breaks_by_request.move_to_end(fingerprint)
        if len(self._breaks_by_request) > MAX_REQUESTS:
            self._breaks_by_request.popitem(last=False)
        return len(breaks.engines)

    def record_answer(self, fingerprint: int) -> None:
        """Clear a request, as a back end has answered it.

        Args:
            fingerprint: The fingerprint of the request.
        """
        self._breaks_by_request.pop(fingerprint, None)

    def compute_block_seconds(self, fingerprint: int) -> float:
        """Compute for how long a request is still refused.

        Args:
            fingerprint: The fingerprint of the request.

        Returns:
            The seconds; 0 if it may run.
        """
        breaks = self._breaks_by_request.get(fingerprint)
        if breaks is None or len(breaks.engines) < MAX_BROKEN_BACKENDS:
            return 0
        return max(0, breaks.last_at + BLOCK_SECONDS - clock.read_monotonic())
