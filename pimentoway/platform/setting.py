"""Reads the platform's settings file (TOML) as the settings of a node."""

import os
import pathlib

import msgspec

from pimentoway.core import error, nodesetting

#: The environment variable that holds the path of the settings file.
PATH_VARIABLE = 'PIMENTOWAY_BOOT'

#: Milliseconds in a second.
MILLISECONDS = 1000

#: Bytes in a megabyte, as the platform counts them (2 ** 20).
MEGABYTE = 0x100000

#: The metrics port is the first internal port plus this offset.
METRICS_PORT_OFFSET = 1

#: So is the port for requests of other nodes that this one relays.
RELAY_PORT_OFFSET = 2


class _Pascal(msgspec.Struct, frozen=True, rename='pascal'):
    """Base of TOML tables whose keys are in Pascal case."""


class _ListenAddresses(_Pascal):
    front: str
    ready: str
    # The address for calls of the control plane. Nothing outside the system
    # calls it, so the nodes use it for their own connections.
    control: str


class _Limits(_Pascal):
    # The fraction of each core; the processor time is this times `cores`.
    cpu_share: float = 1
    cores: int = 1
    memory_mb: int = 256
    max_fds: int = 1024


class _Bounds(_Pascal):
    contact_ms: float = 3000
    drain_ms: float = 2000
    grace_s: float = 8
    retry_budget_ratio: float = 0.2
    retry_budget_slack: float = 50
    budget_window_s: float = 10
    quota_window_s: float = 8
    quota_overshoot: float = 0.1
    quota_slack: float = 0
    exposure_share: float = 0.1
    exposure_slack: float = 50
    rollback_ms: float = 5000
    cold_slack: float = 5


class _PlatformStore(_Pascal):
    # The address of the store, not of this node.
    address: str


class _Settings(_Pascal):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    zones: dict[str, str]
    listen: _ListenAddresses
    platform: _PlatformStore
    seeds: list[str] = []
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def find_path() -> pathlib.Path:
    """Find the path of the settings file.

    Returns:
        The path, not checked for existence.

    Raises:
        SettingError: If ``PATH_VARIABLE`` is unset or empty.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise error.SettingError(
            f'environment variable {PATH_VARIABLE} is not set',
            'read settings',
        )
    return pathlib.Path(path)


def read_settings(path: pathlib.Path) -> nodesetting.NodeSettings:
    """Read and decode the settings file.

    Args:
        path: The path of the file.

    Returns:
        The settings of the node, with times in seconds.

    Raises:
        SettingError: If the file can't be read or is invalid.
    """
    try:
        text = path.read_bytes()
    except OSError as fault:
        raise error.SettingError(
            f'cannot read the settings: {fault}',
            'read settings',
            str(path),
        ) from fault
    return decode_settings(text, str(path))


def decode_settings(text: bytes, source: str = '') -> nodesetting.NodeSettings:
    """Decode the contents of a settings file.

    Args:
        text: The contents, in TOML.
        source: The path of the file, for error messages.

    Returns:
        The settings of the node, with times in seconds.

    Raises:
        SettingError: If the contents are no TOML, lack a setting or have one
            of another type.
    """
    try:
        raw = msgspec.toml.decode(text, type=_Settings)
    except (msgspec.MsgspecError, ValueError) as fault:
        raise error.SettingError(
            f'invalid settings: {fault}', 'read settings', source
        ) from fault
    port = raw.internal_ports[0] + METRICS_PORT_OFFSET
    return nodesetting.NodeSettings(
        name=raw.node_name,
        zone=raw.zone,
        ip=raw.ip,
        front=raw.listen.front,
        ready=raw.listen.ready,
        peers=raw.listen.control,
        metrics=f'{raw.ip}:{port}',
        seeds=tuple(raw.seeds),
        store=raw.platform.address,
        cores=raw.limits.cpu_share * raw.limits.cores,
        memory_bytes=raw.limits.memory_mb * MEGABYTE,
        descriptors=raw.limits.max_fds,
        zones=tuple(raw.zones),
        bounds=_make_bounds(raw.bounds),
        relay=_make_relay_address(raw),
    )


def _make_relay_address(raw: _Settings) -> str:
    first, last = raw.internal_ports
    port = first + RELAY_PORT_OFFSET
    return f'{raw.ip}:{port}' if port <= last else ''


def _make_bounds(raw: _Bounds) -> nodesetting.Bounds:
    return nodesetting.Bounds(
        recovery_seconds=raw.contact_ms / MILLISECONDS,
        drain=raw.drain_ms / MILLISECONDS,
        grace=raw.grace_s,
        retry_ratio=raw.retry_budget_ratio,
        retry_slack=raw.retry_budget_slack,
        retry_window=raw.budget_window_s,
        quota_window=raw.quota_window_s,
        quota_overshoot=raw.quota_overshoot,
        quota_slack=raw.quota_slack,
        exposure_share=raw.exposure_share,
        exposure_slack=raw.exposure_slack,
        rollback=raw.rollback_ms / MILLISECONDS,
        cold_slack=raw.cold_slack,
    )
