"""Decodes the store's answers, in which single objects may be unreadable.

Other writers may store objects that the JSON library refuses: nested too
deeply, with half a surrogate pair, or with bytes that aren't UTF-8. The library
then refuses the whole answer, which is split here instead, without decoding
its objects.
"""

import collections
import itertools
import re
import typing

import msgspec

from pimentoway.core import codec, error, log, registry
from pimentoway.platform import record

#: The most unreadable objects of an answer that are logged one by one, and the
#: most characters of a name or reason.
MAX_LOGGED = 8
MAX_LOGGED_CHARACTERS = 200

# The quantifiers keep no state to go back to, so the time is linear.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_MEMBER = re.compile(rb'\s*(%s)\s*:(.*)' % _STRING, re.DOTALL)
_START = re.compile(rb'\s*[\[{]')
_NEXT_BRACKET_OR_COMMA = re.compile(
    rb'[^"\[\]{},]*+(?:%s[^"\[\]{},]*+)*+[\[\]{},]' % _STRING, re.DOTALL
)
_NEXT_BRACKETS = re.compile(
    rb'[^"\[\]{}]*+(?:%s[^"\[\]{}]*+)*+([\[{]++|[\]}]++)' % _STRING, re.DOTALL
)
_OPENING = frozenset(b'[{')
_CLOSING = frozenset(b']}')

_LOG = log.Log('store')

Decoded = typing.TypeVar('Decoded')


class Page(msgspec.Struct, rename='pascal'):
    """One page of a listing.

    Attributes:
        entries: The objects, not yet decoded.
        has_more: Whether further pages follow.
        store_revision: The revision of the store.
    """

    entries: list[msgspec.Raw] = msgspec.field(
        default_factory=list,
        name='Items',
    )
    has_more: bool = False
    store_revision: int = 0


class Event(msgspec.Struct, rename='pascal'):
    """A change of an object.

    Attributes:
        removed: Whether the object was removed.
        object: The object, not yet decoded.
    """

    removed: bool = False
    object: msgspec.Raw = msgspec.Raw(b'null')


class WatchAnswer(msgspec.Struct, rename='pascal'):
    """The answer to a watch.

    Attributes:
        store_revision: The revision of the store.
        events: The changes, in order.
    """

    store_revision: int = 0
    # The only key that the store does not write in Pascal case.
    events: list[Event] = msgspec.field(default_factory=list, name='events')


class _Metadata(msgspec.Struct, rename='pascal'):
    name: str


class _NamedObject(msgspec.Struct, rename='pascal'):
    metadata: _Metadata


def decode_page(body: bytes) -> Page:
    """Decode a page of a listing.

    Args:
        body: The JSON text.

    Returns:
        The page. One that can't be decoded even without its objects raises
        ``PlatformAmbiguousError``.
    """
    return _decode_answer(body, Page, _split_page)


def decode_watch(body: bytes) -> WatchAnswer:
    """Decode the answer to a watch.

    Args:
        body: The JSON text.

    Returns:
        The answer. One that can't be decoded even without its objects raises
        ``PlatformAmbiguousError``.
    """
    return _decode_answer(body, WatchAnswer, _split_watch)


class ObjectDecoder:
    """Decodes the objects of one answer.

    An object that can't be decoded must not hide the others. It is logged, up
    to ``MAX_LOGGED`` for each answer, and its record counts as removed.
    """

    def __init__(self, kind: registry.Kind, era: int) -> None:
        """Set the kind.

        Args:
            kind: The kind of the objects.
            era: The era of the store in which they were read.
        """
        self._kind = kind
        self._era = era
        self._unreadable = 0

    def decode(self, raw: bytes) -> registry.Change:
        """Decode an object.

        Args:
            raw: Its JSON text.

        Returns:
            Its name and record. The name is '' if it can't be decoded, the
            record ``None`` if the object can't.
        """
        name = ''
        try:
            name = _read_name(raw)
            return registry.Change(name, self._decode_record(raw))
        except codec.DECODING_ERRORS as fault:
            self._log_unreadable(name, fault)
        return registry.Change(name, None)

    def _decode_record(self, raw: bytes) -> registry.Record:
        stored = msgspec.json.decode(raw, type=record.StoredObject)
        return record.decode(self._kind, stored, self._era)

    def _log_unreadable(self, name: str, fault: Exception) -> None:
        self._unreadable += 1
        if self._unreadable > MAX_LOGGED:
            return
        _LOG.write(
            'cannot decode an object, its record is dropped.',
            kind=self._kind.value,
            name=name[:MAX_LOGGED_CHARACTERS],
            reason=str(fault)[:MAX_LOGGED_CHARACTERS],
        )


