"""Tests of the evidence against parts of prompts, on the paused clock."""

import dataclasses
import itertools
import random

import pytest

from pimentoway.core import clock, deployment
from pimentoway.ops import partledger
from pimentoway.standin import paused_loop

BAD, SHARED, RARE = (('pool', number) for number in (1, 2, 3))
BAD_PARTS = (BAD,)


#: The steps of the simulation below, in seconds.
STEP_SECONDS = 0.05


def crash(ledger: partledger.PartLedger, number: int, *parts: tuple) -> None:
    """Let a back end crash that has just begun to run a request.

    Args:
        ledger: The ledger.
        number: Identifies the crash.
        *parts: The parts of the request's prompt.
    """
    started = clock.read_monotonic()
    paused_loop.advance(0.1)
    ledger.record_crash(f'e{number}', parts, started)


def test_crashes_in_a_row_block_a_part() -> None:
    """No two of the requests are alike, but they share a part."""
    ledger = partledger.PartLedger()
    for number in range(partledger.MIN_CRASHES):
        assert not ledger.compute_block_seconds(BAD_PARTS)
        crash(ledger, number, BAD, ('pool', 100 + number))
    assert ledger.compute_block_seconds([SHARED, BAD]) > 0
    assert ledger.is_blocked(BAD_PARTS)
    assert not ledger.is_blocked([('other', BAD[1]), ('pool', 100)])


def test_answer_between_crashes_clears_a_part() -> None:
    """A part that crashes back ends is never answered, so this one is not."""
    ledger = partledger.PartLedger()
    for number in range(20):
        crash(ledger, number, SHARED)
        crash(ledger, number + 100, SHARED)
        ledger.record_answer([SHARED])
    assert not ledger.is_blocked([SHARED])


def test_simultaneous_crashes_count_once() -> None:
    """Many back ends fail at once: their requests shared a part by chance."""
    ledger = partledger.PartLedger()
    started = clock.read_monotonic()
    paused_loop.advance(0.1)
    for number in range(20):
        ledger.record_crash(f'e{number}', [SHARED], started)
    assert not ledger.is_blocked([SHARED])


def test_part_beside_the_cause_is_not_blocked() -> None:
    """Requests with the cause share a second part, which is answered once."""
    ledger = partledger.PartLedger()
    crash(ledger, 0, BAD, SHARED)
    ledger.record_answer([SHARED])
    crash(ledger, 1, BAD, SHARED)
    crash(ledger, 2, BAD, SHARED)
    assert ledger.is_blocked(BAD_PARTS)
    assert not ledger.is_blocked([SHARED])


def test_inseparable_parts_are_both_blocked() -> None:
    """Two parts that always come together, neither of them ever answered."""
    ledger = partledger.PartLedger()
    for number in range(partledger.CERTAIN_CRASHES):
        crash(ledger, number, BAD, SHARED)
    assert ledger.is_blocked(BAD_PARTS)


def test_wrongly_blocked_part_is_released() -> None:
    """The cause becomes known later: it explains the same crashes."""
    ledger = partledger.PartLedger()
    for number in range(partledger.MIN_CRASHES):
        started = clock.read_monotonic()
        paused_loop.advance(0.1)
        ledger.record_crash(f'e{number}', [RARE], started)
        ledger.record_crash(f'e{number}', [BAD], started)
    assert ledger.is_blocked([RARE])
    for later in range(100, 100 + partledger.CERTAIN_CRASHES):
        crash(ledger, later, BAD)
    assert ledger.is_blocked(BAD_PARTS)
    assert not ledger.is_blocked([RARE])


def test_answer_of_a_running_request_unblocks() -> None:
    """A request that already ran proves that the part was blocked wrongly."""
    ledger = partledger.PartLedger()
    for number in range(partledger.MIN_CRASHES):
        crash(ledger, number, SHARED)
    assert ledger.is_blocked([SHARED])
    ledger.record_answer([SHARED])
    assert not ledger.compute_block_seconds([SHARED])


