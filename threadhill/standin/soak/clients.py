"""Clients of a soak: connections that carry many requests, and write down what they sent and read."""

from __future__ import annotations

import asyncio
import itertools
import time

from threadhill.standin.resp import message, read_array
from threadhill.standin.soak.record import ClientAnswer, ClientRequest

CROSSES = 0.05  # seconds in which a request and the close of a resting connection may cross


class SoakClient(asyncio.Protocol):
    """One connection to one process."""

    def __init__(self, process: str) -> None:
        self.process = process
        self.copies: dict[tuple[str, int], str] = {}  # object and part -> tag of the copy that this client holds
        self.transport: asyncio.Transport | None = None
        self.open: dict[int, ClientRequest] = {}
        self.answered: dict[int, ClientRequest] = {}
        self.tags = itertools.count(1)
        self.status: asyncio.Future[str] | None = None
        self.gone = False  # this side has left
        self.ended = False
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def ask(self, request: ClientRequest, token: str) -> None:
        """Send a request."""
        tag = next(self.tags)
        fields = (
            f"rid={request.rid},budget={round(request.budget * 1e3)},obj={request.thing},n={request.part},"
            f"shard={request.group},mem=120"
        )
        fields += f",token={token}" if token else ""
        fields += f",mine={request.seen}" if request.seen else ""
        request.crossed = not self.open
        self.open[tag] = request
        request.sent_at = time.monotonic()
        self.transport.write(message(b"ASK", b"%d" % tag, request.cls.encode(), fields.encode(), b""))

    def ask_status(self) -> asyncio.Future[str]:
        """Ask whether the process serves."""
        self.status = asyncio.get_running_loop().create_future()
        self.transport.write(message(b"STATUS", b"%d" % next(self.tags), b""))
        return self.status

    def withdraw(self, request: ClientRequest) -> None:
        """Give one request up."""
        for tag, one in self.open.items():
            if one is request and not self.ended:
                request.left_at = request.left_at or time.monotonic()
                self.transport.write(message(b"NEVERMIND", b"%d" % tag))

    def leave(self, reset: bool) -> None:
        """Close the connection, whatever is open on it."""
        self.gone = True
        for request in self.open.values():
            request.left_at = request.left_at or time.monotonic()
        if self.transport is not None:
            self.transport.abort() if reset else self.transport.close()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        try:
            while (found := read_array(self._buffer)) is not None:
                words, size = found
                self._buffer = self._buffer[size:]
                self._take(words)
        except (ValueError, IndexError):
            for request in self.open.values():
                request.answers.append(ClientAnswer(time.monotonic(), "unreadable", False, b""))

    def _take(self, words: list[bytes]) -> None:
        tag, word = int(words[0]), words[1].decode()
        if word in ("serving", "not_serving") and self.status is not None and not self.status.done():
            self.status.set_result(word)
            return
        request = self.open.pop(tag, None) or self.answered.get(tag)
        if request is None:
            return
        self.answered[tag] = request
        body = words[3] if len(words) > 3 else b""
        same = b"still=1" in (words[2] if len(words) > 2 else b"")
        request.answers.append(ClientAnswer(time.monotonic(), word, same, body))
        if word == "200" and b"@" in body:
            born = int(body.partition(b"@")[2].partition(b";")[0])
            self.copies[request.thing, request.part] = f"{born:x}"

    def connection_lost(self, error: Exception | None) -> None:
        now = time.monotonic()
        self.ended = True
        if self.status is not None and not self.status.done():
            self.status.set_result("closed")
        for request in self.open.values():
            if not self.gone:
                request.closed_at = now
                request.crossed = request.crossed and len(self.open) == 1 and now - request.sent_at <= CROSSES
