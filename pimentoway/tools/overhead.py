"""Measures what an entry process adds to calling a back end directly.

Both ways are taken in one run with the same stand-ins, and compared.
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

#: The streams that are open at once.
STREAMS = 20

#: The tokens of each stream.
TOKENS = 150

#: The rounds that are measured each way.
ROUNDS = 5

#: The open streams for which memory is measured.
OPEN_STREAMS = 200

_MEGABYTE = 1_000_000
_WARM_ROUNDS = 40


@dataclasses.dataclass(frozen=True)
class Measured:
    """What was measured on one way.

    Attributes:
        first: Seconds to the first event of each stream.
        tokens: The tokens a second.
    """

    first: list[float]
    tokens: float


def stream(address: str, tokens: int) -> float:
    """Read a stream to its end.

    Args:
        address: Where to send the request.
        tokens: The longest answer.

    Returns:
        The seconds to its first event.
    """
    body = codec.encode_json(
        {
            'model': 'captions',
            'messages': [{'role': 'user', 'content': uuid.uuid4().hex}],
            'max_tokens': tokens,
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
    began = time.monotonic()
    exchange = connection.Pool().open(call)
    exchange.read_line()
    first = time.monotonic() - began
    exchange.read_body()
    exchange.close()
    return first


def measure(addresses: list[str]) -> Measured:
    """Measure streams that are open at once.

    Args:
        addresses: Where to send the requests, in turn.

    Returns:
        What was measured.
    """
    first = []
    began = time.monotonic()
    for _ in range(ROUNDS):
        jobs = [
            gevent.spawn(stream, addresses[one % len(addresses)], TOKENS)
            for one in range(STREAMS)
        ]
        gevent.joinall(jobs)
        first += [job.get() for job in jobs]
    seconds = time.monotonic() - began
    return Measured(first, ROUNDS * STREAMS * TOKENS / seconds)


def run() -> int:
    """Measure both ways and print the comparison.

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
            compare(deployment)
        finally:
            deployment.stop()
    return 0


def compare(deployment: local.Deployment) -> None:
    """Compare the ways on a running deployment.

    Args:
        deployment: The deployment.
    """
    entry = deployment.entries[0]
    gevent.sleep(slope.SETTLE_SECONDS)
    idle = slope.read_usage(deployment, entry).memory
    for _ in range(_WARM_ROUNDS):
        gevent.joinall(
            [gevent.spawn(stream, entry.address, 10) for _ in range(STREAMS)],
        )
    direct = measure([engine.address for engine in deployment.engines])
    before = slope.read_usage(deployment, entry)
    began = time.monotonic()
    through = measure([entry.address])
    spent = slope.read_usage(deployment, entry).seconds - before.seconds
    core = spent / (time.monotonic() - began)
    jobs = [
        gevent.spawn(stream, entry.address, TOKENS * 4)
        for _ in range(OPEN_STREAMS)
    ]
    gevent.sleep(1)
    loaded = slope.read_usage(deployment, entry).memory
    gevent.joinall(jobs)
    _print('| figure | direct | through an entry process |')
    _print('|---|---|---|')
    for part in (50, 95):
        _print(
            f'| first event, p{part}, ms '
            f'| {numpy.percentile(direct.first, part) * 1000:.1f} '
            f'| {numpy.percentile(through.first, part) * 1000:.1f} |',
        )
    _print(f'| tokens/s | {direct.tokens:.0f} | {through.tokens:.0f} |')
    _print(f'| core of the entry process | | {core:.2f} |')
    milli = spent / (ROUNDS * STREAMS * TOKENS) * 1000
    _print(f'| core milliseconds a token | | {milli:.3f} |')
    _print(f'| memory idle, MB | | {idle / _MEGABYTE:.0f} |')
    _print(
        f'| memory with {OPEN_STREAMS} streams, MB | '
        f'| {loaded / _MEGABYTE:.0f} |',
    )


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()
