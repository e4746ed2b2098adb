"""Sends the fixed reports and the orders of engines while the lease is held.

Each call is made by a task of its own. Reports are repeated until they are
answered or the tenure ends; the planner repeats its orders. Nothing is queued:
what a call says is read when it begins.
"""

import collections
import dataclasses
import typing

import gevent

from pimentoway.core import clock, duty, error, log, metric
from pimentoway.duties import holder, lease, usagebook

#: Seconds between two looks for calls to send.
STEP_SECONDS = 0.25

#: Seconds between two tries of a call, from the start of the first.
RETRY_SECONDS = 1.0

#: The longest pause after reports that the API had no room for, in seconds.
MAX_PAUSE_SECONDS = 2.0

#: The fraction of the calls that the API accepts that one holder sends: its
#: predecessor may have sent as many within the same second.
RATE_FRACTION = 0.5

#: The most calls of a duty at once; those of a silent API take their whole
#: time-outs.
MAX_CALLS = 4

_LOG = log.Log('duties')

#: A window, or a service and its failure domain.
Subject = int | tuple[str, str]


class Planner(typing.Protocol):
    """Decides on the engines, and when an order is repeated."""

    def begin_tenure(self) -> None:
        """Note that another holder may have ordered since the last order."""

    def plan(self) -> list[duty.EngineOrder]:
        """List the orders to send now.

        Returns:
            The orders; one that is not answered is listed again later.
        """

    def note_answered(self, order: duty.EngineOrder) -> None:
        """Note that the API accepted an order.

        Args:
            order: The order.
        """

    def note_limited(self, order: duty.EngineOrder) -> None:
        """Note that the API had no room for an order.

        Args:
            order: The order.
        """


@dataclasses.dataclass(frozen=True)
class Sources:
    """What is reported and ordered.

    Attributes:
        usage: The counts of this node's broker; ``None`` to report none.
        planner: Decides on the engines; ``None`` to order nothing.
        tasks: What runs in the background for them.
    """

    usage: usagebook.UsageSource | None = None
    planner: Planner | None = None
    tasks: tuple[collections.abc.Callable[[], None], ...] = ()


@dataclasses.dataclass
class _Job:
    kind: duty.Duty
    content: duty.UsageReport | duty.EngineOrder
    due_at: float = float('-inf')
    pause: float = RETRY_SECONDS
    tries: int = 0
    is_running: bool = False


class Publisher:
    """Sends calls to the API while the lease is held."""

    def __init__(
        self,
        lease_holder: holder.Holder,
        api: duty.DutyApi,
        book: usagebook.UsageBook,
        sources: Sources,
        calls_per_second: float,
    ) -> None:
        """Set up the task; ``run`` starts it.

        Args:
            lease_holder: Holds the lease.
            api: The API.
            book: The reports that the lease has fixed.
            sources: What is ordered.
            calls_per_second: The calls that the API accepts.
        """
        self._holder = lease_holder
        self._api = api
        self._book = book
        self._planner = sources.planner
        self._spacing = 1 / (RATE_FRACTION * calls_per_second)
        self._next_call_at = float('-inf')
        self._token = 0
        self._job_by_subject: dict[Subject, _Job] = {}

    def run(self) -> None:
        """Send what is due, for ever."""
        while True:
            self.step()
            gevent.sleep(STEP_SECONDS)

    def step(self) -> None:
        """Start the calls that are due."""
        tenure = self._holder.tenure
        if tenure is None:
            return
        if tenure.token != self._token:
            self._token = tenure.token
            self._job_by_subject = {}
            if self._planner:
                self._planner.begin_tenure()
        if not self._holder.may_act(self._token, self._holder.times.answer):
            return
        self._update_reports(tenure)
        self._update_orders()
        for job in tuple(self._job_by_subject.values()):
            is_due = clock.read_boot() >= job.due_at
            if is_due and not job.is_running and self._has_room(job.kind):
                self._start(job)

    def _update_reports(self, tenure: lease.Tenure) -> None:
        reports = {
            report.window: report
            for report in self._book.list_unconfirmed(tenure)
        }
        for subject, job in tuple(self._job_by_subject.items()):
            if job.kind is duty.Duty.usage and subject not in reports:
                self._job_by_subject.pop(subject)
        for window, report in reports.items():
            self._job_by_subject.setdefault(
                window, _Job(duty.Duty.usage, report)
            )

    def _update_orders(self) -> None:
        if self._planner is None:
            return
        for order in self._planner.plan():
            subject = (order.service, order.zone)
            job = self._job_by_subject.setdefault(
                subject, _Job(duty.Duty.scaling, order)
            )
            job.content = order
            # The planner decides when it is sent again.
            job.due_at = float('-inf')

    def _has_room(self, kind: duty.Duty) -> bool:
        running = [
            job
            for job in self._job_by_subject.values()
            if job.kind is kind and job.is_running
        ]
        return len(running) < MAX_CALLS

    def _start(self, job: _Job) -> None:
        now = clock.read_boot()
        gevent.sleep(max(0, self._next_call_at - now))
        self._next_call_at = clock.read_boot() + self._spacing
        job.is_running = True
        job.tries += 1
        job.due_at = float('inf')
        if job.kind is duty.Duty.usage:
            job.due_at = clock.read_boot() + job.pause
        gevent.spawn(self._send, job, job.content, self._token)

    def _send(
        self,
        job: _Job,
        content: duty.UsageReport | duty.EngineOrder,
        token: int,
    ) -> None:
        try:
            with self._holder.track_call():
                self._call(token, content)
        except error.PlatformError as fault:
            self._note_failure(job, content, fault)
            return
        finally:
            job.is_running = False
        if job.content == content:
            # The planner may have listed it again before the answer.
            job.due_at = float('inf')
        self._note_answer(job, content, token)

    def _call(
        self, token: int, content: duty.UsageReport | duty.EngineOrder
    ) -> None:
        if isinstance(content, duty.UsageReport):
            self._api.report_usage(token, content)
        else:
            self._api.order_engines(token, content)

    def _note_failure(
        self,
        job: _Job,
        content: duty.UsageReport | duty.EngineOrder,
        fault: error.PlatformError,
    ) -> None:
        if isinstance(fault, duty.ApiBusyError):
            self._slow_down(job, content)
        else:
            job.pause = RETRY_SECONDS
        _LOG.write(
            'a call to the platform failed.',
            **_describe(content),
            tries=job.tries,
            reason=str(fault),
        )

    def _slow_down(
        self, job: _Job, content: duty.UsageReport | duty.EngineOrder
    ) -> None:
        if isinstance(content, duty.EngineOrder):
            self._planner.note_limited(content)
            return
        job.pause = min(2 * job.pause, MAX_PAUSE_SECONDS)
        job.due_at = clock.read_boot() + job.pause

    def _note_answer(
        self,
        job: _Job,
        content: duty.UsageReport | duty.EngineOrder,
        token: int,
    ) -> None:
        if isinstance(content, duty.UsageReport):
            self._book.note_accepted(content, job.tries)
            return
        if token == self._token:
            self._planner.note_answered(content)
        metric.DUTY_ORDERS.labels(content.zone).inc()
        _LOG.write(
            'an order of engines was answered.',
            **_describe(content),
            token=token,
            tries=job.tries,
        )


def _describe(
    content: duty.UsageReport | duty.EngineOrder,
) -> dict[str, object]:
    if isinstance(content, duty.UsageReport):
        return {'window': content.window}
    return dataclasses.asdict(content)
