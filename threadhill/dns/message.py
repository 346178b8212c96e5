"""Parses DNS queries and serializes responses (RFC 1035, EDNS of RFC 6891)."""

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
MIN_UDP_SIZE = 512  # maximum bytes of a UDP response without EDNS, minimum payload size with it
EDNS_UDP_SIZE = 1_232  # payload size that this server announces, and the maximum that it sends
DO = 0x8000
CO = 0x4000  # compact answers OK: the client wants NXDOMAIN with compact denial (RFC 9824, section 5.1)
MAX_POINTERS = 32  # compression pointers in one name
MAX_ADDITIONAL = 8  # additional records of a query: only an OPT and a TSIG record have a meaning
MAX_QUERY_BYTES = 4 << 10  # names and an OPT are far smaller
MAX_POINTER_OFFSET = 0x3FFF  # the largest offset that fits into a compression pointer
NO_OPTIONS = Options()  # shared by all queries without options
OPT_HEADER_BYTES = 11  # size of an OPT record before its options
QUESTION_POINTER = b"\xc0\x0c"  # compression pointer to the question's name
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
    NXNAME = 128  # appears only in NSEC bitmaps (RFC 9824)
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
    NOTAUTH = 9  # TSIG verification failed (RFC 8945)
    BADVERS = 16


class IgnoredMessage(Exception):
    """The message must not be answered: it is too short for a header, or is itself a response."""


class BadQuery(Exception):
    """The query is answered with this error code."""

    def __init__(self, code: Code, query: Query) -> None:
        super().__init__(code.name)
        self.code, self.query = code, query


@dataclass(slots=True)
class Query:
    """One question with its header flags and EDNS data."""

    id: int
    opcode: int = 0
    recursion_desired: bool = False  # RD, copied to the response
    checking_disabled: bool = False  # CD, copied to the response (RFC 4035, section 3.1.6)
    question: bytes = b""  # as received, to be echoed with its letter case
    name: Labels = ()  # labels in lower case
    type: int = 0
    cls: int = IN
    edns: bool = False
    dnssec: bool = False
    compact_denial: bool = False  # CO
    payload: int = MIN_UDP_SIZE
    options: Options = NO_OPTIONS
    size: int = 0  # bytes of the whole message
    tsig_at: int = 0  # offset of its TSIG record; 0: none
    serial: int | None = None  # serial of the requester's copy in an IXFR query (RFC 1995)


@dataclass(frozen=True, slots=True)
class Record:
    """A resource record. Records that name a server have TTL 0, because no answer may outlive a drain.

    `data` is bytes, or a sequence of bytes and names. Names may be compressed, which RFC 3597, section 4 allows only in
    the types of RFC 1035. An `owner` of None means the question's name.
    """

    type: int
    data: bytes | tuple[bytes | Labels, ...]
    owner: Labels | None = None
    ttl: int = 0


@dataclass(slots=True)
class Response:
    """The contents of a response."""

    code: Code = Code.NOERROR
    authoritative: bool = True
    answers: list[Record] = field(default_factory=list)
    authority: list[Record] = field(default_factory=list)
    additional: list[Record] = field(default_factory=list)
    error: tuple[ExtendedError, str] | None = None  # the reason of an error (RFC 8914)
    scope: int = 0  # scope prefix length of the client subnet option (RFC 7871)
    nsid: bytes = b""
    keepalive: int | None = None  # idle timeout in tenths of a second (RFC 7828)
    cookie: bytes | None = None  # client cookie and server cookie (RFC 7873, section 5.2)
    padded: int = 0  # pad to a multiple of this many bytes (RFC 8467, section 4.1); 0: no padding
    zone: str = ""  # the zone of the records, which selects the signing keys
    exists: tuple[int, ...] | None = None  # in a negative answer: the types that the name has
    truncated: bool = False  # only header and question are sent, with TC set, so that the client retries over TCP


def pack_name(labels: Labels) -> bytes:
    """A name in wire format without compression. Raises ValueError if it is too long."""
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
    """The name at this offset and the offset behind it. Pointers must point backwards, so none can loop."""
    labels: list[str] = []
    end, length, lowest, pointers = -1, 0, at, 0
    while True:
        size = raw[at]
        if size & POINTER == POINTER:
            target = (size & ~POINTER) << 8 | raw[at + 1]
            end = at + 2 if end < 0 else end
            pointers += 1
            if target >= lowest or pointers > MAX_POINTERS:
                raise ValueError("a compression pointer does not point backwards, or a name has too many")
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
    """Read one record of the additional section into the query. Returns the offset behind the record."""
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
    """Read the SOA record of an IXFR query, which has the serial of the requester's copy. It is the only record that a
    query may have in its authority section (RFC 1995, section 3)."""
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
    """Parse a query. Raises BadQuery with the error to answer with, or IgnoredMessage if there must be no answer."""
    if len(raw) < HEADER.size:
        raise IgnoredMessage
    id, flags, questions, answers, authority, additional = HEADER.unpack_from(raw)
    if flags & 0x8000:
        raise IgnoredMessage  # answering responses could make two servers answer each other forever
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
    """Writes a message with name compression (RFC 1035, section 4.1.4)."""

    def __init__(self, query: Query) -> None:
        self.raw = bytearray(HEADER.size) + query.question
        self.question = query.name
        # Offsets of names already written. Made on first use: most responses have no name but the question's.
        self.offsets: dict[Labels, int] | None = None

    def _question_offsets(self) -> dict[Labels, int]:
        offsets, at = {}, HEADER.size
        for i, label in enumerate(self.question):
            offsets[self.question[i:]] = at
            at += len(label) + 1
        return offsets

    def name(self, labels: Labels) -> None:
        """Write a name, with a compression pointer for the part that was written before."""
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
    """Serialize the response in at most `max_size` bytes. If it does not fit, the additional section is dropped, which
    needs no TC bit (RFC 2181, section 9). If that is not enough, all sections are dropped and TC is set."""
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
    """The OPT record of a response (RFC 6891, section 6.1): its last record, at offset `at`."""
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
    if response.padded:  # the option's own four bytes and the record's header count too
        data += options.pack_option(Option.PADDING, bytes(-(at + OPT_HEADER_BYTES + len(data) + 4) % response.padded))
    ttl = (response.code >> 4) << 24 | (DO if query.dnssec else 0)
    return b"\0" + struct.pack("!HHIH", Type.OPT, EDNS_UDP_SIZE, ttl, len(data)) + data
