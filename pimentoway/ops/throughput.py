"""The throughput of a pool in tokens a second, and the length of answers."""

from pimentoway.core import clock, request

#: The weight of a new answer in the moving average of lengths.
SMOOTHING = 0.05

#: The time over which the throughput of a pool is averaged, in seconds.
RATE_SECONDS = 10


class Throughput:
    """The tokens a second that a slot of a pool serves, as a moving average.

    It is measured for each slot: under light load a pool serves what is asked
    of it, which may be far less than what all its slots can serve.
    """

    def __init__(self) -> None:
        """Start without any answer."""
        self._tokens: float = 0
        self._slot_seconds: float = 0
        self._decayed_at = clock.read_monotonic()
        self._first_answer_at: float = 0

    def record(self, tokens: int, seconds: float) -> None:
        """Record an answer.

        Args:
            tokens: The tokens of its prompt and of the answer.
            seconds: How long it had its slot.
        """
        self._decay()
        if not self._first_answer_at:
            self._first_answer_at = clock.read_monotonic()
        self._tokens += tokens
        self._slot_seconds += seconds

    def estimate_wait(self, tokens: int, slots: int) -> float:
        """Estimate how long the pool takes to serve waiting tokens.

        Args:
            tokens: The tokens that wait.
            slots: The requests that the pool can run at once.

        Returns:
            The seconds; 0 while too little is known, which is in the first
            ``RATE_SECONDS`` after the first answer and when the pool is idle.
        """
        self._decay()
        observed = clock.read_monotonic() - self._first_answer_at
        if (
            not self._first_answer_at
            or observed < RATE_SECONDS
            or self._tokens < 1
        ):
            return 0
        return tokens * self._slot_seconds / self._tokens / max(1, slots)

    def _decay(self) -> None:
        now = clock.read_monotonic()
        kept = max(0, 1 - (now - self._decayed_at) / RATE_SECONDS)
        self._tokens *= kept
        self._slot_seconds *= kept
        self._decayed_at = now


class AnswerLengths:
    """The length of answers relative to the request's limit, by service."""

    def __init__(self) -> None:
        """Start without any answer."""
        self._ratio_by_service: dict[str, float] = {}

    def record(self, caller_request: request.Request, tokens: int) -> None:
        """Record the length of an answer.

        Args:
            caller_request: The request.
            tokens: The tokens of its answer.
        """
        name = caller_request.service.name
        ratio = min(1, tokens / caller_request.output_tokens)
        mean = self._ratio_by_service.get(name, 0)
        self._ratio_by_service[name] = mean + (ratio - mean) * SMOOTHING

    def estimate(self, caller_request: request.Request) -> float:
        """Estimate the length of an answer.

        Args:
            caller_request: The request.

        Returns:
            The length as a fraction of the request's limit, ``output_tokens``;
            0 while the service has given no answer.
        """
        return self._ratio_by_service.get(caller_request.service.name, 0)
