"""The DNS front on sockets: UDP datagrams, and messages behind their length over TCP (RFC 7766) and TLS (RFC 7858),
which share one path: the same guest, only its door has a certificate."""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from threadhill.dns.front import DnsFront
from threadhill.net.listener import AcceptedConnection, Listener

if TYPE_CHECKING:
    from threadhill.dns.tls import Certificate

MOST = 4 << 10  # bytes of a query at most: names and an OPT are far smaller
OUTBOUND = 64 << 10
IDLE = 10_000_000  # microseconds without a query after which a connection is closed
CERTIFICATE_LOOK = 500_000  # microseconds between looks whether the certificate's files changed
OPEN = 64  # queries of one connection under way


class Udp(asyncio.DatagramProtocol):
    """All queries over UDP."""

    def __init__(self, front: DnsFront) -> None:
        self.front = front
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, peer: Any) -> None:
        self.front.take(data, lambda response: self.transport.sendto(response, peer), stream=False, peer=peer[0])

    def error_received(self, error: Exception) -> None:
        """A resolver that is no longer there: it asks again or does not."""
        self.front.engine.stats.count("dns", "unreachable")


class Tcp(AcceptedConnection):
    """One connection; queries may follow each other without waiting, answers come as they are ready."""

    idle = IDLE

    def __init__(self, front: DnsFront, door: Listener, secure: bool = False) -> None:
        super().__init__(door, MOST + 2, OUTBOUND)
        self.front, self.secure = front, secure
        self.open: set[int] = set()
        self._reading = True
        self._more: deque[Iterator[bytes]] = deque()  # messages still to be made, as the peer takes them

    def disconnected(self) -> None:
        for ref in self.open:
            self.front.forget(ref)
        self.open.clear()

    def answer_pending(self) -> bool:
        return bool(self.open) or bool(self._more) or self.backlog() > 0

    def message_incomplete(self) -> bool:
        return self._reading and len(self.inbound) > 0

    def parse(self) -> None:
        while not self._closing and not self.slow and len(self.open) < OPEN and len(self.inbound) >= 2:
            size = struct.unpack("!H", self.inbound.peek(2))[0]
            if size > MOST or size < 12:
                self.front.engine.stats.count("malformed", "dns")
                self.abort()
                return
            if len(self.inbound) < size + 2:
                return
            self.message_received()
            self._take(self.inbound.take(size + 2)[2:])
        self._throttle()

    def _take(self, raw: bytes) -> None:
        refs: list[int] = []

        def reply(response: bytes) -> None:
            self.open.difference_update(refs)
            if self.transport is not None and not self.write(struct.pack("!H", len(response)), response):
                self.abort()
            self._throttle()

        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        ref = self.front.take(
            raw, reply, stream=True, peer=peer[0] if peer else "", secure=self.secure, several=self._several
        )
        if ref is not None:
            refs.append(ref)
            self.open.add(ref)

    def _several(self, messages: Iterator[bytes]) -> None:
        self._more.append(messages)
        self._feed()

    def _feed(self) -> None:
        """Write on while the peer reads: a transfer is never held whole in memory."""
        while self._more and not self.slow and self.transport is not None and not self._closing:
            message = next(self._more[0], None)
            if message is None:
                self._more.popleft()
            else:
                self.write(struct.pack("!H", len(message)), message)

    def backlog_changed(self) -> None:
        self._feed()
        self._throttle()

    def _throttle(self) -> None:
        """Read on while there is room for answers: what is not taken must not fill the ring."""
        reading = not self.slow and len(self.open) < OPEN
        if reading == self._reading or self.transport is None or self._closing:
            return
        self._reading = reading
        if reading:
            self.transport.resume_reading()
            asyncio.get_running_loop().call_soon(self._resume)
        else:
            self.transport.pause_reading()

    def _resume(self) -> None:
        if self.transport is not None and not self._closing:
            self.process_input()


class DnsServer:
    """UDP and TCP on one address, TLS on another where the operator's file names a certificate."""

    def __init__(self, front: DnsFront, log: Callable[[str], None]) -> None:
        self.front = front
        config = front.config
        group = front.group if config.per_network else None
        self.door = Listener(
            front.engine,
            "dns client",
            config.connections,
            lambda door: Tcp(front, door),
            log,
            group=group,
            max_per_group=config.per_network,
        )
        self.secure: Listener | None = None
        self.certificate: Certificate | None = None
        if config.tls is not None:
            from threadhill.dns.tls import Certificate

            self.certificate = own = Certificate(config.tls.certificate, config.tls.key, log)
            self.secure = Listener(
                front.engine,
                "dns tls client",
                config.connections,
                lambda door: Tcp(front, door, secure=True),
                log,
                tls_context=lambda: own.context,
                group=group,
                max_per_group=config.per_network,
            )

    async def listen(self) -> str:
        """Listen; where the port is 0, TCP takes the one that UDP was given."""
        loop = asyncio.get_running_loop()
        host, port = self.front.config.listen
        for left in reversed(range(1 if port else 20)):
            udp, _ = await loop.create_datagram_endpoint(lambda: Udp(self.front), local_addr=(host, port))
            given = udp.get_extra_info("sockname")[1]
            try:
                await self.door.listen(host, given)
                break
            except OSError:  # a port that is free for UDP may be in use for TCP: another is asked for
                udp.close()
                if not left:
                    raise
        return f"{host}:{given}"

    async def listen_tls(self) -> str:
        """Listen for TLS, and look for new certificates from then on."""
        host, port = self.front.config.tls.listen
        given = await self.secure.listen(host, port)
        self._look()
        return f"{host}:{given}"

    def _look(self) -> None:
        if self.certificate.reload_if_changed():
            self.front.engine.stats.count("dns", "certificate taken")
        self.front.engine.deadlines.add(self.front.engine.clock.now() + CERTIFICATE_LOOK, self._look)
