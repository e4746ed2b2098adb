"""Calls between nodes by grpclib: what is too large for gossip.

The library's event loop runs in one greenlet beside all others, in the same
thread. Messages are structs in MessagePack, so no code is generated.
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

#: Seconds in which a call has to be answered.
CALL_SECONDS = 2

_CHANGES_PATH = '/pimentoway.Node/Changes'
_SYNC_PATH = '/pimentoway.Node/Sync'
_LEND_PATH = '/pimentoway.Node/Lend'
_APPEND_PATH = '/pimentoway.Node/Append'
_TAKE_BACK_PATH = '/pimentoway.Node/TakeBack'


class Answers(typing.Protocol):
    """What a node answers to calls."""

    def list_changes(self, query: message.ChangeQuery) -> message.ChangeReply:
        """List changes of the configuration.

        Args:
            query: What is asked for.

        Returns:
            The changes.
        """

    def sync(self, query: message.SyncQuery) -> message.SyncReply:
        """Exchange members and orders.

        Args:
            query: What the caller knows.

        Returns:
            What this node knows.
        """

    def lend(self, ask: permit.Ask) -> message.Verdict:
        """Lend a slot of a back end.

        Args:
            ask: What is asked for.

        Returns:
            Whether it is lent.
        """

    def take_back(self, ask: permit.Ask) -> message.Verdict:
        """Take a slot back.

        Args:
            ask: The permit.

        Returns:
            That it is taken back.
        """

    def append_entry(self, entry: claim.Entry) -> message.AppendReply:
        """Append an entry to the claim log.

        Args:
            entry: The entry.

        Returns:
            What the log holds.
        """


class PackedCodec(base.CodecBase):
    """Encodes messages as MessagePack."""

    __content_subtype__ = 'msgpack'

    def encode(self, record: object, message_type: type) -> bytes:
        """Encode a message.

        Args:
            record: The message.
            message_type: Its type.

        Returns:
            The bytes.
        """
        packed = codec.encode_packed(record)
        metric.CONTROL_BYTES.labels('call', 'out').inc(len(packed))
        return packed

    def decode(self, packed: bytes, message_type: type) -> object:
        """Decode a message.

        Args:
            packed: The bytes.
            message_type: The type that is expected.

        Returns:
            The message.
        """
        metric.CONTROL_BYTES.labels('call', 'in').inc(len(packed))
        return codec.decode_packed(packed, message_type)


class NodeService:
    """Answers the calls of other nodes."""

    def __init__(self, answers: Answers) -> None:
        """Serve a node.

        Args:
            answers: What the node answers.
        """
        self._answers = answers

    def __mapping__(self) -> dict[str, const.Handler]:
        """List the methods, as the library expects.

        Returns:
            The handlers by path.
        """
        answers = self._answers
        return {
            _CHANGES_PATH: _make_handler(
                answers.list_changes,
                message.ChangeQuery,
                message.ChangeReply,
            ),
            _SYNC_PATH: _make_handler(
                answers.sync,
                message.SyncQuery,
                message.SyncReply,
            ),
            _LEND_PATH: _make_handler(
                answers.lend,
                permit.Ask,
                message.Verdict,
            ),
            _APPEND_PATH: _make_handler(
                answers.append_entry,
                claim.Entry,
                message.AppendReply,
            ),
            _TAKE_BACK_PATH: _make_handler(
                answers.take_back,
                permit.Ask,
                message.Verdict,
            ),
        }


class CallBridge:
    """Runs the library's event loop, and calls other nodes."""

    def __init__(self) -> None:
        """Start the event loop in a greenlet of its own."""
        self._loop = asyncio.new_event_loop()
        self._greenlet = gevent.spawn(self._loop.run_forever)
        self._server: server.Server | None = None

    def serve(self, host: str, port: int, answers: Answers) -> None:
        """Answer the calls of other nodes.

        Args:
            host: The IP number to listen at.
            port: The port.
            answers: What the node answers.
        """
        service = NodeService(answers)
        self._server = self._run(self._start(service, host, port))

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
        return self._call(address, _CHANGES_PATH, query, message.ChangeReply)

    def sync(self, address: str, query: message.SyncQuery) -> message.SyncReply:
        """Exchange members and orders with a node.

        Args:
            address: Where the node takes calls.
            query: What this node knows.

        Returns:
            What the other node knows.
        """
        return self._call(address, _SYNC_PATH, query, message.SyncReply)

    def lend(self, address: str, ask: permit.Ask) -> message.Verdict:
        """Ask a node for a slot of a back end.

        Args:
            address: Where the node takes calls.
            ask: What is asked for.

        Returns:
            Whether it is lent.
        """
        return self._call(address, _LEND_PATH, ask, message.Verdict)

    def take_back(self, address: str, ask: permit.Ask) -> message.Verdict:
        """Give a slot back to the node that lent it.

        Args:
            address: Where the node takes calls.
            ask: The permit.

        Returns:
            That it is taken back.
        """
        return self._call(address, _TAKE_BACK_PATH, ask, message.Verdict)

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
        return self._call(address, _APPEND_PATH, entry, message.AppendReply)

    def close(self) -> None:
        """Stop answering and stop the event loop."""
        if self._server:
            self._server.close()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._greenlet.join(timeout=CALL_SECONDS)

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

    def _run(self, work: collections.abc.Coroutine) -> object:
        running = asyncio.run_coroutine_threadsafe(work, self._loop)
        return running.result(CALL_SECONDS * 2)

    async def _start(
        self, service: NodeService, host: str, port: int
    ) -> server.Server:
        listening = server.Server([service], codec=PackedCodec())
        await listening.start(host, port)
        return listening


def _make_handler(
    answer: collections.abc.Callable, query_type: type, reply_type: type
) -> const.Handler:
    return const.Handler(
        functools.partial(_answer_call, answer),
        const.Cardinality.UNARY_UNARY,
        query_type,
        reply_type,
    )


async def _answer_call(
    answer: collections.abc.Callable, stream: server.Stream
) -> None:
    query = await stream.recv_message()
    # Answers may wait on gevent, which must not hold up the event loop.
    running = asyncio.get_running_loop().create_future()
    gevent.spawn(_answer_apart, answer, query, running)
    await stream.send_message(await running)


def _answer_apart(
    answer: collections.abc.Callable, query: object, running: asyncio.Future
) -> None:
    reply = answer(query)
    loop = running.get_loop()
    loop.call_soon_threadsafe(_set_reply, running, reply)


def _set_reply(running: asyncio.Future, reply: object) -> None:
    if not running.done():
        running.set_result(reply)


async def _call_once(
    address: str, path: str, query: object, reply_type: type
) -> object:
    host, _, port = address.rpartition(':')
    channel = client.Channel(host, int(port), codec=PackedCodec())
    try:
        method = client.UnaryUnaryMethod(
            channel,
            path,
            type(query),
            reply_type,
        )
        return await method(query, timeout=CALL_SECONDS)
    finally:
        channel.close()
