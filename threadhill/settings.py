"""The settings of an instance, as the simulator's first message and the configuration of a proxy give them."""

from __future__ import annotations

import json
from typing import Any

from threadhill.decision import interface as api

EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}


class Malformed(Exception):
    """A line that is not the wire's."""


def whole(value: Any, what: str) -> int:
    """A whole number, absent counting as 0."""
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int):
        raise Malformed(f"{what} must be a whole number, not {json.dumps(value)[:60]}")
    return value


def must_whole(value: Any, what: str) -> int:
    """A whole number that may not be absent."""
    if value is None:
        raise Malformed(f"{what} is missing")
    return whole(value, what)


def number(value: Any, what: str) -> float:
    """A number, absent counting as 0."""
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Malformed(f"{what} must be a number, not {json.dumps(value)[:60]}")
    return float(value)


def text(value: Any, what: str) -> str:
    """A text that may not be absent."""
    if not isinstance(value, str):
        raise Malformed(f"{what} must be text, not {json.dumps(value)[:60]}")
    return value


def mapping(value: Any, what: str) -> dict[str, Any]:
    """An object, absent counting as an empty one."""
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise Malformed(f"{what} must be an object, not {json.dumps(value)[:60]}")
    return value


def sequence(value: Any, what: str) -> list[Any]:
    """An array, absent counting as an empty one."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise Malformed(f"{what} must be an array, not {json.dumps(value)[:60]}")
    return value


def address(value: Any, what: str) -> tuple[str, int]:
    """`host:port`; a host in brackets is IPv6."""
    host, colon, port = text(value, what).rpartition(":")
    # isdigit alone takes digits that int refuses, as superscripts are.
    if not colon or not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) >= 65_536:
        raise Malformed(f"{what} is not host:port: {value!r}")
    return host.strip("[]"), int(port)


def one_of(table: dict[Any, Any], value: Any, what: str) -> Any:
    """A named value."""
    if not isinstance(value, str) or value not in table:
        raise Malformed(f"{what} is unknown: {json.dumps(value)[:60]}")
    return table[value]


def read_class(raw: Any, index: int, extra: dict[str, Any]) -> api.RequestClass:
    """One entry of `profiles`, with what `extra` adds by its place."""
    raw = mapping(raw, f"profiles[{index}]")

    def by_place(key: str) -> Any:
        values = sequence(extra.get(key), f"extra.{key}")
        return values[index] if index < len(values) else None

    scope = raw.get("dedup-scope")
    return api.RequestClass(
        name=text(raw.get("name"), f"profiles[{index}].name"),
        effect=one_of(EFFECTS, raw.get("repeat"), f"profiles[{index}].repeat"),
        scope=one_of({s.value: s for s in api.Scope}, "all" if scope is None else scope, "dedup-scope"),
        window=whole(raw.get("repeat-window"), "repeat-window"),
        aim=whole(raw.get("objective"), "objective"),
        aim_stretch=number(raw.get("aim-stretch"), "aim-stretch"),
        deadline=whole(raw.get("deadline"), "deadline"),
        worth=number(raw.get("value"), "value"),
        late_worth=number(raw.get("late-worth"), "late-worth"),
        streamed=bool(raw.get("streamed")),
        write=bool(by_place("class-write")),
        fresh=whole(by_place("fresh-for"), "fresh-for"),
        grace=whole(by_place("stale-for"), "stale-for"),
        old_worth=number(by_place("old-copy-worth"), "old-copy-worth"),
        parts=bool(by_place("in-parts")),
    )


# Counts, times and shares that have no meaning below zero, by the name that the settings give them.
NOT_NEGATIVE = {"routers": "n-instances", "tick": "tick", "ask_within": "ask-within", "answer_slack": "grace-to-answer",
                "drain_grace": "drain-grace", "cold_from": "start-capacity", "cold_time": "ramp-time",
                "fall_multiple": "fall-multiple", "fall_window": "fall", "parent_cold_from": "upper-cold-from",
                "parent_cold_time": "parent-ramp", "parent_fall_multiple": "parent-fall-multiple",
                "purge_grace": "purge-slack", "purge_done": "purge-takes", "max_advice": "max-retry-after",
                "max_attempts": "max-attempts", "connect_timeout": "connect-timeout", "flow": "client-kb-per-s"}
CLASS_NOT_NEGATIVE = {"window": "repeat-window", "aim": "objective", "aim_stretch": "aim-stretch",
                      "deadline": "deadline", "fresh": "fresh-for", "grace": "stale-for"}


def check_settings(settings: api.Settings, told_routers: int) -> None:
    """Settings that cannot hold together are refused whole, with the name of what is wrong: a proxy must neither start
    on them nor take them on a reload."""
    for field, name in NOT_NEGATIVE.items():
        if getattr(settings, field) < 0:
            raise Malformed(f"{name} is {getattr(settings, field)}; it cannot be below 0")
    for cls in settings.classes.values():
        for field, name in CLASS_NOT_NEGATIVE.items():
            if getattr(cls, field) < 0:
                raise Malformed(f"{name} of class {cls.name} is {getattr(cls, field)}; it cannot be below 0")
    if len(settings.zone_routers) > len(settings.zones):
        raise Malformed(f"crew-by-zone names {len(settings.zone_routers)} zones, zones only {len(settings.zones)}")
    for zone, crew in zip(settings.zones, settings.zone_routers, strict=False):
        if isinstance(crew, bool) or not isinstance(crew, int | float) or crew < 0:
            raise Malformed(f"crew-by-zone of {zone} must be a number of 0 or more, not {json.dumps(crew)[:60]}")
        if told_routers and crew > told_routers:
            raise Malformed(f"crew-by-zone has {crew} instances in {zone}, more than n-instances ({told_routers})")


def read_settings(raw: Any) -> api.Settings:
    """The settings of an instance; keys that are not known are skipped. What does not hold together is refused."""
    raw = mapping(raw, "options")
    extra, limits, rules = (mapping(raw.get(key), key) for key in ("extra", "limits", "obligations"))
    kinds = sequence(raw.get("machine-types"), "machine-types")
    classes = [
        read_class(item, i, extra) for i, item in enumerate(sequence(raw.get("profiles"), "profiles"))
    ]

    def kind(key: str) -> str | None:
        place = extra.get(key)
        place = -1 if place is None else whole(place, key)
        return kinds[place] if 0 <= place < len(kinds) else None

    def named(enum: Any, value: Any, absent: Any) -> Any:
        return absent if value is None else one_of({e.value: e for e in enum}, value, enum.__name__)

    told_routers = whole(raw.get("n-instances"), "n-instances")
    settings = api.Settings(
        classes={cls.name: cls for cls in classes},
        zone=raw.get("zone") or "",
        zones=tuple(sequence(raw.get("zones"), "zones")),
        zone_hub=tuple(sequence(extra.get("hub-of"), "hub-of")),
        zone_link=tuple(sequence(extra.get("zone-link-kb-per-s"), "zone-link-kb-per-s")),
        zone_routers=tuple(sequence(extra.get("crew-by-zone"), "crew-by-zone")),
        routers=max(1, told_routers) if told_routers >= 0 else told_routers,
        rank=whole(raw.get("rank"), "rank"),
        parent_kind=kind("upper-kind"),
        origin_kind=kind("master-kind"),
        flow=number(extra.get("client-kb-per-s"), "client-kb-per-s"),
        tick=whole(raw.get("tick"), "tick"),
        direct=bool(extra.get("bypass-allowed")),
        joins=bool(extra.get("shares-fills")),
        siblings=named(api.Siblings, extra.get("sideways"), api.Siblings.NONE),
        tells=named(api.Tells, extra.get("notes-given"), api.Tells.NONE),
        weights=named(api.Weights, raw.get("weight-source"), api.Weights.NONE),
        marks_repeats=bool(mapping(raw.get("callers"), "callers").get("marks-retry")),
        list_on_request=raw.get("membership-mode") == "on_request",
        ask_within=whole(rules.get("ask-within"), "ask-within"),
        answer_slack=whole(rules.get("grace-to-answer"), "grace-to-answer"),
        drain_grace=whole(rules.get("drain-grace"), "drain-grace"),
        cold_from=number(rules.get("start-capacity", 1), "start-capacity"),
        cold_time=whole(rules.get("ramp-time"), "ramp-time"),
        fall_multiple=number(rules.get("fall-multiple", 1), "fall-multiple"),
        fall_window=whole(rules.get("fall"), "fall"),
        parent_cold_from=number(extra.get("upper-cold-from", 1), "upper-cold-from"),
        parent_cold_time=whole(extra.get("parent-ramp"), "parent-ramp"),
        parent_fall_multiple=number(extra.get("parent-fall-multiple", 1), "parent-fall-multiple"),
        purge_grace=whole(extra.get("purge-slack"), "purge-slack"),
        purge_done=whole(extra.get("purge-takes"), "purge-takes"),
        cancel=bool(limits.get("cancel")),
        probes=bool(limits.get("probes")),
        advice=bool(limits.get("retry-after")),
        max_advice=whole(limits.get("max-retry-after"), "max-retry-after"),
        max_attempts=max(1, whole(limits.get("max-attempts"), "max-attempts")),
        second_copies=bool(limits.get("second-copies")),
        connect_timeout=whole(limits.get("connect-timeout"), "connect-timeout"),
    )
    check_settings(settings, told_routers)
    return settings
