"""Removes each guard from a copy of the tree and checks that its test fails.

A test that still passes without the guard proves nothing. A guard is a quoted
piece of code that prevents a fault, together with its replacement.
"""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile

from pimentoway.tools import (
    brittle_guard,
    edge_guard,
    guard_text,
    input_guard,
    notice_guard,
    path_guard,
    recovery_guard,
    relay_guard,
    repeat_guard,
    silence_guard,
)

#: Number of copies tested in parallel.
PARALLEL_COPIES = 6

#: Seconds after which a hanging test counts as failed.
TEST_TIMEOUT_SECONDS = 240

_ROOT = pathlib.Path(__file__).parents[2]
_PYTEST_FAILED = 1
_IGNORE = shutil.ignore_patterns(
    '.*',
    'build',
    'dist',
    'target',
    'journal',
    '__pycache__',
)


_ONCE = 'pimentoway/tools/once_proof_test.py'
_STREAM = 'pimentoway/tools/stream_proof_test.py'
_ADMISSION = 'pimentoway/tools/admission_proof_test.py'
_CONFIGURATION = 'pimentoway/tools/configuration_proof_test.py'

_ROLLOUT = 'pimentoway/tools/rollout_proof_test.py'

GUARDS = (
    *brittle_guard.GUARDS,
    *edge_guard.GUARDS,
    *input_guard.GUARDS,
    *notice_guard.GUARDS,
    *path_guard.GUARDS,
    *recovery_guard.GUARDS,
    *relay_guard.GUARDS,
    *repeat_guard.GUARDS,
    *silence_guard.GUARDS,
    guard_text.Guard(
        'claim before dispatch',
        'ops/claimlog.py',
        'return claim.ClaimReply(latest, granted=latest == wanted)',
        'return claim.ClaimReply(wanted, granted=True)',
        _ONCE,
    ),
    guard_text.Guard(
        'claim refused without the platform',
        'ops/idempotency.py',
        '        except error.PimentowayError as fault:\n'
        '            inflight.answer.set_exception(fault)\n'
        '        else:',
        '        except error.PimentowayError:\n'
        '            self._run_or_replay('
        'req, inflight, claim.ClaimReply(claim.Entry(\n'
        "                key, 'unclaimed', inflight.fingerprint), True))\n"
        '        else:',
        _ONCE,
    ),
    guard_text.Guard(
        'lost claim answer is read back',
        'ops/shard.py',
        '            unsure = unsure or status is WriteStatus.unsure\n',
        '            if status is WriteStatus.unsure:\n'
        '                self._open_segment = None\n'
        '                self._latest_by_key.clear()\n'
        '                entries = [\n'
        '                    dataclasses.replace(\n'
        '                        one, claim_id=str(attempt) + one.claim_id)\n'
        '                    for one in entries\n'
        '                ]\n',
        _ONCE,
    ),
    guard_text.Guard(
        'one conditional update decides a claim',
        'ops/shard.py',
        '            self._open_version,\n'
        '        )\n        self._index_segment',
        '            self._store.read(\n'
        '                store.CLAIM_KIND,\n'
        '                self._name_segment(segment.number),\n'
        '            ).version,\n'
        '        )\n'
        '        self._index_segment',
        'pimentoway/ops/shard_test.py',
    ),
    guard_text.Guard(
        'unknown outcome stays claimed',
        'ops/idempotency.py',
        'state=claim.State.unknown)',
        'state=claim.State.not_run)',
        _ONCE,
    ),
    guard_text.Guard(
        'outcome is recorded',
        'ops/idempotency.py',
        '        self._claims.record(outcome)\n',
        '',
        _ONCE,
    ),
    guard_text.Guard(
        'key belongs to one body',
        'ops/idempotency.py',
        'if latest.fingerprint != inflight.fingerprint:',
        'if latest.fingerprint is inflight:',
        _ONCE,
    ),
    guard_text.Guard(
        'updates of a shard are shared',
        'ops/claimlog.py',
        '        if owner == self._node:\n',
        '        if owner:\n',
        f'{_ONCE} -k share_writes',
    ),
    guard_text.Guard(
        'no second dispatch after bytes were sent',
        'ops/dispatch.py',
        '            except error.ConnectError:\n'
        '                state.note_refused_connection()\n',
        '            except (error.ConnectError, error.OutcomeUnknownError):\n'
        '                state.note_refused_connection()\n',
        _STREAM,
    ),
    guard_text.Guard(
        'connection never made goes elsewhere',
        'ops/dispatch.py',
        '                state.note_refused_connection()\n'
        '                ticket = self._scheduler.resubmit(ticket, state)\n',
        '                raise\n',
        _STREAM,
    ),
    guard_text.Guard(
        'dispatch wins over a late expiry',
        'ops/dispatch.py',
        '            return ticket.future.get()\n',
        '            raise expired from None\n',
        'pimentoway/ops/dispatch_test.py',
    ),
    guard_text.Guard(
        'doubled pieces are dropped',
        'ops/dispatch.py',
        '                if piece.sequence <= progress.last_sequence:\n'
        '                    continue\n',
        '',
        _STREAM,
    ),
    guard_text.Guard(
        'stream is resumed after its last piece',
        'ops/dispatch.py',
        '            progress.last_sequence,\n        )\n        try:',
        '            progress.last_sequence + 1,\n        )\n        try:',
        _STREAM,
    ),
    guard_text.Guard(
        'event answers its own request',
        'backends/event.py',
        'if chunk.id != request_id:',
        'if not chunk.id:',
        _STREAM,
    ),
    guard_text.Guard(
        'blank answer is failed',
        'ops/dispatch.py',
        "    if piece.final and piece.payload == b'[DONE]' and not "
        'progress.tokens:\n',
        '    if not req:\n',
        _STREAM,
    ),
    guard_text.Guard(
        'deadline ends a stalled read',
        'core/connection.py',
        'return max(min(self.gap_seconds, remaining), MIN_TIMEOUT_SECONDS)',
        'return max(self.gap_seconds, remaining * 0)',
        f'{_STREAM} -k frozen_engine',
    ),
    guard_text.Guard(
        'crash suspects are held',
        'ops/quarantine.py',
        '        if suspected is None:\n            return RunMode.free\n'
        '        left',
        '        if suspected is None or suspected:\n'
        '            return RunMode.free\n'
        '        left',
        _STREAM,
    ),
    guard_text.Guard(
        'crash evidence is pooled between nodes',
        'ops/dispatch.py',
        '            if self._scheduler.suspects.record(suspicion):\n'
        '                self._announce(suspicion)\n',
        '            self._scheduler.suspects.record(suspicion)\n',
        _STREAM,
    ),
    guard_text.Guard(
        'prefixes that crash back ends are blocked',
        'ops/prefixguard.py',
        '        if left:\n',
        '        if left < 0:\n',
        _STREAM,
    ),
    guard_text.Guard(
        'answered prefixes are not suspected',
        'ops/prefixguard.py',
        'part[1] for part in _list_parts(req) if part not in self._answered',
        'part[1] for part in _list_parts(req)',
        'pimentoway/ops/prefixguard_test.py',
    ),
    guard_text.Guard(
        'innocents are cleared',
        'ops/quarantine.py',
        '        block_seconds = HOLD_SECONDS\n        if alone:',
        '        block_seconds = BAN_SECONDS\n        if alone:',
        _STREAM,
    ),
    guard_text.Guard(
        'tiers in strict order',
        'ops/queue.py',
        '        return sorted(self._by_rank)\n',
        '        return sorted(self._by_rank, reverse=True)\n',
        _ADMISSION,
    ),
    guard_text.Guard(
        'no lower tier while a higher one waits',
        'ops/pressure.py',
        '            if known.pressure.rank < rank and now - known.time < '
        'TTL_SECONDS:\n                return False\n',
        '            if known.pressure.rank < rank and not now:\n'
        '                return False\n',
        f'{_ADMISSION} -k lower_tier',
    ),
    guard_text.Guard(
        'full queue sheds the lowest tier',
        'ops/queue.py',
        'self._by_rank[max(self._by_rank)]',
        'self._by_rank[min(self._by_rank)]',
        f'{_ADMISSION} -k full_queue',
    ),
    guard_text.Guard(
        'customers are served by tokens',
        'ops/queue.py',
        '        return sorted(heads, key=self._make_fair_key)\n',
        '        return heads\n',
        f'{_ADMISSION} -k greedy',
    ),
    guard_text.Guard(
        'hopeless request is refused at once',
        'ops/scheduler.py',
        '        self._check_deadline(req, pool)\n',
        '',
        f'{_ADMISSION} -k without_enough_time',
    ),
    guard_text.Guard(
        'owner lends free slots only',
        'ops/permit.py',
        '        if route.count_free_slots(state, context) < 1:\n'
        '            return False\n',
        '',
        f'{_ADMISSION} -k cold_engine',
    ),
    guard_text.Guard(
        'cold back end gets few requests',
        'ops/route.py',
        '    if state.ramp.phase is ramp.Phase.warm:\n        return slots\n',
        '    if slots:\n        return slots\n',
        f'{_ADMISSION} -k cold_engine',
    ),
    guard_text.Guard(
        'restart begins a new ramp',
        'ops/fleet.py',
        '            self.mark_cold(cold_seconds - report.uptime)\n',
        '            self.ramp.finish()\n',
        'pimentoway/ops/fleet_test.py',
    ),
    guard_text.Guard(
        'fall back is noticed from answers',
        'ops/fleet.py',
        '        self.mark_cold(SLOWDOWN_COLD_SECONDS)\n        return True\n\n'
        '    def note_failure',
        '        return False\n\n    def note_failure',
        'pimentoway/ops/fleet_test.py',
    ),
    guard_text.Guard(
        'closed failure domain',
        'ops/route.py',
        '    if state.backend.zone in context.closed_zones:\n'
        '        return False\n',
        '',
        f'{_ADMISSION} -k zone',
    ),
    guard_text.Guard(
        'leaving back end',
        'ops/route.py',
        'if state.backend.leaving or state.health.draining:',
        'if state.health.draining:',
        f'{_ADMISSION} -k leaving',
    ),
    guard_text.Guard(
        'draining back end',
        'ops/route.py',
        'if state.backend.leaving or state.health.draining:',
        'if state.backend.leaving:',
        f'{_ADMISSION} -k draining',
    ),
    guard_text.Guard(
        'node that shuts down waits',
        'tools/node.py',
        'while self.count_open() and',
        'while self.count_open() < 0 and',
        f'{_ADMISSION} -k graceful',
    ),
    guard_text.Guard(
        'version only rises',
        'ops/configholder.py',
        'if snapshot and snapshot.version > old_version:',
        'if snapshot:',
        _CONFIGURATION,
    ),
    guard_text.Guard(
        'no service without a configuration',
        'ops/scheduler.py',
        '        if self.configuration_index is None:\n'
        '            raise error.Conf',
        '        if self.configuration_index is self:\n'
        '            raise error.Conf',
        f'{_CONFIGURATION} pimentoway/ops/dispatch_test.py',
    ),
    guard_text.Guard(
        'configuration is relayed',
        'nodes/relay.py',
        '        gevent.spawn(self.fetch_changes, notice.address)\n',
        '',
        _CONFIGURATION,
    ),
    guard_text.Guard(
        'lost answer of a change is read back',
        'objects/head.py',
        '    if accepted:\n        return accepted\n    if fence',
        '    if fence',
        'pimentoway/objects/head_test.py',
    ),
    guard_text.Guard(
        'one conditional update decides a change',
        'objects/head.py',
        '            stored.version,\n        )\n    except',
        '            object_store.read(\n'
        '                store.CONFIGURATION_KIND, HEAD_NAME).version,\n'
        '        )\n    except',
        'pimentoway/objects/head_test.py',
    ),
    guard_text.Guard(
        'bad version gets no share',
        'ops/route.py',
        'if version.name not in bad_versions',
        'if version.name',
        f'{_ROLLOUT} -k "outage or later"',
    ),
    guard_text.Guard(
        'evidence is pooled between nodes',
        'ops/judge.py',
        '        for tally in self._test.list_due_tallies():\n'
        '            self._announce(tally)\n',
        '        self._test.list_due_tallies()\n',
        f'{_ROLLOUT} -k all_nodes',
    ),
    guard_text.Guard(
        'blank and slow answers count as bad',
        'ops/dispatch.py',
        'good=not slow',
        'good=True',
        f'{_ROLLOUT} -k slow',
    ),
    guard_text.Guard(
        'late rollout is taken back',
        'tools/controller.py',
        'if rollout.is_late(declared, now):',
        'if not declared:',
        f'{_ROLLOUT} -k raised',
    ),
    guard_text.Guard(
        'share is small at first',
        'ops/rollout.py',
        'SHARE_STEPS = (0.01, 0.05, 0.2, 0.5, 1)',
        'SHARE_STEPS = (0.5, 0.5, 0.5, 0.5, 1)',
        f'{_ROLLOUT} -k small',
    ),
    guard_text.Guard(
        'paused controller is fenced off',
        'objects/head.py',
        'if fence and fence < stored.head.fence:',
        'if fence < 0:',
        f'{_ROLLOUT} -k fenced',
    ),
    guard_text.Guard(
        'member denies its death',
        'nodes/member.py',
        '        self.own = _copy_with_incarnation('
        'self.own, update.incarnation + 1)\n',
        '',
        f'{_ADMISSION} -k find_each_other',
    ),
)


