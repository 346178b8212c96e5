"""The administration API, version 1: tenants, counters, overload control and DNS resolvers.

GET    /v1/state            the state version and all tenants
POST   /v1/apply            {"version": N, "tenants": [...]}: replace all tenants, if the state version is still N
GET    /v1/tenants          all tenants
GET    /v1/tenants/NAME     one tenant
PUT    /v1/tenants/NAME     create or replace a tenant; If-Match holds the expected state version
DELETE /v1/tenants/NAME     remove a tenant
GET    /v1/stats            the counters
GET    /v1/overload         the state of overload control, its figures and the limits in force
GET    /v1/overload/why/ID  why the request with this id was refused; the last 2,048 refusals are kept
GET    /metrics             the overload figures and the counters, for Prometheus
GET    /v1/dns/resolvers    the load charged to each resolver, and which resolvers cache answers of TTL 0
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from threadhill.admin.explain import OverloadQueries
from threadhill.admin.http import Call, Problem
from threadhill.core.tenants import Tenant, Tenants, VersionConflict
from threadhill.documents import Invalid, difference, read_tenant, read_tenants, write_tenant
from threadhill.stats import Stats


class Api:
    """Handles calls. Each handler validates its whole input before it changes anything."""

    def __init__(
        self,
        tenants: Tenants,
        stats: Stats,
        on_change: Callable[[], None],
        resolvers: Callable[[], list[dict[str, Any]]] | None = None,
        overload_queries: OverloadQueries | None = None,
        record: Callable[[str, str, Any, int], None] | None = None,
    ) -> None:
        self.tenants, self.stats, self._on_change, self._resolvers = tenants, stats, on_change, resolvers
        self._overload_queries = overload_queries
        self._record = record  # appends to the audit log; None without one

    def __call__(self, call: Call) -> tuple[int, Any]:
        """Answer a call; changes and refused changes are written to the audit log before the answer is sent."""
        if call.method in ("GET", "HEAD") or self._record is None:
            return self._answer(call)
        actor = f"key {call.caller.id}" if call.caller is not None else "token"
        action, detail = f"{call.method} {call.path}", call.body.decode("utf-8", "replace")
        try:
            status, body = self._answer(call)
        except Problem as problem:
            self._record(actor, action, detail, problem.status)
            raise
        self._record(actor, action, detail, status)
        return status, body

    def _answer(self, call: Call) -> tuple[int, Any]:
        self.stats.count("admin", call.method)
        path = call.path.partition("?")[0].strip("/").split("/")
        if path == ["metrics"] and call.method == "GET":
            return 200, self._overload().metrics()
        if path[0] != "v1":
            raise Problem(404, "not-found", "paths begin with /v1")
        routes = {
            ("state",): {"GET": self._state},
            ("stats",): {"GET": self._stats},
            ("apply",): {"POST": self._apply},
            ("tenants",): {"GET": self._list},
            ("dns", "resolvers"): {"GET": self._dns_resolvers},
            ("overload",): {"GET": self._overload_status},
        }
        if len(path) == 3 and path[1] == "tenants":
            methods = {"GET": self._get, "PUT": self._put, "DELETE": self._delete}
        elif len(path) == 4 and path[1:3] == ["overload", "why"]:
            methods = {"GET": lambda call, _, rid: self._overload_why(call, rid)}
        else:
            methods = routes.get(tuple(path[1:]), {})
        if not methods:
            raise Problem(404, "not-found", f"there is no resource {call.path}")
        if call.method not in methods:
            raise Problem(405, "method-not-allowed", f"{call.path} does not allow {call.method}", ", ".join(methods))
        try:
            self._check_permission(call, path)
            return methods[call.method](call, *path[2:])
        except Invalid as error:
            raise Problem(422, "invalid", str(error), faults=error.faults) from None
        except VersionConflict as error:
            raise Problem(409, "conflict", str(error), version=self.tenants.version) from None

    def _check_permission(self, call: Call, path: list[str]) -> None:
        if call.caller is None:
            return
        from threadhill.admin.access import check_permission

        name = path[2] if len(path) == 3 and path[1] == "tenants" else None
        old = self.tenants.by_name.get(name) if name is not None else None
        new = read_tenant(call.json(), "tenant", name) if name is not None and call.method == "PUT" else None
        check_permission(call, path, old, new)

    def _all(self) -> list[Tenant]:
        return [tenant for _, tenant in sorted(self.tenants.by_name.items())]

    def _state(self, call: Call) -> tuple[int, Any]:
        return 200, {"version": self.tenants.version, "tenants": [write_tenant(t) for t in self._all()]}

    def _stats(self, call: Call) -> tuple[int, Any]:
        return 200, self.stats.table()

    def _dns_resolvers(self, call: Call, *_: str) -> tuple[int, Any]:
        if self._resolvers is None:
            raise Problem(404, "no-dns", "this proxy has no DNS front")
        return 200, {"resolvers": self._resolvers()}

    def _overload(self) -> OverloadQueries:
        if self._overload_queries is None:
            raise Problem(404, "no-overload", "overload control is off: the operator's file has no [overload] section")
        return self._overload_queries

    def _overload_status(self, call: Call, *_: str) -> tuple[int, Any]:
        return 200, self._overload().status()

    def _overload_why(self, call: Call, rid: str) -> tuple[int, Any]:
        refusal = self._overload().why(rid)
        if refusal is None:
            raise Problem(404, "not-refused", f"none of the recent refusals has the request id {rid[:60]!r}")
        return 200, {"rid": rid, **refusal}

    def _list(self, call: Call) -> tuple[int, Any]:
        return 200, {"tenants": [write_tenant(t) for t in self._all()]}

    def _get(self, call: Call, name: str) -> tuple[int, Any]:
        return 200, write_tenant(self._known(name))

    def _known(self, name: str) -> Tenant:
        tenant = self.tenants.by_name.get(name)
        if tenant is None:
            raise Problem(404, "no-such-tenant", f"there is no tenant {name!r}")
        return tenant

    def _apply(self, call: Call) -> tuple[int, Any]:
        raw = call.json()
        if not isinstance(raw, dict) or type(raw.get("version")) is not int:
            raise Problem(
                422,
                "invalid",
                "version: must be the state version that the plan was made for",
                faults=[{"at": "version", "fault": "must be an integer"}],
            )
        tenants = read_tenants(raw.get("tenants"))
        steps = difference(self._all(), tenants)
        # Without a difference the version is not checked, so an apply whose answer was lost can be sent again.
        self._replace(tenants, raw["version"] if steps else None)
        return 200, {"version": self.tenants.version, "steps": steps}

    def _put(self, call: Call, name: str) -> tuple[int, Any]:
        tenant = read_tenant(call.json(), "tenant", name)
        created = name not in self.tenants.by_name
        self._replace([*(t for t in self._all() if t.name != name), tenant], self._expected_version(call))
        return 201 if created else 200, {"version": self.tenants.version, "tenant": write_tenant(tenant)}

    def _delete(self, call: Call, name: str) -> tuple[int, Any]:
        self._known(name)
        self._replace([t for t in self._all() if t.name != name], self._expected_version(call))
        return 200, {"version": self.tenants.version}

    @staticmethod
    def _expected_version(call: Call) -> int | None:
        text = call.headers.get("if-match", "").strip('"')
        if text in ("", "*"):
            return None
        if not text.isascii() or not text.isdigit():
            raise Problem(400, "bad-request", "If-Match must hold a state version")
        return int(text)

    def _replace(self, tenants: list[Tenant], expected_version: int | None) -> None:
        if self.tenants.replace(tenants, expected_version):
            self._on_change()
