"""Finds free TCP ports for the processes of tests."""

import fcntl
import functools
import itertools
import os
import pathlib
import stat
import tempfile

from gevent import socket as gevent_socket

#: The lowest port used, and the number of ports. The system's own range of
#: ephemeral ports starts at 32,768, so no connection takes a port between the
#: check and its use.
FIRST_PORT = 20_000
PORT_COUNT = 10_000

#: Each process starts its search in a range chosen by its process id, so that
#: processes that run at the same time seldom ask for the same ports.
PORTS_PER_RANGE = 100


@functools.cache
def _count_offsets() -> itertools.count:
    return itertools.count(os.getpid() * PORTS_PER_RANGE)


def find_ports(count: int) -> int:
    """Find consecutive free ports on the loopback interface.

    They are reserved until this process ends: other processes that look for
    ports meanwhile get others, also while no server listens on these.

    Args:
        count: The number of ports.

    Returns:
        The first port; calls return other ports until all are used up.

    Raises:
        OSError: If no such ports are free.
    """
    run = 0
    for offset in itertools.islice(_count_offsets(), 2 * PORT_COUNT):
        number = FIRST_PORT + offset % PORT_COUNT
        if number == FIRST_PORT:
            run = 0
        run = run + 1 if _is_free(number) and _reserve(number) else 0
        if run == count:
            return number - count + 1
    raise OSError(f'no {count} consecutive ports are free')


def _is_free(number: int) -> bool:
    with gevent_socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', number))
        except OSError:
            # A server uses the port.
            return False
    return True


@functools.cache
def _open_lock_file() -> int:
    # Not closed before the process ends, as that would give up its locks.
    name = f'pimentoway-ports-{os.getuid()}'
    path = pathlib.Path(tempfile.gettempdir(), name)
    return os.open(path, os.O_RDWR | os.O_CREAT, stat.S_IRUSR | stat.S_IWUSR)


def _reserve(number: int) -> bool:
    # A lock of one byte for each port. The kernel releases it when the process
    # ends, however it ends.
    try:
        fcntl.lockf(_open_lock_file(), fcntl.LOCK_EX | fcntl.LOCK_NB, 1, number)
    except OSError:
        # Another process has reserved the port.
        return False
    return True
