"""The wire on standard input and output: one Router per instance, nothing shared between them.

Translates only; every decision is made in threadhill.choice.
"""

from __future__ import annotations

import base64
import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from threadhill import interface as api
from threadhill.choice import Router

OUTCOMES = {
    "delivered": api.Outcome.SERVED,
    "app_error": api.Outcome.ERROR,
    "shed": api.Outcome.REFUSED,
    "expired": api.Outcome.TIMED_OUT,
    "dial_failed": api.Outcome.UNREACHED,
    "dropped": api.Outcome.BROKEN,
    "revoked": api.Outcome.CANCELLED,
    "unused": api.Outcome.UNSENT,
    "empty": api.Outcome.MISS,
}
STATES = {"IN": api.State.READY, "LAME": api.State.DRAINING, "OUT": api.State.GONE}
LIST_KINDS = {
    "Partial": api.ListKind.CHANGES,
    "Complete": api.ListKind.FULL,
    "Persisted": api.ListKind.STALE,
    "Error": api.ListKind.FAILED,
}
EFFECTS = {
    "read_like": api.Effect.SAFE,
    "idempotency_key": api.Effect.KEYED,
    "non_idempotent": api.Effect.UNSAFE,
}
REPORT_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "errors",
    "x0": "hits",
    "x1": "link",
}
NOTES = {note.value: note for note in api.Note}
REPEAT_BIT = 2
WRITE_BIT = 4


class Malformed(Exception):
    """A line that is not the wire's."""


def whole(value: Any, what: str) -> int:
    """A whole number, absent counting as 0."""
    if value is None:
        return 0
    if isinstance(value, bool) or not isinstance(value, int):
        raise Malformed(f"{what} must be a whole number, not {json.dumps(value)[:60]}")
    return value


def must_whole(value: Any, what: str) -> int:
    """A whole number that may not be absent."""
    if value is None:
        raise Malformed(f"{what} is missing")
    return whole(value, what)


def number(value: Any, what: str) -> float:
    """A number, absent counting as 0."""
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Malformed(f"{what} must be a number, not {json.dumps(value)[:60]}")
    return float(value)


def text(value: Any, what: str) -> str:
    """A text that may not be absent."""
    if not isinstance(value, str):
        raise Malformed(f"{what} must be text, not {json.dumps(value)[:60]}")
    return value


def mapping(value: Any, what: str) -> dict[str, Any]:
    """An object, absent counting as an empty one."""
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise Malformed(f"{what} must be an object, not {json.dumps(value)[:60]}")
    return value


def sequence(value: Any, what: str) -> list[Any]:
    """An array, absent counting as an empty one."""
    if value is None:
        return []
    if not isinstance(value, list):
        raise Malformed(f"{what} must be an array, not {json.dumps(value)[:60]}")
    return value


def one_of(table: dict[Any, Any], value: Any, what: str) -> Any:
    """A named value."""
    if not isinstance(value, str) or value not in table:
        raise Malformed(f"{what} is unknown: {json.dumps(value)[:60]}")
    return table[value]


def read_load(value: Any) -> dict[str, float]:
    """A load report in the library's names; fields it does not know are skipped."""
    return {
        REPORT_FIELDS[key]: float(item)
        for key, item in mapping(value, "the load report").items()
        if key in REPORT_FIELDS and isinstance(item, int | float) and not isinstance(item, bool)
    }


