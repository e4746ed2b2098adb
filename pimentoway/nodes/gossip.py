"""Gossip between nodes over UDP: SWIM probes and piggybacked updates.

Each node probes one member a second, whatever the number of members.
Membership updates and evidence are piggybacked on the probes. New evidence is
also sent to a few members at once, and each of them forwards it when it first
receives it.
"""

import collections
import dataclasses
import itertools
import math
import random
import typing

import gevent
from gevent import event as gevent_event

from pimentoway.core import codec, error, evidence, log, metric
from pimentoway.nodes import member, message

#: Seconds between two probes.
PROBE_SECONDS = 1

#: The fraction by which the time between probes varies either way.
PROBE_JITTER = 0.2

#: Seconds without an ack after which other members are asked to ping the
#: probed one.
ACK_SECONDS = 0.3

#: Members that are asked to ping one that did not answer.
HELPERS = 3

#: Members to which new evidence is sent at once.
FANOUT = 4

#: Largest number of membership updates in a packet.
MEMBERS_PER_PACKET = 4

#: Largest number of pieces of evidence in a packet.
EVIDENCE_PER_PACKET = 8

#: Each update is sent in this many times log2(members + 1) packets, rounded
#: up.
REPEAT_FACTOR = 3

#: Largest number of pieces of evidence in the queue; beyond it the oldest ones
#: are dropped.
MAX_QUEUED_EVIDENCE = 200

_LOG = log.Log('gossip')


class Transport(typing.Protocol):
    """Sends packets to other nodes."""

    def send(self, address: str, packet: bytes) -> None:
        """Send a packet, which may be lost.

        Args:
            address: The IP number and port of the receiver.
            packet: The packet.
        """


@dataclasses.dataclass
class QueuedUpdate:
    """An update that is piggybacked on the next packets.

    Attributes:
        update: A member or a piece of evidence.
        sends_left: How many more packets carry it.
    """

    update: object
    sends_left: int


