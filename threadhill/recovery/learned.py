"""What a proxy has learned of servers and objects, as a document: gathered, weighed by its age, summed over proxies.

The same document goes into the file that outlives a process (statefile.py) and over the feed to one that starts.
Nothing in it can override the list, a purge or a cold server's rule: it is estimates only, each weighed by how old it
is. What must never be aged away, drains and purges, is no part of it (saved.py keeps that apart). Free of I/O.
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

SERVERS, OBJECTS, CLASSES = 400, 500, 64  # of one document: 40 KB at most
LOOKED = 5_000  # newest entries of the table of objects that are looked at
FIGURES = 6  # of a server, after its number and start
KEEPS = 600_000_000  # microseconds after which usual times say nothing: loads move by the hour
HEALTH = 30_000_000  # the same for what is held against a server, and for rooms: a few trials' time
MOST_TIME, MOST_ROOM, MOST_RATE = 600e6, 1e5, 1e6  # microseconds, attempts, requests a second
SAMPLES = 10  # that a restored mean counts for: soon replaced by what is seen here


def weight(age: float, fades: float) -> float:
    """How much something so old still says, from 1 to 0; of the future it says nothing."""
    return max(0.0, 1 - age / fades) if age >= 0 else 0.0


def gather(router: Router, now: int, servers: int = SERVERS, objects: int = OBJECTS) -> dict[str, Any]:
    """What this router knows, as plain JSON of bounded size."""
    rows = []
    for server in list(router.fleet.servers.values())[:servers]:
        if server.last_answer_at or server.fill_latency_ratio or server.fault_log_odds:
            speed = max((s for s, when in server.fill_latency_ratio.values() if now - when < DECAY_TIME), default=1.0)
            rows.append(
                [
                    server.entry.server,
                    server.entry.reported_start,
                    *(
                        round(x, 4)
                        for x in (
                            server.latency_ratio[0] if now - server.latency_ratio[1] < DECAY_TIME else 1.0,
                            speed,
                            server.inflight_limit * router.location_routers,
                            server.fault_log_odds,
                            server.hit_ratio,
                            server.utilization,
                        )
                    ),
                ]
            )
    interval, found = now // RATE_INTERVAL, []
    for looked, (name, rate) in enumerate(reversed(router.rates.items())):
        if looked >= LOOKED:
            break
        if (rate.rate or rate.count) and interval - rate.interval < 60:
            found.append((round(rate.rate or rate.count, 3), rate.copies, name))
    return {
        "servers": rows,
        "objects": [[name, rate, copies] for rate, copies, name in heapq.nlargest(objects, found)],
        "classes": {
            name: [round(mean.value), mean.samples] for name, mean in list(router.transfer_times.items())[:CLASSES]
        },
        "took": round(router.mean_latency.value),
        "send": round(router.mean_transfer_time.value),
        "work": round(router.work.peak, 4),
        "fills": round(router.fill_work.peak, 4),
    }


def check(raw: Any) -> dict[str, Any]:
    """The document, whole and within its bounds, or Malformed."""
    raw = mapping(raw, "what was learned")
    servers, objects = sequence(raw.get("servers"), "servers"), sequence(raw.get("objects"), "objects")
    classes = mapping(raw.get("classes"), "classes")
    if len(servers) > SERVERS or len(objects) > OBJECTS or len(classes) > CLASSES:
        raise Malformed(f"{len(servers)} servers, {len(objects)} objects and {len(classes)} classes are too many")
    for row in servers:
        if not isinstance(row, list) or len(row) != 2 + FIGURES:
            raise Malformed("a server has a number, a start and six figures")
        required_integer(row[0], "a server's number"), required_integer(row[1], "a server's start")
        for value in row[2:]:
            bounded_number(value, MOST_ROOM, "a server's figure")
    for row in objects:
        if not isinstance(row, list) or len(row) != 3 or not isinstance(row[0], str) or not 0 < len(row[0]) <= 64:
            raise Malformed("an object has a name, a rate and a number of copies")
        bounded_number(row[1], MOST_RATE, "an object's rate"), required_integer(row[2], "an object's copies")
    for name, row in classes.items():
        if not isinstance(name, str) or not isinstance(row, list) or len(row) != 2:
            raise Malformed("a class has a time and a count")
        bounded_number(row[0], MOST_TIME, "a class's time"), required_integer(row[1], "a class's count")
    for key, most in (("took", MOST_TIME), ("send", MOST_TIME), ("work", MOST_ROOM), ("fills", MOST_ROOM)):
        bounded_number(raw.get(key), most, key)
    return raw


def prime(router: Router, known: Mapping[str, Any], age: int, now: int) -> int:
    """Let a router start from what was learned `age` microseconds ago; how many servers it was taken for.

    It adds to a router that knows less: what was seen here stays. Servers that were started anew since are new.
    """
    taken, keeps, health = 0, weight(age, KEEPS), weight(age, HEALTH)
    for number, since, pace, speed, room, doubt, hits, busy in known["servers"]:
        server = router.fleet.servers.get(number)
        if server is None or server.entry.reported_start != since or server.last_answer_at:
            continue
        taken += 1
        _prime_server(server, router.location_routers, now - age, health, pace, speed, room, doubt)
        server.hit_ratio += health * (min(1.0, hits) - server.hit_ratio)
        server.utilization += health * (busy - server.utilization)
    for name, (time, samples) in known["classes"].items():
        mean = router.transfer_times.get(name)
        if mean is not None and mean.samples <= SAMPLES and samples > SAMPLES and keeps:
            router.transfer_times[name] = Mean(mean.value + keeps * (time - mean.value), SAMPLES + 1)
    for mean, value in ((router.mean_latency, known["took"]), (router.mean_transfer_time, known["send"])):
        if not mean.samples and value and keeps:
            mean.value, mean.samples = value, SAMPLES
    # What warm servers did bounds what cold ones are sent: an old figure counts for less, so for less credit.
    for tally, most in ((router.work, known["work"]), (router.fill_work, known["fills"])):
        if not tally.mean.samples:
            tally.mean = Mean(keeps * most, math.ceil(math.sqrt(router.location_routers)))
            tally.peak = keeps * most
    for name, rate, copies in known["objects"]:
        own = router.rates.get(name)
        if own is None and age < DECAY_TIME:
            own = router.rates[name] = Rate(
                interval=now // RATE_INTERVAL - 1, first_interval=False, rate=weight(age, DECAY_TIME) * rate
            )
            own.copies = max(1, min(copies, len(router.fleet.caches)))
    return taken


def _prime_server(
    server: Server, crew: int, when: int, health: float, pace: float, speed: float, room: float, doubt: float
) -> None:
    server.latency_ratio = (max(0.1, pace), when)  # it fades by itself
    server.fill_latency_ratio = (
        {large: (max(0.1, speed), when) for large in (False, True)} if speed != 1 else server.fill_latency_ratio
    )
    server.inflight_limit += health * (min(4 * INITIAL_INFLIGHT_LIMIT, max(1.0, room)) / crew - server.inflight_limit)
    server.fault_log_odds = max(server.fault_log_odds, health * min(doubt, MAX_FAULT_LOG_ODDS))


def merge(known: Iterable[tuple[Mapping[str, Any], int]]) -> tuple[dict[str, Any], int]:
    """What several say, as one: medians of their figures, so that one who is wrong moves nothing; and their median
    age. `known` are documents with their ages. With none, an empty document of no use."""
    from statistics import median  # it loads much, and a proxy never needs it

    known = sorted(known, key=lambda item: item[1])
    rows, rates = defaultdict[tuple[int, int], list[list[float]]](list), defaultdict[str, list[tuple[float, int]]](list)
    times = defaultdict[str, list[list[float]]](list)
    for document, _ in known:
        for number, since, *figures in document["servers"]:
            rows[number, since].append(figures)
        for name, rate, copies in document["objects"]:
            rates[name].append((rate, copies))
        for name, row in document["classes"].items():
            times[name].append(row)
    newest = {}  # of servers that some know from before a restart, only the last start counts
    for number, since in rows:
        newest[number] = max(since, newest.get(number, 0))
    least = len(known) / 2  # an object must be news to half of them, or its rate is one proxy's own
    hot = heapq.nlargest(
        OBJECTS,
        (
            (sum(r for r, _ in seen) / len(known), max(c for _, c in seen), name)
            for name, seen in rates.items()
            if len(seen) >= min(2, least)
        ),
    )
    told = {
        "servers": [
            [n, s, *(median(f[i] for f in figures) for i in range(FIGURES))]
            for (n, s), figures in sorted(rows.items())
            if newest[n] == s
        ][:SERVERS],
        "objects": [[name, rate, copies] for rate, copies, name in hot],
        "classes": {
            name: [median(row[0] for row in seen), int(median(row[1] for row in seen))]
            for name, seen in list(times.items())[:CLASSES]
        },
    }
    for key in ("took", "send", "work", "fills"):
        told[key] = median(d[key] for d, _ in known) if known else 0
    return told, known[len(known) // 2][1] if known else 0
