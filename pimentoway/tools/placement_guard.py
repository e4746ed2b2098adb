"""Guards of placement by the pace of machines, and of idle connections."""

from pimentoway.tools import guard_text

_SPEED = 'ops/enginespeed.py'
_CHANNEL = 'backends/channel.py'
_SPEED_TEST = 'pimentoway/ops/enginespeed_test.py'
_PLACEMENT_TEST = 'pimentoway/ops/placement_test.py'
_IDLE_TEST = 'pimentoway/platform/idlechannel_process_test.py'
_REAL = 'real'

GUARDS = (
    guard_text.Guard(
        'further figures leave the load valid',
        'platform/wire.py',
        "figures = text.split(b',', LOAD_COUNTS + 1)",
        "figures = text.split(b',', LOAD_COUNTS - 1)",
        'pimentoway/platform/wire_test.py',
    ),
    guard_text.Guard(
        'a figure decays with its age',
        _SPEED,
        'weight = math.exp((self._measured_at - now) / correlation)',
        'weight = 1.0',
        _SPEED_TEST,
    ),
    guard_text.Guard(
        'a figure has the age of its answer',
        'ops/enginetable.py',
        'age = max(0, report.total_seconds - report.first_seconds)',
        'age = 0',
        _PLACEMENT_TEST,
    ),
    guard_text.Guard(
        'figures of an earlier run are dropped',
        'ops/enginestate.py',
        '            self.speed.clear()\n',
        '',
        _PLACEMENT_TEST,
    ),
    guard_text.Guard(
        'earlier figures do not replace later ones',
        _SPEED,
        'if self.pace and measured_at < self._measured_at:',
        'if False:',
        _SPEED_TEST,
    ),
    guard_text.Guard(
        'placements that end badly are logged',
        'ops/placement.py',
        'if is_sample or report.outcome not in SOUND_OUTCOMES:',
        'if is_sample:',
        _PLACEMENT_TEST,
    ),
    guard_text.Guard(
        'an unsafe request closes no connection of others',
        _CHANNEL,
        '    if now - channel.idle_since >= channel.idle_seconds:\n',
        '    if now - channel.idle_since >= min(1, channel.idle_seconds):\n',
        _IDLE_TEST,
        _REAL,
    ),
    guard_text.Guard(
        'an unsafe request ignores an announced time',
        _CHANNEL,
        '            elif now - channel.idle_since < max_idle_seconds:\n',
        '            elif max_idle_seconds:\n',
        _IDLE_TEST,
        _REAL,
    ),
)
