"""Cordons: cache servers that operators took out of rotation by hand.

The decision module sees a cordoned server as draining, whatever the journal says. When it is uncordoned, the module
sees it as newly started: operators restart servers meanwhile, so they come back cold and slow start must apply.

The decision module still decides what a draining or cold server gets. Only the list is rewritten here. No I/O.
"""

from __future__ import annotations

from dataclasses import replace

from threadhill.decision import interface as api

MAX_CORDONED = 4_096  # bound of the table of cordons; longer than any list of servers


class Cordons:
    """The server list as the journal reports it, and the cordons on top of it."""

    def __init__(self) -> None:
        self.entries: dict[int, api.Entry] = {}  # as the journal reports them
        self.cordoned: dict[int, str] = {}  # number -> name
        # Uncordoned servers: the start that the journal reports, and the start passed on instead. An entry is dropped
        # when the journal reports another start.
        self.restarted: dict[int, tuple[int, int]] = {}
        self._restarts_to_come: dict[int, int] = {}  # the same of servers that the journal does not report ready yet

    def filter_news(self, news: api.ListNews) -> api.ListNews:
        """Record the journal's list and return the news as the decision module should see it."""
        if news.kind is api.ListKind.FAILED:
            return news
        if news.kind is not api.ListKind.CHANGES:
            self.entries = {}
        for entry in news.entries:
            if entry.state is api.State.GONE:
                self.entries.pop(entry.server, None)
                self.restarted.pop(entry.server, None)
                self._restarts_to_come.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
                if entry.state is api.State.READY and entry.server in self._restarts_to_come:
                    self._set_restart(entry, self._restarts_to_come.pop(entry.server))
        if not any(entry.server in self.cordoned or entry.server in self.restarted for entry in news.entries):
            return news
        return replace(news, entries=tuple(self._visible(entry) for entry in news.entries))

    def _visible(self, entry: api.Entry) -> api.Entry:
        reported, replacement = self.restarted.get(entry.server, (-1, 0))
        if reported == entry.reported_start:
            entry = replace(entry, reported_start=replacement, local_start=replacement)
        elif reported >= 0:  # the journal now reports a start of its own
            del self.restarted[entry.server]
        if entry.server in self.cordoned and entry.state is api.State.READY:
            return replace(entry, state=api.State.DRAINING)
        return entry

    def visible_entries(self) -> list[api.Entry]:
        """The whole list as the decision module should see it now."""
        return [self._visible(entry) for entry in self.entries.values()]

    def known(self, number: int) -> bool:
        """Whether this server is listed or cordoned."""
        return number in self.entries or number in self.cordoned

    def cordon(self, number: int, name: str) -> api.ListNews | None:
        """Cordon a server; returns the news for the decision module, or None if nothing changes for it. A second call
        has no effect: one `uncordon` undoes both."""
        if number in self.cordoned or len(self.cordoned) >= MAX_CORDONED:
            return None
        self.cordoned[number] = name
        entry = self.entries.get(number)
        if entry is None or entry.state is not api.State.READY:
            return None
        return api.ListNews(api.ListKind.CHANGES, (replace(entry, state=api.State.DRAINING),))

    def uncordon(self, number: int, now: int) -> api.ListNews | None:
        """Uncordon a server; the news reports it as started now, so that the decision module treats it as cold."""
        if self.cordoned.pop(number, None) is None:
            return None
        return self._restart(number, now)

    def uncordoned_elsewhere(self, number: int, at: int) -> api.ListNews | None:
        """Another process uncordoned this server at a local time: treat it as started then. None if that is known."""
        if number in self.cordoned or number in self.restarted:
            return None
        return self._restart(number, at)

    def _restart(self, number: int, at: int) -> api.ListNews | None:
        """Treat a server as started at this time: now, or once the journal reports it ready."""
        entry = self.entries.get(number)
        if entry is None or entry.state is not api.State.READY:
            if len(self._restarts_to_come) < MAX_CORDONED:
                self._restarts_to_come[number] = at
            return None
        self._set_restart(entry, at)
        return api.ListNews(api.ListKind.CHANGES, (self._visible(entry),))

    def _set_restart(self, entry: api.Entry, at: int) -> None:
        if entry.start_time < at:  # else it has been started since
            self.restarted[entry.server] = entry.reported_start, at
