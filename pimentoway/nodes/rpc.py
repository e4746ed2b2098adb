"""RPC between nodes by grpclib, for messages too large for gossip.

The asyncio event loop of grpclib runs in one greenlet, in the same thread as
all others. Messages are structs in MessagePack, so no code is generated.
"""

import asyncio
import collections
import functools
import typing

import gevent
from grpclib import client, const, exceptions, server
from grpclib.encoding import base

from pimentoway.core import codec, error, metric
from pimentoway.nodes import message
from pimentoway.ops import claim, permit

#: Seconds after which a call without a reply fails.
CALL_TIMEOUT_SECONDS = 2

_CHANGES_PATH = '/pimentoway.Node/Changes'
_SYNC_PATH = '/pimentoway.Node/Sync'
_LEND_PATH = '/pimentoway.Node/Lend'
_APPEND_PATH = '/pimentoway.Node/Append'
_TAKE_BACK_PATH = '/pimentoway.Node/TakeBack'


class CallHandler(typing.Protocol):
    """Handles the calls of other nodes."""

    def list_changes(self, query: message.ChangeQuery) -> message.ChangeReply:
        """List the changes of the configuration after a version.

        Args:
            query: The version that the calling node has.

        Returns:
            The later changes or a snapshot.
        """

    def sync(self, query: message.SyncQuery) -> message.SyncReply:
        """Exchange members and orders with the calling node.

        Args:
            query: The members and orders of the calling node.

        Returns:
            Those of this node, and its configuration version.
        """

    def lend(self, slot_request: permit.PermitRequest) -> message.SlotReply:
        """Lend a slot of a back end.

        Args:
            slot_request: The back end, and the permit to be lent.

        Returns:
            Whether the slot is lent.
        """

    def take_back(
        self, slot_request: permit.PermitRequest
    ) -> message.SlotReply:
        """Take back a slot that was lent.

        Args:
            slot_request: The back end and the permit.

        Returns:
            A confirmation without content.
        """

    def append_entry(self, entry: claim.Entry) -> message.AppendReply:
        """Append an entry to the claim log.

        Args:
            entry: The entry.

        Returns:
            The entry that the log holds for the key, or how the write failed.
        """


class MessagePackCodec(base.CodecBase):
    """Encodes messages as MessagePack."""

    __content_subtype__ = 'msgpack'

    def encode(self, record: object, message_type: type) -> bytes:
        """Encode a message and count its bytes.

        Args:
            record: The message.
            message_type: Ignored.

        Returns:
            The encoded message.
        """
        encoded = codec.encode_packed(record)
        metric.CONTROL_BYTES.labels('call', 'out').inc(len(encoded))
        return encoded

    def decode(self, encoded: bytes, message_type: type) -> object:
        """Decode a message and count its bytes.

        Args:
            encoded: The encoded message.
            message_type: The expected type.

        Returns:
            The message.
        """
        metric.CONTROL_BYTES.labels('call', 'in').inc(len(encoded))
        return codec.decode_packed(encoded, message_type)


class NodeService:
    """The gRPC service of a node."""

    def __init__(self, call_handler: CallHandler) -> None:
        """Dispatch calls to a handler.

        Args:
            call_handler: Handles the calls.
        """
        self._call_handler = call_handler

    def __mapping__(self) -> dict[str, const.Handler]:
        """List the methods in the form that grpclib expects.

        Returns:
            The grpclib handlers by path.
        """
        call_handler = self._call_handler
        return {
            _CHANGES_PATH: _make_handler(
                call_handler.list_changes,
                message.ChangeQuery,
                message.ChangeReply,
            ),
            _SYNC_PATH: _make_handler(
                call_handler.sync,
                message.SyncQuery,
                message.SyncReply,
            ),
            _LEND_PATH: _make_handler(
                call_handler.lend,
                permit.PermitRequest,
                message.SlotReply,
            ),
            _APPEND_PATH: _make_handler(
                call_handler.append_entry,
                claim.Entry,
                message.AppendReply,
            ),
            _TAKE_BACK_PATH: _make_handler(
                call_handler.take_back,
                permit.PermitRequest,
                message.SlotReply,
            ),
        }


