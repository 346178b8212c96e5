"""The command line. Each command imports its modules when it is called, to keep the start of a proxy small.

Exit codes (cli_codes.py): 0 done, or nothing to do; 1 an error, printed on standard error; 2 `plan`: there are changes
(with files of tenants, and for invalid arguments: an error); 3 an apply halted and stays open; 4 a conflict.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from types import ModuleType
from typing import Annotated, Any, NoReturn

import orjson
import typer

from threadhill import __version__
from threadhill.cli_codes import CHANGES, ERROR
from threadhill.core.clock import unix_seconds

app = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
    help="A steering proxy for caches that fill from parents and an origin, and its control plane.",
)
state_app = typer.Typer(no_args_is_help=True, help="Snapshots of a control plane's store.")
app.add_typer(state_app, name="state")
member_app = typer.Typer(no_args_is_help=True, help="Add and remove members of a control plane.")
app.add_typer(member_app, name="member")
owner_app = typer.Typer(no_args_is_help=True, help="The member that owns the fleet's work.")
app.add_typer(owner_app, name="owner")
recovery_app = typer.Typer(no_args_is_help=True, help="Recovery of a fleet or a control plane.")
app.add_typer(recovery_app, name="recovery")
dns_app = typer.Typer(no_args_is_help=True, help="A proxy's DNS front.")
app.add_typer(dns_app, name="dns")

overload_app = typer.Typer(no_args_is_help=True, help="A proxy's overload control.")
app.add_typer(overload_app, name="overload")
key_app = typer.Typer(no_args_is_help=True, help="Zones' signing keys; a running proxy loads each change itself.")
dns_app.add_typer(key_app, name="key")

Zone = Annotated[str, typer.Argument(help="the zone's name")]
Keys = Annotated[Path, typer.Option("--keys", envvar="THREADHILL_KEYS", help="the folder with the keys")]
Force = Annotated[bool, typer.Option("--force", help="at once, even if resolvers still cache old records")]
Address = Annotated[str, typer.Option("--admin", envvar="THREADHILL_ADMIN", help="host:port of a proxy's API")]
Token = Annotated[str, typer.Option("--token", envvar="THREADHILL_TOKEN", help="the bearer token")]
OptionalAddress = Annotated[
    str, typer.Option("--admin", envvar="THREADHILL_ADMIN", help="host:port of a proxy's API, for a file of tenants")
]
ControlAddress = Annotated[
    str, typer.Option("--control", envvar="THREADHILL_CONTROL", help="host:port of the control plane")
]
Operator = Annotated[
    Path | None, typer.Option(envvar="THREADHILL_OPERATOR", help="the operator's file: DNS front, API, tenants")
]
Json = Annotated[bool, typer.Option("--json", help="print JSON")]
Vars = Annotated[list[str], typer.Option("--var", "-var", help="NAME=VALUE of a variable; may be given again")]
VarFiles = Annotated[list[Path], typer.Option("--var-file", "-var-file", help="a file of NAME = VALUE lines")]
Data = Annotated[Path, typer.Option("--data", envvar="THREADHILL_DATA", help="the control plane's folder")]
DEFAULT_CONTROL = "127.0.0.1:7400"


def _fail(error: object, code: int = ERROR) -> NoReturn:
    typer.echo(f"threadhill: {error}", err=True)
    raise typer.Exit(code)


def _print_json(value: Any) -> None:
    typer.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def _is_tenants(path: Path) -> bool:
    """Whether this is a file of tenants, in TOML or JSON, for a proxy's API."""
    if path.suffix == ".toml":
        return True
    if path.suffix != ".json":
        return False
    try:
        raw = orjson.loads(path.read_bytes())
    except (OSError, ValueError):
        return True  # the reader of tenants reports the error
    return not (isinstance(raw, dict) and "threadhill_plan" in raw)


@app.command()
def serve(operator: Operator = None) -> None:
    """Run one steering proxy, configured by LB_NAME, LB_LISTEN and LB_CONFIG, until SIGTERM.

    Example: LB_CONFIG=data/proxies/p-1.json threadhill serve
    """
    from threadhill.serve import start

    raise typer.Exit(start(operator))


