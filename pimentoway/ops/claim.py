"""Claims: the records by which unrepeatable requests are sent once.

A claim has no lease: a claimed request is never claimed again unless its
holder stated in the log that it was not run.
"""

import dataclasses
import enum

import xxhash

from pimentoway.core import request

#: The shards of the log.
SHARDS = 16

#: The largest answer that is recorded, in characters.
KEPT_ANSWER = 8000


class State(enum.Enum):
    """What is known of a claimed request."""

    claimed = 'claimed'
    not_run = 'not_run'
    finished = 'finished'
    failed = 'failed'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry of the log.

    Attributes:
        key: The customer and its idempotency key.
        claim_id: The identifier of the claim.
        fingerprint: The fingerprint of the request.
        state: What is known of the request.
        status: The HTTP status of the recorded answer.
        content_type: The media type of the recorded answer.
        answer: The recorded answer.
        kept: Whether the answer was small enough to be recorded.
    """

    key: str
    claim_id: str
    fingerprint: str
    state: State = State.claimed
    status: int = 0
    content_type: str = ''
    answer: str = ''
    kept: bool = True


@dataclasses.dataclass(frozen=True)
class Claim:
    """The answer to a claim.

    Attributes:
        held: The entry that the log holds for the key.
        granted: Whether it is the claim that was just made.
    """

    held: Entry
    granted: bool


def make_key(entry: request.Request) -> str:
    """Make the key of a request, apart for each customer and service.

    Args:
        entry: The request.

    Returns:
        The key.
    """
    return f'{entry.caller.customer}/{entry.service.name}/{entry.key}'


def choose_shard(key: str) -> int:
    """Choose the shard of a key.

    Args:
        key: The key.

    Returns:
        The number of the shard.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARDS


def may_follow(known: Entry | None, entry: Entry) -> bool:
    """Tell whether an entry may follow what the log holds for its key.

    Args:
        known: What the log holds, if anything.
        entry: The entry.

    Returns:
        Whether it is a first claim, or the outcome of the claim held.
    """
    if entry.state is State.claimed:
        return known is None or (
            known.state is State.not_run and known.claim_id != entry.claim_id
        )
    return bool(
        known
        and known.claim_id == entry.claim_id
        and known.state is State.claimed,
    )
