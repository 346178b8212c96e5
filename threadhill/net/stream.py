"""What every connection shares: a ring a direction, bounded writing, and two ends, one in order and one at once."""

from __future__ import annotations

import asyncio
import select
import traceback

from threadhill.net.ring import Full, Ring
from threadhill.net.turns import Runtime

CHUNK = 64 << 10  # bytes given to the transport at once, for the kernel; the rest waits in the ring
DISCARD = 64 << 10  # bytes taken from a peer that was thrown out; one with more to say may fill the kernel's buffers
LINGER = 1_000_000  # microseconds that a peer may take to end its side of a connection that is being closed


class Stream(asyncio.BufferedProtocol):
    """A connection. Subclasses parse `inbound` in `parse` and are told of the end in `ended`.

    What a peer sends after the end has begun is read and thrown away: nothing of it is taken any more.
    """

    lingers = False  # whether a peer may still be reading what it was sent when this side ends
    write_high_water = CHUNK  # bytes that the transport may hold before it counts as full

    def __init__(self, host: Runtime, max_inbound: int, max_outbound: int) -> None:
        self.host = host
        self.inbound, self.outbound = Ring(max_inbound), Ring(max_outbound)
        self.transport: asyncio.Transport | None = None
        self.bytes_needed = 1  # bytes that the message under way needs in all, so that the ring grows once
        self.closing_since = 0  # when this side began to end it; 0: it has not
        self._paused = False  # the transport takes no more
        self._peer_eof = False  # the peer has ended its side
        self._discarded = 0
        self.bytes_written = 0  # bytes that were taken to be sent, in all
        self._close_backlog = 0  # bytes that the peer had still to take at the last look of a close
        self._close_deadline: tuple[int, int] | None = None  # the deadline of a close

    @property
    def _closing(self) -> bool:
        return self.closing_since > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=self.write_high_water)
        self.opened()

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.host.deadlines.cancel(self._close_deadline)
        self.ended()

    def get_buffer(self, hint: int) -> memoryview:
        return self.inbound.room(self.bytes_needed)

    def buffer_updated(self, count: int) -> None:
        self.inbound.filled(count)
        if not self._closing:
            self.process_input()
        else:
            self.inbound.skip(len(self.inbound))
            self._discarded += count
            if self._discarded > DISCARD and self.transport is not None:
                self.transport.pause_reading()

    def eof_received(self) -> bool:
        """The peer has ended its side; whether the connection stays up for what is still to be written."""
        self._peer_eof = True
        if not self._closing:
            self.peer_closed()
        return self.transport is not None and self.transport.can_write_eof() and len(self.outbound) > 0

    def process_input(self) -> None:
        """Parse what there is. A fault in that ends this connection, which settles what is open on it, and no
        other: whatever a peer can send must not do more."""
        try:
            self.parse()
        except Exception:
            self.fault(traceback.format_exc())
            self.abort()

    def write(self, *parts: bytes) -> bool:
        """Send the parts, or keep them in the ring while the peer is slow; False where nothing of them was taken: they
        do not fit, or the connection was reset."""
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
            self.transport.write(self.outbound.take(CHUNK))
        if self._closing:
            self._shutdown_write()
        self.backlog_changed()

    @property
    def slow(self) -> bool:
        return self._paused

    def backlog(self) -> int:
        """Bytes that wait for the peer; none for one that is gone."""
        return self.transport.get_write_buffer_size() + len(self.outbound) if self.transport is not None else 0

    def close(self) -> None:
        """End it in order: what was written goes out, then this direction is shut, and what the peer sends meanwhile
        is read and thrown away until it ends its side too. To close over bytes that were not read would reset the
        connection, and take along what the peer has not read yet. A peer that goes on, or takes nothing of what it
        is owed, has LINGER for it."""
        if self._closing:
            return
        self.closing_since = self.host.clock.now()
        self.inbound.skip(len(self.inbound))
        self.bytes_needed = 1
        if self.transport is not None:
            self.transport.resume_reading()
            self._shutdown_write()
            self._arm_close_timeout()

    def _shutdown_write(self) -> None:
        """Shut this direction, once all that was written is with the transport."""
        if self.transport is None or len(self.outbound):
            return
        if not self.lingers or self._peer_eof or not self.transport.can_write_eof():  # TLS has no half to be shut
            self.transport.close()
            return
        try:
            self.transport.write_eof()
        except OSError:  # the peer has reset it already
            self.transport.abort()

    def _arm_close_timeout(self) -> None:
        self._close_backlog = self.backlog()
        self._close_deadline = self.host.deadlines.add(self.host.clock.now() + LINGER, self._close_timed_out)

    def _close_timed_out(self) -> None:
        if 0 < self.backlog() < self._close_backlog:
            self._arm_close_timeout()
        elif self.transport is not None:
            self.transport.abort()

    def hung_up(self) -> bool:
        """Whether the peer has ended its side, or all of the connection, behind bytes that were not read yet."""
        return self._peer_eof or self._polls(select.POLLRDHUP)

    def has_unread_input(self) -> bool:
        """Whether something has come that was not read yet: a loop that was held up ends what is overdue before it
        reads, and would end it over what came in time."""
        return not self._peer_eof and self._polls(select.POLLIN)

    def writable(self) -> bool:
        """Whether the kernel takes something to be sent now: not where the peer has read nothing for long."""
        return self._polls(select.POLLOUT)

    def _polls(self, event: int) -> bool:
        if self.transport is None or self.transport.is_closing():
            return False
        poller = select.poll()
        poller.register(self.transport.get_extra_info("socket").fileno(), event)
        return bool(poller.poll(0))

    def abort(self) -> None:
        """End it at once, with whatever was not sent yet."""
        self.closing_since = self.closing_since or self.host.clock.now()
        if self.transport is not None:
            self.transport.abort()

    # --- for the subclasses

    def fault(self, trace: str) -> None:
        """An exception came out of `parse`."""

    def opened(self) -> None:
        """The connection is up."""

    def ended(self) -> None:
        """The connection is gone."""

    def peer_closed(self) -> None:
        """The peer has ended its side: nothing more comes, and it may be gone altogether."""
        self.abort()

    def parse(self) -> None:
        """Take whole messages off `inbound`."""
        raise NotImplementedError

    def backlog_changed(self) -> None:
        """The transport began or ceased to be full."""
