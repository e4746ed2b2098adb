"""The calls between nodes: their handlers and the logic of the calling side.

A node that receives the notice of a newer configuration fetches it from the
node that runs it. So the platform serves only a few watches for each failure
domain, however many nodes there are.
"""

import dataclasses
import typing

import gevent

from pimentoway.core import error, evidence, log
from pimentoway.nodes import member, message
from pimentoway.ops import (
    claim,
    claimlog,
    configholder,
    permit,
    prefix,
    scheduler,
)

_LOG = log.Log('relay')


class RpcClient(typing.Protocol):
    """Calls other nodes.

    Each method raises ``NodeError`` if the call fails.
    """

    def list_changes(
        self, address: str, query: message.ChangeQuery
    ) -> message.ChangeReply:
        """Fetch the changes of the configuration from a node.

        Args:
            address: The node's address for RPC.
            query: The version that this node has.

        Returns:
            The later changes or a snapshot.
        """

    def sync(self, address: str, query: message.SyncQuery) -> message.SyncReply:
        """Exchange members and orders with a node.

        Args:
            address: The node's address for RPC.
            query: The members and orders of this node.

        Returns:
            Those of the other node, and its configuration version.
        """

    def lend(
        self, address: str, slot_request: permit.PermitRequest
    ) -> message.SlotReply:
        """Ask a node to lend a slot of a back end.

        Args:
            address: The node's address for RPC.
            slot_request: The back end, and the permit to be lent.

        Returns:
            Whether the slot is lent.
        """

    def take_back(
        self, address: str, slot_request: permit.PermitRequest
    ) -> message.SlotReply:
        """Return a slot to the node that lent it.

        Args:
            address: The node's address for RPC.
            slot_request: The back end and the permit.

        Returns:
            A confirmation without content.
        """

    def append_entry(
        self, address: str, entry: claim.Entry
    ) -> message.AppendReply:
        """Let a node append an entry to the claim log.

        Args:
            address: The node's address for RPC.
            entry: The entry.

        Returns:
            The entry that the log holds for the key, or how the write failed.
        """


@dataclasses.dataclass(frozen=True)
class NodeState:
    """The parts of a node whose state other nodes may query.

    Attributes:
        configuration_holder: Holds the configuration in force and its latest
            changes.
        members: The membership table.
        scheduler: The scheduler, with the operators' orders and the slots.
    """

    configuration_holder: configholder.ConfigurationHolder
    members: member.MemberTable
    scheduler: scheduler.Scheduler


