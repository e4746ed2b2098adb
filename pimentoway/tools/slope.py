"""Measures the slopes on which docs/CAPACITY.md rests, with real processes.

Each series varies one size and measures entry processes from outside: their
processor time and memory from the kernel, their control bytes from their
metrics, the platform's calls from the stand-in.
"""

import collections
import dataclasses
import json
import os
import pathlib
import re
import signal
import sys
import tempfile
import time
import types
import uuid

import gevent
import numpy
from matplotlib import pyplot

from pimentoway.core import codec, configuration
from pimentoway.objects import client, head
from pimentoway.tools import local

#: Seconds for which an idle deployment is measured.
WINDOW_SECONDS = 6

#: Seconds until a deployment has settled.
SETTLE_SECONDS = 5

#: The file to which all measured points are written.
POINTS_PATH = pathlib.Path('docs/slopes.json')

#: The file to which the plot is written.
PLOT_PATH = pathlib.Path('docs/slopes.png')

_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')
_MEGABYTE = 1_000_000
_METRIC = re.compile(
    r'pimentoway_control_bytes_total\{channel="(\w+)",direction="(\w+)"\} '
    r'(\S+)',
)
_SIZES = types.MappingProxyType(
    {
        'nodes': (2, 4, 8, 16, 32),
        'engines': (1, 50, 100, 200),
        'customers': (0, 1000, 2100),
    },
)
_TINY_ENGINES = (('gap=0.01', 'slots=64'),)


@dataclasses.dataclass(frozen=True)
class Usage:
    """What an entry process used so far.

    Attributes:
        seconds: Processor time.
        memory: Resident memory in bytes.
        gossip: Bytes of gossip, sent and received.
        calls: Bytes of calls between nodes, sent and received.
        reports: Bytes of load reports received.
    """

    seconds: float
    memory: float
    gossip: float
    calls: float
    reports: float


@dataclasses.dataclass(frozen=True)
class Point:
    """One measured point of a series.

    Attributes:
        series: What was varied.
        size: Its size.
        figure: What was measured.
        level: The measured level.
    """

    series: str
    size: float
    figure: str
    level: float


def read_usage(deployment: local.Deployment, entry: local.Place) -> Usage:
    """Read what an entry process used so far.

    Args:
        deployment: The deployment.
        entry: The entry process.

    Returns:
        The usage.
    """
    folder = pathlib.Path(f'/proc/{deployment.process_by_name[entry.name].pid}')
    fields = folder.joinpath('stat').read_text().rpartition(')')[2].split()
    pages = int(folder.joinpath('statm').read_text().split()[1])
    text = local.fetch(entry.operators, 'GET', '/metrics').body.decode()
    sums: collections.Counter = collections.Counter()
    for channel, _, level in _METRIC.findall(text):
        sums[channel] += float(level)
    return Usage(
        (int(fields[11]) + int(fields[12])) / _TICKS,
        pages * _PAGE,
        sums['gossip'],
        sums['call'],
        sums['report'],
    )


def count_calls(deployment: local.Deployment) -> int:
    """Count the calls that the platform's stand-in served.

    Args:
        deployment: The deployment.

    Returns:
        The calls, a waiting watch being one.
    """
    answer = local.fetch(deployment.platform.address, 'GET', '/faults')
    return sum(codec.decode_json(answer.body, dict).values())


def measure_idle(
    deployment: local.Deployment, series: str, size: float
) -> list[Point]:
    """Measure an idle deployment for a while.

    Args:
        deployment: The deployment.
        series: What is varied.
        size: Its size.

    Returns:
        The means over the entry processes.
    """
    gevent.sleep(SETTLE_SECONDS)
    entries = deployment.entries
    before = [read_usage(deployment, entry) for entry in entries]
    calls = count_calls(deployment)
    began = time.monotonic()
    gevent.sleep(WINDOW_SECONDS)
    after = [read_usage(deployment, entry) for entry in entries]
    seconds = time.monotonic() - began
    made = count_calls(deployment) - calls
    points = [
        Point(series, size, 'platform calls/s', made / seconds),
        Point(series, size, 'memory MB', _mean_of(after, 'memory') / _MEGABYTE),
    ]
    for name, unit in (
        ('seconds', 'core'),
        ('gossip', 'gossip bytes/s'),
        ('calls', 'call bytes/s'),
        ('reports', 'report bytes/s'),
    ):
        grown = _mean_of(after, name) - _mean_of(before, name)
        points.append(Point(series, size, unit, grown / seconds))
    return points


