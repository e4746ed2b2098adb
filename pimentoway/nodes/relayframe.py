"""Frames between a node and the node that relays a request for it.

A connection carries one request. The node sends ``Open``, then the relay
connects to the back end and sends ``Opened`` or ``Denied``; only then the node
sends ``Dispatch`` and the body. The relay sends the bytes of the back end
unchanged, and tells how its connection ended.
"""

import enum
import re
import types

import msgspec

from pimentoway.core import call, deployment, error, message
from pimentoway.nodes import frame

#: The largest frame in bytes. It holds the head of a request, which callers'
#: limits bound to less, or a part of a body.
MAX_FRAME_BYTES = 0x40000

#: The bytes of a body in one frame.
PART_BYTES = 0x10000

#: The longest time that a frame may tell, in seconds.
MAX_SECONDS = 86_400

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_TARGET = re.compile(rb'/[^\x00-\x20\x7f]*')
_LINE = re.compile(rb'[^\x00\r\n]*')


class Open(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a connection to a back end.

    Attributes:
        node: The name of the node that asks.
        engine: The name of the back end.
        size: The length of the request's body, in bytes.
        max_idle: The longest time, in seconds, for which the connection may
            have been idle.
        request_id: The identifier of the request; '' from earlier releases.
    """

    node: str
    engine: str
    size: int
    max_idle: float
    request_id: str = ''


class Dispatch(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The head of the request; its body follows.

    Attributes:
        request_id: The caller's identifier of this attempt.
        method: The HTTP method.
        target: The path and query.
        headers: The headers that are forwarded.
        customer: The name of the customer; '' for none.
        time_left: Seconds left until the deadline of the request.
        after_event: The identifier of the event to resume after; '' for none.
        may_crash: Whether it matters if the back end crashes on the request.
    """

    request_id: str
    method: str
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    customer: str
    time_left: float
    after_event: bytes
    may_crash: bool


class Body(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """The next part of the request's body.

    Attributes:
        part: The bytes.
    """

    part: bytes


class Opened(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The relay is connected to the back end.

    Attributes:
        reused: Whether the connection carried a request before.
    """

    reused: bool


class Denial(enum.IntEnum):
    """Why a relay takes no request. Nothing was sent."""

    # It can't connect to the back end.
    unreachable = 1
    # It is draining or full, or it must not use the back end.
    unavailable = 2


class Denied(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The relay takes no request.

    Attributes:
        reason: The reason.
        text: The reason in words, for the log.
    """

    reason: Denial
    text: str


class Acknowledged(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The kernel of the back end has received the whole request."""


class Received(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Bytes of the back end.

    Attributes:
        part: The bytes.
    """

    part: bytes


class End(enum.IntEnum):
    """How the exchange with the back end ended."""

    # Its answer is complete.
    complete = 1
    # It closed the connection.
    closed = 2
    # The connection broke.
    reset = 3
    # It sent nothing until the deadline.
    silent = 4
    # The connection ended, and the back end refuses new ones.
    crashed = 5


class Ended(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The last frame of the relay.

    Attributes:
        end: How the exchange ended.
    """

    end: End


_REQUEST_DECODER = msgspec.msgpack.Decoder(Open | Dispatch | Body)
_ANSWER_DECODER = msgspec.msgpack.Decoder(
    Opened | Denied | Acknowledged | Received | Ended
)

#: The decoders of the frames that a relay gets, and of those that it sends.
DECODERS_BY_ROLE = types.MappingProxyType(
    {'relay': _REQUEST_DECODER, 'node': _ANSWER_DECODER}
)


def make_reader(role: str) -> frame.FrameReader:
    """Make a reader of the frames that one of the two nodes gets.

    Args:
        role: ``relay`` or ``node``, a key of ``DECODERS_BY_ROLE``.

    Returns:
        The reader.
    """
    return frame.FrameReader(DECODERS_BY_ROLE[role], MAX_FRAME_BYTES)


def encode_request(dispatch: call.Dispatch) -> bytes:
    """Encode a request as frames.

    Args:
        dispatch: The request.

    Returns:
        The frames of its head and its body.
    """
    request = dispatch.request
    head = Dispatch(
        request_id=request.request_id,
        method=request.method,
        target=request.target,
        headers=request.headers,
        customer=dispatch.customer,
        time_left=max(0, min(dispatch.timeout_seconds, MAX_SECONDS)),
        after_event=dispatch.after_event,
        may_crash=bool(request.shared_parts),
    )
    body = memoryview(request.body)
    parts = [frame.encode(head)]
    for start in range(0, len(body), PART_BYTES):
        parts.append(frame.encode(Body(body[start : start + PART_BYTES])))
    return b''.join(parts)


def check_open(opening: Open) -> None:
    """Check the values of an ``Open``.

    Args:
        opening: The frame.

    Raises:
        NodeError: If a value is out of its range.
    """
    if opening.size < 0 or not 0 <= opening.max_idle <= MAX_SECONDS:
        raise error.NodeError(
            f'the values of {opening} are out of range', 'relay', opening.node
        )


def make_dispatch(
    head: Dispatch, body: bytes, engine: deployment.Engine, seconds: float
) -> call.Dispatch:
    """Rebuild the request that another node sent.

    Args:
        head: Its head.
        body: Its body.
        engine: The back end.
        seconds: The time that is left for it.

    Returns:
        The request.
    """
    request = call.CallerRequest(
        request_id=head.request_id,
        method=head.method,
        target=head.target,
        host='',
        path='',
        key='',
        timeout_seconds=None,
        token_counts=None,
        headers=head.headers,
        body=body,
        keep_alive=True,
        resumes=False,
    )
    return call.Dispatch(
        request, engine, head.customer, seconds, head.after_event
    )


def check_dispatch(head: Dispatch) -> None:
    """Check that the head of a request can be written as one.

    Args:
        head: The head.

    Raises:
        NodeError: If a text holds characters that would change the framing,
            or the time is out of its range.
    """
    if not 0 <= head.time_left <= MAX_SECONDS:
        raise error.NodeError(
            f'the time {head.time_left} of a request is out of range', 'relay'
        )
    texts: list[message.Header] = list(head.headers)
    texts.append((head.method.encode(), head.customer.encode()))
    texts.append((b'after-event', head.after_event))
    for name, text in texts:
        if not (_TOKEN.fullmatch(name) and _LINE.fullmatch(text)):
            raise error.NodeError(
                f'a request has the odd header {name!r}: {text!r}', 'relay'
            )
    if not _TARGET.fullmatch(head.target):
        raise error.NodeError(
            f'a request has the odd target {head.target!r}', 'relay'
        )
