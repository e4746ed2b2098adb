"""Tests of a node that has its requests relayed by another node."""

import collections

import gevent
import msgspec
import pytest

from pimentoway.backends import channel
from pimentoway.core import clock, deployment, registry
from pimentoway.nodes import requestrelay
from pimentoway.ops import slot
from pimentoway.platform import edge_process_test, scripted_engine
from pimentoway.tools import edge

Script = scripted_engine.Script
EVENTS = edge_process_test.EVENTS

#: An address that refuses connections.
DEAD_ADDRESS = '127.0.0.1:1'

#: Seconds within which an engine must learn that a caller has left.
LEAVE_SECONDS = 0.5


class RelayedNode:
    """A node without paths to its engines, and one that relays.

    Attributes:
        node: The node whose callers are served.
        relay: The node that relays for it.
        via: The relays that the next grants name; the last one is reused.
        reports: What the node reported to its broker.
    """

    def __init__(
        self, *engines: scripted_engine.ScriptedEngine, via: tuple = ('n2',)
    ) -> None:
        """Start both nodes.

        Args:
            *engines: The engines, which only the relay reaches.
            via: The relays that the next grants name.
        """
        self.node = edge_process_test.NodeHarness()
        self.relay = edge_process_test.NodeHarness(*engines, name='n2')
        self.via = collections.deque(via)
        self.reports: list[slot.Report] = []
        for engine in engines:
            self.node.add(engine, address=DEAD_ADDRESS)
        for harness in (self.node, self.relay):
            self._register(harness.node.settings)
        # A slot request that waits while its node changes the broker is lost.
        while not any(
            harness.node.slots.is_remote for harness in (self.node, self.relay)
        ):
            gevent.sleep(0.01)
        slots = self.node.node.slots
        self._accept = slots.accept_reply
        self._report = slots.report
        slots.accept_reply = self._accept_reply
        slots.report = self._note_report

    def list_outcomes(self) -> list[slot.Outcome]:
        """List the outcomes of grants.

        Returns:
            The outcomes in order.
        """
        return [one.outcome for one in self.reports if one.number]

    def _register(self, settings: object) -> None:
        peer = deployment.Peer(
            settings.name, 'z', settings.peers, 1, settings.relay
        )
        for harness in (self.node, self.relay):
            harness.change_record(registry.Kind.peers, peer.name, peer)

    def _accept_reply(self, reply: slot.Grant | slot.Refusal) -> None:
        # The broker of this test, which does not know of paths, grants direct
        # ways only.
        if isinstance(reply, slot.Grant):
            reply = msgspec.structs.replace(reply, via=self.via[0])
            if len(self.via) > 1:
                self.via.popleft()
        self._accept(reply)

    def _note_report(self, report: slot.Report) -> None:
        self.reports.append(report)
        self._report(report)


def make_stream(**changes: object) -> Script:
    """Make a streamed answer.

    Args:
        **changes: Fields of the script.

    Returns:
        The script.
    """
    options = {
        'body': EVENTS,
        'chunked': True,
        'headers': ('Content-Type: text/event-stream',),
        **changes,
    }
    return Script(**options)


@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x'])
def test_node_without_paths_serves_by_relay(path: str) -> None:
    """The engine gets the request once, and the caller its answer."""
    engine = scripted_engine.ScriptedEngine('e1')
    relayed = RelayedNode(engine)
    status, headers, body = relayed.node.call(path)
    assert (status, body) == (200, b'done')
    assert headers['Pimentoway-Response-Seal'] == 'e1.a1'
    assert len(engine.requests) == 1
    assert relayed.list_outcomes() == [slot.Outcome.answered]


@pytest.mark.parametrize('path', ['/stream/x', '/resumable/x'])
def test_streams_are_relayed(path: str) -> None:
    """The node reports its events to the broker."""
    engine = scripted_engine.ScriptedEngine('e1', make_stream(pause=0.02))
    relayed = RelayedNode(engine)
    status, _, body = relayed.node.call(path)
    assert status == 200
    assert all(event.strip() in body for event in EVENTS)
    assert relayed.reports[0].events == len(EVENTS)
    assert relayed.reports[0].outcome is slot.Outcome.answered


# Guards against a node that gives up an engine which a relay reaches.
def test_lost_path_leads_to_a_relay() -> None:
    """The engine is not avoided after its connection was refused."""
    engine = scripted_engine.ScriptedEngine('e1')
    relayed = RelayedNode(engine, via=('', 'n2'))
    assert relayed.node.call('/unsafe/x')[0] == 200
    assert relayed.list_outcomes() == [
        slot.Outcome.unreachable,
        slot.Outcome.answered,
    ]


def test_back_end_that_is_down_is_left() -> None:
    """Neither the node nor the relay reaches it, but another one."""
    one = scripted_engine.ScriptedEngine('e1')
    relayed = RelayedNode(one)
    one.stop()
    assert relayed.node.call('/unsafe/x')[0] == 503
    assert relayed.list_outcomes()[0] is slot.Outcome.unreachable


