"""A reader of INI files that lists every fault with file, section and key."""

import collections
import configparser
import dataclasses
import datetime
import ipaddress
import re
import types

from pimentoway.core import error

#: Seconds in each unit of time.
SECONDS_BY_UNIT = types.MappingProxyType(
    {'ms': 0.001, 's': 1, 'm': 60, 'h': 3600},
)

#: Stands for a key that has no default.
REQUIRED = object()

_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h)')
_SECTION = re.compile(r'\[(.*)\]\s*$')
_KEY = re.compile(r'([^\s=:#;\[][^=:]*?)\s*[=:]')
_LAST_PORT = 65_535
_TRUTH = types.MappingProxyType({'yes': True, 'no': False})


@dataclasses.dataclass(frozen=True)
class Field:
    """What a key may hold.

    Attributes:
        parse: Turns the text into the value; raises ``ValueError``.
        default: The value of a missing key, or ``REQUIRED``.
        attribute: The attribute that takes the value, if not named as the key.
    """

    parse: collections.abc.Callable[[str], object]
    default: object = REQUIRED
    attribute: str = ''


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of a file.

    Attributes:
        path: The file.
        section: The section.
        key: The key, or nothing if the section is at fault.
        reason: What is wrong.
    """

    path: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Render the fault.

        Returns:
            One line of text.
        """
        place = f'[{self.section}] {self.key}'.strip()
        return f'{self.path}: {place}: {self.reason}'


class Document:
    """An INI file and the faults found in it.

    Attributes:
        path: The file.
        faults: The faults found so far.
    """

    def __init__(self, path: str, text: str) -> None:
        """Read a file.

        Args:
            path: The name of the file, for messages.
            text: Its text.
        """
        self.path = path
        self.faults: list[Fault] = []
        self._parser = configparser.ConfigParser(
            strict=False,
            interpolation=None,
        )
        self._list_duplicates(text)
        try:
            self._parser.read_string(text, path)
        except configparser.Error as fault:
            self.add_fault('', '', str(fault).replace('\n', ' '))

    def add_fault(self, section: str, key: str, reason: str) -> None:
        """Note a fault.

        Args:
            section: The section.
            key: The key, or nothing.
            reason: What is wrong.
        """
        self.faults.append(Fault(self.path, section, key, reason))

    def list_sections(self) -> list[str]:
        """List the sections.

        Returns:
            Their names in the order of the file.
        """
        return self._parser.sections()

    def read_section(
        self, section: str, fields: dict[str, Field]
    ) -> dict[str, object]:
        """Read the keys of a section.

        Args:
            section: The section.
            fields: What each key may hold.

        Returns:
            The values by attribute; those at fault are missing.
        """
        present: dict[str, str] = {}
        if self._parser.has_section(section):
            present = dict(self._parser.items(section))
        for key in present:
            if key not in fields:
                self.add_fault(section, key, 'unknown key')
        found = {}
        for key, field in fields.items():
            try:
                found[field.attribute or key] = _read_field(
                    present.get(key),
                    field,
                )
            except ValueError as fault:
                self.add_fault(section, key, str(fault))
        return found

    def raise_faults(self) -> None:
        """Raise one error that lists all faults, if there are any.

        Raises:
            SettingError: If there are faults.
        """
        if self.faults:
            lines = '\n'.join(str(fault) for fault in self.faults)
            raise error.SettingError(lines, 'check', self.path)

    def _list_duplicates(self, text: str) -> None:
        section = ''
        seen: set[tuple[str, str]] = set()
        for line in text.splitlines():
            heading = _SECTION.match(line)
            key = _KEY.match(line)
            place = None
            if heading:
                section = heading.group(1)
                place = (section, '')
            elif key:
                place = (section, key.group(1).lower())
            if place in seen:
                self.add_fault(section, place[1], 'stands twice')
            elif place:
                seen.add(place)


def parse_duration(text: str) -> float:
    """Parse a duration such as ``500ms`` or ``2s``.

    Args:
        text: The text.

    Returns:
        The seconds, more than 0.

    Raises:
        ValueError: If it is none.
    """
    match = _DURATION.fullmatch(text)
    if not match:
        raise ValueError(f'{text!r} is no duration; units are ms, s, m and h')
    seconds = float(match.group(1)) * SECONDS_BY_UNIT[match.group(2)]
    if seconds <= 0:
        raise ValueError('must be more than 0')
    return seconds


