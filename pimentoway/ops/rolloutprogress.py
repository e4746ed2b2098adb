"""Canary rollouts at the broker: traffic shares of versions, and verdicts.

A new version first gets a small share of the requests. Its answers are
compared with what is usual at the service, see ``versionevidence``. Until they
show that it is good, it gets no more requests than a bad version may get. Then
it gets a larger share, and all requests; the rollout is complete when the old
version has no running request left. A version that is found bad gets no
request from then on, even before the result is reported.
"""

import collections
import dataclasses
import enum

from pimentoway.core import clock, deployment, log, nodesetting
from pimentoway.ops import (
    baseline,
    enginestate,
    exposure,
    notice,
    slot,
    versionevidence,
    view,
)

#: The first share of a new version, as a fraction of the share of requests
#: that a bad version may get.
FIRST_SHARE_FRACTION = 0.7

#: The share of a new version before it gets all requests.
RAMP_SHARE = 0.3

#: The fraction of the slack for bad versions that a new version gets at once,
#: so that it also gets requests if the service has only few.
FIRST_SLACK_FRACTION = 0.4

#: The fraction of what a bad version may get that a version gets before it is
#: found good. The rest is for requests that other brokers grant.
BUDGET_FRACTION = 0.8

#: The requests beyond ``RAMP_SHARE`` that a new version may get in one window
#: of the baseline, so that it also gets some if the service has only few.
WINDOW_SLACK = 3

#: The fractions of the time of a rollout from which the version may get
#: ``RAMP_SHARE``, from which it may get all requests, from which little
#: evidence may suffice for this, and from which the rollout completes although
#: the old version still runs requests.
RAMP_TIME_FRACTION = 0.4
FULL_TIME_FRACTION = 0.55
LATE_TIME_FRACTION = 0.7
FORCED_TIME_FRACTION = 0.9

#: Seconds for which a version gets all requests before it is complete.
FULL_SHARE_SECONDS = 1.0

#: Seconds before the end of a rollout at which its result must be known.
REPORT_SECONDS = 0.25

#: The duration of an answer, relative to the usual one, from which it counts
#: as slow; back ends of one version differ by less.
SLOW_RATIO = 3.0

#: Seconds after the broker first saw a back end in which slow answers don't
#: count.
WARMUP_SECONDS = 4.0

#: The outcomes that always count as an answer, and those that may be slow.
COUNTED_OUTCOMES = frozenset((slot.Outcome.answered, slot.Outcome.failed))
TIMED_OUTCOMES = slot.UNFINISHED_OUTCOMES | {slot.Outcome.answered}

_LOG = log.Log('rollout')


class State(enum.Enum):
    """The state of a rollout that is reported to the platform."""

    active = 'active'
    complete = 'complete'
    reverted = 'reverted'


