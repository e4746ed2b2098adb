"""Reads INI files; reports all errors with their file, section and key."""

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

#: The default of a field whose key must be present.
REQUIRED = object()

_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s|m|h)')
_SECTION_LINE = re.compile(r'\[(.*)\]\s*$')
_KEY_LINE = re.compile(r'([^\s=:#;\[][^=:]*?)\s*[=:]')
_MAX_PORT = 65_535
_BOOLEAN_BY_TEXT = types.MappingProxyType({'yes': True, 'no': False})


@dataclasses.dataclass(frozen=True)
class Field:
    """How the value of a key is parsed and where it is stored.

    Attributes:
        parse: Parses the text; raises ``ValueError`` if it is invalid.
        default: The value of a missing key, or ``REQUIRED``.
        attribute: The attribute of the record that gets the value; empty if it
            has the name of the key.
    """

    parse: collections.abc.Callable[[str], object]
    default: object = REQUIRED
    attribute: str = ''


@dataclasses.dataclass(frozen=True)
class Diagnostic:
    """An error in an INI file.

    Attributes:
        path: The name of the file.
        section: The heading of the section; empty if the syntax is invalid.
        key: The key; empty if the error concerns the whole section.
        reason: What is wrong.
    """

    path: str
    section: str
    key: str
    reason: str

    def __str__(self) -> str:
        """Format the error.

        Returns:
            One line, such as ``a.ini: [node] name: is missing``.
        """
        location = f'[{self.section}] {self.key}'.strip()
        return f'{self.path}: {location}: {self.reason}'


class Document:
    """A parsed INI file that collects the errors found in it.

    Attributes:
        path: The name of the file.
        diagnostics: The errors found so far.
    """

    def __init__(self, path: str, text: str) -> None:
        """Parse the text of a file.

        Syntax errors and duplicate sections and keys become diagnostics.

        Args:
            path: The name of the file, used in messages only.
            text: The text of the file.
        """
        self.path = path
        self.diagnostics: list[Diagnostic] = []
        self._parser = configparser.ConfigParser(
            strict=False,
            interpolation=None,
        )
        self._check_duplicates(text)
        try:
            self._parser.read_string(text, path)
        except configparser.Error as invalid:
            self.add_diagnostic('', '', str(invalid).replace('\n', ' '))

    def add_diagnostic(self, section: str, key: str, reason: str) -> None:
        """Add an error to the diagnostics.

        Args:
            section: The heading of the section.
            key: The key; empty if the error concerns the whole section.
            reason: What is wrong.
        """
        self.diagnostics.append(Diagnostic(self.path, section, key, reason))

    def list_sections(self) -> list[str]:
        """List the sections.

        Returns:
            Their headings in the order of the file.
        """
        return self._parser.sections()

    def read_section(
        self, section: str, fields: dict[str, Field]
    ) -> dict[str, object]:
        """Parse the keys of a section.

        Unknown, missing and invalid keys become diagnostics. A section that
        the file lacks is read as an empty one.

        Args:
            section: The heading of the section.
            fields: The allowed keys and their fields.

        Returns:
            The values by attribute, without those that are invalid.
        """
        text_by_key: dict[str, str] = {}
        if self._parser.has_section(section):
            text_by_key = dict(self._parser.items(section))
        for key in text_by_key:
            if key not in fields:
                self.add_diagnostic(section, key, 'unknown key')
        value_by_attribute = {}
        for key, field in fields.items():
            try:
                value_by_attribute[field.attribute or key] = _read_field(
                    text_by_key.get(key),
                    field,
                )
            except ValueError as invalid:
                self.add_diagnostic(section, key, str(invalid))
        return value_by_attribute

    def raise_diagnostics(self) -> None:
        """Raise all diagnostics together.

        Raises:
            SettingError: If there are any; its reason has a line for each.
        """
        if self.diagnostics:
            lines = '\n'.join(str(one) for one in self.diagnostics)
            raise error.SettingError(lines, 'check', self.path)

    def _check_duplicates(self, text: str) -> None:
        section = ''
        seen: set[tuple[str, str]] = set()
        for line in text.splitlines():
            heading = _SECTION_LINE.match(line)
            key = _KEY_LINE.match(line)
            location = None
            if heading:
                section = heading.group(1)
                location = (section, '')
            elif key:
                location = (section, key.group(1).lower())
            if location in seen:
                self.add_diagnostic(section, location[1], 'is defined twice')
            elif location:
                seen.add(location)


def parse_duration(text: str) -> float:
    """Parse a duration such as ``500ms`` or ``2s``.

    Args:
        text: A decimal number with the unit ``ms``, ``s``, ``m`` or ``h``.

    Returns:
        The duration in seconds, more than 0.

    Raises:
        ValueError: If the text has another form or the duration is 0.
    """
    match = _DURATION.fullmatch(text)
    if not match:
        raise ValueError(
            f'{text!r} is not a duration; units are ms, s, m and h'
        )
    seconds = float(match.group(1)) * SECONDS_BY_UNIT[match.group(2)]
    if seconds <= 0:
        raise ValueError('must be more than 0')
    return seconds


