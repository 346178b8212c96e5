"""Admission control while demand exceeds the limit: requests are ordered by priority, worth per unit of work and the
claims of listeners; capacity is shared fairly between tenants and between clients. Recomputed ten times a second from
recent demand.

Every request has a level. Each tenant has a cutoff level that follows from its share of the limit; requests below it
are admitted. Shares are max-min fair: what one tenant does not need goes to the others.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum

SECOND = 1_000_000
UPDATE_INTERVAL = 100_000  # microseconds
VALUE_LEVELS = 4  # levels within a priority, by worth per unit of work
CLIENT_LEVELS = 4  # levels within those, by client, so that not all clients of a kind are refused together
MAX_TENANTS = 1_024  # tenants whose demand is tracked; the least recently added is evicted first
MAX_CLIENTS = 4_096  # clients whose request rates are tracked
CLAIM_LIFETIME = 5 * SECOND  # microseconds for which a listener's claim on the next part holds
MAX_CLAIMS = 8_192
HEAVY_FACTOR = 8.0  # multiple of the median client's rate above which a client's requests are ranked last of their kind
HEAVY_MIN = 5.0  # requests a second below which a client never counts as heavy
ROTATION = 10 * SECOND  # microseconds after which the order of the client levels rotates
MEAN_WINDOW = 0.5  # seconds, time constant of the mean demand


class Priority(IntEnum):
    """Order of admission: the lowest value first."""

    KEYED = 0  # purchases: never held off, since that would only cause a retry
    PROMISED = 1  # the client was told to come back now
    LISTENER = 2  # the next part of an object that is being played: a gap is what listeners notice
    FIRST = 3
    AGAIN = 4
    EARLY = 5  # the client came back before the time it was told


LEVELS = len(Priority) * VALUE_LEVELS * CLIENT_LEVELS


@dataclass(slots=True)
class Demand:
    """A tenant's demand by level, in work a second, and its cutoff."""

    current: list[float] = field(default_factory=lambda: [0.0] * LEVELS)
    mean: list[float] = field(default_factory=lambda: [0.0] * LEVELS)
    cutoff: int = LEVELS  # requests below this level are admitted
    cutoff_share: float = 0.0  # the fraction of requests at the cutoff level that is admitted


class Claims:
    """The last part that each listener was served, in a bounded table."""

    def __init__(self) -> None:
        self.served: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()

    def record(self, client: str, object: str, part: int, now: int) -> None:
        self.served.pop((client, object), None)
        self.served[client, object] = part, now
        if len(self.served) > MAX_CLAIMS:
            self.served.popitem(last=False)

    def holds(self, client: str, object: str, part: int, now: int) -> bool:
        last = self.served.get((client, object))
        return last is not None and now - last[1] <= CLAIM_LIFETIME and 0 < part - last[0] <= 2


def max_min(demands: dict[str, float], limit: float) -> dict[str, float]:
    """Max-min fair shares of the limit: nobody gets more than it demands, and the rest goes to those that demand
    more."""
    shares: dict[str, float] = {}
    left, count = limit, len(demands)
    for name, demand in sorted(demands.items(), key=lambda pair: (pair[1], pair[0])):
        shares[name] = min(demand, left / count)
        left, count = left - shares[name], count - 1
    return shares


class AdmissionController:
    """Admits requests up to `limit` (work a second; infinite admits all)."""

    def __init__(self) -> None:
        self.limit = math.inf
        self.demands: OrderedDict[str, Demand] = OrderedDict()
        self.rates: OrderedDict[str, tuple[float, int]] = OrderedDict()  # client -> decayed request count, and when
        self.claims = Claims()
        self.density = 0.0  # running mean of worth per unit of work
        self._updated_at = 0
        self._accumulated = 0.0
        self._median_rate = 1.0  # decayed request count of the median client

    def level(self, priority: Priority, worth: float, work: float, client: str, now: int) -> int:
        """The request's level: the lower, the sooner it is admitted."""
        density = worth / max(work, 1e-4)
        self.density += 0.02 * (density - self.density) if self.density else density
        ratio = math.log2(density / self.density) if self.density > 0 else 0.0
        value_level = min(VALUE_LEVELS - 1, max(0, round(VALUE_LEVELS / 2 - 0.5 - ratio / 2)))
        if self._is_heavy(client, now):
            value_level = VALUE_LEVELS - 1
        client_level = (zlib.crc32(client.encode()) + now // ROTATION) % CLIENT_LEVELS
        return (priority * VALUE_LEVELS + value_level) * CLIENT_LEVELS + client_level

    def _is_heavy(self, client: str, now: int) -> bool:
        """Counts the request, and tells whether this client sends far more than the median client."""
        amount, at = self.rates.pop(client, (0.0, now))
        amount = amount * math.exp((at - now) / SECOND) + 1
        self.rates[client] = amount, now
        if len(self.rates) > MAX_CLIENTS:
            self.rates.popitem(last=False)
        return amount > HEAVY_MIN and amount > HEAVY_FACTOR * self._median_rate

    def admit(self, tenant: str, level: int, work: float) -> bool:
        """Counts the request as demand, and tells whether it is admitted."""
        demand = self.demands.get(tenant)
        if demand is None:
            demand = self.demands[tenant] = Demand()
            if len(self.demands) > MAX_TENANTS:
                self.demands.popitem(last=False)
        demand.current[level] += work
        if self.limit == math.inf or level < VALUE_LEVELS * CLIENT_LEVELS:  # keyed requests are never held off
            return True
        if level != demand.cutoff:
            return level < demand.cutoff
        # Admits a fixed fraction, evenly spaced instead of at random.
        self._accumulated += demand.cutoff_share
        if self._accumulated >= 1:
            self._accumulated -= 1
            return True
        return False

    def within_share(self, tenant: str) -> bool:
        """Whether all of this tenant's demand is admitted while the limit is in force for others."""
        demand = self.demands.get(tenant)
        return self.limit != math.inf and len(self.demands) > 1 and demand is not None and demand.cutoff == LEVELS

    def update(self, now: int) -> None:
        """Recomputes each tenant's cutoff."""
        elapsed = (
            max(UPDATE_INTERVAL // 2, now - self._updated_at) / SECOND if self._updated_at else UPDATE_INTERVAL / SECOND
        )
        self._updated_at = now
        weight = -math.expm1(-elapsed / MEAN_WINDOW)
        for tenant, demand in list(self.demands.items()):
            for i, work in enumerate(demand.current):
                demand.mean[i] += weight * (work / elapsed - demand.mean[i])
            demand.current = [0.0] * LEVELS
            if sum(demand.mean) < 1e-3:
                del self.demands[tenant]
        if self.rates:
            recent = [amount for amount, at in self.rates.values() if now - at < SECOND]
            self._median_rate = sorted(recent)[len(recent) // 2] if recent else 1.0
        demands = {tenant: sum(demand.mean) for tenant, demand in self.demands.items()}
        shares = max_min(demands, self.limit) if self.limit != math.inf else demands
        for tenant, demand in self.demands.items():
            demand.cutoff, demand.cutoff_share = self._cutoff(demand.mean, shares[tenant])

    @staticmethod
    def _cutoff(mean: list[float], share: float) -> tuple[int, float]:
        """The level at which the share is used up, and the fraction of that level that still fits."""
        for level, work in enumerate(mean):
            if work > share + 1e-9:
                return level, share / work
            share -= work
        return LEVELS, 0.0
