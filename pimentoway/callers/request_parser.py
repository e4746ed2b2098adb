"""Authenticates, decodes and validates callers' HTTP requests."""

import dataclasses
import math
import uuid

import falcon
import msgspec

from pimentoway.core import (
    clock,
    codec,
    configuration,
    error,
    index,
    request,
)

#: The limit on output tokens when the caller sets none.
DEFAULT_OUTPUT_TOKENS = 256

#: The highest limit on output tokens that a caller may set.
MAX_OUTPUT_TOKENS = 100_000

#: The header in which a caller sets a shorter timeout, in seconds.
TIMEOUT_HEADER = 'X-Timeout-Seconds'

#: The header that carries the idempotency key.
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'

#: The longest idempotency key, in characters.
MAX_KEY_LENGTH = 255

_BEARER_PREFIX = 'Bearer '


class ChatMessage(msgspec.Struct):
    """A message of a chat completion request.

    Attributes:
        role: The author: ``system``, ``user`` and so on.
        content: The text, or a list of parts of which those with a ``text``
            count.
    """

    role: str
    content: str | list[dict] | None = None


class CompletionRequest(msgspec.Struct):
    """The fields of a chat completion request that this node interprets.

    Attributes:
        model: The name of the service.
        messages: The conversation so far.
        stream: Whether to send the response as server-sent events.
        max_tokens: The limit on output tokens.
        max_completion_tokens: The newer name of ``max_tokens``, which it
            overrides.
    """

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


@dataclasses.dataclass(frozen=True)
class AuthenticatedCaller:
    """The caller that a request's API key belongs to.

    Attributes:
        caller: The configured caller.
        rank: The rank of its tier; 0 is the highest.
        weight: The weight of its customer in fair queueing.
    """

    caller: configuration.Caller
    rank: int
    weight: float


def authenticate(
    req: falcon.Request, config: index.Index
) -> AuthenticatedCaller:
    """Authenticate a request by the API key in its Authorization header.

    Args:
        req: The HTTP request.
        config: The configuration in force.

    Returns:
        The caller that the key belongs to.

    Raises:
        UnauthorizedError: If the key is missing or unknown.
    """
    authorization = req.get_header('Authorization', default='')
    if not authorization.startswith(_BEARER_PREFIX):
        raise error.UnauthorizedError('the request carries no key', 'identify')
    digest = index.digest_key(authorization.removeprefix(_BEARER_PREFIX))
    caller = config.callers_by_digest.get(digest)
    if caller is None:
        raise error.UnauthorizedError('the key is unknown', 'identify')
    return AuthenticatedCaller(
        caller,
        config.tiers_by_name[caller.tier].rank,
        config.customers_by_name[caller.customer].weight,
    )


def read_completion(
    req: falcon.Request, config: index.Index
) -> request.Request:
    """Authenticate, decode and validate a chat completion request.

    The body for the back end always asks for a stream. For a caller that does
    not want one, the node assembles the events into one response.

    Args:
        req: The HTTP request.
        config: The configuration in force.

    Returns:
        The request for the scheduler.

    Raises:
        RequestError: If the key, the body or a header is invalid.
    """
    authenticated = authenticate(req, config)
    body = _read_body(req, max(_list_body_limits(config)))
    completion = _decode(body, CompletionRequest)
    service = find_service(config, completion.model)
    _check_body_size(body, service)
    if completion.stream and not service.repeatable:
        raise error.RequestError(
            f'service {service.name} is unrepeatable and does not stream',
            'check',
        )
    forwarded = _decode(body, dict)
    forwarded['stream'] = True
    prompt = '\n'.join(_read_text(message) for message in completion.messages)
    return _make_request(
        req,
        authenticated,
        service,
        body=codec.encode_json(forwarded),
        prompt_tokens=_count_tokens(prompt.encode()),
        output_tokens=_read_output_limit(completion),
        stream=completion.stream,
        prefixes=request.digest_prefixes(prompt.encode()),
    )


