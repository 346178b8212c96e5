"""The configuration: what LB_NAME, LB_LISTEN and LB_CONFIG tell, read once."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from threadhill import interface as api
from threadhill.admin.document import Invalid, read_tenants
from threadhill.core.tenants import Tenant
from threadhill.dns.front import DnsConfig
from threadhill.dns.message import labels_of
from threadhill.net.journal import Event, read_event
from threadhill.net.lines import WIRE, Limits
from threadhill.settings import Malformed, address, mapping, read_settings, sequence, text, whole

PROGRAM = 26  # MB that the program takes by itself
LEAST_SPARE = 6  # MB beside it that are counted on, whatever the limit
OUTBOUND_SHARE = 0.3  # part of what is left for answers that wait for clients
INBOUND_SHARE = 0.4  # the same for answers that come from cache servers
LEFT_FREE = 48  # descriptors for the journal, listeners, dials under way and the like


class BadConfig(Exception):
    """The configuration cannot be used; the text says why."""


@dataclass(frozen=True, slots=True)
class Config:
    """What one proxy is told when it starts."""

    name: str
    listen: tuple[str, int]
    seed: int
    settings: api.Settings
    known: tuple[int, list[Event]]  # the last event's number, and the events
    journal: tuple[str, int] | None
    limits: Limits
    clients: int  # connections that clients may hold
    outbound: int  # bytes that may wait for all of them together


def read_config(raw: Any, environ: Mapping[str, str]) -> Config:
    """The configuration from its JSON; the environment's name and address go first."""
    raw = mapping(raw, "the configuration")
    options = mapping(raw.get("settings"), "settings")
    site = mapping(options.get("limits"), "limits")
    machine = mapping(raw.get("limits"), "limits")
    sockets = whole(machine.get("sockets"), "sockets") or 1_024
    spare = max(LEAST_SPARE, (whole(machine.get("memory_mb"), "memory_mb") or 192) - PROGRAM) << 20
    clients = sockets // 2  # usual clients hold a third at most, and caches need few: the rest is for a crowd
    known = mapping(raw.get("known"), "known")
    seed = raw.get("seed") or "0"
    return Config(
        name=environ.get("LB_NAME") or raw.get("name") or "threadhill",
        listen=address(environ.get("LB_LISTEN") or raw.get("listen"), "listen"),
        seed=int(seed, 16) if isinstance(seed, str) else whole(seed, "seed"),
        settings=read_settings(options),
        known=(whole(known.get("pos"), "known.pos"),
               [read_event(event) for event in sequence(known.get("entries"), "known.entries")]),
        journal=address(raw["journal"], "journal") if raw.get("journal") else None,
        limits=Limits(
            descriptors=max(16, min(sockets - clients - LEFT_FREE, int(spare * INBOUND_SHARE) // WIRE)),
            streams=whole(site.get("max-streams"), "max-streams") or 32,
            idle=whole(site.get("conn-idle"), "conn-idle") or 30_000_000,
            connect_timeout=whole(site.get("connect-timeout"), "connect-timeout") or 400_000,
        ),
        clients=clients,
        outbound=int(spare * OUTBOUND_SHARE),
    )


def load(environ: Mapping[str, str]) -> Config:
    """Read the file that LB_CONFIG names."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise BadConfig("LB_CONFIG is not set: it names the configuration file")
    try:
        return read_config(orjson.loads(Path(path).read_bytes()), environ)
    except (OSError, ValueError, Malformed) as error:
        raise BadConfig(f"{path}: {error}") from None


@dataclass(frozen=True, slots=True)
class AdminConfig:
    """What the operator's file says of the administration API."""

    listen: tuple[str, int]
    token: str


@dataclass(frozen=True, slots=True)
class Operator:
    """The operator's file: what is on besides the platform's front. Without one, nothing is."""

    dns: DnsConfig | None = None
    admin: AdminConfig | None = None
    tenants: tuple[Tenant, ...] = ()


def _table(raw: dict[str, Any], key: str, keys: set[str]) -> dict[str, Any] | None:
    if key not in raw:
        return None
    table = mapping(raw[key], key)
    for unknown in sorted(set(table) - keys):
        raise Malformed(f"{key}.{unknown}: no such key")
    return table


def read_operator(raw: dict[str, Any], environ: Mapping[str, str], base: Path) -> Operator:
    """The operator's file; a key that is not known is a fault, as it would else be silently without effect."""
    for unknown in sorted(set(raw) - {"dns", "admin", "tenants"}):
        raise Malformed(f"{unknown}: no such key")
    dns = _table(raw, "dns", {"listen", "deadline_ms", "nameservers", "connections"})
    admin = _table(raw, "admin", {"listen", "token_file", "token_env"})
    try:
        tenants = tuple(read_tenants(raw.get("tenants", [])))
    except Invalid as error:
        raise Malformed(str(error)) from None
    return Operator(_read_dns(dns) if dns is not None else None,
                    _read_admin(admin, environ, base) if admin is not None else None, tenants)


def _read_dns(raw: dict[str, Any]) -> DnsConfig:
    names = tuple(text(name, "dns.nameservers") for name in sequence(raw.get("nameservers"), "dns.nameservers"))
    for name in names:
        labels_of(name)
    deadline = whole(raw.get("deadline_ms"), "dns.deadline_ms") or 1_000
    connections = whole(raw.get("connections"), "dns.connections") or 64
    if not 0 < deadline <= 60_000 or not 0 < connections <= 1_024:
        raise Malformed("dns: deadline_ms or connections is out of range")
    return DnsConfig(address(raw.get("listen"), "dns.listen"), deadline * 1_000, names, connections)


def _read_admin(raw: dict[str, Any], environ: Mapping[str, str], base: Path) -> AdminConfig:
    if ("token_file" in raw) == ("token_env" in raw):
        raise Malformed("admin: name either token_file or token_env")
    if "token_file" in raw:
        token = (base / text(raw["token_file"], "admin.token_file")).read_text().strip()
    else:
        token = environ.get(text(raw["token_env"], "admin.token_env"), "")
    if len(token) < 16:
        raise Malformed("admin: the token has under 16 characters")
    listen = address(raw.get("listen"), "admin.listen")
    if not listen[0].startswith("127.") and listen[0] != "::1":
        raise Malformed("admin.listen: the API speaks plain HTTP and listens on loopback only")
    return AdminConfig(listen, token)


def load_operator(path: Path | None, environ: Mapping[str, str] = os.environ) -> Operator:
    """Read the operator's file, if there is one."""
    if path is None:
        return Operator()
    try:
        return read_operator(tomllib.loads(path.read_text()), environ, path.parent)
    except (OSError, ValueError, Malformed) as error:
        raise BadConfig(f"{path}: {error}") from None
