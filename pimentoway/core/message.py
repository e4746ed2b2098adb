"""HTTP messages as they stand on a connection, parsed by llhttp."""

import collections
import dataclasses

import httptools

from pimentoway.core import error

#: A header: its name as it was sent, and its text.
Header = tuple[bytes, bytes]

#: Headers that concern one connection and are never passed on.
CONNECTION_HEADERS = frozenset(
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

_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'
_CHUNKED = b'chunked'
_NO_BODY_STATUSES = frozenset((204, 304))
_INFORMATION = 200
_BAD_REQUEST = 400
_HEAD_TOO_LARGE = 431
_BODY_TOO_LARGE = 413
_UNSUPPORTED = 501


class MessageError(error.RequestError):
    """A caller sent what is no proper request."""

    def __init__(self, reason: str, status: int = _BAD_REQUEST) -> None:
        """Keep the reason and the status of the answer.

        Args:
            reason: A short sentence for people.
            status: The HTTP status of the answer.
        """
        super().__init__(reason, 'read request')
        self.status = status


@dataclasses.dataclass(eq=False)
class Request:
    """A request as it was read.

    Attributes:
        method: The method.
        target: The path with its query.
        headers: The headers in order.
        body: The body.
        keep_alive: Whether the connection may be used again.
        headed: Whether the head is whole.
        whole: Whether all of it was read.
        expects: Whether the caller waits for permission to send the body.
    """

    method: str = ''
    target: bytes = b''
    headers: list[Header] = dataclasses.field(default_factory=list)
    body: bytearray = dataclasses.field(default_factory=bytearray)
    keep_alive: bool = True
    headed: bool = False
    whole: bool = False
    expects: bool = False

    def list_texts(self, name: bytes) -> list[bytes]:
        """List the texts of a header.

        Args:
            name: The name in lowercase.

        Returns:
            The texts, one for each time it was sent.
        """
        return [text for key, text in self.headers if key.lower() == name]


class RequestReader:
    """Cuts what a caller sends into requests.

    Attributes:
        requests: The requests begun, the oldest first.
    """

    def __init__(self, header_bytes: int, body_bytes: int) -> None:
        """Start at the beginning of a connection.

        Args:
            header_bytes: The bytes of a head at the most.
            body_bytes: The bytes of a body at the most.
        """
        self.requests: collections.deque[Request] = collections.deque()
        self._header_bytes = header_bytes
        self._body_bytes = body_bytes
        self._head_size = 0
        self._fault: MessageError | None = None
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, block: bytes) -> None:
        """Take in what the caller sent.

        Args:
            block: The bytes.

        Raises:
            MessageError: If it is no proper request.
        """
        current = self.requests[-1] if self.requests else None
        if current is None or not current.headed:
            self._grow_head(0)
        try:
            self._parser.feed_data(block)
        except httptools.HttpParserUpgrade as fault:
            raise MessageError('protocols are not changed here') from fault
        except httptools.HttpParserError as fault:
            raise self._fault or MessageError(str(fault)) from fault
        unfinished = self.requests and not self.requests[-1].headed
        if unfinished and len(block) > self._header_bytes:
            raise MessageError('the head is too large', _HEAD_TOO_LARGE)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._head_size = 0
        self.requests.append(Request())

    def on_url(self, part: bytes) -> None:
        """Take in a part of the path.

        Args:
            part: The part.
        """
        self._grow_head(len(part))
        self.requests[-1].target += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take in a header.

        Args:
            name: Its name.
            text: Its text.
        """
        # The four bytes are the colon, the space and the end of the line.
        self._grow_head(len(name) + len(text) + 4)
        current = self.requests[-1]
        if not current.headed:
            current.headers.append((name, text))

    def on_headers_complete(self) -> None:
        """End the head."""
        current = self.requests[-1]
        current.headed = True
        current.method = self._parser.get_method().decode('latin-1')
        current.keep_alive = self._parser.should_keep_alive()
        self._check_framing(current)
        expectations = current.list_texts(b'expect')
        current.expects = any(
            text.lower() == b'100-continue' for text in expectations
        )

    def on_body(self, part: bytes) -> None:
        """Take in a part of the body.

        Args:
            part: The part.
        """
        current = self.requests[-1]
        if len(current.body) + len(part) > self._body_bytes:
            self._fail(MessageError('the body is too large', _BODY_TOO_LARGE))
        current.body += part

    def on_message_complete(self) -> None:
        """End the request."""
        self.requests[-1].whole = True

    def _check_framing(self, current: Request) -> None:
        codings = current.list_texts(_TRANSFER_ENCODING)
        if codings and [one.lower() for one in codings] != [_CHUNKED]:
            self._fail(
                MessageError('only chunks are understood', _UNSUPPORTED),
            )
        for text in current.list_texts(_CONTENT_LENGTH):
            if int(text) > self._body_bytes:
                self._fail(
                    MessageError('the body is too large', _BODY_TOO_LARGE),
                )

    def _grow_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._header_bytes:
            self._fail(MessageError('the head is too large', _HEAD_TOO_LARGE))

    def _fail(self, fault: MessageError) -> None:
        # The parser wraps what its callbacks raise.
        self._fault = fault
        raise fault


@dataclasses.dataclass(eq=False)
class Answer:
    """An answer as it is read.

    Attributes:
        status: The status.
        reason: The text beside the status.
        headers: The headers in order.
        parts: The parts of the body that nobody took yet.
        headed: Whether the head is whole.
        whole: Whether all of it was read.
        length: The length of the body, if it was announced.
        until_end: Whether the body ends with the connection.
        keep_alive: Whether the connection may be used again.
    """

    status: int = 0
    reason: bytes = b''
    headers: list[Header] = dataclasses.field(default_factory=list)
    parts: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque,
    )
    headed: bool = False
    whole: bool = False
    length: int | None = None
    until_end: bool = False
    keep_alive: bool = False


class AnswerReader:
    """Cuts what a back end sends into answers.

    Attributes:
        answers: The answers begun, the oldest first.
        broken: Whether something came that is no answer.
    """

    def __init__(self) -> None:
        """Start at the beginning of a connection."""
        self.answers: collections.deque[Answer] = collections.deque()
        self.broken = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, block: bytes) -> None:
        """Take in what the back end sent.

        What follows a whole answer and is none itself marks the connection
        as broken, and the answer stands.

        Args:
            block: The bytes.

        Raises:
            CutError: If no whole answer came before what is no answer.
        """
        try:
            self._parser.feed_data(block)
        except httptools.HttpParserError as fault:
            self.broken = True
            if not self.answers or not self.answers[0].whole:
                raise error.CutError(
                    f'the answer can not be read: {fault}', 'read'
                ) from fault

    def end(self) -> None:
        """Take in that the back end closed the connection."""
        self.broken = True
        if self.answers and self.answers[-1].until_end:
            self.answers[-1].whole = True

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.answers.append(Answer())

    def on_status(self, part: bytes) -> None:
        """Take in a part of the text beside the status.

        Args:
            part: The part.
        """
        self.answers[-1].reason += part

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take in a header.

        Args:
            name: Its name.
            text: Its text.
        """
        current = self.answers[-1]
        if not current.headed:
            current.headers.append((name, text))

    def on_headers_complete(self) -> None:
        """End the head."""
        current = self.answers[-1]
        current.headed = True
        current.status = self._parser.get_status_code()
        current.keep_alive = self._parser.should_keep_alive()
        chunked = False
        for name, text in current.headers:
            lowered = name.lower()
            if lowered == _CONTENT_LENGTH:
                current.length = int(text)
            elif lowered == _TRANSFER_ENCODING:
                chunked = True
        empty = (
            current.status in _NO_BODY_STATUSES or current.status < _INFORMATION
        )
        current.until_end = not (empty or chunked or current.length is not None)

    def on_body(self, part: bytes) -> None:
        """Take in a part of the body.

        Args:
            part: The part.
        """
        self.answers[-1].parts.append(part)

    def on_message_complete(self) -> None:
        """End the answer, unless it is only an interim one."""
        current = self.answers[-1]
        if current.status < _INFORMATION:
            self.answers.pop()
            return
        if not current.until_end:
            current.whole = True


def list_connection_names(headers: list[Header]) -> frozenset[bytes]:
    """List the headers that must not be passed on.

    Args:
        headers: The headers of a message.

    Returns:
        The names in lowercase: those that always concern one connection, and
        those that the message says concern it.
    """
    named = [text for name, text in headers if name.lower() == b'connection']
    if not named:
        return CONNECTION_HEADERS
    listed = {one.strip().lower() for text in named for one in text.split(b',')}
    return CONNECTION_HEADERS | listed
