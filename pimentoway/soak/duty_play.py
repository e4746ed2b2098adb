"""A soak test of the duties: processes, the store and the API with faults.

The processes are killed, stopped and continued; the store is cut off, answers
late or is restored from a copy; the API is slow, silent or away. The four rules
of docs/design/overview.md are checked on the calls that reach the API.
"""

import collections
import dataclasses
import itertools
import os
import pathlib
import random
import signal
import sys
import tempfile

import gevent
from gevent import subprocess as gevent_subprocess

from pimentoway.core import clock, codec, duty
from pimentoway.platform import duty_standin, memory_store
from pimentoway.soak import duty_node, proxy

#: The number of processes.
NODES = 3

#: A short lease and short windows let a short soak see many tenures.
LEASE_SECONDS = 0.8
WINDOW_SECONDS = 0.5

#: By how much a node's estimate of true time is off at most, in seconds.
MAX_SKEW_SECONDS = 0.4

#: The range of the pauses between two faults, and of their durations.
PAUSE_SECONDS = (0.1, 1.0)
FAULT_SECONDS = (0.2, 3.5)

#: How much more often faults concern the holder than another process.
HOLDER_WEIGHT = 6

#: The age of the copy from which the store is restored, at most.
MAX_COPY_SECONDS = 5.0

#: Seconds within which a call must arrive after all faults have ended: the
#: term, the guard, a start of a process, and room for a busy machine.
RECOVERY_SECONDS = 10.0

#: Seconds between two looks for calls.
POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Report:
    """The outcome of a soak.

    Attributes:
        seed: The seed of the faults.
        faults: The faults, by kind.
        calls: The number of calls that reached the API.
        tenures: The number of tokens of these.
        windows: The number of windows that were reported.
        violations: The violated rules, a sentence each.
    """

    seed: int
    faults: collections.Counter[str]
    calls: int
    tenures: int
    windows: int
    violations: list[str]


class Member:
    """A node that runs as a process.

    Attributes:
        name: The name of the node.
        store_path: The proxy between it and the store.
    """

    def __init__(
        self, name: str, stage: 'Stage', skew: float, folder: pathlib.Path
    ) -> None:
        """Start the process.

        Args:
            name: The name of the node.
            stage: The store and the API.
            skew: By how much its estimate of true time is off, in seconds.
            folder: Where its output is kept.
        """
        self.name = name
        self.store_path = proxy.Proxy(stage.store.address)
        self._settings = duty_node.NodeSettings(
            name=name,
            boot='',
            store=self.store_path.address,
            api=stage.api.address,
            lease_seconds=LEASE_SECONDS,
            window_seconds=WINDOW_SECONDS,
            skew=skew,
        )
        self._folder = folder
        self._numbers = itertools.count(1)
        self._process: gevent_subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Start another run."""
        settings = dataclasses.replace(
            self._settings,
            boot=f'{self._settings.name}-{next(self._numbers)}',
        )
        name = settings.name
        with (
            (self._folder / f'{name}.log').open('ab') as log_file,
            (self._folder / f'{name}.err').open('ab') as error_file,
        ):
            self._process = gevent_subprocess.Popen(
                [sys.executable, '-m', duty_node.__name__],
                env={
                    **os.environ,
                    duty_node.SETTINGS_VARIABLE: codec.encode_json(
                        settings
                    ).decode(),
                },
                stdout=log_file,
                stderr=error_file,
            )

    def end(self, number: signal.Signals) -> None:
        """End the process by a signal, and wait.

        Args:
            number: SIGKILL, or SIGTERM to let it release the lease.
        """
        self._process.send_signal(number)
        try:
            self._process.wait(2 * duty_node.STOP_SECONDS)
        except gevent_subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()

    def stop(self, seconds: float) -> None:
        """Stop the process for some time.

        Args:
            seconds: For how long.
        """
        process = self._process
        process.send_signal(signal.SIGSTOP)
        gevent.sleep(seconds)
        process.send_signal(signal.SIGCONT)

    def read_errors(self) -> str:
        """Read what it wrote to standard error.

        Returns:
            The text.
        """
        return (self._folder / f'{self._settings.name}.err').read_text()


class Stage:
    """The store, the API and the processes.

    Attributes:
        store: The store.
        api: The API.
        members: The processes.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        """Start everything.

        Args:
            seed: The seed of the faults.
            folder: Where the output of the processes is kept.
        """
        self.store = memory_store.MemoryStore()
        self.api = duty_standin.DutyStandin()
        self._random = random.Random(seed)
        self.members = [
            Member(
                f'n{number}',
                self,
                self._random.uniform(-MAX_SKEW_SECONDS, MAX_SKEW_SECONDS),
                folder,
            )
            for number in range(NODES)
        ]

    def choose_holder(self) -> Member:
        """Choose the process that made the latest call, or any.

        Returns:
            The process.
        """
        latest = [call.holder for call in self.api.calls[-1:]]
        weights = [
            HOLDER_WEIGHT if member.name in latest else 1
            for member in self.members
        ]
        return self._random.choices(self.members, weights)[0]

    def inject(self, kind: str, seconds: float) -> None:
        """Inject a fault and remove it again.

        Args:
            kind: One of ``FAULTS``.
            seconds: For how long.
        """
        member = self.choose_holder()
        if kind in {'kill', 'terminate'}:
            number = signal.SIGKILL if kind == 'kill' else signal.SIGTERM
            member.end(number)
            gevent.sleep(seconds / 4)
            member.start()
        elif kind == 'stop':
            member.stop(seconds)
        elif kind in STORE_FAULTS:
            setattr(member.store_path, kind, True)
            member.store_path.reset()
            gevent.sleep(seconds)
            member.store_path.restore()
        elif kind == 'restore':
            age = self._random.uniform(0, MAX_COPY_SECONDS)
            self.store.restore(self.store.find_revision(age))
        else:
            self._disturb_api(kind, seconds)

    def end(self) -> None:
        """End all processes."""
        for member in self.members:
            member.end(signal.SIGKILL)

    def _disturb_api(self, kind: str, seconds: float) -> None:
        if kind == 'api_away':
            self.api.go_away()
            gevent.sleep(seconds)
            self.api.come_back()
            return
        self.api.is_silent = kind == 'api_silent'
        self.api.delay_seconds = 0 if self.api.is_silent else seconds / 4
        gevent.sleep(seconds)
        self.api.is_silent = False
        self.api.delay_seconds = 0


