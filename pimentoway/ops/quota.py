"""The customers' quotas: token buckets, shared between brokers by parts."""

import dataclasses

from pimentoway.core import clock, deployment

#: The part of the burst by which a bucket may be overdrawn: a request that
#: is counted a moment early must not be refused.
OVERDRAFT_PART = 0.03


@dataclasses.dataclass
class _Bucket:
    left: float
    time: float
    # What may have been used elsewhere and has been earned again by now.
    earned_elsewhere: float


class QuotaBook:
    """The buckets of all customers."""

    def __init__(self, window_seconds: float) -> None:
        """Start with full buckets.

        Args:
            window_seconds: The window of the quotas.
        """
        self._window_seconds = window_seconds
        self._bucket_by_customer: dict[str, _Bucket] = {}

    def spend(
        self, customer: deployment.Customer, cost: float, share: float
    ) -> float:
        """Take a request's cost from the quota of its customer.

        Args:
            customer: The customer.
            cost: The cost.
            share: The part of the quota that is given out here.

        Returns:
            0 if the cost was taken, else the seconds until it can be.
        """
        if not customer.rate:
            return 0
        bucket = self._refill(customer, share)
        floor = -OVERDRAFT_PART * customer.burst * share
        # A request larger than the whole bucket needs a full one.
        needed = min(cost, customer.burst * share)
        if bucket.left - needed < floor:
            missing = needed + floor - bucket.left
            return missing / (customer.rate * share)
        bucket.left -= cost
        return 0

    def refund(self, name: str, cost: float) -> None:
        """Give back what a request did not use after all.

        Args:
            name: The name of the customer.
            cost: The cost.
        """
        bucket = self._bucket_by_customer.get(name)
        if bucket:
            bucket.left += cost

    def charge(self, customer: deployment.Customer, cost: float) -> None:
        """Charge what was used elsewhere within the window, refusing nothing.

        What the customer earned in the window covers it first, so that a
        steady use of the quota leaves the bucket full.

        Args:
            customer: The customer.
            cost: The cost.
        """
        if not customer.rate:
            return
        bucket = self._refill(customer, 1)
        covered = min(cost, bucket.earned_elsewhere)
        bucket.earned_elsewhere -= covered
        bucket.left = max(0, bucket.left - (cost - covered))

    def _refill(self, customer: deployment.Customer, share: float) -> _Bucket:
        now = clock.read_monotonic()
        full = customer.burst * share
        bucket = self._bucket_by_customer.get(customer.name)
        if bucket is None:
            earned = customer.rate * self._window_seconds
            bucket = _Bucket(full, now, earned)
            self._bucket_by_customer[customer.name] = bucket
        earned = (now - bucket.time) * customer.rate * share
        bucket.left = min(full, bucket.left + earned)
        bucket.time = now
        return bucket
