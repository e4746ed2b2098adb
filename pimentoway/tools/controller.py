"""The controller of rollouts: a role that one node holds by a lease.

Any node lowers a version's share by itself when it sees that the version is
bad; only the holder of the lease raises a share, and only through the
platform.
"""

import collections
import dataclasses
import random
import uuid

import gevent

from pimentoway.core import clock, codec, configuration, error, log
from pimentoway.objects import head, lease, store
from pimentoway.ops import configholder, judge, rollout

#: The kind of the records of rollouts.
ROLLOUT_KIND = 'rollout'

#: Seconds between decisions.
DECISION_SECONDS = 2

#: The least part of the time between decisions that passes.
JITTER = 0.6

_LOG = log.Log('rollout')


class Controller:
    """Carries rollouts from their first step to their end."""

    def __init__(
        self,
        name: str,
        judging: judge.Judge,
        held: configholder.ConfigurationHolder,
        object_store: store.Store,
        is_candidate: collections.abc.Callable[[], bool],
    ) -> None:
        """Connect the parts.

        Args:
            name: The name of the node.
            judging: Knows which versions are bad.
            held: The configuration that the node holds.
            object_store: The platform's object service.
            is_candidate: Tells whether the node may hold the lease; few do,
                as each looks at it all the time.
        """
        self._is_candidate = is_candidate
        self._judge_bad = judging.find_condemned
        self._held = held
        self._store = object_store
        self._lease = lease.Claimant(
            'controller',
            name,
            object_store,
        )

    def run(self) -> None:
        """Decide for ever, while there are rollouts."""
        while True:
            gevent.sleep(DECISION_SECONDS * random.uniform(JITTER, 1))
            if not self._held.current.tables.rollouts:
                continue
            if not self._is_candidate():
                continue
            try:
                self._decide()
            except error.PimentowayError as fault:
                _LOG.write(f'no decision: {fault}.')

    def _decide(self) -> None:
        fence = self._lease.hold()
        if not fence:
            return
        for planned in self._held.current.tables.rollouts:
            self._carry(planned, fence)

    def _carry(self, planned: configuration.Rollout, fence: int) -> None:
        found = self._store.read(ROLLOUT_KIND, planned.name)
        now = clock.read_wall()
        kept = rollout.Record(
            planned.identity,
            planned.pool,
            planned.version,
            now,
        )
        if found.version:
            stored = codec.decode_json(found.body, rollout.Record, 'platform')
            if stored.rollout_id == planned.identity:
                kept = stored
        if kept.phase is not rollout.Phase.running:
            return
        decided = self._judge(planned, kept, now)
        if not found.version or decided != kept:
            self._put_in_force(planned, decided, fence)
            self._keep(planned.name, decided, found.version)

    def _judge(
        self,
        planned: configuration.Rollout,
        kept: rollout.Record,
        now: float,
    ) -> rollout.Record:
        service = self._judge_bad(planned.pool, planned.version)
        if service:
            return _end(kept, f'it is bad on service {service}', now)
        if rollout.is_late(planned, now):
            return _end(kept, 'it can not be done by the promised time', now)
        share = rollout.plan_share(planned, kept.started, now)
        if share < 1 or kept.share < 1:
            return dataclasses.replace(kept, share=share)
        # The whole traffic is watched for a while before the end.
        if now < kept.started + self._measure_span(planned, kept):
            return kept
        return dataclasses.replace(
            kept,
            phase=rollout.Phase.done,
            ended=now,
            reason='the version takes all traffic',
        )

    def _measure_span(
        self, planned: configuration.Rollout, kept: rollout.Record
    ) -> float:
        whole = planned.promised - rollout.MARGIN_SECONDS - kept.started
        return whole * (1 + rollout.RAMP_FRACTION) / 2

    def _put_in_force(
        self,
        planned: configuration.Rollout,
        decided: rollout.Record,
        fence: int,
    ) -> None:
        share = decided.share
        if decided.phase is rollout.Phase.taken_back:
            share = 0
        current = head.read_configuration(self._store)
        puts = rollout.build_share_records(current.tables, planned, share)
        if set(puts.versions) <= set(current.tables.versions):
            return
        change = configuration.Change(
            current.version + 1,
            uuid.uuid4().hex,
            f'rollout {planned.name}',
            puts,
        )
        head.accept_change(self._store, change, fence)
        _LOG.write(
            f'version {planned.version} of {planned.pool} has share {share}.',
        )

    def _keep(self, name: str, decided: rollout.Record, version: int) -> None:
        body = codec.encode_json(decided).decode()
        self._store.write(ROLLOUT_KIND, name, body, version)
        if decided.phase is not rollout.Phase.running:
            _LOG.write(
                f'rollout {name} is {decided.phase.value}: {decided.reason}.',
                rollout_id=decided.rollout_id,
            )


def read_record(object_store: store.Store, name: str) -> rollout.Record | None:
    """Read what is kept of a rollout.

    Args:
        object_store: The platform's object service.
        name: The name of the rollout.

    Returns:
        The record, or nothing if the rollout has not begun.
    """
    found = object_store.read(ROLLOUT_KIND, name)
    if not found.version:
        return None
    return codec.decode_json(found.body, rollout.Record, 'platform')


def _end(kept: rollout.Record, reason: str, now: float) -> rollout.Record:
    return dataclasses.replace(
        kept,
        phase=rollout.Phase.taken_back,
        reason=reason,
        ended=now,
        share=0,
    )
