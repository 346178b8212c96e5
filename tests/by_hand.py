"""Tests at a socket: clients and servers whose every write is the test's, and a process that stands still when told."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import struct
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.world import OBJECT, SETTINGS, ProxyHarness
from threadhill.net.resp import bulk


class NotUp:
    """An address where dials neither fail nor come up until `let` is called: its queue of connections is full."""

    def __init__(self, host: str, port: int) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(0)
        self.filler = socket.create_connection((host, port))
        self.read = b""
        self.came = self.ended = 0

    async def let(self) -> None:
        """Take who waits, and read what comes until the test is over."""
        self.listener.accept()[0].close()
        self.filler.close()
        self.server = await asyncio.start_server(self._serve, sock=self.listener)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.came += 1
        while more := await reader.read(1 << 16):
            self.read += more
        self.ended += 1
        writer.close()

    def close(self) -> None:
        self.filler.close()
        self.listener.close()


def ask(tag: int, cls: str = "art-pages", body: bytes = b"", **fields: Any) -> bytes:
    """A request as it stands on the wire."""
    fields = {"rid": os.urandom(8).hex(), "budget": 30_000, "obj": OBJECT, "n": 0, "shard": 17} | fields
    return bulk(b"ASK", b"%d" % tag, cls.encode(), ",".join(f"{k}={v}" for k, v in fields.items()).encode(), body)


class Hand:
    """A client by hand: each `send` is one write, and nothing is read before it is told to."""

    def __init__(self, where: socket.socket) -> None:
        self.socket = where

    @classmethod
    async def connect(cls, w: ProxyHarness, receive: int = 0) -> Hand:
        """`receive`: bytes of the receive buffer, so that what is not read stays with the proxy's machine."""
        made = socket.socket()
        if receive:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        made.setblocking(False)
        await asyncio.get_running_loop().sock_connect(made, ("127.0.0.1", w.port))
        return cls(made)

    async def send(self, *messages: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, b"".join(messages))

    def done(self) -> None:
        """End this side only."""
        self.socket.shutdown(socket.SHUT_WR)

    def reset(self) -> None:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    async def read(self, count: int = 1 << 16) -> bytes:
        async with asyncio.timeout(40):
            return await asyncio.get_running_loop().sock_recv(self.socket, count)

    async def until(self, text: bytes) -> bytes:
        """What comes up to and with these bytes."""
        raw = b""
        while text not in raw:
            more = await self.read()
            assert more, f"it ended after {raw[-200:]!r}"
            raw += more
        return raw

    async def rest(self) -> bytes:
        """What comes until the proxy ends its side; a reset fails the test."""
        raw = b""
        while more := await self.read():
            raw += more
        return raw


@contextmanager
def stopped(w: ProxyHarness) -> Iterator[None]:
    """The process stands still: what its sockets get meanwhile comes to it all at once."""
    w.process.send_signal(signal.SIGSTOP)
    while Path(f"/proc/{w.process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        time.sleep(0.001)
    try:
        yield
    finally:
        w.process.send_signal(signal.SIGCONT)


async def leaving(w: ProxyHarness) -> Hand:
    """SIGTERM was sent and is known to the program; a connection that is ended as soon as it lets go of clients."""
    watch = await Hand.connect(w)
    await watch.send(bulk(b"STATUS", b"1"))
    await watch.until(b"serving")
    w.process.send_signal(signal.SIGTERM)
    for tag in range(2, 10_000):
        await watch.send(bulk(b"STATUS", b"%d" % tag))
        if b"not_serving" in await watch.until(b"serving"):
            return watch
    raise AssertionError("SIGTERM was not noticed")


async def gone(w: ProxyHarness) -> None:
    async with asyncio.timeout(40):
        assert await w.process.wait() == 0
    await w.reading


def profiles(name: str, **more: object) -> list[dict[str, object]]:
    """The classes of the settings, one of them with other figures."""
    return [p | (more if p["name"] == name else {}) for p in SETTINGS["profiles"]]
