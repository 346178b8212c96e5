"""The client side of the cache servers' protocol: a connection pool per server, and the attempts sent on them."""

from __future__ import annotations

import asyncio
import errno
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from threadhill.core.engine import Engine
from threadhill.core.ports import AttemptResult, AttemptSpec
from threadhill.core.trace import Step
from threadhill.decision import interface as api
from threadhill.decision.state import put_bounded
from threadhill.net.connection_budget import ConnectionBudget
from threadhill.net.shortage import is_own_shortage
from threadhill.net.stream import Stream
from threadhill.net.upstream_codec import (
    MAX_BODY,
    MAX_LINE,
    NOTES,
    OUTCOMES,
    AnswerLine,
    read_answer,
    read_born,
    read_report,
    read_waited,
    write_cancel,
    write_request,
)

MAX_OUTBOUND = 256 << 10  # limit of unsent bytes per connection
CONNECTION_BYTES = 128 << 10  # bytes of buffers estimated per connection: most answers are far smaller than the limit
MIN_SERVER_CONNECTIONS = 16  # lower bound of the limits on connections to all servers together
MIN_IDLE_SHARE = 0.7  # share of the peer's idle timeout for which a connection is always kept
IDLE_MARGIN = 2_500_000  # microseconds before the peer's close: checks run once a second, links delay up to 1.5 s
MAX_CANCELLED = 64  # cancelled ids on a connection after which it is closed once idle
MAX_ANSWERED = 256  # answered ids remembered per connection, to cover the time span of one request's attempts
MAX_POOL = 4  # limit of connections per server: answers on a shared one hardly delay each other
SHARING_COST = 0.01  # cost of sharing a connection with one other attempt, in requests: almost none
VANISHED_SHARE = 0.04  # assumed share of silent timeouts that are caused by a vanished machine or connection
RESET_ROUND_TRIP = 30_000  # microseconds within which a reset is a response to what was just written: one round trip
NEW_CONNECTION_TIME = 1_000_000  # microseconds for which an unused connection counts as newly dialled
IDLE_CUT_MEMORY = 60_000_000  # microseconds for which a cut of an idle connection is remembered
MIN_SILENCE = 100_000  # microseconds: an attempt cancelled sooner says nothing about its connection
SHORTAGE_RELEASE = 16  # idle connections closed at once when the process has no descriptor left
STALL_TIMEOUT = 500_000  # microseconds without progress in the middle of an answer after which the rest is given up


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits from the configuration and the machine's resources; times in microseconds."""

    descriptors: int = 640  # connections to all servers together
    buffered: int = 640  # connections whose answers fit into memory at the same time
    streams: int = 32
    idle: int = 30_000_000
    connect_timeout: int = 400_000
    handshake: float = 0.0  # cost of a new connection, in requests


@dataclass(slots=True)
class PendingAttempt:
    """An attempt that waits for a connection or has been sent on one."""

    server: int
    spec: AttemptSpec
    connection: UpstreamConnection | None = None
    sent_at: int = 0  # local microseconds
    end_offset: int = 0  # bytes written on the connection up to its end
    deadline: tuple[int, int] | None = None  # of a waiting attempt, after which it must not be sent any more


