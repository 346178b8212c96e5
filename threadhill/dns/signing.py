"""Online DNSSEC signing (RFC 4034, RFC 4035) with compact denial of existence (RFC 9824): one NSEC record made for the
query name proves that the name lacks the type, or does not exist.

A signature covers records only, so it can be cached and reused without delaying a drain: which records are in an answer
is decided each time before they are signed. No I/O: keys and time are parameters.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from dataclasses import dataclass

from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec, utils

from threadhill.dns.keys import ALGORITHM, KEY_TTL, Key, State
from threadhill.dns.message import Code, Labels, Query, Record, Response, Type, pack_name
from threadhill.hostnames import MAX_NAME_BYTES, labels_of

VALIDITY_STEP = 300  # seconds; signature times are rounded to this, so that signatures can be cached
CLOCK_SKEW = 3_600  # seconds by which a resolver's clock may be behind
MAX_CACHED_SIGNATURES = 8_192  # some 300 bytes each
SIGNED_BY_ALL_KEYS = (Type.DNSKEY, Type.CDS, Type.CDNSKEY)  # signed by each key, so that any DS record matches one
NXDOMAIN_TYPES = (Type.RRSIG, Type.NSEC, Type.NXNAME)  # NSEC types of a name that does not exist (RFC 9824, section 2)


def canonical(record: Record) -> bytes:
    """The record's data in canonical form (RFC 4034, section 6.2): names uncompressed and in lower case."""
    if isinstance(record.data, bytes):
        return record.data
    return b"".join(
        piece if isinstance(piece, bytes) else pack_name(tuple(label.lower() for label in piece))
        for piece in record.data
    )


def bitmap(types: list[int]) -> bytes:
    """The type bitmaps of an NSEC record (RFC 4034, section 4.1.2)."""
    windows: dict[int, bytearray] = {}
    for kind in sorted(set(types)):
        window = windows.setdefault(kind >> 8, bytearray(32))
        window[(kind & 0xFF) >> 3] |= 0x80 >> (kind & 7)
    packed = b""
    for number, bits in sorted(windows.items()):
        used = bytes(bits).rstrip(b"\0")
        packed += bytes([number, len(used)]) + used
    return packed


def successor(name: Labels) -> Labels:
    """The next name in canonical order, so that the NSEC record covers only this name (RFC 9824, section 3.1)."""
    if sum(len(label) + 1 for label in name) + 3 <= MAX_NAME_BYTES:
        return ("\0", *name)
    first = name[0].rstrip("\xff") or name[0]
    return (first[:-1] + chr(min(255, ord(first[-1]) + 1)), *name[1:])


@dataclass(frozen=True, slots=True)
class SigningKey:
    """A key with the values needed for signing, computed once."""

    tag: int
    rdata: bytes
    ds: bytes
    state: State
    private: ec.EllipticCurvePrivateKey


