"""The order in which an object prefers servers: stable, different for each object, found without visiting all servers.

Each object has its own order over the servers of one role. A server that leaves drops out and later ones move up; one
that joins takes a pseudo-random place; all others keep theirs. Up to `MAX_SORTED` servers this is rendezvous hashing
with the whole order sorted. With more, an object draws cells of a fixed table, one after another, and its order is that
in which it hits occupied cells. A server's cell depends on its own number alone, so a change of one server touches only
that server's cell, and the draws for a candidate do not grow with the number of servers. Every server has the same
chance at each draw, so the first places are spread evenly, as with rendezvous hashing.

Orders of recently requested objects are cached, whole up to `MAX_SORTED` servers and else their first `CACHED_PLACES`
places: memory per object does not grow with the number of servers.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from threadhill.decision.hashing import hash_name, mix
from threadhill.decision.state import Server, put_bounded

# Servers up to which the whole order is sorted. Crossing it changes all orders once, so it is far above the caches of a
# usual fleet, which does not cross it back and forth during a release.
MAX_SORTED = 256
CELL_BITS = 12  # the table has 2 ** CELL_BITS cells: more than the 3,200 servers of the largest fleet
CELL_DEPTH = 8  # servers of one cell that a draw can select; fuller cells are rare, and the rest come last
CACHED_PLACES = 32  # cached places of an order: more than an object has copies, or a request tries
# Cached orders; the least recently used is evicted. Each has at most MAX_SORTED references, 8 MB in all.
CACHED_ORDERS = 4_000
DRAWS_PER_PLACE = 64  # draws per place wanted, after which the remaining servers follow in the table's order


class ServerOrder:
    """The servers of one role, and each object's order of them."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self._hashes: dict[int, int] = {}  # server -> its hash
        self._cells: dict[int, list[tuple[int, int]]] = {}  # cell -> (hash, server), sorted
        self._name_hashes: dict[str, int] = {}  # hashes of names, bounded
        self._cached: dict[str, list[Server]] = {}  # object -> the first places of its order, bounded
        self.inspected = 0  # cells drawn and servers sorted so far, as a measure of work

    @property
    def fully_sorted(self) -> bool:
        """Whether whole orders are sorted."""
        return len(self.servers) <= MAX_SORTED

    def __len__(self) -> int:
        return len(self.servers)

    def __iter__(self) -> Iterator[Server]:
        return iter(self.servers.values())

    def __contains__(self, server: Server) -> bool:
        return self.servers.get(server.entry.server) is server

    # --- changes

    def add(self, server: Server) -> None:
        """Add a server, or replace the one with the same number, also in all orders."""
        number = server.entry.server
        if number not in self.servers:
            digest = self._hashes[number] = mix(number)
            cell = self._cells.setdefault(self._cell(digest), [])
            cell.append((digest, number))
            cell.sort()
        if self.servers.get(number) is not server:
            self._cached = {}
        self.servers[number] = server

    def remove(self, number: int) -> None:
        """Remove a server, if it is present."""
        if self.servers.pop(number, None) is None:
            return
        digest = self._hashes.pop(number)
        cell = self._cells[self._cell(digest)]
        cell.remove((digest, number))
        if not cell:
            del self._cells[self._cell(digest)]
        self._cached = {}

    @staticmethod
    def _cell(digest: int) -> int:
        return digest >> (64 - CELL_BITS)

    # --- orders

    def ordered_for(self, name: str) -> Iterator[Server]:
        """The servers in the order of this name, computed lazily."""
        cached = self._cached.pop(name, None)
        if cached is None:
            cached = self._sort_all(name) if self.fully_sorted else []
        put_bounded(self._cached, name, cached, CACHED_ORDERS)
        yield from cached
        if len(cached) == len(self.servers):
            return
        first_new = len(cached)
        for place, server in enumerate(self._draw(name)):
            if place < first_new:
                continue
            if len(cached) == place < CACHED_PLACES:
                cached.append(server)
            yield server

    def _hash_of(self, name: str) -> int:
        number = self._name_hashes.get(name)
        if number is None:
            number = hash_name(name)
            put_bounded(self._name_hashes, name, number, CACHED_ORDERS)
        return number

    def sort_for(self, name: str, servers: Iterable[Server]) -> list[Server]:
        """These servers in the order of this name, by rendezvous hashing."""
        number, hashes = self._hash_of(name), self._hashes
        return sorted(servers, key=lambda s: (mix(number ^ hashes[s.entry.server]), s.entry.server))

    def _sort_all(self, name: str) -> list[Server]:
        """The whole order, sorted."""
        self.inspected += len(self.servers)
        return self.sort_for(name, self.servers.values())

    def _draw(self, name: str) -> Iterator[Server]:
        """Draw cells until every server is found or the draws are used up; the rest follow in the table's order."""
        draw, found = self._hash_of(name), set()
        for _ in range(DRAWS_PER_PLACE * CACHED_PLACES):
            draw = mix(draw)
            self.inspected += 1
            cell = self._cells.get(self._cell(draw))
            depth = draw & (CELL_DEPTH - 1)
            if cell is None or depth >= len(cell):
                continue
            number = cell[depth][1]
            if number not in found:
                found.add(number)
                yield self.servers[number]
                if len(found) == len(self.servers):
                    return
        for number, server in list(self.servers.items()):
            if number not in found:
                yield server
