"""The commands for zones' signing keys: `threadhill dns key ...`. A running proxy loads each change by itself."""

from __future__ import annotations

import base64
from contextlib import AbstractContextManager
from pathlib import Path
from typing import Any

from threadhill.core.clock import unix_seconds
from threadhill.dns import keys
from threadhill.dns.keys import ALGORITHM, FLAGS, KEY_TTL, MIN_STATE_SECONDS, PROTOCOL, SHA256, Key, RollRefused, State
from threadhill.files import command_lock
from threadhill.hostnames import labels_of
from threadhill.settings import Malformed


def _zone(zone: str) -> str:
    try:
        return ".".join(labels_of(zone))
    except (ValueError, UnicodeError):
        raise RollRefused(f"{zone!r} is no domain name") from None


def _keys(folder: Path, zone: str) -> list[Key]:
    found = keys.read_folder(folder).get(zone, [])
    if not found:
        raise RollRefused(f"{folder}: no key of {zone}; make one with `threadhill dns key generate {zone}`")
    return found


def _changing(folder: Path) -> AbstractContextManager[None]:
    """Lock the folder against other runs that read and change its keys."""
    if not folder.is_dir():  # with the error of a folder that cannot be read
        keys.read_folder(folder)
    return command_lock(folder / "keys")


def ds_line(key: Key) -> str:
    """The DS record in zone file format, for the parent zone."""
    return f"{key.zone}. IN DS {key.tag} {ALGORITHM} {SHA256} {key.ds[4:].hex().upper()}"


def dnskey_line(key: Key) -> str:
    return f"{key.zone}. {KEY_TTL} IN DNSKEY {FLAGS} {PROTOCOL} {ALGORITHM} " + base64.b64encode(key.rdata[4:]).decode()


def row(key: Key, now: int) -> dict[str, Any]:
    return {
        "zone": key.zone,
        "tag": key.tag,
        "state": key.state.value,
        "created": key.created,
        "since_s": now - key.state_since,
        "ds": ds_line(key),
        "dnskey": dnskey_line(key),
    }


def generate(folder: Path, zone: str) -> Key:
    """Generate the first key of a zone. It is active at once."""
    zone = _zone(zone)
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    with _changing(folder):
        if keys.read_folder(folder).get(zone):
            raise RollRefused(f"{zone} has a key already; `threadhill dns key roll {zone}` makes the next one")
        key = keys.generate(zone, State.ACTIVE, unix_seconds())
        keys.write(folder, key)
    return key


def list_keys(folder: Path, zone: str = "") -> list[dict[str, Any]]:
    now = unix_seconds()
    zones = keys.read_folder(folder)
    chosen = {_zone(zone): _keys(folder, _zone(zone))} if zone else zones
    return [row(key, now) for _, zone_keys in sorted(chosen.items()) for key in zone_keys]


def roll(folder: Path, zone: str) -> Key:
    zone = _zone(zone)
    with _changing(folder):
        (key,) = keys.roll(zone, _keys(folder, zone), unix_seconds())
        keys.write(folder, key)
    return key


def activate(folder: Path, zone: str, tag: int, force: bool) -> None:
    zone = _zone(zone)
    with _changing(folder):
        changed = keys.activate(_keys(folder, zone), tag, unix_seconds(), force)
        for key in changed:  # the new one first: if both are active, readers use the newer one
            keys.write(folder, key)


def remove(folder: Path, zone: str, tag: int, force: bool) -> None:
    zone = _zone(zone)
    with _changing(folder):
        key = keys.check_removable(_keys(folder, zone), tag, unix_seconds(), force)
        (folder / key.file_name).unlink()


def check(folder: Path) -> list[str]:
    """Errors in the keys of a folder, and pending steps of key rollovers."""
    try:
        zones = keys.read_folder(folder)
    except (Malformed, OSError) as error:
        return [str(error)]
    now, messages = unix_seconds(), []
    for zone, zone_keys in sorted(zones.items()):
        for key in zone_keys:
            remaining = key.state_since + MIN_STATE_SECONDS - now
            if key.state is State.PUBLISHED:
                when = f"in {remaining} s" if remaining > 0 else "now"
                messages.append(
                    f"{zone}: key {key.tag} is published and may be activated {when}, once the parent has its DS"
                )
            elif key.state is State.RETIRED:
                when = f"in {remaining} s" if remaining > 0 else "now"
                messages.append(
                    f"{zone}: key {key.tag} is retired and may be removed {when}, once the parent's old DS record is "
                    "removed and has expired from caches"
                )
            if key.created > now + 300:
                messages.append(f"{zone}: key {key.tag} has a creation time in the future: check this machine's clock")
    return messages