@app.command()
def drill(
    file: Annotated[Path, typer.Argument(help="the scenario, in TOML")],
    html: Annotated[Path | None, typer.Option(help="write a page with plots to this file")] = None,
    quiet: Annotated[bool, typer.Option("--quiet", help="no progress bar")] = False,
) -> None:
    """Run a fault scenario on many real proxies on this machine: failing links, killed or stopped processes, drains.

    Prints one line of JSON. Exit code 0 if all expectations of the file are met, 1 if not, 2 if the file is not valid.

    Example: threadhill drill deploy/drills/most-proxies-killed.toml --html drill.html
    """
    from threadhill.drills.command import drill as play

    raise typer.Exit(play(file, html, quiet))


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"threadhill {__version__}")


@app.command()
def stats(admin: Address, token: Token) -> None:
    """Print the counters of a running proxy as JSON. SIGUSR1 makes it print them itself."""
    _print_json(_call_admin(lambda client: client.call(admin, token, "GET", "/v1/stats")))


@dns_app.command("resolvers")
def dns_resolvers(admin: Address, token: Token, json: Json = False) -> None:
    """Print the load that a proxy charges each resolver per answer, in requests, and which resolvers cache answers of
    TTL 0 (those are not sent to cold servers, or get the operator's fallback name).

    Example: threadhill dns resolvers --admin 127.0.0.1:7400
    """
    rows = _call_admin(lambda client: client.call(admin, token, "GET", "/v1/dns/resolvers"))["resolvers"]
    if json:
        _print_json(rows)
        return
    typer.echo(f"{'resolver':<22} {'class':<14} {'weight':>7} {'holds':>5} {'asked':>7} {'heard':>9}")
    for row in rows:
        typer.echo(
            f"{row['resolver']:<22} {row['class']:<14} {row['weight']:>7} {'yes' if row['holds'] else '':>5} "
            f"{row['asked']:>7} {row['heard_ms_ago']:>6} ms"
        )


access_app = typer.Typer(no_args_is_help=True, help="Keys of callers of the administration API.")
app.add_typer(access_app, name="key")
audit_app = typer.Typer(no_args_is_help=True, help="The audit log of the administration API.")
app.add_typer(audit_app, name="audit")
KeyFilePath = Annotated[Path, typer.Option("--file", envvar="THREADHILL_KEY_FILE", help="the file of keys")]


def _change_keys(file: Path, change: Callable[[ModuleType, dict[str, Any], int], tuple[list[Any], Any]]) -> Any:
    """Change the file of keys. `change` returns the keys to be stored, and the result."""

    from threadhill.files import command_lock
    from threadhill.settings import Malformed
    from threadhill.tenancy import keyfile, keys

    try:
        with command_lock(file):
            known = keyfile.read(file) if file.exists() else {}
            changed, result = change(keys, known, unix_seconds())
            if changed:
                keyfile.write(file, known | {key.id: key for key in changed})
        return result
    except (keys.KeyChangeRefused, Malformed, OSError, ValueError) as error:
        _fail(error)


def _read_keys(file: Path) -> list[Any]:
    from threadhill.settings import Malformed
    from threadhill.tenancy import keyfile

    try:
        return list(keyfile.read(file).values()) if file.exists() else []
    except (Malformed, OSError) as error:
        _fail(error)


@access_app.command("create")
def access_create(
    file: KeyFilePath,
    scope: Annotated[list[str], typer.Option(help="read, purge, quota or admin")],
    tenant: Annotated[str, typer.Option(help="the tenant that the key is limited to; none: an operator's key")] = "",
    life: Annotated[int, typer.Option(help="seconds until it expires; 0: never")] = 0,
    note: Annotated[str, typer.Option(help="a note stored with the key")] = "",
) -> None:
    """Create a key and print its text, which is not stored: only its hash is.

    Example: threadhill key create --file keys.json --scope read --scope quota --tenant agencies
    """

    def change(keys: ModuleType, known: dict[str, Any], now: int) -> tuple[list[Any], str]:
        key, text = keys.create([keys.Scope(s) for s in scope], now, life, tenant, note)
        return [key], text

    typer.echo(_change_keys(file, change))


