"""A sum over many servers that is kept current a few at a time."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadhill.decision.order import ServerOrder
    from threadhill.decision.state import Server

STEP = 16  # servers looked at each time: so many or fewer are summed anew whenever it is asked for


class RotatingSum:
    """The sum of a figure over all servers of one role. Each time it is asked for, `STEP` more servers are looked at;
    once round, the sum is that round's. During the first round it is reckoned from the servers looked at so far."""

    def __init__(self) -> None:
        self._remaining: Iterator[Server] = iter(())
        self._count = 0  # servers of the round under way
        self._sum = 0.0  # their sum
        self._mean: float | None = None  # of the last whole round

    def total(self, servers: ServerOrder, figure: Callable[[Server], float]) -> float:
        """The sum over these servers now."""
        if len(servers) <= STEP:
            return sum(map(figure, servers))
        for _ in range(STEP):
            server = next(self._remaining, None)
            if server is None:
                self._begin_round(servers)
                continue
            self._sum += figure(server)
            self._count += 1
        mean = self._mean if self._mean is not None else self._sum / max(1, self._count)
        return mean * len(servers)

    def _begin_round(self, servers: ServerOrder) -> None:
        """Close a round that is over and begin the next, over the servers that there are now."""
        if self._count:
            self._mean = self._sum / self._count
        self._remaining, self._count, self._sum = iter(list(servers)), 0, 0.0
