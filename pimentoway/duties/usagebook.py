"""Fixes the usage of windows in the lease before it is reported.

What a write of the lease has fixed is sent as it is, by this holder and its
successors. A window that was fixed once is never fixed again.
"""

import typing

from pimentoway.core import duty, log, metric
from pimentoway.duties import lease

#: The most reports in the lease that are not known to be accepted, a minute of
#: windows of 5 s. Each write carries them, and older ones are long late.
MAX_REPORTS = 12

_LOG = log.Log('usage')


class SkippedWindow(typing.Protocol):
    """A window whose counts are not known.

    Attributes:
        window: The number of the window.
    """

    window: int


class UsageSource(typing.Protocol):
    """The counts that this node's broker has collected."""

    def list_settled(
        self, after: int
    ) -> list[duty.UsageReport | SkippedWindow]:
        """List the windows whose counts no longer change.

        Args:
            after: Only later windows.

        Returns:
            The windows in order, with counts or skipped.
        """

    def read_true_time(self) -> float:
        """Read the true time.

        Returns:
            Seconds since the start of 1970.
        """


class UsageBook:
    """Says what the next write of the lease fixes."""

    def __init__(
        self, settings: duty.DutySettings, source: UsageSource | None
    ) -> None:
        """Start without windows.

        Args:
            settings: The settings.
            source: The counts; ``None`` if usage is no duty.
        """
        self._settings = settings
        self._source = source
        self._confirmed: set[int] = set()
        self._logged_through = 0
        self._awaits_first = False

    def read_ended_window(self, margin: float) -> int:
        """Read the last window that has ended.

        Args:
            margin: Windows that end within so many seconds count, too.

        Returns:
            The window; 0 if usage is no duty.
        """
        if self._source is None:
            return 0
        true_time = self._source.read_true_time() + margin
        return int(true_time // self._settings.window_seconds) - 1

    def note_acquired(self, record: duty.DutyRecord) -> None:
        """Note that a tenure begins.

        Args:
            record: The lease as it was acquired.
        """
        # Of a new deployment, windows before the first request are not
        # reported.
        self._awaits_first = record.previous == lease.UNKNOWN_HOLDER

    def make_draft(self, tenure: lease.Tenure) -> lease.Draft | None:
        """Say what the next write of the lease says of the usage.

        Args:
            tenure: The tenure.

        Returns:
            The draft; ``None`` if usage is no duty.
        """
        if self._source is None:
            return None
        through, reports = self._drop_confirmed(tenure.record)
        fixed = max([through, *(report.window for report in reports)])
        is_urgent = False
        for entry in self._source.list_settled(fixed):
            if entry.window <= fixed:
                continue
            fixed = entry.window
            if self._is_before_first(entry, reports):
                through = entry.window
            elif isinstance(entry, duty.UsageReport):
                reports.append(entry)
                is_urgent = True
            else:
                through = entry.window
                self._log_skipped(entry.window)
        for dropped in reports[:-MAX_REPORTS]:
            through = max(through, dropped.window)
        return lease.Draft(through, tuple(reports[-MAX_REPORTS:]), is_urgent)

    def list_unconfirmed(self, tenure: lease.Tenure) -> list[duty.UsageReport]:
        """List the fixed reports that are not known to be accepted.

        Args:
            tenure: The tenure.

        Returns:
            The reports.
        """
        return [
            report
            for report in tenure.record.usage
            if report.window not in self._confirmed
        ]

    def note_fixed(
        self, before: duty.DutyRecord, after: duty.DutyRecord
    ) -> None:
        """Log what a write of the lease has changed.

        Args:
            before: The lease before the write.
            after: The lease as written.
        """
        self._awaits_first = self._awaits_first and not after.usage
        for report in set(after.usage).difference(before.usage):
            metric.DUTY_WINDOWS.labels('fixed').inc()
            _LOG.write(
                'fixed the usage of a window.',
                window=report.window,
                customers=len(report.counts),
                total=_sum_up(report),
            )
        for report in set(before.usage).difference(after.usage):
            if report.window not in self._confirmed:
                metric.DUTY_WINDOWS.labels('dropped').inc()
                _LOG.write(
                    'drops the report of a window, too many are not answered.',
                    window=report.window,
                )

    def note_accepted(self, report: duty.UsageReport, tries: int) -> None:
        """Note that the API accepted a report.

        Args:
            report: The report.
            tries: How often this tenure has sent it.
        """
        self._confirmed.add(report.window)
        end = (report.window + 1) * self._settings.window_seconds
        age = self._source.read_true_time() - end if self._source else 0
        is_late = age > self._settings.late_seconds
        metric.DUTY_WINDOWS.labels('reported').inc()
        metric.DUTY_WINDOWS.labels('late').inc(int(is_late))
        metric.DUTY_WINDOWS.labels('repeated').inc(int(tries > 1))
        _LOG.write(
            'the report of a window was answered.',
            window=report.window,
            seconds=round(age, 3),
            late=is_late,
            tries=tries,
        )

    def _drop_confirmed(
        self, record: duty.DutyRecord
    ) -> tuple[int, list[duty.UsageReport]]:
        through = record.usage_through
        reports = []
        for report in record.usage:
            if report.window in self._confirmed:
                through = max(through, report.window)
            else:
                reports.append(report)
        # The others have left the lease, and are not needed any more.
        self._confirmed.intersection_update(
            fixed.window for fixed in record.usage
        )
        return through, reports

    def _is_before_first(
        self,
        entry: duty.UsageReport | SkippedWindow,
        reports: list[duty.UsageReport],
    ) -> bool:
        is_empty = isinstance(entry, duty.UsageReport) and not entry.counts
        return self._awaits_first and is_empty and not reports

    def _log_skipped(self, window: int) -> None:
        # A draft is made several times before it is written.
        if window > self._logged_through:
            self._logged_through = window
            metric.DUTY_WINDOWS.labels('skipped').inc()
            _LOG.write(
                'skips a window whose counts are not known.', window=window
            )


def _sum_up(report: duty.UsageReport) -> int:
    return sum(count for _, count in report.counts)
