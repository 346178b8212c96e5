"""The control plane's HTTP API, version 1. A call that changes something validates its whole body first.

GET  /v1/state                     the recorded state, and the open apply
GET  /v1/observed                  what proxies report
GET  /v1/versions?before=N         the newest versions below N
GET  /v1/versions/N                one version with its whole desired state
GET  /v1/applies/N                 an open apply: its steps as done, in doubt or left
POST /v1/applies                   {"plan", "holder", "who", "why"}: open an apply; answers with its lease
POST /v1/applies/N/advance         {"token"}: carry it on as far as it goes now
POST /v1/applies/N/resume          {"holder"}: take over an apply whose lease has expired
POST /v1/applies/N/abandon         {"who"}: end it where it stands
GET  /v1/recovery                  the fleet's phases; whether the state is held back, and the proposal
POST /v1/recovery/adopt            {"digest", "who"}: record the proposal that was shown
POST /v1/recovery/as-recorded      {"digest", "who"}: keep the store's state as it is
GET  /v1/members                   the members, the owner, and how old this member's state may be
GET  /v1/works                     the fleet's background tasks, which member runs each, and their progress
POST /v1/owner/hand-over           {"to"}: the owner releases its term, for that member or any
POST /v1/members                   {"name", "agree", "api", "feed"}: add a member
POST /v1/members/NAME/remove       remove a member
POST /v1/reports                   a list of proxies' reports that another member received
GET  /v1/stats                     the counters
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from threadhill.admin.http import Call, Problem
from threadhill.control.adoption import AdoptionHold
from threadhill.control.ledger import Ledger, Refused
from threadhill.control.members_file import Member
from threadhill.control.store import Apply, WriteFailed
from threadhill.stats import Stats

if TYPE_CHECKING:
    from threadhill.control.cluster import Cluster

PAGE_SIZE = 50
OWNER_ONLY = (["observed"], ["recovery"], ["works"])  # paths that only the owner can answer
STATUS_CODES = {
    "bad-plan": 422,
    "not-open": 404,
    "lease-lost": 409,
    "leased": 409,
    "conflict": 409,
    "unfinished": 409,
    "held": 409,
    "not-held": 409,
    "not-owner": 421,
    "no-owner": 503,
}


class ControlApi:
    """Handles the API's calls."""

    def __init__(
        self,
        ledger: Ledger,
        stats: Stats,
        now: Callable[[], int],
        log: Callable[..., None] = lambda event, **more: None,
        adoption: AdoptionHold | None = None,
        recovery: Callable[[], dict[str, Any]] = dict,
        cluster: Cluster | None = None,
        tasks: Callable[[], list[dict[str, Any]]] = list,
        report: Callable[[dict[str, Any]], bool] = lambda raw: False,
    ) -> None:
        self.cluster, self._tasks, self._report = cluster, tasks, report
        self.ledger, self.stats, self._now, self._log = ledger, stats, now, log
        self.adoption, self._recovery = adoption, recovery

    def __call__(self, call: Call) -> tuple[int, Any]:
        self.stats.count("api", call.method)
        target, _, query = call.path.partition("?")
        path = target.strip("/").split("/")
        if path[0] != "v1":
            raise Problem(404, "not-found", "paths begin with /v1")
        handlers = self._handlers(path[1:], query)
        if not handlers:
            raise Problem(404, "not-found", f"there is no resource {call.path}")
        if call.method not in handlers:
            raise Problem(405, "method-not-allowed", f"{call.path} does not allow {call.method}", ", ".join(handlers))
        try:
            # Only the owner makes changes and has the proxies' reports; any member answers other reads, with their age.
            if self.cluster is not None and (call.method == "POST" or path[1:] in OWNER_ONLY):
                self.cluster.require_ownership()
            return handlers[call.method](call)
        except Refused as error:
            raise Problem(STATUS_CODES[error.code], error.code, str(error), **error.details) from None
        except WriteFailed as error:
            raise Problem(507, "not-written", str(error)) from None

    def _handlers(self, path: list[str], query: str) -> dict[str, Callable[[Call], tuple[int, Any]]]:
        ledger = self.ledger
        match path:
            case ["state"]:
                return {"GET": lambda call: (200, ledger.state() | self._as_of())}
            case ["observed"]:
                return {"GET": lambda call: (200, ledger.observed(self._now()))}
            case ["stats"]:
                return {"GET": lambda call: (200, self.stats.table())}
            case ["members"] if self.cluster is not None:
                return {"GET": lambda call: (200, self.cluster.document()), "POST": self._join}
            case ["members", name, "remove"] if self.cluster is not None:
                return {"POST": lambda call: self._leave(name)}
            case ["owner", "hand-over"] if self.cluster is not None:
                return {"POST": self._hand_over}
            case ["reports"] if self.cluster is not None:
                return {"POST": self._reports}
            case ["works"]:
                return {"GET": lambda call: (200, {"works": self._tasks()})}
            case ["recovery"]:
                return {"GET": lambda call: (200, self._recovery())}
            case ["recovery", ("adopt" | "as-recorded") as how] if self.adoption is not None:
                return {"POST": lambda call: self._decide(how, call)}
            case ["versions"]:
                return {"GET": lambda call: self._versions(query)}
            case ["versions", number]:
                return {"GET": lambda call: self._version(_parse_number(number))}
            case ["applies"]:
                return {"POST": self._begin}
            case ["applies", number]:
                return {"GET": lambda call: self._open_apply(_parse_number(number))}
            case ["applies", number, "advance"]:
                return {"POST": lambda call: self._advance(_parse_number(number), call)}
            case ["applies", number, "resume"]:
                return {"POST": lambda call: self._resume(_parse_number(number), call)}
            case ["applies", number, "abandon"]:
                return {"POST": lambda call: self._abandon(_parse_number(number), call)}
        return {}

    def _join(self, call: Call) -> tuple[int, Any]:
        body = _body(call, name=str, agree=str, api=str, feed=str)
        try:
            member = Member.model_validate({key: body[key] for key in ("name", "agree", "api", "feed")})
        except ValueError as error:
            raise Problem(422, "invalid", str(error)) from None
        self.cluster.add_member(member.name, member.addresses)
        return 200, {"added": member.name}

    def _leave(self, name: str) -> tuple[int, Any]:
        self.cluster.remove_member(name)
        return 200, {"removed": name}

    def _hand_over(self, call: Call) -> tuple[int, Any]:
        to = _body(call, to=str)["to"]
        self.cluster.hand_over(to)
        return 200, {"released": self.cluster.name, "to": to}

    def _reports(self, call: Call) -> tuple[int, Any]:
        raw = call.json()
        reports = [report for report in raw if isinstance(report, dict)] if isinstance(raw, list) else []
        for report in reports:
            self._report(report)
        return 200, {"taken": len(reports)}

    def _decide(self, how: str, call: Call) -> tuple[int, Any]:
        body = _body(call, digest=str, who=str)
        decide = self.adoption.adopt_proposal if how == "adopt" else self.adoption.keep_recorded
        proposal = decide(body["digest"], self._now())
        self._log("decided", how=how, who=body["who"], pos=proposal.pos)
        return 200, {"pos": proposal.pos, "proposal": proposal.document()}

    def _as_of(self) -> dict[str, Any]:
        """Which member answers and how old its state may be; empty for a control plane alone."""
        if self.cluster is None:
            return {}
        state = self.cluster.document()
        return {
            "member": state["member"],
            "owner": state["owner"],
            "as_of_ms": state["as_of_ms"],
            "fresh": state["fresh"],
        }

    def _versions(self, query: str) -> tuple[int, Any]:
        before = _parse_number(query.partition("before=")[2]) if query else 1 << 60
        return 200, {"versions": [_version_row(v) for v in self.ledger.store.versions(before, PAGE_SIZE)]}

    def _version(self, number: int) -> tuple[int, Any]:
        version = self.ledger.store.version(number)
        if version is None:
            raise Problem(404, "no-such-version", f"there is no version {number}")
        return 200, {**_version_row(version), "wanted": version.wanted}

    def _open_apply(self, number: int) -> tuple[int, Any]:
        unfinished = self.ledger.unfinished()
        if unfinished is None or unfinished["apply"] != number:
            raise Problem(404, "not-open", f"apply {number} is not open")
        return 200, unfinished

    def _begin(self, call: Call) -> tuple[int, Any]:
        body = _body(call, plan=dict, holder=str, who=str, why=str)
        apply = self.ledger.begin(body["plan"], body["holder"], body["who"], body["why"], self._now())
        self._log(
            "apply begun",
            apply=apply.number,
            version=apply.version,
            who=body["who"],
            why=body["why"],
            steps=len(self.ledger.steps),
        )
        return 201, _lease_document(apply)

    def _advance(self, number: int, call: Call) -> tuple[int, Any]:
        result = self.ledger.advance(number, _body(call, token=int)["token"], self._now())
        for id in result["begun"]:
            self._log("step begun", apply=number, step=id, pos=self.ledger.pos)
        for id, note in result["confirmed"]:
            self._log("step confirmed", apply=number, step=id, note=note)
        if result["state"] != "open":
            self._log("apply " + result["state"], apply=number, why=result["halted"])
        return 200, result

    def _resume(self, number: int, call: Call) -> tuple[int, Any]:
        apply = self.ledger.resume(number, _body(call, holder=str)["holder"], self._now())
        self._log("apply resumed", apply=number, holder=apply.holder)
        return 200, _lease_document(apply)

    def _abandon(self, number: int, call: Call) -> tuple[int, Any]:
        who = _body(call, who=str)["who"]
        self.ledger.abandon(number, who, self._now())
        self._log("apply abandoned", apply=number, who=who)
        return 200, {"apply": number, "state": "abandoned"}


def _parse_number(text: str) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 18:
        raise Problem(400, "bad-request", f"not a number: {text[:40]!r}")
    return int(text)


def _body(call: Call, **types: type) -> dict[str, Any]:
    raw = call.json()
    faults = [
        {"at": name, "fault": f"must be a {kind.__name__}"}
        for name, kind in types.items()
        if not isinstance(raw, dict) or type(raw.get(name)) is not kind
    ]
    if faults:
        raise Problem(422, "invalid", "; ".join(f"{f['at']}: {f['fault']}" for f in faults), faults=faults)
    return raw


def _lease_document(apply: Apply) -> dict[str, Any]:
    return {"apply": apply.number, "version": apply.version, "token": apply.token, "expires": apply.expires}


def _version_row(version: Any) -> dict[str, Any]:
    return {
        "version": version.number,
        "at": version.at,
        "who": version.who,
        "why": version.why,
        "base": version.base,
        "state": version.state,
        "plan": version.plan,
    }
