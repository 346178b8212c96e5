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
MAX_ESTIMATES = 4_096  # resolvers and classes whose estimates are kept; the one heard least lately goes first
# Requests that an answer may stand for; under one where many are asked for one client's request (A, AAAA, HTTPS).
MIN_WEIGHT, MAX_WEIGHT = 0.125, 256.0
AVERAGING_TIME = SECOND  # microseconds over which answers are counted, and reports smoothed to be compared with them
RISE_TIME, FALL_TIME = SECOND, 4 * SECOND  # microseconds of reports that move an estimate most of the way up, and down
MAX_CORRECTION = 8.0  # the most that an estimate is taken to be wrong by at once: reports are few and late
QUIET_TIME = (
    5 * SECOND
)  # microseconds without an answer before load that stays says anything: reports may come 4 s late
ATTRIBUTION_TIME = 15 * SECOND  # microseconds after an answer in which load that stays may still be its resolver's
MAX_NAMES = 16  # names of one resolver whose last query is remembered
REQUERY_TIME = SECOND  # microseconds within which who keeps nothing asks for a popular name again
SLOW_REQUERY_LIMIT = (
    20  # times in a row that no name came again so soon, from which on a resolver is taken to hold answers ...
)
MIN_CACHING_WEIGHT = 4.0  # ... if its answers bring so many requests: one of few clients asks seldom by itself
EVALUATION_INTERVAL = (
    200_000  # microseconds between two judgements of a server's reports: each looks at all who were sent there
)
MAX_SERVERS_PER_RESOLVER = 32  # servers remembered of one resolver, those named last
CACHED_LOAD_LIMIT = (
    8.0  # requests of load that stayed, put down to a resolver, from which on it is taken to hold answers
)
CACHING_WEIGHT = 64.0  # the least that an answer to a resolver that holds is charged: it goes to no cold server
CACHED_LOAD_HALF_LIFE = 60 * SECOND  # microseconds in which what a resolver held is forgotten by half
BASE_LEARNING_RATE = 0.1  # part of the way that a server's load without any answer of ours moves its base at once
MAX_SERVERS = 4_096  # servers whose base is kept
V4_BITS, V6_BITS = 24, 56  # of an address that name one resolver


@lru_cache(
    MAX_ESTIMATES
)  # the same few resolvers ask again and again, and reading addresses costs more than all else here
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

    weight: float = MIN_WEIGHT
    cached_load: float = 0.0  # requests of load that stayed after its answers, fading
    cached_load_at: int = 0
    last_query: int = 0  # when it last asked
    query_count: int = 0
    names: OrderedDict[str, int] = field(default_factory=OrderedDict)  # when it last asked for each
    slow_requeries: int = 0  # names that came again, none within SOON, in a row
    # By server: the microseconds that one request each of its answers there takes, those of the last second, fading.
    named_servers: OrderedDict[int, tuple[float, int]] = field(default_factory=OrderedDict)

    def record_answer(self, server: int, service_time: int, now: int) -> None:
        self.named_servers[server] = self.expected_load(server, now) * AVERAGING_TIME + service_time, now
        self.named_servers.move_to_end(server)
        if len(self.named_servers) > MAX_SERVERS_PER_RESOLVER:
            self.named_servers.popitem(last=False)

    def expected_load(self, server: int, now: int) -> float:
        """Requests in hand there on the mean of the last second, were each answer worth one."""
        amount, at = self.named_servers.get(server, (0.0, now))
        return amount * math.exp((at - now) / AVERAGING_TIME) / AVERAGING_TIME

    def record_query(self, name: str, now: int) -> None:
        """It asks for a name: whether again, and how soon."""
        self.last_query, self.query_count = now, self.query_count + 1
        last = self.names.pop(name, None)
        self.names[name] = now
        if len(self.names) > MAX_NAMES:
            self.names.popitem(last=False)
        if last is not None:
            self.slow_requeries = min(SLOW_REQUERY_LIMIT, self.slow_requeries + 1) if now - last >= REQUERY_TIME else 0

    def caches_answers(self, now: int) -> bool:
        """Whether it is taken to keep answers of TTL 0."""
        return (
            self.decayed_cached_load(now) >= CACHED_LOAD_LIMIT
            or self.slow_requeries >= SLOW_REQUERY_LIMIT
            and self.weight >= MIN_CACHING_WEIGHT
        )

    def decayed_cached_load(self, now: int) -> float:
        return (
            self.cached_load * 0.5 ** ((now - self.cached_load_at) / CACHED_LOAD_HALF_LIFE)
            if self.cached_load_at
            else 0.0
        )