@access_app.command("list")
def access_list(file: KeyFilePath) -> None:
    """List all keys, without their secrets."""

    now = unix_seconds()
    for key in _read_keys(file):
        state = "revoked" if key.revoked else "good" if key.is_valid(now) else "expired"
        left = f"{key.expires - now} s left" if key.expires and key.is_valid(now) else ""
        scopes = ",".join(sorted(s.value for s in key.scopes))
        typer.echo(f"{key.id}  {state:<8} {scopes:<24} {key.tenant or '(operator)':<20} {left:<16} {key.note}")


@access_app.command("roll")
def access_roll(
    id: Annotated[str, typer.Argument(metavar="ID")],
    file: KeyFilePath,
    overlap: Annotated[int, typer.Option(help="seconds for which the old key stays valid")] = 3_600,
) -> None:
    """Create a new key like this one and print its text; the old one stays valid for the overlap."""

    def change(keys: ModuleType, known: dict[str, Any], now: int) -> tuple[list[Any], str]:
        old, new, text = keys.roll(known, id, overlap, now)
        return [old, new], text

    typer.echo(_change_keys(file, change))


@access_app.command("revoke")
def access_revoke(id: Annotated[str, typer.Argument(metavar="ID")], file: KeyFilePath) -> None:
    """Revoke a key; running proxies apply that within a second."""
    _change_keys(file, lambda keys, known, now: ([keys.revoke(known, id, now)], None))


@audit_app.command("verify")
def audit_verify(path: Annotated[Path, typer.Argument(help="the audit log")]) -> None:
    """Verify the hash of each line against the line before; exit 1 if one was altered, removed or inserted.

    Prints the number of lines and the last hash: record them elsewhere, since a log truncated at a line's end verifies.
    """
    from threadhill.tenancy import audit

    try:
        count, last = audit.verify(path)
    except (audit.CorruptLog, OSError) as error:
        _fail(f"{path}: {error}")
    typer.echo(f"{count} lines verified; the hash of the last one is {last}")


@overload_app.command("status")
def overload_status(admin: Address, token: Token, json: Json = False) -> None:
    """Print the state of overload control, the figures behind it, and the limits in force.

    Example: threadhill overload status --admin 127.0.0.1:5380
    """
    status = _call_admin(lambda client: client.call(admin, token, "GET", "/v1/overload"))
    if json:
        _print_json(status)
        return
    figures, returns = status["figures"], status["come_back"]
    room = "no bound" if status["room"] is None else f"{status['room']} s of work a second"
    typer.echo(
        f"state     {status['state']}, room {room}\n"
        f"asks      {figures['first']} first tries and {figures['again']} retries a second, "
        f"factor {figures['factor']}, trend {figures['trend']}\n"
        f"ends      {100 * figures['bad']:.0f}% bad; {status['served_in_time']} of {status['let_through']} s of work "
        f"served in time\n"
        f"returns   {returns['waiting']} waiting, room for {returns['room_per_s']} a second; {returns['returns']}, "
        f"{returns['refused_again']} refused again"
    )
    for why, count in sorted(status["held_off"].items()):
        typer.echo(f"held off  {count:>8}  {why}")
    for key in status["keys"]:
        if key["state"] != "normal":
            typer.echo(f"{key['kind']:<9} {key['name']}: {key['state']}, factor {key['factor']}, bad {key['bad']}")
    for node, entry in sorted(status["nodes"].items()):
        typer.echo(
            f"node      {node}: {entry['state']}, factor {entry['figures']['factor']}, held off "
            f"{sum(entry['held_off'].values())}"
        )
    for line in status["changes"]:
        typer.echo(line)


@overload_app.command("why")
def overload_why(rid: Annotated[str, typer.Argument(help="the request's id")], admin: Address, token: Token) -> None:
    """Print why a request was refused; the last two thousand refusals are kept."""
    _print_json(_call_admin(lambda client: client.call(admin, token, "GET", f"/v1/overload/why/{rid}")))


