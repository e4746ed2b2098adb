"""A caller's request, decoded, and what a back end says beside its answer."""

import collections
import dataclasses

from pimentoway.core import deployment, message

#: The tokens of a prompt that are worth one token of an answer.
OUTPUT_WEIGHT = 10


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What a request says of its prompt.

    Attributes:
        prompt_tokens: The tokens of the prompt.
        output_tokens: The tokens of the answer at the most.
        hinted_tokens: The caller's estimate of the tokens of the answer; 0 if
            it gave none.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    hinted_tokens: int = 0

    def estimate_output(self) -> int:
        """Estimate the tokens of the answer.

        Returns:
            The tokens, 0 if nothing is known of them.
        """
        if not self.hinted_tokens:
            return self.output_tokens
        return min(self.hinted_tokens, self.output_tokens)

    def measure_size(self) -> float:
        """Measure the work that the request asks for.

        Returns:
            The work in tokens of a prompt.
        """
        return self.prompt_tokens + OUTPUT_WEIGHT * self.output_tokens


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A caller's request.

    Attributes:
        request_id: The identifier of this attempt of the caller.
        method: The HTTP method.
        target: The path with its query, as it was sent.
        host: The host without a port.
        path: The path without its query.
        key: The caller's key, or nothing.
        seconds: How long the caller waits; nothing if it did not say.
        prompt: What it says of its prompt; nothing if it did not say.
        headers: The headers that may be passed on.
        body: The body.
        keep_alive: Whether the connection may be used again.
        resumes: Whether it asks for the rest of a stream.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    key: str
    seconds: float | None
    prompt: Prompt | None
    headers: tuple[message.Header, ...]
    body: bytes
    keep_alive: bool
    resumes: bool


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """A request on its way to a back end.

    Attributes:
        request: The caller's request.
        engine: The back end that may run it.
        customer: The name of the customer, or nothing.
        seconds: How long the answer is waited for.
        after_event: The last event that the caller got, to continue a stream.
    """

    request: CallerRequest
    engine: deployment.Engine
    customer: str
    seconds: float
    after_event: bytes = b''


@dataclasses.dataclass(frozen=True)
class Load:
    """The load that a back end told with an answer.

    Attributes:
        running: The requests that run.
        waiting: The requests that wait at the back end.
        slots: The requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class AnswerNotes:
    """What a back end says beside its answer.

    Attributes:
        request_id: The request that it answers, or nothing.
        sealed: Whether the answer carries the back end's signature.
        not_run: Whether it says that the request was not run.
        load: Its load, if it told.
        idle_seconds: Seconds for which it keeps an idle connection, if told.
        cold_seconds: Seconds for which it stays cold, if told.
        encoded: Whether the body is not as the back end made it.
    """

    request_id: str
    sealed: bool
    not_run: bool
    load: Load | None
    idle_seconds: float | None
    cold_seconds: float | None
    encoded: bool


@dataclasses.dataclass(frozen=True)
class Dialect:
    """How requests and answers are written on the wire.

    Attributes:
        read_request: Decodes a caller's request.
        write_request: Encodes the head of a request for a back end.
        read_notes: Decodes what a back end says beside its answer.
        ready_path: The path at which the balancer asks for readiness.
    """

    read_request: collections.abc.Callable[[message.Request], CallerRequest]
    write_request: collections.abc.Callable[[Dispatch], bytes]
    read_notes: collections.abc.Callable[[message.Answer], AnswerNotes]
    ready_path: str
