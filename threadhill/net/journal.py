"""The client of the journal service: receives numbered events, reconnects, and has each event applied once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING, Any

import orjson

from threadhill.core.engine import Engine
from threadhill.decision import interface as api
from threadhill.decision.hashing import hash_name
from threadhill.net.event_applier import EventApplier
from threadhill.net.journal_events import Event, read_event_steps, read_heartbeat, server_number
from threadhill.net.journal_monitor import JournalMonitor, MissingPurges
from threadhill.net.upstream import CacheServers
from threadhill.net.watch_connection import WatchConnection
from threadhill.settings import Malformed, required_integer

if TYPE_CHECKING:
    from threadhill.knowledge.proxy import Knowledge
    from threadhill.ownership.feeds import Feeds
    from threadhill.recovery.proxy import Recovery

MAX_LINE = 1 << 20  # default limit of a line, in bytes: a list of thousands of servers
CONNECT_TIMEOUT = 0.5  # seconds
MIN_RETRY_DELAY = 50_000  # microseconds between connection attempts, doubled after each that brought nothing new
MAX_RETRY_DELAY = 400_000  # microseconds; events missed in a break count as delivered 2 s after it
REPORT_INTERVAL = 1_000_000  # microseconds between reports while no new event is applied
MAX_REPORTED = 500  # limit of servers named in one report
HOLDINGS_PER_LINE = 100  # servers, and tenants, per line of an answer to `ask: holds`
MAX_RECONNECT_WAIT = 5_000_000  # microseconds; limit of the wait before reconnecting that a service may ask for


class Journal:
    """Follows a journal service, and passes its events to the core and the connection pools."""

    def __init__(
        self,
        engine: Engine,
        caches: CacheServers,
        log: Callable[[str], None],
        name: str = "",
        report: str | None = None,
        line: int = MAX_LINE,
    ) -> None:
        self.knowledge: Knowledge | None = None  # set if the operator's file enables it
        self.engine, self.caches, self.log = engine, caches, log
        self.max_line = line
        self.name, self.report = name, report  # report names the configuration in reports; None: send none
        self.events = EventApplier(engine, caches, log)
        self.monitor = JournalMonitor(engine.clock.now())
        self._missing = MissingPurges()  # what the decision module was last told may be missing
        self.address: tuple[str, int] | None = None
        self.connection: WatchConnection | None = None
        self.connecting: WatchConnection | None = None  # the one connection being established
        self._gap_after = -1  # the last number before a gap, whose missing events were requested again
        self._retry_delay = MIN_RETRY_DELAY
        self._task: asyncio.Task[None] | None = None
        self._retry_deadline: tuple[int, int] | None = None
        self._checking = False
        self.feeds: Feeds | None = None  # set if several services provide the same events
        self._reconnect_wait = 0  # microseconds that the service asked to wait before reconnecting

    @property
    def pos(self) -> int:
        """The number of the last event applied."""
        return self.events.pos

    @pos.setter
    def pos(self, number: int) -> None:
        self.events.pos = number

    @property
    def recovery(self) -> Recovery | None:
        """Set if the operator's file enables recovery."""
        return self.events.recovery

    @recovery.setter
    def recovery(self, recovery: Recovery) -> None:
        self.events.recovery = recovery

    def catch_up(self, pos: int, events: list[Event]) -> None:
        """Apply the events of a configuration, which reach up to number `pos`."""
        self.events.catch_up(pos, events)

    # --- the connection

    def follow(self, address: tuple[str, int] | None, alternatives: Sequence[tuple[str, int]] = ()) -> None:
        """Follow the service at this address, from the last event applied on; None: stop following. A connection or
        connection attempt to another address is dropped at once. With alternatives, the next of them is tried
        whenever the current one is silent, disconnects or cannot be reached."""
        if alternatives and address is not None:
            if self.feeds is not None and self.feeds.same_addresses(list(alternatives)):
                return
            from threadhill.ownership.feeds import Feeds

            self.feeds = Feeds(list(alternatives), hash_name(self.name))
            address = self.feeds.current()
        elif address == self.address and self.feeds is None:
            return
        else:
            self.feeds = None
        self.address = address
        if self._task is not None:
            self._task.cancel()
        self.engine.deadlines.cancel(self._retry_deadline)
        connection, self.connection, self.connecting, self._retry_delay = self.connection, None, None, MIN_RETRY_DELAY
        if connection is not None:
            connection.abort()
        if address is not None and self.recovery is not None and not self._checking:
            self._schedule_retry(self.recovery.first_dial_delay(self.engine.router.settings.routers))
        elif address is not None:
            self._connect()
        if not self._checking:
            self._checking = True
            self._check()

    def _connect(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._dial(WatchConnection(self), *self.address))

    async def _dial(self, connection: WatchConnection, host: str, port: int) -> None:
        self.connecting = connection
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await asyncio.get_running_loop().create_connection(lambda: connection, host, port)
        except OSError as error:  # TimeoutError is a subclass
            if self.connecting is not connection and self.connection is not connection:
                return  # another address is followed by now
            self.log(f"journal: no connection: {error!r}")
            self.engine.stats.count("journal", "not reached")
            self.caches.relieve_shortage(error)
            self.connecting = self.connection = None
            self._next_service()
            self._schedule_retry(self._next_retry_delay())

    def _next_service(self) -> None:
        """Switch to the next alternative, if any. Resets the retry delay, except after a round of all alternatives."""
        if self.feeds is not None:
            if not self.feeds.advance():
                self._retry_delay = MIN_RETRY_DELAY
            self.address = self.feeds.current()

    def _next_retry_delay(self) -> int:
        """The delay before the next connection attempt; doubles until a new event arrives."""
        wait, self._retry_delay = self._retry_delay, min(MAX_RETRY_DELAY, self._retry_delay * 2)
        return wait

    def _schedule_retry(self, wait: int) -> None:
        self.engine.deadlines.cancel(self._retry_deadline)
        self._retry_deadline = self.engine.deadlines.add(self.engine.clock.now() + wait, self._connect)

    def send_report(self) -> None:
        """Send a report, if configured: the last event applied, and which servers are reachable."""
        if self.report is None or self.connection is None:
            return
        up, down = self.caches.reachability()
        status = {
            "proxy": self.name,
            "config": self.report,
            "applied": self.pos,
            "up": up[:MAX_REPORTED],
            "down": down[:MAX_REPORTED],
        }
        if self.knowledge is not None:
            status["knows"] = self.knowledge.report()
        if self.recovery is not None:
            status["recovery"] = self.recovery.report()
        self.connection.write(orjson.dumps(status) + b"\n")

    def _report_periodically(self, connection: WatchConnection) -> None:
        if self.connection is connection:
            self.send_report()
            self.engine.deadlines.add(
                self.engine.clock.now() + REPORT_INTERVAL, lambda: self._report_periodically(connection)
            )

    def _check(self) -> None:
        """Reconnect if the connection is silent, which may mean it is dead, or does not bring what it should."""
        now = self.engine.clock.now()
        connection = self.connection
        if connection is not None and not connection.has_unprocessed_input():
            if self.monitor.is_silent(now, connection.last_received_at):
                silence = (now - connection.last_received_at) / 1e6
                self._give_up("silent", f"silent, reconnecting {silence:.1f} s after the last input")
            elif self.monitor.line_overdue(now, connection.line_began_at):
                seconds = (now - connection.line_began_at) / 1e6
                self._give_up("line not whole", f"a line is not whole after {seconds:.1f} s, reconnecting")
            elif self.monitor.should_rerequest(now, connection.line_progress_at()):
                self._give_up(
                    "announced, not told",
                    f"events after {self.pos} were announced and did not come: they are asked for again "
                    f"({self._describe_progress(now)})",
                )
        self._update_missing(now)
        self.engine.deadlines.add(now + 100_000, self._check)

    def _give_up(self, counter: str, reason: str) -> None:
        """Give up the connection; events are requested on a new one."""
        self.log(f"journal: {reason}")
        self.engine.stats.count("journal", counter)
        self.monitor.connection_given_up()
        self.connection.abort()

    def _describe_progress(self, now: int) -> str:
        """What the connection brought, for the log line of its end."""
        age, since_event = now - self.connection.connected_at, now - self.monitor.applied_at
        return (
            f"up to {self.monitor.announced} were announced; the connection is {age / 1e6:.2f} s old and brought "
            f"{self.connection.events} events, the last event came {since_event / 1e6:.2f} s ago"
        )

    def _update_missing(self, now: int) -> None:
        """Tell the decision module how recent copies must be, as older purges may be missing. Recovery has its own
        rule for that."""
        if self.recovery is not None or self.address is None:
            return
        missing = self.monitor.missing(now)
        if missing == self._missing:
            return
        previous, self._missing = self._missing, missing
        if missing and not previous:
            self.log(f"journal: not current for {(now - self.monitor.current_at) / 1e6:.1f} s: purges may be missing")
            self.engine.stats.count("journal", "purges may be missing")
        elif previous and not missing:
            self.log("journal: up to date again: no purge is missing")
            self.engine.stats.count("journal", "up to date again")
        self.engine.purges_uncertain(missing.age, now - missing.before if missing.before else 0)

    def _heartbeat(self, number: int, now: int) -> None:
        """Handle the service's last number, which announces events but does not replace them."""
        if self.recovery is not None and self.recovery.is_rollback(self.pos, number):
            self.pos, self._gap_after = 0, -1
            raise Malformed(
                f"last number {number} after {self.recovery.departed.resume_at}: all events are requested again"
            )
        self._retry_delay = MIN_RETRY_DELAY
        self.monitor.heartbeat(number, self.pos, now)
        self._update_missing(now)

    def receive_line(self, line: bytes) -> Iterator[None]:
        """Process one line of the service in slices. Malformed or ValueError if the connection must be dropped."""
        self.monitor.line_received()
        value = orjson.loads(line)
        # An object with only a number is a heartbeat too: as an event, it would suppress the one with that number.
        heartbeat = read_heartbeat(value)
        if heartbeat is not None:
            self._heartbeat(heartbeat, self.engine.clock.now())
            return
        # A protocol extension, sent to proxies whose reports have `knows`.
        if isinstance(value, dict) and "hint" in value:
            if self.knowledge is not None:
                self.knowledge.receive_hint(value["hint"])
            return
        if isinstance(value, dict) and self.recovery is not None and self._handle_recovery_line(value):
            return
        event = yield from read_event_steps(value, self.events.known_members)
        self.events.observe_stamps(event)
        if event.pos > self.pos + 1 and self._gap_after != self.pos:
            self._gap_after = self.pos
            # The events between are requested again, once.
            raise Malformed(f"event {event.pos} follows event {self.pos}")
        if event.pos > self.pos + 1:
            self._skip_to(event.pos)
        if event.pos > self.pos:
            self._retry_delay = MIN_RETRY_DELAY
        known = self.pos
        yield from self.events.apply_steps(event)
        self.monitor.applied(self.pos, self.engine.clock.now())
        if self.pos != known and self.connection is not None:
            self.connection.events += 1

    def _skip_to(self, pos: int) -> None:
        """The service did not send the events between when asked again: any object may have been purged."""
        self.log(f"journal: events {self.pos + 1} to {pos - 1} are not available: all older copies count as purged")
        self.engine.stats.count("journal", "events missing", pos - 1 - self.pos)
        self.engine.purge_received(api.Purge(None, None))

    def _handle_recovery_line(self, value: dict[str, Any]) -> bool:
        """Handle a protocol extension, sent to proxies whose reports have `recovery`; returns whether it was one."""
        if "term" in value:
            if not self.recovery.fence.admits(required_integer(value["term"], "term")):
                self.engine.stats.count("journal", "older term")
                raise Malformed(f"outdated term {value['term']}: the latest is {self.recovery.fence.term}")
        elif "learned" in value:
            self.recovery.import_learned(value["learned"])
        elif "later" in value:  # the service is overloaded and tells when to reconnect
            self._reconnect_wait = min(
                MAX_RECONNECT_WAIT, max(MIN_RETRY_DELAY, required_integer(value["later"], "later") * 1_000)
            )
            self.engine.stats.count("journal", "told to come later")
            self.connection.abort()
        elif value.get("ask") == "holds":
            for part in self.holdings():
                self.connection.write(orjson.dumps({"proxy": self.name, "holds": part}) + b"\n")
        else:
            return False
        return True

    def holdings(self) -> list[dict[str, Any]]:
        """The known servers and tenants, in parts, for a control plane that lost its state."""
        members = []
        for number, entry in sorted(self.engine.cordons.entries.items()):
            pool = self.caches.servers.get(number)
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
        part_count = max(1, -(-max(len(members), len(tenants)) // HOLDINGS_PER_LINE))
        return [
            {
                "pos": self.pos,
                "zone": self.engine.router.settings.zone,
                "part": n,
                "of": part_count,
                "members": members[n * HOLDINGS_PER_LINE : (n + 1) * HOLDINGS_PER_LINE],
                "tenants": tenants[n * HOLDINGS_PER_LINE : (n + 1) * HOLDINGS_PER_LINE],
            }
            for n in range(part_count)
        ]

    def lines_pending(self) -> bool:
        """Whether received lines are not applied yet."""
        return self.connection is not None and self.connection.busy

    def reconnect(self) -> None:
        """Drop the connection, whose further input is outdated, and dial again at once."""
        if self.connection is not None:
            self.connection.abort()

    @staticmethod
    def number(name: str) -> int:
        return server_number(name)

    def lost(self, connection: WatchConnection) -> None:
        if self.connection is connection:
            self.connection = None
            self.log("journal: connection lost")
            self.engine.stats.count("journal", "lost")
            self._next_service()
            # Reconnect at once, but not in a tight loop with a service that accepts connections and closes them.
            short_lived = self.engine.clock.now() - connection.connected_at <= MAX_RETRY_DELAY
            reconnect_wait, self._reconnect_wait = self._reconnect_wait, 0
            self._schedule_retry(reconnect_wait or (self._next_retry_delay() if short_lived else 0))
