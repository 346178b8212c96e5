"""The command line's commands for the control plane: their output and exit codes."""

from __future__ import annotations

import getpass
import os
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from functools import wraps
from pathlib import Path
from typing import Any

import orjson
import typer

from threadhill.cli_codes import CHANGES, CONFLICT, DONE, ERROR, HALTED
from threadhill.control import client
from threadhill.control.store import StoreDamaged, WriteFailed
from threadhill.plans import forecast, saved, syntax
from threadhill.plans.faults import Fault, InvalidConfiguration
from threadhill.plans.fmt import canonical
from threadhill.plans.resource import Resource
from threadhill.settings import Malformed

CONFLICTS = ("conflict", "unfinished", "leased", "lease-lost", "bad-plan", "held")
LEASE_WAIT = 10.0  # seconds that --resume waits for the lease of a dead applier to expire


def _print(text: str) -> None:
    typer.echo(text)


def _print_error(error: object) -> None:
    typer.echo(f"threadhill: {error}", err=True)


def reports_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Print errors that a user can correct as one line, and exit with a code; other exceptions are program faults."""

    @wraps(command)
    def run(*arguments: Any) -> None:
        try:
            command(*arguments)
        except InvalidConfiguration as error:
            if arguments and arguments[-1] is True:  # the last argument is `json` in most commands
                _print_json(
                    {"faults": [{"file": f.file, "line": f.line, "name": f.name, "text": f.text} for f in error.faults]}
                )
            else:
                for fault in error.faults:
                    typer.echo(str(fault), err=True)
            raise typer.Exit(ERROR) from None
        except client.Halted as error:
            _print_error(
                f"apply {error.apply} halted: {error}. Correct that and run `threadhill apply --resume`, or end it "
                "with `threadhill apply --abandon` and plan again"
            )
            raise typer.Exit(HALTED) from None
        except client.ApiError as error:
            _print_error(f"{error.code}: {error}")
            raise typer.Exit(CONFLICT if error.code in CONFLICTS else ERROR) from None
        except BrokenPipeError:  # the reader of the output has closed it
            os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
        except (StoreDamaged, WriteFailed, Malformed, saved.BadPlan, OSError) as error:
            _print_error(error)
            raise typer.Exit(ERROR) from None

    return run


def _print_json(value: Any) -> None:
    typer.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def _read_resources(path: Path, var: list[str], var_file: list[Path]) -> dict[str, Resource]:
    return client.read_configuration(path, client.read_variables(var_file, var))


@reports_errors
def validate(path: Path, var: list[str], var_file: list[Path], json: bool) -> None:
    resources = _read_resources(path, var, var_file)
    counts = dict(sorted(Counter(r.kind for r in resources.values()).items()))
    if json:
        _print_json({"faults": [], "resources": counts})
    else:
        _print("sound: " + ", ".join(f"{count} {kind}" for kind, count in counts.items()))


@reports_errors
def fmt(path: Path, check: bool) -> None:
    files = sorted(path.glob("*.hcl")) if path.is_dir() else [path]
    faults: list[Fault] = []
    changed = []
    for file in files:
        text = file.read_text("utf-8")
        found = len(faults)
        syntax.parse(text, str(file), faults)
        new = canonical(text)
        if len(faults) == found and new != text:
            changed.append(file)
            if not check:
                part = file.with_name(file.name + ".part")
                part.write_text(new, "utf-8")
                os.replace(part, file)
    for file in changed:
        _print(str(file))
    if faults:
        raise InvalidConfiguration(faults)
    raise typer.Exit(CHANGES if check and changed else DONE)


@reports_errors
def plan(
    control: str,
    token: str,
    path: Path | None,
    var: list[str],
    var_file: list[Path],
    to: int | None,
    out: Path | None,
    why: str,
    with_forecast: bool,
    rate: float | None,
    mix_file: Path | None,
    json: bool,
) -> None:
    if (path is None) == (to is None):
        raise Malformed("give either files or --to VERSION")
    api = client.ApiClient(control, token)
    wanted = client.version_resources(api, to) if path is None else _read_resources(path, var, var_file)
    mix = _mix(wanted, rate, mix_file)
    document = client.make_plan(api, wanted, why or (f"return to version {to}" if to else ""), with_forecast, mix)
    unfinished = document.pop("unfinished", None)
    if out is not None and not document["blocked"]:
        out.write_bytes(orjson.dumps(document))
    if json:
        _print_json({**document, "unfinished": unfinished})
    else:
        if unfinished is not None:
            _print(_unfinished_text(unfinished))
        _print(saved.render(document))
        if out is not None and document["steps"] and not document["blocked"]:
            _print(f"Saved to {out}: threadhill apply {out}")
    if document["blocked"]:
        raise typer.Exit(ERROR)
    raise typer.Exit(CHANGES if document["steps"] else DONE)


def _mix(wanted: Mapping[str, Resource], rate: float | None, file: Path | None) -> forecast.Mix | None:
    """The request mix of the file, or equal shares of all classes that read."""
    settings = wanted.get("settings.settings")
    if settings is None:
        return None
    given = {name: value for name, value in (("rate", rate),) if value is not None}
    if file is not None:
        given = client.read_variables([file], []) | given
    try:
        return forecast.mix_of(given, settings.attrs)
    except ValueError as error:
        raise InvalidConfiguration([Fault(str(file or "--rate"), 0, "mix", str(error))]) from None


def _unfinished_text(found: Mapping[str, Any]) -> str:
    states = list(found["steps"].values())
    lines = [
        f"Apply {found['apply']} (version {found['version']}) by {found['holder']} is not finished: "
        f"{states.count('done')} done, {states.count('in doubt')} in doubt, {states.count('left')} left."
    ]
    for id, state in found["steps"].items():
        if state == "in doubt":
            lines.append(f"  ? {id}: carried out, not yet confirmed")
    lines.append("  threadhill apply --resume carries it on, --abandon ends it where it stands.")
    return "\n".join(lines)


def _holder() -> str:
    return f"{_who()}@{socket.gethostname()}:{os.getpid()}"


def _who() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


@reports_errors
def apply(
    control: str,
    token: str,
    path: Path | None,
    var: list[str],
    var_file: list[Path],
    resume: bool,
    abandon: bool,
    why: str,
    json: bool,
) -> None:
    api = client.ApiClient(control, token)
    if resume or abandon:
        found = api("GET", "/v1/state")["open"]
        if found is None:
            raise client.ApiError("not-open", "no apply is open")
        if abandon:
            _abandon(api, found["apply"], json)
            return
        lease = client.resume_apply(api, found["apply"], _holder(), LEASE_WAIT)
    else:
        document = _load_plan(api, path, var, var_file, why)
        if document["blocked"]:
            _print(saved.render(document))
            raise typer.Exit(ERROR)
        if not document["steps"]:
            _print_json({"state": "done", "steps": 0}) if json else _print(saved.summary(document))
            return
        lease = client.begin_apply(api, document, _holder(), _who(), why or document["why"])
    result = client.run_apply(api, lease, (lambda update: None) if json else _print_progress())
    if json:
        _print_json({**lease, **result})
    else:
        _print(f"Apply {lease['apply']} is done: state version {lease['version']}.")


def _load_plan(
    api: client.ApiClient, path: Path | None, var: list[str], var_file: list[Path], why: str
) -> dict[str, Any]:
    if path is None:
        raise Malformed("give a saved plan or files, or --resume or --abandon")
    if path.is_file() and path.suffix != ".hcl":
        try:
            return saved.check(orjson.loads(path.read_bytes()))
        except (ValueError, saved.BadPlan) as error:
            raise saved.BadPlan(f"{path}: {error}") from None
    return client.make_plan(api, _read_resources(path, var, var_file), why, with_forecast=False)


def _abandon(api: client.ApiClient, number: int, json: bool) -> None:
    result = api("POST", f"/v1/applies/{number}/abandon", {"who": _who()})
    _print_json(result) if json else _print(f"Apply {number} is abandoned; `threadhill show` prints the current state.")


def _print_progress() -> client.ProgressCallback:
    last_printed = [""]

    def progress(result: Mapping[str, Any]) -> None:
        for id, note in result["confirmed"]:
            _print(f"  done      {id}" + (f" ({note})" if note else ""))
        for id in result["begun"]:
            _print(f"  begun     {id}")
        if result["waits"] and not result["begun"] and not result["confirmed"]:
            id, what = next(iter(result["waits"].items()))
            text = f"  {result['done']}/{result['steps']}, waiting: {id}: {what}"
            if text.split(" in ")[0] != last_printed[0].split(" in ")[0]:
                _print(text)
            last_printed[0] = text

    return progress


@reports_errors
def show(control: str, token: str, number: int | None, json: bool) -> None:
    api = client.ApiClient(control, token)
    if number is not None:
        version = api("GET", f"/v1/versions/{number}")
        if json:
            _print_json(version)
            return
        _print(_version_line(version))
        for id, attrs in version["wanted"].items():
            _print(f"  {id}  " + ", ".join(f"{k}={v}" for k, v in attrs.items() if k in SHOWN_ATTRS))
        return
    state = api("GET", "/v1/state")
    if json:
        _print_json(state)
        return
    _print(f"State version {state['version']}, change {state['serial']}, last event {state['pos']}")
    for record in state["records"]:
        attrs = ", ".join(f"{k}={v}" for k, v in record["attrs"].items() if k in SHOWN_ATTRS)
        _print(f"  {record['phase']:<9} {record['kind']}.{record['name']}  {attrs}")
    if state["open"] is not None:
        _print(_unfinished_text(state["open"]))


SHOWN_ATTRS = ("address", "listen", "node", "hub", "zones", "quota", "fills_from")


def _version_line(version: Mapping[str, Any]) -> str:
    at = datetime.fromtimestamp(version["at"] / 1e3, UTC).strftime("%Y-%m-%d %H:%M:%S")
    return f"{version['version']:>6}  {at}  {version['state']:<9}  {version['who']}  {version['why']}"


@reports_errors
def history(control: str, token: str, json: bool) -> None:
    versions = client.ApiClient(control, token)("GET", "/v1/versions")["versions"]
    if json:
        _print_json({"versions": versions})
        return
    for version in versions:
        _print(_version_line(version))


@reports_errors
def proxies(control: str, token: str, json: bool) -> None:
    answer = client.ApiClient(control, token)("GET", "/v1/observed")
    if json:
        _print_json(answer)
        return
    _print(f"Last event {answer['pos']}")
    for proxy in answer["proxies"]:
        if proxy["applied"] is None:
            _print(f"  {proxy['name']:<16} {proxy['state']}")
            continue
        config = "" if proxy["config"] == proxy["wanted_config"] else ", runs with an older configuration: restart it"
        _print(
            f"  {proxy['name']:<16} {proxy['state']:<8} applied {proxy['applied']}, {proxy['behind']} behind, heard "
            f"{proxy['seen_ms'] / 1e3:.1f} s ago{f', {phase}' if (phase := proxy['phase']) else ''}{config}"
        )
    for id in answer["gone"]:
        _print(f"  ! {id}: no live proxy reaches it")


@reports_errors
def recovery_status(control: str, token: str, json: bool) -> None:
    answer = client.ApiClient(control, token)("GET", "/v1/recovery")
    if json:
        _print_json(answer)
    else:
        _print("Phases   " + ", ".join(f"{count} {phase}" for phase, count in answer["phases"].items()))
        if answer["down_for_ms"] is not None:
            _print(f"Fleet    not in full service for {answer['down_for_ms'] / 1e3:.1f} s")
        elif answer["back_for_ms"] is not None:
            _print(f"Fleet    back for {answer['back_for_ms'] / 1e3:.1f} s")
        if answer["held"]:
            _print(f"Held     {answer['held']}. Nothing is published to proxies; see `threadhill recovery adopt`")
    if answer["held"]:
        raise typer.Exit(HALTED)


@reports_errors
def recovery_adopt(control: str, token: str, digest: str, yes: bool, as_recorded: bool, json: bool) -> None:
    api = client.ApiClient(control, token)
    answer = api("GET", "/v1/recovery")
    if not answer["held"]:
        raise client.ApiError("not-held", "the state is not held back: there is nothing to decide")
    proposal = answer["proposal"]
    if not json:
        _print_proposal(proposal)
    if not digest and not yes:
        if json:
            _print_json(proposal)
        else:
            _print(
                f"Take it with `threadhill recovery adopt --digest {proposal['digest']}`; where the store is right "
                "and the proxies are not, add --as-recorded"
            )
        raise typer.Exit(CHANGES)
    taken = api(
        "POST",
        f"/v1/recovery/{'as-recorded' if as_recorded else 'adopt'}",
        {"digest": digest or proposal["digest"], "who": _who()},
    )
    if json:
        _print_json(taken)
    else:
        _print(f"Taken: event numbers continue from {taken['pos']}")


def _print_proposal(proposal: Mapping[str, Any]) -> None:
    """Print the findings of a proposal, those in doubt first."""
    counts = Counter(finding["state"] for finding in proposal["findings"])
    _print(
        f"Proposal {proposal['digest']}: from {len(proposal['proxies'])} proxies and the store's "
        f"{proposal['snapshot']}; {counts['certain']} certain, {counts['in doubt']} in doubt, {counts['missing']} "
        f"missing; event numbers continue from {proposal['pos']}"
    )
    marks = {"in doubt": "?", "missing": "-", "certain": "+"}
    for state, mark in marks.items():
        for finding in proposal["findings"]:
            if finding["state"] == state:
                phase = f" -> {finding['record']['phase']}" if finding["record"] is not None else ""
                _print(f"  {mark} {finding['id']:<28}{phase:<14} {finding['why']}")


@reports_errors
def members(control: str, token: str, json: bool) -> None:
    answer = client.ApiClient(control, token)("GET", "/v1/members")
    if json:
        _print_json(answer)
        return
    _print(
        f"Term {answer['term']}, owner {answer['owner'] or 'none'}; answered by {answer['member']}, "
        f"{'up to date' if answer['fresh'] else 'CUT OFF: its state may be old'}, as of {answer['as_of_ms']} ms ago"
    )
    for name, addresses in sorted(answer["members"].items()):
        mark = "*" if name == answer["owner"] else " "
        _print(
            f"  {mark} {name:<16} agree {addresses['agree']:<22} api {addresses['api']:<22} feed {addresses['feed']}"
        )


@reports_errors
def owner(control: str, token: str, json: bool) -> None:
    answer = client.ApiClient(control, token)("GET", "/v1/members")
    if json:
        _print_json({key: answer[key] for key in ("owner", "term", "handovers", "refused")})
        return
    _print(
        f"{answer['owner'] or 'nobody'} owns term {answer['term']}; "
        f"{answer['refused']} writes of older terms were refused"
    )
    for change in answer["handovers"]:
        at = datetime.fromtimestamp(change["at"] / 1e3, UTC)
        _print(
            f"  {at:%Y-%m-%d %H:%M:%S} term {change['term']}: owner {change['owner'] or 'none'}, before "
            f"{change['was'] or 'none'}: {change['cause']}"
        )


@reports_errors
def hand_over(control: str, token: str, to: str, json: bool) -> None:
    answer = client.ApiClient(control, token)("POST", "/v1/owner/hand-over", {"to": to})
    _print_json(answer) if json else _print(
        f"{answer['released']} has released its term" + (f" for {to}" if to else "")
    )


@reports_errors
def member_add(control: str, token: str, member: dict[str, str], json: bool) -> None:
    answer = client.ApiClient(control, token)("POST", "/v1/members", member)
    _print_json(answer) if json else _print(f"{member['name']} is a member: start it now")


@reports_errors
def member_remove(control: str, token: str, name: str, json: bool) -> None:
    answer = client.ApiClient(control, token)("POST", f"/v1/members/{name}/remove", {})
    _print_json(answer) if json else _print(f"{name} is no longer a member: stop it now")


@reports_errors
def works(control: str, token: str, json: bool) -> None:
    answer = client.ApiClient(control, token)("GET", "/v1/works")["works"]
    if json:
        _print_json({"works": answer})
        return
    for work in answer:
        late = "  LATE" if work["late"] else ""
        _print(f"{work['name']:<30} {work['owner']:<16} {work['effect']:<16} {work['progress']}{late}")
