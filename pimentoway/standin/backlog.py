"""A broker with a backlog of requests and no free slots."""

import collections
import itertools

from pimentoway.core import deployment, nodesetting, registry
from pimentoway.ops import broker, slot, view
from pimentoway.standin import slotrequest

#: The node that sends all requests.
REQUESTER = 'other/1'

#: The number of slots of each back end.
SLOTS = 5

#: Time left to each request, in seconds: too long to expire in a test.
PATIENCE_SECONDS = 900

#: The number of tiers; the requests of each have a route of their own.
TIERS = 3


class Backlog:
    """A broker and its queued requests.

    Attributes:
        broker: The broker.
    """

    def __init__(self, engines: int) -> None:
        """Start without requests.

        Args:
            engines: The number of back ends.
        """
        registry_view = view.View()
        self.broker = broker.Broker(
            nodesetting.Bounds(), registry_view, self._record_grant
        )
        self._numbers = itertools.count()
        self._running_numbers: collections.deque[int] = collections.deque()
        changes = tuple(
            registry.Change(f'e{number}', _make_engine(f'e{number}'))
            for number in range(engines)
        )
        registry_view.apply_changes(
            registry.Kind.engines, registry.Changes(1, changes), 'test'
        )

    def submit(self) -> None:
        """Submit a request, with the tiers in turn."""
        number = next(self._numbers)
        rank = number % TIERS
        self.broker.submit(
            REQUESTER,
            slotrequest.make_slot_request(
                number,
                route=f'r{rank}',
                rank=rank,
                time_left=PATIENCE_SECONDS,
                patience_left=PATIENCE_SECONDS,
            ),
        )

    def finish_oldest_running(self) -> None:
        """Finish the oldest running request, so that its slot is free again."""
        report = slot.Report(
            self._running_numbers.popleft(), slot.Outcome.abandoned
        )
        self.broker.finish(REQUESTER, report)

    def fill_queue(self, waiting: int) -> None:
        """Submit requests until a number of them is queued.

        Args:
            waiting: The number of queued requests.
        """
        while self.broker.count_waiting() < waiting:
            self.submit()

    def _record_grant(
        self, requester: str, reply: slot.Grant | slot.Refusal
    ) -> None:
        if isinstance(reply, slot.Grant):
            self._running_numbers.append(reply.number)


def _make_engine(name: str) -> deployment.Engine:
    return deployment.Engine(
        name=name,
        service=slotrequest.SERVICE,
        address=f'{name}:1',
        zone='z',
        version='v1',
        slots=SLOTS,
        draining=False,
        cold_seconds=0,
        born=1,
    )
