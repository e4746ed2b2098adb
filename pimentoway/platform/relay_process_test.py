"""Tests of requests that one node relays for another, over real sockets."""

import dataclasses
import itertools
import time

import gevent
import pytest
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.backends import channel
from pimentoway.core import (
    budget,
    call,
    clock,
    deployment,
    error,
    metric,
    registry,
)
from pimentoway.nodes import frame, relaychannel, relayframe, requestrelay
from pimentoway.ops import view
from pimentoway.platform import scripted_engine, wire

Script = scripted_engine.Script
EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(5))

#: The most bytes in the kernel's buffers between the relay and the node.
MAX_BUFFERED_BYTES = 20_000_000

NODE_HOST = '127.0.0.2'
NODE = deployment.Peer('n1', 'z', f'{NODE_HOST}:1', 1)


def put(
    node_view: view.View, kind: registry.Kind, name: str, record: object
) -> None:
    """Write a record to a view.

    Args:
        node_view: The view.
        kind: The kind of the record.
        name: Its name.
        record: The record; ``None`` removes it.
    """
    revision = node_view.revision_by_kind[kind] + 1
    change = registry.Change(name, record)
    node_view.apply_changes(kind, registry.Changes(revision, (change,)), 'test')


def make_dispatch(
    engine: deployment.Engine, body: bytes = b'ab', seconds: float = 2
) -> call.Dispatch:
    """Make a request.

    Args:
        engine: The back end.
        body: The body.
        seconds: The time that is left.

    Returns:
        The request.
    """
    headers = ((b'Pimentoway-Attempt-Id', b'a1'), (b'Host', b'h.example'))
    request = call.CallerRequest(
        request_id='a1',
        method='POST',
        target=b'/x?y=1',
        host='h.example',
        path='/x',
        key='key',
        timeout_seconds=2,
        token_counts=None,
        headers=headers,
        body=body,
        keep_alive=True,
        resumes=False,
        shared_parts=(1,),
    )
    return call.Dispatch(request, engine, 'studio', seconds)


class Harness:
    """A relay and a node that uses it, with one engine.

    Attributes:
        engine: The record of the engine.
        relay: The relay.
        channels: Its connections to the engine.
        notices: What it heard of the engine.
        usable: Whether it may use the engine.
    """

    def __init__(
        self, engine: scripted_engine.ScriptedEngine, budget_bytes: int = 0
    ) -> None:
        """Start the relay on a free port.

        Args:
            engine: The engine.
            budget_bytes: The bytes that bodies may use at the relay; 0 for
                no limit.
        """
        self.engine = deployment.Engine(
            engine.name, 's', engine.address, 'z', 'v1', 6, False, 0, 1
        )
        self.notices: list[call.Notices] = []
        self.usable = True
        self.crashed = False
        self.channels = channel.ChannelPool(wire.DIALECT)
        self.view = view.View()
        put(self.view, registry.Kind.engines, engine.name, self.engine)
        put(self.view, registry.Kind.peers, 'n1', NODE)
        self.relay = requestrelay.RequestRelay(
            requestrelay.Dependencies(
                self.view,
                self.channels,
                wire.DIALECT,
                budget.ByteBudget(budget_bytes),
                lambda engine: self.usable,
                lambda engine, notices: self.notices.append(notices),
                lambda engine: self.crashed,
            )
        )
        self.server = gevent_server.StreamServer(
            ('127.0.0.1', 0), self.relay.handle
        )
        self.server.start()
        address = f'127.0.0.1:{self.server.server_port}'
        peer = deployment.Peer('n2', 'z', '127.0.0.1:1', 1, address)
        put(self.view, registry.Kind.peers, 'n2', peer)

    def open(
        self,
        size: int = 2,
        max_idle: float = 0,
        source: str = NODE_HOST,
        request_id: str = 'a1',
    ) -> relaychannel.RelayChannel:
        """Let the relay connect to the engine.

        Args:
            size: The size of the body.
            max_idle: The longest idle time of its connection.
            source: The address of the node that asks.
            request_id: The identifier of the request.

        Returns:
            The connection.
        """
        client = relaychannel.RelayClient('n1', source, self.view, wire.DIALECT)
        return client.find_route('n2', size).acquire(
            self.engine.name, self.engine.address, max_idle, request_id
        )

    def send(self, **options: object) -> relaychannel.RelayChannel:
        """Open a connection and send a request.

        Args:
            **options: As for ``make_dispatch``.

        Returns:
            The connection.
        """
        dispatch = make_dispatch(self.engine, **options)
        conn = self.open(len(dispatch.request.body), max_idle=5)
        conn.send_request(dispatch, clock.read_monotonic() + 2)
        return conn


