"""Tests of a node whose store is restored from a copy, over real sockets."""

import collections
import dataclasses

import gevent

from pimentoway.core import clock, deployment, nodesetting, registry
from pimentoway.platform import memory_store, soak_fixture, store, wire
from pimentoway.standin import port
from pimentoway.tools import edge

#: Seconds within which a change must be in force; the store answers at once.
APPLY_SECONDS = 2.0

#: The calls to the store that may follow a restoration: a few listings of each
#: kind, and what the node writes again.
MAX_CALLS = 60

ENGINE = deployment.Engine(
    'e1', soak_fixture.SERVICE, '127.0.0.1:9', 'z', 'v1', 6, False, 0, 1
)


def start_node(
    platform_store: memory_store.MemoryStore, name: str, *seeds: edge.EdgeNode
) -> edge.EdgeNode:
    """Start a node on free ports of localhost.

    Args:
        platform_store: The store.
        name: The name of the node.
        *seeds: The nodes to contact at the start.

    Returns:
        The node.
    """
    first = port.find_ports(4)
    addresses = [f'127.0.0.1:{first + offset}' for offset in range(4)]
    settings = nodesetting.NodeSettings(
        name=name,
        zone='z',
        ip='127.0.0.1',
        front=addresses[0],
        ready=addresses[1],
        peers=addresses[2],
        metrics=addresses[3],
        seeds=tuple(seed.settings.peers for seed in seeds),
        store=platform_store.address,
        cores=1,
        memory_bytes=0,
        descriptors=1000,
        zones=('z',),
        bounds=nodesetting.Bounds(grace=4),
    )
    platform = edge.Platform(
        store.PlatformRegistry(platform_store.address),
        wire.DIALECT,
        lambda: settings,
    )
    node = edge.EdgeNode(settings, platform)
    node.start()
    return node


def wait_for_version(node: edge.EdgeNode, version: int) -> bool:
    """Wait until a node has a version of the configuration in force.

    Args:
        node: The node.
        version: The version.

    Returns:
        Whether it has it within ``APPLY_SECONDS``.
    """
    return wait_until(
        lambda: node.view.deployment and node.view.deployment.version >= version
    )


def wait_until(is_reached: collections.abc.Callable[[], bool]) -> bool:
    """Wait until a condition holds.

    Args:
        is_reached: Tells whether it does.

    Returns:
        Whether it does within ``APPLY_SECONDS``.
    """
    deadline = clock.read_monotonic() + APPLY_SECONDS
    while not is_reached() and clock.read_monotonic() < deadline:
        gevent.sleep(0.01)
    return bool(is_reached())


def start_pair() -> tuple[memory_store.MemoryStore, edge.EdgeNode, int]:
    """Start a store and a node that has its second configuration in force.

    Returns:
        The store, the node, and the revision before the second configuration.
    """
    platform_store = memory_store.MemoryStore()
    soak_fixture.put_configuration(platform_store, 1, 0)
    soak_fixture.put_engine(platform_store, ENGINE)
    node = start_node(platform_store, 'n1')
    assert wait_for_version(node, 1)
    copied = platform_store.revision
    soak_fixture.put_configuration(platform_store, 2, 1)
    put_engines(platform_store, 10)
    assert wait_for_version(node, 2)
    gevent.sleep(0.1)
    return platform_store, node, copied


def put_engines(platform_store: memory_store.MemoryStore, count: int) -> None:
    """Write entries of engines, each of which takes a revision.

    Args:
        platform_store: The store.
        count: The number of entries.
    """
    for number in range(count):
        engine = dataclasses.replace(ENGINE, name=f'added{number}')
        soak_fixture.put_engine(platform_store, engine)


# Guards against a change that is not in force in time, and a flood of calls,
# after the store was restored: its listings were older than the node's view by
# their revision.
def test_change_after_a_restoration_is_in_force() -> None:
    """The next configuration is applied, and few calls are needed."""
    platform_store, node, copied = start_pair()
    platform_store.restore(copied)
    platform_store.calls = 0
    soak_fixture.put_configuration(platform_store, 2, 1)
    gevent.sleep(0.5)
    soak_fixture.put_configuration(platform_store, 3, 2)
    assert wait_for_version(node, 3)
    assert platform_store.calls < MAX_CALLS


# Guards against a watch that goes on from a revision which the restored store
# has given out again: what was written below it is never seen.
def test_change_below_watched_revision_is_seen() -> None:
    """The era in the answer shows that the store was restored."""
    platform_store, node, copied = start_pair()
    platform_store.restore(copied)
    soak_fixture.put_configuration(platform_store, 3, 2)
    put_engines(platform_store, 20)
    assert wait_for_version(node, 3)
    assert wait_until(lambda: len(node.view.engines_by_name) == 21)


# Guards against a node that starts after a restoration and stays with the
# older configuration of the store, while its peers have a newer one in force.
def test_node_started_later_has_newest_version() -> None:
    """It learns the newest configuration from the others."""
    platform_store, node, copied = start_pair()
    platform_store.restore(copied)
    started = start_node(platform_store, 'n2', node)
    assert wait_for_version(started, 2)


# Guards against a node that the others no longer know, as its entry was written
# after the copy.
def test_node_is_registered_again() -> None:
    """A node writes its entry again, without being forgotten meanwhile."""
    platform_store, node, _ = start_pair()
    gevent.sleep(edge.REGISTER_SECONDS * 2)
    platform_store.restore(2)
    gevent.sleep(edge.REGISTER_SECONDS * 3)
    listing = store.PlatformRegistry(platform_store.address).list_records(
        registry.Kind.peers
    )
    assert 'n1' in listing.records_by_name
    assert 'n1' in node.view.peers_by_name
