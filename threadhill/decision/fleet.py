"""The servers of the list, and the look-ups that a request needs; kept by the events that change them."""

from __future__ import annotations

from threadhill.decision import interface as api
from threadhill.decision.order import ServerOrder
from threadhill.decision.state import Server


class Fleet:
    """The servers of the list, by what they are to this location. A change of one server costs that one."""

    def __init__(self, zone: str, parent_kind: str | None, origin_kind: str | None) -> None:
        self.zone, self.parent_kind, self.origin_kind = zone, parent_kind, origin_kind
        self.servers: dict[int, Server] = {}
        self.caches, self.parents = ServerOrder(), ServerOrder()
        self.origin: Server | None = None
        self.peak_caches = self.peak_parents = 1  # the most that were ready at once
        self.ejected: dict[int, Server] = {}  # those put out for a while, or lately
        self.maybe_silent: dict[int, Server] = {}  # those with so many attempts out unheard that they may be silent

    def update(self, news: api.ListNews, room: float) -> None:
        """Take list news. One that restarted is a new server; a new one starts with this room."""
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
                self.servers[entry.server] = Server(entry, room)
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
        """Let a server that is ready be found by its role."""
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
        """The ready servers that do what this one does for this location."""
        return self.parents if server.entry.kind == self.parent_kind else self.caches

    def ejected_among(self, peers: ServerOrder, now: int) -> list[Server]:
        """Of these, the ones that are ejected now; those that are back are forgotten."""
        self.ejected = {number: s for number, s in self.ejected.items() if s.ejected_until > now}
        return [s for s in self.ejected.values() if s in peers]
