"""Translates the platform's HTTP headers from and to the product's types."""

import contextlib
import math

import xxhash

from pimentoway.core import call, message
from pimentoway.platform import notice_header

#: Milliseconds in a second.
MILLISECONDS = 1000

#: The path of the load balancer's readiness check.
READY_PATH = '/pimentoway/readyz'

#: The load report needs no slot, so an engine answers at once when it is full.
LIVENESS_PROBE = (
    b'GET /pimentoway/report HTTP/1.1\r\nHost: back-end\r\n'
    b'Connection: close\r\n\r\n'
)

#: The most parts of a prompt that are read; further ones are ignored.
MAX_PARTS = 32

#: The largest time and the largest token count that are read from a request;
#: larger ones count as these. Nodes can't send each other any larger integers.
MAX_SECONDS = 86_400
MAX_TOKENS = 0x7FFFFFFF

#: The largest load that an answer may report; a larger one is ignored, as is a
#: time above ``MAX_SECONDS``.
MAX_LOAD = 1_000_000

#: The figure of a machine at its usual pace, and the largest one that is read:
#: work that takes a hundred times as long as usual.
USUAL_PACE = 100
MAX_PACE = 10_000

#: The number of figures that count requests, at the start of a load report.
LOAD_COUNTS = 3

_REQUEST_ID = b'pimentoway-attempt-id'
# The remaining time in milliseconds, not a point in time.
_DEADLINE = b'pimentoway-deadline-ms'
_DEADLINE_NAME = b'Pimentoway-Deadline-Ms'
_API_KEY = b'x-api-key'
# "PROMPT,OUTPUT": the tokens of the prompt and the limit on output tokens.
_TOKEN_COUNTS = b'pimentoway-token-counts'
# "ID:TOKENS,...": the parts of the prompt in order. The last one belongs to the
# request itself or to its session.
_PROMPT_PARTS = b'pimentoway-prefix-hash'
_LENGTH_HINT = b'pimentoway-length-hint'
_ENGINE_NAME = b'Pimentoway-Expect-Instance'
# The name of the customer that owns the caller's key.
_CUSTOMER_NAME = b'Pimentoway-Tenant'
_EVENT_ID = b'last-event-id'
_EVENT_ID_NAME = b'Last-Event-Id'
_HOST = b'host'
_CONTENT_LENGTH = b'content-length'

_RESPONSE_SEAL = b'pimentoway-response-seal'
_NOT_RUN = b'pimentoway-not-executed'
_INSTANCE_LOAD = b'pimentoway-instance-load'
_COLD_MILLISECONDS = b'pimentoway-cold-ms'
_CONTENT_ENCODING = b'content-encoding'
_KEEP_ALIVE = b'keep-alive'

#: Headers of callers that are not forwarded: the API key, and all that only
#: this system may set.
RESERVED_HEADERS = frozenset(
    (
        _API_KEY,
        _DEADLINE,
        b'pimentoway-expect-instance',
        b'pimentoway-expect-version',
        b'pimentoway-tenant',
        b'pimentoway-kv-hold',
        b'pimentoway-pin-ms',
        b'pimentoway-kv-backup',
        b'kv-from',
        b'kv-fetch',
        _CONTENT_LENGTH,
    ),
)

#: Headers that may come only once; a repeated one makes the request invalid.
SINGLE_HEADERS = (_HOST, _API_KEY, _REQUEST_ID, _DEADLINE, _TOKEN_COUNTS)

#: Headers that are forwarded even if the caller lists them in `Connection`.
ALWAYS_FORWARDED_HEADERS = frozenset(
    (
        _REQUEST_ID,
        _TOKEN_COUNTS,
        _HOST,
        b'pimentoway-model',
        _PROMPT_PARTS,
    ),
)

_MISDIRECTED = 421


def read_request(raw: message.Request) -> call.CallerRequest:
    """Decode a caller's request.

    Args:
        raw: The request as it was parsed, with all its headers.

    Returns:
        The request with only those headers that may be forwarded.

    Raises:
        MessageError: If the target is no path, the host is missing, a
            header of ``SINGLE_HEADERS`` is repeated, or one can't be read.
    """
    texts_by_name: dict[bytes, bytes] = {}
    for name, text in raw.headers:
        lowered = name.lower()
        if lowered in texts_by_name and lowered in SINGLE_HEADERS:
            raise message.MessageError(f'{name.decode("latin-1")} comes twice')
        texts_by_name[lowered] = text
    if not raw.target.startswith(b'/'):
        raise message.MessageError('the path does not begin with a slash')
    host = texts_by_name.get(_HOST, b'').decode('latin-1')
    if not host:
        raise message.MessageError('the request names no host')
    return call.CallerRequest(
        request_id=texts_by_name.get(_REQUEST_ID, b'').decode('latin-1'),
        method=raw.method,
        target=raw.target,
        host=host.partition(':')[0],
        path=raw.target.partition(b'?')[0].decode('latin-1'),
        key=texts_by_name.get(_API_KEY, b'').decode('latin-1'),
        timeout_seconds=_read_seconds(texts_by_name.get(_DEADLINE)),
        token_counts=_read_token_counts(texts_by_name),
        headers=_list_forwarded(raw),
        body=bytes(raw.body),
        keep_alive=raw.keep_alive,
        resumes=_EVENT_ID in texts_by_name,
        shared_parts=_read_shared_parts(raw),
    )


def _list_forwarded(raw: message.Request) -> tuple[message.Header, ...]:
    dropped = (
        message.list_hop_by_hop_headers(raw.headers) - ALWAYS_FORWARDED_HEADERS
    )
    dropped |= RESERVED_HEADERS
    return tuple(
        (name, text)
        for name, text in raw.headers
        if name.lower() not in dropped
    )


