"""Permits: how nodes share a back end that has fewer slots than nodes.

The owner of a cold back end's ramp lends its slots one by one. A permit is
lent with a lease, so that the slot is free again if the borrower dies.
"""

import collections
import dataclasses
import itertools

import gevent

from pimentoway.core import clock, error, log
from pimentoway.ops import fleet, route, scheduler

#: Seconds for which the owner holds a request for a slot while none is free.
LEND_WAIT_SECONDS = 1

#: Seconds between checks for a free slot in that time.
LEND_CHECK_SECONDS = 0.05

#: Seconds for which a permit is lent.
LEASE_SECONDS = 60

#: Seconds between checks for queues that need permits.
BORROW_SECONDS = 0.1

_LOG = log.Log('permit')


@dataclasses.dataclass(frozen=True)
class PermitRequest:
    """A request to the owner of a back end to lend a slot or take one back.

    Attributes:
        backend: The name of the back end.
        permit_id: The identifier of the permit, chosen by the borrower.
        rank: The rank of the waiting tier; 0 when a slot is returned.
    """

    backend: str
    permit_id: str
    rank: int


class Lender:
    """Lends the slots of the back ends whose ramp this node owns."""

    def __init__(self, node_scheduler: scheduler.Scheduler) -> None:
        """Create a lender for a node.

        Args:
            node_scheduler: The scheduler of the node.
        """
        self._scheduler = node_scheduler

    def lend(self, permit_request: PermitRequest) -> bool:
        """Lend a slot, waiting up to `LEND_WAIT_SECONDS` for a free one.

        Args:
            permit_request: The request of the borrower.

        Returns:
            Whether the slot is lent.
        """
        end = clock.read_monotonic() + LEND_WAIT_SECONDS
        while not self._try_lend(permit_request):
            if clock.read_monotonic() >= end:
                return False
            gevent.sleep(LEND_CHECK_SECONDS)
        return True

    def take_back(self, permit_request: PermitRequest) -> None:
        """Take a lent slot back and dispatch the pool that waits for it.

        Args:
            permit_request: Names the permit; an unknown one is ignored.
        """
        state = self._scheduler.fleet.by_name.get(permit_request.backend)
        if state and state.lease_end_by_permit.pop(
            permit_request.permit_id, None
        ):
            self._scheduler.dispatch_pool(state.backend.pool)

    def _try_lend(self, permit_request: PermitRequest) -> bool:
        state = self._scheduler.fleet.by_name.get(permit_request.backend)
        if (
            state is None
            or permit_request.backend
            not in self._scheduler.routing.current.owned
        ):
            return False
        context = self._scheduler.routing.current
        if route.count_free_slots(state, context) < 1:
            return False
        waiting = self._scheduler.list_waiting_ranks(state.backend.pool)
        if any(rank < permit_request.rank for rank in waiting):
            return False
        state.lease_end_by_permit[permit_request.permit_id] = (
            clock.read_monotonic() + LEASE_SECONDS
        )
        return True


class Borrower:
    """Borrows slots of back ends whose ramp another node owns."""

    def __init__(
        self,
        node_scheduler: scheduler.Scheduler,
        request_slot: collections.abc.Callable[[str, PermitRequest], bool],
        return_slot: collections.abc.Callable[[str, PermitRequest], None],
    ) -> None:
        """Create a borrower for a node.

        Args:
            node_scheduler: The scheduler of the node.
            request_slot: Sends a request for a slot to a node, by its name;
                returns whether the slot is lent.
            return_slot: Returns a slot to a node, by its name.
        """
        self._scheduler = node_scheduler
        self._request_slot = request_slot
        self._return_slot = return_slot
        self._numbers = itertools.count(1)
        self._requested_backends: set[str] = set()

    def run(self) -> None:
        """Request permits every `BORROW_SECONDS`; never returns."""
        while True:
            gevent.sleep(BORROW_SECONDS)
            self.request_permits()

    def request_permits(self) -> None:
        """Request one permit for each cold back end that requests wait for."""
        for state, rank in list_borrowable(self._scheduler):
            if state.backend.name not in self._requested_backends:
                self._requested_backends.add(state.backend.name)
                gevent.spawn(self._borrow, state, rank)

    def return_permit(self, state: fleet.BackendState, permit_id: str) -> None:
        """Return a permit to its owner without waiting for the answer.

        Args:
            state: The back end.
            permit_id: The permit.
        """
        gevent.spawn(self._return, state, permit_id)

    def _borrow(self, state: fleet.BackendState, rank: int) -> None:
        name = state.backend.name
        owner = self._scheduler.routing.choose_owner(state)
        permit_id = f'{self._scheduler.identity.name}/{next(self._numbers)}'
        try:
            granted = self._request_slot(
                owner, PermitRequest(name, permit_id, rank)
            )
        except error.NodeError as fault:
            _LOG.write(f'requesting a slot from a ramp owner failed: {fault}.')
            return
        finally:
            self._requested_backends.discard(name)
        if not granted:
            return
        state.permits.append(permit_id)
        self._scheduler.dispatch_pool(state.backend.pool)
        if permit_id in state.permits:
            state.permits.remove(permit_id)
            self._return(state, permit_id)

    def _return(self, state: fleet.BackendState, permit_id: str) -> None:
        owner = self._scheduler.routing.choose_owner(state)
        permit_request = PermitRequest(state.backend.name, permit_id, 0)
        try:
            self._return_slot(owner, permit_request)
        except error.NodeError as fault:
            # The owner frees the slot when the lease ends.
            _LOG.write(
                'returning a permit to its owner failed, '
                f'its slot stays lent until the lease ends: {fault}.'
            )


def list_borrowable(
    node_scheduler: scheduler.Scheduler,
) -> list[tuple[fleet.BackendState, int]]:
    """List the back ends of which a node should borrow slots.

    Args:
        node_scheduler: The scheduler of the node.

    Returns:
        The back ends with the rank of the highest tier that waits for them.
    """
    context = node_scheduler.routing.current
    borrowable = []
    for pool, rank in node_scheduler.list_waiting_pools().items():
        if node_scheduler.pressure.admits(pool, rank):
            borrowable.extend(
                (state, rank)
                for state in node_scheduler.fleet.by_name.values()
                if state.backend.pool == pool
                and route.is_open(state, context)
                and route.needs_permit(state, context)
            )
    return borrowable
