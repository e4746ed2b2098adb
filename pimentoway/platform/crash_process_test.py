"""Tests of prompt parts that crash back ends, over real sockets."""

import itertools

import gevent
import pytest
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.core import clock, deployment, error, message, registry
from pimentoway.platform import edge_process_test, scripted_engine

#: The part that crashes each engine that begins to answer a prompt with it.
BAD_PART = 'bad0'

#: The engines, and seconds for which each is away after a crash.
ENGINES = 10
DOWN_SECONDS = 0.4

#: Seconds between two requests with the part, and between two sound ones.
BAD_PAUSE_SECONDS = 0.35
SOUND_PAUSE_SECONDS = 0.04

#: Seconds of sound requests alone, then with the part among them, and of the
#: latter how many are left out before sound requests are counted again.
CALM_SECONDS = 3
CRASHING_SECONDS = 10
SETTLE_SECONDS = 8

#: Seconds after the fifth crash within which the part must be known, and the
#: requests with it that may reach engines later.
DETECTION_SECONDS = 3
MAX_LATE_REQUESTS = 3

PREFIX_HASH = b'pimentoway-prefix-hash'

ROUTES = (
    edge_process_test.make_route(
        'stream', kind=deployment.RouteKind.stream, attempts=1
    ),
    edge_process_test.make_route(
        'resumable',
        kind=deployment.RouteKind.stream,
        resumable=True,
        attempts=3,
    ),
)


class CrashingEngine(scripted_engine.ScriptedEngine):
    """An engine that crashes when it begins to answer a certain prompt.

    Attributes:
        crashes: The monotonic times of its crashes.
    """

    def __init__(self, name: str) -> None:
        """Start listening on a free port of localhost.

        Args:
            name: The name of the engine.
        """
        super().__init__(
            name,
            scripted_engine.Script(
                body=edge_process_test.EVENTS, chunked=True, pause=0.03
            ),
        )
        self.crashes: list[float] = []
        self._open_sockets: set[gevent_socket.socket] = set()

    def _handle(self, sock: gevent_socket.socket, address: tuple) -> None:
        self._open_sockets.add(sock)
        try:
            super()._handle(sock, address)
        except OSError:
            # The engine has crashed, or the node closed the connection.
            sock.close()
        finally:
            self._open_sockets.discard(sock)

    def _answer(
        self,
        sock: gevent_socket.socket,
        request: message.Request,
        script: scripted_engine.Script,
    ) -> bool:
        prefix = b''.join(request.list_header_values(PREFIX_HASH))
        if BAD_PART.encode() not in prefix:
            return super()._answer(sock, request, script)
        gevent.sleep(script.pause)
        sock.sendall(self._make_head(request, script))
        self._crash()
        return False

    def _crash(self) -> None:
        self.crashes.append(clock.read_monotonic())
        self._server.stop_accepting()
        port = self._server.server_port
        self._server.close()
        for sock in tuple(self._open_sockets):
            sock.close()
        gevent.spawn_later(DOWN_SECONDS, self._restart, port)

    def _restart(self, port: int) -> None:
        self._server = gevent_server.StreamServer(
            ('127.0.0.1', port), self._handle
        )
        self._server.start()


class Traffic:
    """Sound requests, and ones with the part, on one route of a node.

    Attributes:
        statuses: Of each sound request, the time at which it was sent and
            whether it got a whole answer.
        sent_bad: The numbers of the requests with the part.
    """

    def __init__(
        self, harness: edge_process_test.NodeHarness, path: str, place: int
    ) -> None:
        """Send nothing yet.

        Args:
            harness: The node.
            path: The path of all requests.
            place: The position of the part in the prompt, 0 or 1.
        """
        self.statuses: list[tuple[float, bool]] = []
        self.sent_bad = 0
        self._harness = harness
        self._path = path
        self._place = place
        self._numbers = itertools.count()

    def send_sound(self, seconds: float) -> None:
        """Send sound requests, whose first parts are shared by a few.

        Args:
            seconds: For how long.
        """
        end = clock.read_monotonic() + seconds
        while clock.read_monotonic() < end:
            number = next(self._numbers)
            gevent.spawn(
                self._send, [f'f{number % 5}', f'a{number % 30}'], number, True
            )
            gevent.sleep(SOUND_PAUSE_SECONDS)

    def send_bad(self, seconds: float) -> None:
        """Send requests with the part, no two alike.

        Args:
            seconds: For how long.
        """
        end = clock.read_monotonic() + seconds
        while clock.read_monotonic() < end:
            number = next(self._numbers)
            parts = [f'f{number % 5}', f'a{number % 30}']
            parts[self._place] = BAD_PART
            self.sent_bad += 1
            gevent.spawn(self._send, parts, number, False)
            gevent.sleep(BAD_PAUSE_SECONDS)

    def measure_answered(self, start: float, end: float) -> float:
        """Measure the part of the sound requests that were answered.

        Args:
            start: The monotonic time of the first request that counts.
            end: The monotonic time before which they were sent.

        Returns:
            The fraction.
        """
        answered = [
            whole for sent, whole in self.statuses if start <= sent < end
        ]
        return sum(answered) / len(answered)

    def _send(self, parts: list[str], number: int, sound: bool) -> None:
        sent = clock.read_monotonic()
        entries = ','.join(f'{part}:20' for part in (*parts, f'e{number}'))
        status, _, body = self._harness.call(
            self._path,
            body=b'%d' % number,
            extra=f'Connection: close\r\nPimentoway-Prefix-Hash: {entries}\r\n',
        )
        if sound:
            whole = status == 200 and body.endswith(b'0\r\n\r\n')
            self.statuses.append((sent, whole))


