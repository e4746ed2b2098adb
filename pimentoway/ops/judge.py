"""The judge of versions: what a node concludes from the pooled counts.

A node that sees a version to be bad sends it nothing more at once and tells
the others. Only the controller raises a share.
"""

import collections
import statistics

from pimentoway.core import configuration, evidence, log, request
from pimentoway.ops import fleet, scheduler, verdict

_LOG = log.Log('judge')


class Judge:
    """Judges the versions that are being rolled out."""

    def __init__(
        self,
        plan: scheduler.Scheduler,
        announce: collections.abc.Callable[[evidence.Evidence], object],
    ) -> None:
        """Judge for a node.

        Args:
            plan: The scheduler of the node.
            announce: Tells the other nodes a sign.
        """
        self._plan = plan
        self._announce = announce
        self._book = verdict.Book(plan.identity.name)

    def tell(self) -> None:
        """Tell the other nodes the counts that changed."""
        for tally in self._book.list_due_tallies():
            self._announce(tally)

    def note_answer(
        self, entry: request.Request, state: fleet.BackendState, good: bool
    ) -> None:
        """Count an answer for or against the version that gave it.

        Args:
            entry: The request.
            state: The back end.
            good: Whether the answer was good.
        """
        planned = self._plan.view.rollouts_by_pool.get(state.backend.pool)
        if planned is None:
            return
        subject = verdict.Subject(
            planned.pool,
            state.backend.version,
            entry.service.name,
        )
        self._book.observe(subject, planned.base, good)
        self._condemn_bad(planned)

    def note_tally(self, tally: evidence.Tally) -> bool:
        """Take in another node's counts.

        Args:
            tally: The counts.

        Returns:
            Whether they were new.
        """
        planned = self._plan.view and self._plan.view.rollouts_by_pool.get(
            tally.pool
        )
        if not planned or not self._book.merge_tally(tally, planned.base):
            return False
        self._condemn_bad(planned)
        return True

    def note_condemnation(self, sign: evidence.Condemnation) -> bool:
        """Take in that a version is bad, which gets no traffic from now on.

        Args:
            sign: The sign.

        Returns:
            Whether it was new.
        """
        new = self._plan.place.note_condemnation(sign)
        if new:
            _LOG.write(f'version {sign.version} of {sign.pool} is bad.')
            self._plan.update_place()
        return new

    def find_condemned(self, pool: str, version: str) -> str:
        """Find the service on which a version is known to be bad.

        Args:
            pool: The name of the pool.
            version: The name of the version.

        Returns:
            The name of the service, or nothing if the version is not bad.
        """
        if (pool, version) not in self._plan.place.current.condemned:
            return ''
        return next(
            sign.service
            for sign in reversed(self._plan.place.condemnations)
            if (sign.pool, sign.version) == (pool, version)
        )

    def measure_base_pace(self, state: fleet.BackendState) -> float:
        """Measure the pace of the version that a rollout replaces.

        Args:
            state: A back end of the new version.

        Returns:
            The mean pace of the old version's back ends, 0 if unknown or if
            no rollout is under way.
        """
        planned = self._plan.view.rollouts_by_pool.get(state.backend.pool)
        if planned is None:
            return 0
        paces = [
            other.limit.pace
            for other in self._plan.fleet.by_name.values()
            if other.limit.pace
            and other.backend.pool == planned.pool
            and other.backend.version == planned.base
        ]
        return statistics.fmean(paces or (0,))

    def _condemn_bad(self, planned: configuration.Rollout) -> None:
        service = self._book.find_bad(planned.pool, planned.version)
        if not service:
            return
        sign = evidence.Condemnation(
            planned.pool,
            planned.version,
            planned.identity,
            service,
        )
        if self.note_condemnation(sign):
            self._announce(sign)
