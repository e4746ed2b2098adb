"""Tests that a configuration reaches all nodes and never reverts."""

import dataclasses

from pimentoway.core import configuration
from pimentoway.ops import configholder
from pimentoway.standin import cluster, network, shape

#: Seconds within which an accepted configuration must be in force.
IN_FORCE_SECONDS = 5


def add_customer(simulation: cluster.Cluster, name: str) -> None:
    """Apply a configuration with one more customer.

    Args:
        simulation: The simulated deployment.
        name: The name of the new customer.
    """
    customers = (*simulation.tables.customers, configuration.Customer(name))
    simulation.apply(
        dataclasses.replace(simulation.tables, customers=customers)
    )


def read_versions(simulation: cluster.Cluster, zone: str = '') -> set[int]:
    """Read which versions of the configuration are in force.

    Args:
        simulation: The simulated deployment.
        zone: The failure domain of the nodes; empty for all of them.

    Returns:
        The versions in force at live nodes.
    """
    return {
        node.configuration_holder.current.version
        for node in simulation.list_nodes(zone)
    }


def test_change_is_in_force_within_seconds() -> None:
    """An accepted change is in force at every node within five seconds."""
    simulation = cluster.Cluster(shape.Shape(nodes=5))
    for number in range(5):
        add_customer(simulation, f'new-{number}')
        simulation.advance(IN_FORCE_SECONDS)
        assert read_versions(simulation) == {number + 2}


def test_two_nodes_per_domain_watch_the_platform() -> None:
    """The watches on the platform do not grow with the number of nodes."""
    simulation = cluster.Cluster(shape.Shape(nodes=8))
    watchers = [node for node in simulation.list_nodes() if node.is_watcher()]
    assert len(watchers) == 4


def test_change_reaches_domain_without_platform() -> None:
    """A domain that cannot reach the platform gets a change from its peers."""
    simulation = cluster.Cluster(shape.Shape(nodes=3))
    simulation.network.cut('norte', network.PLATFORM)
    add_customer(simulation, 'new')
    simulation.advance(IN_FORCE_SECONDS)
    assert read_versions(simulation) == {2}


def test_partitioned_domain_catches_up() -> None:
    """A fully partitioned domain keeps its version until the cut heals."""
    simulation = cluster.Cluster(shape.Shape())
    simulation.network.cut('norte', 'sur')
    simulation.network.cut('norte', network.PLATFORM)
    simulation.advance(10)
    add_customer(simulation, 'new')
    simulation.advance(10)
    assert read_versions(simulation, 'norte') == {1}
    assert read_versions(simulation, 'sur') == {2}
    simulation.network.heal()
    simulation.advance(2 * IN_FORCE_SECONDS)
    assert read_versions(simulation) == {2}


def test_new_node_gets_configuration_from_peers() -> None:
    """A node that starts during a platform outage gets the newest version."""
    simulation = cluster.Cluster(shape.Shape())
    add_customer(simulation, 'new')
    simulation.advance(IN_FORCE_SECONDS)
    simulation.platform.set_down(down=True)
    started = simulation.start_node('norte')
    simulation.advance(IN_FORCE_SECONDS)
    assert started.configuration_holder.current.version == 2


def test_unconfigured_node_refuses_requests() -> None:
    """A node without a configuration answers ``no_configuration``."""
    simulation = cluster.Cluster(shape.Shape())
    simulation.network.cut('norte', network.PLATFORM)
    simulation.network.cut('norte', 'sur')
    for node in simulation.list_nodes('norte'):
        simulation.kill_node(node.settings.name)
    started = simulation.start_node('norte')
    simulation.advance(20)
    refused = simulation.chat(started)
    simulation.advance(1)
    assert refused.outcome == 'not_run'
    assert refused.fault.code == 'no_configuration'


def test_older_configuration_is_not_adopted() -> None:
    """A stale read does not replace a newer configuration."""
    simulation = cluster.Cluster(shape.Shape())
    node = simulation.list_nodes()[0]
    old = node.configuration_holder.current
    add_customer(simulation, 'new')
    simulation.advance(IN_FORCE_SECONDS)
    assert not node.configuration_holder.adopt(old, ())
    assert node.configuration_holder.current.version == 2


def test_lagging_node_gets_a_snapshot() -> None:
    """A node that missed more changes than are kept gets a full snapshot."""
    simulation = cluster.Cluster(shape.Shape(zones=('norte',), nodes=3))
    lagging = simulation.list_nodes()[2]
    host = simulation.hosts_by_name[lagging.settings.name]
    host.freeze()
    for number in range(configholder.KEPT_CHANGES + 10):
        add_customer(simulation, f'customer-{number}')
        simulation.advance(0.1)
    host.thaw()
    simulation.advance(100)
    assert (
        lagging.configuration_holder.current.version
        == configholder.KEPT_CHANGES + 11
    )


def test_slow_platform_does_not_delay_chats() -> None:
    """Repeatable requests need no call to the platform."""
    simulation = cluster.Cluster(shape.Shape())
    simulation.platform.faults.delay = 30
    sent = [simulation.chat(node) for node in simulation.list_nodes()]
    simulation.advance(2)
    assert {request.outcome for request in sent} == {'answered'}
