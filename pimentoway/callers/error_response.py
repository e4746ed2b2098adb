"""Error responses and server-sent events for callers."""

import math

import falcon
import msgspec

from pimentoway.core import codec, error

#: The header that stops client libraries from retrying by themselves. It is
#: sent unless the request was certainly not run.
NO_RETRY_HEADER = 'X-Should-Retry'


class Problem(msgspec.Struct):
    """Why a request got no successful response, as JSON for the caller.

    Attributes:
        type: ``not_run``, ``failed``, ``outcome_unknown`` or
            ``invalid_request``.
        code: A stable identifier of the reason, for programs.
        message: The reason, for people.
        request_id: The identifier of the request; empty if it got none.
        step: The processing step that failed, such as ``decode``.
        retry_after: Seconds after which a retry makes sense; 0 if it does not.
        param: Always ``None``; client libraries expect the field.
    """

    type: str
    code: str
    message: str
    request_id: str = ''
    step: str = ''
    retry_after: float = 0
    param: str | None = None


class ProblemBody(msgspec.Struct):
    """The body of an error response.

    Attributes:
        error: The description of the error.
    """

    error: Problem


def describe_problem(
    fault: error.PimentowayError, request_id: str
) -> ProblemBody:
    """Convert an error to the body of an error response.

    Args:
        fault: The error that ended the request.
        request_id: The identifier of the request; empty if it got none.

    Returns:
        The body, with the retry time rounded to tenths of a second.
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
    """Classify an error by whether the request was run.

    Args:
        fault: The error that ended the request.

    Returns:
        ``invalid_request``, ``not_run``, ``failed`` or, for all other errors,
        ``outcome_unknown``.
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
    """Turn an HTTP response into an error response.

    Args:
        resp: The HTTP response, whose status, body and headers are set.
        fault: The error that ended the request.
        request_id: The identifier of the request; empty if it got none.
    """
    resp.status = fault.status
    resp.content_type = falcon.MEDIA_JSON
    resp.data = codec.encode_json(describe_problem(fault, request_id))
    if fault.retry_after:
        resp.set_header('Retry-After', str(math.ceil(fault.retry_after)))
    if not isinstance(fault, error.NotRunError):
        resp.set_header(NO_RETRY_HEADER, 'false')


def encode_event(payload: bytes) -> bytes:
    """Encode a server-sent event.

    Args:
        payload: The data of the event, one line.

    Returns:
        The event with its terminating blank line.
    """
    return b'data: %b\n\n' % payload


def encode_problem_event(
    fault: error.PimentowayError, request_id: str
) -> bytes:
    """Encode the ``error`` event that ends an incomplete stream.

    Args:
        fault: The error that ended the stream.
        request_id: The identifier of the request.

    Returns:
        The event with its terminating blank line.
    """
    body = codec.encode_json(describe_problem(fault, request_id))
    return b'event: error\n%b' % encode_event(body)