@dataclasses.dataclass
class RolloutProgress:
    """The state of one rollout at the broker.

    Attributes:
        order: The operator's order.
        started: The monotonic time at which the broker first saw the order.
        evidence: The evidence on the new version.
        share: The fraction of requests that the new version may get.
        full_share_since: The monotonic time at which it got all requests; 0
            before.
        ledger: The requests since the order, as far as this broker knows.
        window_starts: The requests since the last window of the baseline.
        window_new_starts: Those of them to the new version.
        found_bad: Whether the new version was found bad.
    """

    order: deployment.Rollout
    started: float
    evidence: versionevidence.VersionEvidence
    share: float = 0
    full_share_since: float = 0
    ledger: exposure.Ledger = dataclasses.field(default_factory=exposure.Ledger)
    window_starts: int = 0
    window_new_starts: int = 0
    found_bad: bool = False

    @property
    def is_over(self) -> bool:
        """Tell whether its result has been reported.

        Returns:
            Whether it is complete or reverted.
        """
        return self.order.state in {State.complete.value, State.reverted.value}

    @property
    def is_rejected(self) -> bool:
        """Tell whether the new version gets no request any more.

        Returns:
            Whether it was found bad here, or its reversion was reported; once
            it is complete, its failures no longer count.
        """
        if self.order.state == State.complete.value:
            return False
        return self.found_bad or self.order.state == State.reverted.value

    @property
    def has_all_requests(self) -> bool:
        """Tell whether the new version gets all requests.

        Returns:
            Whether it does, as long as it has a usable back end.
        """
        if self.order.state == State.complete.value:
            return True
        return bool(self.full_share_since) and not self.is_rejected

    @property
    def starts(self) -> int:
        """Count the requests that were sent to the service.

        Returns:
            The requests since the order.
        """
        return self.ledger.count().starts

    @property
    def new_starts(self) -> int:
        """Count the requests that were sent to the new version.

        Returns:
            The requests since the order.
        """
        return self.ledger.count().new_starts

    def measure_elapsed(self) -> float:
        """Measure the time since the order.

        Returns:
            The fraction of the time allowed for the rollout.
        """
        elapsed = clock.read_monotonic() - self.started
        return elapsed / self.order.seconds

    def estimate_starts(self) -> float:
        """Estimate the requests from now until the end of the rollout.

        Returns:
            The number, if they go on at the mean rate up to now.
        """
        elapsed = self.measure_elapsed()
        return self.starts * max(0, 1 - elapsed) / elapsed if elapsed else 0


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
        self._baseline_by_service: dict[str, baseline.Baseline] = (
            collections.defaultdict(baseline.Baseline)
        )

    def update(self) -> None:
        """Apply a change of the registry view or of the notices.

        A new order for a service starts from the beginning. An order that is
        gone may come back, if the store was restored from a copy.
        """
        orders = self._view.rollouts_by_service
        for service in set(self._progress_by_service).difference(orders):
            past = self._progress_by_service.pop(service)
            self._past_by_service[service] = past
            self._baseline_by_service[service].release_usual()
        for service, order in orders.items():
            rollout = self._progress_by_service.get(
                service, self._past_by_service.pop(service, None)
            )
            if rollout and rollout.order.identity == order.identity:
                rollout.order = order
                if rollout.is_over:
                    self._baseline_by_service[service].release_usual()
                self._progress_by_service[service] = rollout
            else:
                usual = self._baseline_by_service[service]
                usual.keep_usual()
                self._progress_by_service[service] = RolloutProgress(
                    order,
                    clock.read_monotonic(),
                    versionevidence.VersionEvidence(usual),
                )
        versions: dict[str, set[str]] = {}
        for engine in self._view.engines_by_name.values():
            if self._notices.is_usable(engine):
                versions.setdefault(engine.service, set()).add(engine.version)
        self._versions_by_service = versions

    def allows(self, engine: deployment.Engine, node_share: float = 1) -> bool:
        """Tell whether a back end's version may get the next request.

        Args:
            engine: The back end.
            node_share: The fraction of the nodes that use this broker; it may
                use the same fraction of the slack.

        Returns:
            Whether its version may get it; always so without a rollout.
        """
        rollout = self._progress_by_service.get(engine.service)
        if rollout is None:
            return True
        new = engine.version == rollout.order.version
        versions = self._versions_by_service.get(engine.service, set())
        if rollout.has_all_requests:
            # The other versions serve rather than none.
            return new or rollout.order.version not in versions
        if not new:
            return True
        if rollout.is_rejected:
            return False
        return self._may_start_new(rollout, node_share)

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

    def adopt(self, requester: str, usage: slot.RolloutUsage) -> None:
        """Count what a node sent before it used this broker.

        Args:
            requester: The node.
            usage: What it sent; ignored if it belongs to another order.
        """
        rollout = self._progress_by_service.get(usage.service)
        if rollout and rollout.order.identity == usage.order:
            sent = exposure.Sent(usage.starts, usage.new_starts)
            rollout.ledger.adopt(requester, sent)

    def count_sent(self, name: str, starts: int = 1) -> None:
        """Count a request that this node sends, whichever broker granted it.

        Args:
            name: The name of the back end that gets it.
            starts: One; -1 if it was not sent after all.
        """
        engine = self._view.engines_by_name.get(name)
        rollout = engine and self._progress_by_service.get(engine.service)
        if rollout:
            new = engine.version == rollout.order.version
            rollout.ledger.own.add(new, starts)

    def list_sent(self) -> tuple[slot.RolloutUsage, ...]:
        """List what this node sent during the rollouts in progress.

        Returns:
            The requests of each rollout without a result.
        """
        return tuple(
            slot.RolloutUsage(
                service,
                rollout.order.identity,
                rollout.ledger.own.starts,
                rollout.ledger.own.new_starts,
            )
            for service, rollout in self._progress_by_service.items()
            if not rollout.is_over
        )

    def note_start(
        self, engine: deployment.Engine, requester: str = ''
    ) -> None:
        """Count a request.

        Args:
            engine: The back end that gets it.
            requester: The node that sends it.
        """
        rollout = self._progress_by_service.get(engine.service)
        if rollout:
            new = engine.version == rollout.order.version
            rollout.ledger.add(requester, new)
            rollout.window_starts += 1
            rollout.window_new_starts += new

    def note_end(
        self,
        engine_state: enginestate.EngineState,
        request: slot.SlotRequest,
        report: slot.Report,
        requester: str = '',
    ) -> None:
        """Count an answer as good or bad.

        An error response is bad, and so is a slow answer. An answer that did
        not end counts only if it was slow already: if callers leave a slow
        version, its complete answers are the faster ones. Other outcomes are
        not counted.

        Args:
            engine_state: The back end that ran the request.
            request: The slot request.
            report: The outcome of the run.
            requester: The node that sent it.
        """
        rollout = self._progress_by_service.get(request.service)
        new = bool(
            rollout and engine_state.engine.version == rollout.order.version
        )
        if report.outcome in slot.UNSENT_OUTCOMES and rollout:
            rollout.ledger.add(requester, new, -1)
        usual = self._baseline_by_service[request.service]
        timed = _is_timed(engine_state)
        bad, bad_now = _compare(usual, request.route, report, timed)
        if report.outcome not in COUNTED_OUTCOMES and not bad:
            return
        judged = new and not rollout.is_over
        if judged:
            rollout.evidence.note(request.route, bad, bad_now)
        else:
            usual.note(request.route, report, bad, timed)
        self._close_window(usual, rollout)
        if judged:
            self._judge(rollout)

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
        if rollout.is_over:
            state = State(order.state)
        else:
            state = self._advance(rollout, old_running)
        if order.state == state.value and order.reported:
            return None
        return rollout, state

    def list_services(self) -> list[str]:
        """List the services that have a rollout.

        Returns:
            The names of the services.
        """
        return list(self._progress_by_service)

    def _is_alone(self, service: str) -> bool:
        return len(self._versions_by_service.get(service, ())) < 2

    def _may_start_new(
        self, rollout: RolloutProgress, node_share: float
    ) -> bool:
        sent = rollout.ledger.count()
        slack = self._bounds.exposure_slack * node_share
        budget = BUDGET_FRACTION * (
            self._bounds.exposure_share * (sent.starts + 1) + slack
        )
        if self._is_alone(rollout.order.service):
            # Nothing is gained by keeping to the first share, as the requests
            # would be refused.
            good = rollout.evidence.favours_good(versionevidence.GOOD_ODDS)
            return good or sent.new_starts + 1 <= budget
        if rollout.evidence.is_held():
            return False
        allowed = rollout.share * (sent.starts + 1)
        allowed += FIRST_SLACK_FRACTION * slack
        # The version in use keeps enough requests to be compared with.
        paced = RAMP_SHARE * (rollout.window_starts + 1) + WINDOW_SLACK
        return (
            sent.new_starts + 1 <= min(allowed, budget)
            and rollout.window_new_starts + 1 <= paced
        )

    def _measure_allowed(self, rollout: RolloutProgress) -> float:
        # The requests that a bad version may have got up to now.
        share = self._bounds.exposure_share * (rollout.starts + 1)
        return share + self._bounds.exposure_slack

    def _judge(self, rollout: RolloutProgress) -> None:
        if self._is_alone(rollout.order.service):
            # There are no answers at the same time to wait for.
            rollout.evidence.close_window(disturbed=False)
        route = rollout.evidence.find_bad_route()
        if route is not None and not rollout.found_bad:
            self._reject(rollout, 'bad answers', route)

    def _close_window(
        self, usual: baseline.Baseline, rollout: RolloutProgress | None
    ) -> None:
        disturbed = usual.close_window()
        if rollout and disturbed is not None:
            rollout.evidence.close_window(disturbed)
            rollout.window_starts = 0
            rollout.window_new_starts = 0

    def _reject(
        self, rollout: RolloutProgress, reason: str, route: str
    ) -> None:
        rollout.found_bad = True
        _LOG.write(
            'the new version is rejected and gets no more requests.',
            service=rollout.order.service,
            version=rollout.order.version,
            reason=reason,
            route=route,
            **self._describe(rollout, route),
        )

    def _describe(
        self, rollout: RolloutProgress, route: str
    ) -> dict[str, object]:
        # What a decision on the rollout rests on.
        count = rollout.evidence.count_by_route[route]
        usual = self._baseline_by_service[rollout.order.service]
        return {
            'good': count.good,
            'bad': count.bad,
            'usual': round(usual.measure_usual(route), 3),
            'current': round(usual.measure_current(route), 3),
            'disturbed': usual.is_disturbed(),
            'evidence': round(rollout.evidence.measure(), 2),
            'score': round(rollout.evidence.measure_score(), 2),
            'starts': rollout.starts,
            'new_starts': rollout.new_starts,
            'allowed': round(self._measure_allowed(rollout), 1),
        }

    def _advance(self, rollout: RolloutProgress, old_running: int) -> State:
        self._close_window(
            self._baseline_by_service[rollout.order.service], rollout
        )
        if not rollout.found_bad:
            self._update_share(rollout)
        if not rollout.found_bad and self._is_too_late(rollout):
            self._reject(
                rollout, 'not good in time', versionevidence.ALL_ROUTES
            )
        if rollout.found_bad:
            return State.reverted
        if self._is_complete(rollout, old_running):
            return State.complete
        return State.active

    def _update_share(self, rollout: RolloutProgress) -> None:
        evidence = rollout.evidence
        if rollout.full_share_since and evidence.favours_good(
            versionevidence.LEANING_ODDS
        ):
            return
        share = self._find_share(rollout)
        if share == rollout.share:
            return
        rollout.share = share
        rollout.full_share_since = clock.read_monotonic() if share == 1 else 0
        _LOG.write(
            'changed the share of the new version.',
            service=rollout.order.service,
            version=rollout.order.version,
            share=share,
            **self._describe(rollout, versionevidence.ALL_ROUTES),
        )

    def _find_share(self, rollout: RolloutProgress) -> float:
        elapsed = rollout.measure_elapsed()
        evidence = rollout.evidence
        if elapsed >= FULL_TIME_FRACTION:
            if evidence.favours_good(versionevidence.GOOD_ODDS):
                return 1
            if elapsed >= LATE_TIME_FRACTION and self._is_affordable(rollout):
                return 1
        if elapsed >= RAMP_TIME_FRACTION and not evidence.favours_bad():
            return RAMP_SHARE
        return self._bounds.exposure_share * FIRST_SHARE_FRACTION

    def _is_affordable(self, rollout: RolloutProgress) -> bool:
        # Whether little evidence suffices: even a bad version that got all
        # requests from now on would not get more than it may.
        left = rollout.estimate_starts()
        budget = BUDGET_FRACTION * self._measure_allowed(rollout)
        return (
            rollout.evidence.favours_good(versionevidence.LEANING_ODDS)
            and rollout.new_starts + left <= budget
        )

    def _is_too_late(self, rollout: RolloutProgress) -> bool:
        left = (1 - rollout.measure_elapsed()) * rollout.order.seconds
        return (
            not rollout.full_share_since
            and left < FULL_SHARE_SECONDS + REPORT_SECONDS
            and rollout.evidence.favours_bad()
        )

    def _is_complete(self, rollout: RolloutProgress, old_running: int) -> bool:
        if not rollout.full_share_since:
            return False
        now = clock.read_monotonic()
        if now - rollout.full_share_since < FULL_SHARE_SECONDS:
            return False
        if not rollout.evidence.favours_good(versionevidence.LEANING_ODDS):
            return False
        return not old_running or (
            rollout.measure_elapsed() >= FORCED_TIME_FRACTION
        )


def _is_timed(engine_state: enginestate.EngineState) -> bool:
    # A back end that has just started is slow in any version.
    young = engine_state.measure_age() < WARMUP_SECONDS
    return not (young or engine_state.is_cold())


def _compare(
    usual: baseline.Baseline, route: str, report: slot.Report, timed: bool
) -> tuple[bool, bool]:
    # Whether an answer is bad, compared with what is usual and with other
    # answers at the same time.
    if report.outcome is slot.Outcome.failed:
        return True, True
    if not timed or report.outcome not in TIMED_OUTCOMES:
        return False, False
    bad = usual.is_slow(route, report, SLOW_RATIO)
    return bad, bad and usual.is_slow_now(route, report, SLOW_RATIO)