# A part of prompts that crashes engines must be kept from them, as no two of
# its requests are alike.
@pytest.mark.parametrize('path', ['/stream/x', '/resumable/x'])
@pytest.mark.parametrize('place', [0, 1])
def test_crashing_part_is_kept_from_engines(path: str, place: int) -> None:
    """Its requests stop reaching engines, and sound ones are served again."""
    engines = [CrashingEngine(f'e{number}') for number in range(ENGINES)]
    harness = edge_process_test.NodeHarness(*engines)
    harness.configure(2, ROUTES)
    traffic = Traffic(harness, path, place)
    start = clock.read_monotonic()
    sound = gevent.spawn(traffic.send_sound, CALM_SECONDS + CRASHING_SECONDS)
    gevent.sleep(CALM_SECONDS)
    bad = gevent.spawn(traffic.send_bad, CRASHING_SECONDS)
    gevent.joinall([sound, bad], raise_error=True)
    gevent.sleep(1)
    assert count_late(engines) <= MAX_LATE_REQUESTS
    before = traffic.measure_answered(start, start + CALM_SECONDS - 1)
    after = traffic.measure_answered(
        start + CALM_SECONDS + SETTLE_SECONDS, clock.read_monotonic()
    )
    assert after >= before / 2
    assert after > 0.9


def count_late(engines: list[CrashingEngine]) -> int:
    """Count the crashes after which the part should have been known.

    Args:
        engines: The engines.

    Returns:
        Those later than ``DETECTION_SECONDS`` after the fifth.
    """
    crashes = sorted(time for engine in engines for time in engine.crashes)
    return sum(time > crashes[4] + DETECTION_SECONDS for time in crashes[5:])


class RecordingRegistry(edge_process_test.FakeRegistry):
    """A registry that fails at first and records the blocks of parts.

    Attributes:
        failures: How many further writes fail.
        blocks: The blocks that were put.
        removed: The names of those that were removed.
    """

    def __init__(self) -> None:
        """Fail two writes."""
        self.failures = 2
        self.blocks: list[deployment.PartBlock] = []
        self.removed: list[str] = []

    def put_part_block(self, block: deployment.PartBlock) -> None:
        """Record a block.

        Args:
            block: The block.

        Raises:
            PlatformUnavailableError: While ``failures`` is not 0.
        """
        if self.failures:
            self.failures -= 1
            raise error.PlatformUnavailableError('no store', 'put')
        self.blocks.append(block)

    def remove_part_block(self, block: deployment.PartBlock) -> None:
        """Record the removal of a block.

        Args:
            block: The block.
        """
        self.removed.append(block.name)


def store_block() -> deployment.PartBlock:
    """Let a part crash back ends until its block is stored.

    Returns:
        The block.
    """
    engines = [CrashingEngine(f'e{number}') for number in range(5)]
    harness = edge_process_test.NodeHarness(*engines)
    harness.configure(2, ROUTES)
    store = RecordingRegistry()
    harness.node._rewriter._source = store
    Traffic(harness, '/stream/x', 0).send_bad(2)
    gevent.sleep(2)
    return store.blocks[0]


def test_block_outlasts_the_broker_that_set_it() -> None:
    """It is stored although writes fail at first, and in force elsewhere."""
    block = store_block()
    assert block.service == 's'
    other_engine = CrashingEngine('e9')
    other = edge_process_test.NodeHarness(other_engine)
    other.configure(2, ROUTES)
    other.change_record(registry.Kind.part_blocks, block.name, block)
    extra = f'Connection: close\r\nPimentoway-Prefix-Hash: {BAD_PART}:2,x:1\r\n'
    status, headers, _ = other.call('/stream/x', extra=extra)
    assert status == 503
    assert float(headers['Retry-After']) > 500
    assert not other_engine.requests
    other.change_record(registry.Kind.part_blocks, block.name, None)
    other.call('/stream/x', extra=extra)
    assert len(other_engine.crashes) == 1
