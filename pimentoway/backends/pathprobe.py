"""What this node knows of its paths to back ends, and probes of lost ones.

A path is lost while no connection can be opened. Waiting for a connection in
vain costs a request most of its time, so it is not tried again at once; a
refusal comes at once and costs nothing.
"""

import collections
import dataclasses

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, error, log

#: Seconds for which no connection is tried on a path where one came in no
#: time: first, and at most, as each further failure doubles it.
HOLD_SECONDS = 1.0
MAX_HOLD_SECONDS = 8.0

#: Seconds between two probes over all lost paths, and after one succeeded: the
#: cause is then gone, probably for all of them.
PROBE_SECONDS = 1.0
FAST_PROBE_SECONDS = 0.05

_LOG = log.Log('path')


@dataclasses.dataclass(eq=False)
class _LostPath:
    """A back end to which no connection could be opened.

    Attributes:
        address: Its IP address and port.
        lost_at: The monotonic time of the first failure.
        hold_seconds: Seconds for which no connection is tried.
        held_until: The monotonic time until which that is so.
    """

    address: str
    lost_at: float
    hold_seconds: float = 0
    held_until: float = 0


class LostPaths:
    """The lost paths of one node."""

    def __init__(self) -> None:
        """Start with all paths open."""
        self._lost_by_engine: collections.OrderedDict[str, _LostPath] = (
            collections.OrderedDict()
        )
        self._wake = gevent_event.Event()

    def check(self, engine: str, address: str) -> None:
        """Check that a connection to a back end may be tried.

        Args:
            engine: The name of the back end.
            address: Its IP address and port.

        Raises:
            ConnectError: If one came in no time a moment ago.
        """
        path = self._lost_by_engine.get(engine)
        if path is None or path.address != address:
            return
        if clock.read_monotonic() < path.held_until:
            raise error.ConnectError('the path is lost', 'connect', address)

    def note_failure(
        self, engine: str, address: str, reason: str, hold: bool
    ) -> None:
        """Record that a back end could not be reached.

        Args:
            engine: The name of the back end.
            address: Its IP address and port.
            reason: The reason, for the log.
            hold: Whether a connection came in no time.
        """
        now = clock.read_monotonic()
        path = self._lost_by_engine.get(engine)
        if path is None or path.address != address:
            path = _LostPath(address, now)
            self._lost_by_engine[engine] = path
            self._wake.set()
            _LOG.write(
                'lost the path to a back end.', engine=engine, reason=reason
            )
        if hold:
            doubled = min(path.hold_seconds * 2, MAX_HOLD_SECONDS)
            path.hold_seconds = doubled or HOLD_SECONDS
            path.held_until = now + path.hold_seconds

    def note_success(self, engine: str) -> None:
        """Record that a connection was opened.

        Args:
            engine: The name of the back end.
        """
        path = self._lost_by_engine.pop(engine, None)
        if path:
            _LOG.write(
                'the path to a back end is open again.',
                engine=engine,
                seconds=round(clock.read_monotonic() - path.lost_at, 3),
            )

    def retain(
        self, find_address: collections.abc.Callable[[str], str]
    ) -> None:
        """Forget the paths to back ends that were removed or have moved.

        Args:
            find_address: Finds the address of a back end by its name; '' if it
                was removed.
        """
        for engine, path in tuple(self._lost_by_engine.items()):
            if find_address(engine) != path.address:
                self._lost_by_engine.pop(engine)

    def count(self) -> int:
        """Count the lost paths.

        Returns:
            The number of paths.
        """
        return len(self._lost_by_engine)

    def await_next(self) -> tuple[str, str]:
        """Wait for a lost path, and choose the one probed longest ago.

        Returns:
            The name and the address of the back end.
        """
        while not self._lost_by_engine:
            self._wake.clear()
            self._wake.wait()
        engine = next(iter(self._lost_by_engine))
        self._lost_by_engine.move_to_end(engine)
        return engine, self._lost_by_engine[engine].address


class PathProber:
    """Probes the lost paths of one node, one at a time."""

    def __init__(
        self,
        lost_paths: LostPaths,
        probe: collections.abc.Callable[[str, str], bool],
        on_open: collections.abc.Callable[[str], None],
    ) -> None:
        """Set what is called.

        Args:
            lost_paths: The lost paths.
            probe: Tries to connect to a back end, by its name and address, and
                returns whether that succeeded.
            on_open: Called with the name of a back end to which it did.
        """
        self._lost_paths = lost_paths
        self._probe = probe
        self._on_open = on_open
        self._fast_probes = 0

    def run(self) -> None:
        """Probe for ever."""
        while True:
            engine, address = self._lost_paths.await_next()
            self._fast_probes = max(0, self._fast_probes - 1)
            if self._probe(engine, address):
                self._fast_probes = self._lost_paths.count()
                self._on_open(engine)
            fast = self._fast_probes > 0
            gevent.sleep(FAST_PROBE_SECONDS if fast else PROBE_SECONDS)
