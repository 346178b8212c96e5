"""The journal service: numbered events over one connection, each applied once, however often it breaks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import orjson

from threadhill import interface as api
from threadhill.config import address
from threadhill.core.engine import Engine
from threadhill.hashing import number_of
from threadhill.net.lines import CacheServers
from threadhill.net.stream import Stream
from threadhill.settings import Malformed, mapping, number, sequence, text, whole

LINE = 1 << 20  # bytes of a line at most: a list of thousands of servers
SILENCE = 1_700_000  # microseconds without a line, which come every second, after which it is dialled anew
CONNECT = 0.5  # seconds that a connection may take to come up
AGAIN = 50_000  # microseconds between tries while none comes up
STATES = {"SERVING": api.State.READY, "DRAINING": api.State.DRAINING, "DELETED": api.State.GONE}


def server_number(name: str) -> int:
    """An id as the module's number, the same at every proxy: `s-` and hex digits are the number itself."""
    if name.startswith("s-") and len(name) == 10:
        try:
            return int(name[2:], 16)
        except ValueError:
            pass
    return number_of(name) & 0xFFFFFFFF


def read_member(raw: Any) -> tuple[api.Entry, str, tuple[str, int] | None]:
    """One member of a list, with its id and, unless it is gone, its address."""
    raw = mapping(raw, "a member")
    name = text(raw.get("id"), "id")
    state = STATES.get(text(raw.get("phase"), "phase"), api.State.GONE)
    where = address(raw["host_port"], "host_port") if raw.get("host_port") else None
    if where is None and state is api.State.READY:
        raise Malformed("a serving member has no address")
    entry = api.Entry(server_number(name), state, raw.get("locality") or "", raw.get("flavor") or "",
                      whole(raw.get("cell"), "cell"), number(raw.get("size"), "size"),
                      whole(raw.get("up_since_ms"), "up_since_ms") * 1_000)
    return entry, name, where


class Journal:
    """What the journal has told so far, and who is told of it."""

    def __init__(self, engine: Engine, caches: CacheServers, log: Callable[[str], None]) -> None:
        self.engine, self.caches, self.log = engine, caches, log
        self.pos = 0
        self.heard = 0
        self.address: tuple[str, int] | None = None
        self.feed: Feed | None = None
        self._listed: set[int] = set()
        self._task: asyncio.Task[None] | None = None

    def apply(self, event: Any) -> None:
        """One event; those up to the last number were applied before."""
        event = mapping(event, "an event")
        pos = whole(event.get("pos"), "pos")
        if pos <= self.pos:
            return
        if event.get("hosts") is not None:
            self._hosts(mapping(event["hosts"], "hosts"), first=not self._listed)
        if event.get("expire") is not None:
            self._expire(mapping(event["expire"], "expire"))
        self.pos = pos
        self.engine.stats.count("journal", "events")

    def _hosts(self, raw: dict[str, Any], first: bool) -> None:
        members = [read_member(member) for member in sequence(raw.get("members"), "members")]
        entries = [entry for entry, _, _ in members]
        whole_list = bool(raw.get("complete")) or first
        for entry, name, where in members:
            if entry.state is api.State.READY and where is not None:
                self.caches.known(entry.server, name, *where)
        named = {entry.server for entry in entries}
        if whole_list:  # who is not named any more has gone
            entries += [api.Entry(n, api.State.GONE) for n in sorted(self._listed - named)]
            self._listed = set()
        self._listed |= {e.server for e in entries if e.state is not api.State.GONE}
        self._listed -= {e.server for e in entries if e.state is api.State.GONE}
        kind = api.ListKind.FULL if whole_list else api.ListKind.CHANGES
        self.engine.listed(api.ListNews(kind, tuple(entries), whole(raw.get("revision"), "revision")))

    def _expire(self, raw: dict[str, Any]) -> None:
        age = self.engine.clock.age(whole(raw.get("stamp"), "stamp") * 1_000)
        name = raw.get("name")
        group = None if raw.get("set") is None else whole(raw["set"], "set")
        self.engine.purged(api.Purge(name if isinstance(name, str) else None, group, age))

    # --- the connection

    def follow(self, where: tuple[str, int]) -> None:
        self.address = where
        self._connect()
        self._watch()

    def _connect(self) -> None:
        self.heard = self.engine.clock.now()
        self._task = asyncio.get_running_loop().create_task(self._dial())

    async def _dial(self) -> None:
        host, port = self.address
        try:
            async with asyncio.timeout(CONNECT):
                await asyncio.get_running_loop().create_connection(lambda: Feed(self), host, port)
        except OSError as error:  # a time-out is one too
            self.log(f"journal: no connection: {error!r}")
            self.engine.stats.count("journal", "not reached")
            self.engine.deadlines.add(self.engine.clock.now() + AGAIN, self._connect)

    def _watch(self) -> None:
        """A connection that is open but silent tells nothing, not even that it is lost."""
        now = self.engine.clock.now()
        if self.feed is not None and now - self.heard > SILENCE:
            self.log("journal: silent, dialled anew")
            self.engine.stats.count("journal", "silent")
            self.feed.abort()
        self.engine.deadlines.add(now + 100_000, self._watch)

    def lost(self, feed: Feed) -> None:
        if self.feed is feed:
            self.feed = None
            self.log("journal: connection lost")
            self.engine.stats.count("journal", "lost")
            # At once, but not in a tight loop with a service that takes connections and ends them.
            wait = 0 if self.engine.clock.now() - feed.since > AGAIN else AGAIN
            self.engine.deadlines.add(self.engine.clock.now() + wait, self._connect)


class Feed(Stream):
    """One connection to the journal service."""

    def __init__(self, journal: Journal) -> None:
        super().__init__(LINE, 4 << 10)
        self.journal = journal
        self.since = 0

    def opened(self) -> None:
        self.since = self.journal.engine.clock.now()
        self.journal.feed = self
        self.journal.heard = self.journal.engine.clock.now()
        self.write(b"tail %d\n" % self.journal.pos)

    def ended(self) -> None:
        self.journal.lost(self)

    def parse(self) -> None:
        data = self.inbound.peek(len(self.inbound))
        done = data.rfind(b"\n") + 1
        self.inbound.skip(done)
        for line in data[:done].splitlines():
            self.journal.heard = self.journal.engine.clock.now()
            try:
                value = orjson.loads(line)
                if isinstance(value, int):
                    if value > self.journal.pos:  # events were left out: they are asked for again
                        raise Malformed(f"{value} follows {self.journal.pos}")
                    continue
                self.journal.apply(value)
            except (ValueError, Malformed) as error:
                self.journal.log(f"journal: {error}")
                self.journal.engine.stats.count("malformed", "journal")
                self.abort()
                return
