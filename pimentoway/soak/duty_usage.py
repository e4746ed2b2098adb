"""Compares the usage that was reported with what the engines began."""

import collections
import dataclasses
import math

from pimentoway.core import duty
from pimentoway.soak import duty_check


@dataclasses.dataclass(frozen=True)
class Begun:
    """The run of a request at an engine.

    Attributes:
        at: When the engine began it, in true time.
        customer: The name of the customer.
    """

    at: float
    customer: str


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A fault and the time for which it lasted.

    Attributes:
        kind: The kind of the fault.
        node: The name of the node.
        start: When it began, in true time.
        end: When it ended.
        was_holder: Whether the node held the lease of the duties.
    """

    kind: str
    node: str
    start: float
    end: float
    was_holder: bool = False


@dataclasses.dataclass(frozen=True)
class WindowOutcome:
    """What came of the report of a window.

    Attributes:
        window: The number of the window.
        begun: The requests that engines began, by customer.
        reported: The counts of the report, by customer.
        late: When the report was accepted, in seconds after the window's end;
            infinite without a report.
    """

    window: int
    begun: dict[str, int]
    reported: dict[str, int]
    late: float

    @property
    def difference(self) -> int:
        """The requests by which the report is wrong.

        Returns:
            The sum over all customers; negative if too few were reported.
        """
        return sum(self.reported.values()) - sum(self.begun.values())

    def is_right(self, settings: duty.DutySettings) -> bool:
        """Tell whether the report is right and came on time.

        Args:
            settings: The settings of the duties.

        Returns:
            Whether it is.
        """
        if self.late > settings.late_seconds:
            return False
        customers = self.begun.keys() | self.reported.keys()
        return all(
            abs(self.reported.get(customer, 0) - self.begun.get(customer, 0))
            <= settings.tolerance * self.begun.get(customer, 0)
            for customer in customers
        )


def compare(
    begun: list[Begun],
    calls: list[duty_check.Call],
    settings: duty.DutySettings,
    windows: range,
) -> list[WindowOutcome]:
    """Compare each window's report with what the engines began.

    Args:
        begun: The runs at all engines.
        calls: The calls that reached the API, at true times.
        settings: The settings of the duties.
        windows: The windows to compare.

    Returns:
        The outcome of each window.
    """
    begun_by_window: dict[int, collections.Counter[str]] = {}
    for run in begun:
        window = math.floor(run.at / settings.window_seconds)
        counts = begun_by_window.setdefault(window, collections.Counter())
        counts[run.customer] += 1
    call_by_window: dict[int, duty_check.Call] = {}
    for call in calls:
        if call.is_accepted and isinstance(call.content, duty.UsageReport):
            call_by_window.setdefault(call.content.window, call)
    return [
        _make_outcome(
            window,
            dict(begun_by_window.get(window, {})),
            call_by_window.get(window),
            (window + 1) * settings.window_seconds,
        )
        for window in windows
    ]


def list_touching(
    outcome: WindowOutcome,
    disturbances: list[Disturbance],
    settings: duty.DutySettings,
    recovery_seconds: float = 0,
) -> list[Disturbance]:
    """List the faults that may have changed a window's report.

    Args:
        outcome: The outcome of the window.
        disturbances: All faults.
        settings: The settings of the duties.
        recovery_seconds: For how long a fault has consequences after its end.

    Returns:
        The faults between the start of the window and the time at which its
        report is due.
    """
    start = outcome.window * settings.window_seconds
    due = start + settings.window_seconds + settings.late_seconds
    return [
        fault
        for fault in disturbances
        if fault.start < due and start < fault.end + recovery_seconds
    ]


def list_violations(
    outcomes: list[WindowOutcome],
    disturbances: list[Disturbance],
    settings: duty.DutySettings,
    recovery_seconds: float,
) -> list[str]:
    """List wrong, late and missing reports that no fault explains.

    Args:
        outcomes: The outcomes of all windows.
        disturbances: All faults.
        settings: The settings of the duties.
        recovery_seconds: For how long a fault has consequences after its end.

    Returns:
        A sentence for each.
    """
    return [
        f'no fault explains {outcome}'
        for outcome in outcomes
        if not outcome.is_right(settings)
        and not list_touching(outcome, disturbances, settings, recovery_seconds)
    ]


def _make_outcome(
    window: int,
    begun: dict[str, int],
    call: duty_check.Call | None,
    end: float,
) -> WindowOutcome:
    if call is None:
        return WindowOutcome(window, begun, {}, math.inf)
    return WindowOutcome(
        window, begun, dict(call.content.counts), call.at - end
    )
