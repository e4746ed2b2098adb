"""Tests of the suspicion of requests that crash back ends."""

import pytest

from pimentoway.core import error, evidence
from pimentoway.ops import suspect
from pimentoway.standin import paused_loop


def accuse(
    table: suspect.SuspectTable,
    fingerprint: str,
    crash: str,
    trial: bool = False,
) -> None:
    """Tell a table that a request was in flight at a crash.

    Args:
        table: The table.
        fingerprint: The fingerprint of the request.
        crash: The crash.
        trial: Whether the request ran as a trial.
    """
    table.record(evidence.Suspicion(fingerprint, crash, trial))


def test_answered_request_is_no_suspect() -> None:
    """A request that many callers send is not blocked by one crash."""
    table = suspect.SuspectTable()
    table.note_answered('often')
    accuse(table, 'often', 'engine/1')
    assert table.check('often') is suspect.Verdict.free


def test_second_crash_counts_against_the_answered() -> None:
    """A second crash makes a suspect of a request that was answered."""
    table = suspect.SuspectTable()
    table.note_answered('often')
    accuse(table, 'often', 'engine/1')
    accuse(table, 'often', 'engine/2')
    with pytest.raises(error.QuarantinedError):
        table.check('often')


def test_lonely_request_is_blocked() -> None:
    """A request that was alone at a crash is blocked, then tried alone."""
    table = suspect.SuspectTable()
    accuse(table, 'guilty', 'engine/1')
    with pytest.raises(error.QuarantinedError) as caught:
        table.check('guilty')
    assert caught.value.retry_after > suspect.HOLD_SECONDS
    paused_loop.advance(suspect.BLOCK_SECONDS + 1)
    assert table.check('guilty') is suspect.Verdict.trial


def test_trial_that_crashes_is_banned() -> None:
    """A request that crashes a back end in its trial is banned for long."""
    table = suspect.SuspectTable()
    accuse(table, 'guilty', 'engine/1')
    accuse(table, 'innocent', 'engine/1')
    paused_loop.advance(suspect.HOLD_SECONDS + 1)
    table.begin_trial('guilty')
    accuse(table, 'guilty', 'engine/2', trial=True)
    table.end_trial('guilty', whole=False)
    paused_loop.advance(suspect.BLOCK_SECONDS + 1)
    with pytest.raises(error.QuarantinedError):
        table.check('guilty')
    assert table.check('innocent') is suspect.Verdict.trial


def test_memory_is_bounded() -> None:
    """However many crashes come, the memory of them is bounded."""
    table = suspect.SuspectTable()
    for number in range(suspect.KEPT_CRASHES + 50):
        accuse(table, f'request-{number}', f'engine/{number}')
    assert table.check('request-0') is suspect.Verdict.free
