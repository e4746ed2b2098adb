"""The evidence on a new version: is it good, is it bad, or can nobody tell?

Two tests run side by side on the same answers. A version is good once Wald's
sequential test favours the usual rate of bad answers over one several times as
high; answers in a disturbed window, or beside one, can speak for it, but not
against it. A version is bad once a CUSUM favours a rate several times as high
as the current one of the version in use, which includes the trouble that both
share.
"""

import collections
import math

from pimentoway.ops import baseline, verdict

#: The odds against a bad version from which on a version counts as good.
GOOD_ODDS = 1000

#: The odds for a bad version on one route from which on the answers on other
#: routes don't outweigh it.
ROUTE_ODDS = 30

#: The odds from which on the answers speak for or against a version, though
#: they don't decide the test.
LEANING_ODDS = 4

#: The rate of a bad version, relative to the usual one, that a good version
#: must be told from.
BAD_FACTOR = 3

#: The route name under which all routes of a service are counted together.
ALL_ROUTES = ''


class VersionEvidence:
    """The evidence on one version.

    Attributes:
        count_by_route: All its answers, compared with what is usual; with
            those of ``ALL_ROUTES``.
    """

    def __init__(self, usual: baseline.Baseline) -> None:
        """Start without evidence.

        Args:
            usual: The answers of the version in use.
        """
        self._baseline = usual
        self.count_by_route: dict[str, verdict.AnswerCount] = (
            collections.defaultdict(verdict.AnswerCount)
        )
        self._open_by_route: dict[str, verdict.AnswerCount] = (
            collections.defaultdict(verdict.AnswerCount)
        )
        # Log-likelihood ratios: positive ones speak for a bad version.
        self._calm_by_route: dict[str, float] = collections.defaultdict(float)
        self._disturbed: float = 0
        # What the latest window added, if it speaks for a bad version.
        self._latest: dict[str, float] = {}
        self._was_disturbed = False
        self._score_by_route: dict[str, float] = collections.defaultdict(float)

    def note(self, route: str, bad: bool, bad_now: bool) -> None:
        """Count an answer.

        Args:
            route: The name of the route.
            bad: Whether it was bad, compared with what is usual.
            bad_now: Whether it was bad, compared with other answers at the
                same time.
        """
        added = verdict.AnswerCount(int(not bad), int(bad))
        self._open_by_route[route].add(added)
        current = self._baseline.measure_current(route)
        step = verdict.compute_log_likelihood(
            current, verdict.AnswerCount(int(not bad_now), int(bad_now))
        )
        # A version may fail often on one route, or rarely on all of them.
        for name in (route, ALL_ROUTES):
            self.count_by_route[name].add(added)
            self._score_by_route[name] = max(
                0, self._score_by_route[name] + step
            )

    def close_window(self, disturbed: bool) -> None:
        """Apply the answers since the last window of the baseline.

        Args:
            disturbed: Whether the window was.
        """
        ratios = {
            route: self._compare(route, count)
            for route, count in self._open_by_route.items()
        }
        self._open_by_route.clear()
        if disturbed:
            self._disturbed += sum(ratios.values())
            self._apply(
                {route: -ratio for route, ratio in self._latest.items()}
            )
            self._latest = {}
        elif not self._was_disturbed or sum(ratios.values()) <= 0:
            self._apply(ratios)
            # Trouble may have begun in a window that looks calm.
            self._latest = ratios if sum(ratios.values()) > 0 else {}
        self._was_disturbed = disturbed

    def favours_good(self, odds: float) -> bool:
        """Tell whether the version counts as good.

        Args:
            odds: The odds that the evidence must reach.

        Returns:
            Whether all answers together speak for it at these odds, and those
            of no route speak against it.
        """
        worst = max(self._calm_by_route.values(), default=0)
        return (
            self.measure() <= -math.log(odds)
            and worst < math.log(ROUTE_ODDS)
            and not self.is_held()
        )

    def favours_bad(self) -> bool:
        """Tell whether the version is more likely bad than good.

        Returns:
            Whether the answers in calm windows speak against it.
        """
        calm = sum(self._calm_by_route.values())
        return calm + min(0, self._disturbed) >= math.log(LEANING_ODDS)

    def measure(self) -> float:
        """Measure the evidence by which a version is found good.

        Returns:
            The natural logarithm of the odds that the version is bad.
        """
        latest = sum(
            self._compare(route, count)
            for route, count in self._open_by_route.items()
        )
        calm = sum(self._calm_by_route.values())
        return calm + min(0, self._disturbed) + max(0, latest)

    def find_bad_route(self) -> str | None:
        """Find a route on which the version is bad.

        Returns:
            The route, or ``ALL_ROUTES``; nothing if it is not bad.
        """
        for route, score in self._score_by_route.items():
            if score >= verdict.compute_threshold():
                return route
        return None

    def measure_score(self) -> float:
        """Measure the evidence by which a version is found bad.

        Returns:
            The highest score of a route, or of all of them.
        """
        return max(self._score_by_route.values(), default=0)

    def is_held(self) -> bool:
        """Tell whether nothing can be learnt at the moment.

        Returns:
            Whether the version in use is disturbed, and the new one is no
            better.
        """
        if not self._baseline.is_disturbed():
            return False
        latest = sum(
            self._compare(route, count)
            for route, count in self._open_by_route.items()
        )
        return self._disturbed + latest > 0

    def _apply(self, ratio_by_route: dict[str, float]) -> None:
        for route, ratio in ratio_by_route.items():
            self._calm_by_route[route] += ratio

    def _compare(self, route: str, count: verdict.AnswerCount) -> float:
        usual = self._baseline.measure_usual(route)
        return verdict.compute_log_likelihood(usual, count, BAD_FACTOR)
