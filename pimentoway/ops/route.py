"""The choice of a back end for a request.

The back end with the least expected time wins: prefill that its cache does not
save plus the answer at its pace, scaled by its load, plus a small penalty for
another failure domain. So the node's own domain is preferred among equals, but
a remote cache that saves more than the penalty is used.
"""

import dataclasses

import xxhash

from pimentoway.core import clock, configuration, index, request
from pimentoway.ops import fleet, prefix, ramp

#: The prefill time per token as a fraction of the gap between two tokens.
PREFILL_RATIO = 0.02

#: The gap between tokens in seconds, while a back end's pace is unknown.
DEFAULT_GAP_SECONDS = 0.02

#: Seconds added to the estimate of a back end in another failure domain.
REMOTE_PENALTY_SECONDS = 0.02

#: The least cache hit ratio assumed at the back end that rendezvous hashing
#: prefers for a prompt, so that prompts with the same prefix meet there.
PREFERRED_HIT_RATIO = 0.9

#: The age above which a report of a back end is ignored, in seconds.
REPORT_MAX_AGE_SECONDS = 10

#: The number of hash values among which the versions' shares are divided.
SHARE_STEPS = 1_000_000


@dataclasses.dataclass(frozen=True)
class RoutingContext:
    """What the choice of back ends needs to know about this node.

    Attributes:
        node: The name of the node.
        zone: Its failure domain.
        nodes: The number of live nodes that share the back ends.
        owned: The names of back ends whose ramp this node owns.
        closed_zones: The failure domains that take no new work.
        bad_versions: The versions judged bad, as pairs of pool and version.
    """

    node: str
    zone: str
    nodes: int
    owned: frozenset[str]
    closed_zones: frozenset[str]
    bad_versions: frozenset[tuple[str, str]] = frozenset()


def order_versions(
    versions: tuple[configuration.Version, ...],
    request_id: str,
    bad_versions: frozenset[str],
) -> list[str]:
    """Order a pool's versions for one request.

    A hash of the request's identifier chooses the first one in proportion to
    the shares, so nodes need no agreement. The version with the largest share
    follows as a fallback if the first has no free back end. A version without
    a share is never used.

    Args:
        versions: The versions of the pool.
        request_id: The identifier of the request.
        bad_versions: The names of versions judged bad, which are left out.

    Returns:
        One or two names, the preferred one first; empty if no version has a
        share.
    """
    versions = tuple(
        version for version in versions if version.name not in bad_versions
    )
    total = sum(version.share for version in versions)
    if total <= 0:
        return []
    step = xxhash.xxh3_64_intdigest(request_id.encode()) % SHARE_STEPS
    position = step / SHARE_STEPS * total
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


def is_open(state: fleet.BackendState, context: RoutingContext) -> bool:
    """Tell whether a back end takes new requests, free slots aside.

    Args:
        state: The back end.
        context: What the node knows; here the closed failure domains.

    Returns:
        False if it is leaving, draining, in a closed failure domain or in a
        backoff after a refused connection.
    """
    if state.backend.leaving or state.health.draining:
        return False
    if state.backend.zone in context.closed_zones:
        return False
    return clock.read_monotonic() >= state.health.backoff_until


def count_free_slots(state: fleet.BackendState, context: RoutingContext) -> int:
    """Count the requests that this node may add to a back end.

    The limit bounds them, and while the back end isn't warm also the share
    of the ramp's allowance or the permits that this node has borrowed.

    Args:
        state: The back end.
        context: The node's view of owners and live nodes.

    Returns:
        The free slots; may be negative.
    """
    slots = int(state.limit.slots) - len(state.inflight)
    if state.ramp.phase is ramp.Phase.warm:
        return slots
    if needs_permit(state, context):
        return min(slots, len(state.permits))
    owned = state.backend.name in context.owned
    share = state.ramp.update_node_slots(owned, context.nodes)
    return min(
        slots, share - len(state.inflight) - fleet.count_lent_slots(state)
    )


