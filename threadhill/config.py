"""Reads the platform's configuration from LB_CONFIG, LB_NAME, LB_LISTEN and the other LB_ variables."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from threadhill.decision import interface as api
from threadhill.net.journal_events import Event, read_event
from threadhill.net.upstream import CONNECTION_BYTES, MIN_SERVER_CONNECTIONS, Limits
from threadhill.settings import Malformed, address, integer, mapping, number, read_settings, sequence, text

PROGRAM_MB = 26  # memory that the program itself uses
MIN_SPARE_MB = 6  # memory assumed to be available besides, whatever the limit is
OUTBOUND_SHARE = 0.3  # share of the spare memory for answers that wait for clients
INBOUND_SHARE = 0.4  # share of the spare memory for answers arriving from cache servers
BODY_SHARE = 0.2  # share of the spare memory for the bodies of clients' requests
RESERVED_DESCRIPTORS = 48  # descriptors for the journal, listeners, connections being opened and the like


class BadConfig(Exception):
    """The configuration cannot be used; the text gives the reason."""


class UnreadableConfig(BadConfig):
    """The file cannot be read at the moment, possibly temporarily; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy."""

    name: str
    listen: tuple[str, int]
    seed: int
    settings: api.Settings
    known_events: tuple[int, list[Event]]  # number of the last event, and the events
    journal: tuple[str, int] | None
    limits: Limits
    max_clients: int  # client connections
    max_outbound_bytes: int  # unsent answers of all client connections together
    max_body_bytes: int  # bodies of requests being received or open, of all client connections together
    max_descriptors: int = 1_024  # file descriptors that the process may hold
    max_event_bytes: int = 1 << 20  # size of one journal event
    report: str | None = None  # id of this configuration, reported to the journal service if given
    management: tuple[str, int] | None = None  # the operators' address, if the platform gives one
    journals: tuple[tuple[str, int], ...] = ()  # journal services with the same events, instead of `journal`
    listen_fd: int | None = None  # the clients' listening socket, if the platform holds it for upgrades


def read_config(raw: Any, environ: Mapping[str, str]) -> Config:
    """The configuration from parsed JSON. Name and addresses in the environment take precedence."""
    raw = mapping(raw, "the configuration")
    options = mapping(raw.get("settings"), "settings")
    site = mapping(options.get("limits"), "limits")
    machine = mapping(raw.get("limits"), "limits")
    sockets = integer(machine.get("sockets"), "sockets") or 1_024
    spare = max(MIN_SPARE_MB, (integer(machine.get("memory_mb"), "memory_mb") or 192) - PROGRAM_MB) << 20
    clients = sockets // 2  # usually a third or less is used, and caches need few: the rest is for bursts
    known = mapping(raw.get("known"), "known")
    seed = raw.get("seed") or "0"
    management = environ.get("LB_MANAGEMENT") or raw.get("management")
    return Config(
        name=environ.get("LB_NAME") or raw.get("name") or "threadhill",
        listen=address(environ.get("LB_LISTEN") or raw.get("listen"), "listen"),
        seed=int(seed, 16) if isinstance(seed, str) else integer(seed, "seed"),
        settings=read_settings(options),
        known_events=(
            integer(known.get("pos"), "known.pos"),
            [read_event(event) for event in sequence(known.get("entries"), "known.entries")],
        ),
        journal=address(raw["journal"], "journal") if raw.get("journal") else None,
        limits=Limits(
            descriptors=max(MIN_SERVER_CONNECTIONS, sockets - clients - RESERVED_DESCRIPTORS),
            buffered=max(MIN_SERVER_CONNECTIONS, int(spare * INBOUND_SHARE) // CONNECTION_BYTES),
            streams=integer(site.get("max-streams"), "max-streams") or 32,
            idle=integer(site.get("conn-idle"), "conn-idle") or 30_000_000,
            connect_timeout=integer(site.get("connect-timeout"), "connect-timeout") or 400_000,
            handshake=max(0.0, number(mapping(options.get("costs"), "costs").get("handshake"), "costs.handshake")),
        ),
        max_clients=clients,
        max_outbound_bytes=int(spare * OUTBOUND_SHARE),
        max_body_bytes=int(spare * BODY_SHARE),
        max_descriptors=sockets,
        max_event_bytes=min(16 << 20, max(1 << 20, spare // 16)),
        report=text(raw["report"], "report") if raw.get("report") else None,
        management=address(management, "management") if management else None,
        journals=tuple(address(one, "journals") for one in sequence(raw.get("journals"), "journals")),
        listen_fd=read_descriptor(environ.get("LB_LISTEN_FD")),
    )


def read_descriptor(value: str | None) -> int | None:
    """The value of `LB_LISTEN_FD`: the number of an open descriptor, 3 or more."""
    if value is None or value == "":
        return None
    if not (value.isascii() and value.isdigit()) or len(value) > 7 or int(value) < 3:
        raise Malformed(
            f"LB_LISTEN_FD is not a descriptor number of 3 or more: {value[:20]!r}; unset it to listen on "
            "LB_LISTEN instead"
        )
    return int(value)


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration file named by LB_CONFIG."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise BadConfig("LB_CONFIG is not set: it names the configuration file")
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise UnreadableConfig(f"{path}: {error}") from error
    try:
        return read_config(orjson.loads(raw), environ)
    except (ValueError, Malformed) as error:
        raise BadConfig(f"{path}: {error}") from None
