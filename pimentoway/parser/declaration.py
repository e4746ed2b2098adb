"""The operators' declarations, an INI file that becomes a configuration.

A section is headed by the kind and the name of a record, such as
``[tier urgent]`` or ``[caller editor-1]``; a version is named within its pool,
as in ``[version captions/v2]``.
"""

import collections
import types

from pimentoway.core import configuration, index
from pimentoway.parser import ini

_ZONE_STATES = frozenset(state.value for state in configuration.ZoneState)


def parse_zone_state(text: str) -> configuration.ZoneState:
    """Parse the state of a failure domain.

    Args:
        text: ``in`` or ``out``.

    Returns:
        The state.

    Raises:
        ValueError: If it is neither.
    """
    if text not in _ZONE_STATES:
        raise ValueError(f'{text!r} is neither in nor out')
    return configuration.ZoneState(text)


def parse_key(text: str) -> str:
    """Parse a caller's key into its digest.

    Args:
        text: The key, or ``sha256:`` and its digest.

    Returns:
        The digest.
    """
    if text.startswith('sha256:'):
        return ini.parse_digest(text.removeprefix('sha256:'))
    return index.digest_key(text)


_BACKEND_FIELDS = types.MappingProxyType(
    {
        'address': ini.Field(ini.parse_address),
        'zone': ini.Field(ini.parse_name),
        'pool': ini.Field(ini.parse_name),
        'version': ini.Field(ini.parse_name, 'v1'),
        'leaving': ini.Field(ini.parse_truth, False),
        'cold_slots': ini.Field(ini.parse_count, 1),
        'cold_seconds': ini.Field(ini.parse_duration, 30.0),
    }
)

_FIELDS_BY_KIND = types.MappingProxyType(
    {
        'tier': {'rank': ini.Field(ini.parse_rank)},
        'customer': {'weight': ini.Field(ini.parse_weight, 1.0)},
        'caller': {
            'customer': ini.Field(ini.parse_name),
            'tier': ini.Field(ini.parse_name),
            'key': ini.Field(parse_key, attribute='key_digest'),
        },
        'zone': {
            'state': ini.Field(
                parse_zone_state,
                configuration.ZoneState.serving,
            ),
        },
        'service': {
            'pool': ini.Field(ini.parse_name),
            'repeatable': ini.Field(ini.parse_truth, True),
            'deadline': ini.Field(ini.parse_duration, 30.0),
            'max_body': ini.Field(ini.parse_count, 1_000_000),
        },
        'version': {'share': ini.Field(ini.parse_share, 1.0)},
        'engine': {
            **_BACKEND_FIELDS,
            'checks_fencing': ini.Field(ini.parse_truth, False),
        },
        'application': _BACKEND_FIELDS,
        'rollout': {
            'pool': ini.Field(ini.parse_name),
            'version': ini.Field(ini.parse_name),
            'base': ini.Field(ini.parse_name),
            'promised': ini.Field(ini.parse_time),
        },
    }
)

_RECORD_BY_KIND = types.MappingProxyType(
    {
        'tier': configuration.Tier,
        'customer': configuration.Customer,
        'caller': configuration.Caller,
        'zone': configuration.Zone,
        'service': configuration.Service,
        'version': configuration.Version,
        'engine': configuration.Engine,
        'application': configuration.Application,
        'rollout': configuration.Rollout,
    }
)

#: The attributes that name a record of another table.
_REFERENCES = (
    ('callers', 'customer', 'customers'),
    ('callers', 'tier', 'tiers'),
    ('engines', 'zone', 'zones'),
    ('applications', 'zone', 'zones'),
)


def read_declarations(path: str, text: str) -> configuration.Tables:
    """Read the operators' declarations.

    Args:
        path: The name of the file, for messages.
        text: Its text.

    Returns:
        The records. All faults are raised together as a ``SettingError``.
    """
    document = ini.Document(path, text)
    records_by_table: dict[str, list] = collections.defaultdict(list)
    for section in document.list_sections():
        kind, _, name = section.partition(' ')
        if kind not in _FIELDS_BY_KIND:
            document.add_fault(section, '', 'unknown kind of section')
            continue
        record = _read_record(document, section, kind, name.strip())
        if record:
            records_by_table[f'{kind}s'].append(record)
    tables = configuration.Tables(
        **{table: tuple(rows) for table, rows in records_by_table.items()},
    )
    _check_references(document, tables)
    _check_tiers(document, tables)
    _check_pools(document, tables)
    document.raise_faults()
    return tables


def _read_record(
    document: ini.Document, section: str, kind: str, name: str
) -> object | None:
    before = len(document.faults)
    found = document.read_section(section, _FIELDS_BY_KIND[kind])
    if kind == 'version':
        pool, _, name = name.partition('/')
        found['pool'] = pool
    for part in (name, found.get('pool', name)):
        _check_name(document, section, part)
    if len(document.faults) > before:
        return None
    return _RECORD_BY_KIND[kind](name=name, **found)


def _check_name(document: ini.Document, section: str, name: str) -> None:
    try:
        ini.parse_name(name)
    except ValueError as fault:
        document.add_fault(section, '', str(fault))


def _check_references(
    document: ini.Document, tables: configuration.Tables
) -> None:
    for table, attribute, target in _REFERENCES:
        names = {record.name for record in getattr(tables, target)}
        for record in getattr(tables, table):
            wanted = getattr(record, attribute)
            if wanted not in names:
                document.add_fault(
                    f'{table[:-1]} {record.name}',
                    attribute,
                    f'no such {target[:-1]}: {wanted}',
                )


def _check_tiers(document: ini.Document, tables: configuration.Tables) -> None:
    ranks = collections.Counter(tier.rank for tier in tables.tiers)
    for tier in tables.tiers:
        if ranks[tier.rank] > 1:
            document.add_fault(f'tier {tier.name}', 'rank', 'is taken twice')
    digests = collections.Counter(
        caller.key_digest for caller in tables.callers
    )
    for caller in tables.callers:
        if digests[caller.key_digest] > 1:
            document.add_fault(f'caller {caller.name}', 'key', 'is used twice')


def _check_version(
    document: ini.Document, versions: set[str], section: str, record: object
) -> None:
    wanted = f'{record.pool}/{record.version}'
    if wanted not in versions:
        document.add_fault(section, 'version', f'no such version: {wanted}')


def _check_pools(document: ini.Document, tables: configuration.Tables) -> None:
    backends = tables.engines + tables.applications
    versions = {
        configuration.identify_record(version) for version in tables.versions
    }
    for backend in backends:
        _check_version(document, versions, backend.name, backend)
    for rollout in tables.rollouts:
        section = f'rollout {rollout.name}'
        _check_version(document, versions, section, rollout)
        if f'{rollout.pool}/{rollout.base}' not in versions:
            document.add_fault(section, 'base', 'no such version')
    pools = {member.pool for member in backends}
    for service in tables.services:
        if service.pool not in pools:
            document.add_fault(
                f'service {service.name}',
                'pool',
                f'no back end is in pool {service.pool}',
            )
