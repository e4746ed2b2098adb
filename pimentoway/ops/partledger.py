"""Evidence against parts of prompts that crash the back ends that run them.

Such a part never gets a complete answer, and requests with it crash one back
end after the other. Crashes are therefore counted for each part from its latest
complete answer on, and only one crash after the other: a back end that crashes
takes sound requests with it, and several may crash at once for a reason of
their own.
"""

import collections
import dataclasses

from pimentoway.core import clock, deployment, log

#: The crashes in a row after which a part is blocked if it had more than any
#: part that was running beside it.
MIN_CRASHES = 3

#: The crashes in a row after which a part is blocked in any case. Parts that
#: always come together can't be told apart.
CERTAIN_CRASHES = 5

#: Seconds for which a run may have sent events and still be suspected: a back
#: end crashes as it begins to answer.
SUSPECT_SECONDS = 1.0

#: Seconds for which a part is blocked at first, and at most. A request is then
#: let through, and the time doubles if it crashes its back end.
BLOCK_SECONDS = 600
MAX_BLOCK_SECONDS = 86_400

#: Seconds until another request is let through if the outcome of the previous
#: one did not become known.
TRIAL_SECONDS = 60

#: Seconds after its latest crash at which a part is no longer suspected.
MEMORY_SECONDS = 600

#: The parts that are suspected, and those that are blocked; the oldest is
#: dropped first.
MAX_SUSPECTS = 5000
MAX_BLOCKS = 200

_LOG = log.Log('admit')

#: A part of prompts: the name of the service and the digest of the part.
Part = tuple[str, int]


@dataclasses.dataclass(eq=False)
class _Suspicion:
    """The crashes of back ends that were running a part.

    Attributes:
        crashes: All of them since the latest complete answer.
        counted: Those whose run began after the previous one, in order.
        latest: The monotonic time of the latest.
    """

    crashes: set[str]
    counted: list[str]
    latest: float


@dataclasses.dataclass(eq=False)
class _Block:
    """A part that is blocked.

    Attributes:
        seconds: For how long it is blocked after each crash.
        until: The monotonic time until which it is blocked.
        trial_until: The monotonic time until which no further request is let
            through after the block has ended.
        crashes: The crashes for which it was blocked; empty if another node
            blocked it.
        stored: Whether the store has had the block.
    """

    seconds: float
    until: float
    trial_until: float
    crashes: frozenset[str]
    stored: bool = False


