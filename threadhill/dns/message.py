"""DNS messages (RFC 1035, EDNS of RFC 6891): what a query says, and the bytes of a response."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

from threadhill.dns import options
from threadhill.dns.options import ExtendedError, Option, Options
from threadhill.hostnames import MAX_LABEL_BYTES, MAX_NAME_BYTES

HEADER = struct.Struct("!6H")
POINTER = 0xC0
IN = 1
MIN_UDP_SIZE = 512  # bytes of a UDP response without EDNS
EDNS_UDP_SIZE = 1_232  # what the answering side takes and sends with it
DO = 0x8000
CO = 0x4000  # the asker knows of compact denial and wants NXDOMAIN told with it (RFC 9824, section 5.1)
MAX_POINTERS = 32  # pointers of one name at most
MAX_ADDITIONAL = 8  # records behind a query's question: an OPT and a signature are all that mean anything
MAX_QUERY_BYTES = 4 << 10  # bytes of a query: names and an OPT are far smaller
MAX_POINTER_OFFSET = 0x3FFF  # where a compression pointer can point to
NO_OPTIONS = Options()  # of all queries without any
OPT_HEADER_BYTES = 11  # bytes of an OPT record before its options
QUESTION_POINTER = b"\xc0\x0c"  # a pointer to the question's name
Labels = tuple[str, ...]


class Type(IntEnum):
    A = 1
    NS = 2
    CNAME = 5
    SOA = 6
    HINFO = 13
    MX = 15
    TXT = 16
    AAAA = 28
    SRV = 33
    OPT = 41
    RRSIG = 46
    NSEC = 47
    DNSKEY = 48
    CDS = 59
    CDNSKEY = 60
    SVCB = 64
    HTTPS = 65
    NXNAME = 128  # stands in denials only (RFC 9824)
    TSIG = 250
    IXFR = 251
    AXFR = 252
    ANY = 255
    CAA = 257


class Code(IntEnum):
    NOERROR = 0
    FORMERR = 1
    SERVFAIL = 2
    NXDOMAIN = 3
    NOTIMP = 4
    REFUSED = 5
    NOTAUTH = 9  # a transaction signature does not hold (RFC 8945)
    BADVERS = 16


class IgnoredMessage(Exception):
    """Nothing that may be answered: too short for a header, or itself a response."""


class BadQuery(Exception):
    """A query that gets an error for an answer."""

    def __init__(self, code: Code, query: Query) -> None:
        super().__init__(code.name)
        self.code, self.query = code, query


@dataclass(slots=True)
class Query:
    """One question, with what EDNS said."""

    id: int
    opcode: int = 0
    recursion_desired: bool = False  # desired
    checking_disabled: bool = False  # CD, copied to the response (RFC 4035, section 3.1.6)
    question: bytes = b""  # as it came, to be echoed with its letter case
    name: Labels = ()  # labels in lower case
    type: int = 0
    cls: int = IN
    edns: bool = False
    dnssec: bool = False
    compact_denial: bool = False  # CO
    payload: int = MIN_UDP_SIZE
    options: Options = NO_OPTIONS
    size: int = 0  # bytes that it came in
    tsig_at: int = 0  # where its transaction signature begins; 0: it has none
    serial: int | None = None  # of the copy that the asker of an incremental transfer has (RFC 1995)


@dataclass(frozen=True, slots=True)
class Record:
    """A record. What names a server has the TTL 0: no answer may outlive a drain.

    `data` is bytes, or pieces of which those that are labels may be compressed (RFC 3597, section 4: only in the types
    of RFC 1035). `owner` is its name; none stands for the question's.
    """

    type: int
    data: bytes | tuple[bytes | Labels, ...]
    owner: Labels | None = None
    ttl: int = 0


@dataclass(slots=True)
class Response:
    """What a query is answered with."""

    code: Code = Code.NOERROR
    authoritative: bool = True
    answers: list[Record] = field(default_factory=list)
    authority: list[Record] = field(default_factory=list)
    additional: list[Record] = field(default_factory=list)
    error: tuple[ExtendedError, str] | None = None  # why, where it is an error (RFC 8914)
    scope: int = 0  # bits of the client's subnet that the answer holds for (RFC 7871)
    nsid: bytes = b""
    keepalive: int | None = None  # tenths of a second that an idle connection stays (RFC 7828)
    cookie: bytes | None = None  # the client's cookie and the server's (RFC 7873, section 5.2)
    padded: int = 0  # the response's length is a multiple of so many bytes (RFC 8467, section 4.1); 0: not padded
    zone: str = ""  # whose records these are, for who signs them
    exists: tuple[int, ...] | None = None  # of a negative answer: the types that are at the name; () where none
    truncated: bool = False  # nothing but the header and the question, and TC set: ask again over TCP


def pack_name(labels: Labels) -> bytes:
    """A name without compression; ValueError where it is none."""
    packed = b""
    for label in labels:
        raw = label.encode("latin-1")
        if not 1 <= len(raw) <= MAX_LABEL_BYTES:
            raise ValueError("a label has 1 to 63 bytes")
        packed += bytes([len(raw)]) + raw
    if len(packed) + 1 > MAX_NAME_BYTES:
        raise ValueError("a name has 255 bytes at most")
    return packed + b"\0"


def read_name(raw: bytes, at: int) -> tuple[Labels, int]:
    """The name there and where it ends; pointers lead backwards only, so that none can loop."""
    labels: list[str] = []
    end, length, lowest, pointers = -1, 0, at, 0
    while True:
        size = raw[at]
        if size & POINTER == POINTER:
            target = (size & ~POINTER) << 8 | raw[at + 1]
            end = at + 2 if end < 0 else end
            pointers += 1
            if target >= lowest or pointers > MAX_POINTERS:
                raise ValueError("a pointer does not lead backwards, or too many follow each other")
            at = lowest = target
            continue
        if size & POINTER:
            raise ValueError("no such label type")
        at += 1
        if not size:
            return tuple(labels), at if end < 0 else end
        label = raw[at : at + size]
        length += size + 1
        if len(label) < size or length + 1 > MAX_NAME_BYTES:
            raise ValueError("a name is cut off or too long")
        labels.append(label.decode("latin-1").lower())
        at += size


def _read_additional(query: Query, raw: bytes, start: int, last: bool) -> int:
    """One record of the additional section; an OPT sets what EDNS said. Returns where the record ends."""
    owner, at = read_name(raw, start)
    named = bool(owner)
    kind, cls, ttl, size = struct.unpack_from("!HHIH", raw, at)
    end = at + 10 + size
    if end > len(raw):
        raise ValueError("a record is cut off")
    if kind == Type.TSIG:
        if not last:
            raise ValueError("a transaction signature is the last record")
        query.tsig_at = start
    if kind == Type.OPT:
        if query.edns or named:
            raise ValueError("a second OPT, or one with a name")
        query.edns, query.payload = True, max(MIN_UDP_SIZE, cls)
        query.dnssec, query.compact_denial = bool(ttl & DO), bool(ttl & CO)
        if ttl >> 16 & 0xFF:
            raise BadQuery(Code.BADVERS, query)
        query.options = options.read_options(raw[at + 10 : end])
    return end


def _read_serial(query: Query, raw: bytes, at: int) -> int:
    """The SOA of the copy that the asker of an incremental transfer has: the only record that a query may have before
    its additional ones (RFC 1995, section 3)."""
    _, at = read_name(raw, at)
    kind, _, _, size = struct.unpack_from("!HHIH", raw, at)
    end = at + 10 + size
    if query.type != Type.IXFR or kind != Type.SOA or end > len(raw):
        raise ValueError("a query has no authority records")
    _, at = read_name(raw, at + 10)
    _, at = read_name(raw, at)
    (query.serial,) = struct.unpack_from("!I", raw, at)
    return end


def read_query(raw: bytes) -> Query:
    """The query; Bad tells the error to answer with, Ignored that there is nothing to answer."""
    if len(raw) < HEADER.size:
        raise IgnoredMessage
    id, flags, questions, answers, authority, additional = HEADER.unpack_from(raw)
    if flags & 0x8000:
        raise IgnoredMessage  # answering responses would let two servers talk for ever
    query = Query(id, flags >> 11 & 0xF, bool(flags & 0x0100), bool(flags & 0x0010), size=len(raw))
    if query.opcode:
        raise BadQuery(Code.NOTIMP, query)
    if questions != 1 or answers or authority > 1 or additional > MAX_ADDITIONAL or len(raw) > MAX_QUERY_BYTES:
        raise BadQuery(Code.FORMERR, query)
    try:
        query.name, end = read_name(raw, HEADER.size)
        query.type, query.cls = struct.unpack_from("!HH", raw, end)
        query.question = raw[HEADER.size : end + 4]
        at = end + 4
        if authority:
            at = _read_serial(query, raw, at)
        for left in range(additional, 0, -1):
            at = _read_additional(query, raw, at, left == 1)
        if at != len(raw):
            raise ValueError("bytes follow the message")
    except (ValueError, IndexError, struct.error):
        raise BadQuery(Code.FORMERR, query) from None
    return query


class Writer:
    """A message's bytes, with the places of names that later ones may point to (RFC 1035, section 4.1.4)."""

    def __init__(self, query: Query) -> None:
        self.raw = bytearray(HEADER.size) + query.question
        self.question = query.name
        self.offsets: dict[Labels, int] | None = None  # most responses hold no name but the question's

    def _question_offsets(self) -> dict[Labels, int]:
        offsets, at = {}, HEADER.size
        for i, label in enumerate(self.question):
            offsets[self.question[i:]] = at
            at += len(label) + 1
        return offsets

    def name(self, labels: Labels) -> None:
        """Write a name, as a pointer from where it is there already."""
        if self.offsets is None:
            self.offsets = self._question_offsets()
        for i, label in enumerate(labels):
            offset = self.offsets.get(labels[i:])
            if offset is not None:
                self.raw += struct.pack("!H", POINTER << 8 | offset)
                return
            if len(self.raw) <= MAX_POINTER_OFFSET:
                self.offsets[labels[i:]] = len(self.raw)
            raw = label.encode("latin-1")
            if not 1 <= len(raw) <= MAX_LABEL_BYTES:
                raise ValueError("a label has 1 to 63 bytes")
            self.raw += bytes([len(raw)]) + raw
        self.raw += b"\0"

    def record(self, record: Record) -> None:
        if record.owner is None:
            self.raw += QUESTION_POINTER
        else:
            self.name(record.owner)
        if isinstance(record.data, bytes):
            self.raw += struct.pack("!HHIH", record.type, IN, record.ttl, len(record.data)) + record.data
            return
        self.raw += struct.pack("!HHIH", record.type, IN, record.ttl, 0)
        at = len(self.raw) - 2
        for piece in record.data:
            if isinstance(piece, bytes):
                self.raw += piece
            else:
                self.name(piece)
        struct.pack_into("!H", self.raw, at, len(self.raw) - at - 2)


