"""Tests of reading HTTP messages byte by byte."""

import pytest
from hypothesis import given, strategies

from pimentoway.core import error, message

LIMIT = 400
REQUEST = (
    b'POST /a/b?c HTTP/1.1\r\nHost: x\r\nX-One: 1\r\n'
    b'Content-Length: 3\r\n\r\nabc'
)


def read(raw: bytes) -> list[message.Request]:
    """Read requests.

    Args:
        raw: The bytes.

    Returns:
        The requests.
    """
    reader = message.RequestReader(LIMIT, LIMIT)
    reader.feed(raw)
    return list(reader.requests)


@given(strategies.lists(strategies.integers(0, len(REQUEST) * 2), max_size=6))
def test_any_split_gives_the_same_requests(cuts: list[int]) -> None:
    """Two requests in a row are read the same however they are cut."""
    reader = message.RequestReader(LIMIT, LIMIT)
    raw = REQUEST * 2
    start = 0
    ends = [*sorted(cuts), len(raw)]
    for end in ends:
        reader.feed(raw[start:end])
        start = end
    assert [one.body for one in reader.requests] == [b'abc', b'abc']
    assert all(one.whole for one in reader.requests)
    assert reader.requests[0].target == b'/a/b?c'


@given(strategies.binary(max_size=200))
def test_garbage_is_a_clear_error(garbage: bytes) -> None:
    """Whatever a caller sends, only the one error of the reader comes out."""
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
    """A body whose length could be read in two ways is refused."""
    with pytest.raises(message.MessageError):
        read(raw)


def test_trailers_are_no_headers() -> None:
    """What follows a body in chunks can't pass for a header."""
    raw = (
        b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nabc\r\n0\r\nX-Api-Key: stolen\r\n\r\n'
    )
    request = read(raw)[0]
    assert bytes(request.body) == b'abc'
    assert not request.list_texts(b'x-api-key')


@pytest.mark.parametrize(
    ('raw', 'status'),
    [
        (b'GET /%s HTTP/1.1\r\n' % (b'a' * LIMIT), 431),
        (b'GET / HTTP/1.1\r\nX: %s\r\n\r\n' % (b'a' * LIMIT), 431),
        (b'POST / HTTP/1.1\r\nContent-Length: 999\r\n\r\n', 413),
    ],
)
def test_limits_bind(raw: bytes, status: int) -> None:
    """Heads and bodies beyond their limits are refused as such."""
    with pytest.raises(message.MessageError) as caught:
        read(raw)
    assert caught.value.status == status


def test_connection_headers_are_listed() -> None:
    """Headers named by the connection header concern one connection."""
    names = message.list_connection_names(
        [(b'Connection', b'X-Hop, close'), (b'X-Hop', b'1')],
    )
    assert {b'x-hop', b'connection', b'te'} <= names


def test_second_answer_breaks_the_connection() -> None:
    """An answer after the expected one makes the connection unusable."""
    reader = message.AnswerReader()
    answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab'
    reader.feed(answer * 2)
    assert len(reader.answers) == 2
    assert reader.answers[0].whole


def test_garbage_after_an_answer_leaves_it_whole() -> None:
    """Bytes after a whole answer belong to nobody."""
    reader = message.AnswerReader()
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab%%%%')
    assert reader.answers[0].whole
    assert reader.broken


def test_garbage_instead_of_an_answer_is_a_cut() -> None:
    """Bytes that are no answer are reported as a broken connection."""
    with pytest.raises(error.CutError):
        message.AnswerReader().feed(b'%%%%%%')


def test_answer_without_length_ends_at_the_end() -> None:
    """Only the end of the connection completes an answer without length."""
    reader = message.AnswerReader()
    reader.feed(b'HTTP/1.1 200 OK\r\n\r\nabc')
    assert not reader.answers[0].whole
    reader.end()
    assert reader.answers[0].whole
    assert list(reader.answers[0].parts) == [b'abc']


def test_short_answer_is_not_whole() -> None:
    """An answer that is cut short is not taken for whole."""
    reader = message.AnswerReader()
    reader.feed(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc')
    reader.end()
    assert not reader.answers[0].whole


def test_interim_answers_are_passed_over() -> None:
    """A 100 before the answer is not the answer."""
    reader = message.AnswerReader()
    reader.feed(
        b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n',
    )
    assert [one.status for one in reader.answers] == [204]
