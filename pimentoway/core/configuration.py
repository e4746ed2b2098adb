"""The configuration that operators declare and every node applies.

A configuration is a set of frozen records with a version that only rises. A
change holds only the records that it puts or removes, so nodes exchange a few
hundred bytes for a change instead of the whole configuration.
"""

import dataclasses
import enum


class ZoneState(enum.StrEnum):
    """Whether the back ends of a failure domain get new requests."""

    serving = 'in'
    out = 'out'


@dataclasses.dataclass(frozen=True)
class Tier:
    """A priority tier of callers.

    Attributes:
        name: The name.
        rank: The priority; 0 is the highest and is shed last.
    """

    name: str
    rank: int


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer, whose callers share one weight in fair queueing.

    Attributes:
        name: The name.
        weight: The weight against other customers of the same tier.
    """

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Caller:
    """A client of a customer, identified by its API key.

    Attributes:
        name: The name, unique among all customers.
        customer: The name of the customer.
        tier: The name of the tier of the caller's requests.
        key_digest: The SHA-256 of the API key, in hexadecimal.
    """

    name: str
    customer: str
    tier: str
    key_digest: str


@dataclasses.dataclass(frozen=True)
class Zone:
    """A failure domain.

    Attributes:
        name: The name.
        state: Whether its back ends get new requests.
    """

    name: str
    state: ZoneState = ZoneState.serving


@dataclasses.dataclass(frozen=True)
class Service:
    """A model or an application that callers can request.

    Attributes:
        name: The name in requests; for engines the name of the model.
        pool: The name of the pool of back ends that serve it.
        repeatable: Whether a request may take effect more than once.
        deadline: The default time limit of a request, in seconds.
        max_body: The largest accepted body, in bytes.
    """

    name: str
    pool: str
    repeatable: bool = True
    deadline: float = 30.0
    max_body: int = 1_000_000


@dataclasses.dataclass(frozen=True)
class Version:
    """A version of the software of a pool's back ends.

    Attributes:
        name: The name, unique within the pool.
        pool: The name of the pool.
        share: The fraction of the pool's traffic that it gets, from 0 to 1.
    """

    name: str
    pool: str
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A rollout: moves a pool's traffic to a new version by a fixed time.

    Attributes:
        name: The name.
        pool: The name of the pool.
        version: The new version.
        base: The version that it replaces.
        promised: The wall-clock time by which the new version gets all
            traffic or is rolled back, in seconds since the epoch.
    """

    name: str
    pool: str
    version: str
    base: str
    promised: float

    @property
    def identity(self) -> str:
        """Identify the rollout, also against earlier ones of the same name.

        Returns:
            The pool, the version and the promised time.
        """
        return f'{self.pool}/{self.version}/{self.promised:.0f}'


@dataclasses.dataclass(frozen=True)
class Backend:
    """A back end.

    Attributes:
        name: The name.
        address: The address, as ``host:port``.
        zone: The name of its failure domain.
        pool: The name of its pool.
        version: The name of the version that it runs.
        leaving: Whether it gets no new requests because it will be removed.
        cold_slots: The number of concurrent requests that it can run while it
            is cold after a start.
        cold_seconds: How long it is cold after a start.
    """

    name: str
    address: str
    zone: str
    pool: str
    version: str
    leaving: bool = False
    cold_slots: int = 1
    cold_seconds: float = 30


@dataclasses.dataclass(frozen=True)
class Engine(Backend):
    """A model engine, which streams its answers.

    Attributes:
        checks_fencing: Whether it refuses requests with an old fencing number.
    """

    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class Application(Backend):
    """An application server, which answers a call with a single body."""


@dataclasses.dataclass(frozen=True)
class Tables:
    """The records of a configuration, or the ones that a change puts."""

    tiers: tuple[Tier, ...] = ()
    customers: tuple[Customer, ...] = ()
    callers: tuple[Caller, ...] = ()
    zones: tuple[Zone, ...] = ()
    services: tuple[Service, ...] = ()
    versions: tuple[Version, ...] = ()
    engines: tuple[Engine, ...] = ()
    applications: tuple[Application, ...] = ()
    rollouts: tuple[Rollout, ...] = ()


@dataclasses.dataclass(frozen=True)
class Removal:
    """The removal of one record.

    Attributes:
        table: The name of the table.
        name: The key of the record, see ``identify_record``.
    """

    table: str
    name: str


@dataclasses.dataclass(frozen=True)
class Change:
    """One accepted change of the configuration.

    Attributes:
        version: The version of the configuration after the change.
        change_id: The identifier that the author gave the change.
        author: The operator who made the change.
        puts: The records that it adds or replaces.
        removals: The records that it removes.
    """

    version: int
    change_id: str
    author: str
    puts: Tables = Tables()
    removals: tuple[Removal, ...] = ()


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the whole configuration.

    Attributes:
        version: The version; 0 if no configuration was declared yet.
        tables: The records.
    """

    version: int = 0
    tables: Tables = Tables()


TABLE_NAMES = tuple(field.name for field in dataclasses.fields(Tables))


def identify_record(record: object) -> str:
    """Return the key of a record within its table.

    Args:
        record: A record of any table.

    Returns:
        The name; for versions, which are unique only within their pool,
        ``pool/name``.
    """
    if isinstance(record, Version):
        return f'{record.pool}/{record.name}'
    return record.name


def apply_change(old: Configuration, change: Change) -> Configuration:
    """Apply a change to the configuration that precedes it.

    Args:
        old: The configuration before the change.
        change: The change.

    Returns:
        The configuration after the change.

    Raises:
        ValueError: If the version of the change is not the next one.
    """
    if change.version != old.version + 1:
        raise ValueError(
            f'change {change.version} does not follow {old.version}',
        )
    removed = {(removal.table, removal.name) for removal in change.removals}
    tables = {
        table: _merge_table(
            table,
            getattr(old.tables, table),
            getattr(change.puts, table),
            removed,
        )
        for table in TABLE_NAMES
    }
    return Configuration(change.version, Tables(**tables))


def compare_tables(
    old: Tables, new: Tables
) -> tuple[Tables, tuple[Removal, ...]]:
    """Compute the difference between two sets of records.

    Args:
        old: The current records.
        new: The desired records.

    Returns:
        The records to put and the records to remove.
    """
    puts = {}
    removals = []
    for table in TABLE_NAMES:
        old_by_name = _index_records(getattr(old, table))
        new_by_name = _index_records(getattr(new, table))
        puts[table] = tuple(
            record
            for name, record in new_by_name.items()
            if old_by_name.get(name) != record
        )
        removals.extend(
            Removal(table, name)
            for name in old_by_name
            if name not in new_by_name
        )
    return Tables(**puts), tuple(removals)


def _index_records(records: tuple) -> dict[str, object]:
    return {identify_record(record): record for record in records}


def _merge_table(
    table: str,
    old: tuple,
    puts: tuple,
    removed: set[tuple[str, str]],
) -> tuple:
    by_name = _index_records(old)
    by_name.update(_index_records(puts))
    return tuple(
        record
        for name, record in by_name.items()
        if (table, name) not in removed
    )
