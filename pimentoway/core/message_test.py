"""Tests of the incremental HTTP parsers."""

import pytest
from hypothesis import given, strategies

from pimentoway.core import error, message

LIMIT = 400
REQUEST = (
    b'POST /a/b?c HTTP/1.1\r\nHost: x\r\nX-One: 1\r\n'
    b'Content-Length: 3\r\n\r\nabc'
)


def read(raw: bytes) -> list[message.Request]:
    """Parse requests.

    Args:
        raw: The bytes of the requests.

    Returns:
        The requests.
    """
    reader = message.RequestReader(LIMIT, LIMIT)
    reader.feed(raw)
    return list(reader.requests)


@given(strategies.lists(strategies.integers(0, len(REQUEST) * 2), max_size=6))
def test_requests_do_not_depend_on_splits(cuts: list[int]) -> None:
    """Two pipelined requests are parsed alike in blocks of any size."""
    reader = message.RequestReader(LIMIT, LIMIT)
    raw = REQUEST * 2
    start = 0
    ends = [*sorted(cuts), len(raw)]
    for end in ends:
        reader.feed(raw[start:end])
        start = end
    assert [request.body for request in reader.requests] == [b'abc', b'abc']
    assert all(request.complete for request in reader.requests)
    assert reader.requests[0].target == b'/a/b?c'


@given(strategies.binary(max_size=200))
def test_garbage_raises_only_message_errors(garbage: bytes) -> None:
    """No input makes the reader raise anything but ``MessageError``."""
    reader = message.RequestReader(LIMIT, LIMIT)
    try:
        reader.feed(garbage)
    except message.MessageError as fault:
        assert fault.status >= 400


@pytest.mark.parametrize(
    'raw',
    [
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n'
        b'Content-Length: 4\r\n\r\nabcd',
        b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked'
        b'\r\n\r\n0\r\n\r\n',
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\nabc',
    ],
)
def test_ambiguous_framing_is_refused(raw: bytes) -> None:
    """A body with an ambiguous length could smuggle in a second request."""
    with pytest.raises(message.MessageError):
        read(raw)


def test_trailers_are_not_headers() -> None:
    """A trailer after a chunked body can't set a header such as the key."""
    raw = (
        b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n0\r\nX-Api-Key: stolen\r\n\r\n'
    )
    request = read(raw)[0]
    assert bytes(request.body) == b'abc'
    assert not request.list_header_values(b'x-api-key')


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'GET /%s HTTP/1.1\r\n' % (b'a' * LIMIT), 431),
        (b'GET / HTTP/1.1\r\nX: %s\r\n\r\n' % (b'a' * LIMIT), 431),
        (b'POST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n', 413),
    ],
)
def test_too_large_messages_are_refused(raw: bytes, status: int) -> None:
    """A head or body over its limit is refused with the matching status."""
    with pytest.raises(message.MessageError) as caught:
        read(raw)
    assert caught.value.status == status


def test_headers_named_by_connection_are_dropped() -> None:
    """Headers named by ``Connection`` count as hop-by-hop headers."""
    names = message.list_hop_by_hop_headers(
        [(b'Connection', b'X-Hop, close'), (b'X-Hop', b'1')],
    )
    assert {b'x-hop', b'connection', b'te'} <= names


def test_second_answer_is_parsed_separately() -> None:
    """An unexpected second answer does not alter the first one."""
    reader = message.AnswerReader()
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab'
    reader.feed(answer * 2)
    assert len(reader.answers) == 2
    assert reader.answers[0].complete


def test_garbage_after_an_answer_sets_broken() -> None:
    """The answer stays valid, but the connection must not be reused."""
    reader = message.AnswerReader()
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab%%%%')
    assert reader.answers[0].complete
    assert reader.broken


def test_garbage_without_answer_raises_error() -> None:
    """Bytes that are not an answer count as a broken connection."""
    with pytest.raises(error.ConnectionLostError):
        message.AnswerReader().feed(b'%%%%%%')


def test_answer_without_length_ends_at_close() -> None:
    """An answer without a length is complete once the connection ends."""
    reader = message.AnswerReader()
    reader.feed(b'HTTP/1.1 200 OK\r\n\r\nabc')
    assert not reader.answers[0].complete
    reader.end()
    assert reader.answers[0].complete
    assert list(reader.answers[0].parts) == [b'abc']


def test_truncated_answer_is_not_whole() -> None:
    """An answer shorter than its ``Content-Length`` is never complete."""
    reader = message.AnswerReader()
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc')
    reader.end()
    assert not reader.answers[0].complete


def test_interim_answers_are_skipped() -> None:
    """A ``100 Continue`` is not taken for the answer."""
    reader = message.AnswerReader()
    reader.feed(
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n',
    )
    assert [answer.status for answer in reader.answers] == [204]


ANSWER_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'


@pytest.mark.parametrize(
    ('start', 'repeated'),
    [
        (b'HTTP/1.1 200 O', b'K'),
        (ANSWER_HEAD, b'X-Pad: y\r\n'),
        (b'%sX-Pad: ' % ANSWER_HEAD, b'y'),
        (b'', b'HTTP/1.1 103 Early Hints\r\nX-Pad: y\r\n\r\n'),
        (b'%s\r\n1;' % ANSWER_HEAD, b'a'),
        (b'%s\r\n0\r\nX-Pad: ' % ANSWER_HEAD, b'y'),
        (b'%s\r\n0\r\n' % ANSWER_HEAD, b'X-Pad: y\r\n'),
    ],
)
@pytest.mark.parametrize('block_bytes', [500, 60_000])
def test_endless_framing_of_an_answer_is_rejected(
    start: bytes, repeated: bytes, block_bytes: int
) -> None:
    """Bytes without an end outside of a body: the answer is lost."""
    reader = message.AnswerReader()
    reader.feed(start)
    block = repeated * (block_bytes // len(repeated))
    with pytest.raises(error.ConnectionLostError):
        for _ in range(1_000_000 // block_bytes):
            reader.feed(block)
    assert reader.broken


def test_long_body_of_an_answer_is_accepted() -> None:
    """A body of any length is passed on; it counts for no limit of framing."""
    reader = message.AnswerReader()
    reader.feed(b'%s\r\n' % ANSWER_HEAD)
    for _ in range(200):
        reader.feed(b'2000\r\n%s\r\n' % (b'x' * 0x2000))
    reader.feed(b'0\r\n\r\n')
    answer = reader.answers[0]
    assert answer.complete
    assert sum(map(len, answer.parts)) == 200 * 0x2000


@pytest.mark.parametrize('repeated', [b'X-Pad: y\r\n', b'y'])
def test_endless_head_of_a_request_is_rejected(repeated: bytes) -> None:
    """A head without an end in small blocks: it is bounded like a whole one."""
    reader = message.RequestReader(LIMIT, LIMIT)
    reader.feed(b'GET / HTTP/1.1\r\nX-Pad: y')
    with pytest.raises(message.MessageError) as caught:
        for _ in range(LIMIT):
            reader.feed(repeated)
    assert caught.value.status == 431