class Charging:
    """The estimates of all resolvers, bounded."""

    def __init__(self) -> None:
        self.estimates: OrderedDict[tuple[str, str], Estimate] = OrderedDict()
        self.by_server: dict[int, OrderedDict[tuple[str, str], int]] = {}  # who named a server, and when last
        # What a server has in hand beyond this proxy's attempts while no answer of ours named it: other proxies' work,
        # which is nobody's answer.
        self.base_load: OrderedDict[int, float] = OrderedDict()
        # What is over it, smoothed; when that was told last, and when it was judged last.
        self.smoothed_load: OrderedDict[int, tuple[float, int, int]] = OrderedDict()

    def _estimate(self, key: tuple[str, str]) -> Estimate:
        estimate = self.estimates.get(key)
        if estimate is None:
            estimate = self.estimates[key] = Estimate()
            while len(self.estimates) > MAX_ESTIMATES:
                self._drop(next(iter(self.estimates)))
        else:
            self.estimates.move_to_end(key)
        return estimate

    def _drop(self, key: tuple[str, str]) -> None:
        estimate = self.estimates.pop(key)
        for server in estimate.named_servers:
            recipients = self.by_server.get(server)
            if recipients is not None:
                recipients.pop(key, None)
                if not recipients:
                    del self.by_server[server]

    def weight(self, resolver: str, cls: str, now: int, name: str = "") -> float:
        """What an answer to this resolver, which asks for this name, is charged now, in requests."""
        estimate = self._estimate((resolver, cls))
        estimate.record_query(name, now)
        return max(CACHING_WEIGHT, estimate.weight) if estimate.caches_answers(now) else estimate.weight

    def caches_answers(self, resolver: str, cls: str, now: int) -> bool:
        estimate = self.estimates.get((resolver, cls))
        return estimate is not None and estimate.caches_answers(now)

    def record_answer(self, resolver: str, cls: str, server: int, now: int, service_time: int = AVERAGING_TIME) -> None:
        """An answer named this server, where a request takes so long."""
        key = (resolver, cls)
        estimate = self._estimate(key)
        estimate.record_answer(server, service_time, now)
        recipients = self.by_server.setdefault(server, OrderedDict())
        recipients[key] = now
        recipients.move_to_end(key)
        while len(recipients) > MAX_ESTIMATES:
            recipients.popitem(last=False)

    def record_report(self, server: int, excess: float, now: int) -> None:
        """A server has `brought` requests in hand beyond this proxy's own: what is over its usual level without our
        answers is shared out over those that named it."""
        recipients = self.by_server.get(server)
        if not recipients:
            base_load = self.base_load.pop(server, excess)
            self.base_load[server] = base_load + BASE_LEARNING_RATE * (excess - base_load)
            while len(self.base_load) > MAX_SERVERS:
                self.base_load.popitem(last=False)
            return
        excess, elapsed = self._smooth(server, max(0.0, excess - self.base_load.get(server, 0.0)), now)
        if elapsed < EVALUATION_INTERVAL:
            return
        self.smoothed_load[server] = excess, now, now
        active: list[Estimate] = []
        expected = 0.0  # requests in hand on the mean of the last second
        recent: list[Estimate] = []
        for key, at in list(recipients.items()):
            estimate = self.estimates.get(key)
            if estimate is None or now - at > ATTRIBUTION_TIME:
                del recipients[key]
                continue
            if now - at <= AVERAGING_TIME:
                active.append(estimate)
                expected += estimate.weight * estimate.expected_load(server, now)
            elif now - at >= QUIET_TIME:
                recent.append(estimate)
        if not recipients:
            del self.by_server[server]
        if active:
            ratio = min(MAX_CORRECTION, max(1 / MAX_CORRECTION, excess / max(expected, 1e-6)))
            step = ratio ** -math.expm1(-elapsed / (RISE_TIME if ratio > 1 else FALL_TIME))
            for estimate in active:
                estimate.weight = min(MAX_WEIGHT, max(MIN_WEIGHT, estimate.weight * step))
        elif excess > 0.5 and recent:
            # Nothing named it lately enough to explain this: answers that were kept are.
            for estimate in recent:
                estimate.cached_load = estimate.decayed_cached_load(now) + excess * elapsed / AVERAGING_TIME / len(
                    recent
                )
                estimate.cached_load_at = now

    def _smooth(self, server: int, excess: float, now: int) -> tuple[float, int]:
        """The mean of what was brought lately, and the microseconds since that was judged. One report says what was so
        at an instant; requests are short, and most instants see none."""
        mean, at, evaluated = self.smoothed_load.pop(server, (excess, now, now - EVALUATION_INTERVAL))
        mean += math.expm1((at - now) / AVERAGING_TIME) * (mean - excess)
        self.smoothed_load[server] = mean, now, evaluated
        while len(self.smoothed_load) > MAX_SERVERS:
            self.smoothed_load.popitem(last=False)
        return mean, min(AVERAGING_TIME, now - evaluated)

    def resolvers(self, now: int) -> list[dict[str, object]]:
        """What is known of each resolver and class, those that hold first, then the heaviest."""
        rows = [
            {
                "resolver": resolver,
                "class": cls,
                "weight": round(e.weight, 2),
                "holds": e.caches_answers(now),
                "held": round(e.decayed_cached_load(now), 1),
                "asked": e.query_count,
                "heard_ms_ago": (now - e.last_query) // 1_000,
            }
            for (resolver, cls), e in self.estimates.items()
        ]
        rows.sort(key=lambda row: (not row["holds"], -float(row["weight"])))  # type: ignore[arg-type]
        return rows
