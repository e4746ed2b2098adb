"""The state of a caller's request from its arrival to its response."""

import dataclasses

import xxhash

from pimentoway.callers import response_writer
from pimentoway.core import call, deployment, eventstream, message
from pimentoway.ops import slot


@dataclasses.dataclass(eq=False)
class RequestContext:
    """A request that is being served, with its progress.

    Points in time are on the runtime's monotonic clock.

    Attributes:
        request: The caller's request, decoded.
        route: The route that matches its host and path.
        service: The name of the service that runs it.
        customer: The customer of the API key; ``None`` on public routes and
            where the configuration has no customers.
        arrived: When its processing began.
        deadline: When the node gives up on it.
        writer: Writes the response to the caller.
        avoided: The back ends that must not be granted for it again.
        crashed_engines: Those of them that crashed while they ran it.
        sends: How often it was sent to a back end.
        possible_runs: The sends after which a back end may have run it.
        last_failure: The latest error response of a back end, which the caller
            gets if no other back end succeeds.
        framing: How the end of the latest answer is marked; ``None`` before
            an answer began.
        event_splitter: Splits the streamed response into events; it lives on
            when the stream is resumed at another back end.
        queue_seconds: The total time spent waiting for slots.
        first_event_seconds: The time from arrival to the first event or to a
            complete response; 0 before that.
        engine_name: The back end that it was last assigned to.
        slot_request_numbers: The numbers of its slot requests, which the log
            lines of the broker carry.
    """

    request: call.CallerRequest
    route: deployment.Route
    service: str
    customer: deployment.Customer | None
    arrived: float
    deadline: float
    writer: response_writer.ResponseWriter
    avoided: tuple[str, ...] = ()
    crashed_engines: tuple[str, ...] = ()
    sends: int = 0
    possible_runs: int = 0
    last_failure: response_writer.BufferedResponse | None = None
    framing: message.Framing | None = None
    event_splitter: eventstream.EventSplitter = dataclasses.field(
        default_factory=eventstream.EventSplitter,
    )
    queue_seconds: float = 0
    first_event_seconds: float = 0
    engine_name: str = ''
    slot_request_numbers: tuple[int, ...] = ()

    def may_retry(self) -> bool:
        """Tell whether the request may run at another back end.

        Returns:
            ``True`` if its route allows repeated execution and has an attempt
            left.
        """
        return (
            self.route.idempotent and self.possible_runs < self.route.attempts
        )

    def avoid(self, engine: str) -> None:
        """Let the request not be granted a back end again.

        Args:
            engine: The name of the back end.
        """
        if engine not in self.avoided:
            self.avoided = (*self.avoided, engine)

    def compute_rank(self) -> int:
        """Combine the priority ranks of the customer and the route.

        Returns:
            The rank; 0 is the highest priority.
        """
        if self.customer is None or self.customer.rank is None:
            return self.route.rank
        # The customer's rank takes precedence; the route's rank orders the
        # requests of customers of the same rank.
        rank = min(self.route.rank, slot.ROUTE_RANKS - 1)
        return self.customer.rank * slot.ROUTE_RANKS + rank

    def compute_quota_cost(self) -> float:
        """Compute what the request uses of its customer's quota.

        Returns:
            The cost in the unit of the quota, requests or tokens; 0 without a
            customer.
        """
        if self.customer is None:
            return 0
        token_counts = self.request.token_counts
        if token_counts is None:
            return self.customer.measure_cost(None)
        tokens = token_counts.prompt_tokens + token_counts.output_tokens
        return self.customer.measure_cost(tokens)

    def compute_fingerprint(self) -> int:
        """Hash the request's target, API key and body.

        Returns:
            A 64-bit hash, equal for each repetition of the same request.
        """
        digest = xxhash.xxh64(self.request.target)
        digest.update(self.request.key.encode())
        digest.update(self.request.body)
        return digest.intdigest()
