"""Tests of nodes that the store turns away, over real sockets."""

import collections
import dataclasses
import functools

import gevent
import msgspec
import pytest

from pimentoway.core import clock, error, nodesetting, registry
from pimentoway.nodes import frame, watchduty
from pimentoway.ops import registrywatcher
from pimentoway.platform import memory_store, soak_fixture, store, wire
from pimentoway.standin import port
from pimentoway.tools import edge

#: Seconds within which a configuration must be in force everywhere: 2 s, and
#: the 5 s by which an unstable store stretches that.
APPLY_SECONDS = 2
STRETCH_SECONDS = 5

#: Seconds until all nodes use the broker of the first one.
ATTACH_SECONDS = 5

#: Seconds of a watch after the start.
WATCH_SECONDS = registrywatcher.WATCH_SECONDS

#: Seconds for which the store holds a call before it refuses it.
HOLD_SECONDS = 2


class TurnedAwayRegistry(store.PlatformRegistry):
    """The store as a node reads it that may be turned away.

    Attributes:
        mode: How it is turned away: '' if it is served, else ``refused``,
            ``held`` before it is refused, or ``silent``.
    """

    def __init__(self, address: str) -> None:
        """Start as a node that is served.

        Args:
            address: The address of the store.
        """
        super().__init__(address)
        self.mode = ''
        self._calls: set[gevent.Greenlet] = set()

    def turn_away(self, mode: str) -> None:
        """Turn the node away, or serve it again.

        Args:
            mode: How; '' to serve it. Calls that wait are refused at once, or
                stay without an answer if the store is silent.
        """
        self.mode = mode
        refusal = error.PlatformUnavailableError('turned away', 'call')
        if mode in {'refused', 'held'}:
            for call in tuple(self._calls):
                gevent.kill(call, refusal)

    def list_records(self, kind: registry.Kind) -> registry.Listing:
        """List all records of a kind, if the node is served.

        Args:
            kind: The kind.

        Returns:
            The records.
        """
        return self._serve(0, super().list_records, kind)

    def watch_records(
        self, kind: registry.Kind, revision: int, seconds: float
    ) -> registry.Changes:
        """Wait for changes, if the node is served.

        Args:
            kind: The kind.
            revision: The last known revision.
            seconds: The longest wait.

        Returns:
            The changes.
        """
        return self._serve(
            seconds, super().watch_records, kind, revision, seconds
        )

    def check(self) -> None:
        """Ask for an answer, which comes if the node is served."""
        self._serve(0, super().check)

    def _serve(
        self, seconds: float, call: collections.abc.Callable, *options: object
    ) -> object:
        if self.mode:
            self._refuse(seconds)
        current = gevent.getcurrent()
        self._calls.add(current)
        try:
            answer = call(*options)
        finally:
            self._calls.discard(current)
        while self.mode:
            gevent.sleep(store.ANSWER_SECONDS)
        return answer

    def _refuse(self, seconds: float) -> None:
        if self.mode == 'silent':
            gevent.sleep(store.ANSWER_SECONDS + seconds)
        elif self.mode == 'held':
            gevent.sleep(min(HOLD_SECONDS, seconds))
        raise error.PlatformUnavailableError('turned away', 'call')


@dataclasses.dataclass(frozen=True)
class Member:
    """A node and its way to the store.

    Attributes:
        node: The node.
        registry: Its way to the store.
    """

    node: edge.EdgeNode
    registry: TurnedAwayRegistry

    @property
    def is_watching(self) -> bool:
        """Whether the node watches the store."""
        return self.node._watcher._should_watch_store()

    @property
    def version(self) -> int:
        """The version of the configuration in force at the node."""
        return self.node.view.version


