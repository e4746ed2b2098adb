"""The node's side of slot requests: sends them to the broker it uses.

That is the broker that all nodes agree on, or the node's own one while it
can't reach that.
"""

import collections
import dataclasses
import itertools
import types

import msgspec
from gevent import event as gevent_event

from pimentoway.core import clock, deployment, error, log
from pimentoway.ops import broker, slot, window

#: Seconds beyond the deadline of a slot request for which its reply is
#: awaited; a broker that is reachable refuses it in time.
REPLY_GRACE_SECONDS = 0.05

_LOG = log.Log('slots')

Send = collections.abc.Callable[[object], None]


class QuotaExceededError(error.NotRunError):
    """The customer has used up its quota."""

    code = 'over_quota'
    status = 429


class BudgetError(error.NotRunError):
    """The retry budget of the service is used up."""

    code = 'no_retry_budget'


_ERRORS_BY_REASON = types.MappingProxyType(
    {
        slot.Reason.overloaded: (
            error.NotRunError,
            'the service is busy with more urgent requests',
        ),
        slot.Reason.over_quota: (QuotaExceededError, 'the quota is used up'),
        slot.Reason.no_backend: (error.NoBackendError, 'no back end is open'),
        slot.Reason.suspect: (
            error.QuarantinedError,
            'the request, or a part of its prompt, crashed several back ends',
        ),
        slot.Reason.expired: (error.ExpiredError, 'too little time was left'),
        slot.Reason.no_budget: (BudgetError, 'the retry budget is used up'),
    },
)


@dataclasses.dataclass(eq=False)
class _Pending:
    """A slot request without a reply.

    Attributes:
        request: The slot request, as it was sent last.
        sent_at: When it was sent last, on the monotonic clock.
        reply: Set to the grant or the refusal.
    """

    request: slot.SlotRequest
    sent_at: float
    reply: gevent_event.AsyncResult


