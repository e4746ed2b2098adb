"""The entry node for the users' platform: creates and connects its parts."""

import collections
import dataclasses
import functools
import importlib
import traceback
import typing
import uuid

import gevent
import prometheus_client
from gevent import server as gevent_server

from pimentoway.backends import channel, pathprobe
from pimentoway.callers import connection, forward
from pimentoway.core import (
    call,
    clock,
    deployment,
    error,
    log,
    nodesetting,
    registry,
    task,
)
from pimentoway.nodes import (
    election,
    frame,
    link,
    relaychannel,
    requestrelay,
    watchduty,
)
from pimentoway.ops import (
    broker,
    registrywatcher,
    rewriter,
    slot,
    slotclient,
    storecontact,
    view,
)
from pimentoway.tools import edgeports

if typing.TYPE_CHECKING:
    from pimentoway.duties import assembly

#: Seconds between two ticks of the broker: a quarter of the shortest latency
#: target that the users require.
TICK_SECONDS = 0.05

#: Seconds between two sweeps of idle connections and lost nodes.
SWEEP_SECONDS = 1.0

#: Seconds between two checks of the rollouts, and the pause after a report
#: that failed.
ROLLOUT_SECONDS = 0.15

#: Seconds after SIGTERM for which new connections are still accepted: the load
#: balancer checks readiness each second and stops sending after two failures.
ACCEPT_SECONDS = 2.3

#: Seconds before the end of the grace period at which draining stops.
GRACE_MARGIN_SECONDS = 0.4

#: Seconds before draining stops at which requests in progress are interrupted,
#: so that their callers get error responses instead of a closed connection.
INTERRUPT_SECONDS = 0.2

#: Seconds between checks whether a draining node has no connections left.
DRAIN_CHECK_SECONDS = 0.05

#: The fraction of the nodes that must use a broker before its node decides
#: rollouts and removes lost nodes.
LEADER_SHARE = 0.5

#: Seconds after which the registration of a node that isn't attached to the
#: broker is removed: longer than a restart or a partition usually lasts.
LOST_PEER_SECONDS = 15.0

#: Seconds between checks whether this node is registered; a registration that
#: failed is retried then.
REGISTER_SECONDS = 0.5

_LOG = log.Log('node')


@dataclasses.dataclass(frozen=True)
class Platform:
    """What a node needs of the platform that it runs on.

    Attributes:
        registry: The records in the platform's store.
        dialect: Decodes and encodes the platform's HTTP headers.
        read_settings: Reads the settings again; raises ``SettingError``.
        duties: What the duties need; ``None`` if there are none.
    """

    registry: registry.Registry
    dialect: call.Dialect
    read_settings: collections.abc.Callable[[], nodesetting.NodeSettings]
    duties: 'assembly.Access | None' = None


