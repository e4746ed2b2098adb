"""Guards of the code that runs on the users' platform."""

from pimentoway.tools import guard_text

_EDGE = 'pimentoway/platform/edge_process_test.py'
_BROKER = 'pimentoway/ops/broker_test.py'
_PARTS = 'pimentoway/ops/partledger_test.py'
_DRAIN = 'pimentoway/platform/drain_process_test.py'
_NOTICES = 'pimentoway/platform/notice_process_test.py'
_NOTICE_TABLE = 'pimentoway/ops/notice_test.py'
_REAL = 'real'
_BROKER_MODULE = 'ops/broker.py'
_NEVER = 'if False:'

GUARDS = (
    guard_text.Guard(
        'the body of a request has one length',
        'core/message.py',
        'if codings and [coding.lower() for coding in codings] != [_CHUNKED]:',
        'if False:',
        'pimentoway/core/message_test.py',
    ),
    guard_text.Guard(
        'trailers are no headers',
        'core/message.py',
        (
            '        if not current.head_complete:\n'
            '            current.headers.append((name, text))\n'
            '\n'
            '    def on_headers_complete(self) -> None:\n'
            '        """Evaluate the complete head."""\n'
            '        current = self.requests[-1]'
        ),
        (
            '        current.headers.append((name, text))\n'
            '\n'
            '    def on_headers_complete(self) -> None:\n'
            '        """Evaluate the complete head."""\n'
            '        current = self.requests[-1]'
        ),
        'pimentoway/core/message_test.py',
    ),
    guard_text.Guard(
        'reserved headers are dropped',
        'platform/wire.py',
        '    dropped |= RESERVED_HEADERS\n',
        '',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'what counts is passed on whatever the connection header says',
        'platform/wire.py',
        'message.list_hop_by_hop_headers(raw.headers) '
        '- ALWAYS_FORWARDED_HEADERS',
        'message.list_hop_by_hop_headers(raw.headers)',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'foreign entries name no back end',
        'platform/record.py',
        '        draining=_look_up(DRAINING_BY_STATE, raw.state),',
        "        draining=raw.state == 'draining',",
        'pimentoway/platform/record_test.py',
    ),
    guard_text.Guard(
        'an address has a port that exists',
        'platform/validation.py',
        'if not _PORT.fullmatch(port) or int(port) > _MAX_PORT:',
        'if not port.isdigit():',
        'pimentoway/platform/record_test.py',
    ),
    guard_text.Guard(
        'numbers of back ends are in range',
        'platform/record.py',
        'msgspec.Meta(ge=0, le=MAX_SLOTS)',
        'msgspec.Meta(ge=0)',
        'pimentoway/platform/record_test.py',
    ),
    guard_text.Guard(
        'an unreadable object hides no others',
        'platform/store_answer.py',
        '        return split(body)\n',
        '        return msgspec.json.decode(body, type=schema)\n',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a deeply nested object names no record',
        'core/codec.py',
        'DECODING_ERRORS = (ValueError, OverflowError, RecursionError)',
        'DECODING_ERRORS = (ValueError,)',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a listing continues after a name that can be read',
        'platform/store.py',
        'names = [change.name for change in changes if change.name]',
        'names = [change.name for change in changes]',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a time limit is bounded before it is divided',
        'platform/wire.py',
        'min(milliseconds, MAX_SECONDS * MILLISECONDS) / MILLISECONDS',
        'milliseconds / MILLISECONDS',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'an infinite cold start is ignored',
        'platform/wire.py',
        'return seconds if abs(seconds) <= MAX_SECONDS else None',
        'return seconds',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'a huge load is ignored',
        'platform/wire.py',
        'if max(running, waiting, slots) > MAX_LOAD:',
        'if min(running, waiting, slots) > MAX_LOAD:',
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'an event has a number that can be read',
        'backends/event.py',
        'if not digits.isdigit() or len(digits) > MAX_SEQUENCE_DIGITS:',
        'if not digits:',
        'pimentoway/backends/exchange_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'an answer that ends early is not whole',
        'core/connection.py',
        'if not self._reply.message_complete:',
        'if self._reply is None:',
        'pimentoway/backends/exchange_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a draining node answers before it ends',
        'tools/edge.py',
        '        self._forwarder.interrupt()\n',
        '',
        _DRAIN,
        _REAL,
    ),
    guard_text.Guard(
        'a late request has the time of its node',
        'callers/forward.py',
        'deadline=min(end, self.drain_limit.end) - RESPONSE_MARGIN_SECONDS,',
        'deadline=end - RESPONSE_MARGIN_SECONDS,',
        _DRAIN,
        _REAL,
    ),
    guard_text.Guard(
        'a late request that would outlast its node is not run',
        'callers/drain.py',
        'if self.closed and min(expected, time_limit) > self.end:',
        'if self.closed and min(expected, time_limit) < 0:',
        _DRAIN,
        _REAL,
    ),
    guard_text.Guard(
        'configuration never goes back',
        'ops/view.py',
        (
            '        if current is not None and '
            'newer.version <= current.version:\n'
            '            return\n'
        ),
        '',
        'pimentoway/ops/view_test.py',
    ),
    guard_text.Guard(
        'lapsed entries are kept for a while',
        'ops/view.py',
        'if kind is registry.Kind.engines and self._may_be_running(name):',
        'if False:',
        'pimentoway/ops/view_test.py',
    ),
    guard_text.Guard(
        'an unrepeatable request runs once',
        'callers/request_context.py',
        'self.route.idempotent and self.possible_runs < self.route.attempts',
        'self.possible_runs < 3',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'a refusal is true',
        'callers/forward.py',
        'if context.possible_runs and isinstance(fault, error.NotRunError):',
        'if False:',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'an answer carries the seal',
        'callers/backend_attempt.py',
        (
            'if not metadata.sealed or metadata.encoded '
            'or not metadata.request_id:'
        ),
        'if False:',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'foreign answers are passed over',
        'backends/channel.py',
        '            return named == request_id\n',
        '            return True\n',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'a resumed stream goes on after its last event',
        'callers/backend_attempt.py',
        'after_event=context.event_splitter.last_id,',
        "after_event=b'',",
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'half an event is held back',
        'callers/backend_attempt.py',
        "        context.event_splitter.rest = b''\n",
        '',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'a stream does not end within an event',
        'callers/backend_attempt.py',
        '        self._check_stream_end(response)\n',
        '',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'an empty stream without a marked end is not whole',
        'callers/backend_attempt.py',
        'if splitter.is_within_event() or not (splitter.count or marked):',
        'if splitter.is_within_event():',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'comments after the last event are not cut events',
        'core/eventstream.py',
        'return bool(_EVENT_LINE.search(self.rest))',
        'return bool(self.rest)',
        'pimentoway/core/eventstream_test.py',
    ),
    guard_text.Guard(
        'a part that crashes back ends is refused',
        'ops/admit.py',
        'self.parts.compute_block_seconds(_list_parts(request)),',
        '0,',
        _BROKER,
    ),
    guard_text.Guard(
        'waiting requests with a blocked part are refused',
        'ops/broker.py',
        '        self._refuse_blocked(run.request.service)\n',
        '',
        _BROKER,
    ),
    guard_text.Guard(
        'a back end that leaves is no evidence against a part',
        'ops/broker.py',
        'if report.outcome is not slot.Outcome.crashed or leaving:',
        'if report.outcome is not slot.Outcome.crashed:',
        _BROKER,
    ),
    guard_text.Guard(
        'a long answer is no evidence against a part',
        'ops/broker.py',
        'if answering > partledger.SUSPECT_SECONDS:',
        'if not answering:',
        _BROKER,
    ),
    guard_text.Guard(
        'an answer clears the parts of its prompt',
        'ops/partledger.py',
        '            self._suspicion_by_part.pop(part, None)\n'
        '            if part in',
        '            if part in',
        _PARTS,
    ),
    guard_text.Guard(
        'simultaneous crashes count once',
        'ops/partledger.py',
        'if started >= suspicion.latest:',
        'if True:',
        _PARTS,
    ),
    guard_text.Guard(
        'crashes are explained by one part',
        'ops/partledger.py',
        '        self._explain_crashes(part, crashes)\n',
        '',
        _PARTS,
    ),
    guard_text.Guard(
        'a back end that answers has not crashed',
        'backends/liveness.py',
        'return not received',
        'return True',
        'pimentoway/backends/liveness_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a broken stream has no last chunk',
        'callers/forward.py',
        '            context.writer.keep_alive = False\n',
        "            context.writer.end_stream(b'')\n",
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'a caller that leaves is noticed',
        'callers/connection.py',
        (
            '        watcher.start(self._check_disconnect, '
            'greenlet.getcurrent(), watcher)\n'
        ),
        '',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'a connection is closed once while stopping',
        'callers/connection.py',
        (
            '            self.idle = False\n'
            '            self.closing = True\n'
            '            self._sock.close()'
        ),
        '            self._sock.close()',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'a stopping node is not ready',
        'tools/edge.py',
        'return bool(configured) and not self.leaving',
        'return bool(configured)',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'quota in any window',
        'ops/quota.py',
        '        if not fits or (missing > 0 and not has_idle_slots):',
        '        if missing > 0 and not has_idle_slots:',
        'pimentoway/ops/quota_test.py',
    ),
    guard_text.Guard(
        'quota is given out by parts',
        'ops/quota.py',
        'limit = self._compute_window_limit(customer) * share',
        'limit = self._compute_window_limit(customer)',
        'pimentoway/ops/quota_test.py',
    ),
    guard_text.Guard(
        'retry budget',
        'ops/admit.py',
        'if request.repeats and not self._allows_repeat(request, estimate):',
        'if False:',
        _BROKER,
    ),
    guard_text.Guard(
        'request that breaks back ends',
        'ops/admit.py',
        ('        if block:\n            return slot.Reason.suspect, block\n'),
        '',
        _BROKER,
    ),
    guard_text.Guard(
        'cold back end at the broker',
        'ops/broker.py',
        'if state.is_within_cold_rate(rate, self.engines.share)',
        'if True',
        _BROKER,
    ),
    guard_text.Guard(
        'leaving back end at the broker',
        'ops/enginetable.py',
        'if self.notices.is_usable(state.engine):',
        'if True:',
        _BROKER,
    ),
    guard_text.Guard(
        'returns yield to newcomers',
        'ops/broker.py',
        '        request = self._admission.restore_target(request)\n',
        '',
        _BROKER,
    ),
    guard_text.Guard(
        'slots kept for urgent requests',
        'ops/waitqueue.py',
        '        return free > round(tiers * reserved)',
        '        return True',
        _BROKER,
    ),
    guard_text.Guard(
        'slow answers that end early blame a version',
        'ops/rolloutprogress.py',
        '        elif slow and report.outcome in slot.UNFINISHED_OUTCOMES:',
        '        elif False:',
        'pimentoway/ops/rolloutprogress_test.py',
    ),
    guard_text.Guard(
        'guaranteed part of long answers',
        'ops/routequeue.py',
        '            return bands[-1].value_ratio\n',
        '            return bands[index].value_ratio\n',
        _BROKER,
    ),
    guard_text.Guard(
        'guaranteed part of the lowest tier',
        'ops/waitqueue.py',
        '    return demand.running < demand.compute_guaranteed_slots(slots)',
        '    return False',
        _BROKER,
    ),
    guard_text.Guard(
        'each tier of a route has a queue',
        'ops/slot.py',
        '        return self.route, self.rank\n',
        '        return self.route, 0\n',
        _BROKER,
    ),
    guard_text.Guard(
        'the rest of a stream is a stream',
        'callers/backend_attempt.py',
        '        if resumed and not _is_event_stream(response):\n',
        '        if False:\n',
        'pimentoway/platform/stray_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a resumed event has an identifier',
        'callers/backend_attempt.py',
        '        if eventstream.has_unnumbered_event(events):\n',
        '        if False:\n',
        'pimentoway/platform/stray_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'responses without an identifier are foreign on kept connections',
        'backends/channel.py',
        '        return not self.reused\n',
        '        return True\n',
        'pimentoway/platform/stray_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'changes of a large configuration are encoded once',
        'nodes/frame.py',
        '        self._frame_by_key[key] = encoded\n',
        '',
        'pimentoway/nodes/frame_test.py',
    ),
    guard_text.Guard(
        'unpacked records are bounded',
        'nodes/frame.py',
        'if unpacker.unconsumed_tail or not unpacker.eof:',
        'if unpacker.unused_data:',
        'pimentoway/nodes/frame_test.py',
    ),
    guard_text.Guard(
        'a grant is not used after the deadline',
        'callers/forward.py',
        '        if clock.read_monotonic() >= context.deadline:\n',
        '        if False:\n',
        'pimentoway/platform/pause_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a broker has to send before it is linked to',
        'nodes/link.py',
        '        received = sock.recv(READ_BYTES)\n    except',
        "        received = b'x'\n    except",
        'pimentoway/nodes/link_test.py',
    ),
    guard_text.Guard(
        'runs that ended while unlinked are forgotten',
        'ops/enginetable.py',
        '            other.keep_runs(requester, kept)\n',
        '            other.keep_runs(requester, set(other.run_by_key))\n',
        'pimentoway/ops/slotclient_test.py',
    ),
    guard_text.Guard(
        'asks without reply are asked again',
        'ops/slotclient.py',
        '            self._resubmit(pending)\n',
        '            pending.remote = False\n',
        'pimentoway/ops/slotclient_test.py',
    ),
    guard_text.Guard(
        'a caller that leaves withdraws its ask',
        'ops/slotclient.py',
        '                self._withdraw(pending)\n',
        '                pending.remote = False\n',
        'pimentoway/ops/slotclient_test.py',
    ),
    guard_text.Guard(
        'the best node uses its own broker',
        'nodes/election.py',
        '            if not connected and self._outranks_broker():',
        '            if False:',
        'pimentoway/nodes/election_test.py',
    ),
    guard_text.Guard(
        'a bad version gets nothing more',
        'ops/rolloutprogress.py',
        'if rollout.found_bad or rollout.order.state == State.reverted.value:',
        'if rollout.order.state == State.reverted.value:',
        'pimentoway/ops/rolloutprogress_test.py',
    ),
    guard_text.Guard(
        'a new version gets a small share',
        'ops/rolloutprogress.py',
        '        return not new or rollout.is_below_share()',
        '        return True',
        'pimentoway/ops/rolloutprogress_test.py',
    ),
    guard_text.Guard(
        'slow answers count against a version',
        'ops/rolloutprogress.py',
        '        return report.total_seconds > SLOW_RATIO * usual',
        '        return False',
        'pimentoway/ops/rolloutprogress_test.py',
    ),
    guard_text.Guard(
        'a look at a connection lets nothing else run',
        'core/connection.py',
        "monkey.get_original('select', 'poll')()",
        "__import__('gevent.select').select.poll()",
        'pimentoway/core/connection_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'bodies are bounded in sum',
        'callers/connection.py',
        'if not self._body_budget.reserve(missing):',
        'if False:',
        _EDGE,
        _REAL,
    ),
    guard_text.Guard(
        'a signal during the start',
        'tools/early.py',
        '        signal.signal(signal.SIGHUP, signal.SIG_IGN)',
        '        return',
        'pimentoway/soak/fleet_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'endless framing of an answer',
        'core/message.py',
        '        if self._framing_size > MAX_FRAMING_BYTES:',
        '        if False:',
        'pimentoway/core/message_test.py',
    ),
    guard_text.Guard(
        'endless head of a request',
        'core/message.py',
        '        self._unfinished_head_size += received\n',
        '',
        'pimentoway/core/message_test.py',
    ),
    guard_text.Guard(
        'endless event of a stream',
        'core/eventstream.py',
        '            if len(text) > MAX_EVENT_BYTES:',
        '            if False:',
        'pimentoway/core/eventstream_test.py',
    ),
    guard_text.Guard(
        'a decision does not grow with the queue',
        'ops/routequeue.py',
        (
            '        while heap and heap[0][1] != heap[0][2].sequence:\n'
            '            heapq.heappop(heap)\n'
            '        return heap[0][2] if heap else None'
        ),
        '        return next(iter(self.list_ordered()), None)',
        _BROKER,
    ),
    guard_text.Guard(
        'messages stand for beats',
        'nodes/link.py',
        '                self._next_heartbeat = now + HEARTBEAT_SECONDS',
        '                self._next_heartbeat = now',
        'pimentoway/nodes/link_test.py',
    ),
    guard_text.Guard(
        'entries of starting nodes gather',
        'ops/registrywatcher.py',
        'gevent.sleep(BATCH_SECONDS_BY_KIND.get(kind, 0))',
        'gevent.sleep(0)',
        'pimentoway/ops/view_test.py',
    ),
    guard_text.Guard(
        'old links do not replace new ones',
        'nodes/link.py',
        'if current and current.number > link.number:',
        'if False:',
        'pimentoway/nodes/link_test.py',
    ),
    guard_text.Guard(
        'a node that comes back asks anew',
        'ops/broker.py',
        '        self._drop_waiting(requester)\n        is_known',
        '        is_known',
        _BROKER,
    ),
    guard_text.Guard(
        'a known entry renews no cold start',
        'ops/enginestate.py',
        'if engine == self.engine:',
        _NEVER,
        'pimentoway/ops/enginestate_test.py',
    ),
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
        'callers/backend_attempt.py',
        (
            '        self._dependencies.notices.read('
            'self._engine, metadata.notices)\n'
        ),
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
        'if not self._may_use(engine):',
        _NEVER,
        'pimentoway/backends/liveness_process_test.py',
        _REAL,
    ),
    guard_text.Guard(
        'a node checks its grants with the notices',
        'callers/forward.py',
        'if engine is None or not self._slots.may_use(engine):',
        'if engine is None or not self._view.is_usable(engine):',
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
            'requester, state.engine)\n'
        ),
        '',
        _NOTICE_TABLE,
    ),
    guard_text.Guard(
        'a request that waits for the end of a pause blocks no other',
        _BROKER_MODULE,
        (
            'if queued.request.avoided or '
            'len(allowed) < len(capacity.free_engines):'
        ),
        'if queued.request.avoided:',
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
        'callers/forward.py',
        '                if self._slots.may_use(engine):',
        '                if True:',
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
