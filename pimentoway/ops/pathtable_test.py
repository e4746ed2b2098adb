"""Tests of judging faults by what several nodes see, by pattern of failure."""

import pytest

from pimentoway.core import clock
from pimentoway.ops import pathrecord, pathtable, slot
from pimentoway.standin import paused_loop

ENGINES = ('e1', 'e2', 'e3')

Judgement = pathtable.Judgement
Outcome = slot.Outcome
Standing = pathrecord.Standing

REFUSED = Outcome.unreachable
HANGING = Outcome.unacknowledged


class Watch:
    """What one broker sees.

    Attributes:
        table: Its table of paths.
        cleared: The back ends whose earlier faults don't count any more.
    """

    def __init__(self, *nodes: str) -> None:
        """Start with open paths.

        Args:
            *nodes: The nodes that use the broker.
        """
        self.cleared: list[str] = []
        self.table = pathtable.PathTable(self.cleared.append)
        for node in nodes:
            self.table.attach(f'{node}/1')

    def fail(self, node: str, engine: str, outcome: Outcome) -> Judgement:
        """Report a fault of a run that was started just now.

        Args:
            node: The node.
            engine: The back end.
            outcome: The outcome.

        Returns:
            How the fault is judged.
        """
        now = clock.read_monotonic()
        return self.table.note_fault(
            pathtable.Fault(node, engine, outcome, now)
        )

    def answer(self, node: str, engine: str) -> None:
        """Report an answer to a request that was sent just now.

        Args:
            node: The node.
            engine: The back end.
        """
        self.table.note_success(node, engine, clock.read_monotonic())

    def check(self, node: str, engine: str) -> Standing:
        """Check how a node may use a path.

        Args:
            node: The node.
            engine: The back end.

        Returns:
            How it may.
        """
        return self.table.find(node).check(engine)

    def cut(self, outcome: Outcome, lost: tuple[str, ...], well: str) -> None:
        """Let some nodes fail at all back ends, which answer another one.

        Args:
            outcome: How the nodes' runs end.
            lost: The nodes that fail.
            well: The node that gets answers.
        """
        for engine in ENGINES:
            for node in lost:
                self.fail(node, engine, outcome)
            paused_loop.advance(0.1)
            self.answer(well, engine)


@pytest.mark.parametrize('outcome', [REFUSED, HANGING, Outcome.crashed])
def test_one_back_end_down(outcome: Outcome) -> None:
    """The second node confirms it, and no path is to blame."""
    watch = Watch('n1', 'n2', 'n3')
    for engine in ENGINES:
        watch.answer('n1', engine)
    assert watch.fail('n1', 'e1', outcome) is Judgement.doubted
    assert watch.fail('n2', 'e1', outcome) is Judgement.confirmed
    assert watch.fail('n3', 'e1', outcome) is Judgement.confirmed
    assert watch.check('n1', 'e1') is Standing.closed
    paused_loop.advance(pathrecord.UNCHECKED_EXPIRY_SECONDS)
    assert watch.check('n1', 'e1') is Standing.open
    assert not any(watch.table.is_lost(node) for node in ('n1', 'n2', 'n3'))


def test_back_end_silent_for_a_while() -> None:
    """It counts as silent unless it answered another node meanwhile."""
    watch = Watch('n1', 'n2')
    assert watch.fail('n1', 'e1', Outcome.silent) is Judgement.engine
    sent = clock.read_monotonic()
    paused_loop.advance(0.5)
    watch.answer('n2', 'e1')
    paused_loop.advance(1)
    fault = pathtable.Fault('n1', 'e1', Outcome.silent, sent)
    assert watch.table.note_fault(fault) is Judgement.path


@pytest.mark.parametrize('outcome', [REFUSED, HANGING, Outcome.crashed])
@pytest.mark.parametrize('lost', ['n1', 'n2'])
def test_node_without_paths(outcome: Outcome, lost: str) -> None:
    """It is lost, also the broker's own node, and blames no back end."""
    watch = Watch('n1', 'n2')
    well = 'n2' if lost == 'n1' else 'n1'
    watch.cut(outcome, (lost,), well)
    assert watch.table.is_lost(lost)
    assert not watch.table.is_lost(well)
    for other in (Outcome.cut, Outcome.silent, Outcome.crashed):
        assert watch.fail(lost, 'e1', other) is Judgement.path
    assert watch.fail(well, 'e1', Outcome.silent) is Judgement.engine


@pytest.mark.parametrize('outcome', [REFUSED, HANGING])
def test_failure_domain_of_nodes_without_paths(outcome: Outcome) -> None:
    """The nodes don't confirm each other's faults for long."""
    watch = Watch('n1', 'n2', 'n3')
    for _ in range(2):
        watch.cut(outcome, ('n1', 'n2'), 'n3')
    assert watch.table.is_lost('n1')
    assert watch.table.is_lost('n2')
    for engine in ENGINES:
        assert watch.fail('n1', engine, outcome) is Judgement.path
        assert watch.fail('n2', engine, outcome) is Judgement.path


