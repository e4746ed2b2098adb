"""Decides whether this node watches the store, also in place of others.

A few nodes watch the store and tell the rest what changed. The store may turn
those few away while it serves the rest, and a node that only waits for news
can't tell lost news from calm. So the broker tells each node whether the store
still answers one that ranks above it. If not, the nodes ask the store group by
group, first those that always watch, and the first that gets an answer watches
it for the others.
"""

import collections

import gevent

from pimentoway.core import clock, deployment, error, log
from pimentoway.nodes import election, frame, link
from pimentoway.ops import storecontact, view

#: Seconds between two steps.
STEP_SECONDS = 0.1

#: Seconds after the last answer of the store after which a node on which
#: others rely asks for one: the store says nothing while it has no change.
CHECK_SECONDS = 2.0

#: Seconds for which an answer shows that the store serves a node: the time
#: until the next check and the time that it may take.
FRESH_SECONDS = 4.0

#: Seconds until the next try after the store gave no answer; they double up to
#: the second value.
RETRY_SECONDS = 0.5
MAX_RETRY_SECONDS = 2.0

#: Seconds from one group of nodes that ask the store to the next. The first one
#: is a node, and each is as large as all before it.
GROUP_SECONDS = 0.4

#: The most nodes that ask the store when the broker has lost it.
MAX_ASKING = 32

#: Seconds after the start of a broker in which it does not say that it has no
#: answer of the store yet.
START_SECONDS = 3.0

#: Seconds for which the search for the highest node with an answer holds.
SEARCH_SECONDS = 0.05

_LOG = log.Log('duty')

_LOWEST = (float('inf'), 0)


class WatchDuty:
    """Keeps the changes of the store known to this node and to those it tells.

    Attributes:
        substitutes: Whether this node watches the store in place of others.
    """

    def __init__(
        self,
        name: str,
        node_view: view.View,
        elected: election.Election,
        links_by_requester: dict[str, link.Link],
        contact: storecontact.StoreContact,
        check_store: collections.abc.Callable[[], None],
    ) -> None:
        """Use the given components of the node.

        Args:
            name: The name of the node.
            node_view: The registry records, with the other nodes.
            elected: Tells whose broker is asked and which nodes always watch.
            links_by_requester: The links of the nodes that ask this broker.
            contact: What the calls to the store have shown.
            check_store: Asks the store for an answer, else raises
                ``PlatformError``.
        """
        self.substitutes = False
        self._name = name
        self._view = node_view
        self._election = elected
        self._links_by_requester = links_by_requester
        self._contact = contact
        self._check_store = check_store
        self._started = clock.read_monotonic()
        self._broker_name = name
        self._is_waiting = False
        self._is_relied_on = False
        self._next_check: float = 0
        self._pause = RETRY_SECONDS
        self._highest = _LOWEST
        self._searched_at = float('-inf')

    def should_watch_store(self) -> bool:
        """Tell whether this node should watch the store for changes.

        Returns:
            Whether it should, by its rank or in place of others.
        """
        return self.substitutes or self._election.should_watch_store()

    def tell_broker(self) -> frame.Contact:
        """Tell the broker whether the store answers this node.

        Returns:
            What to tell; nothing that was learnt from others.
        """
        is_kept = self._contact.is_kept() and self.should_watch_store()
        if is_kept and self._contact.has_answered_within(FRESH_SECONDS):
            return frame.Contact.kept
        return frame.Contact.lost

    def tell_node(self, peer: str) -> frame.Contact:
        """Tell a node of this broker whether it may rely on others.

        Args:
            peer: The name of the node.

        Returns:
            ``kept`` if the store answers this node or one that ranks above the
            other.
        """
        if self.tell_broker() is frame.Contact.kept:
            return frame.Contact.kept
        if self._election.read_contact() == frame.Contact.kept:
            return frame.Contact.kept
        if self._find_highest() < self._rank(peer):
            return frame.Contact.kept
        is_starting = clock.read_monotonic() - self._started < START_SECONDS
        # A node that has just become the broker asks the store first.
        if is_starting or self._contact.is_kept():
            return frame.Contact.unknown
        return frame.Contact.lost

    def run(self) -> None:
        """Take over from nodes that have lost the store, for ever."""
        while True:
            gevent.sleep(STEP_SECONDS)
            self._advance(clock.read_monotonic())

    def _advance(self, now: float) -> None:
        broker_name = self._election.broker_name
        if self._is_covered():
            self._is_waiting = False
            self._set_substitutes(substitutes=False)
            return
        if not self._is_waiting or broker_name != self._broker_name:
            self._is_waiting = True
            self._is_relied_on = not self._is_linked()
            self._broker_name = broker_name
            self._pause = RETRY_SECONDS
            self._next_check = now + self._compute_delay()
        if now >= self._next_check and self._needs_check():
            self._check(now)

    def _is_covered(self) -> bool:
        # Others rely on a node that uses its own broker. Brokers of earlier
        # releases tell nothing.
        contact = self._election.read_contact()
        return self._is_linked() and contact != frame.Contact.lost

    def _is_linked(self) -> bool:
        return self._election.broker_name != self._name

    def _needs_check(self) -> bool:
        if not self.should_watch_store():
            return self._is_linked()
        # While the calls of watches fail, they are tried again anyway.
        return self._contact.is_kept() and (
            not self._contact.has_answered_within(CHECK_SECONDS)
        )

    def _check(self, now: float) -> None:
        try:
            self._check_store()
        except error.PlatformError as fault:
            self._next_check = now + self._pause
            self._pause = min(MAX_RETRY_SECONDS, self._pause * 2)
            self._set_substitutes(substitutes=False)
            self._contact.renew_watches(f'the store gives no answer: {fault}')
            return
        self._contact.note_answer()
        self._pause = RETRY_SECONDS
        if self._is_covered():
            return
        self._set_substitutes(
            substitutes=not self._election.should_watch_store()
        )
        if not self._is_relied_on:
            # The store may have turned the node away without its notice.
            self._is_relied_on = True
            self._contact.renew_watches('others rely on this node')

    def _set_substitutes(self, *, substitutes: bool) -> None:
        if substitutes == self.substitutes:
            return
        self.substitutes = substitutes
        _LOG.write(
            'watches the store in place of others.'
            if substitutes
            else 'no longer watches the store in place of others.',
            broker=self._election.broker_name,
        )

    def _compute_delay(self) -> float:
        if not self._is_linked():
            return 0
        peers = list(self._view.peers_by_name.values())
        watchers = election.list_watchers(peers)
        names = dict.fromkeys(
            (*watchers, *(peer.name for peer in election.order_peers(peers)))
        )
        names.pop(self._election.broker_name, None)
        asking = list(names)[:MAX_ASKING]
        if self._name not in asking:
            return float('inf')
        return GROUP_SECONDS * asking.index(self._name).bit_length()

    def _find_highest(self) -> tuple[float, int]:
        now = clock.read_monotonic()
        if now - self._searched_at >= SEARCH_SECONDS:
            self._searched_at = now
            self._highest = min(
                (
                    self._rank(linked.peer)
                    for linked in self._links_by_requester.values()
                    if linked.read_contact() == frame.Contact.kept
                ),
                default=_LOWEST,
            )
        return self._highest

    def _rank(self, name: str) -> tuple[float, int]:
        peer: deployment.Peer | None = self._view.peers_by_name.get(name)
        return election.rank(peer) if peer else _LOWEST
