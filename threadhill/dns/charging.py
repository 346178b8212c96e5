"""What an answer is worth: how many requests the clients behind one resolver bring to the server that it names.

Each resolver (by the client subnet that it tells, else by its own address) and class has an estimate, moved by what
servers report they have in hand beyond this proxy's own attempts there. Resolvers that keep answers of TTL 0 are known
by the load that stays on a server after nothing named it any more, and by never asking for a name again within a second
though their answers bring many. Decisions only: no I/O, no clock of its own.
"""

from __future__ import annotations

import ipaddress
import math
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import lru_cache

SECOND = 1_000_000
KEYS = 4_096  # resolvers and classes whose estimates are kept; the one heard least lately goes first
# Requests that an answer may stand for; under one where many are asked for one client's request (A, AAAA, HTTPS).
LEAST, MOST = 0.125, 256.0
ACTIVE = SECOND  # microseconds over which answers are counted, and reports smoothed to be compared with them
RISE, FALL = SECOND, 4 * SECOND  # microseconds of reports that move an estimate most of the way up, and down
LEAP = 8.0  # the most that an estimate is taken to be wrong by at once: reports are few and late
QUIET = 5 * SECOND  # microseconds without an answer before load that stays says anything: reports may come 4 s late
LINGER = 15 * SECOND  # microseconds after an answer in which load that stays may still be its resolver's
NAMES = 16  # names of one resolver whose last query is remembered
SOON = SECOND  # microseconds within which who keeps nothing asks for a popular name again
SELDOM = 20  # times in a row that no name came again so soon, from which on a resolver is taken to hold answers ...
BRINGS = 4.0  # ... if its answers bring so many requests: one of few clients asks seldom by itself
LOOK = 200_000  # microseconds between two judgements of a server's reports: each looks at all who were sent there
NAMED = 32  # servers remembered of one resolver, those named last
HOLDS = 8.0  # requests of load that stayed, put down to a resolver, from which on it is taken to hold answers
HOLDER_WEIGHT = 64.0  # the least that an answer to a resolver that holds is charged: it goes to no cold server
FADE = 60 * SECOND  # microseconds in which what a resolver held is forgotten by half
BASE_LEARN = 0.1  # part of the way that a server's load without any answer of ours moves its base at once
SERVERS = 4_096  # servers whose base is kept
V4_BITS, V6_BITS = 24, 56  # of an address that name one resolver


@lru_cache(KEYS)  # the same few resolvers ask again and again, and reading addresses costs more than all else here
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
    names: OrderedDict[str, int] = field(default_factory=OrderedDict)  # when it last asked for each
    seldom: int = 0  # names that came again, none within SOON, in a row
    # By server: the microseconds that one request each of its answers there takes, those of the last second, fading.
    given: OrderedDict[int, tuple[float, int]] = field(default_factory=OrderedDict)

    def answered(self, server: int, hold: int, now: int) -> None:
        self.given[server] = self.sent(server, now) * ACTIVE + hold, now
        self.given.move_to_end(server)
        if len(self.given) > NAMED:
            self.given.popitem(last=False)

    def sent(self, server: int, now: int) -> float:
        """Requests in hand there on the mean of the last second, were each answer worth one."""
        amount, at = self.given.get(server, (0.0, now))
        return amount * math.exp((at - now) / ACTIVE) / ACTIVE

    def asks(self, name: str, now: int) -> None:
        """It asks for a name: whether again, and how soon."""
        self.heard, self.asked = now, self.asked + 1
        last = self.names.pop(name, None)
        self.names[name] = now
        if len(self.names) > NAMES:
            self.names.popitem(last=False)
        if last is not None:
            self.seldom = min(SELDOM, self.seldom + 1) if now - last >= SOON else 0

    def holds(self, now: int) -> bool:
        """Whether it is taken to keep answers of TTL 0."""
        return self.holding(now) >= HOLDS or self.seldom >= SELDOM and self.weight >= BRINGS

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
        # What is over it, smoothed; when that was told last, and when it was judged last.
        self.level: OrderedDict[int, tuple[float, int, int]] = OrderedDict()

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
        for server in estimate.given:
            named = self.by_server.get(server)
            if named is not None:
                named.pop(key, None)
                if not named:
                    del self.by_server[server]

    def weight(self, resolver: str, cls: str, now: int, name: str = "") -> float:
        """What an answer to this resolver, which asks for this name, is charged now, in requests."""
        estimate = self._get((resolver, cls))
        estimate.asks(name, now)
        return max(HOLDER_WEIGHT, estimate.weight) if estimate.holds(now) else estimate.weight

    def holds(self, resolver: str, cls: str, now: int) -> bool:
        estimate = self.estimates.get((resolver, cls))
        return estimate is not None and estimate.holds(now)

    def answered(self, resolver: str, cls: str, server: int, now: int, hold: int = ACTIVE) -> None:
        """An answer named this server, where a request takes so long."""
        key = (resolver, cls)
        estimate = self._get(key)
        estimate.answered(server, hold, now)
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
        brought, gone = self._smooth(server, max(0.0, brought - self.base.get(server, 0.0)), now)
        if gone < LOOK:
            return
        self.level[server] = brought, now, now
        active: list[Estimate] = []
        expected = 0.0  # requests in hand on the mean of the last second
        lately: list[Estimate] = []
        for key, at in list(named.items()):
            estimate = self.estimates.get(key)
            if estimate is None or now - at > LINGER:
                del named[key]
                continue
            if now - at <= ACTIVE:
                active.append(estimate)
                expected += estimate.weight * estimate.sent(server, now)
            elif now - at >= QUIET:
                lately.append(estimate)
        if not named:
            del self.by_server[server]
        if active:
            ratio = min(LEAP, max(1 / LEAP, brought / max(expected, 1e-6)))
            step = ratio ** -math.expm1(-gone / (RISE if ratio > 1 else FALL))
            for estimate in active:
                estimate.weight = min(MOST, max(LEAST, estimate.weight * step))
        elif brought > 0.5 and lately:
            # Nothing named it lately enough to explain this: answers that were kept are.
            for estimate in lately:
                estimate.held = estimate.holding(now) + brought * gone / ACTIVE / len(lately)
                estimate.held_at = now

    def _smooth(self, server: int, brought: float, now: int) -> tuple[float, int]:
        """The mean of what was brought lately, and the microseconds since that was judged. One report says what was so
        at an instant; requests are short, and most instants see none."""
        mean, at, judged = self.level.pop(server, (brought, now, now - LOOK))
        mean += math.expm1((at - now) / ACTIVE) * (mean - brought)
        self.level[server] = mean, now, judged
        while len(self.level) > SERVERS:
            self.level.popitem(last=False)
        return mean, min(ACTIVE, now - judged)

    def resolvers(self, now: int) -> list[dict[str, object]]:
        """What is known of each resolver and class, those that hold first, then the heaviest."""
        rows = [
            {
                "resolver": resolver,
                "class": cls,
                "weight": round(e.weight, 2),
                "holds": e.holds(now),
                "held": round(e.holding(now), 1),
                "asked": e.asked,
                "heard_ms_ago": (now - e.heard) // 1_000,
            }
            for (resolver, cls), e in self.estimates.items()
        ]
        rows.sort(key=lambda row: (not row["holds"], -float(row["weight"])))  # type: ignore[arg-type]
        return rows
