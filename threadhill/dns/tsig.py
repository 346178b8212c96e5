"""Transaction signatures (RFC 8945), HMAC-SHA256: who asks is who holds a key, and what comes back was not changed.

No I/O: keys and the time are given.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from threadhill.dns.message import HEADER, Labels, Query, Type, pack_name, read_name

ALGORITHM = ("hmac-sha256",)
FUDGE = 300  # seconds that clocks may differ
ANY = 255
FIELDS = struct.Struct("!HIHH")  # time, in two parts, fudge and the MAC's length


class Error(IntEnum):
    """RFC 8945, section 3."""

    NONE = 0
    BADSIG = 16
    BADKEY = 17
    BADTIME = 18


@dataclass(slots=True)
class Signed:
    """What a query's signature said, and the MAC that the next message of the answer builds on."""

    key: Labels
    secret: bytes
    mac: bytes
    time: int
    error: Error = Error.NONE
    first: bool = True  # of the answer's messages: later ones are signed with fewer fields (section 5.3.1)


def _variables(key: Labels, time: int, fudge: int, error: int, other: bytes) -> bytes:
    return (
        pack_name(key)
        + struct.pack("!HI", ANY, 0)
        + pack_name(ALGORITHM)
        + struct.pack("!HIHHH", time >> 32, time & 0xFFFFFFFF, fudge, error, len(other))
        + other
    )


def check(raw: bytes, query: Query, keys: Mapping[Labels, bytes], now: int) -> Signed:
    """Whether the signature at the query's end holds; ValueError where it cannot be read."""
    start = query.tsig_at
    key, at = read_name(raw, start)
    _, cls, ttl, size = struct.unpack_from("!HHIH", raw, at)
    algorithm, at = read_name(raw, at + 10)
    high, low, fudge, length = FIELDS.unpack_from(raw, at)
    at += FIELDS.size
    mac = raw[at : at + length]
    original, error, more = struct.unpack_from("!3H", raw, at + length)
    other = raw[at + length + 6 :]
    if cls != ANY or ttl or len(mac) != length or len(other) != more:
        raise ValueError("a TSIG record has a wrong class, TTL or length")
    time = high << 32 | low
    secret = keys.get(key)
    if secret is None or algorithm != ALGORITHM:
        return Signed(key, b"", b"", time, Error.BADKEY)
    header = bytearray(raw[: HEADER.size])
    struct.pack_into("!H", header, 0, original)
    struct.pack_into("!H", header, 10, struct.unpack_from("!H", header, 10)[0] - 1)
    signed = bytes(header) + raw[HEADER.size : start] + _variables(key, time, fudge, error, other)
    # A shorter MAC would be allowed by the RFC down to half; whoever has the key has all of it.
    if not hmac.compare_digest(hmac.digest(secret, signed, hashlib.sha256), mac):
        return Signed(key, b"", b"", time, Error.BADSIG)
    late = abs(now - time) > fudge
    return Signed(key, secret, mac, time, Error.BADTIME if late else Error.NONE)


def sign(packed: bytes, signed: Signed, now: int) -> bytes:
    """A message of the answer with its signature; unsigned, with the reason, where the query's did not hold
    (section 5.3.2). Where the clocks differ ours is told."""
    other = struct.pack("!HI", now >> 32, now & 0xFFFFFFFF) if signed.error is Error.BADTIME else b""
    time = signed.time if signed.error is Error.BADTIME else now
    mac = b""
    if signed.secret:
        before = struct.pack("!H", len(signed.mac)) + signed.mac + packed
        if signed.first:
            before += _variables(signed.key, time, FUDGE, signed.error, other)
        else:
            before += struct.pack("!HIH", time >> 32, time & 0xFFFFFFFF, FUDGE)
        mac = hmac.digest(signed.secret, before, hashlib.sha256)
        signed.mac, signed.first = mac, False
    data = (
        pack_name(ALGORITHM)
        + FIELDS.pack(time >> 32, time & 0xFFFFFFFF, FUDGE, len(mac))
        + mac
        + packed[:2]
        + struct.pack("!HH", signed.error, len(other))
        + other
    )
    raw = bytearray(packed)
    struct.pack_into("!H", raw, 10, struct.unpack_from("!H", raw, 10)[0] + 1)
    return bytes(raw) + pack_name(signed.key) + struct.pack("!HHIH", Type.TSIG, ANY, 0, len(data)) + data


def room(signed: Signed) -> int:
    """Bytes that the signature of an answer takes at most."""
    return len(pack_name(signed.key)) + 10 + len(pack_name(ALGORITHM)) + FIELDS.size + 32 + 6 + 6
