"""Writes blocks of prompt parts, and again what a restored store has lost.

One node writes again at once: the one whose broker most nodes use. The others
do so later, each at another moment, if that node doesn't know what was lost.
"""

import collections
import dataclasses
import random

import gevent

from pimentoway.core import clock, deployment, error, log, registry
from pimentoway.ops import partledger, view

#: Seconds between two checks for records to write, and the pause after a call
#: to the store that failed.
CHECK_SECONDS = 0.1
RETRY_SECONDS = 0.5

#: The range of seconds for which other nodes wait for the leader.
MIN_FOLLOWER_SECONDS = 2.0
MAX_FOLLOWER_SECONDS = 6.0

_LOG = log.Log('rewrite')


class Rewriter:
    """Keeps what the nodes have written in the store."""

    def __init__(
        self,
        source: registry.Registry,
        registry_view: view.View,
        parts: partledger.PartLedger,
        is_leader: collections.abc.Callable[[], bool],
    ) -> None:
        """Set up the task; ``run`` starts it.

        Args:
            source: The registry in the store.
            registry_view: The records as this node knows them.
            parts: The blocks of this node's broker.
            is_leader: Tells whether this node writes before the others do.
        """
        self._source = source
        self._view = registry_view
        self._parts = parts
        self._is_leader = is_leader
        self._follower_seconds = random.uniform(
            MIN_FOLLOWER_SECONDS, MAX_FOLLOWER_SECONDS
        )
        self._unreported_since: dict[str, float] = {}

    def run(self) -> None:
        """Write what the store should have, for ever."""
        while True:
            gevent.sleep(CHECK_SECONDS)
            leads = self._is_leader()
            try:
                self._write(leads)
            except error.PlatformError as fault:
                _LOG.write(
                    'writing a record failed, trying again.',
                    reason=str(fault),
                )
                gevent.sleep(RETRY_SECONDS)

    def _write(self, leads: bool) -> None:
        self._store_blocks()
        self._rewrite_blocks(0 if leads else self._follower_seconds)
        if leads:
            self._remove_blocks()
        else:
            self._report_states()

    def _store_blocks(self) -> None:
        unstored = self._parts.unstored_by_part
        for part, block in list(unstored.items()):
            if block.seconds:
                self._source.put_part_block(block)
            else:
                self._remove_block(block)
                # It may be held, as the restored store lacked it.
                self._view.forget(registry.Kind.part_blocks, block.name)
            if unstored[part] is block:
                unstored.pop(part)

    def _remove_block(self, block: deployment.PartBlock) -> None:
        try:
            self._source.remove_part_block(block)
        except error.PlatformRefusedError:
            _LOG.write('the block was removed before.', part=block.name)

    def _rewrite_blocks(self, seconds: float) -> None:
        kind = registry.Kind.part_blocks
        for name in self._view.retained.list_held(kind, seconds):
            block = self._view.part_blocks_by_name.get(name)
            if block is None:
                continue
            self._source.put_part_block(block)
            self._view.retained.note_written(kind, name)
            _LOG.write('wrote a lost block of a part again.', part=name)

    def _remove_blocks(self) -> None:
        outdated = self._view.retained.outdated_blocks
        for name, block in list(outdated.items()):
            self._remove_block(block)
            outdated.pop(name, None)
            _LOG.write('removed a block again that had ended.', part=name)

    def _report_states(self) -> None:
        # The leader reports the states of all rollouts that it knows.
        orders = self._view.rollouts_by_service
        now = clock.read_monotonic()
        self._unreported_since = {
            service: self._unreported_since.get(service, now)
            for service, order in orders.items()
            if not order.reported
        }
        due = [
            orders[service]
            for service, since in self._unreported_since.items()
            if now - since >= self._follower_seconds
        ]
        for order in due:
            self._report_state(order)

    def _report_state(self, order: deployment.Rollout) -> None:
        self._unreported_since[order.service] = clock.read_monotonic()
        self._source.report_rollout(order, order.state)
        _LOG.write(
            'reported the state of a rollout again.',
            **dataclasses.asdict(order),
        )
