"""The broker: decides which waiting request gets which free engine slot.

Every node has a broker. The nodes agree on one of them, which all nodes then
ask for slots (see ``nodes.link``), so that there is effectively one queue. A
node that can't reach that broker uses its own. No method yields to other
greenlets, so each decision is atomic.
"""

import collections
import typing

from pimentoway.admission import shares
from pimentoway.core import (
    clock,
    deployment,
    log,
    metric,
    nodesetting,
    registry,
)
from pimentoway.ops import (
    admit,
    enginestate,
    enginetable,
    partledger,
    reopening,
    rolloutprogress,
    routequeue,
    slot,
    view,
    waitqueue,
)

#: The costs below are in seconds of delay; the free back end with the lowest
#: sum gets the request.

#: The cost of a back end in another failure domain: traffic between failure
#: domains is expensive and has a higher latency.
REMOTE_ZONE_COST_SECONDS = 0.06

#: The fraction of the expected run time that counts as cost: a long run gains
#: most from a fast back end.
RUN_COST_FRACTION = 0.1

#: The cost of a back end whose answers all fail; scaled by its failure rate.
FAILURE_COST_SECONDS = 0.6

#: The cost of a back end with all slots in use; scaled by its slot usage.
USAGE_COST_SECONDS = 0.03

#: The cost of a back end that is too slow to finish before the deadline.
DEADLINE_COST_SECONDS = 0.3

#: The shortest and the longest time, in seconds, after which a refused caller
#: is told to retry: a few runs, and the length of a burst.
MIN_RETRY_SECONDS = 0.15
MAX_RETRY_SECONDS = 3.0

#: The reasons of refusals that more slots would have prevented.
SHORTAGE_REASONS = frozenset((slot.Reason.overloaded, slot.Reason.expired))

_LOG = log.Log('broker')

Reply = collections.abc.Callable[[str, slot.Grant | slot.Refusal], None]


class UsageCollector(typing.Protocol):
    """Collects what the nodes count as usage (``duties.usagetable``)."""

    def apply(self, requester: str, update: slot.UsageUpdate) -> None:
        """Take over the counts of a node."""

    def drop(self, requester: str) -> None:
        """Note that a node no longer uses this broker."""

    def keep_copy(self, copy: slot.UsageCopy) -> None:
        """Take over the counts of a node from another one."""


