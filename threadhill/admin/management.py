"""The operators' address: HTTP/1.1, one call a connection, 2xx for yes and 4xx or 5xx for no.

    GET  /admin/health                   yes once this process takes clients
    GET  /admin/stats                    the figures, `name=value` a line
    POST /admin/cordon   {"name":"ID"}   take that cache server out
    POST /admin/uncordon {"name":"ID"}   put it back
    POST /admin/quiesce                  send clients away
    POST /admin/resume                   take them again

It shares the door of every other front: bounded connections, a deadline for each call to come whole, heads and bodies
of bounded size. What it decides lies in the core; this only reads calls and says what came of them.
"""

from __future__ import annotations

from typing import Any, Protocol

from threadhill.admin.http import Call, HttpConnection, Problem
from threadhill.core.metrics import format_metrics
from threadhill.net.listener import Listener

MAX_BODY = 4_096  # bytes of a call's body at most
MAX_NAME_LENGTH = 256  # characters of a cache server's id at most


class Controls(Protocol):
    """What the proxy does for its operators."""

    def healthy(self) -> bool: ...

    def figures(self) -> dict[str, int]: ...

    def cordon(self, name: str) -> bool:
        """False where nobody has this id."""
        ...

    def uncordon(self, name: str) -> bool:
        """False where it is not out by hand."""
        ...

    def quiesce(self) -> None: ...

    def resume(self) -> None: ...


def _name(call: Call) -> str:
    """The `name` of a call's body, checked."""
    body = call.json()
    if not isinstance(body, dict) or "name" not in body:
        raise Problem(400, "no-name", 'the body is {"name":"ID"}, with the id of a cache server')
    name = body["name"]
    if not isinstance(name, str) or not name or len(name) > MAX_NAME_LENGTH:
        raise Problem(400, "bad-name", f"name is a cache server's id, a string of 1 to {MAX_NAME_LENGTH} characters")
    return name


class Management:
    """The calls, by method and path."""

    def __init__(self, controls: Controls) -> None:
        self.controls = controls
        self.routes = {
            "/admin/health": ("GET", self._health),
            "/admin/stats": ("GET", self._stats),
            "/admin/cordon": ("POST", self._cordon),
            "/admin/uncordon": ("POST", self._uncordon),
            "/admin/quiesce": ("POST", self._quiesce),
            "/admin/resume": ("POST", self._resume),
        }

    def __call__(self, call: Call) -> tuple[int, Any]:
        path = call.path.partition("?")[0]
        route = self.routes.get(path)
        if route is None:
            raise Problem(404, "no-such-path", f"no call {path[:80]}; the calls are {', '.join(self.routes)}")
        method, handle = route
        if call.method != method and not (method == "GET" and call.method == "HEAD"):
            raise Problem(405, "wrong-method", f"{path} takes {method}", allow=method)
        return handle(call)

    def _health(self, call: Call) -> tuple[int, Any]:
        if not self.controls.healthy():
            raise Problem(503, "not-serving", "this process does not take clients")
        return 200, {"status": "serving"}

    def _stats(self, call: Call) -> tuple[int, Any]:
        return 200, format_metrics(self.controls.figures())

    def _cordon(self, call: Call) -> tuple[int, Any]:
        name = _name(call)
        if not self.controls.cordon(name):
            raise Problem(404, "no-such-server", f"no cache server has the id {name[:80]!r}")
        return 200, {"cordoned": name}

    def _uncordon(self, call: Call) -> tuple[int, Any]:
        name = _name(call)
        if not self.controls.uncordon(name):
            raise Problem(404, "not-cordoned", f"{name[:80]!r} is not out by hand")
        return 200, {"uncordoned": name}

    def _quiesce(self, call: Call) -> tuple[int, Any]:
        self.controls.quiesce()
        return 200, {"status": "quiesced"}

    def _resume(self, call: Call) -> tuple[int, Any]:
        self.controls.resume()
        return 200, {"status": "serving"}


def management_listener(host: Any, controls: Controls, log: Any, max_connections: int) -> Listener:
    """The listener, not yet listening; who says nothing makes room for who calls."""
    routes = Management(controls)
    return Listener(
        host,
        "operator",
        max_connections,
        lambda listener: HttpConnection(None, routes, listener, MAX_BODY, single_call=True),
        log,
    )
