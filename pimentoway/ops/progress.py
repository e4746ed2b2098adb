"""Rollouts at the broker: how much a new version gets, and what is decided.

A new version first gets a small share. Its answers are compared with those of
the old one, route by route, by the sequential test of ``verdict``. When enough
of them were good it gets more, then all; when the old version has nothing left
to do the rollout is complete. A version that is found bad gets nothing more at
once, whatever has been reported by then.
"""

import dataclasses
import enum

from pimentoway.core import clock, deployment, log, place
from pimentoway.ops import ask, enginestate, verdict, view

#: The share of a new version while little is known of it, as a part of the
#: share of requests that a bad version may get.
TRIAL_PART = 0.7

#: The share of a new version before it gets everything.
RAMP_SHARE = 0.3

#: The part of the allowed slack that a new version gets at once, so that
#: services with few requests see it too.
TRIAL_SLACK_PART = 0.4

#: The good answers that a version needs before its share is raised, and
#: before it gets everything; after a while few are enough where there are few.
RAMP_ANSWERS = 15
MOVE_ANSWERS = 30
LEAST_ANSWERS = 5

#: The parts of the promised time at which the share may be raised first, at
#: which the version may get everything, and at which it is completed even
#: though the old version is still at work.
RAMP_PART = 0.4
MOVE_PART = 0.55
FEW_PART = 0.7
LAST_PART = 0.9

#: Seconds for which a version carries everything before it is complete.
PROOF_SECONDS = 1.0

#: The pace, against the old version's, from which an answer counts as slow;
#: back ends of one version differ by less.
SLOW_RATIO = 3.0

#: Seconds after its start in which a back end may be slow.
WARMING_SECONDS = 4.0

#: Stands for all routes of a service together.
ALL_ROUTES = ''

#: The part of a new sample in the moving averages.
SMOOTHING = 0.05

#: The events that a run takes the time of before its first event.
FIRST_EVENTS = 4

_LOG = log.Log('rollout')


class State(enum.Enum):
    """What is reported of a rollout."""

    active = 'active'
    complete = 'complete'
    reverted = 'reverted'


@dataclasses.dataclass
class _Tally:
    """The answers of one version on one route.

    Attributes:
        count: The good and the bad answers.
        pace: The moving average of seconds for an event.
        score: How much speaks for the version being bad.
    """

    count: verdict.Count = dataclasses.field(default_factory=verdict.Count)
    pace: float = 0
    score: float = 0


@dataclasses.dataclass
class Progress:
    """A rollout as the broker sees it.

    Attributes:
        order: The order.
        started: When the broker first saw it.
        slack: The requests that the new version gets in addition.
        share: The share that the new version has.
        moved: When it got everything; 0 before.
        starts: The requests to the service since the order.
        new_starts: Those to the new version.
        condemned: Whether the version was found bad.
        tally_by_subject: The answers by whether the version is the new one,
            and by route.
    """

    order: deployment.Rollout
    started: float
    slack: float = 0
    share: float = 0
    moved: float = 0
    starts: int = 0
    new_starts: int = 0
    condemned: bool = False
    tally_by_subject: dict[tuple[bool, str], _Tally] = dataclasses.field(
        default_factory=dict,
    )

    def find_tally(self, new: bool, route: str) -> _Tally:
        """Find the tally of a version on a route.

        Args:
            new: Whether the version is the new one.
            route: The route.

        Returns:
            The tally.
        """
        return self.tally_by_subject.setdefault((new, route), _Tally())

    def has_room(self) -> bool:
        """Tell whether the new version has not got its share yet.

        Returns:
            Whether it may get one more request.
        """
        allowed = self.share * (self.starts + 1) + self.slack
        return self.new_starts + 1 <= allowed

    def count_good(self) -> int:
        """Count the good answers of the new version.

        Returns:
            The answers.
        """
        return sum(
            tally.count.good
            for (new, route), tally in self.tally_by_subject.items()
            if new and route == ALL_ROUTES
        )


