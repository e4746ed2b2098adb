"""An index of the configuration for look-ups while serving requests."""

import dataclasses
import hashlib

from pimentoway.core import configuration


@dataclasses.dataclass(frozen=True)
class Index:
    """The records of a configuration, by key.

    Attributes:
        version: The version of the configuration.
        tiers_by_name: The tiers.
        customers_by_name: The customers.
        callers_by_digest: The callers by the digest of their API key.
        zones_by_name: The failure domains.
        services_by_name: The services.
        versions_by_pool: The versions of each pool, sorted by name.
        backends_by_name: The engines and applications.
        rollouts_by_pool: The rollout of each pool that has one.
        backends_by_pool: The back ends of each pool, sorted by name.
    """

    version: int
    tiers_by_name: dict[str, configuration.Tier]
    customers_by_name: dict[str, configuration.Customer]
    callers_by_digest: dict[str, configuration.Caller]
    zones_by_name: dict[str, configuration.Zone]
    services_by_name: dict[str, configuration.Service]
    versions_by_pool: dict[str, tuple[configuration.Version, ...]]
    backends_by_name: dict[str, configuration.Backend]
    rollouts_by_pool: dict[str, configuration.Rollout]
    backends_by_pool: dict[str, tuple[configuration.Backend, ...]]


def build_index(source: configuration.Configuration) -> Index:
    """Index the records of a configuration.

    Args:
        source: The configuration.

    Returns:
        The index.
    """
    tables = source.tables
    backends = tables.engines + tables.applications
    return Index(
        version=source.version,
        tiers_by_name={tier.name: tier for tier in tables.tiers},
        customers_by_name={
            customer.name: customer for customer in tables.customers
        },
        callers_by_digest={
            caller.key_digest: caller for caller in tables.callers
        },
        zones_by_name={zone.name: zone for zone in tables.zones},
        services_by_name={service.name: service for service in tables.services},
        versions_by_pool=_group_by_pool(tables.versions),
        rollouts_by_pool={rollout.pool: rollout for rollout in tables.rollouts},
        backends_by_name={backend.name: backend for backend in backends},
        backends_by_pool=_group_by_pool(backends),
    )


def digest_key(key: str) -> str:
    """Compute the digest by which a configuration identifies an API key.

    Args:
        key: The key as the caller sends it.

    Returns:
        The SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key.encode()).hexdigest()


def _group_by_pool(records: tuple) -> dict[str, tuple]:
    groups: dict[str, list] = {}
    for record in records:
        groups.setdefault(record.pool, []).append(record)
    return {
        pool: tuple(sorted(group, key=configuration.identify_record))
        for pool, group in groups.items()
    }
