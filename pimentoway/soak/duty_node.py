"""Runs the holder and the publisher of one node as a process, until SIGTERM.

All of these processes lead, so they contend for the lease all the time. Each
counts differently, so a window that is fixed twice shows.
"""

import dataclasses
import os
import random
import signal
import sys

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, codec, duty, log
from pimentoway.duties import assembly, holder, lease, publisher
from pimentoway.platform import duty_client, store

#: The environment variable that holds the settings as JSON.
SETTINGS_VARIABLE = 'PIMENTOWAY_SOAK_DUTIES'

#: Seconds after the end of a window until its counts are settled.
SETTLED_SECONDS = 0.2

#: One of so many windows has no counts.
KNOWN_WINDOWS = 10

#: Above the counts, of which no two processes should have the same.
MAX_COUNT = 1_000_000_000

#: Seconds for which each order is in force.
ORDER_SECONDS = 0.5

#: Seconds within which a process ends after SIGTERM.
STOP_SECONDS = 3.0


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """The settings of a process.

    Attributes:
        name: The name of the node.
        boot: Identifies the run.
        store: The address of the store.
        api: The address of the API.
        lease_seconds: As in ``duty.DutySettings``.
        window_seconds: As in ``duty.DutySettings``.
        skew: By how much the node's estimate of true time is off, in seconds.
    """

    name: str
    boot: str
    store: str
    api: str
    lease_seconds: float
    window_seconds: float
    skew: float


@dataclasses.dataclass(frozen=True)
class _Skipped:
    window: int


class RandomCounts:
    """Counts of windows, of which some are not known."""

    def __init__(self, settings: NodeSettings) -> None:
        """Begin with the present window.

        Args:
            settings: The settings.
        """
        self._window_seconds = settings.window_seconds
        # Read once, as later steps of the wall clock must not matter.
        self._offset = clock.read_wall() - clock.read_boot() + settings.skew
        self._entry_by_window: dict[int, duty.UsageReport | _Skipped] = {}
        self._first = int(self.read_true_time() // self._window_seconds) - 4

    def read_true_time(self) -> float:
        """Read the true time.

        Returns:
            Seconds since the start of 1970.
        """
        return clock.read_boot() + self._offset

    def list_settled(self, after: int) -> list[duty.UsageReport | _Skipped]:
        """List the settled windows.

        Args:
            after: Only later windows.

        Returns:
            The windows.
        """
        settled = self.read_true_time() - SETTLED_SECONDS
        end = int(settled // self._window_seconds)
        return [
            self._entry_by_window.setdefault(window, _make_entry(window))
            for window in range(max(after + 1, self._first), end)
        ]


class ChangingOrders:
    """Orders that change now and then."""

    def __init__(self) -> None:
        """Begin with the present order."""
        self._last = 0

    def begin_tenure(self) -> None:
        """Do nothing."""

    def plan(self) -> list[duty.EngineOrder]:
        """Make the next orders.

        Returns:
            The orders; none if they are in force.
        """
        count = int(clock.read_boot() / ORDER_SECONDS)
        if count == self._last:
            return []
        self._last = count
        return [duty.EngineOrder('s', zone, count) for zone in ('a', 'b')]

    def note_answered(self, order: duty.EngineOrder) -> None:
        """Do nothing, as another order follows soon.

        Args:
            order: Ignored.
        """

    def note_limited(self, order: duty.EngineOrder) -> None:
        """Do nothing.

        Args:
            order: Ignored.
        """


def run() -> int:
    """Run until SIGTERM, then release the lease.

    Returns:
        The exit status.
    """
    log.open_stream(sys.stdout)
    settings = codec.decode_json(os.environ[SETTINGS_VARIABLE], NodeSettings)
    duties = _connect(settings)
    stop_requested = gevent_event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    for task in duties.tasks:
        gevent.spawn(task)
    stop_requested.wait()
    duties.holder.release()
    end = clock.read_boot() + STOP_SECONDS
    while duties.holder.tenure and clock.read_boot() < end:
        gevent.sleep(holder.STEP_SECONDS)
    # The last write is under way.
    gevent.sleep(holder.STEP_SECONDS)
    return 0


def _make_entry(window: int) -> duty.UsageReport | _Skipped:
    if not random.randrange(KNOWN_WINDOWS):
        return _Skipped(window)
    return duty.UsageReport(window, (('c', random.randrange(MAX_COUNT)),))


def _connect(settings: NodeSettings) -> assembly.Duties:
    duty_settings = duty.DutySettings(
        settings.api,
        frozenset(duty.Duty),
        lease_seconds=settings.lease_seconds,
        window_seconds=settings.window_seconds,
    )
    access = assembly.Access(
        store.PlatformRegistry(settings.store),
        lambda times, may_act: _make_api(settings, times, may_act),
    )
    return assembly.connect(
        duty_settings,
        holder.Node(settings.name, settings.boot, lambda: True),
        access,
        publisher.Sources(RandomCounts(settings), ChangingOrders()),
    )


def _make_api(
    settings: NodeSettings, times: lease.Times, may_act: duty_client.MayAct
) -> duty.DutyApi:
    return duty_client.PlatformDutyApi(
        settings.api, settings.name, times, may_act
    )


if __name__ == '__main__':
    sys.exit(run())