class UpstreamConnection(Stream):
    """One connection to a cache server, parent or the origin."""

    write_high_water = 0  # a transport that is not paused has passed everything to the kernel

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool.caches.engine, MAX_BODY + MAX_LINE, MAX_OUTBOUND)
        self.pool = pool
        self.open: dict[str, int] = {}  # request id -> attempt
        self.cancelled_ids: set[str] = set()  # ids cancelled here: late answers must not pass for a new attempt's
        self.answered_ids: dict[str, None] = {}  # ids answered here recently: the answer may be duplicated
        self.suspect = False  # so many attempts timed out in silence that nothing more is sent here
        self.silent_timeouts = 0  # consecutive attempts timed out without any input since they were sent
        self.last_silent_timeout = 0  # when the last of them timed out
        self.last_received = self.idle_since = pool.caches.engine.clock.now()
        self.answer_line: AnswerLine | None = None  # the line of the answer whose body is being received
        self._line_began = 0  # when an incomplete line began to arrive; 0: none
        self._unrequested = 0  # consecutive answers without a request
        self.counted = False  # connection_made was called, so its end is counted in Pool.lost

    def opened(self) -> None:
        self.pool.opened(self)

    def ended(self) -> None:
        self.pool.lost(self)

    def close(self) -> None:
        self.pool.caches.budget.connection_not_idle(self)
        super().close()

    def abort(self) -> None:
        self.pool.caches.budget.connection_not_idle(self)
        super().abort()

    def fault(self, trace: str) -> None:
        self.pool.caches.engine.stats.count("fault", "server")
        self.pool.caches.log(f"{self.pool.name}: {trace}")

    @property
    def usable(self) -> bool:
        if self.suspect or self._closing or self.transport is None or self.transport.is_closing():
            return False
        return not self.stalled()

    def has_carried(self, id: str) -> bool:
        """Whether an answer with this id may arrive here that belongs to an earlier attempt."""
        return id in self.open or id in self.cancelled_ids or id in self.answered_ids

    def recently_active(self) -> bool:
        """Whether it was active so recently that it is unlikely to be cut as idle (for what must not run twice)."""
        new = not self.answered_ids and not self.cancelled_ids  # nothing has been answered or cancelled on it yet
        return self.pool.caches.engine.clock.now() - self.last_received < max(
            self.pool.caches.safe_idle_time, new * NEW_CONNECTION_TIME
        )

    def stalled(self) -> bool:
        """Whether an answer has stopped in the middle: one with a wrong length consumes those that follow. A line is
        short, so it must be complete within the timeout even if it keeps arriving."""
        since = self._line_began or (self.last_received if self.answer_line is not None else 0)
        return since > 0 and self.pool.caches.engine.clock.now() - since > STALL_TIMEOUT

    def fully_sent(self, end_offset: int) -> bool:
        """Whether all bytes up to this offset may have left this process. On a lost connection, the transport is still
        paused if any of the last data given to it had not been sent."""
        if self.transport is not None:
            return self.bytes_written - self.backlog() >= end_offset
        return not self._paused or self.bytes_written - len(self.outbound) > end_offset

    def abort_unfinished(self, answer_line: object) -> None:
        """Abort if the answer of a cancelled attempt is still arriving: it blocks others, and may never end."""
        if self.answer_line is answer_line and self.transport is not None:
            self._protocol_error("the answer of a cancelled attempt did not end in time")

    def is_answering(self, id: str) -> bool:
        """Whether the answer with this id is being received."""
        return self.answer_line is not None and self.answer_line.id == id

    def note_silent_timeout(self, sent_at: int) -> None:
        """An attempt sent at that time was cancelled without any input since. Either the machine has vanished, which no
        reset will report, or the attempt was slow. Leaving a good connection costs a handshake, keeping a dead one
        costs another attempt: the cost of handshakes determines how many timeouts are tolerated."""
        if sent_at >= self.last_silent_timeout:  # attempts in flight together count once
            self.silent_timeouts, self.last_silent_timeout = (
                self.silent_timeouts + 1,
                self.pool.caches.engine.clock.now(),
            )
        self.suspect = self.suspect or self.silent_timeouts > self.pool.caches.limits.handshake / VANISHED_SHARE

    def parse(self) -> None:
        self.last_received, self.suspect, self.silent_timeouts = self.pool.caches.engine.clock.now(), False, 0
        while not self._closing:
            if self.answer_line is None:
                line = self.inbound.peek(MAX_LINE)
                line_end = line.find(b"\r\n")
                if line_end < 0:
                    if len(line) >= MAX_LINE:
                        self._protocol_error("an answer line is too long")
                    elif line:
                        self._line_began = self._line_began or self.last_received
                    return
                self._line_began = 0
                answer = read_answer(line[:line_end])
                if answer is None:
                    self._protocol_error("invalid answer line")
                    return
                self.inbound.skip(line_end + 2)
                self.answer_line, self.bytes_needed = answer, answer.length + 2
            if len(self.inbound) < self.bytes_needed:
                return
            body = self.inbound.take(self.bytes_needed)
            if body[-2:] != b"\r\n":
                self._protocol_error("the body does not end with CRLF")
                return
            answer, self.answer_line, self.bytes_needed = self.answer_line, None, 1
            self._handle_answer(answer.id, answer.word, answer.fields, body[:-2])

    def _protocol_error(self, why: str) -> None:
        self.pool.caches.engine.stats.count("malformed", "server")
        self.pool.caches.log(f"{self.pool.name}: {why}")
        self.abort()

    def _handle_answer(self, id: str, word: str, fields: dict[str, str], body: bytes) -> None:
        attempt = self.open.get(id)
        if attempt is None:  # cancelled meanwhile, a duplicate, or never requested here
            self.pool.caches.engine.stats.count("unasked", word)
            self._unrequested += 1
            if self._unrequested > MAX_ANSWERED:
                self._protocol_error("too many answers without a request")
            return
        if word == "current" and self.pool.caches.attempts[attempt].spec.request.client_tag != fields.get("ver", ""):
            # The client would wrongly keep its copy.
            self._protocol_error("confirmed as current a version that the request did not name")
            return
        del self.open[id]
        self._unrequested = 0
        put_bounded(self.answered_ids, id, None, MAX_ANSWERED)
        ended = AttemptResult(
            OUTCOMES[word],
            body,
            fields.get("ver", ""),
            word == "current",
            read_report(fields.get("report", "")),
            NOTES.get(fields.get("remark", ""), api.CacheStatus.NONE),
            read_waited(fields.get("waited", "")),
            read_born(fields.get("born", "")),
        )
        self.pool.attempt_done(self)
        self.pool.caches.ended(attempt, ended)