def parse_address(text: str) -> str:
    """Parse an IP number with a port.

    Args:
        text: The text, as ``host:port``.

    Returns:
        The address. A ``ValueError`` is raised if it is none.
    """
    host, _, port = text.rpartition(':')
    parse_host(host)
    parse_port(port)
    return text


def parse_host(text: str) -> str:
    """Parse an IP number.

    Args:
        text: The text.

    Returns:
        The IP number.

    Raises:
        ValueError: If it is none.
    """
    try:
        ipaddress.ip_address(text.strip('[]'))
    except ValueError as fault:
        raise ValueError(f'{text!r} is no IP number') from fault
    return text


def parse_port(text: str) -> int:
    """Parse a port.

    Args:
        text: The text.

    Returns:
        The port.

    Raises:
        ValueError: If it is none.
    """
    if not text.isdecimal() or not 0 < int(text) <= _LAST_PORT:
        raise ValueError(f'{text!r} is no port')
    return int(text)


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse addresses parted by commas.

    Args:
        text: The text.

    Returns:
        The addresses.
    """
    parts = (part.strip() for part in text.split(','))
    return tuple(parse_address(part) for part in parts if part)


def parse_truth(text: str) -> bool:
    """Parse ``yes`` or ``no``.

    Args:
        text: The text.

    Returns:
        Whether it is ``yes``.

    Raises:
        ValueError: If it is neither.
    """
    if text not in _TRUTH:
        raise ValueError(f'{text!r} is neither yes nor no')
    return _TRUTH[text]


def parse_name(text: str) -> str:
    """Parse a name.

    Args:
        text: The text.

    Returns:
        The name.

    Raises:
        ValueError: If it holds other characters than names may.
    """
    if not re.fullmatch(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}', text):
        raise ValueError(f'{text!r} is no name')
    return text


def parse_count(text: str) -> int:
    """Parse a whole number of at least one.

    Args:
        text: The text.

    Returns:
        The number.

    Raises:
        ValueError: If it is none.
    """
    if not text.isdecimal() or int(text) < 1:
        raise ValueError(f'{text!r} is no whole number of at least 1')
    return int(text)


def parse_time(text: str) -> float:
    """Parse a time such as ``2026-12-04T15:30:00+00:00``.

    Args:
        text: The text, in the form of ISO 8601 with its offset from UTC.

    Returns:
        The seconds since the epoch.

    Raises:
        ValueError: If it is none, or lacks the offset.
    """
    parsed = datetime.datetime.fromisoformat(text)
    if parsed.tzinfo is None:
        raise ValueError(f'{text!r} lacks its offset from UTC')
    return parsed.timestamp()


def parse_rank(text: str) -> int:
    """Parse a whole number of at least zero.

    Args:
        text: The text.

    Returns:
        The number.

    Raises:
        ValueError: If it is none.
    """
    if not text.isdecimal():
        raise ValueError(f'{text!r} is no whole number of at least 0')
    return int(text)


def parse_share(text: str) -> float:
    """Parse a share from 0 to 1.

    Args:
        text: The text.

    Returns:
        The share.

    Raises:
        ValueError: If it is none.
    """
    share = parse_number(text)
    if share > 1:
        raise ValueError(f'{text!r} is no share from 0 to 1')
    return share


def parse_weight(text: str) -> float:
    """Parse a weight of more than zero.

    Args:
        text: The text.

    Returns:
        The weight.

    Raises:
        ValueError: If it is none.
    """
    weight = parse_number(text)
    if not weight:
        raise ValueError('must be more than 0')
    return weight


def parse_number(text: str) -> float:
    """Parse a number of at least zero.

    Args:
        text: The text.

    Returns:
        The number.

    Raises:
        ValueError: If it is none.
    """
    if not re.fullmatch(r'\d+(\.\d+)?', text):
        raise ValueError(f'{text!r} is no number of at least 0')
    return float(text)


def parse_digest(text: str) -> str:
    """Parse a SHA-256 in hexadecimal.

    Args:
        text: The text.

    Returns:
        The digest.

    Raises:
        ValueError: If it is none.
    """
    if not re.fullmatch('[0-9a-f]{64}', text):
        raise ValueError('is no SHA-256 in hexadecimal')
    return text


def _read_field(text: str | None, field: Field) -> object:
    if text is not None:
        return field.parse(text)
    if field.default is REQUIRED:
        raise ValueError('is missing')
    return field.default
