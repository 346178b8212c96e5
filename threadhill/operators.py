"""Reads the operator's file, which enables what a proxy does besides the platform's front. Imported only if given."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from threadhill.config import BadConfig
from threadhill.core.tenants import Tenant
from threadhill.documents import Invalid, read_tenants
from threadhill.settings import Malformed, address, integer, optional_table, text

if TYPE_CHECKING:
    from threadhill.dns.front import DnsConfig
    from threadhill.overload.control import OverloadConfig
    from threadhill.recovery.proxy import RecoveryConfig


@dataclass(frozen=True, slots=True)
class AdminConfig:
    """The `admin` table of the operator's file: the administration API."""

    listen: tuple[str, int]
    token: str = ""  # one token for all callers; used without `keys_file`
    keys_file: Path | None = None  # keys of individual callers
    audit_file: Path | None = None  # audit log of their changes


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """What the operator's file enables. Without the file, nothing is enabled."""

    dns: DnsConfig | None = None
    admin: AdminConfig | None = None
    tenants: tuple[Tenant, ...] = ()
    overload: OverloadConfig | None = None
    knowledge: bool = False  # exchange knowledge of objects and caches with other proxies over the feed
    recovery: RecoveryConfig | None = None


def read_operator(raw: dict[str, Any], environ: Mapping[str, str], base: Path) -> OperatorConfig:
    """The operator's file from parsed TOML. An unknown key is an error, as it would silently have no effect."""
    for unknown in sorted(set(raw) - {"dns", "admin", "tenants", "overload", "knowledge", "recovery"}):
        raise Malformed(f"{unknown}: no such key")
    dns = optional_table(
        raw,
        "dns",
        {
            "listen",
            "deadline_ms",
            "nameservers",
            "connections",
            "nsid",
            "fallback",
            "responses_per_s",
            "slip",
            "resolver_qps",
            "unproven_qps",
            "trusted",
            "views",
            "tls",
            "per_network",
            "signing",
            "transfer",
        },
    )
    admin = optional_table(raw, "admin", {"listen", "token_file", "token_env", "keys_file", "audit_file"})
    try:
        tenants = tuple(read_tenants(raw.get("tenants", [])))
    except Invalid as error:
        raise Malformed(str(error)) from None
    overload = optional_table(raw, "overload", {"retry_budgets", "admission", "comebacks", "horizon_ms", "leave_ms"})
    return OperatorConfig(
        _read_dns(dns, base) if dns is not None else None,
        _read_admin(admin, environ, base) if admin is not None else None,
        tenants,
        _read_overload(overload) if overload is not None else None,
        _read_knowledge(raw),
        _read_recovery(raw, base),
    )


def _read_knowledge(raw: dict[str, Any]) -> bool:
    table = optional_table(raw, "knowledge", {"share"})
    enabled = table.get("share", True) if table is not None else False
    if not isinstance(enabled, bool):
        raise Malformed("knowledge.share: must be true or false")
    return enabled


def _read_recovery(raw: dict[str, Any], base: Path) -> RecoveryConfig | None:
    table = optional_table(raw, "recovery", {"trust_ms", "blind", "state_folder", "every_ms", "learn"})
    if table is None:
        return None
    from threadhill.recovery.phases import StaleListPolicy
    from threadhill.recovery.proxy import RecoveryConfig

    blind, learn = table.get("blind", StaleListPolicy.REFUSE.value), table.get("learn", True)
    if blind not in {kind.value for kind in StaleListPolicy}:
        raise Malformed(f"recovery.blind: must be refuse or serve, not {str(blind)[:20]!r}")
    if not isinstance(learn, bool):
        raise Malformed("recovery.learn: must be true or false")
    times = {}
    for key, default, lower, upper in (("trust_ms", 7_000, 1_500, 600_000), ("every_ms", 5_000, 200, 600_000)):
        times[key] = integer(table[key], f"recovery.{key}") if key in table else default
        if not lower <= times[key] <= upper:
            raise Malformed(f"recovery.{key}: must be from {lower} to {upper}")
    folder = text(table["state_folder"], "recovery.state_folder") if "state_folder" in table else ""
    return RecoveryConfig(
        times["trust_ms"] * 1_000,
        StaleListPolicy(blind),
        base / folder if folder else None,
        times["every_ms"] * 1_000,
        learn,
    )


def _read_dns(raw: dict[str, Any], base: Path) -> DnsConfig:
    from threadhill.dns.operator_file import read_dns

    return read_dns(raw, base)


def _read_overload(raw: dict[str, Any]) -> OverloadConfig:
    from threadhill.overload.control import OverloadConfig

    flags = {}
    for key in ("retry_budgets", "admission", "comebacks"):
        flags[key] = raw.get(key, True)
        if not isinstance(flags[key], bool):
            raise Malformed(f"overload.{key}: must be true or false")
    times = {key: integer(raw.get(key), f"overload.{key}") for key in ("horizon_ms", "leave_ms")}
    if not 0 <= times["horizon_ms"] <= 60_000 or not 0 <= times["leave_ms"] <= 2_500:
        raise Malformed(
            "overload: horizon_ms must be from 0 (as far as the site allows) to 60000, leave_ms from 0 to 2500"
        )
    return OverloadConfig(**flags, horizon=times["horizon_ms"] * 1_000, disconnect_spread=times["leave_ms"] * 1_000)


def _read_admin(raw: dict[str, Any], environ: Mapping[str, str], base: Path) -> AdminConfig:
    if sum(key in raw for key in ("token_file", "token_env", "keys_file")) != 1:
        raise Malformed("admin: exactly one of token_file, token_env and keys_file must be given")
    keys = base / text(raw["keys_file"], "admin.keys_file") if "keys_file" in raw else None
    audit = base / text(raw["audit_file"], "admin.audit_file") if "audit_file" in raw else None
    if keys is not None:
        token = ""
    elif "token_file" in raw:
        token = (base / text(raw["token_file"], "admin.token_file")).read_text().strip()
    else:
        token = environ.get(text(raw["token_env"], "admin.token_env"), "")
    if keys is None and len(token) < 16:
        raise Malformed("admin: the token must have at least 16 characters")
    listen = address(raw.get("listen"), "admin.listen")
    if not listen[0].startswith("127.") and listen[0] != "::1":
        raise Malformed("admin.listen: the API speaks plain HTTP and listens on loopback only")
    return AdminConfig(listen, token, keys, audit)


def load_operator(path: Path, environ: Mapping[str, str] = os.environ) -> OperatorConfig:
    """Read the operator's file; BadConfig if it cannot be used."""
    try:
        return read_operator(tomllib.loads(path.read_text()), environ, path.parent)
    except (OSError, ValueError, Malformed) as error:
        raise BadConfig(f"{path}: {error}") from None
