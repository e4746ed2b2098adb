"""Guards of judging faults by node, of relayed requests and of placement."""

from pimentoway.tools import guard_text, placement_guard

_TABLE = 'ops/pathtable.py'
_RECORD = 'ops/pathrecord.py'
_RELAYS = 'ops/relaytable.py'
_ENGINES = 'ops/enginetable.py'
_TABLE_TEST = 'pimentoway/ops/pathtable_test.py'
_RELAY_TEST = 'pimentoway/ops/relaytable_test.py'
_NEVER = '        if False:\n'

GUARDS = (
    *placement_guard.GUARDS,
    guard_text.Guard(
        'a lost node tells nothing of the speed of back ends',
        'ops/broker.py',
        '        if unfinished and self.engines.paths.is_lost(node):\n',
        '        if False:\n',
        'pimentoway/ops/relaytable_test.py',
    ),
    guard_text.Guard(
        'one node alone confirms no fault of a back end',
        _TABLE,
        '        if len(evidence.time_by_node) > 1:\n',
        '        if evidence.time_by_node:\n',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a confirmed fault blames no path',
        _TABLE,
        '                path.excuse()\n',
        '                path.is_excused = False\n',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a node is lost only by the answers that others get',
        _TABLE,
        'is_lost = proofs and len(lost_paths) >= MIN_LOST_PATHS',
        'is_lost = len(lost_paths) >= MIN_LOST_PATHS',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'one lost path does not lose a node',
        _TABLE,
        'is_lost = proofs and len(lost_paths) >= MIN_LOST_PATHS',
        'is_lost = bool(proofs)',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'faults of a lost node count no more',
        _TABLE,
        '            if evidence.time_by_node.pop(node, None) is None:\n',
        '            if evidence:\n',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a fault that others refuted confirms nothing',
        _RECORD,
        'path is not None and other_success > path.lost_at + PROOF_SECONDS',
        'path is None and other_success is None',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'kept connections open no path',
        _TABLE,
        '        if path and started >= path.lost_at:\n',
        '        if path:\n',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a node alone at its broker has no lost paths',
        _TABLE,
        '        if len(self.requester_by_attached) > 1:\n',
        '        if self.requester_by_attached:\n',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a back end in doubt gets one request at a time',
        'ops/enginestate.py',
        '        if self.doubted_since:\n',
        _NEVER,
        'pimentoway/ops/enginestate_test.py',
    ),
    guard_text.Guard(
        'a confirmed fault pauses a back end at once',
        'ops/enginestate.py',
        'self._fault_count = max(self._fault_count, FAULTS_UNTIL_PAUSE - 1)',
        'pass',
        'pimentoway/ops/enginestate_test.py',
    ),
    guard_text.Guard(
        'faults of earlier runs extend no confirmed pause',
        'ops/enginestate.py',
        '            if now < self.paused_until:\n',
        '            if False:\n',
        'pimentoway/ops/enginestate_test.py',
    ),
    guard_text.Guard(
        'an answer ends a confirmed pause',
        'ops/enginestate.py',
        (
            '            self.paused_until = 0\n'
            '            self._confirmed_at = 0\n'
        ),
        '            self._confirmed_at = 0\n',
        'pimentoway/ops/enginestate_test.py',
    ),
    guard_text.Guard(
        'nodes whose confirmation is refuted are lost',
        _RECORD,
        '        if self.is_excused and age > REFUTATION_SECONDS:\n',
        '        if self.is_excused:\n',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'a back end that was down refutes no confirmation',
        _RECORD,
        '        if self.is_excused and age > REFUTATION_SECONDS:\n',
        _NEVER,
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a node is attached to its own broker',
        'ops/slotclient.py',
        '        local.adopt(self.requester, self.list_running(), [])\n',
        '',
        'pimentoway/ops/slotclient_test.py',
    ),
    guard_text.Guard(
        'few paths of a node are kept',
        _RECORD,
        '        if len(self.path_by_engine) > MAX_PATHS:\n',
        _NEVER,
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a lost node tries one path a second',
        _RECORD,
        'return Standing.closed if waits else Standing.probing',
        'return Standing.probing',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'silence at one node is refuted by another',
        _TABLE,
        '            if contradicted or self.is_lost(fault.node):\n',
        '            if self.is_lost(fault.node):\n',
        _TABLE_TEST,
    ),
    guard_text.Guard(
        'a request that failed on a lost path is relayed',
        _RELAYS,
        'if is_avoided and not self._paths.find_blamed(name):',
        'if is_avoided:',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'relays are chosen by failure domain',
        _RELAYS,
        '                peer.zone not in zones,\n',
        '',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'relays take a bounded number of requests',
        _RELAYS,
        'has_room = self.count_by_node[peer.name] < MAX_RELAYED_REQUESTS',
        'has_room = True',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'a relay that takes no request is spared',
        _RELAYS,
        '        if pause and clock.read_monotonic() < pause.until:\n',
        _NEVER,
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'a relayed run tells of the path of its relay',
        _ENGINES,
        '        node = run.name_node(key)\n',
        '        node = pathtable.name_node(key[0])\n',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'adopted runs keep their relay',
        _ENGINES,
        '                    run.request, started, run.via\n',
        '                    run.request, started\n',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'a restarted back end has no lost paths',
        _ENGINES,
        (
            '            elif state.update(engine):\n'
            '                self.paths.forget_engine(name)\n'
        ),
        '            else:\n                state.update(engine)\n',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'crashes that others refute block no part',
        'ops/heldcrash.py',
        '        return self._paths.is_lost(crash.node) or (\n',
        '        return not since and (\n',
        _RELAY_TEST,
    ),
    guard_text.Guard(
        'crashes that nobody refutes count',
        'ops/heldcrash.py',
        '            age >= HOLD_SECONDS\n',
        '            age < 0\n',
        _RELAY_TEST,
    ),
)
