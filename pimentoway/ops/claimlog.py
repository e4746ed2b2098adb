"""The claim log, as one node uses it.

The log is divided into shards by key. The entries of a shard gather at one
node, so that they share updates of the platform.
"""

import dataclasses
import typing
import uuid

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, error, log, request
from pimentoway.objects import store
from pimentoway.ops import claim, shard

#: Seconds for which a claim may wait for the platform.
CLAIM_SECONDS = 3

#: Seconds between attempts to record an outcome during an outage.
RECORD_PAUSE_SECONDS = 1

_LOG = log.Log('claim')


class Router(typing.Protocol):
    """Finds the node that gathers the entries of a shard, and reaches it.

    Which node does so matters to the number of updates only: the conditional
    update alone decides.
    """

    def choose_owner(self, number: int) -> str:
        """Choose the node that gathers the entries of a shard.

        Args:
            number: The number of the shard.

        Returns:
            The name of the node.
        """

    def append(self, owner: str, entry: claim.Entry) -> claim.Entry:
        """Let another node append an entry.

        Args:
            owner: The name of the node.
            entry: The entry.

        Returns:
            The entry that the log holds for the key afterwards. Raises a
            ``NodeError`` if the node can't be reached.
        """


class ClaimLog:
    """The claim log, as one node uses it."""

    def __init__(
        self, node: str, object_store: store.Store, router: Router
    ) -> None:
        """Use the platform's object service.

        Args:
            node: The name of the node.
            object_store: The service.
            router: Finds the nodes that gather entries.
        """
        self._node = node
        self._router = router
        self._shards = [
            shard.Shard(number, object_store) for number in range(claim.SHARDS)
        ]

    def claim_request(self, entry: request.Request) -> claim.Claim:
        """Claim a request, unless it was claimed before.

        Args:
            entry: The request.

        Returns:
            What the log holds for the request's key.

        Raises:
            ClaimUnavailableError: If the platform could not record the claim.
        """
        key = claim.make_key(entry)
        wanted = claim.Entry(
            key,
            f'{self._node}/{entry.request_id}/{uuid.uuid4().hex[:8]}',
            request.fingerprint_body(entry.service.name, entry.body),
        )
        written = self._append(wanted)
        left = entry.deadline - clock.read_monotonic()
        try:
            held = written.get(timeout=max(0, min(left, CLAIM_SECONDS)))
        except (error.PlatformError, gevent.Timeout) as fault:
            # The request is not sent under this claim, whatever became of it.
            if not isinstance(fault, error.PlatformUnavailableError):
                gevent.spawn(self._take_back, wanted, written)
            raise error.ClaimUnavailableError(
                f'the platform did not record the claim: {fault}',
                'claim',
                'platform',
                retry_after=RECORD_PAUSE_SECONDS * 2,
            ) from fault
        return claim.Claim(held, granted=held == wanted)

    def record(self, outcome: claim.Entry) -> None:
        """Record an outcome, trying again for as long as the platform is out.

        Args:
            outcome: The entry with the outcome.
        """
        recorded = False
        while not recorded:
            try:
                self._append(outcome).get()
            except error.PlatformError as fault:
                _LOG.write(f'an outcome is not recorded yet: {fault}.')
                gevent.sleep(RECORD_PAUSE_SECONDS)
            else:
                recorded = True

    def append_local(self, entry: claim.Entry) -> claim.Entry:
        """Append an entry by this node's own updates.

        Args:
            entry: The entry.

        Returns:
            The entry that the log holds for the key afterwards.
        """
        return self._shards[claim.choose_shard(entry.key)].append(entry).get()

    def _take_back(
        self, wanted: claim.Entry, written: gevent_event.AsyncResult
    ) -> None:
        # The update may take effect late, so the claim is taken back.
        written.wait()
        self.record(dataclasses.replace(wanted, state=claim.State.not_run))

    def _append(self, entry: claim.Entry) -> gevent_event.AsyncResult:
        number = claim.choose_shard(entry.key)
        owner = self._router.choose_owner(number)
        if owner == self._node:
            return self._shards[number].append(entry)
        written = gevent_event.AsyncResult()
        gevent.spawn(self._append_at, owner, entry).link(written)
        return written

    def _append_at(self, owner: str, entry: claim.Entry) -> claim.Entry:
        try:
            return self._router.append(owner, entry)
        except error.NodeError as fault:
            # The owner may have written the entry; appending it again here
            # finds it, as the claim has the same identifier.
            _LOG.write(f'a claim is written without its owner: {fault}.')
            return self.append_local(entry)
