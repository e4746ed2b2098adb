"""What the runs of all nodes show about back ends and the paths to them.

A path is the network way between a node and a back end. One node alone can't
tell a back end that is down from a path that is cut: another node can, which
reaches that back end or does not. Only paths with faults take memory, beside
the latest successes of each back end and node.
"""

import collections
import dataclasses
import enum

from pimentoway.core import clock, log
from pimentoway.ops import pathrecord, slot

#: The lost paths since the latest success of a node from which on the node
#: itself may be lost.
MIN_LOST_PATHS = 2

#: Seconds after which faults no longer count together with new ones.
MEMORY_SECONDS = 30.0

#: Seconds between two removals of outdated entries.
EXPIRY_CHECK_SECONDS = 1.0

#: The faults that concern the connection, and those among them after which no
#: connection is tried for a while.
CONNECTION_FAULTS = slot.PATH_OUTCOMES | slot.BROKEN_OUTCOMES
CLOSING_FAULTS = slot.PATH_OUTCOMES | {slot.Outcome.crashed}

_LOG = log.Log('path')


class Judgement(enum.Enum):
    """What a fault says of the back end."""

    # One fault of the back end.
    engine = 'engine'
    # Several nodes report it: the back end is to blame.
    confirmed = 'confirmed'
    # Only other nodes can tell whether the back end is to blame.
    doubted = 'doubted'
    # Nothing, as the path is to blame.
    path = 'path'


@dataclasses.dataclass(frozen=True)
class Fault:
    """A run that failed.

    Attributes:
        node: The node that connected to the back end.
        engine: The name of the back end.
        outcome: The outcome of the run.
        progressed_at: When the run was last seen to progress, on the
            monotonic clock.
    """

    node: str
    engine: str
    outcome: slot.Outcome
    progressed_at: float


