"""Runs a soak test: traffic, faults from a seed, recovery and checks."""

import collections
import dataclasses
import pathlib
import sys
import tempfile

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import clock, error, message
from pimentoway.platform import soak_fixture
from pimentoway.soak import (
    caller,
    check,
    fault,
    fault_plan,
    faultyclient,
    fleet,
    stage,
    stall,
)

#: The numbers of nodes and of callers.
NODES = 5
CALLERS = 30

#: Seconds within which all nodes must be ready after their first start.
START_SECONDS = 8.0

#: Seconds of traffic after that in which every request must succeed.
CLEAN_SECONDS = 2.0


_OK = 200


@dataclasses.dataclass(frozen=True)
class Report:
    """The outcome of a soak.

    Attributes:
        seed: The seed of faults and traffic.
        faults: The number of faults.
        endings: The number of requests by ending and HTTP status, such as
            `exact 200`.
        runs: The number of runs on all engines.
        violations: The violated guarantees, a sentence each.
        stalls: The stalls of the event loop of this process, in order.
        folder: Where `plan.txt` and the logs of the nodes are.
    """

    seed: int
    faults: int
    endings: collections.Counter[str]
    runs: int
    violations: list[str]
    stalls: list[stall.Stall]
    folder: pathlib.Path


def run_soak(seed: int, seconds: float, faults: int) -> Report:
    """Run one soak.

    Args:
        seed: The seed of faults and traffic.
        seconds: All faults start within this time.
        faults: The number of faults.

    Returns:
        The report; the files stay in its folder.
    """
    return run_plan(seed, fault_plan.draw_plan(seed, seconds, faults))


def run_plan(seed: int, plan: list[fault.Fault]) -> Report:
    """Run one soak with given faults.

    Args:
        seed: The seed of the traffic.
        plan: The faults.

    Returns:
        The report; the files stay in its folder.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    (folder / 'plan.txt').write_text('\n'.join(map(str, plan)))
    testbed = stage.Testbed(folder, NODES)
    load_generator = caller.LoadGenerator(CALLERS, seed)
    detector = stall.StallDetector()
    tasks = [
        *faultyclient.start(seed, lambda: load_generator.ready_nodes),
        gevent.spawn(_poll_readiness, testbed, load_generator),
        gevent.spawn(detector.run),
    ]
    try:
        with stall.shorten_collections():
            violations = _run_plan(plan, testbed, load_generator, detector)
        violations.extend(_check_outcomes(testbed, load_generator))
    finally:
        gevent.killall(tasks)
        testbed.kill_nodes()
    return Report(
        seed=seed,
        faults=len(plan),
        endings=collections.Counter(
            f'{outcome.ending.value} {outcome.status}'
            for outcome in load_generator.outcomes
        ),
        runs=sum(len(proxied.engine.runs) for proxied in testbed.engines),
        violations=violations,
        stalls=detector.stalls,
        folder=folder,
    )


def _run_plan(
    plan: list[fault.Fault],
    testbed: stage.Testbed,
    load_generator: caller.LoadGenerator,
    detector: stall.StallDetector,
) -> list[str]:
    testbed.start()
    missing = testbed.wait_until_ready(START_SECONDS)
    violations = [f'{node.settings.name} did not start' for node in missing]
    injections = [
        gevent.spawn_later(planned.start, fault.inject, planned, testbed)
        for planned in plan
    ]
    gevent.joinall(injections, raise_error=True)
    missing = testbed.wait_until_ready(stage.RECOVERY_SECONDS)
    violations.extend(
        f'{node.settings.name} was not ready in time after the last fault'
        for node in missing
    )
    recovered_at = _await_clean_traffic(detector)
    load_generator.stop()
    violations.extend(
        check.list_failed_after_recovery(load_generator.outcomes, recovered_at)
    )
    violations.extend(_check_configuration(testbed))
    return violations


def _await_clean_traffic(detector: stall.StallDetector) -> float:
    mended_at = clock.read_monotonic()
    recovered_at = check.find_recovery(mended_at, detector.stalls)
    while clock.read_monotonic() < recovered_at + CLEAN_SECONDS:
        gevent.sleep(stage.READY_POLL_SECONDS)
        recovered_at = check.find_recovery(mended_at, detector.stalls)
    return recovered_at


def _check_configuration(testbed: stage.Testbed) -> list[str]:
    path = (
        f'/added{testbed.added_routes - 1}/x'
        if testbed.added_routes
        else '/safe/x'
    )
    violations = []
    for node in testbed.list_nodes():
        status = _probe(node, path)
        if status != _OK:
            violations.append(
                f'{node.settings.name} answers {status} on the newest route',
            )
    return violations


def _probe(node: fleet.Node, path: str) -> int:
    request = soak_fixture.write_request('safe', 'probe', path)
    try:
        sock = gevent_socket.create_connection(node.settings.callers_address, 1)
    except OSError:
        return 0
    with sock:
        deadline = clock.read_monotonic() + caller.ANSWER_TIMEOUT_SECONDS
        try:
            sock.sendall(request)
            answer = caller.read_answer(sock, message.AnswerReader(), deadline)
        except (OSError, error.ConnectionLostError):
            return 0
        return answer.status


def _poll_readiness(
    testbed: stage.Testbed, load_generator: caller.LoadGenerator
) -> None:
    while True:
        load_generator.ready_nodes = fleet.list_ready(testbed.list_nodes())
        gevent.sleep(stage.READY_POLL_SECONDS)


def _check_outcomes(
    testbed: stage.Testbed, load_generator: caller.LoadGenerator
) -> list[str]:
    runs = [run for proxied in testbed.engines for run in proxied.engine.runs]
    violations = check.list_violations(load_generator.outcomes, runs)
    violations.extend(faultyclient.list_violations(runs))
    for proxied in testbed.engines:
        if not proxied.was_disturbed:
            violations.extend(
                check.list_ignored_notices(
                    load_generator.outcomes, proxied.engine.arrivals
                )
            )
    violations.extend(
        check.list_unserved(load_generator.outcomes, testbed.partitions)
    )
    for node in testbed.list_nodes():
        violations.extend(node.list_violations())
    return violations


def format_report(report: Report) -> str:
    """Format a report for the terminal.

    Args:
        report: The report.

    Returns:
        A summary line, a line for each violation and each stall and, if there
        are violations, the folder of the logs.
    """
    endings = ', '.join(
        f'{name}: {count}' for name, count in report.endings.most_common()
    )
    lines = [
        f'seed {report.seed}: {report.faults} faults, {report.runs} runs; '
        f'{endings}',
        *(f'  VIOLATION {violation}' for violation in report.violations),
        *(f'  {stalled}' for stalled in report.stalls),
    ]
    if report.violations:
        lines.append(f'  logs and plan: {report.folder}')
    return '\n'.join((*lines, ''))


def run(seeds: list[int], seconds: float, faults: int) -> int:
    """Run soaks one after the other and print their reports.

    Args:
        seeds: The seed of each soak.
        seconds: In each soak, all faults start within this time.
        faults: The number of faults of each soak.

    Returns:
        The exit status: 1 if a guarantee was violated, else 0.
    """
    failed = False
    for seed in seeds:
        report = run_soak(seed, seconds, faults)
        failed = failed or bool(report.violations)
        sys.stdout.write(format_report(report))
        sys.stdout.flush()
    return int(failed)
