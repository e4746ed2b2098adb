"""Checks whether a back end that closed a connection is still running.

A connection can break without a crash, for instance if it is reset on the way
or if the back end garbles its answer. A back end that has crashed refuses
further connections.
"""

import collections
import contextlib
import enum

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import clock, connection, deployment, error, message

#: Seconds for connecting and for the answer. A back end that is only slow or
#: unreachable counts as running.
CHECK_SECONDS = 0.25

#: Maximum bytes of one read from a connection.
RECEIVE_BYTES = 65_536

AnswerHandler = collections.abc.Callable[
    [deployment.Engine, message.Answer], None
]


class Liveness(enum.Enum):
    """What a check found."""

    # The back end answered.
    alive = 'alive'
    # It did nothing in time.
    silent = 'silent'
    # It refuses connections or closes them without an answer.
    crashed = 'crashed'


class LivenessChecker:
    """Checks back ends, each at most once at a time."""

    def __init__(
        self,
        probe: bytes,
        may_use: collections.abc.Callable[[deployment.Engine], bool],
        on_answer: AnswerHandler,
    ) -> None:
        """Set how back ends are checked.

        Args:
            probe: The request that a running back end answers at once,
                encoded.
            may_use: Tells whether a back end may get a request now; one that
                may not counts as running.
            on_answer: Called with the answers, of which the heads were read.
        """
        self._probe = probe
        self._may_use = may_use
        self._on_answer = on_answer
        self._check_by_address: dict[str, gevent.Greenlet] = {}

    def start(self, engine: deployment.Engine) -> gevent.Greenlet | None:
        """Start to check a back end, unless it is being checked.

        Args:
            engine: The back end.

        Returns:
            The check, whose value is a ``Liveness``; nothing if the back end
            may get no request.
        """
        check = self._check_by_address.get(engine.address)
        if check is None and self._may_use(engine):
            check = gevent.spawn(self._check, engine)
            self._check_by_address[engine.address] = check
            check.rawlink(
                lambda ended: self._check_by_address.pop(engine.address)
            )
        return check

    def has_crashed(self, engine: deployment.Engine) -> bool:
        """Check a back end that has just closed a connection.

        Args:
            engine: The back end.

        Returns:
            Whether it refuses connections or closes them without an answer.
        """
        check = self.start(engine)
        return check is not None and check.get() is Liveness.crashed

    def _check(self, engine: deployment.Engine) -> Liveness:
        reader = message.AnswerReader()
        found = _probe(engine.address, self._probe, reader)
        if _has_head(reader):
            self._on_answer(engine, reader.answers[0])
        return found


def _probe(
    address: str, probe: bytes, reader: message.AnswerReader
) -> Liveness:
    try:
        sock = connection.connect(address, CHECK_SECONDS)
    except error.ConnectError as fault:
        if isinstance(fault.__cause__, ConnectionError):
            return Liveness.crashed
        return Liveness.silent
    with sock:
        sock.settimeout(CHECK_SECONDS)
        try:
            sock.sendall(probe)
            received = sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            return Liveness.silent
        except OSError:
            return Liveness.crashed
        # Any byte shows that the peer runs, whatever follows.
        with contextlib.suppress(OSError, error.ConnectionLostError):
            _read_head(sock, received, reader)
        return Liveness.alive if received else Liveness.crashed


def _read_head(
    sock: gevent_socket.socket, received: bytes, reader: message.AnswerReader
) -> None:
    deadline = clock.read_monotonic() + CHECK_SECONDS
    while received:
        reader.feed(received)
        remaining = deadline - clock.read_monotonic()
        if _has_head(reader) or remaining <= 0:
            return
        sock.settimeout(remaining)
        received = sock.recv(RECEIVE_BYTES)


def _has_head(reader: message.AnswerReader) -> bool:
    return bool(reader.answers) and reader.answers[0].head_complete
