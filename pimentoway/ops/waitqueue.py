"""The requests that wait for a slot, and in which order they get one.

A run can't be interrupted, and a slot holds for as long as its run lasts. So
what counts is the worth of an answer for each second of a slot. Requests of
more worth go first; those of less get only the slots that the others are
unlikely to need, but never less than a guaranteed part of what they ask for.
"""

import collections
import dataclasses
import math

from pimentoway.core import clock
from pimentoway.ops import ask, enginestate

#: How much more an answer of one tier is worth than one of the next tier.
#: The tiers of the deployments seen differ by a factor of two to three.
RANK_RATIO = 3.0

#: What an answer after its goal is worth against one within it; the
#: deployments seen have 0.1 and 0.5.
LATE_PART = 0.3

#: The part of an answer's worth that does not grow with the work that its
#: request asks for; the users value their answers so.
FIXED_PART = 0.3

#: How much more or less a request may be worth for each second of a slot than
#: a usual one of its route; a wider range would starve the long ones.
LARGEST_RATIO = 1.7

#: The part of the slots that a route asks for that it gets whatever others
#: ask for, and the part of all slots that this takes at the most. A route
#: served less than a quarter as often as all counts as starved; with no bound
#: long answers took half of all slots in a burst.
GUARANTEED_PART = 0.25
GUARANTEED_SLOTS_PART = 0.12

#: The part of the slots that stays free for each tier that a request is
#: below the highest, and the tiers that count: one slot of 24 for a tier, about
#: what comes free while an urgent request is on its way.
RESERVED_PART = 0.04
RESERVING_TIERS = 3

#: The factor by which counts of requests fade each second: bursts last for
#: some seconds.
FADING = 0.75

#: The seconds that a run is taken to last before one was seen: a long prompt
#: with a short answer at an engine of usual speed.
DEFAULT_RUN_SECONDS = 0.4

#: The seconds to the first event before one was seen.
DEFAULT_FIRST_SECONDS = 0.15

#: The part of a new sample in moving averages.
SMOOTHING = 0.05

#: The least time, in seconds, to which a run is compared, and the most that it
#: counts against a usual one.
LEAST_SECONDS = 0.001
LARGEST_PACE = 4.0

#: The least slots by which work is divided when a wait is estimated.
LEAST_SLOTS = 0.1


@dataclasses.dataclass(eq=False)
class Ticket:
    """A request that waits.

    Attributes:
        key: The node and the number of the ask.
        ask: The ask.
        arrived: When it came.
        goal: When its goal ends.
        deadline: When it is given up.
        patience: When its caller leaves if nothing came.
    """

    key: enginestate.RunKey
    ask: ask.Ask
    arrived: float
    goal: float
    deadline: float
    patience: float


