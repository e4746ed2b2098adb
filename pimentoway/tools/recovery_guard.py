"""Guards of answers after errors, and of nodes whose store was restored."""

from pimentoway.tools import guard_text

_UNANSWERED = 'pimentoway/platform/unanswered_process_test.py'
_RESTORATION = 'pimentoway/ops/restoration_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'unexpected errors are answered',
        'callers/forward.py',
        "raise error.InternalError('unexpected error', 'serve') from fault",
        'raise',
        _UNANSWERED,
        _REAL,
    ),
    guard_text.Guard(
        'a route without services is refused',
        'callers/forward.py',
        '        if not route.shares:\n',
        '        if False:\n',
        _UNANSWERED,
        _REAL,
    ),
    guard_text.Guard(
        'a request is looked for before an idle connection is closed',
        'callers/connection.py',
        'if remaining <= 0 and not connection.is_readable(self._sock):',
        'if remaining <= 0:',
        _UNANSWERED,
        _REAL,
    ),
    guard_text.Guard(
        'an unexpected error ends a link',
        'nodes/link.py',
        '        except Exception as unexpected:\n',
        '        except ZeroDivisionError as unexpected:\n',
        'pimentoway/nodes/link_test.py',
    ),
    guard_text.Guard(
        'revisions grow over restorations of the store',
        'core/registry.py',
        '    return (era << NUMBER_BITS) | number',
        '    return number',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a watch ends when the era of the store changes',
        'platform/store.py',
        '        if latest > era:\n',
        '        if False:\n',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'a rollout is not reported by a revision of an earlier era',
        'platform/store.py',
        '        if self._era > era:\n',
        '        if False:\n',
        'pimentoway/platform/store_test.py',
    ),
    guard_text.Guard(
        'newer versions are requested at an equal revision',
        'nodes/link.py',
        'behind = behind or self._view.version < heartbeat.version',
        'behind = bool(behind)',
        'pimentoway/nodes/link_test.py',
    ),
    guard_text.Guard(
        'lost records are kept for a while',
        'ops/restoration.py',
        '            if restored and kind not in UNHELD_KINDS:\n',
        '            if False:\n',
        _RESTORATION,
    ),
    guard_text.Guard(
        'a copy does not undo a notice',
        'ops/restoration.py',
        '            return known if _is_older(listed, known) else listed',
        '            return listed',
        _RESTORATION,
    ),
    guard_text.Guard(
        'a copy does not bring back a gone back end',
        'ops/restoration.py',
        'if removed is None or not _is_older(listed, removed, or_equal=True):',
        'if True:',
        _RESTORATION,
    ),
    guard_text.Guard(
        'a lost state of a rollout is known',
        'ops/restoration.py',
        '        state=known.state if ahead else order.state,',
        '        state=order.state,',
        _RESTORATION,
    ),
    guard_text.Guard(
        'lost blocks of parts are kept',
        'ops/view.py',
        '            if self._log.is_restored(kind, snapshot.revision):\n',
        '            if False:\n',
        _RESTORATION,
    ),
    guard_text.Guard(
        'listings that do not help are delayed',
        'ops/registrywatcher.py',
        '            if state.expired:\n',
        '            if False:\n',
        'pimentoway/ops/view_test.py',
    ),
    guard_text.Guard(
        'the era is checked before a watch waits again',
        'ops/registrywatcher.py',
        'seconds = WATCH_SECONDS if state.confirmed else 0',
        'seconds = WATCH_SECONDS',
        'pimentoway/ops/view_test.py',
    ),
    guard_text.Guard(
        'held records survive another listing',
        'ops/view.py',
        'reconciles = bool(held) or self._log.is_settling(kind)',
        'reconciles = False',
        _RESTORATION,
    ),
    guard_text.Guard(
        'other nodes get what is known, not the copy',
        'ops/revisionlog.py',
        '            history.clear()\n',
        '            history.append((known, changes))\n',
        _RESTORATION,
    ),
    guard_text.Guard(
        'records are held while the store is away',
        'ops/restoration.py',
        'is_away = now - store_failed_at < GRACE_SECONDS',
        'is_away = False',
        _RESTORATION,
    ),
    guard_text.Guard(
        'copies that a listing lacks are dropped',
        'ops/restoration.py',
        '            if name in listed\n',
        '',
        _RESTORATION,
    ),
    guard_text.Guard(
        'a block that ends while it is held stays ended',
        'ops/rewriter.py',
        'self._view.forget(registry.Kind.part_blocks, block.name)',
        'pass',
        _RESTORATION,
    ),
)
