"""An entry node: creates and connects its parts.

The connections to other systems are passed in, so that tests can run the same
node against fakes.
"""

import dataclasses
import functools
import random

import gevent
import xxhash

from pimentoway.backends import exchange, poll
from pimentoway.callers import app as callers_app
from pimentoway.core import (
    clock,
    connection,
    error,
    evidence,
    index,
    log,
    metric,
    trace,
)
from pimentoway.nodes import gossip, member, message, relay
from pimentoway.objects import feed, store
from pimentoway.ops import (
    claimlog,
    configholder,
    dispatch,
    fleet,
    idempotency,
    judge,
    permit,
    prefix,
    scheduler,
)
from pimentoway.parser import setting
from pimentoway.tools import controller

#: The nodes of each failure domain that watch the configuration.
WATCHERS_PER_ZONE = 2

#: The longest pause between two full exchanges of members and orders with a
#: random node, in seconds.
SYNC_SECONDS = 120

#: The same while the node has found no other node or has no configuration.
JOIN_SYNC_SECONDS = 2

#: Mean seconds between polls of the platform's list of VMs.
MACHINE_POLL_SECONDS = 30

#: The fraction by which these pauses vary: those between exchanges only become
#: shorter, those between polls shorter or longer.
JITTER = 0.5

#: Seconds between checks whether a draining node has unfinished requests.
DRAIN_CHECK_SECONDS = 0.1

_LOG = log.Log('node')


@dataclasses.dataclass(frozen=True)
class Peers:
    """The connections of a node to the platform and to other nodes.

    Attributes:
        object_store: The platform's object service.
        transport: Sends and receives gossip packets.
        calls: Makes RPC calls to other nodes.
    """

    object_store: store.Store
    transport: gossip.Transport
    calls: relay.RpcClient