def read_application_call(
    req: falcon.Request, config: index.Index, name: str, path: str
) -> request.Request:
    """Authenticate and validate a call to an application.

    Args:
        req: The HTTP request, whose body must be JSON or empty.
        config: The configuration in force.
        name: The name of the service.
        path: The path below the service.

    Returns:
        The request for the scheduler.
    """
    authenticated = authenticate(req, config)
    service = find_service(config, name)
    body = _read_body(req, service.max_body)
    if body:
        _decode(body, object)
    return _make_request(
        req,
        authenticated,
        service,
        body=body,
        prompt_tokens=_count_tokens(body),
        path=path,
    )


def find_service(config: index.Index, name: str) -> configuration.Service:
    """Find a service by its name.

    Args:
        config: The configuration in force.
        name: The name that callers use.

    Returns:
        The service.

    Raises:
        UnknownServiceError: If no service has this name.
    """
    service = config.services_by_name.get(name)
    if service is None:
        raise error.UnknownServiceError(f'no service is named {name}', 'find')
    return service


def _make_request(
    req: falcon.Request,
    authenticated: AuthenticatedCaller,
    service: configuration.Service,
    **fields: object,
) -> request.Request:
    return request.Request(
        request_id=f'req-{uuid.uuid4().hex}',
        caller=authenticated.caller,
        rank=authenticated.rank,
        weight=authenticated.weight,
        service=service,
        deadline=clock.read_monotonic() + _read_timeout(req, service),
        key=_read_idempotency_key(req, service),
        traceparent=req.get_header('traceparent', default=''),
        **fields,
    )


def _read_body(req: falcon.Request, limit: int) -> bytes:
    if (req.content_length or 0) > limit:
        raise error.BodyTooLargeError(
            f'the body is larger than {limit} bytes',
            'read',
        )
    body = req.bounded_stream.read(limit + 1)
    if len(body) > limit:
        raise error.BodyTooLargeError(
            f'the body is larger than {limit} bytes',
            'read',
        )
    return body


def _list_body_limits(config: index.Index) -> list[int]:
    return [service.max_body for service in config.services_by_name.values()]


def _check_body_size(body: bytes, service: configuration.Service) -> None:
    if len(body) > service.max_body:
        raise error.BodyTooLargeError(
            f'the body is larger than {service.max_body} bytes',
            'check',
        )


def _decode(body: bytes, body_type: type) -> object:
    try:
        return codec.decode_json(body, body_type)
    except error.PimentowayError as fault:
        raise error.RequestError(
            f'the body is not valid: {fault.reason}',
            'decode',
        ) from fault
    except RecursionError as fault:
        raise error.RequestError(
            'the body is nested too deeply',
            'decode',
        ) from fault


def _read_text(message: ChatMessage) -> str:
    if isinstance(message.content, list):
        return ' '.join(str(part.get('text', '')) for part in message.content)
    return message.content or ''


def _count_tokens(text: bytes) -> int:
    return max(1, len(text) // request.BYTES_PER_TOKEN)


def _read_output_limit(completion: CompletionRequest) -> int:
    limit = completion.max_completion_tokens or completion.max_tokens
    if limit is None:
        return DEFAULT_OUTPUT_TOKENS
    if not 0 < limit <= MAX_OUTPUT_TOKENS:
        raise error.RequestError(
            f'max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}',
            'check',
        )
    return limit


def _read_timeout(req: falcon.Request, service: configuration.Service) -> float:
    text = req.get_header(TIMEOUT_HEADER)
    if text is None:
        return service.deadline
    try:
        timeout = float(text)
    except ValueError:
        timeout = math.nan
    if not 0 < timeout <= service.deadline:
        raise error.RequestError(
            f'{TIMEOUT_HEADER} must be more than 0 and at most '
            f'{service.deadline:g}',
            'check',
        )
    return timeout


def _read_idempotency_key(
    req: falcon.Request, service: configuration.Service
) -> str:
    key = req.get_header(IDEMPOTENCY_KEY_HEADER, default='')
    if len(key) > MAX_KEY_LENGTH:
        raise error.RequestError(
            f'{IDEMPOTENCY_KEY_HEADER} is longer than '
            f'{MAX_KEY_LENGTH} characters',
            'check',
        )
    if not service.repeatable and not key:
        raise error.RequestError(
            f'service {service.name} is unrepeatable: '
            f'{IDEMPOTENCY_KEY_HEADER} is missing',
            'check',
        )
    return '' if service.repeatable else key
