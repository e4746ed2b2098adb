"""Tests of the paths of a node to back ends, on the paused clock."""

import gevent
import pytest

from pimentoway.backends import pathprobe
from pimentoway.core import error
from pimentoway.standin import paused_loop

ADDRESS = '1.1.1.1:1'


def lose(
    paths: pathprobe.LostPaths, engine: str = 'e1', hold: bool = True
) -> None:
    """Lose the path to a back end.

    Args:
        paths: The lost paths.
        engine: The name of the back end.
        hold: Whether a connection came in no time.
    """
    paths.note_failure(engine, ADDRESS, 'no connection', hold)


class FakeNetwork:
    """Back ends that can be reached or not.

    Attributes:
        paths: The lost paths.
        open_engines: Those that can be reached.
        probed: Those that were probed, in order.
        reported: Those that were reported as open.
    """

    def __init__(self, *engines: str) -> None:
        """Lose the paths to some back ends.

        Args:
            *engines: Their names.
        """
        self.paths = pathprobe.LostPaths()
        self.open_engines: set[str] = set()
        self.probed: list[str] = []
        self.reported: list[str] = []
        for engine in engines:
            lose(self.paths, engine, hold=False)
        prober = pathprobe.PathProber(
            self.paths, self._probe, self.reported.append
        )
        gevent.spawn(prober.run)

    def _probe(self, engine: str, address: str) -> bool:
        self.probed.append(engine)
        if engine not in self.open_engines:
            return False
        self.paths.note_success(engine)
        return True


def is_held(paths: pathprobe.LostPaths, address: str = ADDRESS) -> bool:
    """Tell whether a connection to ``e1`` is not tried.

    Args:
        paths: The lost paths.
        address: The address of the back end.

    Returns:
        Whether it is not.
    """
    try:
        paths.check('e1', address)
    except error.ConnectError:
        return True
    return False


# Guards against requests that each wait for a connection that never comes.
def test_path_without_an_answer_is_held() -> None:
    """Each further failure doubles the time, up to a bound."""
    paths = pathprobe.LostPaths()
    for seconds in (1, 2, 4, 8, 8):
        lose(paths)
        paused_loop.advance(seconds - 0.1)
        assert is_held(paths)
        assert not is_held(paths, '1.1.1.1:2')
        paused_loop.advance(0.2)
        assert not is_held(paths)


# Guards against back ends that are avoided after they have restarted.
def test_refused_connection_is_tried_again() -> None:
    """The refusal comes at once, and the back end may be back."""
    paths = pathprobe.LostPaths()
    lose(paths, hold=False)
    assert not is_held(paths)
    assert paths.count() == 1


@pytest.mark.parametrize('address', ['', '1.1.1.1:2'])
def test_gone_back_end_is_forgotten(address: str) -> None:
    """So is one that has moved."""
    paths = pathprobe.LostPaths()
    lose(paths)
    paths.retain(lambda engine: ADDRESS)
    assert paths.count() == 1
    paths.retain(lambda engine: address)
    assert not paths.count()


def test_lost_paths_are_probed_in_turn() -> None:
    """One a second over all of them."""
    network = FakeNetwork('e1', 'e2', 'e3')
    paused_loop.advance(5.5)
    assert network.probed == ['e1', 'e2', 'e3', 'e1', 'e2', 'e3']


def test_success_makes_the_next_probes_fast() -> None:
    """The others are probably open as well."""
    names = [f'e{number}' for number in range(10)]
    network = FakeNetwork(*names)
    paused_loop.advance(3.5)
    assert not network.reported
    network.open_engines.update(names)
    paused_loop.advance(2)
    assert sorted(network.reported) == names
    assert not network.paths.count()


def test_paths_lost_later_are_probed() -> None:
    """The probes rest while no path is lost."""
    network = FakeNetwork()
    paused_loop.advance(5)
    lose(network.paths)
    paused_loop.advance(0.1)
    assert network.probed == ['e1']
