"""Static records in zone file format (RFC 1035, section 5.1): `OWNER [TTL] TYPE DATA`, one per line, with fully
qualified names. Parses and checks them, and returns their canonical text and wire format.
"""

from __future__ import annotations

import ipaddress
import re
import struct
from collections.abc import Iterable
from dataclasses import dataclass

from threadhill.hostnames import SERVERS_LABEL, labels_of

Labels = tuple[str, ...]
DEFAULT_TTL = 300  # seconds
MAX_TTL = 86_400  # seconds
MAX_RECORDS = 256  # per tenant
MAX_DATA_BYTES = 4_096  # per record
A, CNAME, MX, TXT, AAAA, SRV, CAA = 1, 5, 15, 16, 28, 33, 257
TYPE_CODES = {"A": A, "CNAME": CNAME, "MX": MX, "TXT": TXT, "AAAA": AAAA, "SRV": SRV, "CAA": CAA}
UNSUPPORTED_TYPES = {
    "NS": "name servers are set in the operator's file (dns.nameservers)",
    "SOA": "the SOA is made by the server",
    "DS": "the DS record of a signed zone belongs in its parent zone",
    **dict.fromkeys(
        ("DNSKEY", "RRSIG", "NSEC", "CDS", "CDNSKEY"), "keys and signatures are made by " "`threadhill dns key`"
    ),
}
WORD = re.compile(r'"((?:[^"\\]|\\.)*)"|(\S+)')
ESCAPE = re.compile(r"\\(?:([0-9]{3})|(.))", re.DOTALL)


@dataclass(frozen=True, slots=True)
class StaticRecord:
    """One record. `data` is a sequence of bytes and names, as in message.Record."""

    owner: Labels
    ttl: int
    kind: int
    data: tuple[bytes | Labels, ...]
    text: str  # canonical


def _parse_number(word: str, maximum: int, what: str) -> int:
    if not (word.isascii() and word.isdigit()) or len(word) > 10 or int(word) > maximum:
        raise ValueError(f"{what} is a number from 0 to {maximum}, not {word[:20]!r}")
    return int(word)


def _parse_name(word: str) -> Labels:
    try:
        return labels_of(word)
    except (ValueError, UnicodeError) as error:
        raise ValueError(f"{word[:60]!r} is no domain name: {error}") from None


def _unescape(quoted: str) -> bytes:
    """The bytes of a character string. The escapes `\\"`, `\\\\` and `\\DDD` stand for one byte each."""

    def unescape(match: re.Match[str]) -> str:
        if match[1] is not None and int(match[1]) > 255:
            raise ValueError(f"\\{match[1]} is no byte")
        return chr(int(match[1])) if match[1] is not None else match[2]

    try:
        return ESCAPE.sub(unescape, quoted).encode("latin-1")
    except UnicodeEncodeError:
        raise ValueError("a string is bytes: write non-ASCII characters as \\DDD") from None


def _quote(raw: bytes) -> str:
    return (
        '"'
        + "".join(
            f"\\{chr(byte)}" if byte in b'"\\' else chr(byte) if 32 <= byte < 127 else f"\\{byte:03}" for byte in raw
        )
        + '"'
    )


def _pack_string(raw: bytes) -> bytes:
    if len(raw) > 255:
        raise ValueError("a string has 255 bytes at most: give several, each in quotes")
    return bytes([len(raw)]) + raw


def _parse_data(kind: int, words: list[str]) -> tuple[tuple[bytes | Labels, ...], str]:
    """A record's data and its canonical text."""
    expected_words = {A: 1, AAAA: 1, CNAME: 1, MX: 2, SRV: 4, CAA: 3}.get(kind)
    if expected_words is not None and len(words) != expected_words:
        raise ValueError(f"its data has {expected_words} words, not {len(words)}")
    if kind in (A, AAAA):
        try:
            parsed = ipaddress.IPv4Address(words[0]) if kind == A else ipaddress.IPv6Address(words[0])
        except ValueError:
            raise ValueError(f"{words[0][:60]!r} is no IPv{4 if kind == A else 6} address") from None
        return (parsed.packed,), str(parsed)
    if kind == CNAME:
        name = _parse_name(words[0])
        return (name,), _format_name(name)
    if kind == MX:
        rank, name = _parse_number(words[0], 65_535, "the preference"), _parse_name(words[1])
        return (struct.pack("!H", rank), name), f"{rank} {_format_name(name)}"
    if kind == SRV:  # RFC 2782 forbids compression of the target, so it is bytes here
        numbers = [
            _parse_number(word, 65_535, what)
            for word, what in zip(words, ("the priority", "the weight", "the port"), strict=False)
        ]
        name = _parse_name(words[3])
        wire = b"".join(bytes([len(label)]) + label.encode() for label in name) + b"\0"
        return (struct.pack("!3H", *numbers) + wire,), " ".join(map(str, numbers)) + " " + _format_name(name)
    if kind == CAA:  # RFC 8659, section 4.1
        flags, tag, value = _parse_number(words[0], 255, "the flags"), words[1].lower(), _unescape(words[2])
        if not re.fullmatch(r"[a-z0-9]{1,15}", tag):
            raise ValueError(f"{tag[:20]!r} is no tag of a CAA record")
        return (bytes([flags, len(tag)]) + tag.encode() + value,), f"{flags} {tag} {_quote(value)}"
    strings = [_unescape(word) for word in words]
    if not strings:
        raise ValueError("a TXT record has at least one string")
    return (b"".join(map(_pack_string, strings)),), " ".join(map(_quote, strings))


