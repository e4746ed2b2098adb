"""Which prompt prefixes a back end's cache probably holds.

The index is a guess: it learns from dispatched prompts and from the engine's
late and incomplete cache events, and it forgets the oldest first.
"""

import collections

import xxhash

#: The prefixes remembered for a back end.
REMEMBERED = 4096


class PrefixIndex:
    """The prefixes in one back end's cache, least recently used first."""

    def __init__(self) -> None:
        """Start empty."""
        self._known: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def learn(self, prefixes: tuple[int, ...]) -> None:
        """Remember the prefixes of a prompt that was dispatched.

        Args:
            prefixes: The digests, shortest first.
        """
        for prefix in prefixes:
            self._known[prefix] = None
            self._known.move_to_end(prefix)
        while len(self._known) > REMEMBERED:
            self._known.popitem(last=False)

    def forget(self, prefixes: tuple[int, ...]) -> None:
        """Drop prefixes that the engine evicted.

        Args:
            prefixes: The digests.
        """
        for prefix in prefixes:
            self._known.pop(prefix, None)

    def clear(self) -> None:
        """Forget everything: the engine started anew."""
        self._known.clear()

    def match(self, prefixes: tuple[int, ...]) -> float:
        """Work out how much of a prompt the cache probably holds.

        Args:
            prefixes: The digests of the prompt, shortest first.

        Returns:
            The part of the prompt, from 0 to 1.
        """
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in self._known:
                return count / len(prefixes)
        return 0


def rank_rendezvous(seed: int, names: list[str]) -> list[str]:
    """Order names by rendezvous hashing, the same on every node.

    Args:
        seed: What is to be placed.
        names: The candidates.

    Returns:
        The names, the preferred one first.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed=seed),
        reverse=True,
    )
