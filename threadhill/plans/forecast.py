"""The forecast: which share of each class's requests each box of a node gets, by the decision module itself.

The module is given the node's list and a mix of objects at a rate, on a clock of its own, and its choices are counted;
every attempt is served at once, so what shows is the ordinary path. Copies follow rates: the rate belongs to the mix.
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
WARM_UP = 3.0  # seconds of the mix before choices are counted: rates are known and copies have settled
TAKES = 30_000  # microseconds that an attempt is out
FEWEST, MOST = 500, 20_000  # requests that are played for a node


@dataclass(frozen=True, slots=True)
class Mix:
    """What is asked of one node: requests a second in all, the part of each class, and how popular objects are."""

    rate: float = 50.0
    classes: Mapping[str, float] = field(default_factory=dict)  # name -> part
    objects: int = 2_000  # of each class
    zipf: float = 1.0
    parts: int = 12  # of an object in parts
    seconds: float = 40.0

    def requests(self, seed: int, in_parts: Mapping[str, bool]) -> Iterator[tuple[str, str, int]]:
        """Class, object and part of one request after another, the same for the same seed."""
        draw = random.Random(seed)
        weights = list(itertools.accumulate(1 / (i + 1) ** self.zipf for i in range(self.objects)))
        names = sorted(self.classes)
        parts = list(itertools.accumulate(self.classes[name] for name in names))
        while True:
            cls = names[min(bisect.bisect(parts, draw.random() * parts[-1]), len(names) - 1)]
            place = min(bisect.bisect(weights, draw.random() * weights[-1]), self.objects - 1)
            yield cls, object_name(cls, place), draw.randrange(self.parts) if in_parts[cls] else 0


def object_name(cls: str, place: int) -> str:
    """The object of this place in its class's order of popularity: 16 hex digits."""
    return f"{hash_name(f'{cls}/{place}'):016x}"


def default_mix(settings: Mapping[str, Any]) -> Mix:
    """Reads of every class in equal parts, for those who give none."""
    return Mix(classes={name: 1.0 for name, c in settings["classes"].items() if not c["write"]})


def mix_of(given: Mapping[str, Any], settings: Mapping[str, Any]) -> Mix:
    """A mix from its figures by name; those that are missing are the default's. ValueError where one can't be used."""
    most = {"rate": 1e6, "objects": 1e6, "zipf": 10, "parts": 1e6, "seconds": 3_600}
    classes = given.get("classes", default_mix(settings).classes)
    for name in given:
        if name != "classes" and name not in most:
            raise ValueError(f"{name}: no such figure; there are classes, {', '.join(most)}")
    for name, value in [*given.items(), *(classes.items() if isinstance(classes, dict) else ())]:
        if name != "classes" and (type(value) not in (int, float) or not 0 < value <= most.get(name, 1e6)):
            raise ValueError(f"{name}: must be a number over 0, {most.get(name, 1e6):g} at most")
    if not isinstance(classes, dict) or not classes or set(classes) - set(settings["classes"]):
        raise ValueError(f"classes: must be a map of some of {', '.join(settings['classes'])} to their parts")
    figures = {
        name: int(value) if name in ("objects", "parts") else value
        for name, value in given.items()
        if name != "classes"
    }
    return Mix(classes=classes, **figures)


def shares(resources: Mapping[str, Resource], node: str, mix: Mix, seed: int = 1) -> dict[str, dict[str, float]]:
    """For each class its shares by box, in parts of 1, of a node (`node.NAME`) where all servers are warm."""
    crew = sorted(
        (r for r in resources.values() if r.kind == "proxy" and r.attrs["node"] == node), key=lambda r: r.name
    )
    proxy = crew[0] if crew else Resource("node", node, {"node": node})
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
    rate = mix.rate / max(1, len(crew))
    many = max(FEWEST, min(MOST, int(rate * (mix.seconds + WARM_UP))))
    requests = mix.requests(seed, {name: cls.in_parts for name, cls in settings.classes.items()})
    out: list[tuple[int, api.Fetch]] = []
    for i, (cls, name, part) in enumerate(itertools.islice(requests, many)):
        now = SECOND + int(i * SECOND / rate)
        while out and out[0][0] <= now:
            at, sent = out.pop(0)
            router.handle(at, api.AttemptEnded(sent.id, 0, sent.server, api.Outcome.SERVED, TAKES, request_closed=True))
        for action in router.handle(now, api.Request(str(i), cls, name, settings.classes[cls].deadline, part=part)):
            if isinstance(action, api.Fetch):
                out.append((now + TAKES, action))
                if i >= rate * WARM_UP:
                    counted[cls][numbers[action.server]] += 1
    return {
        cls: {id: count / max(1, sum(by.values())) for id, count in sorted(by.items())}
        for cls, by in sorted(counted.items())
    }


def before_and_after(
    before: Mapping[str, Resource], after: Mapping[str, Resource], changed: Iterable[str], mix: Mix | None = None
) -> dict[str, Any]:
    """The forecast of a plan: for each node that it changes, each class and each box, the shares on both sides."""
    told: dict[str, Any] = {}
    for node in sorted(changed):
        sides = []
        for side in (before, after):
            whole = "settings.settings" in side and node in side
            has = whole and any(r.kind == "box" and r.attrs["node"] == node for r in side.values())
            if not has:
                sides.append({})
                continue
            use = mix or default_mix(side["settings.settings"].attrs)
            known = side["settings.settings"].attrs["classes"]
            use = Mix(
                use.rate,
                {c: p for c, p in use.classes.items() if c in known},
                use.objects,
                use.zipf,
                use.parts,
                use.seconds,
            )
            sides.append(shares(side, node, use) if use.classes else {})
        told[node] = {
            cls: {
                box: {
                    "before": round(sides[0].get(cls, {}).get(box, 0.0), 4),
                    "after": round(sides[1].get(cls, {}).get(box, 0.0), 4),
                }
                for box in sorted({*sides[0].get(cls, {}), *sides[1].get(cls, {})})
            }
            for cls in sorted({*sides[0], *sides[1]})
        }
    return told
