"""One proxy of a soak: its processes one after another, its discovery, and its clients."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import time
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from threadhill.standin.soak.clients import SoakClient
from threadhill.standin.soak.deployment import Deployment
from threadhill.standin.soak.discovery import Watcher
from threadhill.standin.soak.record import ProcessLife, Record

READY_BY = 30.0  # seconds in which a process must serve
STATUS_EVERY = 0.1  # seconds between questions whether it does
STARVED = 0.01  # seconds of waiting for a processor, between two looks, that are noted


class StandInFailed(Exception):
    """A stand-in failed: nothing can be judged."""


class Shims(Protocol):
    """Faults of one process, switched while it runs."""

    def step_wall(self, seconds: float) -> None:
        """Put its wall clock so many seconds ahead."""
        ...

    def fail(self, call: str, errno: int, times: int = -1) -> None:
        """Let the next calls fail; 0 times ends it."""
        ...

    def shorten(self, call: str, most: int) -> None:
        """Let each call move so many bytes at most; 0 ends it."""
        ...


@dataclass(frozen=True, slots=True)
class Program:
    """How a process is started: the command before a table of shims, and in which folder."""

    command: tuple[str, ...]
    root: Path


@dataclass(slots=True)
class Proxy:
    """One proxy. `life` is the process that it has now."""

    name: str
    folder: Path
    deployment: Deployment
    record: Record
    program: Program
    shims: Shims
    watcher: Watcher
    life: ProcessLife
    process: asyncio.subprocess.Process | None = None
    port: int = 0
    starts: int = 0
    clients: list[SoakClient] = field(default_factory=list)
    waited: tuple[str, float, float] = ("", 0.0, 0.0)  # process, when it was looked at, its waiting for a processor
    history: list[dict[str, Any]] = field(default_factory=list)  # contents of all events since the first start

    @property
    def log(self) -> Path:
        return self.folder / f"{self.name}.log"

    @property
    def takes_connections(self) -> bool:
        """Whether the front sends new clients here."""
        life = self.life
        return (
            bool(life.serving_at)
            and not life.ended_at
            and (not life.asked_to_end_at or time.monotonic() < life.asked_to_end_at + 0.3)
        )

    def configure(self, known: dict[str, Any]) -> None:
        """Write the file that the process is told by."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{self.deployment.seed + 1:x}",
            "settings": self.deployment.settings(),
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": self.deployment.descriptors},
            "journal": f"127.0.0.1:{self.watcher.port}",
            "known": known,
        }
        partial = self.folder / f"{self.name}.part"
        partial.write_text(json.dumps(config))
        partial.rename(self.folder / f"{self.name}.json")

    async def start(self) -> None:
        """Start a process, and wait until it serves."""
        self.starts += 1
        self.life = ProcessLife(f"{self.name}#{self.starts}", time.monotonic())
        self.record.processes[self.life.name] = self.life
        before = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.program.command,
                str(self.folder / f"{self.name}.table"),
                "serve",
                cwd=self.program.root,
                stderr=log,
                env=os.environ
                | {
                    "LB_CONFIG": str(self.folder / f"{self.name}.json"),
                    "PYTHONPATH": str(self.program.root),
                    "TMPDIR": str(self.folder),
                },
            )
        asyncio.ensure_future(self._wait_for_end(self.process, self.life))
        await self._wait_until_it_serves(before)

    async def _wait_for_end(self, process: asyncio.subprocess.Process, life: ProcessLife) -> None:
        life.code = await process.wait()
        life.ended_at = time.monotonic()

    async def _wait_until_it_serves(self, log_from: int) -> None:
        life = self.life
        end = time.monotonic() + READY_BY
        while time.monotonic() < end and not life.ended_at:
            found = re.search(rf"^{self.name}: serving on .*:(\d+)$", self.log.read_bytes()[log_from:].decode(), re.M)
            if found:
                self.port = int(found[1])
                with suppress(OSError):
                    if await self._serves():
                        life.serving_at = time.monotonic()
                        return
            await asyncio.sleep(STATUS_EVERY / 4)

    async def _serves(self) -> bool:
        client = await self.connect()
        try:
            async with asyncio.timeout(1.0):
                return await client.ask_status() == "serving"
        except TimeoutError:
            return False
        finally:
            client.leave(reset=False)

    async def connect(self) -> SoakClient:
        """A new connection of a client."""
        loop = asyncio.get_running_loop()
        _, client = await loop.create_connection(lambda: SoakClient(self.life.name), "127.0.0.1", self.port)
        return client

    def send(self, signum: signal.Signals) -> None:
        """Send its process a signal, where that still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signum)

    def look_at_waiting(self) -> None:
        """Note for how long the process was ready to run and did not."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(OSError, IndexError, ValueError):
            now, name = time.monotonic(), self.life.name
            waited = int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[1]) / 1e9
            before_name, before, waited_before = self.waited
            if before_name == name and waited - waited_before > STARVED:
                self.life.starved.append((before, now, waited - waited_before))
            self.waited = name, now, waited

    def look(self) -> None:
        """Note what the process holds."""
        if self.process is None or self.process.returncode is not None:
            return
        with suppress(OSError, IndexError, ValueError):
            pid = self.process.pid
            held = len(os.listdir(f"/proc/{pid}/fd"))
            memory = int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
            self.life.most_descriptors = max(self.life.most_descriptors, held)
            self.life.most_memory_mb = max(self.life.most_memory_mb, memory)
