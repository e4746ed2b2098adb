"""Tests of links over real sockets, beside pauses of the process."""

import time

import gevent
from gevent import socket as gevent_socket

from pimentoway.nodes import link
from pimentoway.ops import view


def open_links() -> tuple[link.Link, link.Link]:
    """Run both ends of a link.

    Returns:
        The ends.
    """
    ends = tuple(
        link.Link(sock, 'peer', view.View())
        for sock in gevent_socket.socketpair()
    )
    for end in ends:
        gevent.spawn(end.run, print)
    gevent.sleep(0.25)
    return ends


# The machines of all nodes stood still, or had no processor time: each node
# then took its broker for gone, although the next message came at once.
def test_pause_of_both_ends_closes_no_link() -> None:
    """The time of the pause does not count as silence of the peer."""
    ends = open_links()
    time.sleep(2 * link.SILENCE_SECONDS)
    gevent.sleep(link.SILENCE_SECONDS)
    assert all(end.open for end in ends)


def test_silent_end_closes_the_link() -> None:
    """A peer that sends nothing counts as gone in time."""
    one, two = gevent_socket.socketpair()
    end = link.Link(one, 'peer', view.View())
    gevent.spawn(end.run, print)
    two.sendall(b'')
    gevent.sleep(link.SILENCE_SECONDS + 0.05)
    assert not end.open
