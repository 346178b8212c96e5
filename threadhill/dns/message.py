"""DNS messages (RFC 1035, EDNS of RFC 6891): what a query says, and the bytes of a response."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from threadhill.hostnames import MOST_LABEL, MOST_NAME

HEADER = struct.Struct("!6H")
POINTER = 0xC0
QUESTION = b"\xc0\x0c"  # a pointer to the question's name
IN = 1
PLAIN_UDP = 512  # bytes of a UDP response without EDNS
OUR_UDP = 1_232  # what the answering side takes and sends with it
DO = 0x8000


class Type(IntEnum):
    A = 1
    NS = 2
    SOA = 6
    HINFO = 13
    AAAA = 28
    SRV = 33
    OPT = 41
    IXFR = 251
    AXFR = 252
    ANY = 255


class Code(IntEnum):
    NOERROR = 0
    FORMERR = 1
    SERVFAIL = 2
    NXDOMAIN = 3
    NOTIMP = 4
    REFUSED = 5
    BADVERS = 16


class Ignored(Exception):
    """Nothing that may be answered: too short for a header, or itself a response."""


class Bad(Exception):
    """A query that gets an error for an answer."""

    def __init__(self, code: Code, query: Query) -> None:
        super().__init__(code.name)
        self.code, self.query = code, query


@dataclass(slots=True)
class Query:
    """One question, with what EDNS said."""

    id: int
    opcode: int = 0
    recursion: bool = False  # desired
    question: bytes = b""  # as it came, to be echoed with its letter case
    name: tuple[str, ...] = ()  # labels in lower case
    type: int = 0
    cls: int = IN
    edns: bool = False
    dnssec: bool = False
    payload: int = PLAIN_UDP


@dataclass(frozen=True, slots=True)
class Record:
    """A record whose TTL is 0: no answer may outlive a drain. `owner` is bytes as they stand in the message."""

    type: int
    data: bytes
    owner: bytes = QUESTION

    def pack(self) -> bytes:
        return self.owner + struct.pack("!HHIH", self.type, IN, 0, len(self.data)) + self.data


@dataclass(slots=True)
class Response:
    """What a query is answered with."""

    code: Code = Code.NOERROR
    authoritative: bool = True
    answers: list[Record] = field(default_factory=list)
    authority: list[Record] = field(default_factory=list)
    additional: list[Record] = field(default_factory=list)


def pack_name(labels: tuple[str, ...]) -> bytes:
    """A name without compression; ValueError where it is none."""
    packed = b""
    for label in labels:
        raw = label.encode("ascii")
        if not 1 <= len(raw) <= MOST_LABEL:
            raise ValueError("a label has 1 to 63 bytes")
        packed += bytes([len(raw)]) + raw
    if len(packed) + 1 > MOST_NAME:
        raise ValueError("a name has 255 bytes at most")
    return packed + b"\0"


def _read_name(raw: bytes, at: int) -> tuple[tuple[str, ...], int]:
    """The name there and where it ends; pointers lead backwards only, so that none can loop."""
    labels: list[str] = []
    end, length, lowest = -1, 0, at
    while True:
        size = raw[at]
        if size & POINTER == POINTER:
            target = (size & ~POINTER) << 8 | raw[at + 1]
            end = at + 2 if end < 0 else end
            if target >= lowest:
                raise ValueError("a pointer does not lead backwards")
            at = lowest = target
            continue
        if size & POINTER:
            raise ValueError("no such label type")
        at += 1
        if not size:
            return tuple(labels), at if end < 0 else end
        label = raw[at : at + size]
        length += size + 1
        if len(label) < size or length + 1 > MOST_NAME:
            raise ValueError("a name is cut off or too long")
        labels.append(label.decode("latin-1").lower())
        at += size


def _read_option(query: Query, raw: bytes, at: int, named: bool) -> int:
    """One record of the additional section; an OPT sets what EDNS said. Returns where the record ends."""
    kind, cls, ttl, size = struct.unpack_from("!HHIH", raw, at)
    end = at + 10 + size
    if end > len(raw):
        raise ValueError("a record is cut off")
    if kind == Type.OPT:
        if query.edns or named:
            raise ValueError("a second OPT, or one with a name")
        query.edns, query.payload = True, max(PLAIN_UDP, cls)
        query.dnssec = bool(ttl & DO)
        if ttl >> 16 & 0xFF:
            raise Bad(Code.BADVERS, query)
    return end


def read_query(raw: bytes) -> Query:
    """The query; Bad tells the error to answer with, Ignored that there is nothing to answer."""
    if len(raw) < HEADER.size:
        raise Ignored
    id, flags, questions, answers, authority, additional = HEADER.unpack_from(raw)
    if flags & 0x8000:
        raise Ignored  # answering responses would let two servers talk for ever
    query = Query(id, flags >> 11 & 0xF, bool(flags & 0x0100))
    if query.opcode:
        raise Bad(Code.NOTIMP, query)
    if questions != 1 or answers or authority:
        raise Bad(Code.FORMERR, query)
    try:
        query.name, end = _read_name(raw, HEADER.size)
        query.type, query.cls = struct.unpack_from("!HH", raw, end)
        query.question = raw[HEADER.size : end + 4]
        at = end + 4
        for _ in range(additional):
            owner, at = _read_name(raw, at)
            at = _read_option(query, raw, at, bool(owner))
        if at != len(raw):
            raise ValueError("bytes follow the message")
    except (ValueError, IndexError, struct.error):
        raise Bad(Code.FORMERR, query) from None
    return query


def pack(query: Query, response: Response, most: int) -> bytes:
    """The response in at most so many bytes: what does not fit is left out, and the header says so."""
    extra = b""
    if query.edns:
        ttl = (response.code >> 4) << 24 | (DO if query.dnssec else 0)
        extra = b"\0" + struct.pack("!HHIH", Type.OPT, OUR_UDP, ttl, 0)
    flags = 0x8000 | query.opcode << 11 | response.authoritative << 10 | query.recursion << 8 | response.code & 0xF
    sections = [response.answers, response.authority, response.additional]

    def whole(flags: int) -> bytes:
        counts = [len(section) for section in sections]
        counts[2] += bool(extra)
        body = b"".join(record.pack() for section in sections for record in section)
        return HEADER.pack(query.id, flags, bool(query.question), *counts) + query.question + body + extra

    packed = whole(flags)
    if len(packed) > most and sections[2]:
        sections[2] = []  # additional records may go missing without a word (RFC 2181, 9)
        packed = whole(flags)
    if len(packed) > most:
        sections = [[], [], []]
        packed = whole(flags | 0x0200)
    return packed
