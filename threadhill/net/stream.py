"""What every connection shares: a ring a direction, bounded writing, one way to end."""

from __future__ import annotations

import asyncio
import traceback

from threadhill.net.ring import Full, Ring

CHUNK = 64 << 10  # bytes that the transport may hold for the kernel; the rest waits in the ring
DISCARD = 64 << 10  # bytes taken from a peer that was thrown out; one with more to say may fill the kernel's buffers


class Stream(asyncio.BufferedProtocol):
    """A connection. Subclasses parse `inbound` in `parse` and are told of the end in `ended`."""

    def __init__(self, most_in: int, most_out: int) -> None:
        self.inbound, self.outbound = Ring(most_in), Ring(most_out)
        self.transport: asyncio.Transport | None = None
        self.wanted = 1  # bytes that the message under way needs in all, so that the ring grows once
        self._paused = False  # the transport takes no more
        self._closing = False
        self._discarded = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=CHUNK)
        self.opened()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.ended()

    def get_buffer(self, hint: int) -> memoryview:
        return self.inbound.room(self.wanted)

    def buffer_updated(self, count: int) -> None:
        self.inbound.filled(count)
        if not self._closing:
            self.turn()
        else:
            self.inbound.skip(len(self.inbound))
            self._discarded += count
            if self._discarded > DISCARD and self.transport is not None:
                self.transport.pause_reading()

    def turn(self) -> None:
        """Parse what there is. A fault in that ends this connection, which settles what is open on it, and no
        other: whatever a peer can send must not do more."""
        try:
            self.parse()
        except Exception:
            self.fault(traceback.format_exc())
            self.abort()

    def write(self, *parts: bytes) -> bool:
        """Send the parts, or keep them in the ring while the peer is slow; False where they do not fit."""
        if self.transport is None or self._closing:
            return False
        if not self._paused and not len(self.outbound):
            self.transport.write(parts[0] if len(parts) == 1 else b"".join(parts))
            return True
        try:
            self.outbound.write(b"".join(parts))
        except Full:
            return False
        return True

    def pause_writing(self) -> None:
        self._paused = True
        self.backlog_changed()

    def resume_writing(self) -> None:
        self._paused = False
        while len(self.outbound) and not self._paused and self.transport is not None:
            self.transport.write(self.outbound.take(CHUNK))
        if self._closing and not len(self.outbound) and self.transport is not None:
            self.transport.close()
        self.backlog_changed()

    @property
    def slow(self) -> bool:
        return self._paused

    def backlog(self) -> int:
        """Bytes that wait for the peer; none for one that is gone."""
        return self.transport.get_write_buffer_size() + len(self.outbound) if self.transport is not None else 0

    def close(self) -> None:
        """Close once all that was written is sent."""
        self._closing = True
        if self.transport is not None and not len(self.outbound):
            self.transport.close()

    def abort(self) -> None:
        self._closing = True
        if self.transport is not None:
            self.transport.abort()

    # --- for the subclasses

    def fault(self, trace: str) -> None:
        """An exception came out of `parse`."""

    def opened(self) -> None:
        """The connection is up."""

    def ended(self) -> None:
        """The connection is gone."""

    def parse(self) -> None:
        """Take whole messages off `inbound`."""
        raise NotImplementedError

    def backlog_changed(self) -> None:
        """The transport began or ceased to be full."""
