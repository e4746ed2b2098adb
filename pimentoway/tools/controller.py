"""The controller of rollouts: the node that holds a lease advances them.

Every node stops traffic to a version by itself once it finds it bad. Only the
holder of the lease raises a share, by a change of the configuration at the
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

#: The kind of the objects that hold rollout records.
ROLLOUT_KIND = 'rollout'

#: The longest pause between two decisions, in seconds.
DECISION_SECONDS = 2

#: The shortest pause, as a fraction of the longest; it is drawn at random.
MIN_PAUSE_FRACTION = 0.6

_LOG = log.Log('rollout')


class Controller:
    """Advances the declared rollouts until they are done or rolled back."""

    def __init__(
        self,
        name: str,
        rollout_judge: judge.Judge,
        configuration_holder: configholder.ConfigurationHolder,
        object_store: store.Store,
        is_candidate: collections.abc.Callable[[], bool],
    ) -> None:
        """Create a controller without the lease; ``run`` starts it.

        Args:
            name: The name of the node.
            rollout_judge: Knows which versions were found bad.
            configuration_holder: Holds the configuration in force.
            object_store: The platform's object service.
            is_candidate: Returns whether the node may try to take the lease.
                Few nodes should, as each candidate reads the lease before
                every decision.
        """
        self._is_candidate = is_candidate
        self._find_bad_service = rollout_judge.find_bad_service
        self._holder = configuration_holder
        self._store = object_store
        self._lease = lease.LeaseHolder(
            'controller',
            name,
            object_store,
        )

    def run(self) -> None:
        """Advance the rollouts forever, while this node holds the lease."""
        while True:
            gevent.sleep(
                DECISION_SECONDS * random.uniform(MIN_PAUSE_FRACTION, 1)
            )
            if not self._holder.current.tables.rollouts:
                continue
            if not self._is_candidate():
                continue
            try:
                self._advance_rollouts()
            except error.PimentowayError as fault:
                _LOG.write(
                    f'deciding the rollouts failed, trying again: {fault}.'
                )

    def _advance_rollouts(self) -> None:
        fence = self._lease.renew_or_acquire()
        if not fence:
            return
        for declared in self._holder.current.tables.rollouts:
            self._advance(declared, fence)

    def _advance(self, declared: configuration.Rollout, fence: int) -> None:
        stored_object = self._store.read(ROLLOUT_KIND, declared.name)
        now = clock.read_wall()
        record = rollout.Record(
            declared.identity,
            declared.pool,
            declared.version,
            now,
        )
        if stored_object.version:
            stored_record = codec.decode_json(
                stored_object.body, rollout.Record, 'platform'
            )
            # The record may be of an earlier rollout with the same name.
            if stored_record.rollout_id == declared.identity:
                record = stored_record
        if record.phase is not rollout.Phase.running:
            return
        updated = self._decide(declared, record, now)
        if not stored_object.version or updated != record:
            self._apply_share(declared, updated, fence)
            self._write_record(declared.name, updated, stored_object.version)

    def _decide(
        self,
        declared: configuration.Rollout,
        record: rollout.Record,
        now: float,
    ) -> rollout.Record:
        service = self._find_bad_service(declared.pool, declared.version)
        if service:
            return _roll_back(record, f'it is bad on service {service}', now)
        if rollout.is_late(declared, now):
            return _roll_back(
                record, 'it can not be done by the promised time', now
            )
        share = rollout.plan_share(declared, record.started, now)
        if share < 1 or record.share < 1:
            return dataclasses.replace(record, share=share)
        # The version has to take all traffic for a while before it is done.
        if now < record.started + self._compute_min_duration(declared, record):
            return record
        return dataclasses.replace(
            record,
            phase=rollout.Phase.done,
            ended=now,
            reason='the version takes all traffic',
        )

    def _compute_min_duration(
        self, declared: configuration.Rollout, record: rollout.Record
    ) -> float:
        # Halfway between the last step and the time of a late rollback.
        available = declared.promised - rollout.MARGIN_SECONDS - record.started
        return available * (1 + rollout.RAMP_FRACTION) / 2

    def _apply_share(
        self,
        declared: configuration.Rollout,
        updated: rollout.Record,
        fence: int,
    ) -> None:
        share = updated.share
        if updated.phase is rollout.Phase.taken_back:
            share = 0
        current = head.read_configuration(self._store)
        puts = rollout.build_share_records(current.tables, declared, share)
        if set(puts.versions) <= set(current.tables.versions):
            return
        change = configuration.Change(
            current.version + 1,
            uuid.uuid4().hex,
            f'rollout {declared.name}',
            puts,
        )
        head.accept_change(self._store, change, fence)
        _LOG.write(
            f'version {declared.version} of {declared.pool} gets share '
            f'{share}.',
        )

    def _write_record(
        self, name: str, updated: rollout.Record, version: int
    ) -> None:
        body = codec.encode_json(updated).decode()
        self._store.write(ROLLOUT_KIND, name, body, version)
        if updated.phase is not rollout.Phase.running:
            _LOG.write(
                f'rollout {name} is {updated.phase.value}: {updated.reason}.',
                rollout_id=updated.rollout_id,
            )


def read_record(object_store: store.Store, name: str) -> rollout.Record | None:
    """Read the stored record of a rollout.

    Args:
        object_store: The platform's object service.
        name: The name of the rollout.

    Returns:
        The record; None if the rollout has not started.
    """
    stored_object = object_store.read(ROLLOUT_KIND, name)
    if not stored_object.version:
        return None
    return codec.decode_json(stored_object.body, rollout.Record, 'platform')


def _roll_back(
    record: rollout.Record, reason: str, now: float
) -> rollout.Record:
    return dataclasses.replace(
        record,
        phase=rollout.Phase.taken_back,
        reason=reason,
        ended=now,
        share=0,
    )
