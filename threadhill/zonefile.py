"""Static records as text, in the form of zone files (RFC 1035, section 5.1): `OWNER [TTL] TYPE DATA`, one a line, each
name whole. Read with every fault told, written in one canonical way, and turned into the bytes that answers hold.
"""

from __future__ import annotations

import ipaddress
import re
import struct
from collections.abc import Iterable
from dataclasses import dataclass

from threadhill.hostnames import SERVERS_LABEL, labels_of

Labels = tuple[str, ...]
TTL = 300  # seconds, where a record says none
MOST_TTL = 86_400
MAX_RECORDS = 256  # of one tenant
MOST_DATA = 4_096  # bytes of a record's data
A, CNAME, MX, TXT, AAAA, SRV, CAA = 1, 5, 15, 16, 28, 33, 257
CODES = {"A": A, "CNAME": CNAME, "MX": MX, "TXT": TXT, "AAAA": AAAA, "SRV": SRV, "CAA": CAA}
ELSEWHERE = {
    "NS": "name servers stand in the operator's file (dns.nameservers)",
    "SOA": "the SOA is made by the server",
    "DS": "a signed zone's DS belongs into its parent",
    **dict.fromkeys(
        ("DNSKEY", "RRSIG", "NSEC", "CDS", "CDNSKEY"), "keys and signatures are made by " "`threadhill dns key`"
    ),
}
WORD = re.compile(r'"((?:[^"\\]|\\.)*)"|(\S+)')
ESCAPED = re.compile(r"\\(?:([0-9]{3})|(.))", re.DOTALL)


@dataclass(frozen=True, slots=True)
class StaticRecord:
    """One record. `data` is bytes and names, as answers hold it."""

    owner: Labels
    ttl: int
    kind: int
    data: tuple[bytes | Labels, ...]
    text: str  # canonical


def _number(word: str, most: int, what: str) -> int:
    if not (word.isascii() and word.isdigit()) or len(word) > 10 or int(word) > most:
        raise ValueError(f"{what} is a number from 0 to {most}, not {word[:20]!r}")
    return int(word)


def _name(word: str) -> Labels:
    try:
        return labels_of(word)
    except (ValueError, UnicodeError) as error:
        raise ValueError(f"{word[:60]!r} is no domain name: {error}") from None


def _raw(quoted: str) -> bytes:
    """The bytes of a character string: `\\"`, `\\\\` and `\\DDD` stand for one each."""

    def one(match: re.Match[str]) -> str:
        if match[1] is not None and int(match[1]) > 255:
            raise ValueError(f"\\{match[1]} is no byte")
        return chr(int(match[1])) if match[1] is not None else match[2]

    try:
        return ESCAPED.sub(one, quoted).encode("latin-1")
    except UnicodeEncodeError:
        raise ValueError("a string holds bytes; write others than ASCII as \\DDD") from None


def _quoted(raw: bytes) -> str:
    return (
        '"'
        + "".join(
            f"\\{chr(byte)}" if byte in b'"\\' else chr(byte) if 32 <= byte < 127 else f"\\{byte:03}" for byte in raw
        )
        + '"'
    )


def _string(raw: bytes) -> bytes:
    if len(raw) > 255:
        raise ValueError("a string has 255 bytes at most: give several, each in quotes")
    return bytes([len(raw)]) + raw


