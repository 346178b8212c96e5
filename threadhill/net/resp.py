"""The platform's front: RESP arrays of bulk strings, many requests a connection, answers in any order."""

from __future__ import annotations

import re
from collections.abc import Callable

from threadhill.core.engine import Engine
from threadhill.core.ports import Answer, ClientRequest, FinalStatus
from threadhill.decision import interface as api
from threadhill.net.arrival import waited_in_queue
from threadhill.net.door import AcceptedConnection, Listener
from threadhill.net.stream import Stream

LINE = 32  # bytes of a length line at most
WORDS = 5  # of a message: verb, tag, class, fields, body
MESSAGE = 512  # bytes that a message without a body has at most, as a rule
WORD = 1_024  # bytes of a word at most; of the last one BODY
BODY = 48_000
OPEN = 32  # requests that one connection may have open
TURN = 16  # messages of one connection taken in a turn: others are heard in between
FAULT_PAUSE = 25_000  # microseconds for which nothing is read from who sent what cannot be used
FAULT_DOUBLED = 4  # times that this is doubled for who goes on
BACKLOG = 256 << 10  # bytes waiting for a client from which on nothing more is read from it
COME_BACK = 500_000  # microseconds that one refused by the front itself is asked to stay away, where the site lets it
BUDGET = 3_600_000  # milliseconds that a client may wait at most
SHARDS = 256
QUIET_LOOK = 50_000  # microseconds between looks for connections to close while this proxy drains
QUIET_NEW = 300_000  # microseconds that a connection that said nothing yet has for its first request then
QUIET_REFUSE = 1_500_000  # microseconds of a drain after which what comes on a connection that stays is sent away
HELD = 16 << 10  # bytes of a connection that are read while nothing is taken off it
AT_ONCE = 50_000  # microseconds after a connection was taken in which what is read had come before that
NEWS_FIRST = 200_000  # microseconds for which requests wait for news that was read before them
HEX = re.compile(r"[0-9a-f]{16}")
WHOLE = re.compile(r"[0-9]{1,10}")
SIZE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# What goes on into cache servers' lines: a space, comma, `=` or line end there would break a line that others share.
PLAIN = re.compile(r"[!-+\--<>-~]{1,128}")
FINALS = {FinalStatus.SERVED: b"200", FinalStatus.REFUSED: b"503", FinalStatus.FAILED: b"500"}


class Malformed(Exception):
    """Bytes that are not this protocol's."""


