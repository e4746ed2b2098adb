"""Tests that rollouts finish good versions in time and roll back bad ones."""

import dataclasses

import pytest

from pimentoway.core import clock, codec, configuration, error
from pimentoway.objects import head, lease
from pimentoway.ops import rollout
from pimentoway.standin import cluster, model, shape, store
from pimentoway.tools import controller

#: Seconds from the start of a rollout to its promised end.
PROMISE_SECONDS = 200

#: The load during a rollout.
REQUESTS_PER_SECOND = 10

#: Seconds within which a version that turned bad must get no more traffic.
STOP_SECONDS = 10


class RolloutScenario:
    """A rollout for which half of the engines run the new version.

    Attributes:
        simulation: The simulated deployment.
        planned: The declared rollout.
        started: When it was declared, on the runtime's monotonic clock.
    """

    def __init__(self, nodes: int = 2) -> None:
        """Build the deployment and declare the rollout.

        Args:
            nodes: The number of nodes in each of the two failure domains.
        """
        engines = tuple(model.Traits() for _ in range(4))
        self.simulation = cluster.Cluster(
            shape.Shape(engines=engines, deadline=10, nodes=nodes),
        )
        self.planned = configuration.Rollout(
            'text',
            cluster.TEXT_POOL,
            'v2',
            'v1',
            clock.read_wall() + PROMISE_SECONDS,
        )
        tables = self.simulation.tables
        self.simulation.apply(
            dataclasses.replace(
                tables,
                engines=tuple(map(self._choose_version, tables.engines)),
                versions=(
                    *tables.versions,
                    configuration.Version('v2', cluster.TEXT_POOL, 0),
                ),
                rollouts=(self.planned,),
            ),
        )
        self.started = clock.read_monotonic()

    def list_new_engines(self) -> list[model.EngineModel]:
        """List the engines that run the new version.

        Returns:
            The last two of the four engines of each failure domain.
        """
        return [
            engine
            for name, engine in self.simulation.engines_by_name.items()
            if name.endswith(('-2', '-3'))
        ]

    def change_new_engines(self, **traits: object) -> None:
        """Change the behaviour of the engines that run the new version.

        Args:
            **traits: The fields of ``model.Traits`` to replace.
        """
        for engine in self.list_new_engines():
            engine.traits = dataclasses.replace(engine.traits, **traits)

    def send_requests(self, seconds: float) -> None:
        """Send requests to all nodes in turn at the constant rate.

        Args:
            seconds: How long to send.
        """
        for number in range(int(seconds * REQUESTS_PER_SECOND)):
            nodes = self.simulation.list_nodes()
            self.simulation.chat(
                nodes[number % len(nodes)],
                tokens=3,
                prompt=f'Request {len(self.simulation.requests)}.',
            )
            self.simulation.advance(1 / REQUESTS_PER_SECOND)

    def read_record(self) -> rollout.Record:
        """Read the stored record of the rollout.

        Returns:
            The record.
        """
        found = self.simulation.platform.read(controller.ROLLOUT_KIND, 'text')
        return codec.decode_json(found.body, rollout.Record)

    def count_new_runs(self, since: float = 0) -> int:
        """Count the requests that reached the new version.

        Args:
            since: The earliest arrival, on the runtime's monotonic clock.

        Returns:
            The number of requests.
        """
        return sum(
            1
            for engine in self.list_new_engines()
            for run in engine.ledger
            if run.arrived >= since
        )

    def _choose_version(
        self, engine: configuration.Engine
    ) -> configuration.Engine:
        if engine.name.endswith(('-2', '-3')):
            return dataclasses.replace(engine, version='v2')
        return engine


def test_good_version_gets_all_traffic_in_time() -> None:
    """A good version gets all traffic by the promised time."""
    scenario = RolloutScenario()
    scenario.send_requests(PROMISE_SECONDS)
    record = scenario.read_record()
    assert record.phase is rollout.Phase.done
    assert record.ended <= scenario.planned.promised
    since = clock.read_monotonic()
    scenario.send_requests(5)
    assert scenario.count_new_runs(since) == 5 * REQUESTS_PER_SECOND


def test_share_is_small_at_first() -> None:
    """In the first step a new version gets at most 4 % of the traffic."""
    scenario = RolloutScenario()
    scenario.send_requests(PROMISE_SECONDS * rollout.RAMP_FRACTION / 5)
    sent = len(scenario.simulation.requests)
    assert scenario.count_new_runs() <= sent * 0.04