def read_class(raw: Any, index: int, extra: dict[str, Any]) -> api.RequestClass:
    """One entry of `profiles`, with what `extra` adds by its place."""
    raw = mapping(raw, f"profiles[{index}]")

    def by_place(key: str) -> Any:
        values = sequence(extra.get(key), f"extra.{key}")
        return values[index] if index < len(values) else None

    scope = raw.get("dedup-scope")
    return api.RequestClass(
        name=text(raw.get("name"), f"profiles[{index}].name"),
        effect=one_of(EFFECTS, raw.get("repeat"), f"profiles[{index}].repeat"),
        scope=one_of({s.value: s for s in api.Scope}, "all" if scope is None else scope, "dedup-scope"),
        window=whole(raw.get("repeat-window"), "repeat-window"),
        aim=whole(raw.get("objective"), "objective"),
        aim_stretch=number(raw.get("aim-stretch"), "aim-stretch"),
        deadline=whole(raw.get("deadline"), "deadline"),
        worth=number(raw.get("value"), "value"),
        late_worth=number(raw.get("late-worth"), "late-worth"),
        streamed=bool(raw.get("streamed")),
        write=bool(by_place("class-write")),
        fresh=whole(by_place("fresh-for"), "fresh-for"),
        grace=whole(by_place("stale-for"), "stale-for"),
        old_worth=number(by_place("old-copy-worth"), "old-copy-worth"),
        parts=bool(by_place("in-parts")),
    )


def read_settings(raw: Any) -> api.Settings:
    """The settings of an instance; keys that are not known are skipped."""
    raw = mapping(raw, "options")
    extra, limits, rules = (mapping(raw.get(key), key) for key in ("extra", "limits", "obligations"))
    kinds = sequence(raw.get("machine-types"), "machine-types")
    classes = [
        read_class(item, i, extra) for i, item in enumerate(sequence(raw.get("profiles"), "profiles"))
    ]

    def kind(key: str) -> str | None:
        place = extra.get(key)
        place = -1 if place is None else whole(place, key)
        return kinds[place] if 0 <= place < len(kinds) else None

    def named(enum: Any, value: Any, absent: Any) -> Any:
        return absent if value is None else one_of({e.value: e for e in enum}, value, enum.__name__)

    return api.Settings(
        classes={cls.name: cls for cls in classes},
        zone=raw.get("zone") or "",
        zones=tuple(sequence(raw.get("zones"), "zones")),
        zone_hub=tuple(sequence(extra.get("hub-of"), "hub-of")),
        zone_link=tuple(sequence(extra.get("zone-link-kb-per-s"), "zone-link-kb-per-s")),
        zone_routers=tuple(sequence(extra.get("crew-by-zone"), "crew-by-zone")),
        routers=max(1, whole(raw.get("n-instances"), "n-instances")),
        rank=whole(raw.get("rank"), "rank"),
        parent_kind=kind("upper-kind"),
        origin_kind=kind("master-kind"),
        flow=number(extra.get("client-kb-per-s"), "client-kb-per-s"),
        tick=whole(raw.get("tick"), "tick"),
        direct=bool(extra.get("bypass-allowed")),
        joins=bool(extra.get("shares-fills")),
        siblings=named(api.Siblings, extra.get("sideways"), api.Siblings.NONE),
        tells=named(api.Tells, extra.get("notes-given"), api.Tells.NONE),
        weights=named(api.Weights, raw.get("weight-source"), api.Weights.NONE),
        marks_repeats=bool(mapping(raw.get("callers"), "callers").get("marks-retry")),
        list_on_request=raw.get("membership-mode") == "on_request",
        ask_within=whole(rules.get("ask-within"), "ask-within"),
        answer_slack=whole(rules.get("grace-to-answer"), "grace-to-answer"),
        drain_grace=whole(rules.get("drain-grace"), "drain-grace"),
        cold_from=number(rules.get("start-capacity", 1), "start-capacity"),
        cold_time=whole(rules.get("ramp-time"), "ramp-time"),
        fall_multiple=number(rules.get("fall-multiple", 1), "fall-multiple"),
        fall_window=whole(rules.get("fall"), "fall"),
        parent_cold_from=number(extra.get("upper-cold-from", 1), "upper-cold-from"),
        parent_cold_time=whole(extra.get("parent-ramp"), "parent-ramp"),
        parent_fall_multiple=number(extra.get("parent-fall-multiple", 1), "parent-fall-multiple"),
        purge_grace=whole(extra.get("purge-slack"), "purge-slack"),
        purge_done=whole(extra.get("purge-takes"), "purge-takes"),
        cancel=bool(limits.get("cancel")),
        probes=bool(limits.get("probes")),
        advice=bool(limits.get("retry-after")),
        max_advice=whole(limits.get("max-retry-after"), "max-retry-after"),
        max_attempts=max(1, whole(limits.get("max-attempts"), "max-attempts")),
        second_copies=bool(limits.get("second-copies")),
        connect_timeout=whole(limits.get("connect-timeout"), "connect-timeout"),
    )


