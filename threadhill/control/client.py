"""The command line's side: asks the control plane, plans, and carries an apply on step by step."""

from __future__ import annotations

import gc
import http.client
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import orjson

from threadhill.plans import configuration, forecast, planner, saved, syntax
from threadhill.plans.configuration import Resource
from threadhill.plans.faults import Fault, Invalid
from threadhill.plans.planner import Observed
from threadhill.plans.rules import SERVERS, Phase, Record

AGAIN = 0.05  # seconds between calls that carry an apply on
RECONNECT = 0.2  # seconds between tries while the control plane can't be reached
ANSWER = 3.0  # seconds that one of several members may take to answer: it may have been stopped
OWNER_WAIT = 10.0  # seconds for which a member that owns is looked for, where several are named


class Failed(Exception):
    """The control plane said no: `code` names why, `more` is what else it said."""

    def __init__(self, code: str, text: str, **more: Any) -> None:
        super().__init__(text)
        self.code, self.more = code, more


class Unreached(Failed):
    """The control plane could not be asked; whether it took the call is not known."""

    def __init__(self, text: str) -> None:
        super().__init__("unreached", text)


class Caller:
    """Calls of the API, over one connection while it lasts; `address` may name several members, with commas."""

    def __init__(self, address: str, token: str) -> None:
        self.addresses = [one.strip() for one in address.split(",") if one.strip()]
        self.address, self.token = self.addresses[0], token
        self._connection: http.client.HTTPConnection | None = None

    def __call__(self, method: str, path: str, body: Any = None) -> Any:
        """One call; its answer. Raises Failed, or Unreached where no answer came. A connection that was kept may
        have gone with a control plane that was restarted: what may be asked twice is, on a new one."""
        if path == "/v1/applies":  # asked twice it would be refused for itself
            self.close()
        end = time.monotonic() + (OWNER_WAIT if len(self.addresses) > 1 else 0)
        while True:
            try:
                return self._once(method, path, body)
            except Failed as error:
                # Whatever a member took before it fell silent may be asked again: nothing of it has effect twice.
                if time.monotonic() > end or error.code not in ("not-owner", "no-owner", "unreached"):
                    raise
                self._elsewhere(error)

    def _elsewhere(self, error: Failed) -> None:
        """Nothing was done there: ask the owner that it names, or the next member."""
        self.close()
        owner = error.more.get("owner")
        if owner:
            self.address = owner
            return
        time.sleep(RECONNECT)
        at = self.addresses.index(self.address) if self.address in self.addresses else -1
        self.address = self.addresses[(at + 1) % len(self.addresses)]

    def _once(self, method: str, path: str, body: Any) -> Any:
        if self._connection is not None:
            try:
                return self._call(method, path, body)
            except Unreached:
                pass
        return self._call(method, path, body)

    def _call(self, method: str, path: str, body: Any) -> Any:
        raw = None if body is None else orjson.dumps(body)
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    self.address, timeout=ANSWER if len(self.addresses) > 1 else 30
                )
            self._connection.request(method, path, raw, {"Authorization": f"Bearer {self.token}"})
            response = self._connection.getresponse()
            answer = orjson.loads(response.read() or b"null")
            if response.getheader("Connection", "").lower() == "close":
                self.close()
        except (OSError, ValueError, http.client.HTTPException) as error:
            self.close()
            raise Unreached(f"{self.address}: {error}") from None
        if response.status >= 400:
            error = (answer or {}).get("error", {})
            raise Failed(
                error.get("code", str(response.status)),
                error.get("message", ""),
                **{k: v for k, v in error.items() if k not in ("code", "message")},
            )
        return answer

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def read_configuration(path: Path, given: Mapping[str, Any]) -> dict[str, Resource]:
    """The resources of a file or folder. Raises Invalid."""
    gc.freeze()  # a large configuration makes many objects that all stay: looking through them again and again costs
    gc.set_threshold(200_000, 50, 50)  # a fifth of a plan's time
    return configuration.evaluate(syntax.read(path), given)


