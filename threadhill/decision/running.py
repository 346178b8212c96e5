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
        self._rest: Iterator[Server] = iter(())
        self._seen = 0  # servers of the round under way
        self._partial = 0.0  # their sum
        self._mean: float | None = None  # of the last whole round

    def of(self, servers: ServerOrder, figure: Callable[[Server], float]) -> float:
        """The sum over these servers now."""
        if len(servers) <= STEP:
            return sum(map(figure, servers))
        for _ in range(STEP):
            server = next(self._rest, None)
            if server is None:
                self._begin(servers)
                continue
            self._partial += figure(server)
            self._seen += 1
        mean = self._mean if self._mean is not None else self._partial / max(1, self._seen)
        return mean * len(servers)

    def _begin(self, servers: ServerOrder) -> None:
        """Close a round that is over and begin the next, over the servers that there are now."""
        if self._seen:
            self._mean = self._partial / self._seen
        self._rest, self._seen, self._partial = iter(list(servers)), 0, 0.0
