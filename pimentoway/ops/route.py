"""The choice of a back end for a request.

The back end with the least expected time wins: the wait behind its load, the
prefill that its cache does not save, the answer at its pace, and the way to
another failure domain. The last is a few milliseconds, so that the own domain
goes first among equals and a cache that saves more than the way is used.
"""

import dataclasses

import xxhash

from pimentoway.core import clock, configuration, index, request
from pimentoway.ops import fleet, prefix, ramp

#: The time of prefill a token, against the time between two tokens.
PREFILL_RATIO = 0.02

#: Seconds between tokens before an engine's speed is known.
GAP_SECONDS = 0.02

#: Seconds that another failure domain must be better by.
REMOTE_SECONDS = 0.02

#: The cache hit assumed at the engine that rendezvous hashing prefers.
PREFERRED_HIT = 0.9

#: Seconds after which a report says nothing any more.
REPORT_SECONDS = 10

#: The resolution of a version's share.
SHARE_STEPS = 1_000_000


@dataclasses.dataclass(frozen=True)
class Site:
    """Where a node stands, for the choice of back ends.

    Attributes:
        node: The name of the node.
        zone: Its failure domain.
        nodes: The live nodes that share the back ends of the domain.
        owned: The names of back ends whose ramp this node owns.
        closed_zones: The failure domains that take no new work.
        condemned: The bad versions, each as pool and version.
    """

    node: str
    zone: str
    nodes: int
    owned: frozenset[str]
    closed_zones: frozenset[str]
    condemned: frozenset[tuple[str, str]] = frozenset()


def order_versions(
    versions: tuple[configuration.Version, ...],
    request_id: str,
    condemned: frozenset[str],
) -> list[str]:
    """Order a pool's versions for one request.

    The first is decided by a hash of the request, so that shares are exact
    without any agreement between nodes. The versions with the larger shares
    follow, for the case that the first has no back end; a version without a
    share is never used.

    Args:
        versions: The versions of the pool.
        request_id: The identifier of the request.
        condemned: The bad versions, which get no share.

    Returns:
        The names of the versions, the preferred one first.
    """
    versions = tuple(
        version for version in versions if version.name not in condemned
    )
    total = sum(version.share for version in versions)
    if total <= 0:
        return []
    point = xxhash.xxh3_64_intdigest(request_id.encode()) % SHARE_STEPS
    position = point / SHARE_STEPS * total
    chosen = versions[-1]
    for version in versions:
        position -= version.share
        if position < 0:
            chosen = version
            break
    largest = max(versions, key=_read_share)
    names = [chosen.name]
    if largest.name != chosen.name:
        names.append(largest.name)
    return names


def is_open(state: fleet.BackendState, site: Site) -> bool:
    """Tell whether a back end takes new work at all.

    Args:
        state: The back end.
        site: Where the node stands.

    Returns:
        Whether it is neither leaving, nor taken out, nor out of reach.
    """
    if state.backend.leaving or state.health.draining:
        return False
    if state.backend.zone in site.closed_zones:
        return False
    return clock.read_monotonic() >= state.health.closed_until


def count_free_slots(state: fleet.BackendState, site: Site) -> int:
    """Count the requests that this node may add to a back end.

    Args:
        state: The back end.
        site: Where the node stands.

    Returns:
        The free slots.
    """
    slots = int(state.limit.slots) - len(state.inflight)
    if state.ramp.phase is ramp.Phase.warm:
        return slots
    if needs_permit(state, site):
        return min(slots, len(state.permits))
    owned = state.backend.name in site.owned
    share = state.ramp.share_slots(owned, site.nodes)
    return min(slots, share - len(state.inflight) - fleet.count_lent(state))


def needs_permit(state: fleet.BackendState, site: Site) -> bool:
    """Tell whether a node has to borrow slots of a back end.

    Args:
        state: The back end.
        site: Where the node stands.

    Returns:
        Whether another node owns its ramp and the slots can't be divided.
    """
    if state.backend.name in site.owned:
        return False
    if state.ramp.phase is ramp.Phase.warm:
        return False
    return state.ramp.slots < site.nodes


def group_candidates(
    view: index.Index,
    states: fleet.Fleet,
    site: Site,
    entry: request.Request,
) -> list[list[fleet.BackendState]]:
    """Group the back ends that may take a request, free or not, by version.

    Args:
        view: The configuration in force.
        states: The back ends.
        site: Where the node stands.
        entry: The request.

    Returns:
        The open back ends of each version, the preferred version first.
    """
    pool = entry.service.pool
    versions = view.versions_by_pool.get(pool, ())
    condemned = frozenset(
        version for owner, version in site.condemned if owner == pool
    )
    members = [
        states.by_name[backend.name]
        for backend in view.backends_by_pool.get(pool, ())
        if is_open(states.by_name[backend.name], site)
    ]
    return [
        [state for state in members if state.backend.version == name]
        for name in order_versions(versions, entry.request_id, condemned)
    ]


def choose_backend(
    candidates: list[fleet.BackendState],
    site: Site,
    entry: request.Request,
) -> fleet.BackendState | None:
    """Choose the back end with the least expected time.

    Args:
        candidates: The back ends that may take the request.
        site: Where the node stands.
        entry: The request.

    Returns:
        The back end, or nothing if none has a free slot.
    """
    free = [state for state in candidates if count_free_slots(state, site) > 0]
    if not free:
        return None
    preferred = _find_preferred(free, entry)
    return min(
        free,
        key=lambda state: estimate_seconds(
            state,
            entry,
            preferred=state.backend.name == preferred,
            remote=state.backend.zone != site.zone,
        ),
    )


def estimate_seconds(
    state: fleet.BackendState,
    entry: request.Request,
    preferred: bool,
    remote: bool,
) -> float:
    """Estimate the time until a back end has answered a request.

    Args:
        state: The back end.
        entry: The request.
        preferred: Whether rendezvous hashing prefers the back end.
        remote: Whether it is in another failure domain.

    Returns:
        The expected seconds.
    """
    gap = state.limit.pace or GAP_SECONDS
    hit = state.prefixes.match(entry.prefixes)
    if preferred:
        hit = max(hit, PREFERRED_HIT)
    prefill = entry.prompt_tokens * gap * PREFILL_RATIO * (1 - hit)
    load = len(state.inflight) / max(state.limit.slots, 1)
    if state.report and _is_fresh(state):
        load += state.report.waiting / max(state.limit.slots, 1)
    way = REMOTE_SECONDS if remote else 0
    return (prefill + entry.output_tokens * gap) * (1 + load) + way


def _find_preferred(
    candidates: list[fleet.BackendState], entry: request.Request
) -> str:
    if not entry.prefixes:
        return ''
    names = [state.backend.name for state in candidates]
    return prefix.rank_rendezvous(entry.prefixes[0], names)[0]


def _is_fresh(state: fleet.BackendState) -> bool:
    age = clock.read_monotonic() - state.report_time
    return age < REPORT_SECONDS


def _read_share(version: configuration.Version) -> float:
    return version.share
