"""Crashes that count only if other nodes don't see the back end alive.

A node whose paths are cut takes the back ends for crashed.
"""

import dataclasses

from pimentoway.core import clock, deployment
from pimentoway.ops import enginestate, pathrecord, pathtable, view

#: Seconds for which a crash that only one node reports is held back.
HOLD_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Crash:
    """A reported crash.

    Attributes:
        node: The node that connected to the back end.
        engine: The entry of the back end at that time.
        run: The run that it ended.
        reported_at: The monotonic time of the report.
    """

    node: str
    engine: deployment.Engine
    run: enginestate.Run
    reported_at: float


class HeldCrashes:
    """The crashes that don't count yet."""

    def __init__(
        self, registry_view: view.View, paths: pathtable.PathTable
    ) -> None:
        """Start without crashes.

        Args:
            registry_view: The registry as this node knows it.
            paths: What the nodes see of the back ends.
        """
        self._view = registry_view
        self._paths = paths
        self._crashes: list[Crash] = []

    def add(
        self, node: str, engine: deployment.Engine, run: enginestate.Run
    ) -> None:
        """Add a crash.

        Args:
            node: The node that connected to the back end.
            engine: The entry of the back end.
            run: The run that it ended.
        """
        now = clock.read_monotonic()
        self._crashes.append(Crash(node, engine, run, now))

    def take_settled(self) -> list[Crash]:
        """Take the crashes that count, and drop those that don't.

        Returns:
            Those that count, in the order of their reports.
        """
        if not self._crashes:
            return []
        kept = [one for one in self._crashes if not self._is_refuted(one)]
        settled = [one for one in kept if self._is_settled(one)]
        self._crashes = [one for one in kept if one not in settled]
        return settled

    def _is_refuted(self, crash: Crash) -> bool:
        since = crash.reported_at + pathrecord.PROOF_SECONDS
        return self._paths.is_lost(crash.node) or (
            self._paths.has_other_success(crash.node, crash.engine.name, since)
            and not self._has_restarted(crash)
        )

    def _is_settled(self, crash: Crash) -> bool:
        age = clock.read_monotonic() - crash.reported_at
        return (
            age >= HOLD_SECONDS
            or self._has_restarted(crash)
            or self._paths.has_other_fault(crash.node, crash.engine.name)
        )

    def _has_restarted(self, crash: Crash) -> bool:
        known = self._view.engines_by_name.get(crash.engine.name)
        return known is None or known.born != crash.engine.born
