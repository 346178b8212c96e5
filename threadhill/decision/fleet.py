"""The servers of the list, indexed by role."""

from __future__ import annotations

from threadhill.decision import interface as api
from threadhill.decision.order import ServerOrder
from threadhill.decision.state import Server


class Fleet:
    """The servers of the list by their role for this location. The cost of a change depends on that server only."""

    def __init__(self, zone: str, parent_kind: str | None, origin_kind: str | None) -> None:
        self.zone, self.parent_kind, self.origin_kind = zone, parent_kind, origin_kind
        self.servers: dict[int, Server] = {}
        self.caches, self.parents = ServerOrder(), ServerOrder()
        self.origin: Server | None = None
        self.peak_caches = self.peak_parents = 1  # most that were ready at the same time
        self.ejected: dict[int, Server] = {}  # those ejected now or recently
        self.maybe_silent: dict[int, Server] = {}  # those with many unanswered attempts

    def update(self, news: api.ListNews, inflight_limit: float) -> None:
        """Apply list news. A restarted server counts as new; a new one starts with this in-flight limit."""
        if news.kind is not api.ListKind.CHANGES:
            named = {entry.server for entry in news.entries}
            for number in [number for number in self.servers if number not in named]:
                self._remove(number)
        for entry in news.entries:
            known = self.servers.get(entry.server)
            if entry.state is api.State.GONE:
                self._remove(entry.server)
            elif known is None or known.entry.reported_start != entry.reported_start:
                self._remove(entry.server)
                self.servers[entry.server] = Server(entry, inflight_limit)
                self._index(self.servers[entry.server])
            elif known.entry != entry:
                self._unindex(known)
                known.entry = entry
                self._index(known)
        self.peak_caches = max(self.peak_caches, len(self.caches))
        self.peak_parents = max(self.peak_parents, len(self.parents))

    def _remove(self, number: int) -> None:
        server = self.servers.pop(number, None)
        if server is not None:
            self._unindex(server)
            self.ejected.pop(number, None)
            self.maybe_silent.pop(number, None)

    def _index(self, server: Server) -> None:
        """Add a ready server to the index of its role."""
        entry = server.entry
        if entry.state is not api.State.READY:
            return
        if entry.kind == self.parent_kind:
            self.parents.add(server)
        elif entry.kind == self.origin_kind:
            self.origin = self.origin or server
        elif entry.zone == self.zone:
            self.caches.add(server)

    def _unindex(self, server: Server) -> None:
        number = server.entry.server
        if server in self.parents:
            self.parents.remove(number)
        if server in self.caches:
            self.caches.remove(number)
        if server is self.origin:
            self.origin = None
            others = (s for s in self.servers.values() if s is not server and s.entry.state is api.State.READY)
            self.origin = next((s for s in others if s.entry.kind == self.origin_kind), None)

    def peers(self, server: Server) -> ServerOrder:
        """The ready servers with the same role for this location."""
        return self.parents if server.entry.kind == self.parent_kind else self.caches

    def ejected_among(self, peers: ServerOrder, now: int) -> list[Server]:
        """Those of `peers` that are ejected now; drops the ones whose ejection has ended."""
        self.ejected = {number: s for number, s in self.ejected.items() if s.ejected_until > now}
        return [s for s in self.ejected.values() if s in peers]
