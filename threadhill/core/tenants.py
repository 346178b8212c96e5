"""The tenants of a hosted proxy: their names, zones and quotas, as one numbered state."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000
BURST_SECONDS = 1.0  # seconds of a tenant's quota that it may use at once


@dataclass(frozen=True, slots=True)
class Tenant:
    """One tenant; a quota of 0 is no limit."""

    name: str
    zones: tuple[str, ...] = ()
    quota: float = 0.0  # requests a second, all fronts together
    records: tuple[str, ...] = ()  # static records beside the steered names, in the canonical form of zone files


class VersionConflict(Exception):
    """The state is not at the version that a change was planned on."""


@dataclass(slots=True)
class TokenBucket:
    """A token bucket: what one tenant may still ask for. Nobody else's requests touch it."""

    tokens: float
    at: int

    def take(self, now: int, rate: float) -> int:
        """Take one token; 0, or the microseconds until there will be one."""
        most = max(1.0, rate * BURST_SECONDS)
        self.tokens = min(most, self.tokens + rate * max(0, now - self.at) / SECOND)
        self.at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return int((1 - self.tokens) / rate * SECOND) + 1


class Tenants:
    """All tenants, replaced as a whole; every change of any of them makes a new version."""

    def __init__(self) -> None:
        self.version = 0
        self.by_name: dict[str, Tenant] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._zones: frozenset[str] = frozenset()

    def zones(self) -> frozenset[str]:
        """All tenants' zones; made anew with each version only, since every DNS query asks."""
        return self._zones

    def replace(self, tenants: list[Tenant], on: int | None = None) -> bool:
        """Make these the tenants, if the state is still at version `on`; tells whether anything changed."""
        if on is not None and on != self.version:
            raise VersionConflict(f"the state is at version {self.version}, the change was planned on {on}")
        new = {tenant.name: tenant for tenant in tenants}
        if new == self.by_name:
            return False
        kept = {n for n, t in new.items() if n in self.by_name and self.by_name[n].quota == t.quota}
        self._buckets = {name: bucket for name, bucket in self._buckets.items() if name in kept}
        self.by_name, self.version = new, self.version + 1
        self._zones = frozenset(zone for tenant in tenants for zone in tenant.zones)
        return True

    def update(self, tenants: list[Tenant], gone: set[str], whole: bool) -> None:
        """Make these so and drop those that are gone; with `whole` there are no others."""
        kept = {} if whole else self.by_name
        new = {name: tenant for name, tenant in kept.items() if name not in gone}
        self.replace(list((new | {tenant.name: tenant for tenant in tenants}).values()))

    def accepts(self, name: str | None) -> bool:
        """Whether requests under this name are taken. Where no tenant was ever set up, names mean nothing."""
        return name is None or not self.version or name in self.by_name

    def quota_wait(self, name: str | None, now: int) -> int:
        """0 where a request of this tenant is within its quota, else how long until one would be."""
        tenant = self.by_name.get(name) if name is not None else None
        if tenant is None or not tenant.quota:
            return 0
        bucket = self._buckets.setdefault(tenant.name, TokenBucket(max(1.0, tenant.quota * BURST_SECONDS), now))
        return bucket.take(now, tenant.quota)
