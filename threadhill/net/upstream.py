"""The cache servers' protocol: lines of words, a body behind the last; a pool of connections a server."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from threadhill.core.engine import Engine
from threadhill.core.ports import AttemptResult, AttemptSpec
from threadhill.core.trace import Step
from threadhill.decision import interface as api
from threadhill.decision.state import remember
from threadhill.net.shortage import is_own_shortage
from threadhill.net.stream import Stream
from threadhill.net.upstream_codec import (
    BODY,
    ENDS,
    HEAD,
    NOTES,
    AnswerLine,
    read_answer,
    read_born,
    read_report,
    read_waited,
    write_cancel,
    write_request,
)

OUTBOUND = 256 << 10
CONNECTION_BYTES = 128 << 10  # bytes that a connection's rings come to, as most answers are far under the bound
IDLE_LEAST = 0.7  # part of the peer's idle time for which a connection is kept in any case
IDLE_MARGIN = 2_500_000  # microseconds before the peer's close: a look a second here, and links up to 1.5 s late
USED = 64  # ids given up on a connection after which it is closed
DONE = 256  # ids answered on a connection that it remembers: the longest that one request's attempts may span
POOL = 4  # connections to one server at most: answers on a shared one were measured not to delay each other
HOLDS_UP = 0.01  # part of an attempt's worth that is lost by sharing a connection with one other: about nothing
VANISHED = 0.04  # part of the attempts that run out of time unheard whose machine or connection has vanished
CUT_AT_ONCE = 30_000  # microseconds within which a reset belongs to what was just written: a way there and back
NEW = 1_000_000  # microseconds for which a connection that was dialled for an attempt is taken for new
CUT_MEMORY = 60_000_000  # microseconds for which it is remembered that idle connections were cut
LEAST_WAIT = 100_000  # microseconds: an attempt given up sooner says nothing of its connection
STALL = 500_000  # microseconds in the middle of an answer after which the rest is no more waited for


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site and the machine allow; times in microseconds."""

    descriptors: int = 640
    streams: int = 32
    idle: int = 30_000_000
    connect_timeout: int = 400_000
    handshake: float = 0.0  # price of a new connection, in requests


@dataclass(slots=True)
class PendingAttempt:
    """An attempt that waits for a connection or is out on one."""

    server: int
    order: AttemptSpec
    connection: UpstreamConnection | None = None
    at: int = 0
    upto: int = 0  # bytes of the connection with which it ends
    due: tuple[int, int] | None = None  # the deadline of one that waits: then it must not begin any more