def pack(query: Query, response: Response, max_size: int) -> bytes:
    """The response in at most so many bytes. What does not fit goes by whole sets: first additional records, of which
    nobody needs to hear (RFC 2181, section 9), then all, and the header says so."""
    if response.truncated:
        return _pack(query, response, [[], [], []], 0x0200)
    sections = [response.answers, response.authority, response.additional]
    packed = _pack(query, response, sections, 0)
    if len(packed) > max_size and sections[2]:
        packed = _pack(query, response, [*sections[:2], []], 0)
    if len(packed) > max_size:
        packed = _pack(query, response, [[], [], []], 0x0200)
    return packed


def _pack(query: Query, response: Response, sections: list[list[Record]], flags: int) -> bytes:
    writer = Writer(query)
    for section in sections:
        for record in section:
            writer.record(record)
    counts = [len(section) for section in sections]
    if query.edns:
        counts[2] += 1
        writer.raw += _opt(query, response, len(writer.raw))
    flags |= 0x8000 | query.opcode << 11 | response.authoritative << 10 | query.recursion_desired << 8
    flags |= query.checking_disabled << 4 | response.code & 0xF
    HEADER.pack_into(writer.raw, 0, query.id, flags, bool(query.question), *counts)
    return bytes(writer.raw)


def _opt(query: Query, response: Response, at: int) -> bytes:
    """The OPT record of a response (RFC 6891, section 6.1), which is its last and begins at `at`."""
    asked, data = query.options, b""
    if asked.subnet is not None and response.code != Code.FORMERR:
        data += options.pack_option(
            Option.SUBNET, asked.subnet.pack(response.scope if asked.subnet.source_prefix else 0)
        )
    if asked.nsid and response.nsid:
        data += options.pack_option(Option.NSID, response.nsid)
    if response.keepalive is not None:
        data += options.pack_option(Option.KEEPALIVE, struct.pack("!H", response.keepalive))
    if response.cookie is not None:
        data += options.pack_option(Option.COOKIE, response.cookie)
    if response.error is not None:
        data += options.pack_extended_error(*response.error)
    if response.padded:  # the option's own four bytes and the record's head count as well
        data += options.pack_option(Option.PADDING, bytes(-(at + OPT_HEADER_BYTES + len(data) + 4) % response.padded))
    ttl = (response.code >> 4) << 24 | (DO if query.dnssec else 0)
    return b"\0" + struct.pack("!HHIH", Type.OPT, EDNS_UDP_SIZE, ttl, len(data)) + data
