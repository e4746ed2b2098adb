"""Operating characteristic of canary rollouts, on the simulated clock.

A plain service has four routes. The judgement does not tell the back ends of a
version apart, so each version has one. The order comes at 4 s, for 16 s; the
old version may be in trouble from 3 s to 11 s. Each line counts the rollouts of
one kind by their state at the end of the time, and those in which the new
version got more requests than a bad one may get (``over``, as a good one does),
or a request too long after its 50th bad answer (``late``).
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import sys
import types
from unittest import mock

import msgspec

from pimentoway.core import log, nodesetting
from pimentoway.ops import rolloutprogress_test, slot
from pimentoway.standin import paused_loop, slotrequest

ORDER_AT = 4.0
ORDER_SECONDS = 16
TROUBLE = (3.0, 11.0)
ROUTES = ('r0', 'r1', 'r2', 'r3')

#: Seconds for which the broker knows the back ends before requests arrive.
LEAD_SECONDS = 5.0

#: Seconds between two decisions without requests.
DECISION_SECONDS = 0.25

#: The usual duration of an answer, how much one may differ from it, and the
#: duration from which the answer of a slow version counts as bad.
USUAL_SECONDS = 0.3
SPREAD = 0.2
BAD_SECONDS = 0.75

#: The bad answers from which the time to roll back counts.
BAD_ANSWERS = 50


@dataclasses.dataclass(frozen=True)
class Fault:
    """What is wrong with a version.

    Attributes:
        rate: The fraction of its answers that fail.
        route: The only route with failures; ``''`` for all.
        slowdown: The duration of its answers, relative to the usual one.
    """

    rate: float = 0
    route: str = ''
    slowdown: float = 1


#: The parts of its answers that a bad version fails, and the failing old one.
FAILURE_RATES = (0.1, 0.2, 0.4, 0.6)
OLD_RATE = 0.45

OLD_FAULTS = types.MappingProxyType(
    {'calm': Fault(), 'failing': Fault(OLD_RATE), 'slow': Fault(slowdown=6)}
)

NEW_FAULTS = types.MappingProxyType(
    {
        'good': Fault(),
        'three times slow': Fault(slowdown=3),
        **{f'fails {rate}': Fault(rate) for rate in FAILURE_RATES},
        **{
            f'fails {rate} on a route': Fault(rate, ROUTES[2])
            for rate in FAILURE_RATES
        },
    }
)


class RolloutDay(rolloutprogress_test.SimulatedRollout):
    """A rollout with random arrivals, whose answers take time.

    Attributes:
        over: Whether the new version got more than a bad one may get.
        late: Whether it got a request too long after its 50th bad answer.
    """

    def __init__(self, old: Fault, new: Fault, rate: float, seed: int) -> None:
        """Start without requests.

        Args:
            old: What is wrong with the old version for some seconds.
            new: What is wrong with the new version.
            rate: The requests a second.
            seed: The seed of the arrivals, durations and failures.
        """
        super().__init__(None, seed)
        self.over = False
        self.late = False
        self._faults = {'v1': old, 'v2': new}
        self._rate = rate
        self._now: float = 0
        self._ordered = False
        self._running: list[tuple] = []
        self._numbers = itertools.count()
        self._bad_times: list[float] = []

    def play(self) -> str:
        """Play it until the time of the order ends.

        Returns:
            The state at that time.
        """
        paused_loop.advance(LEAD_SECONDS)
        arrival = self._random.expovariate(self._rate)
        while self._now < ORDER_AT + ORDER_SECONDS:
            end = self._running[0][0] if self._running else arrival
            due = min(arrival, end, self._now + DECISION_SECONDS)
            paused_loop.advance(due - self._now)
            self._now = due
            self._order_if_due()
            if self._running and due == end:
                heapq.heappop(self._running)[-1]()
            elif due == arrival:
                arrival += self._random.expovariate(self._rate)
                self._start()
            self._decide()
        return self.states[-1].value

    def _order_if_due(self) -> None:
        if not self._ordered and self._now >= ORDER_AT:
            self._ordered = True
            order = rolloutprogress_test.ORDER
            self.order(dataclasses.replace(order, seconds=ORDER_SECONDS))

    def _start(self) -> None:
        allowed = [
            self._states[version]
            for version in ('v1', 'v2')[: 1 + self._ordered]
            if self.table.allows(self._states[version].engine)
        ]
        engine_state = next(iter(self.table.prefer('s', allowed)), None)
        if engine_state is None:
            return
        self.starts += 1
        self.table.note_start(engine_state.engine, 'n/1')
        version = engine_state.engine.version
        if version == 'v2':
            self.new_starts += 1
            self._check()
        self._run(version, self._random.choice(ROUTES))

    def _run(self, version: str, route: str) -> None:
        fault = self._faults[version]
        if version == 'v1' and not TROUBLE[0] <= self._now < TROUBLE[1]:
            fault = Fault()
        bad = route.startswith(fault.route) and self._fails(fault.rate)
        spread = self._random.uniform(1 - SPREAD, 1 + SPREAD)
        seconds = USUAL_SECONDS * fault.slowdown * spread
        finish = functools.partial(self._finish, version, route, bad, seconds)
        ended = self._now + seconds
        heapq.heappush(self._running, (ended, next(self._numbers), finish))

    def _finish(self, version: str, route: str, bad: bool, took: float) -> None:
        if version == 'v2' and (bad or took > BAD_SECONDS):
            self._bad_times.append(self._now)
        outcome = slot.Outcome.failed if bad else slot.Outcome.answered
        report = slot.Report(1, outcome, took / 3, took, 10)
        request = slotrequest.make_slot_request(1, service='s')
        request = msgspec.structs.replace(request, route=route)
        self.table.note_end(self._states[version], request, report)

    def _check(self) -> None:
        self.over |= not self.is_within_bounds()
        if len(self._bad_times) >= BAD_ANSWERS:
            waited = self._now - self._bad_times[BAD_ANSWERS - 1]
            self.late |= waited > nodesetting.Bounds().rollback


def run() -> int:
    """Print the table; arguments: rate, first seed and number of rollouts.

    Returns:
        The exit status.
    """
    rate, first, rollouts = (int(word) for word in sys.argv[1:])
    with mock.patch.object(log.Log, 'write'):
        for old, new in itertools.product(OLD_FAULTS, NEW_FAULTS):
            counts: collections.Counter[str] = collections.Counter()
            for seed in range(first, first + rollouts):
                day = RolloutDay(OLD_FAULTS[old], NEW_FAULTS[new], rate, seed)
                counts.update((day.play(),))
                counts.update(over=day.over, late=day.late)
            sys.stdout.write(f'{rate}/s, old {old}, {new}: {dict(counts)}\n')
    return 0
