"""Tests of nodes whose peers send bytes without end, over real sockets."""

import collections
import contextlib
import subprocess
import sys
import time

import gevent
import pytest

from pimentoway.core import clock, connection
from pimentoway.platform import (
    edge_process_test,
    flooding_peer,
    relayed_process_test,
    scripted_engine,
)

#: The latency target of the routes, within which others must be served, in
#: seconds, and the most requests of others in a test.
TARGET_SECONDS = 0.5
REQUESTS = 5


class Flood:
    """An engine and a caller in a process of their own.

    Attributes:
        engine: The engine, as tests register one.
    """

    def __init__(self, process: subprocess.Popen) -> None:
        """Read the port of the engine.

        Args:
            process: The process.
        """
        self.engine = scripted_engine.ScriptedEngine('flood')
        self.engine.stop()
        self.engine.address = f'127.0.0.1:{int(process.stdout.readline())}'
        self._process = process

    def send(self, front: tuple[str, int], request: bytes) -> None:
        """Let the caller send a request and read the answer.

        Args:
            front: The address of the node.
            request: The request.
        """
        self._process.stdin.write(f'{front[1]}\n{request.hex()}\n')
        self._process.stdin.flush()


@contextlib.contextmanager
def start_flood() -> collections.abc.Generator[Flood, None, None]:
    """Start the process with the engine and the caller.

    Yields:
        The engine and the caller.
    """
    process = subprocess.Popen(
        [sys.executable, '-m', flooding_peer.__name__],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        yield Flood(process)
    finally:
        process.kill()
        process.communicate()


def measure_others(harness: edge_process_test.NodeHarness) -> float:
    """Send requests of other callers for a second.

    Args:
        harness: The node.

    Returns:
        The longest time until an answer came, in seconds.
    """
    longest: float = 0
    for _ in range(REQUESTS):
        started = time.monotonic()
        gevent.sleep(1 / REQUESTS)
        assert harness.call('/safe/x')[0] == 200
        longest = max(longest, time.monotonic() - started - 1 / REQUESTS)
    return longest


# Guards against a node that serves nobody else while an engine sends bytes
# without end to a caller that reads them as fast.
@pytest.mark.parametrize('path', sorted(flooding_peer.ENDLESS_BY_PATH))
def test_endless_answer_does_not_stop_others(path: bytes) -> None:
    """Other callers of the node are served in time."""
    with start_flood() as flood:
        harness = edge_process_test.NodeHarness(flood.engine)
        flood.send(harness.front, edge_process_test.make_request(path.decode()))
        assert measure_others(harness) < TARGET_SECONDS


def test_relayed_endless_answer_stops_nobody() -> None:
    """The same at the node that relays, and at the one that asks it."""
    with start_flood() as flood:
        relayed = relayed_process_test.RelayedNode(flood.engine)
        request = edge_process_test.make_request('/stream/events')
        flood.send(relayed.node.front, request)
        assert measure_others(relayed.relay) < TARGET_SECONDS


def test_endless_lines_do_not_stop_others() -> None:
    """A call that reads line by line, as the own interface does, lets go."""
    with start_flood() as flood:
        harness = edge_process_test.NodeHarness(flood.engine)
        task = gevent.spawn(read_lines, flood.engine.address)
        assert measure_others(harness) < TARGET_SECONDS
        assert not task.dead
        task.kill()


def read_lines(address: str) -> None:
    """Read the lines of an endless answer.

    Args:
        address: The address of the engine.
    """
    exchange = connection.Pool().open(
        connection.Call(
            address=address,
            method='POST',
            path='/stream/lines',
            headers=(('X-Request-Id', 'a1'),),
            deadline=clock.read_monotonic() + edge_process_test.TIMEOUT_SECONDS,
        )
    )
    while exchange.read_line():
        assert exchange.status == 200


def test_endless_request_does_not_stop_others() -> None:
    """A caller whose request was rejected sends on."""
    with start_flood() as flood:
        harness = edge_process_test.NodeHarness(flood.engine)
        flood.send(harness.front, b'no request\r\n\r\njunk')
        assert measure_others(harness) < TARGET_SECONDS
