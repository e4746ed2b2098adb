"""Tests that a draining node answers before it ends.

In a planned stop, requests that came late were passed on to back ends and cut
without an answer when the node ended. A whole entry node over real sockets,
with scripted engines and a grace of 4 s.
"""

import time

import gevent
import pytest
from gevent import socket as gevent_socket

from pimentoway.core import deployment
from pimentoway.platform import edge_process_test, scripted_engine
from pimentoway.tools import edge

Script = scripted_engine.Script
EVENTS = edge_process_test.EVENTS

#: Seconds from the start of the drain to its end.
DRAIN_SECONDS = 4 - edge.GRACE_MARGIN_SECONDS

#: Seconds from the start of the drain to a request that comes late.
LATE_SECONDS = edge.ACCEPT_SECONDS + 0.3

ROUTES = (
    edge_process_test.make_route(
        'unsafe', kind=deployment.RouteKind.unsafe, attempts=1, timeout=9
    ),
    edge_process_test.make_route('safe', timeout=9),
    edge_process_test.make_route('slow', timeout=9, goal=2),
    edge_process_test.make_route('brief', timeout=0.5, goal=2),
    edge_process_test.make_route(
        'stream', kind=deployment.RouteKind.stream, attempts=1, timeout=9
    ),
)

#: An engine that is still at work when the node ends.
BUSY = Script(pause=6)


def make_harness(
    *scripts: Script,
) -> tuple[edge_process_test.NodeHarness, scripted_engine.ScriptedEngine]:
    """Start a node whose routes have longer timeouts than its grace.

    Args:
        *scripts: The answers of its engine.

    Returns:
        The node and its engine.
    """
    engine = scripted_engine.ScriptedEngine('e1', *scripts)
    harness = edge_process_test.NodeHarness(engine)
    harness.configure(2, ROUTES)
    return harness, engine


def make_request(path: str, extra: str = '') -> bytes:
    """Encode a request whose time limit is beyond the grace.

    Args:
        path: The path.
        extra: Further header lines.

    Returns:
        The bytes.
    """
    request = edge_process_test.make_request(path, extra=extra)
    return request.replace(b'2500', b'9000')


def drain(harness: edge_process_test.NodeHarness) -> int:
    """Drain a node, and end its connections like the end of its process.

    Args:
        harness: The node.

    Returns:
        The number of callers that were cut.
    """
    harness.node.drain()
    callers = tuple(harness.node._callers)
    for caller in callers:
        caller._sock.close()
    return len(callers)


def send_late(
    harness: edge_process_test.NodeHarness, request: bytes
) -> gevent_socket.socket:
    """Send a request whose last byte comes late in the drain.

    Args:
        harness: The node, which is draining.
        request: The request.

    Returns:
        The connection.
    """
    gevent.sleep(edge.ACCEPT_SECONDS - 0.3)
    sock = harness.connect()
    sock.sendall(request[:-1])
    gevent.sleep(LATE_SECONDS - edge.ACCEPT_SECONDS + 0.3)
    sock.sendall(request[-1:])
    return sock


def read_answer(sock: gevent_socket.socket) -> tuple[int, dict, bytes]:
    """Read an answer until the connection ends.

    Args:
        sock: The connection.

    Returns:
        The status, the headers by name, and the rest with its framing.
    """
    return edge_process_test.parse_answer(edge_process_test.read_all(sock))


@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x', '/stream/x'])
@pytest.mark.parametrize('late', [False, True])
def test_request_is_answered_before_node_ends(path: str, late: bool) -> None:
    """One that may have run gets a 504, not a closed connection."""
    harness, engine = make_harness(BUSY)
    started = time.monotonic()
    if late:
        draining = gevent.spawn(drain, harness)
        sock = send_late(harness, make_request(path))
    else:
        sock = harness.connect()
        sock.sendall(make_request(path))
        gevent.sleep(0.1)
        started = time.monotonic()
        draining = gevent.spawn(drain, harness)
    status, headers, _ = read_answer(sock)
    assert time.monotonic() - started < DRAIN_SECONDS
    assert status == 504
    assert headers['Connection'] == 'close'
    assert len(engine.requests) == 1
    assert draining.get(timeout=edge_process_test.TIMEOUT_SECONDS) == 0


