"""Proofs that a configuration is in force everywhere and never reverts."""

import dataclasses

from pimentoway.core import configuration
from pimentoway.ops import keeper
from pimentoway.standin import network, shape, world

#: Seconds within which an accepted configuration must be in force.
FORCE_SECONDS = 5


def add_customer(built: world.World, name: str) -> None:
    """Add a customer to the configuration.

    Args:
        built: The world.
        name: The name of the customer.
    """
    customers = (*built.tables.customers, configuration.Customer(name))
    built.apply(dataclasses.replace(built.tables, customers=customers))


def read_versions(built: world.World, zone: str = '') -> set[int]:
    """Read the versions that living nodes run.

    Args:
        built: The world.
        zone: The failure domain, or nothing for all.

    Returns:
        The versions.
    """
    return {node.held.current.version for node in built.list_nodes(zone)}


def test_change_is_in_force_within_seconds() -> None:
    """Every node runs an accepted change within seconds."""
    built = world.World(shape.Shape(nodes=5))
    for number in range(5):
        add_customer(built, f'new-{number}')
        built.advance(FORCE_SECONDS)
        assert read_versions(built) == {number + 2}


def test_few_watches_serve_a_domain() -> None:
    """However many nodes there are, few hold a watch."""
    built = world.World(shape.Shape(nodes=8))
    watchers = [node for node in built.list_nodes() if node.is_watcher()]
    assert len(watchers) == 4


def test_change_passes_a_cut_to_the_platform() -> None:
    """A domain cut off from the platform gets a change from other nodes."""
    built = world.World(shape.Shape(nodes=3))
    built.network.cut('norte', network.PLATFORM)
    add_customer(built, 'new')
    built.advance(FORCE_SECONDS)
    assert read_versions(built) == {2}


def test_cut_off_domain_catches_up() -> None:
    """A domain cut off from all keeps its version and catches up later."""
    built = world.World(shape.Shape())
    built.network.cut('norte', 'sur')
    built.network.cut('norte', network.PLATFORM)
    built.advance(10)
    add_customer(built, 'new')
    built.advance(10)
    assert read_versions(built, 'norte') == {1}
    assert read_versions(built, 'sur') == {2}
    built.network.heal()
    built.advance(2 * FORCE_SECONDS)
    assert read_versions(built) == {2}


def test_new_node_takes_the_highest_version() -> None:
    """A new VM during an outage of the platform learns from its peers."""
    built = world.World(shape.Shape())
    add_customer(built, 'new')
    built.advance(FORCE_SECONDS)
    built.platform.mark_down(down=True)
    started = built.start_node('norte')
    built.advance(FORCE_SECONDS)
    assert started.held.current.version == 2


def test_node_without_configuration_refuses() -> None:
    """A node that has no configuration serves nothing and says so."""
    built = world.World(shape.Shape())
    built.network.cut('norte', network.PLATFORM)
    built.network.cut('norte', 'sur')
    for node in built.list_nodes('norte'):
        built.kill_node(node.settings.name)
    started = built.start_node('norte')
    built.advance(20)
    refused = built.chat(started)
    built.advance(1)
    assert refused.outcome == 'not_run'
    assert refused.fault.code == 'no_configuration'


def test_stale_reader_does_not_revert() -> None:
    """A node fed an old configuration keeps the newer one."""
    built = world.World(shape.Shape())
    node = built.list_nodes()[0]
    old = node.held.current
    add_customer(built, 'new')
    built.advance(FORCE_SECONDS)
    assert not node.held.adopt(old, ())
    assert node.held.current.version == 2


def test_lagging_node_gets_a_snapshot() -> None:
    """A node that missed more changes than are kept gets all at once."""
    built = world.World(shape.Shape(zones=('norte',), nodes=3))
    late = built.list_nodes()[2]
    host = built.hosts_by_name[late.settings.name]
    host.freeze()
    for number in range(keeper.KEPT_CHANGES + 10):
        add_customer(built, f'customer-{number}')
        built.advance(0.1)
    host.thaw()
    built.advance(100)
    assert late.held.current.version == keeper.KEPT_CHANGES + 11


def test_slow_platform_delays_no_service() -> None:
    """While the platform is slow, repeatable requests are not."""
    built = world.World(shape.Shape())
    built.platform.faults.delay = 30
    sent = [built.chat(node) for node in built.list_nodes()]
    built.advance(2)
    assert {one.outcome for one in sent} == {'answered'}