def test_one_request_is_let_through_after_a_block() -> None:
    """Its crash doubles the block, its answer ends it."""
    ledger = partledger.PartLedger()
    for number in range(partledger.MIN_CRASHES):
        crash(ledger, number, BAD)
    for doubled in (1, 2, 4):
        paused_loop.advance(partledger.BLOCK_SECONDS * doubled + 1)
        assert not ledger.compute_block_seconds(BAD_PARTS)
        assert ledger.compute_block_seconds(BAD_PARTS) > 0
        crash(ledger, 50 + doubled, BAD)
        left = ledger.compute_block_seconds(BAD_PARTS)
        assert left > partledger.BLOCK_SECONDS * doubled * 2 - 1
    paused_loop.advance(partledger.BLOCK_SECONDS * 8 + 1)
    assert not ledger.compute_block_seconds(BAD_PARTS)
    ledger.record_answer(BAD_PARTS)
    assert not ledger.is_blocked(BAD_PARTS)


def test_let_through_request_without_outcome() -> None:
    """It was refused for another reason: the next one is let through later."""
    ledger = partledger.PartLedger()
    for number in range(partledger.MIN_CRASHES):
        crash(ledger, number, BAD)
    paused_loop.advance(partledger.BLOCK_SECONDS + 1)
    assert not ledger.compute_block_seconds(BAD_PARTS)
    paused_loop.advance(partledger.TRIAL_SECONDS + 1)
    assert not ledger.compute_block_seconds(BAD_PARTS)


def test_crash_of_an_earlier_run_does_not_double() -> None:
    """Requests that ran when the part was blocked still crash back ends."""
    ledger = partledger.PartLedger()
    for number in range(partledger.MIN_CRASHES + 4):
        crash(ledger, number, BAD)
    left = ledger.compute_block_seconds(BAD_PARTS)
    assert 0 < left <= partledger.BLOCK_SECONDS


def test_number_of_parts_is_bounded() -> None:
    """Neither suspected nor blocked parts grow without a limit."""
    ledger = partledger.PartLedger()
    numbers = itertools.count()
    for suspected in range(partledger.MAX_SUSPECTS + 10):
        crash(ledger, next(numbers), ('pool', suspected))
    for blocked in range(partledger.MAX_BLOCKS + 10):
        for _ in range(partledger.MIN_CRASHES):
            crash(ledger, next(numbers), ('pool', blocked))
    assert len(ledger._suspicion_by_part) == partledger.MAX_SUSPECTS
    assert len(ledger._block_by_part) == partledger.MAX_BLOCKS


def test_block_of_another_broker_is_in_force() -> None:
    """It is refused as long as there, and free again when it is removed."""
    ledger = partledger.PartLedger()
    ledger.adopt([deployment.PartBlock(*BAD, 600)])
    assert 599 < ledger.compute_block_seconds(BAD_PARTS) <= 600
    ledger.adopt([deployment.PartBlock(*BAD, 600)])
    assert not ledger.unstored_by_part
    ledger.adopt([deployment.PartBlock(*BAD, 1200)])
    assert ledger.compute_block_seconds(BAD_PARTS) > 1199
    ledger.adopt([])
    assert not ledger.is_blocked(BAD_PARTS)


def test_block_is_kept_until_it_is_stored() -> None:
    """The store is down: the block stays in force and is to be written."""
    ledger = partledger.PartLedger()
    for number in range(partledger.MIN_CRASHES):
        crash(ledger, number, BAD)
    ledger.adopt([])
    assert ledger.is_blocked(BAD_PARTS)
    block = ledger.unstored_by_part[BAD]
    assert block.seconds == partledger.BLOCK_SECONDS
    ledger.adopt([block])
    ledger.adopt([])
    assert not ledger.is_blocked(BAD_PARTS)


