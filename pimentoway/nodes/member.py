"""The membership of nodes as in SWIM, with suspicion and incarnations."""

import collections

from pimentoway.core import clock, log
from pimentoway.nodes import message

#: Seconds after which a suspected node that did not refute counts as dead.
SUSPICION_SECONDS = 3

#: Seconds for which a node that died or left stays in the table, so that
#: outdated updates don't add it again.
DEAD_RETENTION_SECONDS = 600

_LIVE_STATES = frozenset(
    (message.MemberState.alive, message.MemberState.suspect)
)
_LOG = log.Log('members')


class MemberTable:
    """The members that a node knows, itself included.

    Attributes:
        own: The node itself.
        by_name: The members, dead ones included.
    """

    def __init__(
        self,
        own: message.Member,
        notify: collections.abc.Callable[[], object],
    ) -> None:
        """Start with the node itself as the only member.

        Args:
            own: The node.
            notify: Called after each change of the set of live members.
        """
        self.own = own
        self.by_name = {own.name: own}
        self._state_since_by_name: dict[str, float] = {}
        self._notify = notify

    def merge(self, update: message.Member) -> bool:
        """Apply an update about a member.

        An update that reports this node itself as suspected, dead or left is
        refuted.

        Args:
            update: The state of the member at the sender.

        Returns:
            Whether the table changed, so that the update is worth spreading.
        """
        if update.name == self.own.name:
            return self._refute(update)
        current = self.by_name.get(update.name)
        if current and not _supersedes(update, current):
            return False
        if current is None and update.state not in _LIVE_STATES:
            return False
        self._store(update)
        was_live = bool(current) and current.state in _LIVE_STATES
        if was_live != (update.state in _LIVE_STATES):
            _LOG.write(f'{update.name} is {update.state.name}.')
            self._notify()
        return True

    def suspect(self, name: str) -> message.Member | None:
        """Suspect a member that did not answer a probe.

        Args:
            name: Its name.

        Returns:
            The update to spread; None if the member isn't alive anyway.
        """
        return self._transition(
            name,
            message.MemberState.alive,
            message.MemberState.suspect,
        )

    def expire(self) -> list[message.Member]:
        """Declare members dead that were suspected for too long.

        Dead members and those that left are removed after
        ``DEAD_RETENTION_SECONDS``.

        Returns:
            The updates to spread.
        """
        now = clock.read_monotonic()
        updates = []
        for name, since in list(self._state_since_by_name.items()):
            state = self.by_name[name].state
            age = now - since
            suspected = state is message.MemberState.suspect
            if suspected and age > SUSPICION_SECONDS:
                dead = self._transition(name, state, message.MemberState.dead)
                updates.append(dead)
            elif state not in _LIVE_STATES and age > DEAD_RETENTION_SECONDS:
                self.by_name.pop(name)
                self._state_since_by_name.pop(name)
        return updates

    def leave(self) -> message.Member:
        """Mark this node as having left.

        Returns:
            The update to spread.
        """
        self.own = self._copy_with_state(self.own, message.MemberState.left)
        return self.own

    def list_all(self) -> tuple[message.Member, ...]:
        """List all members, dead ones included.

        Returns:
            The members in no particular order.
        """
        return tuple(self.by_name.values())

    def list_live(self) -> list[message.Member]:
        """List the live members, this node included.

        Returns:
            The members that are alive or suspected.
        """
        return [
            member
            for member in self.by_name.values()
            if member.state in _LIVE_STATES
        ]

    def list_others(self) -> list[message.Member]:
        """List the live members without this node.

        Returns:
            The members that are alive or suspected.
        """
        return [
            member
            for member in self.list_live()
            if member.name != self.own.name
        ]

    def group_live_by_zone(self) -> dict[str, tuple[str, ...]]:
        """Group the live members by failure domain.

        Returns:
            The sorted names by failure domain.
        """
        groups: dict[str, list[str]] = {}
        for member in self.list_live():
            groups.setdefault(member.zone, []).append(member.name)
        return {zone: tuple(sorted(names)) for zone, names in groups.items()}

    def _refute(self, update: message.Member) -> bool:
        # A node refutes by a higher incarnation, which only it may issue.
        outdated = update.incarnation < self.own.incarnation
        if outdated or self.own.state is message.MemberState.left:
            return False
        same_incarnation = update.incarnation == self.own.incarnation
        if same_incarnation and update.state is message.MemberState.alive:
            return False
        self.own = _copy_with_incarnation(self.own, update.incarnation + 1)
        self.by_name[self.own.name] = self.own
        return True

    def _transition(
        self,
        name: str,
        expected: message.MemberState,
        new_state: message.MemberState,
    ) -> message.Member | None:
        current = self.by_name.get(name)
        if current is None or current.state is not expected:
            return None
        update = self._copy_with_state(current, new_state)
        self.merge(update)
        return update

    def _store(self, update: message.Member) -> None:
        self.by_name[update.name] = update
        if update.state is message.MemberState.alive:
            self._state_since_by_name.pop(update.name, None)
        else:
            self._state_since_by_name[update.name] = clock.read_monotonic()

    def _copy_with_state(
        self, member: message.Member, state: message.MemberState
    ) -> message.Member:
        return message.Member(
            member.name,
            member.zone,
            member.gossip_address,
            member.rpc_address,
            member.incarnation,
            state,
        )


def _copy_with_incarnation(
    member: message.Member, incarnation: int
) -> message.Member:
    return message.Member(
        member.name,
        member.zone,
        member.gossip_address,
        member.rpc_address,
        incarnation,
    )


def _supersedes(update: message.Member, current: message.Member) -> bool:
    if update.incarnation != current.incarnation:
        return update.incarnation > current.incarnation
    return update.state > current.state
