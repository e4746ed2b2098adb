"""Decodes and encodes the lease of the duties, and calls to the API."""

import typing

import msgspec

from pimentoway.core import codec, duty, error, log, registry
from pimentoway.platform import record, store_answer

#: The path segment of the lease's kind in the store, and the lease's name.
KIND = 'pimentoway-duties'
LEASE_NAME = 'lease'

#: The most reports in a lease. Holders keep fewer; more are not theirs.
MAX_REPORTS = 100

#: The paths of the API.
USAGE_PATH = '/usage'
SCALE_PATH = '/scale'

#: The headers of its calls.
HOLDER_HEADER = 'Pimentoway-Duty-Holder'
TOKEN_HEADER = 'Pimentoway-Fencing-Token'

_LOG = log.Log('store')

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=record.MAX_INTEGER)]


class _Pascal(msgspec.Struct, frozen=True, rename='pascal'):
    """Base of objects whose JSON keys are in Pascal case."""


class _Usage(_Pascal):
    window_id: record.Integer
    counts: dict[str, _Count]


class _Scale(_Pascal):
    service: str
    zone: str
    desired_count: int


class _Lease(_Pascal):
    holder: record.NonEmptyText
    boot: record.NonEmptyText
    # The era of the store as its writer knew it.
    era: record.Revision
    renewals: _Count = 0
    previous: str = ''
    released: bool = False
    usage_through: record.Integer = 0
    usage: typing.Annotated[
        list[_Usage], msgspec.Meta(max_length=MAX_REPORTS)
    ] = []


def encode_lease(lease: duty.DutyRecord, era: int) -> dict[str, object]:
    """Encode the lease.

    Args:
        lease: The lease.
        era: The era of the store as the writer knows it.

    Returns:
        The ``Spec`` of its object in the store.
    """
    raw = _Lease(
        holder=lease.holder,
        boot=lease.boot,
        era=era,
        renewals=lease.renewals,
        previous=lease.previous,
        released=lease.released,
        usage_through=lease.usage_through,
        usage=[_make_usage(report) for report in lease.usage],
    )
    return msgspec.to_builtins(raw)


def decode_page(page: store_answer.Page, era: int) -> duty.StoredDuty:
    """Find the lease in a listing of its kind.

    Args:
        page: The listing.
        era: The era of the store.

    Returns:
        The lease. One that can't be decoded counts as one of before a
        restoration, as what it held may have been acted upon.
    """
    for raw in page.entries:
        stored = _decode_object(raw)
        if stored and stored.metadata.name == LEASE_NAME:
            return _decode_lease(stored, era)
    return duty.StoredDuty(registry.join_revision(era, 0), None)


def decode_revision(body: bytes) -> int:
    """Read the revision of a write from its answer.

    Args:
        body: The JSON text of the written object.

    Returns:
        The store's own number of the revision.

    Raises:
        PlatformAmbiguousError: If the answer has none.
    """
    stored = _decode_object(body)
    if stored is None or not stored.metadata.revision:
        raise error.PlatformAmbiguousError(
            'the answer has no revision', 'write', KIND
        )
    return stored.metadata.revision


def encode_report(report: duty.UsageReport) -> bytes:
    """Encode a report of usage.

    Args:
        report: The report.

    Returns:
        The body of the call; equal reports have equal bodies.
    """
    return msgspec.json.encode(_make_usage(report))


def encode_order(order: duty.EngineOrder) -> bytes:
    """Encode an order of engines.

    Args:
        order: The order.

    Returns:
        The body of the call.
    """
    return msgspec.json.encode(_Scale(order.service, order.zone, order.count))


def decode_call(path: str, body: bytes) -> duty.UsageReport | duty.EngineOrder:
    """Decode a call, as the stand-in of the API does.

    Args:
        path: The path.
        body: The body.

    Returns:
        What it reports or orders.
    """
    if path == USAGE_PATH:
        return _make_report(msgspec.json.decode(body, type=_Usage))
    raw = msgspec.json.decode(body, type=_Scale)
    return duty.EngineOrder(raw.service, raw.zone, raw.desired_count)


def _make_usage(report: duty.UsageReport) -> _Usage:
    return _Usage(report.window, dict(report.counts))


def _make_report(raw: _Usage) -> duty.UsageReport:
    return duty.UsageReport(raw.window_id, tuple(sorted(raw.counts.items())))


def _decode_object(raw: bytes) -> record.StoredObject | None:
    try:
        return msgspec.json.decode(raw, type=record.StoredObject)
    except codec.DECODING_ERRORS as fault:
        _LOG.write('cannot decode an object.', kind=KIND, reason=str(fault))
    return None


def _decode_lease(stored: record.StoredObject, era: int) -> duty.StoredDuty:
    revision = registry.join_revision(era, stored.metadata.revision)
    try:
        raw = msgspec.json.decode(stored.spec, type=_Lease)
    except codec.DECODING_ERRORS as fault:
        _LOG.write('cannot decode the lease.', reason=str(fault))
        return duty.StoredDuty(revision, None, is_outdated=True)
    lease = duty.DutyRecord(
        holder=raw.holder,
        boot=raw.boot,
        renewals=raw.renewals,
        previous=raw.previous,
        released=raw.released,
        usage_through=raw.usage_through,
        usage=tuple(_make_report(report) for report in raw.usage),
    )
    return duty.StoredDuty(revision, lease, is_outdated=raw.era != era)
