"""Which back ends a node reaches, itself or through a node that relays."""

import collections
import dataclasses

from pimentoway.core import clock, deployment, metric
from pimentoway.ops import enginestate, notice, pathrecord, pathtable, view

#: The most requests that one node relays at once.
MAX_RELAYED_REQUESTS = 64

#: Seconds for which a node does not use a relay that took no request, at first
#: and at most; the time doubles with each further one.
RELAY_PAUSE_SECONDS = 1.0
MAX_RELAY_PAUSE_SECONDS = 8.0

#: The cost of a relayed request in seconds of delay, see ``ops.broker``: more
#: than what usually differs between back ends.
RELAY_COST_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class _Pause:
    """The time for which a node does not use a relay.

    Attributes:
        until: The monotonic time at which it ends.
        seconds: Its length.
    """

    until: float
    seconds: float


class Reach:
    """The back ends that a request of a node reaches at one moment.

    Attributes:
        requester: The node's name and the identifier of this run of it.
        avoided: The names of the back ends that must not get the request.
        is_limited: Whether any path of the node may not be open.
    """

    def __init__(
        self,
        relays: 'RelayTable',
        requester: str,
        avoided: collections.abc.Container[str],
    ) -> None:
        """Look up the paths of the node.

        Args:
            relays: The nodes that relay requests.
            requester: The node's name and the identifier of this run of it.
            avoided: The names of the back ends that must not get the request.
        """
        self._node = pathtable.name_node(requester)
        self.is_limited = relays.paths.has_faults_of(self._node)
        self._relays = relays
        self.avoided = avoided
        self.requester = requester
        self._usable: list[deployment.Peer] | None = None
        self._has_open_relay: bool | None = None
        if self.is_limited:
            self._paths = relays.paths.find(self._node)

    def measure_wait(self, state: enginestate.EngineState) -> float:
        """Measure for how long a back end must not get the node's requests.

        Args:
            state: The back end.

        Returns:
            The seconds, at least; 0 if it may get them. A back end that wants
            no requests from the node doesn't get them through others either.
        """
        pause = self._relays.notices.measure_pause(self.requester, state.engine)
        if pause or not self.is_limited or self.allows(state):
            return pause
        return self._paths.measure_opening(state.engine.name)

    def allows(self, state: enginestate.EngineState) -> bool:
        """Tell whether a back end may get the request if paths are limited.

        Args:
            state: The back end.

        Returns:
            Whether the node reaches it. One that the request avoids may get
            it through another node if the path is to blame.
        """
        name = state.engine.name
        is_avoided = name in self.avoided
        if is_avoided and not self._paths.find_blamed(name):
            return False
        if self.reaches_all():
            return True
        return self.is_direct(state) or any(
            self._relays.reaches(peer, state.engine)
            for peer in self._list_usable()
        )

    def is_direct(self, state: enginestate.EngineState) -> bool:
        """Tell whether the node may send the request to a back end itself.

        Args:
            state: The back end.

        Returns:
            Whether its path is open, or may be probed by a request, and the
            request does not avoid it.
        """
        if state.engine.name in self.avoided:
            return False
        standing = self._paths.check(state.engine.name)
        if standing is not pathrecord.Standing.probing:
            return standing is pathrecord.Standing.open
        return not state.has_new_run(self.requester)

    def compute_cost(self, state: enginestate.EngineState) -> float:
        """Compute what it costs to reach a back end.

        Args:
            state: The back end, which the node reaches.

        Returns:
            The cost, in seconds of delay.
        """
        return 0 if self.is_direct(state) else RELAY_COST_SECONDS

    def choose_relay(self, state: enginestate.EngineState) -> str:
        """Choose the node that relays the request.

        Args:
            state: The back end, which the node reaches.

        Returns:
            The name of the node; '' if the request needs no relay.
        """
        if not self.is_limited:
            return ''
        engine = state.engine
        if self.is_direct(state):
            self._paths.note_probe()
            return ''
        peers = self._relays.view.peers_by_name
        own = peers.get(self._node)
        zones = {engine.zone, own.zone if own else engine.zone}
        reaching = [
            peer
            for peer in self._list_usable()
            if self._relays.reaches(peer, engine)
        ]
        return min(
            reaching,
            key=lambda peer: (
                peer.zone not in zones,
                self._relays.count_by_node[peer.name],
            ),
        ).name

    def reaches_all(self) -> bool:
        """Tell whether the node reaches all back ends that want its requests.

        Returns:
            Whether it has no lost paths, or a relay that has none; checks of
            each path are needless then.
        """
        if not self.is_limited:
            return True
        if self._has_open_relay is None:
            self._has_open_relay = not self._relays.notices.has_pauses() and (
                any(
                    not self._relays.paths.has_faults_of(peer.name)
                    for peer in self._relays.find_usable(self._node)
                )
            )
        return self._has_open_relay

    def _list_usable(self) -> list[deployment.Peer]:
        if self._usable is None:
            self._usable = list(self._relays.find_usable(self._node))
        return self._usable


