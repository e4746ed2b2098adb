"""The configuration: what operators declare and every node runs.

A configuration is a set of frozen records with a version that only rises.
Changes carry the records that they put or remove, so that a node needs a few
hundred bytes for a change and not the whole configuration.
"""

import dataclasses
import enum


class ZoneState(enum.StrEnum):
    """Whether a failure domain takes new work."""

    serving = 'in'
    out = 'out'


@dataclasses.dataclass(frozen=True)
class Tier:
    """A tier of callers.

    Attributes:
        name: The name that operators gave the tier.
        rank: The rank of the tier; 0 is the highest and is shed last.
    """

    name: str
    rank: int


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer whose callers share the account.

    Attributes:
        name: The name of the customer.
        weight: The customer's share against customers of the same tier.
    """

    name: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True)
class Caller:
    """A caller of a customer, known by a key.

    Attributes:
        name: The name of the caller, unique among all customers.
        customer: The name of the customer.
        tier: The name of the tier of the caller's requests.
        key_digest: The SHA-256 of the caller's key, in hexadecimal.
    """

    name: str
    customer: str
    tier: str
    key_digest: str


@dataclasses.dataclass(frozen=True)
class Zone:
    """A failure domain.

    Attributes:
        name: The name of the failure domain.
        state: Whether the failure domain takes new work.
    """

    name: str
    state: ZoneState = ZoneState.serving


@dataclasses.dataclass(frozen=True)
class Service:
    """What callers ask for: a model or an application call.

    Attributes:
        name: The name that callers use, the model's name for engines.
        pool: The name of the pool of back ends that serve it.
        repeatable: Whether a request may take effect more than once.
        deadline: Seconds a request may take when the caller sets none.
        max_body: The largest body taken, in bytes.
    """

    name: str
    pool: str
    repeatable: bool = True
    deadline: float = 30.0
    max_body: int = 1_000_000


@dataclasses.dataclass(frozen=True)
class Version:
    """A version of what a pool's back ends run.

    Attributes:
        name: The name of the version, unique within its pool.
        pool: The name of the pool.
        share: The part of the pool's traffic that it takes, from 0 to 1.
    """

    name: str
    pool: str
    share: float = 1.0


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A rollout: a version takes over from another by a promised time.

    Attributes:
        name: The name of the rollout.
        pool: The name of the pool.
        version: The new version.
        base: The version that it replaces.
        promised: The wall-clock time by which it takes all traffic or is
            taken back, in seconds since the epoch.
    """

    name: str
    pool: str
    version: str
    base: str
    promised: float

    @property
    def identity(self) -> str:
        """Name the rollout apart from earlier ones of the same name.

        Returns:
            The identity.
        """
        return f'{self.pool}/{self.version}/{self.promised:.0f}'


@dataclasses.dataclass(frozen=True)
class Backend:
    """A back end.

    Attributes:
        name: The name of the back end.
        address: Its IP number and port, as ``host:port``.
        zone: The name of its failure domain.
        pool: The name of the pool to which it belongs.
        version: The name of the version that it runs.
        leaving: Whether it takes no new work because it will be removed.
        cold_slots: The requests that it bears at once after a start.
        cold_seconds: Seconds after a start for which it bears only those.
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
    """A model engine: streams tokens and takes orders.

    Attributes:
        checks_fencing: Whether it refuses orders with an old number.
    """

    checks_fencing: bool = False


@dataclasses.dataclass(frozen=True)
class Application(Backend):
    """A plain service: answers a call with one body."""


@dataclasses.dataclass(frozen=True)
class Tables:
    """The records of a configuration, or those that a change puts."""

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
        name: The identity of the record, see ``identify_record``.
    """

    table: str
    name: str


@dataclasses.dataclass(frozen=True)
class Change:
    """One accepted change of the configuration.

    Attributes:
        version: The version of the configuration after the change.
        change_id: The identifier that its author gave it.
        author: Who made it.
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
    """A configuration as every node runs it.

    Attributes:
        version: The version; 0 stands for no configuration.
        tables: The records.
    """

    version: int = 0
    tables: Tables = Tables()


TABLE_NAMES = tuple(field.name for field in dataclasses.fields(Tables))


def identify_record(record: object) -> str:
    """Name the identity of a record within its table.

    Args:
        record: A record of any table.

    Returns:
        The name; versions are named within their pool.
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
        ValueError: If the change does not follow the configuration.
    """
    if change.version != old.version + 1:
        raise ValueError(
            f'change {change.version} does not follow {old.version}',
        )
    removed = {(gone.table, gone.name) for gone in change.removals}
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
    """Work out what must be put and removed to get from old to new.

    Args:
        old: The records that are in force.
        new: The records that shall be.

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
