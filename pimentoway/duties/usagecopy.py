"""Copies of usage that outlive the process of the broker.

The broker's own counts, and those of runs that ended, are told to nodes that
keep them. A node tells the counts that it keeps to each broker that it changes
to.
"""

import collections
import dataclasses

from pimentoway.core import log
from pimentoway.duties import usagesource, usagetable
from pimentoway.ops import slot, slotclient

#: The nodes that keep copies for a broker. Two, as the node that keeps the only
#: copy may end within seconds of the broker.
KEEPERS = 2

#: The counts, of an interval and a customer each, after which no further run's
#: are told at once: some 200 KB. After a change of the broker the nodes that
#: left earlier look like ended ones; 380 nodes may have 150,000 counts.
MAX_COUNTS = 10_000

#: The runs that a log line names.
MAX_NAMED = 8

_LOG = log.Log('usage')


@dataclasses.dataclass(frozen=True)
class Keeper:
    """A node that keeps copies.

    Attributes:
        requester: The node and its run.
        link: The number of its link. What was sent on an earlier one may be
            lost.
    """

    requester: str
    link: int


#: Lists the nodes that keep copies for the broker of this node.
KeeperLister = collections.abc.Callable[[], list[Keeper]]

#: Sends a report to the node of a run, if it is attached.
Send = collections.abc.Callable[[str, slot.Report], None]


class UsageCopier:
    """Tells the counts that would end with this process, or with the broker."""

    def __init__(
        self,
        table: usagetable.UsageTable,
        slots: slotclient.SlotClient,
        list_keepers: KeeperLister,
        send: Send,
    ) -> None:
        """Start with keepers that know nothing.

        Args:
            table: The counts that this node's broker has.
            slots: Sends messages to the broker in use.
            list_keepers: Lists the nodes that keep copies.
            send: Sends a report to one of them.
        """
        self._table = table
        self._slots = slots
        self._list_keepers = list_keepers
        self._send = send
        # By owner, the version of its counts that the keeper was told.
        self._told_by_keeper: dict[Keeper, dict[str, int]] = {}

    def copy(self, update: slot.UsageUpdate | None, is_new: bool) -> None:
        """Send the copies that are due.

        Args:
            update: What this node has just told its broker.
            is_new: Whether the broker in use has changed.
        """
        if not self._slots.is_remote:
            self._tell_keepers(update)
            return
        self._told_by_keeper.clear()
        if is_new:
            copies = self._list_ended({})
            for copy in copies:
                self._slots.report(_make_report(copy))
            _log_copies(copies, 'broker')

    def _tell_keepers(self, update: slot.UsageUpdate | None) -> None:
        sources = self._table.source_by_requester
        earlier = self._told_by_keeper
        self._told_by_keeper = {
            keeper: earlier.get(keeper, {}) for keeper in self._list_keepers()
        }
        for keeper, told in self._told_by_keeper.items():
            ended = self._list_ended(told)
            _log_copies(ended, keeper.requester)
            for copy in self._list_own(told, update) + ended:
                told[copy.owner] = sources[copy.owner].version
                self._send(keeper.requester, _make_report(copy))
            for owner in set(told).difference(sources):
                told.pop(owner)

    def _list_own(
        self, told: dict[str, int], update: slot.UsageUpdate | None
    ) -> list[slot.UsageCopy]:
        own = self._slots.requester
        source = self._table.source_by_requester.get(own)
        if source is None:
            return []
        if own not in told:
            update = source.make_update()
        return [slot.UsageCopy(own, own, 0, update)] if update else []

    def _list_ended(self, told: dict[str, int]) -> list[slot.UsageCopy]:
        # Those that left long ago first: the others may only have changed
        # their broker, and then tell their counts themselves.
        due = sorted(
            (source.heard_at, owner)
            for owner, source in self._table.source_by_requester.items()
            if source.size
            and not source.attached
            and owner != self._slots.requester
            and told.get(owner) != source.version
        )
        copies = []
        size = 0
        for _, owner in due:
            if size > MAX_COUNTS:
                break
            source = self._table.source_by_requester[owner]
            size += source.size
            copies.append(self._make_copy(owner, source))
        return copies

    def _make_copy(
        self, owner: str, source: usagesource.UsageSource
    ) -> slot.UsageCopy:
        return slot.UsageCopy(
            self._slots.requester,
            owner,
            self._table.comparison.measure(owner),
            source.make_update(),
        )


def _make_report(copy: slot.UsageCopy) -> slot.Report:
    return slot.Report(slot.NOTICE_NUMBER, slot.Outcome.unused, usage_copy=copy)


def _log_copies(copies: list[slot.UsageCopy], receiver: str) -> None:
    if copies:
        _LOG.write(
            'tells the usage of runs that left this broker.',
            receiver=receiver,
            runs=len(copies),
            named=[copy.owner for copy in copies[:MAX_NAMED]],
            counts=sum(len(copy.update.entries) for copy in copies),
        )
