"""Selection of the broker that a node asks for slots.

All nodes rank the registered nodes the same way, and each asks the first one
that it can connect to. The common order only spreads the load: whichever
broker is asked, the back ends themselves bound what they run. So no lease is
needed, and nothing is lost when two nodes disagree for a while.
"""

import collections
import itertools

import gevent
import xxhash
from gevent import event as gevent_event

from pimentoway.core import (
    clock,
    deployment,
    error,
    log,
    nodesetting,
    registry,
)
from pimentoway.nodes import frame, link
from pimentoway.ops import slot, slotclient, view

#: Seconds between attempts to reach a higher-ranked broker.
CHECK_SECONDS = 1.0

#: Seconds between these attempts while the node uses its own broker although
#: higher-ranked nodes are registered.
FAST_CHECK_SECONDS = 0.25

#: Nodes in each failure domain that watch the store. More than one, because
#: the store may silently refuse to serve some nodes.
WATCHERS_PER_ZONE = 2

#: Seconds after the start in which a node that has seeds waits for one of them
#: to send the registry before it watches the store itself. A seed has to start,
#: too, and to list all records, on a VM with a tenth of a core.
JOIN_SECONDS = 1.0

#: By how much more candidates are tried at once after none of the previous ones
#: answered. One is tried at first, as it usually answers; the candidates of a
#: failure domain that is cut off take a few attempts instead of one each.
WAVE_GROWTH = 4

_LOG = log.Log('election')


def rank(peer: deployment.Peer) -> tuple[float, int]:
    """Rank a node as a candidate for the common broker.

    Args:
        peer: The node.

    Returns:
        The rank, the lowest for the highest-ranked node.
    """
    return -peer.cores, xxhash.xxh32_intdigest(peer.name.encode())


def order_peers(peers: list[deployment.Peer]) -> list[deployment.Peer]:
    """Rank nodes as candidates for the common broker.

    Args:
        peers: The nodes.

    Returns:
        The nodes by descending cores, ties broken by a hash of the name, so
        that every node computes the same order.
    """
    return sorted(peers, key=rank)


def list_watchers(peers: list[deployment.Peer]) -> list[str]:
    """List the nodes that always watch the store.

    Args:
        peers: The nodes.

    Returns:
        The names of the highest-ranked nodes of each failure domain, by rank.
    """
    counts: collections.Counter[str] = collections.Counter()
    watchers = []
    for peer in order_peers(peers):
        counts[peer.zone] += 1
        if counts[peer.zone] <= WATCHERS_PER_ZONE:
            watchers.append(peer.name)
    return watchers


