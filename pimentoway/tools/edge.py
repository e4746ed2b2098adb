"""An entry node on the users' platform: all its parts, connected."""

import collections
import dataclasses
import uuid

import gevent
import prometheus_client
from gevent import server as gevent_server

from pimentoway.backends import channel
from pimentoway.callers import connection, forward
from pimentoway.core import (
    budget,
    call,
    clock,
    deployment,
    error,
    log,
    nodesetting,
    registry,
    serving,
    task,
)
from pimentoway.nodes import election, frame, link
from pimentoway.ops import broker, registrywatcher, slot, slotclient, view

#: Seconds between two looks of the broker at its queues: a quarter of the
#: shortest goal on the users' sheets.
TICK_SECONDS = 0.05

#: Seconds between two sweeps of idle connections.
SWEEP_SECONDS = 1.0

#: Seconds between two looks at the rollouts.
ROLLOUT_SECONDS = 0.15

#: Seconds after SIGTERM for which new connections are taken: the balancer
#: asks each second and needs two misses.
ACCEPT_SECONDS = 2.3

#: Seconds before the end of the grace at which the process ends.
GRACE_MARGIN_SECONDS = 0.4

#: Seconds between checks of whether a stopping node has finished.
CHECK_SECONDS = 0.05

#: The part of the nodes that must ask a broker for it to decide rollouts and
#: to remove nodes.
LEADING_SHARE = 0.5

#: Seconds after which the entry of a node that does not ask is removed: longer
#: than a restart or the cut of a failure domain usually lasts.
DEAD_SECONDS = 15.0

#: Seconds after which a call to the store that changes something is repeated.
REPEAT_SECONDS = 0.5

#: The part of the memory that bodies of callers may take. Each is held up to
#: three times while it is passed on, and the node itself needs 40 MB of 128.
BODY_PART = 0.15

#: Callers' connections that may wait to be taken.
BACKLOG = 512

#: The connections of the balancer or of readers of metrics.
SERVICE_CONNECTIONS = 16

#: Seconds for which these may stall.
STALL_SECONDS = 30.0

#: The descriptors of a process that are not callers' connections: 200 for
#: files, the rest for back ends, nodes and the store.
RESERVED_DESCRIPTORS = 700

_LOG = log.Log('node')


@dataclasses.dataclass(frozen=True)
class Platform:
    """The platform of a node.

    Attributes:
        registry: The records that it keeps.
        dialect: How its callers and back ends write.
        read_place: Reads the settings anew.
    """

    registry: registry.Registry
    dialect: call.Dialect
    read_place: collections.abc.Callable[[], nodesetting.NodeSettings]


