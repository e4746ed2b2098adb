"""Tests that strays of faulty engines never reach callers.

A stray is an answer, or part of one, that belongs to another request or to no
request: a whole entry node over real sockets, with scripted engines.
"""

import time

import gevent
import pytest

from pimentoway.callers import exchange
from pimentoway.platform import edge_process_test, scripted_engine

Script = scripted_engine.Script
EVENTS = edge_process_test.EVENTS
LAST_CHUNK = b'0\r\n\r\n'


def make_stray(status: int, seal: str = '') -> bytes:
    """Make an answer without the identifier of an attempt.

    Args:
        status: Its status.
        seal: A header line with the seal of an engine; '' for a refusal.

    Returns:
        The bytes.
    """
    line = seal or 'Pimentoway-Not-Executed: 1'
    return (
        f'HTTP/1.1 {status} Status\r\n{line}\r\n'
        'Content-Length: 7\r\n\r\nearlier'
    ).encode()


STRAYS = (
    make_stray(503),
    make_stray(429),
    make_stray(421),
    make_stray(404, 'Pimentoway-Response-Seal: x'),
    make_stray(500, 'Pimentoway-Response-Seal: x'),
)


# An engine wrote an earlier refusal once more on a kept connection, before its
# answer to the next request, which it ran.
@pytest.mark.parametrize('path', ['/unsafe/x', '/safe/x', '/stream/x'])
@pytest.mark.parametrize('stray', STRAYS)
def test_stray_on_a_kept_connection_is_no_answer(
    stray: bytes, path: str
) -> None:
    """The caller gets the answer to its own request, which runs once."""
    one = scripted_engine.ScriptedEngine(
        'e1',
        Script(),
        Script(stray=stray, body=(b'id: 1\ndata: own\n\n',)),
    )
    harness = edge_process_test.NodeHarness(one)
    assert harness.call('/unsafe/x')[0] == 200
    status, _, body = harness.call(path)
    assert status == 200
    assert b'own' in body
    assert len(one.requests) == 2


@pytest.mark.parametrize('path', ['/quick/x', '/brief/x'])
@pytest.mark.parametrize('stray', STRAYS)
def test_stray_alone_proves_nothing(stray: bytes, path: str) -> None:
    """The engine may be running the request: it does not count as not run."""
    one = scripted_engine.ScriptedEngine(
        'e1', Script(), Script(stray=stray, silent=True)
    )
    harness = edge_process_test.NodeHarness(one)
    assert harness.call('/unsafe/x')[0] == 200
    status, headers, body = harness.call(path)
    assert status == 504
    assert 'Retry-After' not in headers
    assert b'earlier' not in body
    assert len(one.requests) == 2


def resume(following: Script) -> bytes:
    """Break a stream off after two events, so that other engines go on.

    Args:
        following: What the other engines answer.

    Returns:
        The body that the caller gets, with its framing.
    """
    broken = Script(body=(*EVENTS[:2], b''), chunked=True, close_after=2)
    harness = edge_process_test.NodeHarness(
        scripted_engine.ScriptedEngine('e1', broken)
    )
    task = gevent.spawn(harness.call, '/resumable/x')
    gevent.sleep(0.02)
    for name in ('e2', 'e3'):
        harness.add(scripted_engine.ScriptedEngine(name, following))
    return task.get(timeout=edge_process_test.TIMEOUT_SECONDS)[2]


# The next engine answered with a page of its own, under a status of success.
@pytest.mark.parametrize('unframed', [True, False])
@pytest.mark.parametrize('media_type', ['application/json', 'text/html', ''])
@pytest.mark.parametrize('text', [b'{"error": "busy"}', b'busy\n\n'])
def test_text_of_no_event_joins_no_stream(
    text: bytes, media_type: str, unframed: bool
) -> None:
    """A stream that has begun gets only events, and no false end."""
    headers = (f'Content-Type: {media_type}',) if media_type else ()
    page = Script(body=(text,), headers=headers, unframed=unframed)
    body = resume(page)
    assert body.count(b'data: piece') == 2
    assert b'busy' not in body
    assert not body.endswith(LAST_CHUNK)


