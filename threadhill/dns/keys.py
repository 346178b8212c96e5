"""Signing keys of zones: ECDSA P-256 (RFC 6605), with one active key per zone that signs its records and DNSKEY set.

A key is one JSON file, readable by its owner only. It is `published` (resolvers learn it, it signs the DNSKEY set),
`active` (it signs everything) or `retired` (still published, for resolvers with cached signatures). A key rollover
passes through these states by command, each step only after older DNSKEY sets have expired from resolvers' caches, so
that a resolver can always find the key of a signature.
"""

from __future__ import annotations

import hashlib
import json
import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from pathlib import Path

from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec

from threadhill.dns.message import pack_name
from threadhill.files import FileVersion, check_private, file_version, replace_private
from threadhill.hostnames import labels_of
from threadhill.settings import Malformed

ALGORITHM = 13  # ECDSAP256SHA256 (RFC 6605, section 4)
FLAGS = 257  # zone key, secure entry point
PROTOCOL = 3
SHA256 = 2  # digest type of DS records (RFC 4509)
KEY_TTL = 300  # seconds for which resolvers may cache a DNSKEY set
MIN_STATE_SECONDS = 2 * KEY_TTL  # minimum time as published or retired; older DNSKEY sets have expired by then
MAX_FILE_BYTES = 16 << 10
MAX_KEYS = 8  # per zone


class State(Enum):
    PUBLISHED = "published"
    ACTIVE = "active"
    RETIRED = "retired"


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a zone."""

    zone: str
    state: State
    created: int  # Unix seconds
    state_since: int  # Unix seconds
    private: ec.EllipticCurvePrivateKey

    @property
    def rdata(self) -> bytes:
        """The data of its DNSKEY record (RFC 4034, section 2.1; RFC 6605, section 4)."""
        numbers = self.private.public_key().public_numbers()
        return (
            struct.pack("!HBB", FLAGS, PROTOCOL, ALGORITHM)
            + numbers.x.to_bytes(32, "big")
            + numbers.y.to_bytes(32, "big")
        )

    @property
    def tag(self) -> int:
        """The key tag (RFC 4034, appendix B)."""
        data = self.rdata
        total = sum(byte << 8 if i % 2 == 0 else byte for i, byte in enumerate(data))
        return total + (total >> 16) & 0xFFFF

    @property
    def ds(self) -> bytes:
        """The data of the DS record for the parent zone (RFC 4034, section 5.1.4)."""
        digest = hashlib.sha256(pack_name(labels_of(self.zone)) + self.rdata).digest()
        return struct.pack("!HBB", self.tag, ALGORITHM, SHA256) + digest

    @property
    def file_name(self) -> str:
        return f"K{self.zone}.+{ALGORITHM:03}+{self.tag:05}.json"


def generate(zone: str, state: State, now: int) -> Key:
    """Generate a new key."""
    return Key(".".join(labels_of(zone)), state, now, now, ec.generate_private_key(ec.SECP256R1()))


def write(folder: Path, key: Key) -> Path:
    """Write the key's file atomically, readable by its owner only from the start."""
    pem = key.private.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    ).decode()
    text = json.dumps(
        {
            "zone": key.zone,
            "algorithm": ALGORITHM,
            "tag": key.tag,
            "state": key.state.value,
            "created": key.created,
            "changed": key.state_since,
            "private": pem,
        },
        indent=2,
    )
    path = folder / key.file_name
    replace_private(path, text + "\n")
    return path


def read(path: Path) -> Key:
    """Read one key file. Raises Malformed with the error and what to do about it."""
    check_private(path, MAX_FILE_BYTES)
    try:
        raw = json.loads(path.read_text())
        private = serialization.load_pem_private_key(raw["private"].encode(), None)
        if not isinstance(private, ec.EllipticCurvePrivateKey) or private.curve.name != "secp256r1":
            raise ValueError("its private key is not ECDSA P-256")
        key = Key(
            ".".join(labels_of(raw["zone"])), State(raw["state"]), int(raw["created"]), int(raw["changed"]), private
        )
    except (ValueError, KeyError, TypeError, AttributeError, UnsupportedAlgorithm) as error:
        raise Malformed(
            f"{path}: not a key file ({str(error)[:120] or type(error).__name__}); restore a copy of it, "
            "or remove it and roll the zone's key"
        ) from None
    if raw.get("algorithm") != ALGORITHM or raw.get("tag") != key.tag or path.name != key.file_name:
        raise Malformed(f"{path}: name, tag and algorithm do not fit its private key, whose file is {key.file_name}")
    return key


