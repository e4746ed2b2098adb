"""A memory budget shared by many connections."""


class ByteBudget:
    """Counts bytes against a limit.

    Attributes:
        used: The reserved bytes.
    """

    def __init__(self, limit: int) -> None:
        """Start with nothing reserved.

        Args:
            limit: The most bytes; 0 for no limit.
        """
        self.used = 0
        self._limit = limit

    def reserve(self, size: int) -> bool:
        """Reserve bytes.

        Args:
            size: The number of bytes.

        Returns:
            Whether they fit; if not, none was reserved.
        """
        if self._limit and self.used + size > self._limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes.

        Args:
            size: The number of bytes.
        """
        self.used -= size
