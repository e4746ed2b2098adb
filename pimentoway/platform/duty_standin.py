"""A stand-in for the platform's API, which keeps the calls of the holders."""

import collections
import types
import typing

import gevent
import msgspec
from gevent import event as gevent_event

from pimentoway.core import clock, serving
from pimentoway.platform import duty_record
from pimentoway.soak import duty_check

#: The most connections at once, and the seconds for which one may stall.
MAX_CONNECTIONS = 500
STALL_SECONDS = 60.0

_STATUS_LINES_BY_CODE = types.MappingProxyType(
    {
        200: '200 OK',
        400: '400 Bad Request',
        429: '429 Too Many Requests',
    },
)

_OK = 200
_BAD_REQUEST = 400
_TOO_MANY_REQUESTS = 429


class DutyStandin:
    """An API that may be slow, silent or away.

    Attributes:
        address: Its IP number and port.
        calls: The calls that arrived, in order.
        malformed: What was wrong with other requests, a sentence each.
        delay_seconds: For how long it keeps the answer to a call.
        is_silent: Whether it answers no call.
        calls_per_second: The calls that it accepts within any second.
    """

    def __init__(self, calls_per_second: float = 50) -> None:
        """Start listening on a free port of localhost.

        Args:
            calls_per_second: The calls that it accepts within any second.
        """
        self.calls: list[duty_check.Call] = []
        self.malformed: list[str] = []
        self.delay_seconds: float = 0
        self.is_silent = False
        self.calls_per_second = calls_per_second
        self._accepted: collections.deque[float] = collections.deque()
        self._forever = gevent_event.Event()
        self._port = 0
        self.come_back()
        self._port = self._server.server_port
        self.address = f'127.0.0.1:{self._port}'

    def go_away(self) -> None:
        """Refuse connections."""
        self._server.stop(timeout=0)

    def come_back(self) -> None:
        """Accept connections again."""
        self._server = serving.make_server(
            '127.0.0.1',
            self._port,
            self._handle_request,
            MAX_CONNECTIONS,
            STALL_SECONDS,
        )
        self._server.start()

    def list_violations(self, lease_seconds: float) -> list[str]:
        """Check the rules for the calls.

        Args:
            lease_seconds: The time within which holders must not alternate.

        Returns:
            A sentence for each violation.
        """
        violations = duty_check.list_violations(self.calls, lease_seconds)
        return self.malformed + violations

    def _handle_request(
        self,
        environ: dict[str, typing.Any],
        start_response: collections.abc.Callable,
    ) -> list[bytes]:
        body = environ['wsgi.input'].read()
        # Only a whole call counts.
        if len(body) == int(environ.get('CONTENT_LENGTH') or 0):
            status = self._accept(environ, body)
        else:
            status = _BAD_REQUEST
        gevent.sleep(self.delay_seconds)
        if self.is_silent:
            self._forever.wait(STALL_SECONDS)
        start_response(_STATUS_LINES_BY_CODE[status], [('Content-Length', '0')])
        return []

    def _accept(self, environ: dict[str, typing.Any], body: bytes) -> int:
        try:
            call = self._decode(environ, body)
        except (KeyError, ValueError, msgspec.MsgspecError) as fault:
            self.malformed.append(f'malformed call: {fault!r}')
            return _BAD_REQUEST
        self.calls.append(call)
        return _OK if call.is_accepted else _TOO_MANY_REQUESTS

    def _decode(
        self, environ: dict[str, typing.Any], body: bytes
    ) -> duty_check.Call:
        path = environ['PATH_INFO']
        holder_key = _make_key(duty_record.HOLDER_HEADER)
        token_key = _make_key(duty_record.TOKEN_HEADER)
        return duty_check.Call(
            at=clock.read_boot(),
            holder=environ[holder_key],
            token=int(environ[token_key]),
            content=duty_record.decode_call(path, body),
            is_accepted=self._take_room(),
        )

    def _take_room(self) -> bool:
        now = clock.read_boot()
        while self._accepted and now - self._accepted[0] >= 1:
            self._accepted.popleft()
        if len(self._accepted) >= self.calls_per_second:
            return False
        self._accepted.append(now)
        return True


def _make_key(header: str) -> str:
    return f'HTTP_{header.upper().replace("-", "_")}'
