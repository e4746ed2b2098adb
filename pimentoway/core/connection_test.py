"""Tests of the non-blocking checks of connections."""

import gevent
from gevent import socket as gevent_socket

from pimentoway.core import connection


def test_is_readable_does_not_switch_greenlets() -> None:
    """A switch would let another greenlet outdate the result."""
    checked, peer = gevent_socket.socketpair()
    ran = []
    gevent.spawn(ran.append, 'other task')
    assert not connection.is_readable(checked)
    peer.send(b'x')
    assert connection.is_readable(checked)
    assert not ran
    checked.close()
    peer.close()
