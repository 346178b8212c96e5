"""One connection to the journal service: asks for events from a number on, and takes lines a share of a turn at a
time."""

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

TURN = 0.004  # seconds of the loop that events may take at once
OUTBOUND = 64 << 10  # bytes of reports that may wait


class WatchConnection(Stream):
    """One connection to the journal service."""

    def __init__(self, journal: Journal) -> None:
        super().__init__(journal.engine, journal.line, OUTBOUND)
        self.journal = journal
        self.since = 0
        self._lines: deque[bytes] = deque()  # that came and were not taken yet
        self._steps: Iterator[None] | None = None  # the rest of the line that is being taken
        self._turn: asyncio.Handle | None = None  # when it goes on

    def opened(self) -> None:
        if self.journal.dialling is not self:  # given up or left while it came up
            self.abort()
            return
        self.since = self.journal.heard = self.journal.engine.clock.now()
        self.journal.feed, self.journal.dialling = self, None
        if self.journal.recovery is not None:
            self.journal.recovery.connected()
        self.write(b"tail %d\n" % self.journal.pos)
        self.journal.news.asked(self.since)
        self.journal.log(f"journal: connected, events after {self.journal.pos} are asked for")
        if self.journal.report is not None:
            if self.journal.knowledge is not None:
                self.journal.knowledge.opened()
            self.journal._regularly(self)

    def ended(self) -> None:
        if self._turn is not None:
            self._turn.cancel()
        self._lines.clear()  # what was not applied is asked for again
        self._steps = None
        self.journal.lost(self)

    @property
    def busy(self) -> bool:
        """Whether lines wait, or one is taken in part."""
        return bool(self._lines) or self._steps is not None

    def parse(self) -> None:
        data = self.inbound.peek(len(self.inbound))
        done = data.rfind(b"\n") + 1
        self.inbound.skip(done)
        self._lines.extend(data[:done].splitlines())
        if self._turn is None:
            self._work()

    def _work(self) -> None:
        """Take lines for a while; the rest of them, or of a long one, has its turn after other work."""
        before = self.journal.pos
        end = time.monotonic() + TURN
        try:
            while self._lines or self._steps is not None:
                if self.closing_since:
                    return
                if self._steps is None:
                    self._steps = self.journal.told(self._lines.popleft())
                if next(self._steps, self) is self:
                    self._steps = None
                if time.monotonic() > end:
                    self._turn = asyncio.get_running_loop().call_soon(self._go_on)
                    break
        except (ValueError, Malformed) as error:
            self.journal.log(f"journal: {error}")
            self.journal.engine.stats.count("malformed", "journal")
            self.abort()
            return
        if self.journal.pos != before:
            self.journal.say()

    def _go_on(self) -> None:
        self._turn = None
        self.process_input()

    def fault(self, trace: str) -> None:
        self.journal.engine.stats.count("fault", "journal")
        self.journal.log(f"journal: {trace}")
