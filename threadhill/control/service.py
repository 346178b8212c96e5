"""Commands that run a control plane or manage its store. They load none of the libraries that parse configurations."""

from __future__ import annotations

import signal
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any

import typer

from threadhill.cli_codes import ERROR
from threadhill.control import sqlite
from threadhill.control.store import StoreDamaged, WriteFailed
from threadhill.core.clock import unix_seconds
from threadhill.settings import Malformed, address


def reports_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Print errors that a user can correct as one line, and exit with a code; other exceptions are program faults."""

    @wraps(command)
    def run(*arguments: Any) -> None:
        try:
            command(*arguments)
        except (StoreDamaged, WriteFailed, Malformed, OSError) as error:
            typer.echo(f"threadhill: {error}", err=True)
            raise typer.Exit(ERROR) from None

    return run


@reports_errors
def control(
    data: Path, token: str, api: str, feed: str, json: bool, adopt: bool, member: str, members: Path | None
) -> None:
    from threadhill.control.server import ServerConfig, serve

    if len(token) < 16:
        raise Malformed("--token or THREADHILL_TOKEN must have at least 16 characters")
    if members is not None:
        from threadhill.control.members_file import read

        file = read(members)
        own = next((one for one in file[0].members if one.name == member), None)
        if own is None:
            raise Malformed(f"{members} names no member {member!r}: give one of its names with --member")
        if adopt:
            raise Malformed("--adopt works without --members only: adopt there, then add members")
        serve(ServerConfig(data, address(own.api, "api"), address(own.feed, "feed"), token, False, member, file), json)
        return
    serve(ServerConfig(data, _loopback(api, "--api"), _loopback(feed, "--feed"), token, adopt), json)


def _loopback(text: str, what: str) -> tuple[str, int]:
    host, port = address(text, what)
    if not host.startswith("127.") and host != "::1":
        raise Malformed(f"{what} {text}: only loopback addresses, since there is no TLS: use 127.0.0.1:{port}")
    return host, port


@reports_errors
def snapshot(data: Path, file: Path) -> None:
    sqlite.write_snapshot(data, file)
    typer.echo(f"{file}: {file.stat().st_size} bytes, checked")


@reports_errors
def snapshots(data: Path, every: float, count: int) -> None:
    """Take a snapshot every so many seconds until SIGINT or SIGTERM, or until `count` are taken. A failed one is
    reported and, unless `count` is given, tried again."""
    import threading

    stopped = threading.Event()
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, lambda *_: stopped.set())
    taken = failed = 0
    while not stopped.is_set():
        try:
            path, deleted = sqlite.take_periodic_snapshot(data, unix_seconds())
            typer.echo(f"{path}: checked" + (f"; {len(deleted)} older snapshots deleted" if deleted else ""))
            taken, failed = taken + 1, 0
        except (StoreDamaged, WriteFailed, OSError) as error:
            typer.echo(f"threadhill: {error}", err=True)
            failed += 1
            if count:
                raise
        if count and taken >= count:
            return
        stopped.wait(every)


@reports_errors
def restore(data: Path, file: Path) -> None:
    meta = sqlite.restore(data, file)
    typer.echo(
        f"{data}: state version {meta['version']}; event numbers continue from {meta['pos'] + 1}. The replaced store "
        f"is kept as {data}/replaced.{sqlite.STORE_FILE}. If a proxy knows newer events than the snapshot, nothing is "
        "published until you decide: see `threadhill recovery status`"
    )
