"""A stable hash, written out so that every process, version and language computes the same values."""

from __future__ import annotations

MASK = (1 << 64) - 1


def mix(value: int) -> int:
    """A 64-bit mix function: the finalizer of splitmix64."""
    value = (value + 0x9E3779B97F4A7C15) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


def hash_name(name: str) -> int:
    """A stable 64-bit hash of a name, mixed byte by byte."""
    number = 0
    for byte in name.encode():
        number = mix(number ^ byte)
    return number
