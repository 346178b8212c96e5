"""The messages of the clients' front: RESP arrays of bulk strings, and the fields of a request."""

from __future__ import annotations

import re

from threadhill.core.ports import ClientRequest
from threadhill.decision import interface as api

MAX_LENGTH_LINE = 32  # limit of a length line, in bytes
MAX_WORDS = 5  # limit of words in a message: verb, tag, class, fields, body
MAX_WORD = 1_024  # limit of a word, in bytes; of the last one MAX_BODY
MAX_BODY = 48_000  # bytes
MAX_MESSAGE = MAX_BODY + MAX_WORDS * (MAX_WORD + MAX_LENGTH_LINE)  # bytes
MAX_BUDGET = 3_600_000  # milliseconds; the longest time budget of a request
SHARDS = 256
HEX_ID = re.compile(r"[0-9a-f]{16}")
INTEGER = re.compile(r"[0-9]{1,10}")
DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
# Values passed on in request lines to cache servers, where a space, comma, `=` or line end would corrupt a line on a
# connection shared by other requests.
PLAIN_VALUE = re.compile(r"[!-+\--<>-~]{1,128}")


class Malformed(Exception):
    """Input that violates the protocol."""


def bulk(*words: bytes) -> bytes:
    """A RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def read_fields(raw: bytes) -> dict[str, str]:
    """Parse `name=value,name=value`; empty or `-` stands for no fields."""
    text = raw.decode("utf-8")
    if text in ("", "-"):
        return {}
    pairs = [item.partition("=") for item in text.split(",")]
    fields = {name: value for name, equals, value in pairs if equals and name}
    if len(fields) < len(pairs):
        raise ValueError("a field is not name=value, or is repeated")
    return fields


def _field(fields: dict[str, str], name: str, form: re.Pattern[str], absent: str | None = None) -> str | None:
    """The value of a field, which must match `form`; ValueError if it does not, or is missing without a default."""
    value = fields.get(name)
    if value is None and (absent is not None or name in OPTIONAL):
        return absent
    if value is None or not form.fullmatch(value):
        raise ValueError(f"{name} cannot be used")
    return value


OPTIONAL = ("shard", "token", "mine", "acct")


def read_request(cls: api.RequestClass, raw: bytes, body: bytes) -> ClientRequest:
    """Parse and validate a request's fields; ValueError if one is invalid."""
    fields = read_fields(raw)
    rid, obj = _field(fields, "rid", HEX_ID), _field(fields, "obj", HEX_ID)
    budget, part = int(_field(fields, "budget", INTEGER)), int(_field(fields, "n", INTEGER, "0"))
    shard = _field(fields, "shard", INTEGER)
    if budget > MAX_BUDGET or part >= 1 << 31 or shard is not None and int(shard) >= SHARDS:
        raise ValueError("a number is out of range")
    if fields.get("again", "0") not in ("0", "1"):
        raise ValueError("again cannot be used")
    token = _field(fields, "token", PLAIN_VALUE)
    if cls.retry_safety is api.RetrySafety.KEYED and token is None:
        raise ValueError("a class with idempotency keys requires a token")
    if body and not cls.write:
        raise ValueError("only requests of write classes may have a body")
    return ClientRequest(
        rid,
        cls.name,
        obj,
        budget * 1_000,
        part,
        int(shard) if shard else None,
        float(_field(fields, "mem", DECIMAL, "0")),
        fields.get("again") == "1",
        _field(fields, "acct", PLAIN_VALUE),
        token,
        _field(fields, "mine", PLAIN_VALUE),
        body,
    )


def _length(data: bytes, at: int, prefix: int) -> tuple[int, int] | None:
    """The number on the length line at `at`, and the offset after the line; None while the line is incomplete."""
    end = data.find(b"\r\n", at, at + MAX_LENGTH_LINE)
    if end < 0 and len(data) - at < MAX_LENGTH_LINE and (len(data) == at or data[at] == prefix):
        return None
    digits = data[at + 1 : end]
    if end < 0 or data[at] != prefix or not digits.isdigit():
        raise Malformed(f"Protocol error: expected '{chr(prefix)}' and a length")
    return int(digits), end + 2


def read_message(data: bytes, begin: int = 0) -> tuple[list[bytes] | None, int]:
    """The words of the message at `begin`, and its end; None and the number of bytes needed while it is incomplete."""
    line = _length(data, begin, 42)
    if line is None:
        return None, 1
    count, at = line
    if not 1 <= count <= MAX_WORDS:
        raise Malformed("Protocol error: invalid multibulk length")
    words: list[bytes] = []
    while len(words) < count:
        line = _length(data, at, 36)
        if line is None:
            return None, 1
        size, at = line
        if size > (MAX_BODY if len(words) == MAX_WORDS - 1 else MAX_WORD):
            raise Malformed("Protocol error: invalid bulk length")
        end = at + size
        if len(data) < end + 2:
            return None, end + 2
        if data[end : end + 2] != b"\r\n":
            raise Malformed("Protocol error: a bulk string does not end where it should")
        words.append(data[at:end])
        at = end + 2
    return words, at


def read_head(data: bytes) -> list[bytes]:
    """The words before the last one of an incomplete message whose last word has begun."""
    count, at = _length(data, 0, 42)
    words: list[bytes] = []
    while len(words) < count - 1:
        size, at = _length(data, at, 36)
        words.append(data[at : at + size])
        at += size + 2
    return words
