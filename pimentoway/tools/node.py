"""An entry node: all its parts, connected.

The peers come from outside, so that tests connect the same parts to fakes.
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

#: The nodes of a failure domain that hold a watch.
WATCHERS = 2

#: Seconds between exchanges of all that is known with a random member.
SYNC_SECONDS = 120

#: Seconds between exchanges while the node knows no other or nothing.
JOIN_SECONDS = 2

#: Seconds between looks at the platform's list of machines.
MACHINES_SECONDS = 30

#: The part by which pauses between looks vary.
JITTER = 0.5

#: Seconds between checks of whether a draining node has finished.
DRAIN_CHECK_SECONDS = 0.1

_LOG = log.Log('node')


@dataclasses.dataclass(frozen=True)
class Peers:
    """The peers of a node.

    Attributes:
        object_store: The platform's object service.
        transport: Carries gossip.
        calls: Makes calls to other nodes.
    """

    object_store: store.Store
    transport: gossip.Transport
    calls: relay.RpcClient


class Node:
    """An entry node.

    Attributes:
        settings: Its settings.
        plan: The scheduler.
        held: The configuration that it holds.
        relay: Answers the calls of other nodes and makes calls to them.
        members: The members that it knows.
        desk: What the callers' interface needs.
        leaving: Whether it shuts down.
    """

    def __init__(
        self, settings: setting.Settings, peers: Peers, link: exchange.Link
    ) -> None:
        """Connect the parts.

        Args:
            settings: The settings.
            peers: The peers.
            link: How to reach the back ends; its reports come here.
        """
        self.settings = settings
        self.leaving = False
        self.peers = peers
        identity = scheduler.Identity(settings.name, settings.zone)
        self.plan = scheduler.Scheduler(
            identity,
            self.announce,
            settings.queue_tokens,
        )
        self.held = configholder.ConfigurationHolder(self._follow_view)
        self.members = member.MemberTable(
            _make_member(settings),
            self._follow_members,
        )
        self.gossiper = gossip.Gossiper(
            self.members,
            peers.transport,
            self.note_sign,
            settings.peers,
        )
        self.link = dataclasses.replace(link, note_report=self.note_report)
        self.tracer = trace.Tracer(settings.name, settings.endpoint)
        self.judge = judge.Judge(self.plan, self.announce)
        self.dispatcher = dispatch.Dispatcher(
            self.plan,
            self.link,
            self.tracer,
            self.judge,
            self.announce,
        )
        self.relay = relay.Relay(
            relay.NodeState(self.held, self.members, self.plan),
            peers.calls,
        )
        self.relay.claim_log = claimlog.ClaimLog(
            settings.name,
            peers.object_store,
            self.relay,
        )
        self.runner = idempotency.AtMostOnceRunner(
            self.plan,
            self.dispatcher,
            self.relay.claim_log,
        )
        self.desk = callers_app.Dependencies(
            self.plan,
            self.dispatcher,
            self.runner,
            self.tracer,
        )
        self.borrower = permit.Borrower(
            self.plan,
            self.relay.request_slot,
            self.relay.return_slot,
        )
        self.plan.return_permit = self.borrower.return_permit
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the tasks of the node, one for each peer."""
        following = feed.Feed(
            self.peers.object_store,
            self.held,
            self.is_watcher,
        )
        polling = poll.Poller(self.plan.fleet, self.link)
        deciding = controller.Controller(
            self.settings.name,
            self.judge,
            self.held,
            self.peers.object_store,
            self.is_watcher,
        )
        for task in (
            self.gossiper.run,
            self._run_ticks,
            self._run_syncs,
            self._run_machines,
            following.run,
            polling.run,
            self.borrower.run,
            deciding.run,
        ):
            self._tasks.append(gevent.spawn(task))

    def stop(self) -> None:
        """Stop the tasks of the node."""
        gevent.killall(self._tasks)
        self.tracer.close()

    def drain(self) -> None:
        """Shut down gracefully: finish what was accepted, take nothing new."""
        self.leaving = True
        _LOG.write('shutting down.')
        gevent.sleep(self.settings.notice_seconds)
        self.plan.draining = True
        self.gossiper.leave()
        end = clock.read_monotonic() + self.settings.shutdown_seconds
        while self.count_open() and clock.read_monotonic() < end:
            gevent.sleep(DRAIN_CHECK_SECONDS)

    def count_open(self) -> int:
        """Count the requests that are not finished.

        Returns:
            The requests that wait, run, or whose outcome is not recorded.
        """
        return (
            self.plan.count_waiting()
            + self.plan.count_running()
            + self.runner.count_runs()
        )

    def is_watcher(self) -> bool:
        """Tell whether this node holds a watch for its failure domain.

        Returns:
            Whether it is among the few chosen ones.
        """
        names = self.members.group_live_by_zone().get(self.settings.zone, ())
        seed = xxhash.xxh3_64_intdigest(self.settings.zone.encode())
        chosen = prefix.rank_rendezvous(seed, list(names))[:WATCHERS]
        return self.settings.name in chosen

    def announce(self, sign: evidence.Evidence) -> None:
        """Tell the other nodes a sign.

        Args:
            sign: The sign.
        """
        self.gossiper.announce(sign)

    def note_sign(self, sign: evidence.Evidence) -> bool:
        """Take in a sign of another node.

        Args:
            sign: The sign.

        Returns:
            Whether it was new.
        """
        return _take_sign(sign, self)

    def note_report(self, name: str, report: fleet.Report) -> None:
        """Take in a back end's report.

        Args:
            name: The name of the back end.
            report: The report.
        """
        state = self.plan.fleet.by_name.get(name)
        if state:
            state.note_report(report)

    def _follow_view(self, view: index.Index) -> None:
        self.plan.update_view(view)
        self.announce(
            evidence.VersionNotice(
                self.settings.name,
                self.members.own.rpc_address,
                view.version,
            ),
        )

    def _follow_members(self) -> None:
        metric.LIVE_NODES.set(len(self.members.list_live()))
        self.plan.update_nodes(self.members.group_live_by_zone())

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(scheduler.TICK_SECONDS)
            self.plan.tick()
            self.judge.announce_tallies()

    def _run_syncs(self) -> None:
        joined = False
        while True:
            others = self.members.list_others()
            if others:
                self.relay.sync_with(random.choice(others))
                joined = self.held.view is not None
            pause = SYNC_SECONDS if joined else JOIN_SECONDS
            gevent.sleep(pause * random.uniform(JITTER, 1))

    def _run_machines(self) -> None:
        while True:
            try:
                machines = self.peers.object_store.list_machines()
            except error.PlatformError as fault:
                _LOG.write(f'no list of machines: {fault}.')
                machines = ()
            self.gossiper.add_seeds(
                tuple(
                    machine.address
                    for machine in machines
                    if not machine.leaving
                ),
            )
            gevent.sleep(
                MACHINES_SECONDS * random.uniform(1 - JITTER, 1 + JITTER)
            )


