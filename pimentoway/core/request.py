"""The request of a caller, as every part after the HTTP interface sees it."""

import dataclasses

import xxhash

from pimentoway.core import configuration

#: Bytes of text that count as one token when no tokenizer is at hand.
BYTES_PER_TOKEN = 4

#: Bytes of a prompt in one block of the prefix index.
PREFIX_BLOCK_BYTES = 256

#: The longest prefix that is indexed, in blocks.
PREFIX_BLOCKS = 16


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that a caller is entitled to make.

    Attributes:
        request_id: The identifier that goes with the request on every hop.
        caller: The caller.
        rank: The rank of the caller's tier; 0 is the highest.
        weight: The weight of the customer.
        service: The service.
        body: The body for the back end.
        deadline: The time by which the answer is due, on the runtime's clock.
        prompt_tokens: The length of the prompt, estimated.
        output_tokens: The length of the answer at the most, estimated.
        stream: Whether the caller wants the answer in pieces.
        key: The idempotency key, or nothing.
        path: The path of the call on an application.
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
        """Count the tokens that the request costs.

        Returns:
            The tokens of the prompt and of the answer.
        """
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True)
class Piece:
    """A piece of an answer.

    Attributes:
        sequence: The number of the piece, from 1.
        payload: The bytes for the caller, an event's data for streams.
        tokens: The tokens in the piece.
        status: The HTTP status of the answer.
        content_type: The media type of the answer.
        final: Whether the answer is whole with this piece.
    """

    sequence: int
    payload: bytes
    tokens: int = 1
    status: int = 200
    content_type: str = 'application/json'
    final: bool = False


def fingerprint_body(service: str, body: bytes) -> str:
    """Digest what a back end would run, the same on every node.

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
    """Digest the prefixes of a prompt, one for each block.

    Args:
        prompt: The text of the prompt.

    Returns:
        A digest for each prefix, shortest first.
    """
    digest = xxhash.xxh3_64()
    prefixes = []
    end = min(len(prompt), PREFIX_BLOCKS * PREFIX_BLOCK_BYTES)
    for start in range(0, end, PREFIX_BLOCK_BYTES):
        digest.update(prompt[start : start + PREFIX_BLOCK_BYTES])
        prefixes.append(digest.intdigest())
    return tuple(prefixes)
