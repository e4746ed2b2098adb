"""Simulated nodes that use one broker, with paths to back ends that are cut."""

import collections
import enum

import gevent
import msgspec
from gevent import event as gevent_event

from pimentoway.core import deployment, registry
from pimentoway.ops import slot
from pimentoway.standin import load, slotrequest

#: Seconds of a run, between two requests of a node, and after which a node
#: notices that nothing that it sent was acknowledged.
RUN_SECONDS = 0.2
INTERVAL_SECONDS = 0.1
UNACKNOWLEDGED_SECONDS = 0.4

#: Seconds between two checks of a node's lost paths.
CHECK_SECONDS = 1.0

#: The slots that a request asks for at most.
MAX_ATTEMPTS = 8

#: Seconds that a request may take.
DEADLINE_SECONDS = 3


class Cut(enum.Enum):
    """How a path is cut."""

    refused = slot.Outcome.unreachable
    hanging = slot.Outcome.unacknowledged


class Fleet:
    """Nodes, their calls, and the broker that they use.

    Attributes:
        simulation: The broker and the back ends.
        cut_by_path: The paths that are cut, by node and back end.
        served: The answered requests by node.
        sent: The requests by node.
        grants: All grants with the node that got them.
    """

    def __init__(
        self, zones: collections.abc.Sequence[str], engines: int = 3
    ) -> None:
        """Start the nodes ``n0``, ``n1`` and so on, which all can relay.

        Args:
            zones: The failure domain of each node.
            engines: The number of back ends, with 6 slots each.
        """
        self.simulation = load.Simulation(speeds=(1,) * engines)
        self.cut_by_path: dict[tuple[str, str], Cut] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.grants: list[tuple[str, slot.Grant]] = []
        self.nodes = [f'n{number}' for number in range(len(zones))]
        self._number = 0
        self._failed: set[tuple[str, str]] = set()
        self._reply_by_key: dict[tuple[str, int], gevent_event.AsyncResult] = {}
        self.broker = self.simulation.broker
        self.broker._reply = self._accept
        for node, zone in zip(self.nodes, zones, strict=True):
            self.simulation.change_record(
                registry.Kind.peers,
                node,
                deployment.Peer(node, zone, f'{node}:1', 1, f'{node}:2'),
            )
            self.broker.adopt(f'{node}/1', [], [])
            gevent.spawn(self._check_paths, node)

    def cut(self, how: Cut, *nodes: str) -> None:
        """Cut all paths of some nodes.

        Args:
            how: How they are cut.
            *nodes: The nodes.
        """
        for engine in self.simulation.view.engines_by_name:
            for node in nodes:
                self.cut_by_path[(node, engine)] = how

    def call(self, *nodes: str) -> None:
        """Send requests of some nodes, in background tasks without an end.

        Args:
            *nodes: The nodes.
        """
        for node in nodes:
            gevent.spawn(self._call_for_ever, node)

    def submit(self, node: str, **changes: object) -> slot.SlotRequest:
        """Send a slot request whose grant is only recorded.

        Args:
            node: The node.
            **changes: Fields of the request.

        Returns:
            The request.
        """
        self._number += 1
        request = slotrequest.make_slot_request(self._number, **changes)
        self.broker.submit(f'{node}/1', request)
        return request

    def report(self, node: str, number: int, outcome: slot.Outcome) -> None:
        """Report the end of a run.

        Args:
            node: The node.
            number: The number of the slot request.
            outcome: The outcome.
        """
        self.broker.finish(f'{node}/1', slot.Report(number, outcome))

    def _call_for_ever(self, node: str) -> None:
        while True:
            gevent.spawn(self._call, node)
            gevent.sleep(INTERVAL_SECONDS)

    def _call(self, node: str) -> None:
        self.sent[node] += 1
        avoided: tuple[str, ...] = ()
        for _ in range(MAX_ATTEMPTS):
            grant = self._acquire(node, avoided)
            if isinstance(grant, slot.Refusal):
                return
            if self._run(node, grant):
                self.served[node] += 1
                return
            avoided = (*avoided, grant.engine)

    def _acquire(
        self, node: str, avoided: tuple[str, ...]
    ) -> slot.Grant | slot.Refusal:
        self._number += 1
        reply = gevent_event.AsyncResult()
        self._reply_by_key[(f'{node}/1', self._number)] = reply
        request = slotrequest.make_slot_request(
            self._number,
            time_left=DEADLINE_SECONDS,
            patience_left=DEADLINE_SECONDS,
        )
        self.broker.submit(
            f'{node}/1', msgspec.structs.replace(request, avoided=avoided)
        )
        return reply.get()

    def _run(self, node: str, grant: slot.Grant) -> bool:
        path = (grant.via or node, grant.engine)
        outcome = slot.Outcome.answered
        if path not in self.cut_by_path:
            gevent.sleep(RUN_SECONDS)
            outcome = slot.Outcome.cut
        how = self.cut_by_path.get(path)
        if how is None:
            self.report(node, grant.number, slot.Outcome.answered)
            return True
        self._failed.add(path)
        if how is Cut.hanging:
            gevent.sleep(UNACKNOWLEDGED_SECONDS)
        if how is Cut.hanging or outcome is slot.Outcome.answered:
            outcome = how.value
        self.report(node, grant.number, outcome)
        return False

    def _check_paths(self, node: str) -> None:
        while True:
            gevent.sleep(CHECK_SECONDS)
            for path in sorted(self._failed.difference(self.cut_by_path)):
                if path[0] == node:
                    self._failed.discard(path)
                    self._report_open(*path)

    def _report_open(self, node: str, engine: str) -> None:
        report = slot.Report(
            slot.NOTICE_NUMBER,
            slot.Outcome.unused,
            path=slot.PathReport(engine, is_open=True),
        )
        self.broker.finish(f'{node}/1', report)

    def _accept(self, requester: str, reply: slot.Grant | slot.Refusal) -> None:
        if isinstance(reply, slot.Grant):
            self.grants.append((requester, reply))
        waiting = self._reply_by_key.pop((requester, reply.number), None)
        if waiting:
            waiting.set(reply)
