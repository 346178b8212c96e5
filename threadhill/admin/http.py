"""A small HTTP/1.1 server for the APIs: requests with a Content-Length, bodies and answers in JSON."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import orjson

from threadhill.net.listener import AcceptedConnection, Listener

MAX_HEAD = 8 << 10  # bytes of the request line and headers
MAX_BODY = 1 << 20  # bytes
IDLE_TIMEOUT_US = 10_000_000  # a connection without a request for this long is closed
REASONS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    429: "Too Many Requests",
    405: "Method Not Allowed",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    507: "Insufficient Storage",
    501: "Not Implemented",
    505: "HTTP Version Not Supported",
}


class Problem(Exception):
    """An error answer: `{"error":{"code":…,"message":…}}` with optional further details."""

    def __init__(self, status: int, code: str, message: str, allow: str = "", **more: Any) -> None:
        super().__init__(message)
        self.status, self.allow = status, allow
        self.body = {"error": {"code": code, "message": message, **more}}


@dataclass(frozen=True, slots=True)
class Call:
    """One complete request."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    caller: Any = None  # the key that authenticated it; None with a shared token or none

    def json(self) -> Any:
        try:
            return orjson.loads(self.body)
        except ValueError as error:
            raise Problem(400, "not-json", f"the body is not JSON: {error}") from None


Handler = Callable[[Call], tuple[int, Any]]


class Authenticator(Protocol):
    """Authenticates callers by individual keys."""

    def authenticate(self, headers: dict[str, str], peer: str) -> Any:
        """Return the caller; raises Problem if the credentials are not valid."""
        ...


def read_head(raw: bytes) -> tuple[str, str, dict[str, str]]:
    """Parse method, path and headers; header names are in lower case."""
    lines = raw.decode("latin-1").split("\r\n")
    words = lines[0].split(" ")
    if len(words) != 3 or not words[0].isalpha() or not words[1].startswith("/"):
        raise Problem(400, "bad-request", "malformed request line")
    if words[2] not in ("HTTP/1.0", "HTTP/1.1"):
        raise Problem(505, "bad-version", "only HTTP/1.0 and HTTP/1.1 are supported")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise Problem(400, "bad-request", "malformed header line")
        if name.lower() in headers and name.lower() in ("content-length", "authorization", "host"):
            raise Problem(400, "bad-request", f"duplicate header {name}")
        headers[name.lower()] = value.strip()
    return words[0], words[1], headers


class HttpConnection(AcceptedConnection):
    """One connection; pipelined requests are answered in order."""

    idle = IDLE_TIMEOUT_US

    def __init__(
        self,
        auth: str | Authenticator | None,
        handler: Handler,
        listener: Listener,
        max_body: int = MAX_BODY,
        single_call: bool = False,
    ) -> None:
        super().__init__(listener, MAX_HEAD + max_body, 4 * max_body)
        # auth None: no authentication, for an address that only operators reach. single_call: close after one call.
        self._auth, self._handler, self._max_body, self._single_call = auth, handler, max_body, single_call
        self._head: tuple[str, str, dict[str, str]] | None = None
        self._length = 0
        self._caller: Any = None

    def answer_pending(self) -> bool:
        return self.backlog() > 0

    def message_incomplete(self) -> bool:
        return not self.slow and (len(self.inbound) > 0 or self._head is not None)

    def parse(self) -> None:
        try:
            while not self._closing and not self.slow and self._next():
                self.message_received()
        except Problem as problem:  # the end of the faulty request is unknown: read nothing after it
            self._send(problem.status, problem.body, keep=False)

    def backlog_changed(self) -> None:
        if self.transport is not None and not self.slow and len(self.inbound):
            self.process_input()

    def _next(self) -> bool:
        """Answer one request if it has arrived completely."""
        if self._head is None:
            raw = self.inbound.peek(MAX_HEAD)
            end = raw.find(b"\r\n\r\n")
            if end < 0:
                if len(raw) >= MAX_HEAD:
                    raise Problem(431, "head-too-large", f"the request head is larger than {MAX_HEAD} bytes")
                return False
            self._head = read_head(raw[:end])
            self._length = self._body_length(self._head[2])
            self.inbound.skip(end + 4)
            # Before the body is buffered, so that unauthenticated callers use no memory for it.
            self._authorize(self._head[2])
            if self._head[2].get("expect", "").lower() == "100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.bytes_needed = max(1, self._length)
        if len(self.inbound) < self._length:
            return False
        method, path, headers = self._head
        self._head, self.bytes_needed = None, 1
        call = Call(method, path, headers, self.inbound.take(self._length), self._caller)
        keep = headers.get("connection", "").lower() != "close" and not self._single_call
        allow = ""
        try:
            status, body = self._handler(call)
        except Problem as problem:
            status, body, allow = problem.status, problem.body, problem.allow
        self._send(status, body, keep, allow)
        return True

    def _body_length(self, headers: dict[str, str]) -> int:
        if "transfer-encoding" in headers:
            raise Problem(501, "no-transfer-encoding", "send the body with a Content-Length")
        text = headers.get("content-length", "0")
        if not text.isascii() or not text.isdigit():
            raise Problem(400, "bad-request", "Content-Length is not a number")
        if len(text) > 9 or int(text) > self._max_body:
            raise Problem(413, "body-too-large", f"the body is larger than {self._max_body} bytes")
        return int(text)

    def _authorize(self, headers: dict[str, str]) -> None:
        if self._auth is None:
            return
        if not isinstance(self._auth, str):
            peer = self.transport.get_extra_info("peername") if self.transport is not None else None
            self._caller = self._auth.authenticate(headers, peer[0] if peer else "")
            return
        scheme, _, token = headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not hmac.compare_digest(token.strip().encode(), self._auth.encode()):
            raise Problem(401, "unauthorized", "a valid bearer token is required")

    def _send(self, status: int, body: Any, keep: bool, allow: str = "") -> None:
        text = isinstance(body, bytes)  # metrics are sent as lines of text, everything else as JSON
        raw = b"" if status == 204 else body if text else orjson.dumps(body)
        lines = [f"HTTP/1.1 {status} {REASONS[status]}", f"Content-Length: {len(raw)}"]
        if raw:
            lines.append("Content-Type: " + ("text/plain; charset=utf-8" if text else "application/json"))
        if status == 401:
            lines.append('WWW-Authenticate: Bearer realm="threadhill"')
        if allow:
            lines.append(f"Allow: {allow}")
        if not keep:
            lines.append("Connection: close")
        self.write("\r\n".join(lines).encode() + b"\r\n\r\n", raw)
        if not keep:
            self.close()
