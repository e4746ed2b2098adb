"""The faults of a soak test, how they are injected and removed again."""

import dataclasses
import functools

import gevent

from pimentoway.soak import proxy, stage

#: Seconds by which a slow connection delays each block: longer than the
#: heartbeat interval of an idle link between nodes.
DELAY_SECONDS = 0.3

#: The age of the copy from which the store is restored, in seconds for each
#: second of its absence.
COPY_AGE_RATIO = 4

#: Seconds for which an engine still serves after it announced that it leaves.
DRAIN_SECONDS = 2.0

#: The time with which an engine turns requests away, in seconds.
PAUSE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of a plan.

    The names of the classes and fields are written to `plan.txt`.

    Attributes:
        start: When it begins, in seconds after the nodes became ready.
        seconds: Its duration.
        target: Selects the affected node or engine: its index, modulo their
            number.
    """

    start: float
    seconds: float
    target: int


class NodeKilled(Fault):
    """A node gets SIGKILL and is started again."""


class NodePaused(Fault):
    """A node's process is paused by SIGSTOP."""


class NodeStopped(Fault):
    """A node gets SIGTERM, shuts down and is started again."""


class NodeReloaded(Fault):
    """The settings file of a node changes and the node reloads it."""


class StoreAway(Fault):
    """No node can reach the store."""


class StoreCompacted(Fault):
    """The store drops its history, so that watches must list anew."""


class StoreRestored(Fault):
    """The store is away and comes back from an older copy."""


class ConfigurationChanged(Fault):
    """The configuration gets one more route."""


class EngineLost(Fault):
    """An engine is unreachable and its record in the store is removed."""


class EngineLeaves(Fault):
    """An engine drains for `DRAIN_SECONDS` and is then lost."""


class EngineSaysLeaving(Fault):
    """An engine leaves and says so in its answers, but not in the store."""


class EngineSheds(Fault):
    """An engine turns requests away, for `PAUSE_SECONDS` each time."""


@dataclasses.dataclass(frozen=True)
class LinkFault(Fault):
    """A fault of the connections through one proxy.

    Attributes:
        part: Which connections, one of `LINK_PARTS`: from other nodes to a
            node, from nodes to an engine, or from a node to the store.
        how: What happens to them, one of `LINK_EFFECTS`.
    """

    part: str = 'node'
    how: str = 'reset'


PLAIN_FAULTS = (
    NodeKilled,
    NodePaused,
    NodeStopped,
    NodeReloaded,
    StoreAway,
    StoreCompacted,
    ConfigurationChanged,
    EngineLost,
    EngineLeaves,
)

NOTICE_FAULTS = (EngineSaysLeaving, EngineSheds)

LINK_PARTS = ('node', 'engine', 'store')

LINK_EFFECTS = ('reset', 'refuse', 'delay', 'hold requests', 'hold answers')


@functools.singledispatch
def inject(fault: Fault, testbed: stage.Testbed) -> None:
    """Inject a fault and remove it after its duration.

    Args:
        fault: The fault.
        testbed: The system that it affects.

    Raises:
        TypeError: If the class of the fault is unknown.
    """
    raise TypeError(f'unknown class of fault: {fault}')


@inject.register
def _kill_node(fault: NodeKilled, testbed: stage.Testbed) -> None:
    node = testbed.select_node(fault.target).node
    node.down_count += 1
    with node.record_disturbance():
        node.kill()
        gevent.sleep(fault.seconds)
    node.down_count -= 1
    node.start()


@inject.register
def _pause_node(fault: NodePaused, testbed: stage.Testbed) -> None:
    testbed.select_node(fault.target).node.pause(fault.seconds)


@inject.register
def _stop_node(fault: NodeStopped, testbed: stage.Testbed) -> None:
    node = testbed.select_node(fault.target).node
    node.down_count += 1
    node.stop()
    gevent.sleep(fault.seconds)
    node.down_count -= 1
    node.start()


@inject.register
def _reload_node(fault: NodeReloaded, testbed: stage.Testbed) -> None:
    testbed.select_node(fault.target).node.reload(
        f'changed at {fault.start:.3f}'
    )


@inject.register(StoreAway)
@inject.register(StoreRestored)
def _refuse_store_connections(fault: Fault, testbed: stage.Testbed) -> None:
    for proxied in testbed.nodes:
        proxied.store_proxy.refuses_connections = True
        proxied.store_proxy.reset()
    gevent.sleep(fault.seconds)
    for reconnected in testbed.nodes:
        reconnected.store_proxy.refuses_connections = False
    if isinstance(fault, StoreRestored):
        testbed.restore_store(fault.seconds * COPY_AGE_RATIO)


@inject.register
def _compact_store(fault: StoreCompacted, testbed: stage.Testbed) -> None:
    testbed.store.compact()


@inject.register
def _change_configuration(
    fault: ConfigurationChanged, testbed: stage.Testbed
) -> None:
    testbed.change_configuration()


@inject.register
def _lose_engine(fault: EngineLost, testbed: stage.Testbed) -> None:
    proxied = testbed.select_engine(fault.target)
    testbed.lose_engine(proxied)
    gevent.sleep(fault.seconds)
    testbed.restart_engine(proxied)


@inject.register
def _drain_engine(fault: EngineLeaves, testbed: stage.Testbed) -> None:
    proxied = testbed.select_engine(fault.target)
    testbed.drain_engine(proxied)
    gevent.sleep(DRAIN_SECONDS)
    testbed.lose_engine(proxied)
    gevent.sleep(fault.seconds)
    testbed.restart_engine(proxied)


@inject.register
def _announce_leaving(fault: EngineSaysLeaving, testbed: stage.Testbed) -> None:
    proxied = testbed.select_engine(fault.target)
    proxied.engine.leaving = True
    gevent.sleep(DRAIN_SECONDS)
    testbed.lose_engine(proxied)
    gevent.sleep(fault.seconds)
    testbed.restart_engine(proxied)


@inject.register
def _shed_requests(fault: EngineSheds, testbed: stage.Testbed) -> None:
    engine = testbed.select_engine(fault.target).engine
    engine.pause_seconds = PAUSE_SECONDS
    gevent.sleep(fault.seconds)
    engine.pause_seconds = 0


@inject.register
def _disturb_link(fault: LinkFault, testbed: stage.Testbed) -> None:
    proxies = _list_proxies(fault, testbed)
    for target_proxy in proxies:
        _disturb(target_proxy, fault.how)
    if fault.how == 'reset':
        return
    gevent.sleep(fault.seconds)
    for disturbed in proxies:
        disturbed.restore()


def _disturb(target_proxy: proxy.Proxy, how: str) -> None:
    target_proxy.was_disturbed = True
    if how == 'reset':
        target_proxy.reset()
    elif how == 'delay':
        target_proxy.delay_seconds = DELAY_SECONDS
    elif how == 'refuse':
        target_proxy.refuses_connections = True
    elif how == 'hold requests':
        target_proxy.holds_requests = True
    else:
        target_proxy.holds_answers = True


def _list_proxies(
    fault: LinkFault, testbed: stage.Testbed
) -> list[proxy.Proxy]:
    if fault.part == 'engine':
        return list(testbed.select_engine(fault.target).paths)
    proxied = testbed.select_node(fault.target)
    if fault.part == 'store':
        return [proxied.store_proxy]
    return [proxied.node_proxy]
