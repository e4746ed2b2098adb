"""A stand-in for a correct engine, which records what it ran."""

import dataclasses
import zlib

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import clock, message
from pimentoway.platform import scripted_engine

#: The events of a whole stream.
EVENTS_PER_STREAM = 6

#: Seconds that a run takes until its answer, and between two events.
RUN_SECONDS = 0.03
EVENT_GAP_SECONDS = 0.05

#: The path prefixes of requests that are answered by streams.
STREAM_PREFIX = b'/stream'
RESUMABLE_PREFIX = b'/resumable'

#: The status if the request expects another engine; nothing was run then.
_MISDIRECTED = 421
_UNAVAILABLE = 503
_NOT_RUN = 'Pimentoway-Not-Executed: 1'
_LEAVING = 'Server-Leaving: 1'

_EXPECTED_INSTANCE = b'pimentoway-expect-instance'
_LAST_EVENT_ID = b'last-event-id'


@dataclasses.dataclass(frozen=True)
class Run:
    """The run of a request at an engine.

    Attributes:
        request_id: The attempt id of the request.
        engine: The name of the engine.
        time: The monotonic time of its start, in seconds.
    """

    request_id: str
    engine: str
    time: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an engine which gives notices, or did before.

    Attributes:
        request_id: The attempt id of the request.
        time: When it came, in seconds of the monotonic clock.
        start: Which start of the engine it reached, counted from 0.
        leaving: Whether the engine announced in its answer that it leaves.
        pause_seconds: How long the engine wanted no more requests, as it said
            in its answer; 0 if it said nothing.
    """

    request_id: str
    time: float
    start: int
    leaving: bool
    pause_seconds: float


class RecordingEngine(scripted_engine.ScriptedEngine):
    """An engine that runs each request and answers by its path.

    Half of its streams have neither a length nor chunks, if so wanted.

    Attributes:
        unframed: Whether half of its streams end with their connection.
        crashing: Whether it ends its streams within their next event.
        leaving: Whether it announces in its answers that it leaves.
        pause_seconds: The time with which it turns requests away; 0 if it runs
            them.
        starts: How often it was started again.
        runs: The runs, in the order of their starts.
        arrivals: The requests that reached it, also those that it turned away.
        failed_connections: The connections that broke while being served.
    """

    def __init__(self, name: str) -> None:
        """Start listening on a free port of localhost.

        Args:
            name: The name that requests must expect.
        """
        super().__init__(name)
        self.unframed = True
        self.crashing = False
        self.leaving = False
        self.pause_seconds: float = 0
        self.starts = 0
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.failed_connections = 0

    def restart(self) -> None:
        """Forget all faults and announcements, as after a new start."""
        self.crashing = False
        self.leaving = False
        self.starts += 1

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        try:
            super()._handle(sock, address)
        except OSError:
            # The proxies of a soak break connections on purpose.
            self.failed_connections += 1

    def _answer(
        self,
        sock: gevent_socket.socket,
        request: message.Request,
        script: scripted_engine.Script,
    ) -> bool:
        attempt_id = request.list_header_values(scripted_engine.ATTEMPT_ID)[
            0
        ].decode()
        if request.list_header_values(_EXPECTED_INSTANCE) != [
            self.name.encode()
        ]:
            misdirected = scripted_engine.Script(
                _MISDIRECTED, (b'',), sealed=False
            )
            return super()._answer(sock, request, misdirected)
        now = clock.read_monotonic()
        leaving = (_LEAVING,) if self.leaving else ()
        self.arrivals.append(
            Arrival(
                attempt_id, now, self.starts, self.leaving, self.pause_seconds
            )
        )
        if self.pause_seconds:
            refusal = scripted_engine.Script(
                _UNAVAILABLE,
                headers=(
                    _NOT_RUN,
                    f'Retry-After: {self.pause_seconds}',
                    *leaving,
                ),
            )
            return super()._answer(sock, request, refusal)
        self.runs.append(Run(attempt_id, self.name, now))
        gevent.sleep(RUN_SECONDS)
        script = _make_script(attempt_id, request, self.unframed)
        return super()._answer(
            sock,
            request,
            dataclasses.replace(script, headers=(*script.headers, *leaving)),
        )

    def _send_piece(
        self,
        sock: gevent_socket.socket,
        script: scripted_engine.Script,
        piece: bytes,
    ) -> bool:
        if self.crashing and script.unframed:
            sock.sendall(piece[: len(piece) // 2])
            return False
        return super()._send_piece(sock, script, piece)


def _make_script(
    attempt_id: str, request: message.Request, may_be_unframed: bool
) -> scripted_engine.Script:
    if not request.target.startswith((STREAM_PREFIX, RESUMABLE_PREFIX)):
        return scripted_engine.Script(body=(make_body(attempt_id),))
    after = request.list_header_values(_LAST_EVENT_ID)
    events = list_events(attempt_id)[int(after[0]) if after else 0 :]
    is_odd = bool(zlib.crc32(attempt_id.encode()) % 2)
    unframed = may_be_unframed and is_odd
    return scripted_engine.Script(
        body=tuple(events),
        headers=('Content-Type: text/event-stream',),
        chunked=not unframed,
        unframed=unframed,
        pause=EVENT_GAP_SECONDS,
    )


def make_body(request_id: str) -> bytes:
    """Return the expected body of the answer to a request without a stream.

    Args:
        request_id: The attempt id of the request.

    Returns:
        The body.
    """
    return f'answer to {request_id}'.encode()


def list_events(request_id: str) -> list[bytes]:
    """List all events of the answer to a streamed request.

    Args:
        request_id: The attempt id of the request.

    Returns:
        The encoded events, with ids from 1.
    """
    return [
        b'id: %d\ndata: %s\n\n' % (number, request_id.encode())
        for number in range(1, EVENTS_PER_STREAM + 1)
    ]
