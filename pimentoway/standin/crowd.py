"""Requests that wait at a broker whose back ends are all busy."""

import collections
import itertools

from pimentoway.core import deployment, nodesetting, registry
from pimentoway.ops import broker, slot, view
from pimentoway.standin import asking

#: The node that all requests come from.
OWNER = 'other/1'

#: The slots of a back end.
SLOTS = 5

#: Seconds for which a request may wait, so that none is given up.
PATIENCE_SECONDS = 900

#: The tiers of the requests, each with a route of its own.
TIERS = 3


class Crowd:
    """A broker and the requests that wait at it.

    Attributes:
        broker: The broker.
    """

    def __init__(self, engines: int) -> None:
        """Start with back ends and no requests.

        Args:
            engines: The back ends.
        """
        known = view.View()
        self.broker = broker.Broker(nodesetting.Bounds(), known, self._take)
        self._numbers = itertools.count()
        self._granted: collections.deque[int] = collections.deque()
        changes = tuple(
            registry.Change(f'e{number}', _make_engine(f'e{number}'))
            for number in range(engines)
        )
        known.apply_changes(
            registry.Kind.engines, registry.Changes(1, changes), 'test'
        )

    def submit(self) -> None:
        """Send one more request."""
        number = next(self._numbers)
        rank = number % TIERS
        self.broker.submit(
            OWNER,
            asking.make_ask(
                number,
                route=f'r{rank}',
                rank=rank,
                time_left=PATIENCE_SECONDS,
                patience_left=PATIENCE_SECONDS,
            ),
        )

    def end_run(self) -> None:
        """End the oldest run, so that its slot is granted again."""
        report = slot.Report(self._granted.popleft(), slot.Outcome.abandoned)
        self.broker.finish(OWNER, report)

    def fill(self, waiting: int) -> None:
        """Send requests until enough wait.

        Args:
            waiting: How many.
        """
        while self.broker.count_waiting() < waiting:
            self.submit()

    def _take(self, owner: str, reply: slot.Grant | slot.Refusal) -> None:
        if isinstance(reply, slot.Grant):
            self._granted.append(reply.number)


def _make_engine(name: str) -> deployment.Engine:
    return deployment.Engine(
        name=name,
        service=asking.SERVICE,
        address=f'{name}:1',
        zone='z',
        version='v1',
        slots=SLOTS,
        draining=False,
        cold_seconds=0,
        born=1,
    )
