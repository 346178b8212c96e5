"""Authentication and authorization of the administration API by keys, and its entries in the audit log."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from threadhill.admin.http import Call, Problem
from threadhill.core.tenants import Tenant
from threadhill.tenancy.audit import AuditLog
from threadhill.tenancy.keys import Key, KeyChecker, Scope


class Access:
    """Authenticates callers by individual keys, which have scopes and may be limited to one tenant."""

    def __init__(self, key_checker: KeyChecker, audit: AuditLog | None, clock: Callable[[], float]) -> None:
        self.key_checker, self.audit, self.clock = key_checker, audit, clock

    def authenticate(self, headers: dict[str, str], peer: str) -> Key:
        """Return the caller's key. After several failures an address is refused for a growing time, even with a valid
        key."""
        now = self.clock()
        wait = self.key_checker.retry_delay(peer, now)
        if wait:
            raise Problem(
                429,
                "too-many-failures",
                f"too many wrong keys from this address; try again in {wait:.1f} s",
                retry_after_s=round(wait, 1),
            )
        scheme, _, text = headers.get("authorization", "").partition(" ")
        key = self.key_checker.check(text.strip(), peer, now) if scheme.lower() == "bearer" else None
        if key is None:
            if scheme:
                self.record(f"from {peer}", "authorize", None, 401)
            raise Problem(401, "unauthorized", "a valid key is required: Authorization: Bearer thk_...")
        return key

    def record(self, actor: str, action: str, detail: Any, outcome: int) -> None:
        if self.audit is not None:
            self.audit.add(int(self.clock() * 1_000), actor, action, detail, outcome)


def check_permission(call: Call, path: list[str], old: Tenant | None, new: Tenant | None) -> None:
    """Raise 403 if the caller's key does not permit the call. `old` and `new` are the tenant that the call changes,
    before and after the change, if there is one."""
    key = call.caller
    if key is None:  # the shared token permits everything
        return
    tenant_name = path[2] if len(path) == 3 and path[1] == "tenants" else None
    if key.tenant and tenant_name != key.tenant:
        raise Problem(403, "forbidden", f"this key is limited to tenant {key.tenant}")
    if call.method in ("GET", "HEAD"):
        scope = Scope.READ
    elif (
        old is not None and new is not None and (old.name, old.zones, old.records) == (new.name, new.zones, new.records)
    ):
        scope = Scope.QUOTA  # only the quota changes
    else:
        scope = Scope.ADMIN
    if not key.allows(scope):
        scopes = ", ".join(sorted(s.value for s in key.scopes))
        raise Problem(403, "forbidden", f"this call requires the scope {scope.value}; the key has {scopes}")
