"""Network faults between processes: TCP relays on loopback whose impairments can be changed while traffic runs.

A relay accepts connections at an address of its own and opens one to its target for each. Impairments are set for each
direction separately, so that one may fail while the other works.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field, replace

MAX_BUFFERED = 256 << 10  # bytes buffered for one direction of a connection; above this, reading from its sender pauses
RATE_INTERVAL = 0.02  # greatest interval in seconds between writes to a rate-limited link


@dataclass(frozen=True, slots=True)
class Impairment:
    """Impairment of one direction; with the defaults all bytes pass at once."""

    drop: bool = False  # bytes and the end of the connection are silently discarded
    stall: bool = False  # bytes are held back, as by a peer that does not read, and pass when the stall ends
    delay: float = 0.0  # seconds added to the delivery of each byte
    rate: float = 0.0  # bytes a second; 0: unlimited

    def __post_init__(self) -> None:
        if self.delay < 0 or self.rate < 0:
            raise ValueError("delay and rate of a link must not be negative")


UNIMPAIRED = Impairment()


def reset_connection(transport: asyncio.BaseTransport | None) -> None:
    """Close a connection with a TCP reset; without SO_LINGER set to zero the peer would see an orderly close."""
    if transport is not None:
        where = transport.get_extra_info("socket")
        if where is not None and where.fileno() >= 0:  # it may have been closed in this event-loop iteration already
            where.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        transport.abort()


class RelayConnection(asyncio.Protocol):
    """One connection of a pair: what it receives is written to the other."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name  # name: the direction of the bytes that it receives, up or down
        self.transport: asyncio.Transport | None = None
        self.other: RelayConnection | None = None
        self.pending: list[tuple[float, bytes]] = []  # loop time from which each chunk may be sent, in order
        self.pending_bytes = 0
        self.write_blocked = False  # the other connection's write buffer is full
        self.ended = False
        self._timer: asyncio.TimerHandle | None = None
        self._free_at = 0.0  # loop time at which a rate-limited link is free again

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.other is not None and self.other.transport is not None:
            self.other.send_due()

    def data_received(self, data: bytes) -> None:
        impairment = self.relay.impairments[self.name]
        if impairment.drop:
            return
        now = asyncio.get_running_loop().time()
        if impairment.rate:
            self._free_at = max(now, self._free_at) + len(data) / impairment.rate
        self.pending.append((max(now + impairment.delay, self._free_at if impairment.rate else 0.0), data))
        self.pending_bytes += len(data)
        if self.pending_bytes > MAX_BUFFERED:
            self.transport.pause_reading()
        self.send_due()

    def send_due(self) -> None:
        """Send the chunks that are due to the other connection."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        peer = self.other.transport if self.other is not None else None
        if peer is None or self.write_blocked or self.relay.impairments[self.name].stall:
            return
        now = asyncio.get_running_loop().time()
        while self.pending and self.pending[0][0] <= now:
            data = self.pending.pop(0)[1]
            self.pending_bytes -= len(data)
            peer.write(data)
        if self.pending:
            wait = (
                min(self.pending[0][0] - now, RATE_INTERVAL)
                if self.relay.impairments[self.name].rate
                else self.pending[0][0] - now
            )
            self._timer = asyncio.get_running_loop().call_later(wait, self.send_due)
        elif self.ended:
            peer.close()
        if self.pending_bytes <= MAX_BUFFERED and self.transport is not None and not self.ended:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        if self.other is not None:
            self.other.write_blocked = True

    def resume_writing(self) -> None:
        if self.other is not None:
            self.other.write_blocked = False
            self.other.send_due()

    def connection_lost(self, error: Exception | None) -> None:
        self.ended = True
        self.relay.connections.discard(self)
        if self.relay.impairments[self.name].drop or self.other is None or self.other.transport is None:
            return
        if error is not None:
            reset_connection(self.other.transport)
        else:
            self.send_due()


@dataclass(slots=True)
class Relay:
    """A link to `target`, which is called for each connection. `accepts` is all (the default) or half (connections are
    accepted, but none to the target is opened)."""

    target: Callable[[], tuple[str, int] | None]
    host: str = "127.0.0.1"
    address: tuple[str, int] = ("", 0)
    accepts: str = "all"
    impairments: dict[str, Impairment] = field(default_factory=lambda: {"up": UNIMPAIRED, "down": UNIMPAIRED})
    connections: set[RelayConnection] = field(default_factory=set)
    accepted_connections: int = 0
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        where = self.address if self.address[1] else (self.host, 0)
        self._server = await loop.create_server(self._accept, *where)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    def _accept(self) -> RelayConnection:
        self.accepted_connections += 1
        connection = RelayConnection(self, "up")
        self.connections.add(connection)
        if self.accepts == "all":
            task = asyncio.get_running_loop().create_task(self._connect(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return connection

    async def _connect(self, connection: RelayConnection) -> None:
        other = RelayConnection(self, "down")
        connection.other, other.other = other, connection
        where = self.target()
        try:
            if where is None:
                raise ConnectionRefusedError
            await asyncio.get_running_loop().create_connection(lambda: other, *where)
        except OSError:
            reset_connection(connection.transport)
            return
        self.connections.add(other)
        connection.send_due()

    def impair(self, up: Impairment | None = None, down: Impairment | None = None) -> None:
        """Set the impairment of one or both directions; bytes held by a stall that ends are sent."""
        self.impairments = {"up": up or self.impairments["up"], "down": down or self.impairments["down"]}
        for connection in list(self.connections):
            connection.send_due()

    def impair_both(self, impairment: Impairment) -> None:
        self.impair(impairment, impairment)

    def reset(self) -> None:
        """Reset every connection at both ends."""
        for connection in list(self.connections):
            reset_connection(connection.transport)

    async def refuse(self, refuses: bool) -> None:
        """Refuse connections, or accept them again at the same address."""
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
class LinkChange:
    """One step of a script: `at` seconds after its start, the named links change as `kind` says (one of KINDS)."""

    at: float
    links: tuple[str, ...]
    kind: str
    amount: float = 0.0
    direction: str = "both"


KINDS = ("pass", "drop", "stall", "delay", "slow", "reset", "refuse", "accept", "half")


async def apply_change(relay: Relay, change: LinkChange) -> None:
    """Apply one change to a relay."""
    if change.kind not in KINDS or change.direction not in ("both", "up", "down"):
        raise ValueError(
            f"unknown change of a link: {change.kind} {change.direction}; known: {', '.join(KINDS)}, "
            "each with direction both, up or down"
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
    impairment = {
        "pass": UNIMPAIRED,
        "drop": Impairment(drop=True),
        "stall": Impairment(stall=True),
        "delay": replace(UNIMPAIRED, delay=change.amount),
        "slow": replace(UNIMPAIRED, rate=change.amount),
    }[change.kind]
    if change.kind == "pass":
        relay.accepts = "all"
    relay.impair(impairment if change.direction != "down" else None, impairment if change.direction != "up" else None)


async def run_changes(links: dict[str, Relay], script: list[LinkChange]) -> None:
    """Apply all changes, each at its time after this call."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    for change in sorted(script, key=lambda one: one.at):
        await asyncio.sleep(max(0.0, began + change.at - loop.time()))
        for name in change.links:
            await apply_change(links[name], change)
