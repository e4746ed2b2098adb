"""Counts what engines begin for the requests of this node."""

import dataclasses

from pimentoway.core import duty, log, metric, usage
from pimentoway.duties import truetime
from pimentoway.ops import slot

#: Seconds from the first token of a stream to the first event, which holds
#: several tokens: 60 to 100 ms.
FIRST_EVENT_SECONDS = 0.08

#: Seconds for which a run at a plain service is not counted: engines refuse
#: what they do not run at once, and a request that was lost on its way is found
#: after 0.4 s (``callers.patience``). Counts therefore never fall.
REFUSAL_SECONDS = 0.6

#: Seconds after which the counts of an interval are complete. A silent stream
#: is given up after 1.2 s and counts when it was sent.
COMPLETE_SECONDS = 1.5

#: Seconds for which counts are kept for the next broker.
KEPT_SECONDS = 30.0

#: The longest time, in seconds, between two updates: they also tell the broker
#: what is complete, and the time.
UPDATE_SECONDS = 1.0

#: The most counts that are kept, of an interval and a customer each: 1,300
#: requests a second, which no node serves.
MAX_COUNTS = 40_000

_LOG = log.Log('usage')


@dataclasses.dataclass(eq=False)
class _Run(usage.RunUsage):
    """The usage of one run.

    Attributes:
        counter: The counter of the node.
        customer: The name of the customer.
        is_stream: Whether it begins with the first token.
        delay: The network delay to the engine, in seconds one way.
        sent_at: When it was sent, in true time.
        counted: Whether it was counted.
    """

    counter: 'UsageCounter'
    customer: str
    is_stream: bool
    delay: float
    sent_at: float
    counted: bool = False

    def note_output(self) -> None:
        if self.is_stream:
            now = self.counter.true_clock.read()
            begun = now - self.delay - FIRST_EVENT_SECONDS
            self._count(max(begun, self.sent_at + self.delay), 'answered')
        else:
            self._count(self.sent_at + self.delay, 'answered')

    def note_unknown(self) -> None:
        self._count(self.sent_at + self.delay, 'unknown')

    def note_left(self) -> None:
        # The first event of a stream follows its first token within 0.1 s, so
        # a stream that was left without one had most likely not begun.
        if self.is_stream:
            self.cancel()
        else:
            self.note_unknown()

    def cancel(self) -> None:
        self.counter.held_runs.pop(self, None)

    def _count(self, begun: float, evidence: str) -> None:
        self.cancel()
        if not self.counted:
            self.counted = True
            metric.USAGE_STARTS.labels(evidence).inc()
            self.counter.add(self.customer, begun)


class UsageCounter(usage.UsageObserver):
    """Counts what engines begin for this node, by interval and customer.

    Attributes:
        true_clock: The node's estimate of true time.
        held_runs: The runs at plain services that may still be refused, in the
            order in which they were sent.
    """

    def __init__(
        self,
        settings: duty.DutySettings,
        true_clock: truetime.TrueClock | None = None,
    ) -> None:
        """Start to count.

        Args:
            settings: The settings of the duties.
            true_clock: The node's estimate of true time, if there is one.
        """
        self.true_clock = true_clock or truetime.TrueClock()
        self.held_runs: dict[_Run, None] = {}
        self._window_seconds = settings.window_seconds
        self._since = self._find_interval(self.true_clock.read())
        self._complete = self._since
        self._updated_at = float('-inf')
        self._count_by_customer_by_interval: dict[int, dict[str, int]] = {}
        self._changed: set[tuple[int, str]] = set()
        self._size = 0

    def open_run(
        self, customer: str, is_stream: bool, delay: float
    ) -> usage.RunUsage:
        """Record that a request is being sent to an engine.

        Args:
            customer: The name of the customer; '' for none.
            is_stream: Whether the run begins with the first token of a stream,
                and not with the start of the work.
            delay: The network delay to the engine, in seconds one way.

        Returns:
            The run, which is told what comes of it.
        """
        if not customer:
            return usage.RunUsage()
        run = _Run(self, customer, is_stream, delay, self.true_clock.read())
        if not is_stream:
            self.held_runs[run] = None
        return run

    def note_start(self, customer: str, seconds_ago: float = 0) -> None:
        """Count a request that an engine began.

        Args:
            customer: The name of the customer.
            seconds_ago: How long ago it began.
        """
        self.add(customer, self.true_clock.read() - seconds_ago)

    def add(self, customer: str, begun: float) -> None:
        """Count a request that an engine began.

        Args:
            customer: The name of the customer.
            begun: When it began, in true time.
        """
        interval = self._find_interval(begun)
        if interval < self._complete:
            metric.USAGE_LATE_STARTS.inc()
        if interval < self._since:
            return
        counts = self._count_by_customer_by_interval.setdefault(interval, {})
        before = counts.get(customer, 0)
        self._size += not before
        counts[customer] = before + 1
        self._changed.add((interval, customer))
        if self._size > MAX_COUNTS:
            _LOG.write('too many counts, drops the oldest.', counts=self._size)
            self._drop_before(min(self._count_by_customer_by_interval) + 1)

    def make_update(self, everything: bool) -> slot.UsageUpdate | None:
        """Make the next message to the broker.

        Args:
            everything: Whether the broker knows nothing of this node yet.

        Returns:
            The message; nothing if there is nothing to tell yet.
        """
        now = self.true_clock.read()
        self._count_held(now)
        self._drop_before(self._find_interval(now - KEPT_SECONDS))
        is_due = now - self._updated_at >= UPDATE_SECONDS
        if not (everything or self._changed or is_due):
            return None
        self._updated_at = now
        complete = self._find_interval(now - COMPLETE_SECONDS)
        self._complete = max(self._complete, complete)
        cells = self._list_all() if everything else sorted(self._changed)
        self._changed.clear()
        return slot.UsageUpdate(
            now,
            self._complete,
            tuple(map(self._make_entry, cells)),
            self._since if everything else slot.SAME_SINCE,
        )

    def _find_interval(self, seconds: float) -> int:
        return truetime.find_interval(seconds, self._window_seconds)

    def _count_held(self, now: float) -> None:
        for run in list(self.held_runs):
            if now - run.sent_at < REFUSAL_SECONDS:
                break
            run.note_unknown()

    def _drop_before(self, since: int) -> None:
        if since <= self._since:
            return
        self._since = since
        stored = self._count_by_customer_by_interval
        dropped = [interval for interval in stored if interval < since]
        for interval in dropped:
            self._size -= len(stored.pop(interval))
        self._changed = {cell for cell in self._changed if cell[0] >= since}

    def _list_all(self) -> list[tuple[int, str]]:
        return [
            (interval, customer)
            for interval, counts in self._count_by_customer_by_interval.items()
            for customer in counts
        ]

    def _make_entry(self, cell: tuple[int, str]) -> slot.UsageEntry:
        interval, customer = cell
        counts = self._count_by_customer_by_interval[interval]
        return slot.UsageEntry(interval, customer, counts[customer])
