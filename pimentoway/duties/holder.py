"""Holds the lease of the duties: makes the calls that the lease asks for.

One task makes them one after the other, so that no two writes overlap.
"""

import collections
import contextlib
import dataclasses

import gevent

from pimentoway.core import clock, duty, error, log, metric
from pimentoway.duties import lease, usagebook

#: Seconds between two looks at the lease, fewer if its term is short.
STEP_SECONDS = 0.25
MIN_STEP_SECONDS = 0.02

#: The looks between two renewals, at least.
STEPS_PER_RENEWAL = 3

#: The pause after a call to the store that failed, in seconds.
RETRY_SECONDS = 0.5

#: Seconds for which a node must lead before it asks for the lease, and not
#: lead before it releases it. Each node leads for a moment when it starts.
STEADY_SECONDS = 1.0

#: Seconds for which a node must lead before it reads the lease, from which its
#: wait for the lease counts. A node that starts leads for about 0.1 s before it
#: uses the broker of another one, and must make no call to the store for that.
LOOK_SECONDS = 0.3

#: A renewal is late if less than this fraction of the term was left.
LATE_FRACTION = 0.5

#: By how many seconds a node's estimate of true time may be behind: usually,
#: and when it is alone with a clock that has jumped. A store without a lease
#: is usually new, and its first windows should be reported.
USUAL_MARGIN_SECONDS = 1.0
DOUBTFUL_MARGIN_SECONDS = 10.0

_LOG = log.Log('lease')


@dataclasses.dataclass(frozen=True)
class Node:
    """What the holder knows of its node.

    Attributes:
        name: The name of the node.
        boot: Identifies its run.
        leads: Tells whether the node leads.
    """

    name: str
    boot: str
    leads: collections.abc.Callable[[], bool]


