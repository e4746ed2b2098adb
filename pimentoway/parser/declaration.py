"""Reads the operators' declarations, an INI file, into configuration records.

The heading of a section is the kind and the name of a record, such as
``[tier urgent]`` or ``[caller editor-1]``. The name of a version includes its
pool, as in ``[version captions/v2]``.
"""

import collections
import types

from pimentoway.core import configuration, index
from pimentoway.parser import ini

_ZONE_STATES = frozenset(state.value for state in configuration.ZoneState)


def parse_zone_state(text: str) -> configuration.ZoneState:
    """Parse the state of a failure domain.

    Args:
        text: ``in`` (serves requests) or ``out`` (gets no new requests).

    Returns:
        The state.

    Raises:
        ValueError: If it is neither.
    """
    if text not in _ZONE_STATES:
        raise ValueError(f'{text!r} is neither in nor out')
    return configuration.ZoneState(text)


def parse_key(text: str) -> str:
    """Parse a caller's key and return only its digest.

    Args:
        text: The key itself, or ``sha256:`` and its SHA-256 in hexadecimal.

    Returns:
        The digest. A malformed digest after ``sha256:`` raises
        ``ValueError``.
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
        'leaving': ini.Field(ini.parse_boolean, False),
        'cold_slots': ini.Field(ini.parse_count, 1),
        'cold_seconds': ini.Field(ini.parse_duration, 30.0),
    }
)

_FIELDS_BY_KIND = types.MappingProxyType(
    {
        'tier': {'rank': ini.Field(ini.parse_rank)},
        'customer': {'weight': ini.Field(ini.parse_positive_number, 1.0)},
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
            'repeatable': ini.Field(ini.parse_boolean, True),
            'deadline': ini.Field(ini.parse_duration, 30.0),
            'max_body': ini.Field(ini.parse_count, 1_000_000),
        },
        'version': {'share': ini.Field(ini.parse_share, 1.0)},
        'engine': {
            **_BACKEND_FIELDS,
            'checks_fencing': ini.Field(ini.parse_boolean, False),
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

_RECORD_TYPE_BY_KIND = types.MappingProxyType(
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

#: References between records: the table and the attribute that holds the name,
#: and the table of the record that it names.
_REFERENCES = (
    ('callers', 'customer', 'customers'),
    ('callers', 'tier', 'tiers'),
    ('engines', 'zone', 'zones'),
    ('applications', 'zone', 'zones'),
)


def read_declarations(path: str, text: str) -> configuration.Tables:
    """Parse the declarations and check that they agree with each other.

    References to other records, the uniqueness of ranks and keys, and the
    pools and versions are checked.

    Args:
        path: The name of the file, used in messages only.
        text: The text of the file.

    Returns:
        The records by table. All errors are raised together as a
        ``SettingError``.
    """
    document = ini.Document(path, text)
    records_by_table: dict[str, list] = collections.defaultdict(list)
    for section in document.list_sections():
        kind, _, name = section.partition(' ')
        if kind not in _FIELDS_BY_KIND:
            document.add_diagnostic(section, '', 'unknown kind of record')
            continue
        record = _read_record(document, section, kind, name.strip())
        if record:
            records_by_table[f'{kind}s'].append(record)
    tables = configuration.Tables(
        **{table: tuple(rows) for table, rows in records_by_table.items()},
    )
    _check_references(document, tables)
    _check_uniqueness(document, tables)
    _check_pools_and_versions(document, tables)
    document.raise_diagnostics()
    return tables


def _read_record(
    document: ini.Document, section: str, kind: str, name: str
) -> object | None:
    earlier_count = len(document.diagnostics)
    value_by_attribute = document.read_section(section, _FIELDS_BY_KIND[kind])
    if kind == 'version':
        pool, _, name = name.partition('/')
        value_by_attribute['pool'] = pool
    for checked_name in (name, value_by_attribute.get('pool', name)):
        _check_name(document, section, checked_name)
    if len(document.diagnostics) > earlier_count:
        return None
    return _RECORD_TYPE_BY_KIND[kind](name=name, **value_by_attribute)


def _check_name(document: ini.Document, section: str, name: str) -> None:
    try:
        ini.parse_name(name)
    except ValueError as invalid:
        document.add_diagnostic(section, '', str(invalid))


def _check_references(
    document: ini.Document, tables: configuration.Tables
) -> None:
    for table, attribute, referenced_table in _REFERENCES:
        names = {record.name for record in getattr(tables, referenced_table)}
        for record in getattr(tables, table):
            referenced_name = getattr(record, attribute)
            if referenced_name not in names:
                document.add_diagnostic(
                    f'{table[:-1]} {record.name}',
                    attribute,
                    f'no such {referenced_table[:-1]}: {referenced_name}',
                )


def _check_uniqueness(
    document: ini.Document, tables: configuration.Tables
) -> None:
    ranks = collections.Counter(tier.rank for tier in tables.tiers)
    for tier in tables.tiers:
        if ranks[tier.rank] > 1:
            document.add_diagnostic(
                f'tier {tier.name}', 'rank', 'is used by more than one tier'
            )
    digests = collections.Counter(
        caller.key_digest for caller in tables.callers
    )
    for caller in tables.callers:
        if digests[caller.key_digest] > 1:
            document.add_diagnostic(
                f'caller {caller.name}',
                'key',
                'is used by more than one caller',
            )


def _check_version(
    document: ini.Document, version_ids: set[str], section: str, record: object
) -> None:
    version_id = f'{record.pool}/{record.version}'
    if version_id not in version_ids:
        document.add_diagnostic(
            section, 'version', f'no such version: {version_id}'
        )


def _check_pools_and_versions(
    document: ini.Document, tables: configuration.Tables
) -> None:
    backends = tables.engines + tables.applications
    version_ids = {
        configuration.identify_record(version) for version in tables.versions
    }
    for backend in backends:
        _check_version(document, version_ids, backend.name, backend)
    for rollout in tables.rollouts:
        section = f'rollout {rollout.name}'
        _check_version(document, version_ids, section, rollout)
        if f'{rollout.pool}/{rollout.base}' not in version_ids:
            document.add_diagnostic(section, 'base', 'no such version')
    pools = {record.pool for record in backends}
    for service in tables.services:
        if service.pool not in pools:
            document.add_diagnostic(
                f'service {service.name}',
                'pool',
                f'no back end is in pool {service.pool}',
            )