class Signer:
    """Signs the records of all zones that have keys."""

    def __init__(self, zones: Mapping[str, list[Key]], lifetime: int = 3_600) -> None:
        self.lifetime = lifetime  # minimum validity of a signature, in seconds
        self.signatures_made = self.cache_hits = 0
        self.set_keys(zones)

    def set_keys(self, zones: Mapping[str, list[Key]]) -> None:
        """Sign with these keys from now on and clear the cache."""
        self.zones = {
            zone: [SigningKey(key.tag, key.rdata, key.ds, key.state, key.private) for key in keys]
            for zone, keys in zones.items()
        }
        self._cache: dict[tuple[int, Labels, int, int, tuple[bytes, ...]], bytes] = {}
        self._step = -1

    def is_signed(self, zone: str) -> bool:
        return zone in self.zones

    def key_records(self, zone: str, kind: int) -> list[Record]:
        """The DNSKEY, CDS or CDNSKEY records at the apex of a signed zone."""
        keys = self.zones.get(zone, [])
        if kind in (Type.DNSKEY, Type.CDNSKEY):
            return [Record(kind, key.rdata, ttl=KEY_TTL) for key in keys]
        if kind == Type.CDS:  # the DS records that the parent should have, including the next key's (RFC 7344)
            return [Record(kind, key.ds, ttl=KEY_TTL) for key in keys if key.state is not State.RETIRED]
        return []

    def sign(self, query: Query, response: Response, now: int) -> None:
        """Add signatures to each record set of a signed zone, and an NSEC record to a negative answer."""
        zone = response.zone
        if zone not in self.zones or response.code not in (Code.NOERROR, Code.NXDOMAIN) or response.truncated:
            return
        if response.exists is not None and not response.answers:
            self._deny(query, response)
        for section in (response.answers, response.authority, response.additional):
            section.extend(self._signatures(query.name, section, zone, now))

    def _deny(self, query: Query, response: Response) -> None:
        """Add the NSEC record of a negative answer. A name that does not exist gets one too, with the NXNAME type
        (RFC 9824, section 3)."""
        exists = response.exists or ()
        if response.code == Code.NXDOMAIN:
            types = list(NXDOMAIN_TYPES)
            if not query.compact_denial:  # other resolvers consider NXDOMAIN with this proof bogus
                response.code = Code.NOERROR
        else:
            types = [kind for kind in (*exists, Type.RRSIG, Type.NSEC) if kind != query.type]
        data = pack_name(successor(query.name)) + bitmap(types)
        response.authority.append(Record(Type.NSEC, data))

    def _signatures(self, name: Labels, section: list[Record], zone: str, now: int) -> list[Record]:
        rrsets: dict[tuple[Labels, int], list[Record]] = {}
        apex = labels_of(zone)
        for record in section:
            owner = record.owner if record.owner is not None else name
            if owner[-len(apex) :] == apex:  # records of other zones are not signed
                rrsets.setdefault((owner, record.type), []).append(record)
        signatures = []
        for (owner, kind), records in rrsets.items():
            keys = self.zones[zone] if kind in SIGNED_BY_ALL_KEYS else self.zones[zone][:1]  # the active key is first
            signatures += [
                Record(Type.RRSIG, self._signature(owner, records, apex, key, now), records[0].owner, records[0].ttl)
                for key in keys
            ]
        return signatures

    def _signature(self, owner: Labels, records: list[Record], apex: Labels, key: SigningKey, now: int) -> bytes:
        """The data of one RRSIG record (RFC 4034, section 3.1)."""
        step = now // VALIDITY_STEP
        if step != self._step:
            self._step, self._cache = step, {}
        kind, ttl = records[0].type, records[0].ttl
        rdatas = tuple(sorted(canonical(record) for record in records))
        cache_key = key.tag, owner, kind, ttl, rdatas
        cached = self._cache.get(cache_key)
        if cached is not None:
            self.cache_hits += 1
            return cached
        inception_base = step * VALIDITY_STEP
        rdata_prefix = struct.pack(
            "!HBBIIIH",
            kind,
            ALGORITHM,
            len(owner),
            ttl,
            inception_base + VALIDITY_STEP + self.lifetime & 0xFFFFFFFF,
            inception_base - CLOCK_SKEW & 0xFFFFFFFF,
            key.tag,
        ) + pack_name(apex)
        owner_wire = pack_name(owner)
        rr_header = struct.pack("!HHI", kind, 1, ttl)
        signed_data = rdata_prefix + b"".join(
            owner_wire + rr_header + struct.pack("!H", len(data)) + data for data in rdatas
        )
        r, s = utils.decode_dss_signature(key.private.sign(signed_data, ec.ECDSA(hashes.SHA256())))
        signature = rdata_prefix + r.to_bytes(32, "big") + s.to_bytes(32, "big")
        if len(self._cache) >= MAX_CACHED_SIGNATURES:
            del self._cache[next(iter(self._cache))]
        self._cache[cache_key] = signature
        self.signatures_made += 1
        return signature
