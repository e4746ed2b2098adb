"""Connections to back ends that carry requests byte for byte.

A request is written to a connection once. Whatever else comes on a
connection (a second answer, a late one, bytes that are none) belongs to no
request, and the connection is not used again.
"""

import collections

from pimentoway.core import call, clock, connection, error, message

#: Seconds to connect to a back end; a lost opening packet comes again after
#: a second, which is too late for most requests.
CONNECT_SECONDS = 0.4

#: Seconds for which a connection stays idle if the back end does not say.
IDLE_SECONDS = 2.0

#: Seconds before the end of the announced time at which an idle connection
#: is no longer used, as a request may cross its closing.
IDLE_MARGIN_SECONDS = 0.7

#: The bytes read from a connection at once.
BLOCK_BYTES = 65_536

#: The answers of other requests that are passed over on one connection.
FOREIGN_ANSWERS = 3

#: The idle connections kept for a back end.
IDLE_CHANNELS = 12


class SilentError(error.CutError):
    """Nothing came from the back end for as long as was allowed."""


class Channel:
    """A connection to a back end.

    Attributes:
        engine: The name of the back end.
        address: Its IP number and port.
        reused: Whether it carried a request before.
        idle_since: When its last answer was whole.
        idle_seconds: Seconds for which it may stay idle.
    """

    def __init__(
        self, engine: str, address: str, dialect: call.Dialect
    ) -> None:
        """Connect.

        Args:
            engine: The name of the back end.
            address: Its IP number and port.
            dialect: Decodes what the back end says beside its answers.
        """
        self.engine = engine
        self.address = address
        self._dialect = dialect
        self.reused = False
        self.idle_since: float = 0
        self.idle_seconds = IDLE_SECONDS
        self._reader = message.AnswerReader()
        self._ended = False
        self._sock = connection.connect(address, CONNECT_SECONDS)

    def send(self, payload: bytes, deadline: float) -> None:
        """Send a request, unless an answer comes before it is sent.

        Args:
            payload: The head and the body of the request.
            deadline: The time until which it is tried.

        Raises:
            SilentError: If the back end does not read.
        """
        rest = memoryview(payload)
        rest = rest[self._send_some(rest) :]
        while rest and not connection.is_readable(self._sock):
            left = deadline - clock.read_monotonic()
            if not connection.wait_for_room(self._sock, left):
                raise SilentError(
                    'the back end does not read',
                    'send',
                    self.address,
                )
            rest = rest[self._send_some(rest) :]
        if rest:
            # The rest of the body would be taken for another request.
            self._reader.broken = True

    def read_head(
        self, request_id: str, deadline: float
    ) -> tuple[message.Answer, call.AnswerNotes]:
        """Read the head of the answer to a request.

        Args:
            request_id: The identifier of the request.
            deadline: The time until which it is waited for.

        Returns:
            The answer and what the back end says beside it. Answers to other
            requests that came first are passed over.

        Raises:
            CutError: If the connection broke.
        """
        for _ in range(FOREIGN_ANSWERS):
            answer = self._wait_for_head(deadline)
            notes = self._dialect.read_notes(answer)
            if notes.request_id in {'', request_id}:
                return answer, notes
            while not answer.whole:
                self._receive(deadline)
            self._reader.answers.popleft()
            self._reader.broken = True
        raise error.CutError('only foreign answers', 'read', self.address)

    def read_part(self, answer: message.Answer, deadline: float) -> bytes:
        """Read the next part of an answer's body.

        Args:
            answer: The answer.
            deadline: The time until which it is waited for.

        Returns:
            The part; nothing at the end of a whole answer.
        """
        while not answer.parts and not answer.whole:
            self._receive(deadline)
        if answer.parts:
            joined = b''.join(answer.parts)
            answer.parts.clear()
            return joined
        return b''

    def is_quiet(self) -> bool:
        """Tell whether nothing came while the connection was idle.

        Returns:
            Whether it may carry a request.
        """
        return not connection.is_readable(self._sock)

    def finish(self, answer: message.Answer) -> bool:
        """Make the connection ready for the next request, if it may be used.

        Args:
            answer: The answer, whole.

        Returns:
            Whether the connection may be used again.
        """
        clean = answer.whole and answer.keep_alive and not self._reader.broken
        if not clean or len(self._reader.answers) != 1:
            return False
        self._reader = message.AnswerReader()
        self.reused = True
        self.idle_since = clock.read_monotonic()
        return True

    def close(self) -> None:
        """Close the connection, which makes the back end stop its work."""
        self._sock.close()

    def _send_some(self, rest: memoryview) -> int:
        try:
            return self._sock.send(rest)
        except OSError as fault:
            raise self._describe(fault) from fault

    def _wait_for_head(self, deadline: float) -> message.Answer:
        answers = self._reader.answers
        while not answers or not answers[0].headed:
            self._receive(deadline)
        return answers[0]

    def _receive(self, deadline: float) -> None:
        if self._ended:
            raise error.CutError(
                'the connection was closed', 'read', self.address
            )
        left = deadline - clock.read_monotonic()
        if left <= 0:
            raise SilentError('no answer in time', 'read', self.address)
        self._sock.settimeout(left)
        try:
            block = self._sock.recv(BLOCK_BYTES)
        except TimeoutError as fault:
            raise SilentError(
                'no answer in time', 'read', self.address
            ) from fault
        except OSError as fault:
            raise self._describe(fault) from fault
        if block:
            self._reader.feed(block)
            return
        self._ended = True
        self._reader.end()
        if not self._is_whole():
            raise error.CutError(
                'the connection was closed', 'read', self.address
            )

    def _is_whole(self) -> bool:
        answers = self._reader.answers
        return bool(answers) and answers[-1].whole

    def _describe(self, fault: OSError) -> error.CutError:
        return error.CutError(f'it broke: {fault}', 'exchange', self.address)


