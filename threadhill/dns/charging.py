"""Estimates the weight of a DNS answer: how many requests the clients of a resolver send to the server in it.

There is an estimate for each resolver (identified by the client subnet in its queries, or by its own network) and
request class. It is corrected by the servers' reports of requests in flight beyond this proxy's own attempts. Resolvers
that cache answers despite TTL 0 are detected in two ways: load stays on a server after no answer has named it for some
time, or a resolver never repeats a query within a second although its answers bring many requests. No I/O and no clock:
the time is a parameter.
"""

from __future__ import annotations

import ipaddress
import math
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import lru_cache

SECOND = 1_000_000
MAX_ESTIMATES = 4_096  # estimates kept; the least recently used one is dropped first
# Requests per answer. Below 1 because a client may cause several queries (A, AAAA, HTTPS) for one request.
MIN_WEIGHT, MAX_WEIGHT = 0.125, 256.0
# All times are in microseconds.
AVERAGING_TIME = SECOND  # time constant for smoothing reports and for counting the answers they are compared with
RISE_TIME, FALL_TIME = SECOND, 4 * SECOND  # time constants with which an estimate rises and falls
MAX_CORRECTION = 8.0  # limit of the ratio of reported to expected load, because reports are few and late
QUIET_TIME = 5 * SECOND  # load is taken for cached answers only so long after the last answer: reports may be 4 s late
ATTRIBUTION_TIME = 15 * SECOND  # time after an answer for which remaining load is attributed to its resolver
MAX_NAMES = 16  # names per resolver whose last query is remembered
REQUERY_TIME = SECOND  # a resolver that does not cache repeats the query for a popular name within this time
SLOW_REQUERY_LIMIT = 20  # repeated queries in a row, all slower than that, after which a resolver counts as caching ...
MIN_CACHING_WEIGHT = 4.0  # ... if its weight is at least this: a resolver with few clients asks rarely anyway
EVALUATION_INTERVAL = 200_000  # minimum time between evaluations of a server's reports: each visits all its resolvers
MAX_SERVERS_PER_RESOLVER = 32  # servers remembered per resolver, the most recent ones
CACHED_LOAD_LIMIT = 8.0  # requests attributed to cached answers from which a resolver counts as caching
CACHING_WEIGHT = 64.0  # minimum weight of an answer to a caching resolver, so that it goes to no cold server
CACHED_LOAD_HALF_LIFE = 60 * SECOND
BASE_LEARNING_RATE = 0.1  # share by which one report moves the base load of a server that no answer of ours named
MAX_SERVERS = 4_096  # servers whose base load is kept
V4_BITS, V6_BITS = 24, 56  # prefix lengths of the network that counts as one resolver


