"""Log lines that a peer can cause as often as it wants."""

from pimentoway.core import clock, log

#: The most lines a second of one component that name no request.
LINES_PER_SECOND = 10


class LimitedLog:
    """Writes a bounded number of lines a second and counts the others."""

    def __init__(self, target: log.Log) -> None:
        """Start with nothing left out.

        Args:
            target: The log of the component.
        """
        self._target = target
        self._second = 0
        self._written = 0
        self._left_out = 0

    def write(self, text: str, **fields: object) -> None:
        """Write a line, unless there were too many in this second.

        Args:
            text: A short sentence.
            **fields: Further fields of the line; ``left_out`` is added, the
                number of lines before it that were not written.
        """
        second = int(clock.read_monotonic())
        if second != self._second:
            self._second = second
            self._written = 0
        if self._written >= LINES_PER_SECOND:
            self._left_out += 1
            return
        self._written += 1
        if self._left_out:
            fields['left_out'] = self._left_out
            self._left_out = 0
        self._target.write(text, **fields)
