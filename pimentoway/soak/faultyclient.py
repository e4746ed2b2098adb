"""Clients of a soak test whose requests are odd and never complete."""

import collections
import contextlib
import dataclasses
import itertools
import random

import gevent
from gevent import socket as gevent_socket

from pimentoway.platform import recording_engine, soak_fixture
from pimentoway.soak import fleet

#: The number of clients: enough that each node always has some.
CLIENTS = 15

#: What the attempt ids of these clients begin with.
ID_PREFIX = 'incomplete'

#: The longest time, in seconds, that a client waits before it closes its
#: connection or sends its block once more.
MAX_PAUSE_SECONDS = 0.5

#: Seconds until a client without a ready node tries again; also the timeout
#: for connecting to a node and for sending.
RETRY_SECONDS = 0.1

ListReady = collections.abc.Callable[[], list[fleet.Node]]

_REQUEST_NUMBERS = itertools.count(1)

#: How often the odd lines are repeated, so that a head stays within its limit.
ODD_REPEATS = 250

#: The bytes of a body that are sent at once, and its announced length.
PART_BYTES = 10_000
BODY_BYTES = 200_000

_SHORT_LINES = b''.join(b'a%d:b\r\n' % number for number in range(1000))
_ODD_LINES = b'odd:\r\nOdd: \t \r\noDD:\t\tx \t\r\nODD:\xff\r\n' * ODD_REPEATS


@dataclasses.dataclass(frozen=True)
class Shape:
    """What a client sends after the first lines of a head; it never completes.

    Attributes:
        start: The bytes that are sent first.
        block: The bytes that are sent after each pause.
    """

    start: bytes
    block: bytes


SHAPES = (
    Shape(_SHORT_LINES, b'a:b\r\n'),
    Shape(_ODD_LINES, b'odd: \t\r\n'),
    Shape(b'Content-Length: %d\r\n\r\n' % BODY_BYTES, b'x' * PART_BYTES),
    Shape(b'Transfer-Encoding: chunked\r\n\r\n0\r\n', b'a:b\r\n' * 100),
)

#: How often a client sends its block: the longest body lacks half its bytes.
MAX_BLOCKS = 10


class FaultyClient:
    """A client that sends one incomplete request after another."""

    def __init__(self, seed: str, list_ready: ListReady) -> None:
        """Send nothing before ``run``.

        Args:
            seed: The seed of the choice of nodes, requests and pauses.
            list_ready: Lists the nodes to which new connections go.
        """
        self._list_ready = list_ready
        self._random = random.Random(seed)

    def run(self) -> None:
        """Use one connection after another until the task is killed."""
        while True:
            nodes = self._list_ready()
            if nodes:
                # The node may refuse the connection, end it or be down.
                with contextlib.suppress(OSError):
                    self._use_connection(self._random.choice(nodes))
            gevent.sleep(RETRY_SECONDS)

    def _use_connection(self, node: fleet.Node) -> None:
        shape = self._random.choice(SHAPES)
        with gevent_socket.create_connection(
            node.settings.callers_address, RETRY_SECONDS
        ) as sock:
            sock.sendall(_make_head() + shape.start)
            for _ in range(self._random.randint(0, MAX_BLOCKS)):
                gevent.sleep(self._random.uniform(0, MAX_PAUSE_SECONDS))
                sock.sendall(shape.block)


def start(seed: int, list_ready: ListReady) -> list[gevent.Greenlet]:
    """Start the clients of a soak, which wait until there are ready nodes.

    Args:
        seed: The seed of the soak.
        list_ready: Lists the nodes to which new connections go.

    Returns:
        Their tasks, to be killed at the end.
    """
    return [
        gevent.spawn(FaultyClient(f'faulty {seed} {number}', list_ready).run)
        for number in range(CLIENTS)
    ]


def list_violations(runs: list[recording_engine.Run]) -> list[str]:
    """List the incomplete requests that ran.

    Args:
        runs: The runs of all engines.

    Returns:
        A sentence for each.
    """
    return [
        f'{run.request_id} ran at {run.engine}, but is incomplete'
        for run in runs
        if run.request_id.startswith(ID_PREFIX)
    ]


def _make_head() -> bytes:
    return soak_fixture.write_open_head(f'{ID_PREFIX}{next(_REQUEST_NUMBERS)}')