class Pool:
    """The connections to one server at one address, and the attempts waiting for one. A server that returns, or another
    one at the same address, gets a new pool."""

    def __init__(self, caches: CacheServers, name: str, host: str, port: int, started: int = 0) -> None:
        self.caches, self.name, self.host, self.port = caches, name, host, port
        self.started = started  # as reported: a restarted server is another process
        self.connections: list[UpstreamConnection] = []
        self.waiting: deque[int] = deque()
        self.dialling = 0
        self._flush_deferred = False  # waiting attempts are written in the next loop iteration
        self.ready = True
        self.unreachable = False  # the last dial failed, and no usable connection is left
        self.last_dial_failed = False  # whatever other connections are up

    def send(self, attempt: int) -> None:
        self.waiting.append(attempt)
        self.flush()

    def flush(self) -> None:
        """Send waiting attempts in order, as far as connections are available, and dial for the rest. After a delay of
        the event loop this waits for the next iteration: journal events that arrived meanwhile are applied first, and
        return the attempts they affect."""
        if self.waiting and self.caches.loop_lag():
            if not self._flush_deferred:
                self._flush_deferred = True
                asyncio.get_running_loop().call_soon(self._deferred_flush)
            return
        gate = self.caches.engine.recovery_gate
        if gate is not None and self.waiting and not gate.may_send(self.caches.engine.clock.now()):
            self._return_waiting()
            return
        while self.waiting:
            pending = self.caches.attempts.get(self.waiting[0])
            outcome = self.caches.expired_outcome(pending) if pending is not None else None
            if outcome is not None:  # its timer has not run yet
                self.caches.ended(self.waiting.popleft(), AttemptResult(outcome))
                continue
            connection = self._pick(pending.spec) if pending is not None else None
            if pending is not None and connection is None:
                break
            attempt = self.waiting.popleft()
            if connection is not None and not self._write(connection, attempt):
                self.waiting.appendleft(attempt)  # nothing was written: it goes on the next connection
        if self.waiting:
            spec = self.caches.attempts[self.waiting[0]].spec
            while self.ready and self.dialling < len(self.waiting) and self._may_dial(spec):
                self.caches.budget.make_room(self)
                self.caches.dial(self)
            if self.ready and self._has_no_connection(spec):
                self.caches.budget.wait(self)

    def _deferred_flush(self) -> None:
        self._flush_deferred = False
        self.flush()

    def _eligible(self, spec: AttemptSpec) -> list[UpstreamConnection]:
        """Connections that this attempt may use. An attempt that must not run twice avoids those that may be cut while
        it is written, unless no new one can be dialled either."""
        eligible = [connection for connection in self.connections if connection.usable]
        if spec.at_most_once and not self.last_dial_failed and self.caches.budget.available(self):
            return [connection for connection in eligible if connection.recently_active()]
        return eligible

    def _may_dial(self, spec: AttemptSpec) -> bool:
        """Whether to open one more connection for this attempt: only if there is a place for it, or an idle connection
        that can be closed for it. A further one to the same server is also subject to the limits per server and of
        memory, and is not opened if sharing the existing ones costs less."""
        eligible = self._eligible(spec)
        total = len(eligible) + self.dialling
        if not total:
            return self.caches.budget.available(self)
        if self.dialling or any(
            not connection.slow and not connection.has_carried(spec.request.request_id) for connection in eligible
        ):
            shared = sum(len(connection.open) for connection in eligible) + len(self.waiting)
            if shared * SHARING_COST < total * self.caches.limits.handshake:
                return False
        return (
            total < self.caches.max_pool_size and self.caches.may_buffer_more() and self.caches.budget.available(self)
        )

    def _has_no_connection(self, spec: AttemptSpec) -> bool:
        """Whether this attempt has no connection to wait for, and none is being dialled."""
        return not self.dialling and not self._eligible(spec)

    def _pick(self, spec: AttemptSpec) -> UpstreamConnection | None:
        """The idle connection used last; if there is none and no dial is allowed, the one with the fewest attempts."""
        eligible = [connection for connection in self._eligible(spec) if not connection.slow]
        candidates = [connection for connection in eligible if not connection.has_carried(spec.request.request_id)]
        idle = [connection for connection in candidates if not connection.open]
        if idle:
            return max(idle, key=lambda connection: connection.idle_since)
        if self._may_dial(spec):
            replaceable = [connection for connection in self.connections if not connection.open]
            if replaceable and len(self.connections) + self.dialling >= self.caches.max_pool_size:
                # It has been idle too long: close it to make room for a new one.
                min(replaceable, key=lambda connection: connection.idle_since).close()
            return None
        if eligible and not candidates:  # all have carried this id: close the least loaded one if it is idle
            least_loaded = min(eligible, key=lambda connection: len(connection.open))
            if not least_loaded.open:
                least_loaded.close()
            return None
        return min(
            (connection for connection in candidates if len(connection.open) < self.caches.streams),
            key=lambda connection: len(connection.open),
            default=None,
        )

    def _write(self, connection: UpstreamConnection, attempt: int) -> bool:
        """Send the attempt. False if nothing was written, as the server is not reading or the connection was reset:
        that is no failure of the server, and the attempt did not run."""
        pending = self.caches.attempts[attempt]
        body = pending.spec.request.body
        if not connection.writable():  # the server is not reading: the attempt would begin too late
            connection.suspect = True
            return False
        spec = pending.spec
        source = self.caches.servers[spec.source].name if spec.source != spec.server else None
        if not connection.write(write_request(spec, source, self.caches.engine.clock.now()), body, b"\r\n"):
            connection.suspect = True
            return False
        pending.connection, pending.sent_at, pending.end_offset = (
            connection,
            self.caches.engine.clock.now(),
            connection.bytes_written,
        )
        self.caches.engine.deadlines.cancel(pending.deadline)
        connection.open[pending.spec.request.request_id] = attempt
        self.caches.budget.connection_not_idle(connection)
        self.caches.engine.stats.count("relayed", pending.spec.request.class_name)
        self.caches.engine.stats.count("bytes_out", "servers", len(body))
        return True

    def opened(self, connection: UpstreamConnection) -> None:
        self.connections.append(connection)
        connection.counted = True
        self.caches.engine.stats.count("connection", "opened")
        connection.last_received = connection.idle_since = self.caches.engine.clock.now()
        if not self.ready:  # the server has started draining or gone since it was dialled
            connection.close()
        else:
            self.caches.budget.connection_idle(connection)

    def attempt_done(self, connection: UpstreamConnection) -> None:
        """An attempt on this connection ended: send the next waiting one."""
        connection.idle_since = self.caches.engine.clock.now()
        self.flush()
        if connection.open or connection.closing_since:
            return
        if not self.ready or len(connection.cancelled_ids) > MAX_CANCELLED:
            connection.close()
        else:
            self.caches.budget.connection_idle(connection)

    def lost(self, connection: UpstreamConnection) -> None:
        self.caches.budget.connection_not_idle(connection)
        counted = connection in self.connections
        if counted:
            self.connections.remove(connection)
        self.caches.engine.stats.count("connection", "closed")
        attempts, connection.open = list(connection.open.values()), {}
        self.caches.engine.trace.add(self.caches.engine.clock.now(), Step.CONNECTION_LOST, self.name, len(attempts))
        if len(attempts) == 1 and attempts[0] in self.caches.attempts:
            self.caches.note_cut(self.caches.attempts[attempts[0]].sent_at, connection.last_received)
        for attempt in attempts:  # an attempt that was not fully sent cannot have run
            pending = self.caches.attempts.get(attempt)
            may_have_run = pending is None or connection.fully_sent(pending.end_offset)
            self.caches.ended(attempt, AttemptResult(api.Outcome.BROKEN if may_have_run else api.Outcome.UNREACHED))
        if counted:
            self.caches.budget.place_freed()
        self.flush()

    def dial_again(self) -> None:
        """A dial failed for lack of a descriptor, and descriptors are being freed."""
        self.dialling -= 1
        self.flush()

    def dial_shortage(self) -> None:
        """A dial failed for lack of local resources, which says nothing about the server. Return waiting attempts."""
        self.dialling -= 1
        while len(self.waiting) > self.dialling:
            self.caches.ended(self.waiting.popleft(), AttemptResult(api.Outcome.SHORTAGE))
        self.flush()

    def dialled(self, up: bool) -> None:
        """A dial ended. If it failed and no connection is usable, waiting attempts beyond the pending dials fail."""
        self.dialling -= 1
        self.last_dial_failed = not up
        self.unreachable = not up and not any(connection.usable for connection in self.connections)
        no_connection = not up and not any(connection.usable for connection in self.connections)
        while no_connection and len(self.waiting) > self.dialling:
            self.caches.ended(self.waiting.popleft(), AttemptResult(api.Outcome.UNREACHED))
        self.flush()

    def retire(self) -> None:
        """The server is draining or gone: nothing more may be sent to it."""
        self.ready = False
        self._return_waiting()
        self.close_idle(self.caches.engine.clock.now() + 1)

    def _return_waiting(self) -> None:
        while self.waiting:
            self.caches.ended(self.waiting.popleft(), AttemptResult(api.Outcome.UNSENT))

    def close_idle(self, before: int) -> None:
        for connection in [
            connection for connection in self.connections if not connection.open and connection.idle_since < before
        ]:
            connection.close()


