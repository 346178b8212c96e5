"""Who goes first while there is not room for all: ranks, worth per unit of work, claims of listeners, and shares that
are fair between tenants and between clients, found anew ten times a second from what came lately.

Every ask has a level; a tenant's level up to which asks are let in follows from its share of the room. Shares are
max-min: what one tenant does not need the others have.
"""

from __future__ import annotations

import math
import zlib
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import IntEnum

SECOND = 1_000_000
TURN = 100_000
SUBS = 4  # levels of a rank by worth per unit of work
SPREADS = 4  # levels of those by the client: so that not all of a kind stay out together
TENANTS = 1_024  # tenants whose demand is kept; the one heard least lately goes first
CLIENTS = 4_096  # clients whose claims and rates are kept
CLAIM = 5 * SECOND  # microseconds for which a listener's claim on the next part holds
CLAIMS = 8_192
HOG = 8.0  # times the usual client's rate (the median) from which on a client's asks go behind others of their kind
HOG_LEAST = 5.0  # asks a second that any client may have
ROTATE = 10 * SECOND  # microseconds after which other clients of a kind are the first
MEAN = 0.5  # seconds of the mean of demand


class Priority(IntEnum):
    """Who goes first."""

    KEYED = 0  # purchases: never damped into a repeat that nobody asked for
    PROMISED = 1  # it was told to come now
    LISTENER = 2  # the next part of what is being listened to: a gap is what people notice
    FIRST = 3
    AGAIN = 4
    EARLY = 5  # it comes before the time that it was told


LEVELS = len(Priority) * SUBS * SPREADS


@dataclass(slots=True)
class Demand:
    """What a tenant asks for, in work a second, by level."""

    now: list[float] = field(default_factory=lambda: [0.0] * LEVELS)
    mean: list[float] = field(default_factory=lambda: [0.0] * LEVELS)
    level: int = LEVELS  # asks under this level are let in
    part: float = 0.0  # and this part of those at it


class Claims:
    """The last part that each listener was served, bounded."""

    def __init__(self) -> None:
        self.served: OrderedDict[tuple[str, str], tuple[int, int]] = OrderedDict()

    def note(self, client: str, object: str, part: int, now: int) -> None:
        self.served.pop((client, object), None)
        self.served[client, object] = part, now
        if len(self.served) > CLAIMS:
            self.served.popitem(last=False)

    def holds(self, client: str, object: str, part: int, now: int) -> bool:
        last = self.served.get((client, object))
        return last is not None and now - last[1] <= CLAIM and 0 < part - last[0] <= 2


def max_min(wants: dict[str, float], room: float) -> dict[str, float]:
    """Shares of the room: nobody gets more than it wants, and what is over goes to those that want more."""
    shares: dict[str, float] = {}
    left, count = room, len(wants)
    for name, want in sorted(wants.items(), key=lambda pair: (pair[1], pair[0])):
        shares[name] = min(want, left / count)
        left, count = left - shares[name], count - 1
    return shares


class AdmissionController:
    """Lets asks in up to `room` (work a second; infinite: all)."""

    def __init__(self) -> None:
        self.limit = math.inf
        self.demands: OrderedDict[str, Demand] = OrderedDict()
        self.rates: OrderedDict[str, tuple[float, int]] = OrderedDict()  # client -> asks lately, and when
        self.claims = Claims()
        self.density = 0.0  # worth per unit of work of the usual ask
        self._at = 0
        self._drawn = 0.0
        self._usual = 1.0  # asks lately of the usual client

    def level(self, rank: Priority, worth: float, work: float, client: str, now: int) -> int:
        """The ask's level: the lower, the sooner it is let in."""
        density = worth / max(work, 1e-4)
        self.density += 0.02 * (density - self.density) if self.density else density
        ratio = math.log2(density / self.density) if self.density > 0 else 0.0
        sub = min(SUBS - 1, max(0, round(SUBS / 2 - 0.5 - ratio / 2)))
        if self._hogs(client, now):
            sub = SUBS - 1
        spread = (zlib.crc32(client.encode()) + now // ROTATE) % SPREADS
        return (rank * SUBS + sub) * SPREADS + spread

    def _hogs(self, client: str, now: int) -> bool:
        """Whether this client asks for far more than others do."""
        amount, at = self.rates.pop(client, (0.0, now))
        amount = amount * math.exp((at - now) / SECOND) + 1
        self.rates[client] = amount, now
        if len(self.rates) > CLIENTS:
            self.rates.popitem(last=False)
        return amount > HOG_LEAST and amount > HOG * self._usual

    def admit(self, tenant: str, level: int, work: float) -> bool:
        """Count the ask as demanded, and tell whether it is let in."""
        demand = self.demands.get(tenant)
        if demand is None:
            demand = self.demands[tenant] = Demand()
            if len(self.demands) > TENANTS:
                self.demands.popitem(last=False)
        demand.now[level] += work
        if self.limit == math.inf or level < SUBS * SPREADS:  # keyed asks are never held off
            return True
        if level != demand.level:
            return level < demand.level
        # Evenly spread, without chance: every so many of them.
        self._drawn += demand.part
        if self._drawn >= 1:
            self._drawn -= 1
            return True
        return False

    def within(self, tenant: str) -> bool:
        """Whether all that this tenant asks for is let in, while others are cut."""
        demand = self.demands.get(tenant)
        return self.limit != math.inf and len(self.demands) > 1 and demand is not None and demand.level == LEVELS

    def update(self, now: int) -> None:
        """Find each tenant's level anew."""
        gone = max(TURN // 2, now - self._at) / SECOND if self._at else TURN / SECOND
        self._at = now
        weight = -math.expm1(-gone / MEAN)
        for tenant, demand in list(self.demands.items()):
            for i, work in enumerate(demand.now):
                demand.mean[i] += weight * (work / gone - demand.mean[i])
            demand.now = [0.0] * LEVELS
            if sum(demand.mean) < 1e-3:
                del self.demands[tenant]
        if self.rates:
            recent = [amount for amount, at in self.rates.values() if now - at < SECOND]
            self._usual = sorted(recent)[len(recent) // 2] if recent else 1.0
        wants = {tenant: sum(demand.mean) for tenant, demand in self.demands.items()}
        shares = max_min(wants, self.limit) if self.limit != math.inf else wants
        for tenant, demand in self.demands.items():
            demand.level, demand.part = self._cut(demand.mean, shares[tenant])

    @staticmethod
    def _cut(mean: list[float], share: float) -> tuple[int, float]:
        """The level at which the share is used up, and the part of that level that still fits."""
        for level, work in enumerate(mean):
            if work > share + 1e-9:
                return level, share / work
            share -= work
        return LEVELS, 0.0
