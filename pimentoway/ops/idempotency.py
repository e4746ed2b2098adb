"""Runs unrepeatable requests at most once and records their outcome.

A request is claimed in the claim log before it is sent. Its run continues in
a greenlet of its own when the caller disconnects, so that a repeat with the
same idempotency key gets the outcome.
"""

import collections
import dataclasses

import gevent
from gevent import event as gevent_event

from pimentoway.backends import event
from pimentoway.core import clock, error, log, request
from pimentoway.ops import claim, claimlog, dispatch, scheduler

#: Seconds after the deadline for which a caller still waits for the outcome.
GRACE_SECONDS = 0.1

#: `Retry-After` in seconds while the outcome of a run is unknown.
OUTCOME_RETRY_SECONDS = 2

_LOG = log.Log('once')


@dataclasses.dataclass(frozen=True)
class InflightRun:
    """A run of this node that has not ended, or whose record is pending.

    Attributes:
        fingerprint: The fingerprint of the request.
        answer: Set to the piece that answers the request, or to the error.
    """

    fingerprint: str
    answer: gevent_event.AsyncResult


class AtMostOnceRunner:
    """Runs unrepeatable requests at most once."""

    def __init__(
        self,
        node_scheduler: scheduler.Scheduler,
        dispatcher: dispatch.Dispatcher,
        claims: claimlog.ClaimLog,
    ) -> None:
        """Create a runner without runs.

        Args:
            node_scheduler: Checks whether a request may be queued.
            dispatcher: Runs a request that is claimed.
            claims: The claim log.
        """
        self._scheduler = node_scheduler
        self._dispatcher = dispatcher
        self._claims = claims
        self._runs_by_key: dict[str, InflightRun] = {}

    def run(
        self, req: request.Request
    ) -> collections.abc.Iterator[request.Piece]:
        """Run a request, or answer with the outcome of its earlier run.

        Args:
            req: The request.

        Yields:
            The whole answer as one piece.

        Raises:
            OutcomeUnknownError: If the deadline passes while it runs.
        """
        inflight = self._join_or_start(req)
        left = req.deadline + GRACE_SECONDS - clock.read_monotonic()
        try:
            yield inflight.answer.get(timeout=max(0, left))
        except gevent.Timeout as fault:
            raise error.OutcomeUnknownError(
                'the deadline came while the request ran',
                'run',
                retry_after=OUTCOME_RETRY_SECONDS,
            ) from fault

    def count_runs(self) -> int:
        """Count the runs whose outcome is not recorded yet.

        Returns:
            The number of runs.
        """
        return len(self._runs_by_key)

    def _join_or_start(self, req: request.Request) -> InflightRun:
        # A repeat at this node shares the run that is in flight.
        key = claim.make_key(req)
        fingerprint = request.fingerprint_body(req.service.name, req.body)
        inflight = self._runs_by_key.get(key)
        if inflight is None:
            self._scheduler.check_admission(req)
            inflight = InflightRun(fingerprint, gevent_event.AsyncResult())
            self._runs_by_key[key] = inflight
            gevent.spawn(self._claim_and_run, key, req, inflight)
        elif inflight.fingerprint != fingerprint:
            raise _make_reuse_error()
        return inflight

    def _claim_and_run(
        self, key: str, req: request.Request, inflight: InflightRun
    ) -> None:
        try:
            reply = self._claims.claim_request(req)
        except error.PimentowayError as fault:
            inflight.answer.set_exception(fault)
        else:
            self._run_or_replay(req, inflight, reply)
        finally:
            self._runs_by_key.pop(key, None)

    def _run_or_replay(
        self,
        req: request.Request,
        inflight: InflightRun,
        reply: claim.ClaimReply,
    ) -> None:
        if not reply.granted:
            _set_recorded_answer(inflight, reply.latest)
            return
        outcome = self._run_claimed(req, inflight, reply.latest)
        self._claims.record(outcome)

    def _run_claimed(
        self,
        req: request.Request,
        inflight: InflightRun,
        claimed: claim.Entry,
    ) -> claim.Entry:
        try:
            pieces = list(self._dispatcher.run(req))
        except error.NotRunError as refusal:
            inflight.answer.set_exception(refusal)
            return dataclasses.replace(claimed, state=claim.State.not_run)
        except error.FailedError as failure:
            inflight.answer.set_exception(failure)
            return dataclasses.replace(
                claimed,
                state=claim.State.failed,
                answer=failure.reason[: claim.MAX_ANSWER_CHARS],
            )
        except error.PimentowayError as fault:
            inflight.answer.set_exception(fault)
            return dataclasses.replace(claimed, state=claim.State.unknown)
        piece = pieces[-1]
        if len(pieces) > 1:
            piece = event.assemble_completion(pieces)
        inflight.answer.set(piece)
        return _make_outcome(claimed, piece)


def _make_outcome(claimed: claim.Entry, piece: request.Piece) -> claim.Entry:
    text = piece.payload.decode(errors='replace')
    kept = len(text) <= claim.MAX_ANSWER_CHARS
    return dataclasses.replace(
        claimed,
        state=claim.State.finished,
        status=piece.status,
        content_type=piece.content_type,
        answer=text if kept else '',
        kept=kept,
    )


def _set_recorded_answer(inflight: InflightRun, latest: claim.Entry) -> None:
    try:
        piece = _replay(inflight, latest)
    except error.PimentowayError as fault:
        inflight.answer.set_exception(fault)
    else:
        inflight.answer.set(piece)


def _replay(inflight: InflightRun, latest: claim.Entry) -> request.Piece:
    if latest.fingerprint != inflight.fingerprint:
        raise _make_reuse_error()
    if latest.state is claim.State.failed:
        raise error.FailedError(latest.answer, 'replay')
    if latest.state is not claim.State.finished:
        raise error.OutcomeUnknownError(
            'an earlier copy of the request was sent; its outcome is not known',
            'replay',
            latest.claim_id.partition('/')[0],
            retry_after=OUTCOME_RETRY_SECONDS,
        )
    if not latest.kept:
        raise error.AlreadyFinishedError(
            'the request ran before; its answer was not kept',
            'replay',
        )
    return request.Piece(
        sequence=1,
        payload=latest.answer.encode(),
        status=latest.status,
        content_type=latest.content_type,
        final=True,
    )


def _make_reuse_error() -> error.KeyReusedError:
    return error.KeyReusedError(
        'the idempotency key was used for a different request',
        'claim',
    )