class CacheServers:
    """Implements the core's `CacheTransport` port on TCP connections."""

    def __init__(self, engine: Engine, limits: Limits, log: Callable[[str], None]) -> None:
        self.engine, self.log = engine, log
        self.loop_lag: Callable[[], int] = lambda: 0  # microseconds of event loop delay before this iteration
        self.budget = ConnectionBudget(limits.descriptors)
        self.set_limits(limits)
        self.servers: dict[int, Pool] = {}  # servers of the list; the pool of a removed one closes by itself
        self.attempts: dict[int, PendingAttempt] = {}
        self._ip_versions: set[int] | None = None  # cache of `ip_versions`, which every DNS query reads
        self._tasks: set[asyncio.Task[None]] = set()
        self._idle_cut: tuple[int, int] | None = None  # shortest idle time after which a connection was cut, and when
        self._close_idle_connections()

    def set_limits(self, limits: Limits) -> None:
        """Apply new limits."""
        self.limits, self.streams = limits, limits.streams
        self.budget.set_limit(limits.descriptors)
        self.idle_time = max(int(limits.idle * MIN_IDLE_SHARE), limits.idle - IDLE_MARGIN)

    def _close_idle_connections(self) -> None:
        """Close connections before the peer's idle timeout: a request that crosses the peer's close is lost."""
        now = self.engine.clock.now()
        self.budget.close_idle_since(now - self.idle_time)
        self.engine.deadlines.add(now + 1_000_000, self._close_idle_connections)

    def note_cut(self, sent_at: int, last_received: int) -> None:
        """A connection with one attempt on it was lost. It counts as an idle connection that was cut if it had been
        silent for longer than a round trip before the attempt, and ended within one after it."""
        now, idle = self.engine.clock.now(), sent_at - last_received
        if now - sent_at < RESET_ROUND_TRIP < idle:
            self.engine.stats.count("connection", "cut_idle")
            remembered = self._idle_cut is not None and now - self._idle_cut[1] < IDLE_CUT_MEMORY
            self._idle_cut = min(idle, self._idle_cut[0]) if remembered else idle, now

    @property
    def safe_idle_time(self) -> float:
        """Microseconds of silence after which a connection may be cut: half of the shortest remembered idle time of one
        that was. The cause may be the peer's idle timeout, or a middlebox that drops connection state."""
        if self._idle_cut is None or self.engine.clock.now() - self._idle_cut[1] >= IDLE_CUT_MEMORY:
            return math.inf
        return self._idle_cut[0] / 2

    @property
    def max_pool_size(self) -> int:
        """Limit of connections per server: what all may have, shared evenly among servers."""
        limit = min(self.limits.descriptors, self.limits.buffered)
        return max(2, min(MAX_POOL, limit // (len(self.servers) + 2)))

    def may_buffer_more(self) -> bool:
        """Whether the answers of one more connection fit into memory."""
        return self.budget.count < self.limits.buffered

    def relieve_shortage(self, error: OSError) -> bool:
        """Close some idle connections if this process has no descriptor left; returns whether any was closed."""
        return error.errno == errno.EMFILE and self.budget.release(SHORTAGE_RELEASE) > 0

    # --- the port

    def send(self, attempt: int, spec: AttemptSpec) -> None:
        server = self.servers.get(spec.server)
        source = self.servers.get(spec.source)
        if server is None or source is None or not server.ready:
            self.engine.attempt_ended(attempt, AttemptResult(api.Outcome.UNSENT))
            return
        pending = self.attempts[attempt] = PendingAttempt(spec.server, spec)
        server.send(attempt)
        if spec.start_by and pending.connection is None and attempt in self.attempts:
            pending.deadline = self.engine.deadlines.add(
                spec.start_by, lambda: self.ended(attempt, AttemptResult(api.Outcome.UNSENT))
            )

    def expired_outcome(self, pending: PendingAttempt) -> api.Outcome | None:
        """The outcome of a waiting attempt that must not be sent any more; None if it still may be."""
        now, spec = self.engine.clock.now(), pending.spec
        if 0 < spec.start_by <= now:
            return api.Outcome.UNSENT
        return api.Outcome.UNREACHED if 0 < spec.deadline <= now else None

    def _remove(self, attempt: int) -> PendingAttempt | None:
        """Remove an attempt from the table and drop its deadline. The only place that does, so each ends once."""
        pending = self.attempts.pop(attempt, None)
        if pending is not None:
            self.engine.deadlines.cancel(pending.deadline)
        return pending

    def cancel(self, attempt: int) -> bool:
        pending = self._remove(attempt)
        if pending is None or pending.connection is None:
            return False
        connection, id = pending.connection, pending.spec.request.request_id
        may_have_run = connection.fully_sent(pending.end_offset)
        if connection.open.pop(id, None) is None or connection.transport is None:
            return may_have_run
        if connection.last_received < pending.sent_at and self.engine.clock.now() - pending.sent_at >= MIN_SILENCE:
            connection.note_silent_timeout(pending.sent_at)
        if connection.suspect:  # other attempts on it may continue; idle connections are no more trustworthy
            connection.pool.close_idle(self.engine.clock.now() + 1)
        if connection.stalled() or connection.suspect and not connection.open:
            # A stalled connection is useless to other attempts on it too: they may be retried elsewhere.
            connection.abort()
            return may_have_run
        connection.cancelled_ids.add(id)
        if connection.is_answering(id):
            answer_line, now = connection.answer_line, self.engine.clock.now()
            self.engine.deadlines.add(now + STALL_TIMEOUT, lambda: connection.abort_unfinished(answer_line))
        else:
            connection.write(write_cancel(id))
        connection.pool.attempt_done(connection)
        return may_have_run

    def list_changed(self, entries: list[api.Entry]) -> None:
        self._ip_versions = None
        for entry in entries:
            pool = self.servers.get(entry.server)
            if pool is None:
                continue
            if entry.state is api.State.READY:
                if not pool.ready:  # returned from a drain known only to this side: same address
                    self.servers[entry.server] = Pool(self, pool.name, pool.host, pool.port)
                continue
            pool.retire()
            for attempt, pending in list(self.attempts.items()):
                if pending.connection is None and pending.spec.source == entry.server:
                    self.ended(attempt, AttemptResult(api.Outcome.UNSENT))
            if entry.state is api.State.GONE:
                del self.servers[entry.server]

    def purge_received(self, object: str | None, group: int | None) -> None:
        """Return waiting attempts for purged objects: they were decided before the purge, without its limit on age."""
        for attempt, pending in list(self.attempts.items()):
            request = pending.spec.request
            affected = object == request.object if object is not None else group is None or request.group == group
            if pending.connection is None and affected:
                self.ended(attempt, AttemptResult(api.Outcome.UNSENT))

    # --- addresses from the server list

    def server_ready(self, number: int, name: str, host: str, port: int, started: int = 0) -> None:
        """A server is ready at this address, reported as started then. A new address, another start (the connections
        lead to a process that has gone), or a return from draining means a new pool."""
        self._ip_versions = None
        old = self.servers.get(number)
        if old is not None and (old.host, old.port, old.started) == (host, port, started) and old.ready:
            return
        # Before the old one is retired: attempts that it returns may be sent to this server again.
        self.servers[number] = Pool(self, name, host, port, started)
        if old is not None:
            old.retire()

    def address_of(self, number: int) -> tuple[str, str, int] | None:
        """The name, host and port of a server, if it is ready."""
        pool = self.servers.get(number)
        return (pool.name, pool.host, pool.port) if pool is not None and pool.ready else None

    def reachability(self) -> tuple[list[str], list[str]]:
        """The names of the servers that are connected, and of those that the last dial did not reach."""
        up = [pool.name for pool in self.servers.values() if pool.connections and not pool.unreachable]
        return up, [pool.name for pool in self.servers.values() if pool.unreachable]

    def ip_versions(self) -> set[int]:
        """The IP versions of ready servers' addresses."""
        if self._ip_versions is None:
            self._ip_versions = {6 if ":" in pool.host else 4 for pool in self.servers.values() if pool.ready}
        return self._ip_versions

    # --- called by the pools

    def ended(self, attempt: int, result: AttemptResult) -> None:
        if self._remove(attempt) is not None:
            self.engine.attempt_ended(attempt, result)

    def dial(self, pool: Pool) -> None:
        pool.dialling += 1
        self.budget.dial_started()
        task = asyncio.get_running_loop().create_task(self._dial(pool))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, pool: Pool) -> None:
        loop = asyncio.get_running_loop()
        connection = UpstreamConnection(pool)
        try:
            async with asyncio.timeout(self.limits.connect_timeout / 1e6):
                await loop.create_connection(lambda: connection, pool.host, pool.port)
        except OSError as error:  # TimeoutError is a subclass
            self.engine.stats.count("connection", "failed")
            self.log(f"{pool.name}: no connection: {error!r}")
            if not connection.counted:
                self.budget.place_freed()
            if self.relieve_shortage(error):
                pool.dial_again()
            elif is_own_shortage(error):
                pool.dial_shortage()
            else:
                pool.dialled(up=False)
            return
        if connection.transport is not None and connection.transport.get_extra_info("peername") is None:
            # connect(2) fails with EAGAIN if no local port is free; asyncio takes that for a connection in progress.
            self.engine.stats.count("connection", "failed")
            connection.abort()
            pool.dial_shortage()
            return
        pool.dialled(up=True)
