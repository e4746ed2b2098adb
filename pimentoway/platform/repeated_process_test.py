"""Tests of engines that write an earlier answer to a request once more.

An answer names its request, but not which of several dispatches of it. A whole
entry node over real sockets, with scripted engines.
"""

import gevent
import msgspec
import pytest
from gevent import socket as gevent_socket

from pimentoway.backends import channel
from pimentoway.core import clock, message
from pimentoway.nodes import relayframe
from pimentoway.platform import (
    edge_process_test,
    relay_process_test,
    relayed_process_test,
    scripted_engine,
    wire,
)

Script = scripted_engine.Script
SERVED = Script(body=edge_process_test.EVENTS)

NOT_RUN = 'Pimentoway-Not-Executed: 1'

#: A refusal after whose time the same engine may get the request.
REFUSAL = Script(503, headers=(NOT_RUN, 'Retry-After: 0.2'))

#: The idle time that connections may have in these tests, in seconds.
IDLE_SECONDS = 5


class RepeatingEngine(scripted_engine.ScriptedEngine):
    """Writes the previous answer of a connection before each further one."""

    def __init__(self, name: str, *scripts: Script) -> None:
        """Start listening on a free port of localhost.

        Args:
            name: The name of the engine.
            *scripts: The answers.
        """
        self._previous_by_port: dict[int, bytes] = {}
        super().__init__(name, *scripts)

    @property
    def connection_count(self) -> int:
        """Count the connections on which requests came.

        Returns:
            The number of connections.
        """
        return len(self._previous_by_port)

    def _answer(
        self,
        sock: gevent_socket.socket,
        request: message.Request,
        script: Script,
    ) -> bool:
        port = sock.getpeername()[1]
        sock.sendall(self._previous_by_port.get(port, b''))
        head = self._make_head(request, script)
        self._previous_by_port[port] = head + b''.join(script.body)
        return super()._answer(sock, request, script)


# Guards against an unsafe request that runs twice because a copy of its first
# refusal is taken for the answer to its second dispatch.
@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x', '/safe/x'])
@pytest.mark.parametrize('names', [('e1',), ('e1', 'e2'), ('e1', 'e2', 'e3')])
def test_copy_of_a_refusal_is_no_answer(
    names: tuple[str, ...], path: str
) -> None:
    """One engine runs the request, once."""
    engines = [RepeatingEngine(name, REFUSAL, SERVED) for name in names]
    harness = edge_process_test.NodeHarness(*engines)
    assert harness.call(path)[0] == 200
    runs = sum(len(engine.requests[1:]) for engine in engines)
    assert runs == 1


def test_copy_of_a_second_refusal_is_no_answer() -> None:
    """The third dispatch takes a third connection."""
    engine = RepeatingEngine('e1', REFUSAL, REFUSAL, Script())
    harness = edge_process_test.NodeHarness(engine)
    assert harness.call('/unsafe/x')[0] == 200
    assert len(engine.requests) == engine.connection_count == 3


def test_refusal_keeps_its_connection() -> None:
    """Only the refused request needs another connection."""
    engine = scripted_engine.ScriptedEngine('e1', REFUSAL, Script())
    harness = edge_process_test.NodeHarness(engine)
    assert harness.call('/unsafe/x')[0] == 200
    for number in range(4):
        extra = f'Connection: close\r\nPimentoway-Attempt-Id: b{number}\r\n'
        request = edge_process_test.make_request('/unsafe/x', extra=extra)
        sock = harness.connect()
        sock.sendall(request.replace(b'Pimentoway-Attempt-Id: a1\r\n', b''))
        raw = edge_process_test.read_all(sock)
        assert edge_process_test.parse_answer(raw)[0] == 200
    assert harness.node._channels.opened_count == 2


# The same behind a relay, which keeps the connection to the engine.
def test_copy_is_no_answer_through_a_relay() -> None:
    """The engine runs the request once."""
    brief = Script(503, headers=(NOT_RUN, 'Retry-After: 0.001'))
    engine = RepeatingEngine('e1', brief, Script())
    relayed = relayed_process_test.RelayedNode(engine)
    assert relayed.node.call('/unsafe/x')[0] == 200
    assert len(engine.requests) == 2


@pytest.mark.parametrize('request_id', ['a1', ''])
def test_relay_repeats_no_request_on_a_connection(request_id: str) -> None:
    """Nodes of earlier releases do not tell the request in advance."""
    engine = RepeatingEngine('e1', REFUSAL, Script())
    harness = relay_process_test.Harness(engine)
    assert relay_process_test.read_answer(harness.send())[0] == 503
    conn = harness.open(max_idle=IDLE_SECONDS, request_id=request_id)
    dispatch = relay_process_test.make_dispatch(harness.engine)
    conn.send_request(dispatch, clock.read_monotonic() + 2)
    assert relay_process_test.read_answer(conn)[0] == 200
    assert engine.connection_count == 2


class EarlierOpen(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The frame as the release 46333b2 has it."""

    node: str
    engine: str
    size: int
    max_idle: float


def test_frames_of_both_releases_are_understood() -> None:
    """The later release adds a field at the end."""
    earlier = EarlierOpen('n1', 'e1', 2, 1)
    later = relayframe.Open('n1', 'e1', 2, 1, 'a1')
    decoded = msgspec.msgpack.decode(
        msgspec.msgpack.encode(earlier), type=relayframe.Open
    )
    assert decoded == relayframe.Open('n1', 'e1', 2, 1, '')
    decoded_earlier = msgspec.msgpack.decode(
        msgspec.msgpack.encode(later), type=EarlierOpen
    )
    assert decoded_earlier == earlier


def exchange(
    pool: channel.ChannelPool,
    engine: scripted_engine.ScriptedEngine,
    request_id: str,
    seconds: float = 2,
) -> channel.Channel:
    """Send a request and read its answer.

    Args:
        pool: The connections.
        engine: The engine.
        request_id: The identifier of the request.
        seconds: The time that the request has left.

    Returns:
        The connection, which was released.
    """
    conn = pool.acquire(engine.name, engine.address, IDLE_SECONDS, request_id)
    record = relay_process_test.Harness(engine).engine
    dispatch = relay_process_test.make_dispatch(record, seconds=seconds)
    end = clock.read_monotonic() + 2
    conn.send_request(dispatch, end)
    response, metadata = conn.read_head('a1', end)
    assert conn.read_body_part(response, end)
    assert not conn.read_body_part(response, end)
    pool.release(conn, response, metadata)
    return conn


def test_connection_forgets_expired_requests() -> None:
    """What it remembers of a request is bounded in time."""
    engine = scripted_engine.ScriptedEngine('e1', REFUSAL)
    pool = channel.ChannelPool(wire.DIALECT)
    first = exchange(pool, engine, 'a1', seconds=0.1)
    assert not first.may_carry('a1')
    gevent.sleep(0.15)
    assert exchange(pool, engine, 'b1', seconds=0.1) is first
    gevent.sleep(0.15)
    assert exchange(pool, engine, 'b1', seconds=0.1) is first


def test_connection_remembers_few_requests() -> None:
    """One that carried too many refused requests is closed."""
    engine = scripted_engine.ScriptedEngine('e1', REFUSAL)
    pool = channel.ChannelPool(wire.DIALECT)
    conn = exchange(pool, engine, 'a1')
    for number in range(channel.MAX_REMEMBERED):
        conn._end_by_id[f'b{number}'] = clock.read_monotonic() + IDLE_SECONDS
    assert exchange(pool, engine, 'c1') is conn
    assert not pool.open_by_engine['e1']