@lru_cache(MAX_ESTIMATES)  # the same few resolvers ask repeatedly, and parsing addresses is the largest cost here
def resolver_key(peer: str, subnet: tuple[int, int, bytes] | None = None) -> str:
    """The network that a query is made for: the client subnet in the query, or the resolver's own network.
    `subnet` is (family, prefix length, address bytes) as in RFC 7871."""
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
    """The state of one resolver and request class."""

    weight: float = MIN_WEIGHT
    cached_load: float = 0.0  # requests in flight attributed to cached answers, decaying since cached_load_at
    cached_load_at: int = 0
    last_query: int = 0  # time
    query_count: int = 0
    names: OrderedDict[str, int] = field(default_factory=OrderedDict)  # name -> time of its last query
    slow_requeries: int = 0  # repeated queries in a row, each later than REQUERY_TIME
    # Server -> (decaying sum of the service times of one request per answer that named it, time of the sum).
    named_servers: OrderedDict[int, tuple[float, int]] = field(default_factory=OrderedDict)

    def record_answer(self, server: int, service_time: int, now: int) -> None:
        self.named_servers[server] = self.expected_load(server, now) * AVERAGING_TIME + service_time, now
        self.named_servers.move_to_end(server)
        if len(self.named_servers) > MAX_SERVERS_PER_RESOLVER:
            self.named_servers.popitem(last=False)

    def expected_load(self, server: int, now: int) -> float:
        """Mean number of requests in flight at the server over the last second, if each answer brought one."""
        amount, at = self.named_servers.get(server, (0.0, now))
        return amount * math.exp((at - now) / AVERAGING_TIME) / AVERAGING_TIME

    def record_query(self, name: str, now: int) -> None:
        """Record a query and whether it repeats an earlier one within REQUERY_TIME."""
        self.last_query, self.query_count = now, self.query_count + 1
        last = self.names.pop(name, None)
        self.names[name] = now
        if len(self.names) > MAX_NAMES:
            self.names.popitem(last=False)
        if last is not None:
            self.slow_requeries = min(SLOW_REQUERY_LIMIT, self.slow_requeries + 1) if now - last >= REQUERY_TIME else 0

    def caches_answers(self, now: int) -> bool:
        """Whether the resolver is considered to cache answers despite TTL 0."""
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
    """The estimates of all resolvers. Every table is bounded."""

    def __init__(self) -> None:
        self.estimates: OrderedDict[tuple[str, str], Estimate] = OrderedDict()
        # Server -> resolvers and classes that got it as an answer, with the time of the last one.
        self.by_server: dict[int, OrderedDict[tuple[str, str], int]] = {}
        # A server's requests in flight beyond this proxy's attempts while no answer named it. This is the work of other
        # proxies, which no resolver is charged for.
        self.base_load: OrderedDict[int, float] = OrderedDict()
        # Server -> (smoothed load above the base load, time of the last report, time of the last evaluation).
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
        """Record a query for this name and return the weight of its answer, in requests."""
        estimate = self._estimate((resolver, cls))
        estimate.record_query(name, now)
        return max(CACHING_WEIGHT, estimate.weight) if estimate.caches_answers(now) else estimate.weight

    def caches_answers(self, resolver: str, cls: str, now: int) -> bool:
        estimate = self.estimates.get((resolver, cls))
        return estimate is not None and estimate.caches_answers(now)

    def record_answer(self, resolver: str, cls: str, server: int, now: int, service_time: int = AVERAGING_TIME) -> None:
        """Record that an answer named this server, where a request takes `service_time`."""
        key = (resolver, cls)
        estimate = self._estimate(key)
        estimate.record_answer(server, service_time, now)
        recipients = self.by_server.setdefault(server, OrderedDict())
        recipients[key] = now
        recipients.move_to_end(key)
        while len(recipients) > MAX_ESTIMATES:
            recipients.popitem(last=False)

    def record_report(self, server: int, excess: float, now: int) -> None:
        """A server reports `excess` requests in flight beyond this proxy's own. The load above its base load is
        attributed to the resolvers whose answers named it."""
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
        expected = 0.0  # mean number of requests in flight over the last second
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
            # No recent answer explains the load, so it comes from cached answers.
            for estimate in recent:
                estimate.cached_load = estimate.decayed_cached_load(now) + excess * elapsed / AVERAGING_TIME / len(
                    recent
                )
                estimate.cached_load_at = now

    def _smooth(self, server: int, excess: float, now: int) -> tuple[float, int]:
        """The smoothed excess load and the microseconds since its last evaluation. A single report is a sample at one
        instant; requests are short, so most samples see none."""
        mean, at, evaluated = self.smoothed_load.pop(server, (excess, now, now - EVALUATION_INTERVAL))
        mean += math.expm1((at - now) / AVERAGING_TIME) * (mean - excess)
        self.smoothed_load[server] = mean, now, evaluated
        while len(self.smoothed_load) > MAX_SERVERS:
            self.smoothed_load.popitem(last=False)
        return mean, min(AVERAGING_TIME, now - evaluated)

    def resolvers(self, now: int) -> list[dict[str, object]]:
        """A row for each resolver and class: caching resolvers first, then by descending weight."""
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
