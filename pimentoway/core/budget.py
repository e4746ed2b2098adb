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


class Reservation:
    """The bytes that one answer has reserved."""

    def __init__(self, source: ByteBudget) -> None:
        """Start with nothing reserved.

        Args:
            source: The budget.
        """
        self._source = source
        self._size = 0

    def extend(self, size: int) -> bool:
        """Reserve more bytes, unless as many are reserved already.

        Args:
            size: The number of bytes that are needed in all.

        Returns:
            Whether they fit; if not, none was reserved.
        """
        missing = size - self._size
        if missing <= 0:
            return True
        if not self._source.reserve(missing):
            return False
        self._size = size
        return True

    def release(self) -> None:
        """Release the reserved bytes."""
        self._source.release(self._size)
        self._size = 0