def run(names: list[str]) -> int:
    """Remove each guard from a copy of the tree and run its tests there.

    Args:
        names: The names of the guards to check; empty for all.

    Returns:
        The exit status: 0 if the tests of every guard failed without it.
    """
    selected = [guard for guard in GUARDS if not names or guard.name in names]
    failed_count = 0
    with tempfile.TemporaryDirectory() as folder:
        for start in range(0, len(selected), PARALLEL_COPIES):
            batch = selected[start : start + PARALLEL_COPIES]
            failed_count += check_batch(
                batch, pathlib.Path(folder) / str(start)
            )
    _print_line(f'{failed_count} of {len(selected)} guards are seen')
    return 0 if failed_count == len(selected) else 1


def check_batch(batch: list[guard_text.Guard], folder: pathlib.Path) -> int:
    """Check several guards in parallel, each in its own copy of the tree.

    Args:
        batch: The guards.
        folder: The folder for the copies.

    Returns:
        The number of guards whose tests failed without them.
    """
    jobs = [
        (guard, start_tests(guard, folder / str(number)))
        for number, guard in enumerate(batch)
    ]
    failed_count = 0
    for guard, job in jobs:
        status = wait_for_tests(job)
        failed_count += is_shown(status)
        colour = 'red' if is_shown(status) else 'green'
        _print_line(f'{colour} without: {guard.name} (status {status})')
    return failed_count


