"""Encoding and decoding of RESP as clients of the platform's front use it."""

from __future__ import annotations


def message(*words: bytes) -> bytes:
    """Encode a RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def read_array(data: bytes) -> tuple[list[bytes], int] | None:
    """Decode the first array of bulk strings and return it with its length in bytes; None if it is incomplete.

    Raises ValueError if the data are not such an array.
    """
    end = data.find(b"\r\n")
    if end < 0:
        return None
    words, at = [], end + 2
    for _ in range(int(data[1:end])):
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(data[at + 1 : end])
        if len(data) < end + size + 4:
            return None
        words.append(data[end + 2 : end + 2 + size])
        at = end + size + 4
    return words, at
