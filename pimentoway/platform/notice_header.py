"""Decodes the notices in the headers of a back end's answer."""

import re

from pimentoway.core import call, message

#: The longest time, in seconds, for which a back end may turn requests away;
#: a longer one counts as unreadable.
MAX_RETRY_AFTER_SECONDS = 86_400

#: The most rejections a second that a back end may say it tolerates; a larger
#: number counts as this.
MAX_TOLERATED_REJECTIONS = 1000

#: The most characters of an unreadable value that are kept for the log.
MAX_UNREADABLE_LENGTH = 40

_LEAVING = b'server-leaving'
_IS_LEAVING = b'1'
_RETRY_AFTER = b'retry-after'
_BRITTLE = b'server-brittle'
# `float` alone would also accept signs, exponents, `inf` and underscores.
_SECONDS = re.compile(rb'[0-9]+(\.[0-9]+)?')
_NUMBER = re.compile(rb'-?[0-9]+(\.[0-9]+)?')
_MISDIRECTED = 421
_UNAVAILABLE = 503


def read_notices(answer: message.Answer) -> call.Notices:
    """Decode the notices of an answer.

    Args:
        answer: The answer, of which the head was read.

    Returns:
        The notices; none of an answer to a misdirected request, as that comes
        from another back end.
    """
    if answer.status == _MISDIRECTED:
        return call.Notices()
    leaving_texts = _list_values(answer, _LEAVING)
    leaving = {text.strip() for text in leaving_texts} == {_IS_LEAVING}
    unreadable = [] if leaving else leaving_texts
    seconds: float = 0
    if answer.status == _UNAVAILABLE:
        retry_texts = _list_values(answer, _RETRY_AFTER)
        read = _read_seconds(retry_texts)
        if read is None:
            unreadable.extend(retry_texts)
        seconds = read or 0
    brittle_texts = _list_values(answer, _BRITTLE)
    tolerated, is_plain = _read_tolerated(brittle_texts)
    if not is_plain:
        unreadable.extend(brittle_texts)
    return call.Notices(leaving, seconds, _shorten(unreadable), tolerated)


def _list_values(answer: message.Answer, name: bytes) -> list[bytes]:
    return [text for key, text in answer.headers if key.lower() == name]


def _read_seconds(texts: list[bytes]) -> float | None:
    text = texts[0].strip() if len(texts) == 1 else b''
    if not _SECONDS.fullmatch(text):
        return None
    seconds = float(text)
    return seconds if seconds <= MAX_RETRY_AFTER_SECONDS else None


def _read_tolerated(texts: list[bytes]) -> tuple[int | None, bool]:
    # The second value tells whether the header is absent or one number within
    # its bounds. Of several numbers the smallest is the safest.
    parts = [part.strip() for text in texts for part in text.split(b',')]
    # Unlike int, float converts any number of digits.
    numbers = [float(part) for part in parts if _NUMBER.fullmatch(part)]
    if not numbers:
        return None, not parts
    stated = min(numbers)
    tolerated = int(max(0, min(stated, MAX_TOLERATED_REJECTIONS)))
    return tolerated, len(parts) == 1 and tolerated == stated


def _shorten(texts: list[bytes]) -> str:
    joined = b', '.join(texts[:MAX_UNREADABLE_LENGTH])
    return repr(joined[:MAX_UNREADABLE_LENGTH]) if texts else ''
