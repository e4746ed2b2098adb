"""Tests of nodes that watch the store in place of others, without a network.

The nodes of a fleet tell each other of the store as links do, once in a tenth
of a second. The store serves some of them.
"""

import collections
import dataclasses

import gevent
import hypothesis
import pytest
from hypothesis import strategies

from pimentoway.core import clock, deployment, error, registry
from pimentoway.nodes import election, frame, watchduty
from pimentoway.ops import storecontact, view
from pimentoway.standin import paused_loop

Contact = frame.Contact

#: The nodes that the store turns away, and whether it stays silent.
Step = tuple[set[int], bool]

#: Seconds within which a node that the store serves must watch it after the
#: watchers were turned away. Configurations must be in force within 2 s and
#: the 5 s by which an unstable store stretches that.
TAKEOVER_SECONDS = 6.5

#: Seconds of a call that the store does not answer, and between two calls of a
#: watch that fails.
SILENT_SECONDS = 1.5
RETRY_SECONDS = 0.6

#: Seconds until what a node tells has reached the other.
LINK_SECONDS = 0.1

#: Seconds between two answers to an idle watch.
IDLE_SECONDS = 20


@dataclasses.dataclass
class FakeLink:
    """A link whose heartbeats a test writes.

    Attributes:
        peer: The name of the node at the other end.
        contact: What it told last.
    """

    peer: str
    contact: int = Contact.unknown

    def read_contact(self) -> int:
        """Read what the peer told last.

        Returns:
            The value of a ``Contact``.
        """
        return self.contact


class FakeElection:
    """The place of a node in a fleet that does not change.

    Attributes:
        broker_name: The name of the broker.
        contact: What the broker told last.
    """

    def __init__(self, broker_name: str, is_regular: bool) -> None:
        """Set the place of the node.

        Args:
            broker_name: The name of the broker.
            is_regular: Whether the node always watches.
        """
        self.broker_name = broker_name
        self.contact: int = Contact.unknown
        self._is_regular = is_regular

    def read_contact(self) -> int:
        """Read what the broker told last.

        Returns:
            The value of a ``Contact``.
        """
        return self.contact

    def should_watch_store(self) -> bool:
        """Tell whether the node always watches.

        Returns:
            Whether it does.
        """
        return self._is_regular


class Member:
    """A node of a fleet.

    Attributes:
        name: Its name.
        duty: The object under test.
        checks: How often it asked the store for an answer.
    """

    def __init__(self, fleet: 'Fleet', name: str, is_regular: bool) -> None:
        """Start the node.

        Args:
            fleet: The fleet.
            name: The name of the node.
            is_regular: Whether it always watches.
        """
        self.name = name
        self.checks = 0
        self.election = FakeElection(fleet.broker_name, is_regular)
        self.contact = storecontact.StoreContact()
        self.duty = watchduty.WatchDuty(
            name,
            fleet.view,
            self.election,
            fleet.links if name == fleet.broker_name else {},
            self.contact,
            self._check,
        )
        self._fleet = fleet
        self._is_hanging = False
        gevent.spawn(self.duty.run)
        gevent.spawn(self._watch)

    @property
    def is_watching(self) -> bool:
        """Whether the node learns of changes from the store."""
        if self._is_hanging or self.name in self._fleet.away:
            return False
        return self.duty.should_watch_store() and self.contact.is_kept()

    def _check(self) -> None:
        self.checks += 1
        self._fleet.call(self.name)

    def _watch(self) -> None:
        while True:
            watches = self.duty.should_watch_store()
            if watches:
                watches = self._wait_for_answer()
            for kind in registry.Kind:
                self.contact.note_watched(kind, is_connected=watches)
            if watches:
                with self.contact.wait():
                    self._wait_for_change()
            else:
                gevent.sleep(RETRY_SECONDS if self.duty.substitutes else 0.1)

    def _wait_for_answer(self) -> bool:
        try:
            self._fleet.call(self.name)
        except error.PlatformError:
            return False
        return True

    def _wait_for_change(self) -> None:
        # A call that the store did not serve once stays without an answer.
        end = clock.read_monotonic() + IDLE_SECONDS
        try:
            while clock.read_monotonic() < end and not self._is_refused():
                gevent.sleep(LINK_SECONDS)
        except storecontact.WatchEndedError:
            return
        finally:
            self._is_hanging = False

    def _is_refused(self) -> bool:
        is_away = self.name in self._fleet.away
        self._is_hanging = self._is_hanging or is_away
        return is_away and not self._fleet.is_silent


