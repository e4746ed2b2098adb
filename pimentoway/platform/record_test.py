"""Tests of decoding the objects of the platform's store."""

import json
import types

import msgspec
import pytest
from hypothesis import given, strategies

from pimentoway.core import deployment, registry
from pimentoway.platform import record

SERVER = types.MappingProxyType(
    {
        'Service': 's',
        'Address': '1.2.3.4:80',
        'Zone': 'z',
        'Version': 'v1',
        'Slots': 6,
        'State': 'ready',
        'ColdRemainingMs': 1500,
        'Stage': 'both',
        'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
        'Sequence': 4,
        'born': 1785705391051,
    }
)
ROUTE = types.MappingProxyType(
    {
        'Name': 'r',
        'Host': 'H.example',
        'PathPrefix': '/a/',
        'RouteKind': 'streaming',
        'TimeoutMs': 5000,
        'GoalMs': 500,
        'Priority': 1,
        'Split': [
            {'Service': 's', 'Weight': 90},
            {'Service': 't', 'Weight': 10},
        ],
        'MaxAttempts': 2,
        'Public': False,
        'Sticky': True,
        'Resumable': True,
    }
)


def decode(
    kind: registry.Kind, spec: object, status: object = None
) -> registry.Record:
    """Decode an object.

    Args:
        kind: Its kind.
        spec: Its specification.
        status: Its status.

    Returns:
        The record.
    """
    raw = {
        'Metadata': {'Name': 'n', 'Revision': 7, 'Created': 3},
        'Spec': dict(spec),
        'Status': status,
    }
    stored = msgspec.json.decode(
        json.dumps(raw),
        type=record.StoredObject,
    )
    return record.decode(kind, stored)


def test_back_end_is_decoded() -> None:
    """Times are seconds, and the state says whether it leaves."""
    engine = decode(registry.Kind.engines, SERVER)
    assert engine == deployment.Engine(
        'n', 's', '1.2.3.4:80', 'z', 'v1', 6, False, 1.5, 1785705391051
    )
    leaving = decode(registry.Kind.engines, {**SERVER, 'State': 'draining'})
    assert leaving.draining


@given(
    strategies.sampled_from(sorted(set(SERVER) - {'Stage', 'Models', 'born'})),
)
def test_missing_fields_name_no_back_end(name: str) -> None:
    """An entry that lacks something is an error."""
    torn = {key: field for key, field in SERVER.items() if key != name}
    with pytest.raises(msgspec.MsgspecError):
        decode(registry.Kind.engines, torn)


@given(strategies.sampled_from(sorted(SERVER)))
def test_fields_of_another_type_name_no_back_end(name: str) -> None:
    """An entry with a field of another type is an error."""
    with pytest.raises(msgspec.MsgspecError):
        decode(registry.Kind.engines, {**SERVER, name: {'odd': 1}})


@pytest.mark.parametrize(
    'change',
    [
        {'State': 'asleep'},
        {'Address': 'nowhere'},
        {'Slots': -1},
        {'Service': ''},
        {'Slots': '6'},
    ],
)
def test_odd_entries_name_no_back_end(change: dict) -> None:
    """An entry that another writer left is an error."""
    with pytest.raises(msgspec.MsgspecError):
        decode(registry.Kind.engines, {**SERVER, **change})


def test_configuration_is_decoded() -> None:
    """Routes, services and customers get the names of the product."""
    held = decode(
        registry.Kind.configuration,
        {
            'Version': 9,
            'Routes': [dict(ROUTE)],
            'Services': [
                {
                    'Name': 's',
                    'MaxConnections': 360,
                    'ColdPerS': 17,
                    'Engine': {'Slots': 6, 'most': 12},
                },
            ],
            'Limits': {'IdleTimeoutMs': 15000},
            'Tenants': [
                {
                    'Name': 'c',
                    'ApiKeys': ['k1', 'k2'],
                    'Priority': 1,
                    'Unit': 'token_stream',
                    'PlainTokens': 200,
                    'RatePerS': 10,
                    'Burst': 20,
                },
            ],
        },
    )
    route = held.find_route('h.example', '/a/b')
    assert route.kind is deployment.Kind.stream
    assert (route.timeout, route.goal, route.attempts) == (5, 0.5, 2)
    assert route.idempotent
    assert held.customers_by_key['k2'].name == 'c'
    assert held.customers_by_name['c'].measure_cost(None) == 200
    assert held.services_by_name['s'].cold_rate == 17
    assert held.limits.idle_seconds == 15


def test_unknown_kind_of_route_is_an_error() -> None:
    """A configuration with an unknown kind of route is not adopted."""
    with pytest.raises(msgspec.MsgspecError):
        decode(
            registry.Kind.configuration,
            {'Version': 1, 'Routes': [{**ROUTE, 'RouteKind': 'odd'}]},
        )


def test_status_of_an_earlier_order_says_nothing() -> None:
    """A report on another version does not hold for this order."""
    spec = {'Service': 's', 'Target': 'v2', 'DurationS': 12}
    old = decode(
        registry.Kind.rollouts, spec, {'State': 'complete', 'Target': 'v1'}
    )
    assert not old.state
    own = decode(
        registry.Kind.rollouts, spec, {'State': 'active', 'Target': 'v2'}
    )
    assert own.state == 'active'
    assert own.revision == 7


def test_split_of_a_route_follows_its_weights() -> None:
    """A hash of the request gives each service its part."""
    held = decode(
        registry.Kind.configuration, {'Version': 1, 'Routes': [dict(ROUTE)]}
    )
    route = held.routes[0]
    chosen = [route.choose_service(f'{number:x}') for number in range(2000)]
    assert 0.85 < chosen.count('s') / len(chosen) < 0.95
