"""Canary rollouts at the broker: traffic shares of versions, and verdicts.

A new version first gets a small share of the requests. Its answers are
compared with those of the old version, by route and over all routes, by the
sequential test of ``verdict``. After enough good answers it gets a larger
share, then all requests; the rollout is complete when the old version has no
running request left. A version that the test finds bad gets no request from
then on, even before the result is reported.
"""

import dataclasses
import enum

from pimentoway.core import clock, deployment, log, nodesetting
from pimentoway.ops import enginestate, notice, slot, verdict, view

#: The first share of a new version, as a fraction of the share of requests
#: that a bad version may get.
FIRST_SHARE_FRACTION = 0.7

#: The share of a new version before it gets all requests.
RAMP_SHARE = 0.3

#: The fraction of the slack for bad versions that a new version gets at once,
#: so that it also gets requests if the service has only few.
FIRST_SLACK_FRACTION = 0.4

#: The good answers that a version needs before it gets ``RAMP_SHARE``, before
#: it gets all requests, and before it gets all requests late in the rollout
#: (see ``LATE_TIME_FRACTION``).
RAMP_ANSWERS = 15
FULL_ANSWERS = 30
MIN_ANSWERS = 5

#: The fractions of the time of a rollout from which the version may get
#: ``RAMP_SHARE``, from which it may get all requests, from which
#: ``MIN_ANSWERS`` suffice for this, and from which the rollout completes
#: although the old version still runs requests.
RAMP_TIME_FRACTION = 0.4
FULL_TIME_FRACTION = 0.55
LATE_TIME_FRACTION = 0.7
FORCED_TIME_FRACTION = 0.9

#: Seconds for which a version gets all requests before it is complete.
FULL_SHARE_SECONDS = 1.0

#: The time for an event, relative to the old version's, from which an answer
#: counts as slow; back ends of one version differ by less.
SLOW_RATIO = 3.0

#: Seconds after the broker first saw a back end in which slow answers don't
#: count.
WARMUP_SECONDS = 4.0

#: The route name under which all routes of a service are counted together.
ALL_ROUTES = ''

#: The weight of a new sample in the moving averages.
SMOOTHING = 0.05

#: The time until the first event counts as the time for this many events.
FIRST_EVENT_WEIGHT = 4

_LOG = log.Log('rollout')


class State(enum.Enum):
    """The state of a rollout that is reported to the platform."""

    active = 'active'
    complete = 'complete'
    reverted = 'reverted'


@dataclasses.dataclass
class _Tally:
    """The answers of one version on one route.

    Attributes:
        count: The good and the bad answers.
        event_seconds: The moving average of seconds for an event, where the
            first one counts ``FIRST_EVENT_WEIGHT`` times; 0 while unknown.
        first_seconds: The moving average of seconds to the first event; 0
            while unknown.
        gap_seconds: The moving average of seconds between events.
        score: The CUSUM of the evidence that the version is bad; 0 for the
            old version.
    """

    count: verdict.AnswerCount = dataclasses.field(
        default_factory=verdict.AnswerCount
    )
    event_seconds: float = 0
    first_seconds: float = 0
    gap_seconds: float = 0
    score: float = 0

    def record_times(self, report: slot.Report) -> None:
        """Update the averages after a complete answer.

        Args:
            report: The report on the run.
        """
        seconds = report.total_seconds / (FIRST_EVENT_WEIGHT + report.events)
        gap = (report.total_seconds - report.first_seconds) / max(
            report.events, 1
        )
        weight = SMOOTHING if self.event_seconds else 1
        self.event_seconds += weight * (seconds - self.event_seconds)
        self.first_seconds += weight * (
            report.first_seconds - self.first_seconds
        )
        self.gap_seconds += weight * (gap - self.gap_seconds)

    def estimate_next_event(self, events: int) -> float:
        """Estimate the time until the event after a number of events.

        Args:
            events: The events that came before it.

        Returns:
            The seconds since the request was sent.
        """
        return self.first_seconds + events * self.gap_seconds


@dataclasses.dataclass
class RolloutProgress:
    """The state of one rollout at the broker.

    Attributes:
        order: The operator's order.
        started: The monotonic time at which the broker first saw the order.
        slack: The requests that the new version may get beyond its share.
        share: The fraction of requests that the new version may get.
        full_share_since: The monotonic time at which it got all requests; 0
            before.
        starts: The requests to the service since ``started``.
        new_starts: Those of them to the new version.
        found_bad: Whether the new version was found bad.
        tally_by_subject: The answers by whether the version is the new one,
            and by route.
    """

    order: deployment.Rollout
    started: float
    slack: float = 0
    share: float = 0
    full_share_since: float = 0
    starts: int = 0
    new_starts: int = 0
    found_bad: bool = False
    tally_by_subject: dict[tuple[bool, str], _Tally] = dataclasses.field(
        default_factory=dict,
    )

    def find_tally(self, new: bool, route: str) -> _Tally:
        """Find the tally of a version on a route, or start an empty one.

        Args:
            new: Whether it is that of the new version.
            route: The name of the route, or ``ALL_ROUTES``.

        Returns:
            The tally.
        """
        return self.tally_by_subject.setdefault((new, route), _Tally())

    def is_below_share(self) -> bool:
        """Tell whether the new version may get the next request.

        Returns:
            Whether it stays within its share and slack with it.
        """
        allowed = self.share * (self.starts + 1) + self.slack
        return self.new_starts + 1 <= allowed

    def count_good(self) -> int:
        """Count the good answers of the new version.

        Returns:
            The answers on all routes.
        """
        return sum(
            tally.count.good
            for (new, route), tally in self.tally_by_subject.items()
            if new and route == ALL_ROUTES
        )


