"""Retry budgets at three levels: the client's, its tenant's and the fleet's, as this proxy sees it. First tries pay in
a share, a retry takes one from each or none. What nobody pays into grows slowly by itself, so that a quiet client may
always try again now and then."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000


class Level(Enum):
    CLIENT = "client"
    TENANT = "tenant"
    FLEET = "fleet"


@dataclass(frozen=True, slots=True)
class Terms:
    """Of one level: what each first try pays in, what grows by itself each second, and the most that is kept."""

    share: float
    floor: float
    most: float


# A client may retry half of what it asks first; all of them together a fifth: retries that follow a fault of a few
# seconds are let through, and a storm in which each is tried three times is not.
TERMS = {Level.CLIENT: Terms(0.5, 0.2, 4.0), Level.TENANT: Terms(0.2, 1.0, 40.0), Level.FLEET: Terms(0.2, 2.0, 80.0)}
KEYS = {Level.CLIENT: 4_096, Level.TENANT: 1_024, Level.FLEET: 1}  # purses kept; the least recently used goes first


@dataclass(slots=True)
class Purse:
    tokens: float
    at: int


class RetryBudgets:
    """All purses. `first` pays in; `retry` takes one from each of the three, or tells which of them is empty."""

    def __init__(self) -> None:
        self.purses: dict[Level, OrderedDict[str, Purse]] = {level: OrderedDict() for level in Level}

    def _purse(self, level: Level, key: str, now: int) -> Purse:
        terms, purses = TERMS[level], self.purses[level]
        purse = purses.get(key)
        if purse is None:
            # A purse that was dropped begins again at half: neither a way to riches nor to none.
            purse = purses[key] = Purse(terms.most / 2, now)
            while len(purses) > KEYS[level]:
                purses.popitem(last=False)
            return purse
        purses.move_to_end(key)
        purse.tokens = min(terms.most, purse.tokens + terms.floor * max(0, now - purse.at) / SECOND)
        purse.at = max(purse.at, now)
        return purse

    def _all(self, client: str, tenant: str, now: int) -> dict[Level, Purse]:
        keys = {Level.CLIENT: client, Level.TENANT: tenant, Level.FLEET: ""}
        return {level: self._purse(level, keys[level], now) for level in Level}

    def deposit(self, client: str, tenant: str, now: int) -> None:
        for level, purse in self._all(client, tenant, now).items():
            purse.tokens = min(TERMS[level].most, purse.tokens + TERMS[level].share)

    def withdraw(self, client: str, tenant: str, now: int) -> Level | None:
        """None: paid for. Else the first level, from the client's outwards, that has not got one."""
        purses = self._all(client, tenant, now)
        empty = next((level for level, purse in purses.items() if purse.tokens < 1), None)
        if empty is None:
            for purse in purses.values():
                purse.tokens -= 1
        return empty

    def left(self) -> dict[str, float]:
        """Of the fleet's and the poorest tenant's, for who looks."""
        fleet = next(iter(self.purses[Level.FLEET].values()), None)
        tenants = [purse.tokens for purse in self.purses[Level.TENANT].values()]
        return {
            "fleet": round(fleet.tokens, 1) if fleet else TERMS[Level.FLEET].most / 2,
            "poorest_tenant": round(min(tenants), 1) if tenants else TERMS[Level.TENANT].most / 2,
        }
