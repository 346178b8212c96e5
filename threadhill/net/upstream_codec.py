"""The cache servers' protocol as it stands on the wire: lines of words, the last of which may be a body's length.

Nothing here does I/O. What cannot be read is None, or a figure that counts as not told: an answer may come spoilt.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from threadhill.core.ports import AttemptSpec
from threadhill.core.stamps import EARLIEST, LATEST
from threadhill.decision import interface as api

HEAD = 1_024  # bytes of an answer's line at most
BODY = 256 << 10  # of its body; objects have up to 240,000
BORN_DIGITS = 13  # of a Unix millisecond before LATEST
MODES = (
    (api.FillMode.JOIN, "collapse"),
    (api.FillMode.CACHED_ONLY, "only-if-cached"),
    (api.FillMode.PARENT_NO_STORE, "no-store-up"),
    (api.FillMode.REFRESH, "refresh"),
)
ENDS = {
    "ok": api.Outcome.SERVED,
    "current": api.Outcome.SERVED,
    "nothing": api.Outcome.MISS,
    "refused": api.Outcome.REFUSED,
    "error": api.Outcome.ERROR,
    "stale": api.Outcome.UNSENT,
}
# What an answer's `remark` says of the fill behind it; on a site that tells nothing it is absent.
NOTES = {
    "local": api.CacheStatus.HIT,
    "pulled": api.CacheStatus.FILLED,
    "pulled_far": api.CacheStatus.FROM_ORIGIN,
    "rode": api.CacheStatus.JOINED,
    "expired": api.CacheStatus.STALE,
    "turned_away": api.CacheStatus.SOURCE_REFUSED,
    "cut_off": api.CacheStatus.SOURCE_FAILED,
    "not_there": api.CacheStatus.SOURCE_MISS,
    "no_place": api.CacheStatus.NO_FILL_SLOT,
    "far_fault": api.CacheStatus.ORIGIN_FAILED,
}
# In the module's names, and what a figure can be at most; one beyond that, or none at all, would upset its averages.
REPORT = {
    "inflight": ("inflight", 1e6),
    "rif": ("inflight", 1e6),
    "util": ("util", 1e3),
    "busy": ("util", 1e3),
    "x1": ("link", 1e3),
    "x0": ("hits", 1.0),
}
FIGURE = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?([eE]-[0-9]{1,2})?")
ANSWER = re.compile(rb"([!-~]{1,64}) ([a-z]{1,16}) ([!-~]{1,900}) ([0-9]{1,9})")


def read_report(text: str) -> dict[str, float]:
    """`inflight:7;util:0.61` in the module's names; what it does not know or cannot be is skipped."""
    load = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        if name in REPORT and FIGURE.fullmatch(value) and float(value) <= REPORT[name][1]:
            load[REPORT[name][0]] = float(value)
    return load


def read_waited(text: str) -> int:
    """`waited`, milliseconds spent on the source, as microseconds; what is no such figure counts as nothing waited."""
    return round(float(text) * 1_000) if FIGURE.fullmatch(text) else 0


def read_born(text: str) -> int:
    """`born`, Unix milliseconds, as microseconds; 0 for what is no such number, or no time that has been."""
    if not (text.isascii() and text.isdigit() and len(text) <= BORN_DIGITS):
        return 0
    born = int(text) * 1_000
    return born if EARLIEST <= born <= LATEST else 0


@dataclass(frozen=True, slots=True)
class AnswerLine:
    """An answer's line: whose it is, how the attempt ended, and how long the body behind it is."""

    id: str
    word: str
    fields: dict[str, str]
    length: int


def read_answer(line: bytes) -> AnswerLine | None:
    """An answer's line; None where it is none."""
    match = ANSWER.fullmatch(line)
    if match is None:
        return None
    id, word, raw, size = (group.decode("ascii") for group in match.groups())
    pairs = [item.partition("=") for item in raw.split(",")] if raw != "-" else []
    fields = {name: value for name, equals, value in pairs if equals and name}
    if word not in ENDS or len(fields) < len(pairs) or int(size) > (BODY - 2 if word != "current" else 0):
        return None
    return AnswerLine(id, word, fields, int(size))


def write_request(order: AttemptSpec, source: str | None, now: int) -> bytes:
    """The line of an attempt that is written at this local time; `source` is the id of where a miss is filled from.
    What it waited for meanwhile is off the time that the server is told it has."""
    ask = order.request
    fields = [f"profile={ask.class_name}", f"thing={ask.object}", f"nth={ask.part}"]
    if order.timeout:
        left = min(order.timeout, order.deadline - now) if order.deadline else order.timeout
        fields.append(f"max={max(1, -(-left // 1_000))}")
    if ask.idempotency_key is not None:
        fields.append(f"replay={ask.idempotency_key}")
    if source is not None:
        fields.append(f"from={source}")
    if order.keep_rank:
        fields.append(f"rank={order.keep_rank}")
    if order.max_age:
        fields.append(f"oldest={max(1, order.max_age // 1_000)}")
    words = [word for bit, word in MODES if bit & order.mode]
    if words:
        fields.append("mode=" + "+".join(words))
    if ask.client_tag:
        fields.append(f"seen={ask.client_tag}")
    return f"do {ask.request_id} {','.join(fields)} {len(ask.body)}\r\n".encode()


def write_cancel(id: str) -> bytes:
    """The line that gives an attempt up."""
    return b"undo %s\r\n" % id.encode()
