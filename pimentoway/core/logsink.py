"""Standard output as the place for log lines: bounded, and never waited for."""

import collections
import os

import gevent
from gevent import event as gevent_event

#: The lines that may wait; a line is about 400 bytes.
WAITING_LINES = 4000

#: The lines a second in the long run, and at once.
LINES_PER_SECOND = 400
BURST_LINES = 800

#: Seconds after which a line that can't be written is tried again.
RETRY_SECONDS = 0.05

#: The bytes written at once: what a pipe takes whole or not at all.
BLOCK_BYTES = 4096


class LogSink:
    """Takes log lines and writes them when there is time.

    Attributes:
        dropped: The lines that were left out since the last that was written.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor.

        Args:
            descriptor: The descriptor, made non-blocking.
        """
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._wake = gevent_event.Event()
        self._allowance = float(BURST_LINES)

    def write(self, line: bytes) -> None:
        """Take a line, or drop it if there are too many.

        Args:
            line: The line with its end.
        """
        if len(self._lines) >= WAITING_LINES or self._allowance < 1:
            self.dropped += 1
            return
        self._allowance -= 1
        self._lines.append(line)
        self._wake.set()

    def flush(self) -> None:
        """Write what waits, as far as it goes without waiting."""
        while self._lines:
            if not self._write_some():
                return

    def run(self) -> None:
        """Write lines for ever."""
        while True:
            self._wake.wait()
            # A pause gathers lines, so that one call writes many.
            gevent.sleep(RETRY_SECONDS)
            self._wake.clear()
            self._allowance = min(
                BURST_LINES,
                self._allowance + LINES_PER_SECOND * RETRY_SECONDS,
            )
            if self.dropped:
                text = '{"text": "log: lines were dropped.", "count": %d}\n'
                self._lines.append((text % self.dropped).encode())
                self.dropped = 0
            self.flush()
            if self._lines:
                self._wake.set()

    def _write_some(self) -> bool:
        block = b''
        taken = 0
        for line in self._lines:
            if block and len(block) + len(line) > BLOCK_BYTES:
                break
            block += line
            taken += 1
        try:
            written = os.write(self._descriptor, block)
        except BlockingIOError:
            return False
        for _ in range(taken):
            self._lines.popleft()
        if written < len(block):
            self._lines.appendleft(block[written:])
            return False
        return True
