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
        self.most_caches = self.most_parents = 1  # the most that were ready at once
        self.ejected: dict[int, Server] = {}  # those put out for a while, or lately
        self.awaited: dict[int, Server] = {}  # those with so many attempts out unheard that they may be silent

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
                self._place(self.servers[entry.server])
            elif known.entry != entry:
                self._displace(known)
                known.entry = entry
                self._place(known)
        self.most_caches = max(self.most_caches, len(self.caches))
        self.most_parents = max(self.most_parents, len(self.parents))

    def _remove(self, number: int) -> None:
        server = self.servers.pop(number, None)
        if server is not None:
            self._displace(server)
            self.ejected.pop(number, None)
            self.awaited.pop(number, None)

    def _place(self, server: Server) -> None:
        """Let a server that is ready be found by its role."""
        entry = server.entry
        if entry.state is not api.State.READY:
            return
        if entry.kind == self.parent_kind:
            self.parents.put(server)
        elif entry.kind == self.origin_kind:
            self.origin = self.origin or server
        elif entry.zone == self.zone:
            self.caches.put(server)

    def _displace(self, server: Server) -> None:
        number = server.entry.server
        if server in self.parents:
            self.parents.drop(number)
        if server in self.caches:
            self.caches.drop(number)
        if server is self.origin:
            self.origin = None
            others = (s for s in self.servers.values() if s is not server and s.entry.state is api.State.READY)
            self.origin = next((s for s in others if s.entry.kind == self.origin_kind), None)

    def peers(self, server: Server) -> ServerOrder:
        """The ready servers that do what this one does for this location."""
        return self.parents if server.entry.kind == self.parent_kind else self.caches

    def out(self, peers: ServerOrder, now: int) -> list[Server]:
        """Of these, the ones that are ejected now; those that are back are forgotten."""
        self.ejected = {number: s for number, s in self.ejected.items() if s.ejected_until > now}
        return [s for s in self.ejected.values() if s in peers]