class SlotClient:
    """Requests slots for the callers' requests of one node.

    Attributes:
        requester: The node's name and the identifier of this run of it.
        broker_changes: How often another broker, or the same one on a new
            link, was used from then on.
    """

    def __init__(self, requester: str, quota_seconds: float) -> None:
        """Start without a broker; call ``set_local_broker`` before use.

        Args:
            requester: The node's name and the identifier of this run of it.
            quota_seconds: The sliding window of the quotas.
        """
        self.requester = requester
        self.broker_changes = 0
        self._quota_seconds = quota_seconds
        self._local: broker.Broker | None = None
        self._remote: Send | None = None
        self._numbers = itertools.count(1)
        self._pending_by_number: dict[int, _Pending] = {}
        self._running_by_number: dict[int, slot.ActiveGrant] = {}
        self._usage_by_customer: dict[str, window.Window] = {}
        # How many rejections a second brittle back ends bear, as they said.
        self._tolerated_by_engine: dict[str, int] = {}

    @property
    def is_remote(self) -> bool:
        """Tell whether another node's broker is used.

        Returns:
            Whether it is; False if the node uses its own broker.
        """
        return self._remote is not None

    def set_local_broker(self, local: broker.Broker) -> None:
        """Set the node's own broker, which is used until ``switch_broker``.

        Args:
            local: The broker.
        """
        self._local = local
        local.adopt(self.requester, self.list_running(), [])

    def switch_broker(self, remote: Send | None) -> None:
        """Change the broker and send it the slot requests without a reply.

        Args:
            remote: Sends a message to another node's broker; None to use the
                node's own broker.
        """
        self.broker_changes += 1
        was_remote = self._remote is not None
        self._remote = remote
        if not was_remote:
            # The new broker learns of the runs in progress from the message
            # that opened the link.
            self._local.drop_requester(self.requester)
        if remote is None:
            self._local.adopt(
                self.requester,
                self.list_running(),
                self.list_usage(),
                self.list_notices(),
                self.list_rollouts(),
            )
        waiting = list(self._pending_by_number.values())
        _LOG.write(
            'broker changed; slot requests without a reply are sent again.',
            waiting=len(waiting),
            local=not remote,
        )
        for pending in waiting:
            self._resubmit(pending)

    def make_number(self) -> int:
        """Make the number of a slot request.

        Returns:
            The number, unique within this run of the node.
        """
        return next(self._numbers)

    def acquire_slot(self, request: slot.SlotRequest) -> slot.Grant:
        """Request a slot and wait for the reply.

        Args:
            request: The slot request, numbered by ``make_number``.

        Returns:
            The grant. A refusal, and a reply that doesn't come before the
            deadline, are raised as errors of a request not run.
        """
        number = request.number
        pending = _Pending(
            request,
            clock.read_monotonic(),
            gevent_event.AsyncResult(),
        )
        self._pending_by_number[number] = pending
        granted = False
        try:
            self._submit(pending)
            reply = self._await_grant(pending)
            granted = True
        finally:
            self._pending_by_number.pop(number, None)
            if not granted:
                self._withdraw(pending)
        self._note_grant(request, reply)
        return reply

    def report(self, report: slot.Report) -> None:
        """Report the outcome of a grant to the broker.

        Args:
            report: The outcome.
        """
        run = self._running_by_number.pop(report.number, None)
        if run and report.tolerated_rejections is not None:
            self._note_tolerance(run.engine, report.tolerated_rejections)
        if run and report.outcome in slot.UNSENT_OUTCOMES:
            self._add_usage(run.request, -run.request.cost)
            self._local.rollouts.count_sent(run.engine, -1)
        if self._remote:
            self._remote(report)
        else:
            self._local.finish(self.requester, report)

    def report_notice(self, notice: slot.EngineNotice) -> None:
        """Report what a back end announced of itself.

        The node's own broker always learns it, as the node checks with it
        before it uses a grant.

        Args:
            notice: The notice.
        """
        is_new = self._local.notices.note(self.requester, notice)
        if is_new and self._remote:
            self._remote(
                slot.Report(
                    slot.NOTICE_NUMBER, slot.Outcome.unused, notice=notice
                )
            )

    def report_path(self, engine: str, is_open: bool) -> None:
        """Report whether a back end can be reached from this node.

        Args:
            engine: The name of the back end.
            is_open: Whether it accepted a connection, or answered.
        """
        self.report(
            slot.Report(
                slot.NOTICE_NUMBER,
                slot.Outcome.unused,
                path=slot.PathReport(engine, is_open),
            )
        )

    def report_usage(self, update: slot.UsageUpdate) -> None:
        """Report what engines began for this node's requests.

        Args:
            update: The counts.
        """
        self.report(
            slot.Report(slot.NOTICE_NUMBER, slot.Outcome.unused, usage=update)
        )

    def keep_usage_copy(self, report: slot.Report) -> None:
        """Keep the usage of another node that the broker tells, if any.

        Args:
            report: The report of the broker.
        """
        if report.usage_copy and self._local.usage:
            self._local.usage.keep_copy(report.usage_copy)

    def list_notices(self) -> tuple[slot.EngineNotice, ...]:
        """List the notices of back ends that another broker should know.

        Returns:
            The notices.
        """
        known = self._local.notices.list_known(self.requester)
        states = self._local.engines.state_by_name
        brittle = (
            _make_tolerance_notice(states[name].engine, tolerated)
            for name, tolerated in self._tolerated_by_engine.items()
            if name in states
        )
        return (*known, *brittle)

    def may_use(self, engine: deployment.Engine) -> bool:
        """Tell whether this node may send a request to a back end.

        Args:
            engine: The back end.

        Returns:
            Whether it may, as far as the node itself knows: the broker's view
            of the registry and its notices can be older.
        """
        return self._local.notices.allows(self.requester, engine)

    def is_usable(self, engine: deployment.Engine) -> bool:
        """Tell whether a back end may get requests, perhaps of other nodes.

        Args:
            engine: The back end.

        Returns:
            Whether it may, as far as the node itself knows.
        """
        return self._local.notices.is_usable(engine)

    def accept_reply(self, reply: slot.Grant | slot.Refusal) -> None:
        """Pass the broker's reply to the greenlet that awaits it.

        Args:
            reply: The grant or the refusal.
        """
        pending = self._pending_by_number.get(reply.number)
        if pending is None:
            # The caller left, and the slot request has been withdrawn.
            return
        if not pending.reply.ready():
            pending.reply.set(reply)

    def list_running(self) -> list[slot.ActiveGrant]:
        """List the grants in use.

        Returns:
            The grants.
        """
        return list(self._running_by_number.values())

    def list_usage(self) -> list[slot.QuotaUsage]:
        """List what was used of the quotas in the sliding window.

        Returns:
            The usage of each customer that used any.
        """
        return [
            slot.QuotaUsage(customer, usage.measure())
            for customer, usage in self._usage_by_customer.items()
            if usage.measure()
        ]

    def list_rollouts(self) -> tuple[slot.RolloutUsage, ...]:
        """List what this node sent during the rollouts in progress.

        Returns:
            The requests of each rollout.
        """
        return self._local.rollouts.list_sent()

    def count_pending(self) -> int:
        """Count the slot requests without a reply.

        Returns:
            The number of slot requests.
        """
        return len(self._pending_by_number)

    def _submit(self, pending: _Pending) -> None:
        if self._remote:
            self._remote(pending.request)
        else:
            self._local.submit(self.requester, pending.request)

    def _resubmit(self, pending: _Pending) -> None:
        if pending.reply.ready():
            return
        elapsed = clock.read_monotonic() - pending.sent_at
        request = pending.request
        pending.request = msgspec.structs.replace(
            request,
            target_left=request.target_left - elapsed,
            time_left=request.time_left - elapsed,
            patience_left=request.patience_left - elapsed,
        )
        pending.sent_at = clock.read_monotonic()
        try:
            self._submit(pending)
        except Exception as fault:
            # The other slot requests must still be sent.
            _LOG.write(
                'unexpected error, the slot request is refused.',
                number=request.number,
                reason=repr(fault),
            )
            self.report(slot.withdraw(request))
            pending.reply.set(slot.refuse_unexpected(request))

    def _await_grant(self, pending: _Pending) -> slot.Grant:
        timeout = pending.request.time_left + REPLY_GRACE_SECONDS
        reply = pending.reply
        if not reply.wait(timeout) and not reply.ready():
            raise error.ExpiredError('no slot came free in time', 'admit')
        answer = reply.get()
        if isinstance(answer, slot.Grant):
            return answer
        kind, reason = _ERRORS_BY_REASON[answer.reason]
        raise kind(reason, 'admit', retry_after=answer.retry_after)

    def _withdraw(self, pending: _Pending) -> None:
        answer = pending.reply.get() if pending.reply.ready() else None
        if isinstance(answer, slot.Refusal):
            return
        outcome = slot.Outcome.unused if answer else slot.Outcome.abandoned
        self.report(slot.Report(pending.request.number, outcome))

    def _note_grant(self, request: slot.SlotRequest, grant: slot.Grant) -> None:
        self._running_by_number[request.number] = slot.ActiveGrant(
            request, grant.engine, grant.via
        )
        self._add_usage(request, request.cost)
        self._local.rollouts.count_sent(grant.engine)

    def _note_tolerance(self, engine: str, tolerated: int) -> None:
        if tolerated == slot.NO_LIMIT:
            self._tolerated_by_engine.pop(engine, None)
        else:
            self._tolerated_by_engine[engine] = tolerated

    def _add_usage(self, request: slot.SlotRequest, cost: float) -> None:
        # A negative cost is a refund.
        if not request.customer:
            return
        usage = self._usage_by_customer.get(request.customer)
        if usage is None:
            usage = window.Window(self._quota_seconds)
            self._usage_by_customer[request.customer] = usage
        usage.add(cost)


def _make_tolerance_notice(
    engine: deployment.Engine, tolerated: int
) -> slot.EngineNotice:
    return slot.EngineNotice(
        engine.name,
        engine.address,
        engine.born,
        tolerated_rejections=tolerated,
    )