class Election:
    """Keeps a node linked to the highest-ranked broker that it can reach.

    Attributes:
        tell_contact: Tells what the heartbeats to the broker say of the store.
    """

    def __init__(
        self,
        node_settings: nodesetting.NodeSettings,
        boot: str,
        node_view: view.View,
        slots: slotclient.SlotClient,
    ) -> None:
        """Start with the node's own broker.

        Args:
            node_settings: The node's name, addresses, seeds and cores.
            boot: Identifies this run of the node.
            node_view: The node's copy of the registry.
            slots: The client that is switched from broker to broker.
        """
        self._settings = node_settings
        self._boot = boot
        self._view = node_view
        self._slots = slots
        self.tell_contact: link.ContactSource | None = None
        self._started = clock.read_monotonic()
        self._link: link.Link | None = None
        self._link_numbers = itertools.count(1)
        self._peers_changed = gevent_event.Event()
        node_view.subscribe(self._on_change)

    @property
    def broker_name(self) -> str:
        """Name the node whose broker is asked.

        Returns:
            Its name, which is this node's own without a link. For a link to a
            seed it is the seed's address.
        """
        return self._link.peer if self._link else self._settings.name

    def read_contact(self) -> int:
        """Read what the broker told last of its contact with the store.

        Returns:
            The value of a ``frame.Contact``; ``unknown`` without a link.
        """
        if self._link is None:
            return frame.Contact.unknown
        return self._link.read_contact()

    def should_watch_store(self) -> bool:
        """Tell whether this node's rank has it watch the store for changes.

        Each change wakes every watch, so only some nodes watch and send the
        changes to the rest: nodes that use their own broker, and the highest
        ranked nodes of each failure domain.

        Returns:
            Whether it should. A node that started less than ``JOIN_SECONDS``
            ago, and that knows no node yet, should only if it is a seed
            itself or has none.
        """
        if not self._view.peers_by_name:
            return self._is_first() or self._is_past_joining()
        if self._link is None:
            return True
        zone_peers = [
            peer
            for peer in self._view.peers_by_name.values()
            if peer.zone == self._settings.zone
        ]
        watchers = list_watchers(zone_peers)
        return not watchers or self._settings.name in watchers

    def run(self) -> None:
        """Look for a higher-ranked broker forever."""
        while True:
            self._peers_changed.clear()
            candidates = self._list_candidates()
            connected = self._connect_first(candidates)
            if not connected and self._outranks_broker():
                self._use_own_broker()
            fast = candidates and not connected and self._link is None
            self._peers_changed.wait(
                FAST_CHECK_SECONDS if fast else CHECK_SECONDS
            )

    def _is_first(self) -> bool:
        # Other nodes wait for the seeds to have the registry.
        seeds = self._settings.seeds
        return not seeds or self._settings.peers in seeds

    def _is_past_joining(self) -> bool:
        return clock.read_monotonic() - self._started > JOIN_SECONDS

    def _list_candidates(self) -> list[deployment.Peer]:
        # The nodes that rank above both this node and the broker in use. The
        # seeds, if no other node is known.
        higher = self._list_higher()
        names = [peer.name for peer in higher]
        if self.broker_name in names:
            return higher[: names.index(self.broker_name)]
        if not higher and not self._view.peers_by_name:
            return self._list_seeds()
        return higher

    def _list_higher(self) -> list[deployment.Peer]:
        peers_by_name = dict(self._view.peers_by_name)
        if not peers_by_name:
            return []
        peers_by_name[self._settings.name] = deployment.Peer(
            self._settings.name,
            self._settings.zone,
            self._settings.peers,
            self._settings.cores,
        )
        ordered = order_peers(list(peers_by_name.values()))
        names = [peer.name for peer in ordered]
        return ordered[: names.index(self._settings.name)]

    def _outranks_broker(self) -> bool:
        # A node links to a lower-ranked one only as a seed, before it has the
        # list of peers.
        if self._link is None or not self._view.peers_by_name:
            return False
        names = {peer.name for peer in self._list_higher()}
        return self.broker_name not in names

    def _use_own_broker(self) -> None:
        previous = self._link
        self._link = None
        _LOG.write(
            'leaves a broker not known to outrank this node, uses its own.',
            left=previous.peer,
        )
        self._slots.switch_broker(None)
        previous.close()

    def _list_seeds(self) -> list[deployment.Peer]:
        if self._link:
            return []
        return [
            deployment.Peer(address, '', address, 0)
            for address in self._settings.seeds
            if address != self._settings.peers
        ]

    def _connect_first(self, candidates: list[deployment.Peer]) -> bool:
        for wave in _split_waves(candidates):
            opened = self._open_highest(wave)
            if opened:
                self._switch_to(opened)
                return True
        return False

    def _open_highest(self, peers: list[deployment.Peer]) -> link.Link | None:
        # Connects to all of them at once, and keeps the link to the first one.
        attempts = [gevent.spawn(self._try_open, peer) for peer in peers]
        kept = None
        for attempt in attempts:
            opened = attempt.get()
            if kept is None:
                kept = opened
            elif opened:
                opened.close()
        return kept

    def _try_open(self, peer: deployment.Peer) -> link.Link | None:
        try:
            return link.open_link(peer.address, peer.name, self._view)
        except error.ConnectError as fault:
            _LOG.write(
                'cannot connect to a broker.',
                peer=peer.name,
                reason=str(fault),
            )
            return None

    def _switch_to(self, opened: link.Link) -> None:
        previous = self._link
        self._link = opened
        if self.tell_contact:
            opened.tell_contact = self.tell_contact
        opened.send(
            frame.Attach(
                self._settings.name,
                self._boot,
                next(self._link_numbers),
                self._slots.list_running(),
                self._slots.list_usage(),
                self._slots.list_notices(),
                self._slots.list_rollouts(),
            ),
        )
        _LOG.write(
            'switches to the broker of another node.', broker=opened.peer
        )
        self._slots.switch_broker(opened.send)
        if previous:
            previous.close()
        gevent.spawn(self._run_link, opened)

    def _run_link(self, opened: link.Link) -> None:
        opened.run(self._on_message)
        if self._link is opened:
            self._link = None
            _LOG.write(
                'link to the broker ended, switches to its own.',
                broker=opened.peer,
            )
            self._slots.switch_broker(None)
            self._peers_changed.set()

    def _on_message(self, source: link.Link, message: frame.Message) -> None:
        if isinstance(message, slot.Grant | slot.Refusal):
            self._slots.accept_reply(message)
        elif isinstance(message, slot.Report):
            self._slots.keep_usage_copy(message)

    def _on_change(self, kind: registry.Kind) -> None:
        if kind is registry.Kind.peers:
            self._peers_changed.set()


def _split_waves(
    peers: list[deployment.Peer],
) -> collections.abc.Iterator[list[deployment.Peer]]:
    start = 0
    size = 1
    while start < len(peers):
        yield peers[start : start + size]
        start += size
        size *= WAVE_GROWTH
