"""What a flood may cost: responses per network over UDP (response-rate limiting, with slip), queries that reach the
module per resolver, and the size of what an unproven address is sent.

A spoofed flood comes from addresses that never see their answers: they cannot bring back a cookie, so a good cookie
exempts a query from the rate of its network; TCP proves the address by its handshake. Every table is bounded.
Decisions only: the time is given.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
MAX_BUCKETS = 8_192  # networks and resolvers whose buckets are kept; the one heard least lately goes first
MAX_AMPLIFICATION = 1.5  # bytes of a response to an unproven address, for each byte of its query, at most


class ResponseAction(Enum):
    ANSWER = "answer"
    SLIP = "slip"  # a truncated answer, which sends a real resolver to TCP and gives a flood nothing
    DROP = "drop"


@dataclass(slots=True)
class Bucket:
    tokens: float
    at: int
    refused: int = 0  # in a row, for the slip


class Buckets:
    """Token buckets by key, refilled at `rate` a second up to `burst`."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.buckets: OrderedDict[str, Bucket] = OrderedDict()

    def take(self, key: str, now: int) -> Bucket | None:
        """The bucket, with one token taken; None where it had none."""
        bucket = self.buckets.pop(key, None)
        if bucket is None:
            bucket = Bucket(self.burst, now)
        else:
            bucket.tokens = min(self.burst, bucket.tokens + self.rate * (now - bucket.at) / SECOND)
            bucket.at = now
        self.buckets[key] = bucket
        while len(self.buckets) > MAX_BUCKETS:
            self.buckets.popitem(last=False)
        if bucket.tokens < 1:
            bucket.refused += 1
            return None
        bucket.tokens -= 1
        bucket.refused = 0
        return bucket


class Limits:
    """The front's limits. A rate of 0 turns that limit off."""

    def __init__(
        self, responses: float = 50.0, slip: int = 2, resolver_queries: float = 500.0, unproven: float = 0.0
    ) -> None:
        self.responses = Buckets(responses, 2 * responses) if responses else None
        self.slip = slip
        self.queries = Buckets(resolver_queries, 2 * resolver_queries) if resolver_queries else None
        self.unproven = Buckets(unproven, unproven) if unproven else None  # of all unproven addresses together

    def check_response(self, network: str, proven: bool, now: int) -> ResponseAction:
        """Whether an answer over UDP to this network is sent, truncated, or dropped."""
        if proven or self.responses is None:
            return ResponseAction.ANSWER
        if self.responses.take(network, now) is not None:
            return ResponseAction.ANSWER
        refused = self.responses.buckets[network].refused
        return ResponseAction.SLIP if self.slip and refused % self.slip == 0 else ResponseAction.DROP

    def allow_unproven(self, now: int) -> bool:
        """Whether one more query from an address that proved nothing may reach the module now. A flood in the names
        of many networks passes the rate of each; what is over this is told to come over TCP, as real ones can."""
        return self.unproven is None or self.unproven.take("", now) is not None

    def allow_resolver(self, resolver: str, now: int) -> bool:
        """Whether one more query of this resolver may reach the module now: a flood of made-up names costs routing
        as real ones do, and must cost only its own resolver's share."""
        return self.queries is None or self.queries.take(resolver, now) is not None


def max_response_size(query_size: int, proven: bool, payload: int) -> int:
    """How large a response over UDP may be."""
    return payload if proven else min(payload, int(MAX_AMPLIFICATION * query_size))
