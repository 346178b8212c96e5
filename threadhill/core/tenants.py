"""The tenants of a hosted proxy: names, zones, quotas and records, as one versioned state."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000
BURST_SECONDS = 1.0  # a tenant may use the quota of this many seconds at once


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant. A quota of 0 means no limit."""

    name: str
    zones: tuple[str, ...] = ()
    quota: float = 0.0  # requests per second over all fronts
    records: tuple[str, ...] = ()  # static DNS records besides the steered names, in canonical zone file form


class VersionConflict(Exception):
    """The state is not at the version that a change is based on."""


@dataclass(slots=True)
class TokenBucket:
    """The token bucket of one tenant's quota."""

    tokens: float
    updated_at: int

    def take(self, now: int, rate: float) -> int:
        """Take one token and return 0, or return the microseconds until one is available."""
        capacity = max(1.0, rate * BURST_SECONDS)
        self.tokens = min(capacity, self.tokens + rate * max(0, now - self.updated_at) / SECOND)
        self.updated_at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return int((1 - self.tokens) / rate * SECOND) + 1


class Tenants:
    """All tenants. They are replaced as a whole, and every change makes a new version."""

    def __init__(self) -> None:
        self.version = 0
        self.by_name: dict[str, Tenant] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._zones: frozenset[str] = frozenset()

    def zones(self) -> frozenset[str]:
        """The zones of all tenants. Computed once per version, as every DNS query needs them."""
        return self._zones

    def replace(self, tenants: list[Tenant], base_version: int | None = None) -> bool:
        """Replace all tenants if the state is still at `base_version`. Returns whether anything changed."""
        if base_version is not None and base_version != self.version:
            raise VersionConflict(f"the state is at version {self.version}, the change was planned on {base_version}")
        new = {tenant.name: tenant for tenant in tenants}
        if new == self.by_name:
            return False
        kept = {n for n, t in new.items() if n in self.by_name and self.by_name[n].quota == t.quota}
        self._buckets = {name: bucket for name, bucket in self._buckets.items() if name in kept}
        self.by_name, self.version = new, self.version + 1
        self._zones = frozenset(zone for tenant in tenants for zone in tenant.zones)
        return True

    def update(self, tenants: list[Tenant], gone: set[str], complete: bool) -> None:
        """Add or replace these tenants and remove those in `gone`. With `complete`, remove all others too."""
        kept = {} if complete else self.by_name
        new = {name: tenant for name, tenant in kept.items() if name not in gone}
        self.replace(list((new | {tenant.name: tenant for tenant in tenants}).values()))

    def accepts(self, name: str | None) -> bool:
        """Whether requests of this tenant are accepted. If no tenant was ever configured, all are."""
        return name is None or not self.version or name in self.by_name

    def quota_wait(self, name: str | None, now: int) -> int:
        """0 if a request of this tenant is within its quota, else the microseconds until one would be."""
        tenant = self.by_name.get(name) if name is not None else None
        if tenant is None or not tenant.quota:
            return 0
        bucket = self._buckets.setdefault(tenant.name, TokenBucket(max(1.0, tenant.quota * BURST_SECONDS), now))
        return bucket.take(now, tenant.quota)
