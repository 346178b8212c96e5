"""What an answer is worth: how many requests the clients behind one resolver bring to the server that it names.

Each resolver (by the client subnet that it tells, else by its own address) and class has an estimate, moved by what
servers report they have in hand beyond this proxy's own attempts there. Resolvers that keep answers of TTL 0 are known
by the load that stays on a server after nothing named it any more. Decisions only: no I/O, no clock of its own.
"""

from __future__ import annotations

import ipaddress
from collections import OrderedDict, deque
from dataclasses import dataclass, field

SECOND = 1_000_000
KEYS = 4_096  # resolvers and classes whose estimates are kept; the one heard least lately goes first
LEAST, MOST = 1.0, 256.0  # requests that an answer may stand for
LEARN = 0.3  # part of the way to what a report says that an estimate moves at once
ACTIVE = SECOND  # microseconds after an answer in which its clients are taken to be at the server
LINGER = 10 * SECOND  # microseconds after an answer in which load that stays may still be its resolver's
ANSWERS = 32  # answers of one resolver remembered, of the last LINGER
HOLDS = 8.0  # requests of load that stayed, put down to a resolver, from which on it is taken to hold answers
HOLDER_WEIGHT = 64.0  # the least that an answer to a resolver that holds is charged: it goes to no cold server
FADE = 60 * SECOND  # microseconds in which what a resolver held is forgotten by half
BASE_LEARN = 0.1  # part of the way that a server's load without any answer of ours moves its base at once
SERVERS = 4_096  # servers whose base is kept
V4_BITS, V6_BITS = 24, 56  # of an address that name one resolver


def resolver_key(peer: str, subnet: tuple[int, int, bytes] | None = None) -> str:
    """The network that a query speaks for: the client subnet that the resolver told, else the resolver's own.
    `subnet` is (family, prefix length, address bytes) as RFC 7871 carries it."""
    if subnet is not None and subnet[0] in (1, 2) and subnet[1]:
        family, bits, raw = subnet
        size = 4 if family == 1 else 16
        address = ipaddress.ip_address(raw.ljust(size, b"\0")[:size])
        bits = min(bits, V4_BITS if family == 1 else V6_BITS)
        return str(ipaddress.ip_network(f"{address}/{bits}", strict=False))
    try:
        address = ipaddress.ip_address(peer)
    except ValueError:
        return peer
    bits = V4_BITS if address.version == 4 else V6_BITS
    return str(ipaddress.ip_network(f"{address}/{bits}", strict=False))


@dataclass(slots=True)
class Estimate:
    """One resolver's and class's."""

    weight: float = LEAST
    held: float = 0.0  # requests of load that stayed after its answers, fading
    held_at: int = 0
    heard: int = 0  # when it last asked
    asked: int = 0
    answers: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=ANSWERS))  # (when, server)

    def holding(self, now: int) -> float:
        return self.held * 0.5 ** ((now - self.held_at) / FADE) if self.held_at else 0.0


class Charging:
    """The estimates of all resolvers, bounded."""

    def __init__(self) -> None:
        self.estimates: OrderedDict[tuple[str, str], Estimate] = OrderedDict()
        self.by_server: dict[int, OrderedDict[tuple[str, str], int]] = {}  # who named a server, and when last
        # What a server has in hand beyond this proxy's attempts while no answer of ours named it: other proxies' work,
        # which is nobody's answer.
        self.base: OrderedDict[int, float] = OrderedDict()

    def _get(self, key: tuple[str, str]) -> Estimate:
        estimate = self.estimates.get(key)
        if estimate is None:
            estimate = self.estimates[key] = Estimate()
            while len(self.estimates) > KEYS:
                self._drop(next(iter(self.estimates)))
        else:
            self.estimates.move_to_end(key)
        return estimate

    def _drop(self, key: tuple[str, str]) -> None:
        estimate = self.estimates.pop(key)
        for _, server in estimate.answers:
            named = self.by_server.get(server)
            if named is not None:
                named.pop(key, None)
                if not named:
                    del self.by_server[server]

    def weight(self, resolver: str, cls: str, now: int) -> float:
        """What an answer to this resolver is charged now, in requests."""
        estimate = self._get((resolver, cls))
        estimate.heard, estimate.asked = now, estimate.asked + 1
        if estimate.holding(now) >= HOLDS:
            return max(HOLDER_WEIGHT, estimate.weight)
        return estimate.weight

    def holds(self, resolver: str, cls: str, now: int) -> bool:
        estimate = self.estimates.get((resolver, cls))
        return estimate is not None and estimate.holding(now) >= HOLDS

    def answered(self, resolver: str, cls: str, server: int, now: int) -> None:
        """An answer named this server."""
        key = (resolver, cls)
        estimate = self._get(key)
        estimate.answers.append((now, server))
        named = self.by_server.setdefault(server, OrderedDict())
        named[key] = now
        named.move_to_end(key)
        while len(named) > KEYS:
            named.popitem(last=False)

    def reported(self, server: int, brought: float, now: int) -> None:
        """A server has `brought` requests in hand beyond this proxy's own: what is over its usual level without our
        answers is shared out over those that named it."""
        named = self.by_server.get(server)
        if not named:
            base = self.base.pop(server, brought)
            self.base[server] = base + BASE_LEARN * (brought - base)
            while len(self.base) > SERVERS:
                self.base.popitem(last=False)
            return
        brought = max(0.0, brought - self.base.get(server, 0.0))
        active: list[tuple[Estimate, int]] = []
        lately: list[Estimate] = []
        for key, at in list(named.items()):
            estimate = self.estimates.get(key)
            if estimate is None or now - at > LINGER:
                del named[key]
                continue
            recent = sum(1 for when, one in estimate.answers if one == server and now - when <= ACTIVE)
            if recent:
                active.append((estimate, recent))
            else:
                lately.append(estimate)
        if not named:
            del self.by_server[server]
        expected = sum(estimate.weight * count for estimate, count in active)
        if expected > 0:
            ratio = max(brought, 0.0) / expected
            for estimate, _ in active:
                estimate.weight = min(MOST, max(LEAST, estimate.weight * ratio ** LEARN))
        elif brought > 0 and lately:
            # Nothing named it lately enough to explain this: answers that were kept are.
            for estimate in lately:
                estimate.held = estimate.holding(now) + brought / len(lately)
                estimate.held_at = now

    def resolvers(self, now: int) -> list[dict[str, object]]:
        """What is known of each resolver and class, those that hold first, then the heaviest."""
        rows = [{"resolver": resolver, "class": cls, "weight": round(e.weight, 2), "holds": e.holding(now) >= HOLDS,
                 "held": round(e.holding(now), 1), "asked": e.asked, "heard_ms_ago": (now - e.heard) // 1_000}
                for (resolver, cls), e in self.estimates.items()]
        rows.sort(key=lambda row: (not row["holds"], -float(row["weight"])))  # type: ignore[arg-type]
        return rows
