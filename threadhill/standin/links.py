"""Links that fail: relays on loopback that stand between any two processes, and can be switched while traffic runs.

A relay takes connections at an address of its own and opens one each to its target. What its link does with bytes is
told for each direction apart, so that one may fail while the other works.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field, replace

HELD = 256 << 10  # bytes of one direction of a connection that wait here at most, then its sender is read no more
RATE_TURN = 0.02  # seconds of sending that a slow link takes at a time


@dataclass(frozen=True, slots=True)
class Way:
    """What one direction does: all bytes pass at once unless a field says otherwise."""

    drop: bool = False  # they vanish in silence, and an end of the connection with them
    stall: bool = False  # they wait, as behind a peer that does not read, and pass when the stall ends
    delay: float = 0.0  # seconds that each byte takes longer
    rate: float = 0.0  # bytes a second; 0: no bound

    def __post_init__(self) -> None:
        if self.delay < 0 or self.rate < 0:
            raise ValueError("delay and rate of a link are not negative")


PASS = Way()


def cut(transport: asyncio.BaseTransport | None) -> None:
    """End a connection with a reset: without the linger of nothing, the peer would read a usual end."""
    if transport is not None:
        where = transport.get_extra_info("socket")
        if where is not None and where.fileno() >= 0:  # it may have ended by itself in this very turn
            where.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class Side(asyncio.Protocol):
    """One connection of a pair: what it reads goes out on the other."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name  # name: the way that its bytes take, up or down
        self.transport: asyncio.Transport | None = None
        self.other: Side | None = None
        self.waiting: list[tuple[float, bytes]] = []  # when each may go, in order
        self.bytes = 0
        self.full = False  # the other side's peer does not read
        self.ended = False
        self._timer: asyncio.TimerHandle | None = None
        self._next = 0.0  # when a slow link is free again

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.other is not None and self.other.transport is not None:
            self.other.pump()

    def data_received(self, data: bytes) -> None:
        way = self.relay.ways[self.name]
        if way.drop:
            return
        now = asyncio.get_running_loop().time()
        if way.rate:
            self._next = max(now, self._next) + len(data) / way.rate
        self.waiting.append((max(now + way.delay, self._next if way.rate else 0.0), data))
        self.bytes += len(data)
        if self.bytes > HELD:
            self.transport.pause_reading()
        self.pump()

    def pump(self) -> None:
        """Pass on what is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        peer = self.other.transport if self.other is not None else None
        if peer is None or self.full or self.relay.ways[self.name].stall:
            return
        now = asyncio.get_running_loop().time()
        while self.waiting and self.waiting[0][0] <= now:
            data = self.waiting.pop(0)[1]
            self.bytes -= len(data)
            peer.write(data)
        if self.waiting:
            wait = (
                min(self.waiting[0][0] - now, RATE_TURN)
                if self.relay.ways[self.name].rate
                else self.waiting[0][0] - now
            )
            self._timer = asyncio.get_running_loop().call_later(wait, self.pump)
        elif self.ended:
            peer.close()
        if self.bytes <= HELD and self.transport is not None and not self.ended:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other.full = True

    def resume_writing(self) -> None:
        if self.other is not None:
            self.other.full = False
            self.other.pump()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        self.relay.sides.discard(self)
        if self.relay.ways[self.name].drop or self.other is None or self.other.transport is None:
            return
        if error is not None:
            cut(self.other.transport)
        else:
            self.pump()


@dataclass(slots=True)
class Relay:
    """A link to `target`, looked up anew for each connection. `accepts` is all (usual), none (connections are refused)
    or half (they come up, and nobody is behind them)."""

    target: Callable[[], tuple[str, int] | None]
    host: str = "127.0.0.1"
    address: tuple[str, int] = ("", 0)
    accepts: str = "all"
    ways: dict[str, Way] = field(default_factory=lambda: {"up": PASS, "down": PASS})
    sides: set[Side] = field(default_factory=set)
    taken: int = 0  # connections so far
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        where = self.address if self.address[1] else (self.host, 0)
        self._server = await loop.create_server(self._accept, *where)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    def _accept(self) -> Side:
        self.taken += 1
        side = Side(self, "up")
        self.sides.add(side)
        if self.accepts == "all":
            task = asyncio.get_running_loop().create_task(self._connect(side))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return side

    async def _connect(self, side: Side) -> None:
        other = Side(self, "down")
        side.other, other.other = other, side
        where = self.target()
        try:
            if where is None:
                raise ConnectionRefusedError
            await asyncio.get_running_loop().create_connection(lambda: other, *where)
        except OSError:
            cut(side.transport)
            return
        self.sides.add(other)
        side.pump()

    def set(self, up: Way | None = None, down: Way | None = None) -> None:
        """What the link does from now on; what waited behind a stall goes when that ends."""
        self.ways = {"up": up or self.ways["up"], "down": down or self.ways["down"]}
        for side in list(self.sides):
            side.pump()

    def both(self, way: Way) -> None:
        self.set(way, way)

    def reset(self) -> None:
        """Cut every connection, with a reset to both ends."""
        for side in list(self.sides):
            cut(side.transport)

    async def refuse(self, refuses: bool) -> None:
        """Refuse connections, or take them again at the same address."""
        if refuses and self._server is not None:
            self._server.close()
            self._server = None
        elif not refuses and self._server is None:
            await self.start()

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()


@dataclass(frozen=True, slots=True)
class Change:
    """One step of a script of links: at so many seconds, these links get these ways, or are reset, refuse or accept."""

    at: float
    links: tuple[str, ...]
    kind: str
    amount: float = 0.0
    direction: str = "both"


KINDS = ("pass", "drop", "stall", "delay", "slow", "reset", "refuse", "accept", "half")


async def switch(relay: Relay, change: Change) -> None:
    """Bring one change about."""
    if change.kind not in KINDS or change.direction not in ("both", "up", "down"):
        raise ValueError(
            f"{change.kind} {change.direction}: no such change of a link; there are {', '.join(KINDS)}, "
            "each for both, up or down"
        )
    if change.kind == "reset":
        relay.reset()
        return
    if change.kind in ("refuse", "accept"):
        await relay.refuse(change.kind == "refuse")
        relay.accepts = "all"
        return
    if change.kind == "half":
        relay.accepts = "half"
        return
    way = {
        "pass": PASS,
        "drop": Way(drop=True),
        "stall": Way(stall=True),
        "delay": replace(PASS, delay=change.amount),
        "slow": replace(PASS, rate=change.amount),
    }[change.kind]
    if change.kind == "pass":
        relay.accepts = "all"
    relay.set(way if change.direction != "down" else None, way if change.direction != "up" else None)


async def play(links: dict[str, Relay], script: list[Change]) -> None:
    """All changes, each at its time from now on."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    for change in sorted(script, key=lambda one: one.at):
        await asyncio.sleep(max(0.0, began + change.at - loop.time()))
        for name in change.links:
            await switch(links[name], change)
