"""Tests of the log sink."""

import os

import gevent
from hypothesis import given, strategies

from pimentoway.core import logsink
from pimentoway.standin import paused_loop


def drain(descriptor: int) -> bytes:
    """Read all available bytes of a pipe.

    Args:
        descriptor: The read end.

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
    """A slow reader gets all lines, complete and in order."""
    read_end, write_end = os.pipe()
    sink = logsink.LogSink(write_end)
    lines = [b'%d\n' % (10**size) for size in sizes if size < 800]
    lines.extend(b'%s\n' % (b'x' * size) for size in sizes)
    for line in lines:
        sink.write(line)
    seen = b''
    for _ in range(200):
        sink.flush()
        seen += drain(read_end)
    os.close(read_end)
    os.close(write_end)
    assert seen == b''.join(lines)


def test_lines_over_the_rate_are_dropped() -> None:
    """Lines beyond the burst are dropped, and their number is logged."""
    read_end, write_end = os.pipe()
    sink = logsink.LogSink(write_end)
    gevent.spawn(sink.run)
    for number in range(logsink.BURST_LINES + 50):
        sink.write(b'%d\n' % number)
    assert sink.dropped == 50
    paused_loop.advance(1)
    seen = drain(read_end)
    assert b'"count": 50' in seen
    assert b'%d\n' % (logsink.BURST_LINES - 1) in seen
    paused_loop.advance(1)
    sink.write(b'again\n')
    paused_loop.advance(1)
    assert b'again' in drain(read_end)
