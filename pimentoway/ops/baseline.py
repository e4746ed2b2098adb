"""What is usual at a service: the rates of bad answers and the speeds.

The answers of the version in use are grouped into windows of time. Windows in
which they were bad far more often than in the calmest ones are disturbed, and
tell nothing of what is usual. So trouble that is over, or that goes on, does
not count as usual, as long as some of the remembered windows were calm.
"""

import collections
import dataclasses
import math

from pimentoway.core import clock
from pimentoway.ops import slot, verdict

#: A window ends after this many seconds if it has ``MIN_ANSWERS`` answers, and
#: after ``MAX_WINDOW_SECONDS`` in any case.
WINDOW_SECONDS = 1.0
MAX_WINDOW_SECONDS = 4.0
MIN_ANSWERS = 20

#: The windows that are remembered.
WINDOWS = 40

#: The fraction of the windows that must have been calm to tell what is usual.
CALM_FRACTION = 0.25

#: The highest rate of bad answers that counts as usual. A service that fails
#: more often is no measure of a version.
MAX_USUAL_RATE = 0.2

#: The highest current rate of bad answers that a good version may share.
MAX_CURRENT_RATE = 0.9

#: The standard deviations, and the bad answers beyond them, by which a
#: disturbed window exceeds the usual rate.
DISTURBED_DEVIATIONS = 3.0
DISTURBED_ANSWERS = 2

#: The answers that a rate with more evidence counts for in one with less.
PRIOR_ANSWERS = 10

#: Seconds for which the latest window describes the present.
CURRENT_SECONDS = 3.0

#: The weight of a new sample in the moving averages.
SMOOTHING = 0.05

#: The time until the first event counts as the time for this many events.
FIRST_EVENT_WEIGHT = 4


@dataclasses.dataclass(frozen=True)
class Speed:
    """Averages of the speed of answers.

    Attributes:
        event_seconds: Seconds for an event, where the first one counts
            ``FIRST_EVENT_WEIGHT`` times.
        first_seconds: Seconds to the first event.
        gap_seconds: Seconds between events.
    """

    event_seconds: float = 0
    first_seconds: float = 0
    gap_seconds: float = 0

    def blend(self, other: 'Speed', weight: float) -> 'Speed':
        """Move towards another speed.

        Args:
            other: The other speed.
            weight: Its weight, from 0 to 1.

        Returns:
            The weighted average.
        """
        return Speed(
            self.event_seconds
            + weight * (other.event_seconds - self.event_seconds),
            self.first_seconds
            + weight * (other.first_seconds - self.first_seconds),
            self.gap_seconds + weight * (other.gap_seconds - self.gap_seconds),
        )

    def estimate_seconds(self, report: slot.Report) -> float:
        """Estimate how long a run should have lasted up to now.

        Args:
            report: The report on the run, which tells its events.

        Returns:
            The seconds until its end, or until the event after the last one
            if it did not end.
        """
        if report.outcome in slot.UNFINISHED_OUTCOMES:
            return self.first_seconds + report.events * self.gap_seconds
        return self.event_seconds * (FIRST_EVENT_WEIGHT + report.events)


@dataclasses.dataclass(slots=True)
class _RouteWindow:
    # The answers on one route in a window: their numbers, and the sums of the
    # speeds of those that were timed.
    count: verdict.AnswerCount = dataclasses.field(
        default_factory=verdict.AnswerCount
    )
    timed: int = 0
    event_seconds: float = 0
    first_seconds: float = 0
    gap_seconds: float = 0

    def add_speed(self, speed: Speed) -> None:
        self.timed += 1
        self.event_seconds += speed.event_seconds
        self.first_seconds += speed.first_seconds
        self.gap_seconds += speed.gap_seconds

    def merge(self, other: '_RouteWindow') -> None:
        self.count.add(other.count)
        self.timed += other.timed
        self.event_seconds += other.event_seconds
        self.first_seconds += other.first_seconds
        self.gap_seconds += other.gap_seconds

    def measure_speed(self) -> Speed:
        return Speed(
            self.event_seconds / self.timed,
            self.first_seconds / self.timed,
            self.gap_seconds / self.timed,
        )


@dataclasses.dataclass(slots=True)
class _Window:
    # The answers of a span of time.
    started: float
    by_route: dict[str, _RouteWindow] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(_RouteWindow)
    )
    count: verdict.AnswerCount = dataclasses.field(
        default_factory=verdict.AnswerCount
    )

    def merge(self, other: '_Window') -> None:
        self.count.add(other.count)
        for route, entry in other.by_route.items():
            self.by_route[route].merge(entry)

    def is_disturbed(self, usual: float) -> bool:
        total = self.count.total
        expected = usual * total
        deviation = math.sqrt(expected * (1 - usual))
        excess = DISTURBED_DEVIATIONS * deviation + DISTURBED_ANSWERS
        return self.count.bad > expected + excess


