"""A caller's request and its answer, independent of the HTTP interface."""

import dataclasses

import xxhash

from pimentoway.core import configuration

#: The estimated length of a token, as no tokenizer is used.
BYTES_PER_TOKEN = 4

#: The block size of the prefix index.
PREFIX_BLOCK_BYTES = 256

#: The longest indexed prefix, in blocks.
MAX_PREFIX_BLOCKS = 16


@dataclasses.dataclass(frozen=True)
class Request:
    """A request of an authenticated caller.

    Attributes:
        request_id: The identifier, the same on every hop.
        caller: The caller.
        rank: The rank of the caller's tier; 0 is the highest.
        weight: The weight of the customer.
        service: The service.
        body: The body for the back end.
        deadline: The deadline of the answer, see ``clock.read_monotonic``.
        prompt_tokens: The estimated length of the prompt.
        output_tokens: The estimated upper bound of the answer's length.
        stream: Whether the caller wants a stream of events.
        key: The idempotency key; '' if the caller set none.
        path: The path of a call to an application.
        traceparent: The trace context for the next hop.
        prefixes: The digests of the prompt's prefixes, shortest first.
    """

    request_id: str
    caller: configuration.Caller
    rank: int
    weight: float
    service: configuration.Service
    body: bytes
    deadline: float
    prompt_tokens: int = 1
    output_tokens: int = 1
    stream: bool = False
    key: str = ''
    path: str = ''
    traceparent: str = ''
    prefixes: tuple[int, ...] = ()

    @property
    def tokens(self) -> int:
        """Total estimated tokens.

        Returns:
            The tokens of the prompt and of the longest answer.
        """
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True)
class Piece:
    """A piece of an answer: an event of a stream, or a whole body.

    Attributes:
        sequence: The number of the piece within the answer, from 1.
        payload: The bytes for the caller; for streams the data of an event.
        tokens: The number of tokens in the piece.
        status: The HTTP status of the answer.
        content_type: The media type of the answer.
        final: Whether this piece completes the answer.
    """

    sequence: int
    payload: bytes
    tokens: int = 1
    status: int = 200
    content_type: str = 'application/json'
    final: bool = False


def fingerprint_body(service: str, body: bytes) -> str:
    """Compute the fingerprint of a request, the same on every node.

    Args:
        service: The name of the service.
        body: The body of the request.

    Returns:
        The fingerprint in hexadecimal.
    """
    digest = xxhash.xxh3_64(service.encode())
    digest.update(body)
    return digest.hexdigest()


def digest_prefixes(prompt: bytes) -> tuple[int, ...]:
    """Compute the digests of a prompt's prefixes.

    Args:
        prompt: The text of the prompt.

    Returns:
        The digests of the first block, the first two blocks and so on, at
        most ``MAX_PREFIX_BLOCKS``; the last block may be incomplete.
    """
    digest = xxhash.xxh3_64()
    prefixes = []
    end = min(len(prompt), MAX_PREFIX_BLOCKS * PREFIX_BLOCK_BYTES)
    for start in range(0, end, PREFIX_BLOCK_BYTES):
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        prefixes.append(digest.intdigest())
    return tuple(prefixes)
