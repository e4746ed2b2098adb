"""Incremental parsing of HTTP messages, by llhttp."""

import collections
import dataclasses
import enum

import httptools

from pimentoway.core import error

#: A header: its name, as it was sent, and its value.
Header = tuple[bytes, bytes]

#: Hop-by-hop headers, which are never forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)

#: The most bytes of an answer in a row that belong to no body: its head, with
#: interim answers before it, the framing of a chunk, or trailers.
MAX_FRAMING_BYTES = 65_536

#: The memory of a request that is being read, without its lines and its body,
#: and of a line besides the bytes of its name and value (a tuple, two objects
#: and their place in the list), in bytes.
REQUEST_BYTES = 1024
LINE_BYTES = 176

#: The part of a growing body that is allocated in advance is an eighth.
GROWTH_SHIFT = 3

_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_CHUNKED = b'chunked'
_NO_BODY_STATUSES = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_REDIRECTION = 300
_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_BODY_TOO_LARGE = 413
_NOT_IMPLEMENTED = 501


class MessageError(error.RequestError):
    """A caller's message is not a valid request, or exceeds a limit."""

    def __init__(self, reason: str, status: int = _BAD_REQUEST) -> None:
        """Store the reason and the status of the answer.

        Args:
            reason: The message for the caller.
            status: The HTTP status of the answer.
        """
        super().__init__(reason, 'read request')
        self.status = status


@dataclasses.dataclass(eq=False, slots=True)
class Request:
    """A request, possibly not yet read completely.

    Attributes:
        method: The method.
        target: The path and query.
        headers: The headers in order.
        body: The bytes of the body read so far.
        keep_alive: Whether the connection may carry another request.
        head_complete: Whether the head is complete.
        complete: Whether the request is complete.
        expects_continue: Whether the caller waits for ``100 Continue`` before
            sending the body.
        head_bytes: The bytes of the target and the lines.
        length: The value of ``Content-Length``; 0 without one.
    """

    method: str = ''
    target: bytes = b''
    headers: list[Header] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    keep_alive: bool = True
    head_complete: bool = False
    complete: bool = False
    expects_continue: bool = False
    head_bytes: int = 0
    length: int = 0

    def measure(self) -> int:
        """Measure the memory that the request takes.

        Returns:
            The bytes, at the real cost of its lines.
        """
        size = len(self.body)
        return (
            REQUEST_BYTES
            + self.head_bytes
            + LINE_BYTES * len(self.headers)
            + size
            + (size >> GROWTH_SHIFT)
        )

    def list_header_values(self, name: bytes) -> list[bytes]:
        """List the values of a header.

        Args:
            name: The name in lowercase.

        Returns:
            The values, one for each occurrence of the header.
        """
        return [text for key, text in self.headers if key.lower() == name]