class Baseline:
    """The answers of the version in use of one service."""

    def __init__(self) -> None:
        """Start without answers."""
        self._open = _Window(clock.read_monotonic())
        self._windows: collections.deque[_Window] = collections.deque(
            maxlen=WINDOWS
        )
        self._speed_by_route: dict[str, Speed] = {}
        self._latest: _Window | None = None
        self._calm_rate = verdict.MIN_BASE_RATE
        self._is_kept = False
        # What the calm windows show; nothing if it has to be computed anew.
        self._usual: _Window | None = None

    def keep_usual(self) -> None:
        """Keep what is usual now, as a version is judged from now on.

        Until ``release_usual``, disturbed windows are not remembered, however
        many there are.
        """
        self._is_kept = bool(self._windows)

    def release_usual(self) -> None:
        """Let what is usual follow the answers again."""
        self._is_kept = False

    def note(
        self, route: str, report: slot.Report, bad: bool, timed: bool
    ) -> None:
        """Count an answer.

        Args:
            route: The name of the route.
            report: The report on the run.
            bad: Whether it was bad, compared with what is usual.
            timed: Whether the back end is warm, so that its speed counts.
        """
        added = verdict.AnswerCount(int(not bad), int(bad))
        self._open.count.add(added)
        entry = self._open.by_route[route]
        entry.count.add(added)
        if timed and report.outcome is slot.Outcome.answered:
            speed = measure_speed(report)
            known = self._speed_by_route.setdefault(route, speed)
            self._speed_by_route[route] = known.blend(speed, SMOOTHING)
            entry.add_speed(speed)

    def close_window(self) -> bool | None:
        """Close the window if it is due.

        Returns:
            Whether it was disturbed; nothing if it is still open.
        """
        now = clock.read_monotonic()
        lasted = now - self._open.started
        if lasted < WINDOW_SECONDS:
            return None
        if self._open.count.total < MIN_ANSWERS and lasted < MAX_WINDOW_SECONDS:
            return None
        closed = self._open
        self._latest = closed
        self._open = _Window(now)
        kept = self._is_kept
        remembered = not kept or not closed.is_disturbed(self._calm_rate)
        if closed.count.total and remembered:
            self._windows.append(closed)
            self._usual = None
        if not kept:
            self._calm_rate = self._measure_calm_rate()
        return closed.is_disturbed(self._calm_rate)

    def is_disturbed(self) -> bool:
        """Tell whether the answers are bad more often than usual right now.

        Returns:
            Whether the open window is disturbed, or is so together with the
            one before it.
        """
        if self._open.is_disturbed(self._calm_rate):
            return True
        recent = _Window(self._open.started)
        for window in self._list_recent():
            recent.count.add(window.count)
        return recent.is_disturbed(self._calm_rate)

    def measure_usual(self, route: str) -> float:
        """Measure the usual rate of bad answers.

        Args:
            route: The name of the route.

        Returns:
            The rate, at most ``MAX_USUAL_RATE``.
        """
        usual = self._find_usual()
        rate = usual.count.measure_rate(0, 0)
        entry = usual.by_route.get(route)
        if entry:
            rate = entry.count.measure_rate(rate, PRIOR_ANSWERS)
        return min(MAX_USUAL_RATE, max(verdict.MIN_BASE_RATE, rate))

    def measure_current(self, route: str) -> float:
        """Measure the rate of bad answers right now.

        Args:
            route: The name of the route.

        Returns:
            The rate, at least the usual one and at most ``MAX_CURRENT_RATE``.
        """
        usual = self.measure_usual(route)
        service = self._find_usual().count.measure_rate(0, 0)
        current = _Window(self._open.started)
        for window in self._list_recent():
            current.count.add(window.count)
            entry = window.by_route.get(route)
            if entry:
                current.by_route[route].merge(entry)
        excess = current.count.measure_rate(service, PRIOR_ANSWERS) - service
        own = current.by_route[route].count.measure_rate(usual, PRIOR_ANSWERS)
        return min(MAX_CURRENT_RATE, usual + max(0, excess, own - usual))

    def is_slow(self, route: str, report: slot.Report, ratio: float) -> bool:
        """Tell whether a run lasted longer than usual.

        Args:
            route: The name of the route.
            report: The report on the run.
            ratio: The duration relative to the usual one from which on it
                counts as slow.

        Returns:
            Whether it did; not so while the usual speed is unknown.
        """
        by_route = self._find_usual().by_route
        entry = by_route.get(route)
        if entry and entry.timed:
            usual = entry.measure_speed().estimate_seconds(report)
            return report.total_seconds > ratio * usual
        return self.is_slow_now(route, report, ratio)

    def is_slow_now(
        self, route: str, report: slot.Report, ratio: float
    ) -> bool:
        """Tell whether a run lasted longer than others at the same time.

        Args:
            route: The name of the route.
            report: The report on the run.
            ratio: The relative duration from which on it counts as slow.

        Returns:
            Whether it did; not so while no other answer is known.
        """
        if route not in self._speed_by_route:
            return False
        current = self._speed_by_route[route].estimate_seconds(report)
        return report.total_seconds > ratio * current

    def _list_recent(self) -> list[_Window]:
        # The open window, and the one before it if it ended a moment ago.
        ended = self._open.started
        if self._latest and clock.read_monotonic() - ended <= CURRENT_SECONDS:
            return [self._open, self._latest]
        return [self._open]

    def _find_usual(self) -> _Window:
        if self._usual is None:
            self._usual = _Window(0)
            for window in self._windows:
                if not window.is_disturbed(self._calm_rate):
                    self._usual.merge(window)
        return self._usual

    def _measure_calm_rate(self) -> float:
        rates = sorted(
            window.count.measure_rate(0, 0) for window in self._windows
        )
        calm = rates[int((len(rates) - 1) * CALM_FRACTION)] if rates else 0
        return min(MAX_USUAL_RATE, max(verdict.MIN_BASE_RATE, calm))


def measure_speed(report: slot.Report) -> Speed:
    """Measure the speed of a complete answer.

    Args:
        report: The report on the run.

    Returns:
        The speed.
    """
    gap = (report.total_seconds - report.first_seconds) / max(report.events, 1)
    return Speed(
        report.total_seconds / (FIRST_EVENT_WEIGHT + report.events),
        report.first_seconds,
        gap,
    )
