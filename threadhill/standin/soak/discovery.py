"""The journal service as one proxy meets it: events numbered from 1 for each start, watches, and their faults."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

HEARTBEAT = 1.0  # seconds between lines with the last number
TOLD_BY = 7.0  # seconds after which an event counts as told, whether it arrived or not
TURN = 0.005  # seconds between looks for what is due
BEFORE_EVENTS = 0.2  # seconds before a heartbeat from which on events wait for it, where heartbeats come first
OLD_CLOSES = 1.5  # seconds after a move until the old address closes what is open


@dataclass(slots=True)
class Event:
    """One event for one process: `told` is called with the time from which on it counts as told there."""

    number: int
    content: dict[str, Any]
    due: float
    told: Callable[[float], None]
    was_told: bool = False

    def line(self) -> bytes:
        return json.dumps({"pos": self.number} | self.content).encode() + b"\n"

    def tell(self, at: float) -> None:
        if not self.was_told:
            self.was_told = True
            self.told(min(at, self.due + TOLD_BY))


class Watcher:
    """The service of one process of a proxy."""

    def __init__(self, heartbeat_object: bool, heartbeat_first: bool) -> None:
        self.heartbeat = b'{"pos":%d}\n' if heartbeat_object else b"%d\n"
        self.heartbeat_first = heartbeat_first
        self.events: list[Event] = []
        self.silent: set[asyncio.StreamWriter] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def last(self) -> int:
        """The number of the last event that is due."""
        now = time.monotonic()
        return max((event.number for event in self.events if event.due <= now), default=0)

    def known(self) -> dict[str, Any]:
        """What a configuration written now holds; it counts as told by it."""
        now = time.monotonic()
        due = [event for event in self.events if event.due <= now]
        return {"pos": len(due), "entries": [{"pos": event.number} | event.content for event in due]}

    def add(self, content: dict[str, Any], delay: float, told: Callable[[float], None]) -> None:
        """One more event, due after a while and never before an earlier one."""
        due = max(time.monotonic() + delay, self.events[-1].due if self.events else 0.0)
        self.events.append(Event(len(self.events) + 1, content, due, told))

    async def start(self, port: int = 0) -> None:
        """Listen, at a port of its own or at the one it had."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def move(self) -> None:
        """Listen elsewhere; the old address takes no more, tells nothing more and closes what is open after a while."""
        if self._server is not None:
            self._server.close()
        old = list(self.writers)
        self.silent.update(old)
        asyncio.get_running_loop().call_later(OLD_CLOSES, lambda: [writer.close() for writer in old])
        await self.start()

    def fall_silent(self) -> None:
        """Open watches stay open and tell nothing more."""
        self.silent.update(self.writers)

    def break_off(self) -> None:
        """Open watches end in the middle of a line."""
        for writer in list(self.writers):
            with suppress(ConnectionError):
                writer.write(b'{"pos":')
                writer.close()

    def down(self) -> None:
        """Nobody listens any more, and watches are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def up(self) -> None:
        """Listen again at the same address."""
        await self.start(self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with suppress(ConnectionError, IndexError, ValueError, asyncio.CancelledError):
            last = int((await reader.readline()).split()[1])
            asked = time.monotonic()
            for event in self.events:  # whoever asks again counts as told of what there was
                if event.due <= asked and event.number > last:
                    event.tell(asked)
            if self.heartbeat_first:
                writer.write(self.heartbeat % self.last)
            beat = 0.0
            while not writer.is_closing() and not reader.at_eof():
                now = time.monotonic()
                if writer not in self.silent and now >= beat + HEARTBEAT:
                    beat = now
                    if not self.heartbeat_first:
                        last = self._tell(writer, last)
                    writer.write(self.heartbeat % self.last)
                    last = self._tell(writer, last)
                elif writer not in self.silent and (
                    not self.heartbeat_first or now <= beat + HEARTBEAT - BEFORE_EVENTS
                ):
                    last = self._tell(writer, last)
                await writer.drain()
                await asyncio.sleep(TURN)
        self.writers.discard(writer)
        self.silent.discard(writer)
        writer.close()

    def _tell(self, writer: asyncio.StreamWriter, last: int) -> int:
        now = time.monotonic()
        for event in self.events[last:]:
            if event.due > now:
                break
            writer.write(event.line())
            event.tell(now)
            last = event.number
        return last

    def close(self) -> None:
        """End for good. What was never told is told by its time."""
        self.down()
        for event in self.events:
            event.tell(event.due + TOLD_BY)
