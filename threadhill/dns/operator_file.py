"""Reads the DNS part of the operator's file. Imported only if the file has one."""

from __future__ import annotations

import base64
import ipaddress
from pathlib import Path
from typing import Any

from threadhill.dns.front import DnsConfig, TlsConfig
from threadhill.dns.transfer import TransferConfig
from threadhill.dns.views import View, Views
from threadhill.files import check_private
from threadhill.hostnames import labels_of
from threadhill.settings import Malformed, address, integer, mapping, number, optional_table, sequence, text

SIGNATURE_LIFE = 3_600  # seconds


def read_dns(raw: dict[str, Any], base: Path) -> DnsConfig:
    names = tuple(text(name, "dns.nameservers") for name in sequence(raw.get("nameservers"), "dns.nameservers"))
    for name in names:
        labels_of(name)
    deadline = integer(raw.get("deadline_ms"), "dns.deadline_ms") or 1_000
    connections = integer(raw.get("connections"), "dns.connections") or 64
    nsid = text(raw.get("nsid", ""), "dns.nsid").encode()
    if len(nsid) > 128:
        raise Malformed("dns.nsid: must have at most 128 bytes")
    if not 0 < deadline <= 60_000 or not 0 < connections <= 1_024:
        raise Malformed("dns: deadline_ms or connections is out of range")
    fallback = text(raw.get("fallback", ""), "dns.fallback")
    if fallback:
        labels_of(fallback)
    limits = {
        key: number(raw.get(key, default), f"dns.{key}")
        for key, default in (
            ("responses_per_s", 100.0),
            ("slip", 2),
            ("resolver_qps", 500.0),
            ("unproven_qps", 1_000.0),
        )
    }
    if any(value < 0 for value in limits.values()):
        raise Malformed("dns: responses_per_s, slip, resolver_qps and unproven_qps must be 0 (no limit) or more")
    trusted = tuple(text(network, "dns.trusted") for network in sequence(raw.get("trusted"), "dns.trusted"))
    for network in trusted:
        try:
            ipaddress.ip_network(network, strict=False)
        except ValueError:
            raise Malformed(f"dns.trusted: not a network: {network[:60]!r}") from None
    views = tuple(_read_view(view, i) for i, view in enumerate(sequence(raw.get("views"), "dns.views")))
    try:
        Views(list(views), "")
    except ValueError as error:
        raise Malformed(f"dns.views: {error}") from None
    return DnsConfig(
        address(raw.get("listen"), "dns.listen"),
        deadline * 1_000,
        names,
        connections,
        nsid,
        fallback,
        limits["responses_per_s"],
        int(limits["slip"]),
        limits["resolver_qps"],
        limits["unproven_qps"],
        trusted,
        views,
        _read_tls(raw, base),
        _read_transfer(raw, base),
        *_read_signing(raw, base),
        integer(raw.get("per_network", 32), "dns.per_network"),
    )


def _read_transfer(raw: dict[str, Any], base: Path) -> TransferConfig:
    table = optional_table(raw, "transfer", {"to", "keys"})
    if table is None:
        return TransferConfig()
    networks = []
    for network in sequence(table.get("to"), "dns.transfer.to"):
        try:
            networks.append(ipaddress.ip_network(text(network, "dns.transfer.to"), strict=False))
        except ValueError:
            raise Malformed(f"dns.transfer.to: not a network: {network[:60]!r}") from None
    keys = {}
    for i, item in enumerate(sequence(table.get("keys"), "dns.transfer.keys")):
        at = f"dns.transfer.keys[{i}]"
        key = mapping(item, at)
        for unknown in sorted(set(key) - {"name", "secret_file"}):
            raise Malformed(f"{at}.{unknown}: no such key")
        path = base / text(key.get("secret_file"), f"{at}.secret_file")
        check_private(path)
        try:
            secret = base64.b64decode(path.read_text().strip(), validate=True)
        except ValueError:
            secret = b""
        if len(secret) < 16:
            raise Malformed(f"{at}: {path}: must hold at least 16 bytes in base64, as `openssl rand -base64 32` makes")
        keys[labels_of(text(key.get("name"), f"{at}.name"))] = secret
    if not networks or not keys:
        raise Malformed("dns.transfer: needs at least one network in `to` and one of `keys`")
    return TransferConfig(tuple(networks), keys)


def _read_signing(raw: dict[str, Any], base: Path) -> tuple[Path | None, int]:
    table = optional_table(raw, "signing", {"keys", "life_s"})
    if table is None:
        return None, SIGNATURE_LIFE
    life = integer(table.get("life_s"), "dns.signing.life_s") or SIGNATURE_LIFE
    if not 300 <= life <= 14 * 86_400:
        raise Malformed("dns.signing.life_s: must be from 300 to 1209600 seconds")
    return base / text(table.get("keys"), "dns.signing.keys"), life


def _read_tls(raw: dict[str, Any], base: Path) -> TlsConfig | None:
    table = optional_table(raw, "tls", {"listen", "certificate", "key"})
    if table is None:
        return None
    paths = {key: text(table.get(key), f"dns.tls.{key}") for key in ("certificate", "key")}
    for key, path in paths.items():
        if not path:
            raise Malformed(f"dns.tls.{key}: must name a PEM file, relative to this file's folder")
    return TlsConfig(address(table.get("listen"), "dns.tls.listen"), base / paths["certificate"], base / paths["key"])


def _read_view(raw: Any, i: int) -> View:
    at = f"dns.views[{i}]"
    table = mapping(raw, at)
    for unknown in sorted(set(table) - {"node", "networks", "then"}):
        raise Malformed(f"{at}.{unknown}: no such key")
    node = text(table.get("node"), f"{at}.node")
    networks = tuple(text(n, f"{at}.networks") for n in sequence(table.get("networks"), f"{at}.networks"))
    fallbacks = tuple(text(n, f"{at}.then") for n in sequence(table.get("then"), f"{at}.then"))
    if not node or not networks:
        raise Malformed(f"{at}: a view needs a node and at least one network")
    for network in networks:
        try:
            ipaddress.ip_network(network, strict=False)
        except ValueError:
            raise Malformed(f"{at}.networks: not a network: {network[:60]!r}") from None
    return View(node, networks, fallbacks)
