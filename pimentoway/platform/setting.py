"""Reads the platform's settings file (TOML) as the settings of a node."""

import math
import os
import pathlib
import types
import typing

import msgspec

from pimentoway.core import duty, error, log, nodesetting

#: The environment variable that holds the path of the settings file.
PATH_VARIABLE = 'PIMENTOWAY_BOOT'

#: The environment variable that switches fair admission on, and its values.
ADMISSION_VARIABLE = 'PIMENTOWAY_FAIR_ADMISSION'
SWITCH_BY_TEXT = types.MappingProxyType({'': False, 'off': False, 'on': True})

#: Milliseconds in a second.
MILLISECONDS = 1000

#: Bytes in a megabyte, as the platform counts them (2 ** 20).
MEGABYTE = 0x100000

#: The metrics port is the first internal port plus this offset.
METRICS_PORT_OFFSET = 1

#: So is the port for requests of other nodes that this one relays.
RELAY_PORT_OFFSET = 2

#: The duties by their names in the settings.
DUTIES_BY_NAME = types.MappingProxyType(
    {'metering': duty.Duty.usage, 'autoscale': duty.Duty.scaling},
)

_LOG = log.Log('setting')


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
    lease_ms: float = 3000
    thaw_ms: float = 300
    report_window_s: float = 5
    usage_tolerance: float = 0.05
    usage_late_s: float = 10


class _Cloud(_Pascal):
    # The address of the platform's API.
    address: str = ''
    duties: list[str] = []
    # The calls of all nodes together that it accepts.
    duty_per_s: float = 50


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
    cloud: _Cloud | None = None


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
            of another type, or one that the duties can't work with.
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
        duties=_make_duties(raw.cloud, raw.bounds, source),
        has_fair_admission=_read_admission(source),
    )


def _read_admission(source: str) -> bool:
    text = os.environ.get(ADMISSION_VARIABLE, '')
    if text not in SWITCH_BY_TEXT:
        raise error.SettingError(
            f'{ADMISSION_VARIABLE} is {text!r}, not "on" or "off"',
            'read settings',
            source,
        )
    return SWITCH_BY_TEXT[text]


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


def _make_duties(
    cloud: _Cloud | None, bounds: _Bounds, source: str
) -> duty.DutySettings | None:
    duties = _find_duties(cloud.duties) if cloud else None
    if not duties:
        return None
    if not cloud.address:
        _refuse('Cloud.Address is missing, but Cloud.Duties is not', source)
    for name, number in (
        ('Bounds.LeaseMs', bounds.lease_ms),
        ('Bounds.ReportWindowS', bounds.report_window_s),
        ('Cloud.DutyPerS', cloud.duty_per_s),
    ):
        # NaN is no number that compares as greater.
        if not 0 < number < math.inf:
            _refuse(f'{name} is {number}, expected more than 0', source)
    return duty.DutySettings(
        address=cloud.address,
        duties=duties,
        calls_per_second=cloud.duty_per_s,
        lease_seconds=bounds.lease_ms / MILLISECONDS,
        thaw_seconds=bounds.thaw_ms / MILLISECONDS,
        window_seconds=bounds.report_window_s,
        tolerance=bounds.usage_tolerance,
        late_seconds=bounds.usage_late_s,
    )


def _find_duties(names: list[str]) -> frozenset[duty.Duty]:
    unknown = set(names).difference(DUTIES_BY_NAME)
    if unknown:
        _LOG.write(
            'ignores duties that this release does not know.',
            duties=sorted(unknown),
        )
    return frozenset(
        DUTIES_BY_NAME[name] for name in names if name in DUTIES_BY_NAME
    )


def _refuse(reason: str, source: str) -> typing.NoReturn:
    raise error.SettingError(
        f'invalid settings: {reason}', 'read settings', source
    )
