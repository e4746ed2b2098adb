"""The requests that wait for a slot, and in which order they get one."""

import collections
import dataclasses

from pimentoway.core import clock
from pimentoway.ops import ask, station

#: How much more an answer of one tier is worth than one of the next tier.
#: The tiers of the deployments seen differ by a factor of two to seven for
#: the time of a slot.
RANK_RATIO = 3.0

#: What an answer after its goal is worth against one within it; the
#: deployments seen have 0.1 and 0.5.
LATE_PART = 0.3

#: The part of requests of a route that get a slot, against that of all
#: routes of the service, below which the route goes first.
GUARANTEED_PART = 0.5

#: The factor by which the counts of requests and starts fade each second.
FADING = 0.9

#: The seconds that a run is taken to last before one was seen.
DEFAULT_RUN_SECONDS = 0.4

#: The seconds to the first event before one was seen.
DEFAULT_FIRST_SECONDS = 0.15

#: The part of a new sample in moving averages.
SMOOTHING = 0.05


@dataclasses.dataclass(eq=False)
class Ticket:
    """A request that waits.

    Attributes:
        key: The node and the number of the ask.
        ask: The ask.
        arrived: When it came.
        goal: When its goal ends.
        deadline: When it is given up.
    """

    key: station.RunKey
    ask: ask.Ask
    arrived: float
    goal: float
    deadline: float


@dataclasses.dataclass
class Pattern:
    """What is known of the requests of one route.

    Attributes:
        run_seconds: How long a run takes, on the average.
        first_seconds: How long the first event takes.
        asked: The requests lately, fading.
        started: The starts lately, fading.
    """

    run_seconds: float = DEFAULT_RUN_SECONDS
    first_seconds: float = DEFAULT_FIRST_SECONDS
    asked: float = 0
    started: float = 0

    def measure_part(self) -> float:
        """Measure the part of the requests that got a slot.

        Returns:
            The part; 1 if there were none.
        """
        return self.started / self.asked if self.asked > 1 else 1.0


class Line:
    """The waiting requests of one service.

    Attributes:
        waiting_by_key: The requests.
        pattern_by_route: What is known of each route.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.waiting_by_key: dict[station.RunKey, Ticket] = {}
        self.pattern_by_route: dict[str, Pattern] = collections.defaultdict(
            Pattern
        )
        self._faded = clock.read_monotonic()

    def add(self, ticket: Ticket) -> None:
        """Let a request wait.

        Args:
            ticket: The request.
        """
        self.waiting_by_key[ticket.key] = ticket
        self.pattern_by_route[ticket.ask.route].asked += 1

    def note_start(self, ticket: Ticket) -> None:
        """Note that a request got a slot.

        Args:
            ticket: The request.
        """
        self.waiting_by_key.pop(ticket.key, None)
        self.pattern_by_route[ticket.ask.route].started += 1

    def note_run(self, route: str, report: ask.Report) -> None:
        """Learn from a whole answer.

        Args:
            route: The route.
            report: What became of the run.
        """
        pattern = self.pattern_by_route[route]
        pattern.run_seconds += SMOOTHING * (report.total - pattern.run_seconds)
        pattern.first_seconds += SMOOTHING * (
            report.first - pattern.first_seconds
        )

    def fade(self) -> None:
        """Let old counts fade."""
        now = clock.read_monotonic()
        factor = FADING ** (now - self._faded)
        self._faded = now
        for pattern in self.pattern_by_route.values():
            pattern.asked *= factor
            pattern.started *= factor

    def list_ordered(self) -> list[Ticket]:
        """List the waiting requests, the most urgent first.

        Returns:
            The requests.
        """
        if len(self.waiting_by_key) < 2:
            return list(self.waiting_by_key.values())
        short = self._find_short_routes()
        now = clock.read_monotonic()
        return sorted(
            self.waiting_by_key.values(),
            key=lambda ticket: (
                ticket.ask.route not in short,
                -self.measure_worth(ticket.ask, ticket.goal - now),
                ticket.goal,
            ),
        )

    def measure_worth(self, entry: ask.Ask, goal_left: float) -> float:
        """Measure what an answer is worth if the request starts now.

        Args:
            entry: The ask.
            goal_left: Seconds until its goal.

        Returns:
            The worth, relative to others.
        """
        first = self.pattern_by_route[entry.route].first_seconds
        part = LATE_PART if first > goal_left else 1
        return part * RANK_RATIO**-entry.rank

    def estimate_work(self, entry: ask.Ask) -> float:
        """Estimate the work that goes before a request.

        Args:
            entry: The ask of the request.

        Returns:
            Seconds of slots.
        """
        worth = self.measure_worth(entry, entry.goal_left)
        now = clock.read_monotonic()
        return sum(
            self.pattern_by_route[one.ask.route].run_seconds
            for one in self.waiting_by_key.values()
            if self.measure_worth(one.ask, one.goal - now) >= worth
        )

    def _find_short_routes(self) -> frozenset[str]:
        asked = sum(one.asked for one in self.pattern_by_route.values())
        started = sum(one.started for one in self.pattern_by_route.values())
        if not asked:
            return frozenset()
        floor = GUARANTEED_PART * started / asked
        return frozenset(
            route
            for route, pattern in self.pattern_by_route.items()
            if pattern.measure_part() < floor
        )
