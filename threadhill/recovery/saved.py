"""What one proxy keeps beyond its own end: the document, its form on the disk, and what of it still holds. Free of I/O.

Three parts with different rights. What was learned is weighed by its age. What drained or went, what was purged and who
is out by hand is never aged: it holds until newer news says else, or, of purges, until all caches have dropped the old
copies. The number of the last event says whether what the proxy is started with is older than what it knew.

A file is a line of JSON that says what it is (version, installation, time, length, checksum), and one with the content.
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
MOST = 1 << 20  # bytes of a file
OLDEST = 3_600_000_000  # microseconds after which a file holds nothing that is learned
AHEAD = 5_000_000  # microseconds that its time may be in the future: clocks of one machine differ by less
NAMES = 4_096


@dataclass(slots=True)
class SavedState:
    """One file's content."""

    at: int  # Unix microseconds
    pos: int
    learned: dict[str, Any]
    out: dict[int, int] = field(default_factory=dict)  # servers that drained or went -> their starts
    purges: list[tuple[str | int, int]] = field(default_factory=list)  # object or group, Unix microseconds
    cordons: list[str] = field(default_factory=list)
    term: int = 0  # the greatest of ownership that was told


def installation(settings: api.Settings, name: str) -> str:
    """What a file of this proxy belongs to: its own name, its place, the classes."""
    parts = (name, settings.zone, *settings.zones, *sorted(settings.classes))
    return f"{zlib.crc32(chr(0).join(parts).encode()):08x}"


def content(
    router: Router,
    departed: DepartedServers,
    pos: int,
    cordons: list[str],
    now: int,
    term: int = 0,
    unix: int | None = None,
) -> dict[str, Any]:
    """What is to be kept now: `now` in local time, `unix` the Unix time of the file; absent: the same."""
    unix = now if unix is None else unix
    purges = [[key, unix - (now - record.purged_at)] for key, record in router.freshness.active_purges(now).items()]
    return {
        "pos": pos,
        "learned": learned.gather(router, now),
        "out": list(departed.starts.items()),
        "purges": purges,
        "cordons": cordons[:NAMES],
        "term": term,
    }


def pack(body: Mapping[str, Any], whose: str, at: int) -> bytes:
    """A file's bytes; raises ValueError where they would be too many."""
    raw = orjson.dumps(body)
    head = {"threadhill_state": VERSION, "installation": whose, "at": at, "size": len(raw), "crc": zlib.crc32(raw)}
    whole = orjson.dumps(head) + b"\n" + raw + b"\n"
    if len(whole) > MOST:
        raise ValueError(f"it would have {len(whole)} bytes, {MOST} at most")
    return whole


def unpack(raw: bytes, whose: str, now: int) -> SavedState:
    """What a file holds. Malformed says in a line what is wrong with it; then nothing of it counts."""
    if len(raw) > MOST:
        raise Malformed(f"it has over {MOST} bytes")
    head, _, body = raw.partition(b"\n")
    try:
        told = mapping(orjson.loads(head), "its first line")
    except ValueError:
        raise Malformed("its first line is not one of this program's") from None
    if told.get("threadhill_state") != VERSION:
        raise Malformed(f"it is of version {str(told.get('threadhill_state'))[:20]}, this program reads {VERSION}")
    if told.get("installation") != whose:
        raise Malformed("it is another proxy's or another installation's")
    body = body.removesuffix(b"\n")
    if len(body) != told.get("size"):
        raise Malformed(f"it is cut off: {len(body)} bytes of {told.get('size')}")
    if zlib.crc32(body) != told.get("crc"):
        raise Malformed("it is damaged: its checksum is another")
    at = required_integer(told.get("at"), "its time")
    if at > now + AHEAD:
        raise Malformed(f"it is {(at - now) / 1e6:.0f} s in the future: the clock was set back, or it is of elsewhere")
    try:
        raw = mapping(orjson.loads(body), "its content")
        cordons = [name for name in sequence(raw.get("cordons"), "cordons") if isinstance(name, str)][:NAMES]
        out = {
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
            out,
            purges,
            cordons,
            integer(raw.get("term"), "term"),
        )
    except (ValueError, TypeError, Malformed) as error:
        raise Malformed(f"its content can't be read: {error}") from None


def restore(saved: SavedState, router: Router, departed: DepartedServers, pos: int, now: int) -> tuple[int, bool]:
    """Let a router that has its first list start from a file. How many servers it was taken for, and whether the file
    knows later news than what the proxy was started with (`pos`): that is an older world until the journal is heard."""
    older = saved.pos > pos
    ready = {n for n, s in router.fleet.servers.items() if s.entry.state is api.State.READY}
    departed.starts.update({n: since for n, since in saved.out.items() if older or n not in ready})
    if older:
        departed.begin_rollback(saved.pos)
    for key, at in saved.purges:
        # How long the file lay only wall clocks tell, which may have been stepped: a purge is as old as it was then.
        age = max(0, saved.at - at)
        router.freshness.add_purge(key, PurgeRecord(now - age, now))
    age = max(0, now - saved.at)
    return (learned.prime(router, saved.learned, age, now) if age <= OLDEST else 0), older
