"""Tests of telling a crash from a broken connection, over real sockets."""

import collections
import functools

import gevent
import pytest
from gevent import server as gevent_server
from gevent import socket as gevent_socket

from pimentoway.backends import liveness
from pimentoway.core import deployment, message

PROBE = b'GET /load HTTP/1.1\r\n\r\n'

Reply = collections.abc.Callable[[gevent_socket.socket, tuple], None]


def answer(sock: gevent_socket.socket, address: tuple) -> None:
    """Answer with an error, as a running back end may.

    Args:
        sock: The connection.
        address: The peer.
    """
    sock.recv(100)
    sock.sendall(b'HTTP/1.1 503 Full\r\n\r\n')


def answer_counted(
    accepted: list[tuple], sock: gevent_socket.socket, address: tuple
) -> None:
    """Record the connection and answer after a moment.

    Args:
        accepted: The peers, to which this one is added.
        sock: The connection.
        address: The peer.
    """
    accepted.append(address)
    gevent.sleep(0.05)
    answer(sock, address)


def close(sock: gevent_socket.socket, address: tuple) -> None:
    """Close the connection without an answer.

    Args:
        sock: The connection.
        address: The peer.
    """
    sock.close()


def stay_silent(sock: gevent_socket.socket, address: tuple) -> None:
    """Leave the connection open without an answer.

    Args:
        sock: The connection.
        address: The peer.
    """
    gevent.sleep(liveness.CHECK_SECONDS * 3)


def make_engine(address: str) -> deployment.Engine:
    """Make the record of a back end.

    Args:
        address: Its address.

    Returns:
        The record.
    """
    return deployment.Engine('e', 's', address, 'z', 'v1', 6, False, 0, 1)


def make_checker(
    *heard: list[message.Answer], usable: bool = True
) -> liveness.LivenessChecker:
    """Make a checker.

    Args:
        *heard: Lists to which it adds the answers.
        usable: Whether the back ends may get requests.

    Returns:
        The checker.
    """
    return liveness.LivenessChecker(
        PROBE,
        lambda engine: usable,
        lambda engine, answer: [one.append(answer) for one in heard],
    )


@pytest.mark.parametrize(
    ('reply', 'crashed'),
    [(answer, False), (close, True), (stay_silent, False)],
)
def test_only_refusal_shows_a_crash(reply: Reply, crashed: bool) -> None:
    """A slow or overloaded back end is running."""
    server = gevent_server.StreamServer(('127.0.0.1', 0), reply)
    server.start()
    engine = make_engine(f'127.0.0.1:{server.server_port}')
    checker = make_checker()
    assert checker.has_crashed(engine) == crashed
    server.stop()
    assert checker.has_crashed(engine)


def test_simultaneous_checks_share_a_connection() -> None:
    """All requests of a crashed back end break at once: one check is made."""
    accepted: list[tuple] = []
    server = gevent_server.StreamServer(
        ('127.0.0.1', 0), functools.partial(answer_counted, accepted)
    )
    server.start()
    engine = make_engine(f'127.0.0.1:{server.server_port}')
    checker = make_checker()
    checks = [gevent.spawn(checker.has_crashed, engine) for _ in range(6)]
    gevent.joinall(checks, raise_error=True)
    assert len(accepted) == 1
    assert not checker._check_by_address


def test_answer_to_a_check_is_heard() -> None:
    """It may announce that the back end leaves."""
    server = gevent_server.StreamServer(('127.0.0.1', 0), answer)
    server.start()
    heard: list[message.Answer] = []
    engine = make_engine(f'127.0.0.1:{server.server_port}')
    assert not make_checker(heard).has_crashed(engine)
    assert [answered.status for answered in heard] == [503]


def test_unusable_back_end_is_not_checked() -> None:
    """It wants no requests, and counts as running without one."""
    engine = make_engine('127.0.0.1:1')
    assert make_checker().has_crashed(engine)
    assert not make_checker(usable=False).has_crashed(engine)
