"""The plan of a rollout: which share a version has at which time.

The steps are planned back from the promised time. The last step has to be in
force some time before the promise, so that a version that can't make it is
taken back in time.
"""

import dataclasses
import enum

from pimentoway.core import configuration

#: The shares of the steps.
STEPS = (0.01, 0.05, 0.2, 0.5, 1)

#: The part of the time until the promise in which the steps are taken.
STEPPING_PART = 0.8

#: Seconds before the promise at which a rollout that is late is taken back.
MARGIN_SECONDS = 10


class Phase(enum.Enum):
    """How far a rollout has come."""

    running = 'running'
    done = 'done'
    taken_back = 'taken_back'


@dataclasses.dataclass(frozen=True)
class Record:
    """What is kept of a rollout in the platform.

    Attributes:
        rollout_id: The rollout that it is of.
        pool: The name of the pool.
        version: The new version.
        started: The wall-clock time of the start.
        phase: How far it has come.
        share: The share that the version had at the last decision.
        reason: Why it ended, for operators.
        ended: The wall-clock time of the end; 0 before.
    """

    rollout_id: str
    pool: str
    version: str
    started: float
    phase: Phase = Phase.running
    share: float = 0
    reason: str = ''
    ended: float = 0


def plan_share(
    rollout: configuration.Rollout, started: float, now: float
) -> float:
    """Work out the share that the new version should have.

    Args:
        rollout: The rollout.
        started: The wall-clock time of its start.
        now: The wall-clock time.

    Returns:
        The share, from the first step's to 1.
    """
    span = (rollout.promised - MARGIN_SECONDS - started) * STEPPING_PART
    if span <= 0:
        return STEPS[0]
    position = int((now - started) / span * (len(STEPS) - 1))
    return STEPS[max(0, min(position, len(STEPS) - 1))]


def is_late(rollout: configuration.Rollout, now: float) -> bool:
    """Tell whether a rollout that is not done has to be taken back.

    Args:
        rollout: The rollout.
        now: The wall-clock time.

    Returns:
        Whether the promise can't be kept any more.
    """
    return now >= rollout.promised - MARGIN_SECONDS


def put_share(
    tables: configuration.Tables, rollout: configuration.Rollout, share: float
) -> configuration.Tables:
    """Work out the records that give a version its share.

    Args:
        tables: The records in force.
        rollout: The rollout.
        share: The share of the new version.

    Returns:
        The version records of the pool to put.
    """
    share_by_name = {rollout.version: share, rollout.base: 1 - share}
    return configuration.Tables(
        versions=tuple(
            dataclasses.replace(
                version,
                share=share_by_name.get(version.name, 0),
            )
            for version in tables.versions
            if version.pool == rollout.pool
        ),
    )
