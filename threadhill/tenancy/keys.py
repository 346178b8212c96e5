"""Keys of operators and tenants for the administration API: stored as hashes, with scopes and an expiry, rolled with
an overlap, revoked. A key's text is shown only when it is created. Without I/O: callers pass the time, and `keyfile`
holds the file."""

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
KEY_PATTERN = re.compile(rf"{PREFIX}_([0-9a-f]{{12}})_([A-Za-z0-9_-]{{43}})")
SCRYPT_N = 1 << 12  # 4 MB and some 10 ms per check; secrets have 256 random bits, so guessing gains nothing
MAX_KEYS = 10_000
MAX_LIFETIME_S = 3_650 * 86_400  # ten years
TENANT_NAME = re.compile(r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?")
MAX_VERIFIED = 1_024  # cached successful checks, by the text's HMAC under a secret of this process
MAX_SOURCES = 1_024  # addresses whose failed attempts are remembered
FREE_FAILURES = 3  # failed attempts of one address before it has to wait
FIRST_WAIT_S, MAX_WAIT_S = 0.5, 30.0  # after the next failure, doubled with each further one
CHECKS_PER_S = 20.0  # scrypt checks per second, for all addresses together


class Scope(Enum):
    READ = "read"
    PURGE = "purge"
    QUOTA = "quota"
    ADMIN = "admin"  # includes all others


class KeyChangeRefused(Exception):
    """A change of keys is not possible; the text says why."""


@dataclass(frozen=True, slots=True)
class Key:
    """The stored record of one key. An operator's key has the tenant ""."""

    id: str
    scopes: frozenset[Scope]
    salt: bytes
    hash: bytes
    created: int  # Unix seconds
    expires: int  # 0: never
    tenant: str = ""
    revoked: int = 0  # Unix seconds; 0: not revoked
    note: str = ""

    def is_valid(self, now: int) -> bool:
        return not self.revoked and (not self.expires or now < self.expires)

    def allows(self, scope: Scope) -> bool:
        return scope in self.scopes or Scope.ADMIN in self.scopes

    def to_document(self) -> dict[str, Any]:
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
    """Parse a key's document; raises ValueError if it is not valid."""
    if not isinstance(raw, dict):
        raise ValueError("a key must be a JSON object")
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
        raise ValueError(f"a key is incomplete: {error}") from None
    times_valid = all(type(value) is int and value >= 0 for value in (key.created, key.expires, key.revoked))
    texts_valid = isinstance(key.id, str) and isinstance(key.note, str) and isinstance(key.tenant, str)
    if (
        not times_valid
        or not texts_valid
        or not re.fullmatch("[0-9a-f]{12}", key.id)
        or len(key.hash) != 32
        or not key.scopes
    ):
        raise ValueError("a key's id, times, scopes or hash are not valid")
    return key


def hash_secret(secret: str, salt: bytes) -> bytes:
    return hashlib.scrypt(secret.encode(), salt=salt, n=SCRYPT_N, r=8, p=1, dklen=32)


def create(scopes: Iterable[Scope], now: int, lifetime_s: int = 0, tenant: str = "", note: str = "") -> tuple[Key, str]:
    """Create a key; returns it and its text, which is not stored."""
    scopes = frozenset(scopes)
    if not scopes:
        raise KeyChangeRefused("a key needs at least one scope: " + ", ".join(scope.value for scope in Scope))
    if tenant and not TENANT_NAME.fullmatch(tenant):
        raise KeyChangeRefused(f"{tenant[:60]!r} is not a valid tenant name")
    if tenant and Scope.ADMIN in scopes:
        raise KeyChangeRefused("a tenant's key can't have the scope admin: that is for operators")
    if not 0 <= lifetime_s <= MAX_LIFETIME_S:
        raise KeyChangeRefused("a key's lifetime must be from 0 (no expiry) to ten years")
    id, secret, salt = secrets.token_hex(6), secrets.token_urlsafe(32), secrets.token_bytes(16)
    key = Key(
        id, scopes, salt, hash_secret(secret, salt), now, now + lifetime_s if lifetime_s else 0, tenant, note=note[:200]
    )
    return key, f"{PREFIX}_{id}_{secret}"


def find(keys: dict[str, Key], id: str) -> Key:
    """Return the key with this id; raises KeyChangeRefused if there is none."""
    key = keys.get(id)
    if key is None:
        raise KeyChangeRefused(f"no key has the id {id[:40]!r}")
    return key


def roll(keys: dict[str, Key], id: str, overlap: int, now: int) -> tuple[Key, Key, str]:
    """Create a key like this one; the old one stays valid for `overlap` seconds. Returns old, new, the new text."""
    old = find(keys, id)
    if not old.is_valid(now):
        raise KeyChangeRefused(f"key {id} is revoked or has expired: create a new one")
    lifetime_s = old.expires - old.created if old.expires else 0
    new, text = create(old.scopes, now, lifetime_s, old.tenant, old.note)
    end = now + max(1, overlap)
    return replace(old, expires=min(end, old.expires or end)), new, text


def revoke(keys: dict[str, Key], id: str, now: int) -> Key:
    """Return the key as revoked; a key that is revoked already keeps its time."""
    key = find(keys, id)
    return key if key.revoked else replace(key, revoked=now)


@dataclass(slots=True)
class FailedAttempts:
    """The failed attempts of one address, and the time until which it has to wait."""

    count: int = 0
    blocked_until: float = 0.0


@dataclass(slots=True)
class KeyChecker:
    """Checks the keys that callers present, and delays addresses that present wrong ones."""

    keys: dict[str, Key]
    _verified: OrderedDict[bytes, str] = field(default_factory=OrderedDict)
    _secret: bytes = field(default_factory=lambda: secrets.token_bytes(32))
    _sources: OrderedDict[str, FailedAttempts] = field(default_factory=OrderedDict)
    _check_tokens: float = CHECKS_PER_S
    _refilled_at: float = 0.0

    def replace_keys(self, keys: dict[str, Key]) -> None:
        """Use other keys from now on; cached checks of keys that are gone are dropped."""
        self.keys = keys
        self._verified = OrderedDict((digest, id) for digest, id in self._verified.items() if id in keys)

    def retry_delay(self, source: str, now: float) -> float:
        """Seconds that this address has to wait before its next attempt."""
        attempts = self._sources.get(source)
        return max(0.0, attempts.blocked_until - now) if attempts is not None else 0.0

    def check(self, text: str, source: str, now: float) -> Key | None:
        """Return the key with this text, if it is valid now."""
        digest = hmac.digest(self._secret, text.encode(), "sha256")
        id = self._verified.get(digest)
        if id is None:
            id = self._check_hash(text, now)
            if id is not None:
                self._verified[digest] = id
                if len(self._verified) > MAX_VERIFIED:
                    self._verified.popitem(last=False)
        key = self.keys.get(id) if id is not None else None
        if key is None or not key.is_valid(int(now)):
            self._record_failure(source, now)
            return None
        self._sources.pop(source, None)
        return key

    def _check_hash(self, text: str, now: float) -> str | None:
        """Check the text by scrypt, within the rate limit. An unknown id costs as much as a known one."""
        self._check_tokens = min(CHECKS_PER_S, self._check_tokens + CHECKS_PER_S * max(0.0, now - self._refilled_at))
        self._refilled_at = now
        match = KEY_PATTERN.fullmatch(text)
        if match is None or self._check_tokens < 1:
            return None
        self._check_tokens -= 1
        key = self.keys.get(match[1])
        salt, expected = (key.salt, key.hash) if key is not None else (bytes(16), bytes(32))
        matches = hmac.compare_digest(hash_secret(match[2], salt), expected)
        return key.id if key is not None and matches else None

    def _record_failure(self, source: str, now: float) -> None:
        attempts = self._sources.pop(source, FailedAttempts())
        attempts.count += 1
        if attempts.count > FREE_FAILURES:
            attempts.blocked_until = now + min(
                MAX_WAIT_S, FIRST_WAIT_S * 2 ** min(16, attempts.count - FREE_FAILURES - 1)
            )
        self._sources[source] = attempts
        if len(self._sources) > MAX_SOURCES:
            self._sources.popitem(last=False)
