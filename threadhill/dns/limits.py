"""Limits against floods: UDP responses per network (response rate limiting, with slip), queries per resolver that reach
the decision module, and the size of responses to unproven addresses.

Senders of spoofed queries never see the responses, so they cannot return a cookie. A valid cookie therefore exempts a
query from the limit of its network; over TCP the handshake proves the address. Every table is bounded. No I/O and no
clock: the time is a parameter.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

SECOND = 1_000_000
MAX_BUCKETS = 8_192  # in each table; the least recently used one is dropped first
MAX_AMPLIFICATION = 1.5  # maximum bytes of a response to an unproven address per byte of its query


class ResponseAction(Enum):
    ANSWER = "answer"
    SLIP = "slip"  # a truncated response: a real resolver retries over TCP, an attacker gains no amplification
    DROP = "drop"


@dataclass(slots=True)
class Bucket:
    tokens: float
    at: int
    refused: int = 0  # consecutive refusals, which select the responses to slip


class Buckets:
    """Token buckets by key, refilled at `rate` tokens per second up to `burst`."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst = rate, burst
        self.buckets: OrderedDict[str, Bucket] = OrderedDict()

    def take(self, key: str, now: int) -> Bucket | None:
        """Take one token from the key's bucket and return the bucket; None if it was empty."""
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
    """All limits of the DNS front. A rate of 0 disables a limit."""

    def __init__(
        self, responses: float = 50.0, slip: int = 2, resolver_queries: float = 500.0, unproven: float = 0.0
    ) -> None:
        self.responses = Buckets(responses, 2 * responses) if responses else None
        self.slip = slip
        self.queries = Buckets(resolver_queries, 2 * resolver_queries) if resolver_queries else None
        self.unproven = Buckets(unproven, unproven) if unproven else None  # one bucket for all unproven addresses

    def check_response(self, network: str, proven: bool, now: int) -> ResponseAction:
        """Whether a UDP response to this network is sent, truncated or dropped."""
        if proven or self.responses is None:
            return ResponseAction.ANSWER
        if self.responses.take(network, now) is not None:
            return ResponseAction.ANSWER
        refused = self.responses.buckets[network].refused
        return ResponseAction.SLIP if self.slip and refused % self.slip == 0 else ResponseAction.DROP

    def allow_unproven(self, now: int) -> bool:
        """Whether a query from an unproven address may reach the decision module. A flood that spoofs many networks
        stays below the limit of each. Queries over this limit are told to retry over TCP, which real resolvers can."""
        return self.unproven is None or self.unproven.take("", now) is not None

    def allow_resolver(self, resolver: str, now: int) -> bool:
        """Whether a query of this resolver may reach the decision module. Queries for random names cost as much routing
        as others, so a flood of them must use up only its own resolver's share."""
        return self.queries is None or self.queries.take(resolver, now) is not None


def max_response_size(query_size: int, proven: bool, payload: int) -> int:
    """The maximum size of a UDP response in bytes."""
    return payload if proven else min(payload, int(MAX_AMPLIFICATION * query_size))
