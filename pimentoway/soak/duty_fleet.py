"""A soak test of the duties with whole nodes, engines and callers.

Nodes are killed, paused, stopped and cut off from the store and from each
other. The API checks the order of holders and tokens and that no window has
two counts; the counts are compared with what the engines began, and the time
without a holder after a kill with the arithmetic in docs/PROOFS.md.
"""

import dataclasses
import pathlib
import random
import sys
import tempfile

import gevent

from pimentoway.core import clock
from pimentoway.duties import lease, truetime
from pimentoway.platform import store
from pimentoway.soak import (
    caller,
    duty_lease_watch,
    duty_stage,
    duty_usage,
    fleet,
)

#: The number of callers. A window has some hundred requests of a customer.
CALLERS = 20

#: Seconds within which all nodes must be ready after their start.
START_SECONDS = 15.0

#: Seconds between two readiness checks of all nodes.
READY_POLL_SECONDS = 0.25

#: The range of the pauses between two faults, and of their durations. Most
#: pauses are shorter than the time without a holder after a kill.
PAUSE_SECONDS = (2.0, 9.0)
FAULT_SECONDS = (0.3, 5.0)

#: How much more often faults concern the holder than another node.
HOLDER_WEIGHT = 4

#: For how long after its end a fault may still have consequences: the time
#: without a holder that follows if a fault ends with a restart.
RECOVERY_SECONDS = 12.0

#: The longest time from the death of a leader until another node leads and
#: sees the lease: a silent link is noticed after 0.45 s, all nodes come to
#: another broker within about 2 s, and a node asks for the lease when it has
#: led for 1 s. The rest is room for a busy machine.
TAKEOVER_SECONDS = 6.0

#: All faults. ``cut_off`` cuts from the store and from other nodes.
FAULTS = (
    'kill',
    'kill',
    'pause',
    'pause',
    'terminate',
    'cut_store',
    'cut_links',
    'cut_off',
)

#: The faults that hold or refuse connections, and which paths they concern.
_IS_STORE_CUT = frozenset(('cut_store', 'cut_off'))
_IS_LINK_CUT = frozenset(('cut_links', 'cut_off'))


@dataclasses.dataclass(frozen=True)
class Report:
    """The outcome of a soak.

    Attributes:
        seed: The seed of the faults.
        disturbances: The faults.
        tenures: The number of tenures.
        orders: The number of orders of engines.
        vacancies: The times without a holder after a kill.
        windows: What came of each window.
        right: The fraction of the windows that are right and on time.
        violations: The violated promises, a sentence each.
    """

    seed: int
    disturbances: list[duty_usage.Disturbance]
    tenures: int
    orders: int
    vacancies: list[duty_lease_watch.Vacancy]
    windows: list[duty_usage.WindowOutcome]
    right: float
    violations: list[str]