class RequestReader:
    """Parses the bytes of a caller's connection into requests.

    Attributes:
        requests: The requests whose reading has begun, the oldest first.
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        """Start at the beginning of a connection.

        Args:
            header_bytes: The largest head.
            body_bytes: The largest body.
        """
        self.requests: collections.deque[Request] = collections.deque()
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._head_size = 0
        self._unfinished_head_size = 0
        self._framing_size = 0
        self._block_size = 0
        self._skipped_size = 0
        self._original_error: MessageError | None = None
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )

    def measure(self) -> int:
        """Measure the memory that the requests take.

        Returns:
            The bytes.
        """
        if not self.requests:
            return 0
        current = self.requests[-1]
        if not current.head_complete:
            current.head_bytes = self._head_size + self._unfinished_head_size
        if len(self.requests) == 1:
            return current.measure()
        return sum(request.measure() for request in self.requests)

    def drop(self) -> None:
        """Free the memory of the requests, also for those who refer to them.

        Nothing may be fed any more. The parser refers to the reader, and such
        a cycle would stay until the garbage collector finds it.
        """
        self._parser = None
        self._original_error = None
        for request in self.requests:
            request.body.clear()
            request.headers.clear()
        self.requests.clear()

    def count_missing(self) -> int:
        """Count the bytes that the body of the last request still lacks.

        Returns:
            The bytes; 0 if its length is not known, and outside bodies.
        """
        if not self.requests:
            return 0
        current = self.requests[-1]
        return current.length - len(current.body) if current.length else 0

    def feed(self, block: bytes) -> None:
        """Parse bytes received from the caller.

        Args:
            block: The bytes.

        Raises:
            MessageError: If they are not a valid request or exceed a limit.
        """
        current = self.requests[-1] if self.requests else None
        if current is None or not current.head_complete:
            self._count_head_bytes(0)
        self._block_size = len(block)
        is_between = current is None or current.complete
        self._skipped_size = 0 if is_between else -self._block_size
        self._framing_size += self._block_size
        try:
            self._parser.feed_data(block)
        except httptools.HttpParserUpgrade as fault:
            raise MessageError('protocols are not changed here') from fault
        except httptools.HttpParserError as fault:
            raise self._original_error or MessageError(str(fault)) from fault
        self._check_unfinished_head(self._block_size)
        if self._framing_size > self._header_bytes + self._block_size:
            raise MessageError(
                'too many bytes outside the body', _HEAD_TOO_LARGE
            )

    def on_message_begin(self) -> None:
        """Add a new request."""
        self._head_size = 0
        # What belongs to an earlier request in the block does not count.
        self._unfinished_head_size = self._skipped_size
        self._skipped_size = -self._block_size
        self._framing_size = 0
        self.requests.append(Request())

    def on_url(self, part: bytes) -> None:
        """Append a part of the path and query.

        Args:
            part: The bytes.
        """
        self._count_head_bytes(len(part))
        self.requests[-1].target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header, unless it is a trailer.

        Args:
            name: The name.
            text: The value.
        """
        # Three bytes for the colon and the line break; a space may be left out.
        self._count_head_bytes(len(name) + len(text) + 3)
        current = self.requests[-1]
        if not current.head_complete:
            current.headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Evaluate the complete head."""
        current = self.requests[-1]
        current.head_complete = True
        current.head_bytes = self._head_size
        self._framing_size = 0
        current.method = self._parser.get_method().decode('latin-1')
        current.keep_alive = self._parser.should_keep_alive()
        self._check_framing(current)
        expectations = current.list_header_values(b'expect')
        current.expects_continue = any(
            text.lower() == b'100-continue' for text in expectations
        )

    def on_body(self, part: bytes) -> None:
        """Append a part of the body.

        Args:
            part: The bytes.
        """
        current = self.requests[-1]
        if len(current.body) + len(part) > self._body_bytes:
            self._abort(MessageError('the body is too large', _BODY_TOO_LARGE))
        current.body += part
        self._framing_size = 0

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.requests[-1].complete = True
        self._framing_size = 0

    def _check_unfinished_head(self, received: int) -> None:
        # The parser passes on a header only when it is complete.
        if not self.requests or self.requests[-1].head_complete:
            return
        self._unfinished_head_size += received
        if self._unfinished_head_size > self._header_bytes:
            raise MessageError('the head is too large', _HEAD_TOO_LARGE)

    def _check_framing(self, current: Request) -> None:
        codings = current.list_header_values(_TRANSFER_ENCODING)
        if codings and [coding.lower() for coding in codings] != [_CHUNKED]:
            self._abort(
                MessageError('only chunks are understood', _NOT_IMPLEMENTED),
            )
        for length in current.list_header_values(_CONTENT_LENGTH):
            current.length = int(length)
            if current.length > self._body_bytes:
                self._abort(
                    MessageError('the body is too large', _BODY_TOO_LARGE),
                )

    def _count_head_bytes(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._header_bytes:
            self._abort(MessageError('the head is too large', _HEAD_TOO_LARGE))

    def _abort(self, fault: MessageError) -> None:
        # The parser wraps exceptions of its callbacks in its own; ``feed``
        # raises the original.
        self._original_error = fault
        raise fault


class Framing(enum.Enum):
    """How the end of an answer's body is marked."""

    # By a length, or by a status that allows no body.
    length = 'length'
    # By the last chunk.
    chunks = 'chunks'
    # By the end of the connection, whether or not the answer is whole.
    connection = 'connection'


@dataclasses.dataclass(eq=False)
class Answer:
    """An answer, possibly not yet read completely.

    Attributes:
        status: The status.
        reason: The reason phrase after the status.
        headers: The headers in order.
        parts: The parts of the body that were not consumed yet.
        head_complete: Whether the head is complete.
        complete: Whether the answer is complete.
        length: The value of ``Content-Length``; ``None`` without one.
        framing: How the end of the body is marked.
        keep_alive: Whether the connection may carry another request.
    """

    status: int = 0
    reason: bytes = b''
    headers: list[Header] = dataclasses.field(default_factory=list)
    parts: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque,
    )
    head_complete: bool = False
    complete: bool = False
    length: int | None = None
    framing: Framing = Framing.length
    keep_alive: bool = False

    def is_success(self) -> bool:
        """Tell whether the status is that of a success.

        Returns:
            Whether it is.
        """
        return _FIRST_FINAL_STATUS <= self.status < _REDIRECTION


