"""Encoding of records as JSON and MessagePack, by msgspec."""

import typing

import msgspec

from pimentoway.core import error

#: What msgspec raises for a text that it can't decode. ``ValueError`` is the
#: base of its own errors and of that of a text that isn't Unicode.
DECODING_ERRORS = (ValueError, OverflowError, RecursionError)

Record = typing.TypeVar('Record')


def encode_json(record: object) -> bytes:
    """Encode a record as JSON.

    Args:
        record: A frozen data class, a struct or plain data.

    Returns:
        The JSON text.
    """
    return msgspec.json.encode(record)


def decode_json(
    text: bytes | str, kind: type[Record], peer: str = ''
) -> Record:
    """Decode JSON into a typed record.

    Args:
        text: The JSON text.
        kind: The expected type.
        peer: The name of the peer that sent it, for the error.

    Returns:
        The record.

    Raises:
        PimentowayError: If the text is malformed or of another type.
    """
    try:
        return msgspec.json.decode(text, type=kind)
    except DECODING_ERRORS as fault:
        raise error.PimentowayError(str(fault), 'decode', peer) from fault


def encode_packed(record: object) -> bytes:
    """Encode a record as MessagePack.

    Args:
        record: A struct or a frozen data class.

    Returns:
        The bytes.
    """
    return msgspec.msgpack.encode(record)


def decode_packed(packed: bytes, kind: type[Record], peer: str = '') -> Record:
    """Decode MessagePack into a typed record.

    Args:
        packed: The bytes.
        kind: The expected type.
        peer: The name of the peer that sent it, for the error.

    Returns:
        The record.

    Raises:
        PimentowayError: If the bytes are malformed or of another type.
    """
    try:
        return msgspec.msgpack.decode(packed, type=kind)
    except DECODING_ERRORS as fault:
        raise error.PimentowayError(str(fault), 'decode', peer) from fault
