"""Encodes and decodes the cache servers' protocol: lines of space-separated words, the last may be a body's length.

Nothing here does I/O. Answers may be corrupt: an invalid line is read as None, an invalid figure as not given.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from threadhill.core.ports import AttemptSpec
from threadhill.core.timestamps import MAX_TIMESTAMP, MIN_TIMESTAMP
from threadhill.decision import interface as api

MAX_LINE = 1_024  # limit of an answer's line, in bytes
MAX_BODY = 256 << 10  # limit of its body, in bytes; objects have up to 240,000
BORN_DIGITS = 13  # digits of a Unix time in milliseconds before MAX_TIMESTAMP
MODES = (
    (api.FillMode.JOIN, "collapse"),
    (api.FillMode.CACHED_ONLY, "only-if-cached"),
    (api.FillMode.PARENT_NO_STORE, "no-store-up"),
    (api.FillMode.REFRESH, "refresh"),
)
OUTCOMES = {
    "ok": api.Outcome.SERVED,
    "current": api.Outcome.SERVED,
    "nothing": api.Outcome.MISS,
    "refused": api.Outcome.REFUSED,
    "error": api.Outcome.ERROR,
    "stale": api.Outcome.UNSENT,
}
# The meaning of an answer's `remark` field, about the fill; absent on sites that do not send it.
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
# Load figures with their names in the decision module and their limits: larger or invalid values would distort its
# averages.
REPORT = {
    "inflight": ("inflight", 1e6),
    "rif": ("inflight", 1e6),
    "util": ("util", 1e3),
    "busy": ("util", 1e3),
    "x1": ("link", 1e3),
    "x0": ("hits", 1.0),
}
NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,18})?([eE]-[0-9]{1,2})?")
ANSWER_LINE = re.compile(rb"([!-~]{1,64}) ([a-z]{1,16}) ([!-~]{1,900}) ([0-9]{1,9})")


def read_report(text: str) -> dict[str, float]:
    """Parse `inflight:7;util:0.61`, with the decision module's names; unknown or invalid items are skipped."""
    load = {}
    for item in text.split(";"):
        name, _, value = item.partition(":")
        if name in REPORT and NUMBER.fullmatch(value) and float(value) <= REPORT[name][1]:
            load[REPORT[name][0]] = float(value)
    return load


def read_waited(text: str) -> int:
    """`waited`, the milliseconds spent on the source, in microseconds; 0 if invalid."""
    return round(float(text) * 1_000) if NUMBER.fullmatch(text) else 0


def read_born(text: str) -> int:
    """`born`, in Unix milliseconds, as microseconds; 0 if it is not a number or not a plausible time."""
    if not (text.isascii() and text.isdigit() and len(text) <= BORN_DIGITS):
        return 0
    born = int(text) * 1_000
    return born if MIN_TIMESTAMP <= born <= MAX_TIMESTAMP else 0


@dataclass(frozen=True, slots=True)
class AnswerLine:
    """An answer's line: the request id, how the attempt ended, fields, and the length of the body that follows."""

    id: str
    word: str
    fields: dict[str, str]
    length: int


def read_answer(line: bytes) -> AnswerLine | None:
    """Parse an answer's line; None if it is invalid."""
    match = ANSWER_LINE.fullmatch(line)
    if match is None:
        return None
    id, word, raw, size = (group.decode("ascii") for group in match.groups())
    pairs = [item.partition("=") for item in raw.split(",")] if raw != "-" else []
    fields = {name: value for name, equals, value in pairs if equals and name}
    if word not in OUTCOMES or len(fields) < len(pairs) or int(size) > (MAX_BODY - 2 if word != "current" else 0):
        return None
    return AnswerLine(id, word, fields, int(size))


def write_request(spec: AttemptSpec, source: str | None, now: int) -> bytes:
    """The line of an attempt sent at this local time; `source` is the id of the server that a miss is filled from. The
    time it waited to be sent is deducted from the time limit told to the server."""
    request = spec.request
    fields = [f"profile={request.class_name}", f"thing={request.object}", f"nth={request.part}"]
    if spec.timeout:
        left = min(spec.timeout, spec.deadline - now) if spec.deadline else spec.timeout
        fields.append(f"max={max(1, -(-left // 1_000))}")
    if request.idempotency_key is not None:
        fields.append(f"replay={request.idempotency_key}")
    if source is not None:
        fields.append(f"from={source}")
    if spec.keep_rank:
        fields.append(f"rank={spec.keep_rank}")
    if spec.max_age:
        fields.append(f"oldest={max(1, spec.max_age // 1_000)}")
    words = [word for bit, word in MODES if bit & spec.mode]
    if words:
        fields.append("mode=" + "+".join(words))
    if request.client_tag:
        fields.append(f"seen={request.client_tag}")
    return f"do {request.request_id} {','.join(fields)} {len(request.body)}\r\n".encode()


def write_cancel(id: str) -> bytes:
    """The line that cancels an attempt."""
    return b"undo %s\r\n" % id.encode()