def read_answer(
    conn: relaychannel.RelayChannel, seconds: float = 2
) -> tuple[int, list[bytes]]:
    """Read the answer to a request.

    Args:
        conn: The connection.
        seconds: The time that is left.

    Returns:
        The status, and the parts of the body.
    """
    deadline = clock.read_monotonic() + seconds
    response, _ = conn.read_head('a1', deadline)
    parts = []
    part = conn.read_body_part(response, deadline)
    while part:
        parts.append(part)
        part = conn.read_body_part(response, deadline)
    conn.close()
    return response.status, parts


def wait_for(condition: object, seconds: float = 0.5) -> None:
    """Wait until a condition holds.

    Args:
        condition: Called without arguments.
        seconds: The longest time.
    """
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        gevent.sleep(0.01)
    assert condition()


@pytest.mark.parametrize(
    'script',
    [
        Script(),
        Script(chunked=True),
        Script(unframed=True),
        Script(foreign=True),
        Script(status=503, headers=('Pimentoway-Not-Executed: 1',)),
    ],
)
def test_answer_comes_through_unchanged(script: Script) -> None:
    """Status, body and refusals are the engine's, whatever the framing."""
    engine = scripted_engine.ScriptedEngine('e1', script)
    status, parts = read_answer(Harness(engine).send())
    assert (status, b''.join(parts)) == (script.status, b'done')
    request = engine.requests[0]
    assert request.target == b'/x?y=1'
    assert bytes(request.body) == b'ab'
    assert request.list_header_values(b'pimentoway-expect-instance') == [b'e1']
    assert request.list_header_values(b'pimentoway-tenant') == [b'studio']


@pytest.mark.parametrize('count', range(1, 5))
def test_stream_comes_event_by_event(count: int) -> None:
    """The relay passes on what has come before the next event does."""
    script = Script(body=EVENTS, chunked=True, silence=0.8, silent_after=count)
    conn = Harness(scripted_engine.ScriptedEngine('e1', script)).send()
    joined = list(itertools.accumulate(read_answer(conn)[1]))
    assert b''.join(EVENTS[:count]) in joined
    assert joined[-1] == b''.join(EVENTS)


def test_large_body_arrives_whole() -> None:
    """It is sent in parts."""
    body = bytes(range(256)) * 2000
    engine = scripted_engine.ScriptedEngine('e1')
    assert read_answer(Harness(engine).send(body=body))[0] == 200
    assert bytes(engine.requests[0].body) == body


def test_connection_to_engine_is_reused() -> None:
    """The node learns it, as late answers are judged by it."""
    harness = Harness(scripted_engine.ScriptedEngine('e1'))
    first = harness.send()
    assert not first.reused
    read_answer(first)
    wait_for(lambda: not harness.relay.count_active())
    second = harness.send()
    assert second.reused
    read_answer(second)
    assert harness.channels.opened_count == 1


# Guards against a relay that reads an endless answer into its memory.
def test_slow_reader_bounds_the_relay() -> None:
    """The relay reads no faster from the engine than the node does."""
    script = Script(body=(b'x',), endless=b'x', unframed=True)
    harness = Harness(scripted_engine.ScriptedEngine('e1', script))
    conn = harness.send()
    conn.read_head('a1', clock.read_monotonic() + 2)
    before = metric.RELAY_BYTES.labels('answer')._value.get()
    gevent.sleep(0.3)
    filled = metric.RELAY_BYTES.labels('answer')._value.get()
    gevent.sleep(0.3)
    assert metric.RELAY_BYTES.labels('answer')._value.get() == filled
    assert filled - before < MAX_BUFFERED_BYTES
    conn.close()
    wait_for(lambda: not harness.relay.count_active())


