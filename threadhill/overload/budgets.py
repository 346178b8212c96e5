"""Retry budgets in three scopes: the client, its tenant, and the fleet as this proxy sees it. Each first try deposits a
fraction of a token in every scope; a retry withdraws one token from each, or from none. Every budget also refills
slowly over time, so that a quiet client may always retry now and then."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000


class Scope(Enum):
    CLIENT = "client"
    TENANT = "tenant"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class BudgetPolicy:
    """Of one scope: tokens that each first try deposits, tokens that are added each second, and the most that is
    kept."""

    per_first_try: float
    refill_rate: float
    capacity: float


# A client may retry half as often as it sends first tries, all clients together a fifth as often. This admits the
# retries that follow a fault of a few seconds, but not a storm in which every request is tried three times.
POLICIES = {
    Scope.CLIENT: BudgetPolicy(0.5, 0.2, 4.0),
    Scope.TENANT: BudgetPolicy(0.2, 1.0, 40.0),
    Scope.FLEET: BudgetPolicy(0.2, 2.0, 80.0),
}
MAX_BUCKETS = {Scope.CLIENT: 4_096, Scope.TENANT: 1_024, Scope.FLEET: 1}  # the least recently used is evicted first


@dataclass(slots=True)
class TokenBucket:
    tokens: float
    updated_at: int


class RetryBudgets:
    """The buckets of all scopes."""

    def __init__(self) -> None:
        self.buckets: dict[Scope, OrderedDict[str, TokenBucket]] = {scope: OrderedDict() for scope in Scope}

    def _bucket(self, scope: Scope, key: str, now: int) -> TokenBucket:
        policy, buckets = POLICIES[scope], self.buckets[scope]
        bucket = buckets.get(key)
        if bucket is None:
            # A bucket that was evicted starts again half full, so that eviction neither helps nor starves a client.
            bucket = buckets[key] = TokenBucket(policy.capacity / 2, now)
            while len(buckets) > MAX_BUCKETS[scope]:
                buckets.popitem(last=False)
            return bucket
        buckets.move_to_end(key)
        bucket.tokens = min(
            policy.capacity, bucket.tokens + policy.refill_rate * max(0, now - bucket.updated_at) / SECOND
        )
        bucket.updated_at = max(bucket.updated_at, now)
        return bucket

    def _all(self, client: str, tenant: str, now: int) -> dict[Scope, TokenBucket]:
        keys = {Scope.CLIENT: client, Scope.TENANT: tenant, Scope.FLEET: ""}
        return {scope: self._bucket(scope, keys[scope], now) for scope in Scope}

    def deposit(self, client: str, tenant: str, now: int) -> None:
        """Credits a first try to all three scopes."""
        for scope, bucket in self._all(client, tenant, now).items():
            bucket.tokens = min(POLICIES[scope].capacity, bucket.tokens + POLICIES[scope].per_first_try)

    def withdraw(self, client: str, tenant: str, now: int) -> Scope | None:
        """Pays for a retry. None if it is paid for, else the first scope, from the client outwards, without a token."""
        buckets = self._all(client, tenant, now)
        empty = next((scope for scope, bucket in buckets.items() if bucket.tokens < 1), None)
        if empty is None:
            for bucket in buckets.values():
                bucket.tokens -= 1
        return empty

    def remaining(self) -> dict[str, float]:
        """Tokens left to the fleet and to the tenant with the fewest, for the status document."""
        fleet = next(iter(self.buckets[Scope.FLEET].values()), None)
        tenants = [bucket.tokens for bucket in self.buckets[Scope.TENANT].values()]
        return {
            "fleet": round(fleet.tokens, 1) if fleet else POLICIES[Scope.FLEET].capacity / 2,
            "poorest_tenant": round(min(tenants), 1) if tenants else POLICIES[Scope.TENANT].capacity / 2,
        }
