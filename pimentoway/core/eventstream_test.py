"""Tests of splitting streams into events."""

import pytest
from hypothesis import given, strategies

from pimentoway.core import error, eventstream

STREAM = b''.join(b'id: %d\ndata: piece\n\n' % number for number in range(1, 9))


@given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=9))
def test_events_do_not_depend_on_splits(cuts: list[int]) -> None:
    """The events of a stream are the same for parts of any size."""
    splitter = eventstream.EventSplitter()
    ends = [*sorted(cuts), len(STREAM)]
    start = 0
    passed = b''
    for end in ends:
        passed += splitter.feed(STREAM[start:end])
        start = end
    assert passed == STREAM
    assert (splitter.count, splitter.last_id, splitter.rest) == (8, b'8', b'')


def test_incomplete_event_is_held_back() -> None:
    """If a stream ends within an event, only complete events are returned."""
    splitter = eventstream.EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == (
        b'id: 1\ndata: a\n\n'
    )
    assert splitter.last_id == b'1'
    assert splitter.rest == b'id: 2\nda'


def test_event_without_end_is_rejected() -> None:
    """Bytes that form no event: they aren't kept without a limit."""
    splitter = eventstream.EventSplitter()
    with pytest.raises(error.ConnectionLostError):
        for _ in range(1000):
            splitter.feed(b'z: ' * 1000)
