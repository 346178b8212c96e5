"""The journal service: numbered events over one connection, each applied once, however often it breaks."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING, Any

import orjson

from threadhill.core.engine import Engine
from threadhill.decision import interface as api
from threadhill.decision.hashing import number_of
from threadhill.net.event_applier import EventApplier
from threadhill.net.journal_events import Event, read_event_steps, read_heartbeat, server_number
from threadhill.net.news_monitor import Missing, NewsMonitor
from threadhill.net.upstream import CacheServers
from threadhill.net.watch_connection import WatchConnection
from threadhill.settings import Malformed, required_integer

if TYPE_CHECKING:
    from threadhill.knowledge.proxy import Knowledge
    from threadhill.ownership.feeds import Feeds
    from threadhill.recovery.proxy import Recovery

LINE = 1 << 20  # bytes of a line at most, unless the machine has room for more: a list of thousands of servers
SILENCE = 1_700_000  # microseconds without a line, which come every second, after which it is dialled anew
CONNECT = 0.5  # seconds that a connection may take to come up
AGAIN = 50_000  # microseconds between tries while none comes up, doubled for each that tells nothing new
AGAIN_MOST = 400_000  # at most: what was missed counts as told 2 s after a break
REPORT = 1_000_000  # microseconds between reports, where nothing new was applied
REPORTED = 500  # servers that one report names at most
HOLDS = 100  # servers, and tenants, of one line of what a proxy says that it holds
LATER_MOST = 5_000_000  # microseconds that a service may tell a proxy to stay away


class Journal:
    """What the journal has told so far, and who is told of it."""

    def __init__(
        self,
        engine: Engine,
        caches: CacheServers,
        log: Callable[[str], None],
        name: str = "",
        report: str | None = None,
        line: int = LINE,
    ) -> None:
        self.knowledge: Knowledge | None = None  # where the operator's file turns it on
        self.engine, self.caches, self.log = engine, caches, log
        self.line = line
        self.name, self.report = name, report  # None: the service is told nothing, as the platform has it
        self.events = EventApplier(engine, caches, log)
        self.heard = 0
        self.news = NewsMonitor(engine.clock.now())
        self._missing = Missing()  # what the module was told that may have been missed
        self.address: tuple[str, int] | None = None
        self.feed: WatchConnection | None = None
        self.dialling: WatchConnection | None = None  # the one connection that may come up
        self._gap = -1  # the last number before a gap that was asked for again
        self._wait = AGAIN
        self._task: asyncio.Task[None] | None = None
        self._redial: tuple[int, int] | None = None
        self._watched = False
        self.feeds: Feeds | None = None  # where several services tell the same
        self._later = 0  # microseconds that the service told this one to stay away

    @property
    def pos(self) -> int:
        """The number of the last event applied."""
        return self.events.pos

    @pos.setter
    def pos(self, number: int) -> None:
        self.events.pos = number

    @property
    def recovery(self) -> Recovery | None:
        """Recovery, where the operator's file turns it on."""
        return self.events.recovery

    @recovery.setter
    def recovery(self, recovery: Recovery) -> None:
        self.events.recovery = recovery

    def catch_up(self, pos: int, events: list[Event]) -> None:
        """What a configuration knows, up to the number `pos`."""
        self.events.catch_up(pos, events)

    # --- the connection

    def follow(self, where: tuple[str, int] | None, others: Sequence[tuple[str, int]] = ()) -> None:
        """Follow the service at this address, from the last event on; None: none any more. One that is followed
        elsewhere is left at once, with the dial that may be under way there: it has nothing more to tell. Where there
        are several that tell the same, another is taken whenever the one here is silent, cut off or not reached."""
        if others and where is not None:
            if self.feeds is not None and self.feeds.same_addresses(list(others)):
                return
            from threadhill.ownership.feeds import Feeds

            self.feeds = Feeds(list(others), number_of(self.name))
            where = self.feeds.current()
        elif where == self.address and self.feeds is None:
            return
        else:
            self.feeds = None
        self.address = where
        if self._task is not None:
            self._task.cancel()
        self.engine.deadlines.cancel(self._redial)
        feed, self.feed, self.dialling, self._wait = self.feed, None, None, AGAIN
        if feed is not None:
            feed.abort()
        if where is not None and self.recovery is not None and not self._watched:
            self._again(self.recovery.first_dial(self.engine.router.set.routers))
        elif where is not None:
            self._connect()
        if not self._watched:
            self._watched = True
            self._watch()

    def _connect(self) -> None:
        self.heard = self.engine.clock.now()
        self._task = asyncio.get_running_loop().create_task(self._dial(WatchConnection(self), *self.address))

    async def _dial(self, feed: WatchConnection, host: str, port: int) -> None:
        self.dialling = feed
        try:
            async with asyncio.timeout(CONNECT):
                await asyncio.get_running_loop().create_connection(lambda: feed, host, port)
        except OSError as error:  # a time-out is one too
            if self.dialling is not feed and self.feed is not feed:
                return  # the service was left meanwhile
            self.log(f"journal: no connection: {error!r}")
            self.engine.stats.count("journal", "not reached")
            self.dialling = self.feed = None
            self._elsewhere()
            self._again(self._backed_off())

    def _elsewhere(self) -> None:
        """Another of the services that tell the same, where there is one. A round of all is no reason to wait less."""
        if self.feeds is not None:
            if not self.feeds.advance():
                self._wait = AGAIN
            self.address = self.feeds.current()

    def _backed_off(self) -> int:
        """How long to wait before another try; longer each time that nothing new was told since the last."""
        wait, self._wait = self._wait, min(AGAIN_MOST, self._wait * 2)
        return wait

    def _again(self, wait: int) -> None:
        self.engine.deadlines.cancel(self._redial)
        self._redial = self.engine.deadlines.add(self.engine.clock.now() + wait, self._connect)

    def say(self) -> None:
        """Report back, where the configuration asks for it: the last event applied, what of servers is reached."""
        if self.report is None or self.feed is None:
            return
        up, down = self.caches.reachability()
        told = {
            "proxy": self.name,
            "config": self.report,
            "applied": self.pos,
            "up": up[:REPORTED],
            "down": down[:REPORTED],
        }
        if self.knowledge is not None:
            told["knows"] = self.knowledge.told()
        if self.recovery is not None:
            told["recovery"] = self.recovery.report()
        self.feed.write(orjson.dumps(told) + b"\n")

    def _regularly(self, feed: WatchConnection) -> None:
        if self.feed is feed:
            self.say()
            self.engine.deadlines.add(self.engine.clock.now() + REPORT, lambda: self._regularly(feed))

    def _watch(self) -> None:
        """A connection that is open but silent tells nothing, not even that it is lost."""
        now = self.engine.clock.now()
        if self.feed is not None and now - self.heard > SILENCE:
            self.log(f"journal: silent, dialled anew, {(now - self.heard) / 1e6:.1f} s after the last line")
            self.engine.stats.count("journal", "silent")
            self.feed.abort()
        elif self.feed is not None and self.news.asks_again(now):
            self.log(f"journal: events after {self.pos} were announced and did not come: they are asked for again")
            self.engine.stats.count("journal", "announced, not told")
            self.feed.abort()
        self._judge_missing(now)
        self.engine.deadlines.add(now + 100_000, self._watch)

    def _judge_missing(self, now: int) -> None:
        """Let the module know from when on copies must be, as purges from before may be missing. Recovery has a rule
        of its own."""
        if self.recovery is not None or self.address is None:
            return
        missing = self.news.missing(now)
        if missing == self._missing:
            return
        was, self._missing = self._missing, missing
        if missing and not was:
            self.log(f"journal: not current for {(now - self.news.current_at) / 1e6:.1f} s: purges may be missing")
            self.engine.stats.count("journal", "purges may be missing")
        elif was and not missing:
            self.log("journal: up to date again: no purge is missing")
            self.engine.stats.count("journal", "up to date again")
        self.engine.purges_uncertain(missing.age, now - missing.before if missing.before else 0)

    def _heartbeat(self, number: int) -> None:
        """The service's last number. It announces events, and stands for none of them."""
        if self.recovery is not None and self.recovery.older(self.pos, number):
            self.pos, self._gap = 0, -1
            raise Malformed(f"number {number} after {self.recovery.memory.before}: all of it is asked for")
        self._wait = AGAIN
        self.news.heartbeat(number, self.pos, self.heard)
        self._judge_missing(self.heard)

    def told(self, line: bytes) -> Iterator[None]:
        """One line of the service, a slice at a time; Malformed or ValueError where the connection is of no use."""
        self.heard = self.engine.clock.now()
        self.news.heard()
        value = orjson.loads(line)
        # An object with nothing but a number is a heartbeat too: as an event it would hide the one of that number.
        heartbeat = read_heartbeat(value)
        if heartbeat is not None:
            self._heartbeat(heartbeat)
            return
        if isinstance(value, dict) and "hint" in value:  # an addition of ours, to those that said what they know
            if self.knowledge is not None:
                self.knowledge.take(value["hint"])
            return
        if isinstance(value, dict) and self.recovery is not None and self._of_recovery(value):
            return
        event = yield from read_event_steps(value, self.events.known_members)
        self.events.hear_stamps(event)
        if event.pos > self.pos + 1 and self._gap != self.pos:
            self._gap = self.pos
            raise Malformed(f"{event.pos} follows {self.pos}")  # what lies between is asked for, once
        if event.pos > self.pos + 1:
            self._skip_to(event.pos)
        if event.pos > self.pos:
            self._wait = AGAIN
        yield from self.events.apply_steps(event)
        self.news.applied(self.pos)

    def _skip_to(self, pos: int) -> None:
        """The service does not have what lies between, though it was asked for it: any object may have been purged."""
        self.log(f"journal: events {self.pos + 1} to {pos - 1} are not to be had: copies from before now will not do")
        self.engine.stats.count("journal", "events missing", pos - 1 - self.pos)
        self.engine.purge_received(api.Purge(None, None))

    def _of_recovery(self, value: dict[str, Any]) -> bool:
        """Additions of ours, told to proxies that say their phase; whether this was one."""
        if "term" in value:
            if not self.recovery.fence.admits(required_integer(value["term"], "term")):
                self.engine.stats.count("journal", "older term")
                raise Malformed(f"term {value['term']} is over: {self.recovery.fence.term} was told")
        elif "learned" in value:
            self.recovery.taught(value["learned"])
        elif "later" in value:  # the service has more to carry than it can: it says when to come
            self._later = min(LATER_MOST, max(AGAIN, required_integer(value["later"], "later") * 1_000))
            self.engine.stats.count("journal", "told to come later")
            self.feed.abort()
        elif value.get("ask") == "holds":
            for part in self.holds():
                self.feed.write(orjson.dumps({"proxy": self.name, "holds": part}) + b"\n")
        else:
            return False
        return True

    def holds(self) -> list[dict[str, Any]]:
        """The world as it was told here, in parts, for a control plane that lost its own."""
        members = []
        for number_, entry in sorted(self.engine.cordons.entries.items()):
            pool = self.caches.servers.get(number_)
            if pool is not None:
                members.append(
                    {
                        "id": pool.name,
                        "host_port": f"{pool.host}:{pool.port}",
                        "locality": entry.zone,
                        "flavor": entry.kind,
                        "cell": entry.cell,
                        "size": entry.weight,
                        "phase": "SERVING" if entry.state is api.State.READY else "DRAINING",
                        "up_since_ms": entry.reported_start // 1_000,
                    }
                )
        tenants = [
            {"name": tenant.name, "zones": list(tenant.zones), "quota": tenant.quota}
            for tenant in self.engine.tenants.by_name.values()
        ]
        of = max(1, -(-max(len(members), len(tenants)) // HOLDS))
        return [
            {
                "pos": self.pos,
                "zone": self.engine.router.set.zone,
                "part": n,
                "of": of,
                "members": members[n * HOLDS : (n + 1) * HOLDS],
                "tenants": tenants[n * HOLDS : (n + 1) * HOLDS],
            }
            for n in range(of)
        ]

    def lines_pending(self) -> bool:
        """Whether lines have come that are not applied yet."""
        return self.feed is not None and self.feed.busy

    def reconnect(self) -> None:
        """Leave the connection: what it still brings is old. Another is dialled at once."""
        if self.feed is not None:
            self.feed.abort()

    @staticmethod
    def number(name: str) -> int:
        return server_number(name)

    def lost(self, feed: WatchConnection) -> None:
        if self.feed is feed:
            self.feed = None
            self.log("journal: connection lost")
            self.engine.stats.count("journal", "lost")
            self._elsewhere()
            # At once, but not in a tight loop with a service that takes connections and ends them.
            young = self.engine.clock.now() - feed.since <= AGAIN_MOST
            later, self._later = self._later, 0
            self._again(later or (self._backed_off() if young else 0))