class UpstreamConnection(Stream):
    """One connection to a cache server, parent or the origin."""

    write_high_water = 0  # whether the transport is full tells what has left this process

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool.caches.engine, BODY + HEAD, OUTBOUND)
        self.pool = pool
        self.open: dict[str, int] = {}  # id -> attempt
        self.used: set[str] = set()  # ids given up here: their late answers must not pass for a new attempt's
        self.done: dict[str, None] = {}  # ids answered here lately: the answer may come a second time
        self.suspect = False  # so many attempts ran out of time unheard that nothing more is written here
        self.unheard = 0  # attempts that ran out of time one after another, with nothing come since they were sent
        self.doubted = 0  # when the last of them did
        self.heard = self.idle_since = pool.caches.engine.clock.now()
        self.head: AnswerLine | None = None  # the line of the answer that is coming
        self._line_since = 0  # when the line that is coming began; 0: none is
        self._unasked = 0  # answers on end that nobody asked for
        self.counted = False  # it came up, so its end frees its place

    def opened(self) -> None:
        self.pool.opened(self)

    def ended(self) -> None:
        self.pool.lost(self)

    def fault(self, trace: str) -> None:
        self.pool.caches.engine.stats.count("fault", "server")
        self.pool.caches.log(f"{self.pool.name}: {trace}")

    @property
    def usable(self) -> bool:
        if self.suspect or self._closing or self.transport is None or self.transport.is_closing():
            return False
        return not self.stalled()

    def carries(self, id: str) -> bool:
        """Whether an answer under this id may come here that is not a new attempt's."""
        return id in self.open or id in self.used or id in self.done

    def fresh(self) -> bool:
        """Whether it was heard of lately enough for what must not run twice, where idle connections were seen cut."""
        new = not self.done and not self.used  # nothing was sent on it yet
        return self.pool.caches.engine.clock.now() - self.heard < max(self.pool.caches.fresh_for, new * NEW)

    def stalled(self) -> bool:
        """Whether an answer stopped in the middle: one whose length is wrong swallows those that follow. Its line is
        short, and must be there soon however it comes."""
        since = self._line_since or (self.heard if self.head is not None else 0)
        return since > 0 and self.pool.caches.engine.clock.now() - since > STALL

    def whole(self, upto: int) -> bool:
        """Whether the first so many bytes written may all have left this process. Of a connection that is gone, the
        transport was full if any of what it was given last had not."""
        if self.transport is not None:
            return self.bytes_written - self.backlog() >= upto
        return not self._paused or self.bytes_written - len(self.outbound) > upto

    def cut_short(self, head: object) -> None:
        """An answer whose attempt was given up still comes: others wait behind it, and it may never end."""
        if self.head is head and self.transport is not None:
            self._broken("an answer went on after it was given up")

    def answering(self, id: str) -> bool:
        """Whether the answer under this id has begun to come."""
        return self.head is not None and self.head.id == id

    def doubt(self, sent: int) -> None:
        """An attempt sent then was given up, and nothing came since. The machine may have vanished, which no reset
        will tell; or the attempt was slow. A connection that is left for nothing costs its handshake, and one that
        is kept for nothing another attempt: what handshakes cost says how often that may happen."""
        if sent >= self.doubted:  # those that were out together say it once
            self.unheard, self.doubted = self.unheard + 1, self.pool.caches.engine.clock.now()
        self.suspect = self.suspect or self.unheard > self.pool.caches.limits.handshake / VANISHED

    def parse(self) -> None:
        self.heard, self.suspect, self.unheard = self.pool.caches.engine.clock.now(), False, 0
        while not self._closing:
            if self.head is None:
                line = self.inbound.peek(HEAD)
                end = line.find(b"\r\n")
                if end < 0:
                    if len(line) >= HEAD:
                        self._broken("a line is too long")
                    elif line:
                        self._line_since = self._line_since or self.heard
                    return
                self._line_since = 0
                answer = read_answer(line[:end])
                if answer is None:
                    self._broken("not an answer")
                    return
                self.inbound.skip(end + 2)
                self.head, self.bytes_needed = answer, answer.length + 2
            if len(self.inbound) < self.bytes_needed:
                return
            body = self.inbound.take(self.bytes_needed)
            if body[-2:] != b"\r\n":
                self._broken("a body does not end where it should")
                return
            answer, self.head, self.bytes_needed = self.head, None, 1
            self._answer(answer.id, answer.word, answer.fields, body[:-2])

    def _broken(self, why: str) -> None:
        self.pool.caches.engine.stats.count("malformed", "server")
        self.pool.caches.log(f"{self.pool.name}: {why}")
        self.abort()

    def _answer(self, id: str, word: str, fields: dict[str, str], body: bytes) -> None:
        attempt = self.open.get(id)
        if attempt is None:  # given up meanwhile, a second copy, or nothing that was asked for here
            self.pool.caches.engine.stats.count("unasked", word)
            self._unasked += 1
            if self._unasked > DONE:
                self._broken("it answers what was not asked")
            return
        if word == "current" and self.pool.caches.attempts[attempt].order.request.client_tag != fields.get("ver", ""):
            self._broken("it calls current what was not named to it")  # the client would take its copy for good
            return
        del self.open[id]
        self._unasked = 0
        remember(self.done, id, None, DONE)
        ended = AttemptResult(
            ENDS[word],
            body,
            fields.get("ver", ""),
            word == "current",
            read_report(fields.get("report", "")),
            NOTES.get(fields.get("remark", ""), api.CacheStatus.NONE),
            read_waited(fields.get("waited", "")),
            read_born(fields.get("born", "")),
        )
        self.pool.done(self)
        self.pool.caches.ended(attempt, ended)


