"""The ramp of a back end: how many requests it gets after a start.

While a back end is cold, one node owns its ramp and alone decides how many
requests may run there, the allowance. Answers at a steady pace widen it. Once
it can be divided among the nodes of the failure domain, the ramp ends, the
back end counts as warm and each node learns a limit of its own.
"""

import enum

import xxhash

from pimentoway.core import clock
from pimentoway.ops import prefix

#: The steady answers in a row after which the allowance is widened.
STEADY_ANSWERS = 4

#: The allowance, per node, at which the ramp ends.
WARM_SLOTS_PER_NODE = 2

#: Seconds that a new owner waits before it uses the allowance, so that the old
#: owner has noticed the change by then.
HANDOVER_SECONDS = 4


class Phase(enum.Enum):
    """The phase of a back end since its start."""

    cold = 'cold'
    ramp = 'ramp'
    warm = 'warm'


class Ramp:
    """The ramp of one back end, as one node sees it.

    Attributes:
        phase: The phase.
        slots: The allowance: the requests that the back end may run at once,
            over all nodes.
        cold_until: The monotonic time before which the allowance isn't
            widened.
    """

    def __init__(self, cold_slots: int, cold_seconds: float) -> None:
        """Start in the cold phase.

        Args:
            cold_slots: The requests that the back end can run while cold.
            cold_seconds: The least duration of the cold phase.
        """
        self.phase = Phase.cold
        self.slots = cold_slots
        self.cold_until = clock.read_monotonic() + cold_seconds
        self._cold_slots = cold_slots
        self._steady_answers = 0
        self._announced_slots = 0
        self._last_sequence = 0
        self._owned_since: float | None = None

    def restart(self, cold_seconds: float) -> None:
        """Return to the cold phase: the back end restarted or became slow.

        Args:
            cold_seconds: The least duration of the cold phase.
        """
        self.phase = Phase.cold
        self.slots = self._cold_slots
        self.cold_until = clock.read_monotonic() + cold_seconds
        self._steady_answers = 0

    def finish(self) -> None:
        """Count the back end as warm, as it has run for long enough."""
        self.phase = Phase.warm

    def set_owned(self, owned: bool) -> None:
        """Set whether this node owns the ramp.

        Args:
            owned: Whether it does. A new owner waits ``HANDOVER_SECONDS`` from
                this call.
        """
        if not owned:
            self._owned_since = None
        elif self._owned_since is None:
            self._owned_since = clock.read_monotonic()

    def mark_announced(self) -> bool:
        """Mark the current allowance as announced to the other nodes.

        Returns:
            Whether it differs from the one announced before.
        """
        changed = self._announced_slots != self.slots
        self._announced_slots = self.slots
        return changed

    def adopt(self, slots: int, sequence: int) -> bool:
        """Adopt the allowance that the owner announced.

        Args:
            slots: The allowance; ignored while the back end is warm.
            sequence: The number of the announcement; it rises.

        Returns:
            False if a later announcement was received before.
        """
        if sequence <= self._last_sequence:
            return False
        self._last_sequence = sequence
        if self.phase is not Phase.warm:
            self.slots = slots
            self.phase = Phase.ramp if slots > self._cold_slots else Phase.cold
        return True

    def record_answer(self, steady: bool, nodes: int) -> None:
        """Adjust the allowance after an answer.

        Only the owner widens it, by half after `STEADY_ANSWERS` steady
        answers in a row. An unsteady answer halves it at each node. A warm
        back end isn't affected.

        Args:
            steady: Whether the answer came whole and wasn't slow.
            nodes: The number of nodes that share the back end.
        """
        if self.phase is Phase.warm:
            return
        if not steady:
            self.slots = max(self._cold_slots, self.slots // 2)
            self._steady_answers = 0
            return
        if self._owned_since is None:
            return
        self._steady_answers += 1
        if clock.read_monotonic() < self.cold_until:
            return
        if self._steady_answers < STEADY_ANSWERS:
            return
        self._steady_answers = 0
        self.phase = Phase.ramp
        self.slots += max(1, self.slots // 2)
        if self.slots >= WARM_SLOTS_PER_NODE * nodes:
            self.phase = Phase.warm

    def update_node_slots(self, owned: bool, nodes: int) -> int:
        """Update the phase and return this node's share of the allowance.

        The back end counts as warm once there are ``WARM_SLOTS_PER_NODE`` slots
        for each node.

        If there are fewer slots than nodes, the owner gets all of them and
        lends them to the other nodes, see `permit`.

        Args:
            owned: Whether this node owns the ramp.
            nodes: The number of nodes that share the back end.

        Returns:
            The requests that this node may have running there.
        """
        if self.slots >= WARM_SLOTS_PER_NODE * nodes:
            self.phase = Phase.warm
        if self.slots >= nodes:
            return self.slots // nodes
        if not owned or self._owned_since is None:
            return 0
        if clock.read_monotonic() - self._owned_since < HANDOVER_SECONDS:
            return 0
        return self.slots


def choose_owner(backend: str, nodes: tuple[str, ...]) -> str:
    """Choose the node that owns a back end's ramp.

    Rendezvous hashing gives the same owner on every node that knows the same
    live nodes.

    Args:
        backend: The name of the back end.
        nodes: The names of the live nodes.

    Returns:
        The name of the owner.
    """
    seed = xxhash.xxh3_64_intdigest(backend.encode())
    return prefix.rank_rendezvous(seed, list(nodes))[0]