@dns_app.command("conformance")
def dns_conformance() -> None:
    """Run the conformance tests against this program, on loopback with stand-in servers, and print a table: each
    requirement with its RFC section, met or not over UDP, TCP and TLS, and what is left out and why. Exit 1 unless
    all requirements are met. Needs a checkout of the project and its requirements-dev.txt.
    """
    import asyncio
    import sys
    import tempfile

    root = Path(__file__).resolve().parent.parent
    sys.path.insert(0, str(root))
    try:
        from tests.conformance.table import format_table, table
    except ModuleNotFoundError as error:
        _fail(f"{error}: the table is part of a checkout of the project, and needs requirements-dev.txt")
    with tempfile.TemporaryDirectory() as folder:
        rows = asyncio.run(table(Path(folder)))
    typer.echo(format_table(rows))
    if any(row.fault for row in rows):
        raise typer.Exit(ERROR)


def _call_key_commands(call: Callable[[ModuleType], Any]) -> Any:
    """Call the key commands; refusals become error messages."""
    try:
        from threadhill.dns import key_commands
        from threadhill.dns.keys import RollRefused
        from threadhill.settings import Malformed
    except ModuleNotFoundError as error:
        _fail(f"{error}: signing needs requirements-operators.txt")
    try:
        return call(key_commands)
    except (RollRefused, Malformed, OSError) as error:
        _fail(error)


@key_app.command("generate")
def key_generate(zone: Zone, keys: Keys) -> None:
    """Create a zone's first key, which signs from then on; prints the DS record for the parent zone.

    Example: threadhill dns key generate route.example --keys keys
    """
    typer.echo(_call_key_commands(lambda call: call.ds_line(call.generate(keys, zone))))


@key_app.command("list")
def key_list(
    keys: Keys, zone: Annotated[str, typer.Argument(help="only the keys of this zone")] = "", json: Json = False
) -> None:
    """List all keys: zone, tag, state, and the time since the state changed."""
    rows = _call_key_commands(lambda call: call.list_keys(keys, zone))
    if json:
        _print_json(rows)
        return
    typer.echo(f"{'zone':<32} {'tag':>5} {'state':<10} {'since':>10}")
    for row in rows:
        typer.echo(f"{row['zone']:<32} {row['tag']:>5} {row['state']:<10} {row['since_s']:>8} s")


@key_app.command("ds")
def key_ds(
    zone: Zone, keys: Keys, dnskey: Annotated[bool, typer.Option(help="print DNSKEY records instead")] = False
) -> None:
    """Print the DS records that the parent zone should have, one per line: those of all keys but retired ones."""
    for row in _call_key_commands(lambda call: call.list_keys(keys, zone)):
        if dnskey or row["state"] != "retired":
            typer.echo(row["dnskey" if dnskey else "ds"])


@key_app.command("roll")
def key_roll(zone: Zone, keys: Keys) -> None:
    """Begin a roll: a new key is published beside the old one; prints its DS, to be added at the parent zone.

    Then: key activate once resolvers know it and the parent has the DS; key remove once the old DS has expired.
    """
    typer.echo(_call_key_commands(lambda call: call.ds_line(call.roll(keys, zone))))


@key_app.command("activate")
def key_activate(
    zone: Zone, tag: Annotated[int, typer.Argument(help="the key's tag")], keys: Keys, force: Force = False
) -> None:
    """Sign with this key from now on and retire the active one. Refused while resolvers may not know the key yet."""
    _call_key_commands(lambda call: call.activate(keys, zone, tag, force))


@key_app.command("remove")
def key_remove(
    zone: Zone, tag: Annotated[int, typer.Argument(help="the key's tag")], keys: Keys, force: Force = False
) -> None:
    """Stop publishing this key and delete its file. Refused while resolvers may still need it."""
    _call_key_commands(lambda call: call.remove(keys, zone, tag, force))


@key_app.command("check")
def key_check(keys: Keys) -> None:
    """Report problems with the keys and the next step of a roll; exit 1 if the keys cannot be used."""
    for line in _call_key_commands(lambda call: call.check(keys)):
        typer.echo(line)
    _call_key_commands(lambda call: call.list_keys(keys))


@app.command()
def validate(
    path: Annotated[Path, typer.Argument(help="an HCL file, or a folder of them")],
    var: Vars = [],  # noqa: B006
    var_file: VarFiles = [],  # noqa: B006
    json: Json = False,
) -> None:
    """Check a configuration. Reports all errors, with file and line; exit 1 if there are any.

    Example: threadhill validate deploy/example -var boxes=7
    """
    from threadhill.control import commands

    commands.validate(path, var, var_file, json)


