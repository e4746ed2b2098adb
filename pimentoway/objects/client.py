"""The client of the platform's object service over HTTP."""

import random
from urllib import parse

import gevent

from pimentoway.core import clock, codec, connection, error, metric
from pimentoway.objects import store

#: Seconds to connect to the platform.
CONNECT_SECONDS = 1

#: Seconds to wait for an answer of the platform.
ANSWER_SECONDS = 2

#: The attempts at a call that is safe to repeat.
ATTEMPTS = 3

#: The longest pause before the first repetition, in seconds.
PAUSE_SECONDS = 0.1

#: The calls that may be made at once after a quiet time.
BURST_CALLS = 20

_CONFLICT = 409
_GONE = 410
_MISSING = 404
_REFUSED = 400
_FAILED = 500


class Budget:
    """A bound on the calls a second, as the platform counts each call."""

    def __init__(self, calls_per_second: float) -> None:
        """Start with a full burst.

        Args:
            calls_per_second: The calls a second in the long run.
        """
        self._rate = calls_per_second
        self._left = float(BURST_CALLS)
        self._time = clock.read_monotonic()

    def spend(self) -> None:
        """Wait until a call may be made."""
        while not self._try_spend():
            gevent.sleep(1 / self._rate)

    def _try_spend(self) -> bool:
        now = clock.read_monotonic()
        earned = (now - self._time) * self._rate
        self._left = min(BURST_CALLS, self._left + earned)
        self._time = now
        if self._left < 1:
            return False
        self._left -= 1
        return True


class HttpStore(store.Store):
    """The object service at an address."""

    def __init__(self, address: str, calls_per_second: float) -> None:
        """Name the service.

        Args:
            address: Its IP number and port.
            calls_per_second: The calls a second that may be made.
        """
        self._address = address
        self._pool = connection.Pool()
        self._budget = Budget(calls_per_second)

    def read(self, kind: str, name: str) -> store.Object:
        """Read an object, see ``Store.read``.

        Args:
            kind: The kind.
            name: The name.

        Returns:
            The object, with version 0 if there is none.
        """
        answer = self._repeat('GET', _make_path(kind, name))
        if answer.status == _MISSING:
            return store.Object(kind, name, 0, '')
        return codec.decode_json(answer.body, store.Object, self._address)

    def write(
        self, kind: str, name: str, body: str, version: int
    ) -> store.Object:
        """Write an object, see ``Store.write``.

        A write is never repeated here: after a lost answer the caller has to
        read the object back and look for its own mark.

        Args:
            kind: The kind.
            name: The name.
            body: The new text.
            version: The version that is replaced.

        Returns:
            The object as written.
        """
        path = f'{_make_path(kind, name)}?version={version}'
        answer = self._call('PUT', path, body.encode())
        return codec.decode_json(answer.body, store.Object, self._address)

    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object, see ``Store.remove``.

        Args:
            kind: The kind.
            name: The name.
            version: The version that is removed.
        """
        path = f'{_make_path(kind, name)}?version={version}'
        self._call('DELETE', path)

    def list_objects(self, kind: str, prefix: str = '') -> store.Events:
        """List the objects of a kind, see ``Store.list_objects``.

        Args:
            kind: The kind.
            prefix: What their names start with.

        Returns:
            The objects and the revision from which to watch.
        """
        query = parse.urlencode({'prefix': prefix})
        answer = self._repeat('GET', f'/objects/{kind}?{query}')
        return codec.decode_json(answer.body, store.Events, self._address)

    def watch(self, kind: str, revision: int, seconds: float) -> store.Events:
        """Wait for events, see ``Store.watch``.

        Args:
            kind: The kind.
            revision: The revision after which events are wanted.
            seconds: The longest wait.

        Returns:
            The events, none if nothing changed.
        """
        path = f'/watch/{kind}?after={revision}&seconds={seconds}'
        answer = self._call('GET', path, patience=seconds)
        return codec.decode_json(answer.body, store.Events, self._address)

    def list_machines(self) -> tuple[store.Machine, ...]:
        """List the VMs of the system, see ``Store.list_machines``.

        Returns:
            The VMs, late by some seconds.
        """
        answer = self._repeat('GET', '/machines')
        kind = tuple[store.Machine, ...]
        return codec.decode_json(answer.body, kind, self._address)

    def _repeat(self, method: str, path: str) -> connection.Answer:
        # Reads may be repeated: they change nothing.
        pause = PAUSE_SECONDS
        for _ in range(ATTEMPTS - 1):
            try:
                return self._call(method, path)
            except (
                error.PlatformUnavailableError,
                error.PlatformAmbiguousError,
            ):
                gevent.sleep(random.uniform(0, pause))
            pause *= 2
        return self._call(method, path)

    def _call(
        self, method: str, path: str, body: bytes = b'', patience: float = 0
    ) -> connection.Answer:
        self._budget.spend()
        metric.PLATFORM_CALLS.labels(method).inc()
        call = connection.Call(
            address=self._address,
            method=method,
            path=path,
            body=body,
            connect_seconds=CONNECT_SECONDS,
            first_byte_seconds=ANSWER_SECONDS + patience,
            gap_seconds=ANSWER_SECONDS,
        )
        try:
            answer = self._pool.fetch(call)
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
        _check_status(answer, method, self._address)
        return answer


def _make_path(kind: str, name: str) -> str:
    return f'/objects/{kind}/{parse.quote(name, safe="")}'


def _check_status(answer: connection.Answer, step: str, peer: str) -> None:
    text = answer.body.decode(errors='replace')
    if answer.status == _CONFLICT:
        raise error.PlatformConflictError(text, step, peer)
    if answer.status == _GONE:
        raise error.WatchExpiredError(text, step, peer)
    if answer.status >= _FAILED:
        # The service may have failed after the write took effect.
        raise error.PlatformAmbiguousError(text, step, peer)
    if answer.status >= _REFUSED and answer.status != _MISSING:
        raise error.PlatformRefusedError(text, step, peer)
