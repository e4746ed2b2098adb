"""How a node asks for slots: at the broker that all nodes ask, or its own."""

import collections
import dataclasses
import itertools
import types

import msgspec
from gevent import event as gevent_event

from pimentoway.core import clock, error, log
from pimentoway.ops import ask, broker, window

#: Seconds beyond its time for which a reply to an ask is waited for; the
#: broker refuses in time unless it is gone.
SPARE_SECONDS = 0.05

_LOG = log.Log('slots')

Send = collections.abc.Callable[[object], None]


class QuotaExceededError(error.NotRunError):
    """The customer has used up its quota."""

    code = 'over_quota'
    status = 429


class BudgetError(error.NotRunError):
    """The service has no budget for repeats left."""

    code = 'no_retry_budget'


_ERRORS_BY_REASON = types.MappingProxyType(
    {
        ask.Reason.overloaded: (
            error.NotRunError,
            'the service is busy with more urgent requests',
        ),
        ask.Reason.over_quota: (QuotaExceededError, 'the quota is used up'),
        ask.Reason.no_backend: (error.NoPeerError, 'no back end is open'),
        ask.Reason.suspect: (
            error.QuarantinedError,
            'the request broke several back ends',
        ),
        ask.Reason.expired: (error.ExpiredError, 'too little time was left'),
        ask.Reason.no_budget: (BudgetError, 'the retry budget is used up'),
    },
)


@dataclasses.dataclass(eq=False)
class _Pending:
    """An ask whose reply has not come.

    Attributes:
        ask: The ask.
        sent: When it was sent.
        reply: Set to the grant or the refusal.
        remote: Whether it was sent to another node.
    """

    ask: ask.Ask
    sent: float
    reply: gevent_event.AsyncResult
    remote: bool


class SlotClient:
    """Asks for slots for the requests of one node.

    Attributes:
        owner: The name and the run of the node.
    """

    def __init__(self, owner: str, quota_seconds: float) -> None:
        """Start without a broker.

        Args:
            owner: The name and the run of the node.
            quota_seconds: The window of the quotas.
        """
        self.owner = owner
        self._quota_seconds = quota_seconds
        self._local: broker.Broker | None = None
        self._remote: Send | None = None
        self._numbers = itertools.count(1)
        self._pending_by_number: dict[int, _Pending] = {}
        self._running_by_number: dict[int, ask.Running] = {}
        self._usage_by_customer: dict[str, window.Window] = {}

    @property
    def is_remote(self) -> bool:
        """Tell whether another node's broker is asked.

        Returns:
            Whether it is.
        """
        return self._remote is not None

    def use_local(self, local: broker.Broker) -> None:
        """Name the node's own broker.

        Args:
            local: The broker.
        """
        self._local = local

    def switch(self, remote: Send | None) -> None:
        """Change the broker; asks without a reply are asked again.

        Args:
            remote: Sends a message to another node's broker; nothing to use
                the node's own.
        """
        left_remote = self._remote is not None
        self._remote = remote
        if not left_remote:
            # What runs on is told to the new broker.
            self._local.drop_owner(self.owner)
            return
        if remote is None:
            self._local.adopt(
                self.owner,
                self.list_running(),
                self.list_usage(),
            )
        waiting = [
            pending
            for pending in self._pending_by_number.values()
            if pending.remote
        ]
        _LOG.write('asks elsewhere.', waiting=len(waiting), local=not remote)
        for pending in waiting:
            self._resubmit(pending)

    def make_number(self) -> int:
        """Make a number for an ask.

        Returns:
            The number, unique within this run of the node.
        """
        return next(self._numbers)

    def admit(self, entry: ask.Ask) -> str:
        """Ask for a slot and wait for the reply.

        Args:
            entry: The ask, numbered by ``make_number``.

        Returns:
            The name of the back end.
        """
        number = entry.number
        pending = _Pending(
            entry,
            clock.read_monotonic(),
            gevent_event.AsyncResult(),
            self.is_remote,
        )
        self._pending_by_number[number] = pending
        granted = False
        try:
            self._submit(pending)
            reply = self._wait(pending)
            granted = True
        finally:
            self._pending_by_number.pop(number, None)
            if not granted:
                self._withdraw(pending)
        self._note_grant(entry, reply.engine)
        return reply.engine

    def report(self, report: ask.Report) -> None:
        """Tell what became of a grant.

        Args:
            report: What became of it.
        """
        run = self._running_by_number.pop(report.number, None)
        if run and report.outcome in ask.UNSENT_OUTCOMES:
            self._note_usage(run.ask, -run.ask.cost)
        if self._remote:
            self._remote(report)
        else:
            self._local.finish(self.owner, report)

    def take(self, reply: ask.Grant | ask.Refusal) -> None:
        """Take the reply to an ask.

        Args:
            reply: The grant or the refusal.
        """
        pending = self._pending_by_number.get(reply.number)
        if pending is None:
            # The caller left; the broker has been told.
            return
        if not pending.reply.ready():
            pending.reply.set(reply)

    def list_running(self) -> list[ask.Running]:
        """List the grants that are in use.

        Returns:
            The grants.
        """
        return list(self._running_by_number.values())

    def list_usage(self) -> list[ask.Usage]:
        """List what was used of the quotas lately.

        Returns:
            The usage of each customer.
        """
        return [
            ask.Usage(customer, used.measure())
            for customer, used in self._usage_by_customer.items()
            if used.measure()
        ]

    def count_pending(self) -> int:
        """Count the asks whose reply has not come.

        Returns:
            The asks.
        """
        return len(self._pending_by_number)

    def _submit(self, pending: _Pending) -> None:
        pending.remote = self.is_remote
        if self._remote:
            self._remote(pending.ask)
        else:
            self._local.submit(self.owner, pending.ask)

    def _resubmit(self, pending: _Pending) -> None:
        if pending.reply.ready():
            return
        passed = clock.read_monotonic() - pending.sent
        entry = pending.ask
        pending.ask = msgspec.structs.replace(
            entry,
            goal_left=entry.goal_left - passed,
            time_left=entry.time_left - passed,
            patience_left=entry.patience_left - passed,
        )
        pending.sent = clock.read_monotonic()
        self._submit(pending)

    def _wait(self, pending: _Pending) -> ask.Grant:
        left = pending.ask.time_left + SPARE_SECONDS
        reply = pending.reply
        if not reply.wait(left) and not reply.ready():
            raise error.ExpiredError('no slot came free in time', 'admit')
        answer = reply.get()
        if isinstance(answer, ask.Grant):
            return answer
        kind, reason = _ERRORS_BY_REASON[answer.reason]
        raise kind(reason, 'admit', retry_after=answer.retry_after)

    def _withdraw(self, pending: _Pending) -> None:
        answer = pending.reply.get() if pending.reply.ready() else None
        if isinstance(answer, ask.Refusal):
            return
        outcome = ask.Outcome.unused if answer else ask.Outcome.abandoned
        self.report(ask.Report(pending.ask.number, outcome))

    def _note_grant(self, entry: ask.Ask, engine: str) -> None:
        self._running_by_number[entry.number] = ask.Running(entry, engine)
        self._note_usage(entry, entry.cost)

    def _note_usage(self, entry: ask.Ask, cost: float) -> None:
        if not entry.customer:
            return
        used = self._usage_by_customer.get(entry.customer)
        if used is None:
            used = window.Window(self._quota_seconds)
            self._usage_by_customer[entry.customer] = used
        used.add(cost)