class EdgeNode:
    """An entry node: accepts callers, requests slots, forwards to back ends.

    Attributes:
        settings: The settings with which it started.
        view: Its copy of the registry.
        broker: Its broker, which serves the nodes that are attached to it.
        slots: Requests slots, from the own broker or that of another node.
        leaving: Whether it is draining.
    """

    def __init__(
        self, settings: nodesetting.NodeSettings, platform: Platform
    ) -> None:
        """Create and connect the parts; ``start`` starts their tasks.

        Args:
            settings: The settings of the node.
            platform: The platform that it runs on.
        """
        self.settings = settings
        self.leaving = False
        self.view = view.View()
        self._platform = platform
        self._boot = uuid.uuid4().hex[:8]
        self._requester = f'{settings.name}/{self._boot}'
        self.slots = slotclient.SlotClient(
            self._requester, settings.bounds.quota_window
        )
        self.broker = broker.Broker(
            settings.bounds,
            self.view,
            self._send_reply,
            settings.has_fair_admission,
        )
        self.slots.set_local_broker(self.broker)
        self._ports = edgeports.Ports(
            settings.memory_bytes, settings.descriptors
        )
        self._callers = self._ports.callers
        self._links = link.LinkServer(
            self.view,
            self._on_message,
            self._on_detach,
            link.Limits(self._ports.memory, self._ports.limits.links),
        )
        self._election = election.Election(
            settings, self._boot, self.view, self.slots
        )
        contact = storecontact.StoreContact()
        self._duty = watchduty.WatchDuty(
            settings.name,
            self.view,
            self._election,
            self._links.link_by_requester,
            contact,
            platform.registry.check,
        )
        self._election.tell_contact = self._duty.tell_broker
        self._links.tell_contact = self._duty.tell_node
        self._watcher = registrywatcher.RegistryWatcher(
            platform.registry,
            self.view,
            self._duty.should_watch_store,
            contact,
        )
        self._rewriter = rewriter.Rewriter(
            platform.registry, self.view, self.broker.parts, self._is_leader
        )
        self._channels = channel.ChannelPool(
            platform.dialect, self._ports.answers
        )
        self._forwarder = forward.Forwarder(
            settings.zone,
            self.view,
            self.slots,
            self._channels,
            platform.dialect,
            relaychannel.RelayClient(
                settings.name, settings.ip, self.view, platform.dialect
            ),
        )
        self._relay = self._make_relay()
        self._prober = pathprobe.PathProber(
            self._channels.lost_paths,
            self._channels.probe,
            functools.partial(self.slots.report_path, is_open=True),
        )
        self._duties: assembly.Duties | None = None
        if settings.duties and platform.duties:
            # Imported here, as a node without duties needs none of their
            # modules.
            edgeduties = importlib.import_module('pimentoway.tools.edgeduties')
            self._duties = edgeduties.connect(
                edgeduties.NodeParts(
                    settings,
                    self._boot,
                    self._is_leader,
                    self.broker,
                    self.slots,
                    self._forwarder,
                    self.view,
                    self._links,
                ),
                platform.duties,
            )
        self._caller_server: gevent_server.StreamServer | None = None
        self._attached_time_by_peer: dict[str, float] = {}
        self.view.subscribe(self._on_view_change)

    def start(self) -> None:
        """Listen on the ports and start the background tasks."""
        _LOG.write('starts.', name=self.settings.name, boot=self._boot)
        edgeports.serve_stream(self.settings.peers, self._links.handle)
        if self.settings.relay:
            edgeports.serve_stream(self.settings.relay, self._relay.handle)
        self._ports.serve_http(self.settings.ready, self._answer_ready)
        metrics = prometheus_client.make_wsgi_app()
        self._ports.serve_http(self.settings.metrics, metrics)
        for kind in registry.Kind:
            task.keep_running(self._watcher.run, kind)
        for function in (
            self._register,
            self._election.run,
            self._duty.run,
            self._run_ticks,
            self._run_sweeps,
            self._run_rollouts,
            self._rewriter.run,
            self._prober.run,
            *(self._duties.tasks if self._duties else ()),
        ):
            task.keep_running(function)
        self._caller_server = edgeports.serve_stream(
            self.settings.front, self._handle_caller
        )

    def is_ready(self) -> bool:
        """Tell whether the load balancer should send new connections.

        Returns:
            Whether the node has a configuration, knows at least one back end
            and isn't draining.
        """
        configured = self.view.deployment and self.view.engines_by_name
        return bool(configured) and not self.leaving

    def drain(self) -> None:
        """Close idle connections and wait for requests in progress.

        New connections are accepted for ``ACCEPT_SECONDS`` more. Requests that
        take too long get error responses. Returns when no caller is connected
        and no other node's request is relayed, or shortly before the grace
        period ends.
        """
        self.leaving = True
        self._relay.leaving = True
        end = (
            clock.read_monotonic()
            + self.settings.bounds.grace
            - GRACE_MARGIN_SECONDS
        )
        drain_limit = self._forwarder.drain_limit
        drain_limit.end = end - INTERRUPT_SECONDS
        _LOG.write('stops.', active=self._forwarder.active)
        # In the background, as a store that does not answer must not delay the
        # shutdown.
        gevent.spawn(self._unregister)
        if self._duties:
            self._duties.holder.release()
        for caller in self._callers:
            caller.closing = not caller.idle
        gevent.sleep(ACCEPT_SECONDS)
        self._caller_server.close()
        drain_limit.closed = True
        _close_callers(self._callers, drain_limit.end)
        self._relay.finish(drain_limit.end)
        self._forwarder.interrupt()
        _close_callers(self._callers, end)
        _LOG.write('finished draining.', active=self._forwarder.active)

    def reload(self) -> None:
        """Read the settings again and log which of them differ.

        A running node keeps the settings with which it started.
        """
        try:
            reread = self._platform.read_settings()
        except error.SettingError as fault:
            _LOG.write(
                'reading the settings again failed, the old ones stay.',
                reason=str(fault),
            )
            return
        changed = [
            field.name
            for field in dataclasses.fields(nodesetting.NodeSettings)
            if getattr(reread, field.name) != getattr(self.settings, field.name)
        ]
        _LOG.write(
            'read the settings again; changes need a restart.', changed=changed
        )

    def _make_relay(self) -> requestrelay.RequestRelay:
        attempts = self._forwarder.dependencies
        return requestrelay.RequestRelay(
            requestrelay.Dependencies(
                self.view,
                self._channels,
                self._platform.dialect,
                self._ports.relayed,
                self.slots.may_use,
                attempts.notices.read,
                attempts.liveness_checker.has_crashed,
                self._ports.memory,
            ),
            self._ports.limits.relays,
        )

    def _handle_caller(self, sock: object, address: tuple) -> None:
        self._ports.handle_caller(
            sock, address, self._serve, self._forwarder.read_limits
        )

    def _serve(self, caller: connection.CallerConnection, raw: object) -> bool:
        if self.leaving:
            caller.closing = True
        return self._forwarder.serve(caller, raw)

    def _answer_ready(
        self, environ: dict, start_response: collections.abc.Callable
    ) -> list[bytes]:
        status = '404 Not Found'
        if environ['PATH_INFO'] == self._platform.dialect.ready_path:
            status = '503 Service Unavailable'
            if self.is_ready():
                status = '200 OK'
        start_response(status, [('Content-Length', '0')])
        return []

    def _on_message(self, source: link.Link, content: frame.Message) -> None:
        if isinstance(content, slot.SlotRequest):
            self._submit(source.requester, content)
        elif isinstance(content, slot.Report):
            self.broker.finish(source.requester, content)
        elif isinstance(content, frame.Attach):
            _LOG.write('a node attached to this broker.', node=content.node)
            self.broker.adopt(
                source.requester,
                content.running,
                content.usage,
                content.notices,
                content.rollouts,
            )
            self._update_share()

    def _submit(self, requester: str, request: slot.SlotRequest) -> None:
        try:
            self.broker.submit(requester, request)
        except Exception as fault:
            # The other requests of the node must not suffer.
            _LOG.write(
                'unexpected error, the slot request is refused.',
                owner=requester,
                number=request.number,
                reason=repr(fault),
                trace=traceback.format_exc(limit=-4),
            )
            # It may have been queued, and a slot that it got would be lost.
            self.broker.finish(requester, slot.withdraw(request))
            self._send_reply(requester, slot.refuse_unexpected(request))

    def _on_detach(self, requester: str) -> None:
        _LOG.write('a node detached from this broker.', owner=requester)
        self.broker.drop_requester(requester)
        self._update_share()

    def _send_reply(
        self, requester: str, content: slot.Grant | slot.Refusal
    ) -> None:
        if requester == self._requester:
            self.slots.accept_reply(content)
        else:
            self._links.reply(requester, content)

    def _on_view_change(self, kind: registry.Kind) -> None:
        if kind is registry.Kind.peers:
            self._update_share()
        elif kind is registry.Kind.engines:
            registered = self.view.engines_by_name
            removed = set(self._channels.open_by_engine).difference(registered)
            for name in removed:
                self._channels.discard_idle(name)
            self._channels.lost_paths.retain(self._find_engine_address)

    def _find_engine_address(self, name: str) -> str:
        engine = self.view.engines_by_name.get(name)
        return engine.address if engine else ''

    def _update_share(self) -> None:
        attached = len(self._links.link_by_requester) + (
            not self.slots.is_remote
        )
        peers = max(1, len(self.view.peers_by_name))
        share = min(1.0, max(1, attached) / peers)
        if share != self.broker.engines.share:
            self.broker.engines.share = share
            _LOG.write(
                'the share of nodes that use this broker changed.',
                share=round(share, 3),
                peers=peers,
            )

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self.view.expire()
            self.broker.tick()

    def _run_sweeps(self) -> None:
        while True:
            gevent.sleep(SWEEP_SECONDS)
            self._channels.close_expired()
            self._ports.report(
                self._links.count_open(), self._relay.count_active()
            )
            self._update_share()
            if self._is_leader():
                self._remove_lost_peers()

    def _is_leader(self) -> bool:
        return (
            not self.slots.is_remote
            and self.broker.engines.share >= LEADER_SHARE
        )

    def _remove_lost_peers(self) -> None:
        now = clock.read_monotonic()
        attached = {
            link.peer for link in self._links.link_by_requester.values()
        }
        attached.add(self.settings.name)
        for name in tuple(self.view.peers_by_name):
            last_time = self._attached_time_by_peer.setdefault(name, now)
            if name in attached:
                self._attached_time_by_peer[name] = now
            elif now - last_time > LOST_PEER_SECONDS:
                self._attached_time_by_peer[name] = now
                gevent.spawn(self._remove_peer, name)

    def _remove_peer(self, name: str) -> None:
        _LOG.write('removes the registration of a lost node.', node=name)
        try:
            self._platform.registry.remove_peer(name)
        except error.PlatformError as fault:
            _LOG.write(
                'removing the registration of a lost node failed.',
                reason=str(fault),
            )

    def _register(self) -> None:
        peer = deployment.Peer(
            self.settings.name,
            self.settings.zone,
            self.settings.peers,
            self.settings.cores,
            self.settings.relay,
        )
        while not self.leaving:
            kind = registry.Kind.peers
            registered = self.view.peers_by_name.get(peer.name)
            if peer.name in self.view.retained.list_held(kind):
                registered = None
            if registered != peer and self.view.revision_by_kind[kind]:
                self._try_register(peer)
            gevent.sleep(REGISTER_SECONDS)

    def _try_register(self, peer: deployment.Peer) -> None:
        try:
            self._platform.registry.put_peer(peer)
        except error.PlatformError as fault:
            _LOG.write(
                'registering this node failed, trying again.', reason=str(fault)
            )

    def _unregister(self) -> None:
        try:
            self._platform.registry.remove_peer(self.settings.name)
        except error.PlatformError as fault:
            _LOG.write(
                'removing the registration of this node failed.',
                reason=str(fault),
            )

    def _run_rollouts(self) -> None:
        while True:
            gevent.sleep(ROLLOUT_SECONDS)
            if self._is_leader():
                for service in self.broker.rollouts.list_services():
                    self._decide_rollout(service)

    def _decide_rollout(self, service: str) -> None:
        decision = self.broker.decide_rollout(service)
        if decision is None:
            return
        progress, state = decision
        try:
            self._platform.registry.report_rollout(progress.order, state.value)
        except error.PlatformError as fault:
            _LOG.write(
                'reporting the state of a rollout failed, trying again.',
                service=service,
                state=state.value,
                reason=str(fault),
            )
            gevent.sleep(ROLLOUT_SECONDS)
            return
        _LOG.write(
            'reported the state of a rollout.',
            service=service,
            state=state.value,
        )


def _close_callers(
    callers: set[connection.CallerConnection], end: float
) -> None:
    while clock.read_monotonic() < end and callers:
        for caller in tuple(callers):
            caller.closing = not caller.idle
            caller.close_idle()
        gevent.sleep(DRAIN_CHECK_SECONDS)
