"""A sum over many servers that is refreshed incrementally."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadhill.decision.order import ServerOrder
    from threadhill.decision.state import Server

STEP = 16  # servers evaluated per call; up to this many servers are summed in full each time


class RotatingSum:
    """The sum of a value over all servers of one role. Each call evaluates `STEP` more servers; after a full round, the
    sum is that round's. During the first round it is extrapolated from the servers evaluated so far."""

    def __init__(self) -> None:
        self._remaining: Iterator[Server] = iter(())
        self._count = 0  # servers evaluated in the current round
        self._sum = 0.0  # the sum of their values
        self._mean: float | None = None  # mean value of the last complete round

    def total(self, servers: ServerOrder, value: Callable[[Server], float]) -> float:
        """The current sum over these servers."""
        if len(servers) <= STEP:
            return sum(map(value, servers))
        for _ in range(STEP):
            server = next(self._remaining, None)
            if server is None:
                self._begin_round(servers)
                continue
            self._sum += value(server)
            self._count += 1
        mean = self._mean if self._mean is not None else self._sum / max(1, self._count)
        return mean * len(servers)

    def _begin_round(self, servers: ServerOrder) -> None:
        """Finish the current round and begin the next one over the current servers."""
        if self._count:
            self._mean = self._sum / self._count
        self._remaining, self._count, self._sum = iter(list(servers)), 0, 0.0
