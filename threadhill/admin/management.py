"""The management address for operators: HTTP/1.1, one call per connection, 2xx for success and 4xx or 5xx for errors.

    GET  /admin/health                   200 once this process accepts clients
    GET  /admin/stats                    the metrics, one `name=value` per line
    POST /admin/cordon   {"name":"ID"}   take that cache server out of rotation
    POST /admin/uncordon {"name":"ID"}   put it back into rotation
    POST /admin/quiesce                  disconnect clients and accept no new ones
    POST /admin/resume                   accept clients again

It uses the same listener as the other fronts: a bounded number of connections, a deadline for each call to arrive
completely, heads and bodies of bounded size. The core carries out the calls; this module only parses and answers them.
"""

from __future__ import annotations

from typing import Any, Protocol

from threadhill.admin.http import Call, HttpConnection, Problem
from threadhill.core.metrics import format_metrics
from threadhill.net.listener import Listener

MAX_BODY = 4_096  # bytes of a call's body
MAX_NAME_LENGTH = 256  # characters of a cache server's id


class Controls(Protocol):
    """The operations that the proxy offers to its operators."""

    def healthy(self) -> bool: ...

    def figures(self) -> dict[str, int]: ...

    def cordon(self, name: str) -> bool:
        """Return False if no cache server has this id."""
        ...

    def uncordon(self, name: str) -> bool:
        """Return False if it is not cordoned."""
        ...

    def quiesce(self) -> None: ...

    def resume(self) -> None: ...


def _name(call: Call) -> str:
    """Return the validated `name` in a call's body."""
    body = call.json()
    if not isinstance(body, dict) or "name" not in body:
        raise Problem(400, "no-name", 'the body must be {"name":"ID"}, with the id of a cache server')
    name = body["name"]
    if not isinstance(name, str) or not name or len(name) > MAX_NAME_LENGTH:
        raise Problem(
            400, "bad-name", f"name must be a cache server's id, a string of 1 to {MAX_NAME_LENGTH} characters"
        )
    return name


class Management:
    """Dispatches calls by path and method."""

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
            raise Problem(404, "no-such-path", f"there is no call {path[:80]}; the calls are {', '.join(self.routes)}")
        method, handle = route
        if call.method != method and not (method == "GET" and call.method == "HEAD"):
            raise Problem(405, "wrong-method", f"{path} requires {method}", allow=method)
        return handle(call)

    def _health(self, call: Call) -> tuple[int, Any]:
        if not self.controls.healthy():
            raise Problem(503, "not-serving", "this process does not accept clients")
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
            raise Problem(404, "not-cordoned", f"{name[:80]!r} is not cordoned")
        return 200, {"uncordoned": name}

    def _quiesce(self, call: Call) -> tuple[int, Any]:
        self.controls.quiesce()
        return 200, {"status": "quiesced"}

    def _resume(self, call: Call) -> tuple[int, Any]:
        self.controls.resume()
        return 200, {"status": "serving"}


def management_listener(host: Any, controls: Controls, log: Any, max_connections: int) -> Listener:
    """Create the listener without starting it. When it is full, silent connections are closed for new callers."""
    routes = Management(controls)
    return Listener(
        host,
        "operator",
        max_connections,
        lambda listener: HttpConnection(None, routes, listener, MAX_BODY, single_call=True),
        log,
    )
