"""Streams of events, cut into whole events."""

import re

_END = re.compile(rb'\r?\n\r?\n')
_ID = re.compile(rb'(?m)^id:[ ]?([^\r\n]*)')


class EventCutter:
    """Cuts the body of a stream into whole events.

    Attributes:
        last_id: The identifier of the last whole event, or nothing.
        count: The whole events.
        rest: What came after the last whole event.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.last_id = b''
        self.count = 0
        self.rest = b''

    def feed(self, part: bytes) -> bytes:
        """Take in a part of the body.

        Args:
            part: The part.

        Returns:
            The whole events that it completes.
        """
        text = self.rest + part
        ends = [match.end() for match in _END.finditer(text)]
        if not ends:
            self.rest = text
            return b''
        self.rest = text[ends[-1] :]
        events = text[: ends[-1]]
        self.count += len(ends)
        ids = _ID.findall(events)
        if ids:
            self.last_id = ids[-1]
        return events
