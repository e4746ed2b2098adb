"""Blocks prefixes of prompts that crash one back end after the other.

No two of the requests need to be alike: a prefix that they share is enough. The
prefixes of a prompt are counted like the parts that callers state, see
``partledger``. A prefix that was answered here lately is not suspected, so that
a sound one which crashing requests share is not blocked at other nodes.
"""

import collections

from pimentoway.core import clock, error, evidence, request
from pimentoway.ops import partledger

#: The most answered prefixes that a node remembers: a prompt has up to 16.
MAX_ANSWERED = 50_000


class PrefixGuard:
    """The evidence of this and the other nodes against prefixes."""

    def __init__(self) -> None:
        """Start without suspected prefixes."""
        self._parts = partledger.PartLedger()
        self._answered: collections.OrderedDict[partledger.Part, None] = (
            collections.OrderedDict()
        )

    def check(self, req: request.Request) -> None:
        """Refuse a request with a blocked prefix.

        Args:
            req: The request.

        Raises:
            QuarantinedError: If one of its prefixes is blocked.
        """
        left = self._parts.compute_block_seconds(_list_parts(req))
        if left:
            raise error.QuarantinedError(
                'the beginning of the prompt crashed several back ends',
                'admit',
                retry_after=left,
            )

    def record_answer(self, req: request.Request) -> None:
        """Clear the prefixes of a request that was answered.

        Args:
            req: The request.
        """
        parts = _list_parts(req)
        self._parts.record_answer(parts)
        # The blocks of this ledger are not stored; nodes share the evidence.
        self._parts.unstored_by_part.clear()
        for part in parts:
            self._answered[part] = None
            self._answered.move_to_end(part)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def list_suspects(self, req: request.Request) -> tuple[int, ...]:
        """List the prefixes of a request that no back end has answered.

        Args:
            req: A request that was running at a back end as it crashed.

        Returns:
            Their digests.
        """
        return tuple(
            part[1] for part in _list_parts(req) if part not in self._answered
        )

    def record(self, suspicion: evidence.CrashSuspicion) -> None:
        """Record that a request was running at a back end as it crashed.

        Args:
            suspicion: The evidence of this or another node, new to this one.
        """
        started = clock.read_monotonic() - suspicion.run_seconds
        parts = [(suspicion.service, digest) for digest in suspicion.prefixes]
        unanswered = [part for part in parts if part not in self._answered]
        self._parts.record_crash(suspicion.crash, unanswered, started)
        self._parts.unstored_by_part.clear()


def _list_parts(req: request.Request) -> list[partledger.Part]:
    return [(req.service.name, digest) for digest in req.prefixes]
