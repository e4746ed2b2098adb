"""The ramp of a back end: how many requests a freshly started one gets.

While a back end is cold, one node alone owns its ramp and sends it no more
than a cold back end bears. Whole answers at a steady pace widen the allowance
until it can be divided among the nodes of the failure domain; after that each
node learns its own limit.
"""

import enum

import xxhash

from pimentoway.core import clock
from pimentoway.ops import prefix

#: Whole answers in a row after which a back end counts as warm.
WARM_ANSWERS = 4

#: The allowance, for each node, at which the ramp ends.
WARM_SLOTS_A_NODE = 2

#: Seconds that a new owner waits, so that the old one has noticed.
SETTLE_SECONDS = 4


class Phase(enum.Enum):
    """The phase of a back end's life."""

    cold = 'cold'
    ramp = 'ramp'
    warm = 'warm'


class Ramp:
    """The ramp of one back end, as one node sees it.

    Attributes:
        phase: The phase.
        slots: The requests that the back end may run, over all nodes.
        cold_until: The time until which it counts as cold at least.
    """

    def __init__(self, cold_slots: int, cold_seconds: float) -> None:
        """Start cold: nothing is known of the back end.

        Args:
            cold_slots: The requests that it bears while cold.
            cold_seconds: Seconds for which it counts as cold.
        """
        self.phase = Phase.cold
        self.slots = cold_slots
        self.cold_until = clock.read_monotonic() + cold_seconds
        self._cold_slots = cold_slots
        self._answers = 0
        self._announced = 0
        self._heard = 0
        self._owned_since: float | None = None

    def restart(self, cold_seconds: float) -> None:
        """Begin again: the back end started anew or fell back.

        Args:
            cold_seconds: Seconds for which it counts as cold.
        """
        self.phase = Phase.cold
        self.slots = self._cold_slots
        self.cold_until = clock.read_monotonic() + cold_seconds
        self._answers = 0

    def finish(self) -> None:
        """Count the back end as warm: it has run for long enough."""
        self.phase = Phase.warm

    def note_owner(self, owned: bool) -> None:
        """Note whether this node owns the ramp.

        Args:
            owned: Whether it does.
        """
        if not owned:
            self._owned_since = None
        elif self._owned_since is None:
            self._owned_since = clock.read_monotonic()

    def note_announced(self) -> bool:
        """Note that the allowance is announced to the other nodes.

        Returns:
            Whether it differs from what was announced last.
        """
        changed = self._announced != self.slots
        self._announced = self.slots
        return changed

    def adopt(self, slots: int, sequence: int) -> bool:
        """Take over the allowance that the owner announced.

        Args:
            slots: The requests that the back end may run, over all nodes.
            sequence: The number of the announcement.

        Returns:
            Whether it was new.
        """
        if sequence <= self._heard:
            return False
        self._heard = sequence
        if self.phase is not Phase.warm:
            self.slots = slots
            self.phase = Phase.ramp if slots > self._cold_slots else Phase.cold
        return True

    def record_answer(self, steady: bool, nodes: int) -> None:
        """Widen or narrow the allowance after an answer.

        Args:
            steady: Whether the answer came whole and at a steady pace.
            nodes: The nodes that share the back end.
        """
        if self.phase is Phase.warm:
            return
        if not steady:
            self.slots = max(self._cold_slots, self.slots // 2)
            self._answers = 0
            return
        if self._owned_since is None:
            return
        self._answers += 1
        if clock.read_monotonic() < self.cold_until:
            return
        if self._answers < WARM_ANSWERS:
            return
        self._answers = 0
        self.phase = Phase.ramp
        self.slots += max(1, self.slots // 2)
        if self.slots >= WARM_SLOTS_A_NODE * nodes:
            self.phase = Phase.warm

    def share_slots(self, owned: bool, nodes: int) -> int:
        """Work out this node's part of the allowance.

        Args:
            owned: Whether this node owns the ramp.
            nodes: The nodes that share the back end.

        Returns:
            The requests that this node may have running there.
        """
        if self.slots >= WARM_SLOTS_A_NODE * nodes:
            self.phase = Phase.warm
        if self.slots >= nodes:
            return self.slots // nodes
        if not owned or self._owned_since is None:
            return 0
        if clock.read_monotonic() - self._owned_since < SETTLE_SECONDS:
            return 0
        return self.slots


def choose_owner(backend: str, nodes: tuple[str, ...]) -> str:
    """Choose the node that owns a back end's ramp, the same on every node.

    Args:
        backend: The name of the back end.
        nodes: The names of the live nodes.

    Returns:
        The name of the owner.
    """
    seed = xxhash.xxh3_64_intdigest(backend.encode())
    return prefix.rank_rendezvous(seed, list(nodes))[0]
