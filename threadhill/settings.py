"""Reads and checks the settings of an instance, from the simulator's first message or a proxy's configuration.

The readers of single values are used for other input too. Each raises Malformed with the name of the value.
"""

from __future__ import annotations

import json
import math
from typing import Any

from threadhill.decision import interface as api

RETRY_SAFETY = {
    "read_like": api.RetrySafety.SAFE,
    "idempotency_key": api.RetrySafety.KEYED,
    "non_idempotent": api.RetrySafety.UNSAFE,
}
MEMBERSHIP_MODES = {"pushed": False, "on_request": True}


class Malformed(Exception):
    """Input that cannot be used; the text names the value and what is wrong with it."""


def integer(value: Any, what: str) -> int:
    """An integer; 0 if absent."""
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int):
        raise Malformed(f"{what} must be a whole number, not {json.dumps(value)[:60]}")
    return value


def required_integer(value: Any, what: str) -> int:
    """An integer that must be present."""
    if value is None:
        raise Malformed(f"{what} is missing")
    return integer(value, what)


def optional_table(raw: dict[str, Any], key: str, keys: set[str]) -> dict[str, Any] | None:
    """A table of a file, None if absent. An unknown key is an error, as it would have no effect."""
    if key not in raw:
        return None
    table = mapping(raw[key], key)
    for unknown in sorted(set(table) - keys):
        raise Malformed(f"{key}.{unknown}: no such key")
    return table


def bounded_number(value: Any, most: float, what: str) -> float:
    """A finite number from 0 to `most`, from a message of another process."""
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not math.isfinite(value)
        or not 0 <= value <= most
    ):
        raise Malformed(f"{what} must be from 0 to {most:g}, not {str(value)[:20]}")
    return float(value)


def number(value: Any, what: str) -> float:
    """A finite number; 0 if absent."""
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise Malformed(f"{what} must be a number, not {json.dumps(value)[:60]}")
    return float(value)


def flag(value: Any, what: str) -> bool:
    """A boolean; False if absent. Other values are errors, as they would count as true."""
    if value is None:
        return False
    if not isinstance(value, bool):
        raise Malformed(f"{what} must be true or false, not {json.dumps(value)[:60]}")
    return value


def names(value: Any, what: str) -> tuple[str, ...]:
    """An array of distinct, non-empty names; empty if absent."""
    found: list[str] = []
    for i, name in enumerate(sequence(value, what)):
        if not text(name, f"{what}[{i}]"):
            raise Malformed(f"{what}[{i}] is empty; it must be a name")
        if name in found:
            raise Malformed(f"{what} has {json.dumps(name)[:60]} twice")
        found.append(name)
    return tuple(found)


def text(value: Any, what: str) -> str:
    """A string that must be present."""
    if not isinstance(value, str):
        raise Malformed(f"{what} must be text, not {json.dumps(value)[:60]}")
    return value


def mapping(value: Any, what: str) -> dict[str, Any]:
    """An object; empty if absent."""
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise Malformed(f"{what} must be an object, not {json.dumps(value)[:60]}")
    return value


