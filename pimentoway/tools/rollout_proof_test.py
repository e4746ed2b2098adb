"""Proofs of rollouts: good versions are done in time, bad ones taken back."""

import dataclasses

import pytest

from pimentoway.core import clock, codec, configuration, error
from pimentoway.objects import head, lease
from pimentoway.ops import rollout
from pimentoway.standin import model, shape, store, world
from pimentoway.tools import controller

#: Seconds from the start of a rollout to its promised time.
PROMISE_SECONDS = 200

#: The requests a second during a rollout.
RATE = 10

#: Seconds after a version shows to be bad until it gets no traffic.
STOP_SECONDS = 10


class Trial:
    """A rollout in a world: half of the engines run the new version.

    Attributes:
        built: The world.
        planned: The rollout.
        began: When it began, on the runtime's clock.
    """

    def __init__(self, nodes: int = 2) -> None:
        """Build the world and declare the rollout.

        Args:
            nodes: The nodes in each failure domain.
        """
        engines = tuple(model.Traits() for _ in range(4))
        self.built = world.World(
            shape.Shape(engines=engines, deadline=10, nodes=nodes),
        )
        self.planned = configuration.Rollout(
            'text',
            world.TEXT_POOL,
            'v2',
            'v1',
            clock.read_wall() + PROMISE_SECONDS,
        )
        tables = self.built.tables
        self.built.apply(
            dataclasses.replace(
                tables,
                engines=tuple(map(self._choose_version, tables.engines)),
                versions=(
                    *tables.versions,
                    configuration.Version('v2', world.TEXT_POOL, 0),
                ),
                rollouts=(self.planned,),
            ),
        )
        self.began = clock.read_monotonic()

    def list_new(self) -> list[model.EngineModel]:
        """List the engines of the new version.

        Returns:
            The engines.
        """
        return [
            engine
            for name, engine in self.built.engines_by_name.items()
            if name.endswith(('-2', '-3'))
        ]

    def change_new(self, **traits: object) -> None:
        """Change the engines of the new version.

        Args:
            **traits: The traits.
        """
        for engine in self.list_new():
            engine.traits = dataclasses.replace(engine.traits, **traits)

    def send(self, seconds: float) -> None:
        """Send requests for a while.

        Args:
            seconds: For how long.
        """
        for number in range(int(seconds * RATE)):
            nodes = self.built.list_nodes()
            self.built.chat(
                nodes[number % len(nodes)],
                tokens=3,
                prompt=f'Request {len(self.built.attempts)}.',
            )
            self.built.advance(1 / RATE)

    def read_record(self) -> rollout.Record:
        """Read what became of the rollout.

        Returns:
            Its record.
        """
        found = self.built.platform.read(controller.ROLLOUT_KIND, 'text')
        return codec.decode_json(found.body, rollout.Record)

    def count_new(self, since: float = 0) -> int:
        """Count the requests that the new version got.

        Args:
            since: From when on, on the runtime's clock.

        Returns:
            The requests.
        """
        return sum(
            1
            for engine in self.list_new()
            for run in engine.ledger
            if run.arrived >= since
        )

    def _choose_version(
        self, engine: configuration.Engine
    ) -> configuration.Engine:
        if engine.name.endswith(('-2', '-3')):
            return dataclasses.replace(engine, version='v2')
        return engine


def test_good_version_is_done_in_time() -> None:
    """A good version takes all traffic by the promised time."""
    trial = Trial()
    trial.send(PROMISE_SECONDS)
    record = trial.read_record()
    assert record.phase is rollout.Phase.done
    assert record.ended <= trial.planned.promised
    since = clock.read_monotonic()
    trial.send(5)
    assert trial.count_new(since) == 5 * RATE


def test_share_is_small_at_first() -> None:
    """In its first step a version gets its small share, not more."""
    trial = Trial()
    trial.send(PROMISE_SECONDS * rollout.STEPPING_PART / 5)
    sent = len(trial.built.attempts)
    assert trial.count_new() <= sent * 0.04


@pytest.mark.parametrize(
    'traits',
    [{'failing': True}, {'blank': True}, {'slowness': 6}],
    ids=['failing', 'blank', 'slow'],
)
def test_bad_version_is_taken_back(traits: dict) -> None:
    """A version that is bad at once is taken back and gets no traffic."""
    trial = Trial()
    trial.change_new(**traits)
    trial.send(PROMISE_SECONDS * 0.9)
    record = trial.read_record()
    assert record.phase is rollout.Phase.taken_back
    assert 'captions' in record.reason
    since = clock.read_monotonic()
    trial.send(5)
    assert trial.count_new(since) == 0
    assert trial.count_new() <= 40


def test_evidence_of_all_nodes_counts() -> None:
    """Eight nodes that see one bad answer each know that a version is bad."""
    trial = Trial(nodes=4)
    trial.change_new(failing=True)
    trial.send(PROMISE_SECONDS * 0.5)
    # Six bad answers are evidence enough; two more may be under way.
    assert trial.count_new() <= 8


def test_version_that_goes_bad_later() -> None:
    """A version that turns bad at half of the traffic is stopped in seconds."""
    trial = Trial()
    trial.send(PROMISE_SECONDS * 0.75)
    assert trial.read_record().share >= 0.5
    trial.change_new(failing=True)
    turned = clock.read_monotonic()
    trial.send(30)
    assert trial.count_new(turned + STOP_SECONDS) == 0
    assert trial.read_record().phase is rollout.Phase.taken_back


def test_bad_version_is_stopped_in_an_outage() -> None:
    """During an outage a bad version is stopped at once, a good one held."""
    trial = Trial()
    trial.send(PROMISE_SECONDS * 0.5)
    before = trial.read_record().share
    trial.built.platform.mark_down(down=True)
    trial.send(10)
    trial.change_new(failing=True)
    turned = clock.read_monotonic()
    trial.send(40)
    assert trial.count_new(turned + 25) == 0
    trial.built.platform.mark_down(down=False)
    assert trial.read_record().share == before
    trial.send(40)
    assert trial.read_record().phase is rollout.Phase.taken_back


def test_share_is_not_raised_without_the_platform() -> None:
    """A rollout that an outage holds up past its promise is taken back."""
    trial = Trial()
    trial.send(20)
    trial.built.platform.mark_down(down=True)
    trial.send(PROMISE_SECONDS)
    trial.built.platform.mark_down(down=False)
    trial.send(30)
    record = trial.read_record()
    assert record.phase is rollout.Phase.taken_back
    assert 'promised time' in record.reason


def test_good_version_survives_kills() -> None:
    """A rollout goes on when the nodes that carry it die."""
    trial = Trial()
    for _ in range(4):
        trial.send(PROMISE_SECONDS / 5)
        killed = trial.built.list_nodes()[0]
        trial.built.kill_node(killed.settings.name)
        trial.built.start_node(killed.settings.zone)
    trial.send(PROMISE_SECONDS / 5)
    assert trial.read_record().phase is rollout.Phase.done


def test_paused_controller_is_fenced_off() -> None:
    """A controller that wakes after its lease changes nothing."""
    held = store.MemoryStore()
    paused = lease.Claimant('controller', 'paused', held)
    fence = paused.hold()
    assert fence == 1
    other = lease.Claimant('controller', 'other', held)
    assert not other.hold()
    world.paused_loop.advance(lease.TERM_SECONDS + 1)
    assert other.hold() == 2
    change = configuration.Change(1, 'late', 'paused')
    with pytest.raises(error.PlatformConflictError, match='fenced'):
        head.accept_change(held, change, fence)
    assert head.read_head(held).head.version == 0
    assert not paused.hold()
