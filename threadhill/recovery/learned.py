"""What a proxy has learned of servers and objects, as a document: gathered, weighted by age, merged over proxies.

The same document goes into the state file (statefile.py) and over the feed to proxies that start. It contains only
estimates, each weighted by its age, and cannot override the list, a purge or the slow start of a cold server. Drains
and purges, which must never expire by age, are not part of it (saved.py stores them separately). Free of I/O.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from threadhill.decision.choice import DECAY_TIME, INITIAL_INFLIGHT_LIMIT, MAX_FAULT_LOG_ODDS, RATE_INTERVAL, Router
from threadhill.decision.state import Mean, Rate, Server
from threadhill.settings import Malformed, bounded_number, mapping, required_integer, sequence

MAX_SERVERS, MAX_OBJECTS, MAX_CLASSES = 400, 500, 64  # of one document: 40 KB at most
MAX_SCANNED = 5_000  # newest entries of the table of objects that are examined
FIGURES = 6  # values of a server, after its number and start
ESTIMATE_LIFETIME = 600_000_000  # microseconds after which mean times are worthless: loads change by the hour
HEALTH_LIFETIME = 30_000_000  # the same for failures and concurrency limits, which a few trials establish again
MAX_TIME, MAX_LIMIT, MAX_RATE = 600e6, 1e5, 1e6  # microseconds, attempts, requests a second
RESTORED_SAMPLES = 10  # that a restored mean counts as, so that new observations soon replace it


def weight(age: float, lifetime: float) -> float:
    """The weight of an observation of this age, from 1 to 0; 0 if it is from the future."""
    return max(0.0, 1 - age / lifetime) if age >= 0 else 0.0


def gather(router: Router, now: int, servers: int = MAX_SERVERS, objects: int = MAX_OBJECTS) -> dict[str, Any]:
    """What this router has learned, as plain JSON of bounded size."""
    rows = []
    for server in list(router.fleet.servers.values())[:servers]:
        if server.last_answer_at or server.fill_latency_ratio or server.fault_log_odds:
            fill_latency_ratio = max(
                (s for s, when in server.fill_latency_ratio.values() if now - when < DECAY_TIME), default=1.0
            )
            rows.append(
                [
                    server.entry.server,
                    server.entry.reported_start,
                    *(
                        round(x, 4)
                        for x in (
                            server.latency_ratio[0] if now - server.latency_ratio[1] < DECAY_TIME else 1.0,
                            fill_latency_ratio,
                            server.inflight_limit * router.location_routers,
                            server.fault_log_odds,
                            server.hit_ratio,
                            server.utilization,
                        )
                    ),
                ]
            )
    interval, found = now // RATE_INTERVAL, []
    for scanned, (name, rate) in enumerate(reversed(router.rates.items())):
        if scanned >= MAX_SCANNED:
            break
        if (rate.rate or rate.count) and interval - rate.interval < 60:
            found.append((round(rate.rate or rate.count, 3), rate.copies, name))
    return {
        "servers": rows,
        "objects": [[name, rate, copies] for rate, copies, name in heapq.nlargest(objects, found)],
        "classes": {
            name: [round(mean.value), mean.samples] for name, mean in list(router.transfer_times.items())[:MAX_CLASSES]
        },
        "took": round(router.mean_latency.value),
        "send": round(router.mean_transfer_time.value),
        "work": round(router.work.peak, 4),
        "fills": round(router.fill_work.peak, 4),
    }


def check(raw: Any) -> dict[str, Any]:
    """Returns the document if it is complete and within its bounds; raises Malformed otherwise."""
    raw = mapping(raw, "what was learned")
    servers, objects = sequence(raw.get("servers"), "servers"), sequence(raw.get("objects"), "objects")
    classes = mapping(raw.get("classes"), "classes")
    if len(servers) > MAX_SERVERS or len(objects) > MAX_OBJECTS or len(classes) > MAX_CLASSES:
        raise Malformed(f"{len(servers)} servers, {len(objects)} objects and {len(classes)} classes are too many")
    for row in servers:
        if not isinstance(row, list) or len(row) != 2 + FIGURES:
            raise Malformed("a server has a number, a start and six figures")
        required_integer(row[0], "a server's number"), required_integer(row[1], "a server's start")
        for value in row[2:]:
            bounded_number(value, MAX_LIMIT, "a server's figure")
    for row in objects:
        if not isinstance(row, list) or len(row) != 3 or not isinstance(row[0], str) or not 0 < len(row[0]) <= 64:
            raise Malformed("an object has a name, a rate and a number of copies")
        bounded_number(row[1], MAX_RATE, "an object's rate"), required_integer(row[2], "an object's copies")
    for name, row in classes.items():
        if not isinstance(name, str) or not isinstance(row, list) or len(row) != 2:
            raise Malformed("a class has a time and a count")
        bounded_number(row[0], MAX_TIME, "a class's time"), required_integer(row[1], "a class's count")
    for key, limit in (("took", MAX_TIME), ("send", MAX_TIME), ("work", MAX_LIMIT), ("fills", MAX_LIMIT)):
        bounded_number(raw.get(key), limit, key)
    return raw


def prime(router: Router, known: Mapping[str, Any], age: int, now: int) -> int:
    """Initializes a router with what was learned `age` microseconds ago; returns the number of servers it was used for.

    What the router observed itself stays. Servers that were restarted since count as new.
    """
    primed, estimate_weight, health_weight = 0, weight(age, ESTIMATE_LIFETIME), weight(age, HEALTH_LIFETIME)
    for (
        number,
        since,
        latency_ratio,
        fill_latency_ratio,
        inflight_limit,
        fault_log_odds,
        hit_ratio,
        utilization,
    ) in known["servers"]:
        server = router.fleet.servers.get(number)
        if server is None or server.entry.reported_start != since or server.last_answer_at:
            continue
        primed += 1
        _prime_server(
            server,
            router.location_routers,
            now - age,
            health_weight,
            latency_ratio,
            fill_latency_ratio,
            inflight_limit,
            fault_log_odds,
        )
        server.hit_ratio += health_weight * (min(1.0, hit_ratio) - server.hit_ratio)
        server.utilization += health_weight * (utilization - server.utilization)
    for name, (time, samples) in known["classes"].items():
        mean = router.transfer_times.get(name)
        if mean is not None and mean.samples <= RESTORED_SAMPLES and samples > RESTORED_SAMPLES and estimate_weight:
            router.transfer_times[name] = Mean(mean.value + estimate_weight * (time - mean.value), RESTORED_SAMPLES + 1)
    for mean, value in ((router.mean_latency, known["took"]), (router.mean_transfer_time, known["send"])):
        if not mean.samples and value and estimate_weight:
            mean.value, mean.samples = value, RESTORED_SAMPLES
    # The throughput of warm servers limits what cold ones are sent: an older value allows less.
    for tally, limit in ((router.work, known["work"]), (router.fill_work, known["fills"])):
        if not tally.mean.samples:
            tally.mean = Mean(estimate_weight * limit, math.ceil(math.sqrt(router.location_routers)))
            tally.peak = estimate_weight * limit
    for name, rate, copies in known["objects"]:
        own = router.rates.get(name)
        if own is None and age < DECAY_TIME:
            own = router.rates[name] = Rate(
                interval=now // RATE_INTERVAL - 1, first_interval=False, rate=weight(age, DECAY_TIME) * rate
            )
            own.copies = max(1, min(copies, len(router.fleet.caches)))
    return primed


def _prime_server(
    server: Server,
    location_routers: int,
    when: int,
    health_weight: float,
    latency_ratio: float,
    fill_latency_ratio: float,
    inflight_limit: float,
    fault_log_odds: float,
) -> None:
    server.latency_ratio = (max(0.1, latency_ratio), when)  # it expires by itself
    server.fill_latency_ratio = (
        {large: (max(0.1, fill_latency_ratio), when) for large in (False, True)}
        if fill_latency_ratio != 1
        else server.fill_latency_ratio
    )
    server.inflight_limit += health_weight * (
        min(4 * INITIAL_INFLIGHT_LIMIT, max(1.0, inflight_limit)) / location_routers - server.inflight_limit
    )
    server.fault_log_odds = max(server.fault_log_odds, health_weight * min(fault_log_odds, MAX_FAULT_LOG_ODDS))


def merge(known: Iterable[tuple[Mapping[str, Any], int]]) -> tuple[dict[str, Any], int]:
    """Merges documents, given with their ages, and returns their median age too. Values are medians, so that a single
    wrong document has no effect. Without documents the result is an empty one."""
    from statistics import median  # its import is slow, and a proxy never needs it

    known = sorted(known, key=lambda item: item[1])
    rows, rates = defaultdict[tuple[int, int], list[list[float]]](list), defaultdict[str, list[tuple[float, int]]](list)
    times = defaultdict[str, list[list[float]]](list)
    for known_document, _ in known:
        for number, since, *figures in known_document["servers"]:
            rows[number, since].append(figures)
        for name, rate, copies in known_document["objects"]:
            rates[name].append((rate, copies))
        for name, row in known_document["classes"].items():
            times[name].append(row)
    newest = {}  # if some know a server from before its restart, only the newest start counts
    for number, since in rows:
        newest[number] = max(since, newest.get(number, 0))
    least = len(known) / 2  # half of them must know an object, or its rate is specific to one proxy
    hot = heapq.nlargest(
        MAX_OBJECTS,
        (
            (sum(r for r, _ in seen) / len(known), max(c for _, c in seen), name)
            for name, seen in rates.items()
            if len(seen) >= min(2, least)
        ),
    )
    document = {
        "servers": [
            [n, s, *(median(f[i] for f in figures) for i in range(FIGURES))]
            for (n, s), figures in sorted(rows.items())
            if newest[n] == s
        ][:MAX_SERVERS],
        "objects": [[name, rate, copies] for rate, copies, name in hot],
        "classes": {
            name: [median(row[0] for row in seen), int(median(row[1] for row in seen))]
            for name, seen in list(times.items())[:MAX_CLASSES]
        },
    }
    for key in ("took", "send", "work", "fills"):
        document[key] = median(d[key] for d, _ in known) if known else 0
    return document, known[len(known) // 2][1] if known else 0
