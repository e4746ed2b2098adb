"""Tests of what is done with connections without waiting."""

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import connection


def test_looking_lets_nothing_else_run() -> None:
    """A decision on what a look saw must not be overtaken by another task."""
    one, other = gevent_socket.socketpair()
    ran = []
    gevent.spawn(ran.append, 'other task')
    assert not connection.is_readable(one)
    other.send(b'x')
    assert connection.is_readable(one)
    assert not ran
    one.close()
    other.close()
