"""Runs an entry node on the users' platform until a signal ends it."""

import signal
import sys

import gevent
from gevent import event as gevent_event

from pimentoway.core import error, log, logsink
from pimentoway.platform import setting, store, wire
from pimentoway.tools import edge

#: The exit status if the settings are wrong.
WRONG_STATUS = 2

#: The descriptor of standard output.
STANDARD_OUTPUT = 1


def run() -> int:
    """Run a node.

    Returns:
        The exit status.
    """
    try:
        path = setting.find_path()
        here = setting.read_settings(path)
    except error.SettingError as fault:
        sys.stderr.write(f'{fault}\n')
        return WRONG_STATUS
    lines = logsink.LogSink(STANDARD_OUTPUT)
    log.open_sink(lines)
    gevent.spawn(lines.run)
    platform = edge.Platform(
        store.PlatformRegistry(here.store),
        wire.DIALECT,
        lambda: setting.read_settings(path),
    )
    node = edge.EdgeNode(here, platform)
    stop = gevent_event.Event()
    gevent.signal_handler(signal.SIGTERM, stop.set)
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, node.reload)
    node.start()
    stop.wait()
    node.drain()
    lines.flush()
    return 0
