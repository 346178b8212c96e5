"""`threadhill drill`: the file in, a progress bar while it plays, one line of JSON and a page out."""

from __future__ import annotations

import asyncio
import io
import sys
from pathlib import Path
from typing import TextIO

import orjson
import typer

from threadhill.cli_codes import CHANGES, DONE, ERROR
from threadhill.drills.page import page
from threadhill.drills.run import run
from threadhill.drills.scenario import Faulty, read


def drill(file: Path, html: Path | None, quiet: bool) -> int:
    """Play the file; the exit code: 0 passed, 1 failed, 2 a file that can't be used, 130 ended by SIGINT."""
    try:
        scenario = read(file.read_text(), str(file))
    except (OSError, UnicodeDecodeError, Faulty) as error:
        typer.echo(f"threadhill: {error}", err=True)
        return CHANGES
    typer.echo(
        f"{scenario.name}: {scenario.fleet.proxies} proxies, {scenario.fleet.caches} caches, "
        f"{scenario.fleet.seconds:g} s",
        err=True,
    )
    try:
        with typer.progressbar(length=int(scenario.fleet.seconds * 10), label="playing", file=_bar(quiet)) as bar:
            shown = asyncio.run(run(scenario, lambda at: bar.update(max(0, int(at * 10) - bar.pos))))
    except KeyboardInterrupt:
        typer.echo("ended: all that was started has been ended too", err=True)
        return 130
    told = shown.told(scenario)
    typer.echo(orjson.dumps(told).decode())
    if html is not None:
        html.write_text(page(shown, scenario))
    return DONE if told["passed"] else ERROR


def _bar(quiet: bool) -> TextIO:
    """Where the bar goes: standard error, so that standard output is the one line."""
    return io.StringIO() if quiet else sys.stderr
