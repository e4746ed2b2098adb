"""Finds free TCP ports for the processes of tests."""

import itertools
import os

from gevent import socket as gevent_socket

#: The lowest port used. The system's own range of ephemeral ports starts at
#: 32,768, so no connection takes a port between the check and its use.
FIRST_PORT = 20_000

#: Each process starts its search in a range chosen by its process id, so that
#: two processes seldom probe the same port at the same time.
PORTS_PER_RANGE = 100
RANGE_COUNT = 100

_CALL_NUMBERS = itertools.count()


def find_ports(count: int) -> int:
    """Find consecutive free ports on the loopback interface.

    Args:
        count: The number of ports.

    Returns:
        The first port; calls return other ports until the range is used up.
    """
    while True:
        offset = os.getpid() % RANGE_COUNT * PORTS_PER_RANGE
        # Skips the ports returned by earlier calls.
        offset += count * next(_CALL_NUMBERS)
        first = FIRST_PORT + offset % (RANGE_COUNT * PORTS_PER_RANGE)
        if all(_is_free(first + number) for number in range(count)):
            return first


def _is_free(number: int) -> bool:
    with gevent_socket.socket() as probe:
        try:
            probe.bind(('127.0.0.1', number))
        except OSError:
            # Another process uses the port.
            return False
    return True
