"""Requests that break the connection of each back end that runs them."""

import collections
import dataclasses

from pimentoway.core import clock

#: The back ends that one request may break before it is refused.
BREAKS = 3

#: Seconds for which a request is refused after the last break.
BLOCK_SECONDS = 120

#: Seconds after which a break is forgotten if no other follows.
MEMORY_SECONDS = 60

#: The requests that are remembered.
KEPT_REQUESTS = 2000


@dataclasses.dataclass
class _Breaks:
    engines: set[str]
    last: float


class CrashLedger:
    """Counts the back ends that broke under the same request.

    Unlike ``suspect.SuspectTable`` it blocks nothing on one break: here a
    connection may also break without a crash, and what one broken connection
    says must not refuse a page that many callers ask for.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._breaks_by_request: collections.OrderedDict[int, _Breaks] = (
            collections.OrderedDict()
        )

    def note_break(self, fingerprint: int, engine: str) -> int:
        """Note that a back end broke under a request.

        Args:
            fingerprint: The fingerprint of the request.
            engine: The back end.

        Returns:
            The back ends that broke under it so far.
        """
        now = clock.read_monotonic()
        known = self._breaks_by_request.get(fingerprint)
        if known is None or now - known.last > MEMORY_SECONDS:
            known = _Breaks(set(), now)
        known.engines.add(engine)
        known.last = now
        self._breaks_by_request[fingerprint] = known
        self._breaks_by_request.move_to_end(fingerprint)
        if len(self._breaks_by_request) > KEPT_REQUESTS:
            self._breaks_by_request.popitem(last=False)
        return len(known.engines)

    def note_answer(self, fingerprint: int) -> None:
        """Note that a back end answered a request, which clears it.

        Args:
            fingerprint: The fingerprint of the request.
        """
        self._breaks_by_request.pop(fingerprint, None)

    def measure_block(self, fingerprint: int) -> float:
        """Tell for how long a request is refused.

        Args:
            fingerprint: The fingerprint of the request.

        Returns:
            The seconds; 0 if it may run.
        """
        known = self._breaks_by_request.get(fingerprint)
        if known is None or len(known.engines) < BREAKS:
            return 0
        return max(0, known.last + BLOCK_SECONDS - clock.read_monotonic())