def _format_name(name: Labels) -> str:
    return ".".join(name) + "."


def parse_record(text: str) -> StaticRecord:
    """Parse one record. Raises ValueError with the error."""
    if not isinstance(text, str) or len(text) > 2 * MAX_DATA_BYTES:
        raise ValueError("a record is a text of `NAME [TTL] TYPE DATA`")
    parsed = [(match[1] if match[1] is not None else match[2], match[1] is not None) for match in WORD.finditer(text)]
    words = [word for word, _ in parsed]
    if len(words) < 3:
        raise ValueError("a record is `NAME [TTL] TYPE DATA`")
    owner, rest = _parse_name(words[0]), words[1:]
    ttl = DEFAULT_TTL
    if rest[0].isdigit():
        ttl, rest = _parse_number(rest[0], MAX_TTL, "the TTL"), rest[1:]
    if rest and rest[0].upper() == "IN":
        rest = rest[1:]
    word = rest[0].upper() if rest else ""
    if word in UNSUPPORTED_TYPES:
        raise ValueError(f"{word}: {UNSUPPORTED_TYPES[word]}")
    if word not in TYPE_CODES:
        raise ValueError(f"{word[:20] or 'no type'}: the types are {', '.join(TYPE_CODES)}")
    data, canonical = _parse_data(TYPE_CODES[word], rest[1:])
    if sum(len(piece) if isinstance(piece, bytes) else 255 for piece in data) > MAX_DATA_BYTES:
        raise ValueError(f"its data has over {MAX_DATA_BYTES} bytes")
    return StaticRecord(owner, ttl, TYPE_CODES[word], data, f"{_format_name(owner)} {ttl} {word} {canonical}")


def zone_of(owner: Labels, zones: Iterable[str]) -> Labels | None:
    """The longest of these zones that contain the name."""
    inside = [labels for zone in zones if owner[-len(labels := labels_of(zone)) :] == labels]
    return max(inside, key=len, default=None)


def check_records(records: list[StaticRecord], zones: Iterable[str], tenant: str) -> list[tuple[int, str]]:
    """Check a tenant's records against each other and its zones. Returns errors with the record's index."""
    faults, zones = [], list(zones)
    seen: dict[Labels, dict[int, int]] = {}  # owner -> type -> TTL
    texts: set[str] = set()
    for i, record in enumerate(records):
        zone = zone_of(record.owner, zones)
        if zone is None:
            faults.append((i, f"{_format_name(record.owner)} is in none of the tenant's zones"))
            continue
        relative = record.owner[: len(record.owner) - len(zone)]
        if relative and relative[-1] in (tenant, SERVERS_LABEL):
            faults.append((i, f"names under {relative[-1]}.{'.'.join(zone)} are steered: choose another"))
        if not relative and record.kind == CNAME:
            faults.append((i, "a zone's own name can't be an alias: it has an SOA record"))
        types_at_owner = seen.setdefault(record.owner, {})
        if types_at_owner.get(record.kind, record.ttl) != record.ttl:
            faults.append((i, "records of one name and type have one TTL"))
        if (
            (record.kind == CNAME) != (CNAME in types_at_owner)
            and types_at_owner
            or record.kind == CNAME
            and CNAME in types_at_owner
        ):
            faults.append((i, f"{_format_name(record.owner)} is an alias: nothing else can exist at this name"))
        if record.text in texts:
            faults.append((i, "is listed twice"))
        texts.add(record.text)
        types_at_owner[record.kind] = record.ttl
    return faults
