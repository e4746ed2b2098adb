"""What the broker keeps of paths with faults, and of the latest successes."""

import dataclasses
import enum

from pimentoway.core import clock, metric
from pimentoway.ops import slot

#: Seconds for which a path on which no connection could be opened is not used.
#: Its node checks it and reports earlier if it is open.
PATH_EXPIRY_SECONDS = 10.0

#: The same after other faults, which the node does not check.
UNCHECKED_EXPIRY_SECONDS = 2.0

#: Seconds between the requests with which a lost node tries paths.
PROBE_SECONDS = 1.0

#: Seconds after a fault from which on the success of another node contradicts
#: it: answers that are on their way when a back end ends come before.
PROOF_SECONDS = 0.05

#: The most paths with faults that are kept of one node; the oldest is dropped
#: first.
MAX_PATHS = 128

#: Seconds after a fault that several nodes reported within which the success
#: of another node shows that they were wrong; later, the back end may have
#: been down and be back.
REFUTATION_SECONDS = 1.0

NEVER = float('-inf')


class Standing(enum.Enum):
    """How a node may use a path."""

    open = 'open'
    # One request at a time.
    probing = 'probing'
    closed = 'closed'


@dataclasses.dataclass(eq=False, slots=True)
class Path:
    """A path with a fault.

    Attributes:
        lost_at: The monotonic time of its latest fault.
        expires_at: When it may be tried again.
        is_contradicted: Whether another node reached the back end since.
        is_excused: Whether other nodes reported the back end, too, so that
            the path is not to blame.
    """

    lost_at: float
    expires_at: float
    is_contradicted: bool = False
    is_excused: bool = False

    def excuse(self) -> None:
        """Blame the back end; others probe it before this path is used."""
        self.is_excused = True
        end = clock.read_monotonic() + UNCHECKED_EXPIRY_SECONDS
        self.expires_at = min(self.expires_at, end)

    def contradict(self) -> bool:
        """Record that another node reached the back end.

        Returns:
            Whether the path is to blame since now.
        """
        age = clock.read_monotonic() - self.lost_at
        if self.is_contradicted or age < PROOF_SECONDS:
            return False
        if self.is_excused and age > REFUTATION_SECONDS:
            return False
        self.is_contradicted = True
        self.is_excused = False
        return True


