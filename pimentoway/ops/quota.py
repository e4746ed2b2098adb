"""The customers' quotas: token buckets, split between brokers.

Each broker has a share of every bucket: the fraction of the nodes that use it.
A request beyond the bucket may still use slots that no other request waits
for, as long as the customer stays within the overshoot that the deployment
allows in a sliding window.
"""

import dataclasses

from pimentoway.core import clock, deployment, nodesetting
from pimentoway.ops import window

#: The fraction of the burst by which a bucket may be overdrawn, so that a
#: request that is counted a moment early isn't refused.
OVERDRAFT_FRACTION = 0.03

#: The fraction of the allowed overshoot that is granted; the rest covers what
#: nodes grant that can't reach each other.
OVERSHOOT_FRACTION = 0.8


@dataclasses.dataclass
class _Account:
    """The account of a customer at this broker, in units of its quota.

    Attributes:
        balance: What is left in the bucket.
        share: The broker's share of the bucket at the last refill.
        refilled_at: The time of the last refill, on the monotonic clock.
        earned_elsewhere: What the customer earned in the window before this
            account was opened; it covers usage reported by other brokers.
        usage: What was used in the sliding window of the quotas.
    """

    balance: float
    share: float
    refilled_at: float
    earned_elsewhere: float
    usage: window.Window


class QuotaLedger:
    """The accounts of all customers at one broker."""

    def __init__(self, bounds: nodesetting.Bounds) -> None:
        """Start with full buckets.

        Args:
            bounds: The guarantees of the deployment.
        """
        self._bounds = bounds
        self._account_by_customer: dict[str, _Account] = {}

    def spend(
        self,
        customer: deployment.Customer,
        cost: float,
        share: float,
        has_idle_slots: bool,
    ) -> float:
        """Charge the cost of a request to the quota, if it fits.

        Args:
            customer: The customer.
            cost: The cost, in units of the quota.
            share: The broker's share of the quota, from 0 to 1.
            has_idle_slots: Whether slots are free that no other request waits
                for, so that the bucket may be exceeded.

        Returns:
            0 if the cost was charged, else the seconds until it can be.
        """
        if not customer.rate:
            return 0
        account = self._refill(customer, share)
        limit = self._compute_window_limit(customer) * share
        fits = account.usage.measure() + cost <= limit
        missing = self._compute_missing(customer, account, cost, share)
        if not fits or (missing > 0 and not has_idle_slots):
            excess = account.usage.total + cost - limit
            wait = max(0, missing) / (customer.rate * share)
            return max(wait, account.usage.measure_release_seconds(excess))
        account.balance -= cost
        account.usage.add(cost)
        return 0

    def refund(self, name: str, cost: float) -> None:
        """Return the cost of a request that did not run.

        Args:
            name: The name of the customer; unknown names are ignored.
            cost: The cost, in units of the quota.
        """
        account = self._account_by_customer.get(name)
        if account:
            account.balance += cost
            account.usage.add(-cost)

    def charge(self, customer: deployment.Customer, cost: float) -> None:
        """Charge what another broker granted within the window.

        What the customer earned in the window covers it first, so that steady
        use of the quota leaves the bucket full.

        Args:
            customer: The customer.
            cost: The cost, in units of the quota.
        """
        if not customer.rate:
            return
        known = self._account_by_customer.get(customer.name)
        account = self._refill(customer, known.share if known else 1)
        covered = min(cost, account.earned_elsewhere)
        account.earned_elsewhere -= covered
        account.balance = max(0, account.balance - (cost - covered))
        account.usage.add(cost)

    def _compute_window_limit(self, customer: deployment.Customer) -> float:
        bounds = self._bounds
        nominal = customer.rate * bounds.quota_window + customer.burst
        slack = bounds.quota_slack if customer.by_tokens else 0
        return (
            nominal * (1 + bounds.quota_overshoot * OVERSHOOT_FRACTION)
            + slack * OVERSHOOT_FRACTION
        )

    def _compute_missing(
        self,
        customer: deployment.Customer,
        account: _Account,
        cost: float,
        share: float,
    ) -> float:
        floor = -OVERDRAFT_FRACTION * customer.burst * share
        # A request that costs more than the whole bucket needs a full one.
        needed = min(cost, customer.burst * share)
        return needed + floor - account.balance

    def _refill(self, customer: deployment.Customer, share: float) -> _Account:
        now = clock.read_monotonic()
        full = customer.burst * share
        account = self._account_by_customer.get(customer.name)
        if account is None:
            seconds = self._bounds.quota_window
            account = _Account(
                customer.burst,
                share,
                now,
                customer.rate * seconds,
                window.Window(seconds),
            )
            self._account_by_customer[customer.name] = account
        earned = (now - account.refilled_at) * customer.rate * share
        # A node that joins this broker brings its share of the bucket, full;
        # what it used of it is charged separately.
        gained = max(0, share - account.share) * customer.burst
        account.balance = min(full, account.balance + earned + gained)
        account.share = share
        account.refilled_at = now
        return account
