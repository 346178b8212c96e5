"""The configuration: what LB_NAME, LB_LISTEN and LB_CONFIG tell, read once."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from threadhill import interface as api
from threadhill.net.lines import Limits
from threadhill.settings import Malformed, mapping, read_settings, sequence, text, whole

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
    known: tuple[int, list[dict[str, Any]]]  # the last event's number, and the events
    journal: tuple[str, int] | None
    limits: Limits
    clients: int  # connections that clients may hold


def address(value: Any, what: str) -> tuple[str, int]:
    """`host:port`; a host in brackets is IPv6."""
    host, colon, port = text(value, what).rpartition(":")
    if not colon or not port.isdigit() or not 0 <= int(port) < 65_536:
        raise Malformed(f"{what} is not host:port: {value!r}")
    return host.strip("[]"), int(port)


def read_config(raw: Any, environ: Mapping[str, str]) -> Config:
    """The configuration from its JSON; the environment's name and address go first."""
    raw = mapping(raw, "the configuration")
    options = mapping(raw.get("settings"), "settings")
    site = mapping(options.get("limits"), "limits")
    sockets = whole(mapping(raw.get("limits"), "limits").get("sockets"), "sockets") or 1_024
    clients = sockets // 3 + 16
    known = mapping(raw.get("known"), "known")
    seed = raw.get("seed") or "0"
    return Config(
        name=environ.get("LB_NAME") or raw.get("name") or "threadhill",
        listen=address(environ.get("LB_LISTEN") or raw.get("listen"), "listen"),
        seed=int(seed, 16) if isinstance(seed, str) else whole(seed, "seed"),
        settings=read_settings(options),
        known=(whole(known.get("pos"), "known.pos"), sequence(known.get("entries"), "known.entries")),
        journal=address(raw["journal"], "journal") if raw.get("journal") else None,
        limits=Limits(
            descriptors=max(16, sockets - clients - LEFT_FREE),
            streams=whole(site.get("max-streams"), "max-streams") or 32,
            idle=whole(site.get("conn-idle"), "conn-idle") or 30_000_000,
            connect_timeout=whole(site.get("connect-timeout"), "connect-timeout") or 400_000,
        ),
        clients=clients,
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
