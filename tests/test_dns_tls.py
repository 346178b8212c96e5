"""Tests of DNS over TLS: new certificates while connections are open, file permissions of keys, connection quotas."""

from __future__ import annotations

import asyncio
import os
import ssl
import struct
from pathlib import Path

import pytest
import trustme

from tests.harness import ProxyHarness, until
from tests.test_dns import NAME, NOERROR, OPERATOR, Reply, query, run_scenario

TLS = """
[dns.tls]
listen = "127.0.0.1:0"
certificate = "chain.pem"
key = "key.pem"
"""


def issue_certificate(folder: Path, authority: trustme.CA, mode: int = 0o600) -> None:
    """Write a new certificate for 127.0.0.1 to the operator's files, each replaced atomically."""
    made = authority.issue_cert("127.0.0.1")
    made.private_key_pem.write_to_path(folder / "new")
    os.chmod(folder / "new", mode)
    os.replace(folder / "new", folder / "key.pem")
    (folder / "new").write_bytes(b"".join(blob.bytes() for blob in made.cert_chain_pems))
    os.replace(folder / "new", folder / "chain.pem")


def trust_context(*authorities: trustme.CA) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)  # without the system's CA certificates
    for authority in authorities:
        authority.configure_trust(context)
    return context


async def ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> Reply:
    writer.write(struct.pack("!H", len(query(NAME))) + query(NAME))
    return Reply(await reader.readexactly(struct.unpack("!H", await reader.readexactly(2))[0]))


def test_a_new_certificate_is_loaded_without_closing_200_connections(tmp_path: Path) -> None:
    first, second = trustme.CA(), trustme.CA()
    issue_certificate(tmp_path, first)

    async def scenario(w: ProxyHarness, _: object) -> None:
        port = await w.listening_port("dns tls")
        trust = trust_context(first)
        connections = [await asyncio.open_connection("127.0.0.1", port, ssl=trust) for _ in range(200)]
        assert {reply.code for reply in await asyncio.gather(*(ask(*one) for one in connections))} <= {0, 2}
        issue_certificate(tmp_path, second, mode=0o644)
        await w.logged("chmod 600")  # others may read the key: it is logged, and the old pair stays in use
        old = await asyncio.open_connection("127.0.0.1", port, ssl=trust_context(first))
        issue_certificate(tmp_path, second)
        await w.logged("new certificate taken")
        with pytest.raises(ssl.SSLCertVerificationError):
            await asyncio.open_connection("127.0.0.1", port, ssl=trust_context(first))
        new = await asyncio.open_connection("127.0.0.1", port, ssl=trust_context(second))
        assert len([await ask(*one) for one in (*connections, old, new)]) == 202
        for _, writer in (*connections, old, new):
            writer.transport.abort()

    run_scenario(
        tmp_path, scenario, OPERATOR.replace("deadline_ms = 400", "deadline_ms = 400\nconnections = 250") + TLS
    )


def test_connections_without_a_handshake_or_over_the_quota_of_a_network_are_closed(tmp_path: Path) -> None:
    authority = trustme.CA()
    issue_certificate(tmp_path, authority)
    operator = OPERATOR.replace('trusted = ["127.0.0.1/32"]', "per_network = 3") + TLS

    async def scenario(w: ProxyHarness, _: object) -> None:
        port = await w.listening_port("dns tls")
        silent = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        with pytest.raises((ConnectionError, ssl.SSLError)):  # the fourth of this network
            await asyncio.open_connection("127.0.0.1", port, ssl=trust_context(authority))
        for reader, _ in silent:  # a connection that never completes the handshake is closed and leaves the quota
            assert await reader.read() == b""
        await until(lambda: w.counter("dns tls client", "no handshake, ConnectionAbortedError") >= 3, "their ends")
        for _ in range(5):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, ssl=trust_context(authority))
            assert (await ask(reader, writer)).code == NOERROR
            writer.close()
            await writer.wait_closed()

    run_scenario(tmp_path, scenario, operator)


@pytest.mark.parametrize(
    ("spoil", "told"),
    [
        (lambda folder: os.chmod(folder / "key.pem", 0o640), "chmod 600"),
        (lambda folder: (folder / "chain.pem").write_text("nothing"), "not a certificate chain and its key"),
        (lambda folder: (folder / "key.pem").unlink(), "No such file"),
    ],
)
def test_an_unusable_certificate_or_key_stops_the_start_with_a_reason(tmp_path: Path, spoil, told: str) -> None:
    issue_certificate(tmp_path, trustme.CA())
    spoil(tmp_path)

    async def scenario() -> None:
        world = ProxyHarness(tmp_path, operator=OPERATOR + TLS)
        for listener in [*world.boxes, world.journal]:
            await listener.start()
        world.journal.hosts(*(box.member() for box in world.boxes), complete=True)
        world.configure()
        process = await world.start()
        _, log = await process.communicate()
        assert process.returncode == 2 and told in log.decode() and "Traceback" not in log.decode()

    asyncio.run(scenario())
