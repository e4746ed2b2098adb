"""A stand-in for a brittle engine, which falls when it rejects too much."""

import collections
import socket

import gevent
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.core import clock, message
from pimentoway.platform import scripted_engine

#: Seconds for which an engine that fell refuses connections.
FALL_SECONDS = 2.0

#: The window, in seconds, in which rejections are counted.
COUNT_SECONDS = 1.0

_UNAVAILABLE = 503
_NOT_RUN = 'Pimentoway-Not-Executed: 1'
_LISTEN_ADDRESS = '127.0.0.1'

Announce = collections.abc.Callable[['BrittleEngine'], None]


class BrittleEngine(scripted_engine.ScriptedEngine):
    """An engine that says how many rejections a second it bears.

    Attributes:
        room: The most requests that it runs at once; it rejects others.
        tolerated: How many requests a second it can reject, as it says in all
            answers.
        born: When it started, as its entry states it.
        running: The requests that it runs.
        busy_seconds: The time that its runs have taken together, up to the
            last change of their number.
        rejection_times: The monotonic time of each rejection, in seconds.
        falls: How often it fell.
    """

    def __init__(
        self, name: str, tolerated: int, run_seconds: float, room: int
    ) -> None:
        """Start listening on a free port of localhost.

        Args:
            name: The name that requests expect.
            tolerated: How many requests a second it can reject.
            run_seconds: The duration of a run.
            room: The most requests that it runs at once.
        """
        super().__init__(name)
        self.room = room
        self.tolerated = tolerated
        self.born = 1
        self.running = 0
        self.busy_seconds: float = 0
        self.rejection_times: list[float] = []
        self.falls = 0
        self._run_seconds = run_seconds
        self._started = clock.read_monotonic()
        self._counted_at = self._started
        self._announce: Announce | None = None
        self._socks: set[gevent_socket.socket] = set()

    def subscribe(self, announce: Announce) -> None:
        """Have a function called when the engine is back after a fall.

        Args:
            announce: The function, which gets the engine.
        """
        self._announce = announce

    def measure_busy(self) -> float:
        """Measure the time that its runs have taken together.

        Returns:
            The seconds, with the runs in progress.
        """
        self._count(self.running)
        return self.busy_seconds

    def measure_rejections(self) -> int:
        """Count the most rejections in any second.

        Returns:
            The number of rejections.
        """
        times = self.rejection_times
        return max(
            (
                sum(first <= time < first + COUNT_SECONDS for time in times)
                for first in times
            ),
            default=0,
        )

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        self._socks.add(sock)
        # Otherwise the body of an answer waits until its head is acknowledged.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            super()._handle(sock, address)
        except OSError:
            # The connection broke, or the engine fell.
            sock.close()
        finally:
            self._socks.discard(sock)

    def _answer(
        self,
        sock: gevent_socket.socket,
        request: message.Request,
        script: scripted_engine.Script,
    ) -> bool:
        said = f'Server-Brittle: {self.tolerated}'
        if self.running >= self.room:
            self._reject()
            script = scripted_engine.Script(
                _UNAVAILABLE, headers=(_NOT_RUN, said)
            )
            return super()._answer(sock, request, script)
        born = self.born
        self._count(self.running + 1)
        gevent.sleep(self._run_seconds)
        if born != self.born:
            return False
        script = scripted_engine.Script(headers=(said,))
        goes_on = super()._answer(sock, request, script)
        self._count(self.running - 1)
        return goes_on

    def _count(self, running: int) -> None:
        now = clock.read_monotonic()
        self.busy_seconds += self.running * (now - self._counted_at)
        self._counted_at = now
        self.running = running

    def _reject(self) -> None:
        now = clock.read_monotonic()
        if now < self._started:
            # The request came just before the fall.
            return
        self.rejection_times.append(now)
        start = max(self._started, now - COUNT_SECONDS)
        recent = [time for time in self.rejection_times if time > start]
        if len(recent) > self.tolerated:
            self._fall()

    def _fall(self) -> None:
        self.falls += 1
        self.born += 1
        self._started = clock.read_monotonic() + FALL_SECONDS
        self._count(0)
        self._server.stop()
        for sock in self._socks:
            sock.shutdown(socket.SHUT_RDWR)
        self._socks.clear()
        gevent.spawn_later(FALL_SECONDS, self._start_again)

    def _start_again(self) -> None:
        port = int(self.address.rpartition(':')[2])
        self._server = gevent_server.StreamServer(
            (_LISTEN_ADDRESS, port), self._handle
        )
        self._server.start()
        if self._announce:
            self._announce(self)