def count_slots(states: fleet.Fleet, pool: str, context: RoutingContext) -> int:
    """Count the requests that this node may run at once in a pool.

    Args:
        states: The back ends that this node knows.
        pool: The name of the pool.
        context: The node's view of owners and live nodes.

    Returns:
        The slots that it uses and the free ones, of the open back ends.
    """
    return sum(
        len(state.inflight) + max(0, count_free_slots(state, context))
        for state in states.by_name.values()
        if state.backend.pool == pool and is_open(state, context)
    )


def needs_permit(state: fleet.BackendState, context: RoutingContext) -> bool:
    """Tell whether this node has to borrow slots of a back end.

    Args:
        state: The back end.
        context: The node's view of owners and live nodes.

    Returns:
        Whether another node owns its ramp and there are fewer slots than
        nodes.
    """
    if state.backend.name in context.owned:
        return False
    if state.ramp.phase is ramp.Phase.warm:
        return False
    return state.ramp.slots < context.nodes


def group_candidates(
    config_index: index.Index,
    states: fleet.Fleet,
    context: RoutingContext,
    req: request.Request,
) -> list[list[fleet.BackendState]]:
    """Group the back ends that may take a request, free or not, by version.

    Args:
        config_index: The configuration in force.
        states: The back ends that this node knows.
        context: The closed failure domains and the versions judged bad.
        req: The request.

    Returns:
        The open back ends of each version, the preferred version first.
    """
    pool = req.service.pool
    versions = config_index.versions_by_pool.get(pool, ())
    bad_versions = frozenset(
        version
        for version_pool, version in context.bad_versions
        if version_pool == pool
    )
    members = [
        states.by_name[backend.name]
        for backend in config_index.backends_by_pool.get(pool, ())
        if is_open(states.by_name[backend.name], context)
    ]
    return [
        [state for state in members if state.backend.version == name]
        for name in order_versions(versions, req.request_id, bad_versions)
    ]


def choose_backend(
    candidates: list[fleet.BackendState],
    context: RoutingContext,
    req: request.Request,
) -> fleet.BackendState | None:
    """Choose the back end with the least expected time.

    Args:
        candidates: The back ends that may take the request.
        context: The node's failure domain and its view of the ramps.
        req: The request.

    Returns:
        The back end, or None if none has a free slot.
    """
    free = [
        state for state in candidates if count_free_slots(state, context) > 0
    ]
    if not free:
        return None
    preferred = _find_preferred(free, req)
    return min(
        free,
        key=lambda state: estimate_latency(
            state,
            req,
            preferred=state.backend.name == preferred,
            remote=state.backend.zone != context.zone,
        ),
    )


def estimate_latency(
    state: fleet.BackendState,
    req: request.Request,
    preferred: bool,
    remote: bool,
) -> float:
    """Estimate the seconds until a back end has answered a request.

    Args:
        state: The back end.
        req: The request.
        preferred: Whether rendezvous hashing prefers the back end for it.
        remote: Whether it is in another failure domain.

    Returns:
        The estimate in seconds.
    """
    gap = state.limit.pace or DEFAULT_GAP_SECONDS
    hit_ratio = state.prefixes.match(req.prefixes)
    if preferred:
        hit_ratio = max(hit_ratio, PREFERRED_HIT_RATIO)
    prefill = req.prompt_tokens * gap * PREFILL_RATIO * (1 - hit_ratio)
    load = len(state.inflight) / max(state.limit.slots, 1)
    if state.report and _is_fresh(state):
        load += state.report.waiting / max(state.limit.slots, 1)
    penalty = REMOTE_PENALTY_SECONDS if remote else 0
    return (prefill + req.output_tokens * gap) * (1 + load) + penalty


def _find_preferred(
    candidates: list[fleet.BackendState], req: request.Request
) -> str:
    if not req.prefixes:
        return ''
    names = [state.backend.name for state in candidates]
    return prefix.rank_rendezvous(req.prefixes[0], names)[0]


def _is_fresh(state: fleet.BackendState) -> bool:
    age = clock.read_monotonic() - state.report_time
    return age < REPORT_MAX_AGE_SECONDS


def _read_share(version: configuration.Version) -> float:
    return version.share