def start_fleet(zones: str) -> tuple[memory_store.MemoryStore, list[Member]]:
    """Start a store and nodes, and wait until they use one broker.

    Args:
        zones: The failure domain of each node, one letter each.

    Returns:
        The store and the nodes.
    """
    platform_store = memory_store.MemoryStore()
    soak_fixture.put_configuration(platform_store, 1, 0)
    # Nodes watch the store at their start, until they know the others.
    registrywatcher.WATCH_SECONDS = ATTACH_SECONDS / 4
    members: list[Member] = []
    for number, zone in enumerate(zones):
        first = port.find_ports(4)
        addresses = [f'127.0.0.1:{first + offset}' for offset in range(4)]
        settings = nodesetting.NodeSettings(
            name=f'n{number}',
            zone=zone,
            ip='127.0.0.1',
            front=addresses[0],
            ready=addresses[1],
            peers=addresses[2],
            metrics=addresses[3],
            seeds=(members[0].node.settings.peers,) if members else (),
            store=platform_store.address,
            cores=1,
            memory_bytes=0,
            descriptors=1000,
            zones=tuple(sorted(set(zones))),
            bounds=nodesetting.Bounds(grace=4),
        )
        way = TurnedAwayRegistry(platform_store.address)
        platform = edge.Platform(
            way, wire.DIALECT, functools.partial(dataclasses.replace, settings)
        )
        members.append(Member(edge.EdgeNode(settings, platform), way))
        members[-1].node.start()
    gevent.sleep(ATTACH_SECONDS)
    registrywatcher.WATCH_SECONDS = WATCH_SECONDS
    gevent.sleep(ATTACH_SECONDS / 2)
    assert {member.version for member in members} == {1}
    return platform_store, members


# Guards against nodes that keep a dropped key because those that watch the
# store for them were turned away.
@pytest.mark.parametrize('mode', ['refused', 'held', 'silent'])
@pytest.mark.parametrize('zones', ['aaaaaa', 'aaaaaabbbbbb'])
def test_other_nodes_watch_the_store(zones: str, mode: str) -> None:
    """The nodes that the store serves have a change in time."""
    platform_store, members = start_fleet(zones)
    watching = [member for member in members if member.is_watching]
    others = [member for member in members if not member.is_watching]
    assert len(watching) == 2 * len(set(zones))
    for member in watching:
        member.registry.turn_away(mode)
    gevent.sleep(0.3)
    soak_fixture.put_configuration(platform_store, 2, 1)
    end = clock.read_monotonic() + APPLY_SECONDS + STRETCH_SECONDS
    while clock.read_monotonic() < end:
        gevent.sleep(0.05)
        if all(member.version == 2 for member in others):
            break
    assert {member.version for member in others} == {2}
    assert sum(member.is_watching for member in others) <= 3


def test_substitutes_stop() -> None:
    """The nodes that always watch are told apart from those that help."""
    _, members = start_fleet('aaaaaa')
    watching = [member for member in members if member.is_watching]
    for member in watching:
        member.registry.turn_away('refused')
    gevent.sleep(2)
    assert sum(member.is_watching for member in members) > len(watching)
    for served in watching:
        served.registry.turn_away('')
    gevent.sleep(2)
    assert [member for member in members if member.is_watching] == watching


class EarlierHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The message as the release 46333b2 has it."""

    revisions: list[int]
    version: int = 0


def test_both_releases_read_heartbeats() -> None:
    """The later release adds a field at the end."""
    later = frame.Heartbeat([1, 2], 3, frame.Contact.lost)
    encoded = msgspec.msgpack.encode(later)
    decoded = msgspec.msgpack.decode(encoded, type=EarlierHeartbeat)
    assert decoded == EarlierHeartbeat([1, 2], 3)
    earlier = msgspec.msgpack.encode(EarlierHeartbeat([1, 2], 3))
    read = msgspec.msgpack.decode(earlier, type=frame.Heartbeat)
    assert read == frame.Heartbeat([1, 2], 3, frame.Contact.unknown)


def test_check_asks_for_any_answer() -> None:
    """A call that may be answered with old data, which costs least."""
    platform_store = memory_store.MemoryStore()
    way = TurnedAwayRegistry(platform_store.address)
    way.check()
    assert platform_store.calls == 1
    way.turn_away('silent')
    started = clock.read_monotonic()
    with pytest.raises(error.PlatformUnavailableError):
        way.check()
    assert clock.read_monotonic() - started < watchduty.CHECK_SECONDS
