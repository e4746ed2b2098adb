"""What nodes ask each other by calls, and what they answer.

A node that learns of a newer configuration fetches it from the node that
runs it, so that the platform serves a few watches for each failure domain
however many nodes there are.
"""

import dataclasses
import typing

import gevent

from pimentoway.core import error, evidence, log
from pimentoway.nodes import member, message
from pimentoway.ops import (
    claim,
    claimlog,
    keeper,
    permit,
    prefix,
    scheduler,
)

_LOG = log.Log('relay')


class Calls(typing.Protocol):
    """Makes calls to other nodes; raises ``NodeError`` if one fails."""

    def list_changes(
        self, address: str, query: message.ChangeQuery
    ) -> message.ChangeReply:
        """Ask a node for changes of the configuration.

        Args:
            address: Where the node takes calls.
            query: What is asked for.

        Returns:
            The changes.
        """

    def sync(self, address: str, query: message.SyncQuery) -> message.SyncReply:
        """Exchange members and orders with a node.

        Args:
            address: Where the node takes calls.
            query: What this node knows.

        Returns:
            What the other node knows.
        """

    def lend(self, address: str, ask: permit.Ask) -> message.Verdict:
        """Ask a node for a slot of a back end.

        Args:
            address: Where the node takes calls.
            ask: What is asked for.

        Returns:
            Whether it is lent.
        """

    def take_back(self, address: str, ask: permit.Ask) -> message.Verdict:
        """Give a slot back to the node that lent it.

        Args:
            address: Where the node takes calls.
            ask: The permit.

        Returns:
            That it is taken back.
        """

    def append_entry(
        self, address: str, entry: claim.Entry
    ) -> message.AppendReply:
        """Let a node append an entry to the claim log.

        Args:
            address: Where the node takes calls.
            entry: The entry.

        Returns:
            What the log holds.
        """


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What a node knows and other nodes may ask for.

    Attributes:
        held: The configuration.
        members: The members.
        plan: The scheduler.
    """

    held: keeper.Keeper
    members: member.MemberTable
    plan: scheduler.Scheduler


class Relay:
    """Answers the calls of other nodes and makes calls to them.

    Attributes:
        claims: The claim log, once it is connected.
    """

    def __init__(self, known: Knowledge, calls: Calls) -> None:
        """Connect the parts.

        Args:
            known: What the node knows.
            calls: Makes calls to other nodes.
        """
        self._known = known
        self._calls = calls
        self.claims: claimlog.ClaimLog | None = None
        self._lender = permit.Lender(known.plan)
        self._notices_by_node: dict[str, evidence.Notice] = {}

    def list_changes(self, query: message.ChangeQuery) -> message.ChangeReply:
        """Answer a query for changes.

        Args:
            query: The query.

        Returns:
            The changes, or the whole configuration.
        """
        held = self._known.held
        if query.after >= held.current.version:
            return message.ChangeReply(None, ())
        changes = held.list_changes(query.after)
        if changes is None:
            return message.ChangeReply(held.current, ())
        return message.ChangeReply(None, changes)

    def sync(self, query: message.SyncQuery) -> message.SyncReply:
        """Answer a query for members and orders.

        Args:
            query: The query.

        Returns:
            What this node knows.
        """
        self._merge(query.members, query.orders)
        return message.SyncReply(
            self._known.members.list_known(),
            self._known.plan.place.list_orders(),
            self._known.held.current.version,
        )

    def lend(self, ask: permit.Ask) -> message.Verdict:
        """Answer an ask for a slot of a back end.

        Args:
            ask: What is asked for.

        Returns:
            Whether it is lent.
        """
        return message.Verdict(self._lender.lend(ask))

    def take_back(self, ask: permit.Ask) -> message.Verdict:
        """Take a slot back.

        Args:
            ask: The permit.

        Returns:
            That it is taken back.
        """
        self._lender.take_back(ask)
        return message.Verdict(granted=True)

    def append_entry(self, entry: claim.Entry) -> message.AppendReply:
        """Append an entry to the claim log for another node.

        Args:
            entry: The entry.

        Returns:
            What the log holds.
        """
        try:
            return message.AppendReply(self.claims.append_local(entry))
        except error.PlatformUnavailableError:
            return message.AppendReply(None)
        except error.PlatformError:
            return message.AppendReply(None, unsure=True)

    def choose_owner(self, number: int) -> str:
        """Choose the node that gathers the entries of a shard.

        Args:
            number: The number of the shard.

        Returns:
            The name of the node.
        """
        names = [other.name for other in self._known.members.list_live()]
        return prefix.rank_rendezvous(number, names)[0]

    def append(self, owner: str, entry: claim.Entry) -> claim.Entry:
        """Let another node append an entry to the claim log.

        Args:
            owner: The name of the node.
            entry: The entry.

        Returns:
            The entry that the log holds for the key afterwards.

        Raises:
            PlatformUnavailableError: If the owner can't reach the platform.
            PlatformAmbiguousError: If the entry may have been written.
        """
        reply = self._calls.append_entry(self._find_address(owner), entry)
        if reply.unsure:
            raise error.PlatformAmbiguousError('lost', 'append', owner)
        if reply.entry is None:
            raise error.PlatformUnavailableError('down', 'append', owner)
        return reply.entry

    def note_notice(self, notice: evidence.Notice) -> bool:
        """Take in which version another node runs.

        Args:
            notice: The notice.

        Returns:
            Whether the version is newer than this node's own.
        """
        known = self._notices_by_node.get(notice.node)
        if known and known.version >= notice.version:
            return False
        self._notices_by_node[notice.node] = notice
        if notice.version <= self._known.held.current.version:
            return False
        gevent.spawn(self.fetch_changes, notice.address)
        return True

    def list_versions(self) -> dict[str, int]:
        """List the versions that the live nodes run, as far as they told.

        Returns:
            The versions by the name of the node; 0 if it did not tell.
        """
        versions = {}
        for other in self._known.members.list_live():
            notice = self._notices_by_node.get(other.name)
            versions[other.name] = notice.version if notice else 0
        own = self._known.members.own.name
        versions[own] = self._known.held.current.version
        return versions

    def fetch_changes(self, address: str) -> None:
        """Fetch the configuration from another node.

        Args:
            address: Where the node takes calls.
        """
        query = message.ChangeQuery(self._known.held.current.version)
        try:
            reply = self._calls.list_changes(address, query)
        except error.NodeError as fault:
            _LOG.write(f'no changes from a node: {fault}.')
            return
        self._known.held.adopt(reply.snapshot, reply.changes)

    def sync_with(self, other: message.Member) -> None:
        """Exchange all that is known with another node.

        Args:
            other: The node.
        """
        query = message.SyncQuery(
            self._known.members.list_known(),
            self._known.plan.place.list_orders(),
        )
        try:
            reply = self._calls.sync(other.calls, query)
        except error.NodeError as fault:
            _LOG.write(f'no exchange with a node: {fault}.')
            return
        self._merge(reply.members, reply.orders)
        if reply.version > self._known.held.current.version:
            self.fetch_changes(other.calls)

    def ask_owner(self, owner: str, ask: permit.Ask) -> bool:
        """Ask the owner of a back end's ramp for a slot.

        Args:
            owner: The name of the node.
            ask: What is asked for.

        Returns:
            Whether it is lent.
        """
        return self._calls.lend(self._find_address(owner), ask).granted

    def give_back(self, owner: str, ask: permit.Ask) -> None:
        """Give a slot back to the owner of a back end's ramp.

        Args:
            owner: The name of the node.
            ask: The permit.
        """
        self._calls.take_back(self._find_address(owner), ask)

    def _find_address(self, name: str) -> str:
        known = self._known.members.by_name.get(name)
        if known is None:
            raise error.NodeError('the node is not known', 'find', name)
        return known.calls

    def _merge(
        self,
        members: tuple[message.Member, ...],
        orders: tuple[evidence.ZoneOrder, ...],
    ) -> None:
        for news in members:
            self._known.members.merge(news)
        for order in orders:
            self._known.plan.note_order(order)