def measure_sizes() -> list[Point]:
    """Measure idle deployments of different sizes.

    Returns:
        The points.
    """
    points = []
    for series, sizes in _SIZES.items():
        for size in sizes:
            layout = _make_layout(series, size)
            with Running(layout) as deployment:
                points += measure_idle(deployment, series, size)
            _print(f'{series} {size} done')
    return points


def measure_changes(deployment: local.Deployment) -> list[Point]:
    """Measure the time until a change is in force at every node.

    Args:
        deployment: The deployment.

    Returns:
        The points.
    """
    object_store = client.HttpStore(deployment.platform.address, 200)
    waits = []
    calls = count_calls(deployment)
    before = _sum_control(deployment)
    for number in range(20):
        current = head.read_configuration(object_store)
        customers = (configuration.Customer(f'changed-{number}'),)
        change = configuration.Change(
            current.version + 1,
            uuid.uuid4().hex,
            'slope',
            configuration.Tables(customers=customers),
        )
        head.accept_change(object_store, change)
        began = time.monotonic()
        while not _is_in_force(deployment, change.version):
            gevent.sleep(0.01)
        waits.append(time.monotonic() - began)
    nodes = len(deployment.entries)
    control = (_sum_control(deployment) - before) / nodes / 20
    return [
        Point(
            'change', nodes, 'in force s, median', float(numpy.median(waits))
        ),
        Point('change', nodes, 'in force s, worst', max(waits)),
        Point('change', nodes, 'control bytes a node and change', control),
        Point(
            'change',
            nodes,
            'platform calls a change',
            (count_calls(deployment) - calls) / 20 - 3,
        ),
    ]


def measure_requests(deployment: local.Deployment) -> list[Point]:
    """Measure the processor time of requests and tokens.

    Args:
        deployment: The deployment.

    Returns:
        The points.
    """
    entry = deployment.entries[0]
    points = []
    for tokens in (1, 50, 200):
        before = read_usage(deployment, entry)
        began = time.monotonic()
        jobs = [gevent.spawn(_chat, entry, tokens) for _ in range(40)]
        for _ in range(4):
            jobs += [gevent.spawn(_chat, entry, tokens) for _ in range(10)]
            gevent.sleep(0.1)
        gevent.joinall(jobs)
        after = read_usage(deployment, entry)
        spent = (after.seconds - before.seconds) / len(jobs)
        rate = len(jobs) * tokens / (time.monotonic() - began)
        points.append(Point('tokens', tokens, 'core seconds a request', spent))
        points.append(Point('tokens', tokens, 'tokens/s', rate))
    return points


def measure_recovery(deployment: local.Deployment) -> list[Point]:
    """Measure how long it takes to notice deaths and outages.

    Args:
        deployment: The deployment.

    Returns:
        The points.
    """
    points = []
    nodes = len(deployment.entries)
    for killed in (1, nodes // 2):
        victims = deployment.entries[-killed:]
        for victim in victims:
            deployment.signal(victim.name, signal.SIGKILL)
            deployment.wait_exit(victim.name)
        rest = deployment.entries[:-killed]
        began = time.monotonic()
        while not _is_noticed(rest, len(rest)):
            gevent.sleep(0.2)
        noticed = time.monotonic() - began
        points.append(Point('kill', killed, 'noticed by all s', noticed))
        calls = count_calls(deployment)
        for victim in victims:
            deployment.start_entry(victim)
        for victim in victims:
            deployment.wait_for(victim.operators, '/readyz')
        ready = time.monotonic() - began - noticed
        made = count_calls(deployment) - calls
        points.append(Point('kill', killed, 'replaced and ready s', ready))
        points.append(Point('kill', killed, 'platform calls', made))
    _set_platform(deployment, down=True)
    gevent.sleep(WINDOW_SECONDS)
    calls = count_calls(deployment)
    _set_platform(deployment, down=False)
    peak = 0
    for _ in range(WINDOW_SECONDS):
        gevent.sleep(1)
        made = count_calls(deployment)
        peak = max(peak, made - calls)
        calls = made
    points.append(Point('outage', nodes, 'platform calls/s, peak after', peak))
    return points


class Running:
    """A deployment that runs while a context lasts."""

    def __init__(self, layout: local.Layout) -> None:
        """Plan it.

        Args:
            layout: What it consists of.
        """
        self._folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self._folder.name)
        self._deployment = local.Deployment(layout, path)

    def __enter__(self) -> local.Deployment:
        """Start it.

        Returns:
            The deployment.
        """
        self._deployment.start()
        return self._deployment

    def __exit__(self, *exc_info: object) -> None:
        """End it.

        Args:
            *exc_info: Passed over.
        """
        self._deployment.stop()
        self._folder.cleanup()


