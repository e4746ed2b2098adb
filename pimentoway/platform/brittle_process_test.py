"""Tests of brittle back ends, with a whole node over real sockets."""

import itertools

import gevent
import pytest

from pimentoway.core import clock
from pimentoway.platform import brittle_engine, edge_process_test

#: The slots that the entries of the back ends tell.
SLOTS = 6

#: How many rejections a second the back ends say that they bear.
TOLERATED = 2

#: The duration of a run, in seconds.
RUN_SECONDS = 0.4

#: Seconds with room for all slots, and then with less.
FULL_SECONDS = 1.5
REDUCED_SECONDS = 4.0

#: Seconds, after the room became less, within which requests follow it.
ADAPTATION_SECONDS = 1.5

#: The least fraction of the room that is used.
MIN_USE = 0.9


class BrittleService:
    """A node and two brittle back ends under a constant load.

    Attributes:
        engines: The back ends.
    """

    def __init__(self, tolerated: int = TOLERATED) -> None:
        """Start the node and the back ends.

        Args:
            tolerated: How many rejections a second the back ends bear.
        """
        self.engines = [
            brittle_engine.BrittleEngine(name, tolerated, RUN_SECONDS, SLOTS)
            for name in ('e1', 'e2')
        ]
        self._harness = edge_process_test.NodeHarness(*self.engines)
        for engine in self.engines:
            engine.subscribe(self._announce)

    def load(self, rate: float, seconds: float) -> None:
        """Send requests at a constant rate.

        Args:
            rate: The requests a second.
            seconds: For how long.
        """
        started = clock.read_monotonic()
        for number in itertools.count():
            due = started + number / rate
            if due > started + seconds:
                return
            gevent.sleep(max(0, due - clock.read_monotonic()))
            gevent.spawn(self._harness.call, '/safe/x')

    def set_room(self, room: int) -> None:
        """Change how many requests the back ends run at once.

        Args:
            room: The number of requests.
        """
        for engine in self.engines:
            engine.room = room

    def measure_use(self, rate: float, seconds: float) -> float:
        """Measure the use of the room under a constant load.

        Args:
            rate: The requests a second.
            seconds: For how long.

        Returns:
            The mean fraction of the room that was used.
        """
        before = sum(engine.measure_busy() for engine in self.engines)
        self.load(rate, seconds)
        busy = sum(engine.measure_busy() for engine in self.engines) - before
        room = sum(engine.room for engine in self.engines)
        return busy / room / seconds

    def _announce(self, engine: brittle_engine.BrittleEngine) -> None:
        self._harness.add(engine, born=engine.born)


# Back ends that say that they bear few rejections got as many requests as
# their entries tell, were full, rejected them and fell over.
@pytest.mark.parametrize('factor', [2, 10])
@pytest.mark.parametrize('room', [1, 2, 4])
def test_brittle_engines_reject_few_requests(room: int, factor: int) -> None:
    """They don't fall, also when their room becomes less all at once."""
    service = BrittleService()
    rate = factor * len(service.engines) * room / RUN_SECONDS
    service.load(rate, FULL_SECONDS)
    service.set_room(room)
    service.load(rate, ADAPTATION_SECONDS)
    use = service.measure_use(rate, REDUCED_SECONDS - ADAPTATION_SECONDS)
    assert use >= MIN_USE
    for engine in service.engines:
        assert engine.measure_rejections() <= TOLERATED
        assert not engine.falls
