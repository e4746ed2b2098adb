"""The callers of a soak test: they send requests and record each outcome."""

import dataclasses
import enum
import itertools
import random

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import clock, error, message
from pimentoway.platform import recording_engine, soak_fixture
from pimentoway.soak import fleet

#: The maximum number of bytes per read.
READ_BYTES = 65_536

#: Seconds until a caller stops waiting for an answer: the deadline of the
#: request, and 2 s for a paused node.
ANSWER_TIMEOUT_SECONDS = soak_fixture.DEADLINE_MILLISECONDS / 1000 + 2

#: The maximum number of requests per connection.
MAX_CONNECTION_REQUESTS = 8

#: Mean of the exponentially distributed seconds between two requests of a
#: caller.
MEAN_PAUSE_SECONDS = 0.06

#: Seconds until a caller without a ready node tries again; also the timeout
#: for connecting to a node.
RETRY_SECONDS = 0.1

_OK = 200

_REQUEST_NUMBERS = itertools.count(1)


class Ending(enum.Enum):
    """How a request ended, as its caller saw it."""

    # A complete answer with status 200 and exactly the body of the engine.
    exact = 'exact'
    # A complete answer with status 200 and another body.
    wrong = 'wrong'
    # A complete answer with another status, from the node or an engine.
    status = 'status'
    # The connection failed after the head of the answer, before its end.
    broken = 'broken'
    # The connection failed before the head of an answer.
    closed = 'closed'
    # No complete answer within `ANSWER_TIMEOUT_SECONDS`.
    hung = 'hung'


@dataclasses.dataclass(frozen=True)
class Outcome:
    """A request and how it ended.

    Attributes:
        request_id: The identifier of the request.
        kind: Its kind, one of `soak_fixture.REQUEST_KINDS`.
        node: The node to which it was sent.
        sent_at: When it was sent, in seconds of the monotonic clock.
        ended_at: When it ended, on the same clock.
        ending: How it ended.
        status: The HTTP status; 0 if no answer began.
        first_on_connection: Whether it was the first request on its connection.
    """

    request_id: str
    kind: str
    node: fleet.Node
    sent_at: float
    ended_at: float
    ending: Ending
    status: int
    first_on_connection: bool


class LoadGenerator:
    """Callers that send requests until they are stopped, each a greenlet.

    Attributes:
        outcomes: The outcomes of all requests, in the order of their ends.
        ready_nodes: The nodes to which new connections go; set by the balancer.
        sending: Whether the callers send new requests.
    """

    def __init__(self, callers: int, seed: int) -> None:
        """Start the callers, which wait until there are ready nodes.

        Args:
            callers: The number of callers.
            seed: The seed of the choice of nodes, request kinds and pauses.
        """
        self.outcomes: list[Outcome] = []
        self.ready_nodes: list[fleet.Node] = []
        self.sending = True
        self._random = random.Random(seed)
        self._tasks = [gevent.spawn(self._run_caller) for _ in range(callers)]

    def stop(self) -> None:
        """Send no new requests and wait until those in flight have ended."""
        self.sending = False
        gevent.joinall(self._tasks)

    def _run_caller(self) -> None:
        while self.sending:
            if self.ready_nodes:
                self._use_connection(self._random.choice(self.ready_nodes))
            else:
                gevent.sleep(RETRY_SECONDS)

    def _use_connection(self, node: fleet.Node) -> None:
        try:
            sock = gevent_socket.create_connection(
                node.settings.callers_address, RETRY_SECONDS
            )
        except OSError:
            # The node is down and the balancer has not polled it since.
            gevent.sleep(RETRY_SECONDS)
            return
        with sock:
            for number in range(MAX_CONNECTION_REQUESTS):
                if not self._send_request(
                    sock, node, first_on_connection=not number
                ):
                    return
                pause = self._random.expovariate(1 / MEAN_PAUSE_SECONDS)
                gevent.sleep(pause)

    def _send_request(
        self,
        sock: gevent_socket.socket,
        node: fleet.Node,
        first_on_connection: bool,
    ) -> bool:
        if not self.sending:
            return False
        kind = self._random.choice(soak_fixture.REQUEST_KINDS)
        request_id = f'q{next(_REQUEST_NUMBERS)}'
        sent_at = clock.read_monotonic()
        answer = message.Answer()
        reader = message.AnswerReader()
        try:
            sock.sendall(soak_fixture.write_request(kind, request_id))
            answer = read_answer(sock, reader, sent_at + ANSWER_TIMEOUT_SECONDS)
            ending = classify_answer(kind, request_id, answer)
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
                sent_at=sent_at,
                ended_at=clock.read_monotonic(),
                ending=ending,
                status=answer.status,
                first_on_connection=first_on_connection,
            ),
        )
        return answer.complete and answer.keep_alive


def read_answer(
    sock: gevent_socket.socket, reader: message.AnswerReader, deadline: float
) -> message.Answer:
    """Read one complete answer.

    Args:
        sock: The connection.
        reader: Parses the bytes read; keeps an incomplete answer on errors.
        deadline: When to stop waiting, in seconds of the monotonic clock.

    Returns:
        The answer.

    Raises:
        ConnectionLostError: If the peer closes the connection before the
            answer is complete.
        TimeoutError: If the answer is not complete by the deadline.
    """
    while not (reader.answers and reader.answers[0].complete):
        remaining = deadline - clock.read_monotonic()
        if remaining <= 0:
            raise TimeoutError('no complete answer before the deadline')
        sock.settimeout(remaining)
        block = sock.recv(READ_BYTES)
        if not block:
            raise error.ConnectionLostError(
                'the peer closed the connection', 'read'
            )
        reader.feed(block)
    return reader.answers[0]


def classify_answer(
    kind: str, request_id: str, answer: message.Answer
) -> Ending:
    """Compare a complete answer with the one that the engine sends.

    Args:
        kind: The kind of the request.
        request_id: The identifier of the request.
        answer: The answer.

    Returns:
        `exact`, `wrong` or `status`.
    """
    if answer.status != _OK:
        return Ending.status
    expected = recording_engine.make_body(request_id)
    if kind in {'stream', 'resumable'}:
        expected = b''.join(recording_engine.list_events(request_id))
    return Ending.exact if b''.join(answer.parts) == expected else Ending.wrong