class ProgressTable:
    """The rollouts of all services."""

    def __init__(self, bounds: place.Bounds, known: view.View) -> None:
        """Start with what a view knows.

        Args:
            bounds: The promises of the deployment.
            known: The view.
        """
        self._bounds = bounds
        self._view = known
        self._progress_by_service: dict[str, Progress] = {}
        self._versions_by_service: dict[str, set[str]] = {}

    def follow(self) -> None:
        """Follow a change of the view."""
        orders = self._view.rollouts_by_service
        for service in set(self._progress_by_service).difference(orders):
            self._progress_by_service.pop(service)
        for service, order in orders.items():
            held = self._progress_by_service.get(service)
            if held and held.order.identity == order.identity:
                held.order = order
            else:
                self._progress_by_service[service] = Progress(
                    order,
                    clock.read_monotonic(),
                    self._bounds.exposure_slack * TRIAL_SLACK_PART,
                )
        versions: dict[str, set[str]] = {}
        for engine in self._view.engines_by_name.values():
            if self._view.is_usable(engine):
                versions.setdefault(engine.service, set()).add(engine.version)
        self._versions_by_service = versions

    def allows(self, engine: deployment.Engine) -> bool:
        """Tell whether a back end may get one more request.

        Args:
            engine: The back end.

        Returns:
            Whether its version may.
        """
        held = self._progress_by_service.get(engine.service)
        if held is None:
            return True
        new = engine.version == held.order.version
        versions = self._versions_by_service.get(engine.service, set())
        if len(versions) < 2:
            # Only one version is there, so there is no choice.
            return not (new and held.condemned)
        if held.condemned or held.order.state == State.reverted.value:
            return not new
        if held.moved or held.order.state == State.complete.value:
            return new
        return not new or held.has_room()

    def prefer(
        self, service: str, allowed: list[enginestate.EngineState]
    ) -> list[enginestate.EngineState]:
        """Prefer the new version while it has not got its share.

        Args:
            service: The service.
            allowed: The back ends that may get the request.

        Returns:
            Those that should get it.
        """
        held = self._progress_by_service.get(service)
        if held is None:
            return allowed
        newer = [
            here
            for here in allowed
            if here.engine.version == held.order.version
        ]
        return newer or allowed

    def note_start(self, engine: deployment.Engine) -> None:
        """Count a request.

        Args:
            engine: The back end that gets it.
        """
        held = self._progress_by_service.get(engine.service)
        if held:
            held.starts += 1
            held.new_starts += engine.version == held.order.version

    def note_end(
        self, here: enginestate.EngineState, entry: ask.Ask, report: ask.Report
    ) -> None:
        """Learn from an answer.

        Args:
            here: The back end that gave it.
            entry: The ask.
            report: What became of the run.
        """
        held = self._progress_by_service.get(entry.service)
        if held is None:
            return
        new = here.engine.version == held.order.version
        tally = held.find_tally(new, entry.route)
        if report.outcome is ask.Outcome.failed:
            self._count(held, entry.route, new, bad=True)
        elif report.outcome is ask.Outcome.answered:
            pace = report.total / (FIRST_EVENTS + report.events)
            slow = new and self._is_slow(held, here, entry, pace)
            tally.pace += (
                SMOOTHING * (pace - tally.pace) if tally.pace else pace
            )
            self._count(held, entry.route, new, bad=slow)

    def decide(
        self, service: str, old_running: int
    ) -> tuple[Progress, State] | None:
        """Decide how a rollout goes on.

        Args:
            service: The service.
            old_running: The requests that the old version still runs.

        Returns:
            The rollout and what has to be reported of it, if anything.
        """
        held = self._progress_by_service.get(service)
        if held is None:
            return None
        state = held.order.state
        if state in {State.complete.value, State.reverted.value}:
            return None
        if held.condemned:
            return held, State.reverted
        self._raise_share(held)
        if self._is_complete(held, old_running):
            return held, State.complete
        return None if state else (held, State.active)

    def list_services(self) -> list[str]:
        """List the services that have a rollout.

        Returns:
            The services.
        """
        return list(self._progress_by_service)

    def _is_slow(
        self,
        held: Progress,
        here: enginestate.EngineState,
        entry: ask.Ask,
        pace: float,
    ) -> bool:
        if here.is_cold() or here.measure_age() < WARMING_SECONDS:
            return False
        usual = held.find_tally(False, entry.route).pace
        return bool(usual) and pace > SLOW_RATIO * usual

    def _count(self, held: Progress, route: str, new: bool, bad: bool) -> None:
        # A version may be bad on one route or a little on all of them.
        self._count_subject(held, route, new, bad)
        self._count_subject(held, ALL_ROUTES, new, bad)

    def _count_subject(
        self, held: Progress, route: str, new: bool, bad: bool
    ) -> None:
        tally = held.find_tally(new, route)
        news = verdict.Count(int(not bad), int(bad))
        tally.count.good += news.good
        tally.count.bad += news.bad
        if not new:
            return
        usual = held.find_tally(False, route).count.measure_rate()
        tally.score = max(0, tally.score + verdict.weigh(usual, news))
        if tally.score >= verdict.compute_threshold() and not held.condemned:
            held.condemned = True
            _LOG.write(
                'a version is bad.',
                service=held.order.service,
                version=held.order.version,
                route=route,
                good=tally.count.good,
                bad=tally.count.bad,
                usual=round(usual, 3),
                starts=held.new_starts,
            )

    def _raise_share(self, held: Progress) -> None:
        share = self._find_share(held)
        if share <= held.share:
            return
        held.share = share
        if share == 1:
            held.moved = clock.read_monotonic()
        _LOG.write(
            'a share is raised.',
            service=held.order.service,
            version=held.order.version,
            share=share,
            good=held.count_good(),
            starts=held.starts,
            new_starts=held.new_starts,
        )

    def _find_share(self, held: Progress) -> float:
        part = (clock.read_monotonic() - held.started) / held.order.seconds
        good = held.count_good()
        needed = LEAST_ANSWERS if part >= FEW_PART else MOVE_ANSWERS
        if part >= MOVE_PART and good >= needed:
            return 1
        if part >= RAMP_PART and good >= RAMP_ANSWERS:
            return RAMP_SHARE
        return self._bounds.exposure_share * TRIAL_PART

    def _is_complete(self, held: Progress, old_running: int) -> bool:
        if not held.moved:
            return False
        now = clock.read_monotonic()
        if now - held.moved < PROOF_SECONDS:
            return False
        part = (now - held.started) / held.order.seconds
        return not old_running or part >= LAST_PART
