"""Tests that each request that was read whole gets an answer."""

import functools

import pytest

from pimentoway.core import message
from pimentoway.platform import edge_process_test, scripted_engine


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


# Guards against connections that end without an answer because an unexpected
# error was raised after the request was sent to a back end.
def test_error_after_dispatch_is_no_refusal() -> None:
    """The back end may have run the request, so it is not refused."""
    harness = edge_process_test.NodeHarness(make_engine())
    harness.node._channels._dialect = FailingDialect()
    status, headers, _ = harness.call('/unsafe/x')
    assert status == 504
    assert 'Retry-After' not in headers


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
