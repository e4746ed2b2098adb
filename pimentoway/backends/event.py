"""Server-sent events of a model engine, matched to the request by its id."""

import collections

import msgspec

from pimentoway.core import clock, codec, connection, error, request

#: The data of the event that ends a stream.
DONE = b'[DONE]'

#: The HTTP status of a stream.
STREAM_STATUS = 200

#: The media type of a stream.
STREAM_TYPE = 'text/event-stream'

_SEPARATOR = b':'


class Delta(msgspec.Struct):
    """The new text of a choice.

    Attributes:
        content: The text.
    """

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk.

    Attributes:
        delta: The new text.
        finish_reason: Why the choice ended, if it did.
    """

    delta: Delta = msgspec.field(default_factory=Delta)
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """A chunk of a streamed chat completion.

    Attributes:
        id: The identifier of the request that it answers.
        choices: The choices.
        model: The model that answers.
    """

    id: str
    choices: list[Choice] = msgspec.field(default_factory=list)
    model: str = ''


class CompletionMessage(msgspec.Struct):
    """The message of a whole chat completion.

    Attributes:
        content: The text.
        role: Who wrote it.
    """

    content: str
    role: str = 'assistant'


class CompletionChoice(msgspec.Struct):
    """The choice of a whole chat completion.

    Attributes:
        message: The message.
        index: The position of the choice.
        finish_reason: Why the choice ended.
    """

    message: CompletionMessage
    index: int = 0
    finish_reason: str = 'stop'


class Usage(msgspec.Struct):
    """The tokens of a whole chat completion.

    Attributes:
        completion_tokens: The tokens of the answer.
        total_tokens: The tokens in all, as far as they are known.
        prompt_tokens: The tokens of the prompt.
    """

    completion_tokens: int
    total_tokens: int
    prompt_tokens: int = 0


class Completion(msgspec.Struct):
    """A whole chat completion.

    Attributes:
        id: The identifier of the request.
        created: The wall-clock time in seconds.
        model: The model that answered.
        choices: The one choice.
        usage: The tokens.
        object: The type of the answer.
    """

    id: str
    created: int
    model: str
    choices: list[CompletionChoice]
    usage: Usage
    object: str = 'chat.completion'


def read_pieces(
    exchange: connection.Exchange, request_id: str, peer: str
) -> collections.abc.Iterator[request.Piece]:
    """Read the pieces of a streamed answer.

    Args:
        exchange: The call in progress.
        request_id: The request that must be answered.
        peer: The name of the engine.

    Yields:
        The pieces; the last one is final.

    Raises:
        CutError: If the stream ends before its last piece.
    """
    sequence = 0
    while line := exchange.read_line():
        field, _, text = line.strip().partition(_SEPARATOR)
        if field == b'id':
            sequence = int(text)
        if field != b'data':
            continue
        piece = make_piece(sequence, text.strip(), request_id, peer)
        yield piece
        if piece.final:
            exchange.read_body()
            return
    raise error.CutError('the stream ended early', 'read', peer)


def assemble_completion(pieces: list[request.Piece]) -> request.Piece:
    """Assemble a streamed answer into a whole chat completion.

    Args:
        pieces: All pieces of the answer, the final one last.

    Returns:
        The completion as one piece.
    """
    chunks = [
        codec.decode_json(piece.payload, Chunk)
        for piece in pieces
        if piece.payload != DONE
    ]
    text = ''.join(
        choice.delta.content or ''
        for chunk in chunks
        for choice in chunk.choices
    )
    tokens = sum(piece.tokens for piece in pieces)
    completion = Completion(
        id=chunks[0].id,
        created=int(clock.read_wall()),
        model=chunks[0].model,
        choices=[CompletionChoice(CompletionMessage(text))],
        usage=Usage(completion_tokens=tokens, total_tokens=tokens),
    )
    return request.Piece(
        sequence=1,
        payload=codec.encode_json(completion),
        tokens=tokens,
        final=True,
    )


def make_piece(
    sequence: int, payload: bytes, request_id: str, peer: str
) -> request.Piece:
    """Make a piece of an event, once it is known to be the request's own.

    Args:
        sequence: The number of the event.
        payload: The event's data.
        request_id: The request that must be answered.
        peer: The name of the engine.

    Returns:
        The piece.

    Raises:
        CutError: If the event answers another request.
    """
    if payload == DONE:
        return request.Piece(
            sequence, payload, 0, STREAM_STATUS, STREAM_TYPE, True
        )
    chunk = codec.decode_json(payload, Chunk, peer)
    if chunk.id != request_id:
        raise error.CutError(
            f'an event answers {chunk.id}, not {request_id}',
            'read',
            peer,
        )
    tokens = sum(1 for choice in chunk.choices if choice.delta.content)
    return request.Piece(sequence, payload, tokens, STREAM_STATUS, STREAM_TYPE)
