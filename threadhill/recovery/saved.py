"""The state that one proxy saves for its next process: the document, its file format, and how it is restored. Free of
I/O.

It has three parts. What was learned is weighted by its age. Drained or removed servers, purges and cordons never expire
by age: they hold until newer events say otherwise or, for purges, until all caches have dropped the old copies. The
number of the last event tells whether the configuration that the proxy starts with is older than what it knew.

A file is a line of JSON with the header (version, installation, time, length, checksum) and one with the content.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from threadhill.decision import interface as api
from threadhill.decision.choice import Router
from threadhill.decision.freshness import PurgeRecord
from threadhill.recovery import learned
from threadhill.recovery.numbers import DepartedServers
from threadhill.settings import Malformed, integer, mapping, required_integer, sequence

VERSION = 1
MAX_BYTES = 1 << 20  # of a file
MAX_AGE = 3_600_000_000  # microseconds after which what was learned is ignored
MAX_CLOCK_SKEW = 5_000_000  # microseconds that the file may be in the future: clocks of one machine differ by less
MAX_CORDONS = 4_096


@dataclass(slots=True)
class SavedState:
    """The content of a file."""

    saved_at: int  # Unix microseconds
    pos: int
    learned: dict[str, Any]
    departed: dict[int, int] = field(default_factory=dict)  # servers that drained or were removed -> their starts
    purges: list[tuple[str | int, int]] = field(default_factory=list)  # object or group, Unix microseconds
    cordons: list[str] = field(default_factory=list)
    term: int = 0  # the highest ownership term seen


def installation_of(settings: api.Settings, name: str) -> str:
    """Identifies the proxy that a file belongs to, by its name, zones and classes."""
    parts = (name, settings.zone, *settings.zones, *sorted(settings.classes))
    return f"{zlib.crc32(chr(0).join(parts).encode()):08x}"


def content(
    router: Router,
    departed: DepartedServers,
    pos: int,
    cordons: list[str],
    now: int,
    term: int = 0,
    unix_now: int | None = None,
) -> dict[str, Any]:
    """The content to save. `now` is local time, `unix_now` the Unix time of the file; the same if absent."""
    unix_now = now if unix_now is None else unix_now
    purges = [[key, unix_now - (now - record.purged_at)] for key, record in router.freshness.active_purges(now).items()]
    return {
        "pos": pos,
        "learned": learned.gather(router, now),
        "out": list(departed.starts.items()),
        "purges": purges,
        "cordons": cordons[:MAX_CORDONS],
        "term": term,
    }


def pack(body: Mapping[str, Any], installation: str, at: int) -> bytes:
    """The bytes of a file; raises ValueError if they are too many."""
    raw = orjson.dumps(body)
    header = {
        "threadhill_state": VERSION,
        "installation": installation,
        "at": at,
        "size": len(raw),
        "crc": zlib.crc32(raw),
    }
    packed = orjson.dumps(header) + b"\n" + raw + b"\n"
    if len(packed) > MAX_BYTES:
        raise ValueError(f"it would have {len(packed)} bytes, {MAX_BYTES} at most")
    return packed


def unpack(raw: bytes, installation: str, now: int) -> SavedState:
    """The content of a file. Raises Malformed with a one-line reason; then none of it is used."""
    if len(raw) > MAX_BYTES:
        raise Malformed(f"it has over {MAX_BYTES} bytes")
    first_line, _, body = raw.partition(b"\n")
    try:
        header = mapping(orjson.loads(first_line), "its first line")
    except ValueError:
        raise Malformed("its first line is not a header of this program") from None
    if header.get("threadhill_state") != VERSION:
        raise Malformed(f"it is of version {str(header.get('threadhill_state'))[:20]}, this program reads {VERSION}")
    if header.get("installation") != installation:
        raise Malformed("it belongs to another proxy or another installation")
    body = body.removesuffix(b"\n")
    if len(body) != header.get("size"):
        raise Malformed(f"it is cut off: {len(body)} bytes of {header.get('size')}")
    if zlib.crc32(body) != header.get("crc"):
        raise Malformed("it is damaged: its checksum does not match")
    at = required_integer(header.get("at"), "its time")
    if at > now + MAX_CLOCK_SKEW:
        raise Malformed(
            f"it is {(at - now) / 1e6:.0f} s in the future: the clock was set back, or it is another machine's"
        )
    try:
        raw = mapping(orjson.loads(body), "its content")
        cordons = [name for name in sequence(raw.get("cordons"), "cordons") if isinstance(name, str)][:MAX_CORDONS]
        departed = {
            required_integer(n, "a server"): required_integer(s, "its start")
            for n, s in sequence(raw.get("out"), "out")
        }
        purges = [
            (key, required_integer(when, "a purge's time"))
            for key, when in sequence(raw.get("purges"), "purges")
            if isinstance(key, str | int)
        ]
        return SavedState(
            at,
            required_integer(raw.get("pos"), "pos"),
            learned.check(raw.get("learned")),
            departed,
            purges,
            cordons,
            integer(raw.get("term"), "term"),
        )
    except (ValueError, TypeError, Malformed) as error:
        raise Malformed(f"its content can't be read: {error}") from None


def restore(saved: SavedState, router: Router, departed: DepartedServers, pos: int, now: int) -> tuple[int, bool]:
    """Restores a router that has its first list from a file. Returns the number of servers it was used for, and whether
    the file has later events than the configuration (`pos`): then the list is outdated until the journal confirms
    it."""
    newer = saved.pos > pos
    ready = {n for n, s in router.fleet.servers.items() if s.entry.state is api.State.READY}
    departed.starts.update({n: since for n, since in saved.departed.items() if newer or n not in ready})
    if newer:
        departed.begin_rollback(saved.pos)
    for key, at in saved.purges:
        # Only the wall clock tells the age of the file, and it may have been stepped: a purge counts as old as it was
        # when the file was saved.
        age = max(0, saved.saved_at - at)
        router.freshness.add_purge(key, PurgeRecord(now - age, now))
    age = max(0, now - saved.saved_at)
    return (learned.prime(router, saved.learned, age, now) if age <= MAX_AGE else 0), newer
