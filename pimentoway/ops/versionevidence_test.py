"""Tests of the evidence on a new version."""

from pimentoway.ops import baseline, slot, versionevidence
from pimentoway.standin import paused_loop

REPORT = slot.Report(1, slot.Outcome.answered, 0.1, 0.3, 10)


def make_baseline(seconds: int = 10) -> baseline.Baseline:
    """Make the baseline of a version that answers 20 requests a second well.

    Args:
        seconds: For how long it did.

    Returns:
        The baseline.
    """
    usual = baseline.Baseline()
    for _ in range(seconds * 20):
        paused_loop.advance(0.05)
        usual.note('r', REPORT, bad=False, timed=True)
        usual.close_window()
    return usual


def test_trouble_of_both_versions_blames_none() -> None:
    """Answers that were on their way when the trouble began are no evidence."""
    usual = make_baseline()
    evidence = versionevidence.VersionEvidence(usual)
    for number in range(20):
        usual.note('r', REPORT, bad=number % 2 == 0, timed=True)
    for number in range(20):
        evidence.note('r', bad=number % 2 == 0, bad_now=number % 2 == 0)
    assert evidence.find_bad_route() is None
    assert evidence.is_held()


def test_failures_beside_a_sound_version_count() -> None:
    """The same answers of the new version, while the old one is sound."""
    usual = make_baseline()
    evidence = versionevidence.VersionEvidence(usual)
    for number in range(20):
        evidence.note('r', bad=number % 2 == 0, bad_now=number % 2 == 0)
    assert evidence.find_bad_route() is not None
    assert not evidence.is_held()


def test_slow_time_is_not_usual() -> None:
    """Answers of a slow time made later slow answers look usual."""
    usual = make_baseline()
    slow = slot.Report(1, slot.Outcome.answered, 0.6, 1.8, 10)
    for _ in range(100):
        paused_loop.advance(0.05)
        usual.note('r', slow, usual.is_slow('r', slow, 3), timed=True)
        usual.close_window()
    assert usual.is_slow('r', slow, 3)
    assert not usual.is_slow_now('r', slow, 3)
    assert usual.is_disturbed()
