"""Guards of the lease of the duties and of the calls of its holder."""

from pimentoway.tools import guard_text

_LEASE = 'duties/lease.py'
_LEASE_TEST = 'pimentoway/duties/lease_test.py'
_BOOK = 'duties/usagebook.py'
_BOOK_TEST = 'pimentoway/duties/usagebook_test.py'
_COPY_TEST = 'pimentoway/duties/usagecopy_test.py'
_PUBLISHER_TEST = 'pimentoway/duties/publisher_test.py'
_CLIENT = 'platform/duty_client.py'
_CLIENT_TEST = 'pimentoway/platform/duty_client_process_test.py'
_DEMAND = 'duties/demand.py'
_DEMAND_TEST = 'pimentoway/duties/demand_test.py'
_REAL = 'real'
_NOTHING = '            pass\n'

GUARDS = (
    guard_text.Guard(
        'a successor waits for the term and the guard',
        _LEASE,
        'seen.first_at + self._times.term + self._times.guard',
        'seen.first_at + self._times.term / 2',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'the term counts from before the write was sent',
        _LEASE,
        'expiry=sent.sent_at + self._times.term',
        'expiry=now.boot + self._times.term',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'no two handovers at once in a row',
        _LEASE,
        '            and not record.previous\n',
        '',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'a released lease is not free for its holder',
        _LEASE,
        '            and record.holder != self._name\n',
        '',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'a released lease of a copy is not free at once',
        _LEASE,
        'if record and not stored.is_outdated and self',
        'if record and self',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'windows that a lost write may have fixed are skipped',
        _LEASE,
        (
            '            through = max(through, situation.doubtful_window)\n'
            '            usage = ()\n'
        ),
        _NOTHING,
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'windows before the first lease are skipped',
        _LEASE,
        '            through = max(through, situation.ended_window)\n',
        _NOTHING,
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'an unchanged revision confirms no write',
        _LEASE,
        'if is_changed and write.record == stored.record:',
        'if write.record == stored.record:',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'another record confirms no write',
        _LEASE,
        'if is_changed and write.record == stored.record:',
        'if is_changed:',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'no call between a conflict and the read that explains it',
        _LEASE,
        'if tenure is None or self._is_doubtful or self._is_closing:',
        'if tenure is None or self._is_closing:',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'no call while the lease is being released',
        _LEASE,
        'if tenure is None or self._is_doubtful or self._is_closing:',
        'if tenure is None or self._is_doubtful:',
        _LEASE_TEST,
    ),
    guard_text.Guard(
        'the release waits for calls that may still arrive',
        'duties/holder.py',
        'is_quiet=is_quiet and not self._calls',
        'is_quiet=not self._calls',
        _PUBLISHER_TEST,
    ),
    guard_text.Guard(
        'the calls of a subject do not overlap',
        'duties/publisher.py',
        'if is_due and not job.is_running and self._has_room(job.kind):',
        'if is_due and self._has_room(job.kind):',
        _PUBLISHER_TEST,
    ),
    guard_text.Guard(
        'a window is fixed once',
        _BOOK,
        '            if entry.window <= fixed:\n                continue\n',
        '',
        _BOOK_TEST,
    ),
    guard_text.Guard(
        'few reports are kept in the lease',
        _BOOK,
        'tuple(reports[-MAX_REPORTS:])',
        'tuple(reports)',
        _BOOK_TEST,
    ),
    guard_text.Guard(
        'a call without an answer is reset',
        _CLIENT,
        '        connection.reset_on_close(sock)\n',
        '',
        _CLIENT_TEST,
        _REAL,
    ),
    guard_text.Guard(
        'the lease is checked before bytes are written',
        _CLIENT,
        'if not self._may_act(token, self._times.answer):',
        'if False:',
        _CLIENT_TEST,
        _REAL,
    ),
    guard_text.Guard(
        'steps of the wall clock lose no sample of demand',
        _DEMAND,
        '        now = clock.read_monotonic()\n',
        '        now = clock.read_wall()\n',
        _DEMAND_TEST,
    ),
    guard_text.Guard(
        'what waited for a suspended VM is no demand',
        _DEMAND,
        '        boot = clock.read_boot()\n',
        '        boot = now\n',
        _DEMAND_TEST,
    ),
    guard_text.Guard(
        'steps of the wall clock make no order due',
        'duties/scaling.py',
        '        now = clock.read_monotonic()\n',
        '        now = clock.read_wall()\n',
        'pimentoway/duties/scaling_test.py',
    ),
    guard_text.Guard(
        'a new broker waits for registered nodes that it has not seen',
        'duties/usagetable.py',
        'return self._list_unseen(now) + [',
        'return [',
        'pimentoway/duties/usagetable_test.py',
    ),
    guard_text.Guard(
        'the counts of the broker outlive its process',
        'duties/usagecopy.py',
        'if own not in told:',
        'if False:',
        _COPY_TEST,
    ),
    guard_text.Guard(
        'a new broker is told the counts of runs that ended',
        'duties/usagecopy.py',
        'self._slots.report(_make_report(copy))',
        'pass',
        _COPY_TEST,
    ),
    guard_text.Guard(
        'the lease is read soon after the node leads',
        'duties/holder.py',
        'may_lead=not leads and self._measure_change(now) >= LOOK_SECONDS,',
        'may_lead=False,',
        _PUBLISHER_TEST,
    ),
    guard_text.Guard(
        'a node that leads for a moment makes no call',
        'duties/holder.py',
        'may_lead=not leads and self._measure_change(now) >= LOOK_SECONDS,',
        'may_lead=self._node.leads(),',
        _PUBLISHER_TEST,
    ),
)
