"""A node as a process with little memory, and a crowd of its clients."""

import collections
import contextlib
import dataclasses
import itertools
import os
import pathlib
import re
import signal
import sys
import tempfile
import types

import gevent
from gevent import pool as gevent_pool
from gevent import socket as gevent_socket
from gevent import subprocess as gevent_subprocess

from pimentoway.core import deployment
from pimentoway.platform import (
    memory_store,
    scripted_engine,
    setting,
    soak_fixture,
    wire,
)
from pimentoway.standin import port

#: The memory limit of the node. A node has 42 MB at rest; one with a limit of
#: 128 MB has 86 MB for 400 clients, which is 26 MB for 120.
MEMORY_MB = 68

#: The limit of open descriptors of the node.
MAX_DESCRIPTORS = 1000

#: The largest body, and the other limits in the configuration.
BODY_BYTES = 900_000
LIMITS = types.MappingProxyType(
    {
        'MaxHeaderBytes': 16_384,
        'HeaderTimeoutMs': 3000,
        'IdleTimeoutMs': 4000,
    }
)

#: The ports of a node: for callers, readiness, other nodes, internal use (the
#: second one for metrics, the third one for relayed requests).
PORT_COUNT = 10
FRONT = 0
READY = 1
PEERS = 2
METRICS = 4
RELAY = 5

#: How often an ordinary request is sent until it is answered, and the pause
#: between two tries, in seconds. The crowd's connections run into the timeouts
#: of the configuration meanwhile.
TRIES = 100
PAUSE_SECONDS = 0.2

#: Stands for an attempt id, of which each client has its own.
ATTEMPT_ID = b'crowd-id'

#: Seconds after which a client of the crowd gives up sending.
SEND_SECONDS = 10

#: Seconds between two looks at the descriptors of the process.
SAMPLE_SECONDS = 0.02

_KILOBYTES_PER_MB = 1024
_OK = 200

_CALL_NUMBERS = itertools.count(1)


@dataclasses.dataclass(frozen=True)
class Shape:
    """What each client of a crowd sends.

    Attributes:
        clients: The number of clients.
        start: The parts of what each sends first.
        block: What it sends again and again then.
        repeats: How often, unless the node closes the connection.
        port: The port, as an offset to the first one of the node.
    """

    clients: int
    start: tuple[bytes, ...] = ()
    block: bytes = b''
    repeats: int = 0
    port: int = FRONT


