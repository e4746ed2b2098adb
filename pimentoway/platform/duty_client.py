"""Calls of the holder of the duties to the platform's API.

Each call has a connection of its own, and its bytes are written only while the
lease is held for the whole time-out. A connection without an answer is reset,
so that nothing of the call is sent later.
"""

import collections
import contextlib
import functools
import socket
import struct

import gevent
from gevent import socket as gevent_socket
from geventhttpclient import response

from pimentoway.core import connection, duty, error, metric
from pimentoway.duties import assembly, lease
from pimentoway.platform import duty_record

#: Tells whether a call with a token may be sent that takes so many seconds.
MayAct = collections.abc.Callable[[int, float], bool]

_OK = 200
_TOO_MANY_REQUESTS = 429

_MILLISECONDS = 1000

#: ``SO_LINGER`` as it is by default: closing a connection does not reset it.
_LINGER_USUAL = struct.pack('ii', 0, 0)

#: The label of calls without an answer, in place of the status.
_NO_CONNECTION = 'no_connection'
_NO_ANSWER = 'no_answer'
_NOT_SENT = 'not_sent'


class PlatformDutyApi(duty.DutyApi):
    """The platform's API, over HTTP."""

    def __init__(
        self, address: str, holder: str, times: lease.Times, may_act: MayAct
    ) -> None:
        """Set where and how calls are sent; no connection is made.

        Args:
            address: The address of the API.
            holder: The name of this node.
            times: The time-outs are ``connect`` and ``answer``.
            may_act: Tells whether the lease is held.
        """
        self._address = address
        self._holder = holder
        self._times = times
        self._may_act = may_act

    def report_usage(self, token: int, report: duty.UsageReport) -> None:
        """Report the usage of a window.

        Args:
            token: The fencing token of the tenure.
            report: The report.
        """
        body = duty_record.encode_report(report)
        self._call(duty.Duty.usage, token, duty_record.USAGE_PATH, body)

    def order_engines(self, token: int, order: duty.EngineOrder) -> None:
        """Order the number of engines of a service in a failure domain.

        Args:
            token: The fencing token of the tenure.
            order: The order.
        """
        body = duty_record.encode_order(order)
        self._call(duty.Duty.scaling, token, duty_record.SCALE_PATH, body)

    def _call(
        self, kind: duty.Duty, token: int, path: str, body: bytes
    ) -> None:
        outcome = _NO_CONNECTION
        try:
            sock = connection.connect(self._address, self._times.connect)
            outcome = _NO_ANSWER
            outcome = self._exchange(sock, token, path, body)
        except error.ConnectError as fault:
            raise error.PlatformUnavailableError(
                fault.reason, path, self._address
            ) from fault
        finally:
            metric.DUTY_CALLS.labels(kind.value, outcome).inc()
        self._check(outcome, path)

    def _check(self, outcome: str, path: str) -> None:
        if outcome == str(_OK):
            return
        if outcome == _NOT_SENT:
            reason = 'the rest of the term is too short'
            raise error.PlatformRefusedError(reason, path, self._address)
        if outcome == str(_TOO_MANY_REQUESTS):
            raise duty.ApiBusyError(f'status {outcome}', path, self._address)
        raise error.PlatformAmbiguousError(
            f'status {outcome}', path, self._address
        )

    def _exchange(
        self,
        sock: gevent_socket.socket,
        token: int,
        path: str,
        body: bytes,
    ) -> str:
        text = self._encode_head(token, path, len(body)) + body
        # Also if this process is killed, the rest is not sent.
        connection.reset_on_close(sock)
        seconds = self._times.answer
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            max(1, int(seconds * _MILLISECONDS)),
        )
        try:
            with gevent.Timeout(seconds, TimeoutError('no answer in time')):
                status = self._send(sock, token, path, text)
        except (OSError, ValueError, response.HTTPParseError) as fault:
            raise error.PlatformAmbiguousError(
                f'no answer: {fault}', path, self._address
            ) from fault
        finally:
            sock.close()
        return status

    def _send(
        self, sock: gevent_socket.socket, token: int, path: str, text: bytes
    ) -> str:
        # gevent would wait and write afterwards, without another check.
        sock.settimeout(0)
        rest = memoryview(text)
        while rest:
            if not self._may_act(token, self._times.answer):
                return _NOT_SENT
            try:
                rest = rest[sock.send(rest) :]
            except BlockingIOError:
                connection.wait_until_writable(sock, self._times.answer)
        sock.settimeout(self._times.answer)
        call = connection.Call(self._address, 'POST', path)
        return _read_status(sock, call)

    def _encode_head(self, token: int, path: str, size: int) -> bytes:
        lines = (
            f'POST {path} HTTP/1.1',
            f'Host: {self._address}',
            f'{duty_record.HOLDER_HEADER}: {self._holder}',
            f'{duty_record.TOKEN_HEADER}: {token}',
            'Content-Type: application/json',
            f'Content-Length: {size}',
            'Connection: close',
        )
        head = '\r\n'.join(lines)
        return f'{head}\r\n\r\n'.encode('latin-1')


def make_access(
    settings: duty.DutySettings, holder: str, duty_store: duty.DutyStore
) -> assembly.Access:
    """Make what the duties of a node need of the platform.

    Args:
        settings: The settings of the duties.
        holder: The name of the node.
        duty_store: The store of the lease.

    Returns:
        The access to the platform.
    """
    return assembly.Access(
        duty_store,
        functools.partial(PlatformDutyApi, settings.address, holder),
    )


def _read_status(sock: gevent_socket.socket, call: connection.Call) -> str:
    reply = connection.BoundedResponse(sock, call)
    with contextlib.suppress(OSError, response.HTTPParseError):
        # The API has the whole call, so nothing is left to be dropped. The
        # connection is closed already if the answer has no body.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_USUAL)
        # Bytes that were not read would reset the connection, too.
        reply.read()
    return str(reply.status_code)
