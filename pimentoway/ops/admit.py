"""Admission control: which requests may wait for a slot.

A request is refused at once if it, or a part of its prompt, crashed several
back ends, if the retry budget of its service or the quota of its customer is
used up, or if it would get a slot too late.
"""

import dataclasses

import msgspec

from pimentoway.core import clock, deployment, log, nodesetting
from pimentoway.ops import (
    crash,
    heldcrash,
    partledger,
    quota,
    slot,
    view,
    window,
)

#: The fraction of the retry budget that this broker grants; the rest covers
#: repeats that other brokers grant while nodes change their broker.
RETRY_BUDGET_FRACTION = 0.7

#: Seconds after which a caller may retry if there is no better estimate.
DEFAULT_RETRY_SECONDS = 0.15

#: Seconds after its latency target for which a refused request is remembered;
#: longer than callers wait before they retry.
REFUSAL_MEMORY_SECONDS = 6.0

#: The most refused requests that are remembered; the oldest is dropped first.
MAX_REFUSALS = 5000

_LOG = log.Log('admit')


@dataclasses.dataclass(frozen=True)
class Estimate:
    """What one more request can expect of its service.

    Attributes:
        wait: Seconds until it would get a slot; None if no back end may be
            used.
        first_event: Seconds from the grant to the first event.
        has_idle_slots: Whether slots are free and no request waits for them.
        node_share: The fraction of all nodes that use this broker.
        is_returned: Whether the request returns after a refusal, at its time.
    """

    wait: float | None
    first_event: float
    has_idle_slots: bool
    node_share: float
    is_returned: bool = False


@dataclasses.dataclass(frozen=True)
class _Refused:
    """A refused request. Times are on the monotonic clock.

    Attributes:
        target_time: The time by which it should have been answered.
        since: When it was first refused.
    """

    target_time: float
    since: float


