"""Sends the usage of this node to the broker that it uses."""

import gevent

from pimentoway.duties import usagecopy, usagecount
from pimentoway.ops import slotclient

#: Seconds between two checks whether there is anything to send.
SEND_SECONDS = 0.5


class UsageSender:
    """Sends changes, and everything again after a change of the broker."""

    def __init__(
        self,
        counter: usagecount.UsageCounter,
        slots: slotclient.SlotClient,
        copier: usagecopy.UsageCopier | None = None,
    ) -> None:
        """Start with a broker that knows nothing.

        Args:
            counter: The counts of this node.
            slots: Sends messages to the broker.
            copier: Sends copies to other nodes; ``None`` to send none.
        """
        self._counter = counter
        self._slots = slots
        self._copier = copier
        self._sent_changes: int | None = None

    def run(self) -> None:
        """Send forever."""
        while True:
            self.send()
            gevent.sleep(SEND_SECONDS)

    def send(self) -> None:
        """Send once, if there is anything to tell."""
        changes = self._slots.broker_changes
        is_new = changes != self._sent_changes
        update = self._counter.make_update(everything=is_new)
        if update:
            self._sent_changes = changes
            self._slots.report_usage(update)
        if self._copier:
            self._copier.copy(update, is_new)