def parse_address(text: str) -> str:
    """Parse an IP address with a port.

    Args:
        text: The address, such as ``10.0.0.1:80`` or ``[::1]:80``.

    Returns:
        The text unchanged. The IP address and the port are checked as by
        ``parse_ip_address`` and ``parse_port``, which raise ``ValueError``.
    """
    host, _, port = text.rpartition(':')
    parse_ip_address(host)
    parse_port(port)
    return text


def parse_ip_address(text: str) -> str:
    """Parse an IP address; names of hosts are not resolved.

    Args:
        text: An IPv4 or IPv6 address; brackets around it are allowed.

    Returns:
        The text unchanged.

    Raises:
        ValueError: If it is not an IP address.
    """
    try:
        ipaddress.ip_address(text.strip('[]'))
    except ValueError as invalid:
        raise ValueError(f'{text!r} is not an IP address') from invalid
    return text


def parse_port(text: str) -> int:
    """Parse a port number.

    Args:
        text: A number from 1 to 65535.

    Returns:
        The port.

    Raises:
        ValueError: If it is not such a number.
    """
    if not text.isdecimal() or not 0 < int(text) <= _MAX_PORT:
        raise ValueError(f'{text!r} is not a port')
    return int(text)


def parse_addresses(text: str) -> tuple[str, ...]:
    """Parse a list of addresses separated by commas.

    Args:
        text: The addresses; empty items are skipped.

    Returns:
        The addresses, each checked by ``parse_address``.
    """
    parts = (part.strip() for part in text.split(','))
    return tuple(parse_address(part) for part in parts if part)


def parse_boolean(text: str) -> bool:
    """Parse ``yes`` or ``no``.

    Args:
        text: The text, in lower case.

    Returns:
        True for ``yes``.

    Raises:
        ValueError: If it is neither.
    """
    if text not in _BOOLEAN_BY_TEXT:
        raise ValueError(f'{text!r} is neither yes nor no')
    return _BOOLEAN_BY_TEXT[text]


def parse_name(text: str) -> str:
    """Parse the name of a node or of a record.

    Args:
        text: Up to 63 letters, digits, dots, underscores and hyphens; the
            first is a letter or a digit.

    Returns:
        The text unchanged.

    Raises:
        ValueError: If it is longer, empty or has other characters.
    """
    if not re.fullmatch(r'[A-Za-z0-9][A-Za-z0-9._-]{0,62}', text):
        raise ValueError(f'{text!r} is not a valid name')
    return text


def parse_count(text: str) -> int:
    """Parse a whole number of at least 1.

    Args:
        text: Decimal digits.

    Returns:
        The number.

    Raises:
        ValueError: If it is not such a number.
    """
    if not text.isdecimal() or int(text) < 1:
        raise ValueError(f'{text!r} is not a whole number of at least 1')
    return int(text)


def parse_time(text: str) -> float:
    """Parse a time such as ``2026-12-04T15:30:00+00:00``.

    Args:
        text: A time in ISO 8601 with its offset from UTC.

    Returns:
        Seconds since the Unix epoch.

    Raises:
        ValueError: If it has another form or lacks the offset.
    """
    parsed = datetime.datetime.fromisoformat(text)
    if parsed.tzinfo is None:
        raise ValueError(f'{text!r} lacks the offset from UTC')
    return parsed.timestamp()


def parse_rank(text: str) -> int:
    """Parse the rank of a tier, a whole number of at least 0.

    Args:
        text: Decimal digits.

    Returns:
        The rank.

    Raises:
        ValueError: If it is not such a number.
    """
    if not text.isdecimal():
        raise ValueError(f'{text!r} is not a whole number of at least 0')
    return int(text)


def parse_share(text: str) -> float:
    """Parse a share from 0 to 1.

    Args:
        text: A decimal number.

    Returns:
        The share.

    Raises:
        ValueError: If it is not a number from 0 to 1.
    """
    share = parse_nonnegative_number(text)
    if share > 1:
        raise ValueError(f'{text!r} is not a share from 0 to 1')
    return share


def parse_positive_number(text: str) -> float:
    """Parse a number of more than 0.

    Args:
        text: A decimal number.

    Returns:
        The number.

    Raises:
        ValueError: If it is not a number or is 0.
    """
    number = parse_nonnegative_number(text)
    if not number:
        raise ValueError('must be more than 0')
    return number


def parse_nonnegative_number(text: str) -> float:
    """Parse a number of at least 0.

    Args:
        text: A decimal number, without sign or exponent.

    Returns:
        The number.

    Raises:
        ValueError: If it has another form.
    """
    if not re.fullmatch(r'\d+(\.\d+)?', text):
        raise ValueError(f'{text!r} is not a number of at least 0')
    return float(text)


def parse_digest(text: str) -> str:
    """Parse a SHA-256 digest.

    Args:
        text: 64 hexadecimal digits in lower case.

    Returns:
        The text unchanged.

    Raises:
        ValueError: If it has another form.
    """
    if not re.fullmatch('[0-9a-f]{64}', text):
        raise ValueError('is not a SHA-256 digest in hexadecimal')
    return text


def _read_field(text: str | None, field: Field) -> object:
    if text is not None:
        return field.parse(text)
    if field.default is REQUIRED:
        raise ValueError('is missing')
    return field.default
