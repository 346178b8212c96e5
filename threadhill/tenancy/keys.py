"""Keys of operators and tenants for the administration API: hashed at rest, scoped, expiring, rolled with an overlap,
revoked. A key's text is shown once, when it is made. Decisions only: the time is given; the file is in `keyfile`."""

from __future__ import annotations

import base64
import hashlib
import hmac
import re
import secrets
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import Any

PREFIX = "thk"
TEXT = re.compile(rf"{PREFIX}_([0-9a-f]{{12}})_([A-Za-z0-9_-]{{43}})")
COST = 1 << 12  # scrypt's N: 4 MB and some 10 ms a check; a secret has 256 bits, so nothing is gained by guessing
MOST_KEYS = 10_000
MOST_LIFE = 3_650 * 86_400
NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
KNOWN = 1_024  # texts whose check is remembered, by a digest under a secret of this process
SOURCES = 1_024  # addresses whose failed tries are remembered
FREE = 3  # failed tries of one address before it has to wait
WAIT, WAIT_MOST = 0.5, 30.0  # seconds after the next one, doubled each time
CHECKS = 20.0  # full checks a second, of all addresses together


class Scope(Enum):
    READ = "read"
    PURGE = "purge"
    QUOTA = "quota"
    ADMIN = "admin"  # holds all others


class Refused(Exception):
    """A change of keys that can't be made; the text says why."""


@dataclass(frozen=True, slots=True)
class Key:
    """What is kept of one key. `tenant` "": an operator's."""

    id: str
    scopes: frozenset[Scope]
    salt: bytes
    hash: bytes
    created: int  # Unix seconds
    expires: int  # 0: never
    tenant: str = ""
    revoked: int = 0
    note: str = ""

    def good(self, now: int) -> bool:
        return not self.revoked and (not self.expires or now < self.expires)

    def may(self, scope: Scope) -> bool:
        return scope in self.scopes or Scope.ADMIN in self.scopes

    def document(self) -> dict[str, Any]:
        return {
            "id": self.id,
            "scopes": sorted(s.value for s in self.scopes),
            "tenant": self.tenant,
            "salt": base64.b64encode(self.salt).decode(),
            "hash": base64.b64encode(self.hash).decode(),
            "created": self.created,
            "expires": self.expires,
            "revoked": self.revoked,
            "note": self.note,
        }


def read_key(raw: Any) -> Key:
    """A key from its document; ValueError where it is none."""
    if not isinstance(raw, dict):
        raise ValueError("a key is an object")
    try:
        key = Key(
            raw["id"],
            frozenset(Scope(s) for s in raw["scopes"]),
            base64.b64decode(raw["salt"], validate=True),
            base64.b64decode(raw["hash"], validate=True),
            raw["created"],
            raw["expires"],
            raw["tenant"],
            raw["revoked"],
            raw["note"],
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"a key without {error}") from None
    whole = all(type(value) is int and value >= 0 for value in (key.created, key.expires, key.revoked))
    texts = isinstance(key.id, str) and isinstance(key.note, str) and isinstance(key.tenant, str)
    if not whole or not texts or not re.fullmatch("[0-9a-f]{12}", key.id) or len(key.hash) != 32 or not key.scopes:
        raise ValueError("a key's id, times, scopes or hash cannot be used")
    return key


def hashed(secret: str, salt: bytes) -> bytes:
    return hashlib.scrypt(secret.encode(), salt=salt, n=COST, r=8, p=1, dklen=32)