class RelayTable:
    """The nodes that relay requests, and how many each relays.

    Attributes:
        view: The registry as this node knows it.
        paths: The paths with faults.
        notices: What the back ends announced of themselves.
        count_by_node: The requests that each node relays.
    """

    def __init__(
        self,
        registry_view: view.View,
        paths: pathtable.PathTable,
        notices: notice.NoticeTable,
    ) -> None:
        """Start without relayed requests.

        Args:
            registry_view: The registry as this node knows it.
            paths: The paths with faults.
            notices: What the back ends announced of themselves.
        """
        self.view = registry_view
        self.paths = paths
        self.notices = notices
        self.count_by_node: collections.Counter[str] = collections.Counter()
        # By node and relay.
        self._pause_by_pair: dict[tuple[str, str], _Pause] = {}

    def find_usable(
        self, node: str
    ) -> collections.abc.Iterator[deployment.Peer]:
        """Find the nodes that may relay a node's requests.

        Args:
            node: The name of the node.

        Yields:
            The registered nodes at this broker that can relay, have paths to
            back ends and relay less than ``MAX_RELAYED_REQUESTS``.
        """
        peers = self.view.peers_by_name
        for name in self.paths.requester_by_attached:
            if name in peers and self._is_usable(node, peers[name]):
                yield peers[name]

    def reaches(self, peer: deployment.Peer, engine: deployment.Engine) -> bool:
        """Tell whether a node may relay requests to a back end.

        Args:
            peer: The node, which uses this broker.
            engine: The back end.

        Returns:
            Whether its path is open and the back end wants its requests.
        """
        requester = self.paths.requester_by_attached[peer.name]
        if self.notices.measure_pause(requester, engine):
            return False
        if not self.paths.has_faults_of(peer.name):
            return True
        standing = self.paths.find(peer.name).check(engine.name)
        return standing is pathrecord.Standing.open

    def count_start(self, relay: str) -> None:
        """Count a granted request.

        Args:
            relay: The name of the node that relays it; '' if none does.
        """
        if relay:
            self.count_by_node[relay] += 1
            metric.RELAYED_REQUESTS.labels(relay).inc()

    def count_end(self, relay: str) -> None:
        """Count the end of a run.

        Args:
            relay: The name of the node that relayed it; '' if none did.
        """
        if self.count_by_node[relay]:
            self.count_by_node[relay] -= 1

    def note_lost(self, requester: str, relay: str) -> None:
        """Record that a node could not use a relay.

        Args:
            requester: The node's name and the identifier of this run of it.
            relay: The name of the relay.
        """
        pair = (pathtable.name_node(requester), relay)
        known = self._pause_by_pair.get(pair)
        seconds = RELAY_PAUSE_SECONDS
        if known:
            seconds = min(MAX_RELAY_PAUSE_SECONDS, known.seconds * 2)
        now = clock.read_monotonic()
        self._pause_by_pair[pair] = _Pause(now + seconds, seconds)

    def note_success(self, requester: str, relay: str) -> None:
        """Record that a relay worked.

        Args:
            requester: The node's name and the identifier of this run of it.
            relay: The name of the relay.
        """
        pair = (pathtable.name_node(requester), relay)
        self._pause_by_pair.pop(pair, None)

    def recount(
        self, states: collections.abc.Iterable[enginestate.EngineState]
    ) -> None:
        """Count the relayed requests anew, and forget outdated pauses.

        Args:
            states: All back ends.
        """
        if not self.paths.has_faults() and not self.count_by_node:
            return
        self.count_by_node = collections.Counter(
            run.via
            for state in states
            for run in state.run_by_key.values()
            if run.via
        )
        outdated = clock.read_monotonic() - MAX_RELAY_PAUSE_SECONDS
        for pair, pause in list(self._pause_by_pair.items()):
            if pause.until < outdated:
                self._pause_by_pair.pop(pair)

    def _is_usable(self, node: str, peer: deployment.Peer) -> bool:
        if peer.name == node or not peer.relay_address:
            return False
        pause = self._pause_by_pair.get((node, peer.name))
        if pause and clock.read_monotonic() < pause.until:
            return False
        has_room = self.count_by_node[peer.name] < MAX_RELAYED_REQUESTS
        return has_room and not self.paths.is_lost(peer.name)