class AdmissionControl:
    """Decides which requests may wait, and keeps the accounts for that.

    Attributes:
        parts: The evidence against parts of prompts.
    """

    def __init__(
        self, bounds: nodesetting.Bounds, registry_view: view.View
    ) -> None:
        """Start with full quotas and no repeats.

        Args:
            bounds: The guarantees of the deployment.
            registry_view: The node's copy of the registry.
        """
        self._bounds = bounds
        self._view = registry_view
        self._quotas = quota.QuotaLedger(bounds)
        self._crashes = crash.CrashLedger()
        self.parts = partledger.PartLedger()
        self._refused_by_fingerprint: dict[int, _Refused] = {}
        self._requests_by_service: dict[str, window.Window] = {}
        self._repeats_by_service: dict[str, window.Window] = {}

    def check(
        self, request: slot.SlotRequest, estimate: Estimate
    ) -> tuple[slot.Reason | None, float]:
        """Decide whether a request may wait, and charge its quota if so.

        Args:
            request: The slot request.
            estimate: What it can expect of its service.

        Returns:
            The reason of a refusal, or None if it may wait, and the seconds
            after which a retry may succeed.
        """
        block = self._compute_block_seconds(request)
        if block:
            return slot.Reason.suspect, block
        if request.repeats and not self._allows_repeat(request, estimate):
            return slot.Reason.no_budget, DEFAULT_RETRY_SECONDS
        reason, wait = _check_time(request, estimate)
        if reason is None and not request.repeats:
            wait = self._spend(request, estimate)
            reason = slot.Reason.over_quota if wait else None
        if reason is None:
            self._count(request)
        return reason, wait

    def restore_target(self, request: slot.SlotRequest) -> slot.SlotRequest:
        """Restore the latency target of a request that returns after a refusal.

        Its caller has waited since the first attempt, so the target counts
        from then. A returning request that is late thus yields to new requests
        that can still meet their target.

        Args:
            request: The slot request.

        Returns:
            The slot request with the seconds left until its first target.
        """
        refused = self._refused_by_fingerprint.get(request.fingerprint)
        if refused is None:
            return request
        left = refused.target_time - clock.read_monotonic()
        if left < -REFUSAL_MEMORY_SECONDS:
            self._refused_by_fingerprint.pop(request.fingerprint)
            return request
        return msgspec.structs.replace(
            request,
            target_left=min(request.target_left, left),
        )

    def is_returning(self, request: slot.SlotRequest) -> bool:
        """Tell whether a request returns after a refusal.

        Args:
            request: The slot request.

        Returns:
            Whether it was refused lately and has not run since.
        """
        return request.fingerprint in self._refused_by_fingerprint

    def measure_age(self, request: slot.SlotRequest) -> float:
        """Measure the time since a request was first refused.

        Args:
            request: The slot request.

        Returns:
            The seconds; 0 if it was not refused lately.
        """
        refused = self._refused_by_fingerprint.get(request.fingerprint)
        return clock.read_monotonic() - refused.since if refused else 0

    def note_start(self, request: slot.SlotRequest) -> None:
        """Forget the refusal of a request that got a slot.

        Args:
            request: The slot request.
        """
        self._refused_by_fingerprint.pop(request.fingerprint, None)

    def note_refusal(
        self, request: slot.SlotRequest, target_time: float
    ) -> None:
        """Remember a refused request, in case it returns.

        Args:
            request: The slot request.
            target_time: The time by which it should have been answered, on
                the monotonic clock; that of an earlier refusal stays.
        """
        refused = self._refused_by_fingerprint
        refused.setdefault(
            request.fingerprint, _Refused(target_time, clock.read_monotonic())
        )
        if len(refused) > MAX_REFUSALS:
            refused.pop(next(iter(refused)))

    def refund(self, request: slot.SlotRequest) -> None:
        """Return the quota of a request that did not run.

        Args:
            request: The slot request; a repeat was not charged.
        """
        if request.repeats:
            return
        self._quotas.refund(request.customer, request.cost)

    def charge(self, usage: slot.QuotaUsage) -> None:
        """Charge what a node used of a quota at its previous broker.

        Args:
            usage: The usage.
        """
        customer = self._find_customer(usage.customer)
        if customer:
            self._quotas.charge(customer, usage.cost)

    def note_break(self, request: slot.SlotRequest, engine: str) -> None:
        """Record that a back end closed the connection during a request.

        Args:
            request: The slot request.
            engine: The name of the back end.
        """
        breaks = self._crashes.record_break(request.fingerprint, engine)
        if breaks >= crash.MAX_BROKEN_BACKENDS:
            _LOG.write(
                'request is blocked, its connections to too many back ends '
                'broke.',
                fingerprint=request.fingerprint,
                breaks=breaks,
                route=request.route,
            )

    def note_crash(self, crash: heldcrash.Crash) -> None:
        """Record that a back end crashed while it ran a request.

        Args:
            crash: The crash.
        """
        self.parts.record_crash(
            f'{crash.engine.name}/{crash.engine.born}',
            _list_parts(crash.run.request),
            crash.run.started,
            crash.reported_at,
        )

    def has_blocked_part(self, request: slot.SlotRequest) -> bool:
        """Tell whether a part of a request's prompt is blocked.

        Args:
            request: The slot request.

        Returns:
            Whether one is.
        """
        return self.parts.is_blocked(_list_parts(request))

    def note_answer(self, request: slot.SlotRequest) -> None:
        """Clear an answered request and the parts of its prompt.

        Args:
            request: The slot request.
        """
        self._crashes.record_answer(request.fingerprint)
        self.parts.record_answer(_list_parts(request))

    def _compute_block_seconds(self, request: slot.SlotRequest) -> float:
        return max(
            self._crashes.compute_block_seconds(request.fingerprint),
            self.parts.compute_block_seconds(_list_parts(request)),
        )

    def _allows_repeat(
        self, request: slot.SlotRequest, estimate: Estimate
    ) -> bool:
        requests = self._find_window(self._requests_by_service, request.service)
        repeats = self._find_window(self._repeats_by_service, request.service)
        budget = (
            self._bounds.retry_ratio * requests.measure()
            + self._bounds.retry_slack * estimate.node_share
        )
        return repeats.measure() + 1 <= budget * RETRY_BUDGET_FRACTION

    def _count(self, request: slot.SlotRequest) -> None:
        by_service = self._requests_by_service
        if request.repeats:
            by_service = self._repeats_by_service
        self._find_window(by_service, request.service).add()

    def _find_window(
        self, by_service: dict[str, window.Window], service: str
    ) -> window.Window:
        found = by_service.get(service)
        if found is None:
            found = window.Window(self._bounds.retry_window)
            by_service[service] = found
        return found

    def _spend(self, request: slot.SlotRequest, estimate: Estimate) -> float:
        customer = self._find_customer(request.customer)
        if customer is None:
            return 0
        return self._quotas.spend(
            customer,
            request.cost,
            estimate.node_share,
            estimate.has_idle_slots,
        )

    def _find_customer(self, name: str) -> deployment.Customer | None:
        if not name or self._view.deployment is None:
            return None
        return self._view.deployment.customers_by_name.get(name)


def _list_parts(request: slot.SlotRequest) -> list[partledger.Part]:
    return [(request.service, part) for part in request.parts]


def _check_time(
    request: slot.SlotRequest, estimate: Estimate
) -> tuple[slot.Reason | None, float]:
    if estimate.wait is None:
        return slot.Reason.no_backend, DEFAULT_RETRY_SECONDS * 2
    needed = estimate.wait + estimate.first_event
    if estimate.wait and needed > min(request.time_left, request.patience_left):
        return slot.Reason.overloaded, estimate.wait
    return None, 0
