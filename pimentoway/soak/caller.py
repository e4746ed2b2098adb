"""Callers of a soak: they keep connections open and remember each answer."""

import dataclasses
import enum
import itertools
import random

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import clock, error, message
from pimentoway.platform import plain_caller, plain_engine
from pimentoway.soak import fleet

#: The bytes read at once.
BLOCK_BYTES = 65_536

#: Seconds after which a caller gives an answer up: the limit of a request and
#: what a paused node may add.
PATIENCE_SECONDS = plain_caller.LIMIT_MILLISECONDS / 1000 + 2

#: The requests on one connection at the most.
CONNECTION_REQUESTS = 8

#: Seconds between two requests of a caller, on the average.
PAUSE_SECONDS = 0.06

#: Seconds after which a caller without a ready node looks again.
LOOK_SECONDS = 0.1

_OK = 200

_NUMBERS = itertools.count(1)


class Ending(enum.Enum):
    """How a request ended for its caller."""

    # The whole answer of an engine, byte for byte.
    exact = 'exact'
    # A whole answer with status 200 that is not the engine's.
    wrong = 'wrong'
    # A status of the node's own or an engine's failure.
    status = 'status'
    # A stream that broke off, and looked so.
    broken = 'broken'
    # The connection ended before an answer.
    closed = 'closed'
    # No end within the patience of the caller.
    hung = 'hung'


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A request and what became of it.

    Attributes:
        request_id: The request.
        kind: Its kind.
        node: The node that got it.
        sent: When it was sent.
        ended: When it ended.
        ending: How it ended.
        status: The status; 0 if none came.
        first: Whether it was the first request on its connection.
    """

    request_id: str
    kind: str
    node: fleet.Node
    sent: float
    ended: float
    ending: Ending
    status: int
    first: bool


class Crowd:
    """The callers.

    Attributes:
        outcomes: What became of their requests.
        ready: The nodes that new connections go to.
        sending: Whether they send requests.
    """

    def __init__(self, callers: int, seed: int) -> None:
        """Start callers that wait for ready nodes.

        Args:
            callers: How many.
            seed: The seed of their choices.
        """
        self.outcomes: list[Outcome] = []
        self.ready: list[fleet.Node] = []
        self.sending = True
        self._random = random.Random(seed)
        self._tasks = [gevent.spawn(self._run) for _ in range(callers)]

    def stop(self) -> None:
        """Let all requests end and send no more."""
        self.sending = False
        gevent.joinall(self._tasks)

    def _run(self) -> None:
        while self.sending:
            if self.ready:
                self._use_connection(self._random.choice(self.ready))
            else:
                gevent.sleep(LOOK_SECONDS)

    def _use_connection(self, node: fleet.Node) -> None:
        try:
            sock = gevent_socket.create_connection(
                node.settings.front, LOOK_SECONDS
            )
        except OSError:
            # The balancer has not noticed yet that the node is gone.
            gevent.sleep(LOOK_SECONDS)
            return
        with sock:
            for number in range(CONNECTION_REQUESTS):
                if not self._call(sock, node, first=not number):
                    return
                pause = self._random.expovariate(1 / PAUSE_SECONDS)
                gevent.sleep(pause)

    def _call(
        self, sock: gevent_socket.socket, node: fleet.Node, first: bool
    ) -> bool:
        if not self.sending:
            return False
        kind = self._random.choice(plain_caller.KINDS)
        request_id = f'q{next(_NUMBERS)}'
        sent = clock.read_monotonic()
        answer = message.Answer()
        reader = message.AnswerReader()
        try:
            sock.sendall(plain_caller.write_request(kind, request_id))
            answer = read_answer(sock, reader, sent + PATIENCE_SECONDS)
            ending = judge(kind, request_id, answer)
        except TimeoutError:
            ending = Ending.hung
        except (OSError, error.ConnectionLostError):
            answer = reader.answers[0] if reader.answers else answer
            ending = Ending.broken if answer.head_complete else Ending.closed
        self.outcomes.append(
            Outcome(
                request_id=request_id,
                kind=kind,
                node=node,
                sent=sent,
                ended=clock.read_monotonic(),
                ending=ending,
                status=answer.status,
                first=first,
            ),
        )
        return answer.complete and answer.keep_alive


def read_answer(
    sock: gevent_socket.socket, reader: message.AnswerReader, end: float
) -> message.Answer:
    """Read an answer.

    Args:
        sock: The connection.
        reader: Cuts what comes into answers.
        end: When to give up.

    Returns:
        The whole answer.

    Raises:
        ConnectionLostError: If the connection ended before.
        TimeoutError: If it is not whole in time.
    """
    while not (reader.answers and reader.answers[0].complete):
        left = end - clock.read_monotonic()
        if left <= 0:
            raise TimeoutError('no whole answer in time')
        sock.settimeout(left)
        block = sock.recv(BLOCK_BYTES)
        if not block:
            raise error.ConnectionLostError('the connection ended', 'read')
        reader.feed(block)
    return reader.answers[0]


def judge(kind: str, request_id: str, answer: message.Answer) -> Ending:
    """Tell what a whole answer is worth.

    Args:
        kind: The kind of the request.
        request_id: The request.
        answer: The answer.

    Returns:
        How the request ended.
    """
    if answer.status != _OK:
        return Ending.status
    expected = plain_engine.make_body(request_id)
    if kind in {'stream', 'resumable'}:
        expected = b''.join(plain_engine.list_events(request_id))
    return Ending.exact if b''.join(answer.parts) == expected else Ending.wrong
