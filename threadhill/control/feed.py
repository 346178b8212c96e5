"""The feed: the journal service of PROTOCOL. After `tail N` a proxy gets every later event, and the last number each
second.

An extension of PROTOCOL: a proxy may send reports on the same connection, one JSON object a line (proxy_reports.py).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from threadhill.control.adoption import AdoptionHold
from threadhill.control.catch_up import CatchUpLimiter
from threadhill.control.ledger import Ledger
from threadhill.net.listener import AcceptedConnection, Listener
from threadhill.settings import Malformed

if TYPE_CHECKING:
    from threadhill.control.cluster import Cluster

MAX_LINE = 64 << 10  # bytes of a line that a proxy sends: a report names some hundred servers
MAX_OUTBOUND = 8 << 20  # bytes buffered for a proxy: the whole list of a large installation fits
HEARTBEAT_INTERVAL = 1_000_000  # microseconds between the lines that hold only the last number
MAX_AHEAD = 10_000_000  # a proxy whose number is further ahead than this follows another journal service


class FeedConnection(AcceptedConnection):
    """One proxy's connection. Events after its cursor are sent as fast as the proxy reads."""

    def __init__(self, listener: Listener, feed: Feed) -> None:
        super().__init__(listener, MAX_LINE, MAX_OUTBOUND)
        self.term = 0  # the last term sent to it
        self.knowledge_sent = self.holdings_requested = False
        self.feed = feed
        self.cursor: int | None = None  # number of the last event sent; None: the proxy has not sent `tail`
        self.proxy = ""  # its name, once it shares what it knows: then it is sent hints from the others

    def parse(self) -> None:
        data = self.inbound.peek(len(self.inbound))
        whole = data.rfind(b"\n") + 1
        if not whole and len(data) >= MAX_LINE - 1:
            raise ValueError(f"a line is over {MAX_LINE} bytes long")
        self.inbound.skip(whole)
        for line in data[:whole].splitlines():
            self.message_received()
            if line.startswith(b"tail "):
                self._tail(line[5:].strip())
            elif line.startswith(b"{"):
                self._report(line)
            elif line.strip():
                raise ValueError(f"not a line of this protocol: {line[:40]!r}")

    def fault(self, trace: str) -> None:
        self.feed.listener.runtime.stats.count("malformed", "feed")

    def _tail(self, number: bytes) -> None:
        if not number.isdigit() or len(number) > 18:
            raise ValueError("tail takes a number of 18 digits at most")
        last = int(number)
        if last - self.feed.ledger.pos > MAX_AHEAD:
            raise ValueError(f"tail {last} is over {MAX_AHEAD} beyond the last number")
        cluster = self.feed.cluster
        if cluster is not None and not cluster.up_to_date():
            self.close()  # events may be missing here: the proxy will ask another member
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
        self.heartbeat(False)  # at once: a starting proxy sends nothing until it knows that it has all events

    def _report(self, line: bytes) -> None:
        """Take in a report. A proxy that reports its recovery phase supports the extensions: it may be sent the term
        and what other proxies learned, or be asked what it holds."""
        raw = orjson.loads(line)
        if not isinstance(raw, dict):
            return
        if "holds" in raw:
            self.feed.take_holdings(raw)
            return
        if self.feed.on_report(raw):
            self.proxy = str(raw.get("proxy"))
        recovery = raw.get("recovery")
        if not isinstance(recovery, dict):
            return
        if self.feed.cluster is not None and self.term != self.feed.cluster.register.term:
            self.term = self.feed.cluster.register.term
            self.write(b'{"term":%d}\n' % self.term)
        if self.feed.adoption.active and not self.holdings_requested:
            self.holdings_requested = self.write(b'{"ask":"holds"}\n')
        if not self.knowledge_sent and recovery.get("phase") != "full":
            line = self.feed.knowledge_line()
            self.knowledge_sent = line is not None and self.write(line)

    def send_pending(self) -> None:
        """Send events after the cursor while the peer reads them."""
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
        # A member that is behind a proxy sends no number until it has caught up. A control plane alone repeats the
        # proxy's number, since it is on hold then.
        caught_up = (
            self.feed.adoption.active
            or self.cursor is not None
            and (self.cursor >= known if self.feed.cluster is None else self.cursor == known)
        )
        if self.cursor is not None and caught_up and not self.slow:
            self.write(b"%d\n" % self.cursor)
            hint = self.feed.hint(self.proxy) if self.proxy and hints else None
            if hint is not None:
                self.write(orjson.dumps({"hint": hint}) + b"\n")


class Feed:
    """The connections of all proxies."""

    def __init__(
        self,
        ledger: Ledger,
        make_listener: Callable[[Callable[[Listener], AcceptedConnection]], Listener],
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
        self.listener = make_listener(lambda listener: FeedConnection(listener, self))
        self._heartbeat()

    def publish(self) -> None:
        """Send new events, which are in the store by now, to all proxies."""
        for connection in list(self.listener.connections):
            connection.send_pending()

    def take_holdings(self, raw: dict[str, Any]) -> None:
        """Take in a part of what a proxy holds, while the ledger is on hold."""
        if self.adoption.active:
            try:
                self.adoption.take_holding(raw)
            except Malformed as error:
                raise ValueError(str(error)) from None

    def knowledge_line(self) -> bytes | None:
        """What the proxies in full service learned, as a line; cached while the merged document is the same."""
        merged = self.ledger.proxy_reports.merged_knowledge(self.now())
        if merged is None:
            return None
        if self._knowledge_line[0] is not merged:
            self._knowledge_line = merged, orjson.dumps({"learned": {"known": merged[0], "age": merged[1]}}) + b"\n"
        return self._knowledge_line[1]

    def retry_delay(self, connection: FeedConnection) -> int:
        """Milliseconds until a proxy that has events to catch up on may come back; 0: it is admitted now. Only slow
        readers count towards the limit, since a full list stays buffered for each of them."""
        waiting = sum(other.slow for other in self.listener.connections if other is not connection)
        return self.catch_up.retry_delay(waiting, self.now())

    def _heartbeat(self) -> None:
        up_to_date = self.cluster is None or self.cluster.up_to_date()
        for connection in list(self.listener.connections):
            if up_to_date:
                connection.heartbeat()
            elif connection.cursor is not None:
                connection.close()  # this member is cut off from the others: the proxy goes to another one
        self.listener.runtime.deadlines.add(self.listener.runtime.clock.now() + HEARTBEAT_INTERVAL, self._heartbeat)
