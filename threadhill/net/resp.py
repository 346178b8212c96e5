"""The platform's front: RESP arrays of bulk strings, many requests a connection, answers in any order."""

from __future__ import annotations

from collections.abc import Callable

from threadhill.core.engine import Engine
from threadhill.core.ports import Answer, Ask, Final
from threadhill.net.stream import Stream

LINE = 32  # bytes of a length line at most
WORDS = 5  # of a message: verb, tag, class, fields, body
WORD = 1_024  # bytes of a word at most; of the last one BODY
BODY = 64 << 10
OPEN = 32  # requests that one connection may have open
BACKLOG = 256 << 10  # bytes waiting for a client from which on nothing more is read from it
OUTBOUND = 8 << 20  # what all the open requests of a connection can come to
ALL_OUTBOUND = 40 << 20  # what may wait for all clients together
FINALS = {Final.SERVED: b"200", Final.REFUSED: b"503", Final.FAILED: b"500"}


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
    if any(not equals or not name for name, equals, _ in pairs):
        raise ValueError("a field is not name=value")
    return {name: value for name, _, value in pairs}


def read_ask(cls: str, raw: bytes, body: bytes) -> Ask:
    """A request from its fields; ValueError where one cannot be used."""
    fields = read_fields(raw)
    rid, obj = fields.get("rid", ""), fields.get("obj", "")
    for name, value in (("rid", rid), ("obj", obj)):
        if len(value) != 16 or set(value) - set("0123456789abcdef"):
            raise ValueError(f"{name} is not 16 hex digits")
    budget, part, size = int(fields["budget"]), int(fields.get("n") or 0), float(fields.get("mem") or 0)
    if not (0 <= budget <= 3_600_000 and 0 <= part < 1 << 31 and 0 <= size < 1e9):
        raise ValueError("a number is out of range")
    shard = fields.get("shard")
    return Ask(rid, cls, obj, budget * 1_000, part, int(shard) if shard else None, size,
               fields.get("again") == "1", fields.get("acct"), fields.get("token"), fields.get("mine"), body)


class Platform:
    """What the connections of this front share."""

    def __init__(self, engine: Engine, classes: frozenset[str], most: int,
                 soon: Callable[[Callable[[], None]], object], log: Callable[[str], None]) -> None:
        self.engine, self.classes, self.most, self.soon, self.log = engine, classes, most, soon, log
        self.ready = False
        self.connections: dict[int, Client] = {}
        self._number = 0

    def __call__(self) -> Client:
        self._number += 1
        return Client(self, self._number)

    def open(self) -> int:
        return sum(len(client.open) for client in self.connections.values())

    def backlog(self) -> int:
        return sum(client.backlog() for client in self.connections.values())


