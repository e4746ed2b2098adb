"""Tests of the readers of settings and declarations."""

import hypothesis
import pytest
from hypothesis import strategies

from pimentoway.core import configuration, error
from pimentoway.parser import declaration, setting

_SETTINGS = """[node]
name = one
zone = norte
host = 10.0.0.1
[callers]
port = 1
[operators]
port = 2
[nodes]
gossip_port = 3
call_port = 3
[platform]
address = 10.0.0.9:80
"""

_DECLARATIONS = """[tier urgent]
rank = 0
[customer quetzal]
[caller counter]
customer = quetzal
tier = urgent
key = secret
[zone norte]
[service captions]
pool = text
[version text/v1]
[engine one]
address = 10.0.0.2:80
zone = norte
pool = text
"""


def list_errors(reader: object, text: str) -> list[str]:
    """List the errors that a reader raises.

    Args:
        reader: ``read_settings`` or ``read_declarations``.
        text: The text of the file.

    Returns:
        The lines of the reason of the ``SettingError``.
    """
    with pytest.raises(error.SettingError) as caught:
        reader('a.ini', text)
    return caught.value.reason.splitlines()


def test_valid_settings_are_parsed() -> None:
    """Valid settings are parsed, and missing keys get their defaults."""
    settings = setting.read_settings('a.ini', _SETTINGS)
    assert (settings.name, settings.call_port, settings.gap_seconds) == (
        'one',
        3,
        10,
    )


def test_all_errors_in_settings_are_reported() -> None:
    """Every error is reported with its file, section and key."""
    invalid = _SETTINGS.replace('host = 10.0.0.1', 'host = localhost')
    invalid = invalid.replace('port = 2', 'port = 70000')
    invalid = invalid.replace('name = one\n', 'colour = red\n')
    additions = '[backends]\ngap = 10\ngap = 1s\n[weather]\nsun = yes\n'
    assert list_errors(setting.read_settings, f'{invalid}{additions}') == [
        'a.ini: [backends] gap: is defined twice',
        'a.ini: [weather]: unknown section',
        'a.ini: [node] colour: unknown key',
        'a.ini: [node] name: is missing',
        "a.ini: [node] host: 'localhost' is not an IP address",
        "a.ini: [operators] port: '70000' is not a port",
    ]


@pytest.mark.parametrize('text', ['10', 's', '-1s', '0s', '1 week', '1e3s'])
def test_invalid_duration_is_reported(text: str) -> None:
    """A duration that is 0, negative or lacks a valid unit is an error."""
    errors = list_errors(
        setting.read_settings,
        f'{_SETTINGS}[backends]\ngap = {text}\n',
    )
    assert len(errors) == 1
    assert errors[0].startswith('a.ini: [backends] gap:')


def test_valid_declarations_become_records() -> None:
    """Valid declarations become records; a key is stored as its digest."""
    tables = declaration.read_declarations('a.ini', _DECLARATIONS)
    assert tables.versions == (configuration.Version('v1', 'text'),)
    assert tables.callers[0].key_digest != 'secret'


def test_all_errors_in_declarations_are_reported() -> None:
    """Invalid references, ranks and pools are reported together."""
    invalid = _DECLARATIONS.replace('tier = urgent', 'tier = none')
    additions = (
        '[tier other]\nrank = 0\n[service tags]\npool = none\n'
        '[rollout text]\npool = text\nversion = v2\nbase = v1\n'
        'promised = 2026-12-04T18:00:00+00:00\n'
    )
    errors = list_errors(declaration.read_declarations, f'{invalid}{additions}')
    assert errors == [
        'a.ini: [caller counter] tier: no such tier: none',
        'a.ini: [tier urgent] rank: is used by more than one tier',
        'a.ini: [tier other] rank: is used by more than one tier',
        'a.ini: [rollout text] version: no such version: text/v2',
        'a.ini: [service tags] pool: no back end is in pool none',
    ]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text())
def test_any_text_is_parsed_or_rejected(text: str) -> None:
    """No text makes a reader raise anything but a `SettingError`."""
    for reader in (setting.read_settings, declaration.read_declarations):
        try:
            reader('a.ini', text)
        except error.SettingError as rejection:
            assert rejection.reason


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.data())
def test_applied_change_gives_the_new_tables(
    example: strategies.DataObject,
) -> None:
    """Applying what `compare_tables` finds to the old tables gives the new."""
    tiers = strategies.dictionaries(
        strategies.sampled_from('abcd'),
        strategies.integers(0, 9),
    )
    old, new = (
        configuration.Tables(
            tiers=tuple(
                configuration.Tier(*pair)
                for pair in example.draw(tiers).items()
            ),
        )
        for _ in range(2)
    )
    puts, removals = configuration.compare_tables(old, new)
    change = configuration.Change(1, 'id', 'author', puts, removals)
    before = configuration.Configuration(0, old)
    after = configuration.apply_change(before, change)
    assert set(after.tables.tiers) == set(new.tiers)
