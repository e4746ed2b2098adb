"""The usage that the nodes of a broker report, until it is fixed.

Nothing here yields to other greenlets.
"""

import collections
import dataclasses
import functools
import math

from pimentoway.core import duty, log, metric
from pimentoway.duties import truetime, usagesource
from pimentoway.ops import slot

#: The least time, in seconds, from a window's end until it is settled although
#: nodes have not told that their counts are complete, and the time for that
#: from when the first node came to this broker: the others follow within two.
PATIENCE_SECONDS = 4.0

#: Seconds before a report is due at which a window is settled at the latest:
#: the report is fixed by a write to the store, and its call may need a second
#: try.
REPORT_SECONDS = 2.5

#: For how long a node that was cut off is waited for, in seconds, as nodes
#: keep their counts for the same time (``usagecount.KEPT_SECONDS``).
RETURN_SECONDS = 30.0

#: Seconds for which no window is settled after a node came, as others that
#: change their broker may follow.
ATTACH_SECONDS = 2.0

#: Seconds for which counts are kept.
KEPT_SECONDS = 60.0

#: The most counts that are kept, of an interval, a customer and a requester
#: each: 60 s at 2,400 requests a second have at most 144,000.
MAX_COUNTS = 200_000

#: Times of nodes from this on are ignored, in seconds since the start of 1970:
#: they could not be computed with.
END_OF_TIME = 1e12

#: Seconds between two times at which the clocks are compared and old counts
#: dropped, also while this node does not hold the lease.
MAINTENANCE_SECONDS = 0.5

#: The requesters that a log line names.
MAX_NAMED = 8

#: Lists the names of nodes.
NodeLister = collections.abc.Callable[[], collections.abc.Iterable[str]]

_LOG = log.Log('usage')


@dataclasses.dataclass(frozen=True)
class SkippedWindow:
    """Windows in a row whose counts are not known.

    Attributes:
        first: The first of them.
        window: The last of them.
        reason: Why they are not known.
    """

    first: int
    window: int
    reason: str


