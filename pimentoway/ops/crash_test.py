"""Tests of the blocking of requests that break back ends."""

from pimentoway.ops import crash
from pimentoway.standin import paused_loop


def test_three_broken_back_ends_block_a_request() -> None:
    """A request that broke three back ends is refused for a while."""
    ledger = crash.CrashLedger()
    for engine in ('a', 'b'):
        ledger.record_break(7, engine)
    assert not ledger.compute_block_seconds(7)
    ledger.record_break(7, 'c')
    assert ledger.compute_block_seconds(7) > 0
    paused_loop.advance(crash.BLOCK_SECONDS + 1)
    assert not ledger.compute_block_seconds(7)


def test_breaks_of_one_back_end_count_once() -> None:
    """Breaks of the same back end don't block a request."""
    ledger = crash.CrashLedger()
    for _ in range(5):
        ledger.record_break(7, 'a')
    assert not ledger.compute_block_seconds(7)


def test_answer_clears_earlier_breaks() -> None:
    """Breaks before an answer don't count any more."""
    ledger = crash.CrashLedger()
    for engine in ('a', 'b'):
        ledger.record_break(7, engine)
    ledger.record_answer(7)
    ledger.record_break(7, 'c')
    assert not ledger.compute_block_seconds(7)


def test_old_breaks_are_forgotten() -> None:
    """Breaks more than `MEMORY_SECONDS` apart don't add up."""
    ledger = crash.CrashLedger()
    for engine in ('a', 'b', 'c'):
        ledger.record_break(7, engine)
        paused_loop.advance(crash.MEMORY_SECONDS + 1)
    assert not ledger.compute_block_seconds(7)


def test_memory_is_bounded() -> None:
    """No more than `MAX_REQUESTS` requests are remembered."""
    ledger = crash.CrashLedger()
    for number in range(crash.MAX_REQUESTS + 10):
        ledger.record_break(number, 'a')
    assert len(ledger._breaks_by_request) == crash.MAX_REQUESTS
