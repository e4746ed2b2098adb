"""Guards of back ends that bear few rejections."""

from pimentoway.tools import guard_text

GUARDS = (
    guard_text.Guard(
        'tolerated rejections are bounded',
        'platform/notice_header.py',
        'max(0, min(stated, MAX_TOLERATED_REJECTIONS))',
        'stated',
        'pimentoway/platform/wire_test.py',
    ),
)
