"""The command line."""

from __future__ import annotations

import os

import typer

from threadhill import config

app = typer.Typer(add_completion=False, no_args_is_help=True, help="A steering proxy for caches that fill.")


@app.command()
def serve() -> None:
    """Run one steering proxy, as LB_NAME, LB_LISTEN and LB_CONFIG say, until SIGTERM."""
    from threadhill.net.serve import serve as run

    try:
        told = config.load(os.environ)
    except config.BadConfig as error:
        typer.echo(f"threadhill: {error}", err=True)
        raise typer.Exit(2) from None
    run(told)


@app.command()
def version() -> None:
    """Print the version."""
    from threadhill import __version__

    typer.echo(f"threadhill {__version__}")