def read_folder(folder: Path) -> dict[str, list[Key]]:
    """All keys by zone, the active one first. Raises Malformed if the keys of a zone cannot be used."""
    if not folder.is_dir():
        raise Malformed(f"{folder}: no such folder; make one with `threadhill dns key generate ZONE --keys {folder}`")
    zones: dict[str, list[Key]] = {}
    for path in sorted(folder.glob("K*.json")):
        key = read(path)
        zones.setdefault(key.zone, []).append(key)
    for zone, keys in zones.items():
        active = sorted((key for key in keys if key.state is State.ACTIVE), key=lambda key: key.state_since)
        if not active or len(keys) > MAX_KEYS or len({key.tag for key in keys}) < len(keys):
            raise Malformed(
                f"{folder}: zone {zone} has {len(keys)} keys of which {len(active)} are active: one must "
                f"be, of {MAX_KEYS} at most with different tags"
            )
        # An activation that was interrupted between its two files leaves two active keys: the newer one counts.
        keys[:] = [replace(key, state=State.RETIRED) if key in active[:-1] else key for key in keys]
        keys.sort(key=lambda key: (key.state is not State.ACTIVE, key.created, key.tag))
    return zones


class RollRefused(Exception):
    """The key command cannot be carried out now, for example because resolvers would lack the key of a signature."""


def _find(keys: list[Key], tag: int) -> Key:
    key = next((key for key in keys if key.tag == tag), None)
    if key is None:
        raise RollRefused(f"no key with tag {tag}; there are {', '.join(str(k.tag) for k in keys) or 'none'}")
    return key


def _check_settled(key: Key, now: int, force: bool) -> None:
    remaining = key.state_since + MIN_STATE_SECONDS - now
    if remaining > 0 and not force:
        raise RollRefused(
            f"key {key.tag} is {key.state.value} since {now - key.state_since} s: resolvers may keep older "
            f"DNSKEY sets for {remaining} s more"
        )


def roll(zone: str, keys: list[Key], now: int) -> list[Key]:
    """The first step of a rollover: a new published key. Returns the keys that changed."""
    if any(key.state is State.PUBLISHED for key in keys):
        raise RollRefused(f"a roll of {zone} is under way; activate or remove its published key first")
    if len(keys) >= MAX_KEYS:
        raise RollRefused(f"{zone} has {len(keys)} keys: remove a retired one first")
    used_tags = {key.tag for key in keys}
    new = generate(zone, State.PUBLISHED, now)
    while new.tag in used_tags:  # the file name has only zone and tag
        new = generate(zone, State.PUBLISHED, now)
    return [new]


def activate(keys: list[Key], tag: int, now: int, force: bool = False) -> list[Key]:
    """The second step: this key becomes active, the active one is retired. Returns the keys that changed."""
    key = _find(keys, tag)
    if key.state is State.ACTIVE:
        return []
    if key.state is State.PUBLISHED:
        _check_settled(key, now, force)
    return [
        replace(key, state=State.ACTIVE, state_since=now),
        *(replace(k, state=State.RETIRED, state_since=now) for k in keys if k.state is State.ACTIVE),
    ]


def check_removable(keys: list[Key], tag: int, now: int, force: bool = False) -> Key:
    """The last step: the key to be removed, if it can be. A key that never signed can be removed at once."""
    key = _find(keys, tag)
    if key.state is State.ACTIVE:
        raise RollRefused(f"key {tag} is active: activate another one first")
    if key.state is State.RETIRED:
        _check_settled(key, now, force)
    return key


class KeyFolder:
    """The keys of a folder that are in use. `reload_if_changed` reads them again after a file changed."""

    def __init__(self, folder: Path, log: Callable[[str], None]) -> None:
        self.folder, self.log = folder, log
        self._file_versions = self._current_versions()
        self.zones: Mapping[str, list[Key]] = read_folder(folder)

    def _current_versions(self) -> list[tuple[str, FileVersion | None]]:
        return [(path.name, file_version(path)) for path in sorted(self.folder.glob("K*.json"))]

    def reload_if_changed(self) -> bool:
        """Whether new keys were loaded. Keys that cannot be used are logged once, and the loaded ones stay in use."""
        versions = self._current_versions()
        if versions == self._file_versions:
            return False
        self._file_versions = versions
        try:
            self.zones = read_folder(self.folder)
        except (Malformed, OSError) as error:
            self.log(f"dns keys: {error}; the keys loaded before stay in use")
            return False
        self.log(
            "dns keys: "
            + "; ".join(
                f"{zone} {', '.join(f'{k.tag} {k.state.value}' for k in keys)}"
                for zone, keys in sorted(self.zones.items())
            )
        )
        return True
