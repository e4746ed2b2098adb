"""Tests of signals that reach a node's process while it starts."""

import pathlib
import signal

import gevent

from pimentoway.soak import fleet, stage


def test_sighup_during_start_is_ignored(tmp_path: pathlib.Path) -> None:
    """A SIGHUP before its handler is installed would end the process."""
    testbed = stage.Testbed(tmp_path, 1)
    node = testbed.list_nodes()[0]
    node.start()
    gevent.sleep(fleet.INTERPRETER_SECONDS)
    for _ in range(100):
        node.send_signal(signal.SIGHUP)
        gevent.sleep(0.01)
    missing = testbed.wait_until_ready(stage.RECOVERY_SECONDS)
    violations = node.list_violations()
    testbed.kill_nodes()
    assert not missing
    assert not violations
