"""Decodes the server-sent events of a model engine's streamed completion.

Every event must carry the identifier of the request that it answers.
"""

import collections

import msgspec

from pimentoway.core import clock, codec, connection, error, request

#: Data of the event that ends a stream, in place of a chunk.
DONE_DATA = b'[DONE]'

#: HTTP status of a streamed response.
STREAM_STATUS = 200

#: Media type of a streamed response.
STREAM_TYPE = 'text/event-stream'

#: The most digits of the number of an event.
MAX_SEQUENCE_DIGITS = 18

_FIELD_SEPARATOR = b':'


class Delta(msgspec.Struct):
    """The text that a chunk adds to a choice.

    Attributes:
        content: The text; None if the chunk adds none.
    """

    content: str | None = None


class Choice(msgspec.Struct):
    """One choice of a chunk.

    Attributes:
        delta: The text that the chunk adds.
        finish_reason: Why the choice ended; None while it goes on.
    """

    delta: Delta = msgspec.field(default_factory=Delta)
    finish_reason: str | None = None


class Chunk(msgspec.Struct):
    """A chunk of a streamed chat completion.

    Attributes:
        id: The identifier of the request that it answers.
        choices: The choices that grow with this chunk.
        model: The name of the model; '' if the engine sends none.
    """

    id: str
    choices: list[Choice] = msgspec.field(default_factory=list)
    model: str = ''


class CompletionMessage(msgspec.Struct):
    """The message of a chat completion that is not streamed.

    Attributes:
        content: The text.
        role: The role of its author.
    """

    content: str
    role: str = 'assistant'


class CompletionChoice(msgspec.Struct):
    """A choice of a chat completion that is not streamed.

    Attributes:
        message: The generated message.
        index: The position among the choices, from 0.
        finish_reason: Why the choice ended.
    """

    message: CompletionMessage
    index: int = 0
    finish_reason: str = 'stop'


class Usage(msgspec.Struct):
    """The token counts of a chat completion.

    Attributes:
        completion_tokens: The tokens of the generated text.
        total_tokens: The sum of the counts that are known.
        prompt_tokens: The tokens of the prompt; 0 if unknown.
    """

    completion_tokens: int
    total_tokens: int
    prompt_tokens: int = 0


class Completion(msgspec.Struct):
    """A chat completion that is not streamed.

    Attributes:
        id: The identifier of the request that it answers.
        created: The Unix time in seconds.
        model: The name of the model.
        choices: Exactly one choice.
        usage: The token counts.
        object: The type of the object in the API.
    """

    id: str
    created: int
    model: str
    choices: list[CompletionChoice]
    usage: Usage
    object: str = 'chat.completion'


def read_pieces(
    exchange: connection.Exchange, request_id: str, engine_name: str
) -> collections.abc.Iterator[request.Piece]:
    """Read a streamed response event by event.

    Reads the body to its end, so that the connection can be reused.

    Args:
        exchange: The call, its response head read.
        request_id: The identifier that every event must carry.
        engine_name: The name of the engine, for errors.

    Yields:
        One piece for each event; the last one is marked final.

    Raises:
        ConnectionLostError: If the stream ends without its final event, or
            the number of an event can't be read.
    """
    sequence = 0
    while line := exchange.read_line():
        field, _, text = line.strip().partition(_FIELD_SEPARATOR)
        if field == b'id':
            sequence = _read_sequence(text, engine_name)
        if field != b'data':
            continue
        piece = decode_piece(sequence, text.strip(), request_id, engine_name)
        yield piece
        if piece.final:
            exchange.read_body()
            return
    raise error.ConnectionLostError(
        'the stream ended early', 'read', engine_name
    )


def _read_sequence(text: bytes, engine_name: str) -> int:
    digits = text.strip()
    if not digits.isdigit() or len(digits) > MAX_SEQUENCE_DIGITS:
        raise error.ConnectionLostError(
            'the number of an event is unreadable', 'read', engine_name
        )
    return int(digits)


def assemble_completion(pieces: list[request.Piece]) -> request.Piece:
    """Join the pieces of a streamed response into one chat completion.

    The identifier and the model are those of the first chunk. The prompt
    tokens are unknown and counted as 0.

    Args:
        pieces: All pieces of the response in order; at least one chunk.

    Returns:
        The JSON body of the completion as one final piece.
    """
    chunks = [
        codec.decode_json(piece.payload, Chunk)
        for piece in pieces
        if piece.payload != DONE_DATA
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


def decode_piece(
    sequence: int, payload: bytes, request_id: str, engine_name: str
) -> request.Piece:
    """Turn the data of an event into a piece of the response.

    Args:
        sequence: The number of the event, from its `id` field.
        payload: The data of the event.
        request_id: The identifier that the event must carry.
        engine_name: The name of the engine, for errors.

    Returns:
        The piece. Each choice that adds text counts as one token.

    Raises:
        ConnectionLostError: If the event carries the identifier of another
            request.
    """
    if payload == DONE_DATA:
        return request.Piece(
            sequence, payload, 0, STREAM_STATUS, STREAM_TYPE, True
        )
    chunk = codec.decode_json(payload, Chunk, engine_name)
    if chunk.id != request_id:
        raise error.ConnectionLostError(
            f'an event answers {chunk.id}, not {request_id}',
            'read',
            engine_name,
        )
    tokens = sum(1 for choice in chunk.choices if choice.delta.content)
    return request.Piece(sequence, payload, tokens, STREAM_STATUS, STREAM_TYPE)
