"""Parses and serializes EDNS options (RFC 6891, section 6.1.2).

A malformed option makes the query malformed, as its RFC requires. Unknown options are skipped.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MAX_OPTIONS = 32  # in one query
MAX_EXTRA_TEXT_BYTES = 120  # EXTRA-TEXT of an extended error


class Option(IntEnum):
    """Option codes that this server knows (IANA, DNS EDNS0 Option Codes)."""

    NSID = 3  # RFC 5001
    SUBNET = 8  # RFC 7871
    COOKIE = 10  # RFC 7873
    KEEPALIVE = 11  # RFC 7828
    PADDING = 12  # RFC 7830
    EXTENDED_ERROR = 15  # RFC 8914


class ExtendedError(IntEnum):
    """Extended DNS errors that this server sends (RFC 8914, section 4)."""

    PROHIBITED = 18
    NOT_READY = 14
    NOT_AUTHORITATIVE = 20
    INVALID_TYPE = 30  # RFC 9824, section 8


@dataclass(frozen=True, slots=True)
class ClientSubnet:
    """The client subnet option of a query (RFC 7871, section 6)."""

    family: int  # 1: IPv4, 2: IPv6, 0: no address
    source_prefix: int  # source prefix length in bits
    address: bytes  # the prefix, in whole bytes

    def pack(self, scope: int) -> bytes:
        """The option data of a response: that of the query with this scope prefix length."""
        return struct.pack("!HBB", self.family, self.source_prefix, scope) + self.address


@dataclass(frozen=True, slots=True)
class Options:
    """The options of a query."""

    subnet: ClientSubnet | None = None
    nsid: bool = False
    keepalive: bool = False
    cookie: bytes | None = None  # client cookie, followed by the server cookie if the client has one (RFC 7873)
    padding: bool = False  # the query is padded, so the response is padded too (RFC 7830)


def read_subnet(raw: bytes) -> ClientSubnet:
    """Parse a client subnet. Anything but the shortest form is malformed (RFC 7871, section 7.1.2)."""
    if len(raw) < 4:
        raise ValueError("a client subnet is cut off")
    family, source_prefix, scope = struct.unpack_from("!HBB", raw)
    address = raw[4:]
    most = {0: 0, 1: 32, 2: 128}.get(family)
    if most is None or source_prefix > most or scope or len(address) != (source_prefix + 7) // 8:
        raise ValueError("a client subnet has a wrong length, family or scope")
    if source_prefix % 8 and address[-1] & (0xFF >> source_prefix % 8):
        raise ValueError("a client subnet has bits behind its prefix")
    return ClientSubnet(family, source_prefix, address)


def read_options(raw: bytes) -> Options:
    """All options of an OPT record. Raises ValueError if one is malformed."""
    subnet, seen, at, count = None, set(), 0, 0
    cookie: bytes | None = None
    while at < len(raw):
        if at + 4 > len(raw):
            raise ValueError("an option is cut off")
        code, size = struct.unpack_from("!HH", raw, at)
        data = raw[at + 4 : at + 4 + size]
        at, count = at + 4 + size, count + 1
        if len(data) < size or count > MAX_OPTIONS:
            raise ValueError("an option is cut off, or there are too many")
        if code == Option.SUBNET:
            if subnet is not None:
                raise ValueError("a second client subnet")
            subnet = read_subnet(data)
        elif code == Option.COOKIE:
            if size != 8 and not 16 <= size <= 40:  # RFC 7873, section 5.2.2
                raise ValueError("a cookie has a wrong length")
            if cookie is not None:
                raise ValueError("a second cookie")
            cookie = data
        seen.add(code)
    return Options(subnet, Option.NSID in seen, Option.KEEPALIVE in seen, cookie, Option.PADDING in seen)


def pack_option(code: int, data: bytes) -> bytes:
    return struct.pack("!HH", code, len(data)) + data


def pack_extended_error(code: int, text: str) -> bytes:
    """An extended DNS error option (RFC 8914, section 2)."""
    return pack_option(Option.EXTENDED_ERROR, struct.pack("!H", code) + text.encode()[:MAX_EXTRA_TEXT_BYTES])
