"""The settings file of the platform, decoded into the place of a node."""

import os
import pathlib

import msgspec

from pimentoway.core import error, place

#: The variable of the environment that holds the path of the settings file.
PATH_VARIABLE = 'PIMENTOWAY_BOOT'

#: Milliseconds in a second.
MILLISECONDS = 1000

#: Bytes in a megabyte.
MEGABYTE = 0x100000

#: The offset of the metrics port in the range of internal ports.
METRICS_PORT_OFFSET = 1


class _Pascal(msgspec.Struct, frozen=True, rename='pascal'):
    """A table whose keys are written in Pascal case."""


class _Listen(_Pascal):
    front: str
    ready: str
    # Where the role takes calls of the control plane; nothing outside calls
    # it, so the nodes use it among themselves.
    control: str


class _Limits(_Pascal):
    # The part of each core, so the processor time is the product.
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


class _Platform(_Pascal):
    # The address of the store, not of this node.
    address: str


class _Settings(_Pascal):
    node_name: str
    ip: str
    zone: str
    internal_ports: tuple[int, int]
    zones: dict[str, str]
    listen: _Listen
    platform: _Platform
    seeds: list[str] = []
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def find_path() -> pathlib.Path:
    """Find the settings file.

    Returns:
        Its path.

    Raises:
        SettingError: If the environment names none.
    """
    path = os.environ.get(PATH_VARIABLE, '')
    if not path:
        raise error.SettingError(
            f'the environment has no {PATH_VARIABLE}', 'read settings'
        )
    return pathlib.Path(path)


def read_place(path: pathlib.Path) -> place.Place:
    """Read the settings file.

    Args:
        path: Its path.

    Returns:
        The place of the node.

    Raises:
        SettingError: If the file can't be read or lacks something.
    """
    try:
        text = path.read_bytes()
    except OSError as fault:
        raise error.SettingError(
            f'settings can not be read: {fault}', 'read settings', str(path)
        ) from fault
    return decode_place(text, str(path))


def decode_place(text: bytes, source: str = '') -> place.Place:
    """Decode the text of a settings file.

    Args:
        text: The text.
        source: Where it comes from, for errors.

    Returns:
        The place of the node.

    Raises:
        SettingError: If the text lacks something or is no TOML.
    """
    try:
        raw = msgspec.toml.decode(text, type=_Settings)
    except (msgspec.MsgspecError, ValueError) as fault:
        raise error.SettingError(
            f'settings are wrong: {fault}', 'read settings', source
        ) from fault
    port = raw.internal_ports[0] + METRICS_PORT_OFFSET
    return place.Place(
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
    )


def _make_bounds(raw: _Bounds) -> place.Bounds:
    return place.Bounds(
        contact=raw.contact_ms / MILLISECONDS,
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
