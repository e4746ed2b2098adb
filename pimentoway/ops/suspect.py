"""Requests that may crash the back end that runs them.

A request in flight on a back end that crashed is suspected by its
fingerprint. If it was alone, or crashed a second back end in a trial of its
own, it is blocked. If others died with it, each is held for a short while and
then runs alone on a back end; a whole answer clears it.
"""

import dataclasses
import enum

from pimentoway.core import clock, error, evidence

#: Seconds for which a request that died among others is held.
HOLD_SECONDS = 10

#: Seconds for which a request that died alone is blocked.
BLOCK_SECONDS = 600

#: Seconds for which a request that crashed two back ends is blocked.
BAN_SECONDS = 86_400


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
        self._by_crash: dict[str, set[str]] = {}
        self._on_trial: set[str] = set()

    def record(self, sign: evidence.Suspicion) -> bool:
        """Take in a suspicion of this or another node.

        Args:
            sign: The suspicion.

        Returns:
            Whether it was new.
        """
        others = self._by_crash.setdefault(sign.crash, set())
        if sign.fingerprint in others:
            return False
        others.add(sign.fingerprint)
        known = self._by_fingerprint.get(sign.fingerprint)
        crashes = frozenset((sign.crash,))
        if known:
            crashes |= known.crashes
        trialled = sign.trial or bool(known and known.trialled)
        self._by_fingerprint[sign.fingerprint] = Suspect(
            crashes,
            trialled,
            clock.read_monotonic() + BAN_SECONDS,
        )
        for fingerprint in others:
            self._judge(fingerprint)
        return True

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

    def _judge(self, fingerprint: str) -> None:
        known = self._by_fingerprint.get(fingerprint)
        if known is None:
            return
        now = clock.read_monotonic()
        alone = any(len(self._by_crash[crash]) == 1 for crash in known.crashes)
        hold = HOLD_SECONDS
        if alone:
            hold = BLOCK_SECONDS
        if known.trialled or len(known.crashes) > 1:
            hold = BAN_SECONDS
        self._by_fingerprint[fingerprint] = dataclasses.replace(
            known,
            until=now + hold,
        )
