"""Tests of writing log lines without ever waiting."""

import os

import gevent
from hypothesis import given, strategies

from pimentoway.core import logsink
from pimentoway.standin import paused_loop


def drain(descriptor: int) -> bytes:
    """Read all that is in a pipe.

    Args:
        descriptor: The reading end.

    Returns:
        The bytes.
    """
    os.set_blocking(descriptor, False)
    blocks = []
    try:
        while True:
            blocks.append(os.read(descriptor, 65536))
    except BlockingIOError:
        return b''.join(blocks)


@given(strategies.lists(strategies.integers(1, 9000), max_size=60))
def test_lines_arrive_whole_and_in_order(sizes: list[int]) -> None:
    """A reader that is slow gets every line whole, later."""
    reading, writing = os.pipe()
    place = logsink.LogSink(writing)
    lines = [b'%d\n' % (10**size) for size in sizes if size < 800]
    lines.extend(b'%s\n' % (b'x' * size) for size in sizes)
    for line in lines:
        place.write(line)
    seen = b''
    for _ in range(200):
        place.flush()
        seen += drain(reading)
    os.close(reading)
    os.close(writing)
    assert seen == b''.join(lines)


def test_too_many_lines_are_counted() -> None:
    """Beyond the bound lines are dropped, and their count is told."""
    reading, writing = os.pipe()
    place = logsink.LogSink(writing)
    gevent.spawn(place.run)
    for number in range(logsink.BURST_LINES + 50):
        place.write(b'%d\n' % number)
    assert place.dropped == 50
    paused_loop.advance(1)
    seen = drain(reading)
    assert b'"count": 50' in seen
    assert b'%d\n' % (logsink.BURST_LINES - 1) in seen
    paused_loop.advance(1)
    place.write(b'again\n')
    paused_loop.advance(1)
    assert b'again' in drain(reading)
