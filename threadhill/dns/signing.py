"""Signatures made as answers are (RFC 4034, 4035), with compact denial (RFC 9824): the name that is asked for is
proved to have no such type, or none at all, by one NSEC record made for it.

What is signed is the records alone, so a signature that is kept for the next answer of the same records names no
server by itself: which records are answered with is decided before, each time. Decisions only: keys and time are given.
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

STEP = 300  # seconds in which signatures of the same records have the same times, so that they can be kept
SKEW = 3_600  # seconds that a resolver's clock may be behind
KEPT = 8_192  # signatures kept at most, some 300 bytes each
BY_ALL = (Type.DNSKEY, Type.CDS, Type.CDNSKEY)  # sets that each of the zone's keys signs: any DS leads to them
NAMELESS = (Type.RRSIG, Type.NSEC, Type.NXNAME)  # the types at a name that does not exist (RFC 9824, section 2)


def canonical(record: Record) -> bytes:
    """The record's data in canonical form (RFC 4034, section 6.2): names whole and in lower case."""
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
    """The next name in canonical order, so that a denial covers this one only (RFC 9824, section 3.1)."""
    if sum(len(label) + 1 for label in name) + 3 <= MAX_NAME_BYTES:
        return ("\0", *name)
    first = name[0].rstrip("\xff") or name[0]
    return (first[:-1] + chr(min(255, ord(first[-1]) + 1)), *name[1:])


@dataclass(frozen=True, slots=True)
class Ready:
    """A key with all that signing needs of it worked out."""

    tag: int
    rdata: bytes
    ds: bytes
    state: State
    private: ec.EllipticCurvePrivateKey


class Signer:
    """Signs for the zones that have keys."""

    def __init__(self, zones: Mapping[str, list[Key]], life: int = 3_600) -> None:
        self.life = life  # seconds for which a signature is good at the least
        self.made = self.found = 0  # signatures made, and found among those kept
        self.set_keys(zones)

    def set_keys(self, zones: Mapping[str, list[Key]]) -> None:
        """Sign by these keys from now on; what was signed by others is forgotten."""
        self.zones = {
            zone: [Ready(key.tag, key.rdata, key.ds, key.state, key.private) for key in keys]
            for zone, keys in zones.items()
        }
        self._kept: dict[tuple[int, Labels, int, int, tuple[bytes, ...]], bytes] = {}
        self._step = -1

    def signs(self, zone: str) -> bool:
        return zone in self.zones

    def apex(self, zone: str, kind: int) -> list[Record]:
        """The records at a signed zone's name that tell of its keys."""
        keys = self.zones.get(zone, [])
        if kind in (Type.DNSKEY, Type.CDNSKEY):
            return [Record(kind, key.rdata, ttl=KEY_TTL) for key in keys]
        if kind == Type.CDS:  # what the parent is to have: also what a roll is about to need (RFC 7344)
            return [Record(kind, key.ds, ttl=KEY_TTL) for key in keys if key.state is not State.RETIRED]
        return []

    def sign(self, query: Query, response: Response, now: int) -> None:
        """Add signatures to each set of a zone of ours, and the denial where there is nothing else to prove it."""
        zone = response.zone
        if zone not in self.zones or response.code not in (Code.NOERROR, Code.NXDOMAIN) or response.truncated:
            return
        if response.exists is not None and not response.answers:
            self._deny(query, response)
        for section in (response.answers, response.authority, response.additional):
            section.extend(self._signatures(query.name, section, zone, now))

    def _deny(self, query: Query, response: Response) -> None:
        """That the name has no such type; one that does not exist is one without any (RFC 9824, section 3)."""
        exists = response.exists or ()
        if response.code == Code.NXDOMAIN:
            types = list(NAMELESS)
            if not query.compact:  # who does not know of it takes NXDOMAIN with this proof for a fault
                response.code = Code.NOERROR
        else:
            types = [kind for kind in (*exists, Type.RRSIG, Type.NSEC) if kind != query.type]
        data = pack_name(successor(query.name)) + bitmap(types)
        response.authority.append(Record(Type.NSEC, data))

    def _signatures(self, name: Labels, section: list[Record], zone: str, now: int) -> list[Record]:
        sets: dict[tuple[Labels, int], list[Record]] = {}
        apex = labels_of(zone)
        for record in section:
            owner = record.owner if record.owner is not None else name
            if owner[-len(apex) :] == apex:  # what another zone has is not ours to sign
                sets.setdefault((owner, record.type), []).append(record)
        made = []
        for (owner, kind), records in sets.items():
            keys = self.zones[zone] if kind in BY_ALL else self.zones[zone][:1]  # the active one comes first
            made += [
                Record(Type.RRSIG, self._signature(owner, records, apex, key, now), records[0].owner, records[0].ttl)
                for key in keys
            ]
        return made

    def _signature(self, owner: Labels, records: list[Record], apex: Labels, key: Ready, now: int) -> bytes:
        """The data of one RRSIG record (RFC 4034, section 3.1)."""
        step = now // STEP
        if step != self._step:
            self._step, self._kept = step, {}
        kind, ttl = records[0].type, records[0].ttl
        datas = tuple(sorted(canonical(record) for record in records))
        place = key.tag, owner, kind, ttl, datas
        kept = self._kept.get(place)
        if kept is not None:
            self.found += 1
            return kept
        begin = step * STEP
        head = struct.pack(
            "!HBBIIIH",
            kind,
            ALGORITHM,
            len(owner),
            ttl,
            begin + STEP + self.life & 0xFFFFFFFF,
            begin - SKEW & 0xFFFFFFFF,
            key.tag,
        ) + pack_name(apex)
        wire = pack_name(owner)
        fixed = struct.pack("!HHI", kind, 1, ttl)
        signed = head + b"".join(wire + fixed + struct.pack("!H", len(data)) + data for data in datas)
        r, s = utils.decode_dss_signature(key.private.sign(signed, ec.ECDSA(hashes.SHA256())))
        signature = head + r.to_bytes(32, "big") + s.to_bytes(32, "big")
        if len(self._kept) >= KEPT:
            del self._kept[next(iter(self._kept))]
        self._kept[place] = signature
        self.made += 1
        return signature
