"""The membership of nodes by SWIM: suspicion and incarnation numbers."""

import collections

from pimentoway.core import clock, log
from pimentoway.nodes import message

#: Seconds for which a suspected node may prove that it lives.
SUSPICION_SECONDS = 3

#: Seconds for which a dead node is remembered, so that no late news revives it.
MEMORY_SECONDS = 600

_LIVE = frozenset((message.Standing.alive, message.Standing.suspect))
_LOG = log.Log('members')


class MemberTable:
    """The members that a node knows, itself included.

    Attributes:
        own: The node itself.
        by_name: The members.
    """

    def __init__(
        self,
        own: message.Member,
        notify: collections.abc.Callable[[], object],
    ) -> None:
        """Know only the node itself.

        Args:
            own: The node.
            notify: Called when the set of live members has changed.
        """
        self.own = own
        self.by_name = {own.name: own}
        self._since_by_name: dict[str, float] = {}
        self._notify = notify

    def merge(self, news: message.Member) -> bool:
        """Take in news of a member.

        Args:
            news: The news.

        Returns:
            Whether it was new.
        """
        if news.name == self.own.name:
            return self._refute(news)
        known = self.by_name.get(news.name)
        if known and not _supersedes(news, known):
            return False
        if known is None and news.standing not in _LIVE:
            return False
        self._put(news)
        was_live = bool(known) and known.standing in _LIVE
        if was_live != (news.standing in _LIVE):
            _LOG.write(f'{news.name} is {news.standing.name}.')
            self._notify()
        return True

    def suspect(self, name: str) -> message.Member | None:
        """Suspect a member that did not answer.

        Args:
            name: Its name.

        Returns:
            The news for the other members, if any.
        """
        return self._degrade(
            name,
            message.Standing.alive,
            message.Standing.suspect,
        )

    def expire(self) -> list[message.Member]:
        """Declare dead who was suspected for too long.

        Returns:
            The news for the other members.
        """
        now = clock.read_monotonic()
        news = []
        for name, since in list(self._since_by_name.items()):
            standing = self.by_name[name].standing
            age = now - since
            suspected = standing is message.Standing.suspect
            if suspected and age > SUSPICION_SECONDS:
                dead = self._degrade(name, standing, message.Standing.dead)
                news.append(dead)
            elif standing not in _LIVE and age > MEMORY_SECONDS:
                self.by_name.pop(name)
                self._since_by_name.pop(name)
        return news

    def leave(self) -> message.Member:
        """Leave the membership.

        Returns:
            The news for the other members.
        """
        self.own = self._restate(self.own, message.Standing.left)
        return self.own

    def list_known(self) -> tuple[message.Member, ...]:
        """List all members, dead ones included.

        Returns:
            The members.
        """
        return tuple(self.by_name.values())

    def list_live(self) -> list[message.Member]:
        """List the members that count as live, the node itself included.

        Returns:
            The members.
        """
        return [
            member
            for member in self.by_name.values()
            if member.standing in _LIVE
        ]

    def list_others(self) -> list[message.Member]:
        """List the other members that count as live.

        Returns:
            The members.
        """
        return [
            member
            for member in self.list_live()
            if member.name != self.own.name
        ]

    def group_live(self) -> dict[str, tuple[str, ...]]:
        """Group the live members by failure domain.

        Returns:
            The names by failure domain.
        """
        groups: dict[str, list[str]] = {}
        for member in self.list_live():
            groups.setdefault(member.zone, []).append(member.name)
        return {zone: tuple(sorted(names)) for zone, names in groups.items()}

    def _refute(self, news: message.Member) -> bool:
        # Only the node itself may raise its number, and so deny its death.
        outdated = news.incarnation < self.own.incarnation
        if outdated or self.own.standing is message.Standing.left:
            return False
        same = news.incarnation == self.own.incarnation
        if same and news.standing is message.Standing.alive:
            return False
        self.own = _raise_incarnation(self.own, news.incarnation + 1)
        self.by_name[self.own.name] = self.own
        return True

    def _degrade(
        self,
        name: str,
        before: message.Standing,
        after: message.Standing,
    ) -> message.Member | None:
        known = self.by_name.get(name)
        if known is None or known.standing is not before:
            return None
        news = self._restate(known, after)
        self.merge(news)
        return news

    def _put(self, news: message.Member) -> None:
        self.by_name[news.name] = news
        if news.standing is message.Standing.alive:
            self._since_by_name.pop(news.name, None)
        else:
            self._since_by_name[news.name] = clock.read_monotonic()

    def _restate(
        self, member: message.Member, standing: message.Standing
    ) -> message.Member:
        return message.Member(
            member.name,
            member.zone,
            member.gossip,
            member.calls,
            member.incarnation,
            standing,
        )


def _raise_incarnation(
    member: message.Member, incarnation: int
) -> message.Member:
    return message.Member(
        member.name,
        member.zone,
        member.gossip,
        member.calls,
        incarnation,
    )


def _supersedes(news: message.Member, known: message.Member) -> bool:
    if news.incarnation != known.incarnation:
        return news.incarnation > known.incarnation
    return news.standing > known.standing