@functools.singledispatch
def _take_sign(sign: evidence.Evidence, node: Node) -> bool:
    raise NotImplementedError(type(sign))


@_take_sign.register
def _take_pressure(sign: evidence.QueuePressure, node: Node) -> bool:
    return node.plan.pressure.record(sign)


@_take_sign.register
def _take_suspicion(sign: evidence.CrashSuspicion, node: Node) -> bool:
    return node.plan.suspects.record(sign)


@_take_sign.register
def _take_cold_start(sign: evidence.ColdStart, node: Node) -> bool:
    state = node.plan.fleet.by_name.get(sign.backend)
    return bool(state and state.note_cold_start(sign.sequence))


@_take_sign.register
def _take_allowance(sign: evidence.RampLimit, node: Node) -> bool:
    state = node.plan.fleet.by_name.get(sign.backend)
    return bool(state and state.ramp.adopt(sign.slots, sign.sequence))


@_take_sign.register
def _take_order(sign: evidence.ZoneOrder, node: Node) -> bool:
    return node.plan.apply_zone_order(sign)


@_take_sign.register
def _take_tally(sign: evidence.Tally, node: Node) -> bool:
    return node.judge.note_tally(sign)


@_take_sign.register
def _take_condemnation(sign: evidence.Condemnation, node: Node) -> bool:
    return node.judge.note_condemnation(sign)


@_take_sign.register
def _take_notice(sign: evidence.VersionNotice, node: Node) -> bool:
    return node.relay.handle_notice(sign)


def make_link(settings: setting.Settings) -> exchange.Link:
    """Make the link to back ends that the settings describe.

    Args:
        settings: The settings.

    Returns:
        The link.
    """
    return exchange.Link(
        pool=connection.Pool(),
        note_report=_pass_over,
        connect_seconds=settings.connect_seconds,
        first_byte_seconds=settings.first_byte_seconds,
        gap_seconds=settings.gap_seconds,
    )


def _pass_over(name: str, report: fleet.Report) -> None:
    """Pass over a report that comes before the node is connected."""


def _make_member(settings: setting.Settings) -> message.Member:
    # A restarted node has to supersede what is remembered of it, so its
    # incarnation starts from the time of its start.
    return message.Member(
        settings.name,
        settings.zone,
        f'{settings.host}:{settings.gossip_port}',
        f'{settings.host}:{settings.call_port}',
        int(clock.read_wall()),
    )