class RolloutTable:
    """The rollouts of all services."""

    def __init__(
        self,
        bounds: nodesetting.Bounds,
        registry_view: view.View,
        notices: notice.NoticeTable,
    ) -> None:
        """Start without rollouts; ``update`` reads them from the view.

        Args:
            bounds: The limits that the deployment promises.
            registry_view: The registry as this node knows it.
            notices: What the back ends announced of themselves.
        """
        self._notices = notices
        self._bounds = bounds
        self._view = registry_view
        self._progress_by_service: dict[str, RolloutProgress] = {}
        self._past_by_service: dict[str, RolloutProgress] = {}
        self._versions_by_service: dict[str, set[str]] = {}

    def update(self) -> None:
        """Apply a change of the registry view or of the notices.

        A new order for a service starts from the beginning. An order that is
        gone may come back, if the store was restored from a copy.
        """
        orders = self._view.rollouts_by_service
        for service in set(self._progress_by_service).difference(orders):
            past = self._progress_by_service.pop(service)
            self._past_by_service[service] = past
        for service, order in orders.items():
            rollout = self._progress_by_service.get(
                service, self._past_by_service.pop(service, None)
            )
            if rollout and rollout.order.identity == order.identity:
                rollout.order = order
                self._progress_by_service[service] = rollout
            else:
                self._progress_by_service[service] = RolloutProgress(
                    order,
                    clock.read_monotonic(),
                    self._bounds.exposure_slack * FIRST_SLACK_FRACTION,
                )
        versions: dict[str, set[str]] = {}
        for engine in self._view.engines_by_name.values():
            if self._notices.is_usable(engine):
                versions.setdefault(engine.service, set()).add(engine.version)
        self._versions_by_service = versions

    def allows(self, engine: deployment.Engine) -> bool:
        """Tell whether a back end's version may get the next request.

        Args:
            engine: The back end.

        Returns:
            Whether its version may get it; always so without a rollout.
        """
        rollout = self._progress_by_service.get(engine.service)
        if rollout is None:
            return True
        new = engine.version == rollout.order.version
        versions = self._versions_by_service.get(engine.service, set())
        if len(versions) < 2:
            # With one usable version, only a bad one is refused.
            return not (new and rollout.found_bad)
        if rollout.found_bad or rollout.order.state == State.reverted.value:
            return not new
        if (
            rollout.full_share_since
            or rollout.order.state == State.complete.value
        ):
            return new
        return not new or rollout.is_below_share()

    def prefer(
        self, service: str, allowed: list[enginestate.EngineState]
    ) -> list[enginestate.EngineState]:
        """Prefer the new version as long as it may get the next request.

        Args:
            service: The name of the service.
            allowed: The back ends that ``allows`` accepted.

        Returns:
            Those of the new version; all if there are none.
        """
        rollout = self._progress_by_service.get(service)
        if rollout is None:
            return allowed
        newer = [
            engine_state
            for engine_state in allowed
            if engine_state.engine.version == rollout.order.version
        ]
        return newer or allowed

    def note_start(self, engine: deployment.Engine) -> None:
        """Count a request.

        Args:
            engine: The back end that gets it.
        """
        rollout = self._progress_by_service.get(engine.service)
        if rollout:
            rollout.starts += 1
            rollout.new_starts += engine.version == rollout.order.version

    def note_end(
        self,
        engine_state: enginestate.EngineState,
        request: slot.SlotRequest,
        report: slot.Report,
    ) -> None:
        """Count an answer as good or bad.

        An error response is bad, and so is a slow answer of the new version.
        An answer that did not end counts only if it was slow already: if
        callers leave a slow version, its complete answers are the faster
        ones. Other outcomes are not counted.

        Args:
            engine_state: The back end that ran the request.
            request: The slot request.
            report: The outcome of the run.
        """
        rollout = self._progress_by_service.get(request.service)
        if rollout is None:
            return
        new = engine_state.engine.version == rollout.order.version
        if report.outcome is slot.Outcome.failed:
            self._count(rollout, request.route, new, bad=True)
            return
        slow = new and self._is_slow(rollout, engine_state, request, report)
        if report.outcome is slot.Outcome.answered:
            rollout.find_tally(new, request.route).record_times(report)
            self._count(rollout, request.route, new, bad=slow)
        elif slow and report.outcome in slot.UNFINISHED_OUTCOMES:
            self._count(rollout, request.route, new, bad=True)

    def decide(
        self, service: str, old_running: int
    ) -> tuple[RolloutProgress, State] | None:
        """Raise the share of the new version if due, and find its new state.

        Args:
            service: The name of the service.
            old_running: The requests that other versions still run.

        Returns:
            The rollout and the state that has to be reported; nothing if the
            reported state is still right.
        """
        rollout = self._progress_by_service.get(service)
        if rollout is None:
            return None
        order = rollout.order
        if order.state in {State.complete.value, State.reverted.value}:
            state = State(order.state)
        elif rollout.found_bad:
            state = State.reverted
        else:
            self._raise_share(rollout)
            state = State.active
            if self._is_complete(rollout, old_running):
                state = State.complete
        if order.state == state.value and order.reported:
            return None
        return rollout, state

    def list_services(self) -> list[str]:
        """List the services that have a rollout.

        Returns:
            The names of the services.
        """
        return list(self._progress_by_service)

    def _is_slow(
        self,
        rollout: RolloutProgress,
        engine_state: enginestate.EngineState,
        request: slot.SlotRequest,
        report: slot.Report,
    ) -> bool:
        if (
            engine_state.is_cold()
            or engine_state.measure_age() < WARMUP_SECONDS
        ):
            return False
        old = rollout.find_tally(False, request.route)
        if not old.event_seconds:
            return False
        if report.outcome in slot.UNFINISHED_OUTCOMES:
            usual = old.estimate_next_event(report.events)
        else:
            usual = old.event_seconds * (FIRST_EVENT_WEIGHT + report.events)
        return report.total_seconds > SLOW_RATIO * usual

    def _count(
        self, rollout: RolloutProgress, route: str, new: bool, bad: bool
    ) -> None:
        # A version may fail often on one route, or rarely on all of them.
        self._count_subject(rollout, route, new, bad)
        self._count_subject(rollout, ALL_ROUTES, new, bad)

    def _count_subject(
        self, rollout: RolloutProgress, route: str, new: bool, bad: bool
    ) -> None:
        tally = rollout.find_tally(new, route)
        added = verdict.AnswerCount(int(not bad), int(bad))
        tally.count.good += added.good
        tally.count.bad += added.bad
        if not new:
            return
        baseline = rollout.find_tally(False, route).count.measure_bad_rate()
        tally.score = max(
            0, tally.score + verdict.compute_log_likelihood(baseline, added)
        )
        if tally.score >= verdict.compute_threshold() and not rollout.found_bad:
            rollout.found_bad = True
            _LOG.write(
                'the new version is bad and gets no more requests.',
                service=rollout.order.service,
                version=rollout.order.version,
                route=route,
                **self._describe(rollout, route),
            )

    def _describe(
        self, rollout: RolloutProgress, route: str
    ) -> dict[str, object]:
        # What a decision on the rollout rests on.
        new = rollout.find_tally(True, route)
        old = rollout.find_tally(False, route)
        bounds = self._bounds
        allowed = bounds.exposure_share * rollout.starts + bounds.exposure_slack
        return {
            'good': new.count.good,
            'bad': new.count.bad,
            'old_good': old.count.good,
            'old_bad': old.count.bad,
            'usual': round(old.count.measure_bad_rate(), 3),
            'score': round(new.score, 2),
            'starts': rollout.starts,
            'new_starts': rollout.new_starts,
            'allowed': round(allowed, 1),
        }

    def _raise_share(self, rollout: RolloutProgress) -> None:
        share = self._find_share(rollout)
        if share <= rollout.share:
            return
        rollout.share = share
        if share == 1:
            rollout.full_share_since = clock.read_monotonic()
        _LOG.write(
            'raised the share of the new version.',
            service=rollout.order.service,
            version=rollout.order.version,
            share=share,
            **self._describe(rollout, ALL_ROUTES),
        )

    def _find_share(self, rollout: RolloutProgress) -> float:
        elapsed = (
            clock.read_monotonic() - rollout.started
        ) / rollout.order.seconds
        good = rollout.count_good()
        needed = MIN_ANSWERS if elapsed >= LATE_TIME_FRACTION else FULL_ANSWERS
        if elapsed >= FULL_TIME_FRACTION and good >= needed:
            return 1
        if elapsed >= RAMP_TIME_FRACTION and good >= RAMP_ANSWERS:
            return RAMP_SHARE
        return self._bounds.exposure_share * FIRST_SHARE_FRACTION

    def _is_complete(self, rollout: RolloutProgress, old_running: int) -> bool:
        if not rollout.full_share_since:
            return False
        now = clock.read_monotonic()
        if now - rollout.full_share_since < FULL_SHARE_SECONDS:
            return False
        elapsed = (now - rollout.started) / rollout.order.seconds
        return not old_running or elapsed >= FORCED_TIME_FRACTION
