"""Client of the administration API for the commands that plan and apply a file of tenants."""

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
    """The file could not be read, or the API was not reached or answered with an error."""


def read_file(path: Path) -> list[Tenant]:
    """Read tenants from a file: TOML with one [[tenants]] table each, or JSON."""
    try:
        raw = path.read_bytes()
        document = orjson.loads(raw) if path.suffix == ".json" else tomllib.loads(raw.decode())
    except (OSError, ValueError) as error:
        raise RequestFailed(f"{path}: {error}") from None
    if not isinstance(document, dict) or set(document) - {"tenants"}:
        raise RequestFailed(f"{path}: must contain only the key `tenants`")
    return read_tenants(document.get("tenants", []))


def call(address: str, token: str, method: str, path: str, body: Any = None) -> Any:
    """Send one call to the API and return its answer."""
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
    """Return the changes that applying the file would make, and the state version that they are based on."""
    wanted = read_file(path)
    state = call(address, token, "GET", "/v1/state")
    return {"version": state["version"], "steps": difference(read_tenants(state["tenants"]), wanted)}


def apply(address: str, token: str, path: Path, expected_version: int | None) -> dict[str, Any]:
    """Replace the running tenants by the file's, if the state still has the given version, or else the current one."""
    wanted = read_file(path)
    version = call(address, token, "GET", "/v1/state")["version"] if expected_version is None else expected_version
    tenants = [write_tenant(tenant) for tenant in wanted]
    return call(address, token, "POST", "/v1/apply", {"version": version, "tenants": tenants})


def format_result(result: dict[str, Any]) -> str:
    """Format a plan or the result of an apply as text."""
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