@dataclasses.dataclass
class RouteStats:
    """What is known of the requests of one route.

    Attributes:
        rank: The tier of the last request.
        run_seconds: How long a run takes, on the average.
        first_seconds: How long the first event takes.
        token_seconds: How long a token of an answer takes, as estimated
            before; 0 while unknown.
        size: The work that a request asks for, on the average.
        event_seconds: How long an event of a stream takes; 0 while unknown.
        asked: The requests lately, fading.
        running: The requests that run.
    """

    rank: int = 0
    run_seconds: float = DEFAULT_RUN_SECONDS
    first_seconds: float = DEFAULT_FIRST_SECONDS
    token_seconds: float = 0
    size: float = 0
    asked: float = 0
    running: int = 0
    event_seconds: float = 0
    _tokens: float = 0
    _rest: float = 0

    def measure_load(self) -> float:
        """Measure the slots that the requests of the route ask for.

        Returns:
            The slots, on the average of the last seconds.
        """
        return self.asked * -math.log(FADING) * self.run_seconds

    def estimate_run(self, entry: ask.Ask) -> float:
        """Estimate how long a request runs.

        Args:
            entry: The ask.

        Returns:
            The seconds.
        """
        if not self.token_seconds or not entry.output_tokens:
            return self.run_seconds
        return self.first_seconds + entry.output_tokens * self.token_seconds

    def measure_worth(self, entry: ask.Ask, late: bool) -> float:
        """Measure what a second of a slot is worth if a request gets it.

        Args:
            entry: The ask.
            late: Whether the answer comes after its goal.

        Returns:
            The worth, relative to others.
        """
        part = LATE_PART if late else 1
        if self.size and entry.size:
            growing = (1 - FIXED_PART) * entry.size / self.size
            worth = FIXED_PART + growing
            ratio = worth * self.run_seconds / self.estimate_run(entry)
            part *= min(max(ratio, 1 / LARGEST_RATIO), LARGEST_RATIO)
        return part * self.measure_usual_worth()

    def measure_usual_worth(self) -> float:
        """Measure what a second of a slot is worth to a usual request.

        Returns:
            The worth, relative to others.
        """
        return RANK_RATIO**-self.rank / self.run_seconds

    def measure_pace(self, report: ask.Report) -> float:
        """Measure how long a run took against a usual one.

        Args:
            report: What became of the run.

        Returns:
            The ratio; 1 is usual, more is slower.
        """
        usual = self.run_seconds
        if report.events:
            usual = self.first_seconds + report.events * self.event_seconds
        return min(report.total / max(usual, LEAST_SECONDS), LARGEST_PACE)

    def learn(self, entry: ask.Ask, report: ask.Report) -> None:
        """Learn from a whole answer.

        Args:
            entry: The ask.
            report: What became of the run.
        """
        self.run_seconds += SMOOTHING * (report.total - self.run_seconds)
        self.first_seconds += SMOOTHING * (report.first - self.first_seconds)
        if report.events:
            pace = (report.total - report.first) / report.events
            known = self.event_seconds or pace
            self.event_seconds = known + SMOOTHING * (pace - known)
        if entry.output_tokens:
            # Both averages fade alike, so long answers weigh more.
            self._tokens += SMOOTHING * (entry.output_tokens - self._tokens)
            rest = report.total - report.first
            self._rest += SMOOTHING * (rest - self._rest)
            self.token_seconds = self._rest / self._tokens

    def count_guaranteed(self, slots: int) -> float:
        """Count the slots that the route gets whatever others ask for.

        Args:
            slots: The slots of the service.

        Returns:
            The slots.
        """
        return min(
            self.measure_load() * GUARANTEED_PART,
            slots * GUARANTEED_SLOTS_PART,
        )


