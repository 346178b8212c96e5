"""The forecast: the share of each class's requests that each box of a node gets, as the decision module chooses.

The module is given the node's servers and a simulated mix of requests, and its choices are counted. Every attempt is
served after the same short time, so the forecast shows routing without failures. The number of copies of an object
follows its request rate, so the rate is part of the mix.
"""

from __future__ import annotations

import bisect
import itertools
import random
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from threadhill.decision import interface as api
from threadhill.decision.choice import Router
from threadhill.decision.hashing import hash_name
from threadhill.plans import options
from threadhill.plans.resource import Resource
from threadhill.settings import read_settings

SECOND = 1_000_000
WARM_UP_S = 3.0  # seconds of the mix before choices are counted: by then the rates are known and the copies made
ATTEMPT_TIME_US = 30_000  # microseconds from an attempt to its end
MIN_REQUESTS, MAX_REQUESTS = 500, 20_000  # limits of the number of requests simulated for a node


@dataclass(frozen=True, slots=True)
class Mix:
    """The requests to one node: total rate per second, weight of each class, and popularity of the objects."""

    rate: float = 50.0
    classes: Mapping[str, float] = field(default_factory=dict)  # name -> relative weight
    objects: int = 2_000  # number of objects of each class
    zipf: float = 1.0  # exponent of the popularity distribution
    parts: int = 12  # number of parts of an object whose class is in parts
    seconds: float = 40.0  # simulated time in which choices are counted

    def requests(self, seed: int, in_parts: Mapping[str, bool]) -> Iterator[tuple[str, str, int]]:
        """Generates the class, object and part of each request; the same seed gives the same requests."""
        generator = random.Random(seed)
        weights = list(itertools.accumulate(1 / (i + 1) ** self.zipf for i in range(self.objects)))
        names = sorted(self.classes)
        class_weights = list(itertools.accumulate(self.classes[name] for name in names))
        while True:
            cls = names[min(bisect.bisect(class_weights, generator.random() * class_weights[-1]), len(names) - 1)]
            popularity_rank = min(bisect.bisect(weights, generator.random() * weights[-1]), self.objects - 1)
            yield cls, object_name(cls, popularity_rank), generator.randrange(self.parts) if in_parts[cls] else 0


def object_name(cls: str, popularity_rank: int) -> str:
    """The name of the object with this popularity rank in its class: 16 hex digits."""
    return f"{hash_name(f'{cls}/{popularity_rank}'):016x}"


def default_mix(settings: Mapping[str, Any]) -> Mix:
    """The default: equal weights for all classes that don't write."""
    return Mix(classes={name: 1.0 for name, c in settings["classes"].items() if not c["write"]})


def mix_of(given: Mapping[str, Any], settings: Mapping[str, Any]) -> Mix:
    """A mix from the given figures, with defaults for the missing ones. Raises ValueError if one is invalid."""
    maxima = {"rate": 1e6, "objects": 1e6, "zipf": 10, "parts": 1e6, "seconds": 3_600}
    classes = given.get("classes", default_mix(settings).classes)
    for name in given:
        if name != "classes" and name not in maxima:
            raise ValueError(f"{name}: no such figure; the figures are classes, {', '.join(maxima)}")
    for name, value in [*given.items(), *(classes.items() if isinstance(classes, dict) else ())]:
        if name != "classes" and (type(value) not in (int, float) or not 0 < value <= maxima.get(name, 1e6)):
            raise ValueError(f"{name}: must be a number above 0, at most {maxima.get(name, 1e6):g}")
    if not isinstance(classes, dict) or not classes or set(classes) - set(settings["classes"]):
        raise ValueError(f"classes: must be a map from some of {', '.join(settings['classes'])} to their weights")
    figures = {
        name: int(value) if name in ("objects", "parts") else value
        for name, value in given.items()
        if name != "classes"
    }
    return Mix(classes=classes, **figures)


def shares(resources: Mapping[str, Resource], node: str, mix: Mix, seed: int = 1) -> dict[str, dict[str, float]]:
    """For each class, the fraction of its requests that each box of a node (`node.NAME`) gets; all servers are warm."""
    proxies = sorted(
        (r for r in resources.values() if r.kind == "proxy" and r.attrs["node"] == node), key=lambda r: r.name
    )
    proxy = proxies[0] if proxies else Resource("node", node, {"node": node})
    settings = read_settings(options.options(resources, proxy))
    numbers: dict[int, str] = {}
    entries = []
    for r in sorted(resources.values(), key=lambda r: r.id):
        if r.kind in ("box", "parent", "library"):
            number = hash_name(r.name) & 0xFFFFFFFF
            numbers[number] = r.id
            where = (r.attrs.get("node") or r.attrs.get("hub")).split(".", 1)[1]
            entries.append(api.Entry(number, api.State.READY, where, r.kind, r.attrs["cell"], r.attrs["size"]))
    router = Router(settings, seed)
    router.start(0)
    router.handle(0, api.ListNews(api.ListKind.FULL, tuple(entries)))
    counted: dict[str, Counter[str]] = {name: Counter() for name in mix.classes}
    rate = mix.rate / max(1, len(proxies))
    request_count = max(MIN_REQUESTS, min(MAX_REQUESTS, int(rate * (mix.seconds + WARM_UP_S))))
    requests = mix.requests(seed, {name: cls.in_parts for name, cls in settings.classes.items()})
    pending: list[tuple[int, api.Fetch]] = []
    for i, (cls, name, part) in enumerate(itertools.islice(requests, request_count)):
        now = SECOND + int(i * SECOND / rate)
        while pending and pending[0][0] <= now:
            at, sent = pending.pop(0)
            router.handle(
                at, api.AttemptEnded(sent.id, 0, sent.server, api.Outcome.SERVED, ATTEMPT_TIME_US, request_closed=True)
            )
        for action in router.handle(now, api.Request(str(i), cls, name, settings.classes[cls].deadline, part=part)):
            if isinstance(action, api.Fetch):
                pending.append((now + ATTEMPT_TIME_US, action))
                if i >= rate * WARM_UP_S:
                    counted[cls][numbers[action.server]] += 1
    return {
        cls: {id: count / max(1, sum(by.values())) for id, count in sorted(by.items())}
        for cls, by in sorted(counted.items())
    }


def before_and_after(
    before: Mapping[str, Resource], after: Mapping[str, Resource], changed: Iterable[str], mix: Mix | None = None
) -> dict[str, Any]:
    """The forecast of a plan: the shares before and after it, for each changed node, each class and each box."""
    result: dict[str, Any] = {}
    for node in sorted(changed):
        sides = []
        for side in (before, after):
            complete = "settings.settings" in side and node in side
            has_boxes = complete and any(r.kind == "box" and r.attrs["node"] == node for r in side.values())
            if not has_boxes:
                sides.append({})
                continue
            node_mix = mix or default_mix(side["settings.settings"].attrs)
            known_classes = side["settings.settings"].attrs["classes"]
            node_mix = Mix(
                node_mix.rate,
                {c: p for c, p in node_mix.classes.items() if c in known_classes},
                node_mix.objects,
                node_mix.zipf,
                node_mix.parts,
                node_mix.seconds,
            )
            sides.append(shares(side, node, node_mix) if node_mix.classes else {})
        result[node] = {
            cls: {
                box: {
                    "before": round(sides[0].get(cls, {}).get(box, 0.0), 4),
                    "after": round(sides[1].get(cls, {}).get(box, 0.0), 4),
                }
                for box in sorted({*sides[0].get(cls, {}), *sides[1].get(cls, {})})
            }
            for cls in sorted({*sides[0], *sides[1]})
        }
    return result