def make(scopes: Iterable[Scope], now: int, life: int = 0, tenant: str = "", note: str = "") -> tuple[Key, str]:
    """A new key and its text, which is nowhere else."""
    scopes = frozenset(scopes)
    if not scopes:
        raise Refused("a key has at least one scope: " + ", ".join(scope.value for scope in Scope))
    if tenant and not NAME.fullmatch(tenant):
        raise Refused(f"{tenant[:60]!r} is no tenant's name")
    if tenant and Scope.ADMIN in scopes:
        raise Refused("a tenant's key can't have the scope admin: that is for operators")
    if not 0 <= life <= MOST_LIFE:
        raise Refused("a key's life is from 0 (no end) to ten years")
    id, secret, salt = secrets.token_hex(6), secrets.token_urlsafe(32), secrets.token_bytes(16)
    key = Key(id, scopes, salt, hashed(secret, salt), now, now + life if life else 0, tenant, note=note[:200])
    return key, f"{PREFIX}_{id}_{secret}"


def find(keys: dict[str, Key], id: str) -> Key:
    key = keys.get(id)
    if key is None:
        raise Refused(f"no key has the id {id[:40]!r}")
    return key


def roll(keys: dict[str, Key], id: str, overlap: int, now: int) -> tuple[Key, Key, str]:
    """A new key like this one; the old one is good for so many seconds more. (Old, new, the new one's text.)"""
    old = find(keys, id)
    if not old.good(now):
        raise Refused(f"key {id} is revoked or has expired: make a new one")
    life = old.expires - old.created if old.expires else 0
    new, text = make(old.scopes, now, life, old.tenant, old.note)
    end = now + max(1, overlap)
    return replace(old, expires=min(end, old.expires or end)), new, text


def revoke(keys: dict[str, Key], id: str, now: int) -> Key:
    key = find(keys, id)
    return key if key.revoked else replace(key, revoked=now)


@dataclass(slots=True)
class Tries:
    failed: int = 0
    until: float = 0.0


@dataclass(slots=True)
class Gate:
    """Checks the texts that callers bring, and slows down who brings wrong ones."""

    keys: dict[str, Key]
    _known: OrderedDict[bytes, str] = field(default_factory=OrderedDict)
    _secret: bytes = field(default_factory=lambda: secrets.token_bytes(32))
    _sources: OrderedDict[str, Tries] = field(default_factory=OrderedDict)
    _checks: float = CHECKS
    _at: float = 0.0

    def take(self, keys: dict[str, Key]) -> None:
        """Other keys from now on. What was checked before counts no more than its key."""
        self.keys = keys
        self._known = OrderedDict((digest, id) for digest, id in self._known.items() if id in keys)

    def wait(self, source: str, now: float) -> float:
        """Seconds that this address has to wait before its next try."""
        tries = self._sources.get(source)
        return max(0.0, tries.until - now) if tries is not None else 0.0

    def check(self, text: str, source: str, now: float) -> Key | None:
        """The key that this text is of, if it is good now."""
        digest = hmac.digest(self._secret, text.encode(), "sha256")
        id = self._known.get(digest)
        if id is None:
            id = self._full(text, now)
            if id is not None:
                self._known[digest] = id
                if len(self._known) > KNOWN:
                    self._known.popitem(last=False)
        key = self.keys.get(id) if id is not None else None
        if key is None or not key.good(int(now)):
            self._failed(source, now)
            return None
        self._sources.pop(source, None)
        return key

    def _full(self, text: str, now: float) -> str | None:
        """The check that costs: as often as is allowed, and as dear for a key that nobody has."""
        self._checks = min(CHECKS, self._checks + CHECKS * max(0.0, now - self._at))
        self._at = now
        match = TEXT.fullmatch(text)
        if match is None or self._checks < 1:
            return None
        self._checks -= 1
        key = self.keys.get(match[1])
        salt, wanted = (key.salt, key.hash) if key is not None else (bytes(16), bytes(32))
        same = hmac.compare_digest(hashed(match[2], salt), wanted)
        return key.id if key is not None and same else None

    def _failed(self, source: str, now: float) -> None:
        tries = self._sources.pop(source, Tries())
        tries.failed += 1
        if tries.failed > FREE:
            tries.until = now + min(WAIT_MOST, WAIT * 2 ** min(16, tries.failed - FREE - 1))
        self._sources[source] = tries
        if len(self._sources) > SOURCES:
            self._sources.popitem(last=False)
