"""The commands of the control plane: what they print, and how they end."""

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
from threadhill.plans.faults import Fault, Invalid
from threadhill.plans.fmt import canonical
from threadhill.plans.resource import Resource
from threadhill.settings import Malformed

CONFLICTS = ("conflict", "unfinished", "leased", "lease-lost", "bad-plan", "held")
LEASE_WAIT = 10.0  # seconds that --resume waits for a dead applier's lease


def _say(text: str) -> None:
    typer.echo(text)


def _complain(error: object) -> None:
    typer.echo(f"threadhill: {error}", err=True)


def told(command: Callable[..., None]) -> Callable[..., None]:
    """Faults that a user can mend are told in a line and end with a code; anything else is a fault of the program."""

    @wraps(command)
    def run(*words: Any) -> None:
        try:
            command(*words)
        except Invalid as error:
            if words and words[-1] is True:
                _json(
                    {"faults": [{"file": f.file, "line": f.line, "name": f.name, "text": f.text} for f in error.faults]}
                )
            else:
                for fault in error.faults:
                    typer.echo(str(fault), err=True)
            raise typer.Exit(ERROR) from None
        except client.Halted as error:
            _complain(
                f"apply {error.apply} halted: {error}. Mend that and `threadhill apply --resume`, or end it with "
                "`threadhill apply --abandon` and plan again"
            )
            raise typer.Exit(HALTED) from None
        except client.Failed as error:
            _complain(f"{error.code}: {error}")
            raise typer.Exit(CONFLICT if error.code in CONFLICTS else ERROR) from None
        except BrokenPipeError:  # who read the output has had enough
            os.dup2(os.open(os.devnull, os.O_WRONLY), 1)
        except (StoreDamaged, WriteFailed, Malformed, saved.BadPlan, OSError) as error:
            _complain(error)
            raise typer.Exit(ERROR) from None

    return run


def _json(value: Any) -> None:
    typer.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2).decode())


def _wanted(path: Path, var: list[str], var_file: list[Path]) -> dict[str, Resource]:
    return client.read_configuration(path, client.read_variables(var_file, var))


@told
def validate(path: Path, var: list[str], var_file: list[Path], json: bool) -> None:
    resources = _wanted(path, var, var_file)
    counts = dict(sorted(Counter(r.kind for r in resources.values()).items()))
    if json:
        _json({"faults": [], "resources": counts})
    else:
        _say("sound: " + ", ".join(f"{count} {kind}" for kind, count in counts.items()))


@told
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
        _say(str(file))
    if faults:
        raise Invalid(faults)
    raise typer.Exit(CHANGES if check and changed else DONE)


@told
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
        raise Malformed("name either files or --to VERSION")
    ask = client.Caller(control, token)
    wanted = client.wanted_of(ask, to) if path is None else _wanted(path, var, var_file)
    mix = _mix(wanted, rate, mix_file)
    document = client.make_plan(ask, wanted, why or (f"return to version {to}" if to else ""), with_forecast, mix)
    unfinished = document.pop("unfinished", None)
    if out is not None and not document["blocked"]:
        out.write_bytes(orjson.dumps(document))
    if json:
        _json({**document, "unfinished": unfinished})
    else:
        if unfinished is not None:
            _say(_unfinished(unfinished))
        _say(saved.told(document))
        if out is not None and document["steps"] and not document["blocked"]:
            _say(f"Saved to {out}: threadhill apply {out}")
    if document["blocked"]:
        raise typer.Exit(ERROR)
    raise typer.Exit(CHANGES if document["steps"] else DONE)


def _mix(wanted: Mapping[str, Resource], rate: float | None, file: Path | None) -> forecast.Mix | None:
    """The mix of the file, or one of all reads in equal parts."""
    settings = wanted.get("settings.settings")
    if settings is None:
        return None
    given = {name: value for name, value in (("rate", rate),) if value is not None}
    if file is not None:
        given = client.read_variables([file], []) | given
    try:
        return forecast.mix_of(given, settings.attrs)
    except ValueError as error:
        raise Invalid([Fault(str(file or "--rate"), 0, "mix", str(error))]) from None


def _unfinished(found: Mapping[str, Any]) -> str:
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


@told
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
    ask = client.Caller(control, token)
    if resume or abandon:
        found = ask("GET", "/v1/state")["open"]
        if found is None:
            raise client.Failed("not-open", "no apply is open")
        if abandon:
            _abandon(ask, found["apply"], json)
            return
        lease = client.resume(ask, found["apply"], _holder(), LEASE_WAIT)
    else:
        document = _saved(ask, path, var, var_file, why)
        if document["blocked"]:
            _say(saved.told(document))
            raise typer.Exit(ERROR)
        if not document["steps"]:
            _json({"state": "done", "steps": 0}) if json else _say(saved.summary(document))
            return
        lease = client.begin(ask, document, _holder(), _who(), why or document["why"])
    result = client.carry_on(ask, lease, (lambda told: None) if json else _progress())
    if json:
        _json({**lease, **result})
    else:
        _say(f"Apply {lease['apply']} is done: state version {lease['version']}.")