class RpcEndpoint:
    """Runs the asyncio event loop, the RPC server and calls to other nodes."""

    def __init__(self) -> None:
        """Start the event loop in its own greenlet."""
        self._loop = asyncio.new_event_loop()
        self._greenlet = gevent.spawn(self._loop.run_forever)
        self._server: server.Server | None = None

    def serve(self, host: str, port: int, call_handler: CallHandler) -> None:
        """Start to serve the calls of other nodes.

        Args:
            host: The IP number to listen on.
            port: The TCP port.
            call_handler: Handles the calls.
        """
        service = NodeService(call_handler)
        self._server = self._run(self._start(service, host, port))

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
        return self._call(address, _CHANGES_PATH, query, message.ChangeReply)

    def sync(self, address: str, query: message.SyncQuery) -> message.SyncReply:
        """Exchange members and orders with a node.

        Args:
            address: The node's address for RPC.
            query: The members and orders of this node.

        Returns:
            Those of the other node, and its configuration version.
        """
        return self._call(address, _SYNC_PATH, query, message.SyncReply)

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
        return self._call(address, _LEND_PATH, slot_request, message.SlotReply)

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
        return self._call(
            address, _TAKE_BACK_PATH, slot_request, message.SlotReply
        )

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
        return self._call(address, _APPEND_PATH, entry, message.AppendReply)

    def close(self) -> None:
        """Stop the server and the event loop."""
        if self._server:
            self._server.close()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._greenlet.join(timeout=CALL_TIMEOUT_SECONDS)

    def _call(
        self, address: str, path: str, query: object, reply_type: type
    ) -> object:
        try:
            return self._run(_call_once(address, path, query, reply_type))
        except (
            TimeoutError,
            OSError,
            exceptions.GRPCError,
            exceptions.ProtocolError,
            exceptions.StreamTerminatedError,
        ) as fault:
            raise error.NodeError(
                f'the call failed: {type(fault).__name__} {fault}',
                path,
                address,
            ) from fault

    def _run(self, coroutine: collections.abc.Coroutine) -> object:
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT_SECONDS * 2)

    async def _start(
        self, service: NodeService, host: str, port: int
    ) -> server.Server:
        grpc_server = server.Server([service], codec=MessagePackCodec())
        await grpc_server.start(host, port)
        return grpc_server


def _make_handler(
    handle: collections.abc.Callable, query_type: type, reply_type: type
) -> const.Handler:
    return const.Handler(
        functools.partial(_handle_call, handle),
        const.Cardinality.UNARY_UNARY,
        query_type,
        reply_type,
    )


async def _handle_call(
    handle: collections.abc.Callable, stream: server.Stream
) -> None:
    query = await stream.recv_message()
    # Handlers may block on gevent, which must not block the event loop, so
    # each runs in its own greenlet.
    reply_future = asyncio.get_running_loop().create_future()
    gevent.spawn(_handle_in_greenlet, handle, query, reply_future)
    await stream.send_message(await reply_future)


def _handle_in_greenlet(
    handle: collections.abc.Callable,
    query: object,
    reply_future: asyncio.Future,
) -> None:
    reply = handle(query)
    loop = reply_future.get_loop()
    loop.call_soon_threadsafe(_set_reply, reply_future, reply)


def _set_reply(reply_future: asyncio.Future, reply: object) -> None:
    if not reply_future.done():
        reply_future.set_result(reply)


async def _call_once(
    address: str, path: str, query: object, reply_type: type
) -> object:
    host, _, port = address.rpartition(':')
    channel = client.Channel(host, int(port), codec=MessagePackCodec())
    try:
        method = client.UnaryUnaryMethod(
            channel,
            path,
            type(query),
            reply_type,
        )
        return await method(query, timeout=CALL_TIMEOUT_SECONDS)
    finally:
        channel.close()
