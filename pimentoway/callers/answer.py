"""Answers to callers: whole, streamed, and the final ones besides success."""

import math

import falcon
import msgspec

from pimentoway.core import codec, error

#: Ends the retries that client libraries make by themselves.
NO_RETRY_HEADER = 'X-Should-Retry'


class Problem(msgspec.Struct):
    """What became of a request that was not answered.

    Attributes:
        type: ``not_run``, ``failed``, ``outcome_unknown`` or
            ``invalid_request``.
        code: The reason, for programs.
        message: The reason, for people.
        request_id: The identifier of the request.
        step: The step at which it ended.
        retry_after: Seconds after which coming back helps; 0 if it does not.
        param: Always empty; client libraries expect it.
    """

    type: str
    code: str
    message: str
    request_id: str = ''
    step: str = ''
    retry_after: float = 0
    param: str | None = None


class ProblemBody(msgspec.Struct):
    """The body of an answer besides success.

    Attributes:
        error: What became of the request.
    """

    error: Problem


def describe_problem(
    fault: error.PimentowayError, request_id: str
) -> ProblemBody:
    """Describe what became of a request.

    Args:
        fault: The error that ended it.
        request_id: The identifier of the request.

    Returns:
        The body for the caller.
    """
    return ProblemBody(
        Problem(
            type=classify_outcome(fault),
            code=fault.code,
            message=fault.reason,
            request_id=request_id,
            step=fault.step,
            retry_after=round(fault.retry_after, 1),
        ),
    )


def classify_outcome(fault: error.PimentowayError) -> str:
    """Classify the outcome of a request that was not answered.

    Args:
        fault: The error that ended it.

    Returns:
        The type of the outcome.
    """
    if isinstance(fault, error.RequestError):
        return 'invalid_request'
    if isinstance(fault, error.NotRunError):
        return 'not_run'
    if isinstance(fault, error.FailedError):
        return 'failed'
    return 'outcome_unknown'


def write_problem(
    resp: falcon.Response, fault: error.PimentowayError, request_id: str
) -> None:
    """Write the answer to a request that was not answered.

    Args:
        resp: The HTTP response.
        fault: The error that ended it.
        request_id: The identifier of the request.
    """
    resp.status = fault.status
    resp.content_type = falcon.MEDIA_JSON
    resp.data = codec.encode_json(describe_problem(fault, request_id))
    if fault.retry_after:
        resp.set_header('Retry-After', str(math.ceil(fault.retry_after)))
    if not isinstance(fault, error.NotRunError):
        resp.set_header(NO_RETRY_HEADER, 'false')


def encode_event(payload: bytes) -> bytes:
    """Encode a piece of a stream as a server-sent event.

    Args:
        payload: The data of the event.

    Returns:
        The bytes for the caller.
    """
    return b'data: %b\n\n' % payload


def encode_problem_event(
    fault: error.PimentowayError, request_id: str
) -> bytes:
    """Encode the end of a stream that is not whole.

    Args:
        fault: The error that ended it.
        request_id: The identifier of the request.

    Returns:
        The bytes for the caller.
    """
    body = codec.encode_json(describe_problem(fault, request_id))
    return b'event: error\n%b' % encode_event(body)
