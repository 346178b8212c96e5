"""DNS cookies (RFC 7873) with server cookies in the format of RFC 9018: version, reserved bytes, timestamp, and a keyed
SipHash-2-4 over the client cookie, these fields and the client's address. A query with a valid server cookie proves
that its address is not spoofed, so the limits for unproven addresses don't apply to it.

No I/O: the secret and the time are parameters.
"""

from __future__ import annotations

import hmac
import ipaddress
import struct
from enum import Enum

VERSION = 1
CLIENT_COOKIE_BYTES = 8
SERVER_COOKIE_BYTES = 16  # of server cookies made here
MAX_AGE = 3_600  # seconds for which a server cookie is valid (RFC 9018, section 4.3)
MAX_CLOCK_LEAD = 300  # seconds by which its timestamp may be in the future: the clocks of a cluster differ
RENEWAL_AGE = 1_800  # seconds after which a valid server cookie is replaced
MASK = (1 << 64) - 1


def _rotate(value: int, bits: int) -> int:
    return (value << bits | value >> (64 - bits)) & MASK


def siphash24(key: bytes, data: bytes) -> bytes:
    """SipHash-2-4 (Aumasson and Bernstein, 2012) of `data` under a 16-byte key, as 8 bytes, little-endian."""
    k0, k1 = struct.unpack("<QQ", key)
    v = [k0 ^ 0x736F6D6570736575, k1 ^ 0x646F72616E646F6D, k0 ^ 0x6C7967656E657261, k1 ^ 0x7465646279746573]

    def rounds(count: int) -> None:
        for _ in range(count):
            v[0] = (v[0] + v[1]) & MASK
            v[1] = _rotate(v[1], 13) ^ v[0]
            v[0] = _rotate(v[0], 32)
            v[2] = (v[2] + v[3]) & MASK
            v[3] = _rotate(v[3], 16) ^ v[2]
            v[0] = (v[0] + v[3]) & MASK
            v[3] = _rotate(v[3], 21) ^ v[0]
            v[2] = (v[2] + v[1]) & MASK
            v[1] = _rotate(v[1], 17) ^ v[2]
            v[2] = _rotate(v[2], 32)

    whole = len(data) // 8 * 8
    for at in range(0, whole, 8):
        (word,) = struct.unpack_from("<Q", data, at)
        v[3] ^= word
        rounds(2)
        v[0] ^= word
    last = (len(data) & 0xFF) << 56 | int.from_bytes(data[whole:], "little")
    v[3] ^= last
    rounds(2)
    v[0] ^= last
    v[2] ^= 0xFF
    rounds(4)
    return struct.pack("<Q", v[0] ^ v[1] ^ v[2] ^ v[3])


class CookieStatus(Enum):
    NONE = "none"
    CLIENT_ONLY = "client only"  # a first query, or the client lost its server cookie
    BAD = "bad"  # not made here for this address, or expired
    GOOD = "good"


class Cookies:
    """Makes and checks server cookies under one secret."""

    def __init__(self, secret: bytes) -> None:
        if len(secret) != 16:
            raise ValueError("a cookie secret has 16 bytes")
        self.secret = secret

    def make(self, client: bytes, peer: str, now: int) -> bytes:
        """A server cookie for this client cookie and address, at `now` in Unix seconds."""
        header = struct.pack("!B3xI", VERSION, now & 0xFFFFFFFF)
        return header + siphash24(self.secret, client + header + ipaddress.ip_address(peer).packed)

    def check(self, cookie: bytes | None, peer: str, now: int) -> CookieStatus:
        if cookie is None:
            return CookieStatus.NONE
        if len(cookie) == CLIENT_COOKIE_BYTES:
            return CookieStatus.CLIENT_ONLY
        client, server = cookie[:CLIENT_COOKIE_BYTES], cookie[CLIENT_COOKIE_BYTES:]
        if len(server) != SERVER_COOKIE_BYTES or server[0] != VERSION:
            return CookieStatus.BAD
        (created_at,) = struct.unpack_from("!I", server, 4)
        if not now - MAX_AGE <= created_at <= now + MAX_CLOCK_LEAD:
            return CookieStatus.BAD
        try:
            expected = self.make(client, peer, created_at)
        except ValueError:  # the peer is not an IP address
            return CookieStatus.BAD
        return CookieStatus.GOOD if hmac.compare_digest(expected, server) else CookieStatus.BAD

    def response_cookie(self, cookie: bytes, peer: str, now: int) -> bytes:
        """The cookie option of a response: the client cookie and a server cookie, which is the query's until
        RENEWAL_AGE (RFC 9018, section 4.3)."""
        client = cookie[:CLIENT_COOKIE_BYTES]
        if (
            len(cookie) == CLIENT_COOKIE_BYTES + SERVER_COOKIE_BYTES
            and self.check(cookie, peer, now) is CookieStatus.GOOD
        ):
            (created_at,) = struct.unpack_from("!I", cookie, CLIENT_COOKIE_BYTES + 4)
            if now - created_at < RENEWAL_AGE:
                return cookie
        try:
            return client + self.make(client, peer, now)
        except ValueError:
            return client
