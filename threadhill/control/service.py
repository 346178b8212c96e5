"""Commands that run a control plane or handle its store. They load none of the libraries that read files."""

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


def told(command: Callable[..., None]) -> Callable[..., None]:
    """Faults that a user can mend are told in a line."""

    @wraps(command)
    def run(*words: Any) -> None:
        try:
            command(*words)
        except (StoreDamaged, WriteFailed, Malformed, OSError) as error:
            typer.echo(f"threadhill: {error}", err=True)
            raise typer.Exit(ERROR) from None

    return run


@told
def control(
    data: Path, token: str, api: str, feed: str, json: bool, adopt: bool, member: str, members: Path | None
) -> None:
    from threadhill.control.server import Places, serve

    if len(token) < 16:
        raise Malformed("--token or THREADHILL_TOKEN must have 16 characters at least")
    if members is not None:
        from threadhill.control.members_file import read

        file = read(members)
        me = next((one for one in file[0].members if one.name == member), None)
        if me is None:
            raise Malformed(f"{members} names no member {member!r}: give one of its names with --member")
        if adopt:
            raise Malformed("--adopt is for one control plane alone: adopt there, then add members")
        serve(Places(data, address(me.api, "api"), address(me.feed, "feed"), token, False, member, file), json)
        return
    serve(Places(data, _loopback(api, "--api"), _loopback(feed, "--feed"), token, adopt), json)


def _loopback(text: str, what: str) -> tuple[str, int]:
    host, port = address(text, what)
    if not host.startswith("127.") and host != "::1":
        raise Malformed(f"{what} {text}: loopback only, while there is no TLS: use 127.0.0.1:{port}")
    return host, port


@told
def snapshot(data: Path, file: Path) -> None:
    sqlite.write_snapshot(data, file)
    typer.echo(f"{file}: {file.stat().st_size} bytes, checked")


@told
def snapshots(data: Path, every: float, count: int) -> None:
    """Take snapshots by age until SIGINT or SIGTERM, or so many. One that fails is told, and tried again."""
    import threading

    ends = threading.Event()
    for signum in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signum, lambda *_: ends.set())
    taken = failed = 0
    while not ends.is_set():
        try:
            path, gone = sqlite.take_periodic_snapshot(data, unix_seconds())
            typer.echo(f"{path}: checked" + (f"; {len(gone)} older ones let go" if gone else ""))
            taken, failed = taken + 1, 0
        except (StoreDamaged, WriteFailed, OSError) as error:
            typer.echo(f"threadhill: {error}", err=True)
            failed += 1
            if count:
                raise
        if count and taken >= count:
            return
        ends.wait(every)


@told
def restore(data: Path, file: Path) -> None:
    meta = sqlite.restore(data, file)
    typer.echo(
        f"{data}: state version {meta['version']}; event numbers go on from {meta['pos'] + 1}. What was there "
        f"is kept as {data}/replaced.{sqlite.STORE_FILE}. If a proxy knows newer events than the snapshot, nothing is "
        "told until you decide: see `threadhill recovery status`"
    )
