"""Cache servers that operators took out by hand. The module is told of them as draining, whatever the journal says,
and is told of them again, as newly started, when they are put back: operators restart them meanwhile, so they come
back cold and the module's cold rule must hold for them.

Why here and not in the module: the module decides what a draining or cold server gets, and that stays its decision;
what is rewritten here is only what the list says, which is the operators' to say. Nothing here does I/O.
"""

from __future__ import annotations

from dataclasses import replace

from threadhill.decision import interface as api

MAX_CORDONED = 4_096  # names that may be out by hand at once: more than any list holds, so that the table stays bounded


class Cordons:
    """The true list as the journal told it, and which of its servers are out by hand."""

    def __init__(self) -> None:
        self.entries: dict[int, api.Entry] = {}  # the journal's own word on each server
        self.cordoned: dict[int, str] = {}  # number -> name, of those out by hand
        # Of those put back: the journal's start, the one told instead and the name, until the journal tells another.
        self.restarted: dict[int, tuple[int, int, str]] = {}

    def filter_news(self, news: api.ListNews) -> api.ListNews:
        """List news as the module is to see it: who is out by hand drains. The true list is kept."""
        if news.kind is api.ListKind.FAILED:
            return news
        if news.kind is not api.ListKind.CHANGES:
            self.entries = {}
        for entry in news.entries:
            if entry.state is api.State.GONE:
                self.entries.pop(entry.server, None)
                self.restarted.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        if not any(entry.server in self.cordoned or entry.server in self.restarted for entry in news.entries):
            return news
        return replace(news, entries=tuple(self._visible(entry) for entry in news.entries))

    def _visible(self, entry: api.Entry) -> api.Entry:
        told, instead, _ = self.restarted.get(entry.server, (-1, 0, ""))
        if told == entry.reported_start:
            entry = replace(entry, reported_start=instead, local_start=instead)
        elif told >= 0:  # the journal knows of a start of its own now
            del self.restarted[entry.server]
        if entry.server in self.cordoned and entry.state is api.State.READY:
            return replace(entry, state=api.State.DRAINING)
        return entry

    def visible_entries(self) -> list[api.Entry]:
        """The whole list as the module is to see it now."""
        return [self._visible(entry) for entry in self.entries.values()]

    def known(self, number: int) -> bool:
        """Whether anybody has this server: listed now, or out by hand."""
        return number in self.entries or number in self.cordoned

    def cordon(self, number: int, name: str) -> api.ListNews | None:
        """Take one out; the news for the module, or None where nothing changes for it. A second call changes
        nothing: one call back undoes both."""
        if number in self.cordoned or len(self.cordoned) >= MAX_CORDONED:
            return None
        self.cordoned[number] = name
        entry = self.entries.get(number)
        if entry is None or entry.state is not api.State.READY:
            return None
        return api.ListNews(api.ListKind.CHANGES, (replace(entry, state=api.State.DRAINING),))

    def uncordon(self, number: int, now: int) -> api.ListNews | None:
        """Put one back: it is told as started now, so that the module takes it for cold."""
        name = self.cordoned.pop(number, None)
        if name is None:
            return None
        entry = self.entries.get(number)
        if entry is None or entry.state is not api.State.READY:
            return None
        self.restarted[number] = entry.reported_start, now, name
        return api.ListNews(api.ListKind.CHANGES, (replace(entry, reported_start=now, local_start=now),))

    def uncordoned_elsewhere(self, number: int, name: str, at: int) -> api.ListNews | None:
        """Another process put this one back at a local time: it is as cold as it was then. None where it is known."""
        entry = self.entries.get(number)
        if (
            entry is None
            or entry.state is not api.State.READY
            or number in self.cordoned
            or number in self.restarted
            or entry.start_time >= at
        ):
            return None
        self.restarted[number] = entry.reported_start, at, name
        return api.ListNews(api.ListKind.CHANGES, (replace(entry, reported_start=at, local_start=at),))

    def saved_state(self, now: int, keep: int) -> dict[str, object]:
        """What another process on this machine needs to go on from here: who is out, and who was put back less than
        `keep` ago and so is still cold. Those put back earlier are forgotten: their start is past any ramp."""
        self.restarted = {n: back for n, back in self.restarted.items() if now - back[1] < keep}
        return {"out": sorted(self.cordoned.values()), "back": {name: at for _, at, name in self.restarted.values()}}
