"""The control plane's HTTP API, version 1. Each call that changes something checks all that it is given first.

GET  /v1/state                     the recorded state, and the open apply
GET  /v1/observed                  what proxies report
GET  /v1/versions?before=N         the newest versions below N
GET  /v1/versions/N                one version with all that it wants
GET  /v1/applies/N                 an open apply: its steps as done, in doubt or left
POST /v1/applies                   {"plan", "holder", "who", "why"}: open one; a lease comes with it
POST /v1/applies/N/advance         {"token"}: carry it on as far as it goes now
POST /v1/applies/N/resume          {"holder"}: take over one whose lease has run out
POST /v1/applies/N/abandon         {"who"}: end it where it stands
GET  /v1/recovery                  the fleet's phases; whether anything is held, and the proposal
POST /v1/recovery/adopt            {"digest", "who"}: take the proposal that was shown
POST /v1/recovery/as-recorded      {"digest", "who"}: take the store's state as it is
GET  /v1/members                   the members, who owns, and how old what this one knows may be
GET  /v1/works                     what is done for the fleet, by whom and how far
POST /v1/owner/hand-over           {"to"}: the owner gives its term up, for that member or any
POST /v1/members                   {"name", "agree", "api", "feed"}: a member more
POST /v1/members/NAME/remove       a member less
POST /v1/reports                   a list of proxies' reports that came to another member
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
    from threadhill.control.council import Cluster

PAGE = 50
OWNERS = (["observed"], ["recovery"], ["works"])  # what only the owner can tell
CODES = {
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
    """Answers calls."""

    def __init__(
        self,
        ledger: Ledger,
        stats: Stats,
        now: Callable[[], int],
        log: Callable[..., None] = lambda event, **more: None,
        adoption: AdoptionHold | None = None,
        recovery: Callable[[], dict[str, Any]] = dict,
        cluster: Cluster | None = None,
        works: Callable[[], list[dict[str, Any]]] = list,
        report: Callable[[dict[str, Any]], bool] = lambda raw: False,
    ) -> None:
        self.cluster, self._works, self._report = cluster, works, report
        self.ledger, self.stats, self._now, self._log = ledger, stats, now, log
        self.adoption, self._recovery = adoption, recovery

    def __call__(self, call: Call) -> tuple[int, Any]:
        self.stats.count("api", call.method)
        target, _, query = call.path.partition("?")
        path = target.strip("/").split("/")
        if path[0] != "v1":
            raise Problem(404, "not-found", "paths begin with /v1")
        methods = self._methods(path[1:], query)
        if not methods:
            raise Problem(404, "not-found", f"nothing at {call.path}")
        if call.method not in methods:
            raise Problem(405, "method-not-allowed", f"{call.method} is not for {call.path}", ", ".join(methods))
        try:
            # What proxies report goes to the owner; all else can be read at any member, with how old it may be.
            if self.cluster is not None and (call.method == "POST" or path[1:] in OWNERS):
                self.cluster.require_ownership()
            return methods[call.method](call)
        except Refused as error:
            raise Problem(CODES[error.code], error.code, str(error), **error.more) from None
        except WriteFailed as error:
            raise Problem(507, "not-written", str(error)) from None

    def _methods(self, path: list[str], query: str) -> dict[str, Callable[[Call], tuple[int, Any]]]:
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
                return {"GET": lambda call: (200, {"works": self._works()})}
            case ["recovery"]:
                return {"GET": lambda call: (200, self._recovery())}
            case ["recovery", ("adopt" | "as-recorded") as how] if self.adoption is not None:
                return {"POST": lambda call: self._decide(how, call)}
            case ["versions"]:
                return {"GET": lambda call: self._versions(query)}
            case ["versions", number]:
                return {"GET": lambda call: self._version(_number(number))}
            case ["applies"]:
                return {"POST": self._begin}
            case ["applies", number]:
                return {"GET": lambda call: self._open(_number(number))}
            case ["applies", number, "advance"]:
                return {"POST": lambda call: self._advance(_number(number), call)}
            case ["applies", number, "resume"]:
                return {"POST": lambda call: self._resume(_number(number), call)}
            case ["applies", number, "abandon"]:
                return {"POST": lambda call: self._abandon(_number(number), call)}
        return {}

    def _join(self, call: Call) -> tuple[int, Any]:
        body = _body(call, name=str, agree=str, api=str, feed=str)
        try:
            member = Member.model_validate({key: body[key] for key in ("name", "agree", "api", "feed")})
        except ValueError as error:
            raise Problem(422, "invalid", str(error)) from None
        self.cluster.add_member(member.name, member.places)
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
        reports = [one for one in raw if isinstance(one, dict)] if isinstance(raw, list) else []
        for one in reports:
            self._report(one)
        return 200, {"taken": len(reports)}

    def _decide(self, how: str, call: Call) -> tuple[int, Any]:
        body = _body(call, digest=str, who=str)
        decide = self.adoption.adopt_proposal if how == "adopt" else self.adoption.keep_recorded
        proposal = decide(body["digest"], self._now())
        self._log("decided", how=how, who=body["who"], pos=proposal.pos)
        return 200, {"pos": proposal.pos, "proposal": proposal.document()}

    def _as_of(self) -> dict[str, Any]:
        """How old what is read here may be: another member may know more by now."""
        if self.cluster is None:
            return {}
        told = self.cluster.document()
        return {"member": told["member"], "owner": told["owner"], "as_of_ms": told["as_of_ms"], "fresh": told["fresh"]}

    def _versions(self, query: str) -> tuple[int, Any]:
        before = _number(query.partition("before=")[2]) if query else 1 << 60
        return 200, {"versions": [_shown(v) for v in self.ledger.store.versions(before, PAGE)]}

    def _version(self, number: int) -> tuple[int, Any]:
        version = self.ledger.store.version(number)
        if version is None:
            raise Problem(404, "no-such-version", f"there is no version {number}")
        return 200, {**_shown(version), "wanted": version.wanted}

    def _open(self, number: int) -> tuple[int, Any]:
        found = self.ledger.unfinished()
        if found is None or found["apply"] != number:
            raise Problem(404, "not-open", f"apply {number} is not open")
        return 200, found

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
        return 201, _lease(apply)

    def _advance(self, number: int, call: Call) -> tuple[int, Any]:
        told = self.ledger.advance(number, _body(call, token=int)["token"], self._now())
        for id in told["begun"]:
            self._log("step begun", apply=number, step=id, pos=self.ledger.pos)
        for id, note in told["confirmed"]:
            self._log("step confirmed", apply=number, step=id, note=note)
        if told["state"] != "open":
            self._log("apply " + told["state"], apply=number, why=told["halted"])
        return 200, told

    def _resume(self, number: int, call: Call) -> tuple[int, Any]:
        apply = self.ledger.resume(number, _body(call, holder=str)["holder"], self._now())
        self._log("apply resumed", apply=number, holder=apply.holder)
        return 200, _lease(apply)

    def _abandon(self, number: int, call: Call) -> tuple[int, Any]:
        who = _body(call, who=str)["who"]
        self.ledger.abandon(number, who, self._now())
        self._log("apply abandoned", apply=number, who=who)
        return 200, {"apply": number, "state": "abandoned"}


def _number(text: str) -> int:
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


def _lease(apply: Apply) -> dict[str, Any]:
    return {"apply": apply.number, "version": apply.version, "token": apply.token, "expires": apply.expires}


def _shown(version: Any) -> dict[str, Any]:
    return {
        "version": version.number,
        "at": version.at,
        "who": version.who,
        "why": version.why,
        "base": version.base,
        "state": version.state,
        "plan": version.plan,
    }