class EdgeNode:
    """An entry node.

    Attributes:
        place: Where it runs.
        view: What it knows of the registry.
        broker: Its broker.
        slots: Asks for slots.
        leaving: Whether it is stopping.
    """

    def __init__(
        self, here: nodesetting.NodeSettings, platform: Platform
    ) -> None:
        """Connect the parts.

        Args:
            here: Where the node runs.
            platform: The platform.
        """
        self.place = here
        self.leaving = False
        self.view = view.View()
        self._platform = platform
        self._boot = uuid.uuid4().hex[:8]
        self._owner = f'{here.name}/{self._boot}'
        self.slots = slotclient.SlotClient(
            self._owner, here.bounds.quota_window
        )
        self.broker = broker.Broker(here.bounds, self.view, self._reply)
        self.slots.set_local_broker(self.broker)
        self._links = link.LinkServer(self.view, self._take, self._lose)
        self._election = election.Election(
            here, self._boot, self.view, self.slots
        )
        self._watcher = registrywatcher.RegistryWatcher(
            platform.registry,
            self.view,
            self._election.watches_store,
        )
        self._channels = channel.ChannelPool(platform.dialect)
        self._forwarder = forward.Forwarder(
            here.zone,
            self.view,
            self.slots,
            self._channels,
            platform.dialect,
        )
        self._callers: set[connection.CallerConnection] = set()
        self._bodies = budget.ByteBudget(int(here.memory_bytes * BODY_PART))
        self._front: gevent_server.StreamServer | None = None
        self._seen_by_peer: dict[str, float] = {}
        self.view.subscribe(self._follow)

    def start(self) -> None:
        """Start the tasks of the node, one for each peer."""
        _LOG.write('starts.', name=self.place.name, boot=self._boot)
        _serve_stream(self.place.peers, self._links.handle)
        _serve_http(self.place.ready, self._answer_ready)
        metrics = prometheus_client.make_wsgi_app()
        _serve_http(self.place.metrics, metrics)
        for kind in registry.Kind:
            task.keep_running(self._watcher.run, kind)
        for step in (
            self._register,
            self._election.run,
            self._run_ticks,
            self._run_sweeps,
            self._run_rollouts,
        ):
            task.keep_running(step)
        self._front = _serve_stream(self.place.front, self._handle_caller)

    def is_ready(self) -> bool:
        """Tell whether the node should get new connections.

        Returns:
            Whether it knows a configuration and back ends, and stays.
        """
        known = self.view.deployment and self.view.engines_by_name
        return bool(known) and not self.leaving

    def drain(self) -> None:
        """Stop: finish what was accepted, take nothing new."""
        self.leaving = True
        end = (
            clock.read_monotonic()
            + self.place.bounds.grace
            - GRACE_MARGIN_SECONDS
        )
        _LOG.write('stops.', active=self._forwarder.active)
        # A store that does not answer must not hold the process up.
        gevent.spawn(self._unregister)
        for caller in self._callers:
            caller.closing = not caller.idle
        gevent.sleep(ACCEPT_SECONDS)
        self._front.close()
        while clock.read_monotonic() < end and self._callers:
            for caller in tuple(self._callers):
                caller.closing = not caller.idle
                caller.close_idle()
            gevent.sleep(CHECK_SECONDS)
        _LOG.write('has stopped.', active=self._forwarder.active)

    def reload(self) -> None:
        """Read the settings anew; what a running node can't change stays."""
        try:
            fresh = self._platform.read_place()
        except error.SettingError as fault:
            _LOG.write('settings are kept.', reason=str(fault))
            return
        changed = [
            field.name
            for field in dataclasses.fields(nodesetting.NodeSettings)
            if getattr(fresh, field.name) != getattr(self.place, field.name)
        ]
        _LOG.write('settings were read.', changed=changed)

    def _handle_caller(self, sock: object, address: tuple) -> None:
        if len(self._callers) > self.place.descriptors - RESERVED_DESCRIPTORS:
            _LOG.write('too many connections.', peer=address[0])
            sock.close()
            return
        caller = connection.CallerConnection(
            sock,
            f'{address[0]}:{address[1]}',
            self._serve,
            self._forwarder.read_limits,
            self._bodies,
        )
        self._callers.add(caller)
        try:
            caller.run()
        finally:
            self._callers.discard(caller)

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

    def _take(self, source: link.Link, content: frame.Message) -> None:
        if isinstance(content, slot.SlotRequest):
            self.broker.submit(source.owner, content)
        elif isinstance(content, slot.Report):
            self.broker.finish(source.owner, content)
        elif isinstance(content, frame.Attach):
            _LOG.write('a node asks here.', node=content.node)
            self.broker.adopt(source.owner, content.running, content.usage)
            self._update_share()

    def _lose(self, owner: str) -> None:
        _LOG.write('a node left.', owner=owner)
        self.broker.drop_owner(owner)
        self._update_share()

    def _reply(self, owner: str, content: slot.Grant | slot.Refusal) -> None:
        if owner == self._owner:
            self.slots.accept_reply(content)
        else:
            self._links.reply(owner, content)

    def _follow(self, kind: registry.Kind) -> None:
        if kind is registry.Kind.peers:
            self._update_share()
        elif kind is registry.Kind.engines:
            known = self.view.engines_by_name
            gone = set(self._channels.open_by_engine).difference(known)
            for name in gone:
                self._channels.forget(name)

    def _update_share(self) -> None:
        asking = len(self._links.link_by_owner) + (not self.slots.is_remote)
        peers = max(1, len(self.view.peers_by_name))
        share = min(1.0, max(1, asking) / peers)
        if share != self.broker.engines.share:
            self.broker.engines.share = share
            _LOG.write('share.', share=round(share, 3), peers=peers)

    def _run_ticks(self) -> None:
        while True:
            gevent.sleep(TICK_SECONDS)
            self.view.expire()
            self.broker.tick()

    def _run_sweeps(self) -> None:
        while True:
            gevent.sleep(SWEEP_SECONDS)
            self._channels.sweep()
            self._update_share()
            if self._leads():
                self._remove_dead()

    def _leads(self) -> bool:
        return (
            not self.slots.is_remote
            and self.broker.engines.share >= LEADING_SHARE
        )

    def _remove_dead(self) -> None:
        now = clock.read_monotonic()
        asking = {link.peer for link in self._links.link_by_owner.values()}
        asking.add(self.place.name)
        for name in tuple(self.view.peers_by_name):
            seen = self._seen_by_peer.setdefault(name, now)
            if name in asking:
                self._seen_by_peer[name] = now
            elif now - seen > DEAD_SECONDS:
                self._seen_by_peer[name] = now
                gevent.spawn(self._remove_peer, name)

    def _remove_peer(self, name: str) -> None:
        _LOG.write('removes a node.', node=name)
        try:
            self._platform.registry.remove_peer(name)
        except error.PlatformError as fault:
            _LOG.write('a node was not removed.', reason=str(fault))

    def _register(self) -> None:
        peer = deployment.Peer(
            self.place.name,
            self.place.zone,
            self.place.peers,
            self.place.cores,
        )
        while not self.leaving:
            held = self.view.peers_by_name.get(peer.name)
            listed = self.view.revision_by_kind[registry.Kind.peers]
            if held != peer and listed:
                self._try_register(peer)
            gevent.sleep(REPEAT_SECONDS)

    def _try_register(self, peer: deployment.Peer) -> None:
        try:
            self._platform.registry.put_peer(peer)
        except error.PlatformError as fault:
            _LOG.write('not registered.', reason=str(fault))

    def _unregister(self) -> None:
        try:
            self._platform.registry.remove_peer(self.place.name)
        except error.PlatformError as fault:
            _LOG.write('still registered.', reason=str(fault))

    def _run_rollouts(self) -> None:
        while True:
            gevent.sleep(ROLLOUT_SECONDS)
            if self._leads():
                for service in self.broker.rollouts.list_services():
                    self._decide_rollout(service)

    def _decide_rollout(self, service: str) -> None:
        decided = self.broker.decide_rollout(service)
        if decided is None:
            return
        progress, state = decided
        try:
            self._platform.registry.report_rollout(progress.order, state.value)
        except error.PlatformError as fault:
            _LOG.write(
                'a rollout was not reported.',
                service=service,
                state=state.value,
                reason=str(fault),
            )
            gevent.sleep(ROLLOUT_SECONDS)
            return
        _LOG.write('a rollout is reported.', service=service, state=state.value)


def _serve_stream(
    address: str, handle: collections.abc.Callable
) -> gevent_server.StreamServer:
    host, _, port = address.rpartition(':')
    server = gevent_server.StreamServer(
        (host, int(port)), handle, backlog=BACKLOG
    )
    server.start()
    return server


def _serve_http(address: str, app: collections.abc.Callable) -> None:
    host, _, port = address.rpartition(':')
    server = serving.make_server(
        host, int(port), app, SERVICE_CONNECTIONS, STALL_SECONDS
    )
    server.start()
