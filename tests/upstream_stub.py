"""`CacheServers` without sockets, for tests that control when dials succeed and inspect what is sent."""

from __future__ import annotations

import os
from types import SimpleNamespace
from typing import Any

from threadhill.core.deadlines import Deadlines
from threadhill.core.ports import AttemptResult, AttemptSpec, ClientRequest
from threadhill.core.trace import Trace
from threadhill.net.upstream import CacheServers, Limits, Pool, UpstreamConnection
from threadhill.stats import Stats

WRITABLE = open(os.devnull, "wb")  # noqa: SIM115 - polls as a writable socket; open until the tests end


class Transport:
    """A fake transport: records what was written and which methods were called, and buffers as the test sets."""

    def __init__(self) -> None:
        self.sent = b""
        self.calls: list[str] = []
        self.buffered = 0  # bytes reported as not sent yet
        self.reset = False

    def write(self, data: bytes) -> None:
        if self.reset:
            self.calls.append("abort")
        else:
            self.sent += data

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def can_write_eof(self) -> bool:
        return True

    def is_closing(self) -> bool:
        return "close" in self.calls or "abort" in self.calls

    def get_extra_info(self, name: str) -> Any:
        return WRITABLE if name == "socket" else None

    def __getattr__(self, name: str) -> Any:
        return lambda *more, **named: self.calls.append(name)


def receive(connection: UpstreamConnection, raw: bytes) -> None:
    """Pass data from the server to the connection, in one piece."""
    while raw:
        space = connection.get_buffer(-1)
        count = min(len(space), len(raw))
        space[:count] = raw[:count]
        connection.buffer_updated(count)
        raw = raw[count:]


class PoolHarness:
    """The pools of servers numbered from 1, whose dials succeed when the test calls `connect`. `pool` is the first."""

    def __init__(self, servers: int = 1, limits: Limits | None = None) -> None:
        self.now = 1_000_000
        self.results: list[tuple[int, AttemptResult]] = []
        engine = SimpleNamespace(
            recovery_gate=None,
            clock=SimpleNamespace(now=lambda: self.now),
            stats=Stats(),
            trace=Trace(),
            deadlines=Deadlines(lambda when: None, lambda error: None),
            attempt_ended=lambda attempt, end: self.results.append((attempt, end)),
        )
        self.deadlines = engine.deadlines
        self.caches = CacheServers(engine, limits or Limits(), lambda text: None)
        self.caches.dial = self._dial
        for number in range(1, servers + 1):
            self.caches.server_ready(number, f"s-{number}", "127.0.0.1", number)
        self.pool = self.caches.servers[1]

    def _dial(self, pool: Pool) -> None:
        pool.dialling += 1
        self.caches.budget.dial_started()

    def send(self, attempt: int, source: int = 1, body: bytes = b"", server: int = 1, **more: int) -> None:
        ask = ClientRequest(
            class_name="license-buy", request_id=f"{attempt:016x}", object=f"o{attempt}", time_left=1_000_000, body=body
        )
        self.caches.send(attempt, AttemptSpec(ask, server, source, 1_000_000, **more))

    def connect(self, transport: Transport | None = None, server: int = 1) -> tuple[UpstreamConnection, Transport]:
        """A dial succeeds; returns the connection and its transport."""
        pool = self.caches.servers[server]
        connection, transport = UpstreamConnection(pool), transport or Transport()
        connection.connection_made(transport)
        pool.dialled(up=True)
        return connection, transport

    def answer(self, connection: UpstreamConnection, attempt: int) -> None:
        """The server answers this attempt."""
        receive(connection, b"%016x ok ver=v,born=1 1\r\nx\r\n" % attempt)

    @property
    def outcomes(self) -> list[tuple[int, str]]:
        return [(attempt, end.outcome.value) for attempt, end in self.results]