class Play:
    """One soak.

    Attributes:
        testbed: The system.
        watch: Knows the holder.
        disturbances: The faults so far.
    """

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        """Start everything.

        Args:
            seed: The seed of faults and traffic.
            folder: Where settings and logs of nodes are kept.
        """
        self._random = random.Random(seed)
        true_clock = truetime.TrueClock()
        # The clocks of this process differ by constants while it runs, unless
        # the wall clock steps.
        self.true_offset = true_clock.read() - clock.read_boot()
        self._monotonic_offset = true_clock.read() - clock.read_monotonic()
        self.testbed = duty_stage.Testbed(folder)
        self.watch = duty_lease_watch.LeaseWatch(
            store.PlatformRegistry(self.testbed.store.address), self.true_offset
        )
        self.disturbances: list[duty_usage.Disturbance] = []
        self._callers = caller.LoadGenerator(CALLERS, seed)
        self._tasks = [
            gevent.spawn(self.watch.run),
            gevent.spawn(self.testbed.execute_orders),
            gevent.spawn(self._poll_readiness),
        ]

    def read_true_time(self) -> float:
        """Read the true time.

        Returns:
            Seconds since the start of 1970.
        """
        return clock.read_boot() + self.true_offset

    def wait_for_holder(self, seconds: float) -> bool:
        """Wait until all nodes are ready and one of them holds the lease.

        Args:
            seconds: The longest wait.

        Returns:
            Whether they are.
        """
        end = clock.read_boot() + seconds
        while clock.read_boot() < end:
            ready = self._callers.ready_nodes
            if len(ready) == len(self.testbed.members) and self.watch.holder:
                return True
            gevent.sleep(READY_POLL_SECONDS)
        return False

    def inject(self, kinds: tuple[str, ...]) -> None:
        """Inject a fault, remove it again and let some time pass.

        Args:
            kinds: Some of ``FAULTS``.
        """
        kind = self._random.choice(kinds)
        seconds = self._random.uniform(*FAULT_SECONDS)
        holder = self.watch.holder
        weights = [
            HOLDER_WEIGHT if member.name == holder else 1
            for member in self.testbed.members
        ]
        member = self._random.choices(self.testbed.members, weights)[0]
        start = self.read_true_time()
        index = len(self.disturbances)
        fault = duty_usage.Disturbance(
            kind, member.name, start, start + seconds, member.name == holder
        )
        self.disturbances.append(fault)
        self._disturb(member, kind, seconds)
        # It may have lasted longer than planned.
        self.disturbances[index] = dataclasses.replace(
            fault, end=self.read_true_time()
        )
        gevent.sleep(self._random.uniform(*PAUSE_SECONDS))

    def stop_callers(self) -> int:
        """Send no more requests, and wait until the last report is due.

        Returns:
            The window in which the callers stopped, which is not compared.
        """
        settings = self.testbed.settings
        end = int(self.read_true_time() // settings.window_seconds)
        self._callers.stop()
        due = end * settings.window_seconds + settings.late_seconds
        gevent.sleep(max(0, due - self.read_true_time()) + 1)
        return end

    def end(self) -> None:
        """End all processes and tasks."""
        self._callers.sending = False
        gevent.killall(self._tasks)
        for member in self.testbed.members:
            member.node.kill()

    def list_begun(self) -> list[duty_usage.Begun]:
        """List what the engines began.

        Returns:
            The runs, in true time. All requests are of one customer.
        """
        return [
            duty_usage.Begun(run.time + self._monotonic_offset, 'studio')
            for engine in self.testbed.engines
            for run in engine.runs
        ]

    def _poll_readiness(self) -> None:
        while True:
            self._callers.ready_nodes = fleet.list_ready(
                self.testbed.list_nodes()
            )
            gevent.sleep(READY_POLL_SECONDS)

    def _disturb(
        self, member: duty_stage.Member, kind: str, seconds: float
    ) -> None:
        if kind == 'pause':
            member.node.pause(seconds)
        elif kind == 'kill':
            member.node.kill()
            gevent.sleep(seconds)
            member.node.start()
        elif kind == 'terminate':
            member.node.stop()
            gevent.sleep(seconds)
            member.node.start()
        else:
            self._cut(member, kind, seconds)

    def _cut(
        self, member: duty_stage.Member, kind: str, seconds: float
    ) -> None:
        paths = []
        if kind in _IS_STORE_CUT:
            paths.append(member.store_path)
        if kind in _IS_LINK_CUT:
            paths.append(member.node_path)
        how = self._random.choice(
            ('refuses_connections', 'holds_requests', 'holds_answers')
        )
        for path in paths:
            setattr(path, how, True)
            if how == 'refuses_connections':
                path.reset()
        gevent.sleep(seconds)
        member.restore()


def run_soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    kinds: tuple[str, ...] = FAULTS,
) -> Report:
    """Run a soak.

    Args:
        seed: The seed of faults and traffic.
        seconds: For how long faults begin.
        folder: Where settings and logs of nodes are kept.
        kinds: The faults, some of ``FAULTS``; none if empty.

    Returns:
        The outcome.
    """
    play = Play(seed, folder)
    try:
        violations = _run_faults(play, seconds, kinds)
        end_window = play.stop_callers()
    finally:
        play.end()
    return _make_report(seed, play, violations, end_window)


def find_kinds(names: str) -> tuple[str, ...]:
    """Find the faults that are named on the command line.

    Args:
        names: ``all``, ``none`` or some kinds, separated by commas.

    Returns:
        The kinds.

    Raises:
        ValueError: If a kind is unknown.
    """
    if names in {'all', 'none'}:
        return FAULTS if names == 'all' else ()
    kinds = tuple(names.split(','))
    unknown = set(kinds).difference(FAULTS)
    if unknown:
        raise ValueError(f'unknown faults: {sorted(unknown)}')
    return kinds