#: The faults between a process and the store: attributes of the proxy.
STORE_FAULTS = ('refuses_connections', 'holds_requests', 'holds_answers')

#: All faults; processes are ended and stopped most.
FAULTS = (
    'kill',
    'stop',
    'stop',
    'stop',
    'terminate',
    'terminate',
    *STORE_FAULTS,
    'restore',
    'api_away',
    'api_silent',
    'api_slow',
)


def run_soak(seed: int, seconds: float, folder: pathlib.Path) -> Report:
    """Run a soak.

    Args:
        seed: The seed of the faults.
        seconds: For how long faults begin.
        folder: Where the output of the processes is kept.

    Returns:
        The outcome.
    """
    stage = Stage(seed, folder)
    chance = random.Random(seed + 1)
    faults: collections.Counter[str] = collections.Counter()
    try:
        is_alive = _wait_for_call(stage)
        end = clock.read_boot() + seconds
        while clock.read_boot() < end:
            kind = chance.choice(FAULTS)
            faults[kind] += 1
            stage.inject(kind, chance.uniform(*FAULT_SECONDS))
            gevent.sleep(chance.uniform(*PAUSE_SECONDS))
        is_alive = _wait_for_call(stage) and is_alive
    finally:
        stage.end()
    return _make_report(seed, faults, stage, is_alive)


def run(seeds: list[int], seconds: float) -> int:
    """Run several soaks and print their outcomes.

    Args:
        seeds: The seeds.
        seconds: As in ``run_soak``.

    Returns:
        The exit status: 1 if any rule was violated.
    """
    status = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'duty-soak-{seed}-'))
        report = run_soak(seed, seconds, folder)
        sys.stdout.write(f'{report} {folder}\n')
        sys.stdout.flush()
        status = status or int(bool(report.violations))
    return status


def _wait_for_call(stage: Stage) -> bool:
    seen = len(stage.api.calls)
    end = clock.read_boot() + RECOVERY_SECONDS
    while len(stage.api.calls) == seen and clock.read_boot() < end:
        gevent.sleep(POLL_SECONDS)
    return len(stage.api.calls) > seen


def _make_report(
    seed: int,
    faults: collections.Counter[str],
    stage: Stage,
    is_alive: bool,
) -> Report:
    calls = stage.api.calls
    violations = stage.api.list_violations(LEASE_SECONDS)
    if not is_alive:
        violations.append('no call after all faults had ended')
    for member in stage.members:
        errors = member.read_errors()
        if errors:
            violations.append(
                f'{member.name} wrote to standard error: {errors}'
            )
    return Report(
        seed=seed,
        faults=faults,
        calls=len(calls),
        tenures=len({call.token for call in calls}),
        windows=len(
            {
                call.content
                for call in calls
                if isinstance(call.content, duty.UsageReport)
            }
        ),
        violations=violations,
    )
