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


def list_faults(reader: object, text: str) -> list[str]:
    """List the faults of a file.

    Args:
        reader: The reader.
        text: The text of the file.

    Returns:
        A line for each fault.
    """
    with pytest.raises(error.SettingError) as caught:
        reader('a.ini', text)
    return caught.value.reason.splitlines()


def test_settings_are_read() -> None:
    """Settings without faults are read, defaults included."""
    read = setting.read_settings('a.ini', _SETTINGS)
    assert (read.name, read.call_port, read.gap_seconds) == ('one', 3, 10)


def test_all_faults_of_settings_are_listed() -> None:
    """Every fault is listed with file, section and key."""
    wrong = _SETTINGS.replace('host = 10.0.0.1', 'host = localhost')
    wrong = wrong.replace('port = 2', 'port = 70000')
    wrong = wrong.replace('name = one\n', 'colour = red\n')
    more = '[backends]\ngap = 10\ngap = 1s\n[weather]\nsun = yes\n'
    assert list_faults(setting.read_settings, f'{wrong}{more}') == [
        'a.ini: [backends] gap: stands twice',
        'a.ini: [weather]: unknown section',
        'a.ini: [node] colour: unknown key',
        'a.ini: [node] name: is missing',
        "a.ini: [node] host: 'localhost' is no IP number",
        "a.ini: [operators] port: '70000' is no port",
    ]


@pytest.mark.parametrize('text', ['10', 's', '-1s', '0s', '1 week', '1e3s'])
def test_wrong_durations(text: str) -> None:
    """A duration without a unit, or of no length, is a fault."""
    faults = list_faults(
        setting.read_settings,
        f'{_SETTINGS}[backends]\ngap = {text}\n',
    )
    assert len(faults) == 1
    assert faults[0].startswith('a.ini: [backends] gap:')


def test_declarations_are_read() -> None:
    """Declarations without faults become records."""
    tables = declaration.read_declarations('a.ini', _DECLARATIONS)
    assert tables.versions == (configuration.Version('v1', 'text'),)
    assert tables.callers[0].key_digest != 'secret'


def test_all_faults_of_declarations_are_listed() -> None:
    """Wrong references, ranks and pools are listed together."""
    wrong = _DECLARATIONS.replace('tier = urgent', 'tier = none')
    more = (
        '[tier other]\nrank = 0\n[service tags]\npool = none\n'
        '[rollout text]\npool = text\nversion = v2\nbase = v1\n'
        'promised = 2026-12-04T18:00:00+00:00\n'
    )
    faults = list_faults(declaration.read_declarations, f'{wrong}{more}')
    assert faults == [
        'a.ini: [caller counter] tier: no such tier: none',
        'a.ini: [tier urgent] rank: is taken twice',
        'a.ini: [tier other] rank: is taken twice',
        'a.ini: [rollout text] version: no such version: text/v2',
        'a.ini: [service tags] pool: no back end is in pool none',
    ]


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.text())
def test_any_text_is_read_or_refused(text: str) -> None:
    """Whatever the text, it is read or refused with its faults."""
    for reader in (setting.read_settings, declaration.read_declarations):
        try:
            reader('a.ini', text)
        except error.SettingError as fault:
            assert fault.reason


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.data())
def test_changes_lead_from_any_to_any(draw: strategies.DataObject) -> None:
    """What compare_tables finds leads from one configuration to another."""
    tiers = strategies.dictionaries(
        strategies.sampled_from('abcd'),
        strategies.integers(0, 9),
    )
    old, new = (
        configuration.Tables(
            tiers=tuple(
                configuration.Tier(*pair) for pair in draw.draw(tiers).items()
            ),
        )
        for _ in range(2)
    )
    puts, removals = configuration.compare_tables(old, new)
    change = configuration.Change(1, 'id', 'author', puts, removals)
    before = configuration.Configuration(0, old)
    after = configuration.apply_change(before, change)
    assert set(after.tables.tiers) == set(new.tiers)
