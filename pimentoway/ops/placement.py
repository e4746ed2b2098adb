"""Chooses among back ends that report the pace of their machines.

The time to the first event and to the end of an answer is expected for each
back end, and counts besides the costs of ``ops.broker``. Services without that
figure are not concerned.
"""

import collections
import dataclasses
import heapq
import math

from pimentoway.core import deployment, log, metric
from pimentoway.ops import (
    enginespeed,
    enginestate,
    idletable,
    routestats,
    slot,
)

#: The part of the expected time to the first event that counts as cost. A
#: further cost of a first event after the target changed nothing measurable.
FIRST_COST_FRACTION = 0.3

#: The cost of a back end to which the node has no idle connection, in seconds:
#: a new one is charged for, and takes a round trip. It must only decide between
#: back ends that are nearly equal; 0 turns the preference off.
CONNECTION_COST_SECONDS = 0.01

#: One in so many slot requests of a node has its placement logged if it ends
#: well; there are thousands of them each second.
SAMPLE_INTERVAL = 64

#: The outcomes of runs that end as they should.
SOUND_OUTCOMES = frozenset((slot.Outcome.answered, slot.Outcome.unused))

_LOG = log.Log('placement')

#: Computes the cost of a back end from the run time that is usual for the
#: request, if that is the second argument.
ComputeCost = collections.abc.Callable[[enginestate.EngineState, float], float]


class Outlook:
    """Expects the run of one request at each of several back ends.

    Attributes:
        requester: The node that sent the request; '' if its connections do not
            count.
        max_idle_seconds: Seconds for which a connection that carries the
            request may have been idle.
    """

    def __init__(
        self,
        request: slot.SlotRequest,
        stats: routestats.RouteStats,
        model: enginespeed.PaceModel,
        now: float,
    ) -> None:
        """Take what does not depend on the back end.

        Args:
            request: The slot request.
            stats: The statistics of its route.
            model: What is learnt of the machines of the service.
            now: The monotonic time.
        """
        self.requester = ''
        self.max_idle_seconds = math.inf
        self._run_seconds = stats.estimate_run(request)
        self._first_seconds = min(stats.first_seconds, self._run_seconds)
        self._model = model
        self._now = now

    def choose(
        self,
        candidates: list[enginestate.EngineState],
        compute_cost: ComputeCost,
    ) -> enginestate.Choice:
        """Choose the back end with the lowest cost.

        Args:
            candidates: The back ends, at least one.
            compute_cost: Computes the cost of a back end without the first
                event.

        Returns:
            The back end, and what is expected there.
        """
        compared = [
            (self._compute_cost(state, compute_cost), state)
            for state in candidates
        ]
        best = heapq.nsmallest(2, compared, key=_get_cost)
        cost, state = best[0]
        next_cost, following = best[-1]
        expected = dataclasses.replace(
            self.forecast(state),
            cost=cost,
            next_engine=following.engine.name,
            next_cost=next_cost,
            candidates=len(candidates),
        )
        return enginestate.Choice(state, expected)

    def forecast(self, state: enginestate.EngineState) -> enginespeed.Forecast:
        """Expect the run at a back end.

        Args:
            state: The back end.

        Returns:
            What is expected, without the comparison.
        """
        first, run, tokens = self._expect(state)
        speed = state.speed
        return enginespeed.Forecast(
            first_seconds=first,
            run_seconds=run,
            pace=speed.pace,
            age_seconds=speed.measure_age(self._now),
            prompt_tokens=tokens,
            prompt_delay=tokens * self._model.prompts.seconds,
            waiting=speed.count_waiting(self._now),
        )

    def _compute_cost(
        self, state: enginestate.EngineState, compute_cost: ComputeCost
    ) -> float:
        first, run, _ = self._expect(state)
        cost = compute_cost(state, run / state.relative_duration)
        cost += FIRST_COST_FRACTION * first
        if self.requester and not state.idle.has(
            self.requester, self._now, self.max_idle_seconds
        ):
            cost += CONNECTION_COST_SECONDS
        return cost

    def _expect(
        self, state: enginestate.EngineState
    ) -> tuple[float, float, int]:
        # Seconds to the first event and to the end, and the tokens of prompts
        # that are read. Plain numbers, as this is done for each candidate.
        now = self._now
        speed = state.speed
        first = self._first_seconds * speed.relative_duration
        run = self._run_seconds * speed.relative_duration
        wait: float = 0
        waiting = speed.count_waiting(now)
        if waiting:
            slots = state.engine.slots or enginestate.DEFAULT_SLOTS
            wait = waiting * run / slots
        if speed.pace:
            first *= speed.predict_ratio(first, now)
            run *= speed.predict_ratio(run, now)
        tokens = 0
        if state.run_by_key:
            tokens = _count_prompt_tokens(state, now)
            first += tokens * self._model.prompts.seconds
        return wait + first, wait + run, tokens


def find_max_idle(
    configured: deployment.Deployment | None, request: slot.SlotRequest
) -> float:
    """Find for how long a connection may have been idle before a request.

    Args:
        configured: The configuration in force.
        request: The slot request.

    Returns:
        The seconds; infinite if the request may run twice.
    """
    route = configured and configured.routes_by_name.get(request.route)
    if route and not route.idempotent:
        return idletable.UNSAFE_MAX_IDLE_SECONDS
    return math.inf


def note_end(
    key: enginestate.RunKey,
    engine: str,
    run: enginestate.Run,
    report: slot.Report,
    model: enginespeed.PaceModel,
) -> None:
    """Compare the end of a run with what was expected of it.

    Args:
        key: The node and the number of the slot request.
        engine: The name of the back end.
        run: The run; ignored if nothing was expected.
        report: The report on it.
        model: What is learnt of the machines of the service.
    """
    expected = run.forecast
    if expected is None:
        return
    if report.outcome is slot.Outcome.answered and report.first_seconds:
        error = report.first_seconds - expected.first_seconds
        metric.FIRST_EVENT_ERROR.observe(abs(error))
        if expected.pace:
            metric.PACE_AGE.observe(expected.age_seconds)
        model.prompts.note(
            expected.prompt_tokens, error + expected.prompt_delay
        )
    is_sample = key[1] % SAMPLE_INTERVAL == 0
    if is_sample or report.outcome not in SOUND_OUTCOMES:
        _write_end(key, engine, expected, report)


def _write_end(
    key: enginestate.RunKey,
    engine: str,
    expected: enginespeed.Forecast,
    report: slot.Report,
) -> None:
    _LOG.write(
        'a chosen back end ended a run.',
        owner=key[0],
        number=key[1],
        engine=engine,
        outcome=report.outcome.name,
        candidates=expected.candidates,
        cost=round(expected.cost, 4),
        next_engine=expected.next_engine,
        next_cost=round(expected.next_cost, 4),
        pace=round(expected.pace, 2),
        age=round(expected.age_seconds, 3),
        prompt_tokens=expected.prompt_tokens,
        waiting=expected.waiting,
        expected_first=round(expected.first_seconds, 4),
        expected_run=round(expected.run_seconds, 4),
        first=round(report.first_seconds, 4),
        total=round(report.total_seconds, 4),
    )


def _count_prompt_tokens(state: enginestate.EngineState, now: float) -> int:
    # The prompts of runs whose first event is not expected yet.
    return sum(
        run.request.prompt_tokens
        for run in state.run_by_key.values()
        if run.forecast and run.started + run.forecast.first_seconds > now
    )


def _get_cost(compared: tuple[float, enginestate.EngineState]) -> float:
    return compared[0]