# Guards against engines that go on with requests whose callers have left.
def test_engine_learns_that_the_node_left() -> None:
    """The relay closes the engine's connection at once."""
    engine = scripted_engine.ScriptedEngine('e1', Script(silent=True))
    harness = Harness(engine)
    conn = harness.send()
    wait_for(lambda: engine.requests)
    conn.close()
    wait_for(lambda: engine.abandoned)
    wait_for(lambda: not harness.relay.count_active())
    assert harness.channels.open_by_engine['e1'] == 0


@pytest.mark.parametrize(
    ('script', 'fault'),
    [
        (Script(close_after=0), error.ConnectionLostError),
        (Script(body=(b'a',) * 3, reset=True), None),
        (Script(body=(b'a', b'b'), close_after=1), error.ConnectionLostError),
        (Script(silent=True), channel.SilentError),
        (Script(stray=b'no HTTP'), error.ConnectionLostError),
    ],
)
def test_cut_answer_is_told(
    script: Script, fault: type[Exception] | None
) -> None:
    """The node learns how the engine's connection ended."""
    harness = Harness(scripted_engine.ScriptedEngine('e1', script))
    conn = harness.send(seconds=0.4)
    if fault is None:
        read_answer(conn)
        return
    with pytest.raises(fault) as caught:
        read_answer(conn, 0.5)
    assert not isinstance(caught.value, relaychannel.RelayBrokenError)


def test_crash_is_told_apart_by_the_relay() -> None:
    """Only the relay can tell whether the engine still runs."""
    engine = scripted_engine.ScriptedEngine('e1', Script(close_after=0))
    harness = Harness(engine)
    harness.crashed = True
    with pytest.raises(relaychannel.CrashedError):
        read_answer(harness.send())


def test_engine_without_path_is_unreachable() -> None:
    """That is no fault of the relay."""
    engine = scripted_engine.ScriptedEngine('e1')
    engine.stop()
    with pytest.raises(error.ConnectError) as caught:
        Harness(engine).open()
    assert not isinstance(caught.value, relaychannel.RelayError)


@pytest.mark.parametrize(
    'reason', ['draining', 'notice', 'unknown', 'drained engine', 'stopped']
)
def test_relay_that_denies_is_lost(reason: str) -> None:
    """Nothing reached the engine, so the request is sent elsewhere."""
    engine = scripted_engine.ScriptedEngine('e1')
    harness = Harness(engine)
    harness.relay.leaving = reason == 'draining'
    harness.usable = reason != 'notice'
    if reason == 'unknown':
        put(harness.view, registry.Kind.engines, 'e1', None)
    elif reason == 'drained engine':
        record = dataclasses.replace(harness.engine, draining=True)
        put(harness.view, registry.Kind.engines, 'e1', record)
    elif reason == 'stopped':
        harness.server.stop()
    with pytest.raises(relaychannel.RelayError):
        harness.open()
    assert harness.channels.open_by_engine['e1'] == 0


def test_full_relay_denies() -> None:
    """The bodies of all requests share its memory."""
    engine = scripted_engine.ScriptedEngine('e1', Script(silent=True))
    harness = Harness(engine, budget_bytes=3)
    kept = harness.open()
    with pytest.raises(relaychannel.RelayError):
        harness.open()
    kept.close()
    wait_for(lambda: not harness.relay.count_active())
    harness.open().close()


@pytest.mark.parametrize(
    ('source', 'size'), [('127.0.0.3', 2), (NODE_HOST, 10**9)]
)
def test_foreign_caller_is_cut_off(source: str, size: int) -> None:
    """So is one whose body is larger than any may be."""
    harness = Harness(scripted_engine.ScriptedEngine('e1'))
    with pytest.raises(relaychannel.RelayError):
        harness.open(size, source=source)
    assert not harness.channels.opened_count