def test_late_crash_does_not_keep_a_removed_block() -> None:
    """A run from before the block crashes, then another node removes it."""
    ledger = partledger.PartLedger()
    ledger.adopt([deployment.PartBlock(*RARE, 600)])
    crash(ledger, 1, RARE)
    assert ledger.is_blocked([RARE])
    ledger.adopt([])
    assert not ledger.is_blocked([RARE])


def test_answer_removes_a_stored_block() -> None:
    """The store still has it, so it must not come back from there."""
    ledger = partledger.PartLedger()
    block = deployment.PartBlock(*SHARED, 600)
    ledger.adopt([block])
    ledger.record_answer([SHARED])
    assert not ledger.unstored_by_part[SHARED].seconds
    ledger.adopt([block])
    assert not ledger.is_blocked([SHARED])


@dataclasses.dataclass(frozen=True)
class Run:
    """A run of a request in a simulation.

    Attributes:
        part: The shared part of its prompt.
        started: The monotonic time of its start.
        end: The monotonic time at which it is answered.
    """

    part: tuple[str, int]
    started: float
    end: float


class Storm:
    """Ten back ends that run six requests each and crash again and again.

    One crashes each second on average for no reason of a part. The shared
    parts are as rare as the callers of a large deployment are.

    Attributes:
        ledger: The ledger that gets their reports.
    """

    def __init__(self, seed: int) -> None:
        """Start with idle back ends.

        Args:
            seed: The seed.
        """
        self.ledger = partledger.PartLedger()
        self._random = random.Random(seed)
        self._crash_count = 0
        self._runs_by_engine: list[list[Run]] = [[] for _ in range(10)]

    def play(self, seconds: float, bad_pause: float = 0) -> None:
        """Let time pass.

        Args:
            seconds: How long.
            bad_pause: Seconds between requests with the part ``BAD``, which
                are sent until it is blocked; 0 for none.
        """
        for tick in range(int(seconds / STEP_SECONDS)):
            for runs in self._runs_by_engine:
                self._end_and_start_runs(runs)
            if self._random.random() < STEP_SECONDS:
                self._crash(self._random.choice(self._runs_by_engine))
            due = bad_pause and tick % round(bad_pause / STEP_SECONDS) == 0
            if due and not self.ledger.is_blocked(BAD_PARTS):
                self._run_bad_request()
            paused_loop.advance(STEP_SECONDS)

    def list_blocked(self) -> list[tuple[str, int]]:
        """List the parts that are blocked.

        Returns:
            The parts.
        """
        return list(self.ledger._block_by_part)

    def _end_and_start_runs(self, runs: list[Run]) -> None:
        now = clock.read_monotonic()
        ended = [run for run in runs if run.end <= now]
        for run in ended:
            runs.remove(run)
            self.ledger.record_answer([run.part])
        while len(runs) < 6:
            # Zipf's law: a few parts are common and most are rare.
            part = 10 + int(500 ** self._random.random())
            length = self._random.expovariate(1.5) + 0.1
            runs.append(Run(('pool', part), now, now + length))

    def _run_bad_request(self) -> None:
        now = clock.read_monotonic()
        runs = self._random.choice(self._runs_by_engine)
        runs.append(Run(BAD, now, now + 99))
        paused_loop.advance(STEP_SECONDS)
        self._crash(runs)

    def _crash(self, runs: list[Run]) -> None:
        self._crash_count += 1
        now = clock.read_monotonic()
        self._random.shuffle(runs)
        for run in runs:
            if now - run.started <= partledger.SUSPECT_SECONDS:
                self.ledger.record_crash(
                    f'crash{self._crash_count}', [run.part], run.started
                )
        runs.clear()


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_storm_of_crashes_blocks_no_sound_part(seed: int) -> None:
    """120 crashes in two minutes that no part of a prompt causes."""
    storm = Storm(seed)
    storm.play(120)
    assert not storm.list_blocked()


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_cause_is_found_in_a_storm_of_crashes(seed: int) -> None:
    """A part crashes back ends while others crash for no reason of a part."""
    storm = Storm(seed)
    storm.play(20, bad_pause=0.35)
    assert storm.list_blocked() == [BAD]
