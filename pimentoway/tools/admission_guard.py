"""Guards of shares, returns and engine orders."""

from pimentoway.tools import guard_text

_SHARES_TEST = 'pimentoway/admission/shares_test.py'
_CONTENTION_TEST = 'pimentoway/admission/contention_test.py'
_RETURNS_TEST = 'pimentoway/admission/returns_test.py'
_SMALL_FLEET_TEST = 'pimentoway/admission/smallfleet_test.py'
_SCALING_TEST = 'pimentoway/duties/scaling_test.py'
_SCALING = 'duties/scaling.py'
_NEVER = 'if False:'

GUARDS = (
    guard_text.Guard(
        'requests over a share go after others',
        'ops/waitqueue.py',
        'if first.used is not None:',
        _NEVER,
        f'{_CONTENTION_TEST} -k "unequal or flood"',
    ),
    guard_text.Guard(
        'shares stay within a tier',
        'ops/waitqueue.py',
        'if candidate.queued.request.rank == request.rank\n',
        'if True\n',
        f'{_CONTENTION_TEST} -k inverted',
    ),
    guard_text.Guard(
        'shares outlast brief waits',
        'admission/shares.py',
        'if since > CONTENTION_SECONDS:',
        'if since > 0:',
        f'{_SHARES_TEST} -k side_is_kept',
    ),
    guard_text.Guard(
        'new requests over a share wait for others',
        'ops/waitqueue.py',
        '        queue.add(queued)\n',
        '        return queue.add(queued)\n',
        f'{_CONTENTION_TEST} -k flood',
    ),
    guard_text.Guard(
        'a return at its time goes first',
        'ops/routequeue.py',
        '        if queued.is_returned:\n            self._returned',
        '        if False:\n            self._returned',
        f'{_CONTENTION_TEST} -k before_new',
    ),
    guard_text.Guard(
        'late requests do not precede timely ones',
        'ops/waitqueue.py',
        '        and candidate.is_late <= first.is_late\n',
        '',
        f'{_CONTENTION_TEST} -k late_request',
    ),
    guard_text.Guard(
        'late returns use few slots',
        'ops/waitqueue.py',
        'RETURNING_FRACTION * queue.demand.running,',
        'queue.demand.compute_guaranteed_slots(self._slots),',
        f'{_SMALL_FLEET_TEST} -k late_returns',
    ),
    guard_text.Guard(
        'early repeats keep their place',
        'admission/returns.py',
        'if known and not known.is_claimed:',
        _NEVER,
        f'{_RETURNS_TEST} -k early_repeats',
    ),
    guard_text.Guard(
        'places follow each other',
        'admission/returns.py',
        '        self._reserved_until[place.lane] = due + seconds\n',
        '',
        f'{_RETURNS_TEST} -k crowd',
    ),
    guard_text.Guard(
        'engines on their way are no shortage',
        _SCALING,
        'if self._is_awaiting(sample.limits, missing):',
        _NEVER,
        f'{_SCALING_TEST} -k loss',
    ),
    guard_text.Guard(
        'reductions wait for a whole window',
        _SCALING,
        'and self._history.measure_span() >= enough',
        'and True',
        f'{_SCALING_TEST} -k new_holder',
    ),
    guard_text.Guard(
        'an earlier holder ordered the engines that are there',
        _SCALING,
        'if not self.is_ordered and present > self.level:',
        'if not self.is_ordered:',
        f'{_SCALING_TEST} -k new_holder',
    ),
    guard_text.Guard(
        'returns after refusals are no new demand',
        'ops/broker.py',
        'if not self._admission.is_returning(request):',
        'if True:',
        'pimentoway/duties/demand_test.py',
    ),
)