def _decode_answer(
    body: bytes,
    schema: type[Decoded],
    split: collections.abc.Callable[[bytes], Decoded],
) -> Decoded:
    try:
        return msgspec.json.decode(body, type=schema)
    except codec.DECODING_ERRORS:
        _LOG.write('splits an answer that cannot be decoded at once.')
    try:
        return split(body)
    except codec.DECODING_ERRORS as fault:
        raise error.PlatformAmbiguousError(
            f'cannot decode the answer of the store: {fault}', 'decode'
        ) from fault


def _split_page(body: bytes) -> Page:
    members = dict(_split_object(body))
    entries = _split(members.get('Items', b'[]'))
    return Page(
        [msgspec.Raw(entry) for entry in entries],
        _decode_member(members, 'HasMore', default=False),
        _decode_member(members, 'StoreRevision', default=0),
    )


def _split_watch(body: bytes) -> WatchAnswer:
    members = dict(_split_object(body))
    events = _split(members.get('events', b'[]'))
    return WatchAnswer(
        _decode_member(members, 'StoreRevision', default=0),
        [_split_event(event) for event in events],
    )


def _split_event(text: bytes) -> Event:
    members = dict(_split_object(text))
    return Event(
        _decode_member(members, 'Removed', default=False),
        msgspec.Raw(members.get('Object', b'null')),
    )


def _read_name(raw: bytes) -> str:
    try:
        return msgspec.json.decode(raw, type=_NamedObject).metadata.name
    except codec.DECODING_ERRORS:
        metadata = _find_member(bytes(raw), 'Metadata')
        return msgspec.json.decode(_find_member(metadata, 'Name'), type=str)


def _find_member(text: bytes, wanted: str) -> bytes:
    # Ends at the member, as the others may be large.
    for key, member in _split_object(text):
        if key == wanted:
            return member
    raise msgspec.DecodeError(f'an object has no {wanted}')


def _decode_member(
    members: dict[str, bytes], key: str, default: Decoded
) -> Decoded:
    if key not in members:
        return default
    return msgspec.json.decode(members[key], type=type(default))


def _split_object(text: bytes) -> collections.abc.Iterator[tuple[str, bytes]]:
    for part in _split(text):
        match = _MEMBER.match(part)
        if match is None:
            raise msgspec.DecodeError('a member of an object has no key')
        key, member = match.groups()
        yield key[1:-1].decode('latin-1'), member


def _split(text: bytes) -> collections.abc.Iterator[bytes]:
    for start, end in itertools.pairwise(_find_boundaries(text)):
        part = text[start + 1 : end]
        if part.strip():
            yield part


def _find_boundaries(text: bytes) -> collections.abc.Iterator[int]:
    """Find the brackets and commas of an array or object itself.

    Args:
        text: The JSON text.

    Yields:
        Their positions, in order.

    Raises:
        DecodeError: If the text is no array or object, or incomplete.
    """
    match = _START.match(text)
    while match:
        position = match.end()
        token = text[position - 1]
        if token in _OPENING and match.re is not _START:
            position = _skip_nested(text, position)
        else:
            yield position - 1
        if token in _CLOSING:
            return
        match = _NEXT_BRACKET_OR_COMMA.match(text, position)
    raise msgspec.DecodeError('an array or object is incomplete')


def _skip_nested(text: bytes, position: int) -> int:
    # Recursion would fail at a depth that another writer chooses.
    depth = 1
    while depth:
        match = _NEXT_BRACKETS.match(text, position)
        if match is None:
            raise msgspec.DecodeError('a nested array or object is incomplete')
        brackets = match.group(1)
        position = match.end()
        if brackets[0] in _OPENING:
            depth += len(brackets)
        else:
            # Further brackets belong to the containers around this one.
            closed = min(depth, len(brackets))
            position = match.start(1) + closed
            depth -= closed
    return position