class PathTable:
    """Judges faults of back ends by what all nodes of a broker see.

    Attributes:
        requester_by_attached: The nodes that use this broker: their names and
            the identifiers of their runs.
    """

    def __init__(
        self, on_cleared: collections.abc.Callable[[str], None]
    ) -> None:
        """Start with all paths open.

        Args:
            on_cleared: Called with the name of a back end that was paused or
                in doubt because of faults that don't count any more.
        """
        self.requester_by_attached: dict[str, str] = {}
        self._on_cleared = on_cleared
        self._paths_by_node: dict[str, pathrecord.NodePaths] = {}
        self._evidence_by_engine: dict[str, pathrecord.Evidence] = {}
        self._successes = pathrecord.SuccessTimes()
        self._next_expiry: float = 0

    def attach(self, requester: str) -> None:
        """Record that a node uses this broker.

        Args:
            requester: The node's name and the identifier of this run of it.
        """
        self.requester_by_attached[name_node(requester)] = requester

    def detach(self, requester: str) -> None:
        """Record that a node doesn't use this broker any more.

        Args:
            requester: The node's name and the identifier of this run of it.
        """
        node = name_node(requester)
        if self.requester_by_attached.get(node) != requester:
            return
        self.requester_by_attached.pop(node)
        if len(self.requester_by_attached) > 1:
            return
        # One node alone can't tell its paths from the back ends.
        for name in list(self._paths_by_node):
            self._forget_node(name)
        for engine in list(self._evidence_by_engine):
            self._clear_evidence(engine)

    def has_faults(self) -> bool:
        """Tell whether any path may not be open.

        Returns:
            Whether paths with faults are known.
        """
        return bool(self._paths_by_node)

    def has_faults_of(self, node: str) -> bool:
        """Tell whether any path of a node may not be open.

        Args:
            node: The name of the node.

        Returns:
            Whether paths with faults of it are known.
        """
        return node in self._paths_by_node

    def is_lost(self, node: str) -> bool:
        """Tell whether a node's paths to the back ends are cut.

        Args:
            node: The name of the node.

        Returns:
            Whether they are.
        """
        paths = self._paths_by_node.get(node)
        return paths is not None and paths.is_lost

    def find(self, node: str) -> pathrecord.NodePaths:
        """Find the paths with faults of a node.

        Args:
            node: The name of the node.

        Returns:
            The paths.
        """
        return self._paths_by_node.get(node) or pathrecord.NodePaths(node)

    def has_other_success(self, node: str, engine: str, since: float) -> bool:
        """Tell whether a back end answered another node.

        Args:
            node: The name of the node that doesn't count.
            engine: The name of the back end.
            since: The monotonic time from which on answers count.

        Returns:
            Whether it did.
        """
        return self._successes.find_other(node, engine) > since

    def has_other_fault(self, node: str, engine: str) -> bool:
        """Tell whether other nodes report faults of a back end, too.

        Args:
            node: The name of the node that doesn't count.
            engine: The name of the back end.

        Returns:
            Whether any did since the latest success, or none could, as no
            other node uses this broker.
        """
        if self._is_alone(node):
            return True
        evidence = self._evidence_by_engine.get(engine)
        return evidence is not None and any(
            other != node for other in evidence.time_by_node
        )

    def note_success(self, node: str, engine: str, started: float) -> None:
        """Record that a back end answered a node.

        Args:
            node: The name of the node that connected to it.
            engine: The name of the back end.
            started: When the run started, on the monotonic clock.
        """
        self._successes.add(node, engine)
        if self._evidence_by_engine:
            self._evidence_by_engine.pop(engine, None)
        if self._paths_by_node:
            self._open_path(node, engine, started)
            self._contradict(node, engine)

    def note_fault(self, fault: Fault) -> Judgement:
        """Judge a fault.

        Args:
            fault: The run that failed.

        Returns:
            What it says of the back end.
        """
        if self._is_alone(fault.node):
            return Judgement.engine
        judgement = self._judge(fault)
        if judgement is Judgement.confirmed:
            self._excuse_paths(fault.engine)
        self._log_judgement(fault, judgement)
        return judgement

    def note_check(self, node: str, engine: str, is_open: bool) -> None:
        """Record what a node found when it checked a path.

        Args:
            node: The name of the node.
            engine: The name of the back end.
            is_open: Whether the back end accepted a connection.
        """
        paths = self._paths_by_node.get(node)
        path = paths and paths.path_by_engine.get(engine)
        if not path:
            return
        now = clock.read_monotonic()
        if not is_open:
            path.expires_at = now + pathrecord.PATH_EXPIRY_SECONDS
            return
        path.expires_at = now
        paths.probed_at = pathrecord.NEVER
        evidence = self._evidence_by_engine.get(engine)
        if evidence and set(evidence.time_by_node) == {node}:
            self._clear_evidence(engine)
        _LOG.write('a path accepts connections.', node=node, engine=engine)

    def forget_engine(self, engine: str) -> None:
        """Forget what concerns an earlier run of a back end.

        Args:
            engine: The name of the back end, which restarted, moved or is
                gone.
        """
        self._evidence_by_engine.pop(engine, None)
        self._successes.forget_engine(engine)
        for node, paths in list(self._paths_by_node.items()):
            if paths.path_by_engine.pop(engine, None):
                self._note_fewer_paths(node, paths)

    def expire(self) -> None:
        """Remove what is outdated, from time to time."""
        now = clock.read_monotonic()
        if now < self._next_expiry:
            return
        self._next_expiry = now + EXPIRY_CHECK_SECONDS
        self._successes.keep_nodes(set(self.requester_by_attached))
        for engine, evidence in list(self._evidence_by_engine.items()):
            if max(evidence.time_by_node.values()) < now - MEMORY_SECONDS:
                self._clear_evidence(engine)
        for node, paths in list(self._paths_by_node.items()):
            outdated = [
                name
                for name, path in paths.path_by_engine.items()
                if path.expires_at < now - MEMORY_SECONDS
            ]
            for outdated_engine in outdated:
                paths.path_by_engine.pop(outdated_engine)
            if outdated:
                self._note_fewer_paths(node, paths)

    def _is_alone(self, node: str) -> bool:
        attached = self.requester_by_attached
        return len(attached) <= (node in attached)

    def _judge(self, fault: Fault) -> Judgement:
        other_success = self._successes.find_other(fault.node, fault.engine)
        if fault.outcome not in CONNECTION_FAULTS:
            contradicted = other_success > fault.progressed_at
            if contradicted or self.is_lost(fault.node):
                return Judgement.path
            return Judgement.engine
        repeated = False
        if fault.outcome in CLOSING_FAULTS:
            paths = self._paths_by_node.setdefault(
                fault.node, pathrecord.NodePaths(fault.node)
            )
            repeated = paths.lose(fault.engine, fault.outcome, other_success)
            paths.publish()
            self._check_lost(fault.node)
        if repeated or self.is_lost(fault.node):
            return Judgement.path
        return self._weigh(fault)

    def _weigh(self, fault: Fault) -> Judgement:
        evidence = self._evidence_by_engine.setdefault(
            fault.engine, pathrecord.Evidence()
        )
        evidence.time_by_node[fault.node] = clock.read_monotonic()
        evidence.count += 1
        if len(evidence.time_by_node) > 1:
            return Judgement.confirmed
        if fault.outcome is slot.Outcome.cut and evidence.count == 1:
            return Judgement.engine
        return Judgement.doubted

    def _excuse_paths(self, engine: str) -> None:
        for name in self._evidence_by_engine[engine].time_by_node:
            paths = self._paths_by_node.get(name)
            path = paths and paths.path_by_engine.get(engine)
            if path:
                path.excuse()
                paths.publish()

    def _contradict(self, node: str, engine: str) -> None:
        for name, paths in self._paths_by_node.items():
            path = paths.path_by_engine.get(engine)
            if path and name != node and path.contradict():
                self._check_lost(name)

    def _open_path(self, node: str, engine: str, started: float) -> None:
        paths = self._paths_by_node.get(node)
        if paths is None:
            return
        path = paths.path_by_engine.get(engine)
        # An earlier connection may live on while new ones are refused.
        if path and started >= path.lost_at:
            paths.path_by_engine.pop(engine)
            _LOG.write('a path is open again.', node=node, engine=engine)
        self._note_fewer_paths(node, paths)

    def _list_lost(self, node: str) -> list[pathrecord.Path]:
        paths = self._paths_by_node.get(node)
        since = self._successes.time_by_node.get(node, pathrecord.NEVER)
        return paths.list_lost(since) if paths else []

    def _check_lost(self, node: str) -> None:
        lost_paths = self._list_lost(node)
        proofs = sum(path.is_contradicted for path in lost_paths)
        is_lost = proofs and len(lost_paths) >= MIN_LOST_PATHS
        if not is_lost or self._paths_by_node[node].is_lost:
            return
        self._paths_by_node[node].is_lost = True
        _LOG.write(
            'a node is lost.',
            node=node,
            lost_paths=len(lost_paths),
            proofs=proofs,
            attached=len(self.requester_by_attached),
        )
        for engine, evidence in list(self._evidence_by_engine.items()):
            if evidence.time_by_node.pop(node, None) is None:
                continue
            if evidence.time_by_node:
                self._on_cleared(engine)
            else:
                self._clear_evidence(engine)

    def _clear_evidence(self, engine: str) -> None:
        self._evidence_by_engine.pop(engine)
        self._on_cleared(engine)

    def _note_fewer_paths(self, node: str, paths: pathrecord.NodePaths) -> None:
        lost_paths = self._list_lost(node)
        if paths.is_lost and len(lost_paths) < MIN_LOST_PATHS:
            paths.is_lost = False
            _LOG.write('a node is found.', node=node, lost=len(lost_paths))
        paths.publish()
        if not paths.path_by_engine:
            self._forget_node(node)

    def _forget_node(self, node: str) -> None:
        self._paths_by_node.pop(node).unpublish()

    def _log_judgement(self, fault: Fault, judgement: Judgement) -> None:
        evidence = self._evidence_by_engine.get(
            fault.engine, pathrecord.Evidence()
        )
        other_success = self._successes.find_other(fault.node, fault.engine)
        _LOG.write(
            'judged a fault.',
            node=fault.node,
            engine=fault.engine,
            outcome=fault.outcome.name,
            judgement=judgement.value,
            reporters=len(evidence.time_by_node),
            faults=evidence.count,
            lost_paths=len(self._list_lost(fault.node)),
            node_lost=self.is_lost(fault.node),
            other_success_ago=round(clock.read_monotonic() - other_success, 3),
        )


def name_node(requester: str) -> str:
    """Name the node of a requester.

    Args:
        requester: The node's name and the identifier of a run of it.

    Returns:
        The name.
    """
    return requester.rpartition('/')[0] or requester
