"""The headers of the platform's requests and answers."""

import contextlib

from pimentoway.core import call, message

#: Milliseconds in a second.
MILLISECONDS = 1000

#: The path at which the balancer asks whether a node is ready.
READY_PATH = '/pimentoway/readyz'

_REQUEST_ID = b'pimentoway-attempt-id'
# The milliseconds that the caller still waits, not a point in time.
_DEADLINE = b'pimentoway-deadline-ms'
_DEADLINE_NAME = b'Pimentoway-Deadline-Ms'
_KEY = b'x-api-key'
# The tokens of the prompt and, at the most, of the answer.
_TOKENS = b'pimentoway-token-counts'
_HINT = b'pimentoway-length-hint'
_ENGINE_NAME = b'Pimentoway-Expect-Instance'
# The name of the customer that holds the caller's key.
_CUSTOMER_NAME = b'Pimentoway-Tenant'
_EVENT_ID = b'last-event-id'
_EVENT_ID_NAME = b'Last-Event-Id'
_HOST = b'host'
_LENGTH = b'content-length'

_SEAL = b'pimentoway-response-seal'
_NOT_RUN = b'pimentoway-not-executed'
_LOAD = b'pimentoway-instance-load'
_COLD = b'pimentoway-cold-ms'
_ENCODING = b'content-encoding'
_KEEP_ALIVE = b'keep-alive'

#: Headers that only the system may set, in addition to those that it sets
#: anew on every request.
RESERVED_HEADERS = frozenset(
    (
        _KEY,
        _DEADLINE,
        b'pimentoway-expect-instance',
        b'pimentoway-expect-version',
        b'pimentoway-tenant',
        b'pimentoway-kv-hold',
        b'pimentoway-pin-ms',
        b'pimentoway-kv-backup',
        b'kv-from',
        b'kv-fetch',
        _LENGTH,
    ),
)

#: Headers that end at most one request, so that two of them are an error.
SINGLE_HEADERS = (_HOST, _KEY, _REQUEST_ID, _DEADLINE, _TOKENS)

#: The headers of the caller that are passed on whatever it says of them.
KEPT_HEADERS = frozenset(
    (
        _REQUEST_ID,
        _TOKENS,
        _HOST,
        b'pimentoway-model',
        b'pimentoway-prefix-hash',
    ),
)

_MISDIRECTED = 421


def read_request(raw: message.Request) -> call.CallerRequest:
    """Decode a caller's request.

    Args:
        raw: The request as it was read.

    Returns:
        The request.

    Raises:
        MessageError: If a header is missing, repeated or can't be read.
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
        key=texts_by_name.get(_KEY, b'').decode('latin-1'),
        seconds=_read_seconds(texts_by_name.get(_DEADLINE)),
        prompt=_read_prompt(texts_by_name),
        headers=_list_passed(raw),
        body=bytes(raw.body),
        keep_alive=raw.keep_alive,
        resumes=_EVENT_ID in texts_by_name,
    )


def _list_passed(raw: message.Request) -> tuple[message.Header, ...]:
    dropped = message.list_connection_names(raw.headers) - KEPT_HEADERS
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
        return max(0, int(text) / MILLISECONDS)
    except ValueError as fault:
        raise message.MessageError('the time limit is no number') from fault


def _read_prompt(texts_by_name: dict[bytes, bytes]) -> call.Prompt | None:
    text = texts_by_name.get(_TOKENS)
    if text is None:
        return None
    hinted = 0
    with contextlib.suppress(ValueError):
        # A hint that can't be read is as good as none.
        hinted = max(0, int(texts_by_name.get(_HINT, b'0')))
    try:
        prompt, output = (int(one) for one in text.split(b','))
    except ValueError as fault:
        raise message.MessageError('the tokens are no numbers') from fault
    if min(prompt, output) < 0:
        raise message.MessageError('the tokens are negative')
    return call.Prompt(prompt, output, hinted)


def write_request(dispatch: call.Dispatch) -> bytes:
    """Encode a request for a back end.

    Args:
        dispatch: The request and where it goes.

    Returns:
        The bytes of its head.
    """
    request = dispatch.request
    lines = [b'%s %s HTTP/1.1' % (request.method.encode(), request.target)]
    lines.extend(
        b'%s: %s' % (name, text)
        for name, text in request.headers
        if not (dispatch.after_event and name.lower() == _EVENT_ID)
    )
    seconds = max(dispatch.seconds, 0)
    lines.append(b'%s: %d' % (_DEADLINE_NAME, seconds * MILLISECONDS))
    lines.append(b'%s: %s' % (_ENGINE_NAME, dispatch.engine.name.encode()))
    if dispatch.customer:
        lines.append(b'%s: %s' % (_CUSTOMER_NAME, dispatch.customer.encode()))
    if dispatch.after_event:
        lines.append(b'%s: %s' % (_EVENT_ID_NAME, dispatch.after_event))
    if request.body or request.method not in {'GET', 'HEAD', 'DELETE'}:
        lines.append(b'Content-Length: %d' % len(request.body))
    return b'%s\r\n\r\n' % b'\r\n'.join(lines)


def read_notes(answer: message.Answer) -> call.AnswerNotes:
    """Decode what a back end says beside its answer.

    Args:
        answer: The answer, its head read.

    Returns:
        What it says.
    """
    texts_by_name = {name.lower(): text for name, text in answer.headers}
    return call.AnswerNotes(
        request_id=texts_by_name.get(_REQUEST_ID, b'').decode('latin-1'),
        sealed=_SEAL in texts_by_name,
        not_run=_NOT_RUN in texts_by_name or answer.status == _MISDIRECTED,
        load=_read_load(texts_by_name.get(_LOAD)),
        idle_seconds=_read_keep_alive(texts_by_name.get(_KEEP_ALIVE, b'')),
        cold_seconds=_read_milliseconds(texts_by_name.get(_COLD)),
        encoded=_ENCODING in texts_by_name,
    )


def _read_load(text: bytes | None) -> call.Load | None:
    if text is None:
        return None
    try:
        running, waiting, slots = (int(one) for one in text.split(b','))
    except ValueError:
        # Load is a hint, so a text that can't be read is as good as none.
        return None
    return call.Load(running, waiting, slots)


def _read_milliseconds(text: bytes | None) -> float | None:
    try:
        return None if text is None else float(text) / MILLISECONDS
    except ValueError:
        # The entry in the store tells the same.
        return None


def _read_keep_alive(text: bytes) -> float | None:
    for part in text.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return int(number)
    return None


#: How the platform's callers and back ends write.
DIALECT = call.Dialect(
    read_request=read_request,
    write_request=write_request,
    read_notes=read_notes,
    ready_path=READY_PATH,
)
