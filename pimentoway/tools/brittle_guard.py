"""Guards of back ends that bear few rejections."""

from pimentoway.tools import guard_text

_LIMIT = 'pimentoway/ops/brittle_test.py'
_PROCESS = 'pimentoway/platform/brittle_process_test.py'

GUARDS = (
    guard_text.Guard(
        'a new broker learns which back ends bear few rejections',
        'ops/broker.py',
        '            self.engines.note_tolerance(notice)\n',
        '',
        'pimentoway/ops/slotclient_test.py',
    ),
    guard_text.Guard(
        'tolerated rejections are bounded',
        'platform/notice_header.py',
        'max(0, min(stated, MAX_TOLERATED_REJECTIONS))',
        'stated',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'reports tell how many rejections are tolerated',
        'callers/exchange.py',
        'tolerated_rejections=_read_tolerated(self.metadata),',
        '',
        _PROCESS,
        'real',
    ),
    guard_text.Guard(
        'brittle back ends get as much as they have room for',
        'ops/enginestate.py',
        '        slots = self.limit.bound_slots(slots, share)\n',
        '',
        _LIMIT,
    ),
    guard_text.Guard(
        'what may be rejected stays within what is tolerated',
        'ops/brittle.py',
        'return len(self._start_by_key) < max(1, left)',
        'return True',
        _LIMIT,
    ),
    guard_text.Guard(
        'rejections of the last second count',
        'ops/brittle.py',
        'left = int(budget) - self._count_rejections(seconds)',
        'left = int(budget)',
        _LIMIT,
    ),
    guard_text.Guard(
        'brokers share the tolerated rejections',
        'ops/brittle.py',
        '        if budget < 1:\n            # Other',
        '        if budget < 0:\n            # Other',
        _LIMIT,
    ),
    guard_text.Guard(
        'a back end that is back starts with few requests',
        'ops/enginestate.py',
        '            self.limit.expect(self.limit.tolerated)\n',
        '',
        _LIMIT,
    ),
    guard_text.Guard(
        'a new back end of a brittle service starts with few',
        'ops/enginetable.py',
        '                state.limit.expect('
        'tolerated_by_service.get(engine.service))\n',
        '',
        _LIMIT,
    ),
    guard_text.Guard(
        'requests that are still counted take room',
        'ops/brittle.py',
        'self._lagging_until = max(self._lagging_until, now + seconds)',
        'self._lagging_until = now',
        _LIMIT,
    ),
    guard_text.Guard(
        'a first rejection shows lost room',
        'ops/brittle.py',
        ' or math.isinf(self._room)',
        '',
        _LIMIT,
    ),
    guard_text.Guard(
        'starts before lost room prove nothing',
        'ops/brittle.py',
        'start, doubtful=start.level\n',
        'start, doubtful=0\n',
        _LIMIT,
    ),
    guard_text.Guard(
        'a pause of the process admits no request',
        'ops/brittle.py',
        'min(now - self._settled_at, MAX_STEP_SECONDS)',
        'min(now - self._settled_at, 1)',
        _LIMIT,
    ),
    guard_text.Guard(
        'other back ends end no limit',
        'ops/brittle.py',
        'if stated is None or report.outcome not in _ANSWER_OUTCOMES:',
        'if stated is None:',
        _LIMIT,
    ),
)
