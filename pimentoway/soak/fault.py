"""The faults of a soak test: drawn from a seed, injected and removed again."""

import dataclasses
import functools
import random

import gevent

from pimentoway.soak import proxy, stage

#: The range of a fault's duration: some faults end before they are detected,
#: some outlast every timeout between processes.
MIN_FAULT_SECONDS = 0.2
MAX_FAULT_SECONDS = 4.0

#: Seconds by which a slow connection delays each block: longer than the
#: heartbeat interval of an idle link between nodes.
DELAY_SECONDS = 0.3

#: The other faults for each restoration of the store; there is one at least.
FAULTS_PER_RESTORATION = 25

#: The age of the copy from which the store is restored, in seconds for each
#: second of its absence.
COPY_AGE_RATIO = 4

#: Seconds for which an engine still serves after it announced that it leaves.
DRAIN_SECONDS = 2.0


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

LINK_PARTS = ('node', 'engine', 'store')

LINK_EFFECTS = ('reset', 'refuse', 'delay', 'hold requests', 'hold answers')


def draw_plan(seed: int, seconds: float, count: int) -> list[Fault]:
    """Draw random faults.

    Args:
        seed: The seed, which determines the plan.
        seconds: All faults start within this time.
        count: The number of faults, restorations of the store not included.

    Returns:
        The faults, ordered by their start.
    """
    generator = random.Random(seed)
    plan = [_draw_fault(generator, seconds) for _ in range(count)]
    # Drawn last, so that the plans of earlier seeds keep their other faults.
    for _ in range(1 + count // FAULTS_PER_RESTORATION):
        start = generator.uniform(0, seconds)
        away = generator.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS / 2)
        plan.append(StoreRestored(start, away, 0))
    return sorted(plan, key=lambda planned: planned.start)


def _draw_fault(generator: random.Random, seconds: float) -> Fault:
    start = generator.uniform(0, seconds)
    duration = generator.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
    target = generator.randrange(1000)
    kind = generator.choice((*PLAIN_FAULTS, LinkFault, LinkFault, LinkFault))
    if kind is LinkFault:
        part = generator.choice(LINK_PARTS)
        return LinkFault(
            start, duration, target, part, generator.choice(LINK_EFFECTS)
        )
    return kind(start, duration, target)


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
    node = _find_node(fault, testbed).node
    node.down_count += 1
    with node.record_disturbance():
        node.kill()
        gevent.sleep(fault.seconds)
    node.down_count -= 1
    node.start()


@inject.register
def _pause_node(fault: NodePaused, testbed: stage.Testbed) -> None:
    _find_node(fault, testbed).node.pause(fault.seconds)


@inject.register
def _stop_node(fault: NodeStopped, testbed: stage.Testbed) -> None:
    node = _find_node(fault, testbed).node
    node.down_count += 1
    node.stop()
    gevent.sleep(fault.seconds)
    node.down_count -= 1
    node.start()


@inject.register
def _reload_node(fault: NodeReloaded, testbed: stage.Testbed) -> None:
    _find_node(fault, testbed).node.reload(f'changed at {fault.start:.3f}')


@inject.register
def _restore_store(fault: StoreRestored, testbed: stage.Testbed) -> None:
    _refuse_store_connections(fault, testbed)
    testbed.restore_store(fault.seconds * COPY_AGE_RATIO)


@inject.register(StoreAway)
def _refuse_store_connections(fault: Fault, testbed: stage.Testbed) -> None:
    for proxied in testbed.nodes:
        proxied.store_proxy.refuses_connections = True
        proxied.store_proxy.reset()
    gevent.sleep(fault.seconds)
    for restored in testbed.nodes:
        restored.store_proxy.refuses_connections = False


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
    proxied = _find_engine(fault, testbed)
    testbed.lose_engine(proxied)
    gevent.sleep(fault.seconds)
    testbed.restart_engine(proxied)


@inject.register
def _drain_engine(fault: EngineLeaves, testbed: stage.Testbed) -> None:
    proxied = _find_engine(fault, testbed)
    testbed.drain_engine(proxied)
    gevent.sleep(DRAIN_SECONDS)
    testbed.lose_engine(proxied)
    gevent.sleep(fault.seconds)
    testbed.restart_engine(proxied)


@inject.register
def _disturb_link(fault: LinkFault, testbed: stage.Testbed) -> None:
    target_proxy = _find_proxy(fault, testbed)
    if fault.how == 'reset':
        target_proxy.reset()
        return
    if fault.how == 'delay':
        target_proxy.delay_seconds = DELAY_SECONDS
    elif fault.how == 'refuse':
        target_proxy.refuses_connections = True
    elif fault.how == 'hold requests':
        target_proxy.holds_requests = True
    else:
        target_proxy.holds_answers = True
    gevent.sleep(fault.seconds)
    target_proxy.restore()


def _find_node(fault: Fault, testbed: stage.Testbed) -> stage.ProxiedNode:
    return testbed.nodes[fault.target % len(testbed.nodes)]


def _find_engine(fault: Fault, testbed: stage.Testbed) -> stage.ProxiedEngine:
    return testbed.engines[fault.target % len(testbed.engines)]


def _find_proxy(fault: LinkFault, testbed: stage.Testbed) -> proxy.Proxy:
    if fault.part == 'engine':
        return _find_engine(fault, testbed).proxy
    proxied = _find_node(fault, testbed)
    return proxied.store_proxy if fault.part == 'store' else proxied.node_proxy
