"""Permits: how all nodes use a back end that bears fewer requests than nodes.

The owner of a cold back end's ramp lends its slots one by one. A permit is
lent for a bounded time, so that a slot comes back when its holder dies.
"""

import collections
import dataclasses
import itertools

import gevent

from pimentoway.core import clock, error, log
from pimentoway.ops import fleet, route, scheduler

#: Seconds for which an owner lets an asker wait for a slot.
WAIT_SECONDS = 1

#: Seconds between looks for a free slot while an asker waits.
LOOK_SECONDS = 0.05

#: Seconds for which a permit is lent.
LEASE_SECONDS = 60

#: Seconds between looks for queues that need permits.
SEEK_SECONDS = 0.1

_LOG = log.Log('permit')


@dataclasses.dataclass(frozen=True)
class Ask:
    """Asks the owner of a back end for a slot, or gives one back.

    Attributes:
        backend: The name of the back end.
        permit_id: The identifier of the permit.
        rank: The rank of the request that waits.
    """

    backend: str
    permit_id: str
    rank: int


class Lender:
    """Lends the slots of the back ends that this node owns."""

    def __init__(self, plan: scheduler.Scheduler) -> None:
        """Lend for a node.

        Args:
            plan: The scheduler of the node.
        """
        self._plan = plan

    def lend(self, ask: Ask) -> bool:
        """Lend a slot, waiting a little for one to become free.

        Args:
            ask: What is asked for.

        Returns:
            Whether the slot is lent.
        """
        end = clock.read_monotonic() + WAIT_SECONDS
        while not self._try_lend(ask):
            if clock.read_monotonic() >= end:
                return False
            gevent.sleep(LOOK_SECONDS)
        return True

    def take_back(self, ask: Ask) -> None:
        """Take a slot back.

        Args:
            ask: The permit.
        """
        state = self._plan.fleet.by_name.get(ask.backend)
        if state and state.lent.pop(ask.permit_id, None):
            self._plan.pump(state.backend.pool)

    def _try_lend(self, ask: Ask) -> bool:
        state = self._plan.fleet.by_name.get(ask.backend)
        if state is None or ask.backend not in self._plan.place.current.owned:
            return False
        site = self._plan.place.current
        if route.count_free_slots(state, site) < 1:
            return False
        waiting = self._plan.list_waiting_ranks(state.backend.pool)
        if any(rank < ask.rank for rank in waiting):
            return False
        state.lent[ask.permit_id] = clock.read_monotonic() + LEASE_SECONDS
        return True


class Borrower:
    """Borrows slots of back ends that other nodes own."""

    def __init__(
        self,
        plan: scheduler.Scheduler,
        ask_owner: collections.abc.Callable[[str, Ask], bool],
        give_back: collections.abc.Callable[[str, Ask], None],
    ) -> None:
        """Borrow for a node.

        Args:
            plan: The scheduler of the node.
            ask_owner: Asks a node, by its name, for a slot.
            give_back: Gives a slot back to a node.
        """
        self._plan = plan
        self._ask_owner = ask_owner
        self._give_back = give_back
        self._numbers = itertools.count(1)
        self._asking: set[str] = set()

    def run(self) -> None:
        """Seek permits for ever."""
        while True:
            gevent.sleep(SEEK_SECONDS)
            self.seek()

    def seek(self) -> None:
        """Ask for permits where requests wait for cold back ends."""
        for state, rank in list_wanted(self._plan):
            if state.backend.name not in self._asking:
                self._asking.add(state.backend.name)
                gevent.spawn(self._ask, state, rank)

    def return_permit(self, state: fleet.BackendState, permit_id: str) -> None:
        """Give a permit back.

        Args:
            state: The back end.
            permit_id: The permit.
        """
        gevent.spawn(self._return, state, permit_id)

    def _ask(self, state: fleet.BackendState, rank: int) -> None:
        name = state.backend.name
        owner = self._plan.place.choose_owner(state)
        permit_id = f'{self._plan.identity.name}/{next(self._numbers)}'
        try:
            granted = self._ask_owner(owner, Ask(name, permit_id, rank))
        except error.NodeError as fault:
            _LOG.write(f'no permit: {fault}.')
            return
        finally:
            self._asking.discard(name)
        if not granted:
            return
        state.permits.append(permit_id)
        self._plan.pump(state.backend.pool)
        if permit_id in state.permits:
            state.permits.remove(permit_id)
            self._return(state, permit_id)

    def _return(self, state: fleet.BackendState, permit_id: str) -> None:
        owner = self._plan.place.choose_owner(state)
        ask = Ask(state.backend.name, permit_id, 0)
        try:
            self._give_back(owner, ask)
        except error.NodeError as fault:
            # The owner takes the slot back when the lease ends.
            _LOG.write(f'a permit was not returned: {fault}.')


def list_wanted(
    plan: scheduler.Scheduler,
) -> list[tuple[fleet.BackendState, int]]:
    """List the back ends of which a node should borrow slots.

    Args:
        plan: The scheduler of the node.

    Returns:
        The back ends with the highest rank that waits for them.
    """
    site = plan.place.current
    wanted = []
    for pool, rank in plan.list_waiting_pools().items():
        if plan.pressure.admits(pool, rank):
            wanted.extend(
                (state, rank)
                for state in plan.fleet.by_name.values()
                if state.backend.pool == pool
                and route.is_open(state, site)
                and route.needs_permit(state, site)
            )
    return wanted