@app.command()
def fmt(
    path: Annotated[Path, typer.Argument(help="an HCL file, or a folder of them")],
    check: Annotated[bool, typer.Option("--check", help="change nothing; exit 2 if a file would change")] = False,
) -> None:
    """Put files into canonical form, and print the names of those that changed. Files with errors stay as they are."""
    from threadhill.control import commands

    commands.fmt(path, check)


@app.command()
def plan(
    path: Annotated[Path | None, typer.Argument(help="HCL file or folder; or TOML or JSON with tenants")] = None,
    admin: OptionalAddress = "",
    token: Token = "",
    control: ControlAddress = DEFAULT_CONTROL,
    var: Vars = [],  # noqa: B006
    var_file: VarFiles = [],  # noqa: B006
    to: Annotated[int | None, typer.Option("--to", help="plan a rollback to this version, without files")] = None,
    out: Annotated[Path | None, typer.Option("--out", help="save the plan, for `apply`")] = None,
    why: Annotated[str, typer.Option("--why", help="a reason, stored with the version")] = "",
    forecast: Annotated[bool, typer.Option(help="calculate each server's share of requests")] = True,
    rate: Annotated[float | None, typer.Option("--rate", help="requests a second at each node")] = None,
    mix: Annotated[Path | None, typer.Option("--mix", help="the mix of requests, as NAME = VALUE lines")] = None,
    json: Json = False,
) -> None:
    """Print what applying the files would change. Exit 0: nothing; 2: something; 1: an error.

    The mix of the forecast: rate, classes (a map of name to part), objects, zipf, parts, seconds.

    Examples: threadhill plan deploy/example -var boxes=7 --out release.plan
              threadhill plan --to 3
              threadhill plan tenants.toml --admin 127.0.0.1:5380   (a proxy's tenants; always exit 0)
    """
    if path is not None and _is_tenants(path):
        _print_plan(_call_admin(lambda client: client.plan(_required_address(admin), token, path)), json)
        return
    from threadhill.control import commands

    commands.plan(control, token, path, var, var_file, to, out, why, forecast, rate, mix, json)


@app.command()
def apply(
    path: Annotated[Path | None, typer.Argument(help="a saved plan; HCL files; or a file of tenants")] = None,
    admin: OptionalAddress = "",
    token: Token = "",
    control: ControlAddress = DEFAULT_CONTROL,
    var: Vars = [],  # noqa: B006
    var_file: VarFiles = [],  # noqa: B006
    on: Annotated[int | None, typer.Option("--on", help="tenants: the version that was planned on")] = None,
    resume: Annotated[bool, typer.Option("--resume", help="continue the open apply")] = False,
    abandon: Annotated[bool, typer.Option("--abandon", help="end the open apply at its current step")] = False,
    why: Annotated[str, typer.Option("--why", help="a reason, stored with the version")] = "",
    json: Json = False,
) -> None:
    """Carry out a saved plan exactly, or nothing; or plan files and carry out that plan.

    Exit 0: done; 3: halted, the apply stays open; 4: the state has changed, or another apply is running.

    Examples: threadhill apply release.plan
              threadhill apply --resume
    """
    if path is not None and _is_tenants(path):
        _print_plan(_call_admin(lambda client: client.apply(_required_address(admin), token, path, on)), json)
        return
    from threadhill.control import commands

    commands.apply(control, token, path, var, var_file, resume, abandon, why, json)


@app.command()
def show(
    number: Annotated[int | None, typer.Argument(help="a version; none: the recorded state")] = None,
    token: Token = "",
    control: ControlAddress = DEFAULT_CONTROL,
    json: Json = False,
) -> None:
    """Print the recorded state and the open apply, or the desired state of one version."""
    from threadhill.control import commands

    commands.show(control, token, number, json)


@app.command()
def history(token: Token = "", control: ControlAddress = DEFAULT_CONTROL, json: Json = False) -> None:
    """Print the newest versions: who asked for them, when and why."""
    from threadhill.control import commands

    commands.history(control, token, json)


@app.command()
def proxies(token: Token = "", control: ControlAddress = DEFAULT_CONTROL, json: Json = False) -> None:
    """Print the proxies: live, silent or never seen, the last event that each applied, its configuration."""
    from threadhill.control import commands

    commands.proxies(control, token, json)


