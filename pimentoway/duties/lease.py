"""The lease of the duties as one node sees it: decisions without calls.

The lease is told what the store answers and names the next call to the store.
A node may act while ``Lease.may_act`` holds. docs/design/duties.md has the
arithmetic; docs/PROOFS.md states it as an invariant.
"""

import dataclasses

from pimentoway.core import duty

#: The term of the lease, in multiples of the time within which holders must
#: not alternate.
TERM_FACTOR = 1.5

#: The renewals in a term: two may fail before it ends.
RENEWALS_PER_TERM = 3

#: The shortest time that a successor waits after the end of a term, in
#: seconds, and the same in multiples of the time for which calls may be
#: delayed.
MIN_GUARD_SECONDS = 1.0
GUARD_FACTOR = 2

#: The longest time-outs of a call to the platform's API, in seconds: for
#: connecting and for the answer.
MAX_CONNECT_SECONDS = 0.5
MAX_ANSWER_SECONDS = 1.0

#: Seconds between two reads of a lease that another node holds.
POLL_SECONDS = 1.0

#: The most writes without an answer that are remembered. One that is forgotten
#: ends the tenure if it takes effect.
MAX_UNANSWERED = 16

#: Stands for a previous holder that is not known.
UNKNOWN_HOLDER = '?'


@dataclasses.dataclass(frozen=True)
class Times:
    """The times that follow from the settings, in seconds.

    Attributes:
        term: How long a write of the lease is valid, from before it was sent.
        renewal: The time between two writes.
        guard: How much longer than the term a successor waits.
        settled: The time after an acquisition from which the holder before
            can't have acted within the last ``lease_seconds``.
        connect: The time-out for connecting to the API.
        answer: The time-out for its answer.
    """

    term: float
    renewal: float
    guard: float
    settled: float
    connect: float
    answer: float


def make_times(settings: duty.DutySettings) -> Times:
    """Derive the times from the settings.

    Args:
        settings: The settings.

    Returns:
        The times.
    """
    term = TERM_FACTOR * settings.lease_seconds
    renewal = term / RENEWALS_PER_TERM
    guard = max(MIN_GUARD_SECONDS, GUARD_FACTOR * settings.thaw_seconds)
    return Times(
        term=term,
        renewal=renewal,
        guard=guard,
        settled=settings.lease_seconds + guard,
        connect=min(MAX_CONNECT_SECONDS, renewal / 2),
        answer=min(MAX_ANSWER_SECONDS, renewal),
    )


@dataclasses.dataclass(frozen=True)
class Now:
    """The two clocks of a machine.

    Attributes:
        monotonic: Stands still while the VM is suspended. A candidate counts
            on it, which makes its wait longer.
        boot: Goes on then. The holder counts on it.
    """

    monotonic: float
    boot: float


