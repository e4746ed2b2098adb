"""Splitting of server-sent event streams into complete events."""

import re

from pimentoway.core import error

#: The largest event; events of model engines hold a few tokens.
MAX_EVENT_BYTES = 262_144

# A line ends with CR LF, LF or CR; the first alternative must not match the
# CR of a CR LF alone.
_EVENT_END = re.compile(rb'(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)')
_EVENT_LINE = re.compile(rb'(?:\A|[\r\n])[^:\r\n]')
_EVENT_ID = re.compile(rb'(?:\A|[\r\n])id:[ ]?([^\r\n]*)')


def has_event(events: bytes) -> bool:
    """Tell whether there is an event among comments.

    Args:
        events: Complete events and comments.

    Returns:
        Whether there is.
    """
    return bool(_EVENT_LINE.search(events))


def has_unnumbered_event(events: bytes) -> bool:
    """Tell whether an event has no identifier.

    Args:
        events: Complete events.

    Returns:
        Whether one has none; comments are no events.
    """
    return any(
        _EVENT_LINE.search(event) and not _EVENT_ID.search(event)
        for event in _EVENT_END.split(events)
    )


class EventSplitter:
    """Splits the body of a stream into complete events.

    Attributes:
        last_id: The latest event identifier; empty if none was received.
        count: The number of complete events.
        rest: The bytes after the last complete event.
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

    def is_within_event(self) -> bool:
        """Tell whether the bytes received so far end within an event.

        Line breaks and comments after the last event belong to no event.

        Returns:
            Whether they do.
        """
        return bool(_EVENT_LINE.search(self.rest))
