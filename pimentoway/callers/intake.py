"""The intake: turns a caller's HTTP request into a checked request."""

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

#: The tokens of an answer when the caller sets no bound.
DEFAULT_OUTPUT_TOKENS = 256

#: The largest bound on an answer's tokens that is taken.
MAX_OUTPUT_TOKENS = 100_000

#: The header in which a caller asks for an earlier deadline, in seconds.
TIMEOUT_HEADER = 'X-Timeout-Seconds'

#: The header that carries the idempotency key.
KEY_HEADER = 'Idempotency-Key'

#: The longest idempotency key.
KEY_LENGTH = 255

_BEARER = 'Bearer '


class Message(msgspec.Struct):
    """A message of a chat.

    Attributes:
        role: Who wrote it.
        content: Its text, or its parts as the protocol has them.
    """

    role: str
    content: str | list[dict] | None = None


class Completion(msgspec.Struct):
    """What is read of a chat completion request.

    Attributes:
        model: The service.
        messages: The chat.
        stream: Whether the answer is wanted in pieces.
        max_tokens: The longest answer.
        max_completion_tokens: The same under its newer name.
    """

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


@dataclasses.dataclass(frozen=True)
class Sender:
    """Who sends a request.

    Attributes:
        caller: The caller.
        rank: The rank of the caller's tier.
        weight: The weight of the customer.
    """

    caller: configuration.Caller
    rank: int
    weight: float


def identify_sender(req: falcon.Request, view: index.Index) -> Sender:
    """Find out who sends a request by its key.

    Args:
        req: The HTTP request.
        view: The configuration in force.

    Returns:
        The sender.

    Raises:
        UnauthorizedError: If the key is missing or unknown.
    """
    authorization = req.get_header('Authorization', default='')
    if not authorization.startswith(_BEARER):
        raise error.UnauthorizedError('the request carries no key', 'identify')
    digest = index.digest_key(authorization.removeprefix(_BEARER))
    caller = view.callers_by_digest.get(digest)
    if caller is None:
        raise error.UnauthorizedError('the key is unknown', 'identify')
    return Sender(
        caller,
        view.tiers_by_name[caller.tier].rank,
        view.customers_by_name[caller.customer].weight,
    )


def read_completion(req: falcon.Request, view: index.Index) -> request.Request:
    """Read a chat completion request.

    Args:
        req: The HTTP request.
        view: The configuration in force.

    Returns:
        The checked request.

    Raises:
        RequestError: If the request is wrong.
    """
    sender = identify_sender(req, view)
    body = _read_body(req, max(_list_body_bounds(view)))
    asked = _decode(body, Completion)
    service = find_service(view, asked.model)
    _check_size(body, service)
    if asked.stream and not service.repeatable:
        raise error.RequestError(
            f'service {service.name} is unrepeatable and does not stream',
            'check',
        )
    plain = _decode(body, dict)
    plain['stream'] = True
    prompt = '\n'.join(_read_text(message) for message in asked.messages)
    return _make_request(
        req,
        sender,
        service,
        body=codec.encode_json(plain),
        prompt_tokens=_count_tokens(prompt.encode()),
        output_tokens=_bound_output(asked),
        stream=asked.stream,
        prefixes=request.digest_prefixes(prompt.encode()),
    )


def read_call(
    req: falcon.Request, view: index.Index, name: str, path: str
) -> request.Request:
    """Read a call of an application.

    Args:
        req: The HTTP request.
        view: The configuration in force.
        name: The name of the service.
        path: The path of the call.

    Returns:
        The checked request.
    """
    sender = identify_sender(req, view)
    service = find_service(view, name)
    body = _read_body(req, service.max_body)
    if body:
        _decode(body, object)
    return _make_request(
        req,
        sender,
        service,
        body=body,
        prompt_tokens=_count_tokens(body),
        path=path,
    )


def find_service(view: index.Index, name: str) -> configuration.Service:
    """Find a service by its name.

    Args:
        view: The configuration in force.
        name: The name.

    Returns:
        The service.

    Raises:
        UnknownServiceError: If there is none.
    """
    service = view.services_by_name.get(name)
    if service is None:
        raise error.UnknownServiceError(f'no service is named {name}', 'find')
    return service


def _make_request(
    req: falcon.Request,
    sender: Sender,
    service: configuration.Service,
    **traits: object,
) -> request.Request:
    return request.Request(
        request_id=f'req-{uuid.uuid4().hex}',
        caller=sender.caller,
        rank=sender.rank,
        weight=sender.weight,
        service=service,
        deadline=clock.read_monotonic() + _read_timeout(req, service),
        key=_read_key(req, service),
        traceparent=req.get_header('traceparent', default=''),
        **traits,
    )


def _read_body(req: falcon.Request, bound: int) -> bytes:
    if (req.content_length or 0) > bound:
        raise error.BodyTooLargeError(
            f'the body is larger than {bound} bytes',
            'read',
        )
    body = req.bounded_stream.read(bound + 1)
    if len(body) > bound:
        raise error.BodyTooLargeError(
            f'the body is larger than {bound} bytes',
            'read',
        )
    return body


def _list_body_bounds(view: index.Index) -> list[int]:
    return [service.max_body for service in view.services_by_name.values()]


def _check_size(body: bytes, service: configuration.Service) -> None:
    if len(body) > service.max_body:
        raise error.BodyTooLargeError(
            f'the body is larger than {service.max_body} bytes',
            'check',
        )


def _decode(body: bytes, kind: type) -> object:
    try:
        return codec.decode_json(body, kind)
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


def _read_text(message: Message) -> str:
    if isinstance(message.content, list):
        return ' '.join(str(part.get('text', '')) for part in message.content)
    return message.content or ''


def _count_tokens(text: bytes) -> int:
    return max(1, len(text) // request.BYTES_PER_TOKEN)


def _bound_output(asked: Completion) -> int:
    bound = asked.max_completion_tokens or asked.max_tokens
    if bound is None:
        return DEFAULT_OUTPUT_TOKENS
    if not 0 < bound <= MAX_OUTPUT_TOKENS:
        raise error.RequestError(
            f'max_tokens must be from 1 to {MAX_OUTPUT_TOKENS}',
            'check',
        )
    return bound


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


def _read_key(req: falcon.Request, service: configuration.Service) -> str:
    key = req.get_header(KEY_HEADER, default='')
    if len(key) > KEY_LENGTH:
        raise error.RequestError(
            f'{KEY_HEADER} is longer than {KEY_LENGTH} characters',
            'check',
        )
    if not service.repeatable and not key:
        raise error.RequestError(
            f'service {service.name} is unrepeatable: {KEY_HEADER} is missing',
            'check',
        )
    return '' if service.repeatable else key
