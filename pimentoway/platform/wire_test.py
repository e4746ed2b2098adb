"""Tests of the headers of the platform."""

import pytest

from pimentoway.core import call, deployment, message
from pimentoway.platform import wire

HEAD = (
    b'POST /one/two?x=1 HTTP/1.1\r\nHost: h.example:80\r\n'
    b'Pimentoway-Attempt-Id: a1\r\nPimentoway-Model: m\r\n'
    b'Pimentoway-Token-Counts: 1460,80\r\n'
    b'Pimentoway-Prefix-Hash: 5c:800,91:410\r\n'
    b'Pimentoway-Deadline-Ms: 5000\r\nX-Api-Key: secret\r\n'
)
ENGINE = deployment.Engine('i-1', 's', '1.2.3.4:5', 'z', 'v1', 6, False, 0, 1)


def read(extra: bytes = b'', head: bytes = HEAD) -> call.CallerRequest:
    """Read a request.

    Args:
        extra: Further headers.
        head: The head without its end.

    Returns:
        The request.
    """
    reader = message.RequestReader(4000, 4000)
    reader.feed(b'%s%sContent-Length: 2\r\n\r\nab' % (head, extra))
    return wire.read_request(reader.requests[0])


def write(request: call.CallerRequest, after: bytes = b'') -> list[bytes]:
    """Write a request for a back end.

    Args:
        request: The request.
        after: The last event that the caller got.

    Returns:
        The lines of its head.
    """
    dispatch = call.Dispatch(request, ENGINE, 'studio', 1.25, after)
    return wire.write_request(dispatch).split(b'\r\n')


def test_request_is_decoded() -> None:
    """Each header ends in the field that says what it holds."""
    request = read()
    assert request.request_id == 'a1'
    assert request.host == 'h.example'
    assert request.path == '/one/two'
    assert request.target == b'/one/two?x=1'
    assert request.key == 'secret'
    assert request.seconds == 5
    assert request.prompt == call.Prompt(1460, 80, 0)


def test_key_stays_here_and_the_customer_is_told() -> None:
    """A back end gets the customer's name and never the key."""
    lines = write(read(b'Pimentoway-Tenant: forged\r\n'))
    assert b'Pimentoway-Tenant: studio' in lines
    assert not any(b'secret' in line for line in lines)
    assert not any(b'forged' in line for line in lines)


@pytest.mark.parametrize(
    'name',
    [
        b'Pimentoway-Kv-Hold',
        b'Pimentoway-Pin-Ms',
        b'Pimentoway-Kv-Backup',
        b'Kv-From',
        b'Kv-Fetch',
        b'Pimentoway-Expect-Instance',
    ],
)
def test_callers_cant_set_what_the_system_sets(name: bytes) -> None:
    """Headers that only the system may set are dropped."""
    lines = write(read(b'%s: forged\r\n' % name))
    assert not any(b'forged' in line for line in lines)


def test_connection_header_cant_drop_what_counts() -> None:
    """A caller can't hide the identifier or the model of its request."""
    lines = write(
        read(b'Connection: Pimentoway-Attempt-Id, Pimentoway-Model, X-Q\r\n'),
    )
    assert b'Pimentoway-Attempt-Id: a1' in lines
    assert b'Pimentoway-Model: m' in lines
    assert not any(line.startswith(b'Connection') for line in lines)


def test_time_left_is_set_anew() -> None:
    """A back end is told the time that is left, once."""
    lines = write(read())
    told = [line for line in lines if line.startswith(b'Pimentoway-Deadline')]
    assert told == [b'Pimentoway-Deadline-Ms: 1250']


def test_resumption_replaces_the_callers_event() -> None:
    """A resumed stream names the last event that was passed on."""
    request = read(b'Last-Event-Id: 3\r\n')
    assert b'Last-Event-Id: 3' in write(request)
    lines = write(request, b'7')
    assert b'Last-Event-Id: 7' in lines
    assert b'Last-Event-Id: 3' not in lines


@pytest.mark.parametrize(
    'extra',
    [
        b'X-Api-Key: other\r\n',
        b'Host: other\r\n',
        b'Pimentoway-Attempt-Id: a2\r\n',
        b'Pimentoway-Deadline-Ms: 1\r\n',
    ],
)
def test_repeated_single_headers_are_refused(extra: bytes) -> None:
    """Two keys, hosts or identifiers are an error, not a choice."""
    with pytest.raises(message.MessageError):
        read(extra)


@pytest.mark.parametrize(
    'head',
    [
        HEAD.replace(b'5000', b'soon'),
        HEAD.replace(b'1460,80', b'1460'),
        HEAD.replace(b'1460,80', b'-5,80'),
        HEAD.replace(b'Host: h.example:80\r\n', b''),
        HEAD.replace(b'/one/two', b'http://x/one'),
    ],
)
def test_unreadable_headers_are_refused(head: bytes) -> None:
    """What can't be read is a clear error."""
    with pytest.raises(message.MessageError):
        read(head=head)


def read_notes(head: bytes) -> call.AnswerNotes:
    """Read what a back end says beside an answer.

    Args:
        head: The status line and the headers.

    Returns:
        What it says.
    """
    reader = message.AnswerReader()
    reader.feed(b'%s\r\nContent-Length: 0\r\n\r\n' % head)
    return wire.read_notes(reader.answers[0])


def test_marks_are_decoded() -> None:
    """Load, times and the signature are found."""
    notes = read_notes(
        b'HTTP/1.1 200 OK\r\nPimentoway-Attempt-Id: a1\r\n'
        b'Pimentoway-Response-Seal: s\r\nPimentoway-Instance-Load: 3,1,6\r\n'
        b'Keep-Alive: timeout=5, max=9\r\nPimentoway-Cold-Ms: 1500',
    )
    assert notes == call.AnswerNotes(
        'a1', True, False, call.Load(3, 1, 6), 5, 1.5, False
    )


@pytest.mark.parametrize(
    ('head', 'not_run'),
    [
        (b'HTTP/1.1 503 Busy\r\nPimentoway-Not-Executed: 1', True),
        (b'HTTP/1.1 421 Misdirected', True),
        (b'HTTP/1.1 503 Busy', False),
        (b'HTTP/1.1 500 Error', False),
    ],
)
def test_only_the_back_end_says_not_run(head: bytes, not_run: bool) -> None:
    """A failure counts as run unless the back end says otherwise."""
    assert read_notes(head).not_run is not_run


def test_unreadable_hints_are_none() -> None:
    """A load or a time that can't be read is as good as none."""
    notes = read_notes(
        b'HTTP/1.1 200 OK\r\nPimentoway-Instance-Load: many\r\n'
        b'Keep-Alive: max=3\r\nPimentoway-Cold-Ms: long',
    )
    assert (notes.load, notes.idle_seconds, notes.cold_seconds) == (
        None,
        None,
        None,
    )
