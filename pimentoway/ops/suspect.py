"""Requests that may crash the back end that runs them.

A request in flight on a back end that crashed is suspected by its
fingerprint. If it was alone, or crashed a second back end in a trial of its
own, it is blocked. If others died with it, each is held for a short while and
then runs alone on a back end; a whole answer clears it. A fingerprint that was
answered before is no suspect after its first crash: what always crashes a back
end is never answered.
"""

import collections
import dataclasses
import enum

from pimentoway.core import clock, error, evidence

#: Seconds for which a request that died among others is held.
HOLD_SECONDS = 10

#: Seconds for which a request that died alone is blocked.
BLOCK_SECONDS = 600

#: Seconds for which a request that crashed two back ends is blocked.
BAN_SECONDS = 86_400


#: The answered fingerprints that a node remembers.
KEPT_ANSWERED = 10_000

#: The crashes that a node remembers.
KEPT_CRASHES = 1000


class Verdict(enum.Enum):
    """How a request may run."""

    free = 'free'
    trial = 'trial'


@dataclasses.dataclass(frozen=True)
class Suspect:
    """What is known of one fingerprint.

    Attributes:
        crashes: The crashes, each as back end and boot identifier.
        trialled: Whether one of the crashes was a trial.
        until: The time until which the request is refused.
    """

    crashes: frozenset[str]
    trialled: bool
    until: float


class SuspectTable:
    """The suspects, pooled between nodes."""

    def __init__(self) -> None:
        """Start with no suspects."""
        self._by_fingerprint: dict[str, Suspect] = {}
        # Whether each request at a crash is excused by an earlier answer.
        self._excuses_by_crash: dict[str, dict[str, bool]] = {}
        self._answered: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._on_trial: set[str] = set()

    def record(self, sign: evidence.Suspicion) -> bool:
        """Take in a suspicion of this or another node.

        Args:
            sign: The suspicion.

        Returns:
            Whether it was new.
        """
        excuses = self._excuses_by_crash.setdefault(sign.crash, {})
        if sign.fingerprint in excuses:
            return False
        known = self._by_fingerprint.get(sign.fingerprint)
        excused = known is None and sign.fingerprint in self._answered
        excuses[sign.fingerprint] = excused
        self._forget_oldest()
        if excused:
            self._answered.pop(sign.fingerprint)
            return True
        crashes = frozenset((sign.crash,))
        if known:
            crashes |= known.crashes
        trialled = sign.trial or bool(known and known.trialled)
        self._by_fingerprint[sign.fingerprint] = Suspect(
            crashes,
            trialled,
            clock.read_monotonic() + BAN_SECONDS,
        )
        for fingerprint in excuses:
            self._judge(fingerprint)
        return True

    def note_answered(self, fingerprint: str) -> None:
        """Remember that a request was answered.

        Args:
            fingerprint: The fingerprint of the request.
        """
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        if len(self._answered) > KEPT_ANSWERED:
            self._answered.popitem(last=False)

    def check(self, fingerprint: str) -> Verdict:
        """Decide whether a request may run.

        Args:
            fingerprint: The fingerprint of the request.

        Returns:
            Whether it runs freely or as a trial.

        Raises:
            QuarantinedError: If it may not run now.
        """
        known = self._by_fingerprint.get(fingerprint)
        if known is None:
            return Verdict.free
        left = known.until - clock.read_monotonic()
        if left > 0 or fingerprint in self._on_trial:
            raise error.QuarantinedError(
                'the request is suspected of crashing back ends',
                'admit',
                retry_after=max(left, HOLD_SECONDS),
            )
        return Verdict.trial

    def begin_trial(self, fingerprint: str) -> None:
        """Note that a suspect runs, so that no copy runs beside it.

        Args:
            fingerprint: The fingerprint of the request.
        """
        self._on_trial.add(fingerprint)

    def is_on_trial(self, fingerprint: str) -> bool:
        """Tell whether a suspect runs now.

        Args:
            fingerprint: The fingerprint of the request.

        Returns:
            Whether it runs as a trial of this node.
        """
        return fingerprint in self._on_trial

    def end_trial(self, fingerprint: str, whole: bool) -> None:
        """Note the end of a suspect's run.

        Args:
            fingerprint: The fingerprint of the request.
            whole: Whether its answer came whole, which clears it.
        """
        self._on_trial.discard(fingerprint)
        if whole:
            self._by_fingerprint.pop(fingerprint, None)

    def _forget_oldest(self) -> None:
        if len(self._excuses_by_crash) <= KEPT_CRASHES:
            return
        oldest = next(iter(self._excuses_by_crash))
        for fingerprint in self._excuses_by_crash.pop(oldest):
            self._by_fingerprint.pop(fingerprint, None)

    def _judge(self, fingerprint: str) -> None:
        known = self._by_fingerprint.get(fingerprint)
        if known is None:
            return
        now = clock.read_monotonic()
        alone = any(map(self._had_one_suspect, known.crashes))
        hold = HOLD_SECONDS
        if alone:
            hold = BLOCK_SECONDS
        if known.trialled or len(known.crashes) > 1:
            hold = BAN_SECONDS
        self._by_fingerprint[fingerprint] = dataclasses.replace(
            known,
            until=now + hold,
        )

    def _had_one_suspect(self, crash: str) -> bool:
        excuses = self._excuses_by_crash.get(crash, {})
        return list(excuses.values()).count(False) == 1