def sequence(value: Any, what: str) -> list[Any]:
    """An array; empty if absent."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise Malformed(f"{what} must be an array, not {json.dumps(value)[:60]}")
    return value


def address(value: Any, what: str) -> tuple[str, int]:
    """Host and port from `host:port`; an IPv6 host is in brackets."""
    host, colon, port = text(value, what).rpartition(":")
    # isdigit alone accepts digits that int rejects, such as superscripts.
    if not colon or not (port.isascii() and port.isdigit()) or len(port) > 5 or int(port) >= 65_536:
        raise Malformed(f"{what} is not host:port: {value!r}")
    return host.strip("[]"), int(port)


def one_of(table: dict[Any, Any], value: Any, what: str) -> Any:
    """The value that the table has under this name."""
    if not isinstance(value, str) or value not in table:
        raise Malformed(f"{what} is unknown: {json.dumps(value)[:60]}")
    return table[value]


# Keys of `extra` whose arrays have one value per entry of `profiles`.
PER_CLASS_KEYS = ("class-write", "fresh-for", "stale-for", "old-copy-worth", "in-parts")


def read_class(raw: Any, index: int, extra: dict[str, Any]) -> api.RequestClass:
    """One entry of `profiles`, with the values that `extra` has at its index."""
    raw = mapping(raw, f"profiles[{index}]")

    def at_index(key: str) -> Any:
        values = sequence(extra.get(key), f"extra.{key}")
        return values[index] if index < len(values) else None

    scope = raw.get("dedup-scope")
    return api.RequestClass(
        name=names([raw.get("name")], f"profiles[{index}].name")[0],
        retry_safety=one_of(RETRY_SAFETY, raw.get("repeat"), f"profiles[{index}].repeat"),
        dedup_scope=one_of({s.value: s for s in api.DedupScope}, "all" if scope is None else scope, "dedup-scope"),
        dedup_window=integer(raw.get("repeat-window"), "repeat-window"),
        latency_target=integer(raw.get("objective"), "objective"),
        latency_target_stretch=number(raw.get("aim-stretch"), "aim-stretch"),
        deadline=integer(raw.get("deadline"), "deadline"),
        value=number(raw.get("value"), "value"),
        late_value=number(raw.get("late-worth"), "late-worth"),
        streamed=flag(raw.get("streamed"), "streamed"),
        write=flag(at_index("class-write"), "class-write"),
        freshness_lifetime=integer(at_index("fresh-for"), "fresh-for"),
        max_stale=integer(at_index("stale-for"), "stale-for"),
        stale_value=number(at_index("old-copy-worth"), "old-copy-worth"),
        in_parts=flag(at_index("in-parts"), "in-parts"),
    )


# Attribute -> key of counts, times and shares that must not be negative.
NOT_NEGATIVE = {
    "routers": "n-instances",
    "tick": "tick",
    "ask_within": "ask-within",
    "answer_slack": "grace-to-answer",
    "drain_grace": "drain-grace",
    "cold_capacity": "start-capacity",
    "warm_up_time": "ramp-time",
    "overload_multiple": "fall-multiple",
    "overload_window": "fall",
    "parent_cold_capacity": "upper-cold-from",
    "parent_warm_up_time": "parent-ramp",
    "parent_overload_multiple": "parent-fall-multiple",
    "purge_grace": "purge-slack",
    "purge_drop_time": "purge-takes",
    "max_retry_after": "max-retry-after",
    "max_attempts": "max-attempts",
    "connect_timeout": "connect-timeout",
    "client_kb_per_s": "client-kb-per-s",
}
CLASS_NOT_NEGATIVE = {
    "dedup_window": "repeat-window",
    "latency_target": "objective",
    "latency_target_stretch": "aim-stretch",
    "deadline": "deadline",
    "freshness_lifetime": "fresh-for",
    "max_stale": "stale-for",
    "value": "value",
    "late_value": "late-worth",
    "stale_value": "old-copy-worth",
}
SHARES = {"cold_capacity": "start-capacity", "parent_cold_capacity": "upper-cold-from"}  # attribute -> key, at most 1
CLASS_SHARES = {"late_value": "late-worth", "stale_value": "old-copy-worth"}


def check_settings(settings: api.Settings, given_routers: int) -> None:
    """Raise Malformed, with the name of the value, if the settings contradict each other: a proxy must not start with
    them or accept them on a reload."""
    for field, name in NOT_NEGATIVE.items():
        if getattr(settings, field) < 0:
            raise Malformed(f"{name} is {getattr(settings, field)}; it cannot be below 0")
    for cls in settings.classes.values():
        for field, name in CLASS_NOT_NEGATIVE.items():
            if getattr(cls, field) < 0:
                raise Malformed(f"{name} of class {cls.name} is {getattr(cls, field)}; it cannot be below 0")
        for field, name in CLASS_SHARES.items():
            if getattr(cls, field) > 1:
                raise Malformed(f"{name} of class {cls.name} is {getattr(cls, field)}; as a share it is 1 at most")
    for field, name in SHARES.items():
        if getattr(settings, field) > 1:
            raise Malformed(f"{name} is {getattr(settings, field)}; as a share it is 1 at most")
    if settings.zones and settings.zone and settings.zone not in settings.zones:
        raise Malformed(f"zone is {json.dumps(settings.zone)[:60]}, which zones does not name")
    for zone, hub in zip(settings.zones, settings.zone_hub, strict=False):
        if not 0 <= hub < len(settings.zones):
            raise Malformed(f"hub-of has place {hub} for {zone}; zones has places 0 to {len(settings.zones) - 1}")
    for name, values in (("hub-of", settings.zone_hub), ("zone-link-kb-per-s", settings.zone_link_kb_per_s)):
        if values and len(values) != len(settings.zones):
            raise Malformed(f"{name} has {len(values)} values, zones {len(settings.zones)}: one each is needed")
    if len(settings.zone_routers) > len(settings.zones):
        raise Malformed(f"crew-by-zone names {len(settings.zone_routers)} zones, zones only {len(settings.zones)}")
    for zone, routers in zip(settings.zones, settings.zone_routers, strict=False):
        if isinstance(routers, bool) or not isinstance(routers, int | float) or routers < 0:
            raise Malformed(f"crew-by-zone of {zone} must be a number of 0 or more, not {json.dumps(routers)[:60]}")
        if given_routers and routers > given_routers:
            raise Malformed(f"crew-by-zone has {routers} instances in {zone}, more than n-instances ({given_routers})")


def read_settings(raw: Any) -> api.Settings:
    """The settings of an instance. Unknown keys are skipped; contradictory settings raise Malformed."""
    raw = mapping(raw, "options")
    extra, limits, rules = (mapping(raw.get(key), key) for key in ("extra", "limits", "obligations"))
    kinds = names(raw.get("machine-types"), "machine-types")
    classes = [read_class(item, i, extra) for i, item in enumerate(sequence(raw.get("profiles"), "profiles"))]
    names([cls.name for cls in classes], "profiles")
    for key in PER_CLASS_KEYS:
        count = len(sequence(extra.get(key), key))
        if count and count != len(classes):
            raise Malformed(f"{key} has {count} values, profiles {len(classes)}: one each is needed")
    names(mapping(raw.get("report"), "report").get("columns"), "report.columns")

    def kind(key: str) -> str | None:
        index = extra.get(key)
        index = -1 if index is None else integer(index, key)
        if not -1 <= index < len(kinds):
            raise Malformed(f"{key} is {index}; machine-types has {len(kinds)} names, and -1 stands for none")
        return kinds[index] if index >= 0 else None

    def named(enum: Any, where: dict[str, Any], key: str, absent: Any) -> Any:
        return absent if where.get(key) is None else one_of({e.value: e for e in enum}, where[key], key)

    given_routers = integer(raw.get("n-instances"), "n-instances")
    settings = api.Settings(
        classes={cls.name: cls for cls in classes},
        zone=text(raw.get("zone") or "", "zone"),
        zones=names(raw.get("zones"), "zones"),
        zone_hub=tuple(required_integer(hub, "hub-of") for hub in sequence(extra.get("hub-of"), "hub-of")),
        zone_link_kb_per_s=tuple(
            number(link, "zone-link-kb-per-s")
            for link in sequence(extra.get("zone-link-kb-per-s"), "zone-link-kb-per-s")
        ),
        zone_routers=tuple(sequence(extra.get("crew-by-zone"), "crew-by-zone")),
        routers=max(1, given_routers) if given_routers >= 0 else given_routers,
        router_index=integer(raw.get("rank"), "rank"),
        parent_kind=kind("upper-kind"),
        origin_kind=kind("master-kind"),
        client_kb_per_s=number(extra.get("client-kb-per-s"), "client-kb-per-s"),
        tick=integer(raw.get("tick"), "tick"),
        direct_to_origin=flag(extra.get("bypass-allowed"), "bypass-allowed"),
        coalesces_fills=flag(extra.get("shares-fills"), "shares-fills"),
        siblings=named(api.Siblings, extra, "sideways", api.Siblings.NONE),
        cache_status_detail=named(api.CacheStatusDetail, extra, "notes-given", api.CacheStatusDetail.NONE),
        weights=named(api.Weights, raw, "weight-source", api.Weights.NONE),
        clients_mark_retries=flag(mapping(raw.get("callers"), "callers").get("marks-retry"), "marks-retry"),
        list_on_request=one_of(MEMBERSHIP_MODES, raw.get("membership-mode", "pushed"), "membership-mode"),
        ask_within=integer(rules.get("ask-within"), "ask-within"),
        answer_slack=integer(rules.get("grace-to-answer"), "grace-to-answer"),
        drain_grace=integer(rules.get("drain-grace"), "drain-grace"),
        cold_capacity=number(rules.get("start-capacity", 1), "start-capacity"),
        warm_up_time=integer(rules.get("ramp-time"), "ramp-time"),
        overload_multiple=number(rules.get("fall-multiple", 1), "fall-multiple"),
        overload_window=integer(rules.get("fall"), "fall"),
        parent_cold_capacity=number(extra.get("upper-cold-from", 1), "upper-cold-from"),
        parent_warm_up_time=integer(extra.get("parent-ramp"), "parent-ramp"),
        parent_overload_multiple=number(extra.get("parent-fall-multiple", 1), "parent-fall-multiple"),
        purge_grace=integer(extra.get("purge-slack"), "purge-slack"),
        purge_drop_time=integer(extra.get("purge-takes"), "purge-takes"),
        cancel=flag(limits.get("cancel"), "cancel"),
        probes=flag(limits.get("probes"), "probes"),
        retry_after_allowed=flag(limits.get("retry-after"), "retry-after"),
        max_retry_after=integer(limits.get("max-retry-after"), "max-retry-after"),
        max_attempts=max(1, integer(limits.get("max-attempts"), "max-attempts")),
        second_copies=flag(limits.get("second-copies"), "second-copies"),
        connect_timeout=integer(limits.get("connect-timeout"), "connect-timeout"),
    )
    check_settings(settings, given_routers)
    return settings