class Holder:
    """Holds the lease while its node leads.

    Attributes:
        times: The times that follow from the settings.
    """

    def __init__(
        self,
        node: Node,
        times: lease.Times,
        store: duty.DutyStore,
        book: usagebook.UsageBook,
    ) -> None:
        """Set up the task; ``run`` starts it.

        Args:
            node: The node.
            times: The times that follow from the settings.
            store: The store.
            book: Says what the writes of the lease fix.
        """
        self.times = times
        self._node = node
        self._store = store
        self._book = book
        self._lease = lease.Lease(node.name, node.boot, times)
        self._is_leaving = False
        self._leads = False
        self._changed_at: float | None = None
        self._calls = 0
        self._lost_at = float('-inf')

    @property
    def tenure(self) -> lease.Tenure | None:
        """The tenure.

        Returns:
            The tenure; ``None`` while this process doesn't hold the lease.
        """
        return self._lease.tenure

    def run(self) -> None:
        """Hold the lease while the node leads, for ever."""
        usual = min(STEP_SECONDS, self.times.renewal / STEPS_PER_RENEWAL)
        while True:
            is_done = self.step()
            pause = max(usual, MIN_STEP_SECONDS) if is_done else RETRY_SECONDS
            gevent.sleep(pause)

    def release(self) -> None:
        """Release the lease soon, and ask for it no more."""
        self._is_leaving = True

    def may_act(self, token: int, seconds: float) -> bool:
        """Tell whether a call to the API may be sent.

        Args:
            token: The token of the call.
            seconds: How long the call may take.

        Returns:
            Whether this process holds the lease with that token for so long.
        """
        return self._lease.may_act(token, clock.read_boot(), seconds)

    @contextlib.contextmanager
    def track_call(self) -> collections.abc.Generator[None]:
        """Track a call to the API, during which the lease is not released.

        Yields:
            Nothing.

        Raises:
            PlatformUnavailableError: Again, if the call raises it: nothing of
                the call may arrive any more.
            PlatformRefusedError: Likewise.
        """
        self._calls += 1
        is_lost = True
        try:
            yield
            is_lost = False
        except (error.PlatformUnavailableError, error.PlatformRefusedError):
            # Nothing of the call may still arrive.
            is_lost = False
            raise
        finally:
            self._calls -= 1
            if is_lost:
                self._lost_at = clock.read_boot()

    def step(self) -> bool:
        """Make the next call to the store, if any is due.

        Returns:
            Whether no call failed.
        """
        before = self._lease.tenure
        step = self._lease.next_step(self._describe())
        is_done = True
        if isinstance(step, lease.Read):
            is_done = self._read()
        elif step:
            is_done = self._write(step)
        self._log_change(before, self._lease.tenure)
        self._measure()
        return is_done

    def _describe(self) -> lease.Situation:
        now = _read_now()
        tenure = self._lease.tenure
        is_quiet = now.boot - self._lost_at >= self.times.guard
        leads = self._read_leads(now)
        return lease.Situation(
            now=now,
            leads=leads,
            is_quiet=is_quiet and not self._calls,
            ended_window=self._book.read_ended_window(USUAL_MARGIN_SECONDS),
            doubtful_window=self._book.read_ended_window(
                DOUBTFUL_MARGIN_SECONDS
            ),
            draft=self._book.make_draft(tenure) if tenure else None,
            may_lead=not leads and self._measure_change(now) >= LOOK_SECONDS,
        )

    def _read_leads(self, now: lease.Now) -> bool:
        if self._is_leaving:
            return False
        if self._node.leads() == self._leads:
            self._changed_at = None
        elif self._changed_at is None:
            self._changed_at = now.monotonic
        elif now.monotonic - self._changed_at >= STEADY_SECONDS:
            self._leads = not self._leads
            self._changed_at = None
        return self._leads

    def _measure_change(self, now: lease.Now) -> float:
        # For how long the node has led without counting as the leader, or the
        # other way round.
        if self._is_leaving or self._changed_at is None:
            return 0
        return now.monotonic - self._changed_at

    def _read(self) -> bool:
        metric.DUTY_STORE_CALLS.labels('read').inc()
        try:
            stored = self._store.read_lease()
        except error.PlatformError as fault:
            _LOG.write('reading the lease failed.', reason=str(fault))
            return False
        self._lease.note_read(stored, _read_now())
        return True

    def _write(self, write: lease.Write) -> bool:
        metric.DUTY_STORE_CALLS.labels('write').inc()
        sent_at = clock.read_boot()
        try:
            revision = self._store.write_lease(write.record, write.revision)
        except error.PlatformConflictError as fault:
            _LOG.write('a write of the lease conflicted.', reason=str(fault))
            self._lease.note_conflict()
            return False
        except Exception as fault:
            # Whatever it was, the write may have been sent.
            _LOG.write('a write of the lease failed.', reason=str(fault))
            self._lease.note_unanswered(write, sent_at)
            return False
        self._lease.note_written(write, sent_at, revision, _read_now())
        if write.record.released:
            _LOG.write('released the lease.', revision=revision)
        return True

    def _log_change(
        self, before: lease.Tenure | None, after: lease.Tenure | None
    ) -> None:
        if before and after:
            self._log_renewal(before, after)
        elif after:
            self._book.note_acquired(after.record)
            _LOG.write(
                'took the lease.',
                token=after.token,
                previous=after.record.previous,
                reports=len(after.record.usage),
                usage_through=after.record.usage_through,
            )
        elif before:
            _LOG.write(
                'holds the lease no more.',
                token=before.token,
                reason=self._lease.end_reason,
                left=round(before.expiry - clock.read_boot(), 3),
            )

    def _log_renewal(self, before: lease.Tenure, after: lease.Tenure) -> None:
        if before.revision == after.revision:
            return
        left = before.expiry - clock.read_boot()
        if left < LATE_FRACTION * self.times.term:
            _LOG.write(
                'renewed the lease late.',
                token=after.token,
                left=round(left, 3),
            )
        self._book.note_fixed(before.record, after.record)

    def _measure(self) -> None:
        tenure = self._lease.tenure
        left = tenure.expiry - clock.read_boot() if tenure else 0
        metric.DUTY_HOLDER.set(int(left > 0))
        metric.DUTY_TOKEN.set(tenure.token if tenure else 0)
        metric.DUTY_TERM_SECONDS.set(max(left, 0))


def _read_now() -> lease.Now:
    return lease.Now(clock.read_monotonic(), clock.read_boot())
