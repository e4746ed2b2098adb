"""The nodes of a soak test, each run and disturbed as a process."""

import collections
import contextlib
import dataclasses
import json
import math
import os
import pathlib
import signal
import sys

import gevent
from gevent import socket as gevent_socket
from gevent import subprocess as gevent_subprocess

from pimentoway.core import clock
from pimentoway.platform import setting, soak_fixture, wire
from pimentoway.soak import mapped_node

#: The shutdown grace in the settings of a node, in seconds.
GRACE_SECONDS = 4

#: The timeout of one readiness check, in seconds.
READY_TIMEOUT_SECONDS = 0.5

#: Seconds between checks whether a stopping process has ended.
POLL_SECONDS = 0.05

#: How many of the last characters of standard error a violation quotes.
MAX_ERROR_CHARACTERS = 400

#: Seconds until the interpreter runs the first line of a node, on a busy
#: host. A SIGHUP that arrives earlier ends any Python process.
INTERPRETER_SECONDS = 0.3

#: Seconds by which a shutdown may exceed the grace, because all processes of a
#: soak share one host.
STOP_SLACK_SECONDS = 1.5


@dataclasses.dataclass
class Disturbance:
    """A period in which a node can't serve, because a fault was injected.

    Attributes:
        start: When it began, in seconds of the monotonic clock.
        end: When it ended; infinite while it lasts.
    """

    start: float
    end: float = math.inf


class Node:
    """A node that runs as a process.

    Attributes:
        settings: Its settings.
        proxies_by_address: The addresses of the proxies to which its
            connections to other addresses go; read at each start.
        down_count: The number of active faults that keep it stopped.
        disturbances: When it was killed, paused or shut down.
        violations: Misbehaviour that no fault explains, a sentence each.
    """

    def __init__(
        self, settings: soak_fixture.SettingsFile, folder: pathlib.Path
    ) -> None:
        """Write the settings file; the process isn't started.

        Args:
            settings: The settings.
            folder: Where the settings and the logs are kept.
        """
        self.settings = settings
        self.proxies_by_address: dict[str, str] = {}
        self.down_count = 0
        self.disturbances: list[Disturbance] = []
        self.violations: list[str] = []
        self._folder = folder
        self._path = folder / f'{settings.name}.toml'
        self._path.write_text(settings.render_toml('first'))
        self._process: gevent_subprocess.Popen | None = None
        self._started: float = 0

    def start(self) -> None:
        """Start the process unless it runs or a fault keeps it down."""
        if self.down_count or self.is_running():
            return
        self._record_exit()
        self._started = clock.read_monotonic()
        name = self.settings.name
        with (
            (self._folder / f'{name}.log').open('ab') as log_file,
            (self._folder / f'{name}.err').open('ab') as error_file,
        ):
            self._process = gevent_subprocess.Popen(
                [sys.executable, '-m', mapped_node.__name__, 'edge'],
                env={
                    **os.environ,
                    setting.PATH_VARIABLE: str(self._path),
                    mapped_node.ADDRESSES_VARIABLE: json.dumps(
                        self.proxies_by_address
                    ),
                },
                stdout=log_file,
                stderr=error_file,
            )

    def is_running(self) -> bool:
        """Check whether the process runs.

        Returns:
            Whether it was started and has not exited; true while paused.
        """
        return self._process is not None and self._process.poll() is None

    def is_ready(self) -> bool:
        """Send the readiness check of a load balancer.

        Returns:
            Whether the node answered 200; false if it can't be reached.
        """
        request = f'GET {wire.READY_PATH} HTTP/1.0\r\n\r\n'.encode()
        try:
            sock = gevent_socket.create_connection(
                self.settings.readiness_address, READY_TIMEOUT_SECONDS
            )
        except OSError:
            return False
        with sock:
            try:
                sock.sendall(request)
                return b' 200 ' in sock.recv(100)
            except OSError:
                return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs.

        Args:
            number: The signal.
        """
        if self.is_running():
            self._process.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL and wait for the exit; no violation is recorded."""
        self.send_signal(signal.SIGKILL)
        if self._process:
            self._process.wait()
            self._process = None

    def pause(self, seconds: float) -> None:
        """Pause the process by SIGSTOP and record the disturbance.

        Args:
            seconds: The duration of the pause.
        """
        with self.record_disturbance():
            self.send_signal(signal.SIGSTOP)
            gevent.sleep(seconds)
            self.send_signal(signal.SIGCONT)

    def stop(self) -> None:
        """Send SIGTERM and wait; kill a process that exceeds its grace.

        Exceeding it is a violation unless the node was disturbed meanwhile.
        """
        start = clock.read_monotonic()
        self.send_signal(signal.SIGTERM)
        end = start + GRACE_SECONDS + STOP_SLACK_SECONDS
        while self.is_running() and clock.read_monotonic() < end:
            gevent.sleep(POLL_SECONDS)
        if self.is_running() and not self.was_disturbed(start, end):
            self.violations.append('did not stop within its grace')
        # Callers lose their open connections now, which is no violation.
        with self.record_disturbance():
            self.kill()

    def reload(self, note: str) -> None:
        """Rewrite the settings file and send SIGHUP.

        During the start of the interpreter the signal isn't sent.

        Args:
            note: A text that makes the file differ from the earlier one.
        """
        self._path.write_text(self.settings.render_toml(note))
        age = clock.read_monotonic() - self._started
        if age > INTERPRETER_SECONDS:
            self.send_signal(signal.SIGHUP)

    @contextlib.contextmanager
    def record_disturbance(self) -> collections.abc.Generator[None]:
        """Record a disturbance that lasts as long as the context.

        Yields:
            Nothing.
        """
        disturbance = Disturbance(clock.read_monotonic())
        self.disturbances.append(disturbance)
        yield
        disturbance.end = clock.read_monotonic()

    def was_disturbed(self, start: float, end: float) -> bool:
        """Check whether the node was disturbed during a period.

        Args:
            start: When the period begins, in seconds of the monotonic clock.
            end: When it ends.

        Returns:
            Whether a disturbance overlaps the period.
        """
        return any(
            disturbance.start < end and start < disturbance.end
            for disturbance in self.disturbances
        )

    def list_violations(self) -> list[str]:
        """List misbehaviour that no fault explains.

        Returns:
            A sentence for each: an exit by itself, a shutdown that was too
            slow, or output to standard error.
        """
        self._record_exit()
        error_text = (self._folder / f'{self.settings.name}.err').read_text()
        violations = list(self.violations)
        if error_text.strip():
            violations.append(
                f'wrote to standard error: {error_text[-MAX_ERROR_CHARACTERS:]}'
            )
        return [f'{self.settings.name} {violation}' for violation in violations]

    def _record_exit(self) -> None:
        if self._process is None or self._process.poll() is None:
            return
        status = self._process.returncode
        self.violations.append(f'ended by itself with status {status}')
        self._process = None


def list_ready(nodes: collections.abc.Iterable[Node]) -> list[Node]:
    """Check the readiness of nodes concurrently.

    Args:
        nodes: The nodes.

    Returns:
        The ready ones.
    """
    checks = [(node, gevent.spawn(node.is_ready)) for node in nodes]
    return [node for node, check in checks if check.get()]
