"""The command line's client of the control plane: calls its API, makes plans, and carries out applies step by step."""

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
from threadhill.plans.faults import Fault, InvalidConfiguration
from threadhill.plans.planner import Observed
from threadhill.plans.rules import SERVER_KINDS, Phase, Record

ADVANCE_INTERVAL = 0.05  # seconds between calls that advance an apply, while nothing changes
RETRY_INTERVAL = 0.2  # seconds between tries while the control plane can't be reached
MEMBER_TIMEOUT = 3.0  # seconds that one of several members may take to answer: it may have been stopped
OWNER_TIMEOUT = 10.0  # seconds for which the owner is looked for among several members


class ApiError(Exception):
    """The control plane answered with an error: its code, its message, and the other fields of the error."""

    def __init__(self, code: str, text: str, **details: Any) -> None:
        super().__init__(text)
        self.code, self.details = code, details


class Unreachable(ApiError):
    """No answer came from the control plane. Whether the call took effect is unknown."""

    def __init__(self, text: str) -> None:
        super().__init__("unreached", text)


class ApiClient:
    """Calls the API, over one connection while it lasts. `address` may name several members, separated by commas."""

    def __init__(self, address: str, token: str) -> None:
        self.addresses = [part.strip() for part in address.split(",") if part.strip()]
        self.address, self.token = self.addresses[0], token
        self._connection: http.client.HTTPConnection | None = None

    def __call__(self, method: str, path: str, body: Any = None) -> Any:
        """Make a call and return its answer. Raises ApiError, or Unreachable if no answer came. A kept connection may
        have ended with a restart of the control plane: calls that may be repeated are, on a new connection."""
        if path == "/v1/applies":  # a repeated call would be refused because of the apply that the first one opened
            self.close()
        end = time.monotonic() + (OWNER_TIMEOUT if len(self.addresses) > 1 else 0)
        while True:
            try:
                return self._call_reconnecting(method, path, body)
            except ApiError as error:
                # A call that a member took before it fell silent may be repeated: no call takes effect twice.
                if time.monotonic() > end or error.code not in ("not-owner", "no-owner", "unreached"):
                    raise
                self._switch_member(error)

    def _switch_member(self, error: ApiError) -> None:
        """Turn to the owner that the error names, or else to the next member."""
        self.close()
        owner = error.details.get("owner")
        if owner:
            self.address = owner
            return
        time.sleep(RETRY_INTERVAL)
        index = self.addresses.index(self.address) if self.address in self.addresses else -1
        self.address = self.addresses[(index + 1) % len(self.addresses)]

    def _call_reconnecting(self, method: str, path: str, body: Any) -> Any:
        if self._connection is not None:
            try:
                return self._request(method, path, body)
            except Unreachable:
                pass
        return self._request(method, path, body)

    def _request(self, method: str, path: str, body: Any) -> Any:
        raw = None if body is None else orjson.dumps(body)
        try:
            if self._connection is None:
                self._connection = http.client.HTTPConnection(
                    self.address, timeout=MEMBER_TIMEOUT if len(self.addresses) > 1 else 30
                )
            self._connection.request(method, path, raw, {"Authorization": f"Bearer {self.token}"})
            response = self._connection.getresponse()
            answer = orjson.loads(response.read() or b"null")
            if response.getheader("Connection", "").lower() == "close":
                self.close()
        except (OSError, ValueError, http.client.HTTPException) as error:
            self.close()
            raise Unreachable(f"{self.address}: {error}") from None
        if response.status >= 400:
            error = (answer or {}).get("error", {})
            raise ApiError(
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
    gc.freeze()  # a large configuration makes many objects that all stay: repeated collections would take
    gc.set_threshold(200_000, 50, 50)  # a fifth of a plan's time
    return configuration.evaluate(syntax.read(path), given)


def read_variables(files: list[Path], assignments: list[str]) -> dict[str, Any]:
    """Values of variables, from files of `name = value` and from `name=value` arguments; the last value wins."""
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
                given[name] = attribute.value(configuration.Scope(configuration.no_names))
            except configuration.EvalError as error:
                faults.append(Fault(str(file), error.line, name, str(error)))
    for assignment in assignments:
        name, equals, value = assignment.partition("=")
        if not equals or not name:
            faults.append(Fault("-var", 0, assignment, "must be NAME=VALUE"))
        given[name] = value
    if faults:
        raise InvalidConfiguration(faults)
    return given


def records_of(state: Mapping[str, Any]) -> list[Record]:
    return [
        Record(r["kind"], r["name"], r["attrs"], Phase(r["phase"]), r["since"], r["pos"], r["at"])
        for r in state["records"]
    ]


def make_plan(
    api: ApiClient,
    wanted: dict[str, Resource],
    why: str = "",
    with_forecast: bool = True,
    mix: forecast.Mix | None = None,
) -> dict[str, Any]:
    """The document of a plan on the control plane's current state."""
    state, reported = api("GET", "/v1/state"), api("GET", "/v1/observed")
    observed = Observed(frozenset(reported["gone"]), reported["odd"])
    records = records_of(state)
    plan = planner.plan(wanted, records, observed)
    prediction = None
    if with_forecast and not plan.blocked:
        before = {
            r.id: Resource(r.kind, r.name, r.attrs)
            for r in records
            if r.kind not in SERVER_KINDS or r.phase in (Phase.COLD, Phase.WARM)
        }
        changed = {
            side["node"] for step in plan.steps if step.kind == "box" for side in (step.before, step.after) if side
        }
        prediction = forecast.before_and_after(before, wanted, changed, mix)
    document = saved.document(plan, wanted, state["version"], state["serial"], prediction, why)
    return document if state["open"] is None else {**document, "unfinished": state["open"]}


def version_resources(api: ApiClient, number: int) -> dict[str, Resource]:
    """The resources of a version, to plan a return to it."""
    return saved.resources_of(api("GET", f"/v1/versions/{number}")["wanted"])


ProgressCallback = Callable[[dict[str, Any]], None]


class Halted(Exception):
    """The apply can't go on without an operator. It stays open."""

    def __init__(self, apply: int, text: str) -> None:
        super().__init__(text)
        self.apply = apply


def begin_apply(api: ApiClient, plan: dict[str, Any], holder: str, who: str, why: str) -> dict[str, Any]:
    """Open an apply; returns its lease."""
    body = {key: value for key, value in plan.items() if key != "unfinished"}
    return api("POST", "/v1/applies", {"plan": body, "holder": holder, "who": who, "why": why})


def resume_apply(api: ApiClient, number: int, holder: str, wait: float) -> dict[str, Any]:
    """Take over an open apply. Waits for its lease to expire, `wait` seconds at most."""
    end = time.monotonic() + wait
    while True:
        try:
            return api("POST", f"/v1/applies/{number}/resume", {"holder": holder})
        except ApiError as error:
            remaining = error.details.get("wait_ms", 0) / 1e3
            if error.code != "leased" or time.monotonic() + remaining > end:
                raise
            time.sleep(remaining + 0.01)


def run_apply(
    api: ApiClient, lease: dict[str, Any], progress: ProgressCallback, patience: float = 60.0
) -> dict[str, Any]:
    """Advance the apply until it is done. A control plane that can't be reached is waited for, `patience` seconds."""
    number, unreachable_since = lease["apply"], None
    while True:
        try:
            result = api("POST", f"/v1/applies/{number}/advance", {"token": lease["token"]})
            unreachable_since = None
        except Unreachable:
            unreachable_since = unreachable_since or time.monotonic()
            if time.monotonic() - unreachable_since > patience:
                raise
            time.sleep(RETRY_INTERVAL)
            continue
        except ApiError as error:
            # Members advance an open apply by themselves, so it may have ended between two calls.
            version = api("GET", f"/v1/versions/{lease['version']}") if error.code == "not-open" else {}
            if version.get("state") != "applied":
                raise
            return {"state": "done", "done": 0, "steps": 0, "begun": [], "confirmed": [], "waits": {}, "apply": number}
        progress(result)
        if result["state"] == "done":
            return result
        if result["state"] == "halted":
            raise Halted(number, result["halted"])
        if not result["begun"] and not result["confirmed"]:
            time.sleep(ADVANCE_INTERVAL)
