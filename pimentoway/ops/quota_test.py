"""Tests of the customers' quotas on the paused clock."""

from hypothesis import given, strategies

from pimentoway.core import deployment, nodesetting
from pimentoway.ops import quota
from pimentoway.standin import paused_loop

BOUNDS = nodesetting.Bounds(quota_slack=1000)
CUSTOMER = deployment.Customer('c', ('k',), None, 100, 300, True, 10)
WINDOW_QUOTA = 100 * BOUNDS.quota_window + 300
WINDOW_BOUND = WINDOW_QUOTA * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack


def spend(
    ledger: quota.QuotaLedger, cost: float, has_idle_slots: bool = False
) -> bool:
    """Try to spend at a broker that all nodes use.

    Args:
        ledger: The ledger.
        cost: The cost, in units of the quota.
        has_idle_slots: Whether slots are free that no other request waits for.

    Returns:
        Whether the cost was charged.
    """
    return not ledger.spend(CUSTOMER, cost, 1, has_idle_slots)


def test_bucket_refills_at_the_rate_of_the_quota() -> None:
    """An empty bucket admits a request once its cost has been refilled."""
    ledger = quota.QuotaLedger(BOUNDS)
    assert spend(ledger, 300)
    assert not spend(ledger, 100)
    paused_loop.advance(1)
    assert spend(ledger, 100)


def test_spend_succeeds_after_the_returned_wait() -> None:
    """A request is admitted after the wait that its refusal stated."""
    ledger = quota.QuotaLedger(BOUNDS)
    spend(ledger, 300)
    wait = ledger.spend(CUSTOMER, 200, 1, has_idle_slots=False)
    paused_loop.advance(wait + 0.01)
    assert spend(ledger, 200)


@given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0, 2),
            strategies.floats(1, 400),
            strategies.booleans(),
        ),
        max_size=80,
    ),
)
def test_usage_in_any_window_stays_in_bounds(
    steps: list[tuple[float, float, bool]],
) -> None:
    """No sequence of requests exceeds the bound in any sliding window."""
    ledger = quota.QuotaLedger(BOUNDS)
    now: float = 0
    spent: list[tuple[float, float]] = []
    for pause, cost, has_idle_slots in steps:
        paused_loop.advance(pause)
        now += pause
        if spend(ledger, cost, has_idle_slots):
            spent.append((now, cost))
    for start, _ in spent:
        end = start + BOUNDS.quota_window
        assert (
            sum(cost for time, cost in spent if start <= time < end)
            <= WINDOW_BOUND
        )


def test_refund_restores_the_bucket() -> None:
    """The cost of a request that did not run can be spent again."""
    ledger = quota.QuotaLedger(BOUNDS)
    spend(ledger, 300)
    ledger.refund('c', 300)
    assert spend(ledger, 300)


def test_charge_of_steady_usage_keeps_bucket_full() -> None:
    """Usage at another broker is covered by what was earned meanwhile.

    Usage beyond that empties the bucket.
    """
    ledger = quota.QuotaLedger(BOUNDS)
    ledger.charge(CUSTOMER, 100 * BOUNDS.quota_window)
    assert spend(ledger, 300)
    other = quota.QuotaLedger(BOUNDS)
    other.charge(CUSTOMER, WINDOW_QUOTA)
    assert not spend(other, 100)


def test_brokers_with_half_shares_grant_one_quota() -> None:
    """Split nodes: two brokers with half of the nodes grant one quota."""
    ledgers = [quota.QuotaLedger(BOUNDS) for _ in range(2)]
    granted = 0
    for _ in range(400):
        paused_loop.advance(BOUNDS.quota_window / 400)
        granted += sum(
            not ledger.spend(CUSTOMER, 20, 0.5, has_idle_slots=True)
            for ledger in ledgers
        )
    assert WINDOW_QUOTA * 0.9 <= granted * 20 <= WINDOW_BOUND


def test_bucket_grows_with_the_share_of_nodes() -> None:
    """All nodes start at once: the first requests don't empty the bucket.

    The broker has a small share of the quota until the other nodes use it,
    which takes up to half a second.
    """
    ledger = quota.QuotaLedger(BOUNDS)
    assert not ledger.spend(CUSTOMER, 3, 1 / 76, has_idle_slots=False)
    paused_loop.advance(0.1)
    assert not ledger.spend(CUSTOMER, 250, 1, has_idle_slots=False)


def test_alternating_share_grants_no_extra_quota() -> None:
    """Flapping links: usage in a window stays within the bound."""
    ledger = quota.QuotaLedger(BOUNDS)
    granted: float = 0
    for step in range(400):
        paused_loop.advance(BOUNDS.quota_window / 400)
        share = (1, 0.3)[step % 2]
        granted += 20 * (
            not ledger.spend(CUSTOMER, 20, share, has_idle_slots=True)
        )
    assert granted <= WINDOW_BOUND
