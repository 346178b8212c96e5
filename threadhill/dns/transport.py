"""The sockets of the DNS front: UDP, and length-prefixed messages over TCP (RFC 7766) and TLS (RFC 7858). TCP and TLS
share their code and differ only in the listener."""

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

MAX_QUERY_BYTES = 4 << 10  # names and an OPT are far smaller
MAX_OUTBOUND_BYTES = 64 << 10
IDLE_TIMEOUT = 10_000_000  # microseconds without a query after which a connection is closed
CERTIFICATE_CHECK_INTERVAL = 500_000  # microseconds between checks whether the certificate's files changed
MAX_PENDING_QUERIES = 64  # per connection


class UdpServer(asyncio.DatagramProtocol):
    """The UDP socket."""

    def __init__(self, front: DnsFront) -> None:
        self.front = front
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, peer: Any) -> None:
        self.front.receive(data, lambda response: self.transport.sendto(response, peer), stream=False, peer=peer[0])

    def error_received(self, error: Exception) -> None:
        """An ICMP error: the resolver is gone. It may ask again."""
        self.front.engine.stats.count("dns", "unreachable")


class StreamConnection(AcceptedConnection):
    """One TCP or TLS connection. Queries may be pipelined; responses are sent as they are ready, in any order."""

    idle = IDLE_TIMEOUT

    def __init__(self, front: DnsFront, listener: Listener, secure: bool = False) -> None:
        super().__init__(listener, MAX_QUERY_BYTES + 2, MAX_OUTBOUND_BYTES)
        self.front, self.secure = front, secure
        self.pending: set[int] = set()
        self._reading = True
        self._streams: deque[Iterator[bytes]] = deque()  # transfers in progress; messages are made as the peer reads

    def disconnected(self) -> None:
        for ref in self.pending:
            self.front.cancel(ref)
        self.pending.clear()

    def answer_pending(self) -> bool:
        return bool(self.pending) or bool(self._streams) or self.backlog() > 0

    def message_waiting(self) -> bool:
        return len(self.inbound) >= 2 and len(self.inbound) >= 2 + self._message_size()

    def message_incomplete(self) -> bool:
        return self._reading and len(self.inbound) > 0

    def _message_size(self) -> int:
        return struct.unpack("!H", self.inbound.peek(2))[0]

    def parse(self) -> None:
        while (
            not self._closing and not self.slow and len(self.pending) < MAX_PENDING_QUERIES and len(self.inbound) >= 2
        ):
            size = self._message_size()
            if size > MAX_QUERY_BYTES or size < 12:
                self.front.engine.stats.count("malformed", "dns")
                self.abort()
                return
            if len(self.inbound) < size + 2:
                return
            self.message_received()
            self._receive(self.inbound.take(size + 2)[2:])
        self._throttle()

    def _receive(self, raw: bytes) -> None:
        refs: list[int] = []

        def reply(response: bytes) -> None:
            self.pending.difference_update(refs)
            if self.transport is not None and not self.write(struct.pack("!H", len(response)), response):
                self.abort()
            self._throttle()

        peer = self.transport.get_extra_info("peername") if self.transport is not None else None
        ref = self.front.receive(
            raw, reply, stream=True, peer=peer[0] if peer else "", secure=self.secure, send_stream=self._send_stream
        )
        if ref is not None:
            refs.append(ref)
            self.pending.add(ref)

    def _send_stream(self, messages: Iterator[bytes]) -> None:
        self._streams.append(messages)
        self._write_streams()

    def _write_streams(self) -> None:
        """Write messages of transfers while the peer reads, so that a transfer is never held in memory as a whole."""
        while self._streams and not self.slow and self.transport is not None and not self._closing:
            message = next(self._streams[0], None)
            if message is None:
                self._streams.popleft()
            else:
                self.write(struct.pack("!H", len(message)), message)

    def backlog_changed(self) -> None:
        self._write_streams()
        self._throttle()

    def _throttle(self) -> None:
        """Pause reading while too many queries are pending or the peer reads too slowly, so that the input buffer does
        not fill up. Resume it afterwards."""
        reading = not self.slow and len(self.pending) < MAX_PENDING_QUERIES
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
    """Serves UDP and TCP on one address, and TLS on another if the operator's file has a certificate."""

    def __init__(self, front: DnsFront, log: Callable[[str], None]) -> None:
        self.front = front
        config = front.config
        group = front.connection_group if config.per_network else None
        self.listener = Listener(
            front.engine,
            "dns client",
            config.connections,
            lambda listener: StreamConnection(front, listener),
            log,
            group=group,
            max_per_group=config.per_network,
        )
        self.tls_listener: Listener | None = None
        self.certificate: Certificate | None = None
        if config.tls is not None:
            from threadhill.dns.tls import Certificate

            self.certificate = certificate = Certificate(config.tls.certificate, config.tls.key, log)
            self.tls_listener = Listener(
                front.engine,
                "dns tls client",
                config.connections,
                lambda listener: StreamConnection(front, listener, secure=True),
                log,
                tls_context=lambda: certificate.context,
                group=group,
                max_per_group=config.per_network,
            )

    @property
    def listeners(self) -> list[Listener]:
        """Those for streams: TCP, and TLS if there is a certificate."""
        return [listener for listener in (self.listener, self.tls_listener) if listener is not None]

    async def listen(self) -> str:
        """Listen on UDP and TCP. If the port is 0, TCP uses the port that UDP was given."""
        loop = asyncio.get_running_loop()
        host, port = self.front.config.listen
        for attempts_left in reversed(range(1 if port else 20)):
            udp, _ = await loop.create_datagram_endpoint(lambda: UdpServer(self.front), local_addr=(host, port))
            bound_port = udp.get_extra_info("sockname")[1]
            try:
                await self.listener.listen(host, bound_port)
                break
            except OSError:  # a port that is free for UDP may be in use for TCP: retry with another one
                udp.close()
                if not attempts_left:
                    raise
        return f"{host}:{bound_port}"

    async def listen_tls(self) -> str:
        """Listen for TLS and start polling for new certificates."""
        host, port = self.front.config.tls.listen
        bound_port = await self.tls_listener.listen(host, port)
        self._poll_certificate()
        return f"{host}:{bound_port}"

    def _poll_certificate(self) -> None:
        if self.certificate.reload_if_changed():
            self.front.engine.stats.count("dns", "certificate taken")
        self.front.engine.deadlines.add(
            self.front.engine.clock.now() + CERTIFICATE_CHECK_INTERVAL, self._poll_certificate
        )
