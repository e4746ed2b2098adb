"""A caller's request while it is being served."""

import dataclasses

import xxhash

from pimentoway.callers import answer_writer
from pimentoway.core import call, deployment, eventstream

#: The tiers of routes within one tier of customers.
ROUTE_RANKS = 4


@dataclasses.dataclass(eq=False)
class Job:
    """A request that is being served.

    Attributes:
        request: The caller's request.
        route: Its route.
        service: The service that serves it.
        customer: The customer of its caller, if keys are in use.
        arrived: When it came.
        deadline: When it is given up.
        writer: Writes its answer.
        avoided: The back ends that should not get it again.
        repeats: The back ends at which it arrived.
        runs: The back ends that may have run it.
        failure: The answer of a back end that failed, to be passed on if no
            other back end does better.
        cutter: The events of its stream.
        waited: Seconds for which it waited for slots.
        first: Seconds until the first event or the answer.
        engine: The last back end.
        numbers: The numbers of its asks, which the broker's log lines carry.
    """

    request: call.CallerRequest
    route: deployment.Route
    service: str
    customer: deployment.Customer | None
    arrived: float
    deadline: float
    writer: answer_writer.AnswerWriter
    avoided: tuple[str, ...] = ()
    repeats: int = 0
    runs: int = 0
    failure: answer_writer.WholeAnswer | None = None
    cutter: eventstream.EventCutter = dataclasses.field(
        default_factory=eventstream.EventCutter,
    )
    waited: float = 0
    first: float = 0
    engine: str = ''
    numbers: tuple[int, ...] = ()

    def may_run_again(self) -> bool:
        """Tell whether the request may run at one more back end.

        Returns:
            Whether it may.
        """
        return self.route.idempotent and self.runs < self.route.attempts

    def find_rank(self) -> int:
        """Find the tier of the request.

        Returns:
            The rank; 0 is the highest.
        """
        if self.customer is None or self.customer.rank is None:
            return self.route.rank
        # The customer's tier goes first, and the route's decides within it.
        rank = min(self.route.rank, ROUTE_RANKS - 1)
        return self.customer.rank * ROUTE_RANKS + rank

    def measure_cost(self) -> float:
        """Work out what the request uses of its customer's quota.

        Returns:
            The units.
        """
        if self.customer is None:
            return 0
        prompt = self.request.prompt
        if prompt is None:
            return self.customer.measure_cost(None)
        tokens = prompt.prompt_tokens + prompt.output_tokens
        return self.customer.measure_cost(tokens)

    def make_fingerprint(self) -> int:
        """Make a number that the same request has when it comes again.

        Returns:
            The number.
        """
        digest = xxhash.xxh64(self.request.target)
        digest.update(self.request.key.encode())
        digest.update(self.request.body)
        return digest.intdigest()
