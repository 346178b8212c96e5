"""The order in which an object prefers servers: its own, stable, and found without looking at all of them.

Each object has an order of its own over the servers of one role. A server that leaves drops out and later ones move
up; one that joins takes a place by chance; all others keep theirs. Up to `SMALL` servers this is rendezvous hashing:
the order is sorted whole. With more, an object draws cells of a fixed table, one after another, and its order is that
in which it hits occupied cells. A server's cell follows from its own number alone, so each change of one server touches
that server's cell only, and the draws that a candidate takes do not grow with the number of servers. Every server has
the same chance at each draw, so the first places are spread evenly, as with rendezvous hashing.

Orders are kept for objects asked for lately, whole up to `SMALL` servers and else for their first `KEPT_PLACES` places:
memory for an object does not grow with the number of servers.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from threadhill.decision.hashing import hash_name, mix
from threadhill.decision.state import Server, put_bounded

MAX_SORTED = (
    256  # servers up to which the whole order is sorted; far above the caches of a usual fleet, so that no release
)
# crosses it back and forth: crossing changes all orders once
CELL_BITS = 12  # the table has 2 ** CELL_BITS cells: over 3,200 servers, the most that a fleet has
CELL_DEPTH = 8  # servers of one cell that a draw can tell apart; a fuller cell is rare, and what is over comes last
CACHED_PLACES = 32  # places of an order that are kept: more than an object has copies, or a request tries
CACHED_ORDERS = 4_000  # orders kept, the least recently used goes first: of SMALL references at most, 8 MB in all
DRAWS_PER_PLACE = 64  # draws for each place wanted, after which the rest of the servers follow in the table's order


class ServerOrder:
    """The servers of one role, and each object's order of them."""

    def __init__(self) -> None:
        self.servers: dict[int, Server] = {}
        self._hashes: dict[int, int] = {}  # server -> its hash
        self._cells: dict[int, list[tuple[int, int]]] = {}  # cell -> (hash, server), sorted
        self._name_hashes: dict[str, int] = {}  # hashes of names, a bounded memo
        self._cached: dict[str, list[Server]] = {}  # object -> the first places of its order, a bounded memo
        self.inspected = 0  # cells drawn and servers sorted so far: the work of all orders, for tests and figures

    @property
    def fully_sorted(self) -> bool:
        """Whether orders are sorted whole."""
        return len(self.servers) <= MAX_SORTED

    def __len__(self) -> int:
        return len(self.servers)

    def __iter__(self) -> Iterator[Server]:
        return iter(self.servers.values())

    def __contains__(self, server: Server) -> bool:
        return self.servers.get(server.entry.server) is server

    # --- changes

    def add(self, server: Server) -> None:
        """Add a server, or replace what stands for the same one: orders hold the new one from now on."""
        number = server.entry.server
        if number not in self.servers:
            mark = self._hashes[number] = mix(number)
            cell = self._cells.setdefault(self._cell(mark), [])
            cell.append((mark, number))
            cell.sort()
        if self.servers.get(number) is not server:
            self._cached = {}
        self.servers[number] = server

    def remove(self, number: int) -> None:
        """Remove a server; one that is not there is no matter."""
        if self.servers.pop(number, None) is None:
            return
        mark = self._hashes.pop(number)
        cell = self._cells[self._cell(mark)]
        cell.remove((mark, number))
        if not cell:
            del self._cells[self._cell(mark)]
        self._cached = {}

    @staticmethod
    def _cell(mark: int) -> int:
        return mark >> (64 - CELL_BITS)

    # --- orders

    def ordered_for(self, name: str) -> Iterator[Server]:
        """The servers in this name's own order, found as they are asked for."""
        kept = self._cached.pop(name, None)
        if kept is None:
            kept = self._sort_all(name) if self.fully_sorted else []
        put_bounded(self._cached, name, kept, CACHED_ORDERS)
        yield from kept
        if len(kept) == len(self.servers):
            return
        first_new = len(kept)
        for place, server in enumerate(self._draw(name)):
            if place < first_new:
                continue
            if len(kept) == place < CACHED_PLACES:
                kept.append(server)
            yield server

    def _hash_of(self, name: str) -> int:
        number = self._name_hashes.get(name)
        if number is None:
            number = hash_name(name)
            put_bounded(self._name_hashes, name, number, CACHED_ORDERS)
        return number

    def sort_for(self, name: str, servers: Iterable[Server]) -> list[Server]:
        """Some of these servers in this name's own order: rendezvous hashing over just them."""
        number, marks = self._hash_of(name), self._hashes
        return sorted(servers, key=lambda s: (mix(number ^ marks[s.entry.server]), s.entry.server))

    def _sort_all(self, name: str) -> list[Server]:
        """The whole order."""
        self.inspected += len(self.servers)
        return self.sort_for(name, self.servers.values())

    def _draw(self, name: str) -> Iterator[Server]:
        """Draw cells until every server has come, or the draws are spent; the rest follows in the table's order."""
        draw, seen = self._hash_of(name), set()
        for _ in range(DRAWS_PER_PLACE * CACHED_PLACES):
            draw = mix(draw)
            self.inspected += 1
            cell = self._cells.get(self._cell(draw))
            depth = draw & (CELL_DEPTH - 1)
            if cell is None or depth >= len(cell):
                continue
            number = cell[depth][1]
            if number not in seen:
                seen.add(number)
                yield self.servers[number]
                if len(seen) == len(self.servers):
                    return
        for number, server in list(self.servers.items()):
            if number not in seen:
                yield server