def read_variables(files: list[Path], words: list[str]) -> dict[str, Any]:
    """Values of variables, from files of `name = value` and from `name=value` words; later ones go first."""
    given: dict[str, Any] = {}
    faults: list[Fault] = []
    for file in files:
        try:
            attributes = syntax.parse_values(file.read_text("utf-8"), str(file), faults)
        except (OSError, ValueError) as error:
            faults.append(Fault(str(file), 0, "", str(error)))
            continue
        for name, attribute in attributes.items():
            try:
                given[name] = attribute.value(configuration.Scope(configuration.nothing))
            except configuration.EvalError as error:
                faults.append(Fault(str(file), error.line, name, str(error)))
    for word in words:
        name, equals, value = word.partition("=")
        if not equals or not name:
            faults.append(Fault("-var", 0, word, "must be NAME=VALUE"))
        given[name] = value
    if faults:
        raise Invalid(faults)
    return given


def recorded(state: Mapping[str, Any]) -> list[Record]:
    return [
        Record(r["kind"], r["name"], r["attrs"], Phase(r["phase"]), r["since"], r["pos"], r["at"])
        for r in state["records"]
    ]


def make_plan(
    ask: Caller, wanted: dict[str, Resource], why: str = "", with_forecast: bool = True, mix: forecast.Mix | None = None
) -> dict[str, Any]:
    """The plan's document, on the state that the control plane has now."""
    state, seen = ask("GET", "/v1/state"), ask("GET", "/v1/observed")
    observed = Observed(frozenset(seen["gone"]), seen["odd"])
    records = recorded(state)
    plan = planner.plan(wanted, records, observed)
    told = None
    if with_forecast and not plan.blocked:
        before = {
            r.id: Resource(r.kind, r.name, r.attrs)
            for r in records
            if r.kind not in SERVERS or r.phase in (Phase.COLD, Phase.WARM)
        }
        changed = {
            side["node"] for step in plan.steps if step.kind == "box" for side in (step.before, step.after) if side
        }
        told = forecast.before_and_after(before, wanted, changed, mix)
    document = saved.document(plan, wanted, state["version"], state["serial"], told, why)
    return document if state["open"] is None else {**document, "unfinished": state["open"]}


def wanted_of(ask: Caller, number: int) -> dict[str, Resource]:
    """What a version wanted, to plan a return to it."""
    return saved.resources_of(ask("GET", f"/v1/versions/{number}")["wanted"])


Progress = Callable[[dict[str, Any]], None]


class Halted(Exception):
    """The apply needs an operator; it stays open."""

    def __init__(self, apply: int, text: str) -> None:
        super().__init__(text)
        self.apply = apply


def begin(ask: Caller, plan: dict[str, Any], holder: str, who: str, why: str) -> dict[str, Any]:
    """Open an apply; its lease."""
    body = {key: value for key, value in plan.items() if key != "unfinished"}
    return ask("POST", "/v1/applies", {"plan": body, "holder": holder, "who": who, "why": why})


def resume(ask: Caller, number: int, holder: str, wait: float) -> dict[str, Any]:
    """Take over an open apply; waits, so many seconds at most, until its lease has run out."""
    end = time.monotonic() + wait
    while True:
        try:
            return ask("POST", f"/v1/applies/{number}/resume", {"holder": holder})
        except Failed as error:
            left = error.more.get("wait_ms", 0) / 1e3
            if error.code != "leased" or time.monotonic() + left > end:
                raise
            time.sleep(left + 0.01)


def carry_on(ask: Caller, lease: dict[str, Any], progress: Progress, patience: float = 60.0) -> dict[str, Any]:
    """Advance the apply until it is done. A control plane that restarts meanwhile is waited for, so many seconds."""
    number, lost = lease["apply"], None
    while True:
        try:
            told = ask("POST", f"/v1/applies/{number}/advance", {"token": lease["token"]})
            lost = None
        except Unreached:
            lost = lost or time.monotonic()
            if time.monotonic() - lost > patience:
                raise
            time.sleep(RECONNECT)
            continue
        except Failed as error:
            # Where several members carry it on by themselves, it may have ended between two calls.
            version = ask("GET", f"/v1/versions/{lease['version']}") if error.code == "not-open" else {}
            if version.get("state") != "applied":
                raise
            return {"state": "done", "done": 0, "steps": 0, "begun": [], "confirmed": [], "waits": {}, "apply": number}
        progress(told)
        if told["state"] == "done":
            return told
        if told["state"] == "halted":
            raise Halted(number, told["halted"])
        if not told["begun"] and not told["confirmed"]:
            time.sleep(AGAIN)
