"""Decoded caller requests and the metadata that back ends send with answers."""

import collections
import dataclasses

from pimentoway.core import deployment, message

#: The cost of an output token, in prompt tokens.
OUTPUT_TOKEN_WEIGHT = 10


@dataclasses.dataclass(frozen=True)
class TokenCounts:
    """The token counts that a caller states in its request's headers.

    Attributes:
        prompt_tokens: The length of the prompt.
        output_tokens: The upper bound of the answer's length.
        hinted_tokens: The caller's estimate of the answer's length; 0 if it
            gave none.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    hinted_tokens: int = 0

    def estimate_output(self) -> int:
        """Estimate the length of the answer.

        The upper bound is no estimate: callers state the same one for answers
        of any length.

        Returns:
            The caller's estimate, capped at the upper bound, in tokens; 0 if
            it gave none.
        """
        return min(self.hinted_tokens, self.output_tokens)

    def estimate_work(self) -> float:
        """Estimate the work that the request causes.

        Returns:
            The work in prompt tokens; output tokens count
            ``OUTPUT_TOKEN_WEIGHT`` times. 0 if the length of the answer is
            unknown.
        """
        estimated_tokens = self.estimate_output()
        if not estimated_tokens:
            return 0
        return self.prompt_tokens + OUTPUT_TOKEN_WEIGHT * estimated_tokens


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A caller's request, decoded from HTTP.

    Attributes:
        request_id: The caller's identifier of this attempt; '' if missing.
        method: The HTTP method.
        target: The path and query, as sent by the caller.
        host: The host without a port.
        path: The path without its query.
        key: The caller's API key; '' if missing.
        timeout_seconds: The caller's time limit; ``None`` if it states none.
        token_counts: The stated token counts; ``None`` if it states none.
        shared_parts: The digests of the parts of its prompt that it may share
            with others, in order.
        headers: The headers to forward to the back end.
        body: The body.
        keep_alive: Whether the connection may carry another request.
        resumes: Whether the request continues an interrupted stream.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    key: str
    timeout_seconds: float | None
    token_counts: TokenCounts | None
    headers: tuple[message.Header, ...]
    body: bytes
    keep_alive: bool
    resumes: bool
    shared_parts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """One attempt to run a request at a back end.

    Attributes:
        request: The caller's request.
        engine: The back end; any other must refuse the request.
        customer: The name of the customer; '' if the request has no key.
        timeout_seconds: The time limit sent to the back end.
        after_event: The identifier of the last event sent to the caller, to
            resume a stream after it; empty for a new request.
    """

    request: CallerRequest
    engine: deployment.Engine
    customer: str
    timeout_seconds: float
    after_event: bytes = b''


@dataclasses.dataclass(frozen=True)
class Load:
    """The load that a back end reports with an answer.

    Attributes:
        running: The number of running requests; -1 if it is not known.
        waiting: The number of requests queued at the back end.
        slots: The number of requests that it runs concurrently; 0 if it is not
            known.
        pace: How long work takes on its machine at this moment, relative to
            the usual time; 0 if the back end does not say.
    """

    running: int = -1
    waiting: int = 0
    slots: int = 0
    pace: float = 0


@dataclasses.dataclass(frozen=True)
class Notices:
    """What a back end announces of itself in an answer.

    Attributes:
        leaving: Whether it is shutting down and wants no new requests.
        pause_seconds: How long it wants no request from this node, after it
            turned one away; 0 if it states no time.
        unreadable: The values of notices that are ignored, or used within
            bounds only, shortened; '' if all were read.
        tolerated_rejections: How many requests a second it can turn away for
            want of room without failing; ``None`` if it states no limit.
    """

    leaving: bool = False
    pause_seconds: float = 0
    unreadable: str = ''
    tolerated_rejections: int | None = None


@dataclasses.dataclass(frozen=True)
class AnswerMetadata:
    """What the headers of an answer tell the node itself.

    Attributes:
        request_id: The identifier of the answered request; '' if missing.
        sealed: Whether the answer carries the back end's seal, which isn't
            verified.
        not_run: Whether the back end states that it did not run the request.
        load: The reported load; ``None`` if missing or unreadable.
        idle_seconds: How long the back end keeps idle connections open;
            ``None`` if unknown.
        cold_seconds: How long the back end remains cold; ``None`` if unknown.
        encoded: Whether the body has a content encoding, such as gzip.
        notices: What the back end announces of itself.
    """

    request_id: str
    sealed: bool
    not_run: bool
    load: Load | None
    idle_seconds: float | None
    cold_seconds: float | None
    encoded: bool
    notices: Notices = Notices()


@dataclasses.dataclass(frozen=True)
class Dialect:
    """The HTTP conventions of a platform, mainly its headers.

    Attributes:
        read_request: Decodes a caller's request.
        write_request: Encodes the head of a request for a back end.
        read_metadata: Decodes the metadata in the headers of an answer.
        ready_path: The path of the load balancer's readiness check.
        liveness_probe: A request that running back ends answer at once,
            whatever their load.
    """

    read_request: collections.abc.Callable[[message.Request], CallerRequest]
    write_request: collections.abc.Callable[[Dispatch], bytes]
    read_metadata: collections.abc.Callable[[message.Answer], AnswerMetadata]
    ready_path: str
    liveness_probe: bytes
