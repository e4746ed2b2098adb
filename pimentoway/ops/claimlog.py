"""The claim log as one node uses it.

The log is divided into shards by key. The entries of a shard are collected
at one node, its owner, so that many entries share one update of the platform.
"""

import dataclasses
import typing
import uuid

import gevent
from gevent import event as gevent_event

from pimentoway.core import clock, error, log, request
from pimentoway.objects import store
from pimentoway.ops import claim, shard

#: The longest wait for the platform to record a claim, in seconds.
CLAIM_TIMEOUT_SECONDS = 3

#: Seconds between attempts to record an outcome during an outage.
RECORD_RETRY_SECONDS = 1

_LOG = log.Log('claim')


class Router(typing.Protocol):
    """Finds the node that owns a shard, and reaches it.

    The choice affects only how many updates are made. Which claim is first
    is decided by the conditional update of the platform, so two nodes may
    write to the same shard.
    """

    def choose_owner(self, number: int) -> str:
        """Choose the node that collects the entries of a shard.

        Args:
            number: The number of the shard.

        Returns:
            The name of the node.
        """

    def append(self, owner: str, entry: claim.Entry) -> claim.Entry:
        """Append an entry through another node.

        Args:
            owner: The name of the node.
            entry: The entry.

        Returns:
            The latest entry of the log for the key afterwards. Raises a
            `NodeError` if the node can't be reached.
        """


class ClaimLog:
    """Claims requests and records their outcomes for one node."""

    def __init__(
        self, node: str, object_store: store.Store, router: Router
    ) -> None:
        """Create the log's shards; nothing is read yet.

        Args:
            node: The name of this node.
            object_store: The platform's object service.
            router: Finds and reaches the owners of shards.
        """
        self._node = node
        self._router = router
        self._shards = [
            shard.Shard(number, object_store)
            for number in range(claim.SHARD_COUNT)
        ]

    def claim_request(self, req: request.Request) -> claim.ClaimReply:
        """Claim a request, unless it was claimed before.

        Args:
            req: The request.

        Returns:
            The latest entry of the log for the key, granted if it is ours.

        Raises:
            ClaimUnavailableError: If the platform did not record the claim
                in time. A claim that it records later is revoked.
        """
        key = claim.make_key(req)
        wanted = claim.Entry(
            key,
            f'{self._node}/{req.request_id}/{uuid.uuid4().hex[:8]}',
            request.fingerprint_body(req.service.name, req.body),
        )
        future = self._append(wanted)
        left = req.deadline - clock.read_monotonic()
        try:
            latest = future.get(
                timeout=max(0, min(left, CLAIM_TIMEOUT_SECONDS))
            )
        except (error.PlatformError, gevent.Timeout) as fault:
            # The request is not sent. A claim that may still be recorded is
            # revoked; after a `PlatformUnavailableError` none is.
            if not isinstance(fault, error.PlatformUnavailableError):
                gevent.spawn(self._revoke_claim, wanted, future)
            raise error.ClaimUnavailableError(
                f'the platform did not record the claim: {fault}',
                'claim',
                'platform',
                retry_after=RECORD_RETRY_SECONDS * 2,
            ) from fault
        return claim.ClaimReply(latest, granted=latest == wanted)

    def record(self, outcome: claim.Entry) -> None:
        """Record an outcome; blocks and retries until the platform takes it.

        Args:
            outcome: The entry with the outcome.
        """
        recorded = False
        while not recorded:
            try:
                self._append(outcome).get()
            except error.PlatformError as fault:
                _LOG.write(
                    'recording an outcome at the platform failed, '
                    f'trying again: {fault}.'
                )
                gevent.sleep(RECORD_RETRY_SECONDS)
            else:
                recorded = True

    def append_local(self, entry: claim.Entry) -> claim.Entry:
        """Append an entry by this node's own update, whoever owns the shard.

        Args:
            entry: The entry.

        Returns:
            The latest entry of the log for the key afterwards.
        """
        return self._shards[claim.choose_shard(entry.key)].append(entry).get()

    def _revoke_claim(
        self, wanted: claim.Entry, future: gevent_event.AsyncResult
    ) -> None:
        # The update may take effect late; without this the key would stay
        # claimed for a request that was never sent.
        future.wait()
        self.record(dataclasses.replace(wanted, state=claim.State.not_run))

    def _append(self, entry: claim.Entry) -> gevent_event.AsyncResult:
        number = claim.choose_shard(entry.key)
        owner = self._router.choose_owner(number)
        if owner == self._node:
            return self._shards[number].append(entry)
        future = gevent_event.AsyncResult()
        gevent.spawn(self._append_remote, owner, entry).link(future)
        return future

    def _append_remote(self, owner: str, entry: claim.Entry) -> claim.Entry:
        try:
            return self._router.append(owner, entry)
        except error.NodeError as fault:
            # The owner may have written the entry already. Appending it here
            # does no harm: the claim has the same identifier and is found.
            _LOG.write(
                'the owner of the shard cannot be reached, '
                f'this node appends the entry: {fault}.'
            )
            return self.append_local(entry)