@dataclasses.dataclass(frozen=True)
class Draft:
    """What the next write of the lease says of the usage.

    Attributes:
        usage_through: As in ``duty.DutyRecord``.
        usage: As in ``duty.DutyRecord``.
        is_urgent: Whether it is written before the next renewal is due.
    """

    usage_through: int
    usage: tuple[duty.UsageReport, ...]
    is_urgent: bool = False


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a node knows when it decides on its next call to the store.

    Attributes:
        now: The time.
        leads: Whether the node should hold the lease.
        is_quiet: Whether no call to the API is under way or may still arrive.
        ended_window: The last window of usage that has ended for certain, if
            the store has no record of the lease.
        doubtful_window: The same if the record is older than a restoration
            of the store.
        draft: What the next renewal says; ``None`` to change nothing.
        may_lead: Whether the node may soon lead. It then reads the lease, as
            its wait for the lease counts from its first look.
    """

    now: Now
    leads: bool
    is_quiet: bool = True
    ended_window: int = 0
    doubtful_window: int = 0
    draft: Draft | None = None
    may_lead: bool = False


@dataclasses.dataclass(frozen=True)
class Read:
    """The next call to the store reads the lease."""


@dataclasses.dataclass(frozen=True)
class Write:
    """The next call to the store writes the lease.

    Attributes:
        record: The lease.
        revision: The revision that it must still have.
    """

    record: duty.DutyRecord
    revision: int


@dataclasses.dataclass(frozen=True)
class Tenure:
    """The time in which this process holds the lease.

    Attributes:
        token: The fencing token: the revision of the acquisition.
        revision: The revision of the last write.
        record: What was written.
        confirmed_at: When the acquisition was known, on the boot clock.
        sent_at: When the last write was sent, on the boot clock.
        expiry: When the term ends, on the boot clock.
    """

    token: int
    revision: int
    record: duty.DutyRecord
    confirmed_at: float
    sent_at: float
    expiry: float


@dataclasses.dataclass(frozen=True)
class _Sent:
    write: Write
    sent_at: float


@dataclasses.dataclass(frozen=True)
class _Seen:
    stored: duty.StoredDuty
    first_at: float


class Lease:
    """The lease as one run of a node sees it.

    Attributes:
        tenure: The tenure; ``None`` while this process doesn't hold the lease.
        end_reason: Why the last tenure ended.
    """

    def __init__(self, name: str, boot: str, times: Times) -> None:
        """Start without the lease.

        Args:
            name: The name of the node.
            boot: Identifies this run of it.
            times: The times.
        """
        self.tenure: Tenure | None = None
        self.end_reason = ''
        self._name = name
        self._boot = boot
        self._times = times
        self._seen: _Seen | None = None
        self._read_at = float('-inf')
        # Whether the last step was a read, and whether the next one must be.
        self._is_fresh = False
        self._must_read = False
        # Whether a conflict may be due to an own write without an answer.
        self._is_doubtful = False
        # Whether the lease is released as soon as no call may still arrive.
        self._is_closing = False
        # The writes without an answer that may still take effect; all have the
        # same condition, so at most one of them does.
        self._unanswered: tuple[_Sent, ...] = ()

    def may_act(self, token: int, boot_now: float, seconds: float) -> bool:
        """Tell whether a call to the API may be sent.

        Args:
            token: The token of the call.
            boot_now: The time on the boot clock.
            seconds: How long the call may take.

        Returns:
            Whether this process holds the lease with that token for so long.
        """
        tenure = self.tenure
        if tenure is None or self._is_doubtful or self._is_closing:
            return False
        return token == tenure.token and boot_now + seconds <= tenure.expiry

    def next_step(self, situation: Situation) -> Read | Write | None:
        """Decide on the next call to the store.

        Args:
            situation: What the node knows.

        Returns:
            The call, of which the lease must be told the outcome before this
            is called again; ``None`` for none.
        """
        is_fresh = self._is_fresh
        self._is_fresh = False
        if self._must_read:
            return Read()
        if self.tenure:
            return self._step_as_holder(self.tenure, situation)
        if situation.leads:
            return self._step_as_candidate(situation, is_fresh)
        # A write that takes effect now is not noticed, which is as if the
        # process had ended.
        self._unanswered = ()
        if situation.may_lead:
            return self._look_if_due(situation.now)
        return None

    def note_read(self, stored: duty.StoredDuty, now: Now) -> None:
        """Note the answer to a read.

        Args:
            stored: The lease.
            now: The time after the answer.
        """
        self._is_fresh = True
        self._must_read = False
        self._is_doubtful = False
        self._read_at = now.monotonic
        if self._seen is None or self._seen.stored.revision != stored.revision:
            self._seen = _Seen(stored, now.monotonic)
        if self.tenure and stored.revision == self.tenure.revision:
            return
        executed = self._find_executed(stored)
        if executed:
            self._confirm(executed, stored.revision, now)
        elif self.tenure:
            self._end('the lease was changed')
        elif self._unanswered:
            self._drop_outdated(stored)

    def note_written(
        self, write: Write, sent_at: float, revision: int, now: Now
    ) -> None:
        """Note that a write succeeded.

        Args:
            write: The write.
            sent_at: When it was sent, on the boot clock.
            revision: The revision of the write.
            now: The time after the answer.
        """
        if write.record.released:
            self._seen = None
            return
        self._confirm(_Sent(write, sent_at), revision, now)

    def note_unanswered(self, write: Write, sent_at: float) -> None:
        """Note that a write has no answer: it may yet take effect.

        Args:
            write: The write.
            sent_at: When it was sent, on the boot clock.
        """
        if write.record.released:
            return
        self._must_read = True
        # Of equal writes the first counts, as it may be the one that takes
        # effect.
        if write not in [sent.write for sent in self._unanswered]:
            unanswered = (*self._unanswered, _Sent(write, sent_at))
            self._unanswered = unanswered[-MAX_UNANSWERED:]

    def note_conflict(self) -> None:
        """Note that a write was refused, as the lease was changed."""
        if self._unanswered:
            # An earlier write may have taken effect since it was read back.
            self._is_doubtful = True
            self._must_read = True
        elif self.tenure:
            self._end('a write conflicted')

    def _step_as_holder(
        self, tenure: Tenure, situation: Situation
    ) -> Write | None:
        record = tenure.record
        self._is_closing = self._is_closing or not situation.leads
        if self._is_closing:
            return self._give_up(tenure) if situation.is_quiet else None
        draft = situation.draft or Draft(record.usage_through, record.usage)
        boot_now = situation.now.boot
        is_due = boot_now - tenure.sent_at >= self._times.renewal
        if not is_due and not draft.is_urgent:
            return None
        is_settled = boot_now - tenure.confirmed_at >= self._times.settled
        renewed = dataclasses.replace(
            record,
            renewals=record.renewals + 1,
            previous='' if is_settled else record.previous,
            usage_through=draft.usage_through,
            usage=draft.usage,
        )
        return Write(renewed, tenure.revision)

    def _give_up(self, tenure: Tenure) -> Write:
        self._end('given up')
        released = dataclasses.replace(tenure.record, released=True)
        return Write(released, tenure.revision)

    def _step_as_candidate(
        self, situation: Situation, is_fresh: bool
    ) -> Read | Write | None:
        if not is_fresh:
            return self._read_if_due(situation.now)
        return (
            self._acquire(situation) if self._is_free(situation.now) else None
        )

    def _look_if_due(self, now: Now) -> Read | None:
        is_due = now.monotonic >= self._read_at + POLL_SECONDS
        return Read() if is_due else None

    def _read_if_due(self, now: Now) -> Read | None:
        due_at = self._read_at + POLL_SECONDS
        if self._seen:
            due_at = min(due_at, self._compute_free_time(self._seen))
        return Read() if now.monotonic >= due_at else None

    def _compute_free_time(self, seen: _Seen) -> float:
        return seen.first_at + self._times.term + self._times.guard

    def _is_free(self, now: Now) -> bool:
        stored = self._seen.stored
        record = stored.record
        if record and not stored.is_outdated and self._is_given_up(record):
            return True
        return now.monotonic >= self._compute_free_time(self._seen)

    def _is_given_up(self, record: duty.DutyRecord) -> bool:
        # With a third holder that has just acted, the next one could be that
        # one again.
        return (
            record.released
            and not record.previous
            and record.holder != self._name
        )

    def _acquire(self, situation: Situation) -> Write:
        stored = self._seen.stored
        record = stored.record or duty.DutyRecord('', '')
        through = record.usage_through
        usage = record.usage
        if stored.record is None:
            through = max(through, situation.ended_window)
        if stored.is_outdated:
            # The reports of the lost writes may have been sent.
            through = max(through, situation.doubtful_window)
            usage = ()
        acquired = duty.DutyRecord(
            holder=self._name,
            boot=self._boot,
            previous=record.holder or UNKNOWN_HOLDER,
            usage_through=through,
            usage=usage,
        )
        return Write(acquired, stored.revision)

    def _find_executed(self, stored: duty.StoredDuty) -> _Sent | None:
        if stored.is_outdated:
            return None
        for sent in self._unanswered:
            write = sent.write
            # An acquisition may equal the one before, and then an unchanged
            # revision shows that one.
            is_changed = write.revision != stored.revision
            if is_changed and write.record == stored.record:
                return sent
        return None

    def _confirm(self, sent: _Sent, revision: int, now: Now) -> None:
        tenure = self.tenure
        self.tenure = Tenure(
            token=tenure.token if tenure else revision,
            revision=revision,
            record=sent.write.record,
            confirmed_at=tenure.confirmed_at if tenure else now.boot,
            sent_at=sent.sent_at,
            expiry=sent.sent_at + self._times.term,
        )
        self._unanswered = ()
        self._is_doubtful = False

    def _end(self, reason: str) -> None:
        self.tenure = None
        self.end_reason = reason
        self._unanswered = ()
        self._is_doubtful = False
        self._is_closing = False
        self._must_read = False

    def _drop_outdated(self, stored: duty.StoredDuty) -> None:
        self._unanswered = tuple(
            sent
            for sent in self._unanswered
            if sent.write.revision == stored.revision
        )