@app.command()
def control(
    data: Data,
    token: Token = "",
    api: Annotated[str, typer.Option(help="where the API listens")] = DEFAULT_CONTROL,
    feed: Annotated[str, typer.Option(help="where the journal service listens")] = "127.0.0.1:7401",
    adopt: Annotated[
        bool, typer.Option("--adopt", help="the state was lost: send proxies nothing until you decide")
    ] = False,
    member: Annotated[str, typer.Option("--member", help="the name of this member in the file of members")] = "",
    members: Annotated[Path | None, typer.Option("--members", help="the file of all members")] = None,
    json: Annotated[bool, typer.Option("--json", help="log JSON, one object per line")] = False,
) -> None:
    """Run a control plane until SIGTERM. It writes each proxy's LB_CONFIG to DATA/proxies/NAME.json.

    With --adopt it also starts if the store is damaged or missing (from the newest good snapshot in DATA/snapshots,
    else empty), sends the proxies nothing, and asks them for their state: `threadhill recovery adopt` shows the state
    derived from that, and adopts it.

    Example: THREADHILL_TOKEN=a-long-secret threadhill control --data data
    """
    from threadhill.control import service

    service.control(data, token, api, feed, json, adopt, member, members)


@app.command()
def members(token: Token = "", control: ControlAddress = DEFAULT_CONTROL, json: Json = False) -> None:
    """Print the members that replicate the state, the owner, and how current the answering member is.

    Example: threadhill members --control 127.0.0.1:7400,127.0.0.1:7410,127.0.0.1:7420
    """
    from threadhill.control import commands

    commands.members(control, token, json)


@app.command()
def works(token: Token = "", control: ControlAddress = DEFAULT_CONTROL, json: Json = False) -> None:
    """Print the tasks done for the fleet: by which member, their progress, and whether they are late."""
    from threadhill.control import commands

    commands.works(control, token, json)


@owner_app.command("show")
def owner_show(token: Token = "", control: ControlAddress = DEFAULT_CONTROL, json: Json = False) -> None:
    """Print the owner, its term, and the last changes of owner with their causes."""
    from threadhill.control import commands

    commands.owner(control, token, json)


@owner_app.command("hand-over")
def owner_hand_over(
    to: Annotated[str, typer.Argument(help="the member that is to become owner; none: any")] = "",
    token: Token = "",
    control: ControlAddress = DEFAULT_CONTROL,
    json: Json = False,
) -> None:
    """Hand ownership over to this member at once, for example before maintenance of the owner's machine."""
    from threadhill.control import commands

    commands.hand_over(control, token, to, json)


@member_app.command("add")
def member_add(
    name: str,
    agree: Annotated[str, typer.Option(help="host:port for the other members")],
    api: Annotated[str, typer.Option(help="host:port for callers")],
    feed: Annotated[str, typer.Option(help="host:port for proxies")],
    token: Token = "",
    control: ControlAddress = DEFAULT_CONTROL,
    json: Json = False,
) -> None:
    """Add a member; then start it with a members' file that names all. Add one at a time.

    Example: threadhill member add b --agree 127.0.0.1:7511 --api 127.0.0.1:7410 --feed 127.0.0.1:7411
    """
    from threadhill.control import commands

    commands.member_add(control, token, {"name": name, "agree": agree, "api": api, "feed": feed}, json)


@member_app.command("remove")
def member_remove(name: str, token: Token = "", control: ControlAddress = DEFAULT_CONTROL, json: Json = False) -> None:
    """Remove a member; stop it afterwards. An owner must hand over first."""
    from threadhill.control import commands

    commands.member_remove(control, token, name, json)


@recovery_app.command("status")
def recovery_status(token: Token = "", control: ControlAddress = DEFAULT_CONTROL, json: Json = False) -> None:
    """Print the fleet's recovery phases, the time since its return, and whether the control plane withholds its state
    (exit 3 if so).

    Example: threadhill recovery status
    """
    from threadhill.control import commands

    commands.recovery_status(control, token, json)


