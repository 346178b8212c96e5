"""A connection to the journal service: requests events from a number on, and processes lines in time slices."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Iterator
from typing import TYPE_CHECKING

from threadhill.net.stream import Stream
from threadhill.settings import Malformed

if TYPE_CHECKING:
    from threadhill.net.journal import Journal

TIME_SLICE = 0.004  # seconds of event processing per loop iteration
MAX_OUTBOUND = 64 << 10  # limit of unsent reports, in bytes


class WatchConnection(Stream):
    """Receives the lines of a journal service for a `Journal`, and carries its reports."""

    def __init__(self, journal: Journal) -> None:
        super().__init__(journal.engine, journal.max_line, MAX_OUTBOUND)
        self.journal = journal
        self.connected_at = 0  # local microseconds
        self.events = 0  # new events that came on it
        self.last_received_at = 0  # when any input arrived last, in local microseconds; before that, when it connected
        self.line_began_at = 0  # when the line that is incomplete began to arrive; 0: none is
        self._lines: deque[bytes] = deque()  # received and not yet processed
        self._current_line: Iterator[None] | None = None  # the rest of the line being processed
        self._continuation: asyncio.Handle | None = None  # the scheduled continuation

    def opened(self) -> None:
        if self.journal.connecting is not self:  # superseded or abandoned meanwhile
            self.abort()
            return
        self.connected_at = self.last_received_at = self.journal.engine.clock.now()
        self.journal.connection, self.journal.connecting = self, None
        if self.journal.recovery is not None:
            self.journal.recovery.connected()
        self.write(b"tail %d\n" % self.journal.pos)
        self.journal.monitor.events_requested(self.connected_at)
        self.journal.log(f"journal: connected, events after {self.journal.pos} are asked for")
        if self.journal.report is not None:
            if self.journal.knowledge is not None:
                self.journal.knowledge.connected()
            self.journal._report_periodically(self)

    def ended(self) -> None:
        if self._continuation is not None:
            self._continuation.cancel()
        self._lines.clear()  # events not applied are requested again
        self._current_line = None
        self.journal.lost(self)

    def buffer_updated(self, count: int) -> None:
        self.last_received_at = self.journal.engine.clock.now()
        super().buffer_updated(count)

    def line_progress_at(self) -> int:
        """When a part of a line arrived that is not complete yet; 0: there is none."""
        return self.last_received_at if self.line_began_at else 0

    def has_unprocessed_input(self) -> bool:
        """Whether input has arrived that is not applied yet, so that this process is late, and not the service."""
        return self.busy or self.has_unread_input()

    @property
    def busy(self) -> bool:
        """Whether received lines are not completely processed."""
        return bool(self._lines) or self._current_line is not None

    def parse(self) -> None:
        data = self.inbound.peek(len(self.inbound))
        end_of_lines = data.rfind(b"\n") + 1
        self.inbound.skip(end_of_lines)
        self._note_incomplete_line(end_of_lines > 0)
        self._lines.extend(data[:end_of_lines].splitlines())
        if self._continuation is None:
            self._process_lines()

    def _note_incomplete_line(self, new_line: bool) -> None:
        """Note when the line that is incomplete began; `new_line`: the one before it is complete now."""
        if not len(self.inbound):
            self.line_began_at = 0
        elif new_line or not self.line_began_at:
            self.line_began_at = self.last_received_at

    def _process_lines(self) -> None:
        """Process lines for one time slice; the remaining lines, or the rest of a long one, follow after other work."""
        pos_before = self.journal.pos
        slice_end = time.monotonic() + TIME_SLICE
        try:
            while self._lines or self._current_line is not None:
                if self.closing_since:
                    return
                if self._current_line is None:
                    self._current_line = self.journal.receive_line(self._lines.popleft())
                if next(self._current_line, self) is self:
                    self._current_line = None
                if time.monotonic() > slice_end:
                    self._continuation = asyncio.get_running_loop().call_soon(self._continue)
                    break
        except (ValueError, Malformed) as error:
            self.journal.log(f"journal: {error}")
            self.journal.engine.stats.count("malformed", "journal")
            self.abort()
            return
        if self.journal.pos != pos_before:
            self.journal.send_report()

    def _continue(self) -> None:
        self._continuation = None
        self.process_input()

    def fault(self, trace: str) -> None:
        self.journal.engine.stats.count("fault", "journal")
        self.journal.log(f"journal: {trace}")
