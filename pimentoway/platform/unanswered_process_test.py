"""Tests that each request that was read whole gets an answer."""

import dataclasses
import functools
import time

import gevent
import msgspec
import pytest

from pimentoway.core import deployment, message
from pimentoway.nodes import link
from pimentoway.ops import slot, slotclient_test
from pimentoway.platform import edge_process_test, scripted_engine

IDLE_SECONDS = 0.6

#: Seconds before the end of the idle time at which the event loop of the node
#: begins to stand still, and for how long it does.
EARLY_SECONDS = 0.15
PAUSE_SECONDS = 0.4


def raise_key_error(*args: object) -> None:
    """Raise an error that no part of the node raises on purpose.

    Args:
        *args: Ignored.

    Raises:
        KeyError: Always.
    """
    raise KeyError(args)


@functools.cache
def make_engine() -> scripted_engine.ScriptedEngine:
    """Start an engine that all tests share.

    Returns:
        The engine, which answers each request.
    """
    return scripted_engine.ScriptedEngine('e1')


# Guards against connections that end without an answer because an unexpected
# error was raised before the request was sent to a back end.
@pytest.mark.parametrize('path', ['/safe/x', '/unsafe/x', '/stream/x'])
def test_unexpected_error_is_a_refusal(path: str) -> None:
    """The request was not run, so the caller may send it again."""
    harness = edge_process_test.NodeHarness(make_engine())
    harness.node.slots.acquire_slot = raise_key_error
    status, headers, _ = harness.call(path)
    assert status == 503
    assert float(headers['Retry-After']) > 0


# Guards against connections that end without an answer because the head of the
# request can't be decoded for an unexpected reason.
@pytest.mark.parametrize('digits', [300, 400, 4000, 5000])
def test_huge_time_limit_is_answered(digits: int) -> None:
    """A number of any length in a header leads to some answer."""
    harness = edge_process_test.NodeHarness(make_engine())
    limit = '9' * digits
    extra = f'Connection: close\r\nPimentoway-Deadline-Ms: {limit}\r\n'
    status, _, _ = harness.call('/safe/x', extra=extra)
    assert status in {200, 400}


def test_unexpected_error_of_decoder_is_a_refusal() -> None:
    """The request was not run, so the caller may send it again."""
    harness = edge_process_test.NodeHarness(make_engine())
    forwarder = harness.node._forwarder
    forwarder._dialect = dataclasses.replace(
        forwarder._dialect, read_request=raise_key_error
    )
    status, headers, _ = harness.call('/safe/x')
    assert status == 503
    assert float(headers['Retry-After']) > 0


# Guards against connections that end without an answer because an unexpected
# error was raised after the request was sent to a back end.
def test_error_after_dispatch_is_no_refusal() -> None:
    """The back end may have run the request, so it is not refused."""
    harness = edge_process_test.NodeHarness(make_engine())
    harness.node._channels._dialect = FailingDialect()
    status, headers, _ = harness.call('/unsafe/x')
    assert status == 504
    assert 'Retry-After' not in headers


# Guards against slot requests of other nodes that wait until their callers have
# gone, because the broker raised an unexpected error.
def test_unexpected_error_of_broker_is_a_refusal() -> None:
    """The node that sent the slot request gets a reply, and its link stays."""
    node = edge_process_test.NodeHarness().node
    replies: list[slot.Refusal] = []
    node.broker.submit = raise_key_error
    node._links.reply = lambda requester, reply: replies.append(reply)
    source = link.Link(None, 'n2', node.view)
    request = slotclient_test.REQUEST
    node._on_message(source, request)
    assert [reply.number for reply in replies] == [request.number]


# Guards against slots that nobody uses: the error came after the slot request
# had been queued, which was refused and later granted.
def test_refused_slot_request_gets_no_grant() -> None:
    """The broker forgets a slot request that it could not handle."""
    node = edge_process_test.NodeHarness(make_engine()).node
    replies: list[object] = []
    node._links.reply = lambda requester, reply: replies.append(reply)
    source = link.Link(None, 'n2', node.view)
    source.requester = 'n2/1'
    grant_slots = node.broker._grant_slots
    node.broker._grant_slots = raise_key_error
    request = msgspec.structs.replace(
        slotclient_test.REQUEST, number=7, service='s', customer=''
    )
    node._on_message(source, request)
    node.broker._grant_slots = grant_slots
    assert len(replies) == 1
    assert not node.broker.count_waiting()


class FailingDialect:
    """A dialect whose answers can't be decoded for an unexpected reason."""

    def read_metadata(self, answer: message.Answer) -> None:
        """Fail.

        Args:
            answer: The answer of the back end.
        """
        raise_key_error(answer)


# Guards against connections that end without an answer because a route in the
# configuration names no service.
def test_route_without_service_is_refused() -> None:
    """The node has nothing to choose from, which the caller is told."""
    harness = edge_process_test.NodeHarness(make_engine())
    harness.configure(2, (edge_process_test.make_route('safe', shares=()),))
    status, _, body = harness.call('/safe/x')
    assert status == 503
    assert b'no_backend' in body


# Guards against an idle connection that is closed although the next request
# has arrived: the event loop stood still beyond the end of the idle time, and
# the request came before the task of the connection ran again.
def test_request_before_the_close_is_answered() -> None:
    """The socket is looked at once more when the idle time is over."""
    harness = edge_process_test.NodeHarness(make_engine())
    limits = deployment.CallerLimits(idle_seconds=IDLE_SECONDS)
    harness.node._forwarder.read_limits = lambda: limits
    sock = harness.connect()
    sock.sendall(edge_process_test.make_request('/safe/x', extra=''))
    assert sock.recv(65536).startswith(b'HTTP/1.1 200')
    # Both timers are due after the pause, this one first.
    gevent.spawn_later(
        IDLE_SECONDS - EARLY_SECONDS / 2,
        sock.sendall,
        edge_process_test.make_request('/safe/x'),
    )
    gevent.sleep(IDLE_SECONDS - EARLY_SECONDS)
    time.sleep(PAUSE_SECONDS)
    status, _, _ = edge_process_test.parse_answer(
        edge_process_test.read_all(sock)
    )
    assert status == 200


# Guards against a whole request that is refused as too slow: the event loop
# stood still beyond the time for its head, or its body, while the rest came.
@pytest.mark.parametrize('sent', [20, -1])
def test_request_that_came_in_a_pause_is_served(sent: int) -> None:
    """What waits in the socket is read when the time is over."""
    harness = edge_process_test.NodeHarness(make_engine())
    limits = deployment.CallerLimits(
        idle_seconds=IDLE_SECONDS, header_seconds=IDLE_SECONDS
    )
    harness.node._forwarder.read_limits = lambda: limits
    request = edge_process_test.make_request('/safe/x')
    sock = harness.connect()
    sock.sendall(request[:sent])
    # Both timers are due after the pause, this one first.
    gevent.spawn_later(
        IDLE_SECONDS - EARLY_SECONDS / 2, sock.sendall, request[sent:]
    )
    gevent.sleep(IDLE_SECONDS - EARLY_SECONDS)
    time.sleep(PAUSE_SECONDS)
    status, _, _ = edge_process_test.parse_answer(
        edge_process_test.read_all(sock)
    )
    assert status == 200