class Relay:
    """Handles the calls of other nodes and calls them.

    Attributes:
        claim_log: The claim log; None until it is set during the start.
    """

    def __init__(self, state: NodeState, client: RpcClient) -> None:
        """Start without a claim log.

        Args:
            state: The parts of this node.
            client: Calls other nodes.
        """
        self._state = state
        self._client = client
        self.claim_log: claimlog.ClaimLog | None = None
        self._lender = permit.Lender(state.scheduler)
        self._notices_by_node: dict[str, evidence.VersionNotice] = {}

    def list_changes(self, query: message.ChangeQuery) -> message.ChangeReply:
        """Handle a query for changes of the configuration.

        Args:
            query: The version that the calling node has.

        Returns:
            The later changes, or the whole configuration if they are no
            longer kept.
        """
        holder = self._state.configuration_holder
        if query.after >= holder.current.version:
            return message.ChangeReply(None, ())
        changes = holder.list_changes(query.after)
        if changes is None:
            return message.ChangeReply(holder.current, ())
        return message.ChangeReply(None, changes)

    def sync(self, query: message.SyncQuery) -> message.SyncReply:
        """Merge the members and orders of another node.

        Args:
            query: The members and orders of the calling node.

        Returns:
            Those of this node after the merge, and its configuration version.
        """
        self._merge(query.members, query.orders)
        return message.SyncReply(
            self._state.members.list_all(),
            self._state.scheduler.routing.list_orders(),
            self._state.configuration_holder.current.version,
        )

    def lend(self, slot_request: permit.PermitRequest) -> message.SlotReply:
        """Lend a slot, waiting up to ``permit.LEND_WAIT_SECONDS``.

        Args:
            slot_request: The back end, and the permit to be lent.

        Returns:
            Whether the slot is lent.
        """
        return message.SlotReply(self._lender.lend(slot_request))

    def take_back(
        self, slot_request: permit.PermitRequest
    ) -> message.SlotReply:
        """Take back a slot that was lent.

        Args:
            slot_request: The back end and the permit.

        Returns:
            A confirmation without content.
        """
        self._lender.take_back(slot_request)
        return message.SlotReply(granted=True)

    def append_entry(self, entry: claim.Entry) -> message.AppendReply:
        """Append an entry to the claim log for another node.

        Args:
            entry: The entry.

        Returns:
            The entry that the log holds for the key, or how the write failed.
        """
        try:
            return message.AppendReply(self.claim_log.append_local(entry))
        except error.PlatformUnavailableError:
            return message.AppendReply(None)
        except error.PlatformError:
            return message.AppendReply(None, ambiguous=True)

    def choose_owner(self, number: int) -> str:
        """Choose the node to which all nodes send the entries of a shard.

        Collected at one node, the entries share updates of the platform. The
        choice affects only the number of updates: any node may write them.

        Args:
            number: The number of the claim log shard.

        Returns:
            The name of a live member, the same on all nodes with the same
            membership.
        """
        names = [other.name for other in self._state.members.list_live()]
        return prefix.rank_rendezvous(number, names)[0]

    def append(self, owner: str, entry: claim.Entry) -> claim.Entry:
        """Let another node append an entry to the claim log.

        A ``NodeError`` is raised if the call fails.

        Args:
            owner: The name of the node.
            entry: The entry.

        Returns:
            The entry that the log holds for the key afterwards.

        Raises:
            PlatformUnavailableError: If the owner can't reach the platform.
            PlatformAmbiguousError: If the entry may have been written.
        """
        reply = self._client.append_entry(self._find_address(owner), entry)
        if reply.ambiguous:
            raise error.PlatformAmbiguousError('lost', 'append', owner)
        if reply.entry is None:
            raise error.PlatformUnavailableError('down', 'append', owner)
        return reply.entry

    def handle_notice(self, notice: evidence.VersionNotice) -> bool:
        """Record the configuration version of a node, and fetch a newer one.

        Args:
            notice: The version and the address of the node.

        Returns:
            Whether the notice is new and its version newer than this node's.
        """
        latest = self._notices_by_node.get(notice.node)
        if latest and latest.version >= notice.version:
            return False
        self._notices_by_node[notice.node] = notice
        if notice.version <= self._state.configuration_holder.current.version:
            return False
        gevent.spawn(self.fetch_changes, notice.address)
        return True

    def list_versions(self) -> dict[str, int]:
        """List the configuration versions of the live nodes.

        Returns:
            The versions by the name of the node; 0 if it sent no notice yet.
        """
        versions = {}
        for other in self._state.members.list_live():
            notice = self._notices_by_node.get(other.name)
            versions[other.name] = notice.version if notice else 0
        own_name = self._state.members.own.name
        versions[own_name] = self._state.configuration_holder.current.version
        return versions

    def fetch_changes(self, address: str) -> None:
        """Fetch newer changes of the configuration and put them in force.

        Args:
            address: The other node's address for RPC.
        """
        query = message.ChangeQuery(
            self._state.configuration_holder.current.version
        )
        try:
            reply = self._client.list_changes(address, query)
        except error.NodeError as fault:
            _LOG.write(f'cannot fetch the configuration from a node: {fault}.')
            return
        self._state.configuration_holder.adopt(reply.snapshot, reply.changes)

    def sync_with(self, other: message.Member) -> None:
        """Exchange members and orders with another node.

        Fetches the configuration too if the other node has a newer one.

        Args:
            other: The node.
        """
        query = message.SyncQuery(
            self._state.members.list_all(),
            self._state.scheduler.routing.list_orders(),
        )
        try:
            reply = self._client.sync(other.rpc_address, query)
        except error.NodeError as fault:
            _LOG.write(f'cannot exchange members with a node: {fault}.')
            return
        self._merge(reply.members, reply.orders)
        if reply.version > self._state.configuration_holder.current.version:
            self.fetch_changes(other.rpc_address)

    def request_slot(
        self, owner: str, slot_request: permit.PermitRequest
    ) -> bool:
        """Ask the owner of a back end's ramp to lend a slot.

        Args:
            owner: The name of the node.
            slot_request: The back end, and the permit to be lent.

        Returns:
            Whether the slot is lent.
        """
        return self._client.lend(
            self._find_address(owner), slot_request
        ).granted

    def return_slot(
        self, owner: str, slot_request: permit.PermitRequest
    ) -> None:
        """Return a slot to the owner of a back end's ramp.

        Args:
            owner: The name of the node.
            slot_request: The back end and the permit.
        """
        self._client.take_back(self._find_address(owner), slot_request)

    def _find_address(self, name: str) -> str:
        found = self._state.members.by_name.get(name)
        if found is None:
            raise error.NodeError('the node is not known', 'find', name)
        return found.rpc_address

    def _merge(
        self,
        members: tuple[message.Member, ...],
        orders: tuple[evidence.ZoneOrder, ...],
    ) -> None:
        for update in members:
            self._state.members.merge(update)
        for order in orders:
            self._state.scheduler.apply_zone_order(order)
