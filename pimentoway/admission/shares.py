"""Fair shares of the customers of one tier of a service.

Each customer has a decayed sum of the slot-seconds that it was granted. While
requests of two customers or more wait, a customer that got more than its
max-min share is *over its share*: its requests wait until no others of the tier
do, and among several such customers the one goes first that got least for its
weight. Sums decay within seconds, so idle slots that a customer used are soon
forgotten, and nothing that runs is ended.

Requests without a customer, of public routes, come from many callers. They
have no share and go before those of customers over their shares.
"""

import collections
import dataclasses
import math

from pimentoway.core import clock, deployment, log, metric
from pimentoway.ops import slot

#: The time in which sums decay to 1/e, in seconds: several runs, so that single
#: requests don't decide, and less than a burst lasts.
MEMORY_SECONDS = 2.0

#: The part of its share from which a customer is over it, and the part below
#: which it no longer is. With 1.05 and 0.9, customers of equal demand changed
#: sides by chance, and 5.2% fewer requests were answered in time than without
#: shares; with these, 1.3% fewer (docs/design/admission.md).
OVER_RATIO = 1.2
WITHIN_RATIO = 0.95

#: The runs by which a customer may exceed its share: a customer with few
#: requests is over its share with the second one otherwise.
SLACK_RUNS = 2.0

#: The least time between two calculations of the shares, in seconds.
UPDATE_SECONDS = 0.1

#: How long after requests of two customers waited the shares are kept, in
#: seconds. Requests of customers within their shares wait so briefly that
#: often none is seen.
CONTENTION_SECONDS = 1.0

#: The weight of a new run in the mean run time.
SMOOTHING = 0.05

#: The sum in slot-seconds below which a customer is forgotten.
MIN_SUM = 0.001

#: The sum of weights that counts as none, as rounding leaves a rest.
MIN_CLAIMS = 1e-9

#: The weight of a customer without a quota.
DEFAULT_WEIGHT = 1.0

#: The most rounds in which the share of the unsatisfied customers is found.
#: Each settles at least one customer, and few are needed in practice.
MAX_ROUNDS = 20


_LOG = log.Log('admission')


@dataclasses.dataclass(frozen=True)
class Changes:
    """Which customers changed sides.

    Attributes:
        over: Those that are over their shares now.
        within: Those that no longer are.
    """

    over: tuple[str, ...] = ()
    within: tuple[str, ...] = ()


NO_CHANGES = Changes()


class TierShares:
    """The customers of one tier of a service.

    Attributes:
        over: The customers over their shares.
        level: The share of a customer of weight 1 in slot-seconds; 0 before
            there was contention.
    """

    def __init__(self) -> None:
        """Start without customers."""
        self.over: set[str] = set()
        self.level: float = 0
        self._sum_by_customer: dict[str, float] = {}
        self._waiting: collections.Counter[str] = collections.Counter()
        self._work_by_waiting: dict[str, float] = collections.defaultdict(float)
        self._weights: Weights | None = None
        self._mean_run: float = 0
        self._contended_at = -math.inf

    def note_waiting(
        self, customer: str, change: int, run_seconds: float
    ) -> None:
        """Count the waiting requests of a customer.

        Args:
            customer: The name of the customer.
            change: 1 for a request that begins to wait, -1 for one that ends.
            run_seconds: The change of the waiting work, in slot-seconds.
        """
        if not customer:
            return
        self._waiting[customer] += change
        self._work_by_waiting[customer] += run_seconds
        if self._waiting[customer] <= 0:
            self._waiting.pop(customer)
            self._work_by_waiting.pop(customer)
        if len(self._waiting) > 1:
            self._contended_at = clock.read_monotonic()

    def charge(self, customer: str, seconds: float) -> None:
        """Add to what a customer got.

        Args:
            customer: The name of the customer.
            seconds: The slot-seconds; negative ones correct an estimate.
        """
        if not customer:
            return
        known = self._sum_by_customer.get(customer, 0)
        self._sum_by_customer[customer] = max(0, known + seconds)
        if seconds > 0:
            mean = self._mean_run or seconds
            self._mean_run = mean + SMOOTHING * (seconds - mean)

    def adopt(self, customer: str) -> None:
        """Add what a customer got that has a run at a new broker.

        Args:
            customer: The name of the customer. A slot that is in use all the
                time has the sum ``MEMORY_SECONDS``.
        """
        if not customer:
            return
        known = self._sum_by_customer.get(customer, 0)
        self._sum_by_customer[customer] = known + MEMORY_SECONDS

    def decay(self, factor: float) -> None:
        """Decay the sums, and forget customers without any.

        Args:
            factor: What remains.
        """
        self._sum_by_customer = {
            customer: decayed * factor
            for customer, decayed in self._sum_by_customer.items()
            if decayed > MIN_SUM
        }

    def measure(self, customer: str) -> float:
        """Measure what a customer got for its weight.

        Args:
            customer: The name of the customer.

        Returns:
            The slot-seconds of a customer of weight 1.
        """
        weight = self._weights.find(customer) if self._weights else 1
        return self._sum_by_customer.get(customer, 0) / weight

    def measure_fraction(self, customer: str) -> float:
        """Measure the part of the tier's slots that is a customer's share.

        Args:
            customer: The name of the customer.

        Returns:
            The fraction; 1 without contention.
        """
        total = sum(self._sum_by_customer.values())
        if not self.level or not total or not self._weights:
            return 1
        return min(1, self.level * self._weights.find(customer) / total)

    def measure_turns(self, customer: str, own: float) -> float:
        """Measure the work that waits before a new request of a customer.

        The customers over their shares take turns, so that of each other one
        as much work goes before it as of its own.

        Args:
            customer: The name of a customer over its share.
            own: Its own work that goes before the request, in slot-seconds.

        Returns:
            The slot-seconds.
        """
        work = self._work_by_waiting
        others = (work[over] for over in self.over if over in work)
        turns = sum(min(own, waiting) for waiting in others)
        # Its own work is among them, and never less.
        return turns if work.get(customer) else turns + own

    def update(self, weights: 'Weights') -> Changes:
        """Calculate the shares, if requests contend.

        Args:
            weights: The weights of the customers.

        Returns:
            The customers that changed sides.
        """
        self._weights = weights
        if len(self._waiting) > 1:
            self._contended_at = clock.read_monotonic()
        since = clock.read_monotonic() - self._contended_at
        if since > CONTENTION_SECONDS:
            return self._clear()
        self.level = self._find_level()
        return self._find_changes()

    def describe(self, customer: str) -> dict[str, object]:
        """Describe the share of a customer, for the log.

        Args:
            customer: The name of the customer.

        Returns:
            The fields of a log line, by their names.
        """
        return {
            'customer': customer,
            'used': round(self.measure(customer), 2),
            'fair': round(self.level, 2),
            'over': customer in self.over,
            'contenders': len(self._waiting),
        }

    def _clear(self) -> Changes:
        # One customer alone gets what is free, whatever it got before.
        within = tuple(self.over)
        self.over.clear()
        self.level = 0
        return Changes(within=within)

    def _find_level(self) -> float:
        # Max-min fairness: what the tier got is divided by weight among the
        # customers that wait. Of the others, who need no more than they have,
        # those below that level keep what they have.
        total = sum(self._sum_by_customer.values())
        claims = sum(self._weights.find(customer) for customer in self._waiting)
        satisfied = {
            customer: self._weights.find(customer)
            for customer in self._sum_by_customer
            if customer not in self._waiting
        }
        claims += sum(satisfied.values())
        if not claims:
            return 0
        level = total / claims
        for _ in range(MAX_ROUNDS):
            below = [
                customer
                for customer, weight in satisfied.items()
                if self._sum_by_customer[customer] < level * weight
            ]
            for customer in below:
                claims -= satisfied.pop(customer)
                total -= self._sum_by_customer[customer]
            if not below or claims < MIN_CLAIMS:
                break
            level = total / claims
        return level

    def _find_changes(self) -> Changes:
        over = []
        within = []
        slack = SLACK_RUNS * self._mean_run
        for customer, seconds in self._sum_by_customer.items():
            share = self.level * self._weights.find(customer)
            if customer in self.over:
                if seconds < WITHIN_RATIO * share:
                    within.append(customer)
            elif seconds > OVER_RATIO * share + slack:
                over.append(customer)
        within.extend(self.over.difference(self._sum_by_customer))
        self.over.update(over)
        self.over.difference_update(within)
        for customer in over:
            _LOG.write('customer is over its share.', **self.describe(customer))
        return Changes(tuple(over), tuple(within))


