"""Tests of the quotas on the paused clock."""

from hypothesis import given, strategies

from pimentoway.core import deployment, place
from pimentoway.ops import quota
from pimentoway.standin import paused_loop

BOUNDS = place.Bounds(quota_slack=1000)
CUSTOMER = deployment.Customer('c', ('k',), None, 100, 300, True, 10)
LIMIT = 100 * BOUNDS.quota_window + 300
BOUND = LIMIT * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack


def spend(book: quota.QuotaLedger, cost: float, idle: bool = False) -> bool:
    """Try to spend.

    Args:
        book: The book.
        cost: The cost.
        idle: Whether slots are idle.

    Returns:
        Whether it was allowed.
    """
    return not book.spend(CUSTOMER, cost, 1, idle)


def test_bucket_refills_at_its_rate() -> None:
    """What is used up comes back at the rate of the quota."""
    book = quota.QuotaLedger(BOUNDS)
    assert spend(book, 300)
    assert not spend(book, 100)
    paused_loop.advance(1)
    assert spend(book, 100)


def test_wait_tells_when_to_come_back() -> None:
    """The time of a refusal is enough."""
    book = quota.QuotaLedger(BOUNDS)
    spend(book, 300)
    wait = book.spend(CUSTOMER, 200, 1, has_idle_slots=False)
    paused_loop.advance(wait + 0.01)
    assert spend(book, 200)


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
def test_no_window_exceeds_the_promise(
    steps: list[tuple[float, float, bool]],
) -> None:
    """Whatever is asked, no window holds more than the bound allows."""
    book = quota.QuotaLedger(BOUNDS)
    now: float = 0
    used: list[tuple[float, float]] = []
    for pause, cost, idle in steps:
        paused_loop.advance(pause)
        now += pause
        if spend(book, cost, idle):
            used.append((now, cost))
    for start, _ in used:
        end = start + BOUNDS.quota_window
        assert sum(cost for time, cost in used if start <= time < end) <= BOUND


def test_refund_gives_back() -> None:
    """What did not run is not charged."""
    book = quota.QuotaLedger(BOUNDS)
    spend(book, 300)
    book.refund('c', 300)
    assert spend(book, 300)


def test_steady_use_leaves_the_bucket_full() -> None:
    """A broker that takes over does not punish a customer for its past."""
    book = quota.QuotaLedger(BOUNDS)
    book.charge(CUSTOMER, 100 * BOUNDS.quota_window)
    assert spend(book, 300)
    other = quota.QuotaLedger(BOUNDS)
    other.charge(CUSTOMER, LIMIT)
    assert not spend(other, 100)


def test_brokers_that_share_stay_within_the_quota() -> None:
    """Split nodes: two brokers with half of the nodes give out one quota."""
    books = [quota.QuotaLedger(BOUNDS) for _ in range(2)]
    granted = 0
    for _ in range(400):
        paused_loop.advance(BOUNDS.quota_window / 400)
        granted += sum(
            not book.spend(CUSTOMER, 20, 0.5, has_idle_slots=True)
            for book in books
        )
    assert LIMIT * 0.9 <= granted * 20 <= BOUND


def test_bucket_grows_with_the_nodes_that_come() -> None:
    """All nodes start at once: the first asks don't cost the whole bucket.

    The broker gives out a small part of the quota until the other nodes have
    come to it, within half a second.
    """
    book = quota.QuotaLedger(BOUNDS)
    assert not book.spend(CUSTOMER, 3, 1 / 76, has_idle_slots=False)
    paused_loop.advance(0.1)
    assert not book.spend(CUSTOMER, 250, 1, has_idle_slots=False)


def test_nodes_that_come_and_go_bring_no_quota() -> None:
    """Flapping links: in no window more is given out than the bound allows."""
    book = quota.QuotaLedger(BOUNDS)
    granted: float = 0
    for step in range(400):
        paused_loop.advance(BOUNDS.quota_window / 400)
        share = (1, 0.3)[step % 2]
        granted += 20 * (
            not book.spend(CUSTOMER, 20, share, has_idle_slots=True)
        )
    assert granted <= BOUND