def read_entry(raw: Any) -> api.Entry:
    """One line of a server list."""
    values = sequence(raw, "a list line")
    if len(values) < 7:
        raise Malformed(f"a list line has {len(values)} values, not 7")
    since, cell, units, status, kind, zone, server = values[:7]
    return api.Entry(
        server=must_whole(server, "server"),
        state=one_of(STATES, status, "status"),
        zone=zone if isinstance(zone, str) else "",
        kind=kind if isinstance(kind, str) else "",
        cell=whole(cell, "cell"),
        weight=number(units, "units"),
        since=whole(since, "since"),
    )


def read_members(v: list[Any]) -> api.ListNews:
    entries = tuple(read_entry(line) for line in sequence(v[2], "lines"))
    return api.ListNews(one_of(LIST_KINDS, v[0], "how"), entries, whole(v[1], "generation"))


def read_request(v: list[Any]) -> api.Request:
    flags = whole(v[8], "attrs")
    return api.Request(
        id=text(v[0], "msg-id"),
        cls=text(v[1], "grade"),
        tenant=v[2] if isinstance(v[2], str) else None,
        object="" if v[3] is None else text(v[3], "item"),
        left=whole(v[4], "remaining"),
        size=number(v[5], "bytes-k"),
        group=None if v[6] is None else int(number(v[6], "batch-id")),
        part=int(number(v[7], "slice")),
        repeat=bool(flags & REPEAT_BIT),
        write=bool(flags & WRITE_BIT),
    )


def read_started(v: list[Any]) -> api.AnswerStarted:
    return api.AnswerStarted(
        text(v[0], "msg-id"), whole(v[1], "round-no"), must_whole(v[3], "server"), whole(v[2], "took")
    )


def read_ended(v: list[Any]) -> api.AttemptEnded:
    return api.AttemptEnded(
        id=text(v[0], "msg-id"),
        attempt=whole(v[1], "round-no"),
        server=must_whole(v[2], "server"),
        outcome=one_of(OUTCOMES, v[3], "status"),
        took=whole(v[4], "took"),
        closed=bool(v[5]),
        note=NOTES.get(whole(v[6], "info"), api.Note.NONE),
        waited=whole(v[7], "waited"),
        load=read_load(v[8]),
    )


def read_probe(v: list[Any]) -> api.ProbeEnded:
    return api.ProbeEnded(
        must_whole(v[0], "server"), one_of(OUTCOMES, v[1], "status"), whole(v[2], "took"), read_load(v[3])
    )


def read_peer(v: list[Any]) -> api.PeerSays:
    try:
        data = base64.b64decode(text(v[1], "contents"), validate=True)
    except ValueError as error:
        raise Malformed(f"contents is not base64: {error}") from None
    return api.PeerSays(whole(v[0], "neighbour"), data)


def read_purge(v: list[Any]) -> api.Purge:
    group = None if v[1] is None else int(number(v[1], "bucket"))
    return api.Purge(None if v[0] is None else text(v[0], "item"), group, whole(v[2], "age"))


READERS: dict[str, tuple[int, Callable[[list[Any]], api.Event]]] = {
    "sync": (3, read_members),
    "ask": (9, read_request),
    "flowing": (4, read_started),
    "verdict": (9, read_ended),
    "client-gone": (1, lambda v: api.ClientGone(text(v[0], "msg-id"))),
    "bell": (1, lambda v: api.TimerDue(text(v[0], "token"))),
    "check-result": (4, read_probe),
    "from-peer": (2, read_peer),
    "replaced": (3, read_purge),
}

