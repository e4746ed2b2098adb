"""Plays a soak of a seed: traffic, faults, mending, and the checks."""

import collections
import dataclasses
import pathlib
import sys
import tempfile

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import clock, error, message
from pimentoway.platform import plain_caller
from pimentoway.soak import caller, check, fault, fleet, stage

#: The nodes and the callers.
NODES = 5
CALLERS = 30

#: Seconds in which all nodes must be ready after their first start.
START_SECONDS = 8.0

#: Seconds that caches of faults last after everything is mended: a back end
#: that failed is tried again after two seconds at the most.
SETTLE_SECONDS = 4.0

#: Seconds of traffic after that, in which every request must be served.
CLEAN_SECONDS = 2.0


_OK = 200


@dataclasses.dataclass(frozen=True)
class Report:
    """What a soak showed.

    Attributes:
        seed: The seed.
        faults: The number of faults.
        endings: How many requests ended how.
        runs: The requests that engines ran.
        violations: The promises that were not kept.
        folder: Where the logs of the nodes are.
    """

    seed: int
    faults: int
    endings: collections.Counter[str]
    runs: int
    violations: list[str]
    folder: pathlib.Path


def play(seed: int, seconds: float, faults: int) -> Report:
    """Play a soak.

    Args:
        seed: The seed.
        seconds: How long faults begin.
        faults: How many there are.

    Returns:
        What it showed.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    plan = fault.draw_plan(seed, seconds, faults)
    (folder / 'plan.txt').write_text('\n'.join(map(str, plan)))
    on = stage.Stage(folder, NODES)
    crowd = caller.Crowd(CALLERS, seed)
    balancer = gevent.spawn(_balance, on, crowd)
    try:
        violations = _play_plan(plan, on, crowd)
        violations.extend(_collect(on, crowd))
    finally:
        balancer.kill()
        on.end()
    return Report(
        seed=seed,
        faults=len(plan),
        endings=collections.Counter(
            f'{one.ending.value} {one.status}' for one in crowd.outcomes
        ),
        runs=sum(len(seat.engine.runs) for seat in on.engines),
        violations=violations,
        folder=folder,
    )


def _play_plan(
    plan: list[fault.Fault], on: stage.Stage, crowd: caller.Crowd
) -> list[str]:
    on.start()
    missing = on.wait_until_ready(START_SECONDS)
    violations = [f'{node.settings.name} did not start' for node in missing]
    struck = [
        gevent.spawn_later(one.start, fault.strike, one, on) for one in plan
    ]
    gevent.joinall(struck, raise_error=True)
    missing = on.wait_until_ready(stage.RECOVER_SECONDS)
    violations.extend(
        f'{node.settings.name} was not ready in time after the last fault'
        for node in missing
    )
    gevent.sleep(SETTLE_SECONDS)
    since = clock.read_monotonic()
    gevent.sleep(CLEAN_SECONDS)
    crowd.stop()
    violations.extend(check.list_unserved(crowd.outcomes, since))
    violations.extend(_check_configuration(on))
    return violations


def _check_configuration(on: stage.Stage) -> list[str]:
    path = f'/added{on.added_routes - 1}/x' if on.added_routes else '/safe/x'
    found = []
    for node in on.list_nodes():
        status = _probe(node, path)
        if status != _OK:
            found.append(
                f'{node.settings.name} answers {status} on the newest route',
            )
    return found


def _probe(node: fleet.Node, path: str) -> int:
    request = plain_caller.write_request('safe', 'probe', path)
    try:
        sock = gevent_socket.create_connection(node.settings.front, 1)
    except OSError:
        return 0
    with sock:
        end = clock.read_monotonic() + caller.PATIENCE_SECONDS
        try:
            sock.sendall(request)
            answer = caller.read_answer(sock, message.AnswerReader(), end)
        except (OSError, error.ConnectionLostError):
            return 0
        return answer.status


def _balance(on: stage.Stage, crowd: caller.Crowd) -> None:
    while True:
        crowd.ready = fleet.list_ready(on.list_nodes())
        gevent.sleep(stage.BALANCER_SECONDS)


def _collect(on: stage.Stage, crowd: caller.Crowd) -> list[str]:
    runs = [run for seat in on.engines for run in seat.engine.runs]
    found = check.list_violations(crowd.outcomes, runs)
    for node in on.list_nodes():
        found.extend(node.list_violations())
    return found


def show(report: Report) -> str:
    """Describe what a soak showed.

    Args:
        report: What it showed.

    Returns:
        Some lines of text.
    """
    endings = ', '.join(
        f'{name}: {count}' for name, count in report.endings.most_common()
    )
    lines = [
        f'seed {report.seed}: {report.faults} faults, {report.runs} runs; '
        f'{endings}',
        *(f'  NOT KEPT {one}' for one in report.violations),
    ]
    if report.violations:
        lines.append(f'  logs and plan: {report.folder}')
    return '\n'.join((*lines, ''))


def run(seeds: list[int], seconds: float, faults: int) -> int:
    """Play soaks and print what they show.

    Args:
        seeds: Their seeds.
        seconds: How long faults begin in each.
        faults: How many there are in each.

    Returns:
        The exit status: 1 if a promise was not kept.
    """
    failed = False
    for seed in seeds:
        report = play(seed, seconds, faults)
        failed = failed or bool(report.violations)
        sys.stdout.write(show(report))
        sys.stdout.flush()
    return int(failed)