@recovery_app.command("adopt")
def recovery_adopt(
    token: Token = "",
    control: ControlAddress = DEFAULT_CONTROL,
    digest: Annotated[str, typer.Option(help="the digest of the proposal that was shown")] = "",
    yes: Annotated[bool, typer.Option("--yes", help="adopt the current proposal without a digest")] = False,
    as_recorded: Annotated[
        bool, typer.Option("--as-recorded", help="adopt nothing: the store's state is correct")
    ] = False,
    json: Json = False,
) -> None:
    """Show the state of the proxies compared with the newest snapshot: certain, in doubt, missing; with --digest or
    --yes adopt it.

    What is in doubt is recorded as draining until a plan settles it. Exit 2: shown; 0: adopted; 4: it has changed.

    Examples: threadhill recovery adopt
              threadhill recovery adopt --digest 1f0c22ab
    """
    from threadhill.control import commands

    commands.recovery_adopt(control, token, digest, yes, as_recorded, json)


@state_app.command("snapshot")
def state_snapshot(
    data: Data,
    file: Annotated[Path | None, typer.Argument(help="the file to write; none: with --every")] = None,
    every: Annotated[float, typer.Option(min=0, help="seconds between snapshots in DATA/snapshots")] = 0,
    count: Annotated[int, typer.Option(min=0, help="stop after this many snapshots; 0: never")] = 0,
) -> None:
    """Copy the store to FILE and check the copy; the control plane may be running. Or with --every keep snapshots in
    DATA/snapshots: the last ten, one per hour for a day, one per day for a month.

    Examples: threadhill state snapshot before.db --data data
              threadhill state snapshot --every 60 --data data
    """
    from threadhill.control import service

    if (file is None) == (not every):
        _fail("name a FILE, or the seconds between snapshots with --every")
    if file is not None:
        service.snapshot(data, file)
    else:
        service.snapshots(data, every, count)


@state_app.command("restore")
def state_restore(file: Path, data: Data) -> None:
    """Replace the store by a snapshot. The control plane must be stopped; the old store is kept beside the new one."""
    from threadhill.control import service

    service.restore(data, file)


@app.command()
def dev(
    folder: Annotated[Path, typer.Argument(help="configuration to start with")] = Path("deploy/example"),
    data: Annotated[Path | None, typer.Option(help="keep the state here; default: a temporary folder")] = None,
    var: Vars = [],  # noqa: B006
) -> None:
    """Start a complete installation on loopback: the control plane, stand-in servers and the proxies of FOLDER.

    Example: threadhill dev, and in a second terminal: threadhill ask art-pages 7f3a9c21e0b4d655
    """
    from threadhill.standin import dev as run

    run.dev(folder, data, var)


@app.command()
def ask(
    cls: Annotated[str, typer.Argument(metavar="CLASS")],
    obj: Annotated[str, typer.Argument(metavar="OBJECT")],
    proxy: Annotated[str, typer.Option("--proxy", envvar="THREADHILL_PROXY")] = "127.0.0.1:19101",
    part: Annotated[int, typer.Option(help="the part of the object")] = 0,
    count: Annotated[int, typer.Option(min=1, max=10_000, help="number of requests, sent one after another")] = 1,
    budget: Annotated[int, typer.Option(help="milliseconds that the client waits")] = 3_000,
    tenant: Annotated[str, typer.Option(help="send the requests for this tenant")] = "",
    json: Json = False,
) -> None:
    """Send requests to a proxy as a client does, and print the answers. Exit 1 unless all were served.

    Example: threadhill ask clip-parts 7f3a9c21e0b4d655 --part 3
    """
    from threadhill.standin import ask as run

    raise typer.Exit(run.ask(proxy, cls, obj, part, count, budget, tenant, json))


def _required_address(admin: str) -> str:
    if not admin:
        _fail("a file of tenants needs a proxy's API: give its address with --admin host:port", CHANGES)
    return admin


def _call_admin(request: Any) -> Any:
    from threadhill import documents
    from threadhill.admin import client

    try:
        return request(client)
    except (client.RequestFailed, documents.Invalid) as error:
        _fail(error, CHANGES)


def _print_plan(result: dict[str, Any], json: bool) -> None:
    from threadhill.admin import client

    typer.echo(orjson.dumps(result).decode() if json else client.format_result(result))
