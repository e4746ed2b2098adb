"""Writing of log lines without blocking, with a bounded queue and rate."""

import collections
import os

import gevent
from gevent import event as gevent_event

#: The most queued lines; a line is about 400 bytes.
MAX_QUEUED_LINES = 4000

#: The rate limit: its average rate and its token bucket's capacity.
LINES_PER_SECOND = 400
BURST_LINES = 800

#: The pause before each flush, which also delays the retry of a failed write.
FLUSH_SECONDS = 0.05

#: The target size of a write, ``PIPE_BUF``: up to it, a pipe takes all bytes
#: or none.
BLOCK_BYTES = 4096


class LogSink:
    """Queues log lines and writes them in the background.

    Attributes:
        dropped: The lines dropped since the last report of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor.

        Args:
            descriptor: The descriptor; it is made non-blocking.
        """
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._queue: collections.deque[bytes] = collections.deque()
        self._has_lines = gevent_event.Event()
        self._rate_tokens = float(BURST_LINES)

    def write(self, line: bytes) -> None:
        """Queue a line, or drop it if the queue or the rate limit is exceeded.

        Args:
            line: The line with its line break.
        """
        if len(self._queue) >= MAX_QUEUED_LINES or self._rate_tokens < 1:
            self.dropped += 1
            return
        self._rate_tokens -= 1
        self._queue.append(line)
        self._has_lines.set()

    def flush(self) -> None:
        """Write queued lines until the descriptor would block."""
        while self._queue:
            if not self._write_some():
                return

    def run(self) -> None:
        """Write queued lines in an endless loop."""
        while True:
            self._has_lines.wait()
            # The pause collects lines, so that one system call writes many.
            gevent.sleep(FLUSH_SECONDS)
            self._has_lines.clear()
            self._rate_tokens = min(
                BURST_LINES,
                self._rate_tokens + LINES_PER_SECOND * FLUSH_SECONDS,
            )
            if self.dropped:
                text = '{"text": "log: lines were dropped.", "count": %d}\n'
                self._queue.append((text % self.dropped).encode())
                self.dropped = 0
            self.flush()
            if self._queue:
                self._has_lines.set()

    def _write_some(self) -> bool:
        block = b''
        line_count = 0
        for line in self._queue:
            if block and len(block) + len(line) > BLOCK_BYTES:
                break
            block += line
            line_count += 1
        try:
            written = os.write(self._descriptor, block)
        except BlockingIOError:
            return False
        for _ in range(line_count):
            self._queue.popleft()
        if written < len(block):
            self._queue.appendleft(block[written:])
            return False
        return True