class Gossiper:
    """Probes members, and spreads and receives updates for one node."""

    def __init__(
        self,
        members: member.MemberTable,
        transport: Transport,
        accept_evidence: collections.abc.Callable[[evidence.Evidence], bool],
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Start with nothing queued.

        Args:
            members: The membership table, updated from received packets.
            transport: Sends packets.
            accept_evidence: Called with received evidence; returns whether
                it was new and is to be forwarded.
            seeds: Gossip addresses of nodes that may be up.
        """
        self._members = members
        self._transport = transport
        self._accept_evidence = accept_evidence
        self._seeds = seeds
        self._sequence = itertools.count(1)
        self._acks_by_sequence: dict[int, gevent_event.Event] = {}
        self._queued_by_member: dict[str, QueuedUpdate] = {}
        self._queued_evidence: collections.deque[QueuedUpdate] = (
            collections.deque(
                maxlen=MAX_QUEUED_EVIDENCE,
            )
        )
        self._probe_order: list[str] = []

    def run(self) -> None:
        """Probe one member about every ``PROBE_SECONDS``, forever."""
        while True:
            self.probe_next()
            jitter = random.uniform(-PROBE_JITTER, PROBE_JITTER)
            gevent.sleep(PROBE_SECONDS * (1 + jitter))

    def probe_next(self) -> None:
        """Probe the next member, and ping seeds that are no live members.

        While this node knows no other live member, it pings all seeds;
        otherwise one of those that are missing.
        """
        for update in self._members.expire():
            self._queue_member(update)
        target = self._choose_target()
        if target:
            gevent.spawn(self._probe, target)
        for seed in self._list_missing_seeds():
            self._send(message.PacketKind.ping, seed, next(self._sequence))

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add seeds.

        Args:
            seeds: Gossip addresses of nodes that may be up.
        """
        self._seeds = tuple(sorted({*self._seeds, *seeds}))

    def announce(self, evidence_item: evidence.Evidence) -> None:
        """Spread a piece of evidence, to ``FANOUT`` members at once.

        Args:
            evidence_item: The evidence.
        """
        if not isinstance(evidence_item, evidence.QueuePressure):
            # A node announces its pressure anew while it lasts, so pressure
            # isn't repeated here.
            self._queue_evidence(evidence_item)
        self._push_evidence(evidence_item)

    def leave(self) -> None:
        """Announce that this node leaves, to ``FANOUT`` members at once."""
        update = self._members.leave()
        self._queue_member(update)
        for other in self._pick_others(FANOUT):
            self._send(message.PacketKind.push, other.gossip_address, 0)

    def receive(self, encoded: bytes, address: str) -> None:
        """Handle a packet; one that can't be decoded is dropped.

        Args:
            encoded: The packet.
            address: The address that it came from, for the log.
        """
        metric.CONTROL_BYTES.labels('gossip', 'in').inc(len(encoded))
        try:
            packet = codec.decode_packed(encoded, message.Packet, address)
        except error.PimentowayError as fault:
            _LOG.write(f'drops an invalid packet: {fault}.')
            return
        self._merge_members(packet)
        for evidence_item in packet.evidence_items:
            if self._accept_evidence(evidence_item):
                self.announce(evidence_item)
        self._respond(packet)

    def _respond(self, packet: message.Packet) -> None:
        if packet.kind is message.PacketKind.ping:
            self._send(
                message.PacketKind.ack,
                packet.target or packet.sender.gossip_address,
                packet.sequence,
            )
        elif packet.kind is message.PacketKind.ping_request:
            # The target sends its ack directly to the node that asked.
            self._send(
                message.PacketKind.ping,
                packet.target,
                packet.sequence,
                packet.sender.gossip_address,
            )
        elif packet.kind is message.PacketKind.ack:
            acked = self._acks_by_sequence.get(packet.sequence)
            if acked:
                acked.set()

    def _merge_members(self, packet: message.Packet) -> None:
        current = self._members.by_name.get(packet.sender.name)
        if current and current.state > packet.sender.state:
            # The sender gets its recorded state, so that it can refute it.
            self._queue_member(current)
        for update in (packet.sender, *packet.members):
            if self._members.merge(update):
                is_own = update.name == self._members.own.name
                self._queue_member(self._members.own if is_own else update)

    def _probe(self, target: message.Member) -> None:
        sequence = next(self._sequence)
        acked = gevent_event.Event()
        self._acks_by_sequence[sequence] = acked
        try:
            self._send(message.PacketKind.ping, target.gossip_address, sequence)
            if acked.wait(ACK_SECONDS):
                return
            for other in self._pick_others(HELPERS):
                self._send(
                    message.PacketKind.ping_request,
                    other.gossip_address,
                    sequence,
                    target.gossip_address,
                )
            if acked.wait(PROBE_SECONDS - ACK_SECONDS):
                return
        finally:
            self._acks_by_sequence.pop(sequence)
        update = self._members.suspect(target.name)
        if update:
            self._queue_member(update)

    def _choose_target(self) -> message.Member | None:
        # Members are probed in rounds, each in random order, so that the time
        # until any member is probed is bounded.
        live_by_name = {
            other.name: other for other in self._members.list_others()
        }
        if not live_by_name:
            return None
        while self._probe_order:
            chosen = live_by_name.get(self._probe_order.pop())
            if chosen:
                return chosen
        self._probe_order = random.sample(list(live_by_name), len(live_by_name))
        return live_by_name[self._probe_order.pop()]

    def _list_missing_seeds(self) -> list[str]:
        live_addresses = {
            other.gossip_address for other in self._members.list_live()
        }
        if len(live_addresses) > 1:
            # One missing seed per probe is enough to reconnect after a network
            # partition.
            missing = [
                seed for seed in self._seeds if seed not in live_addresses
            ]
            return random.sample(missing, min(1, len(missing)))
        return [seed for seed in self._seeds if seed not in live_addresses]

    def _pick_others(self, count: int) -> list[message.Member]:
        others = self._members.list_others()
        return random.sample(others, min(count, len(others)))

    def _push_evidence(self, evidence_item: evidence.Evidence) -> None:
        for other in self._pick_others(FANOUT):
            packet = message.Packet(
                message.PacketKind.push,
                0,
                self._members.own,
                '',
                [],
                [evidence_item],
            )
            self._transmit(other.gossip_address, packet)

    def _queue_member(self, update: message.Member) -> None:
        queued = QueuedUpdate(update, self._count_repeats())
        self._queued_by_member[update.name] = queued

    def _queue_evidence(self, evidence_item: evidence.Evidence) -> None:
        self._queued_evidence.append(
            QueuedUpdate(evidence_item, self._count_repeats())
        )

    def _count_repeats(self) -> int:
        count = len(self._members.by_name) + 1
        return math.ceil(REPEAT_FACTOR * math.log2(count))

    def _send(
        self,
        kind: message.PacketKind,
        address: str,
        sequence: int,
        target: str = '',
    ) -> None:
        packet = message.Packet(
            kind,
            sequence,
            self._members.own,
            target,
            self._dequeue_members(),
            self._dequeue_evidence(),
        )
        self._transmit(address, packet)

    def _transmit(self, address: str, packet: message.Packet) -> None:
        encoded = codec.encode_packed(packet)
        metric.CONTROL_BYTES.labels('gossip', 'out').inc(len(encoded))
        self._transport.send(address, encoded)

    def _dequeue_members(self) -> list[message.Member]:
        chosen = sorted(
            self._queued_by_member.values(),
            key=_read_sends_left,
            reverse=True,
        )[:MEMBERS_PER_PACKET]
        for queued in chosen:
            queued.sends_left -= 1
            if queued.sends_left <= 0:
                self._queued_by_member.pop(queued.update.name)
        return [carried.update for carried in chosen]

    def _dequeue_evidence(self) -> list[evidence.Evidence]:
        chosen = [
            self._queued_evidence.popleft()
            for _ in range(min(EVIDENCE_PER_PACKET, len(self._queued_evidence)))
        ]
        for queued in chosen:
            queued.sends_left -= 1
            if queued.sends_left > 0:
                self._queued_evidence.append(queued)
        return [carried.update for carried in chosen]


def _read_sends_left(queued: QueuedUpdate) -> int:
    return queued.sends_left