def run(seeds: list[int], seconds: float, kinds: tuple[str, ...]) -> int:
    """Run several soaks and print their outcomes.

    Args:
        seeds: The seeds.
        seconds: As in ``run_soak``.
        kinds: As in ``run_soak``.

    Returns:
        The exit status: 1 if any promise was violated.
    """
    status = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'duty-fleet-{seed}-'))
        report = run_soak(seed, seconds, folder, kinds)
        sys.stdout.write(f'{format_report(report)}  logs: {folder}\n')
        sys.stdout.flush()
        status = status or int(bool(report.violations))
    return status


def format_report(report: Report) -> str:
    """Format a report for the terminal.

    Args:
        report: The report.

    Returns:
        A summary line and a line for each fault, window and violation.
    """
    lines = [
        f'seed {report.seed}: {len(report.disturbances)} faults, '
        f'{report.tenures} tenures, {report.orders} orders, '
        f'{len(report.windows)} windows, {report.right:.3f} right and on time',
    ]
    lines.extend(f'  {fault}' for fault in report.disturbances)
    lines.extend(f'  {vacancy}' for vacancy in report.vacancies)
    lines.extend(
        f'  window {outcome.window}: {sum(outcome.begun.values())} begun, '
        f'{outcome.difference:+d}, accepted {outcome.late:.2f} s after its end'
        for outcome in report.windows
    )
    lines.extend(f'  VIOLATION {one}' for one in report.violations)
    return '\n'.join((*lines, ''))


def _run_faults(
    play: Play, seconds: float, kinds: tuple[str, ...]
) -> list[str]:
    violations = []
    if not play.wait_for_holder(START_SECONDS):
        violations.append('no holder after the start')
    end = clock.read_boot() + seconds
    while clock.read_boot() < end:
        if kinds:
            play.inject(kinds)
        else:
            gevent.sleep(1)
    if not play.wait_for_holder(RECOVERY_SECONDS):
        violations.append('no holder, or nodes not ready, after all faults')
    # At least one whole window without any fault must be right.
    gevent.sleep(RECOVERY_SECONDS + 2 * play.testbed.settings.window_seconds)
    return violations


def _compare_windows(
    play: Play, end_window: int
) -> list[duty_usage.WindowOutcome]:
    calls = [
        dataclasses.replace(call, at=call.at + play.true_offset)
        for call in play.testbed.api.calls
    ]
    settings = play.testbed.settings
    # In a new deployment windows are not known before the first tenure, so the
    # one after its start is the first to count.
    begins = [one.start for one in play.watch.tenures[:1]]
    first = int(min(begins, default=0) // settings.window_seconds) + 1
    return duty_usage.compare(
        play.list_begun(), calls, settings, range(first, end_window)
    )


def _list_violations(
    play: Play,
    vacancies: list[duty_lease_watch.Vacancy],
    windows: list[duty_usage.WindowOutcome],
) -> list[str]:
    testbed = play.testbed
    settings = testbed.settings
    violations = [
        *testbed.api.list_violations(settings.lease_seconds),
        *testbed.list_bad_orders(),
        *duty_lease_watch.list_violations(
            vacancies, lease.make_times(settings), TAKEOVER_SECONDS
        ),
        *duty_usage.list_violations(
            windows, play.disturbances, settings, RECOVERY_SECONDS
        ),
    ]
    for node in testbed.list_nodes():
        violations.extend(node.list_violations())
    return violations


def _make_report(
    seed: int, play: Play, violations: list[str], end_window: int
) -> Report:
    windows = _compare_windows(play, end_window)
    settings = play.testbed.settings
    right = sum(outcome.is_right(settings) for outcome in windows)
    vacancies = duty_lease_watch.list_vacancies(
        play.watch.tenures, play.disturbances
    )
    return Report(
        seed=seed,
        disturbances=play.disturbances,
        tenures=len(play.watch.tenures),
        orders=play.testbed.count_orders(),
        vacancies=vacancies,
        windows=windows,
        right=right / max(1, len(windows)),
        violations=[*violations, *_list_violations(play, vacancies, windows)],
    )