class UsageTable:
    """Collects the counts of the nodes and settles windows.

    Attributes:
        source_by_requester: The counts of each run of a node.
        comparison: The differences between the clocks.
    """

    def __init__(
        self,
        settings: duty.DutySettings,
        requester: str = '',
        true_clock: truetime.TrueClock | None = None,
        list_nodes: NodeLister = tuple,
    ) -> None:
        """Start without counts.

        Args:
            settings: The settings of the duties.
            requester: The node that this table belongs to, whose time is not
                compared with itself.
            true_clock: The node's estimate of true time, if there is one.
            list_nodes: Lists the names of the registered nodes.
        """
        self._list_nodes = list_nodes
        self._window_seconds = settings.window_seconds
        self._patience = max(
            PATIENCE_SECONDS, settings.late_seconds - REPORT_SECONDS
        )
        self._requester = requester
        self._clock = true_clock or truetime.TrueClock()
        self.comparison = truetime.TimeComparison()
        self._customers = usagesource.CustomerIndex()
        self.source_by_requester: dict[str, usagesource.UsageSource] = (
            collections.defaultdict(
                functools.partial(usagesource.UsageSource, self._customers)
            )
        )
        self._settled_by_window: dict[
            int, duty.UsageReport | SkippedWindow
        ] = {}
        # The last window whose counts were dropped as nobody needs them.
        self._forgotten = 0
        self._kept_windows = math.ceil(KEPT_SECONDS / self._window_seconds)
        # By how much true time is ahead of the own estimate.
        self._correction: float = 0
        # When the first of the nodes came that use this broker now, and when
        # the last one did, by the own estimate of time. Both are set anew when
        # true time moves.
        self._active_since: float = 0
        self._attached_at: float = 0
        self._logged_skip = 0
        self._maintained_at: float = 0

    def apply(self, requester: str, update: slot.UsageUpdate) -> None:
        """Take over the counts of a node.

        Args:
            requester: The node and its run.
            update: Its message.
        """
        if not _is_possible(requester, update.time):
            return
        now = self._clock.read()
        source = self.source_by_requester.get(requester)
        if source is None or not source.attached:
            source = self._attach(requester, now)
        source.heard_at = now
        self.comparison.note(requester, update.time - now)
        self._merge(source, update)

    def keep_copy(self, copy: slot.UsageCopy) -> None:
        """Take over the counts of a node from another one.

        The owner is not attached by it. Copies may come late and repeated.

        Args:
            copy: The counts.
        """
        update = copy.update
        ahead = abs(copy.ahead)
        if not all(
            _is_possible(copy.owner, one) for one in (update.time, ahead)
        ):
            return
        now = self._clock.read()
        is_own = copy.owner == copy.sender
        is_known = copy.owner in self.source_by_requester
        source = self.source_by_requester[copy.owner]
        if not is_known:
            source.heard_at = now
        if not source.attached:
            difference = copy.ahead + self.comparison.measure(copy.sender)
            if is_own:
                source.heard_at = now
                difference = update.time - now
            self.comparison.note(copy.owner, difference)
        self._merge(source, update)

    def drop(self, requester: str) -> None:
        """Note that a node no longer uses this broker.

        Its counts stay. It is waited for while it may only be cut off.

        Args:
            requester: The node and its run.
        """
        source = self.source_by_requester.get(requester)
        if source:
            source.attached = False
        metric.USAGE_REQUESTERS.set(len(self._list_attached()))

    def list_settled(
        self, after: int
    ) -> list[duty.UsageReport | SkippedWindow]:
        """List the windows whose counts do not change any more.

        The same windows are listed again, with the same counts, until they are
        excluded by ``after``. Counts up to ``after`` are dropped.

        Args:
            after: The last window that needs no report; 0 if there is none
                yet, and then the first one is that with the first request.

        Returns:
            The reports and the windows that are skipped, in order.
        """
        self._maintain()
        self._forget(after)
        if not self._list_attached():
            return []
        first = after + 1 if after else self._find_first()
        if first is None:
            return []
        return self._list_from(first)

    def list_requesters(self) -> list[str]:
        """List the nodes whose counts are kept.

        Returns:
            Their names and runs.
        """
        return list(self.source_by_requester)

    def read_true_time(self) -> float:
        """Read the time that most nodes agree on.

        Returns:
            Seconds since the start of 1970.
        """
        return self._clock.read() + self._measure_correction()

    def _attach(self, requester: str, now: float) -> usagesource.UsageSource:
        if not self._list_attached():
            self._active_since = now
        self._attached_at = now
        source = self.source_by_requester[requester]
        source.attach()
        metric.USAGE_REQUESTERS.set(len(self._list_attached()))
        return source

    def _merge(
        self, source: usagesource.UsageSource, update: slot.UsageUpdate
    ) -> None:
        current = truetime.find_interval(update.time, self._window_seconds)
        source.apply(update, current, self._kept_windows)
        if self._clock.read() - self._maintained_at >= MAINTENANCE_SECONDS:
            self._maintain()

    def _list_attached(self) -> list[str]:
        return [
            requester
            for requester, source in self.source_by_requester.items()
            if source.attached
        ]

    def _measure_correction(self) -> float:
        others = self._list_attached()
        if self._requester in others:
            others.remove(self._requester)
        return self.comparison.measure_median(others, self._correction)

    def _maintain(self) -> None:
        self._maintained_at = self._clock.read()
        self._expire()
        self._update_shifts()

    def _update_shifts(self) -> None:
        correction = self._measure_correction()
        if abs(correction - self._correction) >= truetime.WRONG_SECONDS:
            _LOG.write(
                'true time moved, settles nothing for a while.',
                correction=round(correction, 3),
                previous=round(self._correction, 3),
                seconds=ATTACH_SECONDS,
            )
            self._active_since = self._clock.read()
            self._attached_at = self._active_since
        self._correction = correction
        metric.USAGE_CORRECTION_SECONDS.set(correction)
        wrong = 0
        for requester, source in self.source_by_requester.items():
            ahead = self.comparison.measure(requester) - correction
            shift = 0
            if abs(ahead) >= truetime.WRONG_SECONDS:
                shift = round(ahead * truetime.INTERVALS / self._window_seconds)
                wrong += 1
            if shift != source.shift:
                source.shift = shift
                _LOG.write(
                    "shifts a node's usage, its clock is wrong.",
                    owner=requester,
                    ahead=round(ahead, 3),
                    correction=round(correction, 3),
                    intervals=shift,
                )
        metric.USAGE_WRONG_CLOCKS.set(wrong)

    def _expire(self) -> None:
        now = self._clock.read()
        sources = self.source_by_requester
        for requester, source in list(sources.items()):
            if now - source.heard_at > KEPT_SECONDS:
                sources.pop(requester)
                self.comparison.drop(requester)
        while _count_kept(sources) > MAX_COUNTS and self._kept_windows > 1:
            self._kept_windows -= 1
            _LOG.write(
                'too many counts, drops the oldest.', windows=self._kept_windows
            )
            for source in sources.values():
                source.expire(0, self._kept_windows)

    def _forget(self, through: int) -> None:
        self._forgotten = max(self._forgotten, through)
        now = self._clock.read()
        if now < max(
            self._active_since + PATIENCE_SECONDS,
            self._attached_at + ATTACH_SECONDS,
        ):
            # While nodes attach, a minority of wrong clocks may be the most,
            # and by their time the wrong windows would be dropped.
            return
        for source in self.source_by_requester.values():
            source.forget(through)
        self._drop_settled(through)

    def _drop_settled(self, through: int) -> None:
        unneeded = [one for one in self._settled_by_window if one <= through]
        for window in unneeded:
            self._settled_by_window.pop(window)

    def _find_first(self) -> int | None:
        sources = self.source_by_requester.values()
        windows = [one.find_first() for one in sources]
        return min((one for one in windows if one is not None), default=None)

    def _find_known(self, current: int) -> int:
        # A node that has counted since before a window makes the window known:
        # what other nodes counted, they have told to this broker.
        sources = self.source_by_requester.values()
        windows = [one.find_known() for one in sources]
        known = [one for one in windows if one is not None]
        return max(
            self._forgotten + 1,
            current - self._kept_windows,
            min(known, default=current),
        )

    def _list_from(self, first: int) -> list[duty.UsageReport | SkippedWindow]:
        now = self._clock.read() + self._correction
        current = truetime.find_window(now, self._window_seconds)
        known = self._find_known(current)
        settled: list[duty.UsageReport | SkippedWindow] = []
        # Of a long time without any node only the last windows are kept.
        oldest = current - self._kept_windows
        if first < oldest:
            if not self._is_settled(oldest):
                return settled
            settled.append(self._skip(first, oldest - 1))
            self._drop_settled(oldest - 1)
            first = oldest
        for window in range(first, current):
            if not self._is_settled(window):
                break
            settled.append(self._settle(window, known))
        return settled

    def _is_settled(self, window: int) -> bool:
        if window in self._settled_by_window:
            return True
        end = (window + 1) * self._window_seconds - self._correction
        now = self._clock.read()
        settled_by = end + self._patience
        if now >= max(settled_by, self._active_since + PATIENCE_SECONDS):
            return True
        if now < self._attached_at + ATTACH_SECONDS:
            return False
        return not self._list_waited_for(window)

    def _list_waited_for(self, window: int) -> list[str]:
        now = self._clock.read()
        running = set(map(_name_node, self._list_attached()))
        return self._list_unseen(now) + [
            requester
            for requester, source in self.source_by_requester.items()
            if not source.is_complete(window)
            and (
                source.attached
                or (
                    # Another run of the node shows that this one has ended.
                    _name_node(requester) not in running
                    and now - source.heard_at < RETURN_SECONDS
                )
            )
        ]

    def _list_unseen(self, now: float) -> list[str]:
        # Registered nodes that have told this broker nothing. The node of the
        # earlier broker may be cut off from this one and bring its counts when
        # it is back. One that stays away is dead, or of an earlier release.
        if now - self._active_since >= RETURN_SECONDS:
            return []
        seen = set(map(_name_node, self.source_by_requester))
        return [name for name in self._list_nodes() if name not in seen]

    def _settle(
        self, window: int, known: int
    ) -> duty.UsageReport | SkippedWindow:
        settled = self._settled_by_window.get(window)
        if settled is None:
            if window < known:
                settled = self._skip(window, window)
            else:
                settled = self._make_report(window)
                self._log_settled(settled)
            self._settled_by_window[window] = settled
        return settled

    def _skip(self, first: int, last: int) -> SkippedWindow:
        reason = 'no node of this broker counted all of it'
        if last > self._logged_skip:
            self._logged_skip = last
            _LOG.write(
                'skips windows.',
                first=first,
                window=last,
                reason=reason,
                attached=len(self._list_attached()),
            )
        return SkippedWindow(first, last, reason)

    def _make_report(self, window: int) -> duty.UsageReport:
        counts: collections.Counter[str] = collections.Counter()
        for source in self.source_by_requester.values():
            source.add_to(counts, window)
        return duty.UsageReport(window, tuple(sorted(counts.items())))

    def _log_settled(self, report: duty.UsageReport) -> None:
        end = (report.window + 1) * self._window_seconds
        missing = self._list_waited_for(report.window)
        _LOG.write(
            'settled a window.',
            window=report.window,
            customers=len(report.counts),
            requests=sum(count for _, count in report.counts),
            requesters=len(self.source_by_requester),
            attached=len(self._list_attached()),
            incomplete=len(missing),
            named=missing[:MAX_NAMED],
            late=round(self._clock.read() + self._correction - end, 3),
            correction=round(self._correction, 3),
        )


def _is_possible(requester: str, time: float) -> bool:
    is_possible = 0 <= time < END_OF_TIME
    if not is_possible:
        _LOG.write('ignores a time.', owner=requester, time=time)
    return is_possible


def _count_kept(sources: dict[str, usagesource.UsageSource]) -> int:
    return sum(one.size for one in sources.values())


def _name_node(requester: str) -> str:
    return requester.partition('/')[0]
