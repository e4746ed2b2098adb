"""Tests of rollouts at the broker."""

import random

import msgspec
import pytest

from pimentoway.core import deployment, place, registry
from pimentoway.ops import ask, enginestate, progress, view
from pimentoway.standin import asking, paused_loop

ORDER = deployment.Rollout('s', 'v2', 12, 'o1', '', 3)

ENTRY = asking.make_ask(1, service='s')


class Rollout:
    """A rollout under a steady load.

    Attributes:
        table: The rollouts.
        states: What was decided, in order.
        new_starts: The requests that the new version got.
        starts: All requests.
        away: Whether what is decided can't be reported.
    """

    def __init__(self, order: deployment.Rollout = ORDER) -> None:
        """Begin a rollout.

        Args:
            order: The order.
        """
        self.away = False
        self.known = view.View()
        self.table = progress.ProgressTable(place.Bounds(), self.known)
        self.states: list[progress.State] = []
        self.new_starts = 0
        self.starts = 0
        self._revision = 0
        self._random = random.Random(1)
        self._states = {
            version: enginestate.EngineState(self._make_engine(version))
            for version in ('v1', 'v2')
        }
        for here in self._states.values():
            self._change(registry.Kind.engines, here.engine.name, here.engine)
        self._change(registry.Kind.rollouts, 's', order)
        paused_loop.advance(0)

    def run(
        self,
        seconds: float,
        bad_part: float = 0,
        bad_route: str = '',
        pace: float = 1,
        rate: float = 40,
    ) -> None:
        """Let requests arrive for some time.

        Args:
            seconds: For how long.
            bad_part: The part of the new version's answers that are bad.
            bad_route: The only route on which they are, if there is one.
            pace: How much longer the new version takes.
            rate: The requests a second.
        """
        for number in range(int(seconds * rate)):
            paused_loop.advance(1 / rate)
            route = f'r{number % 4}'
            here = self._choose()
            self.starts += 1
            self.table.note_start(here.engine)
            new = here.engine.version == 'v2'
            self.new_starts += new
            bad = new and self._random.random() < bad_part
            if bad_route and bad_route != route:
                bad = False
            self._end(here, route, bad, pace if new else 1)
            self._decide()

    def _choose(self) -> enginestate.EngineState:
        allowed = [
            here
            for here in self._states.values()
            if self.table.allows(here.engine)
        ]
        return self.table.prefer('s', allowed)[0]

    def _end(
        self, here: enginestate.EngineState, route: str, bad: bool, pace: float
    ) -> None:
        outcome = ask.Outcome.failed if bad else ask.Outcome.answered
        report = ask.Report(1, outcome, 0.1 * pace, 0.3 * pace, 10)
        entry = msgspec.structs.replace(ENTRY, route=route)
        self.table.note_end(here, entry, report)

    def _decide(self) -> None:
        decided = self.table.decide('s', 0)
        if decided is None:
            return
        order, state = decided[0].order, decided[1]
        self.states.append(state)
        if self.away:
            return
        self._change(
            registry.Kind.rollouts,
            's',
            deployment.Rollout(
                's', 'v2', order.seconds, order.identity, state.value, 4
            ),
        )

    def _make_engine(self, version: str) -> deployment.Engine:
        return deployment.Engine(
            version, 's', '1.1.1.1:1', 'z', version, 6, False, 0, 1
        )

    def _change(
        self, kind: registry.Kind, name: str, record: registry.Record
    ) -> None:
        self._revision += 1
        self.known.take_changes(
            kind,
            registry.Changes(self._revision, (registry.Change(name, record),)),
            'test',
        )
        self.table.follow()


def test_good_version_is_complete_in_time() -> None:
    """A good version gets everything before its promised time."""
    rollout = Rollout()
    rollout.run(ORDER.seconds)
    assert rollout.states == [progress.State.active, progress.State.complete]


@pytest.mark.parametrize(
    'fault',
    [
        {'bad_part': 0.4},
        {'bad_part': 0.6, 'bad_route': 'r2'},
        {'pace': 5, 'rate': 60},
    ],
)
def test_bad_version_is_taken_back(fault: dict) -> None:
    """A failing, half failing or slow version gets little and is reverted."""
    rollout = Rollout()
    rollout.run(ORDER.seconds, **fault)
    assert rollout.states == [progress.State.active, progress.State.reverted]
    bounds = place.Bounds()
    limit = bounds.exposure_share * rollout.starts + bounds.exposure_slack
    assert rollout.new_starts <= limit


def test_version_that_turns_bad_is_taken_back() -> None:
    """A version that fails once it carries everything is reverted."""
    rollout = Rollout()
    rollout.run(ORDER.seconds * progress.MOVE_PART + 0.3)
    before = rollout.new_starts
    rollout.run(4, bad_part=0.5)
    assert rollout.states[-1] is progress.State.reverted
    assert rollout.new_starts - before < 50


def test_condemned_version_gets_nothing_more() -> None:
    """Between the verdict and its report no request goes there."""
    rollout = Rollout()
    rollout.away = True
    rollout.run(ORDER.seconds, bad_part=1)
    assert rollout.states[-1] is progress.State.reverted
    before = rollout.new_starts
    rollout.run(3)
    assert rollout.new_starts == before


def test_failures_of_both_versions_condemn_none() -> None:
    """Errors that the old version has too are no evidence."""
    rollout = Rollout()
    old = rollout._states['v1']
    for number in range(100):
        rollout._end(old, f'r{number % 4}', number % 3 == 0, 1)
    rollout.run(ORDER.seconds, bad_part=0.33)
    assert progress.State.reverted not in rollout.states


def test_few_answers_are_not_enough() -> None:
    """A version that got hardly any requests is not completed."""
    rollout = Rollout()
    rollout.run(ORDER.seconds, rate=0.3)
    assert progress.State.complete not in rollout.states


def test_reported_state_binds_a_new_broker() -> None:
    """A broker that takes over goes by what was reported."""
    done = deployment.Rollout('s', 'v2', 12, 'o1', 'complete', 4)
    rollout = Rollout(done)
    rollout.run(1)
    assert rollout.new_starts == rollout.starts
    back = deployment.Rollout('s', 'v2', 12, 'o1', 'reverted', 4)
    rollout = Rollout(back)
    rollout.run(1)
    assert not rollout.new_starts
