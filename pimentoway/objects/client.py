"""HTTP client of the platform's object service."""

import random
from urllib import parse

import gevent

from pimentoway.core import clock, codec, connection, error, metric
from pimentoway.objects import store

#: Seconds to connect to the platform.
CONNECT_SECONDS = 1

#: Timeout in seconds for the first byte and each further read of a response.
RESPONSE_SECONDS = 2

#: Attempts at a call that is safe to repeat.
MAX_ATTEMPTS = 3

#: Maximum pause before the first retry, in seconds; it doubles with each retry.
BACKOFF_SECONDS = 0.1

#: Calls that may be made at once after a time without calls.
BURST_CALLS = 20

_CONFLICT = 409
_GONE = 410
_NOT_FOUND = 404
_MIN_CLIENT_ERROR = 400
_MIN_SERVER_ERROR = 500


class RateLimiter:
    """A token bucket that limits calls, as the platform counts each call."""

    def __init__(self, calls_per_second: float) -> None:
        """Start with a full bucket of `BURST_CALLS`.

        Args:
            calls_per_second: The sustained rate.
        """
        self._rate = calls_per_second
        self._tokens = float(BURST_CALLS)
        self._refill_time = clock.read_monotonic()

    def acquire(self) -> None:
        """Wait until a call may be made, and count it."""
        while not self._try_acquire():
            gevent.sleep(1 / self._rate)

    def _try_acquire(self) -> bool:
        now = clock.read_monotonic()
        refill = (now - self._refill_time) * self._rate
        self._tokens = min(BURST_CALLS, self._tokens + refill)
        self._refill_time = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class HttpStore(store.Store):
    """The object service over HTTP.

    Each call waits for the rate limiter first. Only reads and lists are
    retried.
    """

    def __init__(self, address: str, calls_per_second: float) -> None:
        """Create a client; connections are made with the first calls.

        Args:
            address: The IP address and port of the service.
            calls_per_second: The sustained rate of calls.
        """
        self._address = address
        self._pool = connection.Pool()
        self._rate_limiter = RateLimiter(calls_per_second)

    def read(self, kind: str, name: str) -> store.Object:
        """Read an object, see ``Store.read``.

        Args:
            kind: The kind of the object.
            name: Its name, unique within the kind.

        Returns:
            The object; one of version 0 if it does not exist.
        """
        response = self._call_with_retries('GET', _make_path(kind, name))
        if response.status == _NOT_FOUND:
            return store.Object(kind, name, 0, '')
        return codec.decode_json(response.body, store.Object, self._address)

    def write(
        self, kind: str, name: str, body: str, version: int
    ) -> store.Object:
        """Write an object, see ``Store.write``.

        A write is never retried here: after a lost response the caller has to
        read the object back and check whether it holds its own change.

        Args:
            kind: The kind of the object.
            name: Its name, unique within the kind.
            body: The new text.
            version: The current version of the object; 0 to create it.

        Returns:
            The object as written.
        """
        path = f'{_make_path(kind, name)}?version={version}'
        response = self._call('PUT', path, body.encode())
        return codec.decode_json(response.body, store.Object, self._address)

    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object, see ``Store.remove``.

        Args:
            kind: The kind of the object.
            name: Its name, unique within the kind.
            version: The current version of the object.
        """
        path = f'{_make_path(kind, name)}?version={version}'
        self._call('DELETE', path)

    def list_objects(self, kind: str, prefix: str = '') -> store.Events:
        """List the objects of a kind, see ``Store.list_objects``.

        Args:
            kind: The kind of the objects.
            prefix: Only names that start with it; '' for all.

        Returns:
            The objects and the revision after which to watch them.
        """
        query = parse.urlencode({'prefix': prefix})
        response = self._call_with_retries('GET', f'/objects/{kind}?{query}')
        return codec.decode_json(response.body, store.Events, self._address)

    def watch(self, kind: str, revision: int, seconds: float) -> store.Events:
        """Wait for events, see ``Store.watch``.

        Args:
            kind: The kind of the objects.
            revision: The last revision already seen.
            seconds: Seconds after which a watch without events ends.

        Returns:
            The events; without objects if nothing changed.
        """
        path = f'/watch/{kind}?after={revision}&seconds={seconds}'
        response = self._call('GET', path, wait_seconds=seconds)
        return codec.decode_json(response.body, store.Events, self._address)

    def list_machines(self) -> tuple[store.Machine, ...]:
        """List the VMs of the system, see ``Store.list_machines``.

        Returns:
            The VMs as of some seconds ago.
        """
        response = self._call_with_retries('GET', '/machines')
        record_type = tuple[store.Machine, ...]
        return codec.decode_json(response.body, record_type, self._address)

    def _call_with_retries(self, method: str, path: str) -> connection.Answer:
        # Only for reads, which change nothing.
        max_pause = BACKOFF_SECONDS
        for _ in range(MAX_ATTEMPTS - 1):
            try:
                return self._call(method, path)
            except (
                error.PlatformUnavailableError,
                error.PlatformAmbiguousError,
            ):
                gevent.sleep(random.uniform(0, max_pause))
            max_pause *= 2
        return self._call(method, path)

    def _call(
        self, method: str, path: str, body: bytes = b'', wait_seconds: float = 0
    ) -> connection.Answer:
        self._rate_limiter.acquire()
        metric.PLATFORM_CALLS.labels(method).inc()
        call = connection.Call(
            address=self._address,
            method=method,
            path=path,
            body=body,
            connect_seconds=CONNECT_SECONDS,
            first_byte_seconds=RESPONSE_SECONDS + wait_seconds,
            gap_seconds=RESPONSE_SECONDS,
        )
        try:
            response = self._pool.fetch(call)
        except error.ConnectError as fault:
            raise error.PlatformUnavailableError(
                fault.reason,
                method,
                self._address,
            ) from fault
        except error.PeerError as fault:
            raise error.PlatformAmbiguousError(
                fault.reason,
                method,
                self._address,
            ) from fault
        _check_status(response, method, self._address)
        return response


def _make_path(kind: str, name: str) -> str:
    return f'/objects/{kind}/{parse.quote(name, safe="")}'


def _check_status(response: connection.Answer, step: str, peer: str) -> None:
    text = response.body.decode(errors='replace')
    if response.status == _CONFLICT:
        raise error.PlatformConflictError(text, step, peer)
    if response.status == _GONE:
        raise error.WatchExpiredError(text, step, peer)
    if response.status >= _MIN_SERVER_ERROR:
        # The service may have failed after a write took effect.
        raise error.PlatformAmbiguousError(text, step, peer)
    if response.status >= _MIN_CLIENT_ERROR and response.status != _NOT_FOUND:
        raise error.PlatformRefusedError(text, step, peer)