def _read_seconds(text: bytes | None) -> float | None:
    if text is None:
        return None
    try:
        milliseconds = int(text)
    except ValueError as fault:
        raise message.MessageError('the time limit is no number') from fault
    # Division of larger integers raises an error.
    return max(0, min(milliseconds, MAX_SECONDS * MILLISECONDS) / MILLISECONDS)


def _read_token_counts(
    texts_by_name: dict[bytes, bytes],
) -> call.TokenCounts | None:
    text = texts_by_name.get(_TOKEN_COUNTS)
    if text is None:
        return None
    hinted_tokens = 0
    with contextlib.suppress(ValueError):
        # The hint is optional, so an unreadable one counts as absent.
        hint = int(texts_by_name.get(_LENGTH_HINT, b'0'))
        hinted_tokens = max(0, min(hint, MAX_TOKENS))
    try:
        prompt_tokens, output_tokens = (
            min(int(count), MAX_TOKENS) for count in text.split(b',')
        )
    except ValueError as fault:
        raise message.MessageError('the tokens are no numbers') from fault
    if min(prompt_tokens, output_tokens) < 0:
        raise message.MessageError('the tokens are negative')
    return call.TokenCounts(prompt_tokens, output_tokens, hinted_tokens)


def _read_shared_parts(raw: message.Request) -> tuple[int, ...]:
    # Repeated headers form one list.
    text = b','.join(raw.list_header_values(_PROMPT_PARTS))
    entries = text.split(b',', MAX_PARTS)[:MAX_PARTS]
    return tuple(
        xxhash.xxh64_intdigest(entry.partition(b':')[0].strip().lower())
        for entry in entries[:-1]
    )


def write_request(dispatch: call.Dispatch) -> bytes:
    """Encode the head of a request for a back end.

    Args:
        dispatch: The request, its back end and the remaining time.

    Returns:
        The request line and the headers, up to the empty line. The body
        follows unchanged.
    """
    request = dispatch.request
    lines = [b'%s %s HTTP/1.1' % (request.method.encode(), request.target)]
    lines.extend(
        b'%s: %s' % (name, text)
        for name, text in request.headers
        if not (dispatch.after_event and name.lower() == _EVENT_ID)
    )
    seconds = max(dispatch.timeout_seconds, 0)
    lines.append(b'%s: %d' % (_DEADLINE_NAME, seconds * MILLISECONDS))
    lines.append(b'%s: %s' % (_ENGINE_NAME, dispatch.engine.name.encode()))
    if dispatch.customer:
        lines.append(b'%s: %s' % (_CUSTOMER_NAME, dispatch.customer.encode()))
    if dispatch.after_event:
        lines.append(b'%s: %s' % (_EVENT_ID_NAME, dispatch.after_event))
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(b'Content-Length: %d' % len(request.body))
    return b'%s\r\n\r\n' % b'\r\n'.join(lines)


def read_metadata(answer: message.Answer) -> call.AnswerMetadata:
    """Decode the platform's headers of a back end's answer.

    Args:
        answer: The answer, of which the head was read.

    Returns:
        What they say. The load and the times are ``None`` if absent or
        unreadable.
    """
    texts_by_name = {name.lower(): text for name, text in answer.headers}
    return call.AnswerMetadata(
        request_id=texts_by_name.get(_REQUEST_ID, b'').decode('latin-1'),
        sealed=_RESPONSE_SEAL in texts_by_name,
        not_run=_NOT_RUN in texts_by_name or answer.status == _MISDIRECTED,
        load=_read_load(texts_by_name.get(_INSTANCE_LOAD)),
        idle_seconds=_read_keep_alive(texts_by_name.get(_KEEP_ALIVE, b'')),
        cold_seconds=_read_milliseconds(texts_by_name.get(_COLD_MILLISECONDS)),
        encoded=_CONTENT_ENCODING in texts_by_name,
        notices=notice_header.read_notices(answer),
    )


def _read_load(text: bytes | None) -> call.Load | None:
    # "RUNNING,WAITING,SLOTS[,PACE[,...]]"; further figures may follow.
    if text is None:
        return None
    figures = text.split(b',', LOAD_COUNTS + 1)
    pace = _read_pace(figures[LOAD_COUNTS:])
    try:
        running, waiting, slots = (
            int(count) for count in figures[:LOAD_COUNTS]
        )
    except ValueError:
        # The load is only a hint, so an unreadable one counts as absent.
        return call.Load(pace=pace) if pace else None
    if max(running, waiting, slots) > MAX_LOAD:
        return call.Load(pace=pace) if pace else None
    return call.Load(running, waiting, slots, pace)


def _read_pace(figures: list[bytes]) -> float:
    try:
        pace = float(figures[0]) if figures else 0
    except ValueError:
        return 0
    return pace / USUAL_PACE if 0 < pace <= MAX_PACE else 0


def _read_milliseconds(text: bytes | None) -> float | None:
    try:
        seconds = math.nan if text is None else float(text) / MILLISECONDS
    except ValueError:
        # The back end's entry in the store holds the same time.
        return None
    return seconds if abs(seconds) <= MAX_SECONDS else None


def _read_keep_alive(text: bytes) -> float | None:
    for part in text.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return _read_idle_seconds(number)
    return None


def _read_idle_seconds(digits: bytes) -> float | None:
    # Unlike int, float converts any number of digits.
    seconds = float(digits)
    return seconds if seconds <= MAX_SECONDS else None


#: The platform's protocol between callers, nodes and back ends.
DIALECT = call.Dialect(
    read_request=read_request,
    write_request=write_request,
    read_metadata=read_metadata,
    ready_path=READY_PATH,
    liveness_probe=LIVENESS_PROBE,
)
