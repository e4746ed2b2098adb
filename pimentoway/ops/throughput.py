"""What a pool gets done: its tokens a second and the length of answers."""

from pimentoway.core import clock, request

#: The part of a new answer in the moving average of lengths.
SMOOTHING = 0.05

#: The time over which the throughput of a pool is measured, in seconds.
RATE_SECONDS = 10


class Throughput:
    """The tokens a second that a pool answers, as a moving average."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._tokens: float = 0
        self._time = clock.read_monotonic()
        self._first: float = 0

    def record(self, tokens: int) -> None:
        """Count an answer.

        Args:
            tokens: Its tokens.
        """
        self._fade()
        if not self._first:
            self._first = clock.read_monotonic()
        self._tokens += tokens

    def estimate_wait(self, tokens: int) -> float:
        """Estimate how long waiting tokens take.

        Args:
            tokens: The tokens that wait.

        Returns:
            The seconds; 0 while too little is known.
        """
        self._fade()
        known = clock.read_monotonic() - self._first
        if not self._first or known < RATE_SECONDS or self._tokens < 1:
            return 0
        return tokens * RATE_SECONDS / self._tokens

    def _fade(self) -> None:
        now = clock.read_monotonic()
        part = (now - self._time) / RATE_SECONDS
        self._tokens *= max(0, 1 - part)
        self._time = now


class Lengths:
    """How long answers are against their bound, by service."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._ratio_by_service: dict[str, float] = {}

    def record(self, entry: request.Request, tokens: int) -> None:
        """Learn from an answer.

        Args:
            entry: The request.
            tokens: The tokens of its answer.
        """
        name = entry.service.name
        ratio = min(1, tokens / entry.output_tokens)
        known = self._ratio_by_service.get(name, 0)
        self._ratio_by_service[name] = known + (ratio - known) * SMOOTHING

    def estimate(self, entry: request.Request) -> float:
        """Estimate the length of an answer.

        Args:
            entry: The request.

        Returns:
            Its part of the bound, 0 while nothing is known.
        """
        return self._ratio_by_service.get(entry.service.name, 0)
