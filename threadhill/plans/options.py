"""Derives from the resources the settings in a proxy's configuration, and the servers in the journal's events."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from threadhill.plans.model import REPORT_FIELDS
from threadhill.plans.resource import Resource

RETRY_SAFETY = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}


def zones(resources: Mapping[str, Resource]) -> list[str]:
    """The names of the zones: hubs, then nodes, each sorted. Tables by zone in the settings have this order."""
    return [r.name for kind in ("hub", "node") for _, r in sorted(resources.items()) if r.kind == kind]


def options(resources: Mapping[str, Resource], proxy: Resource) -> dict[str, Any]:
    """The `settings` of a proxy's configuration, with times in microseconds."""
    attrs = resources["settings.settings"].attrs
    names = zones(resources)
    hubs = [r.name for _, r in sorted(resources.items()) if r.kind == "hub"]
    nodes = {r.name: r.attrs for r in resources.values() if r.kind == "node"}
    proxies = sorted((r.attrs["node"], r.name) for r in resources.values() if r.kind == "proxy")
    classes = list(attrs["classes"].items())
    return {
        "domain-type": "edge",
        "extra": {
            "bypass-allowed": True,
            "class-write": [c["write"] for _, c in classes],
            "client-kb-per-s": attrs["client_kb_per_s"],
            "crew-by-zone": [sum(1 for node, _ in proxies if node == f"node.{name}") for name in names],
            "fresh-for": [c["fresh_ms"] * 1_000 for _, c in classes],
            "hub-of": [hubs.index(nodes[n]["hub"].removeprefix("hub.") if n in nodes else n) for n in names],
            "in-parts": [c["parts"] for _, c in classes],
            "master-kind": 2,
            "notes-given": attrs.get("notes", "none"),
            "old-copy-worth": [0.7] * len(classes),
            "parent-fall-multiple": attrs["upper_fall_multiple"],
            "parent-ramp": int(attrs["upper_cold_s"] * 1e6),
            "purge-slack": attrs["purge_grace_ms"] * 1_000,
            "purge-takes": int(attrs["purge_done_s"] * 1e6),
            "shares-fills": True,
            "sideways": "location",
            "stale-for": [c["grace_ms"] * 1_000 for _, c in classes],
            "upper-cold-from": attrs["upper_cold_from"],
            "upper-kind": 1,
            "zone-link-kb-per-s": [nodes[n]["link_kb_per_s"] if n in nodes else 0.0 for n in names],
        },
        "limits": {
            "cancel": True,
            "conn-idle": 30_000_000,
            "connect-timeout": 400_000,
            "max-attempts": attrs["attempts"],
            "max-retry-after": attrs["back_off_ms"] * 1_000,
            "max-streams": 32,
            "retry-after": attrs["back_off_ms"] > 0,
            "second-copies": True,
        },
        "machine-types": ["box", "parent", "library"],
        "membership-mode": "pushed",
        "n-instances": max(1, len(proxies)),
        "obligations": {
            "drain-grace": attrs["drain_ms"] * 1_000,
            "fall": int(attrs["fall_s"] * 1e6),
            "fall-multiple": attrs["fall_multiple"],
            "grace-to-answer": 8_000,
            "ramp-time": int(attrs["cold_s"] * 1e6),
            "start-capacity": attrs["cold_from"],
        },
        "profiles": [
            {
                "aim-stretch": c["wanted_stretch"],
                "deadline": c["given_up_ms"] * 1_000,
                "dedup-scope": "all",
                "late-worth": c["late_worth"],
                "name": name,
                "objective": c["wanted_ms"] * 1_000,
                "repeat": RETRY_SAFETY[c["repeat"]],
                "repeat-window": c["window_ms"] * 1_000,
                "streamed": False,
                "value": c["worth"],
            }
            for name, c in classes
        ],
        "rank": [name for _, name in proxies].index(proxy.name) if proxy.kind == "proxy" else 0,
        "report": {"columns": list(attrs.get("reports", REPORT_FIELDS)), "via": "answers"},
        "tick": 2_000,
        "zone": proxy.attrs["node"].removeprefix("node."),
        "zones": names,
    }


def settle_ms(settings: Mapping[str, Any]) -> int:
    """The time that open requests have to end on a draining server: `settle_s`, or else the longest deadline."""
    if settings["settle_s"] is not None:
        return int(settings["settle_s"] * 1_000)
    return max((c["given_up_ms"] for c in settings["classes"].values()), default=5_000)


def member(kind: str, name: str, attrs: Mapping[str, Any], phase: str, since: int) -> dict[str, Any]:
    """A server as in the journal's events; `phase` is SERVING, DRAINING or DELETED, `since` is in Unix milliseconds."""
    where = attrs.get("node") or attrs.get("hub") or ""
    return {
        "id": name,
        "host_port": attrs["address"],
        "locality": where.split(".", 1)[-1],
        "flavor": kind,
        "cell": attrs["cell"],
        "phase": phase,
        "size": attrs["size"],
        "up_since_ms": since,
    }