def _saved(ask: client.Caller, path: Path | None, var: list[str], var_file: list[Path], why: str) -> dict[str, Any]:
    if path is None:
        raise Malformed("name a saved plan or files; or --resume or --abandon")
    if path.is_file() and path.suffix != ".hcl":
        try:
            return saved.check(orjson.loads(path.read_bytes()))
        except (ValueError, saved.BadPlan) as error:
            raise saved.BadPlan(f"{path}: {error}") from None
    return client.make_plan(ask, _wanted(path, var, var_file), why, with_forecast=False)


def _abandon(ask: client.Caller, number: int, json: bool) -> None:
    told = ask("POST", f"/v1/applies/{number}/abandon", {"who": _who()})
    _json(told) if json else _say(f"Apply {number} is abandoned; `threadhill show` prints what stands.")


def _progress() -> client.Progress:
    last = [""]

    def progress(told: Mapping[str, Any]) -> None:
        for id, note in told["confirmed"]:
            _say(f"  done      {id}" + (f" ({note})" if note else ""))
        for id in told["begun"]:
            _say(f"  begun     {id}")
        if told["waits"] and not told["begun"] and not told["confirmed"]:
            id, what = next(iter(told["waits"].items()))
            text = f"  {told['done']}/{told['steps']}, waiting: {id}: {what}"
            if text.split(" in ")[0] != last[0].split(" in ")[0]:
                _say(text)
            last[0] = text

    return progress


@told
def show(control: str, token: str, number: int | None, json: bool) -> None:
    ask = client.Caller(control, token)
    if number is not None:
        version = ask("GET", f"/v1/versions/{number}")
        if json:
            _json(version)
            return
        _say(_version(version))
        for id, attrs in version["wanted"].items():
            _say(f"  {id}  " + ", ".join(f"{k}={v}" for k, v in attrs.items() if k in SHOWN))
        return
    state = ask("GET", "/v1/state")
    if json:
        _json(state)
        return
    _say(f"State version {state['version']}, change {state['serial']}, last event {state['pos']}")
    for record in state["records"]:
        attrs = ", ".join(f"{k}={v}" for k, v in record["attrs"].items() if k in SHOWN)
        _say(f"  {record['phase']:<9} {record['kind']}.{record['name']}  {attrs}")
    if state["open"] is not None:
        _say(_unfinished(state["open"]))


SHOWN = ("address", "listen", "node", "hub", "zones", "quota", "fills_from")


def _version(version: Mapping[str, Any]) -> str:
    at = datetime.fromtimestamp(version["at"] / 1e3, UTC).strftime("%Y-%m-%d %H:%M:%S")
    return f"{version['version']:>6}  {at}  {version['state']:<9}  {version['who']}  {version['why']}"


@told
def history(control: str, token: str, json: bool) -> None:
    versions = client.Caller(control, token)("GET", "/v1/versions")["versions"]
    if json:
        _json({"versions": versions})
        return
    for version in versions:
        _say(_version(version))


@told
def proxies(control: str, token: str, json: bool) -> None:
    seen = client.Caller(control, token)("GET", "/v1/observed")
    if json:
        _json(seen)
        return
    _say(f"Last event {seen['pos']}")
    for proxy in seen["proxies"]:
        if proxy["applied"] is None:
            _say(f"  {proxy['name']:<16} {proxy['state']}")
            continue
        config = "" if proxy["config"] == proxy["wanted_config"] else ", runs with an older configuration: restart it"
        _say(
            f"  {proxy['name']:<16} {proxy['state']:<8} applied {proxy['applied']}, {proxy['behind']} behind, heard "
            f"{proxy['seen_ms'] / 1e3:.1f} s ago{f', {phase}' if (phase := proxy['phase']) else ''}{config}"
        )
    for id in seen["gone"]:
        _say(f"  ! {id}: no live proxy reaches it")


@told
def recovery_status(control: str, token: str, json: bool) -> None:
    seen = client.Caller(control, token)("GET", "/v1/recovery")
    if json:
        _json(seen)
    else:
        _say("Phases   " + ", ".join(f"{count} {phase}" for phase, count in seen["phases"].items()))
        if seen["down_for_ms"] is not None:
            _say(f"Fleet    not in full service for {seen['down_for_ms'] / 1e3:.1f} s")
        elif seen["back_for_ms"] is not None:
            _say(f"Fleet    back for {seen['back_for_ms'] / 1e3:.1f} s")
        if seen["held"]:
            _say(f"Held     {seen['held']}. Proxies are told nothing; look at `threadhill recovery adopt`")
    if seen["held"]:
        raise typer.Exit(HALTED)


