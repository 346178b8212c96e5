"""A client of the platform's front: concurrent RESP requests over one connection."""

from __future__ import annotations

import asyncio
import itertools
import os
from collections import Counter
from typing import Any

import orjson
import typer

from threadhill.settings import Malformed, address
from threadhill.standin.resp import message, read_array
from threadhill.standin.servers import body_of

Answer = tuple[str, dict[str, str], bytes]


class Client(asyncio.Protocol):
    """One connection. `ask` returns the future of an answer: status, fields, body."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.tags = itertools.count(1)
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.duplicate_answers = 0  # answers to requests that were answered already or never sent
        self.lost = False

    @classmethod
    async def connect(cls, host: str, port: int) -> Client:
        _, client = await asyncio.get_running_loop().create_connection(cls, host, port)
        return client

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(ConnectionResetError("the proxy ended the connection"))

    def send(self, *items: bytes) -> asyncio.Future[Answer]:
        tag = next(self.tags)
        self.transport.write(message(items[0], b"%d" % tag, *items[1:]))
        future = self.waiting[tag] = asyncio.get_running_loop().create_future()
        return future

    def ask(
        self, cls: str, obj: str, part: int = 0, budget: int = 3_000, body: bytes = b"", **more: Any
    ) -> asyncio.Future[Answer]:
        fields = {"rid": os.urandom(8).hex(), "budget": budget, "obj": obj, "n": part, "shard": int(obj[:2], 16)} | more
        return self.send(b"ASK", cls.encode(), ",".join(f"{k}={v}" for k, v in fields.items()).encode(), body)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while (found := read_array(self.buffer)) is not None:
            items, size = found
            self.buffer = self.buffer[size:]
            future = self.waiting.pop(int(items[0]), None)
            if future is None:
                self.duplicate_answers += 1
            elif not future.done():
                text = items[2].decode() if len(items) > 2 else ""
                fields = dict(pair.split("=", 1) for pair in text.split(",") if "=" in pair)
                future.set_result((items[1].decode(), fields, items[3] if len(items) > 3 else b""))

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()


def ask(proxy: str, cls: str, obj: str, part: int, count: int, budget: int, tenant: str, json: bool) -> int:
    """Send the requests, print the answers and return the exit code."""
    try:
        host, port = address(proxy, "--proxy")
        if len(obj) != 16 or set(obj) - set("0123456789abcdef"):
            raise Malformed("OBJECT must be 16 hex digits, as in 7f3a9c21e0b4d655")
        results = asyncio.run(_ask(host, port, cls, obj, part, count, budget, tenant))
    except (Malformed, OSError, TimeoutError) as error:
        typer.echo(f"threadhill: {proxy}: {error}", err=True)
        return 1
    counts = Counter(answer["answer"] for answer in results)
    if json:
        typer.echo(orjson.dumps({"answers": results, "words": counts}).decode())
    else:
        for answer in results[:20]:
            typer.echo(
                f"{answer['answer']}  {answer['ms']:.1f} ms  {answer['bytes']} bytes"
                + (f"  come back in {answer['backoff']} ms" if answer["backoff"] else "")
                + ("" if answer["right"] else "  (not what the stand-ins hold for it)")
            )
        typer.echo(", ".join(f"{number} x {result}" for result, number in sorted(counts.items())))
    return 0 if set(counts) == {"served"} else 1


async def _ask(
    host: str, port: int, cls: str, obj: str, part: int, count: int, budget: int, tenant: str
) -> list[dict[str, Any]]:
    result_names = {"200": "served", "503": "refused"}
    loop = asyncio.get_running_loop()
    client = await Client.connect(host, port)
    results = []
    tenant_field = {"acct": tenant} if tenant else {}
    token_field = {"token": os.urandom(16).hex()}
    for _ in range(count):
        began = loop.time()
        async with asyncio.timeout(budget / 1e3 + 5):
            status, fields, body = await client.ask(cls, obj, part, budget, **tenant_field, **token_field)
        right = status != "200" or body == body_of(obj, str(part))
        results.append(
            {
                "answer": result_names.get(status, "failed"),
                "ms": (loop.time() - began) * 1e3,
                "bytes": len(body),
                "backoff": fields.get("backoff", ""),
                "right": right,
            }
        )
    client.close()
    return results
