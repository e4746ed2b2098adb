"""Tests that strays of faulty engines never reach callers.

A stray is an answer, or part of one, that belongs to another request or to no
request: a whole entry node over real sockets, with scripted engines.
"""

import pytest

from pimentoway.platform import edge_process_test, scripted_engine

Script = scripted_engine.Script


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
def test_stray_alone_proves_nothing(
    stray: bytes, path: str
) -> None:
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