class NodePaths:
    """The paths with faults of one node.

    Attributes:
        path_by_engine: The paths, by the name of the back end.
        is_lost: Whether the node's paths to the back ends are cut.
        probed_at: When it last tried a path while it was lost.
    """

    def __init__(self, node: str) -> None:
        """Start without faults.

        Args:
            node: The name of the node.
        """
        self._node = node
        self.path_by_engine: dict[str, Path] = {}
        self.is_lost = False
        self.probed_at = NEVER

    def find_blamed(self, engine: str) -> Path | None:
        """Find the path to a back end if it is to blame for its faults.

        Args:
            engine: The name of the back end.

        Returns:
            The path; nothing if it has no faults or is excused.
        """
        path = self.path_by_engine.get(engine)
        return None if path is None or path.is_excused else path

    def check(self, engine: str) -> Standing:
        """Tell how the node may use the path to a back end.

        Args:
            engine: The name of the back end.

        Returns:
            Whether it is open, closed, or open to one request at a time.
        """
        now = clock.read_monotonic()
        path = self.path_by_engine.get(engine)
        if path and now < path.expires_at:
            return Standing.closed
        if self.is_lost:
            waits = now - self.probed_at < PROBE_SECONDS
            return Standing.closed if waits else Standing.probing
        is_blamed = path is not None and not path.is_excused
        return Standing.probing if is_blamed else Standing.open

    def note_probe(self) -> None:
        """Record that the node tries a path itself."""
        self.probed_at = clock.read_monotonic()

    def measure_opening(self, engine: str) -> float:
        """Measure until when the node may not use a path.

        Args:
            engine: The name of the back end.

        Returns:
            The seconds until it is tried again, or until the node has checked
            it; 0 if the path may be used.
        """
        if self.check(engine) is not Standing.closed:
            return 0
        path = self.path_by_engine.get(engine)
        end = path.expires_at if path else self.probed_at + PROBE_SECONDS
        return min(PROBE_SECONDS, max(0, end - clock.read_monotonic()))

    def lose(
        self, engine: str, outcome: slot.Outcome, other_success: float
    ) -> bool:
        """Record a fault of a path.

        Args:
            engine: The name of the back end.
            outcome: The outcome that tells of the fault.
            other_success: The monotonic time at which the back end last
                answered another node.

        Returns:
            Whether that was after an earlier fault of the path.
        """
        path = self.path_by_engine.pop(engine, None)
        repeated = (
            path is not None and other_success > path.lost_at + PROOF_SECONDS
        )
        expiry = UNCHECKED_EXPIRY_SECONDS
        if outcome is slot.Outcome.unreachable:
            expiry = PATH_EXPIRY_SECONDS
        now = clock.read_monotonic()
        self.path_by_engine[engine] = Path(
            now, now + expiry, is_contradicted=repeated
        )
        if len(self.path_by_engine) > MAX_PATHS:
            self.path_by_engine.pop(next(iter(self.path_by_engine)))
        return repeated

    def list_lost(self, since: float) -> list[Path]:
        """List the lost paths.

        Args:
            since: The monotonic time from which on faults count.

        Returns:
            The paths that are to blame for such faults.
        """
        return [
            path
            for path in self.path_by_engine.values()
            if path.lost_at > since and not path.is_excused
        ]

    def publish(self) -> None:
        """Set the metric of the node's lost paths."""
        count = len(self.list_lost(NEVER))
        metric.LOST_PATHS.labels(self._node).set(count)

    def unpublish(self) -> None:
        """Remove the metric of the node's lost paths."""
        metric.LOST_PATHS.remove(self._node)


@dataclasses.dataclass(eq=False)
class Evidence:
    """The faults of connections to a back end since its latest success.

    Attributes:
        time_by_node: The time of the latest fault that each node reported.
        count: The faults.
    """

    time_by_node: dict[str, float] = dataclasses.field(default_factory=dict)
    count: int = 0


_Success = tuple[str, float]

_NO_SUCCESSES = (('', NEVER), ('', NEVER))


class SuccessTimes:
    """When nodes and back ends last had a success.

    Attributes:
        time_by_node: The monotonic time of each node's latest success.
    """

    def __init__(self) -> None:
        """Start without successes."""
        self.time_by_node: dict[str, float] = {}
        # Of the two nodes that last reached the back end, the latest first.
        self._latest_by_engine: dict[str, tuple[_Success, _Success]] = {}

    def add(self, node: str, engine: str) -> None:
        """Record a success.

        Args:
            node: The name of the node.
            engine: The name of the back end that answered it.
        """
        now = clock.read_monotonic()
        self.time_by_node[node] = now
        latest, other = self._latest_by_engine.get(engine, _NO_SUCCESSES)
        if latest[0] != node:
            other = latest
        self._latest_by_engine[engine] = ((node, now), other)

    def find_other(self, node: str, engine: str) -> float:
        """Find when a back end last answered another node.

        Args:
            node: The name of the node that doesn't count.
            engine: The name of the back end.

        Returns:
            The monotonic time; minus infinity if it never did.
        """
        latest, other = self._latest_by_engine.get(engine, _NO_SUCCESSES)
        return other[1] if latest[0] == node else latest[1]

    def forget_engine(self, engine: str) -> None:
        """Forget the successes at a back end.

        Args:
            engine: The name of the back end.
        """
        self._latest_by_engine.pop(engine, None)

    def keep_nodes(self, kept: set[str]) -> None:
        """Forget all nodes except the given ones.

        Args:
            kept: The names of the nodes.
        """
        for gone in set(self.time_by_node).difference(kept):
            self.time_by_node.pop(gone)
