"""Unrepeatable requests: claimed first, run once, their outcome recorded.

The run goes on in a task of its own when its caller goes away, so that the
outcome is known when the caller comes back.
"""

import collections
import dataclasses

import gevent
from gevent import event as gevent_event

from pimentoway.backends import event
from pimentoway.core import clock, error, log, request
from pimentoway.ops import claim, claimlog, dispatch, scheduler

#: Seconds after the deadline in which the run may still state its outcome.
GRACE_SECONDS = 0.1

#: Seconds after which a caller may ask again for the outcome of a run.
ASK_AGAIN_SECONDS = 2

_LOG = log.Log('once')


@dataclasses.dataclass(frozen=True)
class Flight:
    """A run of this node that has not ended, or whose record is pending.

    Attributes:
        fingerprint: The fingerprint of the request.
        answer: Set to the piece that answers the request, or to the error.
    """

    fingerprint: str
    answer: gevent_event.AsyncResult


class OnceRunner:
    """Runs unrepeatable requests at most once."""

    def __init__(
        self,
        plan: scheduler.Scheduler,
        dispatcher: dispatch.Dispatcher,
        claims: claimlog.ClaimLog,
    ) -> None:
        """Connect the parts.

        Args:
            plan: The scheduler of the node.
            dispatcher: Runs a request that is claimed.
            claims: The claim log.
        """
        self._plan = plan
        self._dispatcher = dispatcher
        self._claims = claims
        self._flights_by_key: dict[str, Flight] = {}

    def run(
        self, entry: request.Request
    ) -> collections.abc.Iterator[request.Piece]:
        """Run a request, or answer with the outcome that it had before.

        Args:
            entry: The request.

        Yields:
            The answer as one piece.

        Raises:
            OutcomeUnknownError: If the deadline comes while it runs.
        """
        flight = self._join(entry)
        left = entry.deadline + GRACE_SECONDS - clock.read_monotonic()
        try:
            yield flight.answer.get(timeout=max(0, left))
        except gevent.Timeout as fault:
            raise error.OutcomeUnknownError(
                'the deadline came while the request ran',
                'run',
                retry_after=ASK_AGAIN_SECONDS,
            ) from fault

    def count_flights(self) -> int:
        """Count the runs whose outcome is not recorded yet.

        Returns:
            The runs.
        """
        return len(self._flights_by_key)

    def _join(self, entry: request.Request) -> Flight:
        key = claim.make_key(entry)
        fingerprint = request.fingerprint_body(entry.service.name, entry.body)
        flight = self._flights_by_key.get(key)
        if flight is None:
            self._plan.check_open(entry)
            flight = Flight(fingerprint, gevent_event.AsyncResult())
            self._flights_by_key[key] = flight
            gevent.spawn(self._fly, key, entry, flight)
        elif flight.fingerprint != fingerprint:
            raise _make_reuse_error()
        return flight

    def _fly(self, key: str, entry: request.Request, flight: Flight) -> None:
        try:
            made = self._claims.claim_request(entry)
        except error.PimentowayError as fault:
            flight.answer.set_exception(fault)
        else:
            self._settle(entry, flight, made)
        finally:
            self._flights_by_key.pop(key, None)

    def _settle(
        self, entry: request.Request, flight: Flight, made: claim.Claim
    ) -> None:
        if not made.granted:
            _set_answer(flight, made.held)
            return
        outcome = self._run_claimed(entry, flight, made.held)
        self._claims.record(outcome)

    def _run_claimed(
        self, entry: request.Request, flight: Flight, held: claim.Entry
    ) -> claim.Entry:
        try:
            pieces = list(self._dispatcher.run(entry))
        except error.NotRunError as refusal:
            flight.answer.set_exception(refusal)
            return dataclasses.replace(held, state=claim.State.not_run)
        except error.FailedError as failure:
            flight.answer.set_exception(failure)
            return dataclasses.replace(
                held,
                state=claim.State.failed,
                answer=failure.reason[: claim.KEPT_ANSWER],
            )
        except error.PimentowayError as fault:
            flight.answer.set_exception(fault)
            return dataclasses.replace(held, state=claim.State.unknown)
        piece = pieces[-1]
        if len(pieces) > 1:
            piece = event.assemble_completion(pieces)
        flight.answer.set(piece)
        return _describe_outcome(held, piece)


def _describe_outcome(held: claim.Entry, piece: request.Piece) -> claim.Entry:
    text = piece.payload.decode(errors='replace')
    kept = len(text) <= claim.KEPT_ANSWER
    return dataclasses.replace(
        held,
        state=claim.State.finished,
        status=piece.status,
        content_type=piece.content_type,
        answer=text if kept else '',
        kept=kept,
    )


def _set_answer(flight: Flight, held: claim.Entry) -> None:
    try:
        piece = _replay(flight, held)
    except error.PimentowayError as fault:
        flight.answer.set_exception(fault)
    else:
        flight.answer.set(piece)


def _replay(flight: Flight, held: claim.Entry) -> request.Piece:
    if held.fingerprint != flight.fingerprint:
        raise _make_reuse_error()
    if held.state is claim.State.failed:
        raise error.FailedError(held.answer, 'replay')
    if held.state is not claim.State.finished:
        raise error.OutcomeUnknownError(
            'an earlier copy of the request was sent; its outcome is not known',
            'replay',
            held.claim_id.partition('/')[0],
            retry_after=ASK_AGAIN_SECONDS,
        )
    if not held.kept:
        raise error.AlreadyFinishedError(
            'the request ran before; its answer was not kept',
            'replay',
        )
    return request.Piece(
        sequence=1,
        payload=held.answer.encode(),
        status=held.status,
        content_type=held.content_type,
        final=True,
    )


def _make_reuse_error() -> error.KeyReusedError:
    return error.KeyReusedError(
        'the idempotency key was used for a different request',
        'claim',
    )