class Pool:
    """The connections to one server at one address, and the attempts that wait for one. A server that comes back, or
    another one at the same address, gets a pool of its own."""

    def __init__(self, caches: CacheServers, name: str, host: str, port: int) -> None:
        self.caches, self.name, self.host, self.port = caches, name, host, port
        self.connections: list[UpstreamConnection] = []
        self.waiting: deque[int] = deque()
        self.dialling = 0
        self._put_off = False  # what waits is written in the next turn
        self.ready = True
        self.down = False  # the last dial failed, and none has come up since
        self.missed = False  # the last dial failed, whatever else is up

    def send(self, attempt: int) -> None:
        self.waiting.append(attempt)
        self._drain()

    def _drain(self) -> None:
        """Write what waits, in its order, as far as there are connections; dial for the rest. After a hold-up of the
        loop in the next turn: what discovery told meanwhile comes first, and gives back what it concerns."""
        if self.waiting and self.caches.loop_lag():
            if not self._put_off:
                self._put_off = True
                asyncio.get_running_loop().call_soon(self._go_on)
            return
        gate = self.caches.engine.recovery_gate
        if gate is not None and self.waiting and not gate.may_send(self.caches.engine.clock.now()):
            self._give_back()
            return
        while self.waiting:
            pending = self.caches.attempts.get(self.waiting[0])
            over = self.caches.overdue(pending) if pending is not None else None
            if over is not None:  # its timer's turn has not come yet
                self.caches.ended(self.waiting.popleft(), AttemptResult(over))
                continue
            connection = self._pick(pending.order) if pending is not None else None
            if pending is not None and connection is None:
                break
            attempt = self.waiting.popleft()
            if connection is not None and not self._write(connection, attempt):
                self.waiting.appendleft(attempt)  # nothing of it was taken: it goes on the next connection
        if self.waiting:
            order = self.caches.attempts[self.waiting[0]].order
            while self.ready and self.dialling < len(self.waiting) and self._may_dial(order):
                self.caches.dial(self)

    def _go_on(self) -> None:
        self._put_off = False
        self._drain()

    def _good(self, order: AttemptSpec) -> list[UpstreamConnection]:
        """Connections that this attempt may use. What must not run twice keeps off those that may be cut as it is
        written, unless there is no dialling a new one either."""
        good = [connection for connection in self.connections if connection.usable]
        if order.at_most_once and not self.missed and self.caches.connection_count < self.caches.limits.descriptors:
            return [connection for connection in good if connection.fresh()]
        return good

    def _may_dial(self, order: AttemptSpec) -> bool:
        """Whether one more connection may be opened for this request: within this server's share and what the machine
        has, and not while sharing those there are costs less. A server that cannot be reached at all otherwise gets
        its first one in any case."""
        good = self._good(order)
        some = len(good) + self.dialling
        if not some:
            return True
        if self.dialling or any(
            not connection.slow and not connection.carries(order.request.request_id) for connection in good
        ):
            shared = sum(len(connection.open) for connection in good) + len(self.waiting)
            if shared * HOLDS_UP < some * self.caches.limits.handshake:
                return False
        return some < self.caches.pool_most and self.caches.connection_count < self.caches.limits.descriptors

    def _pick(self, order: AttemptSpec) -> UpstreamConnection | None:
        """An idle connection, the last used first; where no more may be dialled, the one with the fewest out."""
        good = [connection for connection in self._good(order) if not connection.slow]
        fit = [connection for connection in good if not connection.carries(order.request.request_id)]
        idle = [connection for connection in fit if not connection.open]
        if idle:
            return max(idle, key=lambda connection: connection.idle_since)
        if self._may_dial(order):
            left = [connection for connection in self.connections if not connection.open]
            if left and len(self.connections) + self.dialling >= self.caches.pool_most:
                # It is not fresh, and makes room for one that is.
                min(left, key=lambda connection: connection.idle_since).close()
            return None
        if good and not fit:  # all have carried this id: the one with the least on it makes room
            spare = min(good, key=lambda connection: len(connection.open))
            if not spare.open:
                spare.close()
            return None
        return min(
            (connection for connection in fit if len(connection.open) < self.caches.streams),
            key=lambda connection: len(connection.open),
            default=None,
        )

    def _write(self, connection: UpstreamConnection, attempt: int) -> bool:
        """Whether it is written: a connection that was reset meanwhile takes nothing, which is no fault of the
        server and no proof that the attempt ran."""
        pending = self.caches.attempts[attempt]
        body = pending.order.request.body
        if not connection.writable():  # the server reads nothing: what is written now would begin when its time is over
            connection.suspect = True
            return False
        order = pending.order
        source = self.caches.servers[order.source].name if order.source != order.server else None
        if not connection.write(write_request(order, source, self.caches.engine.clock.now()), body, b"\r\n"):
            connection.suspect = True
            return False
        pending.connection, pending.at, pending.upto = (
            connection,
            self.caches.engine.clock.now(),
            connection.bytes_written,
        )
        self.caches.engine.deadlines.cancel(pending.due)
        connection.open[pending.order.request.request_id] = attempt
        self.caches.engine.stats.count("relayed", pending.order.request.class_name)
        self.caches.engine.stats.count("bytes_out", "servers", len(body))
        return True

    def opened(self, connection: UpstreamConnection) -> None:
        self.connections.append(connection)
        connection.counted = True
        self.caches.engine.stats.count("connection", "opened")
        connection.heard = connection.idle_since = self.caches.engine.clock.now()
        if not self.ready:  # the server drains or is gone since it was dialled
            connection.close()

    def done(self, connection: UpstreamConnection) -> None:
        """A connection has room again: what waits longest takes it."""
        connection.idle_since = self.caches.engine.clock.now()
        self._drain()
        if not connection.open and (not self.ready or len(connection.used) > USED):
            connection.close()

    def lost(self, connection: UpstreamConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            self.caches.connection_count -= 1
        self.caches.engine.stats.count("connection", "closed")
        attempts, connection.open = list(connection.open.values()), {}
        self.caches.engine.trace.add(self.caches.engine.clock.now(), Step.CONNECTION_LOST, self.name, len(attempts))
        if len(attempts) == 1 and attempts[0] in self.caches.attempts:
            self.caches.cut(self.caches.attempts[attempts[0]].at, connection.heard)
        for attempt in attempts:  # what the server cannot have whole did not run
            pending = self.caches.attempts.get(attempt)
            ran = pending is None or connection.whole(pending.upto)
            self.caches.ended(attempt, AttemptResult(api.Outcome.BROKEN if ran else api.Outcome.UNREACHED))
        self._drain()

    def short(self) -> None:
        """A dial failed for a shortage of this machine: that says nothing of the server. What waits is given back."""
        self.dialling -= 1
        while len(self.waiting) > self.dialling:
            self.caches.ended(self.waiting.popleft(), AttemptResult(api.Outcome.SHORTAGE))
        self._drain()

    def dialled(self, up: bool) -> None:
        """A dial ended. Where it failed, what waits beyond the dials still out has no way to the server."""
        self.dialling -= 1
        self.missed = not up
        self.down = not up and not any(connection.usable for connection in self.connections)
        no_way = not up and not any(connection.usable for connection in self.connections)
        while no_way and len(self.waiting) > self.dialling:
            self.caches.ended(self.waiting.popleft(), AttemptResult(api.Outcome.UNREACHED))
        self._drain()

    def retire(self) -> None:
        """The server drains or is gone: what waits must not be written to it any more."""
        self.ready = False
        self._give_back()
        self.close_idle(self.caches.engine.clock.now() + 1)

    def _give_back(self) -> None:
        while self.waiting:
            self.caches.ended(self.waiting.popleft(), AttemptResult(api.Outcome.UNSENT))

    def close_idle(self, before: int) -> None:
        for connection in [w for w in self.connections if not w.open and w.idle_since < before]:
            connection.close()


class CacheServers:
    """The core's `CacheTransport` port on sockets."""

    def __init__(self, engine: Engine, limits: Limits, log: Callable[[str], None]) -> None:
        self.engine, self.log = engine, log
        self.loop_lag: Callable[[], int] = lambda: 0  # microseconds for which the loop was held up before this turn
        self.set_limits(limits)
        self.servers: dict[int, Pool] = {}  # of the list: who has gone is forgotten, its pool ends by itself
        self.attempts: dict[int, PendingAttempt] = {}
        self._ip_versions: set[int] | None = None  # what `ip_versions` tells; every DNS query asks
        self.connection_count = 0  # connections to servers and dials, those of retired pools too
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut: tuple[int, int] | None = None  # the shortest idle time after which one was cut, and when
        self._tidy()

    def set_limits(self, limits: Limits) -> None:
        """What the site and the machine allow from now on."""
        self.limits, self.streams = limits, limits.streams
        self.idle_time = max(int(limits.idle * IDLE_LEAST), limits.idle - IDLE_MARGIN)

    def _tidy(self) -> None:
        """Close what has been idle for long before the peer does: a request that crosses its close is lost."""
        now = self.engine.clock.now()
        for pool in self.servers.values():
            pool.close_idle(now - self.idle_time)
        self.engine.deadlines.add(now + 1_000_000, self._tidy)

    def cut(self, sent: int, heard: int) -> None:
        """A connection with one attempt on it ended: an idle one that was cut as the attempt was written, where it had
        said nothing for longer than a way there and back, and ended within one."""
        now, idle = self.engine.clock.now(), sent - heard
        if now - sent < CUT_AT_ONCE < idle:
            self.engine.stats.count("connection", "cut_idle")
            known = self._cut is not None and now - self._cut[1] < CUT_MEMORY
            self._cut = min(idle, self._cut[0]) if known else idle, now

    @property
    def fresh_for(self) -> float:
        """Microseconds after which a silent connection may be cut: half of the shortest that was, while that is
        remembered. A peer's idle time and a box between that forgets connections show in the same way."""
        if self._cut is None or self.engine.clock.now() - self._cut[1] >= CUT_MEMORY:
            return math.inf
        return self._cut[0] / 2

    @property
    def pool_most(self) -> int:
        """Connections to one server at most: the descriptors that clients leave, shared out evenly."""
        return max(2, min(POOL, self.limits.descriptors // (len(self.servers) + 2)))

    # --- the port

    def send(self, attempt: int, order: AttemptSpec) -> None:
        server = self.servers.get(order.server)
        source = self.servers.get(order.source)
        if server is None or source is None or not server.ready:
            self.engine.attempt_ended(attempt, AttemptResult(api.Outcome.UNSENT))
            return
        pending = self.attempts[attempt] = PendingAttempt(order.server, order)
        server.send(attempt)
        if order.start_by and pending.connection is None and attempt in self.attempts:
            pending.due = self.engine.deadlines.add(
                order.start_by, lambda: self.ended(attempt, AttemptResult(api.Outcome.UNSENT))
            )

    def overdue(self, pending: PendingAttempt) -> api.Outcome | None:
        """How one that still waits ends, if it must not begin any more; None: it may."""
        now, order = self.engine.clock.now(), pending.order
        if 0 < order.start_by <= now:
            return api.Outcome.UNSENT
        return api.Outcome.UNREACHED if 0 < order.deadline <= now else None

    def _leave(self, attempt: int) -> PendingAttempt | None:
        """The one way out of the table: what it held is given back once."""
        pending = self.attempts.pop(attempt, None)
        if pending is not None:
            self.engine.deadlines.cancel(pending.due)
        return pending

    def cancel(self, attempt: int) -> bool:
        pending = self._leave(attempt)
        if pending is None or pending.connection is None:
            return False
        connection, id = pending.connection, pending.order.request.request_id
        ran = connection.whole(pending.upto)
        if connection.open.pop(id, None) is None or connection.transport is None:
            return ran
        if connection.heard < pending.at and self.engine.clock.now() - pending.at >= LEAST_WAIT:
            connection.doubt(pending.at)
        if connection.suspect:  # what else is out here may wait; an idle connection knows no better
            connection.pool.close_idle(self.engine.clock.now() + 1)
        if connection.stalled() or connection.suspect and not connection.open:
            # A stalled one is of no use to the others on it either: they may be asked again elsewhere.
            connection.abort()
            return ran
        connection.used.add(id)
        if connection.answering(id):
            head, now = connection.head, self.engine.clock.now()
            self.engine.deadlines.add(now + STALL, lambda: connection.cut_short(head))
        else:
            connection.write(write_cancel(id))
        connection.pool.done(connection)
        return ran

    def list_changed(self, entries: list[api.Entry]) -> None:
        self._ip_versions = None
        for entry in entries:
            pool = self.servers.get(entry.server)
            if pool is None:
                continue
            if entry.state is api.State.READY:
                if not pool.ready:  # back from a drain that only this side knew of: its address stands
                    self.servers[entry.server] = Pool(self, pool.name, pool.host, pool.port)
                continue
            pool.retire()
            for attempt, pending in list(self.attempts.items()):
                if pending.connection is None and pending.order.source == entry.server:
                    self.ended(attempt, AttemptResult(api.Outcome.UNSENT))
            if entry.state is api.State.GONE:
                del self.servers[entry.server]

    def purge_received(self, object: str | None, group: int | None) -> None:
        """What still waits for a connection was decided on before the purge, and says nothing of its age."""
        for attempt, pending in list(self.attempts.items()):
            ask = pending.order.request
            touched = object == ask.object if object is not None else group is None or ask.group == group
            if pending.connection is None and touched:
                self.ended(attempt, AttemptResult(api.Outcome.UNSENT))

    # --- what the list tells of addresses

    def server_ready(self, number: int, name: str, host: str, port: int) -> None:
        """A server that is ready, at this address; a new address or a return from draining means a new pool."""
        self._ip_versions = None
        old = self.servers.get(number)
        if old is not None and (old.host, old.port) == (host, port) and old.ready:
            return
        self.servers[number] = Pool(self, name, host, port)  # first: what waited may be decided on for it again
        if old is not None:
            old.retire()

    def address_of(self, number: int) -> tuple[str, str, int] | None:
        """The name and address of a server that is ready now."""
        pool = self.servers.get(number)
        return (pool.name, pool.host, pool.port) if pool is not None and pool.ready else None

    def reachability(self) -> tuple[list[str], list[str]]:
        """Of the servers that were dialled: those that are up, and those that the last dial did not reach."""
        up = [pool.name for pool in self.servers.values() if pool.connections and not pool.down]
        return up, [pool.name for pool in self.servers.values() if pool.down]

    def ip_versions(self) -> set[int]:
        """The IP versions that ready servers' addresses have."""
        if self._ip_versions is None:
            self._ip_versions = {6 if ":" in pool.host else 4 for pool in self.servers.values() if pool.ready}
        return self._ip_versions

    # --- what the pools call

    def ended(self, attempt: int, end: AttemptResult) -> None:
        if self._leave(attempt) is not None:
            self.engine.attempt_ended(attempt, end)

    def dial(self, pool: Pool) -> None:
        pool.dialling += 1
        self.connection_count += 1
        task = asyncio.get_running_loop().create_task(self._dial(pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, pool: Pool) -> None:
        loop = asyncio.get_running_loop()
        connection = UpstreamConnection(pool)
        try:
            async with asyncio.timeout(self.limits.connect_timeout / 1e6):
                await loop.create_connection(lambda: connection, pool.host, pool.port)
        except OSError as error:  # a time-out is one too
            self.engine.stats.count("connection", "failed")
            self.log(f"{pool.name}: no connection: {error!r}")
            if not connection.counted:
                self.connection_count -= 1
            if is_own_shortage(error):
                pool.short()
            else:
                pool.dialled(up=False)
            return
        if connection.transport is not None and connection.transport.get_extra_info("peername") is None:
            # asyncio takes EAGAIN of connect(2), no free port, for a connection that is under way.
            self.engine.stats.count("connection", "failed")
            connection.abort()
            pool.short()
            return
        pool.dialled(up=True)
