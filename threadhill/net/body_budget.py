"""The memory for the bodies of clients' requests: of those being received and of those that are open, together."""

from __future__ import annotations


class BodyBudget:
    """Counts the bytes reserved for bodies."""

    def __init__(self, limit: int) -> None:
        """`limit`: bytes for all clients together."""
        self.limit, self.reserved = limit, 0

    def reserve(self, size: int) -> bool:
        """Reserve this many bytes; False if the limit does not allow it."""
        if self.reserved + size > self.limit:
            return False
        self.reserved += size
        return True

    def release(self, size: int) -> None:
        """Give back what was reserved."""
        self.reserved -= size
