"""Tests of the frames between a node and its relay."""

import math

import hypothesis
import pytest
from hypothesis import strategies

from pimentoway.core import deployment, error
from pimentoway.nodes import frame, relayframe

ENGINE = deployment.Engine('e1', 's', '1.1.1.1:1', 'z', 'v1', 6, False, 0, 1)
HEAD = relayframe.Dispatch(
    'a1', 'POST', b'/x', ((b'Host', b'h'),), 'studio', 1, b'', False
)


@hypothesis.given(strategies.binary(max_size=300))
def test_odd_bytes_are_an_error_of_the_node(sent: bytes) -> None:
    """Nothing else is raised, whatever comes."""
    for role in relayframe.DECODERS_BY_ROLE:
        try:
            relayframe.make_reader(role).feed(sent)
        except error.NodeError as fault:
            assert fault.step == 'decode'


@hypothesis.given(
    strategies.binary(max_size=200_000), strategies.integers(1, 100_000)
)
def test_body_survives_any_split(body: bytes, step: int) -> None:
    """The parts of a body add up, however they arrive."""
    request = relayframe.make_dispatch(HEAD, body, ENGINE, 1)
    sent = relayframe.encode_request(request)
    reader = relayframe.make_reader('relay')
    frames = []
    for start in range(0, len(sent), step):
        frames.extend(reader.feed(sent[start : start + step]))
    assert frames[0] == HEAD
    assert b''.join(one.part for one in frames[1:]) == body


@hypothesis.given(
    strategies.binary(max_size=20), strategies.binary(max_size=20)
)
def test_no_head_holds_a_line_break(name: bytes, text: bytes) -> None:
    """A request that passes the check is one request for any parser."""
    head = relayframe.Dispatch(
        'a1', 'POST', b'/x', ((name, text),), '', 1, b'', False
    )
    try:
        relayframe.check_dispatch(head)
    except error.NodeError:
        return
    assert not set(b'\r\n\0') & set(name + text)
    assert name
    assert b':' not in name


@pytest.mark.parametrize(
    'changes',
    [
        {'method': 'GET /y HTTP/1.1\r\nA:'},
        {'target': b'/x HTTP/1.1\r\n\r\n'},
        {'target': b'x'},
        {'customer': 'a\r\nb'},
        {'after_event': b'1\n'},
        {'time_left': math.nan},
        {'time_left': -1},
        {'time_left': math.inf},
    ],
)
def test_odd_values_are_refused(changes: dict) -> None:
    """They would change the request that the relay writes."""
    with pytest.raises(error.NodeError):
        relayframe.check_dispatch(
            relayframe.Dispatch(**{**_list_fields(HEAD), **changes})
        )


@pytest.mark.parametrize('idle', [math.nan, -1, math.inf])
def test_odd_idle_time_is_refused(idle: float) -> None:
    """The relay can't compare it with a time."""
    with pytest.raises(error.NodeError):
        relayframe.check_open(relayframe.Open('n1', 'e1', 1, idle))


def test_large_frame_is_refused() -> None:
    """It would have to be held in memory whole."""
    part = bytes(relayframe.MAX_FRAME_BYTES)
    with pytest.raises(error.NodeError):
        relayframe.make_reader('node').feed(
            frame.encode(relayframe.Received(part))
        )


def _list_fields(head: relayframe.Dispatch) -> dict:
    return {name: getattr(head, name) for name in head.__struct_fields__}
