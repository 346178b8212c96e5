"""The command line."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Any, NoReturn

import orjson
import typer

from threadhill import __version__, config

app = typer.Typer(add_completion=False, no_args_is_help=True, pretty_exceptions_enable=False,
                  help="A steering proxy for caches that fill from parents and an origin.")

Address = Annotated[str, typer.Option("--admin", envvar="THREADHILL_ADMIN", help="host:port of the API")]
Token = Annotated[str, typer.Option("--token", envvar="THREADHILL_TOKEN", help="its bearer token")]
File = Annotated[Path, typer.Argument(help="TOML or JSON with the tenants that there should be")]

Operator = Annotated[Path | None, typer.Option(envvar="THREADHILL_OPERATOR",
                                               help="the operator's file: DNS front, API, tenants")]


def _fail(error: Exception) -> NoReturn:
    typer.echo(f"threadhill: {error}", err=True)
    raise typer.Exit(2)


@app.command()
def serve(operator: Operator = None) -> None:
    """Run one steering proxy, as LB_NAME, LB_LISTEN and LB_CONFIG say, until SIGTERM."""
    from threadhill.serve import serve as run

    try:
        loaded = config.load(os.environ)
        if operator is None:
            run(loaded, None)
        else:
            from threadhill.operators import load_operator

            run(loaded, load_operator(operator))
    except config.BadConfig as error:
        _fail(error)


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"threadhill {__version__}")


@app.command()
def stats(admin: Address, token: Token) -> None:
    """Print the counters of a running proxy as JSON. SIGUSR1 makes it print them itself."""
    table = _asked(lambda client: client.call(admin, token, "GET", "/v1/stats"))
    typer.echo(orjson.dumps(table, option=orjson.OPT_INDENT_2).decode())


@app.command()
def plan(file: File, admin: Address, token: Token,
         json: Annotated[bool, typer.Option("--json", help="print JSON")] = False) -> None:
    """Print what applying FILE would change, and the state version that this holds for."""
    _print(_asked(lambda client: client.plan(admin, token, file)), json)


@app.command()
def apply(file: File, admin: Address, token: Token,
          on: Annotated[int | None, typer.Option("--on", help="the state version that was planned on")] = None,
          json: Annotated[bool, typer.Option("--json", help="print JSON")] = False) -> None:
    """Make FILE's tenants the running ones. Does nothing where they are already."""
    _print(_asked(lambda client: client.apply(admin, token, file, on)), json)


def _asked(ask: Any) -> Any:
    from threadhill.admin import client, document

    try:
        return ask(client)
    except (client.Failed, document.Invalid) as error:
        _fail(error)


def _print(result: dict[str, Any], json: bool) -> None:
    from threadhill.admin import client

    typer.echo(orjson.dumps(result).decode() if json else client.told(result))