def bulk(*words: bytes) -> bytes:
    """A RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def read_fields(raw: bytes) -> dict[str, str]:
    """`name=value,name=value`; empty or `-` where there are none."""
    text = raw.decode("utf-8")
    if text in ("", "-"):
        return {}
    pairs = [item.partition("=") for item in text.split(",")]
    fields = {name: value for name, equals, value in pairs if equals and name}
    if len(fields) < len(pairs):
        raise ValueError("a field is not name=value, or stands twice")
    return fields


def _field(fields: dict[str, str], name: str, form: re.Pattern[str], absent: str | None = None) -> str | None:
    """A field of this form, whole; ValueError where it has another one or is missing and has no default."""
    value = fields.get(name)
    if value is None and (absent is not None or name in OPTIONAL):
        return absent
    if value is None or not form.fullmatch(value):
        raise ValueError(f"{name} cannot be used")
    return value


OPTIONAL = ("shard", "token", "mine", "acct")


def read_ask(cls: api.RequestClass, raw: bytes, body: bytes) -> ClientRequest:
    """A request from its fields; ValueError where one cannot be used. Nothing is passed on unchecked."""
    fields = read_fields(raw)
    rid, obj = _field(fields, "rid", HEX), _field(fields, "obj", HEX)
    budget, part = int(_field(fields, "budget", WHOLE)), int(_field(fields, "n", WHOLE, "0"))
    shard = _field(fields, "shard", WHOLE)
    if budget > BUDGET or part >= 1 << 31 or shard is not None and int(shard) >= SHARDS:
        raise ValueError("a number is out of range")
    if fields.get("again", "0") not in ("0", "1"):
        raise ValueError("again cannot be used")
    token = _field(fields, "token", PLAIN)
    if cls.retry_safety is api.RetrySafety.KEYED and token is None:
        raise ValueError("a keyed class needs its token")
    if body and not cls.write:
        raise ValueError("only writes bring a body")
    return ClientRequest(
        rid,
        cls.name,
        obj,
        budget * 1_000,
        part,
        int(shard) if shard else None,
        float(_field(fields, "mem", SIZE, "0")),
        fields.get("again") == "1",
        _field(fields, "acct", PLAIN),
        token,
        _field(fields, "mine", PLAIN),
        body,
    )


def _length(data: bytes, at: int, mark: int) -> tuple[int, int] | None:
    """The number on the line there and where the next one begins; None while it is not whole."""
    end = data.find(b"\r\n", at, at + LINE)
    if end < 0 and len(data) - at < LINE and (len(data) == at or data[at] == mark):
        return None
    digits = data[at + 1 : end]
    if end < 0 or data[at] != mark or not digits.isdigit():
        raise Malformed(f"Protocol error: expected '{chr(mark)}' and a length")
    return int(digits), end + 2


def read_message(data: bytes, begin: int = 0) -> tuple[list[bytes] | None, int]:
    """The words of the message that begins there, and where it ends; None and how much is needed while it is not
    whole."""
    line = _length(data, begin, 42)
    if line is None:
        return None, 1
    count, at = line
    if not 1 <= count <= WORDS:
        raise Malformed("Protocol error: invalid multibulk length")
    words: list[bytes] = []
    while len(words) < count:
        line = _length(data, at, 36)
        if line is None:
            return None, 1
        size, at = line
        if size > (BODY if len(words) == WORDS - 1 else WORD):
            raise Malformed("Protocol error: invalid bulk length")
        end = at + size
        if len(data) < end + 2:
            return None, end + 2
        if data[end : end + 2] != b"\r\n":
            raise Malformed("Protocol error: a bulk string does not end where it should")
        words.append(data[at:end])
        at = end + 2
    return words, at


class RespFront:
    """What the connections of this front share."""

    def __init__(
        self,
        engine: Engine,
        classes: dict[str, api.RequestClass],
        most: int,
        max_total_outbound: int,
        soon: Callable[[Callable[[], None]], object],
        log: Callable[[str], None],
    ) -> None:
        self.engine, self.classes, self.soon, self.log = engine, classes, soon, log
        told = engine.router.set
        self.come_back = min(COME_BACK, told.max_retry_after) if told.retry_after_allowed else 0
        self.listener = Listener(engine, "client", most, lambda listener: ClientConnection(self, listener), log)
        self.max_total_outbound = max_total_outbound  # bytes that may wait for all clients together
        self.ready = False
        self.loop_lag: Callable[[], int] = lambda: 0  # microseconds for which what is read now may have waited
        self.updates_pending: Callable[[], bool] = lambda: False  # whether news was read and not applied yet
        self.refusing = False  # nothing new is taken any more
        self.rids: set[str] = set()  # ids of the open requests
        self.drain_spread = 0  # microseconds over which clients are let go of when this proxy leaves; 0: all at once
        self._clients = 0  # connections so far
        self.quiet = 0  # since when clients are sent away, or 0
        self._quiet_turn = 0  # which drain the looks belong to: one that was ended and begun again has its own

    def open(self) -> int:
        return len(self.rids)

    def quiesce(self) -> None:
        """Send clients away: the front is told that this proxy does not serve, and connections are closed as soon
        as nothing is owed on them. What is asked meanwhile is served, at first."""
        self.ready = False
        if not self.quiet:
            self.quiet = self.engine.clock.now()
            self._quiet_turn += 1
            self._quiet_look(self._quiet_turn)

    def resume(self) -> None:
        self.quiet = 0
        self.ready = True

    def sends_away(self, now: int) -> bool:
        """Whether what comes on a connection that stays is refused: late in a drain, so that all are gone in time."""
        return bool(self.quiet) and now - self.quiet >= QUIET_REFUSE

    def _quiet_look(self, turn: int) -> None:
        if not self.quiet or turn != self._quiet_turn:
            return
        now = self.engine.clock.now()
        self.close_connections(now)
        self.engine.deadlines.add(now + QUIET_LOOK, lambda: self._quiet_look(turn))

    def close_connections(self, now: int, including_busy: bool = False) -> None:
        """Close each connection on which nothing is owed and nothing under way, where a drain is spread in its turn;
        or all there are, whatever still comes on them."""
        for connection in list(self.listener.connections):
            if (
                including_busy
                or connection.may_close(now)
                and (not self.quiet or now - self.quiet >= connection.turn_to_go)
            ):
                connection.close()

    def backlog(self) -> int:
        return sum(client.backlog() for client in self.listener.connections)


class ClientConnection(AcceptedConnection):
    """One client's connection."""

    name = "resp"

    def __init__(self, front: RespFront, listener: Listener) -> None:
        super().__init__(listener, BODY + WORDS * (WORD + LINE), front.max_total_outbound)
        self.front = front
        front._clients += 1
        self.label = f"c{front._clients}"
        # When it is let go of in a leave that is spread, from its beginning: by its number, so that they go evenly.
        self.turn_to_go = front._clients * 7_919 % 1_000 * front.drain_spread // 1_000
        self.open: dict[int, tuple[int, str]] = {}  # tag -> the core's handle, -1 until it is known, and the id
        self._reading = True
        self._held = False  # messages are taken again in another turn
        self._held_since = 0  # when the first of those that wait may have come; 0: none waits
        self._news_until = 0  # until when those that wait let news come first
        self._looked = 0  # bytes of those that were looked at ahead
        self._withdrawn: set[int] = set()  # tags of requests among them that the client took back since
        self._faulty = 0  # turns on end with messages that could not be used

    def disconnected(self) -> None:
        for tag in list(self.open):
            self._forget(tag)

    def answer_pending(self) -> bool:
        return bool(self.open) or self.backlog() > 0

    def message_incomplete(self) -> bool:
        return not self._held and not self._stuck() and len(self.inbound) > 0

    def may_close(self, now: int) -> bool:
        """Whether it may be closed while the proxy drains: nothing owed, under way or unread, and not one so new that
        its first request may be on the way."""
        if self.answer_pending() or len(self.inbound) or not self.message_count and now - self.accepted_at < QUIET_NEW:
            return False
        return not self.has_unread_input()

    def _forget(self, tag: int) -> None:
        """The client waits no more for this one, if it did."""
        handle, rid = self.open.pop(tag, (-1, ""))
        self.front.rids.discard(rid)
        if handle >= 0:
            self.front.engine.client_gone(handle)

    def buffer_updated(self, count: int) -> None:
        """After a hold-up of the loop requests are taken in the next turn: what discovery told meanwhile comes first,
        and the time that they may have waited is off what they have left."""
        waited = self.front.loop_lag()
        now = self.front.engine.clock.now()
        if waited and not self._held and not self._closing:
            self._hold(0)
            self._held_since, self._news_until = min(self._held_since, now - waited), now + NEWS_FIRST
            self.front.engine.stats.count("loop", "held up")
        if self.queue_delay:  # what stands behind an accept that was late may have come long before it
            if now - self.accepted_at <= AT_ONCE:
                connection = self.transport.get_extra_info("socket")
                self._held_since = min(self._held_since or now, now - waited_in_queue(connection, self.queue_delay))
            self.queue_delay = 0
        super().buffer_updated(count)

    def parse(self) -> None:
        """A turn's share of the messages that have come. The rest waits, so that no flood on one connection holds up
        the others, and longer each time where some could not be used: who sends such at full speed is slowed down.
        Reading goes on meanwhile, as far as there is room: a client may take back what waits, or leave."""
        if self._held:
            self._throttle()
            return
        faults = taken = 0
        try:
            while taken < TURN and len(self.inbound) and not self._stuck() and not self._closing:
                # Most messages are short: the ring is looked at as far as one such reaches, then whole.
                message, size = read_message(self.inbound.peek(MESSAGE))
                if message is None and len(self.inbound) > MESSAGE:
                    message, size = read_message(self.inbound.peek(len(self.inbound)))
                if message is None:
                    self.bytes_needed = size
                    break
                self.inbound.skip(size)
                self._looked = max(0, self._looked - size)
                self.bytes_needed = 1
                taken += 1
                self.message_received()
                faults += not self._take(message)
                self._throttle()
        except Malformed as error:
            self.front.engine.stats.count("malformed", "client")
            self.write(b"-ERR " + str(error).encode() + b"\r\n")
            self.end()  # nothing of a connection that is thrown out need go on
            return
        self._faulty = self._faulty + 1 if faults else 0
        if (faults or taken == TURN) and not self._closing:
            self._hold(FAULT_PAUSE << min(self._faulty - 1, FAULT_DOUBLED) if faults else 0)
        elif not self._stuck():
            self._held_since = 0

    def _stuck(self) -> bool:
        """Whether the client does not read what it is sent, so that nothing more is taken from it."""
        return self._paused and self.backlog() >= BACKLOG

    def _hold(self, wait: int) -> None:
        """Take nothing more for so long; 0: until the other connections had their turn."""
        self._held = True
        if not self._held_since or not len(self.inbound):  # what comes from now on has come now at the earliest
            self._held_since = self.front.engine.clock.now()
        self._throttle()
        if wait:
            self.front.engine.deadlines.add(self.front.engine.clock.now() + wait, self._resume)
        else:
            self.front.soon(self._resume)

    def _resume(self) -> None:
        """Go on with what waits; not from within an answer. Nothing is begun for a client that has left meanwhile, nor
        for a request that it took back: both stand behind what waits."""
        if self.front.engine.clock.now() < self._news_until and self.front.updates_pending():
            self.front.soon(self._resume)
            return
        self._held = False
        if self._closing or self.transport is None:
            return
        if len(self.inbound) and self.hung_up():
            self.end()
            return
        self._look_ahead()
        self._throttle()
        self.process_input()

    def _look_ahead(self) -> None:
        data = self.inbound.peek(len(self.inbound))
        try:
            while self._looked < len(data):
                words, end = read_message(data, self._looked)
                if words is None:
                    return
                self._looked = end
                if len(words) > 1 and words[0].upper() == b"NEVERMIND" and words[1].isdigit():
                    self._withdrawn.add(int(words[1][:18]))
        except Malformed:
            return  # it is answered when its turn comes

    def _take(self, words: list[bytes]) -> bool:
        """One whole message; whether it could be used."""
        verb = words[0].upper()
        if len(words) < 2 or not words[1].isdigit() or len(words[1]) > 18 or not int(words[1]):
            raise Malformed("a message needs a tag, a number from 1 up")
        tag = int(words[1])
        if verb == b"ASK":
            return self._ask(tag, words)
        if verb == b"NEVERMIND":
            self._withdrawn.discard(tag)
            self._forget(tag)
        elif verb == b"STATUS":
            self.write(bulk(b"%d" % tag, b"serving" if self.front.ready else b"not_serving", b"", b""))
        else:
            raise Malformed("unknown command")
        return True

    def _ask(self, tag: int, words: list[bytes]) -> bool:
        if tag in self.open:
            raise Malformed("the tag is in use")
        if tag in self._withdrawn:
            self.front.engine.stats.count("client_gone", "before it was taken")
            return True
        cls = None
        try:
            if len(words) < 4:
                raise ValueError("a request has a class and fields")
            cls = self.front.classes.get(words[2].decode("utf-8"))
            if cls is None:
                raise ValueError("no such class")
            ask = read_ask(cls, words[3], words[4] if len(words) > 4 else b"")
        except ValueError as error:
            self.front.engine.stats.count("malformed", "request")
            if cls is not None:
                self.front.engine.stats.count("front_failed", cls.name)
            self.front.log(f"request not usable: {error!r}")
            self._say(tag, Answer(FinalStatus.FAILED))
            return False
        if ask.request_id in self.front.rids:
            # On a cache server's line the two could not be told apart, and neither could their answers.
            if any(rid == ask.request_id for _, rid in self.open.values()):
                raise Malformed("the id is in use")
            self.front.engine.stats.count("malformed", "id in use")
            self.front.engine.stats.count("front_failed", ask.class_name)
            self._say(tag, Answer(FinalStatus.FAILED))
            return False
        now = self.front.engine.clock.now()
        if self._held_since:  # its time has run since it came
            ask.time_left -= now - self._held_since
        if len(self.open) >= OPEN or self.front.refusing or self.front.sends_away(now) or ask.time_left <= 0:
            self.front.engine.stats.count("front_refused", ask.class_name)
            self._say(tag, Answer(FinalStatus.REFUSED, retry_after=self.front.come_back))
            return len(self.open) < OPEN  # only a client past its own bound is at fault
        ask.client = self.label
        self.open[tag] = -1, ask.request_id
        self.front.rids.add(ask.request_id)
        handle = self.front.engine.submit(self, tag, ask)
        if tag in self.open:  # else it was answered at once
            self.open[tag] = handle, ask.request_id
        return True

    def answer(self, ref: int, answer: Answer) -> None:
        """The final answer of a request."""
        _, rid = self.open.pop(ref, (-1, ""))
        if not rid:
            return
        self.front.rids.discard(rid)
        self._say(ref, answer)
        self._throttle()
        now = self.front.engine.clock.now()
        if self.front.quiet and self.may_close(now) and now - self.front.quiet >= self.turn_to_go:
            self.close()

    def _say(self, ref: int, answer: Answer) -> None:
        """An answer, in one piece: one begun would hold up those of all other tags."""
        fields = b""
        if answer.not_modified:
            fields = b"still=1"
        elif answer.retry_after:
            fields = b"backoff=%d" % (answer.retry_after // 1_000)
        head = b"*4\r\n$%d\r\n%d\r\n$3\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n" % (
            len(str(ref)),
            ref,
            FINALS[answer.status],
            len(fields),
            fields,
            len(answer.body),
        )
        # Clients that do not read must not grow memory: past the bound the one that holds the most is given up.
        while self.slow and self.front.backlog() + len(answer.body) > self.front.max_total_outbound:
            slowest = max(self.listener.connections, key=Stream.backlog)
            slowest.give_up()
            if slowest is self:
                return
        if not self.write(head, answer.body, b"\r\n"):
            self.give_up()
            return
        self.front.engine.stats.count("bytes_out", "clients", len(answer.body))

    def give_up(self) -> None:
        """This client does not read what it is sent."""
        self.front.engine.stats.count("client", "too slow")
        self.outbound.skip(len(self.outbound))
        self.abort()

    def backlog_changed(self) -> None:
        was = self._reading
        self._throttle()
        if self._reading and not was and not self._held:
            self._hold(0)

    def _throttle(self) -> None:
        """Read on only while the client reads what it is sent, and during a pause only so much."""
        reading = not self._stuck() and not (self._held and len(self.inbound) >= HELD)
        if not reading:
            self._held_since = self._held_since or self.front.engine.clock.now()
        if reading == self._reading or self.transport is None or self._closing:
            return
        self._reading = reading
        if reading:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()