# Guards against an unsafe request that runs twice as its relay died.
def test_relay_that_dies_leaves_it_unknown() -> None:
    """Its connection ends without telling how the engine's ended."""
    engine = scripted_engine.ScriptedEngine('e1', Script(silent=True))
    harness = Harness(engine)
    conn = harness.send()
    wait_for(lambda: engine.requests)
    for peer in tuple(harness.relay._peers):
        peer._sock.shutdown(gevent_socket.SHUT_RDWR)
    with pytest.raises(relaychannel.RelayBrokenError):
        read_answer(conn)


# Guards against deadlines that grow by the time that a request is on its way.
def test_time_is_counted_anew_at_the_relay() -> None:
    """The engine gets what is left when the request is sent to it."""
    engine = scripted_engine.ScriptedEngine('e1')
    harness = Harness(engine)
    conn = harness.open(2)
    frames = relayframe.encode_request(make_dispatch(harness.engine))
    conn._sock.sendall(frames[:-2])
    gevent.sleep(0.3)
    conn._sock.sendall(frames[-2:])
    assert read_answer(conn)[0] == 200
    left = engine.list_header_values(b'pimentoway-deadline-ms')
    assert 1000 < int(left[0]) < 1720


def test_acknowledgement_is_passed_on() -> None:
    """A silent engine whose kernel has the request may run it."""
    engine = scripted_engine.ScriptedEngine('e1', Script(silent=True))
    conn = Harness(engine).send()
    assert not conn.is_acknowledged()
    with pytest.raises(channel.SilentError):
        conn.read_head('a1', clock.read_monotonic() + 0.3)
    assert conn.is_acknowledged()


def test_relay_hears_notices() -> None:
    """They bind the node that talks to the engine."""
    script = Script(headers=('Server-Leaving: 1',))
    harness = Harness(scripted_engine.ScriptedEngine('e1', script))
    read_answer(harness.send())
    assert len(harness.notices) == 1


def test_draining_relay_finishes_what_it_carries() -> None:
    """It ends when the last answer is complete."""
    script = Script(body=EVENTS, chunked=True, pause=0.05)
    engine = scripted_engine.ScriptedEngine('e1', script)
    harness = Harness(engine)
    conn = harness.send()
    wait_for(lambda: engine.requests)
    drain = gevent.spawn(harness.relay.finish, clock.read_monotonic() + 2)
    assert b''.join(read_answer(conn)[1]) == b''.join(EVENTS)
    drain.join(0.3)
    assert drain.dead
    assert not harness.relay.count_active()


@pytest.mark.parametrize(
    'sent',
    [
        b'GET / HTTP/1.1\r\n\r\n',
        b'\x00\x00\x00\x02zz',
        b'\xff\xff\xff\xff',
        frame.encode(relayframe.Body(b'ab')),
        frame.encode(relayframe.Open('n1', 'e1', -1, 0)),
    ],
)
def test_bad_frames_end_the_connection(sent: bytes) -> None:
    """Other requests go on."""
    harness = Harness(scripted_engine.ScriptedEngine('e1'))
    address = ('127.0.0.1', harness.server.server_port)
    sock = gevent_socket.create_connection(address, 2, (NODE_HOST, 0))
    sock.sendall(sent)
    assert sock.recv(10) == b''
    assert read_answer(harness.send())[0] == 200
    assert len(harness.channels.open_by_engine) == 1


@pytest.mark.parametrize(
    'extra', [relayframe.Body(b'abc'), relayframe.Open('n1', 'e1', 0, 0)]
)
def test_more_than_the_body_is_not_sent(extra: object) -> None:
    """The engine does not get a request whose end is in doubt."""
    engine = scripted_engine.ScriptedEngine('e1')
    harness = Harness(engine)
    conn = harness.open()
    head = relayframe.encode_request(make_dispatch(harness.engine, b''))
    conn._sock.sendall(head + frame.encode(extra))
    with pytest.raises(relaychannel.RelayBrokenError):
        read_answer(conn)
    assert not engine.requests