class Fleet:
    """Nodes that ask one broker, and the store.

    Attributes:
        away: The nodes that the store does not serve.
        is_silent: Whether it does not answer them at all.
        nodes: The nodes, by descending rank; the first is the broker.
    """

    def __init__(self, size: int, regular: int) -> None:
        """Start the nodes and let them settle.

        Args:
            size: Their number.
            regular: How many of them always watch.
        """
        self.away: set[str] = set()
        self.is_silent = False
        self.view = view.View()
        self.links: dict[str, FakeLink] = {}
        peers = election.order_peers(
            [
                deployment.Peer(f'n{number}', 'z', '', 1)
                for number in range(size)
            ]
        )
        changes = tuple(registry.Change(peer.name, peer) for peer in peers)
        self.view.apply_changes(
            registry.Kind.peers, registry.Changes(1, changes), 'test'
        )
        self.broker_name = peers[0].name
        self.nodes = [
            Member(self, peer.name, number < regular)
            for number, peer in enumerate(peers)
        ]
        for node in self.nodes[1:]:
            self.links[node.name] = FakeLink(node.name)
        gevent.spawn(self._exchange)
        paused_loop.advance(watchduty.START_SECONDS + 1)

    def call(self, name: str) -> None:
        """Let a node call the store.

        Args:
            name: The name of the node.

        Raises:
            PlatformUnavailableError: If the store does not serve it.
        """
        if name in self.away:
            gevent.sleep(SILENT_SECONDS if self.is_silent else 0)
            raise error.PlatformUnavailableError('away', 'call')

    def turn_away(self, numbers: collections.abc.Iterable[int]) -> None:
        """Let the store no longer serve some nodes.

        Args:
            numbers: Their places by rank; the broker has 0.
        """
        self.away = {self.nodes[number].name for number in numbers}

    def list_substitutes(self) -> list[str]:
        """List the nodes that watch in place of others.

        Returns:
            Their names.
        """
        return [node.name for node in self.nodes if node.duty.substitutes]

    def is_covered(self) -> bool:
        """Tell whether any node learns of changes.

        Returns:
            Whether one does.
        """
        return any(node.is_watching for node in self.nodes)

    def count_checks(self) -> int:
        """Count how often nodes asked the store for an answer.

        Returns:
            The number of calls.
        """
        return sum(node.checks for node in self.nodes)

    def _exchange(self) -> None:
        broker = self.nodes[0].duty
        while True:
            gevent.sleep(LINK_SECONDS)
            for node in self.nodes[1:]:
                self.links[node.name].contact = node.duty.tell_broker()
                node.election.contact = broker.tell_node(node.name)


# Guards against nodes that wait for news of others that have lost the store.
@pytest.mark.parametrize('is_silent', [False, True])
@pytest.mark.parametrize(('size', 'regular'), [(6, 2), (12, 4), (88, 9)])
def test_served_node_takes_over(
    size: int, regular: int, is_silent: bool
) -> None:
    """The store turns those away that watch it, and then serves them again."""
    fleet = Fleet(size, regular)
    fleet.is_silent = is_silent
    assert not fleet.list_substitutes()
    fleet.turn_away(range(regular))
    paused_loop.advance(TAKEOVER_SECONDS)
    assert fleet.is_covered()
    assert 1 <= len(fleet.list_substitutes()) <= 3
    fleet.turn_away(())
    paused_loop.advance(3)
    assert fleet.is_covered()
    assert not fleet.list_substitutes()


def test_lost_substitute_is_replaced() -> None:
    """The next node by rank takes over."""
    fleet = Fleet(12, 2)
    fleet.turn_away(range(2))
    paused_loop.advance(2)
    assert fleet.is_covered()
    fleet.turn_away(range(4))
    paused_loop.advance(3)
    assert fleet.is_covered()


