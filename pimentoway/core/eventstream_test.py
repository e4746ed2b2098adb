"""Tests of cutting streams into events."""

from hypothesis import given, strategies

from pimentoway.core import eventstream

STREAM = b''.join(b'id: %d\ndata: piece\n\n' % number for number in range(1, 9))


@given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=9))
def test_any_split_gives_the_same_events(cuts: list[int]) -> None:
    """However the network cuts a stream, its events are the same."""
    cutter = eventstream.EventCutter()
    ends = [*sorted(cuts), len(STREAM)]
    start = 0
    passed = b''
    for end in ends:
        passed += cutter.feed(STREAM[start:end])
        start = end
    assert passed == STREAM
    assert (cutter.count, cutter.last_id, cutter.rest) == (8, b'8', b'')


def test_half_an_event_is_held_back() -> None:
    """A stream that stops within an event passes on only whole ones."""
    cutter = eventstream.EventCutter()
    assert cutter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == (
        b'id: 1\ndata: a\n\n'
    )
    assert cutter.last_id == b'1'
    assert cutter.rest == b'id: 2\nda'
