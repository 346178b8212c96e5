"""The base class of all TCP connections: a ring buffer per direction, bounded writes, orderly close and abort."""

from __future__ import annotations

import asyncio
import select
import traceback

from threadhill.net.ring import Full, Ring
from threadhill.net.runtime import Runtime

WRITE_CHUNK = 64 << 10  # bytes handed to the transport at a time; the rest waits in the ring buffer
MAX_DISCARD = (
    64 << 10
)  # bytes read and discarded during a close; after that reading stops, and the kernel's buffers fill up
LINGER = 1_000_000  # microseconds a peer has to end its side of a connection that is being closed


class Stream(asyncio.BufferedProtocol):
    """A connection. Subclasses consume `inbound` in `parse` and clean up in `ended`.

    Once this side has begun to close, further input is read and discarded.
    """

    lingers = False  # whether to shut down writing and wait for the peer's end, as it may still be reading
    write_high_water = WRITE_CHUNK  # bytes in the transport's buffer above which writing is paused

    def __init__(self, runtime: Runtime, max_inbound: int, max_outbound: int) -> None:
        self.runtime = runtime
        self.inbound, self.outbound = Ring(max_inbound), Ring(max_outbound)
        self.transport: asyncio.Transport | None = None
        self.bytes_needed = 1  # total size of the message being received, so that the ring buffer grows only once
        self.closing_since = 0  # when this side began to close it; 0: not closing
        self._paused = False  # the transport's buffer is above its high-water mark
        self._peer_eof = False  # the peer has ended its side
        self._bytes_discarded = 0
        self.bytes_written = 0  # total bytes accepted for sending
        self._close_backlog = 0  # bytes still unsent when the close timeout was last set
        self._close_deadline: tuple[int, int] | None = None  # the close timeout

    @property
    def _closing(self) -> bool:
        return self.closing_since > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=self.write_high_water)
        self.opened()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.runtime.deadlines.cancel(self._close_deadline)
        self.ended()

    def get_buffer(self, hint: int) -> memoryview:
        return self.inbound.room(self.bytes_needed)

    def buffer_updated(self, count: int) -> None:
        self.inbound.filled(count)
        if not self._closing:
            self.process_input()
        else:
            self.inbound.skip(len(self.inbound))
            self._bytes_discarded += count
            if self._bytes_discarded > MAX_DISCARD and self.transport is not None:
                self.transport.pause_reading()

    def eof_received(self) -> bool:
        """The peer has ended its side; returns whether the connection stays open to send pending output."""
        self._peer_eof = True
        if not self._closing:
            self.peer_closed()
        return self.transport is not None and self.transport.can_write_eof() and len(self.outbound) > 0

    def process_input(self) -> None:
        """Parse the available input. An exception aborts this connection only, which fails its open requests: no input
        from one peer may affect another."""
        try:
            self.parse()
        except Exception:
            self.fault(traceback.format_exc())
            self.abort()

    def write(self, *parts: bytes) -> bool:
        """Send the parts, or buffer them while the transport is full. False if nothing was accepted: the parts do not
        fit, or the connection was reset."""
        if self.transport is None or self._closing:
            return False
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        if self._paused or len(self.outbound):
            try:
                self.outbound.write(data)
            except Full:
                return False
        else:
            self.transport.write(data)
            if self.transport.is_closing():
                return False
        self.bytes_written += len(data)
        return True

    def pause_writing(self) -> None:
        self._paused = True
        self.backlog_changed()

    def resume_writing(self) -> None:
        self._paused = False
        while len(self.outbound) and not self._paused and self.transport is not None:
            self.transport.write(self.outbound.take(WRITE_CHUNK))
        if self._closing:
            self._shutdown_write()
        self.backlog_changed()

    @property
    def slow(self) -> bool:
        return self._paused

    def backlog(self) -> int:
        """Bytes waiting to be sent; 0 once the connection is lost."""
        return self.transport.get_write_buffer_size() + len(self.outbound) if self.transport is not None else 0

    def close(self) -> None:
        """Close in order: pending output is sent, writing is shut down, and input is read and discarded until the peer
        ends its side too. Closing a socket with unread input would reset the connection and destroy output that the
        peer has not read yet. A peer that keeps sending, or reads none of the pending output, is aborted after
        LINGER."""
        if self._closing:
            return
        self.closing_since = self.runtime.clock.now()
        self.inbound.skip(len(self.inbound))
        self.bytes_needed = 1
        if self.transport is not None:
            self.transport.resume_reading()
            self._shutdown_write()
            self._arm_close_timeout()

    def _shutdown_write(self) -> None:
        """Shut down writing, once all pending output is with the transport."""
        if self.transport is None or len(self.outbound):
            return
        if not self.lingers or self._peer_eof or not self.transport.can_write_eof():  # TLS cannot close one direction
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:  # the peer has already reset it
            self.transport.abort()

    def _arm_close_timeout(self) -> None:
        self._close_backlog = self.backlog()
        self._close_deadline = self.runtime.deadlines.add(self.runtime.clock.now() + LINGER, self._close_timed_out)

    def _close_timed_out(self) -> None:
        if 0 < self.backlog() < self._close_backlog:
            self._arm_close_timeout()
        elif self.transport is not None:
            self.transport.abort()

    def hung_up(self) -> bool:
        """Whether the peer has closed its side or the whole connection, even if unread input precedes that."""
        return self._peer_eof or self._polls(select.POLLRDHUP)

    def has_unread_input(self) -> bool:
        """Whether input waits in the kernel. After a delay of the event loop, timers run before reads, so a timeout
        would otherwise close a connection whose input arrived in time."""
        return not self._peer_eof and self._polls(select.POLLIN)

    def writable(self) -> bool:
        """Whether the kernel's send buffer has room: not if the peer has read nothing for long."""
        return self._polls(select.POLLOUT)

    def _polls(self, event: int) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), event)
        return bool(poller.poll(0))

    def abort(self) -> None:
        """Close it at once, discarding unsent output."""
        self.closing_since = self.closing_since or self.runtime.clock.now()
        if self.transport is not None:
            self.transport.abort()

    # --- hooks for subclasses

    def fault(self, trace: str) -> None:
        """`parse` raised an exception."""

    def opened(self) -> None:
        """The connection is established."""

    def ended(self) -> None:
        """The connection is lost or closed."""

    def peer_closed(self) -> None:
        """The peer has ended its side: no more input follows, and it may be gone altogether."""
        self.abort()

    def parse(self) -> None:
        """Consume complete messages from `inbound`."""
        raise NotImplementedError

    def backlog_changed(self) -> None:
        """Writing was paused or resumed."""
