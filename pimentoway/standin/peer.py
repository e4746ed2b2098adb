"""In-memory replacements of a node's connections to nodes and platform."""

from pimentoway.core import error
from pimentoway.nodes import message, relay
from pimentoway.objects import store
from pimentoway.ops import claim, permit
from pimentoway.standin import network


class FakeTransport:
    """Sends the gossip of a node over the simulated network."""

    def __init__(self, host: network.Host) -> None:
        """Send from a VM.

        Args:
            host: The VM of the sending node.
        """
        self._host = host

    def send(self, address: str, packet: bytes) -> None:
        """Send a packet; a lost one raises nothing.

        Args:
            address: The gossip address of the recipient.
            packet: The encoded packet.
        """
        self._host.wait_until_running()
        self._host.network.deliver(self._host.zone, address, packet)


class FakeCalls:
    """Makes the calls of a node to other nodes."""

    def __init__(self, host: network.Host) -> None:
        """Make calls from a VM.

        Args:
            host: The VM of the calling node.
        """
        self._host = host

    def list_changes(
        self, address: str, query: message.ChangeQuery
    ) -> message.ChangeReply:
        """Fetch configuration changes, see ``RpcClient.list_changes``.

        Args:
            address: The call address of the peer.
            query: The query.

        Returns:
            The reply of the peer.
        """
        return self._find_peer(address).list_changes(query)

    def sync(self, address: str, query: message.SyncQuery) -> message.SyncReply:
        """Exchange members and orders, see ``RpcClient.sync``.

        Args:
            address: The call address of the peer.
            query: The query.

        Returns:
            The reply of the peer.
        """
        return self._find_peer(address).sync(query)

    def lend(
        self, address: str, slot_request: permit.PermitRequest
    ) -> message.SlotReply:
        """Request a slot, see ``RpcClient.lend``.

        Args:
            address: The call address of the peer.
            slot_request: The permit request.

        Returns:
            The reply of the peer.
        """
        return self._find_peer(address).lend(slot_request)

    def take_back(
        self, address: str, slot_request: permit.PermitRequest
    ) -> message.SlotReply:
        """Return a slot, see ``RpcClient.take_back``.

        Args:
            address: The call address of the peer.
            slot_request: The request of the permit that is returned.

        Returns:
            The reply of the peer.
        """
        return self._find_peer(address).take_back(slot_request)

    def append_entry(
        self, address: str, entry: claim.Entry
    ) -> message.AppendReply:
        """Append an entry to the claim log, see ``RpcClient.append_entry``.

        Args:
            address: The call address of the peer.
            entry: The entry.

        Returns:
            The reply of the peer.
        """
        reply = self._find_peer(address).append_entry(entry)
        self._find_peer(address)
        return reply

    def _find_peer(self, address: str) -> relay.Relay:
        try:
            self._host.simulate_transit(address)
        except error.ConnectError as fault:
            raise error.NodeError('cut off', 'call', address) from fault
        peer_relay = self._host.network.relay_by_address.get(address)
        if peer_relay is None:
            raise error.NodeError('no answer', 'call', address)
        return peer_relay


class FakeStore(store.Store):
    """The object store as seen from one VM, subject to partitions."""

    def __init__(self, host: network.Host, object_store: store.Store) -> None:
        """Make calls from a VM.

        Args:
            host: The VM of the calling node.
            object_store: The object store of the platform.
        """
        self._host = host
        self._store = object_store

    def read(self, kind: str, name: str) -> store.Object:
        """Read an object, see ``Store.read``.

        Args:
            kind: The kind of the object.
            name: Its name within the kind.

        Returns:
            The object; an empty one of version 0 if there is none.
        """
        return self._connect().read(kind, name)

    def write(
        self, kind: str, name: str, body: str, version: int
    ) -> store.Object:
        """Write an object, see ``Store.write``.

        Args:
            kind: The kind of the object.
            name: Its name within the kind.
            body: The new text.
            version: The expected current version; 0 to create the object.

        Returns:
            The object as written.
        """
        written = self._connect().write(kind, name, body, version)
        self._host.wait_until_running()
        return written

    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object, see ``Store.remove``.

        Args:
            kind: The kind of the object.
            name: Its name within the kind.
            version: The expected current version.
        """
        self._connect().remove(kind, name, version)

    def list_objects(self, kind: str, prefix: str = '') -> store.Events:
        """List objects, see ``Store.list_objects``.

        Args:
            kind: The kind of the objects.
            prefix: The prefix of their names; '' for all.

        Returns:
            The objects and the revision to watch from.
        """
        return self._connect().list_objects(kind, prefix)

    def watch(self, kind: str, revision: int, seconds: float) -> store.Events:
        """Wait for events, see ``Store.watch``.

        Args:
            kind: The kind of the objects.
            revision: Only later changes are returned.
            seconds: Maximum wait, in seconds.

        Returns:
            The changed objects and the current revision.
        """
        events = self._connect().watch(kind, revision, seconds)
        self._connect()
        return events

    def list_machines(self) -> tuple[store.Machine, ...]:
        """List the VMs, see ``Store.list_machines``.

        Returns:
            The VMs.
        """
        return self._connect().list_machines()

    def _connect(self) -> store.Store:
        self._host.wait_until_running()
        if self._host.network.is_cut(self._host.zone, network.PLATFORM):
            raise error.PlatformUnavailableError(
                'cut off', 'call', network.PLATFORM
            )
        return self._store