class Client(Stream):
    """One client's connection."""

    def __init__(self, front: Platform, number: int) -> None:
        super().__init__(BODY + WORDS * (WORD + LINE), OUTBOUND)
        self.front, self.number = front, number
        self.open: dict[int, int] = {}  # tag -> the core's handle; -1 until it is known
        self._tags: set[int] = set()
        self._words: list[bytes] = []
        self._expected = 0  # words of the message under way; 0 before its first line
        self._reading = True

    def opened(self) -> None:
        if len(self.front.connections) >= self.front.most:
            self.abort()  # descriptors are kept for the caches: without them nobody is served
            return
        self.front.connections[self.number] = self
        self.front.engine.stats.count("client", "opened")

    def ended(self) -> None:
        self.front.connections.pop(self.number, None)
        self.front.engine.stats.count("client", "closed")
        for handle in list(self.open.values()):
            self.front.engine.gone(handle)
        self.open.clear()

    def parse(self) -> None:
        try:
            while self._reading and not self._closing and (message := self._message()) is not None:
                self._take(message)
                self._throttle()
        except Malformed as error:
            self.front.engine.stats.count("malformed", "client")
            self.write(b"-ERR " + str(error).encode() + b"\r\n")
            self.linger(self.front.engine.deadlines, self.front.engine.clock.now())

    def _resume(self) -> None:
        if self.transport is not None:
            self.parse()

    def _number_line(self, mark: bytes) -> int | None:
        head = self.inbound.peek(LINE)
        end = head.find(b"\r\n")
        if end < 0:
            if len(head) >= LINE or (head and head[:1] != mark):
                raise Malformed(f"Protocol error: expected '{mark.decode()}'")
            return None
        digits = head[1:end]
        if head[:1] != mark or not digits.isdigit():
            raise Malformed(f"Protocol error: expected '{mark.decode()}' and a length")
        self.inbound.skip(end + 2)
        return int(digits)

    def _message(self) -> list[bytes] | None:
        """The next whole message, None while it is under way. Words are kept as they come."""
        if not self._expected:
            count = self._number_line(b"*")
            if count is None:
                return None
            if not 1 <= count <= WORDS:
                raise Malformed("Protocol error: invalid multibulk length")
            self._expected, self._words = count, []
        while len(self._words) < self._expected:
            if self.wanted == 1:
                size = self._number_line(b"$")
                if size is None:
                    return None
                if size > (BODY if len(self._words) == WORDS - 1 else WORD):
                    raise Malformed("Protocol error: invalid bulk length")
                self.wanted = size + 2
            if len(self.inbound) < self.wanted:
                return None
            word = self.inbound.take(self.wanted)
            if word[-2:] != b"\r\n":
                raise Malformed("Protocol error: a bulk string does not end where it should")
            self._words.append(word[:-2])
            self.wanted = 1
        self._expected = 0
        return self._words

    def _take(self, words: list[bytes]) -> None:
        verb = words[0].upper()
        if len(words) < 2 or not words[1].isdigit() or len(words[1]) > 18 or not int(words[1]):
            raise Malformed("a message needs a tag, a number from 1 up")
        tag = int(words[1])
        if verb == b"ASK":
            self._ask(tag, words)
        elif verb == b"NEVERMIND":
            handle = self.open.pop(tag, None)
            if handle is not None:
                self.front.engine.gone(handle)
        elif verb == b"STATUS":
            self.write(bulk(b"%d" % tag, b"serving" if self.front.ready else b"not_serving", b"", b""))
        else:
            raise Malformed("unknown command")

    def _ask(self, tag: int, words: list[bytes]) -> None:
        if tag in self.open:
            raise Malformed("the tag is in use")
        try:
            if len(words) < 4:
                raise ValueError("a request has a class and fields")
            cls = words[2].decode("utf-8")
            if cls not in self.front.classes:
                raise ValueError("no such class")
            ask = read_ask(cls, words[3], words[4] if len(words) > 4 else b"")
        except (ValueError, KeyError) as error:
            self.front.engine.stats.count("malformed", "request")
            self.front.log(f"request not usable: {error!r}")
            self.write(bulk(b"%d" % tag, FINALS[Final.FAILED], b"", b""))
            return
        self.open[tag] = -1
        handle = self.front.engine.ask(self, tag, ask)
        if tag in self.open:  # else it was answered at once
            self.open[tag] = handle

    def answer(self, ref: int, answer: Answer) -> None:
        """The final answer, in one piece: one begun would hold up those of all other tags."""
        if self.open.pop(ref, None) is None:
            return
        fields = b""
        if answer.same:
            fields = b"still=1"
        elif answer.come_back:
            fields = b"backoff=%d" % (answer.come_back // 1_000)
        head = b"*4\r\n$%d\r\n%d\r\n$3\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n" % (
            len(str(ref)), ref, FINALS[answer.final], len(fields), fields, len(answer.body))
        # A client that does not read must not grow memory: past the bound its connection is given up.
        crowded = self.slow and self.front.backlog() + len(answer.body) > ALL_OUTBOUND
        if crowded or not self.write(head, answer.body, b"\r\n"):
            self.front.engine.stats.count("client", "too slow")
            self.abort()
            return
        self.front.engine.stats.count("bytes_out", "clients", len(answer.body))
        self._throttle()

    def backlog_changed(self) -> None:
        self._throttle()

    def _throttle(self) -> None:
        """Read on only while the client reads what it is sent and has open what it may."""
        # A client with all it may have open must still be heard: its next message may be a NEVERMIND.
        reading = len(self.open) <= OPEN and self.backlog() < BACKLOG
        if reading == self._reading or self.transport is None or self._closing:
            return
        self._reading = reading
        if reading:
            self.transport.resume_reading()
            self.front.soon(self._resume)  # what came before the pause; not from within an answer
        else:
            self.transport.pause_reading()
