"""Bounds the connections to all servers together, however many servers there are.

Each connection and each pending dial takes one place. When all places are taken, an idle connection is closed for a
pool that has none, the least recently used one first. Where every connection is busy, pools wait in order until one
becomes idle or ends.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from threadhill.net.upstream import Pool, UpstreamConnection


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """How many connections to servers are held, by what they are used for."""

    idle: int  # open, without an attempt
    other: int  # with attempts, being opened or being closed

    def __str__(self) -> str:
        return f"{self.idle} idle connections to servers, {self.other} others to servers"


class ConnectionBudget:
    """Counts connections and pending dials of all pools, and knows which connections are idle."""

    def __init__(self, limit: int) -> None:
        self.limit = limit  # connections and pending dials, including those of removed servers
        self.count = 0
        self._idle: dict[UpstreamConnection, None] = {}  # least recently used first
        self._waiting: dict[Pool, None] = {}  # pools that need a place, in order of arrival
        self._granting = False

    def set_limit(self, limit: int) -> None:
        """Apply a new limit: idle connections beyond it are closed."""
        self.limit = limit
        self.release(max(0, self.count - limit))
        self._grant()

    # --- called by pools and connections

    def dial_started(self) -> None:
        self.count += 1

    def place_freed(self) -> None:
        """A connection has ended, or a dial has failed."""
        self.count -= 1
        self._grant()

    def connection_idle(self, connection: UpstreamConnection) -> None:
        """A connection has no attempt now: it was used last."""
        self._idle[connection] = None
        self._grant()

    def connection_not_idle(self, connection: UpstreamConnection) -> None:
        """A connection got an attempt, or is being closed."""
        self._idle.pop(connection, None)

    # --- places

    def has_free_place(self) -> bool:
        return self.count < self.limit

    def available(self, pool: Pool) -> bool:
        """Whether this pool may dial now, if `make_room` is called first."""
        return self.has_free_place() or next(self._closable(pool), None) is not None

    def make_room(self, pool: Pool) -> None:
        """Close the idle connection that was used least recently, if there is no free place."""
        if not self.has_free_place():
            self._close(next(self._closable(pool), None))

    def wait(self, pool: Pool) -> None:
        """Flush this pool once there is a place for it."""
        self._waiting[pool] = None

    def release(self, count: int) -> int:
        """Close up to `count` idle connections, as the process is short of descriptors; returns how many."""
        connections = list(islice(self._closable(), count))
        for connection in connections:
            self._close(connection)
        return len(connections)

    def close_idle_since(self, before: int) -> None:
        """Close the connections that became idle before this time, in local microseconds."""
        while (oldest := next(iter(self._idle), None)) is not None and oldest.idle_since < before:
            oldest.close()

    def use(self) -> ConnectionUse:
        return ConnectionUse(len(self._idle), self.count - len(self._idle))

    def _closable(self, pool: Pool | None = None) -> Iterator[UpstreamConnection]:
        """Idle connections, least recently used first: not those of other pools that are about to use them."""
        return (connection for connection in self._idle if connection.pool is pool or not connection.pool.waiting)

    def _close(self, connection: UpstreamConnection | None) -> None:
        if connection is None:
            return
        connection.pool.caches.engine.stats.count("connection", "closed for another")
        if connection.backlog():  # only the cancellation of an attempt, which the end of the connection says as well
            connection.abort()
        else:
            connection.close()

    def _grant(self) -> None:
        """Flush waiting pools in order while there are places. A pool that gets none then waits again."""
        if self._granting:
            return
        self._granting = True
        try:
            while self._waiting and self.available(pool := next(iter(self._waiting))):
                del self._waiting[pool]
                pool.flush()
        finally:
            self._granting = False
