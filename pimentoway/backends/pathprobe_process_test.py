"""Tests of lost paths to back ends over real sockets."""

import collections
import time

import gevent
import pytest
from gevent import socket as gevent_socket

from pimentoway.backends import channel, pathprobe
from pimentoway.core import error
from pimentoway.platform import wire
from pimentoway.standin import port


@pytest.fixture(name='full_address')
def fixture_full_address() -> collections.abc.Iterator[str]:
    """Listen without accepting, so that connecting hangs.

    Yields:
        The address.
    """
    server = gevent_socket.socket()
    server.bind(('127.0.0.1', 0))
    server.listen(0)
    waiting = [gevent_socket.socket() for _ in range(3)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex(server.getsockname())
    yield f'127.0.0.1:{server.getsockname()[1]}'
    for used in (*waiting, server):
        used.close()


# Guards against a node without paths whose requests each wait in vain.
def test_hanging_path_costs_one_wait(full_address: str) -> None:
    """Later requests learn at once that the path is lost."""
    pool = channel.ChannelPool(wire.DIALECT)
    started = time.monotonic()
    for _ in range(5):
        with pytest.raises(error.ConnectError):
            pool.acquire('e1', full_address, 1, 'a1')
    assert time.monotonic() - started < 2 * channel.CONNECT_SECONDS
    assert not pool.open_by_engine['e1']


def test_probe_leaves_a_connection_for_a_request() -> None:
    """Nothing is sent, and it does not count as used."""
    number = port.find_ports(1)
    address = f'127.0.0.1:{number}'
    pool = channel.ChannelPool(wire.DIALECT)
    with pytest.raises(error.ConnectError):
        pool.acquire('e1', address, 1, 'a1')
    opened: list[str] = []
    prober = pathprobe.PathProber(pool.lost_paths, pool.probe, opened.append)
    task = gevent.spawn(prober.run)
    server = gevent_socket.socket()
    server.bind(('127.0.0.1', number))
    server.listen(8)
    gevent.sleep(pathprobe.PROBE_SECONDS / 2)
    task.kill()
    assert opened == ['e1']
    assert not pool.acquire('e1', address, 5, 'a1').reused
    assert pool.opened_count == 1
    server.close()