# Guards against requests that fail as their first relay is gone.
def test_lost_relay_is_not_run() -> None:
    """The request goes on through another one at once."""
    engine = scripted_engine.ScriptedEngine('e1')
    relayed = RelayedNode(engine, via=('n3', 'n2', 'n3', 'n2'))
    assert relayed.node.call('/unsafe/x')[0] == 200
    assert relayed.list_outcomes()[0] is slot.Outcome.relay_lost


def test_refusal_of_engine_is_not_run() -> None:
    """It comes through the relay as a refusal with a time."""
    shed = Script(status=503, headers=('Pimentoway-Not-Executed: 1',))
    relayed = RelayedNode(scripted_engine.ScriptedEngine('e1', shed))
    status, headers, _ = relayed.node.call('/unsafe/x')
    assert status == 503
    assert 'Retry-After' in headers
    assert relayed.list_outcomes()[0] is slot.Outcome.shed


@pytest.mark.parametrize('shared', ['', 'Pimentoway-Prefix-Hash: a:1,b:1\r\n'])
def test_cut_behind_a_relay_is_no_crash(shared: str) -> None:
    """The node can't connect to the engine, but the relay can."""
    engine = scripted_engine.ScriptedEngine('e1', Script(close_after=0))
    relayed = RelayedNode(engine)
    extra = f'Connection: close\r\n{shared}'
    assert relayed.node.call('/unsafe/x', extra=extra)[0] == 502
    assert relayed.list_outcomes() == [slot.Outcome.cut]
    assert len(engine.requests) == 1


# Guards against an unsafe request that runs twice as its relay died.
def test_request_of_dead_relay_runs_once() -> None:
    """The engine got it once, and is not blamed."""
    engine = scripted_engine.ScriptedEngine('e1', Script(silent=True))
    relayed = RelayedNode(engine)
    task = gevent.spawn(relayed.node.call, '/unsafe/x')
    gevent.sleep(0.2)
    for peer in tuple(relayed.relay.node._relay._peers):
        peer.close()
    assert task.get(timeout=1)[0] == 502
    assert len(engine.requests) == 1
    assert relayed.list_outcomes() == [slot.Outcome.abandoned]


def end_early(*options: object) -> None:
    """Fail as if the back end had been silent until the deadline.

    Args:
        *options: Ignored.

    Raises:
        SilentError: Always.
    """
    gevent.sleep(0.1)
    raise channel.SilentError('no answer in time', 'read')


# Guards against a node that serves nobody until the deadline of a request, as
# its relay told of a silence before its time.
def test_early_silence_of_a_relay_is_an_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The caller gets its answer at once, and other tasks run meanwhile."""
    monkeypatch.setattr(requestrelay._Run, '_send_and_receive', end_early)
    relayed = RelayedNode(scripted_engine.ScriptedEngine('e1'))
    started = clock.read_monotonic()
    assert relayed.node.call('/unsafe/x')[0] == 504
    assert clock.read_monotonic() - started < LEAVE_SECONDS


def test_caller_that_leaves_reaches_the_engine() -> None:
    """Through both nodes, so that it stops its work."""
    engine = scripted_engine.ScriptedEngine('e1', Script(silent=True))
    relayed = RelayedNode(engine)
    sock = relayed.node.connect()
    sock.sendall(edge_process_test.make_request('/unsafe/x'))
    gevent.sleep(0.2)
    assert engine.requests
    sock.close()
    gevent.sleep(LEAVE_SECONDS)
    assert engine.abandoned


# Guards against a node that stops while it carries requests of others.
def test_draining_node_finishes_relayed_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its own callers are gone already."""
    monkeypatch.setattr(edge, 'ACCEPT_SECONDS', 0.1)
    engine = scripted_engine.ScriptedEngine('e1', make_stream(pause=0.2))
    relayed = RelayedNode(engine)
    task = gevent.spawn(relayed.node.call, '/stream/x')
    gevent.sleep(0.2)
    drain = gevent.spawn(relayed.relay.node.drain)
    gevent.sleep(0.5)
    assert not drain.dead
    status, _, body = task.get(timeout=4)
    assert status == 200
    assert EVENTS[-1].strip() in body
    drain.join(1)
    assert drain.dead


# Guards against a relay that pauses an engine for the node that it serves.
def test_pause_binds_the_relay() -> None:
    """The node itself may use the engine when its path is back."""
    shed = Script(
        status=503, headers=('Pimentoway-Not-Executed: 1', 'Retry-After: 5')
    )
    engine = scripted_engine.ScriptedEngine('e1', shed)
    relayed = RelayedNode(engine)
    relayed.node.call('/unsafe/x')
    for harness, usable in ((relayed.node, True), (relayed.relay, False)):
        record = harness.node.view.engines_by_name['e1']
        assert harness.node.slots.may_use(record) == usable
