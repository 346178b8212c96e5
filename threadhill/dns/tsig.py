"""TSIG transaction signatures (RFC 8945) with HMAC-SHA256, which authenticate queries and responses by a shared key.

No I/O: keys and the time are parameters.
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
FUDGE = 300  # seconds by which clocks may differ
CLASS_ANY = 255
TIME_FIELDS = struct.Struct("!HIHH")  # time signed (upper 16 and lower 32 bits), fudge, MAC size


class Error(IntEnum):
    """TSIG error codes (RFC 8945, section 3)."""

    NONE = 0
    BADSIG = 16
    BADKEY = 17
    BADTIME = 18


@dataclass(slots=True)
class TsigContext:
    """The verified TSIG record of a query, and the MAC that goes into that of the next response message."""

    key: Labels
    secret: bytes
    mac: bytes
    time: int
    error: Error = Error.NONE
    first: bool = (
        True  # the next response message is the first: later ones are signed with fewer fields (section 5.3.1)
    )


def _variables(key: Labels, time: int, fudge: int, error: int, other_data: bytes) -> bytes:
    return (
        pack_name(key)
        + struct.pack("!HI", CLASS_ANY, 0)
        + pack_name(ALGORITHM)
        + struct.pack("!HIHHH", time >> 32, time & 0xFFFFFFFF, fudge, error, len(other_data))
        + other_data
    )


def check(raw: bytes, query: Query, keys: Mapping[Labels, bytes], now: int) -> TsigContext:
    """Verify the TSIG record at the end of a query. Raises ValueError if the record is malformed."""
    start = query.tsig_at
    key, at = read_name(raw, start)
    _, cls, ttl, size = struct.unpack_from("!HHIH", raw, at)
    algorithm, at = read_name(raw, at + 10)
    high, low, fudge, length = TIME_FIELDS.unpack_from(raw, at)
    at += TIME_FIELDS.size
    mac = raw[at : at + length]
    original_id, error, other_size = struct.unpack_from("!3H", raw, at + length)
    other_data = raw[at + length + 6 :]
    if cls != CLASS_ANY or ttl or len(mac) != length or len(other_data) != other_size:
        raise ValueError("a TSIG record has a wrong class, TTL or length")
    time = high << 32 | low
    secret = keys.get(key)
    if secret is None or algorithm != ALGORITHM:
        return TsigContext(key, b"", b"", time, Error.BADKEY)
    header = bytearray(raw[: HEADER.size])
    struct.pack_into("!H", header, 0, original_id)
    struct.pack_into("!H", header, 10, struct.unpack_from("!H", header, 10)[0] - 1)
    signed_data = bytes(header) + raw[HEADER.size : start] + _variables(key, time, fudge, error, other_data)
    # The RFC allows MACs truncated down to half their length; this server accepts only full ones.
    if not hmac.compare_digest(hmac.digest(secret, signed_data, hashlib.sha256), mac):
        return TsigContext(key, b"", b"", time, Error.BADSIG)
    bad_time = abs(now - time) > fudge
    return TsigContext(key, secret, mac, time, Error.BADTIME if bad_time else Error.NONE)


def sign(packed: bytes, context: TsigContext, now: int) -> bytes:
    """Append a TSIG record to a response message. It has an error and no MAC if the query's key or MAC was invalid
    (section 5.3.2). A BADTIME response has this server's time."""
    other_data = struct.pack("!HI", now >> 32, now & 0xFFFFFFFF) if context.error is Error.BADTIME else b""
    time = context.time if context.error is Error.BADTIME else now
    mac = b""
    if context.secret:
        signed_data = struct.pack("!H", len(context.mac)) + context.mac + packed
        if context.first:
            signed_data += _variables(context.key, time, FUDGE, context.error, other_data)
        else:
            signed_data += struct.pack("!HIH", time >> 32, time & 0xFFFFFFFF, FUDGE)
        mac = hmac.digest(context.secret, signed_data, hashlib.sha256)
        context.mac, context.first = mac, False
    data = (
        pack_name(ALGORITHM)
        + TIME_FIELDS.pack(time >> 32, time & 0xFFFFFFFF, FUDGE, len(mac))
        + mac
        + packed[:2]
        + struct.pack("!HH", context.error, len(other_data))
        + other_data
    )
    raw = bytearray(packed)
    struct.pack_into("!H", raw, 10, struct.unpack_from("!H", raw, 10)[0] + 1)
    return bytes(raw) + pack_name(context.key) + struct.pack("!HHIH", Type.TSIG, CLASS_ANY, 0, len(data)) + data


def max_record_size(context: TsigContext) -> int:
    """Maximum bytes of the TSIG record of a response."""
    return len(pack_name(context.key)) + 10 + len(pack_name(ALGORITHM)) + TIME_FIELDS.size + 32 + 6 + 6
