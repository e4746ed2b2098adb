"""Which requests may wait for a slot at all: quota, budget, time, safety."""

import dataclasses

import msgspec

from pimentoway.core import clock, deployment, log, place
from pimentoway.ops import ask, crash, quota, view, window

#: The part of the retry budget that is given out; the rest covers repeats
#: that other brokers allow while nodes change theirs.
BUDGET_PART = 0.7

#: Seconds after which a caller may come back when nothing better is known.
RETRY_SECONDS = 0.15

#: Seconds after its goal for which a refused request is recognized; longer
#: than callers wait before they come back.
RECALL_SECONDS = 6.0

#: The refused requests that are remembered.
KEPT_REFUSALS = 5000

_LOG = log.Log('admit')


@dataclasses.dataclass(frozen=True)
class Estimate:
    """How a service stands for one more request.

    Attributes:
        wait: Seconds until it would get a slot; nothing if there is no back
            end.
        first: Seconds from the slot to the first event.
        idle: Whether slots are free that nobody else wants.
        share: The part of the nodes that ask here.
    """

    wait: float | None
    first: float
    idle: bool
    share: float


class AdmissionControl:
    """Decides which requests may wait."""

    def __init__(self, bounds: place.Bounds, known: view.View) -> None:
        """Start with full quotas and budgets.

        Args:
            bounds: The promises of the deployment.
            known: The view.
        """
        self._bounds = bounds
        self._view = known
        self._quotas = quota.QuotaBook(bounds)
        self._crashes = crash.CrashLedger()
        self._goal_by_refused: dict[int, float] = {}
        self._asks_by_service: dict[str, window.Window] = {}
        self._repeats_by_service: dict[str, window.Window] = {}

    def check(
        self, entry: ask.Ask, estimate: Estimate
    ) -> tuple[ask.Reason | None, float]:
        """Decide whether a request may wait, and charge its quota if so.

        Args:
            entry: The ask.
            estimate: How its service stands.

        Returns:
            Why it is refused, if it is, and the seconds after which coming
            back helps.
        """
        block = self._crashes.measure_block(entry.fingerprint)
        if block:
            return ask.Reason.suspect, block
        if entry.repeats and not self._allows_repeat(entry, estimate):
            return ask.Reason.no_budget, RETRY_SECONDS
        reason, wait = _check_time(entry, estimate)
        if reason is None and not entry.repeats:
            wait = self._spend(entry, estimate)
            reason = ask.Reason.over_quota if wait else None
        if reason is None:
            self._count(entry)
        return reason, wait

    def recall(self, entry: ask.Ask) -> ask.Ask:
        """Recognize a request that comes back after a refusal.

        Its caller has waited since its first attempt, so its goal is counted
        from then; a newcomer whose goal can still be met goes first.

        Args:
            entry: The ask.

        Returns:
            The ask with the time that is left until its goal.
        """
        goal = self._goal_by_refused.get(entry.fingerprint)
        if goal is None:
            return entry
        left = goal - clock.read_monotonic()
        if left < -RECALL_SECONDS:
            self._goal_by_refused.pop(entry.fingerprint)
            return entry
        return msgspec.structs.replace(
            entry,
            goal_left=min(entry.goal_left, left),
        )

    def note_start(self, entry: ask.Ask) -> None:
        """Note that a request got a slot, so that it does not come back.

        Args:
            entry: The ask.
        """
        self._goal_by_refused.pop(entry.fingerprint, None)

    def note_refusal(self, entry: ask.Ask, goal: float) -> None:
        """Note that a request was refused, in case it comes back.

        Args:
            entry: The ask.
            goal: When its goal ends.
        """
        refused = self._goal_by_refused
        refused.setdefault(entry.fingerprint, goal)
        if len(refused) > KEPT_REFUSALS:
            refused.pop(next(iter(refused)))

    def refund(self, entry: ask.Ask) -> None:
        """Give back the quota of a request that did not run.

        Args:
            entry: The ask.
        """
        self._quotas.refund(entry.customer, entry.cost)

    def charge(self, usage: ask.Usage) -> None:
        """Charge what a node used of a quota before it asked here.

        Args:
            usage: The usage.
        """
        customer = self._find_customer(usage.customer)
        if customer:
            self._quotas.charge(customer, usage.cost)

    def note_break(self, entry: ask.Ask, engine: str) -> None:
        """Note that the connection to a back end broke under a request.

        Args:
            entry: The ask.
            engine: The back end.
        """
        breaks = self._crashes.note_break(entry.fingerprint, engine)
        if breaks >= crash.BREAKS:
            _LOG.write(
                'a request is refused from now on.',
                fingerprint=entry.fingerprint,
                breaks=breaks,
                route=entry.route,
            )

    def note_answer(self, entry: ask.Ask) -> None:
        """Note that a request was answered.

        Args:
            entry: The ask.
        """
        self._crashes.note_answer(entry.fingerprint)

    def _allows_repeat(self, entry: ask.Ask, estimate: Estimate) -> bool:
        asks = self._find_window(self._asks_by_service, entry.service)
        repeats = self._find_window(self._repeats_by_service, entry.service)
        budget = (
            self._bounds.retry_ratio * asks.measure()
            + self._bounds.retry_slack * estimate.share
        )
        return repeats.measure() + 1 <= budget * BUDGET_PART

    def _count(self, entry: ask.Ask) -> None:
        by_service = self._asks_by_service
        if entry.repeats:
            by_service = self._repeats_by_service
        self._find_window(by_service, entry.service).add()

    def _find_window(
        self, by_service: dict[str, window.Window], service: str
    ) -> window.Window:
        found = by_service.get(service)
        if found is None:
            found = window.Window(self._bounds.retry_window)
            by_service[service] = found
        return found

    def _spend(self, entry: ask.Ask, estimate: Estimate) -> float:
        customer = self._find_customer(entry.customer)
        if customer is None:
            return 0
        return self._quotas.spend(
            customer,
            entry.cost,
            estimate.share,
            estimate.idle,
        )

    def _find_customer(self, name: str) -> deployment.Customer | None:
        if not name or self._view.deployment is None:
            return None
        return self._view.deployment.customers_by_name.get(name)


def _check_time(
    entry: ask.Ask, estimate: Estimate
) -> tuple[ask.Reason | None, float]:
    if estimate.wait is None:
        return ask.Reason.no_backend, RETRY_SECONDS * 2
    needed = estimate.wait + estimate.first
    if estimate.wait and needed > min(entry.time_left, entry.patience_left):
        return ask.Reason.overloaded, estimate.wait
    return None, 0