def test_faults_of_a_lost_node_are_withdrawn() -> None:
    """What it reported before it was known to be lost counts no more."""
    watch = Watch('n1', 'n2')
    watch.fail('n1', 'e1', REFUSED)
    watch.fail('n1', 'e2', REFUSED)
    assert not watch.cleared
    paused_loop.advance(0.1)
    watch.answer('n2', 'e1')
    assert watch.cleared == ['e2']
    assert watch.fail('n2', 'e2', REFUSED) is Judgement.doubted


@pytest.mark.parametrize('outcome', [REFUSED, HANGING])
def test_path_cut_one_way(outcome: Outcome) -> None:
    """Only that path is closed, and the node is not lost."""
    watch = Watch('n1', 'n2')
    assert watch.fail('n1', 'e1', outcome) is Judgement.doubted
    paused_loop.advance(0.1)
    watch.answer('n2', 'e1')
    assert watch.fail('n1', 'e1', outcome) is Judgement.path
    assert watch.check('n1', 'e1') is Standing.closed
    assert watch.check('n1', 'e2') is Standing.open
    assert not watch.table.is_lost('n1')


def test_kept_connections_live_on() -> None:
    """Answers on them open no path on which new ones are refused."""
    watch = Watch('n1', 'n2')
    sent = clock.read_monotonic()
    paused_loop.advance(0.1)
    watch.fail('n1', 'e1', REFUSED)
    watch.table.note_success('n1', 'e1', sent)
    assert watch.check('n1', 'e1') is Standing.closed
    assert watch.check('n1', 'e2') is Standing.open


@pytest.mark.parametrize('outcome', [REFUSED, Outcome.crashed])
def test_mass_of_back_ends_restarts(outcome: Outcome) -> None:
    """No node is lost: none reached them, and the restart clears all."""
    watch = Watch('n1', 'n2', 'n3')
    for engine in ENGINES:
        watch.answer('n3', engine)
        for node in ('n1', 'n2', 'n3'):
            watch.fail(node, engine, outcome)
    paused_loop.advance(3)
    for engine in ENGINES:
        watch.answer('n3', engine)
    assert not any(watch.table.is_lost(node) for node in ('n1', 'n2', 'n3'))
    for engine in ENGINES:
        watch.table.forget_engine(engine)
    assert not watch.table.has_faults()


def test_broker_that_sees_only_lost_nodes() -> None:
    """Without another node's answers its back ends count as down."""
    watch = Watch('n1', 'n2')
    for engine in ENGINES:
        watch.fail('n1', engine, REFUSED)
        assert watch.fail('n2', engine, REFUSED) is Judgement.confirmed
    assert not watch.table.is_lost('n1')
    alone = Watch('n1')
    assert alone.fail('n1', 'e1', REFUSED) is Judgement.engine
    assert not alone.table.has_faults()


def test_node_left_alone_at_its_broker() -> None:
    """Nothing tells its paths from the back ends any more."""
    watch = Watch('n1', 'n2')
    watch.cut(REFUSED, ('n1',), 'n2')
    watch.table.detach('n2/0')
    assert watch.table.is_lost('n1')
    watch.table.detach('n2/1')
    assert not watch.table.has_faults()


def test_few_paths_of_a_node_are_kept() -> None:
    """A node can have more back ends than paths that are worth their memory."""
    watch = Watch('n1', 'n2')
    for number in range(pathrecord.MAX_PATHS + 9):
        watch.fail('n1', f'e{number}', REFUSED)
    assert watch.check('n1', 'e8') is Standing.open
    assert watch.check('n1', 'e9') is Standing.closed


def test_paths_open_again_by_few_probes() -> None:
    """A lost node tries one path a second, or one that it has checked."""
    watch = Watch('n1', 'n2')
    watch.cut(REFUSED, ('n1',), 'n2')
    paths = watch.table.find('n1')
    assert paths.check('e4') is Standing.probing
    paths.note_probe()
    assert paths.check('e4') is Standing.closed
    assert paths.measure_opening('e4') == pytest.approx(1)
    watch.table.note_check('n1', 'e1', is_open=True)
    assert paths.check('e1') is Standing.probing
    assert paths.check('e2') is Standing.closed
    watch.answer('n1', 'e1')
    assert not watch.table.is_lost('n1')
    assert watch.check('n1', 'e1') is Standing.open
    assert watch.check('n1', 'e2') is Standing.closed
    assert watch.check('n1', 'e4') is Standing.open
    paused_loop.advance(pathrecord.PATH_EXPIRY_SECONDS)
    assert watch.check('n1', 'e2') is Standing.probing
    paused_loop.advance(pathtable.MEMORY_SECONDS)
    watch.table.expire()
    assert not watch.table.has_faults()