def _data(kind: int, words: list[str]) -> tuple[tuple[bytes | Labels, ...], str]:
    """A record's data and how it is written."""
    need = {A: 1, AAAA: 1, CNAME: 1, MX: 2, SRV: 4, CAA: 3}.get(kind)
    if need is not None and len(words) != need:
        raise ValueError(f"its data has {need} words, not {len(words)}")
    if kind in (A, AAAA):
        try:
            found = ipaddress.IPv4Address(words[0]) if kind == A else ipaddress.IPv6Address(words[0])
        except ValueError:
            raise ValueError(f"{words[0][:60]!r} is no IPv{4 if kind == A else 6} address") from None
        return (found.packed,), str(found)
    if kind == CNAME:
        name = _name(words[0])
        return (name,), _written(name)
    if kind == MX:
        rank, name = _number(words[0], 65_535, "the preference"), _name(words[1])
        return (struct.pack("!H", rank), name), f"{rank} {_written(name)}"
    if kind == SRV:  # its target is not compressed (RFC 2782): as bytes
        numbers = [
            _number(word, 65_535, what)
            for word, what in zip(words, ("the priority", "the weight", "the port"), strict=False)
        ]
        name = _name(words[3])
        wire = b"".join(bytes([len(label)]) + label.encode() for label in name) + b"\0"
        return (struct.pack("!3H", *numbers) + wire,), " ".join(map(str, numbers)) + " " + _written(name)
    if kind == CAA:  # RFC 8659, section 4.1
        flags, tag, value = _number(words[0], 255, "the flags"), words[1].lower(), _raw(words[2])
        if not re.fullmatch(r"[a-z0-9]{1,15}", tag):
            raise ValueError(f"{tag[:20]!r} is no tag of a CAA record")
        return (bytes([flags, len(tag)]) + tag.encode() + value,), f"{flags} {tag} {_quoted(value)}"
    strings = [_raw(word) for word in words]
    if not strings:
        raise ValueError("a TXT record has at least one string")
    return (b"".join(map(_string, strings)),), " ".join(map(_quoted, strings))


def _written(name: Labels) -> str:
    return ".".join(name) + "."


def parse_record(text: str) -> StaticRecord:
    """One record; ValueError says what is wrong with it."""
    if not isinstance(text, str) or len(text) > 2 * MOST_DATA:
        raise ValueError("a record is a text of `NAME [TTL] TYPE DATA`")
    found = [(match[1] if match[1] is not None else match[2], match[1] is not None) for match in WORD.finditer(text)]
    words = [word for word, _ in found]
    if len(words) < 3:
        raise ValueError("a record is `NAME [TTL] TYPE DATA`")
    owner, rest = _name(words[0]), words[1:]
    ttl = TTL
    if rest[0].isdigit():
        ttl, rest = _number(rest[0], MOST_TTL, "the TTL"), rest[1:]
    if rest and rest[0].upper() == "IN":
        rest = rest[1:]
    word = rest[0].upper() if rest else ""
    if word in ELSEWHERE:
        raise ValueError(f"{word}: {ELSEWHERE[word]}")
    if word not in CODES:
        raise ValueError(f"{word[:20] or 'no type'}: the types are {', '.join(CODES)}")
    data, written = _data(CODES[word], rest[1:])
    if sum(len(piece) if isinstance(piece, bytes) else 255 for piece in data) > MOST_DATA:
        raise ValueError(f"its data has over {MOST_DATA} bytes")
    return StaticRecord(owner, ttl, CODES[word], data, f"{_written(owner)} {ttl} {word} {written}")


def zone_of(owner: Labels, zones: Iterable[str]) -> Labels | None:
    """The longest of these zones that the name is in."""
    inside = [labels for zone in zones if owner[-len(labels := labels_of(zone)) :] == labels]
    return max(inside, key=len, default=None)


def check_records(records: list[StaticRecord], zones: Iterable[str], tenant: str) -> list[tuple[int, str]]:
    """What is wrong with a tenant's records together: each fault with the record's place."""
    faults, zones = [], list(zones)
    seen: dict[Labels, dict[int, int]] = {}  # owner -> type -> TTL
    texts: set[str] = set()
    for i, record in enumerate(records):
        zone = zone_of(record.owner, zones)
        if zone is None:
            faults.append((i, f"{_written(record.owner)} is in none of the tenant's zones"))
            continue
        left = record.owner[: len(record.owner) - len(zone)]
        if left and left[-1] in (tenant, SERVERS_LABEL):
            faults.append((i, f"names under {left[-1]}.{'.'.join(zone)} are steered: choose another"))
        if not left and record.kind == CNAME:
            faults.append((i, "a zone's own name can't be an alias: its SOA stands there"))
        here = seen.setdefault(record.owner, {})
        if here.get(record.kind, record.ttl) != record.ttl:
            faults.append((i, "records of one name and type have one TTL"))
        if (record.kind == CNAME) != (CNAME in here) and here or record.kind == CNAME and CNAME in here:
            faults.append((i, f"{_written(record.owner)} is an alias: nothing else can stand there"))
        if record.text in texts:
            faults.append((i, "stands twice"))
        texts.add(record.text)
        here[record.kind] = record.ttl
    return faults
