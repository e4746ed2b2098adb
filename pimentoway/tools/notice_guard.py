"""Guards of what back ends announce of themselves."""

from pimentoway.tools import guard_text

_NOTICES = 'pimentoway/platform/notice_process_test.py'
_NOTICE_TABLE = 'pimentoway/ops/notice_test.py'
_REAL = 'real'
_BROKER_MODULE = 'ops/broker.py'
_NEVER = 'if False:'

GUARDS = (
    guard_text.Guard(
        'the answer to a misdirected request gives no notice',
        'platform/notice_header.py',
        'if answer.status == _MISDIRECTED:',
        _NEVER,
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'only a plain number of seconds is a pause',
        'platform/notice_header.py',
        'if not _SECONDS.fullmatch(text):',
        'if not text:',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'a notice is heard with the head of an answer',
        'callers/exchange.py',
        '        self.path.read_notices(metadata.notices)\n',
        '',
        _NOTICES,
        _REAL,
    ),
    guard_text.Guard(
        'the answer to a liveness check is read',
        'backends/liveness.py',
        '        if _has_head(reader):',
        '        if False:',
        'pimentoway/backends/liveness_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a back end that wants no requests is not checked',
        'backends/liveness.py',
        'if check is None and self._may_use(engine):',
        'if check is None:',
        'pimentoway/backends/liveness_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a node checks its grants with the notices',
        'callers/forward.py',
        'return engine if self._slots.may_use(engine) else None',
        'return engine if self._view.is_usable(engine) else None',
        _NOTICES,
        _REAL,
    ),
    guard_text.Guard(
        'a leaving back end is granted to no node',
        'ops/enginetable.py',
        'if self.notices.is_usable(state.engine)',
        'if self._view.is_usable(state.engine)',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a pause holds for grants',
        'ops/enginetable.py',
        (
            '            if not self.notices.measure_pause('
            'reach.requester, state.engine)\n'
        ),
        '',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a request that waits for the end of a pause blocks no other',
        _BROKER_MODULE,
        'if avoided or len(allowed) < len(capacity.free_engines):',
        'if avoided:',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a notice belongs to one run of a back end',
        'ops/notice.py',
        'return (engine.name, engine.address, engine.born)',
        "return (engine.name, f'{engine.name}:1', 1)",
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a leaving notice ends when the store says so',
        'ops/notice.py',
        '            elif was_draining:\n',
        '            elif False:\n',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'notices are bounded',
        'ops/notice.py',
        'if len(self._was_draining_by_run) > MAX_LEAVING:',
        _NEVER,
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'pauses are bounded',
        'ops/notice.py',
        'if len(self._end_by_pause) > MAX_PAUSES:',
        _NEVER,
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'the longest pause holds',
        'ops/notice.py',
        'if end <= self._end_by_pause.get(key, 0):',
        _NEVER,
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a long pause is capped',
        'ops/notice.py',
        'seconds = min(notice.pause_seconds, MAX_PAUSE_SECONDS)',
        'seconds = notice.pause_seconds',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a node tells its notices when it attaches',
        _BROKER_MODULE,
        (
            '        for notice in notices:\n'
            '            self.notices.note(requester, notice)\n'
        ),
        '',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a node reports a notice to the broker in use',
        'ops/slotclient.py',
        '        if is_new and self._remote:',
        '        if False:',
        'pimentoway/ops/slotclient_test.py',
    ),
    guard_text.Guard(
        'a request that was turned away may return to the same back end',
        'callers/exchange.py',
        '        if not self.path.is_paused(self.metadata):\n',
        '        if True:\n',
        _NOTICES,
        _REAL,
    ),
    guard_text.Guard(
        'a refusal names the end of all pauses',
        _BROKER_MODULE,
        '        if opening:\n',
        '        if False:\n',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a request that cannot wait for the end of all pauses is refused',
        _BROKER_MODULE,
        'self.engines.measure_opening(request.service, requester),',
        '0,',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'pauses that are over are forgotten',
        'ops/notice.py',
        '            self._end_by_pause.pop(key)\n        return False',
        '            return True\n        return False',
        _NOTICE_TABLE,
    ),
)
