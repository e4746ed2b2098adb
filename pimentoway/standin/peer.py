"""A node's peers in tests: other nodes and the platform, in memory."""

from pimentoway.core import error
from pimentoway.nodes import message, relay
from pimentoway.objects import store
from pimentoway.ops import claim, permit
from pimentoway.standin import network


class FakeTransport:
    """Carries a node's gossip."""

    def __init__(self, host: network.Host) -> None:
        """Send from a machine.

        Args:
            host: The machine.
        """
        self._host = host

    def send(self, address: str, packet: bytes) -> None:
        """Send a packet.

        Args:
            address: Where to.
            packet: The packet.
        """
        self._host.pass_out()
        self._host.network.deliver(self._host.zone, address, packet)


class FakeCalls:
    """Makes a node's calls to other nodes."""

    def __init__(self, host: network.Host) -> None:
        """Call from a machine.

        Args:
            host: The machine.
        """
        self._host = host

    def list_changes(
        self, address: str, query: message.ChangeQuery
    ) -> message.ChangeReply:
        """Ask for changes, see ``RpcClient.list_changes``.

        Args:
            address: Where to.
            query: The query.

        Returns:
            The reply.
        """
        return self._find(address).list_changes(query)

    def sync(self, address: str, query: message.SyncQuery) -> message.SyncReply:
        """Exchange knowledge, see ``RpcClient.sync``.

        Args:
            address: Where to.
            query: The query.

        Returns:
            The reply.
        """
        return self._find(address).sync(query)

    def lend(
        self, address: str, ask: permit.PermitRequest
    ) -> message.SlotReply:
        """Ask for a slot, see ``RpcClient.lend``.

        Args:
            address: Where to.
            ask: The ask.

        Returns:
            The verdict.
        """
        return self._find(address).lend(ask)

    def take_back(
        self, address: str, ask: permit.PermitRequest
    ) -> message.SlotReply:
        """Give a slot back, see ``RpcClient.take_back``.

        Args:
            address: Where to.
            ask: The permit.

        Returns:
            The verdict.
        """
        return self._find(address).take_back(ask)

    def append_entry(
        self, address: str, entry: claim.Entry
    ) -> message.AppendReply:
        """Let a node append an entry, see ``RpcClient.append_entry``.

        Args:
            address: Where to.
            entry: The entry.

        Returns:
            The reply.
        """
        reply = self._find(address).append_entry(entry)
        self._find(address)
        return reply

    def _find(self, address: str) -> relay.Relay:
        try:
            self._host.pass_to(address)
        except error.ConnectError as fault:
            raise error.NodeError('cut off', 'call', address) from fault
        found = self._host.network.relay_by_address.get(address)
        if found is None:
            raise error.NodeError('no answer', 'call', address)
        return found


class FakeStore(store.Store):
    """The platform as one machine reaches it."""

    def __init__(self, host: network.Host, served: store.Store) -> None:
        """Call from a machine.

        Args:
            host: The machine.
            served: The platform's object service.
        """
        self._host = host
        self._served = served

    def read(self, kind: str, name: str) -> store.Object:
        """Read an object, see ``Store.read``.

        Args:
            kind: The kind.
            name: The name.

        Returns:
            The object.
        """
        return self._reach().read(kind, name)

    def write(
        self, kind: str, name: str, body: str, version: int
    ) -> store.Object:
        """Write an object, see ``Store.write``.

        Args:
            kind: The kind.
            name: The name.
            body: The new text.
            version: The version that is replaced.

        Returns:
            The object as written.
        """
        written = self._reach().write(kind, name, body, version)
        self._host.pass_out()
        return written

    def remove(self, kind: str, name: str, version: int) -> None:
        """Remove an object, see ``Store.remove``.

        Args:
            kind: The kind.
            name: The name.
            version: The version that is removed.
        """
        self._reach().remove(kind, name, version)

    def list_objects(self, kind: str, prefix: str = '') -> store.Events:
        """List objects, see ``Store.list_objects``.

        Args:
            kind: The kind.
            prefix: What their names start with.

        Returns:
            The objects.
        """
        return self._reach().list_objects(kind, prefix)

    def watch(self, kind: str, revision: int, seconds: float) -> store.Events:
        """Wait for events, see ``Store.watch``.

        Args:
            kind: The kind.
            revision: The revision after which events are wanted.
            seconds: The longest wait.

        Returns:
            The events.
        """
        events = self._reach().watch(kind, revision, seconds)
        self._reach()
        return events

    def list_machines(self) -> tuple[store.Machine, ...]:
        """List the VMs, see ``Store.list_machines``.

        Returns:
            The VMs.
        """
        return self._reach().list_machines()

    def _reach(self) -> store.Store:
        self._host.pass_out()
        if self._host.network.is_cut(self._host.zone, network.PLATFORM):
            raise error.PlatformUnavailableError(
                'cut off', 'call', network.PLATFORM
            )
        return self._served
