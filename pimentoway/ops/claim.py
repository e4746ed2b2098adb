"""Claims: the log records that let an unrepeatable request be sent once.

A claim has no lease and does not expire: a claimed request is claimed again
only if the log states that it was not run.
"""

import dataclasses
import enum

import xxhash

from pimentoway.core import request

#: The number of shards of the claim log.
SHARD_COUNT = 16

#: The largest answer that is recorded, in characters.
MAX_ANSWER_CHARS = 8000


class State(enum.Enum):
    """The recorded state of a claimed request.

    `claimed` means that it may still run, `not_run` that it may be claimed
    again, `failed` that the back end answered with an error and `unknown`
    that it may have run without an answer.
    """

    claimed = 'claimed'
    not_run = 'not_run'
    finished = 'finished'
    failed = 'failed'
    unknown = 'unknown'


@dataclasses.dataclass(frozen=True)
class Entry:
    """An entry of the claim log: a claim or its outcome.

    Attributes:
        key: The customer, the service and the idempotency key.
        claim_id: The identifier of the claim; it starts with the node's name.
        fingerprint: The fingerprint of the request.
        state: The state of the request.
        status: The HTTP status of the recorded answer; 0 without one.
        content_type: The media type of the recorded answer.
        answer: The recorded answer, or the reason of a failure.
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
class ClaimReply:
    """The reply to an attempt to claim a request.

    Attributes:
        latest: The latest entry of the log for the key.
        granted: Whether that entry is the claim that was just made.
    """

    latest: Entry
    granted: bool


def make_key(req: request.Request) -> str:
    """Make the log key of a request, distinct per customer and service.

    Args:
        req: The request, which has an idempotency key.

    Returns:
        The key.
    """
    return f'{req.caller.customer}/{req.service.name}/{req.key}'


def choose_shard(key: str) -> int:
    """Choose the shard of the log that holds a key.

    Args:
        key: The log key.

    Returns:
        The number of the shard, from 0.
    """
    return xxhash.xxh3_64_intdigest(key.encode()) % SHARD_COUNT


def is_valid_successor(latest: Entry | None, entry: Entry) -> bool:
    """Tell whether an entry may be appended after the latest of its key.

    A claim may follow nothing, or another claim that was not run. An outcome
    may follow only its own claim.

    Args:
        latest: The latest entry of the log for the key, if any.
        entry: The entry to append.

    Returns:
        Whether it may be appended.
    """
    if entry.state is State.claimed:
        return latest is None or (
            latest.state is State.not_run and latest.claim_id != entry.claim_id
        )
    return bool(
        latest
        and latest.claim_id == entry.claim_id
        and latest.state is State.claimed,
    )
