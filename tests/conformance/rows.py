"""The conformance table: a row for each requirement, with the RFC section, the query and a check of the response.

Queries and responses are encoded by dnspython, an implementation that the program itself does not use. Raw bytes are
used where it cannot make a query.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass

import dns.edns
import dns.flags
import dns.message
import dns.opcode
import dns.rcode
import dns.rdatatype as types

OBJECT = "7f3a9c21e0b4d655"
ZONE = "route.example."
TARGET = f"0.{OBJECT}.art-pages.acme.{ZONE}"
SERVICE = f"_http._tcp.{TARGET}"
Message = dns.message.Message
Check = Callable[[Message, Message], bool]  # query, response


@dataclass(frozen=True)
class Row:
    """One requirement. `over` lists the transports to which it applies."""

    section: str
    text: str
    query: Message | bytes
    check: Check | None  # None: no response may come
    over: tuple[str, ...] = ("udp", "tcp", "tls")


def ask(
    name: str = TARGET,
    kind: int = types.A,
    edns: bool | int = False,
    options: tuple = (),
    flags: int = 0,
    payload: int = 1_232,
    opcode: int = dns.opcode.QUERY,
    cls: int = 1,
) -> Message:
    made = dns.message.make_query(
        name, kind, cls, use_edns=edns, options=list(options) or None, payload=payload if edns is not False else None
    )
    made.flags |= flags
    made.set_opcode(opcode)
    return made


def wire_message(counts: tuple[int, int, int, int] = (1, 0, 0, 0), body: bytes = b"", flags: int = 0x0100) -> bytes:
    return struct.pack("!6H", 77, flags, *counts) + body


def opt(options: bytes = b"", owner: bytes = b"\0", version: int = 0, payload: int = 1_232) -> bytes:
    return owner + struct.pack("!HHBBHH", 41, payload, 0, version, 0, len(options)) + options


def option(code: int, data: bytes) -> bytes:
    return struct.pack("!HH", code, len(data)) + data


QUESTION = dns.message.make_query(TARGET, types.A).to_wire()[12:]


def with_option(code: int, data: bytes) -> bytes:
    return wire_message((1, 0, 0, 1), QUESTION + opt(option(code, data)))


def has_rcode(expected: dns.rcode.Rcode) -> Check:
    return lambda q, r: r.rcode() == expected


def types_in(message: Message, section: int) -> list[int]:
    return [rrset.rdtype for rrset in message.sections[section]]


def answers(kind: int) -> Check:
    return lambda q, r: r.rcode() == 0 and types_in(r, 1) == [kind]


def nodata(q: Message, r: Message) -> bool:
    return r.rcode() == 0 and not r.answer and types_in(r, 2) == [types.SOA]


def option_values(kind: int) -> Callable[[Message], list]:
    return lambda r: [o for o in r.options if o.otype == kind]


def first(r: Message):  # noqa: ANN201
    return r.answer[0][0]


TSIG_RECORD = (
    b"\x04none\0"
    + struct.pack("!HHIH", 250, 255, 0, 13 + 16)
    + b"\x0bhmac-sha256\0"
    + struct.pack("!HIHH3H", 0, 1_800_000_000, 300, 0, 77, 0, 0)
)
TSIG = wire_message((1, 0, 0, 1), QUESTION + TSIG_RECORD)
PADDING = dns.edns.GenericOption(12, bytes(20))
FORMERR, NOTIMP, REFUSED = has_rcode(dns.rcode.FORMERR), has_rcode(dns.rcode.NOTIMP), has_rcode(dns.rcode.REFUSED)
ECS = option_values(dns.edns.OptionType.ECS)
ERROR = option_values(dns.edns.OptionType.EDE)
NSID = option_values(dns.edns.OptionType.NSID)
UNKNOWN = (types.TXT, types.MX, types.CAA, types.DNSKEY, types.DS, types.NAPTR, 65_280)

ROWS = [
    Row("RFC 1035 4.1.1", "the id is returned", ask(), lambda q, r: r.id == q.id),
    Row("RFC 1035 4.1.1", "QR is set", ask(), lambda q, r: bool(r.flags & dns.flags.QR)),
    Row("RFC 1035 4.1.1", "AA is set for what is in a zone", ask(), lambda q, r: bool(r.flags & dns.flags.AA)),
    Row("RFC 1035 4.1.1", "RD is copied", ask(), lambda q, r: bool(r.flags & dns.flags.RD)),
    Row("RFC 1035 4.1.1", "RA is clear: there is no recursion", ask(), lambda q, r: not r.flags & dns.flags.RA),
    Row(
        "RFC 1035 4.1.1",
        "the Z bit is clear, also where the query has it",
        ask(flags=0x0040),
        lambda q, r: not r.flags & 0x0040 and r.rcode() == 0,
    ),
    Row("RFC 1035 4.1.2", "the question is returned", ask(), lambda q, r: r.question == q.question),
    Row("RFC 1035 3.4.1", "A: one address", ask(), answers(types.A)),
    Row("RFC 1035 3.3.13", "SOA at the apex", ask(ZONE, types.SOA), answers(types.SOA)),
    Row("RFC 1035 3.3.11", "NS at the apex", ask(ZONE, types.NS), answers(types.NS)),
    Row(
        "RFC 1035 4.1.4",
        "names are compressed: a SOA takes under 70 bytes beside its question",
        ask(ZONE, types.SOA),
        lambda q, r: len(r.to_wire()) <= 110,
    ),
    Row(
        "RFC 2181 5.2",
        "one TTL in a set, here 0: no answer outlives a drain",
        ask(),
        lambda q, r: all(rrset.ttl == 0 for section in r.sections[1:] for rrset in section),
    ),
    Row(
        "RFC 2308 2.1",
        "NXDOMAIN has the SOA",
        ask("nobody." + ZONE),
        lambda q, r: r.rcode() == dns.rcode.NXDOMAIN and types_in(r, 2) == [types.SOA] and not r.answer,
    ),
    Row("RFC 2308 2.2", "NODATA has the SOA", ask(TARGET, types.MX), nodata),
    Row(
        "RFC 2308 5",
        "negative answers are not cached: the SOA's minimum is 0",
        ask("nobody." + ZONE),
        lambda q, r: r.authority[0][0].minimum == 0,
    ),
    Row("RFC 8020 2", "names above existing ones exist (empty non-terminals)", ask("acme." + ZONE), nodata),
    Row("RFC 8020 2", "names above a service exist", ask("_tcp." + TARGET), nodata),
    Row("RFC 4343 2", "letter case does not matter", ask(TARGET.upper()), answers(types.A)),
    Row(
        "RFC 1035 2.3.3",
        "the question keeps its letter case",
        ask(TARGET.swapcase()),
        lambda q, r: q.question[0].name.to_text() == r.question[0].name.to_text(),
    ),
    Row(
        "RFC 2782",
        "SRV: port and a target",
        ask(SERVICE, types.SRV),
        lambda q, r: answers(types.SRV)(q, r) and first(r).port > 0,
    ),
    Row(
        "RFC 2782",
        "SRV: the target's address comes with it",
        ask(SERVICE, types.SRV),
        lambda q, r: [(s.name, s.rdtype) for s in r.additional] == [(first(r).target, types.A)],
    ),
    Row("RFC 3596 2.1", "AAAA where servers have IPv4 only: NODATA", ask(TARGET, types.AAAA), nodata),
    Row(
        "RFC 9460 2.4.3",
        "HTTPS in ServiceMode",
        ask(TARGET, types.HTTPS),
        lambda q, r: answers(types.HTTPS)(q, r) and first(r).priority == 1,
    ),
    Row(
        "RFC 9460 2.4.3",
        "SVCB in ServiceMode",
        ask(TARGET, types.SVCB),
        lambda q, r: answers(types.SVCB)(q, r) and first(r).priority == 1,
    ),
    Row("RFC 9460 7.2", "HTTPS: the port", ask(TARGET, types.HTTPS), lambda q, r: first(r).params[3].port > 0),
    Row(
        "RFC 9460 7.3",
        "HTTPS: an address hint that is the target's address",
        ask(TARGET, types.HTTPS),
        lambda q, r: list(first(r).params[4].addresses) == [r.additional[0][0].address],
    ),
    Row(
        "RFC 9460 4.1",
        "HTTPS: the target's address comes with it",
        ask(TARGET, types.HTTPS),
        lambda q, r: r.additional[0].name == first(r).target,
    ),
    Row("RFC 8482 4.2", "ANY: one small record", ask(TARGET, types.ANY), answers(types.HINFO)),
    Row("RFC 5936 4.2", "a transfer that is not allowed is refused", ask(ZONE, types.AXFR), REFUSED, ("tcp", "tls")),
    Row("RFC 1995 4", "an incremental transfer too", ask(ZONE, types.IXFR), REFUSED, ("tcp", "tls")),
    Row("RFC 8906 3.1.3", "a zone that is not served: REFUSED", ask("elsewhere.example."), REFUSED),
    Row("RFC 8906 3.1.3", "and not authoritative", ask("elsewhere.example."), lambda q, r: not r.flags & dns.flags.AA),
    Row("RFC 1035 4.1.2", "a class other than IN: REFUSED", ask(cls=3), REFUSED),
    *(Row("RFC 8906 3.1.4", f"opcode {opcode}: NOTIMP", ask(opcode=opcode), NOTIMP) for opcode in (1, 2, 3, 6)),
    Row("RFC 1996 3.11", "NOTIFY changes nothing and gets NOTIMP", ask(ZONE, types.SOA, opcode=4), NOTIMP),
    Row("RFC 2136 3.1", "UPDATE: NOTIMP", ask(ZONE, types.SOA, opcode=5), NOTIMP),
    *(Row("RFC 3597 2", f"type {kind}: NODATA, not an error", ask(TARGET, kind), nodata) for kind in UNKNOWN),
    Row("RFC 4035 3.1.6", "CD is copied", ask(flags=dns.flags.CD), lambda q, r: bool(r.flags & dns.flags.CD)),
    Row("RFC 9619 4", "two questions: FORMERR", wire_message((2, 0, 0, 0), QUESTION + QUESTION), FORMERR),
    Row("RFC 9619 4", "no question: FORMERR", wire_message((0, 0, 0, 0)), FORMERR),
    Row("RFC 1035 4.1.1", "a query with answers: FORMERR", wire_message((1, 1, 0, 0), QUESTION), FORMERR),
    Row("RFC 1035 4.1", "a question that is cut off: FORMERR", wire_message(body=QUESTION[:-3]), FORMERR),
    Row("RFC 1035 4.1", "bytes after the message: FORMERR", wire_message(body=QUESTION + b"x"), FORMERR),
    Row("RFC 1035 4.1.4", "a pointer to itself: FORMERR", wire_message(body=b"\xc0\x0c\0\1\0\1"), FORMERR),
    Row("RFC 1035 4.1.4", "a pointer forwards: FORMERR", wire_message(body=b"\xc0\x20\0\1\0\1"), FORMERR),
    Row("RFC 6891 5", "an obsolete label type: FORMERR", wire_message(body=b"\x41a\0\0\1\0\1"), FORMERR),
    Row(
        "RFC 1035 2.3.4",
        "a name of over 255 bytes: FORMERR",
        wire_message(body=(b"\x3f" + b"a" * 63) * 4 + b"\0\0\1\0\1"),
        FORMERR,
    ),
    Row("RFC 1035 7.3", "a response is not answered", wire_message(body=QUESTION, flags=0x8100), None, ("udp",)),
    Row("RFC 1035 4.1", "less than a header is not answered", b"\0" * 11, None, ("udp",)),
    Row("RFC 6891 6.1.1", "OPT if the query has one", ask(edns=0), lambda q, r: r.edns == 0),
    Row("RFC 6891 7", "no OPT if the query has none", ask(), lambda q, r: r.edns == -1),
    Row(
        "RFC 6891 6.1.1",
        "OPT also in an error",
        ask("elsewhere.example.", edns=0),
        lambda q, r: r.edns == 0 and r.rcode() == dns.rcode.REFUSED,
    ),
    Row(
        "RFC 6891 6.1.3",
        "version 1: BADVERS",
        ask(edns=1),
        lambda q, r: r.rcode() == dns.rcode.BADVERS and not r.answer,
    ),
    Row("RFC 6891 6.1.3", "BADVERS has the supported version", ask(edns=1), lambda q, r: r.edns == 0),
    Row("RFC 6891 6.1.1", "two OPT: FORMERR", wire_message((1, 0, 0, 2), QUESTION + opt() + opt()), FORMERR),
    Row(
        "RFC 6891 6.1.2",
        "an OPT with a name: FORMERR",
        wire_message((1, 0, 0, 1), QUESTION + opt(owner=b"\x01a\0")),
        FORMERR,
    ),
    Row(
        "RFC 6891 6.1.2",
        "an option that is cut off: FORMERR",
        wire_message((1, 0, 0, 1), QUESTION + opt(b"\0\x0a\0\x09x")),
        FORMERR,
    ),
    Row("RFC 6891 6.1.2", "an unknown option is skipped", with_option(65_001, b"xyz"), answers(types.A)),
    Row("RFC 6891 6.2.3", "a payload under 512 counts as 512", ask(edns=0, payload=100), answers(types.A)),
    Row("RFC 6891 6.2.5", "our payload is 1232", ask(edns=0), lambda q, r: r.payload == 1_232),
    Row("RFC 6891 6.1.4", "unknown EDNS flags are clear", ask(edns=0), lambda q, r: not r.ednsflags),
    Row(
        "RFC 3225 3",
        "DO is copied",
        dns.message.make_query(TARGET, types.A, want_dnssec=True),
        lambda q, r: bool(r.ednsflags & dns.flags.DO),
    ),
    Row(
        "RFC 5001 2.3",
        "NSID when the query asks for it",
        ask(edns=0, options=(dns.edns.GenericOption(3, b""),)),
        lambda q, r: [o.to_wire() for o in NSID(r)] == [b"n0.example"],
    ),
    Row("RFC 5001 2.3", "no NSID otherwise", ask(edns=0), lambda q, r: not NSID(r)),
    Row(
        "RFC 7871 7.2.1",
        "the subnet is returned unchanged",
        ask(edns=0, options=(dns.edns.ECSOption("198.51.100.0", 24),)),
        lambda q, r: [(o.address, o.srclen) for o in ECS(r)] == [("198.51.100.0", 24)],
    ),
    Row(
        "RFC 7871 7.2.1",
        "scope 0: the answer does not depend on the subnet",
        ask(edns=0, options=(dns.edns.ECSOption("198.51.100.0", 24),)),
        lambda q, r: ECS(r)[0].scopelen == 0,
    ),
    Row(
        "RFC 7871 7.2.1",
        "IPv6 too",
        ask(edns=0, options=(dns.edns.ECSOption("2001:db8::", 56),)),
        lambda q, r: [(o.family, o.srclen) for o in ECS(r)] == [(2, 56)],
    ),
    Row(
        "RFC 7871 7.1.2",
        "a prefix of 0 is accepted",
        ask(edns=0, options=(dns.edns.ECSOption("0.0.0.0", 0),)),
        lambda q, r: r.rcode() == 0 and ECS(r)[0].srclen == 0,
    ),
    Row("RFC 7871 7.2.1", "no subnet if the query has none", ask(edns=0), lambda q, r: not ECS(r)),
    Row("RFC 7871 7.1.2", "bits after the prefix: FORMERR", with_option(8, b"\0\1\x14\0\xc6\x33\x6f"), FORMERR),
    Row("RFC 7871 7.1.2", "a longer address than the prefix: FORMERR", with_option(8, b"\0\1\x08\0\xc6\0"), FORMERR),
    Row("RFC 7871 7.1.2", "a scope in a query: FORMERR", with_option(8, b"\0\1\x08\x08\xc6"), FORMERR),
    Row("RFC 7871 7.1.2", "33 bits of IPv4: FORMERR", with_option(8, b"\0\1\x21\0\1\2\3\4\5"), FORMERR),
    Row("RFC 7871 7.1.2", "an unknown family: FORMERR", with_option(8, b"\0\7\x08\0\1"), FORMERR),
    Row("RFC 7873 5.2.2", "a cookie of 7 bytes: FORMERR", with_option(10, b"1234567"), FORMERR),
    Row("RFC 7873 5.2.2", "a cookie of 12 bytes: FORMERR", with_option(10, b"123456789012"), FORMERR),
    Row("RFC 7873 5.2.2", "a cookie of 41 bytes: FORMERR", with_option(10, b"1" * 41), FORMERR),
    Row("RFC 7873 5.2", "a client cookie is accepted", with_option(10, b"12345678"), answers(types.A)),
    Row(
        "RFC 7828 3.3.2",
        "keepalive over a connection when the query asks for it",
        ask(edns=0, options=(dns.edns.GenericOption(11, b""),)),
        lambda q, r: [o.to_wire() for o in option_values(11)(r)] == [b"\0\x64"],
        ("tcp", "tls"),
    ),
    Row(
        "RFC 7828 3.2.1",
        "never over UDP",
        ask(edns=0, options=(dns.edns.GenericOption(11, b""),)),
        lambda q, r: not option_values(11)(r),
        ("udp",),
    ),
    Row(
        "RFC 1035 3.3.14",
        "TXT: a static set, with its own TTL",
        ask("note." + ZONE, types.TXT),
        lambda q, r: answers(types.TXT)(q, r) and r.answer[0].ttl == 60 and len(r.answer[0]) == 2,
    ),
    Row(
        "RFC 8659 4.1",
        "CAA at the apex",
        ask(ZONE, types.CAA),
        lambda q, r: answers(types.CAA)(q, r) and first(r).tag == b"issue",
    ),
    Row(
        "RFC 1034 4.3.2",
        "a CNAME is followed within the zone",
        ask("alias." + ZONE, types.TXT),
        lambda q, r: types_in(r, 1) == [types.CNAME, types.TXT],
    ),
    Row(
        "RFC 1034 4.3.2",
        "a CNAME alone if the query is for CNAME",
        ask("alias." + ZONE, types.CNAME),
        answers(types.CNAME),
    ),
    Row("RFC 2308 2.2", "NODATA behind a CNAME: the CNAME", ask("alias." + ZONE, types.AAAA), answers(types.CNAME)),
    Row("RFC 8020 2", "names above static ones exist", ask("deep." + ZONE), nodata),
    Row(
        "RFC 8945 5.2.1",
        "a TSIG record with an unknown key: NOTAUTH, BADKEY",
        TSIG,
        lambda q, r: r.rcode() == dns.rcode.NOTAUTH and r.tsig_error == 17,
    ),
    Row(
        "RFC 8945 5.1",
        "a TSIG record that is not the last record: FORMERR",
        wire_message((1, 0, 0, 2), QUESTION + TSIG_RECORD + opt()),
        FORMERR,
    ),
    Row("RFC 9824 3.5", "NXNAME asked for: FORMERR", ask(kind=128), FORMERR),
    Row("RFC 4035 3.1.4.1", "DS at the apex: NODATA", ask(ZONE, types.DS), nodata),
    Row(
        "RFC 4035 3.1",
        "no signatures without the DO flag",
        ask(edns=0),
        lambda q, r: types.RRSIG not in types_in(r, 1),
    ),
    Row(
        "RFC 7830 4",
        "a padded query gets a padded response",
        ask(edns=0, options=(PADDING,)),
        lambda q, r: len(option_values(12)(r)) == 1,
        ("tls",),
    ),
    Row(
        "RFC 8467 4.1",
        "the length is a multiple of 468 bytes",
        ask(edns=0, options=(PADDING,)),
        lambda q, r: r.wire and len(r.wire) % 468 == 0,
        ("tls",),
    ),
    Row(
        "RFC 7830 6",
        "never in the clear",
        ask(edns=0, options=(PADDING,)),
        lambda q, r: not option_values(12)(r),
        ("udp", "tcp"),
    ),
    Row("RFC 7830 4", "no padding if the query has none", ask(edns=0), lambda q, r: not option_values(12)(r), ("tls",)),
    Row(
        "RFC 8914 4.21",
        "the reason of REFUSED: not authoritative",
        ask("elsewhere.example.", edns=0),
        lambda q, r: [o.code for o in ERROR(r)] == [20],
    ),
    Row(
        "RFC 8914 4.19",
        "the reason of a refused transfer: prohibited",
        ask(ZONE, types.AXFR, edns=0),
        lambda q, r: [o.code for o in ERROR(r)] == [18],
        ("tcp", "tls"),
    ),
    Row("RFC 8914 2", "the reason has a text", ask("elsewhere.example.", edns=0), lambda q, r: bool(ERROR(r)[0].text)),
    Row("RFC 8914 2", "no extended error without EDNS", ask("elsewhere.example."), lambda q, r: r.edns == -1),
    Row("RFC 8914 2", "no extended error in a response without error", ask(edns=0), lambda q, r: not ERROR(r)),
]

# What the RFCs allow or require and this server does not implement, and why.
NOT_IMPLEMENTED = [
    ("RFC 5155", "NSEC3", "an NSEC record made for the query name reveals no other name (RFC 9824)"),
    ("RFC 1995 4", "incremental transfers as differences", "zones are small: the whole zone, or the SOA alone"),
    (
        "RFC 1996 3",
        "NOTIFY sent to secondaries",
        "a copy cannot replace this server: steered names cannot be enumerated",
    ),
    ("RFC 2136", "UPDATE", "tenants and their records change through plan and apply, and the API"),
    ("RFC 1034 4.2.1", "delegations below a zone", "a tenant's zone is one zone; make another and give it to a tenant"),
    ("RFC 9460 2.4.2", "SVCB and HTTPS in AliasMode", "static records have CNAME; steered names point to servers"),
    ("RFC 8484", "DNS over HTTPS", "resolvers ask authoritative servers over UDP, TCP and TLS"),
    ("RFC 9250", "DNS over QUIC", "the same"),
    ("RFC 3645", "GSS-TSIG", "keys are shared by file"),
]