# Guards against a node that is relied on and waits for a lost answer.
def test_silent_watch_is_renewed() -> None:
    """The store fell silent for the node while nobody relied on it."""
    fleet = Fleet(12, 4)
    fleet.is_silent = True
    fleet.turn_away((2,))
    paused_loop.advance(TAKEOVER_SECONDS)
    fleet.is_silent = False
    fleet.turn_away(set(range(12)) - {2})
    paused_loop.advance(TAKEOVER_SECONDS)
    assert fleet.is_covered()


def test_others_rely_on_a_regular_watcher() -> None:
    """A broker that is turned away alone costs no further watches."""
    fleet = Fleet(24, 4)
    fleet.turn_away((0,))
    paused_loop.advance(5)
    assert fleet.is_covered()
    assert not fleet.list_substitutes()


def test_calm_costs_few_checks() -> None:
    """Only the broker asks, at most once in ``CHECK_SECONDS``."""
    fleet = Fleet(24, 4)
    before = fleet.count_checks()
    paused_loop.advance(30)
    assert fleet.count_checks() - before <= 30 / watchduty.CHECK_SECONDS + 1
    assert not fleet.nodes[1].checks


@pytest.mark.parametrize('is_silent', [False, True])
def test_outage_costs_few_checks(is_silent: bool) -> None:
    """The store serves nobody for 9 s: few nodes ask it, and slowly."""
    fleet = Fleet(60, 9)
    before = fleet.count_checks()
    fleet.is_silent = is_silent
    fleet.turn_away(range(60))
    paused_loop.advance(9)
    asking = watchduty.MAX_ASKING + 9
    per_node = 9 / watchduty.MAX_RETRY_SECONDS + 3
    assert fleet.count_checks() - before <= asking * per_node
    fleet.turn_away(())
    paused_loop.advance(5)
    assert fleet.is_covered()
    assert not fleet.list_substitutes()


# Guards against a fleet that lists the store from every node at its start.
def test_broker_without_an_answer_yet_is_awaited() -> None:
    """It does not count as one that has lost the store."""
    fleet = Fleet(1, 1)
    late = watchduty.WatchDuty(
        'n0',
        fleet.view,
        FakeElection('n0', is_regular=True),
        {},
        storecontact.StoreContact(),
        lambda: None,
    )
    assert late.tell_node('n9') is Contact.unknown
    paused_loop.advance(watchduty.START_SECONDS + 1)
    assert late.tell_node('n9') is Contact.lost


# Guards against watches that are renewed whenever the broker changes.
def test_new_broker_asks_first() -> None:
    """Its last answer is old, as nobody relied on it before."""
    fleet = Fleet(6, 2)
    node = fleet.nodes[1]
    fleet.nodes.remove(node)
    paused_loop.advance(watchduty.FRESH_SECONDS + 1)
    assert node.duty.tell_broker() is Contact.lost
    node.election.broker_name = node.name
    node.election.contact = Contact.unknown
    assert node.duty.tell_node('n9') is Contact.unknown
    paused_loop.advance(0.2)
    assert node.duty.tell_node('n9') is Contact.kept


def test_earlier_broker_is_relied_on() -> None:
    """It tells nothing."""
    fleet = Fleet(6, 2)
    node = fleet.nodes[-1]
    node.election.broker_name = 'earlier'
    fleet.links.clear()
    fleet.nodes = fleet.nodes[:1]
    node.election.contact = Contact.unknown
    paused_loop.advance(5)
    assert not node.duty.substitutes
    assert not node.checks


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(
            strategies.sets(strategies.integers(0, 11), max_size=11),
            strategies.booleans(),
        ),
        min_size=1,
        max_size=4,
    )
)
def test_some_served_node_always_watches(
    steps: list[Step],
) -> None:
    """Whatever nodes the store serves, one of them watches it soon."""
    paused_loop.reset_tasks(0)
    fleet = Fleet(12, 4)
    for away, is_silent in steps:
        fleet.is_silent = is_silent
        fleet.turn_away(away)
        paused_loop.advance(TAKEOVER_SECONDS)
        assert fleet.is_covered()
    fleet.turn_away(())
    paused_loop.advance(TAKEOVER_SECONDS)
    assert not fleet.list_substitutes()
