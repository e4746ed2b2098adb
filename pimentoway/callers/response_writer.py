"""Writes responses to callers: forwarded ones and the node's own errors."""

import dataclasses
import types

from pimentoway.callers import connection
from pimentoway.core import codec, error, message

#: The size from which a body is not joined with its head, in bytes: a copy of
#: it would be held until the caller has read it.
JOINED_BYTES = 65_536

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
class BufferedResponse:
    """A back end's response whose body was read completely.

    Attributes:
        status: The HTTP status.
        reason: The reason phrase of the status line.
        headers: The headers in the order received.
        body: The body, decoded from its transfer encoding.
    """

    status: int
    reason: bytes
    headers: tuple[message.Header, ...]
    body: bytes


class ResponseWriter:
    """Writes the response to one request.

    Attributes:
        started: Whether the head of the response was written.
        keep_alive: Whether the connection may carry another request.
    """

    def __init__(
        self, caller: connection.CallerConnection, raw: message.Request
    ) -> None:
        """Prepare for a request without writing anything.

        Args:
            caller: The connection to the caller.
            raw: The HTTP request; a HEAD request gets no body.
        """
        self.started = False
        self.keep_alive = raw.keep_alive
        self._caller = caller
        self._omits_body = raw.method == 'HEAD'

    def write_response(self, response: BufferedResponse) -> None:
        """Write a back end's response.

        Args:
            response: The response. Headers that concern only the back end's
                connection are left out.
        """
        head = self._make_head(
            response.status, response.reason, response.headers
        )
        length = b'Content-Length: %d\r\n' % len(response.body)
        body = b'' if self._omits_body else response.body
        self.started = True
        if len(body) < JOINED_BYTES:
            self._caller.write(b'%s%s\r\n%s' % (head, length, body))
            return
        self._caller.write(b'%s%s\r\n' % (head, length))
        self._caller.write(body)

    def begin_stream(self, response: message.Answer, events: bytes) -> None:
        """Write the head and the first events of a stream.

        Args:
            response: The back end's response, of which the head is used.
            events: The first events; empty if the stream has none.
        """
        headers = tuple(response.headers)
        head = self._make_head(response.status, response.reason, headers)
        self.started = True
        chunk = _make_chunk(events)
        self._caller.write(b'%s%s\r\n%s' % (head, _CHUNKED_HEAD, chunk))

    def write_events(self, events: bytes) -> None:
        """Write further events of a stream.

        Args:
            events: One or more complete events.
        """
        self._caller.write(_make_chunk(events))

    def end_stream(self, rest: bytes) -> None:
        """End a stream that is complete.

        Args:
            rest: The bytes after the last event; usually empty.
        """
        self._caller.write(b'%s%s' % (_make_chunk(rest), _LAST_CHUNK))

    def write_error(self, fault: error.PimentowayError) -> None:
        """Write an error response of the node itself.

        Args:
            fault: The error, which sets the status and the body. Retry-After
                is sent only for requests that were not run.
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
        if not self.keep_alive or self._caller.closing:
            lines.append('Connection: close')
        self.started = True
        sent_body = b'' if self._omits_body else body
        head = '\r\n'.join(lines).encode()
        self._caller.write(b'%s\r\n\r\n%s' % (head, sent_body))

    def _make_head(
        self, status: int, reason: bytes, headers: tuple[message.Header, ...]
    ) -> bytes:
        dropped = message.list_hop_by_hop_headers(list(headers)) | {_LENGTH}
        lines = [b'HTTP/1.1 %d %s\r\n' % (status, reason)]
        lines.extend(
            b'%s: %s\r\n' % (name, text)
            for name, text in headers
            if name.lower() not in dropped
        )
        if not self.keep_alive or self._caller.closing:
            lines.append(_CLOSE_HEAD)
        return b''.join(lines)


def _make_chunk(block: bytes) -> bytes:
    # An empty chunk would end the body.
    return b'%x\r\n%s\r\n' % (len(block), block) if block else b''
