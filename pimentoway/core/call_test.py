"""Tests of what a caller's request states."""

from pimentoway.core import call


def test_work_follows_the_estimated_length() -> None:
    """One bound for all answers: work and length come from one estimate."""
    token_counts = call.TokenCounts(500, 3000, 40)
    assert token_counts.estimate_output() == 40
    assert token_counts.estimate_work() == 500 + 40 * call.OUTPUT_TOKEN_WEIGHT


def test_bound_is_not_taken_for_an_estimate() -> None:
    """No estimate: the request does not count as the longest possible."""
    token_counts = call.TokenCounts(500, 3000)
    assert token_counts.estimate_output() == 0
    assert token_counts.estimate_work() == 0


def test_estimate_is_capped_at_the_bound() -> None:
    """Estimate above the bound: no back end generates more than the bound."""
    assert call.TokenCounts(500, 3000, 5000).estimate_output() == 3000
