"""Reads and checks the settings of an entry process, an INI file."""

import dataclasses
import types

from pimentoway.parser import ini


@dataclasses.dataclass(frozen=True)
class Settings:
    """The settings of an entry process; durations are in seconds.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        host: The IP address on which it listens.
        callers_port: The TCP port for callers.
        operators_port: The TCP port for operators.
        operators_digest: The SHA-256 of the operators' token; if empty, every
            request that needs the token is refused.
        gossip_port: The UDP port for gossip of other nodes.
        call_port: The TCP port for calls of other nodes.
        peers: The gossip addresses of some other nodes, to join through.
        platform: The address of the platform's object service.
        platform_rate: The maximum rate of calls to the platform, per second.
        endpoint: The URL to which spans are exported; if empty, none are.
        queue_tokens: The maximum number of tokens that wait in one queue.
        connect_seconds: The timeout for connecting to a back end.
        first_byte_seconds: The timeout until an answer begins.
        gap_seconds: The timeout between two reads of an answer.
        caller_seconds: How long a caller may stall.
        connections: The maximum number of callers' connections.
        shutdown_seconds: The maximum duration of a graceful shutdown.
        notice_seconds: How long new requests are still accepted during a
            shutdown, after the readiness check begins to fail, so that load
            balancers can notice.
    """

    name: str
    zone: str
    host: str
    callers_port: int
    operators_port: int
    gossip_port: int
    call_port: int
    platform: str
    operators_digest: str
    peers: tuple[str, ...]
    platform_rate: float
    endpoint: str
    queue_tokens: int
    connect_seconds: float
    first_byte_seconds: float
    gap_seconds: float
    caller_seconds: float
    connections: int
    shutdown_seconds: float
    notice_seconds: float


_FIELDS_BY_SECTION = types.MappingProxyType(
    {
        'node': {
            'name': ini.Field(ini.parse_name),
            'zone': ini.Field(ini.parse_name),
            'host': ini.Field(ini.parse_ip_address),
            'shutdown': ini.Field(
                ini.parse_duration, 120.0, 'shutdown_seconds'
            ),
            'notice': ini.Field(ini.parse_duration, 5.0, 'notice_seconds'),
        },
        'callers': {
            'port': ini.Field(ini.parse_port, attribute='callers_port'),
            'stall': ini.Field(ini.parse_duration, 30.0, 'caller_seconds'),
            'connections': ini.Field(ini.parse_count, 2000),
            'queue_tokens': ini.Field(ini.parse_count, 400_000),
        },
        'operators': {
            'port': ini.Field(ini.parse_port, attribute='operators_port'),
            'token_sha256': ini.Field(ini.parse_digest, '', 'operators_digest'),
        },
        'nodes': {
            'gossip_port': ini.Field(ini.parse_port),
            'call_port': ini.Field(ini.parse_port),
            'peers': ini.Field(ini.parse_addresses, ()),
        },
        'platform': {
            'address': ini.Field(ini.parse_address, attribute='platform'),
            'calls_per_second': ini.Field(
                ini.parse_positive_number, 20.0, 'platform_rate'
            ),
        },
        'backends': {
            'connect': ini.Field(ini.parse_duration, 1.0, 'connect_seconds'),
            'first_byte': ini.Field(
                ini.parse_duration, 30.0, 'first_byte_seconds'
            ),
            'gap': ini.Field(ini.parse_duration, 10.0, 'gap_seconds'),
        },
        'traces': {
            'endpoint': ini.Field(str, ''),
        },
    }
)


def read_settings(path: str, text: str) -> Settings:
    """Parse the settings of an entry process and check its ports.

    The TCP ports for callers, operators and calls of other nodes must differ;
    the gossip port is a UDP port and may equal one of them.

    Args:
        path: The name of the file, used in messages only.
        text: The text of the file.

    Returns:
        The settings, with defaults for missing keys. All errors are raised
        together as a ``SettingError``.
    """
    document = ini.Document(path, text)
    for section in document.list_sections():
        if section not in _FIELDS_BY_SECTION:
            document.add_diagnostic(section, '', 'unknown section')
    value_by_attribute = {}
    for section, fields in _FIELDS_BY_SECTION.items():
        value_by_attribute.update(document.read_section(section, fields))
    _check_ports(document, value_by_attribute)
    document.raise_diagnostics()
    return Settings(**value_by_attribute)


def _check_ports(document: ini.Document, value_by_attribute: dict) -> None:
    attributes = ('callers_port', 'operators_port', 'call_port')
    ports = [
        value_by_attribute[attribute]
        for attribute in attributes
        if attribute in value_by_attribute
    ]
    if len(set(ports)) < len(ports):
        document.add_diagnostic(
            'callers',
            'port',
            'the TCP ports for callers, operators and nodes must differ',
        )
