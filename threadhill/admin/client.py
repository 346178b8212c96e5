"""The command line's side of plan and apply: a file, the running state, and the difference."""

from __future__ import annotations

import http.client
import tomllib
from pathlib import Path
from typing import Any

import orjson

from threadhill.core.tenants import Tenant
from threadhill.documents import difference, read_tenants, write_tenant

STEP_SYMBOLS = {"add": "+", "remove": "-", "change": "~"}


class RequestFailed(Exception):
    """The API could not be asked, or said no."""


def read_file(path: Path) -> list[Tenant]:
    """The tenants that a file asks for: TOML with a [[tenants]] table each, or JSON."""
    try:
        raw = path.read_bytes()
        document = orjson.loads(raw) if path.suffix == ".json" else tomllib.loads(raw.decode())
    except (OSError, ValueError) as error:
        raise RequestFailed(f"{path}: {error}") from None
    if not isinstance(document, dict) or set(document) - {"tenants"}:
        raise RequestFailed(f"{path}: must hold `tenants` and nothing else")
    return read_tenants(document.get("tenants", []))


def call(address: str, token: str, method: str, path: str, body: Any = None) -> Any:
    """One call of the API; what it answers."""
    connection = http.client.HTTPConnection(address, timeout=10)
    try:
        raw = None if body is None else orjson.dumps(body)
        connection.request(method, path, raw, {"Authorization": f"Bearer {token}", "Connection": "close"})
        response = connection.getresponse()
        answer = orjson.loads(response.read() or b"null")
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise RequestFailed(f"{address}: {error}") from None
    finally:
        connection.close()
    if response.status >= 400:
        error = (answer or {}).get("error", {})
        raise RequestFailed(f"{error.get('code', response.status)}: {error.get('message', '')}")
    return answer


def plan(address: str, token: str, path: Path) -> dict[str, Any]:
    """What applying the file would change, and the version that this holds for."""
    wanted = read_file(path)
    state = call(address, token, "GET", "/v1/state")
    return {"version": state["version"], "steps": difference(read_tenants(state["tenants"]), wanted)}


def apply(address: str, token: str, path: Path, expected_version: int | None) -> dict[str, Any]:
    """Make the file's tenants the running ones, against the version given or else the one just read."""
    wanted = read_file(path)
    version = call(address, token, "GET", "/v1/state")["version"] if expected_version is None else expected_version
    tenants = [write_tenant(tenant) for tenant in wanted]
    return call(address, token, "POST", "/v1/apply", {"version": version, "tenants": tenants})


def format_result(result: dict[str, Any]) -> str:
    """A plan or what was applied, for people."""
    lines = []
    for step in result["steps"]:
        lines.append(f"{STEP_SYMBOLS[step['step']]} tenant {step['name']}")
        before, after = step["from"] or {}, step["to"] or {}
        for key in ("zones", "quota", "records"):
            if before.get(key) != after.get(key):
                lines.append(f"    {key}: {_format_value(before.get(key))} -> {_format_value(after.get(key))}")
    counts = [sum(step["step"] == kind for step in result["steps"]) for kind in STEP_SYMBOLS]
    lines.append("{} to add, {} to remove, {} to change; state version {}".format(*counts, result["version"]))
    return "\n".join(lines)


def _format_value(value: Any) -> str:
    return "none" if value is None else orjson.dumps(value).decode()