WRITERS: dict[type, tuple[str, Callable[[Any], list[Any]]]] = {
    api.Look: ("pass-on", lambda a: [a.id, a.server, a.limit]),
    api.Fetch: ("get", lambda a: [a.id, a.limit, a.age, a.source, int(a.mode), a.keep, a.server]),
    api.Refuse: ("push-back", lambda a: [a.id, a.come_back]),
    api.Fail: ("give-up", lambda a: [a.id]),
    api.CancelAttempt: ("abort-attempt", lambda a: [a.id, a.attempt]),
    api.SetTimer: ("schedule", lambda a: [a.delay, a.token]),
    api.Probe: ("sample", lambda a: [a.server]),
    api.CloseIdle: ("close", lambda a: [a.server]),
    api.TellPeer: (
        "share",
        lambda a: ["*" if a.peer is None else a.peer, base64.b64encode(a.data).decode("ascii")],
    ),
    api.Log: ("trace", lambda a: [a.text]),
    api.FollowList: ("follow", lambda a: [a.on]),
    api.AskList: ("query-all", lambda a: []),
}


class Host:
    """Reads batches, hands each event to its instance, writes the replies."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.routers: dict[int, Router] = {}
        self.batch: int | None = None
        self.now = 0
        self.reply: list[str] = []

    def act(self, router: int, actions: list[api.Action]) -> None:
        for action in actions:
            name, values = WRITERS[type(action)]
            self.reply.append(json.dumps([name, router, *values(action)], separators=(",", ":")))

    def line(self, line: str) -> None:
        """Take one line of input; raises Malformed where it is not the wire's."""
        try:
            message = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise Malformed(f"not JSON: {error}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise Malformed("not an array that starts with a name")
        name, values = message[0], message[1:]
        if name == "begin-batch":
            if self.batch is not None:
                raise Malformed("begin-batch inside a batch")
            values += [None] * (2 - len(values))
            self.now = must_whole(values[0], "the clock")
            self.batch = must_whole(values[1], "the batch number")
        elif self.batch is None:
            raise Malformed(f"{name} outside a batch")
        elif name == "go":
            self.reply.append(json.dumps(["done", self.batch], separators=(",", ":")))
            self.out.write("\n".join(self.reply) + "\n")
            self.out.flush()
            self.reply, self.batch = [], None
        else:
            self.event(name, values)

    def event(self, name: str, values: list[Any]) -> None:
        """One event of a batch, for one instance."""
        router = must_whole(values[0] if values else None, f"{name}: router")
        if name == "killed":
            self.routers.pop(router, None)
            return
        event: api.Event | None = None
        try:
            if name == "open-instance":
                values += [None] * (3 - len(values))
                seed, settings = whole(values[1], "entropy"), read_settings(values[2])
            elif name in READERS:
                count, read = READERS[name]
                event = read(values[1:] + [None] * (count + 1 - len(values)))
                if router not in self.routers:
                    raise Malformed(f"instance {router} is not open")
            else:
                raise Malformed("no such event")
        except Malformed as error:
            raise Malformed(f"{name}: {error}") from None
        try:
            if event is None:
                self.routers[router] = Router(settings, seed)
                self.act(router, self.routers[router].start(self.now))
            else:
                self.act(router, self.routers[router].handle(self.now, event))
        except Exception as error:  # whatever the decision code raises is told by the wire's own message
            traceback.print_exc()
            words = f"{type(error).__name__}: {error}"
            self.reply.append(json.dumps(["crash", router, words], separators=(",", ":")))


def main() -> int:
    """Serve standard input until it ends."""
    host = Host(sys.stdout)
    for at, raw in enumerate(sys.stdin.buffer, 1):
        try:
            line = raw.decode("utf-8")
            if line.strip():
                host.line(line)
        except (Malformed, UnicodeDecodeError) as error:
            print(f"threadhill.simhost: line {at}: {error}", file=sys.stderr)
            return 2
    if host.batch is not None:
        print("threadhill.simhost: input ended inside a batch", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