class PartLedger:
    """Counts crashes for each part, and blocks the parts that cause them.

    Attributes:
        unstored_by_part: The blocks that the store does not have yet, and the
            released ones that it still has to remove, which have 0 seconds.
    """

    def __init__(self) -> None:
        """Start without suspected parts."""
        self.unstored_by_part: dict[Part, deployment.PartBlock] = {}
        self._suspicion_by_part: collections.OrderedDict[Part, _Suspicion] = (
            collections.OrderedDict()
        )
        self._block_by_part: dict[Part, _Block] = {}

    def record_crash(
        self,
        crash: str,
        parts: collections.abc.Collection[Part],
        started: float,
        ended: float | None = None,
    ) -> None:
        """Record that a back end crashed while it ran a request.

        Args:
            crash: Identifies the crash: the back end and its incarnation.
            parts: The parts of the request's prompt that others share.
            started: The monotonic time at which it got its slot.
            ended: The monotonic time of the crash; now if it isn't given.
        """
        if ended is None:
            ended = clock.read_monotonic()
        for part in parts:
            self._add_crash(crash, part, started, ended)
        for suspected in parts:
            if self._is_to_blame(suspected):
                self._block(suspected)

    def record_answer(self, parts: collections.abc.Iterable[Part]) -> None:
        """Clear parts, as a back end has answered a request with them.

        Args:
            parts: The parts of its prompt that others share.
        """
        for part in parts:
            self._suspicion_by_part.pop(part, None)
            if part in self._block_by_part:
                self._release(part, 'it was answered')

    def compute_block_seconds(
        self, parts: collections.abc.Iterable[Part]
    ) -> float:
        """Compute for how long requests with these parts are refused.

        When a block has ended, one request at a time is let through.

        Args:
            parts: The parts of a request's prompt.

        Returns:
            The seconds; 0 if the request may run.
        """
        now = clock.read_monotonic()
        blocks = [
            self._block_by_part[part]
            for part in parts
            if part in self._block_by_part
        ]
        ends = [max(block.until, block.trial_until) for block in blocks]
        left = max(ends, default=0) - now
        if left > 0:
            return left
        for block in blocks:
            block.trial_until = now + TRIAL_SECONDS
        return 0

    def is_blocked(self, parts: collections.abc.Iterable[Part]) -> bool:
        """Tell whether any of the parts is blocked, without letting it through.

        Args:
            parts: The parts of a request's prompt.

        Returns:
            Whether one is.
        """
        return any(part in self._block_by_part for part in parts)

    def adopt(
        self, blocks: collections.abc.Collection[deployment.PartBlock]
    ) -> None:
        """Apply the blocks that the store has, also those of other brokers.

        Args:
            blocks: All of them.
        """
        stored = {(block.service, block.part): block for block in blocks}
        for part, block in stored.items():
            self._adopt_block(part, block.seconds)
        for name, held in list(self._block_by_part.items()):
            if held.stored and name not in stored:
                self._block_by_part.pop(name)
                _log_part('part of prompts is unblocked by another node.', name)

    def _adopt_block(self, part: Part, seconds: float) -> None:
        known = self._block_by_part.get(part)
        if known and known.seconds >= seconds:
            known.stored = True
        elif part not in self.unstored_by_part:
            until = clock.read_monotonic() + seconds
            self._block_by_part[part] = _Block(
                seconds, until, 0, frozenset(), stored=True
            )

    def _add_crash(
        self, crash: str, part: Part, started: float, ended: float
    ) -> None:
        now = clock.read_monotonic()
        suspicion = self._suspicion_by_part.get(part)
        if suspicion is None or now - suspicion.latest > MEMORY_SECONDS:
            suspicion = _Suspicion(set(), [], float('-inf'))
            self._suspicion_by_part[part] = suspicion
        if crash in suspicion.crashes:
            return
        suspicion.crashes.add(crash)
        if started >= suspicion.latest:
            suspicion.counted.append(crash)
            suspicion.latest = ended
        self._suspicion_by_part.move_to_end(part)
        if len(self._suspicion_by_part) > MAX_SUSPECTS:
            self._suspicion_by_part.popitem(last=False)

    def _is_to_blame(self, part: Part) -> bool:
        suspicion = self._suspicion_by_part.get(part)
        if suspicion is None:
            return False
        count = len(suspicion.counted)
        if part in self._block_by_part or count >= CERTAIN_CRASHES:
            return True
        if count < MIN_CRASHES:
            return False
        return not any(
            len(other.counted) >= count
            for name, other in self._suspicion_by_part.items()
            if name != part and not suspicion.crashes.isdisjoint(other.crashes)
        )

    def _block(self, part: Part) -> None:
        crashes = frozenset(self._suspicion_by_part[part].crashes)
        known = self._block_by_part.pop(part, None)
        now = clock.read_monotonic()
        seconds: float = BLOCK_SECONDS
        until = now + seconds
        if known and now < known.until:
            # The request got its slot before the part was blocked.
            seconds, until = known.seconds, known.until
        elif known:
            seconds = min(MAX_BLOCK_SECONDS, known.seconds * 2)
            until = now + seconds
        stored = known is not None and known.stored
        self._block_by_part[part] = _Block(seconds, until, 0, crashes, stored)
        self.unstored_by_part[part] = deployment.PartBlock(*part, seconds)
        if len(self._block_by_part) > MAX_BLOCKS:
            oldest = next(iter(self._block_by_part))
            self._release(oldest, 'too many are blocked')
        _log_part(
            'part of prompts is blocked, it crashed back ends.',
            part,
            seconds=round(until - now),
            crashes=sorted(crashes),
        )
        self._explain_crashes(part, crashes)

    def _explain_crashes(self, part: Part, crashes: frozenset[str]) -> None:
        # What ran beside the part is not to blame for these crashes.
        for name, suspicion in self._suspicion_by_part.items():
            if name != part:
                suspicion.counted = [
                    crash for crash in suspicion.counted if crash not in crashes
                ]
        for other, block in list(self._block_by_part.items()):
            if other == part or block.crashes.isdisjoint(crashes):
                continue
            block.crashes -= crashes
            if len(block.crashes) < MIN_CRASHES:
                self._release(other, 'another part caused the crashes')

    def _release(self, part: Part, reason: str) -> None:
        self._block_by_part.pop(part)
        self.unstored_by_part[part] = deployment.PartBlock(*part, 0)
        _log_part('part of prompts is unblocked.', part, reason=reason)


def _log_part(text: str, part: Part, **fields: object) -> None:
    _LOG.write(text, service=part[0], part=f'{part[1]:x}', **fields)
