"""Measures the overhead of an entry process over direct calls to a back end.

Both are measured in the same run with the same stand-ins of back ends.
"""

import dataclasses
import pathlib
import sys
import tempfile
import time
import uuid

import gevent
import numpy

from pimentoway.core import codec, connection
from pimentoway.tools import local, slope

#: Number of concurrent streams.
CONCURRENT_STREAMS = 20

#: Number of tokens in each stream.
TOKENS_PER_STREAM = 150

#: Number of measured rounds of concurrent streams, direct and proxied.
ROUNDS = 5

#: Number of open streams at which memory is measured.
MEMORY_STREAMS = 200

_MEGABYTE = 1_000_000
_WARMUP_ROUNDS = 40


@dataclasses.dataclass(frozen=True)
class Measurement:
    """Measured streams, either direct or through an entry process.

    Attributes:
        latencies: The seconds to the first event of each stream.
        tokens_per_second: The throughput of all streams together.
    """

    latencies: list[float]
    tokens_per_second: float


def read_stream(address: str, max_tokens: int) -> float:
    """Send a streaming chat request and read the stream to its end.

    Args:
        address: The host and port of an engine or an entry process.
        max_tokens: The limit on the length of the answer.

    Returns:
        The seconds until the first event.
    """
    body = codec.encode_json(
        {
            'model': 'captions',
            'messages': [{'role': 'user', 'content': uuid.uuid4().hex}],
            'max_tokens': max_tokens,
            'stream': True,
        },
    )
    call = connection.Call(
        address=address,
        method='POST',
        path='/v1/chat/completions',
        body=body,
        headers=(
            *local.authorize(local.URGENT_KEY),
            ('X-Request-Id', uuid.uuid4().hex),
        ),
    )
    started = time.monotonic()
    exchange = connection.Pool().open(call)
    exchange.read_line()
    first_event_seconds = time.monotonic() - started
    exchange.read_body()
    exchange.close()
    return first_event_seconds


def measure_streams(addresses: list[str]) -> Measurement:
    """Measure rounds of concurrent streams.

    Args:
        addresses: The hosts and ports that get the requests, in turn.

    Returns:
        The latencies and the throughput.
    """
    latencies = []
    started = time.monotonic()
    for _ in range(ROUNDS):
        jobs = [
            gevent.spawn(
                read_stream,
                addresses[number % len(addresses)],
                TOKENS_PER_STREAM,
            )
            for number in range(CONCURRENT_STREAMS)
        ]
        gevent.joinall(jobs)
        latencies += [job.get() for job in jobs]
    elapsed = time.monotonic() - started
    return Measurement(
        latencies,
        ROUNDS * CONCURRENT_STREAMS * TOKENS_PER_STREAM / elapsed,
    )


def run() -> int:
    """Start a local deployment, measure it and print the comparison.

    Returns:
        The exit status.
    """
    layout = local.Layout(
        zones=('norte',),
        entries=1,
        engine_traits=(('gap=0.005', 'slots=400'),) * 2,
        base_port=24_000,
    )
    with tempfile.TemporaryDirectory() as folder:
        deployment = local.Deployment(layout, pathlib.Path(folder))
        try:
            deployment.start()
            print_comparison(deployment)
        finally:
            deployment.stop()
    return 0


def print_comparison(deployment: local.Deployment) -> None:
    """Print direct and proxied streams of a running deployment side by side.

    Args:
        deployment: The deployment; its first entry process is measured.
    """
    entry = deployment.entries[0]
    gevent.sleep(slope.SETTLE_SECONDS)
    idle_bytes = slope.read_usage(deployment, entry).memory_bytes
    for _ in range(_WARMUP_ROUNDS):
        gevent.joinall(
            [
                gevent.spawn(read_stream, entry.address, 10)
                for _ in range(CONCURRENT_STREAMS)
            ],
        )
    direct = measure_streams([engine.address for engine in deployment.engines])
    usage_before = slope.read_usage(deployment, entry)
    started = time.monotonic()
    proxied = measure_streams([entry.address])
    cpu_seconds = (
        slope.read_usage(deployment, entry).cpu_seconds
        - usage_before.cpu_seconds
    )
    cores = cpu_seconds / (time.monotonic() - started)
    jobs = [
        gevent.spawn(read_stream, entry.address, TOKENS_PER_STREAM * 4)
        for _ in range(MEMORY_STREAMS)
    ]
    gevent.sleep(1)
    loaded_bytes = slope.read_usage(deployment, entry).memory_bytes
    gevent.joinall(jobs)
    _print_line('| figure | direct | through an entry process |')
    _print_line('|---|---|---|')
    for percentile in (50, 95):
        _print_line(
            f'| first event, p{percentile}, ms '
            f'| {numpy.percentile(direct.latencies, percentile) * 1000:.1f} '
            f'| {numpy.percentile(proxied.latencies, percentile) * 1000:.1f} |',
        )
    _print_line(
        f'| tokens/s | {direct.tokens_per_second:.0f} '
        f'| {proxied.tokens_per_second:.0f} |'
    )
    _print_line(f'| core of the entry process | | {cores:.2f} |')
    cpu_milliseconds = (
        cpu_seconds / (ROUNDS * CONCURRENT_STREAMS * TOKENS_PER_STREAM) * 1000
    )
    _print_line(f'| core milliseconds a token | | {cpu_milliseconds:.3f} |')
    _print_line(f'| memory idle, MB | | {idle_bytes / _MEGABYTE:.0f} |')
    _print_line(
        f'| memory with {MEMORY_STREAMS} streams, MB | '
        f'| {loaded_bytes / _MEGABYTE:.0f} |',
    )


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