@told
def recovery_adopt(control: str, token: str, digest: str, yes: bool, as_recorded: bool, json: bool) -> None:
    ask = client.Caller(control, token)
    seen = ask("GET", "/v1/recovery")
    if not seen["held"]:
        raise client.Failed("not-held", "nothing is held: there is nothing to decide")
    proposal = seen["proposal"]
    if not json:
        _proposal(proposal)
    if not digest and not yes:
        if json:
            _json(proposal)
        else:
            _say(
                f"Take it with `threadhill recovery adopt --digest {proposal['digest']}`; where the store is right "
                "and the proxies are not, add --as-recorded"
            )
        raise typer.Exit(CHANGES)
    taken = ask(
        "POST",
        f"/v1/recovery/{'as-recorded' if as_recorded else 'adopt'}",
        {"digest": digest or proposal["digest"], "who": _who()},
    )
    if json:
        _json(taken)
    else:
        _say(f"Taken: numbers go on from {taken['pos']}")


def _proposal(proposal: Mapping[str, Any]) -> None:
    """What follows from what proxies hold, the doubtful first."""
    counts = Counter(finding["state"] for finding in proposal["findings"])
    _say(
        f"Proposal {proposal['digest']}: from {len(proposal['proxies'])} proxies and the store's "
        f"{proposal['snapshot']}; {counts['certain']} certain, {counts['in doubt']} in doubt, {counts['missing']} "
        f"missing; numbers go on from {proposal['pos']}"
    )
    marks = {"in doubt": "?", "missing": "-", "certain": "+"}
    for state, mark in marks.items():
        for finding in proposal["findings"]:
            if finding["state"] == state:
                phase = f" -> {finding['record']['phase']}" if finding["record"] is not None else ""
                _say(f"  {mark} {finding['id']:<28}{phase:<14} {finding['why']}")


@told
def members(control: str, token: str, json: bool) -> None:
    seen = client.Caller(control, token)("GET", "/v1/members")
    if json:
        _json(seen)
        return
    _say(
        f"Term {seen['term']} is {seen['owner'] or 'nobody'}'s; {seen['member']} answers, "
        f"{'up to date' if seen['fresh'] else 'CUT OFF: what it knows may be old'}, as of {seen['as_of_ms']} ms ago"
    )
    for name, places in sorted(seen["members"].items()):
        mark = "*" if name == seen["owner"] else " "
        _say(f"  {mark} {name:<16} agree {places['agree']:<22} api {places['api']:<22} feed {places['feed']}")


@told
def owner(control: str, token: str, json: bool) -> None:
    seen = client.Caller(control, token)("GET", "/v1/members")
    if json:
        _json({key: seen[key] for key in ("owner", "term", "handovers", "refused")})
        return
    _say(f"{seen['owner'] or 'nobody'} owns term {seen['term']}; {seen['refused']} writes of older terms were refused")
    for change in seen["handovers"]:
        at = datetime.fromtimestamp(change["at"] / 1e3, UTC)
        _say(
            f"  {at:%Y-%m-%d %H:%M:%S} term {change['term']}: {change['owner'] or 'nobody'}, was "
            f"{change['was'] or 'nobody'}'s: {change['cause']}"
        )


@told
def hand_over(control: str, token: str, to: str, json: bool) -> None:
    done = client.Caller(control, token)("POST", "/v1/owner/hand-over", {"to": to})
    _json(done) if json else _say(f"{done['released']} has given up its term" + (f" for {to}" if to else ""))


@told
def member_add(control: str, token: str, member: dict[str, str], json: bool) -> None:
    done = client.Caller(control, token)("POST", "/v1/members", member)
    _json(done) if json else _say(f"{member['name']} is a member: start it now")


@told
def member_remove(control: str, token: str, name: str, json: bool) -> None:
    done = client.Caller(control, token)("POST", f"/v1/members/{name}/remove", {})
    _json(done) if json else _say(f"{name} is no member any more: stop it now")


@told
def works(control: str, token: str, json: bool) -> None:
    seen = client.Caller(control, token)("GET", "/v1/works")["works"]
    if json:
        _json({"works": seen})
        return
    for work in seen:
        late = "  LATE" if work["late"] else ""
        _say(f"{work['name']:<30} {work['owner']:<16} {work['effect']:<16} {work['progress']}{late}")
