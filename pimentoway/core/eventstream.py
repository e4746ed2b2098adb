"""Splitting of server-sent event streams into complete events."""

import re

from pimentoway.core import error

#: The largest event; events of model engines hold a few tokens.
MAX_EVENT_BYTES = 262_144

_EVENT_END = re.compile(rb'\r?\n\r?\n')
_EVENT_ID = re.compile(rb'(?m)^id:[ ]?([^\r\n]*)')


class EventSplitter:
    """Splits the body of a stream into complete events.

    Attributes:
        last_id: The latest event identifier; empty if none was received.
        count: The number of complete events.
        rest: The bytes of the incomplete event at the end.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.last_id = b''
        self.count = 0
        self.rest = b''

    def feed(self, part: bytes) -> bytes:
        """Add a part of the body.

        Args:
            part: The bytes.

        Returns:
            The bytes of all events that are now complete, including their
            blank lines; empty if none is.

        Raises:
            ConnectionLostError: If an event exceeds ``MAX_EVENT_BYTES``.
        """
        text = self.rest + part
        ends = [match.end() for match in _EVENT_END.finditer(text)]
        if not ends:
            if len(text) > MAX_EVENT_BYTES:
                raise error.ConnectionLostError(
                    'an event of the stream is too large', 'read'
                )
            self.rest = text
            return b''
        self.rest = text[ends[-1] :]
        events = text[: ends[-1]]
        self.count += len(ends)
        ids = _EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1]
        return events
