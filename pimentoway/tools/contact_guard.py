"""Guards of nodes whose watchers of the store are turned away."""

from pimentoway.tools import guard_text

_DUTY = 'pimentoway/nodes/watchduty_test.py'
_TURNED_AWAY = 'pimentoway/platform/turnedaway_process_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'nodes take over from watchers that lost the store',
        'tools/edge.py',
        '            self._duty.run,\n',
        '',
        _TURNED_AWAY,
        _REAL,
    ),
    guard_text.Guard(
        'a broker asks a store that says nothing',
        'nodes/watchduty.py',
        'not self._contact.has_answered_within(CHECK_SECONDS)',
        'False',
        f'{_DUTY} -k "takes_over"',
    ),
    guard_text.Guard(
        'a node on whom others rely renews its watches',
        'nodes/watchduty.py',
        "self._contact.renew_watches('others rely on this node')",
        'pass',
        f'{_DUTY} -k "silent_watch"',
    ),
    guard_text.Guard(
        'a node relies on higher ones only',
        'nodes/watchduty.py',
        'if self._find_highest() < self._rank(peer):',
        'if self._find_highest() < _LOWEST:',
        f'{_DUTY} -k "takes_over or replaced"',
    ),
    guard_text.Guard(
        'an answer shows contact for a while only',
        'nodes/watchduty.py',
        'if is_kept and self._contact.has_answered_within(FRESH_SECONDS):',
        'if is_kept:',
        f'{_DUTY} -k "takes_over"',
    ),
    guard_text.Guard(
        'a new broker asks the store first',
        'nodes/watchduty.py',
        'if is_starting or self._contact.is_kept():',
        'if is_starting:',
        f'{_DUTY} -k "new_broker"',
    ),
    guard_text.Guard(
        'a renewed watch is no failure of the store',
        'ops/registrywatcher.py',
        '        except storecontact.WatchEndedError:\n            # No',
        '        except storecontact.WatchEndedError as ended:\n'
        '            self._note_failure(kind, ended)\n            # No',
        'pimentoway/ops/view_test.py -k renewed',
    ),
    guard_text.Guard(
        'a broker that starts is awaited',
        'nodes/watchduty.py',
        'if is_starting or self._contact.is_kept():',
        'if self._contact.is_kept():',
        f'{_DUTY} -k "awaited"',
    ),
)