@pytest.mark.parametrize(
    ('path', 'extra'),
    [
        ('/slow/x', ''),
        ('/stream/x', 'Pimentoway-Token-Counts: 10,200\r\n'),
        (
            '/stream/x',
            'Pimentoway-Token-Counts: 10,200\r\nPimentoway-Length-Hint: 60\r\n',
        ),
    ],
)
def test_late_long_request_is_not_run(path: str, extra: str) -> None:
    """Its caller can still send it to another node."""
    harness, engine = make_harness(BUSY)
    draining = gevent.spawn(drain, harness)
    status, headers, _ = read_answer(
        send_late(harness, make_request(path, extra))
    )
    assert status == 503
    assert 0 < float(headers['Retry-After']) < 1
    assert headers['Connection'] == 'close'
    assert not engine.requests
    assert draining.get(timeout=edge_process_test.TIMEOUT_SECONDS) == 0


@pytest.mark.parametrize(
    'path', ['/unsafe/x', '/safe/x', '/stream/x', '/brief/x']
)
def test_late_short_request_is_served(path: str) -> None:
    """There is time for it, and a refusal would delay its caller."""
    harness, engine = make_harness(Script(body=EVENTS))
    draining = gevent.spawn(drain, harness)
    status, _, _ = read_answer(send_late(harness, make_request(path)))
    assert status == 200
    assert len(engine.requests) == 1
    assert draining.get(timeout=edge_process_test.TIMEOUT_SECONDS) == 0


def test_late_request_has_the_time_of_its_node() -> None:
    """Its engine and the broker plan with what is left of the node."""
    harness, engine = make_harness()
    draining = gevent.spawn(drain, harness)
    assert read_answer(send_late(harness, make_request('/safe/x')))[0] == 200
    left = engine.list_header_values(b'pimentoway-deadline-ms')
    assert 0 < int(left[0]) < 1000 * (DRAIN_SECONDS - LATE_SECONDS)
    assert draining.get(timeout=edge_process_test.TIMEOUT_SECONDS) == 0


def test_waiting_request_is_refused_before_end() -> None:
    """It got no slot, so that it was certainly not run."""
    harness, engine = make_harness(BUSY)
    busy = [harness.connect() for _ in range(6)]
    for sock in busy:
        sock.sendall(make_request('/unsafe/x'))
    gevent.sleep(0.1)
    waiting = harness.connect()
    waiting.sendall(make_request('/unsafe/y'))
    gevent.sleep(0.1)
    draining = gevent.spawn(drain, harness)
    assert [read_answer(sock)[0] for sock in busy] == [504 for _ in busy]
    status, headers, _ = read_answer(waiting)
    assert status in {429, 503}
    assert 'Retry-After' in headers
    assert all(request.target != b'/unsafe/y' for request in engine.requests)
    assert draining.get(timeout=edge_process_test.TIMEOUT_SECONDS) == 0


def test_stream_that_has_begun_is_cut_without_end() -> None:
    """Its caller must not take the part for the whole."""
    script = Script(body=EVENTS, chunked=True, pause=1.1)
    harness, _ = make_harness(script)
    sock = harness.connect()
    sock.sendall(make_request('/stream/x'))
    gevent.sleep(0.1)
    draining = gevent.spawn(drain, harness)
    status, _, rest = read_answer(sock)
    assert status == 200
    assert EVENTS[0] in rest
    assert EVENTS[-1] not in rest
    assert not rest.endswith(b'0\r\n\r\n')
    assert draining.get(timeout=edge_process_test.TIMEOUT_SECONDS) == 0
