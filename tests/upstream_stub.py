"""The cache servers' side without sockets: dials that come up when the test says, and what is written to them."""

from __future__ import annotations

import os
from types import SimpleNamespace
from typing import Any

from threadhill.core.deadlines import Deadlines
from threadhill.core.ports import AttemptResult, AttemptSpec, ClientRequest
from threadhill.core.trace import Trace
from threadhill.net.upstream import CacheServers, Limits, Pool, UpstreamConnection
from threadhill.stats import Stats

WRITABLE = open(os.devnull, "wb")  # noqa: SIM115 - stands for a socket that takes all, as long as the tests run


class Transport:
    """A transport whose peer reads when the test says: what it took, and what became of it."""

    def __init__(self) -> None:
        self.taken = b""
        self.ends: list[str] = []
        self.held = 0  # bytes that wait in it
        self.reset = False

    def write(self, data: bytes) -> None:
        if self.reset:
            self.ends.append("abort")
        else:
            self.taken += data

    def get_write_buffer_size(self) -> int:
        return self.held

    def can_write_eof(self) -> bool:
        return True

    def is_closing(self) -> bool:
        return "close" in self.ends or "abort" in self.ends

    def get_extra_info(self, name: str) -> Any:
        return WRITABLE if name == "socket" else None

    def __getattr__(self, name: str) -> Any:
        return lambda *more, **named: self.ends.append(name)


class Below:
    """The cache servers' side without sockets: dials that come up when the test says, and what is written to them."""

    def __init__(self) -> None:
        self.now = 1_000_000
        self.ends: list[tuple[int, AttemptResult]] = []
        engine = SimpleNamespace(
            recovery_gate=None,
            clock=SimpleNamespace(now=lambda: self.now),
            stats=Stats(),
            trace=Trace(),
            deadlines=Deadlines(lambda when: None, lambda error: None),
            attempt_ended=lambda attempt, end: self.ends.append((attempt, end)),
        )
        self.deadlines = engine.deadlines
        self.caches = CacheServers(engine, Limits(), lambda text: None)
        self.caches.dial = self._dial
        self.caches.server_ready(1, "s-1", "127.0.0.1", 1)
        self.pool = self.caches.servers[1]

    def _dial(self, pool: Pool) -> None:
        pool.dialling += 1
        self.caches.connection_count += 1

    def send(self, attempt: int, source: int = 1, body: bytes = b"", **more: int) -> None:
        ask = ClientRequest(
            class_name="license-buy", request_id=f"{attempt:016x}", object=f"o{attempt}", time_left=1_000_000, body=body
        )
        self.caches.send(attempt, AttemptSpec(ask, 1, source, 1_000_000, **more))

    def up(self, transport: Transport | None = None) -> tuple[UpstreamConnection, Transport]:
        """A dial comes up: the connection, and its other end."""
        wire, transport = UpstreamConnection(self.pool), transport or Transport()
        wire.connection_made(transport)
        self.pool.dialled(up=True)
        return wire, transport

    @property
    def outcomes(self) -> list[tuple[int, str]]:
        return [(attempt, end.outcome.value) for attempt, end in self.ends]