def fit_line(points: list[Point]) -> tuple[float, float, float]:
    """Fit a line by least squares.

    Args:
        points: The points.

    Returns:
        The slope, the level at size 0, and the root of the mean squared
        error.
    """
    sizes = numpy.array([point.size for point in points])
    levels = numpy.array([point.level for point in points])
    slope, base = numpy.polyfit(sizes, levels, 1)
    errors = levels - (slope * sizes + base)
    return float(slope), float(base), float(numpy.sqrt(numpy.mean(errors**2)))


def run() -> int:
    """Measure everything, print the tables and write the points.

    Returns:
        The exit status.
    """
    points = measure_moving()
    points += measure_sizes()
    rows = [dataclasses.asdict(point) for point in points]
    POINTS_PATH.write_text(json.dumps(rows, indent=1))
    print_tables(points)
    plot_points(points)
    return 0


def measure_moving() -> list[Point]:
    """Measure what happens under changes, deaths and requests.

    Returns:
        The points.
    """
    points = []
    with Running(_make_layout('nodes', 1)) as deployment:
        gevent.sleep(SETTLE_SECONDS)
        for _ in range(8):
            _chat(deployment.entries[0], 20)
        points += measure_requests(deployment)
    with Running(_make_layout('nodes', 16)) as deployment:
        gevent.sleep(SETTLE_SECONDS)
        points += measure_changes(deployment)
        points += measure_recovery(deployment)
    _print('changes, deaths and requests done')
    return points


def plot_points(points: list[Point]) -> None:
    """Plot the series that have several points, with their fits.

    Args:
        points: The points.
    """
    chosen = [
        ('nodes', 'gossip bytes/s'),
        ('nodes', 'core'),
        ('engines', 'core'),
        ('customers', 'memory MB'),
    ]
    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for (series, name), axis in zip(chosen, axes.flat, strict=True):
        group = [
            one for one in points if (one.series, one.figure) == (series, name)
        ]
        sizes = [one.size for one in group]
        slope, base, _ = fit_line(group)
        axis.plot(sizes, [one.level for one in group], 'o')
        axis.plot(sizes, [slope * size + base for size in sizes])
        axis.set_xlabel(series)
        axis.set_ylabel(name)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(PLOT_PATH)


def print_tables(points: list[Point]) -> None:
    """Print a row for each series and figure, with the fit.

    Args:
        points: The points.
    """
    groups: dict[tuple[str, str], list[Point]] = {}
    for point in points:
        groups.setdefault((point.series, point.figure), []).append(point)
    _print('| series | figure | points | slope | at 0 | error |')
    _print('|---|---|---|---|---|---|')
    for (series, figure), group in groups.items():
        levels = ', '.join(f'{one.size:g}: {one.level:.4g}' for one in group)
        fit = '| | |'
        if len(group) > 2:
            fit = ' | '.join(f'{part:.3g}' for part in fit_line(group))
        _print(f'| {series} | {figure} | {levels} | {fit} |')


def _make_layout(series: str, size: int) -> local.Layout:
    sizes = {'nodes': 4, 'engines': 0, 'customers': 0, series: size}
    return local.Layout(
        zones=('norte',),
        entries=sizes['nodes'],
        engine_traits=_TINY_ENGINES,
        base_port=23_000,
        more_engines=max(0, sizes['engines'] - 1),
        more_customers=sizes['customers'],
    )


def _chat(entry: local.Place, tokens: int) -> int:
    body = {
        'model': 'captions',
        'messages': [{'role': 'user', 'content': uuid.uuid4().hex}],
        'max_tokens': tokens,
        'stream': True,
    }
    return local.fetch(
        entry.address,
        'POST',
        '/v1/chat/completions',
        codec.encode_json(body),
        local.authorize(local.URGENT_KEY),
    ).status


def _mean_of(usages: list[Usage], name: str) -> float:
    return float(numpy.mean([getattr(usage, name) for usage in usages]))


def _sum_control(deployment: local.Deployment) -> float:
    usages = [read_usage(deployment, entry) for entry in deployment.entries]
    return sum(usage.gossip + usage.calls for usage in usages)


def _read_status(entry: local.Place) -> dict:
    answer = local.fetch(entry.operators, 'GET', '/status')
    return codec.decode_json(answer.body, dict)


def _is_in_force(deployment: local.Deployment, version: int) -> bool:
    return all(
        _read_status(entry)['configuration'] >= version
        for entry in deployment.entries
    )


def _is_noticed(entries: list[local.Place], live: int) -> bool:
    return all(len(_read_status(one)['members']) == live for one in entries)


def _set_platform(deployment: local.Deployment, down: bool) -> None:
    body = codec.encode_json({'down': down})
    local.fetch(deployment.platform.address, 'PUT', '/faults', body)


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
