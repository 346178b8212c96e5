"""A byte ring buffer that grows by doubling, up to a limit."""

from __future__ import annotations

INITIAL_SIZE = 4 << 10  # bytes allocated at first; an empty buffer that has grown is freed


class Full(Exception):
    """The buffer would exceed its limit."""


class Ring:
    """A bounded FIFO of bytes for one direction of a connection. Allocates nothing until the first byte."""

    def __init__(self, max_size: int) -> None:
        self.max_size = max_size
        self._buffer = bytearray()
        self._start = 0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def _reserve(self, size: int) -> None:
        """Grow to hold this many bytes in all; the contents move to the start of the new buffer."""
        if size <= len(self._buffer):
            return
        if size > self.max_size:
            raise Full
        new_size = max(INITIAL_SIZE, len(self._buffer))
        while new_size < size:
            new_size *= 2
        held = self.peek(self._size)
        self._buffer = bytearray(min(new_size, self.max_size))
        self._buffer[: len(held)] = held
        self._start = 0

    def room(self, wanted: int = 1) -> memoryview:
        """The contiguous free space after the last byte, at least one byte; call `filled` after writing to it."""
        self._reserve(min(self.max_size, max(self._size + 1, wanted)))
        if self._size == len(self._buffer):
            raise Full
        end = (self._start + self._size) % len(self._buffer)
        stop = self._start if end < self._start else len(self._buffer)
        return memoryview(self._buffer)[end:stop]

    def filled(self, count: int) -> None:
        """Count bytes written to `room()` as contents."""
        self._size += count

    def write(self, data: bytes | memoryview) -> None:
        """Append all of the data, or raise Full."""
        self._reserve(self._size + len(data))
        copied = 0
        while copied < len(data):
            space = self.room()
            count = min(len(space), len(data) - copied)
            space[:count] = data[copied : copied + count]
            self._size += count
            copied += count

    def peek(self, count: int, skip: int = 0) -> bytes:
        """A copy of up to `count` bytes, starting `skip` bytes in, without removing them."""
        count = min(count, self._size - skip)
        if count <= 0:
            return b""
        begin = (self._start + skip) % len(self._buffer)
        wrapped = begin + count - len(self._buffer)  # bytes that wrap around to the buffer's start
        with memoryview(self._buffer) as view:
            if wrapped <= 0:
                return bytes(view[begin : begin + count])
            return bytes(view[begin:]) + bytes(view[:wrapped])

    def skip(self, count: int) -> None:
        """Discard the first bytes."""
        self._size -= count
        self._start = (self._start + count) % max(1, len(self._buffer)) if self._size else 0
        if not self._size and len(self._buffer) > INITIAL_SIZE:
            self._buffer = bytearray()

    def take(self, count: int) -> bytes:
        """Remove and return up to `count` bytes."""
        data = self.peek(count)
        self.skip(len(data))
        return data