@pytest.mark.parametrize('status', [404, 429, 500, 503])
@pytest.mark.parametrize('sealed', [True, False])
def test_failure_is_not_joined_to_a_stream(status: int, sealed: bool) -> None:
    """Neither the head nor the body of an error follows the events."""
    body = resume(Script(status=status, sealed=sealed, body=(b'failed',)))
    assert body.count(b'data: piece') == 2
    assert b'failed' not in body
    assert b'HTTP/1.1' not in body
    assert not body.endswith(LAST_CHUNK)


# A stalled engine keeps its stream open by a byte now and then.
@pytest.mark.parametrize('comment', [b':', b'\n', b': still here\n\n', b'd'])
def test_stalled_stream_with_bytes_is_resumed(comment: bytes) -> None:
    """Only events count as progress: another engine goes on in time."""
    comments = (comment,) * 80
    one = scripted_engine.ScriptedEngine(
        'e1', Script(body=(*EVENTS[:1], *comments), chunked=True, pause=0.05)
    )
    harness = edge_process_test.NodeHarness(one)
    started = time.monotonic()
    task = gevent.spawn(harness.call, '/resumable/x')
    gevent.sleep(0.05)
    harness.add(
        scripted_engine.ScriptedEngine(
            'e2', Script(body=EVENTS[1:], chunked=True)
        )
    )
    body = task.get(timeout=edge_process_test.TIMEOUT_SECONDS)[2]
    assert body.count(b'data: piece') == len(EVENTS)
    assert body.endswith(LAST_CHUNK)
    assert time.monotonic() - started < exchange.RESUME_SECONDS + 1


def test_slow_sound_stream_is_not_cut() -> None:
    """A stream may last longer than the limit for one of its pauses."""
    pause = exchange.RESUME_SECONDS / 3
    one = scripted_engine.ScriptedEngine(
        'e1', Script(body=EVENTS, chunked=True, pause=pause)
    )
    two = scripted_engine.ScriptedEngine('e2')
    harness = edge_process_test.NodeHarness(one)
    task = gevent.spawn(harness.call, '/resumable/x')
    gevent.sleep(0.05)
    harness.add(two)
    body = task.get(timeout=edge_process_test.TIMEOUT_SECONDS)[2]
    assert body.count(b'data: piece') == len(EVENTS)
    assert not two.requests


# An engine stopped in the middle of its answer's head and closed; clients got
# a 200 with an empty or short body, framed as whole.
@pytest.mark.parametrize('chunked', [False, True])
@pytest.mark.parametrize(
    'path', ['/unsafe/x', '/safe/x', '/stream/x', '/resumable/x']
)
@pytest.mark.parametrize(
    'cut_before',
    [
        b'HTTP',
        b'/1.1',
        b' 200',
        b'Status',
        b'\r\nPimentoway-Attempt-Id',
        b'Attempt-Id',
        b'Pimentoway-Response-Seal',
        b'Seal',
        b'\r\n\r\n',
    ],
)
def test_answer_cut_in_its_head_is_no_success(
    cut_before: bytes, path: str, chunked: bool
) -> None:
    """An error, and no part of an answer, reaches the caller."""
    engine = scripted_engine.ScriptedEngine(
        'e1', Script(body=EVENTS, chunked=chunked, cut_before=cut_before)
    )
    harness = edge_process_test.NodeHarness(engine)
    status, _, rest = harness.call(path)
    assert status >= 500
    assert EVENTS[0] not in rest
    assert engine.requests


@pytest.mark.parametrize('path', ['/unsafe/x', '/stream/x'])
@pytest.mark.parametrize('cut', [b'', b'1', b'1;a=', b'17\r', b'17\r\nid: 1'])
def test_answer_cut_in_a_chunk_is_no_success(cut: bytes, path: str) -> None:
    """The length of the first chunk, or the chunk, is incomplete."""
    script = Script(
        body=(cut,), headers=('Transfer-Encoding: chunked',), unframed=True
    )
    engine = scripted_engine.ScriptedEngine('e1', script)
    status, _, rest = edge_process_test.NodeHarness(engine).call(path)
    assert status >= 500
    assert b'id: 1' not in rest
    assert engine.requests