def start_tests(
    guard: guard_text.Guard, folder: pathlib.Path
) -> subprocess.Popen:
    """Copy the tree without a guard and start the guard's tests there.

    Args:
        guard: The guard.
        folder: The folder of the copy; it must not exist.

    Returns:
        The running pytest process.

    Raises:
        ValueError: If the module doesn't contain the quoted code.
    """
    shutil.copytree(_ROOT, folder, ignore=_IGNORE)
    path = folder / 'pimentoway' / guard.path
    code = path.read_text()
    if guard.text not in code:
        raise ValueError(
            f'{guard.name}: its quoted code is not in {guard.path}'
        )
    path.write_text(code.replace(guard.text, guard.replacement, 1))
    return subprocess.Popen(
        [sys.executable, '-m', 'pytest', '-x', *guard.split_tests()],
        cwd=folder,
        env={
            **os.environ,
            'PYTHONPATH': str(folder),
            'PIMENTOWAY_TEST_CLOCK': guard.clock,
        },
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def wait_for_tests(job: subprocess.Popen) -> int:
    """Wait for tests, and kill them after ``TEST_TIMEOUT_SECONDS``.

    Args:
        job: The running pytest process.

    Returns:
        The exit status; negative if the process was killed.
    """
    try:
        return job.wait(TEST_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        job.kill()
        return job.wait()


def is_shown(status: int) -> bool:
    """Tell whether a run of tests without a guard shows that it is needed.

    Args:
        status: The exit status of pytest; negative if it was killed.

    Returns:
        Whether a test failed or hung. With any other status than that of
        failed tests pytest ran none of them, or not to their end.
    """
    return status in {_PYTEST_FAILED, -signal.SIGKILL}


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
