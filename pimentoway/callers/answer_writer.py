"""Writes answers: those of back ends unchanged, and the node's own."""

import dataclasses
import types

from pimentoway.callers import connection
from pimentoway.core import codec, error, message

_LENGTH = b'content-length'
_CHUNKED_HEAD = b'Transfer-Encoding: chunked\r\n'
_CLOSE_HEAD = b'Connection: close\r\n'
_LAST_CHUNK = b'0\r\n\r\n'

_REASONS_BY_STATUS = types.MappingProxyType(
    {
        400: 'Bad Request',
        401: 'Unauthorized',
        404: 'Not Found',
        429: 'Too Many Requests',
        502: 'Bad Gateway',
        503: 'Service Unavailable',
        504: 'Gateway Timeout',
    },
)


@dataclasses.dataclass(frozen=True)
class WholeAnswer:
    """A back end's answer, whole.

    Attributes:
        status: The status.
        reason: The text beside it.
        headers: The headers.
        body: The body.
    """

    status: int
    reason: bytes
    headers: tuple[message.Header, ...]
    body: bytes


class AnswerWriter:
    """Writes the answer to one request.

    Attributes:
        begun: Whether the head was written.
        stays: Whether the connection may carry another request.
    """

    def __init__(
        self, caller: connection.CallerConnection, raw: message.Request
    ) -> None:
        """Write to a caller.

        Args:
            caller: The connection.
            raw: The request.
        """
        self.begun = False
        self.stays = raw.keep_alive
        self._caller = caller
        self._bodiless = raw.method == 'HEAD'

    def write_whole(self, whole: WholeAnswer) -> None:
        """Write a back end's answer.

        Args:
            whole: The answer.
        """
        head = self._make_head(whole.status, whole.reason, whole.headers)
        length = b'Content-Length: %d\r\n' % len(whole.body)
        body = b'' if self._bodiless else whole.body
        self.begun = True
        self._caller.write(b'%s%s\r\n%s' % (head, length, body))

    def begin_stream(self, answer: message.Answer, first: bytes) -> None:
        """Write the head and the first events of a stream.

        Args:
            answer: The back end's answer.
            first: The events.
        """
        headers = tuple(answer.headers)
        head = self._make_head(answer.status, answer.reason, headers)
        self.begun = True
        chunk = _make_chunk(first)
        self._caller.write(b'%s%s\r\n%s' % (head, _CHUNKED_HEAD, chunk))

    def write_events(self, events: bytes) -> None:
        """Write further events.

        Args:
            events: The events.
        """
        self._caller.write(_make_chunk(events))

    def end_stream(self, rest: bytes) -> None:
        """End a stream that is whole.

        Args:
            rest: What is left of it.
        """
        self._caller.write(b'%s%s' % (_make_chunk(rest), _LAST_CHUNK))

    def write_error(self, fault: error.PimentowayError) -> None:
        """Write an answer of the node's own.

        Args:
            fault: What went wrong.
        """
        body = codec.encode_json(
            {'error': {'type': fault.code, 'message': fault.reason}},
        )
        reason = _REASONS_BY_STATUS.get(fault.status, 'Error')
        lines = [
            f'HTTP/1.1 {fault.status} {reason}',
            'Content-Type: application/json',
            f'Content-Length: {len(body)}',
        ]
        if fault.retry_after and isinstance(fault, error.NotRunError):
            lines.append(f'Retry-After: {fault.retry_after:.2f}')
        if not self.stays or self._caller.closing:
            lines.append('Connection: close')
        self.begun = True
        shown = b'' if self._bodiless else body
        head = '\r\n'.join(lines).encode()
        self._caller.write(b'%s\r\n\r\n%s' % (head, shown))

    def _make_head(
        self, status: int, reason: bytes, headers: tuple[message.Header, ...]
    ) -> bytes:
        dropped = message.list_connection_names(list(headers)) | {_LENGTH}
        lines = [b'HTTP/1.1 %d %s\r\n' % (status, reason)]
        lines.extend(
            b'%s: %s\r\n' % (name, text)
            for name, text in headers
            if name.lower() not in dropped
        )
        if not self.stays or self._caller.closing:
            lines.append(_CLOSE_HEAD)
        return b''.join(lines)


def _make_chunk(block: bytes) -> bytes:
    return b'%x\r\n%s\r\n' % (len(block), block) if block else b''
