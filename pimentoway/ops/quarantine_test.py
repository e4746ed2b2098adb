"""Tests of the quarantine of requests that may crash back ends."""

import pytest

from pimentoway.core import error, evidence
from pimentoway.ops import quarantine
from pimentoway.standin import paused_loop


def record_crash(
    table: quarantine.SuspectTable,
    fingerprint: str,
    crash: str,
    trial: bool = False,
) -> None:
    """Record that a request was in flight at a crash.

    Args:
        table: The table.
        fingerprint: The fingerprint of the request.
        crash: The back end and its boot identifier.
        trial: Whether the request ran as a trial.
    """
    table.record(evidence.CrashSuspicion(fingerprint, crash, trial))


def test_answer_excuses_the_first_crash() -> None:
    """A request that was answered before is not blocked by one crash."""
    table = quarantine.SuspectTable()
    table.record_answer('often')
    record_crash(table, 'often', 'engine/1')
    assert table.check('often') is quarantine.RunMode.free


def test_answer_does_not_excuse_a_second_crash() -> None:
    """A second crash blocks a request even if it was answered before."""
    table = quarantine.SuspectTable()
    table.record_answer('often')
    record_crash(table, 'often', 'engine/1')
    record_crash(table, 'often', 'engine/2')
    with pytest.raises(error.QuarantinedError):
        table.check('often')


def test_only_request_at_a_crash_is_blocked() -> None:
    """The only request at a crash is blocked, then runs as a trial."""
    table = quarantine.SuspectTable()
    record_crash(table, 'guilty', 'engine/1')
    with pytest.raises(error.QuarantinedError) as caught:
        table.check('guilty')
    assert caught.value.retry_after > quarantine.HOLD_SECONDS
    paused_loop.advance(quarantine.BLOCK_SECONDS + 1)
    assert table.check('guilty') is quarantine.RunMode.trial


def test_crash_in_a_trial_bans_the_request() -> None:
    """A crash in a trial blocks the request for longer than a first one."""
    table = quarantine.SuspectTable()
    record_crash(table, 'guilty', 'engine/1')
    record_crash(table, 'innocent', 'engine/1')
    paused_loop.advance(quarantine.HOLD_SECONDS + 1)
    table.begin_trial('guilty')
    record_crash(table, 'guilty', 'engine/2', trial=True)
    table.end_trial('guilty', complete=False)
    paused_loop.advance(quarantine.BLOCK_SECONDS + 1)
    with pytest.raises(error.QuarantinedError):
        table.check('guilty')
    assert table.check('innocent') is quarantine.RunMode.trial


def test_oldest_crash_is_forgotten() -> None:
    """The suspect of the oldest crash is free after too many crashes."""
    table = quarantine.SuspectTable()
    for number in range(quarantine.MAX_CRASHES + 50):
        record_crash(table, f'request-{number}', f'engine/{number}')
    assert table.check('request-0') is quarantine.RunMode.free