@pytest.mark.parametrize(
    'traits',
    [{'failing': True}, {'blank': True}, {'slowness': 6}],
    ids=['failing', 'blank', 'slow'],
)
def test_bad_version_is_rolled_back(traits: dict) -> None:
    """A version that is bad from the start gets few requests, then none."""
    scenario = RolloutScenario()
    scenario.change_new_engines(**traits)
    scenario.send_requests(PROMISE_SECONDS * 0.9)
    record = scenario.read_record()
    assert record.phase is rollout.Phase.taken_back
    assert 'captions' in record.reason
    since = clock.read_monotonic()
    scenario.send_requests(5)
    assert scenario.count_new_runs(since) == 0
    assert scenario.count_new_runs() <= 40


def test_evidence_of_all_nodes_is_combined() -> None:
    """Eight nodes with one bad response each stop a version together."""
    scenario = RolloutScenario(nodes=4)
    scenario.change_new_engines(failing=True)
    scenario.send_requests(PROMISE_SECONDS * 0.5)
    # Six bad responses are enough evidence; two more may be in flight.
    assert scenario.count_new_runs() <= 8


def test_version_that_turns_bad_later_is_stopped() -> None:
    """A version that turns bad with half of the traffic is rolled back."""
    scenario = RolloutScenario()
    scenario.send_requests(PROMISE_SECONDS * 0.75)
    assert scenario.read_record().share >= 0.5
    scenario.change_new_engines(failing=True)
    turned = clock.read_monotonic()
    scenario.send_requests(30)
    assert scenario.count_new_runs(turned + STOP_SECONDS) == 0
    assert scenario.read_record().phase is rollout.Phase.taken_back


def test_bad_version_is_stopped_in_an_outage() -> None:
    """In an outage a bad version loses its traffic and no share is raised."""
    scenario = RolloutScenario()
    scenario.send_requests(PROMISE_SECONDS * 0.5)
    before = scenario.read_record().share
    scenario.simulation.platform.set_down(down=True)
    scenario.send_requests(10)
    scenario.change_new_engines(failing=True)
    turned = clock.read_monotonic()
    scenario.send_requests(40)
    assert scenario.count_new_runs(turned + 25) == 0
    scenario.simulation.platform.set_down(down=False)
    assert scenario.read_record().share == before
    scenario.send_requests(40)
    assert scenario.read_record().phase is rollout.Phase.taken_back


def test_share_is_not_raised_without_the_platform() -> None:
    """A rollout that an outage delays past its promised time is rolled back."""
    scenario = RolloutScenario()
    scenario.send_requests(20)
    scenario.simulation.platform.set_down(down=True)
    scenario.send_requests(PROMISE_SECONDS)
    scenario.simulation.platform.set_down(down=False)
    scenario.send_requests(30)
    record = scenario.read_record()
    assert record.phase is rollout.Phase.taken_back
    assert 'promised time' in record.reason


def test_rollout_survives_killed_nodes() -> None:
    """A rollout finishes although nodes are killed one after the other."""
    scenario = RolloutScenario()
    for _ in range(4):
        scenario.send_requests(PROMISE_SECONDS / 5)
        killed = scenario.simulation.list_nodes()[0]
        scenario.simulation.kill_node(killed.settings.name)
        scenario.simulation.start_node(killed.settings.zone)
    scenario.send_requests(PROMISE_SECONDS / 5)
    assert scenario.read_record().phase is rollout.Phase.done


def test_paused_controller_is_fenced_off() -> None:
    """A controller that resumes after its lease expired can change nothing."""
    object_store = store.MemoryStore()
    paused = lease.LeaseHolder('controller', 'paused', object_store)
    fence = paused.renew_or_acquire()
    assert fence == 1
    other = lease.LeaseHolder('controller', 'other', object_store)
    assert not other.renew_or_acquire()
    cluster.paused_loop.advance(lease.TERM_SECONDS + 1)
    assert other.renew_or_acquire() == 2
    change = configuration.Change(1, 'late', 'paused')
    with pytest.raises(error.PlatformConflictError, match='fenced'):
        head.accept_change(object_store, change, fence)
    assert head.read_head(object_store).head.version == 0
    assert not paused.renew_or_acquire()
