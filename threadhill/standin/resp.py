"""RESP as clients of the platform's front write and read it."""

from __future__ import annotations


def message(*words: bytes) -> bytes:
    """A RESP array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def read_array(data: bytes) -> tuple[list[bytes], int] | None:
    """The first whole array of bulk strings, and its length; None where it is not whole. ValueError: it is none."""
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
