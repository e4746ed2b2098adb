"""Parses what a caller sends in steps of a bounded time."""

import collections

from pimentoway.core import message

#: The most bytes read from a connection at once: of a body whose length is
#: known, and else, as they may wait until they are parsed.
RECEIVE_BYTES = 65_536
FEW_BYTES = 16_384

#: The bytes of heads, chunks and pipelined requests that are parsed at once. It
#: bounds the lines of one step (800 lines take 0.4 ms) and the requests that
#: are parsed before the first one is answered.
SLICE_BYTES = 4096

#: What a slice of them counts in a turn, as a byte of many short lines takes
#: four times as long as one of a body.
SLICE_WEIGHT = 4

_NOTHING = memoryview(b'')


class RequestInput:
    """The bytes that a caller sent, parsed as far as they are needed.

    Attributes:
        requests: The requests whose reading has begun, the oldest first.
        rest: The bytes that are not parsed yet.
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        """Start at the beginning of a connection.

        Args:
            header_bytes: The largest head.
            body_bytes: The largest body.
        """
        self._reader = message.RequestReader(header_bytes, body_bytes)
        self.requests: collections.deque[message.Request] = (
            self._reader.requests
        )
        self.rest = _NOTHING

    def choose_size(self) -> int:
        """Choose how much to read at once.

        Returns:
            The bytes.
        """
        return RECEIVE_BYTES if self._reader.count_missing() else FEW_BYTES

    def parse(self, block: bytes | memoryview) -> int:
        """Parse a step; what is left of the bytes is in ``rest``.

        Args:
            block: The bytes that were read, or ``rest``.

        Returns:
            What the step counts in a turn, in bytes.
        """
        size = len(block)
        if size <= SLICE_BYTES:
            self.rest = _NOTHING
            self._reader.feed(block)
            return size
        size = min(size, max(SLICE_BYTES, self._reader.count_missing()))
        whole = memoryview(block)
        self.rest = whole[size:]
        self._reader.feed(whole[:size])
        return size if size > SLICE_BYTES else size * SLICE_WEIGHT

    def measure(self) -> int:
        """Measure the memory that the input takes.

        Returns:
            The bytes.
        """
        return self._reader.measure() + len(self.rest)

    def drop(self) -> None:
        """Free the memory; nothing may be parsed any more."""
        self.rest = _NOTHING
        self._reader.drop()