class Weights:
    """The weights of the customers of a configuration.

    A customer with a quota has it as weight, relative to the mean of the quotas
    of the same unit, so that customers are cut back in proportion to what they
    may use.
    """

    def __init__(self, configured: deployment.Deployment | None) -> None:
        """Compute the weights.

        Args:
            configured: The configuration; None if there is none yet.
        """
        self.configured = configured
        customers = configured.customers_by_name.values() if configured else ()
        rates_by_unit = collections.defaultdict(list)
        limited = [customer for customer in customers if customer.rate > 0]
        for customer in limited:
            rates_by_unit[customer.by_tokens].append(customer.rate)
        mean_by_unit = {
            unit: sum(rates) / len(rates)
            for unit, rates in rates_by_unit.items()
        }
        self._weight_by_customer = {
            one.name: one.rate / mean_by_unit[one.by_tokens] for one in limited
        }

    def find(self, customer: str) -> float:
        """Find the weight of a customer.

        Args:
            customer: The name of the customer.

        Returns:
            The weight; 1 is that of an average customer.
        """
        return self._weight_by_customer.get(customer, DEFAULT_WEIGHT)


class ServiceShares:
    """The customers of all tiers of a service.

    Attributes:
        tier_by_rank: The customers of each tier.
    """

    def __init__(self) -> None:
        """Start without customers."""
        self.tier_by_rank: dict[int, TierShares] = collections.defaultdict(
            TierShares
        )
        self._decayed_at = clock.read_monotonic()
        self._over = 0

    def find_over(self, rank: int, customer: str) -> bool:
        """Tell whether a customer is over its share.

        Args:
            rank: The tier.
            customer: The name of the customer.

        Returns:
            Whether it is.
        """
        tier = self.tier_by_rank.get(rank)
        return tier is not None and customer in tier.over

    def adopt(self, request: slot.SlotRequest) -> None:
        """Add a run that another broker granted.

        Args:
            request: The slot request of the run.
        """
        self.tier_by_rank[request.rank].adopt(request.customer)

    def update(self, weights: Weights) -> dict[int, Changes]:
        """Decay the sums and calculate the shares.

        Args:
            weights: The weights of the customers.

        Returns:
            The customers that changed sides, by tier.
        """
        now = clock.read_monotonic()
        if now < self._decayed_at + UPDATE_SECONDS:
            return {}
        factor = math.exp((self._decayed_at - now) / MEMORY_SECONDS)
        self._decayed_at = now
        changes_by_rank = {}
        over = 0
        for rank, tier in self.tier_by_rank.items():
            tier.decay(factor)
            changes_by_rank[rank] = tier.update(weights)
            over += len(tier.over)
        metric.OVER_SHARE.inc(over - self._over)
        self._over = over
        return changes_by_rank
