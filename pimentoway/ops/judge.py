"""Detection of bad versions at a node, from the pooled counts of all nodes.

A node that finds a version bad stops sending it requests at once and announces
this to the other nodes. Only the controller raises the share of a version.
"""

import collections
import statistics

from pimentoway.core import configuration, evidence, log, request
from pimentoway.ops import fleet, scheduler, verdict

_LOG = log.Log('judge')


class Judge:
    """Tests the versions that are being rolled out."""

    def __init__(
        self,
        scheduling: scheduler.Scheduler,
        announce: collections.abc.Callable[[evidence.Evidence], object],
    ) -> None:
        """Start without counts.

        Args:
            scheduling: The scheduler of the node.
            announce: Sends evidence to the other nodes.
        """
        self._scheduler = scheduling
        self._announce = announce
        self._test = verdict.SequentialTest(scheduling.identity.name)

    def announce_tallies(self) -> None:
        """Announce the counts that are due to the other nodes."""
        for tally in self._test.list_due_tallies():
            self._announce(tally)

    def note_answer(
        self,
        answered_request: request.Request,
        state: fleet.BackendState,
        good: bool,
    ) -> None:
        """Count an answer, if its pool has a rollout.

        Args:
            answered_request: The request that was answered.
            state: The back end that answered it.
            good: Whether the answer was whole and not slow.
        """
        rollout = self._scheduler.configuration_index.rollouts_by_pool.get(
            state.backend.pool
        )
        if rollout is None:
            return
        subject = verdict.Subject(
            rollout.pool,
            state.backend.version,
            answered_request.service.name,
        )
        self._test.observe(subject, rollout.base, good)
        self._announce_if_bad(rollout)

    def note_tally(self, tally: evidence.Tally) -> bool:
        """Merge the counts that another node announced.

        Args:
            tally: The counts.

        Returns:
            Whether they were new and belong to a rollout.
        """
        rollout = (
            self._scheduler.configuration_index
            and self._scheduler.configuration_index.rollouts_by_pool.get(
                tally.pool
            )
        )
        if not rollout or not self._test.merge_tally(tally, rollout.base):
            return False
        self._announce_if_bad(rollout)
        return True

    def note_condemnation(self, condemnation: evidence.Condemnation) -> bool:
        """Record that a version is bad; it gets no requests from now on.

        Args:
            condemnation: The finding of this node or another one.

        Returns:
            Whether it was new.
        """
        new = self._scheduler.routing.note_condemnation(condemnation)
        if new:
            _LOG.write(
                f'version {condemnation.version} of {condemnation.pool} '
                'is bad, gets no more requests.',
            )
            self._scheduler.refresh_routing()
        return new

    def find_bad_service(self, pool: str, version: str) -> str:
        """Find the service on which a version is known to be bad.

        Args:
            pool: The name of the pool.
            version: The name of the version.

        Returns:
            The name of the service, or ``''`` if the version is not bad.
        """
        if (pool, version) not in self._scheduler.routing.current.bad_versions:
            return ''
        return next(
            condemnation.service
            for condemnation in reversed(self._scheduler.routing.condemnations)
            if (condemnation.pool, condemnation.version) == (pool, version)
        )

    def measure_base_pace(self, state: fleet.BackendState) -> float:
        """Measure the speed of the version that a rollout replaces.

        Args:
            state: A back end of the pool of the rollout.

        Returns:
            The seconds for a unit of work, as the mean of the old version's
            back ends; 0 if unknown or if the pool has no rollout.
        """
        rollout = self._scheduler.configuration_index.rollouts_by_pool.get(
            state.backend.pool
        )
        if rollout is None:
            return 0
        paces = [
            other.limit.pace
            for other in self._scheduler.fleet.by_name.values()
            if other.limit.pace
            and other.backend.pool == rollout.pool
            and other.backend.version == rollout.base
        ]
        return statistics.fmean(paces or (0,))

    def _announce_if_bad(self, rollout: configuration.Rollout) -> None:
        service = self._test.find_bad_service(rollout.pool, rollout.version)
        if not service:
            return
        condemnation = evidence.Condemnation(
            rollout.pool,
            rollout.version,
            rollout.identity,
            service,
        )
        if self.note_condemnation(condemnation):
            self._announce(condemnation)
