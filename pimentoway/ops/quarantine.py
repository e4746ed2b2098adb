"""Quarantine of requests that may crash the back end that runs them.

Each request in flight on a back end that crashed becomes a suspect, known by
its fingerprint. If it was the only one, or crashed a second back end or one
in a trial, it is blocked for long. If others ran beside it, each is held for
a short while and then runs as a trial, alone on a back end; a whole answer
clears it. A fingerprint that was answered before is excused from its first
crash, since a request that always crashes back ends is never answered.
"""

import collections
import dataclasses
import enum

from pimentoway.core import clock, error, evidence
from pimentoway.ops import prefixguard

#: Seconds for which a suspect that did not run alone is held.
HOLD_SECONDS = 10

#: Seconds for which the only suspect of a crash is blocked.
BLOCK_SECONDS = 600

#: Seconds for which a request that crashed two back ends is blocked.
BAN_SECONDS = 86_400

#: The number of answered fingerprints that a node remembers.
MAX_ANSWERED = 10_000

#: The number of crashes that a node remembers.
MAX_CRASHES = 1000


class RunMode(enum.Enum):
    """How a request may run; a trial runs alone on its back end."""

    free = 'free'
    trial = 'trial'


@dataclasses.dataclass(frozen=True)
class Suspect:
    """The evidence against one fingerprint.

    Attributes:
        crashes: The crashes, each as back end and boot identifier.
        crashed_in_trial: Whether it ran as a trial in one of them.
        blocked_until: The monotonic time until which it is refused.
    """

    crashes: frozenset[str]
    crashed_in_trial: bool
    blocked_until: float


class SuspectTable:
    """The suspects by the evidence of this and the other nodes.

    Attributes:
        prefixes: The evidence against prefixes of their prompts.
    """

    def __init__(self) -> None:
        """Start with no suspects."""
        self.prefixes = prefixguard.PrefixGuard()
        self._by_fingerprint: dict[str, Suspect] = {}
        # By crash: the fingerprints in flight, and whether each was excused
        # because it had been answered before.
        self._excused_by_crash: dict[str, dict[str, bool]] = {}
        self._answered: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._on_trial: set[str] = set()

    def record(self, suspicion: evidence.CrashSuspicion) -> bool:
        """Record that a request was in flight at a crash.

        Args:
            suspicion: The evidence of this or another node.

        Returns:
            False if it was recorded before.
        """
        excused_by_fingerprint = self._excused_by_crash.setdefault(
            suspicion.crash, {}
        )
        if suspicion.fingerprint in excused_by_fingerprint:
            return False
        self.prefixes.record(suspicion)
        earlier = self._by_fingerprint.get(suspicion.fingerprint)
        excused = earlier is None and suspicion.fingerprint in self._answered
        excused_by_fingerprint[suspicion.fingerprint] = excused
        self._forget_oldest_crash()
        if excused:
            self._answered.pop(suspicion.fingerprint)
            return True
        crashes = frozenset((suspicion.crash,))
        if earlier:
            crashes |= earlier.crashes
        crashed_in_trial = suspicion.trial or bool(
            earlier and earlier.crashed_in_trial
        )
        self._by_fingerprint[suspicion.fingerprint] = Suspect(
            crashes,
            crashed_in_trial,
            clock.read_monotonic() + BAN_SECONDS,
        )
        for fingerprint in excused_by_fingerprint:
            self._update_block(fingerprint)
        return True

    def record_answer(self, fingerprint: str) -> None:
        """Remember that a request was answered.

        Args:
            fingerprint: The fingerprint of the request.
        """
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def check(self, fingerprint: str) -> RunMode:
        """Decide whether and how a request may run.

        Args:
            fingerprint: The fingerprint of the request.

        Returns:
            `trial` for a suspect whose block has ended, else `free`.

        Raises:
            QuarantinedError: If it is blocked, or a copy of it runs as a
                trial.
        """
        suspected = self._by_fingerprint.get(fingerprint)
        if suspected is None:
            return RunMode.free
        left = suspected.blocked_until - clock.read_monotonic()
        if left > 0 or fingerprint in self._on_trial:
            raise error.QuarantinedError(
                'the request is suspected of crashing back ends',
                'admit',
                retry_after=max(left, HOLD_SECONDS),
            )
        return RunMode.trial

    def begin_trial(self, fingerprint: str) -> None:
        """Mark a suspect as running, so that no copy runs beside it.

        Args:
            fingerprint: The fingerprint of the request.
        """
        self._on_trial.add(fingerprint)

    def is_on_trial(self, fingerprint: str) -> bool:
        """Tell whether a request runs as a trial of this node now.

        Args:
            fingerprint: The fingerprint of the request.

        Returns:
            Whether it does.
        """
        return fingerprint in self._on_trial

    def end_trial(self, fingerprint: str, complete: bool) -> None:
        """End the trial of a suspect.

        Args:
            fingerprint: The fingerprint of the request.
            complete: Whether its answer came whole, which clears it.
        """
        self._on_trial.discard(fingerprint)
        if complete:
            self._by_fingerprint.pop(fingerprint, None)

    def _forget_oldest_crash(self) -> None:
        if len(self._excused_by_crash) <= MAX_CRASHES:
            return
        oldest = next(iter(self._excused_by_crash))
        for fingerprint in self._excused_by_crash.pop(oldest):
            self._by_fingerprint.pop(fingerprint, None)

    def _update_block(self, fingerprint: str) -> None:
        suspected = self._by_fingerprint.get(fingerprint)
        if suspected is None:
            return
        now = clock.read_monotonic()
        alone = any(map(self._had_one_suspect, suspected.crashes))
        block_seconds = HOLD_SECONDS
        if alone:
            block_seconds = BLOCK_SECONDS
        if suspected.crashed_in_trial or len(suspected.crashes) > 1:
            block_seconds = BAN_SECONDS
        self._by_fingerprint[fingerprint] = dataclasses.replace(
            suspected,
            blocked_until=now + block_seconds,
        )

    def _had_one_suspect(self, crash: str) -> bool:
        excused_by_fingerprint = self._excused_by_crash.get(crash, {})
        return list(excused_by_fingerprint.values()).count(False) == 1
