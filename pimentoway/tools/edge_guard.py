"""Guards of the code that runs on the users' platform."""

from pimentoway.tools import guard_text

_EDGE = 'pimentoway/platform/edge_process_test.py'
_ROLLOUT = 'pimentoway/ops/rolloutprogress_test.py'
_BROKER = 'pimentoway/ops/broker_test.py'
_PARTS = 'pimentoway/ops/partledger_test.py'
_REAL = 'real'
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
        '        if not self._is_proper():\n',
        '        if False:\n',
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
        'callers/exchange.py',
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
        'return has_event(self.rest)',
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
        '            self._refuse_blocked(crash.run.request.service)\n',
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
        'return Liveness.alive if received else Liveness.crashed',
        'return Liveness.crashed',
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
        'TIMED_OUTCOMES = slot.UNFINISHED_OUTCOMES | {slot.Outcome.answered}',
        'TIMED_OUTCOMES = frozenset((slot.Outcome.answered,))',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'guaranteed part of long answers',
        'ops/routequeue.py',
        '            return bands[-1]\n',
        '            return bands[index]\n',
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
        'return self.found_bad or self.order.state == State.reverted.value',
        'return self.order.state == State.reverted.value',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'answers after the end of a rollout blame no version',
        'ops/rolloutprogress.py',
        '        if self.order.state == State.complete.value:\n'
        '            return True\n',
        '',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'a new version gets a small share',
        'ops/rolloutprogress.py',
        '        return self._may_start_new(rollout, node_share)',
        '        return True',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'a larger share stays within what a bad version may get',
        'ops/rolloutprogress.py',
        'min(allowed, budget)',
        'allowed',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'a broker that takes over knows what a version got',
        'ops/rolloutprogress.py',
        '            rollout.ledger.adopt(requester, sent)\n',
        '            pass\n',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'nodes apart share the slack',
        'ops/rolloutprogress.py',
        '        slack = self._bounds.exposure_slack * node_share\n',
        '        slack = self._bounds.exposure_slack\n',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'the only usable version has bounds',
        'ops/rolloutprogress.py',
        'return good or sent.new_starts + 1 <= budget',
        'return True',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'disturbed windows are not usual',
        'ops/baseline.py',
        '                if not window.is_disturbed(self._calm_rate):\n',
        '                if True:\n',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'bad answers speak against a version',
        'ops/versionevidence.py',
        '        return calm + min(0, self._disturbed) + max(0, latest)\n',
        '        return -0.25 * self.count_by_route[ALL_ROUTES].good\n',
        _ROLLOUT,
    ),
    guard_text.Guard(
        'trouble of both versions blames none',
        'ops/baseline.py',
        '        return min(MAX_CURRENT_RATE, usual + '
        'max(0, excess, own - usual))\n',
        '        return usual\n',
        'pimentoway/ops/versionevidence_test.py',
    ),
    guard_text.Guard(
        'slow answers count against a version',
        'ops/baseline.py',
        '            return report.total_seconds > ratio * usual\n',
        '            return False\n',
        _ROLLOUT,
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
        'if self._ended or not self._holding.resize(size):',
        'if self._ended:',
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
)
