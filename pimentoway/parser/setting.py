"""The settings of an entry process, read from an INI file and checked whole."""

import dataclasses
import types

from pimentoway.parser import ini


@dataclasses.dataclass(frozen=True)
class Settings:
    """The settings of an entry process.

    Attributes:
        name: The name of the node.
        zone: Its failure domain.
        host: The IP number at which it listens.
        callers_port: The port for callers.
        operators_port: The port for operators.
        operators_digest: The SHA-256 of the operators' token, or nothing.
        gossip_port: The UDP port for other nodes.
        call_port: The TCP port for other nodes' calls.
        peers: Where some other nodes take gossip.
        platform: The address of the platform's object service.
        platform_rate: The calls a second to the platform.
        endpoint: Where spans are exported, or nothing.
        queue_tokens: The tokens that may wait in one queue.
        connect_seconds: The longest time to connect to a back end.
        first_byte_seconds: The longest time until an answer begins.
        gap_seconds: The longest time between two pieces of an answer.
        caller_seconds: The longest time for which a caller may stall.
        connections: The callers' connections at the most.
        shutdown_seconds: The longest time of a graceful shutdown.
        notice_seconds: How long new requests are still taken after the
            readiness check began to fail.
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
            'host': ini.Field(ini.parse_host),
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
                ini.parse_weight, 20.0, 'platform_rate'
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
    """Read the settings of an entry process.

    Args:
        path: The name of the file, for messages.
        text: Its text.

    Returns:
        The settings. All faults are raised together as a ``SettingError``.
    """
    document = ini.Document(path, text)
    for section in document.list_sections():
        if section not in _FIELDS_BY_SECTION:
            document.add_fault(section, '', 'unknown section')
    attributes = {}
    for section, fields in _FIELDS_BY_SECTION.items():
        attributes.update(document.read_section(section, fields))
    _check_ports(document, attributes)
    document.raise_faults()
    return Settings(**attributes)


def _check_ports(document: ini.Document, attributes: dict) -> None:
    names = ('callers_port', 'operators_port', 'call_port')
    ports = [attributes[name] for name in names if name in attributes]
    if len(set(ports)) < len(ports):
        document.add_fault(
            'callers',
            'port',
            'the TCP ports for callers, operators and nodes must differ',
        )
