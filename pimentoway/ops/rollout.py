"""The schedule of a rollout: the share of the new version at each time.

The steps are scheduled back from the promised time of the rollout. The last
step is in force some time before it, so that a version that can't be completed
by then is rolled back in time.
"""

import dataclasses
import enum

from pimentoway.core import configuration

#: The shares of the new version, step by step.
SHARE_STEPS = (0.01, 0.05, 0.2, 0.5, 1)

#: The fraction of a rollout's time in which the steps are taken. This time
#: lasts from the start until ``MARGIN_SECONDS`` before the promised time.
RAMP_FRACTION = 0.8

#: Seconds before the promised time at which an incomplete rollout is rolled
#: back.
MARGIN_SECONDS = 10


class Phase(enum.Enum):
    """The phase of a rollout, as it is stored."""

    running = 'running'
    done = 'done'
    taken_back = 'taken_back'


@dataclasses.dataclass(frozen=True)
class Record:
    """The stored state of a rollout.

    Attributes:
        rollout_id: The identifier of the rollout.
        pool: The name of the pool.
        version: The new version.
        started: The wall-clock time of the start, in seconds.
        phase: Whether it runs, is done or was rolled back.
        share: The share that the version had at the last decision.
        reason: Why it ended, as text for operators.
        ended: The wall-clock time of the end, in seconds; 0 before.
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
    """Compute the scheduled share of the new version.

    Args:
        rollout: The rollout.
        started: The wall-clock time of its start, in seconds.
        now: The wall-clock time, in seconds.

    Returns:
        The share, from the first step's to 1.
    """
    ramp_seconds = (rollout.promised - MARGIN_SECONDS - started) * RAMP_FRACTION
    if ramp_seconds <= 0:
        return SHARE_STEPS[0]
    step = int((now - started) / ramp_seconds * (len(SHARE_STEPS) - 1))
    return SHARE_STEPS[max(0, min(step, len(SHARE_STEPS) - 1))]


def is_late(rollout: configuration.Rollout, now: float) -> bool:
    """Tell whether an incomplete rollout has to be rolled back.

    Args:
        rollout: The rollout.
        now: The wall-clock time, in seconds.

    Returns:
        Whether the promised time is less than ``MARGIN_SECONDS`` away.
    """
    return now >= rollout.promised - MARGIN_SECONDS


def build_share_records(
    tables: configuration.Tables, rollout: configuration.Rollout, share: float
) -> configuration.Tables:
    """Build the version records that give the new version its share.

    Args:
        tables: The records in force.
        rollout: The rollout.
        share: The share of the new version, from 0 to 1.

    Returns:
        The records of all versions of the pool; the version that is replaced
        gets the rest of the share, all others get 0.
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
