"""The feed: the journal service of PROTOCOL. `tail N`, then every later event, and the last number each second.

An addition of ours: a proxy may report back on the same connection, one JSON object a line (membership.py reads it).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from threadhill.control.adoption import AdoptionHold
from threadhill.control.ledger import Ledger
from threadhill.control.pace import CatchUpLimiter
from threadhill.net.door import Door, Guest
from threadhill.settings import Malformed

if TYPE_CHECKING:
    from threadhill.control.council import Cluster

MAX_LINE = 64 << 10  # bytes of a line of a proxy at most: a report names some hundred servers
MAX_OUTBOUND = 8 << 20  # bytes that may wait: the whole list of a large installation, at once
HEARTBEAT_INTERVAL = 1_000_000  # microseconds between the lines that hold only the last number
MAX_AHEAD = 10_000_000  # numbers that a proxy may be ahead of this service: beyond that it speaks of another one


class FeedConnection(Guest):
    """One proxy's connection. It is sent what lies behind its cursor as fast as it reads."""

    def __init__(self, door: Door, feed: Feed) -> None:
        super().__init__(door, MAX_LINE, MAX_OUTBOUND)
        self.term = 0  # that it was told
        self.knowledge_sent = self.holdings_requested = (
            False  # it was told what others learned; it was asked what it holds
        )
        self.feed = feed
        self.cursor: int | None = None
        self.proxy = ""  # who it is, once it said what it knows: it is told what the others do

    def parse(self) -> None:
        data = self.inbound.peek(len(self.inbound))
        whole = data.rfind(b"\n") + 1
        if not whole and len(data) >= MAX_LINE - 1:
            raise ValueError("a line is too long")
        self.inbound.skip(whole)
        for line in data[:whole].splitlines():
            self.spoken()
            if line.startswith(b"tail "):
                self._tail(line[5:].strip())
            elif line.startswith(b"{"):
                self._report(line)
            elif line.strip():
                raise ValueError(f"not a line of this protocol: {line[:40]!r}")

    def fault(self, trace: str) -> None:
        self.feed.door.engine.stats.count("malformed", "feed")

    def _tail(self, number: bytes) -> None:
        if not number.isdigit() or len(number) > 18:
            raise ValueError("tail takes a number")
        last = int(number)
        if last - self.feed.ledger.pos > MAX_AHEAD:
            raise ValueError("tail is far beyond the last number")
        cluster = self.feed.cluster
        if cluster is not None and not cluster.up_to_date():
            self.close()  # it may miss what the others know: another member is asked
            return
        known = cluster is not None or self.feed.adoption.check_number(last, self.feed.now())
        if known and last < self.feed.ledger.newest_event:
            retry_delay = self.feed.retry_delay(self)
            if retry_delay:
                self.write(b'{"later":%d}\n' % retry_delay)
                self.close()
                return
        self.cursor = last
        self.send_pending()
        self.heartbeat(False)  # at once: until it knows that this was all, one that has just started may send nothing

    def _report(self, line: bytes) -> None:
        """A report. One that tells its phase knows our additions: it is taught, or asked what it holds."""
        raw = orjson.loads(line)
        if not isinstance(raw, dict):
            return
        if "holds" in raw:
            self.feed.take_holdings(raw)
            return
        if self.feed.on_report(raw):
            self.proxy = str(raw.get("proxy"))
        told = raw.get("recovery")
        if not isinstance(told, dict):
            return
        if self.feed.cluster is not None and self.term != self.feed.cluster.register.term:
            self.term = self.feed.cluster.register.term
            self.write(b'{"term":%d}\n' % self.term)
        if self.feed.adoption.active and not self.holdings_requested:
            self.holdings_requested = self.write(b'{"ask":"holds"}\n')
        if not self.knowledge_sent and told.get("phase") != "full":
            line = self.feed.knowledge_line()
            self.knowledge_sent = line is not None and self.write(line)

    def send_pending(self) -> None:
        """Send what lies behind the cursor, while the peer takes it."""
        while (
            self.cursor is not None and not self.slow and self.transport is not None and not self.feed.adoption.active
        ):
            lines = self.feed.ledger.events_after(self.cursor)
            if not lines or not self.write(b"".join(line for _, line in lines)):
                return
            self.cursor = lines[-1][0]

    def backlog_changed(self) -> None:
        if not self.slow:
            self.send_pending()

    def heartbeat(self, hints: bool = True) -> None:
        known = self.feed.ledger.newest_event
        # Where a member is behind a proxy it says nothing until it has caught up; alone, the proxy's number is held.
        level = (
            self.feed.adoption.active
            or self.cursor is not None
            and (self.cursor >= known if self.feed.cluster is None else self.cursor == known)
        )
        if self.cursor is not None and level and not self.slow:
            self.write(b"%d\n" % self.cursor)
            hint = self.feed.hint(self.proxy) if self.proxy and hints else None
            if hint is not None:
                self.write(orjson.dumps({"hint": hint}) + b"\n")


class Feed:
    """All connections of proxies."""

    def __init__(
        self,
        ledger: Ledger,
        door_for: Callable[[Callable[[Door], Guest]], Door],
        on_report: Callable[[dict], bool],
        hint: Callable[[str], dict[str, Any] | None],
        adoption: AdoptionHold,
        now: Callable[[], int],
        cluster: Cluster | None = None,
    ) -> None:
        self.ledger, self.on_report, self.hint = ledger, on_report, hint
        self.adoption, self.now, self.cluster = adoption, now, cluster
        self._knowledge_line: tuple[object, bytes | None] = (None, None)
        self.catch_up = CatchUpLimiter()
        self.door = door_for(lambda door: FeedConnection(door, self))
        self._heartbeat()

    def publish(self) -> None:
        """New events are in the store: everybody gets them."""
        for guest in list(self.door.guests):
            guest.send_pending()

    def take_holdings(self, raw: dict[str, Any]) -> None:
        """What a proxy holds, while nothing is told."""
        if self.adoption.active:
            try:
                self.adoption.take_holding(raw)
            except Malformed as error:
                raise ValueError(str(error)) from None

    def knowledge_line(self) -> bytes | None:
        """What the warm proxies learned, the same bytes for all that come within a second."""
        made = self.ledger.proxy_reports.merged_knowledge(self.now())
        if made is None:
            return None
        if self._knowledge_line[0] is not made:
            self._knowledge_line = made, orjson.dumps({"learned": {"known": made[0], "age": made[1]}}) + b"\n"
        return self._knowledge_line[1]

    def retry_delay(self, guest: FeedConnection) -> int:
        """How many milliseconds one that has much to catch up with is to stay away; 0: it is admitted now. Those that
        read slowly are what the whole list waits in memory for."""
        waiting = sum(other.slow for other in self.door.guests if other is not guest)
        return self.catch_up.retry_delay(waiting, self.now())

    def _heartbeat(self) -> None:
        fresh = self.cluster is None or self.cluster.up_to_date()
        for guest in list(self.door.guests):
            if fresh:
                guest.heartbeat()
            elif guest.cursor is not None:
                guest.close()  # cut off from the others: the proxy goes to one that is not
        self.door.engine.deadlines.add(self.door.engine.clock.now() + HEARTBEAT_INTERVAL, self._heartbeat)
