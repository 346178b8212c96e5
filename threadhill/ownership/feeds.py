"""Which member's feed a proxy reads, and which terms it still accepts. Free of I/O."""

from __future__ import annotations

import random

Address = tuple[str, int]


class Feeds:
    """The feed addresses of all members, in an order that depends on the proxy."""

    def __init__(self, addresses: list[Address], seed: int) -> None:
        self.addresses = list(addresses)
        random.Random(seed ^ 0xFEED).shuffle(self.addresses)  # spreads the fleet's proxies over all members
        self.index = 0

    def current(self) -> Address:
        return self.addresses[self.index % len(self.addresses)]

    def advance(self) -> bool:
        """Move on from an unusable address to the next. Returns whether the index is back at the first one."""
        self.index += 1
        return self.index % len(self.addresses) == 0

    def same_addresses(self, addresses: list[Address]) -> bool:
        return sorted(self.addresses) == sorted(addresses)


class Fence:
    """Rejects messages of terms older than the newest one seen: their sender is no longer the owner."""

    def __init__(self, term: int = 0) -> None:
        self.term = term
        self.refused = 0

    def admits(self, term: int) -> bool:
        if term < self.term:
            self.refused += 1
            return False
        self.term = term
        return True