class Node:
    """An entry node: accepts, queues and dispatches the requests of callers.

    Attributes:
        settings: The settings with which it started.
        scheduler: The scheduler: queues, back ends and routing.
        configuration_holder: The holder of the configuration in force.
        relay: Handles the calls of other nodes and calls them.
        members: The membership table of the gossip.
        caller_dependencies: The components that the API for callers uses.
        leaving: Whether it shuts down.
    """

    def __init__(
        self,
        settings: setting.Settings,
        peers: Peers,
        link: exchange.BackendLink,
    ) -> None:
        """Create and connect the parts; ``start`` starts their tasks.

        Args:
            settings: The settings of the node.
            peers: The connections to the platform and to other nodes.
            link: The connections to back ends. The node uses a copy that
                passes load reports to ``apply_load_report``.
        """
        self.settings = settings
        self.leaving = False
        self.peers = peers
        identity = scheduler.Identity(settings.name, settings.zone)
        self.scheduler = scheduler.Scheduler(
            identity,
            self.announce,
            settings.queue_tokens,
        )
        self.configuration_holder = configholder.ConfigurationHolder(
            self._on_configuration
        )
        self.members = member.MemberTable(
            _make_member(settings),
            self._on_members_change,
        )
        self.gossiper = gossip.Gossiper(
            self.members,
            peers.transport,
            self.apply_evidence,
            settings.peers,
        )
        self.link = dataclasses.replace(link, on_report=self.apply_load_report)
        self.tracer = trace.Tracer(settings.name, settings.endpoint)
        self.judge = judge.Judge(self.scheduler, self.announce)
        self.dispatcher = dispatch.Dispatcher(
            self.scheduler,
            self.link,
            self.tracer,
            self.judge,
            self.announce,
        )
        self.relay = relay.Relay(
            relay.NodeState(
                self.configuration_holder, self.members, self.scheduler
            ),
            peers.calls,
        )
        self.relay.claim_log = claimlog.ClaimLog(
            settings.name,
            peers.object_store,
            self.relay,
        )
        self.runner = idempotency.AtMostOnceRunner(
            self.scheduler,
            self.dispatcher,
            self.relay.claim_log,
        )
        self.caller_dependencies = callers_app.Dependencies(
            self.scheduler,
            self.dispatcher,
            self.runner,
            self.tracer,
        )
        self.borrower = permit.Borrower(
            self.scheduler,
            self.relay.request_slot,
            self.relay.return_slot,
        )
        self.scheduler.return_permit = self.borrower.return_permit
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the background tasks of the node."""
        configuration_feed = feed.Feed(
            self.peers.object_store,
            self.configuration_holder,
            self.is_watcher,
        )
        poller = poll.Poller(self.scheduler.fleet, self.link)
        rollout_controller = controller.Controller(
            self.settings.name,
            self.judge,
            self.configuration_holder,
            self.peers.object_store,
            self.is_watcher,
        )
        for function in (
            self.gossiper.run,
            self._run_ticks,
            self._run_syncs,
            self._run_machines,
            configuration_feed.run,
            poller.run,
            self.borrower.run,
            rollout_controller.run,
        ):
            self._tasks.append(gevent.spawn(function))

    def stop(self) -> None:
        """Kill the background tasks at once and close the trace exporter."""
        gevent.killall(self._tasks)
        self.tracer.close()

    def drain(self) -> None:
        """Shut down gracefully; returns when the requests are finished.

        Requests are accepted for ``notice_seconds`` more, so that load
        balancers can notice. Then accepted requests may finish within
        ``shutdown_seconds``; those that remain are cut off when the
        process ends.
        """
        self.leaving = True
        _LOG.write('shutting down.')
        gevent.sleep(self.settings.notice_seconds)
        self.scheduler.draining = True
        self.gossiper.leave()
        end = clock.read_monotonic() + self.settings.shutdown_seconds
        while self.count_open() and clock.read_monotonic() < end:
            gevent.sleep(DRAIN_CHECK_SECONDS)

    def count_open(self) -> int:
        """Count the requests that are not finished.

        Returns:
            The number of requests that are queued, run by a back end, or
            unrepeatable with an outcome that isn't recorded yet; a request
            may count twice.
        """
        return (
            self.scheduler.count_waiting()
            + self.scheduler.count_running()
            + self.runner.count_runs()
        )

    def is_watcher(self) -> bool:
        """Tell whether this node watches the configuration at the platform.

        Returns:
            Whether it is one of the ``WATCHERS_PER_ZONE`` live nodes of its
            failure domain that rendezvous hashing selects.
        """
        names = self.members.group_live_by_zone().get(self.settings.zone, ())
        seed = xxhash.xxh3_64_intdigest(self.settings.zone.encode())
        watchers = prefix.rank_rendezvous(seed, list(names))[:WATCHERS_PER_ZONE]
        return self.settings.name in watchers

    def announce(self, evidence_item: evidence.Evidence) -> None:
        """Spread evidence to the other nodes by gossip.

        Args:
            evidence_item: The evidence.
        """
        self.gossiper.announce(evidence_item)

    def apply_evidence(self, evidence_item: evidence.Evidence) -> bool:
        """Apply evidence from another node.

        Args:
            evidence_item: The evidence.

        Returns:
            Whether it was new, so that gossip should spread it further.
        """
        return _apply_evidence(evidence_item, self)

    def apply_load_report(self, name: str, report: fleet.LoadReport) -> None:
        """Apply a back end's load report to its state.

        Args:
            name: The name of the back end; reports of one that isn't
                configured are ignored.
            report: The report.
        """
        state = self.scheduler.fleet.by_name.get(name)
        if state:
            state.note_report(report)

    def _on_configuration(self, config_index: index.Index) -> None:
        self.scheduler.update_configuration_index(config_index)
        self.announce(
            evidence.VersionNotice(
                self.settings.name,
                self.members.own.rpc_address,
                config_index.version,
            ),
        )

    def _on_members_change(self) -> None:
        metric.LIVE_NODES.set(len(self.members.list_live()))
        self.scheduler.update_nodes(self.members.group_live_by_zone())

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(scheduler.TICK_SECONDS)
            self.scheduler.tick()
            self.judge.announce_tallies()

    def _run_syncs(self) -> None:
        joined = False
        while True:
            others = self.members.list_others()
            if others:
                self.relay.sync_with(random.choice(others))
                joined = (
                    self.configuration_holder.configuration_index is not None
                )
            pause = SYNC_SECONDS if joined else JOIN_SYNC_SECONDS
            gevent.sleep(pause * random.uniform(JITTER, 1))

    def _run_machines(self) -> None:
        while True:
            try:
                machines = self.peers.object_store.list_machines()
            except error.PlatformError as fault:
                _LOG.write(
                    f'listing the VMs failed, trying again later: {fault}.'
                )
                machines = ()
            self.gossiper.add_seeds(
                tuple(
                    machine.address
                    for machine in machines
                    if not machine.leaving
                ),
            )
            gevent.sleep(
                MACHINE_POLL_SECONDS * random.uniform(1 - JITTER, 1 + JITTER)
            )


@functools.singledispatch
def _apply_evidence(evidence_item: evidence.Evidence, node: Node) -> bool:
    raise NotImplementedError(type(evidence_item))


@_apply_evidence.register
def _apply_pressure(evidence_item: evidence.QueuePressure, node: Node) -> bool:
    return node.scheduler.pressure.record(evidence_item)


@_apply_evidence.register
def _apply_suspicion(
    evidence_item: evidence.CrashSuspicion, node: Node
) -> bool:
    return node.scheduler.suspects.record(evidence_item)


@_apply_evidence.register
def _apply_cold_start(evidence_item: evidence.ColdStart, node: Node) -> bool:
    state = node.scheduler.fleet.by_name.get(evidence_item.backend)
    return bool(state and state.note_cold_start(evidence_item.sequence))


@_apply_evidence.register
def _apply_ramp_limit(evidence_item: evidence.RampLimit, node: Node) -> bool:
    state = node.scheduler.fleet.by_name.get(evidence_item.backend)
    return bool(
        state and state.ramp.adopt(evidence_item.slots, evidence_item.sequence)
    )


@_apply_evidence.register
def _apply_order(evidence_item: evidence.ZoneOrder, node: Node) -> bool:
    return node.scheduler.apply_zone_order(evidence_item)


@_apply_evidence.register
def _apply_tally(evidence_item: evidence.Tally, node: Node) -> bool:
    return node.judge.note_tally(evidence_item)


@_apply_evidence.register
def _apply_condemnation(
    evidence_item: evidence.Condemnation, node: Node
) -> bool:
    return node.judge.note_condemnation(evidence_item)


@_apply_evidence.register
def _apply_notice(evidence_item: evidence.VersionNotice, node: Node) -> bool:
    return node.relay.handle_notice(evidence_item)


def make_link(settings: setting.Settings) -> exchange.BackendLink:
    """Create the connections to back ends, with the timeouts of the settings.

    Args:
        settings: The settings of the node.

    Returns:
        The connections; load reports are dropped until a node uses them.
    """
    return exchange.BackendLink(
        pool=connection.Pool(),
        on_report=_drop_report,
        connect_seconds=settings.connect_seconds,
        first_byte_seconds=settings.first_byte_seconds,
        gap_seconds=settings.gap_seconds,
    )


def _drop_report(name: str, report: fleet.LoadReport) -> None:
    """Drop a load report that no node is there to apply."""


def _make_member(settings: setting.Settings) -> message.Member:
    # The incarnation starts from the wall-clock time, so that a restarted node
    # supersedes what other nodes remember of its earlier run.
    return message.Member(
        settings.name,
        settings.zone,
        f'{settings.host}:{settings.gossip_port}',
        f'{settings.host}:{settings.call_port}',
        int(clock.read_wall()),
    )
