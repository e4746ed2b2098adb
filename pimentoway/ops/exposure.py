"""The requests of a rollout: how many a new version got, and who sent them.

The broker counts the requests of each node. A node counts what it sent itself,
whichever broker granted it, and reports this to its next broker; so a broker
that takes over knows what the new version got already.
"""

import collections
import dataclasses


@dataclasses.dataclass
class Sent:
    """Numbers of requests.

    Attributes:
        starts: The requests to the service.
        new_starts: Those of them to the new version.
    """

    starts: int = 0
    new_starts: int = 0

    def add(self, new: bool, starts: int) -> None:
        """Count requests.

        Args:
            new: Whether they go to the new version.
            starts: Their number; negative if they were not sent after all.
        """
        self.starts = max(0, self.starts + starts)
        if new:
            self.new_starts = max(0, self.new_starts + starts)


class Ledger:
    """The requests since the order of a rollout.

    Attributes:
        own: What this node sent itself.
    """

    def __init__(self) -> None:
        """Start without requests."""
        self.own = Sent()
        self._sent_by_requester: dict[str, Sent] = collections.defaultdict(Sent)

    def add(self, requester: str, new: bool, starts: int = 1) -> None:
        """Count requests that this broker granted.

        Args:
            requester: The node that sends them.
            new: Whether they go to the new version.
            starts: Their number; negative if they were not sent after all.
        """
        self._sent_by_requester[requester].add(new, starts)

    def adopt(self, requester: str, reported: Sent) -> None:
        """Count what a node sent before it used this broker.

        Args:
            requester: The node.
            reported: All that it sent, with what this broker granted.
        """
        sent = self._sent_by_requester[requester]
        sent.starts = max(sent.starts, reported.starts)
        sent.new_starts = max(sent.new_starts, reported.new_starts)

    def count(self) -> Sent:
        """Count the requests of all nodes.

        Returns:
            Their numbers.
        """
        sent_by_all = self._sent_by_requester.values()
        return Sent(
            sum(sent.starts for sent in sent_by_all),
            sum(sent.new_starts for sent in sent_by_all),
        )
