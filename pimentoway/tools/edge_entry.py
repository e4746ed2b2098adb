"""Runs an entry node on the users' platform until SIGTERM."""

import importlib
import signal
import sys
import typing

import gevent
from gevent import event as gevent_event

from pimentoway.core import error, log, logsink, nodesetting
from pimentoway.platform import setting, store, wire
from pimentoway.tools import edge

if typing.TYPE_CHECKING:
    from pimentoway.duties import assembly

#: The exit status if the settings are invalid.
INVALID_SETTINGS_STATUS = 2

#: The file descriptor of standard output.
STDOUT_DESCRIPTOR = 1


def run() -> int:
    """Run a node; SIGTERM drains it and SIGHUP reads its settings again.

    Returns:
        The exit status: 0 after a drain, 2 if the settings are invalid, which
        standard error then explains.
    """
    try:
        path = setting.find_path()
        settings = setting.read_settings(path)
    except error.SettingError as fault:
        sys.stderr.write(f'{fault}\n')
        return INVALID_SETTINGS_STATUS
    sink = logsink.LogSink(STDOUT_DESCRIPTOR)
    log.open_sink(sink)
    gevent.spawn(sink.run)
    registry = store.PlatformRegistry(settings.store)
    platform = edge.Platform(
        registry,
        wire.DIALECT,
        lambda: setting.read_settings(path),
        _make_access(settings, registry),
    )
    node = edge.EdgeNode(settings, platform)
    stop_requested = gevent_event.Event()
    gevent.signal_handler(signal.SIGTERM, stop_requested.set)
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, node.reload)
    node.start()
    stop_requested.wait()
    node.drain()
    sink.flush()
    return 0


def _make_access(
    settings: nodesetting.NodeSettings, registry: store.PlatformRegistry
) -> 'assembly.Access | None':
    if settings.duties is None:
        return None
    # Imported here, as a node without duties needs none of their modules.
    duty_client = importlib.import_module('pimentoway.platform.duty_client')
    return duty_client.make_access(settings.duties, settings.name, registry)
