"""Gossip between nodes over UDP: probes of members, and what rides along.

Each node probes one member a second, whatever the number of members. News of
members and evidence ride on the probes; urgent evidence is sent to a few
members at once, which pass it on the first time that they hear it.
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

#: The part by which the time between probes varies.
PROBE_JITTER = 0.2

#: Seconds in which a probed member has to answer.
ACK_SECONDS = 0.3

#: The members that are asked to probe one that did not answer.
RELAYS = 3

#: The members to which urgent evidence is sent at once.
FANOUT = 4

#: The news of members in one packet.
MEMBERS_A_PACKET = 4

#: The pieces of evidence in one packet.
SIGNS_A_PACKET = 8

#: The factor of the logarithm of members for which news is repeated.
REPEATS = 3

#: The evidence that waits to ride along at the most.
KEPT_SIGNS = 200

_LOG = log.Log('gossip')


class Transport(typing.Protocol):
    """Carries packets to other nodes."""

    def send(self, address: str, packet: bytes) -> None:
        """Send a packet, which may be lost.

        Args:
            address: Where to.
            packet: The packet.
        """


@dataclasses.dataclass
class Rumour:
    """News that rides along on packets.

    Attributes:
        news: A member or a piece of evidence.
        left: How often it is still sent.
    """

    news: object
    left: int


class Gossiper:
    """The gossip of one node."""

    def __init__(
        self,
        table: member.MemberTable,
        transport: Transport,
        note_sign: collections.abc.Callable[[evidence.Evidence], bool],
        seeds: tuple[str, ...] = (),
    ) -> None:
        """Connect the parts.

        Args:
            table: The members.
            transport: Carries packets.
            note_sign: Takes evidence; tells whether it was new.
            seeds: Where some members take gossip.
        """
        self._table = table
        self._transport = transport
        self._note_sign = note_sign
        self._seeds = seeds
        self._sequence = itertools.count(1)
        self._acks_by_sequence: dict[int, gevent_event.Event] = {}
        self._member_rumours: dict[str, Rumour] = {}
        self._sign_rumours: collections.deque[Rumour] = collections.deque(
            maxlen=KEPT_SIGNS,
        )
        self._round: list[str] = []

    def run(self) -> None:
        """Probe members for ever."""
        while True:
            self.probe_next()
            jitter = random.uniform(-PROBE_JITTER, PROBE_JITTER)
            gevent.sleep(PROBE_SECONDS * (1 + jitter))

    def probe_next(self) -> None:
        """Probe the next member, and a seed while there is none."""
        for news in self._table.expire():
            self._carry_member(news)
        target = self._choose_target()
        if target:
            gevent.spawn(self._probe, target)
        for seed in self._list_missing_seeds():
            self._send(message.PacketKind.ping, seed, next(self._sequence))

    def add_seeds(self, seeds: tuple[str, ...]) -> None:
        """Add addresses at which members may be found.

        Args:
            seeds: The addresses.
        """
        self._seeds = tuple(sorted({*self._seeds, *seeds}))

    def announce(self, sign: evidence.Evidence) -> None:
        """Tell other nodes a piece of evidence, to a few of them at once.

        Args:
            sign: The evidence.
        """
        if not isinstance(sign, evidence.Pressure):
            # Pressure is repeated by its nodes for as long as it lasts.
            self._carry_sign(sign)
        self._spread(sign)

    def leave(self) -> None:
        """Tell other nodes that this one leaves."""
        news = self._table.leave()
        self._carry_member(news)
        for other in self._pick_others(FANOUT):
            self._send(message.PacketKind.spread, other.gossip, 0)

    def receive(self, encoded: bytes, address: str) -> None:
        """Take in a packet.

        Args:
            encoded: The packet.
            address: Where it came from.
        """
        metric.CONTROL_BYTES.labels('gossip', 'in').inc(len(encoded))
        try:
            packet = codec.decode_packed(encoded, message.Packet, address)
        except error.PimentowayError as fault:
            _LOG.write(f'a packet is not valid: {fault}.')
            return
        self._merge_members(packet)
        for sign in packet.signs:
            if self._note_sign(sign):
                self.announce(sign)
        self._answer(packet)

    def _answer(self, packet: message.Packet) -> None:
        if packet.kind is message.PacketKind.ping:
            self._send(
                message.PacketKind.ack,
                packet.target or packet.sender.gossip,
                packet.sequence,
            )
        elif packet.kind is message.PacketKind.relay:
            # The probed member answers the one that asked for the relay.
            self._send(
                message.PacketKind.ping,
                packet.target,
                packet.sequence,
                packet.sender.gossip,
            )
        elif packet.kind is message.PacketKind.ack:
            acked = self._acks_by_sequence.get(packet.sequence)
            if acked:
                acked.set()

    def _merge_members(self, packet: message.Packet) -> None:
        known = self._table.by_name.get(packet.sender.name)
        if known and known.standing > packet.sender.standing:
            # Tells the sender what is thought of it, so that it can refute.
            self._carry_member(known)
        for news in (packet.sender, *packet.members):
            if self._table.merge(news):
                mine = news.name == self._table.own.name
                self._carry_member(self._table.own if mine else news)

    def _probe(self, target: message.Member) -> None:
        sequence = next(self._sequence)
        acked = gevent_event.Event()
        self._acks_by_sequence[sequence] = acked
        try:
            self._send(message.PacketKind.ping, target.gossip, sequence)
            if acked.wait(ACK_SECONDS):
                return
            for other in self._pick_others(RELAYS):
                self._send(
                    message.PacketKind.relay,
                    other.gossip,
                    sequence,
                    target.gossip,
                )
            if acked.wait(PROBE_SECONDS - ACK_SECONDS):
                return
        finally:
            self._acks_by_sequence.pop(sequence)
        news = self._table.suspect(target.name)
        if news:
            self._carry_member(news)

    def _choose_target(self) -> message.Member | None:
        # Members are probed in rounds of random order, so that each one's
        # turn comes within a bounded time.
        live_by_name = {
            other.name: other for other in self._table.list_others()
        }
        if not live_by_name:
            return None
        while self._round:
            chosen = live_by_name.get(self._round.pop())
            if chosen:
                return chosen
        self._round = random.sample(list(live_by_name), len(live_by_name))
        return live_by_name[self._round.pop()]

    def _list_missing_seeds(self) -> list[str]:
        known = {other.gossip for other in self._table.list_live()}
        if len(known) > 1:
            # One missing seed a round is enough to heal a cut.
            missing = [seed for seed in self._seeds if seed not in known]
            return random.sample(missing, min(1, len(missing)))
        return [seed for seed in self._seeds if seed not in known]

    def _pick_others(self, count: int) -> list[message.Member]:
        others = self._table.list_others()
        return random.sample(others, min(count, len(others)))

    def _spread(self, sign: evidence.Evidence) -> None:
        for other in self._pick_others(FANOUT):
            packet = message.Packet(
                message.PacketKind.spread,
                0,
                self._table.own,
                '',
                [],
                [sign],
            )
            self._transmit(other.gossip, packet)

    def _carry_member(self, news: message.Member) -> None:
        rumour = Rumour(news, self._count_repeats())
        self._member_rumours[news.name] = rumour

    def _carry_sign(self, sign: evidence.Evidence) -> None:
        self._sign_rumours.append(Rumour(sign, self._count_repeats()))

    def _count_repeats(self) -> int:
        members = len(self._table.by_name) + 1
        return math.ceil(REPEATS * math.log2(members))

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
            self._table.own,
            target,
            self._take_members(),
            self._take_signs(),
        )
        self._transmit(address, packet)

    def _transmit(self, address: str, packet: message.Packet) -> None:
        encoded = codec.encode_packed(packet)
        metric.CONTROL_BYTES.labels('gossip', 'out').inc(len(encoded))
        self._transport.send(address, encoded)

    def _take_members(self) -> list[message.Member]:
        chosen = sorted(
            self._member_rumours.values(),
            key=_read_left,
            reverse=True,
        )[:MEMBERS_A_PACKET]
        for rumour in chosen:
            rumour.left -= 1
            if rumour.left <= 0:
                self._member_rumours.pop(rumour.news.name)
        return [taken.news for taken in chosen]

    def _take_signs(self) -> list[evidence.Evidence]:
        chosen = [
            self._sign_rumours.popleft()
            for _ in range(min(SIGNS_A_PACKET, len(self._sign_rumours)))
        ]
        for rumour in chosen:
            rumour.left -= 1
            if rumour.left > 0:
                self._sign_rumours.append(rumour)
        return [taken.news for taken in chosen]


def _read_left(rumour: Rumour) -> int:
    return rumour.left