class WaitQueue:
    """The waiting requests of one service.

    Attributes:
        waiting_by_key: The requests.
        stats_by_route: What is known of each route.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting_by_key: dict[enginestate.RunKey, Ticket] = {}
        self.stats_by_route: dict[str, RouteStats] = collections.defaultdict(
            RouteStats
        )
        self._faded = clock.read_monotonic()

    def note_ask(self, entry: ask.Ask) -> None:
        """Count a request, whether it may wait or not.

        Args:
            entry: The ask.
        """
        stats = self.stats_by_route[entry.route]
        stats.rank = entry.rank
        if entry.size:
            change = entry.size - (stats.size or entry.size)
            stats.size = (stats.size or entry.size) + SMOOTHING * change
        # One that comes back late does not compete with newcomers.
        if entry.goal_left > stats.first_seconds:
            stats.asked += 1

    def add(self, ticket: Ticket) -> None:
        """Let a request wait.

        Args:
            ticket: The request.
        """
        self.waiting_by_key[ticket.key] = ticket

    def fade(self) -> None:
        """Let old counts fade."""
        now = clock.read_monotonic()
        factor = FADING ** (now - self._faded)
        self._faded = now
        for stats in self.stats_by_route.values():
            stats.asked *= factor

    def list_ordered(self, slots: int) -> list[Ticket]:
        """List the waiting requests, the most urgent first.

        Args:
            slots: The slots of the service.

        Returns:
            The requests.
        """
        now = clock.read_monotonic()
        short = {
            route
            for route in self.stats_by_route
            if self._is_short(route, slots)
        }
        return sorted(
            self.waiting_by_key.values(),
            key=lambda ticket: self._make_key(ticket, now, short),
        )

    def may_start(self, route: str, slots: int, free: int) -> bool:
        """Tell whether a route may take one more slot.

        Args:
            route: The route.
            slots: The slots of the service.
            free: The free ones among them.

        Returns:
            Whether enough slots stay free for more urgent requests.
        """
        if self._is_short(route, slots):
            return True
        patterns = self.stats_by_route
        highest = min(stats.rank for stats in patterns.values())
        tiers = min(patterns[route].rank - highest, RESERVING_TIERS)
        return free > round(tiers * RESERVED_PART * slots)

    def list_hopeless(self, slots: int) -> list[tuple[Ticket, float]]:
        """List the waiting requests that won't be served in time.

        Args:
            slots: The slots of the service.

        Returns:
            The requests, each with the seconds that it would wait.
        """
        now = clock.read_monotonic()
        hopeless = []
        work: float = 0
        for ticket in self.list_ordered(slots):
            worth = self._measure_worth(ticket, now)
            stats = self.stats_by_route[ticket.ask.route]
            wait = self._divide(work, ticket.ask.route, worth, slots)
            if self._is_over(ticket, now + wait):
                hopeless.append((ticket, wait))
            else:
                work += stats.estimate_run(ticket.ask)
        return hopeless

    def estimate_wait(self, entry: ask.Ask, slots: int) -> float:
        """Estimate how long a new request would wait for a slot.

        Args:
            entry: The ask of the request.
            slots: The slots of the service.

        Returns:
            The seconds.
        """
        stats = self.stats_by_route[entry.route]
        late = stats.first_seconds > entry.goal_left
        worth = stats.measure_worth(entry, late)
        now = clock.read_monotonic()
        work = sum(
            self.stats_by_route[one.ask.route].estimate_run(one.ask)
            for one in self.waiting_by_key.values()
            if self._measure_worth(one, now) >= worth
        )
        return self._divide(work, entry.route, worth, slots)

    def _make_key(
        self, ticket: Ticket, now: float, short: set[str]
    ) -> tuple[bool, float, float]:
        route = ticket.ask.route
        if route not in short:
            return True, -self._measure_worth(ticket, now), ticket.goal
        # The guaranteed part is for all of a route, long ones included.
        worth = self.stats_by_route[route].measure_usual_worth()
        if self._is_late(ticket, now):
            worth *= LATE_PART
        return False, -worth, ticket.goal

    def _divide(
        self, work: float, route: str, worth: float, slots: int
    ) -> float:
        if not work:
            return 0
        # More urgent requests go on coming, and go first.
        urgent = sum(
            other.measure_load()
            for other in self.stats_by_route.values()
            if other.measure_usual_worth() > worth
        )
        guaranteed = self.stats_by_route[route].count_guaranteed(slots)
        return work / max(slots - urgent, guaranteed, LEAST_SLOTS)

    def _is_short(self, route: str, slots: int) -> bool:
        stats = self.stats_by_route[route]
        return stats.running < stats.count_guaranteed(slots)

    def _measure_worth(self, ticket: Ticket, now: float) -> float:
        stats = self.stats_by_route[ticket.ask.route]
        return stats.measure_worth(ticket.ask, self._is_late(ticket, now))

    def _is_late(self, ticket: Ticket, now: float) -> bool:
        first = self.stats_by_route[ticket.ask.route].first_seconds
        return now + first > ticket.goal

    def _is_over(self, ticket: Ticket, start: float) -> bool:
        stats = self.stats_by_route[ticket.ask.route]
        if start + stats.first_seconds > ticket.patience:
            return True
        return start + stats.first_seconds > ticket.deadline
