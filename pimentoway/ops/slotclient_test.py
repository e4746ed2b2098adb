"""Tests of asking another node's broker and falling back to the own one."""

import gevent
import msgspec
import pytest

from pimentoway.core import error, place
from pimentoway.ops import ask, broker, slotclient
from pimentoway.standin import asking, load

OWNER = 'n1/1'

ENTRY = asking.make_ask(0, customer='c', cost=10, time_left=4, patience_left=4)


class Pair:
    """A node with its own broker, and the broker of another node.

    Attributes:
        slots: Asks for slots.
        local: The own broker.
        remote: The other broker.
        lost: Whether what is sent to the other broker is lost.
    """

    def __init__(self) -> None:
        """Start with one back end of two slots."""
        self.lost = False
        self.slots = slotclient.SlotClient(OWNER, 8)
        self.view = load.World(speeds=(1,), slots=2).view
        bounds = place.Bounds()
        self.local = broker.Broker(bounds, self.view, self._reply)
        self.remote = broker.Broker(bounds, self.view, self._reply)
        self.slots.use_local(self.local)

    def send(self, content: ask.Ask | ask.Report) -> None:
        """Carry a message to the other broker.

        Args:
            content: The message.
        """
        if self.lost:
            return
        if isinstance(content, ask.Ask):
            self.remote.submit(OWNER, content)
        else:
            self.remote.finish(OWNER, content)

    def attach(self) -> None:
        """Use the other broker, as after a new connection."""
        self.remote.adopt(
            OWNER,
            self.slots.list_running(),
            self.slots.list_usage(),
        )
        self.slots.switch(self.send)

    def admit(self) -> ask.Ask:
        """Get a slot.

        Returns:
            The ask that was granted.
        """
        entry = self.number()
        self.slots.admit(entry)
        return entry

    def number(self) -> ask.Ask:
        """Number an ask.

        Returns:
            The ask.
        """
        return msgspec.structs.replace(
            ENTRY,
            number=self.slots.make_number(),
        )

    def count_free(self, where: broker.Broker) -> int:
        """Count the free slots that a broker sees.

        Args:
            where: The broker.

        Returns:
            The slots.
        """
        return where.engines.by_engine['e0'].count_free(1)

    def _reply(self, owner: str, content: ask.Grant | ask.Refusal) -> None:
        if not self.lost:
            self.slots.take(content)


def end(pair: Pair, entry: ask.Ask) -> None:
    """Report the end of a run.

    Args:
        pair: The node.
        entry: The ask.
    """
    pair.slots.report(ask.Report(entry.number, ask.Outcome.answered))


def test_runs_that_end_while_unlinked_are_freed() -> None:
    """Reset links: what ended meanwhile holds no slot afterwards."""
    pair = Pair()
    pair.attach()
    entry = pair.admit()
    pair.remote.drop_owner(OWNER)
    pair.slots.switch(None)
    end(pair, entry)
    pair.attach()
    load.play(5)
    assert pair.count_free(pair.remote) == 2


def test_runs_that_go_on_are_taken_over() -> None:
    """Lost broker: the next one counts what still runs."""
    pair = Pair()
    entry = pair.admit()
    assert pair.count_free(pair.local) == 1
    pair.attach()
    assert pair.count_free(pair.remote) == 1
    end(pair, entry)
    assert pair.count_free(pair.remote) == 2
    load.play(5)
    pair.local.tick()
    assert pair.count_free(pair.local) == 2


def test_asks_without_reply_are_asked_again() -> None:
    """Frozen broker: asks that it did not answer go to the own one."""
    pair = Pair()
    pair.attach()
    pair.lost = True
    task = gevent.spawn(pair.slots.admit, pair.number())
    gevent.idle()
    assert not task.ready()
    pair.lost = False
    pair.slots.switch(None)
    gevent.idle()
    assert task.get(timeout=1) == 'e0'


def test_caller_that_leaves_withdraws_its_ask() -> None:
    """A caller that leaves while it waits holds no place."""
    pair = Pair()
    for _ in range(2):
        pair.admit()
    task = gevent.spawn(pair.slots.admit, pair.number())
    gevent.idle()
    assert pair.local.count_waiting() == 1
    task.kill()
    assert pair.local.count_waiting() == 0


def test_ask_ends_with_its_time() -> None:
    """An ask that nobody answers ends when its time is over."""
    pair = Pair()
    pair.lost = True
    pair.slots.switch(pair.send)
    task = gevent.spawn(pair.slots.admit, pair.number())
    load.play(5)
    with pytest.raises(error.ExpiredError):
        task.get(timeout=0)


@pytest.mark.parametrize(
    ('reason', 'status'),
    [
        (ask.Reason.over_quota, 429),
        (ask.Reason.overloaded, 503),
        (ask.Reason.no_backend, 503),
        (ask.Reason.suspect, 503),
        (ask.Reason.no_budget, 503),
    ],
)
def test_refusals_promise_that_nothing_ran(
    reason: ask.Reason, status: int
) -> None:
    """Each refusal is an error that says so and when to come back."""
    pair = Pair()
    pair.slots.switch(lambda content: None)
    task = gevent.spawn(pair.slots.admit, pair.number())
    gevent.idle()
    pair.slots.take(ask.Refusal(1, reason, 0.7))
    gevent.idle()
    with pytest.raises(error.NotRunError) as caught:
        task.get(timeout=0)
    assert caught.value.status == status
    assert caught.value.retry_after == 0.7


def test_usage_counts_what_was_granted() -> None:
    """A new broker learns what the node used of its quotas."""
    pair = Pair()
    entry = pair.admit()
    assert pair.slots.list_usage() == [ask.Usage('c', 10)]
    pair.slots.report(ask.Report(entry.number, ask.Outcome.unused))
    assert not pair.slots.list_usage()
    pair.slots.admit(msgspec.structs.replace(pair.number(), customer=''))
    assert not pair.slots.list_usage()
