"""Measures how resource use grows with size, for docs/CAPACITY.md.

Each series starts real processes, varies one size and measures entry processes
from outside: processor time and memory from the kernel, control traffic from
their metrics, and calls to the platform from its stand-in.
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

#: Seconds for which an idle deployment, an outage of the platform and the
#: recovery from it are measured.
WINDOW_SECONDS = 6

#: Seconds until a new deployment is idle.
SETTLE_SECONDS = 5

#: Output file of all measured points.
POINTS_PATH = pathlib.Path('docs/slopes.json')

#: Output file of the plot.
PLOT_PATH = pathlib.Path('docs/slopes.png')

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MEGABYTE = 1_000_000
_CONTROL_BYTES_METRIC = re.compile(
    r'pimentoway_control_bytes_total\{channel="(\w+)",direction="(\w+)"\} '
    r'(\S+)',
)
_SIZES_BY_SERIES = types.MappingProxyType(
    {
        'nodes': (2, 4, 8, 16, 32),
        'engines': (1, 50, 100, 200),
        'customers': (0, 1000, 2100),
    },
)
_TINY_ENGINES = (('gap=0.01', 'slots=64'),)


@dataclasses.dataclass(frozen=True)
class Usage:
    """The resources that an entry process used since its start.

    Attributes:
        cpu_seconds: The processor time.
        memory_bytes: The resident memory at present.
        gossip_bytes: Bytes of gossip, sent and received.
        call_bytes: Bytes of calls between nodes, sent and received.
        report_bytes: Bytes of load reports received.
    """

    cpu_seconds: float
    memory_bytes: float
    gossip_bytes: float
    call_bytes: float
    report_bytes: float


@dataclasses.dataclass(frozen=True)
class Point:
    """One measured point of a series.

    Attributes:
        series: The name of the varied quantity.
        size: The value of the varied quantity.
        figure: The name and unit of the measured quantity.
        level: The measured value.
    """

    series: str
    size: float
    figure: str
    level: float


def read_usage(deployment: local.Deployment, entry: local.ProcessSpec) -> Usage:
    """Read the resource use of an entry process from /proc and its metrics.

    Args:
        deployment: The deployment that started the process.
        entry: The entry process.

    Returns:
        The usage since the start of the process.
    """
    proc_folder = pathlib.Path(
        f'/proc/{deployment.process_by_name[entry.name].pid}'
    )
    stat_fields = (
        proc_folder.joinpath('stat').read_text().rpartition(')')[2].split()
    )
    pages = int(proc_folder.joinpath('statm').read_text().split()[1])
    metrics = local.fetch(
        entry.operators_address, 'GET', '/metrics'
    ).body.decode()
    bytes_by_channel: collections.Counter = collections.Counter()
    for channel, _, counter in _CONTROL_BYTES_METRIC.findall(metrics):
        bytes_by_channel[channel] += float(counter)
    return Usage(
        (int(stat_fields[11]) + int(stat_fields[12])) / _TICKS_PER_SECOND,
        pages * _PAGE_BYTES,
        bytes_by_channel['gossip'],
        bytes_by_channel['call'],
        bytes_by_channel['report'],
    )


def count_calls(deployment: local.Deployment) -> int:
    """Count the calls that the stand-in of the platform served so far.

    Args:
        deployment: The deployment.

    Returns:
        The calls; a long poll of a watch counts as one.
    """
    answer = local.fetch(deployment.platform.address, 'GET', '/faults')
    return sum(codec.decode_json(answer.body, dict).values())


def measure_idle(
    deployment: local.Deployment, series: str, size: float
) -> list[Point]:
    """Measure an idle deployment for ``WINDOW_SECONDS``.

    Args:
        deployment: The deployment.
        series: The name of the varied quantity.
        size: The value of the varied quantity.

    Returns:
        Points with the mean of the entry processes, and one with the calls of
        all of them to the platform.
    """
    gevent.sleep(SETTLE_SECONDS)
    entries = deployment.entries
    before = [read_usage(deployment, entry) for entry in entries]
    calls_before = count_calls(deployment)
    started = time.monotonic()
    gevent.sleep(WINDOW_SECONDS)
    after = [read_usage(deployment, entry) for entry in entries]
    elapsed = time.monotonic() - started
    calls_made = count_calls(deployment) - calls_before
    points = [
        Point(series, size, 'platform calls/s', calls_made / elapsed),
        Point(
            series,
            size,
            'memory MB',
            _average(after, 'memory_bytes') / _MEGABYTE,
        ),
    ]
    for attribute, figure in (
        ('cpu_seconds', 'core'),
        ('gossip_bytes', 'gossip bytes/s'),
        ('call_bytes', 'call bytes/s'),
        ('report_bytes', 'report bytes/s'),
    ):
        growth = _average(after, attribute) - _average(before, attribute)
        points.append(Point(series, size, figure, growth / elapsed))
    return points


def measure_sizes() -> list[Point]:
    """Measure an idle deployment of each size in ``_SIZES_BY_SERIES``.

    Returns:
        The points.
    """
    points = []
    for series, sizes in _SIZES_BY_SERIES.items():
        for size in sizes:
            layout = _make_layout(series, size)
            with RunningDeployment(layout) as deployment:
                points += measure_idle(deployment, series, size)
            _print_line(f'{series} {size} done')
    return points


def measure_changes(deployment: local.Deployment) -> list[Point]:
    """Measure how long configuration changes take to reach every node.

    Args:
        deployment: The deployment.

    Returns:
        Points for the delay, the control traffic and the calls to the
        platform of a change.
    """
    object_store = client.HttpStore(deployment.platform.address, 200)
    seconds_in_force = []
    calls_before = count_calls(deployment)
    control_before = _sum_control_bytes(deployment)
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
        started = time.monotonic()
        while not _is_in_force(deployment, change.version):
            gevent.sleep(0.01)
        seconds_in_force.append(time.monotonic() - started)
    nodes = len(deployment.entries)
    control_bytes = (
        (_sum_control_bytes(deployment) - control_before) / nodes / 20
    )
    # The 3 calls that this function makes for each change are not counted: two
    # reads of the head and one write.
    return [
        Point(
            'change',
            nodes,
            'in force s, median',
            float(numpy.median(seconds_in_force)),
        ),
        Point('change', nodes, 'in force s, worst', max(seconds_in_force)),
        Point(
            'change', nodes, 'control bytes a node and change', control_bytes
        ),
        Point(
            'change',
            nodes,
            'platform calls a change',
            (count_calls(deployment) - calls_before) / 20 - 3,
        ),
    ]


def measure_requests(deployment: local.Deployment) -> list[Point]:
    """Measure the processor time of a request for answers of several lengths.

    Args:
        deployment: The deployment.

    Returns:
        Points for the processor time and the throughput.
    """
    entry = deployment.entries[0]
    points = []
    for tokens in (1, 50, 200):
        usage_before = read_usage(deployment, entry)
        started = time.monotonic()
        jobs = [gevent.spawn(_send_chat, entry, tokens) for _ in range(40)]
        for _ in range(4):
            jobs += [gevent.spawn(_send_chat, entry, tokens) for _ in range(10)]
            gevent.sleep(0.1)
        gevent.joinall(jobs)
        usage_after = read_usage(deployment, entry)
        cpu_seconds = (
            usage_after.cpu_seconds - usage_before.cpu_seconds
        ) / len(jobs)
        tokens_per_second = len(jobs) * tokens / (time.monotonic() - started)
        points.append(
            Point('tokens', tokens, 'core seconds a request', cpu_seconds)
        )
        points.append(Point('tokens', tokens, 'tokens/s', tokens_per_second))
    return points


def measure_recovery(deployment: local.Deployment) -> list[Point]:
    """Measure killed nodes and an outage of the platform.

    Args:
        deployment: The deployment.

    Returns:
        Points for the time until the survivors have removed the killed nodes
        and until replacements are ready, and for the calls to the platform
        meanwhile and after an outage.
    """
    points = []
    nodes = len(deployment.entries)
    for kill_count in (1, nodes // 2):
        victims = deployment.entries[-kill_count:]
        for victim in victims:
            deployment.signal(victim.name, signal.SIGKILL)
            deployment.wait_exit(victim.name)
        survivors = deployment.entries[:-kill_count]
        started = time.monotonic()
        while not _all_see_members(survivors, len(survivors)):
            gevent.sleep(0.2)
        seconds_to_notice = time.monotonic() - started
        points.append(
            Point('kill', kill_count, 'noticed by all s', seconds_to_notice)
        )
        calls_before = count_calls(deployment)
        for victim in victims:
            deployment.start_entry(victim)
        for victim in victims:
            deployment.wait_for(victim.operators_address, '/readyz')
        seconds_to_ready = time.monotonic() - started - seconds_to_notice
        calls_made = count_calls(deployment) - calls_before
        points.append(
            Point('kill', kill_count, 'replaced and ready s', seconds_to_ready)
        )
        points.append(Point('kill', kill_count, 'platform calls', calls_made))
    _set_platform_down(deployment, down=True)
    gevent.sleep(WINDOW_SECONDS)
    calls_before = count_calls(deployment)
    _set_platform_down(deployment, down=False)
    peak_calls = 0
    for _ in range(WINDOW_SECONDS):
        gevent.sleep(1)
        calls_made = count_calls(deployment)
        peak_calls = max(peak_calls, calls_made - calls_before)
        calls_before = calls_made
    points.append(
        Point('outage', nodes, 'platform calls/s, peak after', peak_calls)
    )
    return points


class RunningDeployment:
    """A context manager that starts a deployment and stops it at its end."""

    def __init__(self, layout: local.Layout) -> None:
        """Prepare the deployment, without starting a process.

        Args:
            layout: The processes of the deployment.
        """
        self._folder = tempfile.TemporaryDirectory()
        folder = pathlib.Path(self._folder.name)
        self._deployment = local.Deployment(layout, folder)

    def __enter__(self) -> local.Deployment:
        """Start the processes.

        Returns:
            The running deployment.
        """
        self._deployment.start()
        return self._deployment

    def __exit__(self, *exc_info: object) -> None:
        """Stop the processes and delete their files.

        Args:
            *exc_info: Ignored.
        """
        self._deployment.stop()
        self._folder.cleanup()


def fit_line(points: list[Point]) -> tuple[float, float, float]:
    """Fit a line by least squares.

    Args:
        points: The points of one series and figure.

    Returns:
        The slope, the level at size 0, and the root mean square error.
    """
    sizes = numpy.array([point.size for point in points])
    levels = numpy.array([point.level for point in points])
    slope, intercept = numpy.polyfit(sizes, levels, 1)
    residuals = levels - (slope * sizes + intercept)
    return (
        float(slope),
        float(intercept),
        float(numpy.sqrt(numpy.mean(residuals**2))),
    )


def run() -> int:
    """Measure all series, write the points, print the tables and plot them.

    Returns:
        The exit status.
    """
    points = measure_active()
    points += measure_sizes()
    rows = [dataclasses.asdict(point) for point in points]
    POINTS_PATH.write_text(json.dumps(rows, indent=1))
    print_tables(points)
    plot_points(points)
    return 0


def measure_active() -> list[Point]:
    """Measure requests, configuration changes and killed nodes.

    Returns:
        The points.
    """
    points = []
    with RunningDeployment(_make_layout('nodes', 1)) as deployment:
        gevent.sleep(SETTLE_SECONDS)
        for _ in range(8):
            _send_chat(deployment.entries[0], 20)
        points += measure_requests(deployment)
    with RunningDeployment(_make_layout('nodes', 16)) as deployment:
        gevent.sleep(SETTLE_SECONDS)
        points += measure_changes(deployment)
        points += measure_recovery(deployment)
    _print_line('changes, deaths and requests done')
    return points


def plot_points(points: list[Point]) -> None:
    """Plot four of the series with fitted lines to ``PLOT_PATH``.

    Args:
        points: The points.
    """
    plotted = [
        ('nodes', 'gossip bytes/s'),
        ('nodes', 'core'),
        ('engines', 'core'),
        ('customers', 'memory MB'),
    ]
    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7))
    for (series, figure_name), axis in zip(plotted, axes.flat, strict=True):
        group = [
            point
            for point in points
            if (point.series, point.figure) == (series, figure_name)
        ]
        sizes = [point.size for point in group]
        slope, intercept, _ = fit_line(group)
        axis.plot(sizes, [point.level for point in group], 'o')
        axis.plot(sizes, [slope * size + intercept for size in sizes])
        axis.set_xlabel(series)
        axis.set_ylabel(figure_name)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(PLOT_PATH)


def print_tables(points: list[Point]) -> None:
    """Print a row for each series and figure.

    A series with more than two points gets a fitted line.

    Args:
        points: The points.
    """
    groups: dict[tuple[str, str], list[Point]] = {}
    for point in points:
        groups.setdefault((point.series, point.figure), []).append(point)
    _print_line('| series | figure | points | slope | at 0 | error |')
    _print_line('|---|---|---|---|---|---|')
    for (series, figure), group in groups.items():
        levels = ', '.join(f'{one.size:g}: {one.level:.4g}' for one in group)
        fit = '| | |'
        if len(group) > 2:
            fit = ' | '.join(
                f'{coefficient:.3g}' for coefficient in fit_line(group)
            )
        _print_line(f'| {series} | {figure} | {levels} | {fit} |')


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


def _send_chat(entry: local.ProcessSpec, tokens: int) -> int:
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


def _average(usages: list[Usage], attribute: str) -> float:
    return float(numpy.mean([getattr(usage, attribute) for usage in usages]))


def _sum_control_bytes(deployment: local.Deployment) -> float:
    usages = [read_usage(deployment, entry) for entry in deployment.entries]
    return sum(usage.gossip_bytes + usage.call_bytes for usage in usages)


def _read_status(entry: local.ProcessSpec) -> dict:
    answer = local.fetch(entry.operators_address, 'GET', '/status')
    return codec.decode_json(answer.body, dict)


def _is_in_force(deployment: local.Deployment, version: int) -> bool:
    return all(
        _read_status(entry)['configuration'] >= version
        for entry in deployment.entries
    )


def _all_see_members(entries: list[local.ProcessSpec], live_nodes: int) -> bool:
    return all(
        len(_read_status(entry)['members']) == live_nodes for entry in entries
    )


def _set_platform_down(deployment: local.Deployment, down: bool) -> None:
    body = codec.encode_json({'down': down})
    local.fetch(deployment.platform.address, 'PUT', '/faults', body)


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
