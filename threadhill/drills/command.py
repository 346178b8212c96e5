"""`threadhill drill`: plays a scenario file with a progress bar, and prints one line of JSON or also writes a page."""

from __future__ import annotations

import asyncio
import io
import sys
from pathlib import Path
from typing import TextIO

import orjson
import typer

from threadhill.cli_codes import CHANGES, DONE, ERROR
from threadhill.drills.page import render_page
from threadhill.drills.run import run
from threadhill.drills.scenario import InvalidScenario, read


def drill(file: Path, html: Path | None, quiet: bool) -> int:
    """Play the file and return the exit code: 0 passed, 1 failed, 2 unusable file, 130 ended by SIGINT."""
    try:
        scenario = read(file.read_text(), str(file))
    except (OSError, UnicodeDecodeError, InvalidScenario) as error:
        typer.echo(f"threadhill: {error}", err=True)
        return CHANGES
    typer.echo(
        f"{scenario.name}: {scenario.fleet.proxies} proxies, {scenario.fleet.caches} caches, "
        f"{scenario.fleet.seconds:g} s",
        err=True,
    )
    try:
        with typer.progressbar(
            length=int(scenario.fleet.seconds * 10), label="playing", file=_progress_output(quiet)
        ) as bar:
            result = asyncio.run(run(scenario, lambda at: bar.update(max(0, int(at * 10) - bar.pos))))
    except KeyboardInterrupt:
        typer.echo("ended: all that was started has been ended too", err=True)
        return 130
    report = result.report(scenario)
    typer.echo(orjson.dumps(report).decode())
    if html is not None:
        html.write_text(render_page(result, scenario))
    return DONE if report["passed"] else ERROR


def _progress_output(quiet: bool) -> TextIO:
    """Where the progress bar is written: standard error, as standard output holds only the line of JSON."""
    return io.StringIO() if quiet else sys.stderr
