"""A ring buffer: bytes in at one end, out at the other, grown by doubling up to a bound."""

from __future__ import annotations

FIRST = 4 << 10
KEEP = 16 << 10  # an empty ring larger than this gives its memory back


class Full(Exception):
    """More bytes than the ring may hold."""


class Ring:
    """One direction of one connection. It owns no memory until the first byte."""

    def __init__(self, most: int) -> None:
        self.most = most
        self._buffer = bytearray()
        self._start = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def _reserve(self, size: int) -> None:
        """Make room for this many bytes in all; what is held moves to the front of the new buffer."""
        if size <= len(self._buffer):
            return
        if size > self.most:
            raise Full
        grown = max(FIRST, len(self._buffer))
        while grown < size:
            grown *= 2
        held = self.peek(self._size)
        self._buffer = bytearray(min(grown, self.most))
        self._buffer[: len(held)] = held
        self._start = 0

    def room(self, wanted: int = 1) -> memoryview:
        """The free stretch after the last byte, at least one byte long; what is written there is `filled`."""
        self._reserve(min(self.most, max(self._size + 1, wanted)))
        if self._size == len(self._buffer):
            raise Full
        end = (self._start + self._size) % len(self._buffer)
        stop = self._start if end < self._start else len(self._buffer)
        return memoryview(self._buffer)[end:stop]

    def filled(self, count: int) -> None:
        self._size += count

    def write(self, data: bytes | memoryview) -> None:
        """Copy the data in, whole."""
        self._reserve(self._size + len(data))
        done = 0
        while done < len(data):
            space = self.room()
            count = min(len(space), len(data) - done)
            space[:count] = data[done : done + count]
            self._size += count
            done += count

    def peek(self, count: int, skip: int = 0) -> bytes:
        """A copy of the first bytes, after those skipped; fewer where fewer are held."""
        count = min(count, self._size - skip)
        if count <= 0:
            return b""
        begin = (self._start + skip) % len(self._buffer)
        over = begin + count - len(self._buffer)  # bytes that stand at the buffer's beginning
        with memoryview(self._buffer) as view:
            if over <= 0:
                return bytes(view[begin : begin + count])
            return bytes(view[begin:]) + bytes(view[:over])

    def skip(self, count: int) -> None:
        """Let go of the first bytes."""
        self._size -= count
        self._start = (self._start + count) % max(1, len(self._buffer)) if self._size else 0
        if not self._size and len(self._buffer) > KEEP:
            self._buffer = bytearray()

    def take(self, count: int) -> bytes:
        data = self.peek(count)
        self.skip(len(data))
        return data