class AnswerReader:
    """Parses the bytes of a back end's connection into answers.

    Attributes:
        answers: The answers whose reading has begun, the oldest first.
        broken: Whether the connection must not be used again, because it
            ended or carried bytes that are not an answer.
    """

    def __init__(self) -> None:
        """Start at the beginning of a connection."""
        self.answers: collections.deque[Answer] = collections.deque()
        self.broken = False
        self._framing_size = 0
        self._parser: httptools.HttpResponseParser | None = (
            httptools.HttpResponseParser(self)
        )

    def drop(self) -> None:
        """Free the parser, as ``RequestReader.drop`` does."""
        self._parser = None

    def feed(self, block: bytes) -> None:
        """Parse bytes received from the back end.

        Invalid bytes, and more than ``MAX_FRAMING_BYTES`` outside a body, end
        reading with a ``ConnectionLostError``. After a complete answer they
        leave the answer valid and only set ``broken``.

        Args:
            block: The bytes.
        """
        self._framing_size += len(block)
        try:
            self._parser.feed_data(block)
        except httptools.HttpParserError as fault:
            self._break_off(f'the answer can not be read: {fault}')
        if self._framing_size > MAX_FRAMING_BYTES:
            self._break_off('the answer has too many bytes outside its body')

    def end(self) -> None:
        """Handle the end of the connection."""
        self.broken = True
        current = self.answers[-1] if self.answers else Answer()
        if current.framing is Framing.connection:
            current.complete = True

    def on_message_begin(self) -> None:
        """Add a new answer."""
        self.answers.append(Answer())

    def on_status(self, part: bytes) -> None:
        """Append a part of the reason phrase.

        Args:
            part: The bytes.
        """
        self.answers[-1].reason += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Append a header, unless it is a trailer.

        Args:
            name: The name.
            text: The value.
        """
        current = self.answers[-1]
        if not current.head_complete:
            current.headers.append((name, text))

    def on_headers_complete(self) -> None:
        """Evaluate the complete head."""
        current = self.answers[-1]
        current.head_complete = True
        current.status = self._parser.get_status_code()
        current.keep_alive = self._parser.should_keep_alive()
        chunked = False
        for name, text in current.headers:
            lowered = name.lower()
            if lowered == _CONTENT_LENGTH:
                current.length = int(text)
            elif lowered == _TRANSFER_ENCODING:
                chunked = True
        current.framing = _find_framing(current, chunked)

    def on_body(self, part: bytes) -> None:
        """Append a part of the body.

        Args:
            part: The bytes.
        """
        self._framing_size = 0
        self.answers[-1].parts.append(part)

    def on_message_complete(self) -> None:
        """Mark the answer as complete, or drop an interim (1xx) answer."""
        current = self.answers[-1]
        if current.status < _FIRST_FINAL_STATUS:
            self.answers.pop()
            return
        if current.framing is not Framing.connection:
            current.complete = True

    def _break_off(self, reason: str) -> None:
        self.broken = True
        if not self.answers or not self.answers[0].complete:
            raise error.ConnectionLostError(reason, 'read')


def _find_framing(answer: Answer, chunked: bool) -> Framing:
    if (
        answer.status in _NO_BODY_STATUSES
        or answer.status < _FIRST_FINAL_STATUS
    ):
        return Framing.length
    if chunked:
        return Framing.chunks
    if answer.length is None:
        return Framing.connection
    return Framing.length


def list_hop_by_hop_headers(headers: list[Header]) -> frozenset[bytes]:
    """List the headers of a message that must not be forwarded.

    Args:
        headers: The headers of the message.

    Returns:
        The names in lowercase: ``HOP_BY_HOP_HEADERS`` and those named by the
        message's ``Connection`` headers.
    """
    fields = [text for name, text in headers if name.lower() == b'connection']
    if not fields:
        return HOP_BY_HOP_HEADERS
    listed = {
        name.strip().lower() for field in fields for name in field.split(b',')
    }
    return HOP_BY_HOP_HEADERS | listed