class ChannelPool:
    """The connections to all back ends.

    Attributes:
        opened: The connections opened so far.
        open_by_engine: The open connections of each back end.
    """

    def __init__(self, dialect: call.Dialect) -> None:
        """Start with none.

        Args:
            dialect: Decodes what back ends say beside their answers.
        """
        self._dialect = dialect
        self.opened = 0
        self.open_by_engine: collections.Counter[str] = collections.Counter()
        self._idle_by_engine: dict[str, list[Channel]] = {}

    def take(self, engine: str, address: str, youngest: float) -> Channel:
        """Take an idle connection or open one.

        Args:
            engine: The name of the back end.
            address: Its IP number and port.
            youngest: Seconds for which a connection may have been idle.

        Returns:
            The connection.
        """
        idle = self._idle_by_engine.get(engine, [])
        now = clock.read_monotonic()
        while idle:
            channel = idle.pop()
            age = now - channel.idle_since
            usable = age < min(channel.idle_seconds, youngest)
            if usable and channel.address == address and channel.is_quiet():
                return channel
            self.drop(channel)
        channel = Channel(engine, address, self._dialect)
        self.opened += 1
        self.open_by_engine[engine] += 1
        return channel

    def give_back(
        self, channel: Channel, answer: message.Answer, notes: call.AnswerNotes
    ) -> None:
        """Keep a connection for the next request, or close it.

        Args:
            channel: The connection.
            answer: The answer that came on it.
            notes: What the back end said beside the answer.
        """
        idle = self._idle_by_engine.setdefault(channel.engine, [])
        if not channel.finish(answer) or len(idle) >= IDLE_CHANNELS:
            self.drop(channel)
            return
        if notes.idle_seconds is not None:
            channel.idle_seconds = notes.idle_seconds - IDLE_MARGIN_SECONDS
        idle.append(channel)

    def drop(self, channel: Channel) -> None:
        """Close a connection.

        Args:
            channel: The connection.
        """
        self.open_by_engine[channel.engine] -= 1
        channel.close()

    def forget(self, engine: str) -> None:
        """Close the idle connections of a back end that left.

        Args:
            engine: The name of the back end.
        """
        for channel in self._idle_by_engine.pop(engine, ()):
            self.drop(channel)
        if not self.open_by_engine[engine]:
            self.open_by_engine.pop(engine)

    def sweep(self) -> None:
        """Close the connections that were idle for too long."""
        now = clock.read_monotonic()
        for idle in self._idle_by_engine.values():
            old = [
                channel
                for channel in idle
                if now - channel.idle_since >= channel.idle_seconds
            ]
            for channel in old:
                idle.remove(channel)
                self.drop(channel)
