"""When refused requests return, so that they get a slot then.

Each refusal for lack of slots reserves a place after the work that waits and
after the earlier reservations. A request that returns at its time goes before
new requests of its route and tier. One that returns early is treated as a new
request, and its reservation stays as it is.
"""

import dataclasses
import heapq

from pimentoway.core import clock, metric
from pimentoway.ops import slot

#: How much before its time a request may return, in seconds: clocks and the way
#: of the request differ from one caller to the next.
EARLY_SECONDS = 0.2

#: How long after its time a reservation is forgotten, in seconds. Until then, a
#: late caller still has its place, as nothing was kept idle for it.
FORGET_SECONDS = 2.0

#: The part of the rest of their time that callers wait before they return.
HONOURED_FRACTION = 1 / 3

#: The least time until a return, in seconds: a caller that is told less comes
#: back before the place is free.
MIN_RETURN_SECONDS = 0.15

#: How much beyond the honoured time a caller is told that has no place, in
#: seconds. It should not come back in vain.
BEYOND_SECONDS = 0.05

#: The longest time that a caller is told, in seconds.
MAX_TOLD_SECONDS = 30.0

#: The most reservations; further refusals reserve nothing.
MAX_RESERVATIONS = 20_000


@dataclasses.dataclass(frozen=True)
class Place:
    """What decides when a refused request may return.

    Attributes:
        lane: Identifies the requests that share the slots: the tier, and the
            customer if it is over its share, or else ''.
        wait: Seconds until the work that waits is done.
        run_seconds: The estimated run time of the request.
        slots: The slots that returning requests of the lane can use.
    """

    lane: tuple[int, str]
    wait: float
    run_seconds: float
    slots: float


@dataclasses.dataclass
class Reservation:
    """The place of a refused request.

    Attributes:
        due: When it should return, on the monotonic clock.
        is_claimed: Whether it has returned and waits for its slot.
    """

    due: float
    is_claimed: bool = False


class ReturnSchedule:
    """The reservations of a service."""

    def __init__(self) -> None:
        """Start without reservations."""
        self._reservation_by_request: dict[int, Reservation] = {}
        # By time. A place that was used or lost stays until then.
        self._ends: list[tuple[float, int]] = []
        # The time up to which the slots of a lane are reserved.
        self._reserved_until: dict[tuple[int, str], float] = {}

    def __len__(self) -> int:
        """Count the reservations.

        Returns:
            The number.
        """
        return len(self._reservation_by_request)

    def claim(self, request: slot.SlotRequest) -> bool:
        """Claim the place of a request that returns at its time.

        Copies of a request have one place.

        Args:
            request: The slot request.

        Returns:
            Whether it has a place now.
        """
        reservation = self._reservation_by_request.get(request.fingerprint)
        if reservation is None or reservation.is_claimed:
            return False
        late = clock.read_monotonic() - reservation.due
        reservation.is_claimed = -EARLY_SECONDS <= late <= FORGET_SECONDS
        return reservation.is_claimed

    def note_grant(self, request: slot.SlotRequest) -> None:
        """Use up the reservation of a request that got a slot.

        Args:
            request: The slot request.
        """
        reservation = self._reservation_by_request.pop(
            request.fingerprint, None
        )
        if reservation:
            end = 'kept' if reservation.is_claimed else 'early'
            metric.RESERVATIONS.labels(end).inc()

    def reserve(self, request: slot.SlotRequest, place: Place) -> float:
        """Reserve a place for a refused request, unless it has one.

        A place after the time for which its caller waits is not reserved: the
        caller is told a longer time than it would wait.

        Args:
            request: The slot request.
            place: What decides when it may return.

        Returns:
            The seconds after which it should return.
        """
        now = clock.read_monotonic()
        known = self._reservation_by_request.get(request.fingerprint)
        if known and not known.is_claimed:
            metric.RESERVATIONS.labels('repeated').inc()
            return max(known.due - now, MIN_RETURN_SECONDS)
        if known:
            # No slot became free while it waited.
            self._reservation_by_request.pop(request.fingerprint)
            metric.RESERVATIONS.labels('broken').inc()
        due = max(
            now + max(place.wait, MIN_RETURN_SECONDS),
            self._reserved_until.get(place.lane, 0),
        )
        honoured = request.time_left * HONOURED_FRACTION
        if due - now > honoured or len(self) >= MAX_RESERVATIONS:
            metric.RESERVATIONS.labels('none').inc()
            beyond = max(due - now, honoured + BEYOND_SECONDS)
            return min(beyond, MAX_TOLD_SECONDS)
        self._reservation_by_request[request.fingerprint] = Reservation(due)
        heapq.heappush(self._ends, (due + FORGET_SECONDS, request.fingerprint))
        self._extend(place, due, now)
        metric.RESERVATIONS.labels('made').inc()
        return due - now

    def expire(self) -> None:
        """Forget reservations whose requests did not return.

        Those of requests that returned and neither got a slot nor were refused
        for so long are forgotten, too: their callers have left.
        """
        now = clock.read_monotonic()
        while self._ends and self._ends[0][0] < now:
            self._forget(heapq.heappop(self._ends)[1], now)
        ended = [
            lane for lane, until in self._reserved_until.items() if until < now
        ]
        for lane in ended:
            self._reserved_until.pop(lane)

    def _forget(self, fingerprint: int, now: float) -> None:
        reservation = self._reservation_by_request.get(fingerprint)
        if reservation is None or reservation.due + FORGET_SECONDS > now:
            # It was used, or another one was made since.
            return
        self._reservation_by_request.pop(fingerprint)
        if not reservation.is_claimed:
            metric.RESERVATIONS.labels('missed').inc()

    def _extend(self, place: Place, due: float, now: float) -> None:
        # The work of a higher tier also delays what lower tiers reserve later.
        seconds = place.run_seconds / place.slots
        self._reserved_until[place.lane] = due + seconds
        rank, customer = place.lane
        if customer:
            return
        for lane, until in self._reserved_until.items():
            if lane[0] > rank and until > now:
                self._reserved_until[lane] = until + seconds
