"""Who a call of the administration API is by, whether its key lets it, and the audit log's line of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from threadhill.admin.http import Call, Problem
from threadhill.core.tenants import Tenant
from threadhill.tenancy.audit import AuditLog
from threadhill.tenancy.keys import Key, KeyChecker, Scope


class Access:
    """In place of one token for all: keys, each with its scopes and maybe one tenant's."""

    def __init__(self, key_checker: KeyChecker, audit: AuditLog | None, clock: Callable[[], float]) -> None:
        self.key_checker, self.audit, self.clock = key_checker, audit, clock

    def authenticate(self, headers: dict[str, str], peer: str) -> Key:
        """The caller's key. An address with several wrong ones waits longer each time, whatever it brings next."""
        now = self.clock()
        wait = self.key_checker.retry_delay(peer, now)
        if wait:
            raise Problem(
                429,
                "too-many-failures",
                f"wrong keys came from this address; try again in {wait:.1f} s",
                retry_after_s=round(wait, 1),
            )
        scheme, _, text = headers.get("authorization", "").partition(" ")
        key = self.key_checker.check(text.strip(), peer, now) if scheme.lower() == "bearer" else None
        if key is None:
            if scheme:
                self.record(f"from {peer}", "authorize", None, 401)
            raise Problem(401, "unauthorized", "a valid key is needed: Authorization: Bearer thk_...")
        return key

    def record(self, actor: str, action: str, detail: Any, outcome: int) -> None:
        if self.audit is not None:
            self.audit.add(int(self.clock() * 1_000), actor, action, detail, outcome)


def check_permission(call: Call, path: list[str], old: Tenant | None, new: Tenant | None) -> None:
    """Raises 403 where the caller's key does not let it. `old` and `new`: the tenant that a change is of, before and
    after, where it is of one."""
    key = call.caller
    if key is None:  # one token for all: whoever has it may do everything
        return
    named = path[2] if len(path) == 3 and path[1] == "tenants" else None
    if key.tenant and named != key.tenant:
        raise Problem(403, "forbidden", f"this key is of tenant {key.tenant} and sees nothing else")
    if call.method in ("GET", "HEAD"):
        scope = Scope.READ
    elif (
        old is not None and new is not None and (old.name, old.zones, old.records) == (new.name, new.zones, new.records)
    ):
        scope = Scope.QUOTA  # nothing but the quota changes
    else:
        scope = Scope.ADMIN
    if not key.allows(scope):
        has = ", ".join(sorted(s.value for s in key.scopes))
        raise Problem(403, "forbidden", f"this call needs the scope {scope.value}; the key has {has}")
