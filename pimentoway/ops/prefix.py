"""An index of the prompt prefixes that a back end's cache probably holds.

The index is an estimate. It learns from dispatched prompts and from the
engine's cache events, which are late and incomplete, and it drops the least
recently used prefixes first.
"""

import collections

import xxhash

#: The number of prefixes that are remembered for a back end.
MAX_PREFIXES = 4096


class PrefixIndex:
    """The prefixes in one back end's cache, least recently used first."""

    def __init__(self) -> None:
        """Start empty."""
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def add(self, prefixes: tuple[int, ...]) -> None:
        """Add the prefixes of a prompt that was dispatched.

        Args:
            prefixes: The digests, shortest first.
        """
        for prefix in prefixes:
            self._prefixes[prefix] = None
            self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)

    def remove(self, prefixes: tuple[int, ...]) -> None:
        """Remove prefixes that the engine evicted.

        Args:
            prefixes: The digests.
        """
        for prefix in prefixes:
            self._prefixes.pop(prefix, None)

    def clear(self) -> None:
        """Remove all prefixes after a restart of the back end."""
        self._prefixes.clear()

    def match(self, prefixes: tuple[int, ...]) -> float:
        """Estimate how much of a prompt the cache holds.

        Args:
            prefixes: The digests of the prompt's prefixes, shortest first.

        Returns:
            The length of the longest known prefix as a fraction of the
            prompt, from 0 to 1.
        """
        for count in range(len(prefixes), 0, -1):
            if prefixes[count - 1] in self._prefixes:
                return count / len(prefixes)
        return 0


def rank_rendezvous(seed: int, names: list[str]) -> list[str]:
    """Order names by rendezvous hashing, the same on every node.

    Args:
        seed: The hash of the key that is to be placed.
        names: The candidates.

    Returns:
        The names, the preferred one first. If it goes away, only its own
        keys move to another name.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed=seed),
        reverse=True,
    )