class Broker:
    """The broker of a node.

    Attributes:
        engines: The back ends of all services.
        rollouts: The rollouts of all services.
        parts: The evidence against parts of prompts.
        notices: What the back ends announced of themselves.
        usage: Collects the usage that the nodes report; ``None`` if the
            deployment has no such duty.
    """

    def __init__(
        self,
        bounds: nodesetting.Bounds,
        registry_view: view.View,
        reply: Reply,
        has_fair_admission: bool = False,
    ) -> None:
        """Start with the records that the view holds, and follow its changes.

        Args:
            bounds: The guarantees of the deployment.
            registry_view: The node's copy of the registry.
            reply: Sends a grant or a refusal to the node named first.
            has_fair_admission: Whether customers of a tier get fair shares, and
                refused requests places at which they return.
        """
        self._has_fair_admission = has_fair_admission
        self.engines = enginetable.EngineTable(registry_view)
        self.notices = self.engines.notices
        self.usage: UsageCollector | None = None
        self.rollouts = rolloutprogress.RolloutTable(
            bounds, registry_view, self.notices
        )
        self._view = registry_view
        self._reply = reply
        self._queue_by_service: dict[str, waitqueue.WaitQueue] = (
            collections.defaultdict(
                waitqueue.WaitQueue,
            )
        )
        self._admission = admit.AdmissionControl(bounds, registry_view)
        self._weights = shares.Weights(registry_view.deployment)
        self.parts = self._admission.parts
        registry_view.subscribe(self._on_view_change)
        self.notices.subscribe(self._on_view_change)
        self._on_view_change(registry.Kind.engines)

    def submit(self, requester: str, request: slot.SlotRequest) -> None:
        """Accept a slot request and queue or refuse it.

        The grant or the refusal goes to the node through ``reply``, during
        this call or later.

        Args:
            requester: The node that sent it.
            request: The slot request.
        """
        request = self._admission.restore_target(request)
        queue = self._queue_by_service[request.service]
        queue.count_request(request)
        if not self._admission.is_returning(request):
            queue.count_new_request(request)
        capacity = self.engines.measure_capacity(request.service)
        estimate = self._make_estimate(requester, request, capacity)
        reason, wait = self._admission.check(request, estimate)
        now = clock.read_monotonic()
        target_time = now + request.target_left
        if reason is not None:
            self._admission.note_refusal(request, target_time)
            self._refuse(requester, request, reason, wait)
            return
        queued = routequeue.QueuedRequest(
            key=(requester, request.number),
            request=request,
            arrived=now,
            target_time=target_time,
            expiry=now + min(request.patience_left, request.time_left),
            is_returned=estimate.is_returned,
            predicted_wait=estimate.wait,
        )
        queue.add(queued)
        self._grant_slots(request.service, capacity)

    def finish(self, requester: str, report: slot.Report) -> None:
        """Process the end of a run, or the withdrawal of a slot request.

        A report on a number that is neither waiting nor running is ignored.

        Args:
            requester: The node that sent it.
            report: The outcome.
        """
        if report.notice:
            self.notices.note(requester, report.notice)
        if report.path:
            self.engines.note_path(requester, report.path)
        if report.usage and self.usage:
            self.usage.apply(requester, report.usage)
        if report.usage_copy and self.usage:
            self.usage.keep_copy(report.usage_copy)
        key = (requester, report.number)
        for service, queue in self._queue_by_service.items():
            queued = queue.remove(key)
            if queued:
                self._admission.refund(queued.request)
                self.grant_waiting(service)
                return
        state = self.engines.find_engine(key)
        if state:
            self._end_run(state, key, report)

    def adopt(
        self,
        requester: str,
        runs: list[slot.ActiveGrant],
        used: list[slot.QuotaUsage],
        notices: collections.abc.Iterable[slot.EngineNotice] = (),
        rollouts: collections.abc.Iterable[slot.RolloutUsage] = (),
    ) -> None:
        """Take over the runs of a node that uses this broker from now on.

        Args:
            requester: The node.
            runs: Its runs in progress.
            used: Its quota usage in the current window.
            notices: What back ends announced of themselves, as it knows.
            rollouts: What it sent during the rollouts in progress.
        """
        for sent in rollouts:
            self.rollouts.adopt(requester, sent)
        for notice in notices:
            self.notices.note(requester, notice)
            self.engines.note_tolerance(notice)
        # The node sends its unanswered slot requests again, and the broker
        # may not have noticed yet that the node's earlier link is closed.
        self._drop_waiting(requester)
        is_known = self.engines.adopt(requester, runs)
        if is_known:
            # This broker granted those runs, so it has charged them already.
            return
        for run in runs:
            queue = self._queue_by_service[run.request.service]
            queue.shares.adopt(run.request)
        for usage in used:
            self._admission.charge(usage)

    def drop_requester(self, requester: str) -> None:
        """Drop the slot requests of a node whose link is closed.

        Its runs still count for a while, see ``EngineTable.note_disconnected``.

        Args:
            requester: The node.
        """
        self._drop_waiting(requester)
        self.engines.note_disconnected(requester)
        if self.usage:
            self.usage.drop(requester)

    def tick(self) -> None:
        """Expire stale state and try to grant slots in every queue."""
        if self._weights.configured is not self._view.deployment:
            self._weights = shares.Weights(self._view.deployment)
        self.engines.expire()
        self._count_crashes()
        self._recount_running()
        for service, queue in self._queue_by_service.items():
            queue.decay()
            if self._has_fair_admission:
                queue.update_shares(self._weights)
            self.grant_waiting(service)
            self._refuse_unservable(service, queue)

    def grant_waiting(self, service: str) -> None:
        """Grant the free slots of a service to waiting requests.

        Args:
            service: The service.
        """
        if self._queue_by_service[service].waiting_by_key:
            self._grant_slots(service, self.engines.measure_capacity(service))

    def decide_rollout(
        self, service: str
    ) -> tuple[rolloutprogress.RolloutProgress, rolloutprogress.State] | None:
        """Decide how the rollout of a service goes on.

        Args:
            service: The service.

        Returns:
            The rollout and the state to report; None if there is no change
            to report, or no rollout any more.
        """
        order = self._view.rollouts_by_service.get(service)
        if order is None:
            return None
        running = self.engines.count_other_versions(service, order.version)
        return self.rollouts.decide(service, running)

    def count_waiting(self) -> int:
        """Count the waiting requests of all services.

        Returns:
            The number of requests.
        """
        return sum(
            len(queue.waiting_by_key)
            for queue in self._queue_by_service.values()
        )

    def measure_demand(self, service: str) -> waitqueue.ServiceDemand:
        """Measure what was asked of a service.

        Args:
            service: The service.

        Returns:
            The sums since the start of this broker, and what waits now.
        """
        return self._queue_by_service[service].measure_demand()

    def _drop_waiting(self, requester: str) -> None:
        for queue in self._queue_by_service.values():
            dropped = [
                key for key in queue.waiting_by_key if key[0] == requester
            ]
            for key in dropped:
                queued = queue.remove(key)
                self._admission.refund(queued.request)

    def _grant_slots(
        self, service: str, capacity: enginetable.Capacity
    ) -> None:
        queue = self._queue_by_service[service]
        self.engines.drop_paused(
            capacity, (requester for requester, _ in queue.waiting_by_key)
        )
        skipped: list[routequeue.QueuedRequest] = []
        while capacity.free_engines:
            queued = queue.find_next(capacity.slots, capacity.free_slots)
            if queued is None or not self._try_grant(queued, capacity, skipped):
                break
        for unplaced in skipped:
            queue.add(unplaced)

    def _try_grant(
        self,
        queued: routequeue.QueuedRequest,
        capacity: enginetable.Capacity,
        skipped: list[routequeue.QueuedRequest],
    ) -> bool:
        # Returns whether the next request in the queue should be tried.
        avoided = queued.request.avoided
        reach = self.engines.make_reach(queued.key[0], avoided)
        allowed = self.engines.list_allowed(capacity, reach)
        extra_cost = reach.compute_cost if reach.is_limited else None
        choice = self._choose_engine(queued, allowed, extra_cost)
        if choice:
            self._grant(queued, choice, reach.choose_relay(choice.state))
            capacity.note_grant(choice.state, self.engines.share)
            return True
        if avoided or len(allowed) < len(capacity.free_engines):
            # The back ends that this request must avoid may suit the next one.
            self._queue_by_service[queued.request.service].remove(queued.key)
            skipped.append(queued)
            return True
        return False

    def _grant(
        self,
        queued: routequeue.QueuedRequest,
        choice: enginestate.Choice,
        via: str,
    ) -> None:
        state = choice.state
        queue = self._queue_by_service[queued.request.service]
        queue.remove(queued.key)
        queue.count_grant(queued.request)
        queue.returns.note_grant(queued.request)
        state.start(queued.key, queued.request, via, choice.forecast)
        if not via:
            self.engines.take_connection(state, queued.key[0], queued.request)
        self.engines.relays.count_start(via)
        self.rollouts.note_start(state.engine, queued.key[0])
        self._admission.note_start(queued.request)
        self._count_decision(queued.request, 'granted')
        if state.engine.zone != queued.request.zone:
            metric.CROSSINGS.labels(queued.request.service).inc()
        self._log_grant(queued, state, via)
        grant = slot.Grant(queued.request.number, state.engine.name, via)
        self._reply(queued.key[0], grant)

    def _make_estimate(
        self,
        requester: str,
        request: slot.SlotRequest,
        capacity: enginetable.Capacity,
    ) -> admit.Estimate:
        queue = self._queue_by_service[request.service]
        is_returned = self._has_fair_admission and queue.returns.claim(request)
        wait = None
        if capacity.slots:
            estimated = queue.estimate_wait(request, capacity.slots)
            wait = max(
                # A request that returns at its time has its place reserved, so
                # it doesn't have to fit in again.
                0 if is_returned else estimated,
                self.engines.measure_opening(request.service, requester),
            )
        return admit.Estimate(
            wait=wait,
            first_event=queue.stats_by_route[request.route].first_seconds,
            has_idle_slots=bool(capacity.free_engines)
            and not queue.waiting_by_key,
            node_share=self.engines.share,
            is_returned=is_returned,
        )

    def _choose_engine(
        self,
        queued: routequeue.QueuedRequest,
        free: list[enginestate.EngineState],
        extra_cost: collections.abc.Callable | None,
    ) -> enginestate.Choice | None:
        request = queued.request
        rate = _find_cold_rate(self._view.deployment, request.service)
        allowed = [
            state
            for state in free
            if state.is_within_cold_rate(rate, self.engines.share)
            and self.rollouts.allows(state.engine, self.engines.share)
        ]
        if not allowed:
            return None
        queue = self._queue_by_service[request.service]
        stats = queue.stats_by_route[request.route]
        run = stats.estimate_run(request)
        preferred = self.rollouts.prefer(request.service, allowed)
        outlook = self.engines.make_outlook(queued.key[0], request, stats)
        if outlook:
            return outlook.choose(
                preferred,
                lambda state, usual: _add_cost(
                    extra_cost, state, _compute_cost(request, state, usual)
                ),
            )
        if extra_cost is None:
            chosen = min(
                preferred,
                key=lambda state: _compute_cost(request, state, run),
            )
        else:
            chosen = min(
                preferred,
                key=lambda state: (
                    extra_cost(state) + _compute_cost(request, state, run)
                ),
            )
        return enginestate.Choice(chosen)

    def _end_run(
        self,
        state: enginestate.EngineState,
        key: enginestate.RunKey,
        report: slot.Report,
    ) -> None:
        run = self.engines.end_run(state, key, report)
        request = run.request
        queue = self._queue_by_service[request.service]
        queue.count_end(request, clock.read_monotonic() - run.started)
        node = run.name_node(key)
        unfinished = report.outcome in slot.UNFINISHED_OUTCOMES
        if unfinished and self.engines.paths.is_lost(node):
            # What the node did not get tells nothing of the back end's speed.
            self.grant_waiting(request.service)
            return
        if report.outcome in slot.UNSENT_OUTCOMES:
            self._admission.refund(request)
        elif report.outcome in slot.BROKEN_OUTCOMES:
            self._note_break(state, run, node, report)
        elif report.outcome is slot.Outcome.answered:
            self._admission.note_answer(request)
            stats = queue.stats_by_route[request.route]
            state.note_relative_duration(stats.compute_duration_ratio(report))
            stats.record_answer(request, report)
        elif unfinished:
            stats = queue.stats_by_route[request.route]
            state.note_unfinished(stats.compute_duration_ratio(report))
        self.rollouts.note_end(state, request, report, key[0])
        self.grant_waiting(request.service)

    def _note_break(
        self,
        state: enginestate.EngineState,
        run: enginestate.Run,
        node: str,
        report: slot.Report,
    ) -> None:
        if self.engines.paths.is_lost(node):
            # Its connections break whatever it sends.
            return
        self._admission.note_break(run.request, state.engine.name)
        engine = state.engine
        # A back end that leaves may end before its last runs do.
        leaving = (
            engine.draining
            or self.notices.is_leaving(engine)
            or engine.name not in self._view.engines_by_name
        )
        if report.outcome is not slot.Outcome.crashed or leaving:
            return
        answering = report.first_seconds and (
            report.total_seconds - report.first_seconds
        )
        if answering > partledger.SUSPECT_SECONDS:
            return
        self.engines.crashes.add(node, engine, run)
        self._count_crashes()

    def _count_crashes(self) -> None:
        for crash in self.engines.crashes.take_settled():
            self._admission.note_crash(crash)
            self._refuse_blocked(crash.run.request.service)

    def _refuse_blocked(self, service: str) -> None:
        queue = self._queue_by_service[service]
        for queued in list(queue.waiting_by_key.values()):
            if self._admission.has_blocked_part(queued.request):
                queue.remove(queued.key)
                self._admission.refund(queued.request)
                self._refuse(
                    queued.key[0],
                    queued.request,
                    slot.Reason.suspect,
                    partledger.BLOCK_SECONDS,
                )

    def _refuse(
        self,
        requester: str,
        request: slot.SlotRequest,
        reason: slot.Reason,
        wait: float,
    ) -> None:
        queue = self._queue_by_service[request.service]
        retry = max(MIN_RETRY_SECONDS, wait)
        if reason is not slot.Reason.suspect:
            retry = min(MAX_RETRY_SECONDS, retry)
        opening = self.engines.measure_opening(request.service, requester)
        if opening:
            retry = max(
                retry, reopening.compute_return_seconds(opening, request)
            )
        elif reason in SHORTAGE_REASONS and self._has_fair_admission:
            retry = queue.reserve_return(request, wait)
        self._count_decision(request, 'refused')
        if reason in SHORTAGE_REASONS:
            queue.count_refusal()
        _LOG.write(
            'refused.',
            owner=requester,
            number=request.number,
            reason=reason.name,
            estimated=round(wait, 3),
            allowed=round(min(request.time_left, request.patience_left), 3),
            age=round(self._admission.measure_age(request), 3),
            retry_after=round(retry, 3),
            waiting=self.count_waiting(),
            share=round(self.engines.share, 3),
            **queue.describe_order(request),
        )
        self._reply(requester, slot.Refusal(request.number, reason, retry))

    def _refuse_unservable(
        self, service: str, queue: waitqueue.WaitQueue
    ) -> None:
        if not queue.waiting_by_key:
            return
        slots = self.engines.measure_capacity(service).slots
        for queued, wait in queue.list_unservable(slots):
            queue.remove(queued.key)
            self._admission.refund(queued.request)
            self._admission.note_refusal(queued.request, queued.target_time)
            self._refuse(
                queued.key[0], queued.request, slot.Reason.expired, wait
            )

    def _recount_running(self) -> None:
        # Runs of vanished back ends and nodes are dropped without a report,
        # so the running counts can't be kept by increments alone.
        for service, queue in self._queue_by_service.items():
            queue.set_running(self.engines.count_running(service))

    def _on_view_change(self, kind: registry.Kind) -> None:
        if kind is registry.Kind.part_blocks:
            self.parts.adopt(self._view.part_blocks_by_name.values())
        self.engines.update()
        self.rollouts.update()
        for service in list(self._queue_by_service):
            self.grant_waiting(service)

    def _log_grant(
        self,
        queued: routequeue.QueuedRequest,
        state: enginestate.EngineState,
        via: str,
    ) -> None:
        waited = clock.read_monotonic() - queued.arrived
        metric.WAIT_ERROR_SECONDS.observe(waited - queued.predicted_wait)
        queue = self._queue_by_service[queued.request.service]
        _LOG.write(
            'granted.',
            owner=queued.key[0],
            number=queued.request.number,
            engine=state.engine.name,
            via=via,
            crossed=state.engine.zone != queued.request.zone,
            waited=round(waited, 4),
            predicted=round(queued.predicted_wait, 4),
            returned=queued.is_returned,
            running=len(state.run_by_key),
            waiting=self.count_waiting(),
            **queue.describe_order(queued.request),
        )

    def _count_decision(self, request: slot.SlotRequest, decision: str) -> None:
        queue = self._queue_by_service[request.service]
        length = queue.stats_by_route[request.route].classify_length(request)
        metric.SLOT_DECISIONS.labels(
            str(request.rank), length.value, decision
        ).inc()


def _find_cold_rate(
    configured: deployment.Deployment | None, service: str
) -> float:
    # Requests a second for a cold back end; 0 for no limit.
    found = configured and configured.services_by_name.get(service)
    return found.cold_rate if found else 0


def _compute_cost(
    request: slot.SlotRequest, state: enginestate.EngineState, run: float
) -> float:
    cost = FAILURE_COST_SECONDS * state.failure_rate
    if state.engine.zone != request.zone:
        cost += REMOTE_ZONE_COST_SECONDS
    cost += RUN_COST_FRACTION * run * state.relative_duration
    if run * state.relative_duration > request.time_left:
        cost += DEADLINE_COST_SECONDS
    return cost + USAGE_COST_SECONDS * state.measure_utilization()


def _add_cost(
    extra_cost: collections.abc.Callable | None,
    state: enginestate.EngineState,
    cost: float,
) -> float:
    return extra_cost(state) + cost if extra_cost else cost
