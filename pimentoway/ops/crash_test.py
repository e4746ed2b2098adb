"""Tests of the ledger of requests that break back ends."""

from pimentoway.ops import crash
from pimentoway.standin import paused_loop


def test_third_back_end_is_the_last() -> None:
    """A request that broke three back ends is refused for a while."""
    ledger = crash.CrashLedger()
    for engine in ('a', 'b'):
        ledger.note_break(7, engine)
    assert not ledger.measure_block(7)
    ledger.note_break(7, 'c')
    assert ledger.measure_block(7) > 0
    paused_loop.advance(crash.BLOCK_SECONDS + 1)
    assert not ledger.measure_block(7)


def test_one_back_end_counts_once() -> None:
    """A back end that breaks again and again is its own fault."""
    ledger = crash.CrashLedger()
    for _ in range(5):
        ledger.note_break(7, 'a')
    assert not ledger.measure_block(7)


def test_an_answer_clears_a_request() -> None:
    """A page that was answered is no suspect."""
    ledger = crash.CrashLedger()
    for engine in ('a', 'b'):
        ledger.note_break(7, engine)
    ledger.note_answer(7)
    ledger.note_break(7, 'c')
    assert not ledger.measure_block(7)


def test_old_breaks_are_forgotten() -> None:
    """Breaks that lie far apart have nothing to do with each other."""
    ledger = crash.CrashLedger()
    for engine in ('a', 'b', 'c'):
        ledger.note_break(7, engine)
        paused_loop.advance(crash.MEMORY_SECONDS + 1)
    assert not ledger.measure_block(7)


def test_memory_is_bounded() -> None:
    """Many broken requests take bounded memory."""
    ledger = crash.CrashLedger()
    for number in range(crash.KEPT_REQUESTS + 10):
        ledger.note_break(number, 'a')
    assert len(ledger._breaks_by_request) == crash.KEPT_REQUESTS
