"""Tests of whose broker a node asks."""

import gevent
import pytest

from pimentoway.core import deployment, error, place, registry
from pimentoway.nodes import election, frame, link
from pimentoway.ops import broker, slotclient, view
from pimentoway.standin import paused_loop

Kind = registry.Kind


class FakeLink:
    """A connection that carries nothing.

    Attributes:
        peer: The other node.
        sent: What was sent.
        open: Whether it stands.
    """

    def __init__(self, peer: str) -> None:
        """Connect.

        Args:
            peer: The other node.
        """
        self.peer = peer
        self.sent: list[frame.Message] = []
        self.open = True

    def send(self, content: frame.Message) -> None:
        """Keep a message.

        Args:
            content: The message.
        """
        self.sent.append(content)

    def run(self, take: link.Taker) -> None:
        """Stand until it is closed.

        Args:
            take: Passed over.
        """
        while self.open:
            gevent.sleep(0.01)

    def close(self) -> None:
        """Close."""
        self.open = False


class Node:
    """A node with its election.

    Attributes:
        reachable: The nodes that it reaches, by name or address.
        links: The connections that it made.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        cores: float = 1,
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Start a node.

        Args:
            monkeypatch: Replaces the network.
            cores: Its processor time.
            seeds: Its seeds.
        """
        self.reachable: set[str] = set()
        self.links: list[FakeLink] = []
        monkeypatch.setattr(link, 'open_link', self._open)
        here = place.Place(
            name='here',
            zone='z',
            ip='',
            front='',
            ready='',
            peers='here:1',
            metrics='',
            seeds=seeds,
            store='',
            cores=cores,
            memory_bytes=0,
            descriptors=0,
            zones=(),
            bounds=place.Bounds(),
        )
        self.view = view.View()
        self.slots = slotclient.SlotClient('here/1', 8)
        self.slots.use_local(
            broker.Broker(here.bounds, self.view, self._drop),
        )
        self.election = election.Election(here, '1', self.view, self.slots)
        gevent.spawn(self.election.run)
        self._revision = 0

    def know(self, name: str, cores: float = 1, zone: str = 'z') -> None:
        """Learn of a node.

        Args:
            name: Its name.
            cores: Its processor time.
            zone: Its failure domain.
        """
        self._revision += 1
        record = deployment.Peer(name, zone, f'{name}:1', cores)
        self.view.take_changes(
            Kind.peers,
            registry.Changes(self._revision, (registry.Change(name, record),)),
            'test',
        )

    def _open(self, address: str, peer: str, known: view.View) -> FakeLink:
        if peer not in self.reachable:
            raise error.ConnectError('cut', 'connect', address)
        opened = FakeLink(peer)
        self.links.append(opened)
        return opened

    def _drop(self, owner: str, content: object) -> None:
        """Pass over a reply."""


def test_the_strongest_node_is_asked(monkeypatch: pytest.MonkeyPatch) -> None:
    """All nodes agree on the strongest one that they reach."""
    node = Node(monkeypatch)
    node.reachable = {'strong', 'other'}
    node.know('other', 2)
    node.know('strong', 4)
    paused_loop.advance(2)
    assert node.election.broker_name == 'strong'
    assert isinstance(node.links[-1].sent[0], frame.Attach)


def test_next_one_is_asked_if_it_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that lost its broker asks the next, then its own."""
    node = Node(monkeypatch)
    node.reachable = {'strong', 'other'}
    node.know('other', 2)
    node.know('strong', 4)
    paused_loop.advance(2)
    node.reachable = {'other'}
    node.links[-1].close()
    paused_loop.advance(1)
    assert node.election.broker_name == 'other'
    node.reachable = set()
    node.links[-1].close()
    paused_loop.advance(1)
    assert node.election.broker_name == 'here'
    assert not node.slots.is_remote


def test_better_broker_is_asked_when_it_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stronger node that is reached again is asked again."""
    node = Node(monkeypatch)
    node.know('strong', 4)
    paused_loop.advance(1)
    assert node.election.broker_name == 'here'
    node.reachable = {'strong'}
    paused_loop.advance(2)
    assert node.election.broker_name == 'strong'


def test_strongest_node_leaves_its_seed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that began with a seed uses its own broker if it is the best."""
    node = Node(monkeypatch, cores=8, seeds=('seed:1', 'here:1'))
    node.reachable = {'seed:1', 'other'}
    paused_loop.advance(0.1)
    assert node.election.broker_name == 'seed:1'
    node.know('other', 2)
    node.know('here', 8)
    paused_loop.advance(2)
    assert node.election.broker_name == 'here'
    assert not node.slots.is_remote
    assert not node.links[0].open


def test_few_nodes_watch_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """The first nodes of a failure domain watch, the others are told."""
    node = Node(monkeypatch)
    node.reachable = {'strong'}
    node.know('here')
    paused_loop.advance(2)
    assert node.election.watches_store()
    for name in ('strong', 'second', 'third'):
        node.know(name, 4)
    paused_loop.advance(2)
    assert not node.election.watches_store()
    node.reachable = set()
    node.links[-1].close()
    paused_loop.advance(0.1)
    assert node.election.watches_store()