class LimitedNode:
    """A node that runs as a process with a low memory limit.

    Attributes:
        engine: The only engine.
        store: The stand-in of the store.
        most_descriptors: The most open descriptors seen so far.
    """

    def __init__(
        self,
        *scripts: scripted_engine.Script,
        memory_mb: int = MEMORY_MB,
        descriptors: int = MAX_DESCRIPTORS,
        body_bytes: int = BODY_BYTES,
    ) -> None:
        """Start the process.

        Args:
            *scripts: The answers of the engine.
            memory_mb: The memory limit in its settings.
            descriptors: The limit of open descriptors in its settings.
            body_bytes: The largest body in the configuration.
        """
        self.engine = scripted_engine.ScriptedEngine('e0', *scripts)
        self.store = memory_store.MemoryStore()
        self.most_descriptors = 0
        self._memory_mb = memory_mb
        self._descriptors = descriptors
        self._first_port = port.find_ports(PORT_COUNT)
        self._put_records(body_bytes)
        self._folder = tempfile.TemporaryDirectory()
        self._process = self._start()
        self._sampler = gevent.spawn(self._sample)

    def connect(
        self, offset: int = FRONT, receive_bytes: int = 0
    ) -> gevent_socket.socket:
        """Open a connection to the node.

        Args:
            offset: The port, as an offset to the first one.
            receive_bytes: The size of the receive buffer; 0 for the default.

        Returns:
            The connection.
        """
        sock = gevent_socket.socket()
        if receive_bytes:
            sock.setsockopt(
                gevent_socket.SOL_SOCKET,
                gevent_socket.SO_RCVBUF,
                receive_bytes,
            )
        sock.settimeout(SEND_SECONDS)
        sock.connect(('127.0.0.1', self._first_port + offset))
        return sock

    def call(self, request: bytes, offset: int = FRONT) -> int:
        """Send one request until it is answered with 200.

        Args:
            request: The request.
            offset: The port, as an offset to the first one.

        Returns:
            The status of the last answer; 0 if none came.
        """
        status = 0
        for _ in range(TRIES):
            status = self._call_once(request, offset)
            if status == _OK:
                break
            gevent.sleep(PAUSE_SECONDS)
        return status

    def check_serves(self) -> None:
        """Check that ordinary callers and the load balancer get answers."""
        request = soak_fixture.write_request(
            'unsafe', f'o{next(_CALL_NUMBERS)}'
        )
        assert self.call(request) == _OK
        ready = f'GET {wire.READY_PATH} HTTP/1.1\r\nHost: h\r\n\r\n'
        assert self.call(ready.encode(), READY) == _OK

    def check_limits(self) -> None:
        """Check that the process lives and has stayed within its limits."""
        assert self._process.poll() is None
        peak = self._read_peak_mb()
        assert peak <= self._memory_mb, f'{peak:.1f} MB'
        assert self.most_descriptors <= self._descriptors

    def stop(self) -> None:
        """End the process and what it talks to."""
        self._sampler.kill()
        self._process.send_signal(signal.SIGKILL)
        self._process.wait()
        self.engine.stop()
        self._folder.cleanup()

    def _put_records(self, body_bytes: int) -> None:
        limits = types.MappingProxyType({**LIMITS, 'MaxBodyBytes': body_bytes})
        soak_fixture.put_configuration(self.store, 1, 0, limits)
        record = deployment.Engine(
            self.engine.name,
            soak_fixture.SERVICE,
            self.engine.address,
            'a',
            'v1',
            soak_fixture.SLOTS,
            False,
            0,
            1,
        )
        soak_fixture.put_engine(self.store, record)

    def _start(self) -> gevent_subprocess.Popen:
        settings_file = soak_fixture.SettingsFile(
            'n0', 'a', '127.0.0.1', self._first_port, self.store.address, (), 4
        )
        text, count = re.subn(
            'MaxFds = .*',
            f'MaxFds = {self._descriptors}\nMemoryMb = {self._memory_mb}',
            settings_file.render_toml('input limits'),
        )
        assert count == 1
        path = pathlib.Path(self._folder.name) / 'settings.toml'
        path.write_text(text)
        process = gevent_subprocess.Popen(
            [sys.executable, '-m', 'pimentoway', 'edge'],
            env={**os.environ, setting.PATH_VARIABLE: str(path)},
            stdout=gevent_subprocess.DEVNULL,
        )
        self._process = process
        return process

    def _call_once(self, request: bytes, offset: int) -> int:
        try:
            with self.connect(offset) as sock:
                sock.sendall(request)
                received = sock.recv(100)
        except OSError:
            return 0
        found = re.match(rb'HTTP/1\.1 (\d+)', received)
        return int(found[1]) if found else 0

    def _sample(self) -> None:
        folder = f'/proc/{self._process.pid}/fd'
        while True:
            # The process may have ended.
            with contextlib.suppress(OSError):
                count = len(os.listdir(folder))
                self.most_descriptors = max(self.most_descriptors, count)
            gevent.sleep(SAMPLE_SECONDS)

    def _read_peak_mb(self) -> float:
        status = pathlib.Path(f'/proc/{self._process.pid}/status').read_text()
        return int(re.search(r'VmHWM:\s+(\d+)', status)[1]) / _KILOBYTES_PER_MB


@contextlib.contextmanager
def run_node(
    *scripts: scripted_engine.Script, **limits: int
) -> collections.abc.Generator[LimitedNode, None, None]:
    """Run a node until the end of the context.

    Args:
        *scripts: The answers of the engine.
        **limits: As for ``LimitedNode``.

    Yields:
        The node, which is ready.
    """
    node = LimitedNode(*scripts, **limits)
    try:
        ready = f'GET {wire.READY_PATH} HTTP/1.1\r\nHost: h\r\n\r\n'
        assert node.call(ready.encode(), READY) == _OK
        yield node
    finally:
        node.stop()


def press(node: LimitedNode, *shapes: Shape) -> None:
    """Let a crowd send, and check the node while it stays and afterwards.

    Args:
        node: The node.
        *shapes: What the clients send; they read nothing.
    """
    with contextlib.ExitStack() as stack:
        crowd = gevent_pool.Group()
        for shape in shapes:
            for _ in range(shape.clients):
                crowd.spawn(_send, node, shape, stack)
        crowd.join()
        node.check_serves()
    node.check_serves()
    node.check_limits()


def _send(node: LimitedNode, shape: Shape, stack: contextlib.ExitStack) -> None:
    # The node may refuse the connection or close it.
    with contextlib.suppress(OSError):
        sock = stack.enter_context(node.connect(shape.port, 1))
        name = b'c%07d' % next(_CALL_NUMBERS)
        sock.sendall(b''.join(shape.start).replace(ATTEMPT_ID, name))
        block = shape.block.replace(ATTEMPT_ID, name)
        for _ in range(shape.repeats):
            sock.sendall(block)
